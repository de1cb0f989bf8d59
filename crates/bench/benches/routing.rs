//! Policies of the router before small fake endpoints on a stepped clock.
//!
//! All but the cost of a choice is the same on every machine for a seed.
//! Promise checked: with the defaults of the router, no request fails while
//! other endpoints can serve it, and a brown-out is not amplified.

#[path = "routing/fake.rs"]
mod fake;
#[path = "routing/sim.rs"]
mod sim;

use std::{process::ExitCode, time::Instant};

use base::Millis;
use error_stack::Report;
use pomeloslip_bench::{BenchError, Options, Table, run};
use router::{
    Affinity, Ejection, HealthPolicy, ListedEndpoint, Policy, Probing, Query,
    Router, RouterOptions,
};

use self::{
    fake::Fault,
    sim::{Scenario, Seen, Sim},
};

/// Seconds of a run and of a small one.
const SECONDS: u64 = 60;
const SECONDS_SMALL: u64 = 15;

const COLUMNS: [&str; 11] = [
    "scenario",
    "choice",
    "requests",
    "p50_ms",
    "p99_ms",
    "p99.9_ms",
    "failed_%",
    "retried_%",
    "refused_%",
    "hits_%",
    "probes_per_req",
];

fn main() -> ExitCode {
    run(async |options| measure(options))
}

fn measure(options: Options) -> Result<(), Report<BenchError>> {
    let seconds = if options.small {
        SECONDS_SMALL
    } else {
        SECONDS
    };
    let bench = Bench {
        seconds,
        seed: options.seed,
    };
    let tables = [
        bench.policies(),
        bench.domains(),
        bench.reports(),
        bench.subsets(),
        bench.bounds(),
        bench.health(),
        bench.brown_out(),
        bench.hedging(),
        costs(options.small),
    ];
    Table::print_all("routing", options, &tables);
    bench.promises()
}

struct Bench {
    seconds: u64,
    seed: u64,
}

fn plain() -> RouterOptions {
    RouterOptions::default().affinity(None)
}

fn down(from_ms: u64, until_ms: u64) -> Fault {
    Fault::Down { from_ms, until_ms }
}

fn breaks(share: f64) -> Fault {
    Fault::Breaks {
        share,
        from_ms: 0,
        until_ms: u64::MAX,
    }
}

fn policies() -> Vec<(&'static str, RouterOptions)> {
    let least = Policy::Probing(Probing::default());
    let latency = Policy::Probing(Probing {
        hot_quantile: 0.75,
        ..Probing::default()
    });
    let affinity = RouterOptions::default();
    vec![
        ("random", plain().policy(Policy::Random)),
        ("round robin", plain().policy(Policy::RoundRobin)),
        ("least of two", plain().policy(Policy::PowerOfTwoChoices)),
        ("probing, latency", plain().policy(latency)),
        ("probing, load", plain().policy(least)),
        ("affinity, two", affinity.policy(Policy::PowerOfTwoChoices)),
        ("affinity, load", affinity.policy(least)),
    ]
}

fn loads() -> Vec<Scenario> {
    let entries = |scenario, entries| Scenario {
        entries,
        ..scenario
    };
    let slowest = |scenario, slowest| Scenario {
        slowest,
        ..scenario
    };
    let lag = |scenario, lag_ms| Scenario { lag_ms, ..scenario };
    vec![
        Scenario::new("2 endpoints", 2),
        Scenario::new("20 endpoints", 20),
        slowest(Scenario::new("20, slowest 3x", 20), 3.0),
        lag(
            entries(Scenario::new("20, 4 entries, lag 1 s", 20), 4),
            1_000,
        ),
        slowest(
            entries(Scenario::new("40, 68 entries, slowest 2x", 40), 68),
            2.0,
        ),
        entries(Scenario::new("200, 20 entries", 200), 20),
    ]
}

fn failing() -> Vec<Scenario> {
    let faulty = |name, faults| Scenario {
        faults,
        load: 0.6,
        ..Scenario::new(name, 20)
    };
    let blip = |from_ms| Fault::Breaks {
        share: 1.0,
        from_ms,
        until_ms: from_ms + 100,
    };
    vec![
        faulty("2 of 20 break half", vec![breaks(0.5); 2]),
        faulty("2 of 20 break all", vec![breaks(1.0); 2]),
        faulty("1 of 20 silent", vec![Fault::Silent { share: 1.0 }]),
        faulty("2 of 20 down 5-10 s", vec![down(5_000, 10_000); 2]),
        faulty("all break 2%", vec![breaks(0.02); 20]),
        faulty(
            "12 of 20 break for 0.1 s",
            (0..12).map(|at| blip(2_000 + 100 * at)).collect(),
        ),
    ]
}

