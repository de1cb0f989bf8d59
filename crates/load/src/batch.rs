//! Batch jobs: uploads the input, creates the job, polls it and verifies its
//! results.

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
    prompt::{ExpectedRequest, RequestKey},
    tally::{BatchTally, Refusal},
};

/// Minimum backoff before a call of the batch API is retried.
const MIN_BACKOFF_MS: u64 = 50;

/// Runs all jobs of a plan concurrently.
pub(crate) async fn run_all(job: Job) {
    let mut jobs = JoinSet::new();
    for number in 0..job.plan.batch_jobs() {
        let job = job.clone();
        jobs.spawn(async move { job.run(number).await });
    }
    jobs.join_all().await;
}

/// State that the jobs of a run share.
#[derive(Clone)]
pub(crate) struct Job {
    pub(crate) plan: Arc<Plan>,
    pub(crate) client: Client,
    pub(crate) tally: Arc<BatchTally>,
    pub(crate) start: Instant,
}

/// The fields of a file or batch object that this client reads.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct Object {
    id: String,
    status: String,
    output_file_id: Option<String>,
    error_file_id: Option<String>,
}

/// The client gave up on a job.
#[derive(Clone, Copy, Debug)]
struct Abandoned;

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
            Ok(Err(Abandoned)) | Err(_) => (false, Results::default()),
        };
        // The job time excludes the time for verifying the results.
        self.tally.end_job(completed, self.start.elapsed());
        self.check(number, completed, &results);
    }

    async fn finish(&self, number: u32) -> Result<(bool, Results), Abandoned> {
        let input = self.input(number);
        let file = self.upload(&input).await?;
        let batch = self.create(number, &file.id).await?;
        let ended = self.wait_until_ended(&batch.id).await?;
        let results = Results {
            output: self.content(ended.output_file_id).await?,
            errors: self.content(ended.error_file_id).await?,
        };
        Ok((ended.status == "completed", results))
    }

    fn input(&self, number: u32) -> String {
        let mut lines = String::new();
        for item in 0..self.plan.items_per_job {
            let key = RequestKey::Item { job: number, item };
            let line = json!({
                "custom_id": custom_id(number, item),
                "method": "POST",
                "url": "/v1/chat/completions",
                "body": ExpectedRequest::new(&self.plan, key).body(false),
            });
            let _ = writeln!(lines, "{line}");
        }
        lines
    }

    async fn upload(&self, input: &str) -> Result<Object, Abandoned> {
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
    ) -> Result<Object, Abandoned> {
        let url = format!("{}/v1/batches", self.plan.target);
        let body = json!({
            "input_file_id": file,
            "endpoint": "/v1/chat/completions",
            "completion_window": "24h",
        });
        // With the idempotency key, a retry does not create a second job.
        let key = format!("load-{file}-{}-{number}", self.plan.seed);
        self.object(|| {
            let request = self.client.post(&url).json(&body);
            Some(request.header("Idempotency-Key", &key))
        })
        .await
    }

    async fn wait_until_ended(
        &self,
        batch: &str,
    ) -> Result<Object, Abandoned> {
        let url = format!("{}/v1/batches/{batch}", self.plan.target);
        loop {
            let object = self.object(|| Some(self.client.get(&url))).await?;
            let final_states = ["completed", "failed", "expired", "cancelled"];
            if final_states.contains(&object.status.as_str()) {
                return Ok(object);
            }
            let pause = Duration::from_millis(self.plan.poll_ms.max(1));
            tokio::time::sleep(pause).await;
        }
    }

    async fn content(
        &self,
        file: Option<String>,
    ) -> Result<String, Abandoned> {
        let Some(file) = file else {
            return Ok(String::new());
        };
        let url = format!("{}/v1/files/{file}/content", self.plan.target);
        let request = || Some(self.client.get(&url));
        self.retry(request, |response| async { response.text().await.ok() })
            .await
    }

    async fn object(
        &self,
        request: impl Fn() -> Option<RequestBuilder>,
    ) -> Result<Object, Abandoned> {
        self.retry(request, |response| async { response.json().await.ok() })
            .await
    }

    /// Retries a call until it succeeds; gives up only on a permanent refusal.
    ///
    /// All calls of a job may be retried: a second upload only creates
    /// another file, and the creation of a job has an idempotency key.
    async fn retry<T, F: Future<Output = Option<T>>>(
        &self,
        request: impl Fn() -> Option<RequestBuilder>,
        read: impl Fn(Response) -> F,
    ) -> Result<T, Abandoned> {
        loop {
            let mut call = request().ok_or(Abandoned)?;
            if let Some(key) = &self.plan.key {
                call = call.bearer_auth(key);
            }
            let mut backoff_ms = MIN_BACKOFF_MS;
            match call.send().await {
                Ok(response) if response.status().is_success() => {
                    match read(response).await {
                        Some(answer) => return Ok(answer),
                        None => self.tally.count_lost_call(),
                    }
                }
                Ok(response) => {
                    let is_transient_refusal =
                        is_transient(response.status().as_u16());
                    backoff_ms = backoff_ms.max(retry_after_ms(&response));
                    self.tally.count_refused_call(refusal(response).await);
                    if !is_transient_refusal {
                        return Err(Abandoned);
                    }
                }
                Err(_) => self.tally.count_lost_call(),
            }
            tokio::time::sleep(Duration::from_millis(backoff_ms)).await;
        }
    }

    /// Counts each item of a job exactly once.
    ///
    /// Items without a result in an unfinished job do not count as missing,
    /// because the caller knows that the job did not complete.
    fn check(&self, number: u32, completed: bool, results: &Results) {
        let mut found = ResultLines::default();
        found.read(&results.output, false);
        found.read(&results.errors, true);
        for item in 0..self.plan.items_per_job {
            let spec = ExpectedRequest::new(
                &self.plan,
                RequestKey::Item { job: number, item },
            );
            let lines = found.lines.swap_remove(&custom_id(number, item));
            match lines {
                None if !completed => {
                    self.tally.count(|report| report.unfinished += 1);
                }
                lines => self.check_item(&spec, &lines.unwrap_or_default()),
            }
        }
        let foreign = found.broken + found.lines.len() as u64;
        self.tally.count(|report| report.foreign += foreign);
    }

    fn check_item(&self, spec: &ExpectedRequest, lines: &[ResultLine]) {
        let count: fn(&mut BatchReport) = match lines {
            [] => |report| report.missing += 1,
            [ResultLine::Answer(text)] => match spec.item_verdict(text) {
                Verdict::Right => |report| report.right += 1,
                Verdict::Missing => |report| report.missing += 1,
                Verdict::Duplicated => |report| report.duplicated += 1,
                Verdict::Wrong => |report| report.wrong += 1,
            },
            [ResultLine::Failed(_)] if spec.fails => {
                |report| report.failed_as_asked += 1
            }
            [ResultLine::Failed(refusal)] => {
                self.tally.fail_item(refusal.clone());
                return;
            }
            _ => |report| report.duplicated += 1,
        };
        self.tally.count(count);
    }
}

