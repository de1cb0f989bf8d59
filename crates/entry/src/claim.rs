//! Calls that run at most once, also when their callers send them again.
//!
//! See `docs/design/at-most-once.md`.

use std::{sync::Arc, time::Duration};

use base::UnixMillis;
use bytes::Bytes;
use tokio::{io::AsyncReadExt, time::timeout};
use web::{Problem, ProblemKind, Ran};
use wire::message::Header;

use crate::{
    claim_record::{
        ANSWER_KEPT_MAX_BYTES, ClaimRecord, ClaimState, KeptAnswer,
        fingerprint,
    },
    claim_store::{Claim, Taken},
    exchange::Exchange,
    forward::{self, Started},
    shared::{Admitted, Shared},
};

/// Time that a call without a deadline may run before its claim counts as
/// lost, in milliseconds.
const RUN_MAX_MS: u64 = 600_000;

/// Time that the clocks of two entries may differ by, in milliseconds.
const CLOCK_MARGIN_MS: u64 = 30_000;

/// When a caller may come back while the first call runs, in milliseconds.
const RUNNING_RETRY_AFTER_MS: u64 = 1_000;

/// When a caller may come back if a claim cannot be recorded, in
/// milliseconds.
const DOWN_RETRY_AFTER_MS: u64 = 5_000;

/// The answer to a call.
pub(crate) enum Served {
    /// It comes from an endpoint.
    Started(Started),
    /// It is here.
    Whole(WholeAnswer),
}

/// An answer that is all here.
pub(crate) struct WholeAnswer {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
    /// Whether it is that of an earlier call.
    pub(crate) replayed: bool,
}

/// Serves a call that carries an idempotency key and may not be repeated.
///
/// The work is a task of its own: if the caller leaves in the middle, a
/// claim without an end would block the key until the call's deadline.
///
/// # Errors
///
/// A problem document that says whether the call ran.
pub(crate) async fn serve(
    shared: &Arc<Shared>,
    key: String,
    exchange: Exchange,
    admitted: Admitted,
) -> Result<Served, Problem> {
    let shared = shared.clone();
    let task = tokio::spawn(async move {
        // A planned stop waits for the record, not only for the answer.
        let _active = shared.state.begin_request();
        claimed(&shared, &key, exchange, admitted).await
    });
    task.await.unwrap_or_else(|_| {
        let why = "the call failed inside";
        Err(Problem::new(ProblemKind::Internal, why).ran(Ran::Unknown))
    })
}

async fn claimed(
    shared: &Arc<Shared>,
    key: &str,
    exchange: Exchange,
    admitted: Admitted,
) -> Result<Served, Problem> {
    let record = record(shared, &exchange);
    let wanted = record.fingerprint.clone();
    let taken = shared.claims.take(&exchange.customer, key, record).await;
    match taken {
        Ok(Taken::New(claim)) => run(shared, claim, &exchange, admitted).await,
        Ok(Taken::Found(found)) => {
            replay(found, &wanted, shared.timer.clock().unix())
        }
        Ok(Taken::Released) => {
            let why = "an earlier call with this key just ended unsent";
            Err(still_running(why).ran(Ran::No))
        }
        Err(report) => {
            log::warn!(error:? = report; "a claim cannot be recorded");
            let why = "that this call runs once cannot be recorded now";
            Err(Problem::new(ProblemKind::PlatformDown, why)
                .ran(Ran::No)
                .retry_after_ms(DOWN_RETRY_AFTER_MS))
        }
    }
}

fn record(shared: &Shared, exchange: &Exchange) -> ClaimRecord {
    let runs_ms = match exchange.plan.deadline_ms {
        0 => RUN_MAX_MS,
        ms => ms,
    };
    let now = shared.timer.clock().unix();
    let until_unix_ms = now.as_ms() + runs_ms + CLOCK_MARGIN_MS;
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
        Ok(started) => keep(shared, started).await,
        Err(problem) => Err(problem),
    };
    match &ended {
        Ok(served) => {
            let answer = kept(served);
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

/// Reads an answer that is small enough to be kept.
async fn keep(shared: &Shared, started: Started) -> Result<Served, Problem> {
    let small = length(&started.headers)
        .is_some_and(|bytes| bytes <= ANSWER_KEPT_MAX_BYTES);
    if !small {
        return Ok(Served::Started(started));
    }
    let limit = Duration::from_millis(shared.timeouts.first_byte_ms);
    let Started {
        status,
        headers,
        mut body,
    } = started;
    let mut bytes = Vec::new();
    match timeout(limit, body.read_to_end(&mut bytes)).await {
        Ok(Ok(_)) => Ok(Served::Whole(WholeAnswer {
            status,
            headers,
            body: bytes.into(),
            replayed: false,
        })),
        Ok(Err(error)) => Err(lost(&format!("the answer broke: {error}"))),
        Err(_) => Err(lost("the answer went silent")),
    }
}

fn length(headers: &[Header]) -> Option<u64> {
    let found = headers.iter().find(|h| h.name == "content-length")?;
    found.value.parse().ok()
}

fn kept(served: &Served) -> Option<KeptAnswer> {
    match served {
        Served::Started(_) => None,
        Served::Whole(whole) => {
            let WholeAnswer {
                status,
                headers,
                body,
                ..
            } = whole;
            Some(KeptAnswer::new(*status, headers, body))
        }
    }
}

/// Answers a further caller of a key.
fn replay(
    found: ClaimRecord,
    wanted: &str,
    now: UnixMillis,
) -> Result<Served, Problem> {
    if found.fingerprint != wanted {
        let why = "this key was used for another call";
        return Err(Problem::new(ProblemKind::KeyReused, why).ran(Ran::No));
    }
    match found.state {
        ClaimState::Running { until_unix_ms }
            if now.as_ms() < until_unix_ms =>
        {
            let why = "the first call with this key still runs";
            Err(still_running(why).ran(Ran::Unknown))
        }
        ClaimState::Running { .. } => Err(lost(
            "the entry that ran this call did not say how it ended",
        )),
        ClaimState::Lost { detail } => Err(lost(&detail)),
        ClaimState::Answered { answer } => replay_answer(answer),
    }
}

fn replay_answer(answer: Option<KeptAnswer>) -> Result<Served, Problem> {
    let Some(answer) = answer else {
        let why = "the first call with this key ran; its answer is not kept";
        return Err(Problem::new(ProblemKind::Conflict, why)
            .ran(Ran::Unknown)
            .with("completed", true));
    };
    let body = answer.body().ok_or_else(|| {
        lost("the first call with this key ran; its kept answer is broken")
    })?;
    Ok(Served::Whole(WholeAnswer {
        status: answer.status,
        headers: answer.headers().collect(),
        body,
        replayed: true,
    }))
}

fn still_running(why: &str) -> Problem {
    Problem::new(ProblemKind::StillRunning, why)
        .retry_after_ms(RUNNING_RETRY_AFTER_MS)
}

fn lost(why: &str) -> Problem {
    Problem::new(ProblemKind::AnswerLost, why).ran(Ran::Unknown)
}
