//! A program that routes its own calls with the router, without the daemons.
//!
//! Four replicas respond; one of them breaks, and one announces that it is
//! leaving. The program makes the calls itself (here a function simulates
//! their outcome) and passes the outcomes to the router. Time and random
//! numbers are arguments, so every run prints the same.
//!
//! Run it with `cargo run -p pomeloslip-router --example embed_router`.

use std::collections::BTreeMap;

use base::{EndpointName, Incarnation, Millis};
use pomeloslip_router::{
    EndpointKey, EndpointReport, Failure, ListedEndpoint, PoolKey, Query,
    Refusal, Router, RouterOptions,
};

type Error = Box<dyn std::error::Error>;

const CALLS: u64 = 400;
const CALL_EVERY_MS: u64 = 20;

/// From this call on, the second replica does not respond.
const BROKEN_FROM: u64 = 100;

/// From this call on, the third replica refuses calls because it is leaving.
const LEAVING_FROM: u64 = 200;

/// Outcome of a call.
enum Outcome {
    Answered,
    Refused,
    NoConnection,
}

/// Simulates the outcome of a call at a replica.
fn call(replica: &str, number: u64) -> Outcome {
    match replica {
        "korv-lm-2" if number >= BROKEN_FROM => Outcome::NoConnection,
        "korv-lm-3" if number >= LEAVING_FROM => Outcome::Refused,
        _ => Outcome::Answered,
    }
}

struct Program {
    router: Router,
    pool: PoolKey,
    names: BTreeMap<EndpointKey, EndpointName>,
    answered: BTreeMap<String, u64>,
    /// Attempts at a replica that did not serve them.
    failed_attempts: u64,
}

impl Program {
    fn new(names: &[&str]) -> Result<Self, Error> {
        let mut router = Router::new("program-1", RouterOptions::default());
        let pool = router.pool("korv-lm");
        let listed = names
            .iter()
            .zip(7_001..)
            .map(|(name, port)| {
                let address = format!("127.0.0.1:{port}");
                Ok(ListedEndpoint::new(name.parse()?, true, &address))
            })
            .collect::<Result<Vec<ListedEndpoint>, Error>>()?;
        let added = router.list(pool, &listed).added;
        let named = added.into_iter();
        let names = named.map(|(key, at)| (key, listed[at].name().clone()));
        Ok(Self {
            names: names.collect(),
            router,
            pool,
            answered: BTreeMap::new(),
            failed_attempts: 0,
        })
    }

    /// Serves one request: tries replicas until one responds.
    fn serve(&mut self, number: u64) -> bool {
        let now = Millis::new(number * CALL_EVERY_MS);
        let mut tried = Vec::new();
        loop {
            let query = Query::default().tried(&tried);
            let random = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let choice = self.router.choose(self.pool, &query, now, random);
            let Some(choice) = choice else { return false };
            let key = choice.endpoint;
            tried.push(key);
            if self.attempt(key, number, now) {
                return true;
            }
            self.failed_attempts += 1;
        }
    }

    fn attempt(&mut self, key: EndpointKey, number: u64, now: Millis) -> bool {
        let Some(name) = self.names.get(&key).map(ToString::to_string) else {
            return false;
        };
        self.router.sent(key, now);
        let outcome = call(&name, number);
        match outcome {
            Outcome::Answered => self.router.answered(key, Some(40), now),
            Outcome::Refused => {
                self.router.refused(key, Refusal::Leaving, now);
            }
            Outcome::NoConnection => {
                self.router.failed(key, Failure::Unreachable, now);
            }
        }
        self.router.ended(key);
        let is_answered = matches!(outcome, Outcome::Answered);
        if is_answered {
            *self.answered.entry(name).or_default() += 1;
        }
        is_answered
    }

    /// Probes the endpoints that the router returns. A program with I/O sends
    /// the probes in the background and passes the responses in as they
    /// arrive.
    fn tick(&mut self, number: u64) {
        let now = Millis::new(number * CALL_EVERY_MS);
        for key in self.router.tick(now) {
            let Some(name) = self.names.get(&key).cloned() else {
                continue;
            };
            match call(name.as_str(), number) {
                Outcome::NoConnection => self.router.probe_failed(key),
                outcome => {
                    let report = EndpointReport {
                        up: true,
                        leaving: matches!(outcome, Outcome::Refused),
                        incarnation: Incarnation::new(1),
                        ..EndpointReport::default()
                    };
                    let incarnation = self.router.probed(key, &report, now);
                    self.names.insert(incarnation, name);
                }
            }
        }
    }
}

fn main() -> Result<(), Error> {
    let replicas = ["korv-lm-1", "korv-lm-2", "korv-lm-3", "korv-lm-4"];
    let mut program = Program::new(&replicas)?;
    let mut served = 0;
    for number in 0..CALLS {
        program.tick(number);
        served += u64::from(program.serve(number));
    }
    println!("{served} of {CALLS} calls answered");
    println!(
        "{} attempts met a replica that did not serve",
        program.failed_attempts
    );
    for (name, count) in &program.answered {
        println!("{name}: {count}");
    }
    assert_eq!(served, CALLS);
    // The leaving replica refuses only once; the broken one is retried now and
    // then, only by probes.
    assert!(
        program.failed_attempts < 20,
        "{} misses",
        program.failed_attempts
    );
    Ok(())
}
