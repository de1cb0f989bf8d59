//! Batch jobs: upload, start, wait, and check of the results.

use std::{fmt::Write, future::Future, sync::Arc, time::Duration};

use indexmap::IndexMap;
use reqwest::{
    Client, RequestBuilder, Response,
    multipart::{Form, Part},
};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::{task::JoinSet, time::Instant};

use crate::{
    BatchReport, Plan, Verdict,
    check::verdict,
    online::refusal,
    prompt::{Ask, Place},
    tally::{BatchTally, Refusal},
};

/// Least pause before a call of the batch API is repeated.
const REPEAT_PAUSE_MS: u64 = 50;

/// Runs all jobs of a plan at the same time.
pub(crate) async fn run_all(job: Job) {
    let mut jobs = JoinSet::new();
    for number in 0..job.plan.batch_jobs() {
        let job = job.clone();
        jobs.spawn(async move { job.run(number).await });
    }
    jobs.join_all().await;
}

/// What the jobs of a run share.
#[derive(Clone)]
pub(crate) struct Job {
    pub(crate) plan: Arc<Plan>,
    pub(crate) client: Client,
    pub(crate) tally: Arc<BatchTally>,
    pub(crate) start: Instant,
}

/// The fields of a file or batch object that matter here.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct Object {
    id: String,
    status: String,
    output_file_id: Option<String>,
    error_file_id: Option<String>,
}

/// Why a job cannot go on.
#[derive(Clone, Copy, Debug)]
struct GivenUp;

/// Returns the custom id of an item.
pub(crate) fn custom_id(job: u32, item: u32) -> String {
    format!("job-{job}-item-{item}")
}

impl Job {
    async fn run(&self, number: u32) {
        let limit = Duration::from_millis(self.plan.batch_timeout_ms);
        let finish = self.finish(number);
        let ended = tokio::time::timeout(limit, finish).await;
        let (completed, results) = match ended {
            Ok(Ok((completed, results))) => (completed, results),
            Ok(Err(GivenUp)) | Err(_) => (false, Results::default()),
        };
        // The time that the check takes is not the target's.
        self.tally.end_job(completed, self.start.elapsed());
        self.check(number, completed, &results);
    }

    async fn finish(&self, number: u32) -> Result<(bool, Results), GivenUp> {
        let input = self.input(number);
        let file = self.upload(&input).await?;
        let batch = self.create(number, &file.id).await?;
        let ended = self.wait(&batch.id).await?;
        let results = Results {
            output: self.content(ended.output_file_id).await?,
            errors: self.content(ended.error_file_id).await?,
        };
        Ok((ended.status == "completed", results))
    }

    fn input(&self, number: u32) -> String {
        let mut lines = String::new();
        for item in 0..self.plan.items_per_job {
            let place = Place::Item { job: number, item };
            let line = json!({
                "custom_id": custom_id(number, item),
                "method": "POST",
                "url": "/v1/chat/completions",
                "body": Ask::new(&self.plan, place).body(false),
            });
            let _ = writeln!(lines, "{line}");
        }
        lines
    }

    async fn upload(&self, input: &str) -> Result<Object, GivenUp> {
        let url = format!("{}/v1/files", self.plan.target);
        self.object(|| {
            let file = Part::text(input.to_owned())
                .file_name("input.jsonl")
                .mime_str("application/jsonl")
                .ok()?;
            let form = Form::new().text("purpose", "batch").part("file", file);
            Some(self.client.post(&url).multipart(form))
        })
        .await
    }

    async fn create(
        &self,
        number: u32,
        file: &str,
    ) -> Result<Object, GivenUp> {
        let url = format!("{}/v1/batches", self.plan.target);
        let body = json!({
            "input_file_id": file,
            "endpoint": "/v1/chat/completions",
            "completion_window": "24h",
        });
        // The key makes a repeated call start no second job.
        let key = format!("load-{file}-{}-{number}", self.plan.seed);
        self.object(|| {
            let request = self.client.post(&url).json(&body);
            Some(request.header("Idempotency-Key", &key))
        })
        .await
    }

    async fn wait(&self, batch: &str) -> Result<Object, GivenUp> {
        let url = format!("{}/v1/batches/{batch}", self.plan.target);
        loop {
            let object = self.object(|| Some(self.client.get(&url))).await?;
            let ends = ["completed", "failed", "expired", "cancelled"];
            if ends.contains(&object.status.as_str()) {
                return Ok(object);
            }
            let pause = Duration::from_millis(self.plan.poll_ms.max(1));
            tokio::time::sleep(pause).await;
        }
    }

    async fn content(&self, file: Option<String>) -> Result<String, GivenUp> {
        let Some(file) = file else {
            return Ok(String::new());
        };
        let url = format!("{}/v1/files/{file}/content", self.plan.target);
        let request = || Some(self.client.get(&url));
        self.repeat(request, |response| async { response.text().await.ok() })
            .await
    }

