//! How long batch work stands still after its owner died.
//!
//! Two entries share the partitions of a fleet of real processes. The one
//! that owns a running job is killed; the time until the job has more
//! completed items than right after the kill is taken. Then the dead entry
//! comes back. Promise checked: the work always moves again, and every job
//! ends with each item in the output once. Times depend on the machine, the
//! lease and the engines and are printed only.

use std::{
    collections::HashSet,
    process::ExitCode,
    time::{Duration, Instant},
};

use bench::{BenchError, CUSTOMER_KEY, Fleet, FleetOptions, Options, Table};
use error_stack::{Report, ResultExt};
use ledger::partition_of;
use pomeloslip_bench as bench;
use serde_json::{Value, json};

/// Life of the lease of a partition's owner, in seconds.
const LEASE_TTL_S: u32 = 2;

const PARTITIONS: u32 = 8;

const ROUNDS: usize = 20;
const ROUNDS_SMALL: usize = 3;

/// Items of a job; more than run in one round.
const ITEMS: usize = 300;

/// Completed items from which a job counts as running.
const RUNNING: u64 = 20;

const LOOK: Duration = Duration::from_millis(10);

/// Longest wait for anything.
const LIMIT: Duration = Duration::from_secs(60);

fn main() -> ExitCode {
    bench::run(measure)
}

async fn measure(options: Options) -> Result<(), Report<BenchError>> {
    let fleet =
        FleetOptions::default()
            .engines(2)
            .services(0)
            .adjust(|settings| {
                settings.batch.lease_ttl_s = LEASE_TTL_S;
                settings.batch.partitions = PARTITIONS;
            });
    let mut fleet = Fleet::start(fleet).await?;
    let rounds = match options.small {
        true => ROUNDS_SMALL,
        false => ROUNDS,
    };
    let mut still_ms = Vec::new();
    for round in 0..rounds {
        still_ms.push(one_round(&mut fleet, round).await?);
    }
    still_ms.sort_unstable();
    let at =
        |share: f64| still_ms[(share * (still_ms.len() - 1) as f64) as usize];
    let title = "from the owner's death to its work moving again, ms";
    let columns = ["lease_ttl_s", "rounds", "least", "median", "worst"];
    let mut table = Table::new(title, &columns);
    table.row([
        LEASE_TTL_S.to_string(),
        rounds.to_string(),
        at(0.0).to_string(),
        at(0.5).to_string(),
        at(1.0).to_string(),
    ]);
    Table::print_all("takeover", options, &[table]);
    Ok(())
}

/// Kills the owner of a running job and returns how long its work stood
/// still, in milliseconds.
async fn one_round(
    fleet: &mut Fleet,
    round: usize,
) -> Result<u128, Report<BenchError>> {
    let api = Api::new()?;
    let url = fleet.entries[round % 2].url();
    let job = api.start_job(&url, round).await?;
    api.until_done(&url, &job, RUNNING).await?;
    let owner = api.owner(fleet, &job).await?;
    let other = fleet.entries[1 - owner].url();
    fleet.entries[owner].kill()?;
    let killed = Instant::now();
    let before = api.done(&other, &job).await?;
    api.until_done(&other, &job, before + 1).await?;
    let still = killed.elapsed().as_millis();
    fleet.entries[owner].restart()?;
    fleet.ready().await?;
    api.until_done(&other, &job, ITEMS as u64).await?;
    api.check(&other, &job).await?;
    Ok(still)
}

/// The calls of the batch API that are made here.
struct Api(reqwest::Client);

impl Api {
    fn new() -> Result<Self, Report<BenchError>> {
        let client = reqwest::Client::builder().no_proxy().timeout(LIMIT);
        client.build().change_context(BenchError::Call).map(Self)
    }

    async fn send(
        &self,
        call: reqwest::RequestBuilder,
    ) -> Result<Value, Report<BenchError>> {
        let sent = call.bearer_auth(CUSTOMER_KEY).send().await;
        let answer = sent.change_context(BenchError::Call)?;
        let answer = answer.error_for_status();
        let answer = answer.change_context(BenchError::Call)?;
        answer.json().await.change_context(BenchError::Call)
    }