impl Bench {
    fn run(&self, scenario: &Scenario, options: RouterOptions) -> Seen {
        let scenario = Scenario {
            seconds: self.seconds,
            ..scenario.clone()
        };
        Sim::new(&scenario, options, self.seed).run()
    }

    fn row(
        &self,
        table: &mut Table,
        scenario: &Scenario,
        choice: &str,
        options: RouterOptions,
    ) {
        let seen = self.run(scenario, options);
        let share = |part: u64, whole: u64| {
            format!("{:.2}", 100.0 * part as f64 / whole.max(1) as f64)
        };
        let ms = |quantile| seen.quantile_ms(quantile).to_string();
        let probes = seen.probes as f64 / seen.requests.max(1) as f64;
        table.row([
            scenario.name.to_owned(),
            choice.to_owned(),
            seen.requests.to_string(),
            ms(0.5),
            ms(0.99),
            ms(0.999),
            share(seen.failed, seen.requests),
            share(seen.retries + seen.hedges, seen.requests),
            share(seen.refusals, seen.requests),
            share(seen.hits, seen.started),
            format!("{probes:.2}"),
        ]);
    }

    fn policies(&self) -> Table {
        let title = "Policies: first token by load and views";
        let mut table = Table::new(title, &COLUMNS);
        for scenario in loads() {
            for (name, options) in policies() {
                self.row(&mut table, &scenario, name, options);
            }
        }
        table
    }

    fn domains(&self) -> Table {
        let title = "Own failure domain first: requests that another \
                     must have less";
        let mut table = Table::new(title, &COLUMNS);
        let entries = |name, endpoints, entries| Scenario {
            entries,
            ..Scenario::new(name, endpoints)
        };
        let scenarios = [
            entries("20, 1 entry", 20, 1),
            entries("20, 3 entries", 20, 3),
            entries("40, 68 entries", 40, 68),
        ];
        for scenario in scenarios {
            for far_penalty in [0, 1, 2, 4] {
                let name = format!("{far_penalty} less");
                let options = plain().other_domain_penalty(far_penalty);
                self.row(&mut table, &scenario, &name, options);
            }
        }
        table
    }

    fn reports(&self) -> Table {
        let title = "Reports: how long they count";
        let mut table = Table::new(title, &COLUMNS);
        let lag = |name, lag_ms| Scenario {
            entries: 4,
            lag_ms,
            ..Scenario::new(name, 20)
        };
        let scenarios = [
            lag("20, 4 entries", 0),
            lag("20, 4 entries, lag 0.1 s", 100),
            lag("20, 4 entries, lag 1 s", 1_000),
            Scenario {
                entries: 68,
                ..Scenario::new("40, 68 entries", 40)
            },
        ];
        for scenario in scenarios {
            for report_max_age_ms in [0, 500, 2_000, 10_000] {
                let name = format!("{report_max_age_ms} ms");
                let options = RouterOptions {
                    report_max_age_ms,
                    ..plain()
                };
                self.row(&mut table, &scenario, &name, options);
            }
        }
        table
    }

    fn subsets(&self) -> Table {
        let title = "Subsets";
        let mut table = Table::new(title, &COLUMNS);
        let entries = |name, endpoints, entries| Scenario {
            entries,
            ..Scenario::new(name, endpoints)
        };
        let cases = [
            (entries("40, 68 entries", 40, 68), [4, 8, 16, 40]),
            (entries("200, 20 entries", 200, 20), [16, 32, 64, 200]),
        ];
        for (scenario, sizes) in cases {
            for subset in sizes {
                let name = format!("subset {subset}");
                let options = plain().subset(subset);
                self.row(&mut table, &scenario, &name, options);
            }
        }
        table
    }

    fn bounds(&self) -> Table {
        let title = "Prefix affinity: cache hits against the load bound";
        let mut table = Table::new(title, &COLUMNS);
        let one = Scenario {
            prefixes: 4_000,
            ..Scenario::new("20, 4,000 prefixes", 20)
        };
        let four = Scenario {
            name: "20, 4 entries, 4,000 prefixes",
            entries: 4,
            ..one.clone()
        };
        let many = Scenario {
            entries: 68,
            prefixes: 8_000,
            ..Scenario::new("40, 68 entries, 8,000 prefixes", 40)
        };
        for scenario in [one, four, many] {
            self.row(&mut table, &scenario, "off", plain());
            for bound in [1.0, 1.1, 1.25, 1.5, 2.0, 100.0] {
                let affinity = Some(Affinity { bound });
                let name = format!("bound {bound}");
                let options = plain().affinity(affinity);
                self.row(&mut table, &scenario, &name, options);
            }
        }
        table
    }

