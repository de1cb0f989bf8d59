//! Jobs whose results are known in advance.

use std::collections::HashMap;

use pomeloslip_bench::{BenchError, Caller};
use serde_json::{Value, json};
use standin::answer;

pub(crate) const MODEL: &str = "korv-lm";

/// One item in so many fails always.
const FAIL_EVERY: u64 = 100;

/// A job of items that depend on seed and numbers only.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobPlan {
    pub(crate) seed: u64,
    pub(crate) number: u32,
    pub(crate) items: u32,
    pub(crate) tokens: u32,
}

/// What became of the items of jobs.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Found {
    pub(crate) jobs: u64,
    pub(crate) items: u64,
    pub(crate) right: u64,
    pub(crate) failed_as_asked: u64,
    /// Another answer, or in the wrong file.
    pub(crate) wrong: u64,
    pub(crate) missing: u64,
    pub(crate) doubled: u64,
    /// Lines that name no item.
    pub(crate) foreign: u64,
    /// Jobs that did not end in time or whose files could not be read.
    pub(crate) unfinished: u64,
    /// Times that a job sent again was told as another job.
    pub(crate) other_jobs: u64,
}

impl Found {
    pub(crate) fn add(&mut self, other: &Self) {
        self.jobs += other.jobs;
        self.items += other.items;
        self.right += other.right;
        self.failed_as_asked += other.failed_as_asked;
        self.wrong += other.wrong;
        self.missing += other.missing;
        self.doubled += other.doubled;
        self.foreign += other.foreign;
        self.unfinished += other.unfinished;
        self.other_jobs += other.other_jobs;
    }

    pub(crate) fn held(&self) -> bool {
        let bad = self.wrong + self.missing + self.doubled;
        bad + self.foreign + self.unfinished + self.other_jobs == 0
            && self.right + self.failed_as_asked == self.items
    }
}

impl JobPlan {
    pub(crate) fn key(&self) -> String {
        format!("chaos-{}-{}", self.seed, self.number)
    }

    fn custom_id(&self, item: u32) -> String {
        format!("job-{}-item-{item}", self.number)
    }

    fn fails(&self, item: u32) -> bool {
        let mixed = u64::from(item)
            .wrapping_mul(0x9e37_79b9)
            .wrapping_add(u64::from(self.number) * 31 + self.seed);
        mixed % FAIL_EVERY == 0
    }

    fn messages(&self, item: u32) -> Value {
        let fail = if self.fails(item) { "[[fail]] " } else { "" };
        let id = self.custom_id(item);
        let text = format!("{fail}a briefing for {id} of seed {}", self.seed);
        json!([{"role": "user", "content": text}])
    }

    pub(crate) fn input(&self) -> String {
        let line = |item| {
            let line = json!({
                "custom_id": self.custom_id(item),
                "method": "POST",
                "url": "/v1/chat/completions",
                "body": {
                    "model": MODEL,
                    "max_tokens": self.tokens,
                    "messages": self.messages(item),
                },
            });
            format!("{line}\n")
        };
        (0..self.items).map(line).collect()
    }

    fn expected(&self, item: u32) -> String {
        let prompt = answer::prompt_of_chat(&self.messages(item));
        answer::text(MODEL, &prompt, self.tokens)
    }

    /// Reads both files of an ended job and judges each item.
    pub(crate) async fn check(
        &self,
        caller: &Caller,
        job: &Value,
    ) -> Result<Found, error_stack::Report<BenchError>> {
        let output = caller.content(job["output_file_id"].as_str()).await?;
        let errors = caller.content(job["error_file_id"].as_str()).await?;
        Ok(self.judge(&output, &errors))
    }

    fn judge(&self, output: &str, errors: &str) -> Found {
        let mut found = Found {
            jobs: 1,
            items: u64::from(self.items),
            ..Found::default()
        };
        let lines = |text: &str, is_error| {
            let parse = move |line: &str| {
                let value: Value =
                    serde_json::from_str(line).unwrap_or_default();
                (is_error, value)
            };
            text.lines().map(parse).collect::<Vec<_>>()
        };
        let mut by_id: HashMap<String, Vec<(bool, Value)>> = HashMap::new();
        for line in [lines(output, false), lines(errors, true)].concat() {
            let id = line.1["custom_id"].as_str().unwrap_or_default();
            by_id.entry(id.to_owned()).or_default().push(line);
        }
        for item in 0..self.items {
            let lines = by_id.remove(&self.custom_id(item));
            match lines.as_deref() {
                None | Some([]) => found.missing += 1,
                Some([(true, _)]) if self.fails(item) => {
                    found.failed_as_asked += 1;
                }
                Some([(false, line)]) if self.is_right(item, line) => {
                    found.right += 1;
                }
                Some([_]) => found.wrong += 1,
                Some(_) => found.doubled += 1,
            }
        }
        found.foreign = by_id.values().map(|lines| lines.len() as u64).sum();
        found
    }

    fn is_right(&self, item: u32, line: &Value) -> bool {
        let body = &line["response"]["body"];
        let text = &body["choices"][0]["message"]["content"];
        !self.fails(item) && text == &self.expected(item)
    }
}