    async fn start_job(
        &self,
        url: &str,
        round: usize,
    ) -> Result<String, Report<BenchError>> {
        let line = |at: usize| {
            let prompt = format!("takeover {round} {at}");
            let message = json!({"role": "user", "content": prompt});
            json!({
                "custom_id": format!("item-{at}"),
                "method": "POST",
                "url": "/v1/chat/completions",
                "body": {
                    "model": "korv-lm",
                    "max_tokens": 8,
                    "messages": [message],
                },
            })
            .to_string()
        };
        let lines: Vec<_> = (0..ITEMS).map(line).collect();
        let boundary = "pomeloslip-takeover";
        let body = format!(
            "--{boundary}\r\nContent-Disposition: form-data; \
             name=\"purpose\"\r\n\r\nbatch\r\n--{boundary}\r\n\
             Content-Disposition: form-data; name=\"file\"; \
             filename=\"items.jsonl\"\r\n\r\n{}\r\n--{boundary}--\r\n",
            lines.join("\n")
        );
        let kind = format!("multipart/form-data; boundary={boundary}");
        let upload = self.0.post(format!("{url}/v1/files"));
        let upload = upload.header("content-type", kind).body(body);
        let file = self.send(upload).await?;
        let job = json!({
            "input_file_id": file["id"],
            "endpoint": "/v1/chat/completions",
            "completion_window": "24h",
        });
        let call = self.0.post(format!("{url}/v1/batches")).json(&job);
        let job = self.send(call).await?;
        let id = job["id"].as_str().map(str::to_owned);
        id.ok_or_else(|| Report::new(BenchError::Call).attach("no job"))
    }

    async fn job(
        &self,
        url: &str,
        job: &str,
    ) -> Result<Value, Report<BenchError>> {
        self.send(self.0.get(format!("{url}/v1/batches/{job}")))
            .await
    }

    async fn done(
        &self,
        url: &str,
        job: &str,
    ) -> Result<u64, Report<BenchError>> {
        let job = self.job(url, job).await?;
        let done = job["request_counts"]["completed"].as_u64();
        Ok(done.unwrap_or_default())
    }

    async fn until_done(
        &self,
        url: &str,
        job: &str,
        items: u64,
    ) -> Result<(), Report<BenchError>> {
        let end = Instant::now() + LIMIT;
        while self.done(url, job).await? < items {
            if Instant::now() > end {
                let why = format!("{job} does not reach {items} items");
                return Err(Report::new(BenchError::Promise).attach(why));
            }
            tokio::time::sleep(LOOK).await;
        }
        Ok(())
    }

    /// Finds the entry that owns a job's partition.
    async fn owner(
        &self,
        fleet: &Fleet,
        job: &str,
    ) -> Result<usize, Report<BenchError>> {
        let id = job.parse().change_context(BenchError::Call)?;
        let partition = json!(partition_of(&id, PARTITIONS));
        let end = Instant::now() + LIMIT;
        while Instant::now() < end {
            for (at, entry) in fleet.entries.iter().enumerate() {
                let url = format!("{}/status", entry.url());
                let status = bench::get_json(&url).await?;
                let owned = status["partitions"].as_array();
                if owned.is_some_and(|owned| owned.contains(&partition)) {
                    return Ok(at);
                }
            }
            tokio::time::sleep(LOOK).await;
        }
        let why = format!("nobody owns partition {partition}");
        Err(Report::new(BenchError::Promise).attach(why))
    }

    /// Checks that the output has each item once.
    async fn check(
        &self,
        url: &str,
        job: &str,
    ) -> Result<(), Report<BenchError>> {
        let job = self.job(url, job).await?;
        let file = job["output_file_id"].as_str().unwrap_or_default();
        let call = self.0.get(format!("{url}/v1/files/{file}/content"));
        let sent = call.bearer_auth(CUSTOMER_KEY).send().await;
        let text = sent.change_context(BenchError::Call)?.text().await;
        let text = text.change_context(BenchError::Call)?;
        let id = |line: &str| {
            let line: Value = serde_json::from_str(line).ok()?;
            line["custom_id"].as_str().map(str::to_owned)
        };
        let ids: Vec<_> = text.lines().filter_map(id).collect();
        let distinct: HashSet<_> = ids.iter().collect();
        if ids.len() == ITEMS && distinct.len() == ITEMS {
            return Ok(());
        }
        let why = format!("{} lines, {} items", ids.len(), distinct.len());
        Err(Report::new(BenchError::Promise).attach(why))
    }
}
