//! How a prompt starts, for the choice of an endpoint.

use std::borrow::Cow;

use serde::Deserialize;
use serde_json::value::RawValue;

/// Most bytes of one message or prompt that count.
const BYTES_MAX: usize = 4 << 10;

#[derive(Deserialize)]
struct Prompt<'a> {
    #[serde(default, borrow)]
    model: Option<Cow<'a, str>>,
    #[serde(default, borrow)]
    messages: Vec<Message<'a>>,
    #[serde(default, borrow)]
    prompt: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct Message<'a> {
    #[serde(default, borrow)]
    role: Cow<'a, str>,
    #[serde(default, borrow)]
    content: Option<&'a RawValue>,
}

/// Returns a hash of the messages up to and with the first of the user, or
/// of the start of a plain prompt.
///
/// All turns of a conversation share it and so meet the endpoint that has
/// the earlier ones in its cache, while conversations with one long system
/// prompt in common still spread.
pub(super) fn of(path: &str, body: &[u8]) -> Option<u64> {
    if !is_model_call(path) {
        return None;
    }
    let parsed: Prompt<'_> = serde_json::from_slice(body).ok()?;
    let mut parts = vec![parsed.model.as_deref().unwrap_or_default()];
    for message in &parsed.messages {
        parts.push(start(message.content));
        if message.role == "user" {
            break;
        }
    }
    parts.push(start(parsed.prompt));
    Some(base::stable_hash(&parts))
}

/// Tells whether a path asks a model for an answer.
pub(super) fn is_model_call(path: &str) -> bool {
    let path = path.split('?').next().unwrap_or_default();
    path.starts_with("/v1/") && path.ends_with("/completions")
}

fn start(value: Option<&RawValue>) -> &str {
    let text = value.map_or("", RawValue::get);
    let mut end = BYTES_MAX.min(text.len());
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}
