//! What entry and companion add to a request: time, processor time, memory.
//!
//! The same load goes straight at the engines and through the system, in
//! turns on the same processes, so that both meet the same machine. A first
//! pair of turns warms up and is not counted. Promise checked: every answer
//! is right. Times and memory depend on the machine and are printed only.

use std::process::ExitCode;

use bench::{
    BenchError, CUSTOMER_KEY, Fleet, FleetOptions, Options, Process, Table,
    Usage,
};
use error_stack::{Report, ResultExt};
use load::{Arrivals, LoadReport, Plan, Quantiles};
use pomeloslip_bench as bench;

const MODEL: &str = "korv-lm";

/// Tokens of each answer.
const TOKENS: u32 = 16;

/// What [`Turn::times`] returns.
const TIMES: [&str; 4] = [
    "first token p50",
    "first token p99",
    "whole answer p50",
    "whole answer p99",
];

/// Goal for the memory of an entry and a companion.
const RSS_GOAL_MIB: f64 = 64.0;

fn main() -> ExitCode {
    bench::run(measure)
}

/// A load that is measured.
struct Case {
    name: &'static str,
    instant: bool,
    arrivals: Arrivals,
}

const CASES: [Case; 3] = [
    Case {
        name: "usual engines, 200 streams",
        instant: false,
        arrivals: Arrivals::Streams(200),
    },
    Case {
        name: "instant engines, 300 a second",
        instant: true,
        arrivals: Arrivals::PerSecond(300.0),
    },
    Case {
        name: "instant engines, 200 streams",
        instant: true,
        arrivals: Arrivals::Streams(200),
    },
];

async fn measure(options: Options) -> Result<(), Report<BenchError>> {
    let mut time = Table::new(
        "Answer times in ms, straight at the engines and through the system \
         (medians of the turns)",
        &["load", "time", "straight", "system", "added"],
    );
    let mut cpu = Table::new(
        "Processor time in ms for each request through the system",
        &[
            "load",
            "entries",
            "companions",
            "engines",
            "requests",
            "requests/s",
            "fullest engine",
        ],
    );
    let mut memory = Table::new(
        "Memory in MiB, the largest of each role",
        &["role", "load", "at rest", "after", "most", "goal"],
    );
    for instant in [false, true] {
        let fleet = Fleet::start(fleet_options(instant)).await?;
        let rest = memory_of(&fleet)?;
        let cases = CASES.iter().filter(|case| case.instant == instant);
        for case in cases {
            let measured = turns(case, &fleet, options).await?;
            for row in measured.time_rows(case) {
                time.row(row);
            }
            cpu.row(measured.cpu_row(case));
        }
        let after = memory_of(&fleet)?;
        let load = if instant { "instant" } else { "usual" };
        for (rest, after) in rest.iter().zip(&after) {
            memory.row(memory_row(load, rest, after));
        }
    }
    Table::print_all("path", options, &[time, cpu, memory]);
    Ok(())
}

fn fleet_options(instant: bool) -> FleetOptions {
    // The places fit all streams, so that nothing waits at the gate: the
    // path is measured here and not the queue.
    let options = FleetOptions::default().adjust(|settings| {
        if let Some(endpoint) = &mut settings.endpoint {
            endpoint.max_running = 1_024;
        }
    });
    match instant {
        true => options.instant_engines(),
        false => options.engine_setting("max_running=1024"),
    }
}

/// What a turn saw.
struct Turn {
    reports: Vec<LoadReport>,
}

impl Turn {
    fn answers(&self) -> u64 {
        self.reports.iter().map(|report| report.online.right).sum()
    }

    /// Returns a quantile over all targets: their mean, weighted.
    fn quantile(&self, pick: impl Fn(&LoadReport) -> (Quantiles, f64)) -> f64 {
        let picked = || self.reports.iter().map(&pick);
        let count: u64 = picked().map(|(all, _)| all.count).sum();
        let sum: f64 = picked().map(|(all, ms)| all.count as f64 * ms).sum();
        sum / (count as f64).max(1.0)
    }

