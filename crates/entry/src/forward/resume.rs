//! Resumes an interrupted event stream at another endpoint.

use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Map, Value, json};
use wire::{Run, message::OutcomeKind};

use super::{
    attempt::{Reply, StreamingReply, record_incomplete},
    attempts::Attempts,
    event::{self, EventKind},
};
use crate::{
    body::Framing, exchange::Exchange, fleet::Flight, shared::Shared,
};

/// Field of a request body with the number of content events to skip.
const OFFSET_FIELD: &str = "resume_offset";

/// Stream parameters in the caller's body.
#[derive(Deserialize)]
struct StreamParams {
    #[serde(default)]
    stream: bool,
    n: Option<u32>,
}

/// Events that were forwarded to the caller so far.
#[derive(Debug, Default)]
struct Forwarded {
    /// Number of content events.
    content: u32,
    role: bool,
    finish: bool,
    usage: bool,
    done: bool,
    /// Set after an event that cannot be counted.
    other: bool,
    /// `id` and `created` of the first event.
    head: Option<(Value, Value)>,
}

/// A stream that can be resumed at another endpoint.
///
/// Otherwise each worker that dies would leave callers with half a response. A
/// restart from the beginning would repeat text that the caller has, so the
/// next attempt starts after the content events that were forwarded.
pub(crate) struct Resume {
    shared: Arc<Shared>,
    exchange: Exchange,
    attempts: Attempts,
    forwarded: Forwarded,
    /// Whether the current attempt is a resumed one.
    resumed: bool,
    /// Number of content events that the current attempt skips.
    offset: u32,
}

/// A resumed stream.
pub(crate) struct ResumedStream {
    pub(crate) run: Run,
    pub(crate) first: Option<Bytes>,
    pub(crate) next_seq: u32,
    pub(crate) flight: Flight,
}

impl Resume {
    /// Prepares to resume a response; `None` if its request does not allow it.
    pub(super) fn try_new(
        shared: &Arc<Shared>,
        exchange: &Exchange,
        attempts: Attempts,
    ) -> Option<Box<Self>> {
        if !exchange.plan.repeatable {
            return None;
        }
        let params: StreamParams =
            serde_json::from_slice(&exchange.body).ok()?;
        if !params.stream || params.n.is_some_and(|n| n != 1) {
            return None;
        }
        Some(Box::new(Self {
            shared: shared.clone(),
            exchange: exchange.clone(),
            attempts,
            forwarded: Forwarded::default(),
            resumed: false,
            offset: 0,
        }))
    }

    /// Records an event and returns the form that is forwarded to the caller;
    /// `None` if the caller already has it.
    pub(crate) fn filter_event(&mut self, event: Bytes) -> Option<Bytes> {
        let kind = event::classify(&event);
        let forwarded = &mut self.forwarded;
        if !self.resumed {
            forwarded.record(kind, &event);
            return Some(event);
        }
        if forwarded.is_redundant(kind) {
            return None;
        }
        let event = forwarded.rewrite(event, self.offset);
        forwarded.record(kind, &event);
        Some(event)
    }

    /// Tries to resume at another endpoint after `why`. Returns itself for the
    /// next interruption, or `None` if the stream cannot be resumed.
    pub(crate) async fn resume(
        mut self: Box<Self>,
        interrupted: Flight,
        kind: Option<OutcomeKind>,
        why: String,
    ) -> Option<(Box<Self>, ResumedStream)> {
        record_incomplete(&interrupted, kind);
        let (shared, exchange) = (&self.shared, &self.exchange);
        let id = exchange.request_id.as_str();
        let offset = self.forwarded.content;
        if self.forwarded.other || self.forwarded.done {
            log::info!(request_id = id, offset, why, done = self.forwarded.done;
                "a stream cannot be resumed after its events");
            return None;
        }
        if !self.attempts.record_interruption(
            shared,
            exchange,
            &interrupted,
            &why,
        ) {
            log::info!(request_id = id, offset, why,
                retries = exchange.plan.retries;
                "no time or no retry is left to resume a stream");
            return None;
        }
        drop(interrupted);
        self.resumed = true;
        self.offset = offset;
        let next = self.attempts.next(shared, exchange, offset).await;
        let answer = match next {
            Ok(Reply::Streaming(answer)) => answer,
            Ok(Reply::Buffered(_)) => {
                log::info!(request_id = id, offset, why;
                    "another endpoint does not stream the response");
                return None;
            }
            Err(problem) => {
                log::info!(request_id = id, offset, why, problem:%;
                    "no endpoint can resume a stream");
                return None;
            }
        };
        log::info!(request_id = id, offset, why; "a stream is resumed at another endpoint");
        let StreamingReply {
            status: 200,
            framing: Framing::Events,
            run,
            first,
            next_seq,
            flight,
            ..
        } = answer
        else {
            return None;
        };
        let first = first.and_then(|first| self.filter_event(first));
        let resumed_stream = ResumedStream {
            run,
            first,
            next_seq,
            flight,
        };
        Some((self, resumed_stream))
    }
}

