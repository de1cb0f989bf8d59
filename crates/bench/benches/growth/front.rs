use std::hint::black_box;

use base::{Millis, mix};
use fleet::{EndpointQuery, EndpointState, ListingUpdate, Selection};
use indexmap::IndexSet;

use crate::{
    Figure,
    installation::{
        Installation, SERVICE, assign, endpoint_record, list_endpoints,
        time_us,
    },
};

/// Choices for each round, as one takes less than a microsecond.
const CHOICES: usize = 10_000;

/// Changes of entries for each round.
const CHANGES: usize = 200;

pub(crate) fn measure(
    installation: &Installation,
    rounds: usize,
) -> Vec<Figure> {
    let front = installation.fronts.nodes()[0].node.as_str();
    let selection = installation.selection(front);
    let assignment = &installation.by_front;
    vec![
        (
            "candidates of a choice",
            candidates(installation, &selection),
        ),
        ("a choice, ns", choice_ns(installation, &selection, rounds)),
        ("endpoints it uses", selection.iter().count() as f64),
        ("workers it reports to", workers(installation, &selection)),
        ("a changed entry, us", entry_us(installation, rounds)),
        (
            "a new table of endpoints, us",
            time_us(rounds, |_| {
                black_box(installation.directory.table());
            }),
        ),
        (
            "a new selection, us",
            time_us(rounds, |_| {
                black_box(installation.selection(front));
            }),
        ),
        (
            "a new assignment, us",
            time_us(rounds, |_| {
                black_box(assign(&installation.fronts, &installation.table));
            }),
        ),
        ("its steps", assignment.steps() as f64),
    ]
}

fn query(affinity: u64) -> EndpointQuery<'static> {
    EndpointQuery {
        service: SERVICE,
        failure_domain: "zone-0",
        affinity,
        tried: &[],
        under_way: &[],
        queue_allowance: 0,
        binding: None,
    }
}

fn candidates(installation: &Installation, selection: &Selection) -> f64 {
    let query = query(installation.seed);
    let chosen = installation.table.choose(selection, &query, Millis::new(0));
    chosen.map_or(0.0, |choice| choice.candidates as f64)
}

fn choice_ns(
    installation: &Installation,
    selection: &Selection,
    rounds: usize,
) -> f64 {
    time_us(rounds * CHOICES, |round| {
        let query = query(mix(installation.seed ^ round as u64));
        let now = Millis::new(round as u64);
        let chosen = installation.table.choose(selection, &query, now);
        let _ = black_box(chosen);
    }) * 1e3
}

/// Counts the workers that know the other fronts' load at the endpoints.
fn workers(installation: &Installation, selection: &Selection) -> f64 {
    let workers = selection.iter().filter_map(|incarnation| {
        let worker = installation.by_worker.user_of(incarnation)?;
        Some(worker.node.as_str())
    });
    workers.collect::<IndexSet<&str>>().len() as f64
}

/// Returns the time to apply an entry that differs from the known one.
fn entry_us(installation: &Installation, rounds: usize) -> f64 {
    let count = installation.table.len();
    let mut directory = list_endpoints(count, installation.seed);
    let total = time_us(rounds, |round| {
        for number in 0..CHANGES {
            let mut record = endpoint_record(number, installation.seed);
            if round % 2 == 0 {
                record.state = EndpointState::Draining;
            }
            let update = ListingUpdate {
                revision: 2 + round as u64,
                records: vec![record],
                removed: Vec::new(),
            };
            let now = Millis::new(round as u64);
            black_box(directory.apply_update(update, now));
        }
    });
    total / CHANGES as f64
}
