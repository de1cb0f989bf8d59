//! One attempt at one endpoint.

use std::sync::Arc;

use base::VersionKey;
use bytes::Bytes;
use execution::{Evidence, OfferedRun};
use quarantine::SendPermit;
use router::Failure;
use upstream::EndpointClient;
use web::{ProblemKind, Ran};
use wire::{
    FrameSender, LinkError, Run, RunReply,
    message::{Header, Outcome, OutcomeKind, RefusalKind, Request},
};

use super::{resume, start::start};
use crate::{
    body::Framing,
    exchange::Exchange,
    fleet::{Flight, Route},
    shared::Shared,
};

/// Outcome of one attempt.
pub(super) enum Attempt {
    Started(Box<Reply>),
    /// The request did not run; another endpoint may be tried.
    NotRun {
        reason: String,
        retry_after_ms: Option<u64>,
    },
    /// The request may have run; it is retried only if repeatable.
    Lost {
        reason: String,
        kind: ProblemKind,
    },
}

impl Attempt {
    /// Returns what is known of the copy of the request that was offered.
    pub(super) fn evidence(&self) -> Evidence {
        match self {
            Self::Started(_) | Self::Lost { .. } => Evidence::MayHaveRun,
            Self::NotRun { .. } => Evidence::Declined,
        }
    }

    /// Returns the end of an attempt that the deadline cut short.
    pub(super) fn deadline_passed() -> Self {
        Self::Lost {
            reason: "the deadline passed before a response".to_owned(),
            kind: ProblemKind::TimedOut,
        }
    }
}

/// Parameters of one attempt.
pub(super) struct AttemptParams {
    /// Number of the attempt.
    pub(super) number: u32,
    /// Remaining time, in milliseconds; 0 means no limit.
    pub(super) remaining_ms: u64,
    /// Number of response chunks that the caller already has.
    pub(super) offset: u32,
    /// The version that began the response, if it is resumed.
    pub(super) version: Option<VersionKey>,
    /// Proof that the quarantine permits the request.
    pub(super) permit: SendPermit,
}

/// A response that has started.
pub(crate) enum Reply {
    /// The response is forwarded as it arrives.
    Streaming(StreamingReply),
    /// The response is buffered in full.
    Buffered(BufferedReply),
}

/// A response whose first chunk has arrived.
pub(crate) struct StreamingReply {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) framing: Framing,
    pub(crate) run: Run,
    /// The first chunk; `None` for a response without a body.
    pub(crate) first: Option<Bytes>,
    pub(crate) next_seq: u32,
    pub(crate) flight: Flight,
}

/// A response that is buffered in full.
pub(crate) struct BufferedReply {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
    pub(crate) flight: Flight,
}

pub(super) async fn attempt(
    shared: &Arc<Shared>,
    exchange: &Exchange,
    mut flight: Flight,
    params: AttemptParams,
    offered: &OfferedRun,
) -> Attempt {
    let AttemptParams {
        number,
        remaining_ms,
        offset,
        version,
        permit: SendPermit { .. },
    } = params;
    flight.begin(&shared.quarantine, exchange, offset);
    let target = flight.target().clone();
    let request = Request {
        version: version.unwrap_or_default(),
        ..request(exchange, &flight, number, remaining_ms, offset)
    };
    let address = match &target.route {
        Route::Companion(address) => *address,
        Route::Direct(_) if is_other(&flight, version) => {
            return wrong_version(&flight);
        }
        Route::Direct(client) => {
            offered.mark_sent();
            return run_direct(shared, client, request, flight).await;
        }
    };
    offered.mark_sent();
    match shared.links.run(address, request).await {
        Ok(RunReply::Accepted { run, load }) => {
            flight.record_load(&load);
            // A companion that does not know the field runs the call. Dropping
            // the run cancels it before any of it is forwarded.
            if is_other(&flight, version) {
                drop(run);
                return wrong_version(&flight);
            }
            start(shared, run, flight).await
        }
        Ok(RunReply::Refused { refusal, load }) => {
            flight.record_load(&load);
            flight.record_refusal(refusal.kind);
            let after = u64::from(refusal.retry_after_ms);
            Attempt::NotRun {
                reason: refusal.detail,
                retry_after_ms: Some(after).filter(|ms| *ms > 0),
            }
        }
        Err(report) => {
            let reason = format!("{}: {report}", target.name);
            link_failed(&flight, *report.current_context(), reason)
        }
    }
}