impl Forwarded {
    /// Reports whether the caller already has the only event of this kind, or
    /// does not need it.
    fn is_redundant(&self, kind: EventKind) -> bool {
        match kind {
            EventKind::Comment => true,
            EventKind::Role => self.role,
            EventKind::Finish => self.finish,
            EventKind::Usage => self.usage,
            EventKind::Done => self.done,
            EventKind::Content { .. } | EventKind::Other => false,
        }
    }

    fn record(&mut self, kind: EventKind, event: &[u8]) {
        match kind {
            EventKind::Comment => return,
            EventKind::Content { ends } => {
                self.content = self.content.saturating_add(1);
                self.role = true;
                self.finish |= ends;
            }
            EventKind::Role => self.role = true,
            EventKind::Finish => self.finish = true,
            EventKind::Usage => self.usage = true,
            EventKind::Done => self.done = true,
            EventKind::Other => self.other = true,
        }
        if self.head.is_none()
            && let Some(mut event) = parse(event)
        {
            let mut take = |name| {
                event.get_mut(name).map(Value::take).unwrap_or_default()
            };
            self.head = Some((take("id"), take("created")));
        }
    }

    /// Rewrites an event of a resumed attempt to match the first one, since
    /// the caller sees one response.
    fn rewrite(&self, event: Bytes, offset: u32) -> Bytes {
        let (Some((id, created)), Some(mut value)) =
            (&self.head, parse(&event))
        else {
            return event;
        };
        value.insert("id".to_owned(), id.clone());
        value.insert("created".to_owned(), created.clone());
        if let Some(Value::Object(usage)) = value.get_mut("usage") {
            add_offset(usage, "completion_tokens", offset);
            add_offset(usage, "total_tokens", offset);
        }
        if let Some(delta) = value
            .get_mut("choices")
            .and_then(|choices| choices.get_mut(0))
            .and_then(|choice| choice.get_mut("delta"))
            .and_then(Value::as_object_mut)
            && self.role
        {
            delta.shift_remove("role");
        }
        format!("data: {}\n\n", Value::Object(value)).into()
    }
}

/// Adds the content events of earlier attempts to a count of the last one.
fn add_offset(usage: &mut Map<String, Value>, name: &str, offset: u32) {
    if let Some(count) = usage.get(name).and_then(Value::as_u64) {
        usage.insert(name.to_owned(), json!(count + u64::from(offset)));
    }
}

fn parse(event: &[u8]) -> Option<Map<String, Value>> {
    serde_json::from_slice(event::data(event)?).ok()
}

/// Returns the body of a request that resumes after `offset` content events.
pub(super) fn resumed_body(body: &Bytes, offset: u32) -> Bytes {
    let Ok(mut fields) = serde_json::from_slice::<Map<String, Value>>(body)
    else {
        return body.clone();
    };
    let before = fields.get(OFFSET_FIELD).and_then(Value::as_u64);
    let after = before.unwrap_or(0) + u64::from(offset);
    fields.insert(OFFSET_FIELD.to_owned(), json!(after));
    Value::Object(fields).to_string().into()
}
