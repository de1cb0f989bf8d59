//! Events of the OpenAI API's streams, as far as resuming needs them.

use serde::Deserialize;
use serde_json::value::RawValue;

const DATA: &[u8] = b"data:";
const END_MARK: &[u8] = b"[DONE]";

/// What an event carries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Kind {
    /// A comment, by which an engine shows that it lives.
    Comment,
    /// A part of the answer, which may be its last.
    Content { ends: bool },
    /// The role of the message, without a part of it.
    Role,
    /// The reason of the end, without a part of the answer.
    Finish,
    /// The counts of tokens.
    Usage,
    /// The end mark.
    Done,
    /// Anything else, after which the stream cannot be resumed.
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

/// Returns the data of an event of one data line.
pub(super) fn data(event: &[u8]) -> Option<&[u8]> {
    let data = event.strip_prefix(DATA)?.trim_ascii();
    (!data.contains(&b'\n')).then_some(data)
}

/// Says what an event carries.
pub(super) fn kind(event: &[u8]) -> Kind {
    if event.first() == Some(&b':') {
        return Kind::Comment;
    }
    let Some(data) = data(event) else {
        return Kind::Other;
    };
    if data == END_MARK {
        return Kind::Done;
    }
    let Ok(chunk) = serde_json::from_slice::<Chunk<'_>>(data) else {
        return Kind::Other;
    };
    match chunk.choices.as_slice() {
        [] if says(chunk.usage) => Kind::Usage,
        [choice] if choice.index == 0 => kind_of(choice),
        _ => Kind::Other,
    }
}

fn kind_of(choice: &Choice<'_>) -> Kind {
    let delta = choice.delta.as_ref();
    if says(delta.and_then(|delta| delta.tool_calls)) {
        return Kind::Other;
    }
    let ends = says(choice.finish_reason);
    let content = delta.and_then(|delta| delta.content).or(choice.text);
    if says(content) {
        return Kind::Content { ends };
    }
    match ends {
        true => Kind::Finish,
        false if says(delta.and_then(|delta| delta.role)) => Kind::Role,
        false => Kind::Other,
    }
}

/// Tells whether a value is there, not null and not an empty text.
fn says(value: Option<&RawValue>) -> bool {
    value.is_some_and(|value| !matches!(value.get(), "null" | "\"\""))
}
