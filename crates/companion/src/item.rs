//! Runs one batch item.

use base::{Class, RequestId, UnixMillis};
use bytes::{Bytes, BytesMut};
use gate::{End, StopReason};
use obs::{Counter, Series};
use serde::Deserialize;
use tokio::sync::mpsc;
use wire::{
    Answer,
    message::{
        Frame, Header, Item, ItemOutcome, ItemResult, Outcome, OutcomeKind,
        Request,
    },
};

use crate::{admission::Place, handler::Shared};

/// Takes an item in hand, so that its order of arrival counts.
pub(crate) fn offer(shared: &Shared, item: &Item) -> Place {
    let due = UnixMillis::new(item.due_unix_ms);
    shared.admission.offer(&item.customer, due)
}

/// Runs an item when it is its turn, and says what became of it.
pub(crate) async fn run(
    shared: &Shared,
    item: Item,
    mut place: Place,
) -> ItemResult {
    let mut result = blank(&item);
    let Some(request) = request(&item, shared) else {
        return result;
    };
    if place.start().await.is_err() {
        return result;
    }
    let customer = shared.metrics.customer(&item.customer);
    let started = shared.timer.now();
    customer.count(Counter::Arrived, Class::Batch, 1);
    let read = tokio::select! {
        read = call(shared, request) => read,
        why = place.stopped() => {
            customer.count(Counter::Preempted, Class::Batch, 1);
            if why == StopReason::Stalled {
                result.outcome = ItemOutcome::Lost;
            }
            return result;
        }
    };
    let read = match read {
        Ok(read) => read,
        Err(outcome) => {
            result.outcome = outcome;
            customer.count(Counter::Failed, Class::Batch, 1);
            return result;
        }
    };
    let tokens = tokens_of(&read.body);
    place.end(End::Done { tokens });
    let ms = shared.timer.now().saturating_ms_since(started);
    customer.record(Series::BatchItemMs, Class::Batch, ms);
    customer.count(Counter::Completed, Class::Batch, 1);
    result.outcome = ItemOutcome::Answered;
    result.status = read.status;
    result.body = read.body;
    result
}

async fn call(shared: &Shared, request: Request) -> Result<Read, ItemOutcome> {
    let (answer, mut frames) = Answer::channel();
    let call = shared.client.run(request, &answer, || {});
    let (_, read) = tokio::join!(call, collect(&mut frames));
    read
}

/// Makes a result that gives the item back untried.
fn blank(item: &Item) -> ItemResult {
    ItemResult {
        grant: item.grant,
        partition: item.partition,
        fence: item.fence,
        job: item.job.clone(),
        index: item.index,
        attempt: item.attempt,
        outcome: ItemOutcome::Returned,
        status: 0,
        body: Bytes::new(),
    }
}

fn request(item: &Item, shared: &Shared) -> Option<Request> {
    let id = format!("{}-{}-{}", item.job, item.index, item.attempt);
    let request_id: RequestId = id.parse().ok()?;
    Some(Request {
        request_id,
        attempt: item.attempt,
        customer: item.customer.clone(),
        class: Class::Batch,
        method: "POST".to_owned(),
        path: item.path.clone(),
        headers: vec![Header {
            name: "content-type".to_owned(),
            value: "application/json".to_owned(),
        }],
        body: item.body.clone(),
        deadline_ms: 0,
        repeatable: true,
        resume_offset: 0,
        target: shared.endpoint.name.as_str().to_owned(),
    })
}

/// The part of an answer that tells its length.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Counted {
    usage: Usage,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Usage {
    completion_tokens: u32,
}

/// Returns the tokens of an answer, 0 if it does not say.
fn tokens_of(body: &[u8]) -> u32 {
    let counted: Counted = serde_json::from_slice(body).unwrap_or_default();
    counted.usage.completion_tokens
}

struct Read {
    status: u16,
    body: Bytes,
}

/// Reads a whole answer, or finds out what became of it.
async fn collect(
    frames: &mut mpsc::Receiver<Frame>,
) -> Result<Read, ItemOutcome> {
    let mut status = 0;
    let mut body = BytesMut::new();
    loop {
        let frame = frames.recv().await.ok_or(ItemOutcome::Lost)?;
        let kind = match frame {
            Frame::Head { status: code, .. } => {
                status = code;
                continue;
            }
            Frame::Chunk { bytes, .. } => {
                body.extend_from_slice(&bytes);
                continue;
            }
            Frame::End(Outcome { kind, .. }) => kind,
        };
        return match kind {
            OutcomeKind::Complete => Ok(Read {
                status,
                body: body.freeze(),
            }),
            OutcomeKind::Crashed => Err(ItemOutcome::Crashed),
            _ => Err(ItemOutcome::Lost),
        };
    }
}
