use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::answer;

/// Tokens of an answer when the caller does not say.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// The two forms of the API.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Form {
    Chat,
    Completion,
}

impl Form {
    pub(super) fn id_prefix(self) -> &'static str {
        match self {
            Form::Chat => "chatcmpl",
            Form::Completion => "cmpl",
        }
    }

    pub(super) fn object(self, stream: bool) -> &'static str {
        match (self, stream) {
            (Form::Chat, true) => "chat.completion.chunk",
            (Form::Chat, false) => "chat.completion",
            (Form::Completion, _) => "text_completion",
        }
    }
}

/// A call for an answer; fields of no meaning here are ignored.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Call {
    pub(super) model: String,
    #[serde(default)]
    messages: Value,
    #[serde(default)]
    prompt: Value,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    pub(super) stream: bool,
    stream_options: Option<StreamOptions>,
    #[serde(default)]
    pub(super) resume_offset: u32,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
struct StreamOptions {
    include_usage: bool,
}

impl Call {
    pub(super) fn max_tokens(&self) -> u32 {
        let asked = self.max_completion_tokens.or(self.max_tokens);
        asked.unwrap_or(DEFAULT_MAX_TOKENS)
    }

    pub(super) fn include_usage(&self) -> bool {
        self.stream_options.unwrap_or_default().include_usage
    }

    /// Returns the prompt, or what is wrong with it.
    pub(super) fn prompt_text(
        &self,
        form: Form,
    ) -> Result<String, &'static str> {
        match (form, &self.messages, &self.prompt) {
            (Form::Chat, Value::Array(list), _) if !list.is_empty() => {
                Ok(answer::prompt_of_chat(&self.messages))
            }
            (Form::Chat, ..) => Err("messages must be a non-empty list"),
            (Form::Completion, _, Value::String(text)) => Ok(text.clone()),
            (Form::Completion, ..) => Err("prompt must be a string"),
        }
    }
}

/// What a prompt's marks ask for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Marks {
    pub(super) fail: bool,
    pub(super) drop: bool,
    pub(super) slow_ms: u64,
}

impl Marks {
    pub(super) fn of(prompt: &str) -> Self {
        if !prompt.contains("[[") {
            return Self::default();
        }
        Self {
            fail: prompt.contains("[[fail]]"),
            drop: prompt.contains("[[drop]]"),
            slow_ms: slow_ms(prompt).unwrap_or(0),
        }
    }
}

fn slow_ms(prompt: &str) -> Option<u64> {
    let (_, rest) = prompt.split_once("[[slow ")?;
    let (number, _) = rest.split_once("]]")?;
    number.trim().parse().ok()
}

/// Token counts as the API reports them.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
    prompt_tokens_details: PromptDetails,
}

#[derive(Clone, Copy, Debug, Default, Serialize)]
struct PromptDetails {
    cached_tokens: u32,
}

impl Usage {
    pub(super) fn new(prompt: u32, completion: u32, cached: u32) -> Self {
        Self {
            prompt_tokens: prompt,
            completion_tokens: completion,
            total_tokens: prompt.saturating_add(completion),
            prompt_tokens_details: PromptDetails {
                cached_tokens: cached,
            },
        }
    }
}

/// The shape of the API's error bodies.
#[derive(Clone, Debug, Serialize)]
pub(super) struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Clone, Debug, Serialize)]
struct ErrorDetail {
    message: String,
    #[serde(rename = "type")]
    kind: &'static str,
    param: Option<&'static str>,
    code: Option<&'static str>,
}

impl ErrorBody {
    pub(super) fn new(
        kind: &'static str,
        code: Option<&'static str>,
        message: impl Into<String>,
    ) -> Self {
        let error = ErrorDetail {
            message: message.into(),
            kind,
            param: None,
            code,
        };
        Self { error }
    }
}

pub(super) fn unix_seconds() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_secs())
}
