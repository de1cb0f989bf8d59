//! Runs the demo against itself and says what held.

use std::{fmt, net::SocketAddr, time::Duration};

use error_stack::{Report, ResultExt};
use load::{Arrivals, LoadReport, Plan};
use serde::Serialize;

use super::{CUSTOMER_KEY, Demo, DemoError, MODEL};

/// Pause between looks at something that is awaited.
const LOOK: Duration = Duration::from_millis(50);

/// Looks before something counts as not happening.
const LOOKS_MAX: u32 = 400;

/// One thing that the self-test looked at.
#[derive(Clone, Debug, Serialize)]
pub struct Check {
    /// What was tried.
    pub name: &'static str,
    /// Whether it held.
    pub held: bool,
    /// What was seen.
    pub seen: String,
}

/// Everything that the self-test looked at.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Selftest {
    /// In the order in which it was tried.
    pub checks: Vec<Check>,
}

impl Selftest {
    /// Tells whether all held.
    pub fn held(&self) -> bool {
        self.checks.iter().all(|check| check.held)
    }

    fn note(&mut self, name: &'static str, held: bool, seen: String) {
        self.checks.push(Check { name, held, seen });
    }
}

impl fmt::Display for Selftest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for check in &self.checks {
            let held = if check.held { "held" } else { "FAILED" };
            writeln!(f, "{held:<7} {:<28} {}", check.name, check.seen)?;
        }
        let held = if self.held() { "all held" } else { "FAILED" };
        writeln!(f, "{held}")
    }
}

/// Starts a demo, runs everything against it and stops it.
///
/// # Errors
///
/// [`DemoError`] if the demo cannot start; what does not hold is in the
/// result.
pub async fn selftest(
    listen: SocketAddr,
) -> Result<Selftest, Report<DemoError>> {
    let mut demo = Demo::start(listen).await?;
    let url = format!("http://{}", demo.address());
    let mut found = Selftest::default();
    chat(&url, &mut found).await?;
    batch(&url, &mut found).await?;
    burst(&url, &mut found).await?;
    cancel(&url, &mut found).await?;
    lost_companion(&mut demo, &url, &mut found).await?;
    demo.stop().await;
    Ok(found)
}

fn plan(url: &str) -> Plan {
    Plan::new(url, MODEL).key(CUSTOMER_KEY).max_tokens(16)
}

async fn send(plan: &Plan) -> Result<LoadReport, Report<DemoError>> {
    load::run(plan, |_| {}).await.change_context(DemoError)
}

fn online_seen(report: &LoadReport) -> String {
    let online = &report.online;
    format!(
        "{} of {} right, first token p99 {:.0} ms",
        online.right, online.sent, online.first_token.p99_ms
    )
}

fn all_right(report: &LoadReport) -> bool {
    let online = &report.online;
    report.is_clean() && online.sent > 0 && online.right == online.sent
}

async fn chat(
    url: &str,
    found: &mut Selftest,
) -> Result<(), Report<DemoError>> {
    let arrivals = Arrivals::PerSecond(10.0);
    let plan = plan(url).arrivals(arrivals).duration_ms(1_000);
    let report = send(&plan).await?;
    found.note("chat", all_right(&report), online_seen(&report));
    Ok(())
}

async fn batch(
    url: &str,
    found: &mut Selftest,
) -> Result<(), Report<DemoError>> {
    let plan = plan(url)
        .arrivals(Arrivals::None)
        .batch(2, 50)
        .fail_percent(4)
        .poll_ms(50);
    let report = send(&plan).await?;
    let batch = &report.batch;
    let held = report.is_clean()
        && batch.jobs_completed == batch.jobs
        && batch.right + batch.failed_as_asked == batch.items;
    let seen = format!(
        "{} of {} items right, {} failed as asked",
        batch.right, batch.items, batch.failed_as_asked
    );
    found.note("batch", held, seen);
    Ok(())
}

async fn burst(
    url: &str,
    found: &mut Selftest,
) -> Result<(), Report<DemoError>> {
    let plan = plan(url)
        .arrivals(Arrivals::PerSecond(100.0))
        .duration_ms(1_500)
        .batch(1, 100)
        .poll_ms(50);
    let report = send(&plan).await?;
    let batch = &report.batch;
    let held = all_right(&report) && batch.right == batch.items;
    let seen = format!(
        "{}; {} of {} items meanwhile",
        online_seen(&report),
        batch.right,
        batch.items
    );
    found.note("burst beside a batch", held, seen);
    Ok(())
}

