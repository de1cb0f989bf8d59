//! The start of an answer.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use serde::de::IgnoredAny;
use tokio::time::timeout;
use wire::{
    Run,
    message::{Frame, Header, OutcomeKind},
};

use super::{
    attempt::{Answering, Attempt, Reply, Whole, broke, ended_early},
    prefix,
};
use crate::{
    body::Framing, exchange::Exchange, fleet::Flight, shared::Shared,
};

/// Waits for the head and, for a stream, for the first chunk: until then
/// nothing went to the caller and a repeatable request can go elsewhere.
pub(super) async fn start(
    shared: &Arc<Shared>,
    exchange: &Exchange,
    mut run: Run,
    flight: Flight,
) -> Attempt {
    let silence = Duration::from_millis(shared.timeouts.first_byte_ms);
    let (status, headers) = match timeout(silence, run.next()).await {
        Ok(Some(Frame::Head { status, headers })) => (status, headers),
        Ok(Some(Frame::End(outcome))) => return ended_early(&flight, outcome),
        Ok(_) => return broke(&flight, "the link to the companion broke"),
        Err(_) => return broke(&flight, "the companion went silent"),
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
                return ended_early(&flight, outcome);
            }
            Ok(_) => {
                let why = "the answer broke before its first part";
                return broke(&flight, why);
            }
            Err(_) => return broke(&flight, "the answer went silent"),
        }
    };
    flight.answered();
    let framing = framing(&headers);
    let answer = Answering {
        status,
        headers,
        framing: framing.unwrap_or(Framing::Sized),
        run,
        first,
        next_seq,
        flight,
    };
    match framing {
        Some(_) => Attempt::Begun(Box::new(Reply::Streaming(answer))),
        None => collect(shared, exchange, answer).await,
    }
}

/// Tells whether a chunk is an event stream's comment, which an engine sends
/// to show that it lives. Passing it on would start the answer, after which
/// the call cannot go to another endpoint any more.
fn is_comment(chunk: &[u8]) -> bool {
    chunk.first() == Some(&b':')
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
) -> Attempt {
    let Answering {
        status,
        mut headers,
        mut run,
        first,
        mut next_seq,
        mut flight,
        ..
    } = answer;
    let silence = Duration::from_millis(shared.timeouts.between_bytes_ms);
    let limit = shared.limits.body_max_bytes;
    let mut all = BytesMut::from(first.unwrap_or_default());
    loop {
        match timeout(silence, run.next()).await {
            Ok(Some(Frame::Chunk { seq, bytes })) if seq == next_seq => {
                next_seq += 1;
                flight.advance_to(next_seq);
                all.extend_from_slice(&bytes);
                if all.len() as u64 > limit {
                    return too_long(&flight);
                }
            }
            Ok(Some(Frame::End(outcome))) => {
                if outcome.kind == OutcomeKind::Complete
                    && outcome.chunks == next_seq
                {
                    break;
                }
                return ended_early(&flight, outcome);
            }
            Ok(_) => return broke(&flight, "the answer broke"),
            Err(_) => return broke(&flight, "the answer went silent"),
        }
    }
    if prefix::is_model_call(&exchange.path) && is_cut(&headers, &all) {
        return broke(&flight, "the answer ended within its JSON");
    }
    headers.push(Header {
        name: "content-length".to_owned(),
        value: all.len().to_string(),
    });
    let body: Bytes = all.freeze();
    Attempt::Begun(Box::new(Reply::Whole(Whole {
        status,
        headers,
        body,
        flight,
    })))
}

/// Tells whether a JSON answer stops before its end. An engine that gives up
/// in the middle may still end its chunks as if all were there.
fn is_cut(headers: &[Header], body: &[u8]) -> bool {
    let is_json = headers.iter().any(|header| {
        header.name == "content-type"
            && header.value.starts_with("application/json")
    });
    is_json && serde_json::from_slice::<IgnoredAny>(body).is_err()
}

fn too_long(flight: &Flight) -> Attempt {
    broke(
        flight,
        "the answer is over the limit of a body without a length",
    )
}