    /// Returns p50 and p99 of the first token and of the whole answer.
    fn times(&self) -> [f64; 4] {
        let first = |report: &LoadReport| report.online.first_token;
        let whole = |report: &LoadReport| report.online.whole_answer;
        [
            self.quantile(|r| (first(r), first(r).p50_ms)),
            self.quantile(|r| (first(r), first(r).p99_ms)),
            self.quantile(|r| (whole(r), whole(r).p50_ms)),
            self.quantile(|r| (whole(r), whole(r).p99_ms)),
        ]
    }

    fn check(&self) -> Result<(), Report<BenchError>> {
        for report in &self.reports {
            let online = &report.online;
            if online.right != online.sent || online.sent == 0 {
                return Err(Report::new(BenchError::Promise)
                    .attach(format!("not all answers are right\n{report}")));
            }
        }
        Ok(())
    }
}

/// What the turns of a case saw together.
struct Measured {
    direct: Vec<[f64; 4]>,
    system: Vec<[f64; 4]>,
    answers: u64,
    seconds: f64,
    entries_ms: u64,
    companions_ms: u64,
    engines_ms: u64,
    /// Largest share of the calls that one engine got.
    fullest_share: f64,
}

async fn turns(
    case: &Case,
    fleet: &Fleet,
    options: Options,
) -> Result<Measured, Report<BenchError>> {
    let (pairs, duration_ms) = match options.small {
        true => (3, 1_000),
        false => (7, 4_000),
    };
    let plan = Plan::new("http://unused", MODEL)
        .key(CUSTOMER_KEY)
        .max_tokens(TOKENS)
        .duration_ms(duration_ms);
    let mut measured = Measured {
        direct: Vec::new(),
        system: Vec::new(),
        answers: 0,
        seconds: 0.0,
        entries_ms: 0,
        companions_ms: 0,
        engines_ms: 0,
        fullest_share: 0.0,
    };
    for pair in 0..=pairs {
        let plan = plan.clone().seed(options.seed + 100 * pair);
        let direct = turn(&plan, case.arrivals, &fleet.engines).await?;
        let calls_before = calls_of(fleet).await?;
        let before = cpu_of(fleet)?;
        let system = turn(&plan, case.arrivals, &fleet.entries).await?;
        let after = cpu_of(fleet)?;
        direct.check()?;
        system.check()?;
        if pair == 0 {
            continue;
        }
        measured.direct.push(direct.times());
        measured.system.push(system.times());
        measured.answers += system.answers();
        measured.seconds += duration_ms as f64 / 1_000.0;
        let calls = calls_of(fleet).await?;
        let share = fullest_share(&calls_before, &calls);
        measured.fullest_share = measured.fullest_share.max(share);
        let [entries, companions, engines] = after;
        measured.entries_ms += (entries - before[0]).cpu_ms;
        measured.companions_ms += (companions - before[1]).cpu_ms;
        measured.engines_ms += (engines - before[2]).cpu_ms;
    }
    Ok(measured)
}

/// Sends the load to all targets at once, each its share.
async fn turn(
    plan: &Plan,
    arrivals: Arrivals,
    targets: &[Process],
) -> Result<Turn, Report<BenchError>> {
    let count = targets.len() as u32;
    let mut runs = tokio::task::JoinSet::new();
    for (at, target) in targets.iter().enumerate() {
        let share = match arrivals {
            Arrivals::Streams(all) => {
                let more = u32::from((at as u32) < all % count);
                Arrivals::Streams(all / count + more)
            }
            Arrivals::PerSecond(rate) => {
                Arrivals::PerSecond(rate / f64::from(count))
            }
            Arrivals::None => Arrivals::None,
        };
        let plan = plan.clone().target(&target.url()).arrivals(share);
        runs.spawn(async move { load::run(&plan, |_| {}).await });
    }
    let mut reports = Vec::new();
    while let Some(ended) = runs.join_next().await {
        let report = ended.change_context(BenchError::Call)?;
        reports.push(report.change_context(BenchError::Call)?);
    }
    Ok(Turn { reports })
}

