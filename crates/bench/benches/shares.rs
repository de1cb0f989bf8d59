//! The time of one decision on fair shares, with 10, 1,000 and 10,000
//! customers that use slots.
//!
//! The front has the histograms of eight servers. A decision must cost the
//! same for any number of customers, as must the counting of a request and the
//! handling of a report.

use std::{hint::black_box, process::ExitCode, sync::Arc, time::Instant};

use base::{Customer, Millis, mix, stable_hash};
use bench::{BenchError, Options, Table};
use error_stack::Report;
use pomeloslip_bench as bench;
use share::{
    FrontShares, Rank, SHARD_COUNT, ServiceSlots, TermsTable, UseServer,
    WaitingOrder,
};

const CUSTOMERS: [usize; 3] = [10, 1_000, 10_000];

const SERVICE: &str = "llm";

/// Number of requests that wait at the front.
const WAITING: u64 = 1_000;

fn main() -> ExitCode {
    bench::run(measure)
}

fn shard_of(customer: &Customer) -> usize {
    (mix(stable_hash(&[customer.as_str()])) % SHARD_COUNT as u64) as usize
}

async fn measure(options: Options) -> Result<(), Report<BenchError>> {
    let rounds = if options.small { 20_000 } else { 400_000 };
    let mut table = Table::new(
        "Time in ns by number of customers that use slots",
        &[
            "customers",
            "decision, own counts",
            "decision, counts of all fronts",
            "begin and end of a request",
            "join and leave the order",
            "all reports of a front",
            "one report at a server",
        ],
    );
    for count in CUSTOMERS {
        table.row(row(count, rounds));
    }
    Table::print_all("shares", options, &[table]);
    Ok(())
}

fn row(count: usize, rounds: u32) -> [String; 7] {
    let now = Millis::new(0);
    let terms = Arc::new(TermsTable::default());
    let mut front = FrontShares::new("front-1", 1, shard_of, terms.clone());
    let customers: Vec<Customer> = (0..count)
        .filter_map(|n| format!("customer-{n}").parse().ok())
        .collect();
    for (n, customer) in customers.iter().enumerate() {
        for _ in 0..=n % 7 {
            front.begin(SERVICE, customer);
        }
    }
    let slots = ServiceSlots {
        all: count as u64 * 2,
        own: count as u64 * 2,
    };
    let mut at = 0;
    let mut next = || {
        at = (at + 7) % customers.len();
        &customers[at]
    };
    let decide = |front: &FrontShares, customer: &Customer| {
        front.state(SERVICE, customer, slots, now).is_over()
    };
    let own = time(rounds, || decide(&front, black_box(next())));
    let counted = time(rounds, || {
        if let Some(key) = front.begin(SERVICE, black_box(next())) {
            front.end(key);
        }
    });
    let mut servers: Vec<UseServer> = (0..SHARD_COUNT)
        .map(|n| UseServer::new(&format!("worker-{n}"), terms.clone()))
        .collect();
    let assigned = || std::array::from_fn(|n| Some(format!("worker-{n}")));
    let reports = time(rounds / 20, || front.reports(assigned()));
    let mut last = None;
    for (n, (to, report)) in front.reports(assigned()).iter().enumerate() {
        if let Some(answer) = servers[n].handle(report, now) {
            front.receive(to, &answer, now);
        }
        last = Some(report.clone());
    }
    let all = time(rounds, || decide(&front, black_box(next())));
    let handled = last.map_or(0.0, |mut report| {
        time(rounds / 20, || {
            report.sequence += 1;
            servers[SHARD_COUNT - 1].handle(&report, now)
        })
    });
    [own, all, counted, order_ns(rounds), reports, handled]
        .into_iter()
        .fold(vec![count.to_string()], |mut cells, ns| {
            cells.push(format!("{ns:.0}"));
            cells
        })
        .try_into()
        .unwrap_or_default()
}

/// Returns the time of a request that joins and leaves the order.
fn order_ns(rounds: u32) -> f64 {
    let mut order = WaitingOrder::default();
    let rank = |n: u64| Rank::new((n % 8) as u32, Millis::new(mix(n)));
    for n in 0..WAITING {
        order.join(SERVICE, rank(n));
    }
    let mut n = WAITING;
    time(rounds, || {
        n += 1;
        let waiter = order.join(SERVICE, rank(n));
        order.leave(SERVICE, waiter)
    })
}

/// Returns the mean time of a call, in ns.
fn time<T>(rounds: u32, mut call: impl FnMut() -> T) -> f64 {
    let began = Instant::now();
    for _ in 0..rounds {
        black_box(call());
    }
    began.elapsed().as_nanos() as f64 / f64::from(rounds)
}
