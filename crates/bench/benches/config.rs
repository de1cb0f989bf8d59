//! How long an edit takes until it is in force everywhere, and what that
//! costs.
//!
//! Entries of one process on loopback, each behind a proxy that counts the
//! bytes that other entries exchange with it, 19 in a failure domain as at
//! the target size. Edits of one customer of 20 go to entries in turn; from
//! `/status` follows since when each entry has the new revision. Then a
//! relay is stopped and the edits go on. What a configuration of 1,400
//! customers adds, its parsing, is measured at an entry that is alone: many
//! entries that parse on one machine would measure its processors.
//!
//! Promise checked: after each edit, every entry gets its revision within a
//! minute, also with a relay lost. Times and bytes are printed only. Bytes
//! are those inside TCP, received and sent at an entry. All entries share
//! the processors of the machine, so times grow with their number also
//! where those of the real size would not.

#[path = "config/fleet.rs"]
mod fleet;

use std::{process::ExitCode, time::Duration};

use bench::{BenchError, Options, Table};
use error_stack::Report;
use pomeloslip_bench as bench;
use tokio::time::Instant;

use self::fleet::{Fleet, Sample};

/// Entries of each run.
const SIZES: [usize; 3] = [10, 40, 100];
const SIZES_SMALL: [usize; 2] = [10, 40];

/// Customers of the runs, and of the entry that is alone.
const CUSTOMERS: usize = 20;
const CUSTOMERS_TARGET: usize = 1_400;

/// Edits before and after a relay is stopped.
const EDITS: usize = 10;
const EDITS_SMALL: usize = 4;

/// Pause between two edits.
const EDIT_PAUSE: Duration = Duration::from_millis(300);

/// Time at rest over which bytes are counted.
const REST: Duration = Duration::from_secs(6);
const REST_SMALL: Duration = Duration::from_secs(2);

/// Entries and failure domains of the target, its edits, and the rates of
/// its key-value service.
const TARGET_ENTRIES: f64 = 340.0;
const TARGET_DOMAINS: f64 = 18.0;
const TARGET_EDITS_PER_S: f64 = 7_000.0 / 86_400.0;

/// Drops what the entries log: printing it would cost more than they do.
struct Silent;

impl log::Log for Silent {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        false
    }

    fn log(&self, _: &log::Record<'_>) {}

    fn flush(&self) {}
}

fn main() -> ExitCode {
    // Fails only if there is a logger already.
    let _ = log::set_logger(&Silent);
    bench::run(measure)
}

/// What one size came to.
struct Run {
    entries: f64,
    /// In force after an edit, in ms, lowest first.
    times_ms: Vec<f64>,
    lost_ms: Vec<f64>,
    relays: f64,
    domains: f64,
    rest_bytes_per_s: f64,
    edit_bytes: f64,
    rest_cpu_ms_per_s: f64,
    edit_cpu_ms: f64,
    rest_calls_per_s: f64,
    edit_calls: f64,
    lost_calls: f64,
}

async fn measure(options: Options) -> Result<(), Report<BenchError>> {
    let sizes = match options.small {
        true => &SIZES_SMALL[..],
        false => &SIZES[..],
    };
    let mut runs = Vec::new();
    for size in sizes {
        runs.push(one_size(*size, options).await?);
    }
    let alone = alone(options).await?;
    let tables = [times(&runs), costs(&runs), target(&runs, &alone)];
    Table::print_all("config", options, &tables);
    Ok(())
}

/// What an edit costs one entry with a configuration of the target size.
struct Alone {
    worst_ms: f64,
    edit_cpu_ms: f64,
}

async fn alone(options: Options) -> Result<Alone, Report<BenchError>> {
    let mut fleet = Fleet::start(1, CUSTOMERS_TARGET, options.seed).await?;
    let before = fleet.sample().await?;
    let times_ms = edit(&mut fleet, EDITS_SMALL).await?;
    let after = fleet.sample().await?;
    tokio::spawn(fleet.stop());
    let cpu_ms = after.cpu_ms.saturating_sub(before.cpu_ms);
    Ok(Alone {
        worst_ms: times_ms.into_iter().fold(0.0, f64::max),
        edit_cpu_ms: cpu_ms as f64 / EDITS_SMALL as f64,
    })
}

