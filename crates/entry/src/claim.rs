//! At-most-once execution of calls that carry an idempotency key, even when
//! callers retry them.
//!
//! See `docs/design/at-most-once.md`.

use std::sync::Arc;

use base::UnixMillis;
use bytes::Bytes;
use tokio::io::AsyncReadExt;
use web::{Problem, ProblemKind, Ran};
use wire::message::Header;

use crate::{
    claim_record::{
        ClaimRecord, ClaimState, MAX_STORED_RESPONSE_BYTES, StoredResponse,
        fingerprint,
    },
    claim_store::{Claim, ClaimOutcome},
    exchange::Exchange,
    forward::{self, Started},
    shared::{Admitted, Shared},
};

/// Maximum run time of a call without a deadline, in milliseconds; after it
/// the outcome counts as lost.
const MAX_RUN_MS: u64 = 600_000;

/// Maximum clock difference between two entries, in milliseconds.
const CLOCK_MARGIN_MS: u64 = 30_000;

/// Retry-after while the first call runs, in milliseconds.
const RUNNING_RETRY_AFTER_MS: u64 = 1_000;

/// Retry-after when a claim cannot be recorded, in milliseconds.
const UNAVAILABLE_RETRY_AFTER_MS: u64 = 5_000;

/// The response to a call.
pub(crate) enum Served {
    /// A response that is streamed from an endpoint.
    Started(Box<Started>),
    /// A response that is buffered in full.
    Buffered(BufferedResponse),
}

/// A response that is buffered in full.
pub(crate) struct BufferedResponse {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
    /// Whether this is the stored response of an earlier call.
    pub(crate) replayed: bool,
}

/// Serves a call that carries an idempotency key and is not repeatable.
///
/// The call runs in its own task: if the caller disconnected midway, a claim
/// without a final state would block the key until the deadline.
///
/// # Errors
///
/// A problem document that states whether the call ran.
pub(crate) async fn serve(
    shared: &Arc<Shared>,
    key: String,
    exchange: Exchange,
    admitted: Admitted,
) -> Result<Served, Problem> {
    let shared = shared.clone();
    let task = tokio::spawn(async move {
        // A graceful shutdown waits for the record as well as for the
        // response.
        let _active = shared.state.begin_request();
        run_once(&shared, &key, exchange, admitted).await
    });
    task.await.unwrap_or_else(|_| {
        let reason = "the call failed inside";
        Err(Problem::new(ProblemKind::Internal, reason).ran(Ran::Unknown))
    })
}

async fn run_once(
    shared: &Arc<Shared>,
    key: &str,
    exchange: Exchange,
    admitted: Admitted,
) -> Result<Served, Problem> {
    let new_record = new_record(shared, &exchange);
    let fingerprint_of_call = new_record.fingerprint.clone();
    let outcome = shared
        .claims
        .acquire(&exchange.customer, key, new_record)
        .await;
    match outcome {
        Ok(ClaimOutcome::Acquired(claim)) => {
            run(shared, claim, &exchange, admitted).await
        }
        Ok(ClaimOutcome::Existing(found)) => {
            replay(found, &fingerprint_of_call, shared.timer.clock().unix())
        }
        Ok(ClaimOutcome::Released) => {
            let reason = "an earlier call with this key just ended unsent";
            Err(still_running(reason).ran(Ran::No))
        }
        Err(report) => {
            log::warn!(error:? = report; "a claim cannot be recorded");
            let reason = "that this call runs once cannot be recorded now";
            Err(Problem::new(ProblemKind::PlatformDown, reason)
                .ran(Ran::No)
                .retry_after_ms(UNAVAILABLE_RETRY_AFTER_MS))
        }
    }
}

fn new_record(shared: &Shared, exchange: &Exchange) -> ClaimRecord {
    let max_run_ms = match exchange.plan.deadline_ms {
        0 => MAX_RUN_MS,
        ms => ms,
    };
    let now = shared.timer.clock().unix();
    let until_unix_ms = now.as_ms() + max_run_ms + CLOCK_MARGIN_MS;
    let operation: u128 = rand::random();
    ClaimRecord {
        operation: format!("{operation:032x}"),
        fingerprint: fingerprint(exchange),
        state: ClaimState::Running { until_unix_ms },
    }
}

