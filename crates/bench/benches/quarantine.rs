//! What the check for requests that crash endpoints adds to a request.
//!
//! Without any such request, and with as many as a process remembers, for
//! bodies of several lengths. All times are also given as ratios to those of
//! one run without any, so that the machine does not matter.

use std::{hint::black_box, process::ExitCode, sync::Arc, time::Instant};

use base::{Clock, RequestContent, RequestDigest, SystemClock, UnixMillis};
use bench::{BenchError, Options, Table};
use error_stack::Report;
use pomeloslip_bench as bench;
use quarantine::{Crash, CrashedEndpoint, Quarantine, QuarantineOptions};

/// Lengths of bodies, in bytes.
const BODIES: [usize; 4] = [0, 500, 4_000, 64_000];

fn main() -> ExitCode {
    bench::run(measure)
}

fn digest(body: &[u8]) -> RequestDigest {
    RequestDigest::of(RequestContent {
        customer: "taevakorv",
        method: "POST",
        host: "a.example",
        target: "/v1/chat/completions",
        body,
    })
}

async fn measure(options: Options) -> Result<(), Report<BenchError>> {
    let rounds = if options.small { 20_000 } else { 400_000 };
    let clock = Arc::new(SystemClock::new());
    let most = QuarantineOptions::default().max_records;
    let none = Quarantine::local(clock.clone(), QuarantineOptions::default());
    let full = Quarantine::local(clock.clone(), QuarantineOptions::default());
    for number in 0..most as u64 {
        let now = clock.unix();
        full.record_crash(digest(&number.to_le_bytes()), crash(number, now));
    }
    let mut table = Table::new(
        "Time of one check in ns, and as a ratio to that without any request \
         that crashes endpoints",
        &["remembered requests", "body bytes", "ns", "ratio"],
    );
    let base_ns = time(&none, &[], rounds).await;
    table.row(row(0, 0, base_ns, base_ns));
    for length in BODIES {
        let body = vec![b'x'; length];
        let ns = time(&full, &body, rounds).await;
        table.row(row(full.len(), length, ns, base_ns));
    }
    Table::print_all("quarantine", options, &[table]);
    Ok(())
}

fn crash(endpoint: u64, now: UnixMillis) -> Crash {
    Crash {
        endpoint: CrashedEndpoint::new(endpoint),
        began_at: now,
        ended_at: now,
        resumed_after: 0,
        reached: 0,
    }
}

async fn time(quarantine: &Quarantine, body: &[u8], rounds: u32) -> f64 {
    let began = Instant::now();
    for _ in 0..rounds {
        let cleared = quarantine.admit(|| digest(black_box(body))).await;
        let _ = black_box(cleared);
    }
    began.elapsed().as_nanos() as f64 / f64::from(rounds)
}

fn row(known: usize, length: usize, ns: f64, base_ns: f64) -> [String; 4] {
    [
        known.to_string(),
        length.to_string(),
        format!("{ns:.0}"),
        format!("{:.1}", ns / base_ns),
    ]
}
