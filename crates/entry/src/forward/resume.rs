//! Resumes an interrupted event stream at another endpoint.

use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Map, Value, json};
use wire::{Run, message::OutcomeKind};

use super::{
    attempt::{Reply, record_incomplete},
    attempts::Attempts,
    event::{self, EventKind},
    standby::{Prepared, Preparing},
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

    /// Tries to resume at another endpoint after `why`, with the one that is
    /// asked already, if any. Returns itself for the next interruption, or
    /// `None` if the stream cannot be resumed.
    pub(crate) async fn resume(
        mut self: Box<Self>,
        interrupted: Flight,
        kind: Option<OutcomeKind>,
        why: String,
        preparing: Option<Preparing>,
    ) -> Option<(Box<Self>, ResumedStream)> {
        record_incomplete(&interrupted, kind);
        let preparing = match preparing {
            Some(preparing) => preparing,
            None => self.prepare(&interrupted, &why)?,
        };
        drop(interrupted);
        let prepared = preparing.await?;
        let resumed_stream = self.take_over(prepared, &why);
        Some((self, resumed_stream))
    }

    /// Asks another endpoint to continue the stream after the events that were
    /// forwarded; `None` if that is not allowed. The run counts as a retry.
    pub(super) fn prepare(
        &mut self,
        first: &Flight,
        why: &str,
    ) -> Option<Preparing> {
        let id = self.exchange.request_id.clone();
        let endpoint = first.target().name.clone();
        let offset = self.forwarded.content;
        let (shared, exchange) = (&self.shared, &self.exchange);
        let is_allowed = !self.forwarded.other
            && !self.forwarded.done
            && self
                .attempts
                .record_interruption(shared, exchange, first, why);
        log::info!(
            request_id = id.as_str(), endpoint = endpoint.as_str(), offset,
            why, is_allowed, retries = exchange.plan.retries,
            deadline_ms = exchange.plan.deadline_ms,
            done = self.forwarded.done, countable = !self.forwarded.other;
            "a stream is to go on at another endpoint"
        );
        if !is_allowed {
            return None;
        }
        let (shared, exchange) = (shared.clone(), exchange.clone());
        let mut attempts = self.attempts.clone();
        Some(Box::pin(async move {
            let reply = attempts.next(&shared, &exchange, offset).await;
            match reply {
                Ok(Reply::Streaming(answer))
                    if answer.status == 200
                        && answer.framing == Framing::Events =>
                {
                    Some(Prepared { attempts, answer })
                }
                Ok(_) => {
                    log::info!(request_id = id.as_str(), offset;
                        "another endpoint does not continue the stream");
                    None
                }
                Err(problem) => {
                    log::info!(request_id = id.as_str(), offset, problem:%;
                        "no endpoint continues the stream");
                    None
                }
            }
        }))
    }

    /// Continues with the response of another endpoint.
    pub(crate) fn take_over(
        &mut self,
        prepared: Prepared,
        why: &str,
    ) -> ResumedStream {
        let Prepared { attempts, answer } = prepared;
        self.attempts = attempts;
        self.resumed = true;
        self.offset = self.forwarded.content;
        let id = self.exchange.request_id.as_str();
        log::info!(
            request_id = id, offset = self.offset, why,
            endpoint = answer.flight.target().name.as_str();
            "a stream is resumed at another endpoint"
        );
        let first = answer.first.and_then(|first| self.filter_event(first));
        ResumedStream {
            run: answer.run,
            first,
            next_seq: answer.next_seq,
            flight: answer.flight,
        }
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
