//! What the ledger costs the key-value service.
//!
//! One owner in virtual time without engines and without sockets: partitions
//! and jobs grow, calls and bytes are counted, the processor time in the
//! ledger is taken. Promises checked: every item is committed once, no value
//! reaches 1 MB, and at the target rate the commits stay within 100 calls a
//! second.

#[path = "ledger/sim.rs"]
mod sim;

use std::process::ExitCode;

use pomeloslip_bench::{Options, Table};

use self::sim::{Load, Seen};

/// Items a second at the target size: 450 million a day.
const TARGET_ITEMS_PER_S: f64 = 450e6 / 86_400.0;

/// Partitions at the target size.
const TARGET_PARTITIONS: u32 = 64;

/// Items of a job at the target size: 450 million a day in 33,000 jobs.
const TARGET_JOB_ITEMS: u32 = 13_636;

/// Calls a second that the ledger may use for commits.
const COMMITS_PER_S_MAX: f64 = 100.0;

/// Largest value that the service takes.
const VALUE_MAX_BYTES: usize = 1_000_000;

/// Time between two commits of a partition at the target size.
const COMMIT_INTERVAL_MS: u64 = 1_000;

fn base(seed: u64) -> Load {
    Load {
        partitions: 8,
        jobs: 2,
        items: TARGET_JOB_ITEMS,
        items_per_s: TARGET_ITEMS_PER_S / f64::from(TARGET_PARTITIONS),
        commit_interval_ms: COMMIT_INTERVAL_MS,
        seed,
    }
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words = words.iter().map(String::as_str);
    let options = match Options::parse(words) {
        Ok(options) => options,
        Err(report) => {
            println!("{report:?}");
            return ExitCode::FAILURE;
        }
    };
    let mut held = true;
    let tables = [
        by_items(options, &mut held),
        by_partitions(options, &mut held),
        by_interval(options, &mut held),
        target(options, &mut held),
    ];
    Table::print_all("ledger", options, &tables);
    if held {
        return ExitCode::SUCCESS;
    }
    println!("FAILED: a promise did not hold");
    ExitCode::FAILURE
}

const COLUMNS: [&str; 9] = [
    "items",
    "commits",
    "items_per_commit",
    "commits_per_1000",
    "other_calls_per_1000",
    "kb_per_1000",
    "kb_per_commit",
    "value_max_kb",
    "items_per_cpu_s",
];

fn cells(seen: &Seen) -> [String; 9] {
    let thousands = seen.items as f64 / 1_000.0;
    let per_1000 = |count: f64| format!("{:.2}", count / thousands);
    let kb = seen.written_bytes as f64 / 1_000.0;
    let commits = seen.commits as f64;
    let rate = seen.items as f64 / seen.busy.as_secs_f64();
    [
        seen.items.to_string(),
        seen.commits.to_string(),
        format!("{:.1}", seen.items as f64 / commits),
        per_1000(commits),
        per_1000(seen.other_calls as f64),
        per_1000(kb),
        format!("{:.2}", kb / commits),
        format!("{:.1}", seen.value_max_bytes as f64 / 1_000.0),
        format!("{rate:.0}"),
    ]
}

fn check(seen: &Seen, held: &mut bool) {
    *held &= seen.whole && seen.value_max_bytes < VALUE_MAX_BYTES;
}

fn table(title: &str, first: &str) -> Table {
    let mut columns = vec![first];
    columns.extend(COLUMNS);
    Table::new(title, &columns)
}

fn row(table: &mut Table, first: impl ToString, seen: &Seen) {
    let mut row = vec![first.to_string()];
    row.extend(cells(seen));
    table.row(row);
}

fn by_items(options: Options, held: &mut bool) -> Table {
    let mut table =
        table("growth with the items of a job, 8 partitions", "job_items");
    let sizes: &[u32] = match options.small {
        true => &[1_000, 13_636],
        false => &[1_000, 5_000, 13_636, 27_000, 54_000],
    };
    for items in sizes {
        let load = Load {
            items: *items,
            ..base(options.seed)
        };
        let seen = sim::run(load);
        check(&seen, held);
        row(&mut table, items, &seen);
    }
    table
}

fn by_partitions(options: Options, held: &mut bool) -> Table {
    let mut table =
        table("growth with partitions at 81 items/s in each", "partitions");
    let counts: &[u32] = match options.small {
        true => &[1, 8, 64],
        false => &[1, 2, 4, 8, 16, 32, 64],
    };
    for partitions in counts {
        let load = Load {
            partitions: *partitions,
            items: if options.small {
                2_000
            } else {
                TARGET_JOB_ITEMS
            },
            ..base(options.seed)
        };
        let seen = sim::run(load);
        check(&seen, held);
        row(&mut table, partitions, &seen);
    }
    table
}

fn by_interval(options: Options, held: &mut bool) -> Table {
    let mut table =
        table("commit interval, 8 partitions at 81 items/s", "interval_ms");
    for commit_interval_ms in [250, 500, 1_000, 2_000] {
        let load = Load {
            commit_interval_ms,
            items: if options.small {
                2_000
            } else {
                TARGET_JOB_ITEMS
            },
            ..base(options.seed)
        };
        let seen = sim::run(load);
        check(&seen, held);
        row(&mut table, commit_interval_ms, &seen);
    }
    table
}

/// Takes the slopes of one partition's steady state to the target size.
fn target(options: Options, held: &mut bool) -> Table {
    let run = |partitions| {
        sim::run(Load {
            partitions,
            ..base(options.seed)
        })
    };
    let (few, many) = (run(2), run(16));
    check(&few, held);
    check(&many, held);
    let per_s = |seen: &Seen, count: u64| {
        count as f64 * 1_000.0 / seen.virtual_ms as f64
    };
    // Commits and bytes that each further partition adds.
    let slope = |count: fn(&Seen) -> u64| {
        let few = per_s(&few, count(&few));
        let many = per_s(&many, count(&many));
        (many - few) / 14.0
    };
    let partitions = f64::from(TARGET_PARTITIONS);
    let commits = slope(|seen| seen.commits) * partitions;
    let others = slope(|seen| seen.other_calls) * partitions;
    let bytes = slope(|seen| seen.written_bytes) * partitions;
    let items = slope(|seen| seen.items) * partitions;
    *held &= commits <= COMMITS_PER_S_MAX;
    let title = "needed at the target, from the slope of 2 to 16 partitions";
    let mut table = Table::new(title, &["figure", "value"]);
    let mut line = |name: &str, value: f64| {
        table.row([name.to_owned(), format!("{value:.1}")]);
    };
    line("items_per_s", items);
    line("commits_per_s", commits);
    line("commit_kb_per_s", bytes / 1_000.0);
    line("other_calls_per_s", others);
    line("results_waiting_max", many.waiting_max as f64);
    table
}