fn cpu_of(fleet: &Fleet) -> Result<[Usage; 3], Report<BenchError>> {
    Ok([
        Fleet::usage(&fleet.entries)?,
        Fleet::usage(&fleet.companions)?,
        Fleet::usage(&fleet.engines)?,
    ])
}

/// Returns the calls of each engine so far.
async fn calls_of(fleet: &Fleet) -> Result<Vec<u64>, Report<BenchError>> {
    let mut all = Vec::new();
    for engine in &fleet.engines {
        let url = format!("{}/counters", engine.url());
        let counters = bench::get_json(&url).await?;
        all.push(counters["calls"].as_u64().unwrap_or(0));
    }
    Ok(all)
}

fn fullest_share(before: &[u64], after: &[u64]) -> f64 {
    let calls = || after.iter().zip(before).map(|(a, b)| a - b);
    let sum = calls().sum::<u64>().max(1);
    calls().max().unwrap_or(0) as f64 / sum as f64
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

impl Measured {
    fn time_rows(&self, case: &Case) -> Vec<[String; 5]> {
        let row = |(at, name): (usize, &&str)| {
            let all = |turns: &[[f64; 4]]| {
                turns.iter().map(|turn| turn[at]).collect::<Vec<_>>()
            };
            let (direct, system) = (all(&self.direct), all(&self.system));
            let added = direct.iter().zip(&system).map(|(d, s)| s - d);
            let added = median(added.collect());
            let ms = |value: f64| format!("{value:.2}");
            [
                case.name.to_owned(),
                name.to_string(),
                ms(median(direct)),
                ms(median(system)),
                ms(added),
            ]
        };
        TIMES.iter().enumerate().map(row).collect()
    }

    fn cpu_row(&self, case: &Case) -> Vec<String> {
        let each = |ms: u64| {
            format!("{:.3}", ms as f64 / (self.answers as f64).max(1.0))
        };
        vec![
            case.name.to_owned(),
            each(self.entries_ms),
            each(self.companions_ms),
            each(self.engines_ms),
            self.answers.to_string(),
            format!("{:.0}", self.answers as f64 / self.seconds),
            format!("{:.0} %", 100.0 * self.fullest_share),
        ]
    }
}

/// The memory of a role's largest process.
struct Memory {
    role: &'static str,
    usage: Usage,
}

fn memory_of(fleet: &Fleet) -> Result<Vec<Memory>, Report<BenchError>> {
    let roles = [
        ("entry", &fleet.entries),
        ("companion", &fleet.companions),
        ("data", &fleet.data),
    ];
    let largest = |(role, processes): (&'static str, &Vec<Process>)| {
        let usages: Result<Vec<_>, _> =
            processes.iter().map(Process::usage).collect();
        let usage = usages?.into_iter().max_by_key(|usage| usage.rss_bytes);
        let usage = usage.unwrap_or_default();
        Ok(Memory { role, usage })
    };
    roles.into_iter().map(largest).collect()
}

fn memory_row(load: &str, rest: &Memory, after: &Memory) -> Vec<String> {
    let most = after.usage.rss_max_bytes as f64 / f64::from(1 << 20);
    let goal = if most <= RSS_GOAL_MIB {
        "met"
    } else {
        "missed"
    };
    vec![
        rest.role.to_owned(),
        load.to_owned(),
        format!("{:.1}", rest.usage.rss_mib()),
        format!("{:.1}", after.usage.rss_mib()),
        format!("{most:.1}"),
        goal.to_owned(),
    ]
}
