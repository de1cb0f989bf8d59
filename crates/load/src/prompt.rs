//! Deterministic prompts that depend only on the seed and the request key.

use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use standin::answer;

use crate::Plan;

/// Number of prompt groups with a common prefix, like those of an application.
const PREFIX_GROUPS: u64 = 16;

/// Minimum length of a word in the generated texts.
const MIN_WORD_BYTES: usize = 4;

/// Identifies a request. The debug output is part of the prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestKey {
    Online { number: u64 },
    Item { job: u32, item: u32 },
}

/// A request with its expected response.
#[derive(Clone, Debug)]
pub(crate) struct ExpectedRequest {
    pub(crate) content: String,
    pub(crate) fails: bool,
    model: String,
    max_tokens: u32,
}

impl ExpectedRequest {
    /// Creates the request of a key.
    pub(crate) fn new(plan: &Plan, key: RequestKey) -> Self {
        let mut rng = StdRng::seed_from_u64(seed_of(plan.seed, key));
        let bytes = rng.random_range(plan.prompt_bytes.clone());
        let group = rng.random_range(0..PREFIX_GROUPS);
        let item = matches!(key, RequestKey::Item { .. });
        let fails = item && rng.random_range(0..100) < plan.fail_percent;
        let mut content = text("group", &group.to_string(), bytes / 2);
        content.push_str(if fails { "\n[[fail]] " } else { "\n" });
        let name = format!("{} {key:?}", plan.seed);
        let remainder = bytes.saturating_sub(content.len() + name.len());
        content.push_str(&text("rest", &name, remainder));
        content.push_str(&name);
        Self {
            content,
            fails,
            model: plan.model.clone(),
            max_tokens: plan.max_tokens,
        }
    }

    /// Returns the request body.
    pub(crate) fn body(&self, stream: bool) -> Value {
        json!({
            "model": self.model,
            "messages": self.messages(),
            "max_tokens": self.max_tokens,
            "stream": stream,
        })
    }

    /// Returns the expected response.
    pub(crate) fn expected(&self) -> String {
        let prompt = answer::prompt_of_chat(&self.messages());
        answer::text(&self.model, &prompt, self.max_tokens)
    }

    fn messages(&self) -> Value {
        json!([{"role": "user", "content": self.content}])
    }
}

fn text(kind: &str, name: &str, bytes: usize) -> String {
    let words = bytes.div_ceil(MIN_WORD_BYTES) as u32;
    let mut text = answer::text(kind, name, words);
    let mut end = bytes.min(text.len());
    while !text.is_char_boundary(end) {
        end += 1;
    }
    text.truncate(end);
    text
}

fn seed_of(seed: u64, key: RequestKey) -> u64 {
    let number = match key {
        RequestKey::Online { number } => number << 1,
        RequestKey::Item { job, item } => {
            (u64::from(job) << 33) | (u64::from(item) << 1) | 1
        }
    };
    seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ number
}