async fn run(
    shared: &Arc<Shared>,
    claim: Claim,
    exchange: &Exchange,
    admitted: Admitted,
) -> Result<Served, Problem> {
    let claims = &shared.claims;
    let ended = match forward::forward(shared, exchange, admitted).await {
        Ok(started) => buffer(started).await,
        Err(problem) => Err(problem),
    };
    match &ended {
        Ok(served) => {
            let answer = stored_response(served);
            claims.settle(claim, ClaimState::Answered { answer }).await;
        }
        Err(problem) if problem.ran_status() == Some(Ran::No) => {
            claims.release(claim).await;
        }
        Err(problem) => {
            let detail = problem.to_string();
            claims.settle(claim, ClaimState::Lost { detail }).await;
        }
    }
    ended
}

/// Buffers a response that is small enough to be stored.
async fn buffer(started: Started) -> Result<Served, Problem> {
    let is_small = content_length(&started.headers)
        .is_some_and(|bytes| bytes <= MAX_STORED_RESPONSE_BYTES);
    if !is_small {
        return Ok(Served::Started(Box::new(started)));
    }
    let Started {
        status,
        headers,
        mut body,
    } = started;
    let mut bytes = Vec::new();
    match body.read_to_end(&mut bytes).await {
        Ok(_) => Ok(Served::Buffered(BufferedResponse {
            status,
            headers,
            body: bytes.into(),
            replayed: false,
        })),
        Err(error) => {
            Err(response_lost(&format!("the answer broke: {error}")))
        }
    }
}

fn content_length(headers: &[Header]) -> Option<u64> {
    let found = headers.iter().find(|h| h.name == "content-length")?;
    found.value.parse().ok()
}

fn stored_response(served: &Served) -> Option<StoredResponse> {
    match served {
        Served::Started(_) => None,
        Served::Buffered(buffered) => {
            let BufferedResponse {
                status,
                headers,
                body,
                ..
            } = buffered;
            Some(StoredResponse::new(*status, headers, body))
        }
    }
}

/// Responds to a later call with the same key.
fn replay(
    found: ClaimRecord,
    fingerprint_of_call: &str,
    now: UnixMillis,
) -> Result<Served, Problem> {
    if found.fingerprint != fingerprint_of_call {
        let reason = "this key was used for another call";
        return Err(Problem::new(ProblemKind::KeyReused, reason).ran(Ran::No));
    }
    match found.state {
        ClaimState::Running { until_unix_ms }
            if now.as_ms() < until_unix_ms =>
        {
            let reason = "the first call with this key still runs";
            Err(still_running(reason).ran(Ran::Unknown))
        }
        ClaimState::Running { .. } => Err(response_lost(
            "the entry that ran this call did not say how it ended",
        )),
        ClaimState::Lost { detail } => Err(response_lost(&detail)),
        ClaimState::Answered { answer } => replay_stored(answer),
    }
}

fn replay_stored(answer: Option<StoredResponse>) -> Result<Served, Problem> {
    let Some(answer) = answer else {
        let reason =
            "the first call with this key ran; its answer is not kept";
        return Err(Problem::new(ProblemKind::Conflict, reason)
            .ran(Ran::Unknown)
            .with("completed", true));
    };
    let body = answer.body().ok_or_else(|| {
        response_lost(
            "the first call with this key ran; its kept answer is broken",
        )
    })?;
    Ok(Served::Buffered(BufferedResponse {
        status: answer.status,
        headers: answer.headers().collect(),
        body,
        replayed: true,
    }))
}

fn still_running(reason: &str) -> Problem {
    Problem::new(ProblemKind::StillRunning, reason)
        .retry_after_ms(RUNNING_RETRY_AFTER_MS)
}

fn response_lost(reason: &str) -> Problem {
    Problem::new(ProblemKind::AnswerLost, reason).ran(Ran::Unknown)
}
