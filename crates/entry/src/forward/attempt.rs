//! One attempt at one endpoint.

use std::sync::Arc;

use bytes::Bytes;
use quarantine::SendPermit;
use router::Failure;
use upstream::EndpointClient;
use web::ProblemKind;
use wire::{
    FrameSender, LinkError, Run, RunReply,
    message::{Header, Outcome, OutcomeKind, Request},
};

use super::{resume, start::start};
use crate::{
    body::Framing,
    exchange::Exchange,
    fleet::{Flight, Route},
    shared::Shared,
};

/// What became of one attempt.
pub(super) enum Attempt {
    Begun(Box<Reply>),
    /// It did not run; another endpoint may be tried.
    NotRun {
        why: String,
        retry_after_ms: Option<u64>,
    },
    /// It may have run; it is tried again only if it is repeatable.
    Lost {
        why: String,
        kind: ProblemKind,
    },
}

/// What one attempt sends, and why it may.
pub(super) struct Attempted {
    /// Number of the attempt.
    pub(super) number: u32,
    /// Time that is left, in milliseconds; 0 is no limit.
    pub(super) left_ms: u64,
    /// Parts of the answer that the caller has already.
    pub(super) offset: u32,
    /// Says that the request may be sent.
    pub(super) cleared: SendPermit,
}

/// An answer that has begun.
pub(crate) enum Reply {
    /// It is passed on as it comes.
    Streaming(Answering),
    /// It is all here.
    Whole(Whole),
}

/// An answer whose first part has come.
pub(crate) struct Answering {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) framing: Framing,
    pub(crate) run: Run,
    /// The first part; `None` for an answer without a body.
    pub(crate) first: Option<Bytes>,
    pub(crate) next_seq: u32,
    pub(crate) flight: Flight,
}

/// An answer that is all here.
pub(crate) struct Whole {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
    pub(crate) flight: Flight,
}

pub(super) async fn attempt(
    shared: &Arc<Shared>,
    exchange: &Exchange,
    mut flight: Flight,
    attempted: Attempted,
) -> Attempt {
    let Attempted {
        number,
        left_ms,
        offset,
        cleared: SendPermit { .. },
    } = attempted;
    flight.begin(&shared.quarantine, exchange.digest, offset);
    let target = flight.target().clone();
    let request = request(exchange, &flight, number, left_ms, offset);
    let address = match &target.route {
        Route::Companion(address) => *address,
        Route::Direct(client) => {
            return direct(shared, exchange, client, request, flight).await;
        }
    };
    match shared.links.run(address, request).await {
        Ok(RunReply::Accepted { run, load }) => {
            flight.reported(&load);
            start(shared, exchange, run, flight).await
        }
        Ok(RunReply::Refused { refusal, load }) => {
            flight.reported(&load);
            flight.refused(refusal.kind);
            let after = u64::from(refusal.retry_after_ms);
            Attempt::NotRun {
                why: refusal.detail,
                retry_after_ms: Some(after).filter(|ms| *ms > 0),
            }
        }
        Err(report) => {
            let why = format!("{}: {report}", target.name);
            not_answered(&flight, *report.current_context(), why)
        }
    }
}

fn not_answered(flight: &Flight, error: LinkError, why: String) -> Attempt {
    match error {
        LinkError::Unknown => {
            flight.failed(Failure::Lost);
            let kind = ProblemKind::AnswerLost;
            Attempt::Lost { why, kind }
        }
        LinkError::NotSent | LinkError::Refused(_) => {
            flight.failed(Failure::Unreachable);
            Attempt::NotRun {
                why,
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
        offset => resume::body_from(&exchange.body, offset),
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
    }
}

/// Calls an endpoint that has no companion.
async fn direct(
    shared: &Arc<Shared>,
    exchange: &Exchange,
    client: &EndpointClient,
    request: Request,
    flight: Flight,
) -> Attempt {
    let client = client.clone();
    let (answer, frames) = FrameSender::channel();
    tokio::spawn(async move {
        client.run(request, &answer, || {}).await;
    });
    start(shared, exchange, Run::local(frames), flight).await
}

pub(super) fn broke(flight: &Flight, why: &str) -> Attempt {
    flight.failed(Failure::Lost);
    Attempt::Lost {
        why: why.to_owned(),
        kind: ProblemKind::AnswerLost,
    }
}

pub(super) fn ended_early(flight: &Flight, outcome: Outcome) -> Attempt {
    let why = outcome.detail;
    if !outcome.ran {
        // A companion watches its endpoint itself and says `not sent` for
        // calls that waited too long, too.
        let is_direct = matches!(flight.target().route, Route::Direct(_));
        if is_direct && outcome.kind == OutcomeKind::NotSent {
            flight.failed(Failure::Unreachable);
        }
        return Attempt::NotRun {
            why,
            retry_after_ms: None,
        };
    }
    note_end(flight, Some(outcome.kind));
    let kind = match outcome.kind {
        OutcomeKind::TimedOut => ProblemKind::TimedOut,
        _ => ProblemKind::AnswerLost,
    };
    Attempt::Lost { why, kind }
}

/// Notes an answer that is not whole, `None` for a broken link.
///
/// A deadline that passed says as much of the caller as of the endpoint:
/// counted as a failure, an overload would take endpoints out and grow.
pub(crate) fn note_end(flight: &Flight, kind: Option<OutcomeKind>) {
    let innocent = [OutcomeKind::Cancelled, OutcomeKind::TimedOut];
    if kind == Some(OutcomeKind::Crashed) {
        flight.crashed();
    }
    if !kind.is_some_and(|kind| innocent.contains(&kind)) {
        flight.failed(Failure::Lost);
    }
}
