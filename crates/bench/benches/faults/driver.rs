//! Injects faults, drawn from the seed.

use std::{collections::BTreeMap, time::Duration};

use faultproxy::{Counts, Direction, Fault, Handle, Rule, Scope};
use pomeloslip_bench::Table;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::{
    sync::watch,
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::world::World;

/// Pauses without a fault, in milliseconds.
const QUIET_MS: std::ops::Range<u64> = 500..3_000;

/// Lengths of faults, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 100..800;

/// One thing that goes wrong.
struct Case {
    name: &'static str,
    rules: fn(&mut StdRng) -> Vec<Rule>,
}

const CASES: [Case; 10] = [
    Case {
        name: "open connections silent",
        rules: |_| vec![Rule::new(Fault::Silence).scope(Scope::Open)],
    },
    Case {
        name: "half-open, answers lost",
        rules: |_| silent(Direction::ToClient),
    },
    Case {
        name: "half-open, requests lost",
        rules: |_| silent(Direction::ToTarget),
    },
    Case {
        name: "new connections silent",
        rules: |_| {
            vec![Rule::new(Fault::Silence).scope(Scope::New).chance(0.5)]
        },
    },
    Case {
        name: "silent in an answer",
        rules: |random| in_answer(Fault::Silence, random),
    },
    Case {
        name: "reset in an answer",
        rules: |random| in_answer(Fault::Cut, random),
    },
    Case {
        name: "closed in an answer",
        rules: |random| in_answer(Fault::Close, random),
    },
    Case {
        name: "all reset",
        rules: |_| vec![Rule::new(Fault::Cut)],
    },
    Case {
        name: "delay",
        rules: |random| {
            let ms = random.random_range(5..120);
            vec![Rule::new(Fault::Delay { ms })]
        },
    },
    Case {
        name: "little bandwidth",
        rules: |random| {
            let bytes_per_s = random.random_range(8_000..64_000);
            vec![Rule::new(Fault::Bandwidth { bytes_per_s })]
        },
    },
];

fn silent(direction: Direction) -> Vec<Rule> {
    let rule = Rule::new(Fault::Silence).scope(Scope::Open);
    vec![rule.direction(direction)]
}

fn in_answer(fault: Fault, random: &mut StdRng) -> Vec<Rule> {
    let rule = Rule::new(fault)
        .direction(Direction::ToClient)
        .after_bytes(random.random_range(20..2_000))
        .chance(0.7);
    vec![rule]
}

/// Injects faults until it is stopped.
pub(crate) struct Driver {
    stop: watch::Sender<bool>,
    proxies: JoinSet<Injected>,
}

/// What one proxy met.
struct Injected {
    counts: Counts,
    cases: BTreeMap<&'static str, u64>,
}

/// Starts to inject faults at all proxies of a world.
pub(crate) fn start(world: &World, seed: u64) -> Driver {
    let (stop, stopped) = watch::channel(false);
    let mut proxies = JoinSet::new();
    for (at, handle) in world.proxies().into_iter().enumerate() {
        let seed = seed.wrapping_mul(1_000).wrapping_add(at as u64);
        proxies.spawn(inject(handle, seed, stopped.clone()));
    }
    Driver { stop, proxies }
}

impl Driver {
    /// Stops and tells what was injected.
    pub(crate) async fn stop(self) -> Table {
        self.stop.send_replace(true);
        let mut cases: BTreeMap<&str, u64> = BTreeMap::new();
        let mut counts = Counts::default();
        for injected in self.proxies.join_all().await {
            for (name, times) in injected.cases {
                *cases.entry(name).or_default() += times;
            }
            counts.accepted += injected.counts.accepted;
            counts.cut += injected.counts.cut;
            counts.silenced += injected.counts.silenced;
            counts.lost_bytes += injected.counts.lost_bytes;
        }
        let mut table = Table::new("Faults", &["what", "times"]);
        let mut row = |name: &str, times: u64| {
            table.row([name.to_owned(), times.to_string()]);
        };
        for (name, times) in cases {
            row(name, times);
        }
        row("= connections", counts.accepted);
        row("= connections reset", counts.cut);
        row("= directions silenced", counts.silenced);
        row("= bytes lost", counts.lost_bytes);
        table
    }
}

async fn inject(
    handle: Handle,
    seed: u64,
    mut stopped: watch::Receiver<bool>,
) -> Injected {
    let mut random = StdRng::seed_from_u64(seed);
    let mut cases = BTreeMap::new();
    loop {
        let quiet = Duration::from_millis(random.random_range(QUIET_MS));
        let stop = stopped.wait_for(|stopped| *stopped);
        if timeout(quiet, stop).await.is_ok() {
            break;
        }
        let case = &CASES[random.random_range(0..CASES.len())];
        handle.set((case.rules)(&mut random));
        *cases.entry(case.name).or_default() += 1;
        let length = random.random_range(FAULT_MS);
        sleep(Duration::from_millis(length)).await;
        handle.clear();
    }
    Injected {
        counts: handle.counts(),
        cases,
    }
}