impl ExpectedRequest {
    /// Compares the response of an item with the expected one. For an item
    /// that must fail, any response is wrong.
    pub(crate) fn item_verdict(&self, text: &str) -> Verdict {
        if self.fails {
            return Verdict::Wrong;
        }
        verdict(&self.expected(), text, true)
    }
}

/// Reports whether a refusal with this status is transient.
fn is_transient(status: u16) -> bool {
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

/// Result line of an item.
#[derive(Clone, Debug)]
enum ResultLine {
    Answer(String),
    Failed(Refusal),
}

/// The result lines of a job's files by custom id.
#[derive(Debug, Default)]
struct ResultLines {
    lines: IndexMap<String, Vec<ResultLine>>,
    broken: u64,
}

impl ResultLines {
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

fn line(value: &Value, errors: bool) -> ResultLine {
    let response = &value["response"];
    let status = response["status_code"].as_u64().unwrap_or(0) as u16;
    if !errors && (status == 200 || status == 0) {
        let message = &response["body"]["choices"][0]["message"];
        let text = message["content"].as_str().unwrap_or_default();
        return ResultLine::Answer(text.to_owned());
    }
    let body = if value["error"].is_null() {
        &response["body"]
    } else {
        value
    };
    ResultLine::Failed(Refusal::of(status, body))
}
