//! Planned stops under load.
//!
//! Callers behind a balancer chat, call a plain service and upload files
//! while one process of each role is stopped as planned: an engine's
//! companion, a service's companion, a data VM and an entry. Some callers
//! read slowly. The entries' list of endpoints never changes, as if it lagged
//! for good: only the companion itself tells that it leaves.
//!
//! Promises checked: no call and no upload is cut or lost; a leaving endpoint
//! gets no new work from three seconds on; each stop ends by itself before
//! its limit. Times depend on the machine and are printed only.

#[path = "stop/callers.rs"]
mod callers;
#[path = "stop/leaving.rs"]
mod leaving;
#[path = "stop/world.rs"]
mod world;

use std::process::ExitCode;

use error_stack::Report;
use pomeloslip_bench::{BenchError, Options, Table, run};
use tokio::time::{Duration, Instant, sleep};

use self::{
    callers::{Callers, Counters},
    leaving::{Leaving, Seen},
    world::{Role, World},
};

/// Load before each stop and after the last.
const STEADY: Duration = Duration::from_secs(6);
const STEADY_SMALL: Duration = Duration::from_secs(4);

/// Rounds of stops.
const ROUNDS: usize = 3;
const ROUNDS_SMALL: usize = 1;

fn main() -> ExitCode {
    run(measure)
}

/// How one stop went.
struct Stop {
    role: Role,
    took_s: f64,
    whole: u64,
    /// What the endpoint saw that left with it, if any did.
    seen: Option<Seen>,
}

async fn measure(options: Options) -> Result<(), Report<BenchError>> {
    let (rounds, steady) = match options.small {
        true => (ROUNDS_SMALL, STEADY_SMALL),
        false => (ROUNDS, STEADY),
    };
    let mut counters = Counters::default();
    let mut stops = Vec::new();
    for round in 0..rounds {
        let mut world = World::start().await?;
        let callers = Callers::start(&world, options.seed + round as u64)?;
        for role in Role::ALL {
            sleep(steady).await;
            stops.push(stop(&mut world, role, &callers).await?);
        }
        sleep(steady).await;
        counters.add(callers.stop().await);
        world.stop().await;
    }
    let tables = [stops_table(&stops), counters.table()];
    Table::print_all("stop", options, &tables);
    counters.check()?;
    check(&stops)
}

async fn stop(
    world: &mut World,
    role: Role,
    callers: &Callers,
) -> Result<Stop, Report<BenchError>> {
    let whole = callers.whole();
    let leaving = world.endpoint(role).map(Leaving::watch);
    let start = Instant::now();
    world.stop_one(role, callers).await?;
    let took_s = start.elapsed().as_secs_f64();
    let seen = match leaving {
        Some(leaving) => Some(leaving.end().await),
        None => None,
    };
    Ok(Stop {
        role,
        took_s,
        whole: callers.whole() - whole,
        seen,
    })
}

fn stops_table(stops: &[Stop]) -> Table {
    let columns = [
        "stopped",
        "seconds",
        "whole meanwhile",
        "running at first",
        "new work after",
        "after 3 s",
        "cut at endpoint",
    ];
    let mut table = Table::new("Planned stops", &columns);
    for stop in stops {
        table.row([
            stop.role.name().to_owned(),
            format!("{:.2}", stop.took_s),
            stop.whole.to_string(),
            shown(stop, |seen| seen.running),
            shown(stop, |seen| seen.after),
            shown(stop, |seen| seen.late),
            shown(stop, |seen| seen.cut),
        ]);
    }
    table
}

fn shown(stop: &Stop, count: impl Fn(&Seen) -> u64) -> String {
    let count = stop.seen.as_ref().map(count);
    count.map_or_else(|| "-".to_owned(), |count| count.to_string())
}

fn check(stops: &[Stop]) -> Result<(), Report<BenchError>> {
    for stop in stops {
        let seen = stop.seen.unwrap_or_default();
        if seen.cut > 0 {
            let why = format!("{} cut {} calls", stop.role.name(), seen.cut);
            return Err(Report::new(BenchError::Promise).attach(why));
        }
        if seen.late > 0 {
            let why = "a leaving endpoint got new work after 3 s";
            return Err(Report::new(BenchError::Promise).attach(why));
        }
        if stop.took_s >= world::DRAIN_LIMIT_S {
            let why = format!("{} did not end by itself", stop.role.name());
            return Err(Report::new(BenchError::Promise).attach(why));
        }
    }
    Ok(())
}
