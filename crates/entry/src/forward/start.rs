//! The start of a response.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use execution::Evidence;
use wire::{
    Run,
    message::{Frame, Header, OutcomeKind, RefusalKind},
};

use super::attempt::{
    Attempt, BufferedReply, Reply, StreamingReply, incomplete, lost, promised,
};
use crate::{body::Framing, fleet::Flight, shared::Shared};

/// Status of responses that have neither a body nor a length.
const NO_CONTENT: u16 = 204;

/// Waits for the head and, for a stream, for the first chunk. Until then
/// nothing was sent to the caller, so a repeatable request can go to another
/// endpoint.
///
/// A silence ends nothing here: the client of the endpoint and the heartbeats
/// of the link report a connection that is lost.
pub(super) async fn start(
    shared: &Arc<Shared>,
    mut run: Run,
    mut flight: Flight,
) -> Attempt {
    let (status, headers) = match run.next().await {
        Some(Frame::Head { status, headers }) => (status, headers),
        Some(Frame::End(outcome)) => return incomplete(&flight, outcome),
        _ => return lost(&flight, "the link to the companion broke"),
    };
    // Endpoints of this interface cannot state that they did not run a call.
    if Evidence::of_response(status, false).contradicts(status) {
        flight.record_refusal(RefusalKind::Full);
        return promised(status);
    }
    flight.record_head(status);
    let mut next_seq = 0;
    let first = loop {
        match run.next().await {
            Some(Frame::Chunk { seq, bytes }) if seq == next_seq => {
                next_seq += 1;
                if !is_comment(&bytes) {
                    break Some(bytes);
                }
            }
            Some(Frame::End(outcome)) => {
                if outcome.kind == OutcomeKind::Complete {
                    break None;
                }
                return incomplete(&flight, outcome);
            }
            _ => {
                let reason = "the answer broke before its first part";
                return lost(&flight, reason);
            }
        }
    };
    flight.record_first_chunk();
    let framing = framing(&headers);
    let answer = StreamingReply {
        status,
        headers,
        framing: framing.unwrap_or(Framing::Sized),
        run,
        first,
        next_seq,
        flight,
    };
    match (framing, &answer.first) {
        (None, Some(_)) => collect(shared, answer).await,
        (None, None) => {
            let StreamingReply {
                status,
                headers,
                flight,
                ..
            } = answer;
            buffered(status, headers, Bytes::new(), flight)
        }
        _ => Attempt::Started(Box::new(Reply::Streaming(answer))),
    }
}

/// Reports whether a chunk is a comment of an event stream, which an engine
/// sends as a keep-alive. Forwarding it would start the response, after which
/// the call can no longer go to another endpoint.
fn is_comment(chunk: &[u8]) -> bool {
    chunk.first() == Some(&b':')
}

/// Returns how an interruption can be reported once the response has started;
/// `None` if it cannot.
fn framing(headers: &[Header]) -> Option<Framing> {
    let find = |name: &str| headers.iter().find(|h| h.name == name);
    let events = |h: &Header| h.value.starts_with("text/event-stream");
    if find("content-type").is_some_and(events) {
        return Some(Framing::Events);
    }
    find("content-length").map(|_| Framing::Sized)
}

/// Buffers a response of unknown length before any of it is sent, because an
/// interruption could not be reported to the caller.
async fn collect(shared: &Arc<Shared>, answer: StreamingReply) -> Attempt {
    let StreamingReply {
        status,
        headers,
        mut run,
        first,
        mut next_seq,
        mut flight,
        ..
    } = answer;
    let limit = shared.limits.body_max_bytes;
    let mut body = BytesMut::from(first.unwrap_or_default());
    loop {
        match run.next().await {
            Some(Frame::Chunk { seq, bytes }) if seq == next_seq => {
                next_seq += 1;
                flight.advance_to(next_seq);
                body.extend_from_slice(&bytes);
                if body.len() as u64 > limit {
                    return over_limit(&flight);
                }
            }
            Some(Frame::End(outcome)) => {
                if outcome.kind == OutcomeKind::Complete
                    && outcome.chunks == next_seq
                {
                    break;
                }
                return incomplete(&flight, outcome);
            }
            _ => return lost(&flight, "the answer broke"),
        }
    }
    buffered(status, headers, body.freeze(), flight)
}

/// Returns a complete response, now of known length.
fn buffered(
    status: u16,
    mut headers: Vec<Header>,
    body: Bytes,
    flight: Flight,
) -> Attempt {
    if status != NO_CONTENT {
        headers.push(Header {
            name: "content-length".to_owned(),
            value: body.len().to_string(),
        });
    }
    Attempt::Started(Box::new(Reply::Buffered(BufferedReply {
        status,
        headers,
        body,
        flight,
    })))
}

fn over_limit(flight: &Flight) -> Attempt {
    lost(
        flight,
        "the answer is over the limit of a body without a length",
    )
}
