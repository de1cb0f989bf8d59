//! What an item loses that waits for an endpoint of its software version, by
//! the rule of the shipped code and by others, in a model without a network.
//!
//! An item is interrupted after a part of its run. The endpoints of its version
//! become free after a time that the pattern draws; those of another version
//! are free at once. Lost is the time that it waits, and that of the runs that
//! it repeats.

use std::process::ExitCode;

use bench::{BenchError, Options, Table, run};
use error_stack::Report;
use jobs::VersionWait;
use pomeloslip_bench as bench;
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Interval between two decisions of a worker, in milliseconds.
const TICK_MS: u64 = 50;

/// Duration of a whole run, in milliseconds.
const RUN_MS: u64 = 3_000;

/// Time after which a wait counts as endless, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// How long the endpoints of the version stay busy, in milliseconds.
type BusyMs = fn(&mut StdRng) -> u64;

const PATTERNS: [(&str, BusyMs); 5] = [
    ("gusts of 50 to 400 ms", |random| {
        random.random_range(50..400)
    }),
    ("bursts of 1 to 3 s", |random| {
        random.random_range(1_000..3_000)
    }),
    ("bursts of 4 to 10 s", |random| {
        random.random_range(4_000..10_000)
    }),
    ("gusts, one in ten a burst", |random| {
        match random.random_bool(0.1) {
            true => random.random_range(4_000..10_000),
            false => random.random_range(50..400),
        }
    }),
    ("version leaves within 10 s", |random| {
        match random.random_bool(0.5) {
            true => MAX_WAIT_MS,
            false => random.random_range(50..400),
        }
    }),
];

/// Reports whether a waiting item begins anew.
type Rule = fn(VersionWait) -> bool;

const RULES: [(&str, Rule); 3] = [
    ("shipped: as long as its runs", VersionWait::is_over),
    ("begin anew at once", |_| true),
    ("wait for its version", |wait| !wait.has_endpoint),
];

fn main() -> ExitCode {
    run(measure)
}

async fn measure(options: Options) -> Result<(), Report<BenchError>> {
    let items = if options.small { 5_000 } else { 50_000 };
    let mut columns = vec!["lost ms: mean, p99"];
    columns.extend(RULES.iter().map(|(name, _)| *name));
    let mut table = Table::new("One interrupted item", &columns);
    for (pattern, busy_ms) in PATTERNS {
        let mut cells = vec![pattern.to_owned()];
        for (_, rule) in RULES {
            let mut random = StdRng::seed_from_u64(options.seed);
            let mut lost: Vec<u64> = (0..items)
                .map(|_| {
                    let ran_ms = random.random_range(TICK_MS..RUN_MS);
                    lost_ms(rule, ran_ms, busy_ms(&mut random))
                })
                .collect();
            lost.sort_unstable();
            let mean = lost.iter().sum::<u64>() / items as u64;
            cells.push(format!("{mean}, {}", lost[items * 99 / 100]));
        }
        table.row(cells);
    }
    Table::print_all("version_wait", options, &[table]);
    Ok(())
}

/// Returns the time that an item loses. A version whose endpoints are busy
/// until the maximum leaves after 10 s.
fn lost_ms(rule: Rule, ran_ms: u64, busy_ms: u64) -> u64 {
    const LEAVES_AFTER_MS: u64 = 10_000;
    let mut waited_ms = 0;
    while waited_ms < busy_ms {
        let wait = VersionWait {
            waited_ms,
            ran_ms,
            has_endpoint: waited_ms < LEAVES_AFTER_MS,
        };
        if rule(wait) {
            return waited_ms + ran_ms;
        }
        waited_ms += TICK_MS;
    }
    busy_ms
}