async fn one_size(
    size: usize,
    options: Options,
) -> Result<Run, Report<BenchError>> {
    let (edits, rest) = match options.small {
        true => (EDITS_SMALL, REST_SMALL),
        false => (EDITS, REST),
    };
    let mut fleet = Fleet::start(size, CUSTOMERS, options.seed).await?;
    let relays = fleet.settled().await?;
    let before = fleet.sample().await?;
    tokio::time::sleep(rest).await;
    let rested = fleet.sample().await?;
    let mut times_ms = edit(&mut fleet, edits).await?;
    let edited = fleet.sample().await?;
    fleet.stop_relay().await?;
    let mut lost_ms = edit(&mut fleet, edits).await?;
    let lost = fleet.sample().await?;
    times_ms.sort_unstable_by(f64::total_cmp);
    lost_ms.sort_unstable_by(f64::total_cmp);
    let entries = size as f64;
    let domains = fleet.domains() as f64;
    // It ends while the next one learns.
    tokio::spawn(fleet.stop());
    let at_rest = Rates::between(&before, &rested);
    let moving = Rates::between(&rested, &edited);
    // What an edit adds to what goes on at rest.
    let per_edit = |moving: f64, at_rest: f64| {
        (moving - at_rest) * edited.seconds_since(&rested) / edits as f64
    };
    Ok(Run {
        entries,
        times_ms,
        lost_ms,
        relays: relays as f64,
        domains,
        rest_bytes_per_s: at_rest.bytes / entries,
        edit_bytes: per_edit(moving.bytes, at_rest.bytes) / entries,
        rest_cpu_ms_per_s: at_rest.cpu_ms / entries,
        edit_cpu_ms: per_edit(moving.cpu_ms, at_rest.cpu_ms) / entries,
        rest_calls_per_s: at_rest.calls,
        edit_calls: per_edit(moving.calls, at_rest.calls),
        lost_calls: lost.calls as f64 - edited.calls as f64,
    })
}

/// Edits in turn and returns after how many ms each entry had each.
async fn edit(
    fleet: &mut Fleet,
    edits: usize,
) -> Result<Vec<f64>, Report<BenchError>> {
    let mut all = Vec::new();
    for _ in 0..edits {
        let sent = Instant::now();
        let revision = fleet.edit().await?;
        all.extend(fleet.in_force(revision, sent).await?);
        tokio::time::sleep(EDIT_PAUSE).await;
    }
    Ok(all)
}

/// Sums over all entries, for each second.
struct Rates {
    bytes: f64,
    cpu_ms: f64,
    calls: f64,
}

impl Rates {
    fn between(from: &Sample, to: &Sample) -> Self {
        let per_s = |before: u64, after: u64| {
            after.saturating_sub(before) as f64 / to.seconds_since(from)
        };
        Self {
            bytes: per_s(from.bytes, to.bytes),
            cpu_ms: per_s(from.cpu_ms, to.cpu_ms),
            calls: per_s(from.calls, to.calls),
        }
    }
}

fn share(sorted: &[f64], share: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let at = (share * last as f64).round() as usize;
    sorted.get(at).copied().unwrap_or_default()
}

fn times(runs: &[Run]) -> Table {
    let title = "from sending an edit until it is in force, ms";
    let columns = [
        "entries",
        "p50",
        "p99",
        "worst",
        "lost_relay_p50",
        "lost_relay_p99",
        "lost_relay_worst",
    ];
    let mut table = Table::new(title, &columns);
    for run in runs {
        let of = |times: &[f64]| {
            [0.5, 0.99, 1.0].map(|at| format!("{:.0}", share(times, at)))
        };
        let cells = [of(&run.times_ms), of(&run.lost_ms)].concat();
        table.row([vec![run.entries.to_string()], cells].concat());
    }
    table
}

