//! Batch jobs while everything fails.
//!
//! One large job and many small ones run on separate processes, with some
//! items that always fail. Meanwhile an entry that owns partitions, a data
//! VM and companions are killed, an owner is paused past its lease, and the
//! key-value service is away and loses answers. Every job is sent three
//! times. Promise checked: each item is in exactly one of output and error
//! file, right byte for byte, and a job sent again is the same job.

#[path = "chaos/faults.rs"]
mod faults;
#[path = "chaos/items.rs"]
mod items;

use std::{
    process::ExitCode,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use error_stack::{Report, ResultExt};
use pomeloslip_bench::{
    self as bench, BenchError, Caller, Fleet, FleetOptions, Options, Table,
    get_json,
};
use tokio::task::{JoinHandle, JoinSet};

use self::{
    faults::{DataVm, Fault},
    items::{Found, JobPlan},
};

/// Time of an engine's step, well within the target between tokens: above
/// it, companions would hold batch work back.
const STEP: &str = "base_step_ms=10";

/// Pause between looks whether the engines have work.
const LOOK: Duration = Duration::from_millis(50);

fn main() -> ExitCode {
    bench::run(measure)
}

/// How large a run is.
struct Size {
    large_items: u32,
    small_jobs: u32,
    small_items: u32,
    lease_ttl_s: u32,
    grant_ttl_ms: u64,
    /// The pauses between the attempts at items that always fail are most
    /// of the end of a small run.
    attempts_max: u32,
    outage: Duration,
    /// Tokens of each answer; they make the jobs outlast the faults.
    tokens: u32,
    /// Time between two faults.
    calm: Duration,
    limit: Duration,
}

impl Size {
    fn of(options: Options) -> Self {
        match options.small {
            true => Self {
                large_items: 2_000,
                small_jobs: 10,
                small_items: 20,
                lease_ttl_s: 2,
                grant_ttl_ms: 2_000,
                attempts_max: 3,
                outage: Duration::from_secs(4),
                tokens: 16,
                calm: Duration::from_millis(300),
                limit: Duration::from_secs(60),
            },
            false => Self {
                large_items: 54_000,
                small_jobs: 100,
                small_items: 100,
                lease_ttl_s: 10,
                grant_ttl_ms: 10_000,
                attempts_max: 5,
                outage: Duration::from_secs(30),
                tokens: 16,
                calm: Duration::from_secs(2),
                limit: Duration::from_secs(400),
            },
        }
    }

    fn faults(&self, data: DataVm) -> [Fault; 5] {
        let lease = Duration::from_secs(u64::from(self.lease_ttl_s));
        [
            Fault::KillOwner,
            Fault::KillData(data),
            Fault::KillCompanions,
            Fault::PauseOwner {
                pause: lease + lease / 2,
            },
            Fault::Outage {
                outage: self.outage,
            },
        ]
    }

    fn jobs(&self, seed: u64) -> Vec<JobPlan> {
        let plan = |number, items| JobPlan {
            seed,
            number,
            items,
            tokens: self.tokens,
        };
        let small = (1..=self.small_jobs).map(|at| plan(at, self.small_items));
        std::iter::once(plan(0, self.large_items))
            .chain(small)
            .collect()
    }
}

async fn measure(options: Options) -> Result<(), Report<BenchError>> {
    let size = Size::of(options);
    let mut faults = Table::new(
        "Faults",
        &["round", "fault", "from s", "to s", "items run before"],
    );
    let mut results = Table::new(
        "Items",
        &[
            "round",
            "jobs",
            "items",
            "right",
            "failed",
            "wrong",
            "missing",
            "doubled",
            "foreign",
            "unfinished",
            "calls again",
            "ran",
            "s",
            "held",
        ],
    );
    let mut progress =
        Table::new("Items run so far, each second", &["round", "items"]);
    let mut held = true;
    for (at, data) in [DataVm::WithItsFolder, DataVm::Empty]
        .into_iter()
        .enumerate()
    {
        let mut round = Round {
            name: (at + 1).to_string(),
            seed: options.seed + at as u64,
            size: &size,
            faults: &mut faults,
            progress: &mut progress,
        };
        match round.run(data).await {
            Ok((row, is_held)) => {
                results.row(row);
                held &= is_held;
            }
            Err(report) => {
                println!("round {}: {report:?}", at + 1);
                held = false;
            }
        }
    }
    Table::print_all("chaos", options, &[faults, progress, results]);
    match held {
        true => Ok(()),
        false => Err(Report::new(BenchError::Promise)),
    }
}

struct Round<'a> {
    name: String,
    seed: u64,
    size: &'a Size,
    faults: &'a mut Table,
    progress: &'a mut Table,
}

