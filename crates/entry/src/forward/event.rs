//! Events of OpenAI API streams, as far as resuming needs them.

use serde::Deserialize;
use serde_json::value::RawValue;

const DATA: &[u8] = b"data:";
const DONE_MARK: &[u8] = b"[DONE]";

/// Content of an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EventKind {
    /// A comment, which an engine sends as a keep-alive.
    Comment,
    /// A part of the text, possibly the last.
    Content { ends: bool },
    /// The role of the message, without text.
    Role,
    /// The finish reason, without text.
    Finish,
    /// The token counts.
    Usage,
    /// The end mark.
    Done,
    /// Any other event, after which the stream cannot be resumed.
    Other,
}

#[derive(Deserialize)]
struct Chunk<'a> {
    #[serde(default, borrow)]
    choices: Vec<Choice<'a>>,
    #[serde(default, borrow)]
    usage: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct Choice<'a> {
    #[serde(default)]
    index: u32,
    #[serde(default, borrow)]
    delta: Option<Delta<'a>>,
    #[serde(default, borrow)]
    text: Option<&'a RawValue>,
    #[serde(default, borrow)]
    finish_reason: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct Delta<'a> {
    #[serde(default, borrow)]
    content: Option<&'a RawValue>,
    #[serde(default, borrow)]
    role: Option<&'a RawValue>,
    #[serde(default, borrow)]
    tool_calls: Option<&'a RawValue>,
}

/// Returns the data of an event that has a single data line.
pub(super) fn data(event: &[u8]) -> Option<&[u8]> {
    let data = event.strip_prefix(DATA)?.trim_ascii();
    (!data.contains(&b'\n')).then_some(data)
}

/// Classifies an event.
pub(super) fn classify(event: &[u8]) -> EventKind {
    if event.first() == Some(&b':') {
        return EventKind::Comment;
    }
    let Some(data) = data(event) else {
        return EventKind::Other;
    };
    if data == DONE_MARK {
        return EventKind::Done;
    }
    let Ok(chunk) = serde_json::from_slice::<Chunk<'_>>(data) else {
        return EventKind::Other;
    };
    match chunk.choices.as_slice() {
        [] if is_non_empty(chunk.usage) => EventKind::Usage,
        [choice] if choice.index == 0 => classify_choice(choice),
        _ => EventKind::Other,
    }
}

fn classify_choice(choice: &Choice<'_>) -> EventKind {
    let delta = choice.delta.as_ref();
    if is_non_empty(delta.and_then(|delta| delta.tool_calls)) {
        return EventKind::Other;
    }
    let ends = is_non_empty(choice.finish_reason);
    let content = delta.and_then(|delta| delta.content).or(choice.text);
    if is_non_empty(content) {
        return EventKind::Content { ends };
    }
    match ends {
        true => EventKind::Finish,
        false if is_non_empty(delta.and_then(|delta| delta.role)) => {
            EventKind::Role
        }
        false => EventKind::Other,
    }
}

/// Reports whether a value is present, not null and not an empty string.
fn is_non_empty(value: Option<&RawValue>) -> bool {
    value.is_some_and(|value| !matches!(value.get(), "null" | "\"\""))
}