    fn health(&self) -> Table {
        let title = "Health: ejection against a health value";
        let mut table = Table::new(title, &COLUMNS);
        let ejection = HealthPolicy::Ejection(Ejection::default());
        let value = |sensitivity| HealthPolicy::Score { sensitivity };
        let kinds = [
            ("off", HealthPolicy::Off),
            ("ejection", ejection),
            ("value, 1", value(1)),
            ("value, 10", value(10)),
            ("value, 100", value(100)),
        ];
        for scenario in failing() {
            for (name, health) in kinds {
                let options = plain().health(health);
                self.row(&mut table, &scenario, name, options);
            }
        }
        table
    }

    fn brown_out(&self) -> Table {
        let title = "Retry budget: overload and a brown-out";
        let mut table = Table::new(title, &COLUMNS);
        let value = HealthPolicy::Score { sensitivity: 1 };
        for scenario in [brown_out(), overload()] {
            for budget in [false, true] {
                let name = if budget { "budget" } else { "no budget" };
                let scenario = Scenario {
                    budget,
                    ..scenario.clone()
                };
                self.row(&mut table, &scenario, name, plain());
            }
            let options = plain().health(value);
            self.row(&mut table, &scenario, "budget, value 1", options);
        }
        table
    }

    fn hedging(&self) -> Table {
        let title = "Hedging: a second attempt after a wait";
        let mut table = Table::new(title, &COLUMNS);
        let silent = vec![Fault::Silent { share: 0.01 }; 20];
        let scenarios = [
            Scenario::new("20 endpoints", 20),
            Scenario {
                slowest: 3.0,
                ..Scenario::new("20, slowest 3x", 20)
            },
            Scenario {
                faults: silent,
                ..Scenario::new("20, 1% silent", 20)
            },
        ];
        for scenario in scenarios {
            for hedge_ms in [0, 300, 600, 1_000] {
                let scenario = Scenario {
                    hedge_ms,
                    ..scenario.clone()
                };
                let name = format!("after {hedge_ms} ms");
                self.row(&mut table, &scenario, &name, plain());
            }
        }
        table
    }

    fn promises(&self) -> Result<(), Report<BenchError>> {
        let default = RouterOptions::default();
        let fail =
            |why: String| Err(Report::new(BenchError::Promise).attach(why));
        for scenario in failing() {
            if scenario.faults.len() > 2 {
                continue;
            }
            let seen = self.run(&scenario, default);
            if seen.failed * 1_000 > seen.requests {
                let why = format!(
                    "{}: {} of {} failed",
                    scenario.name, seen.failed, seen.requests
                );
                return fail(why);
            }
        }
        let seen = self.run(&brown_out(), default);
        if seen.retries * 4 > seen.requests {
            return fail(format!("{} retries in a brown-out", seen.retries));
        }
        Ok(())
    }
}

fn brown_out() -> Scenario {
    let fault = Fault::Breaks {
        share: 0.8,
        from_ms: 4_000,
        until_ms: 9_000,
    };
    Scenario {
        faults: vec![fault; 20],
        ..Scenario::new("20 break 80% for 5 s", 20)
    }
}

fn overload() -> Scenario {
    Scenario {
        load: 1.3,
        timeout_ms: 1_500,
        ..Scenario::new("20 at 130%, 1.5 s limit", 20)
    }
}

/// Measures what one choice costs, with its events.
fn costs(small: bool) -> Table {
    let title = "Cost of a choice with its events on this machine";
    let mut table = Table::new(title, &["endpoints known", "ns"]);
    let count: u64 = if small { 20_000 } else { 200_000 };
    for known in [2, 16, 64, 200] {
        let ns = cost_ns(known, count);
        table.row([known.to_string(), ns.to_string()]);
    }
    table
}

fn cost_ns(known: usize, count: u64) -> u128 {
    let options = RouterOptions::default().subset(known);
    let mut router = Router::new("entry", options);
    let pool = router.pool("pool");
    let listed: Vec<ListedEndpoint> = (0..known)
        .map(|at| {
            let name = format!("endpoint-{at}").parse();
            let name = name.unwrap_or_else(|_| unreachable!());
            ListedEndpoint::new(name, at % 4 == 0, &format!("10.0.0.1:{at}"))
        })
        .collect();
    router.list(pool, &listed);
    let start = Instant::now();
    for number in 0..count {
        let now = Millis::new(number / 10);
        let query = Query::default().prefix(Some(number));
        if let Some(choice) = router.choose(pool, &query, now, number) {
            router.sent(choice.endpoint, now);
            router.answered(choice.endpoint, Some(100), now);
            router.ended(choice.endpoint);
        }
    }
    start.elapsed().as_nanos() / u128::from(count)
}
