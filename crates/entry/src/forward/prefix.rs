//! The start of a prompt, for endpoint selection, and the parts of it that
//! other requests may share, for crash records.

use std::borrow::Cow;

use base::RequestDigest;
use serde::Deserialize;
use serde_json::value::RawValue;
use upstream::is_model_call;

/// Maximum number of hashed bytes of one message or prompt.
const MAX_PART_BYTES: usize = 4 << 10;

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

/// Returns a hash of the messages up to and including the first user message,
/// or of the start of a plain prompt.
///
/// All turns of a conversation share the hash and so reach the endpoint that
/// has the earlier turns in its cache, while conversations that share a long
/// system prompt are still distributed.
pub(super) fn hash_of(path: &str, body: &[u8]) -> Option<u64> {
    if !is_model_call(path) {
        return None;
    }
    let parsed: Prompt<'_> = serde_json::from_slice(body).ok()?;
    let mut parts = vec![parsed.model.as_deref().unwrap_or_default()];
    for message in &parsed.messages {
        parts.push(truncated(message.content));
        if message.role == "user" {
            break;
        }
    }
    parts.push(truncated(parsed.prompt));
    Some(base::stable_hash(&parts))
}

/// Maximum number of messages for which crash records are kept.
const MAX_SHARED_MESSAGES: usize = 64;

/// Returns the keys under which crash records of the shared parts of a prompt
/// are stored: all messages but the last, which belongs to the request.
///
/// A plain prompt has no parts.
pub(crate) fn shared_parts(path: &str, body: &[u8]) -> Vec<RequestDigest> {
    if !is_model_call(path) {
        return Vec::new();
    }
    // The endpoint rejects a body that is not valid.
    let Ok(prompt) = serde_json::from_slice::<Prompt<'_>>(body) else {
        return Vec::new();
    };
    let model = prompt.model.as_deref().unwrap_or_default();
    let Some((_, shared)) = prompt.messages.split_last() else {
        return Vec::new();
    };
    let key = |message: &Message<'_>| {
        let content = message.content.map_or("", RawValue::get);
        let parts = [model, &message.role, content];
        RequestDigest::of_group("message", &parts)
    };
    shared.iter().take(MAX_SHARED_MESSAGES).map(key).collect()
}

fn truncated(value: Option<&RawValue>) -> &str {
    let text = value.map_or("", RawValue::get);
    let mut end = MAX_PART_BYTES.min(text.len());
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}