impl Round<'_> {
    async fn run(
        &mut self,
        data: DataVm,
    ) -> Result<(Vec<String>, bool), Report<BenchError>> {
        let lease_ttl_s = self.size.lease_ttl_s;
        let grant_ttl_ms = self.size.grant_ttl_ms;
        let attempts_max = self.size.attempts_max;
        let options = FleetOptions::default()
            .services(0)
            .instant_engines()
            .engine_setting(STEP)
            .adjust(move |settings| {
                settings.batch.lease_ttl_s = lease_ttl_s;
                settings.batch.grant_ttl_ms = grant_ttl_ms;
                settings.batch.attempts_max = attempts_max;
            });
        let mut fleet = Fleet::start(options).await?;
        faults::lose_answers(&fleet, self.seed, Duration::ZERO).await?;
        let urls = fleet.entries.iter().map(|entry| entry.url()).collect();
        let caller = Arc::new(Caller::try_new(urls, self.size.limit)?);
        let seen = Arc::new(Mutex::new(Vec::new()));
        let start = Instant::now();
        let mut jobs = JoinSet::new();
        for plan in self.size.jobs(self.seed) {
            jobs.spawn(run_job(plan, caller.clone()));
        }
        let watch = AbortOnDrop(tokio::spawn(progress_of(
            fleet.engines.iter().map(|engine| engine.url()).collect(),
            seen.clone(),
        )));
        let faulted = self.fail(&mut fleet, data, start).await;
        let mut found = Found::default();
        while let Some(ended) = jobs.join_next().await {
            match ended.change_context(BenchError::Call)? {
                Ok(one) => found.add(&one),
                Err(report) => {
                    found.unfinished += 1;
                    println!("round {}: {report:?}", self.name);
                }
            }
        }
        drop(watch);
        let seen = seen.lock().map(|seen| seen.join(" "));
        self.progress
            .row([self.name.clone(), seen.unwrap_or_default()]);
        faulted?;
        let ran = calls_of(&fleet).await?;
        let held = found.held();
        let numbers = [
            found.jobs,
            found.items,
            found.right,
            found.failed_as_asked,
            found.wrong,
            found.missing,
            found.doubled,
            found.foreign,
            found.unfinished,
            caller.repeated(),
            ran,
        ];
        let mut row = vec![self.name.clone()];
        row.extend(numbers.map(|number| number.to_string()));
        row.push(format!("{:.1}", start.elapsed().as_secs_f64()));
        row.push(if held { "yes" } else { "NO" }.to_owned());
        Ok((row, held))
    }

    async fn fail(
        &mut self,
        fleet: &mut Fleet,
        data: DataVm,
        start: Instant,
    ) -> Result<(), Report<BenchError>> {
        // The first fault is to meet work in flight.
        let limit = start + self.size.limit;
        while calls_of(fleet).await? == 0 && Instant::now() < limit {
            tokio::time::sleep(LOOK).await;
        }
        for fault in self.size.faults(data) {
            tokio::time::sleep(self.size.calm).await;
            let ran = calls_of(fleet).await?;
            let from = start.elapsed().as_secs_f64();
            fault.happen(fleet, self.seed).await?;
            let to = start.elapsed().as_secs_f64();
            self.faults.row([
                self.name.clone(),
                fault.name().to_owned(),
                format!("{from:.1}"),
                format!("{to:.1}"),
                ran.to_string(),
            ]);
        }
        Ok(())
    }
}

/// Sends a job three times, waits for its end and judges its files.
async fn run_job(
    plan: JobPlan,
    caller: Arc<Caller>,
) -> Result<Found, Report<BenchError>> {
    let input = plan.input();
    let file = caller.upload(&input).await?;
    let id = caller.start(&file, &plan.key()).await?;
    let mut other_jobs = 0;
    // At once, as after a lost answer, and later, with a new upload.
    let again = caller.start(&file, &plan.key()).await?;
    other_jobs += u64::from(again != id);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let file = caller.upload(&input).await?;
    let again = caller.start(&file, &plan.key()).await?;
    other_jobs += u64::from(again != id);
    let job = caller.ended(&id).await?;
    let mut found = plan.check(&caller, &job).await?;
    found.other_jobs = other_jobs;
    Ok(found)
}

/// Ends a task with its holder.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Notes each second how often the engines were called.
async fn progress_of(engines: Vec<String>, seen: Arc<Mutex<Vec<String>>>) {
    loop {
        let mut calls = 0;
        for engine in &engines {
            let counters = get_json(&format!("{engine}/counters")).await;
            let counters = counters.unwrap_or_default();
            calls += counters["calls"].as_u64().unwrap_or(0);
        }
        if let Ok(mut seen) = seen.lock() {
            seen.push(calls.to_string());
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
}

/// Returns how often the engines were called for an item.
async fn calls_of(fleet: &Fleet) -> Result<u64, Report<BenchError>> {
    let mut calls = 0;
    for engine in &fleet.engines {
        let counters = get_json(&format!("{}/counters", engine.url())).await?;
        calls += counters["calls"].as_u64().unwrap_or(0);
    }
    Ok(calls)
}
