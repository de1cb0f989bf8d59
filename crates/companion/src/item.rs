//! Runs one batch item.

use base::{Class, RequestId, UnixMillis, VersionKey};
use bytes::{Bytes, BytesMut};
use gate::{End, StopReason};
use obs::{Counter, Series};
use serde::Deserialize;
use tokio::sync::mpsc;
use wire::{
    FrameSender,
    message::{
        Frame, Header, Item, ItemOutcome, ItemResult, Outcome, OutcomeKind,
        Request,
    },
};

use crate::{admission::GateCall, handler::Shared};

/// Admits an item to the gate, which records its arrival order.
pub(crate) fn admit(shared: &Shared, item: &Item) -> GateCall {
    let due = UnixMillis::new(item.due_unix_ms);
    shared.admission.admit_batch(&item.customer, due)
}

/// Runs an item when the gate starts it, and returns its result.
pub(crate) async fn run(
    shared: &Shared,
    item: Item,
    mut gate_call: GateCall,
) -> ItemResult {
    let mut result = returned_result(&item);
    let Some(request) = request(&item, shared) else {
        return result;
    };
    if gate_call.wait_for_start().await.is_err() {
        return result;
    }
    let id = request.request_id.clone();
    let customer = shared.metrics.customer(&item.customer);
    let started = shared.timer.now();
    customer.count(Counter::Arrived, Class::Batch, 1);
    let response = tokio::select! {
        response = call(shared, request) => response,
        reason = gate_call.wait_for_stop() => {
            customer.count(Counter::Preempted, Class::Batch, 1);
            let running_ms = shared.timer.now().saturating_ms_since(started);
            log::info!(
                request_id = id.as_str(), running_ms, reason:?;
                "a batch item was stopped"
            );
            if reason == StopReason::Stalled {
                result.outcome = ItemOutcome::Lost;
            }
            return result;
        }
    };
    let response = match response {
        Ok(response) => response,
        Err(outcome) => {
            result.outcome = outcome;
            customer.count(Counter::Failed, Class::Batch, 1);
            return result;
        }
    };
    let tokens = tokens_of(&response.body);
    gate_call.end(End::Done { tokens });
    let ms = shared.timer.now().saturating_ms_since(started);
    customer.record(Series::BatchItemMs, Class::Batch, ms);
    customer.count(Counter::Completed, Class::Batch, 1);
    result.outcome = ItemOutcome::Answered;
    result.status = response.status;
    result.body = response.body;
    result
}

async fn call(shared: &Shared, request: Request) -> Result<Read, ItemOutcome> {
    let (answer, mut frames) = FrameSender::channel();
    let call = shared.client.run(request, &answer, || {});
    let (_, response) = tokio::join!(call, collect(&mut frames));
    response
}

/// Creates a result that returns the item without a run.
fn returned_result(item: &Item) -> ItemResult {
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
        version: VersionKey::UNDECLARED,
        target: shared.endpoint.name.as_str().to_owned(),
    })
}

/// The part of a response that contains its token count.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct CompletionBody {
    usage: Usage,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Usage {
    completion_tokens: u32,
}

/// Returns the token count of a response, or 0 if the response has none.
fn tokens_of(body: &[u8]) -> u32 {
    let completion: CompletionBody =
        serde_json::from_slice(body).unwrap_or_default();
    completion.usage.completion_tokens
}

/// A complete response.
struct Read {
    status: u16,
    body: Bytes,
}

/// Reads a complete response, or returns the outcome of a failed one.
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
