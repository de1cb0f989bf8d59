//! Goes on with a broken event stream at another endpoint.

use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Map, Value, json};
use wire::{Run, message::OutcomeKind};

use super::{
    attempt::{Answering, Reply, note_end},
    event::{self, Kind},
    tries::Tries,
};
use crate::{
    body::Framing, exchange::Exchange, fleet::Flight, shared::Shared,
};

/// Field of a body that says how many parts of the answer are there.
const OFFSET_FIELD: &str = "resume_offset";

/// What the caller's body says of the stream.
#[derive(Deserialize)]
struct Asked {
    #[serde(default)]
    stream: bool,
    n: Option<u32>,
}

/// What went to the caller so far.
#[derive(Debug, Default)]
struct Passed {
    /// Parts of the answer.
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

/// A stream that can go on at another endpoint when it breaks.
///
/// A caller would otherwise get half an answer for each worker that dies.
/// Starting again from the beginning would double what it already has, so
/// the next attempt begins after the parts that were passed on.
pub(crate) struct Resume {
    shared: Arc<Shared>,
    exchange: Exchange,
    tries: Tries,
    passed: Passed,
    /// Whether the present attempt is a later one.
    resumed: bool,
    /// Parts that it was told to leave out.
    offset: u32,
}

/// A stream that goes on.
pub(crate) struct Again {
    pub(crate) run: Run,
    pub(crate) first: Option<Bytes>,
    pub(crate) next_seq: u32,
    pub(crate) flight: Flight,
}

impl Resume {
    /// Prepares to resume an answer; `None` if that is not possible for its
    /// request.
    pub(super) fn of(
        shared: &Arc<Shared>,
        exchange: &Exchange,
        tries: Tries,
    ) -> Option<Box<Self>> {
        if !exchange.plan.repeatable {
            return None;
        }
        let asked: Asked = serde_json::from_slice(&exchange.body).ok()?;
        if !asked.stream || asked.n.is_some_and(|n| n != 1) {
            return None;
        }
        Some(Box::new(Self {
            shared: shared.clone(),
            exchange: exchange.clone(),
            tries,
            passed: Passed::default(),
            resumed: false,
            offset: 0,
        }))
    }

    /// Notes an event and returns what goes to the caller; `None` for what
    /// the caller already has.
    pub(crate) fn pass(&mut self, event: Bytes) -> Option<Bytes> {
        let kind = event::kind(&event);
        let passed = &mut self.passed;
        if !self.resumed {
            passed.note(kind, &event);
            return Some(event);
        }
        if passed.has(kind) {
            return None;
        }
        let event = passed.as_one(event, self.offset);
        passed.note(kind, &event);
        Some(event)
    }

    /// Tries to go on elsewhere after `why`; gives itself back for the next
    /// time, and nothing if that was all.
    pub(crate) async fn again(
        mut self: Box<Self>,
        broken: Flight,
        kind: Option<OutcomeKind>,
        why: String,
    ) -> Option<(Box<Self>, Again)> {
        note_end(&broken, kind);
        if self.passed.other || self.passed.done {
            return None;
        }
        let (shared, exchange) = (&self.shared, &self.exchange);
        if !self.tries.broke_off(shared, exchange, &broken, &why) {
            return None;
        }
        drop(broken);
        self.resumed = true;
        self.offset = self.passed.content;
        let offset = self.offset;
        let next = self.tries.next(shared, exchange, offset).await;
        let answer = match next {
            Ok(Reply::Streaming(answer)) => answer,
            Ok(Reply::Whole(_)) | Err(_) => return None,
        };
        let id = exchange.request_id.as_str();
        log::info!(request_id = id, offset, why; "an answer is resumed");
        let Answering {
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
        let first = first.and_then(|first| self.pass(first));
        let again = Again {
            run,
            first,
            next_seq,
            flight,
        };
        Some((self, again))
    }
}

impl Passed {
    /// Tells whether the caller has had the only event of this kind, or
    /// does not need it.
    fn has(&self, kind: Kind) -> bool {
        match kind {
            Kind::Comment => true,
            Kind::Role => self.role,
            Kind::Finish => self.finish,
            Kind::Usage => self.usage,
            Kind::Done => self.done,
            Kind::Content { .. } | Kind::Other => false,
        }
    }

    fn note(&mut self, kind: Kind, event: &[u8]) {
        match kind {
            Kind::Comment => return,
            Kind::Content { ends } => {
                self.content = self.content.saturating_add(1);
                self.role = true;
                self.finish |= ends;
            }
            Kind::Role => self.role = true,
            Kind::Finish => self.finish = true,
            Kind::Usage => self.usage = true,
            Kind::Done => self.done = true,
            Kind::Other => self.other = true,
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

    /// Makes an event of a later attempt look like one of the first: the
    /// caller asked once and sees one answer.
    fn as_one(&self, event: Bytes, offset: u32) -> Bytes {
        let (Some((id, created)), Some(mut value)) =
            (&self.head, parse(&event))
        else {
            return event;
        };
        value.insert("id".to_owned(), id.clone());
        value.insert("created".to_owned(), created.clone());
        if let Some(Value::Object(usage)) = value.get_mut("usage") {
            add(usage, "completion_tokens", offset);
            add(usage, "total_tokens", offset);
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

/// Adds the parts of earlier attempts to a count of the last one.
fn add(usage: &mut Map<String, Value>, name: &str, offset: u32) {
    if let Some(count) = usage.get(name).and_then(Value::as_u64) {
        usage.insert(name.to_owned(), json!(count + u64::from(offset)));
    }
}

fn parse(event: &[u8]) -> Option<Map<String, Value>> {
    serde_json::from_slice(event::data(event)?).ok()
}

/// Returns the body of a call that goes on after `offset` parts.
pub(super) fn body_from(body: &Bytes, offset: u32) -> Bytes {
    let Ok(mut fields) = serde_json::from_slice::<Map<String, Value>>(body)
    else {
        return body.clone();
    };
    let before = fields.get(OFFSET_FIELD).and_then(Value::as_u64);
    let after = before.unwrap_or(0) + u64::from(offset);
    fields.insert(OFFSET_FIELD.to_owned(), json!(after));
    Value::Object(fields).to_string().into()
}