fn costs(runs: &[Run]) -> Table {
    let title = "cost for one entry, and calls at the key-value service";
    let columns = [
        "entries",
        "domains",
        "watches",
        "rest_B/s",
        "edit_B",
        "rest_cpu_ms/s",
        "edit_cpu_ms",
        "rest_calls/s",
        "calls/edit",
        "lost_relay_calls",
    ];
    let mut table = Table::new(title, &columns);
    for run in runs {
        table.row([
            run.entries.to_string(),
            run.domains.to_string(),
            run.relays.to_string(),
            format!("{:.0}", run.rest_bytes_per_s),
            format!("{:.0}", run.edit_bytes),
            format!("{:.2}", run.rest_cpu_ms_per_s),
            format!("{:.1}", run.edit_cpu_ms),
            format!("{:.2}", run.rest_calls_per_s),
            format!("{:.2}", run.edit_calls),
            format!("{:.0}", run.lost_calls),
        ]);
    }
    table
}

/// Extends lines through the runs to the target size. The ways of an edit
/// grow with the logarithm of the entries, so times are drawn over that and
/// costs over the entries. Two sizes, as with `--small`, give a rough line:
/// noise of one of them is multiplied. What an edit of 1,400 customers takes
/// alone is added to the times.
fn target(runs: &[Run], alone: &Alone) -> Table {
    let at = |of: &dyn Fn(&Run) -> f64| {
        let points = runs.iter().map(|run| (run.entries, of(run)));
        line_at(&points.collect::<Vec<_>>(), TARGET_ENTRIES)
    };
    let time = |of: &dyn Fn(&Run) -> f64| {
        let points = runs.iter().map(|run| (run.entries.ln(), of(run)));
        line_at(&points.collect::<Vec<_>>(), TARGET_ENTRIES.ln())
            + alone.worst_ms
    };
    let worst = time(&|run| share(&run.times_ms, 1.0));
    let lost = time(&|run| share(&run.lost_ms, 1.0));
    let rest = at(&|run| run.rest_bytes_per_s);
    let bytes = rest + at(&|run| run.edit_bytes) * TARGET_EDITS_PER_S;
    let cpu = at(&|run| run.rest_cpu_ms_per_s)
        + (at(&|run| run.edit_cpu_ms) + alone.edit_cpu_ms)
            * TARGET_EDITS_PER_S;
    // Relays go with failure domains and not with entries.
    let per_domain = |run: &Run| run.relays / run.domains;
    let watches = runs.last().map_or(0.0, per_domain) * TARGET_DOMAINS;
    let calls = |run: &Run| {
        let all = run.rest_calls_per_s + run.edit_calls * TARGET_EDITS_PER_S;
        all / run.domains * TARGET_DOMAINS
    };
    let calls = runs.iter().map(calls).fold(0.0, f64::max);
    let title = "extended to 340 entries, 7,000 edits a day";
    let columns = ["figure", "value", "goal"];
    let mut table = Table::new(title, &columns);
    let rows = [
        ("edit_alone_of_1400_tenants_ms", alone.worst_ms, "-"),
        ("worst_ms", worst, "5000"),
        ("lost_relay_worst_ms", lost, "5000"),
        ("bytes_per_s_of_an_entry", bytes, "20000"),
        ("percent_of_a_core_of_an_entry", cpu / 10.0, "1"),
        ("watches_open", watches, "-"),
        ("service_calls_per_s", calls, "200"),
        ("service_writes_per_s", TARGET_EDITS_PER_S, "30"),
    ];
    for (name, value, goal) in rows {
        table.row([name.to_owned(), format!("{value:.2}"), goal.to_owned()]);
    }
    table
}

/// Returns the value at `x` of the straight line with the least squares.
fn line_at(points: &[(f64, f64)], x: f64) -> f64 {
    let count = points.len().max(1) as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| {
        points.iter().map(of).sum::<f64>() / count
    };
    let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
    let both = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y));
    let square = points.iter().map(|p| (p.0 - mean_x).powi(2));
    let slope = both.sum::<f64>() / square.sum::<f64>().max(f64::EPSILON);
    mean_y + slope * (x - mean_x)
}
