//! Tests of the time to live of node entries and of the reuse of a previous
//! process's entry.

use jobs::{NODE_PREFIX, NodeRecord};
use kv::{KeyValue, LeaseId};
use yare::parameterized;

use super::{LeaseTerms, MAX_LEASE_S, PreviousEntry};

/// Guards against renewals that grow with the fleet. Load: idle fleets.
#[parameterized(
    fronts = { false, 50 },
    workers = { true, 40 },
)]
fn the_total_renewal_rate_does_not_grow_with_the_fleet(
    runs_items: bool,
    nodes_at_min: usize,
) {
    let terms = LeaseTerms::new(runs_items, 1_000);
    let renewals_per_s =
        |count: usize| count as f64 * 3.0 / f64::from(terms.lease_s(count));
    let few = renewals_per_s(nodes_at_min);
    for times in [2, 5, 7, 20] {
        let many = renewals_per_s(times * nodes_at_min);
        assert!(many <= few * 1.2, "{times} times as many: {many} of {few}");
    }
}

#[test]
fn small_fleets_use_the_shortest_granted_lease() {
    let terms = LeaseTerms::new(true, 1_000);
    assert_eq!(terms.lease_s(0), 3);
    assert_eq!(terms.lease_s(40), 3);
    assert_eq!(LeaseTerms::new(true, 7_500).lease_s(3), 8);
    assert_eq!(terms.lease_s(1_000_000), MAX_LEASE_S);
}

/// Guards against an entry that expires between two renewals because its lease
/// was assumed to be longer, and against one that is renewed far too often.
#[test]
fn a_mismatched_time_to_live_is_detected() {
    let terms = LeaseTerms::new(false, 1_000);
    assert!(terms.is_mismatched(15, 5));
    assert!(terms.is_mismatched(3, 275));
    assert!(!terms.is_mismatched(15, 275));
    assert!(!terms.is_mismatched(3, 60));
}

fn record() -> NodeRecord {
    NodeRecord {
        node: "front-1".to_owned(),
        failure_domain: "east".to_owned(),
        runs_items: false,
        address: Some(([127, 0, 0, 1], 7).into()),
        limits: None,
        origins: None,
        lease_s: 0,
        spool: Default::default(),
    }
}

fn entry(record: &NodeRecord) -> KeyValue {
    KeyValue {
        key: format!("{NODE_PREFIX}{}", record.node),
        value: serde_json::to_vec(record).expect("json"),
        create_revision: 3,
        mod_revision: 3,
        lease: Some(LeaseId(77)),
    }
}

/// Guards against two calls of each node when all restart at once.
#[test]
fn the_lease_of_the_previous_process_is_found() {
    let written = NodeRecord {
        lease_s: 16,
        spool: Default::default(),
        ..record()
    };
    let other = NodeRecord {
        node: "front-2".to_owned(),
        ..written.clone()
    };
    let entries = [entry(&other), entry(&written)];
    let found = PreviousEntry::find(&entries, "front-1");
    let entry = found.matching(&record()).expect("the same content");
    assert_eq!((entry.lease.id(), entry.lease_s), (LeaseId(77), 16));
    assert_eq!(entry.revision, 3);
    let none = PreviousEntry::find(&entries, "front-3");
    assert_eq!(none.matching(&record()), None);
}

/// Guards against a node that others query at its former address.
#[test]
fn a_different_entry_is_not_taken_over() {
    let moved = NodeRecord {
        address: Some(([127, 0, 0, 1], 8).into()),
        lease_s: 16,
        spool: Default::default(),
        ..record()
    };
    let entries = [entry(&moved)];
    let found = PreviousEntry::find(&entries, "front-1");
    assert_eq!(found.matching(&record()), None);
    let unknown = [entry(&record())];
    let found = PreviousEntry::find(&unknown, "front-1");
    assert_eq!(found.matching(&record()), None, "unknown time to live");
}
