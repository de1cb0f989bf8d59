//! Sends a request to an endpoint and starts its answer.

use std::{sync::Arc, time::Duration};

use base::EndpointName;
use bytes::{Bytes, BytesMut};
use obs::{Counter, Series};
use tokio::time::timeout;
use upstream::EndpointClient;
use web::{Problem, ProblemKind, Ran};
use wire::{
    Answer, LinkError, Run, RunReply,
    message::{
        Frame, Header, Outcome, OutcomeKind, Refusal, RefusalKind, Request,
    },
};

use crate::{
    body::{AnswerBody, Ended, Framing, OnEnd},
    exchange::Exchange,
    fleet::{Endpoint, InFlight, Route},
    shared::{Admitted, Shared},
};

/// Endpoints that may refuse a request before the caller hears of it. A
/// refusal costs a millisecond and is always safe to try elsewhere.
const REFUSALS_MAX: u32 = 8;

/// When a caller may come back if no endpoint took the request, in
/// milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// The start of an answer.
pub(crate) struct Started {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: AnswerBody,
}

/// What became of one attempt.
enum Attempt {
    Started(Box<Started>),
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

/// Serves a request from the pools of its plan.
///
/// # Errors
///
/// A problem document that says whether the request ran.
pub(crate) async fn forward(
    shared: &Arc<Shared>,
    exchange: &Exchange,
    admitted: Admitted,
) -> Result<Started, Problem> {
    let mut tried = Vec::new();
    let mut refusals = 0;
    let mut retries = 0;
    let mut may_have_run = false;
    let mut last = "no endpoint is known".to_owned();
    let mut retry_after_ms = None;
    loop {
        let left_ms = time_left_ms(shared, exchange)
            .ok_or_else(|| timed_out(may_have_run))?;
        let Some(endpoint) = choose(shared, exchange, &tried) else {
            break;
        };
        tried.push(endpoint.name.clone());
        let number = refusals + retries;
        let attempt =
            attempt(shared, exchange, &endpoint, number, left_ms).await;
        match attempt {
            Attempt::Started(mut started) => {
                started.body.hold(admitted);
                return Ok(*started);
            }
            Attempt::NotRun {
                why,
                retry_after_ms: after,
            } => {
                refusals += 1;
                last = why;
                retry_after_ms = retry_after_ms.max(after);
                if refusals >= REFUSALS_MAX {
                    break;
                }
            }
            Attempt::Lost { why, kind } => {
                may_have_run = true;
                endpoint.pause(shared.timer.now());
                if !exchange.plan.repeatable
                    || retries >= exchange.plan.retries
                {
                    return Err(lost(kind, why));
                }
                retries += 1;
                last = why;
                exchange.metrics.count(Counter::Retried, exchange.class, 1);
            }
        }
    }
    if may_have_run {
        return Err(lost(ProblemKind::AnswerLost, last));
    }
    let after = retry_after_ms.unwrap_or(RETRY_AFTER_MS);
    Err(Problem::new(ProblemKind::NoEndpoint, last)
        .ran(Ran::No)
        .retry_after_ms(after))
}

fn lost(kind: ProblemKind, why: String) -> Problem {
    Problem::new(kind, why).ran(Ran::Unknown)
}

fn timed_out(may_have_run: bool) -> Problem {
    let ran = if may_have_run { Ran::Unknown } else { Ran::No };
    Problem::new(ProblemKind::TimedOut, "the deadline has passed").ran(ran)
}

/// Returns what is left of the deadline, 0 for none, `None` if it passed.
fn time_left_ms(shared: &Shared, exchange: &Exchange) -> Option<u64> {
    if exchange.plan.deadline_ms == 0 {
        return Some(0);
    }
    let now = shared.timer.now();
    let spent_ms = now.saturating_ms_since(exchange.received);
    exchange
        .plan
        .deadline_ms
        .checked_sub(spent_ms)
        .filter(|ms| *ms > 0)
}

fn choose(
    shared: &Shared,
    exchange: &Exchange,
    tried: &[EndpointName],
) -> Option<Arc<Endpoint>> {
    let now = shared.timer.now();
    exchange.plan.pools.iter().find_map(|pool| {
        let here = &shared.failure_domain;
        shared.fleet.choose(pool, here, tried, now, rand::random())
    })
}

async fn attempt(
    shared: &Arc<Shared>,
    exchange: &Exchange,
    endpoint: &Arc<Endpoint>,
    number: u32,
    left_ms: u64,
) -> Attempt {
    let in_flight = endpoint.begin();
    let request = request(exchange, endpoint, number, left_ms);
    let address = match &endpoint.route {
        Route::Companion(address) => *address,
        Route::Direct(client) => {
            let client = client.as_ref();
            return direct(shared, exchange, client, request, in_flight).await;
        }
    };
    match shared.links.run(address, request).await {
        Ok(RunReply::Accepted { run, load }) => {
            endpoint.note_incarnation(load.incarnation);
            start(shared, exchange, run, in_flight).await
        }
        Ok(RunReply::Refused { refusal, load }) => {
            endpoint.note_incarnation(load.incarnation);
            note_refusal(shared, endpoint, &refusal);
            let after = u64::from(refusal.retry_after_ms);
            Attempt::NotRun {
                why: refusal.detail,
                retry_after_ms: Some(after).filter(|ms| *ms > 0),
            }
        }
        Err(report) => {
            endpoint.pause(shared.timer.now());
            let why = format!("{}: {report}", endpoint.name);
            match report.current_context() {
                LinkError::Unknown => Attempt::Lost {
                    why,
                    kind: ProblemKind::AnswerLost,
                },
                LinkError::NotSent | LinkError::Refused(_) => {
                    Attempt::NotRun {
                        why,
                        retry_after_ms: None,
                    }
                }
            }
        }
    }
}

fn note_refusal(shared: &Shared, endpoint: &Endpoint, refusal: &Refusal) {
    let now = shared.timer.now();
    match refusal.kind {
        RefusalKind::Leaving => endpoint.pause_leaving(now),
        RefusalKind::EndpointDown | RefusalKind::WrongTarget => {
            endpoint.pause(now);
        }
        _ => {}
    }
}

fn request(
    exchange: &Exchange,
    endpoint: &Endpoint,
    attempt: u32,
    deadline_ms: u64,
) -> Request {
    Request {
        request_id: exchange.request_id.clone(),
        attempt,
        tenant: exchange.tenant.clone(),
        class: exchange.class,
        method: exchange.method.clone(),
        path: exchange.path.clone(),
        headers: exchange.headers.clone(),
        body: exchange.body.clone(),
        deadline_ms,
        repeatable: exchange.plan.repeatable,
        resume_offset: 0,
        target: endpoint.name.as_str().to_owned(),
    }
}

/// Calls an endpoint that has no companion.
async fn direct(
    shared: &Arc<Shared>,
    exchange: &Exchange,
    client: &EndpointClient,
    request: Request,
    in_flight: InFlight,
) -> Attempt {
    let client = client.clone();
    let (answer, frames) = Answer::channel();
    tokio::spawn(async move {
        client.run(request, &answer, || {}).await;
    });
    start(shared, exchange, Run::local(frames), in_flight).await
}

/// Waits for the head and, for a stream, for the first chunk: until then
/// nothing went to the caller and a repeatable request can go elsewhere.
async fn start(
    shared: &Arc<Shared>,
    exchange: &Exchange,
    mut run: Run,
    in_flight: InFlight,
) -> Attempt {
    let silence = Duration::from_millis(shared.timeouts.first_byte_ms);
    let (status, headers) = match timeout(silence, run.next()).await {
        Ok(Some(Frame::Head { status, headers })) => (status, headers),
        Ok(Some(Frame::End(outcome))) => return ended_early(outcome),
        Ok(_) => return broke("the link to the companion broke"),
        Err(_) => return broke("the companion went silent"),
    };
    let mut next_seq = 0;
    let first = loop {
        match timeout(silence, run.next()).await {
            Ok(Some(Frame::Chunk { seq, bytes })) if seq == next_seq => {
                next_seq += 1;
                if !is_comment(&bytes) {
                    break Some(bytes);
                }
            }
            Ok(Some(Frame::End(outcome))) => {
                if outcome.kind == OutcomeKind::Complete {
                    break None;
                }
                return ended_early(outcome);
            }
            Ok(_) => return broke("the answer broke before its first part"),
            Err(_) => return broke("the answer went silent"),
        }
    };
    note_first(shared, exchange);
    let answer = Answering {
        run,
        first,
        next_seq,
        in_flight,
    };
    if let Some(framing) = framing(&headers) {
        let body = body(shared, exchange, answer, framing);
        return Attempt::Started(Box::new(Started {
            status,
            headers,
            body,
        }));
    }
    collect(shared, exchange, answer, status, headers).await
}

/// An answer whose first part has come.
struct Answering {
    run: Run,
    first: Option<Bytes>,
    next_seq: u32,
    in_flight: InFlight,
}

/// Returns how a break of the answer can be told once it has begun; `None`
/// if it cannot.
fn framing(headers: &[Header]) -> Option<Framing> {
    let find = |name: &str| headers.iter().find(|h| h.name == name);
    let events = |h: &Header| h.value.starts_with("text/event-stream");
    if find("content-type").is_some_and(events) {
        return Some(Framing::Events);
    }
    find("content-length").map(|_| Framing::Sized)
}

/// Reads an answer of unknown length to its end before any of it goes out,
/// because a break in the middle could not be told to the caller.
async fn collect(
    shared: &Arc<Shared>,
    exchange: &Exchange,
    answer: Answering,
    status: u16,
    mut headers: Vec<Header>,
) -> Attempt {
    let Answering {
        mut run,
        first,
        mut next_seq,
        in_flight,
    } = answer;
    let silence = Duration::from_millis(shared.timeouts.between_bytes_ms);
    let limit = shared.limits.body_max_bytes;
    let mut all = BytesMut::from(first.unwrap_or_default());
    loop {
        match timeout(silence, run.next()).await {
            Ok(Some(Frame::Chunk { seq, bytes })) if seq == next_seq => {
                next_seq += 1;
                all.extend_from_slice(&bytes);
                if all.len() as u64 > limit {
                    return broke(
                        "the answer is over the limit of a body \
                                  without a length",
                    );
                }
            }
            Ok(Some(Frame::End(outcome))) => {
                if outcome.kind == OutcomeKind::Complete
                    && outcome.chunks == next_seq
                {
                    break;
                }
                return ended_early(outcome);
            }
            Ok(_) => return broke("the answer broke"),
            Err(_) => return broke("the answer went silent"),
        }
    }
    headers.push(Header {
        name: "content-length".to_owned(),
        value: all.len().to_string(),
    });
    let on_end = on_end(shared, exchange, in_flight);
    let body = AnswerBody::whole(all.freeze(), on_end);
    Attempt::Started(Box::new(Started {
        status,
        headers,
        body,
    }))
}

/// Tells whether a chunk is an event stream's comment, which an engine sends
/// to show that it lives. Passing it on would start the answer, after which
/// the call cannot go to another endpoint any more.
fn is_comment(chunk: &[u8]) -> bool {
    chunk.first() == Some(&b':')
}

fn note_first(shared: &Shared, exchange: &Exchange) {
    let now = shared.timer.now();
    let ms = now.saturating_ms_since(exchange.received);
    exchange
        .metrics
        .record(Series::FirstTokenMs, exchange.class, ms);
}

fn body(
    shared: &Arc<Shared>,
    exchange: &Exchange,
    answer: Answering,
    framing: Framing,
) -> AnswerBody {
    let Answering {
        run,
        first,
        next_seq,
        in_flight,
    } = answer;
    let on_end = on_end(shared, exchange, in_flight);
    let Some(first) = first else {
        return AnswerBody::empty(on_end);
    };
    let metrics = exchange.metrics.clone();
    let class = exchange.class;
    let on_chunk = Arc::new(move |_| metrics.count(Counter::Tokens, class, 1));
    AnswerBody::new(run, first, next_seq, on_chunk, on_end, framing)
}

fn on_end(shared: &Shared, exchange: &Exchange, in_flight: InFlight) -> OnEnd {
    let metrics = exchange.metrics.clone();
    let class = exchange.class;
    let received = exchange.received;
    let timer = shared.timer.clone();
    let request_id = exchange.request_id.clone();
    Box::new(move |ended: &Ended| {
        let _in_flight = in_flight;
        let ms = timer.now().saturating_ms_since(received);
        metrics.record(Series::TotalMs, class, ms);
        let counter = match ended {
            Ended::Complete => Counter::Completed,
            Ended::Broken(_) => Counter::Failed,
            Ended::Left => Counter::Cancelled,
        };
        metrics.count(counter, class, 1);
        let detail = ended.detail();
        let id = request_id.as_str();
        log::debug!(request_id = id, total_ms = ms, detail; "answer ended");
    })
}

fn broke(why: &str) -> Attempt {
    let kind = ProblemKind::AnswerLost;
    Attempt::Lost {
        why: why.to_owned(),
        kind,
    }
}

fn ended_early(outcome: Outcome) -> Attempt {
    if !outcome.ran {
        let why = outcome.detail;
        return Attempt::NotRun {
            why,
            retry_after_ms: None,
        };
    }
    let kind = match outcome.kind {
        OutcomeKind::TimedOut => ProblemKind::TimedOut,
        _ => ProblemKind::AnswerLost,
    };
    Attempt::Lost {
        why: outcome.detail,
        kind,
    }
}