async fn cancel(
    url: &str,
    found: &mut Selftest,
) -> Result<(), Report<DemoError>> {
    let client = Api::new(url);
    let lines = (0..200).map(|at| {
        format!(
            r#"{{"custom_id":"c{at}","method":"POST","url":"/v1/chat/completions","body":{{"model":"{MODEL}","max_tokens":64,"messages":[{{"role":"user","content":"cancel {at}"}}]}}}}"#
        )
    });
    let input = lines.collect::<Vec<_>>().join("\n");
    let file = client.upload(input).await?;
    let job = client.start(&file).await?;
    client.post(&format!("/v1/batches/{job}/cancel")).await?;
    let mut status = serde_json::Value::Null;
    for _ in 0..LOOKS_MAX {
        status = client.get(&format!("/v1/batches/{job}")).await?;
        if status["status"] == "cancelled" {
            break;
        }
        tokio::time::sleep(LOOK).await;
    }
    let done = status["request_counts"]["completed"].as_u64();
    let held =
        status["status"] == "cancelled" && done.is_some_and(|done| done < 200);
    let seen = format!(
        "{}, {} of 200 items were done",
        status["status"],
        done.unwrap_or_default()
    );
    found.note("cancel", held, seen);
    Ok(())
}

async fn lost_companion(
    demo: &mut Demo,
    url: &str,
    found: &mut Selftest,
) -> Result<(), Report<DemoError>> {
    let plan = plan(url)
        .arrivals(Arrivals::PerSecond(40.0))
        .duration_ms(2_000)
        .batch(1, 100)
        .poll_ms(50);
    let load = send(&plan);
    let kill = async {
        tokio::time::sleep(Duration::from_millis(600)).await;
        demo.kill_companion().await;
    };
    let (report, ()) = tokio::join!(load, kill);
    let report = report?;
    let (online, batch) = (&report.online, &report.batch);
    // Streams that had begun at the lost companion are cut, which their
    // callers see; nothing else may fail, and no answer may be wrong.
    let told = online.refused.iter().chain(&online.broken);
    let told: u64 = told.map(|refused| refused.count).sum();
    let held = report.is_clean()
        && online.right + online.lost + told == online.sent
        && online.right * 2 > online.sent
        && batch.right == batch.items;
    let seen = format!(
        "{} of {} right, {} cut, {told} told; {} of {} items",
        online.right, online.sent, online.lost, batch.right, batch.items
    );
    found.note("loss of a companion", held, seen);
    Ok(())
}

/// The few calls of the batch API that the self-test makes itself.
struct Api {
    client: reqwest::Client,
    url: String,
}

impl Api {
    fn new(url: &str) -> Self {
        Self {
            client: reqwest::Client::new(),
            url: url.to_owned(),
        }
    }

    async fn upload(
        &self,
        input: String,
    ) -> Result<String, Report<DemoError>> {
        let part =
            reqwest::multipart::Part::text(input).file_name("input.jsonl");
        let form = reqwest::multipart::Form::new()
            .text("purpose", "batch")
            .part("file", part);
        let call = self.client.post(format!("{}/v1/files", self.url));
        let file = self.json(call.multipart(form)).await?;
        id(&file)
    }

    async fn start(&self, file: &str) -> Result<String, Report<DemoError>> {
        let body = serde_json::json!({
            "input_file_id": file,
            "endpoint": "/v1/chat/completions",
            "completion_window": "24h",
        });
        let call = self.client.post(format!("{}/v1/batches", self.url));
        let job = self.json(call.json(&body)).await?;
        id(&job)
    }

    async fn post(
        &self,
        path: &str,
    ) -> Result<serde_json::Value, Report<DemoError>> {
        self.json(self.client.post(format!("{}{path}", self.url)))
            .await
    }

    async fn get(
        &self,
        path: &str,
    ) -> Result<serde_json::Value, Report<DemoError>> {
        self.json(self.client.get(format!("{}{path}", self.url)))
            .await
    }

    async fn json(
        &self,
        call: reqwest::RequestBuilder,
    ) -> Result<serde_json::Value, Report<DemoError>> {
        let reply = call
            .bearer_auth(CUSTOMER_KEY)
            .send()
            .await
            .change_context(DemoError)?;
        let status = reply.status();
        let body = reply.text().await.change_context(DemoError)?;
        if !status.is_success() {
            return Err(Report::new(DemoError).attach(body));
        }
        serde_json::from_str(&body).change_context(DemoError)
    }
}

fn id(json: &serde_json::Value) -> Result<String, Report<DemoError>> {
    let id = json["id"].as_str().ok_or(DemoError)?;
    Ok(id.to_owned())
}