/// Reports whether an endpoint runs another version than the one that began
/// the response.
fn is_other(flight: &Flight, version: Option<VersionKey>) -> bool {
    version.is_some_and(|version| version != flight.version())
}

fn wrong_version(flight: &Flight) -> Attempt {
    flight.record_refusal(RefusalKind::WrongVersion);
    Attempt::NotRun {
        reason: "no endpoint runs the version that began the response"
            .to_owned(),
        retry_after_ms: None,
    }
}

fn link_failed(flight: &Flight, error: LinkError, reason: String) -> Attempt {
    match error {
        LinkError::Unknown => {
            flight.record_failure(Failure::Lost);
            let kind = ProblemKind::AnswerLost;
            Attempt::Lost { reason, kind }
        }
        LinkError::NotSent | LinkError::Refused(_) => {
            flight.record_failure(Failure::Unreachable);
            Attempt::NotRun {
                reason,
                retry_after_ms: None,
            }
        }
    }
}

fn request(
    exchange: &Exchange,
    flight: &Flight,
    attempt: u32,
    deadline_ms: u64,
    offset: u32,
) -> Request {
    let body = match offset {
        0 => exchange.body.clone(),
        offset => resume::resumed_body(&exchange.body, offset),
    };
    Request {
        request_id: exchange.request_id.clone(),
        attempt,
        customer: exchange.customer.clone(),
        class: exchange.class,
        method: exchange.method.clone(),
        path: exchange.path.clone(),
        headers: exchange.headers.clone(),
        body,
        deadline_ms,
        repeatable: exchange.plan.repeatable,
        resume_offset: offset,
        target: flight.target().name.as_str().to_owned(),
        version: VersionKey::UNDECLARED,
    }
}

/// Sends the request to an endpoint without a companion.
async fn run_direct(
    shared: &Arc<Shared>,
    client: &EndpointClient,
    request: Request,
    flight: Flight,
) -> Attempt {
    let client = client.clone();
    let (answer, frames) = FrameSender::channel();
    tokio::spawn(async move {
        client.run(request, &answer, || {}).await;
    });
    start(shared, Run::local(frames), flight).await
}

pub(super) fn lost(flight: &Flight, reason: &str) -> Attempt {
    flight.record_failure(Failure::Lost);
    Attempt::Lost {
        reason: reason.to_owned(),
        kind: ProblemKind::AnswerLost,
    }
}

/// Returns the end of an attempt whose endpoint answered with a status that
/// promises that the request did not run, which it may have.
pub(super) fn promised(status: u16) -> Attempt {
    let kind = match Ran::Unknown.status(status) {
        504 => ProblemKind::TimedOut,
        _ => ProblemKind::AnswerLost,
    };
    Attempt::Lost {
        reason: format!(
            "the endpoint answered {status}, which leaves open whether it ran \
             the request"
        ),
        kind,
    }
}

pub(super) fn incomplete(flight: &Flight, outcome: Outcome) -> Attempt {
    let reason = outcome.detail;
    if !outcome.ran {
        // A companion monitors its endpoint itself and also reports `not sent`
        // for calls that waited too long.
        let is_direct = matches!(flight.target().route, Route::Direct(_));
        if is_direct && outcome.kind == OutcomeKind::NotSent {
            flight.record_failure(Failure::Unreachable);
        }
        return Attempt::NotRun {
            reason,
            retry_after_ms: None,
        };
    }
    record_incomplete(flight, Some(outcome.kind));
    let kind = match outcome.kind {
        OutcomeKind::TimedOut => ProblemKind::TimedOut,
        _ => ProblemKind::AnswerLost,
    };
    Attempt::Lost { reason, kind }
}

/// Records an incomplete response; `None` means a broken link.
///
/// A missed deadline may be due to the caller as much as to the endpoint. If
/// it counted as a failure, overload would remove endpoints and so increase.
pub(crate) fn record_incomplete(flight: &Flight, kind: Option<OutcomeKind>) {
    let not_failures = [OutcomeKind::Cancelled, OutcomeKind::TimedOut];
    if kind == Some(OutcomeKind::Crashed) {
        flight.record_crash();
    }
    if !kind.is_some_and(|kind| not_failures.contains(&kind)) {
        flight.record_failure(Failure::Lost);
    }
}
