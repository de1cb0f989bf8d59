//! Tests of the reuse of a previous process's entry.

use jobs::{NODE_PREFIX, NodeRecord};
use kv::{KeyValue, LeaseId};

use super::PreviousEntry;

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
