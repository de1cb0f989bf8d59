//! Prompts that depend on the seed and their number only.

use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use standin::answer;

use crate::Plan;

/// Groups of prompts that begin alike, as those of one application do.
const PREFIX_GROUPS: u64 = 16;

/// Fewest bytes of a word in the generated texts.
const WORD_BYTES: usize = 4;

/// Where a prompt belongs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Place {
    Online { number: u64 },
    Item { job: u32, item: u32 },
}

/// A request with the answer that it must get.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub(crate) content: String,
    pub(crate) fails: bool,
    model: String,
    max_tokens: u32,
}

impl Ask {
    /// Makes the request of a place.
    pub(crate) fn new(plan: &Plan, place: Place) -> Self {
        let mut rng = StdRng::seed_from_u64(seed_of(plan.seed, place));
        let bytes = rng.random_range(plan.prompt_bytes.clone());
        let group = rng.random_range(0..PREFIX_GROUPS);
        let item = matches!(place, Place::Item { .. });
        let fails = item && rng.random_range(0..100) < plan.fail_percent;
        let mut content = text("group", &group.to_string(), bytes / 2);
        content.push_str(if fails { "\n[[fail]] " } else { "\n" });
        let name = format!("{} {place:?}", plan.seed);
        let rest = bytes.saturating_sub(content.len() + name.len());
        content.push_str(&text("rest", &name, rest));
        content.push_str(&name);
        Self {
            content,
            fails,
            model: plan.model.clone(),
            max_tokens: plan.max_tokens,
        }
    }

    /// Returns the body of the call.
    pub(crate) fn body(&self, stream: bool) -> Value {
        json!({
            "model": self.model,
            "messages": self.messages(),
            "max_tokens": self.max_tokens,
            "stream": stream,
        })
    }

    /// Returns the only right answer.
    pub(crate) fn expected(&self) -> String {
        let prompt = answer::prompt_of_chat(&self.messages());
        answer::text(&self.model, &prompt, self.max_tokens)
    }

    fn messages(&self) -> Value {
        json!([{"role": "user", "content": self.content}])
    }
}

fn text(kind: &str, name: &str, bytes: usize) -> String {
    let words = bytes.div_ceil(WORD_BYTES) as u32;
    let mut text = answer::text(kind, name, words);
    let mut end = bytes.min(text.len());
    while !text.is_char_boundary(end) {
        end += 1;
    }
    text.truncate(end);
    text
}

fn seed_of(seed: u64, place: Place) -> u64 {
    let number = match place {
        Place::Online { number } => number << 1,
        Place::Item { job, item } => {
            (u64::from(job) << 33) | (u64::from(item) << 1) | 1
        }
    };
    seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ number
}
