//! Calls through connections that go silent, break or crawl.
//!
//! Two entries serve chats and calls of a plain service; a third of the
//! calls may not be repeated, half of those carry an idempotency key and are
//! sent again with it. Proxies between entries and companions and between
//! companions and endpoints inject faults all the time, drawn from the seed.
//!
//! Promises checked: each call is answered or told that it was lost, within
//! its time; an answer is that of its own call and whole; none that may not
//! be repeated runs twice; what was refused as "did not run" did not.
//! Shares and times depend on the machine and are printed only.

#[path = "faults/calls.rs"]
mod calls;
#[path = "faults/driver.rs"]
mod driver;
#[path = "faults/ended.rs"]
mod ended;
#[path = "faults/findings.rs"]
mod findings;
#[path = "faults/world.rs"]
mod world;

use std::{
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use error_stack::Report;
use pomeloslip_bench::{BenchError, Options, Table, run};
use tokio::{
    task::JoinSet,
    time::{Duration, Instant, sleep_until},
};

use self::{calls::Sender, ended::Ended, findings::Findings, world::World};

/// Calls and how many of them are due in a second. Without a pace, they
/// would be over before the faults have begun.
const LOAD: (u64, f64) = (10_000, 100.0);
const LOAD_SMALL: (u64, f64) = (600, 30.0);

/// Tokens of each answer.
const TOKENS: u32 = 12;

/// Callers that send one call after the other.
const CALLERS: usize = 128;

fn main() -> ExitCode {
    run(measure)
}

async fn measure(options: Options) -> Result<(), Report<BenchError>> {
    let (calls, per_s) = if options.small { LOAD_SMALL } else { LOAD };
    let world = World::start(options.seed).await?;
    let driver = driver::start(&world, options.seed);
    let start = Instant::now();
    let ended = send_all(&world, calls, per_s).await?;
    let took_s = start.elapsed().as_secs_f64();
    let injected = driver.stop().await;
    let findings = Findings::new(&ended, &world.runs());
    let mut run = Table::new("Run", &["calls", "seconds", "calls/s"]);
    run.row([
        calls.to_string(),
        format!("{took_s:.1}"),
        format!("{:.0}", calls as f64 / took_s),
    ]);
    let tables = [
        run,
        injected,
        findings.outcomes(),
        findings.told(),
        findings.promises(),
    ];
    Table::print_all("faults", options, &tables);
    world.stop().await;
    findings.check()
}

async fn send_all(
    world: &World,
    calls: u64,
    per_s: f64,
) -> Result<Vec<Ended>, Report<BenchError>> {
    let next = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        let sender = Sender::try_new(TOKENS, Duration::ZERO)?;
        let entries = world.entries();
        let next = next.clone();
        callers.spawn(async move {
            let mut ended = Vec::new();
            loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                if number >= calls {
                    return ended;
                }
                let due = Duration::from_secs_f64(number as f64 / per_s);
                sleep_until(start + due).await;
                ended.push(Ended::of(number, &sender, &entries).await);
            }
        });
    }
    Ok(callers.join_all().await.into_iter().flatten().collect())
}
