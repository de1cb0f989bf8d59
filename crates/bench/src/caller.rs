use std::{
    sync::atomic::{AtomicU64, AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use error_stack::{Report, ResultExt};
use reqwest::{
    Client, RequestBuilder,
    multipart::{Form, Part},
};
use serde_json::{Value, json};

use crate::{BenchError, CUSTOMER_KEY};

/// Longest silence of an entry before another is asked.
const SILENCE: Duration = Duration::from_secs(10);

/// Longest wait for a connection.
const CONNECT: Duration = Duration::from_secs(1);

/// Pause before a call is repeated.
const REPEAT_PAUSE: Duration = Duration::from_millis(200);

/// Pause between looks at a job.
const POLL: Duration = Duration::from_millis(250);

/// A caller of the batch API behind a balancer of several entries.
///
/// It repeats a call at the next entry until there is an answer, as a
/// careful caller does: uploads may be repeated, and the start of a job
/// carries an Idempotency-Key.
#[derive(Debug)]
pub struct Caller {
    client: Client,
    urls: Vec<String>,
    next: AtomicUsize,
    repeated: AtomicU64,
    end: Instant,
}

impl Caller {
    /// Makes a caller of the entries at these URLs that gives up `limit`
    /// from now.
    ///
    /// # Errors
    ///
    /// [`BenchError::Call`] if there is no HTTP client.
    pub fn try_new(
        urls: Vec<String>,
        limit: Duration,
    ) -> Result<Self, Report<BenchError>> {
        let client = Client::builder()
            .no_proxy()
            .connect_timeout(CONNECT)
            .read_timeout(SILENCE)
            .build()
            .change_context(BenchError::Call)?;
        Ok(Self {
            client,
            urls,
            next: AtomicUsize::new(0),
            repeated: AtomicU64::new(0),
            end: Instant::now() + limit,
        })
    }

    /// Returns how many calls were repeated.
    pub fn repeated(&self) -> u64 {
        self.repeated.load(Ordering::Relaxed)
    }

    /// Uploads an input and returns the id of the file.
    ///
    /// # Errors
    ///
    /// [`BenchError::Call`] if it is refused for good or the time is up.
    pub async fn upload(
        &self,
        input: &str,
    ) -> Result<String, Report<BenchError>> {
        let call = |url: &str| {
            let part = Part::text(input.to_owned()).file_name("input.jsonl");
            let form = Form::new().text("purpose", "batch").part("file", part);
            self.client.post(format!("{url}/v1/files")).multipart(form)
        };
        id(&self.json(call).await?)
    }

    /// Starts a job and returns its id.
    ///
    /// # Errors
    ///
    /// As [`Caller::upload`].
    pub async fn start(
        &self,
        file: &str,
        key: &str,
    ) -> Result<String, Report<BenchError>> {
        let body = json!({
            "input_file_id": file,
            "endpoint": "/v1/chat/completions",
            "completion_window": "24h",
        });
        let call = |url: &str| {
            let call = self.client.post(format!("{url}/v1/batches"));
            call.json(&body).header("idempotency-key", key)
        };
        id(&self.json(call).await?)
    }

    /// Returns a job as it is now.
    ///
    /// # Errors
    ///
    /// As [`Caller::upload`].
    pub async fn job(&self, id: &str) -> Result<Value, Report<BenchError>> {
        let path = format!("/v1/batches/{id}");
        self.json(|url| self.client.get(format!("{url}{path}")))
            .await
    }

    /// Waits until a job has ended and returns it.
    ///
    /// # Errors
    ///
    /// As [`Caller::upload`].
    pub async fn ended(&self, id: &str) -> Result<Value, Report<BenchError>> {
        loop {
            let job = self.job(id).await?;
            let status = job["status"].as_str().unwrap_or_default();
            if ["completed", "failed", "expired"].contains(&status) {
                return Ok(job);
            }
            self.check_time(&format!("job {id}: {job}"))?;
            tokio::time::sleep(POLL).await;
        }
    }

    /// Returns the content of a file; none has none.
    ///
    /// # Errors
    ///
    /// As [`Caller::upload`].
    pub async fn content(
        &self,
        file: Option<&str>,
    ) -> Result<String, Report<BenchError>> {
        let Some(file) = file else {
            return Ok(String::new());
        };
        let path = format!("/v1/files/{file}/content");
        self.text(|url| self.client.get(format!("{url}{path}")))
            .await
    }

    async fn json(
        &self,
        call: impl Fn(&str) -> RequestBuilder,
    ) -> Result<Value, Report<BenchError>> {
        let text = self.text(call).await?;
        serde_json::from_str(&text).change_context(BenchError::Call)
    }

    async fn text(
        &self,
        call: impl Fn(&str) -> RequestBuilder,
    ) -> Result<String, Report<BenchError>> {
        loop {
            let at = self.next.load(Ordering::Relaxed) % self.urls.len();
            let sent = call(&self.urls[at]).bearer_auth(CUSTOMER_KEY).send();
            let why = match sent.await {
                Ok(answer) => {
                    let status = answer.status();
                    match answer.text().await {
                        Ok(text) if status.is_success() => return Ok(text),
                        Ok(text) if !is_passing(status.as_u16()) => {
                            return Err(Report::new(BenchError::Call)
                                .attach(format!("{status}: {text}")));
                        }
                        Ok(text) => format!("{status}: {text}"),
                        Err(error) => error.to_string(),
                    }
                }
                Err(error) => error.to_string(),
            };
            self.next.fetch_add(1, Ordering::Relaxed);
            self.repeated.fetch_add(1, Ordering::Relaxed);
            self.check_time(&why)?;
            tokio::time::sleep(REPEAT_PAUSE).await;
        }
    }

    fn check_time(&self, last: &str) -> Result<(), Report<BenchError>> {
        if Instant::now() < self.end {
            return Ok(());
        }
        let why = format!("the time is up; last: {last}");
        Err(Report::new(BenchError::Call).attach(why))
    }
}

/// Tells whether a refusal with this status may pass.
fn is_passing(status: u16) -> bool {
    status == 408 || status == 429 || status >= 500
}

fn id(object: &Value) -> Result<String, Report<BenchError>> {
    let id = object["id"].as_str().ok_or(BenchError::Call)?;
    Ok(id.to_owned())
}