    async fn object(
        &self,
        request: impl Fn() -> Option<RequestBuilder>,
    ) -> Result<Object, GivenUp> {
        self.repeat(request, |response| async { response.json().await.ok() })
            .await
    }

    /// Calls until there is an answer; only a refusal that will stay gives
    /// up.
    ///
    /// All calls of a job may be repeated: an upload makes another file, and
    /// the start of a job carries a key.
    async fn repeat<T, F: Future<Output = Option<T>>>(
        &self,
        request: impl Fn() -> Option<RequestBuilder>,
        read: impl Fn(Response) -> F,
    ) -> Result<T, GivenUp> {
        loop {
            let mut call = request().ok_or(GivenUp)?;
            if let Some(key) = &self.plan.key {
                call = call.bearer_auth(key);
            }
            let mut pause_ms = REPEAT_PAUSE_MS;
            match call.send().await {
                Ok(response) if response.status().is_success() => {
                    match read(response).await {
                        Some(answer) => return Ok(answer),
                        None => self.tally.lose(),
                    }
                }
                Ok(response) => {
                    let passes = is_passing(response.status().as_u16());
                    pause_ms = pause_ms.max(retry_after_ms(&response));
                    self.tally.refuse(refusal(response).await);
                    if !passes {
                        return Err(GivenUp);
                    }
                }
                Err(_) => self.tally.lose(),
            }
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Counts each item of a job once.
    ///
    /// What the files of an unfinished job lack is not missing: the caller
    /// was told that the job did not complete.
    fn check(&self, number: u32, completed: bool, results: &Results) {
        let mut found = Found::default();
        found.read(&results.output, false);
        found.read(&results.errors, true);
        for item in 0..self.plan.items_per_job {
            let ask = Ask::new(&self.plan, Place::Item { job: number, item });
            let lines = found.lines.swap_remove(&custom_id(number, item));
            match lines {
                None if !completed => {
                    self.tally.count(|report| report.unfinished += 1);
                }
                lines => self.check_item(&ask, &lines.unwrap_or_default()),
            }
        }
        let foreign = found.broken + found.lines.len() as u64;
        self.tally.count(|report| report.foreign += foreign);
    }

    fn check_item(&self, ask: &Ask, lines: &[Line]) {
        let count: fn(&mut BatchReport) = match lines {
            [] => |report| report.missing += 1,
            [Line::Answer(text)] => match ask.item_verdict(text) {
                Verdict::Right => |report| report.right += 1,
                Verdict::Missing => |report| report.missing += 1,
                Verdict::Duplicated => |report| report.duplicated += 1,
                Verdict::Wrong => |report| report.wrong += 1,
            },
            [Line::Failed(_)] if ask.fails => {
                |report| report.failed_as_asked += 1
            }
            [Line::Failed(refusal)] => {
                self.tally.fail_item(refusal.clone());
                return;
            }
            _ => |report| report.duplicated += 1,
        };
        self.tally.count(count);
    }
}

impl Ask {
    /// Compares an item's answer with what it must be; an item that must
    /// fail has no right answer.
    pub(crate) fn item_verdict(&self, text: &str) -> Verdict {
        if self.fails {
            return Verdict::Wrong;
        }
        verdict(&self.expected(), text, true)
    }
}

/// Tells whether a refusal with this status may pass.
fn is_passing(status: u16) -> bool {
    status == 408 || status == 429 || status >= 500
}

fn retry_after_ms(response: &Response) -> u64 {
    let value = response.headers().get("retry-after");
    let text = value.and_then(|value| value.to_str().ok());
    let seconds: Option<u64> = text.and_then(|text| text.parse().ok());
    seconds.unwrap_or(0).saturating_mul(1_000)
}

/// Contents of a job's two files.
#[derive(Clone, Debug, Default)]
struct Results {
    output: String,
    errors: String,
}

/// What a file says of an item.
#[derive(Clone, Debug)]
enum Line {
    Answer(String),
    Failed(Refusal),
}

/// The lines of a job's files by custom id.
#[derive(Debug, Default)]
struct Found {
    lines: IndexMap<String, Vec<Line>>,
    broken: u64,
}

impl Found {
    fn read(&mut self, file: &str, errors: bool) {
        for text in file.lines() {
            let value: Value = serde_json::from_str(text).unwrap_or_default();
            match value["custom_id"].as_str() {
                None => self.broken += 1,
                Some(id) => {
                    let lines = self.lines.entry(id.to_owned());
                    lines.or_default().push(line(&value, errors));
                }
            }
        }
    }
}

fn line(value: &Value, errors: bool) -> Line {
    let response = &value["response"];
    let status = response["status_code"].as_u64().unwrap_or(0) as u16;
    if !errors && (status == 200 || status == 0) {
        let message = &response["body"]["choices"][0]["message"];
        let text = message["content"].as_str().unwrap_or_default();
        return Line::Answer(text.to_owned());
    }
    let body = if value["error"].is_null() {
        &response["body"]
    } else {
        value
    };
    Line::Failed(Refusal::of(status, body))
}
