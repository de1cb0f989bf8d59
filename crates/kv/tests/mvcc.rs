//! The state machine: transactions, revisions, leases and the change log.

#![allow(clippy::unwrap_used)]

use base::Millis;
use pomeloslip_kv::{
    LeaseId,
    mvcc::{
        Condition, KeyRange, Limits, Operand, Put, Relation, Step, Store,
        StoreError, Transaction,
    },
};
use yare::parameterized;

fn put(key: &str, value: &str) -> Step {
    Step::Put(Put::new(key, value))
}

fn commit(store: &mut Store, steps: impl IntoIterator<Item = Step>) -> u64 {
    store.commit(&Transaction::of(steps)).unwrap().revision
}

fn values(store: &Store, prefix: &str, revision: u64) -> Vec<String> {
    let found = store.range(&KeyRange::prefix(prefix), 0, revision).unwrap();
    let text = |value: &[u8]| String::from_utf8(value.to_vec()).unwrap();
    found.records.iter().map(|r| text(&r.value)).collect()
}

#[parameterized(
    version = { "a", Operand::Version(2), true },
    create = { "a", Operand::CreateRevision(2), true },
    modified = { "a", Operand::ModRevision(3), true },
    value = { "a", Operand::Value(b"2".to_vec()), true },
    lease = { "a", Operand::Lease(0), true },
    stale = { "a", Operand::ModRevision(2), false },
    missing_revision = { "b", Operand::ModRevision(0), true },
    missing_value = { "b", Operand::Value(vec![]), false },
)]
fn a_condition_decides_the_branch(key: &str, operand: Operand, holds: bool) {
    let mut store = Store::default();
    commit(&mut store, [put("a", "1")]);
    commit(&mut store, [put("a", "2")]);
    let outcome = store
        .commit(&Transaction {
            conditions: vec![Condition {
                key: key.into(),
                relation: Relation::Equal,
                operand,
            }],
            success: vec![put("out", "yes")],
            failure: vec![put("out", "no")],
        })
        .unwrap();
    assert_eq!(outcome.succeeded, holds);
    assert_eq!(values(&store, "out", 0), [if holds { "yes" } else { "no" }]);
}

#[test]
fn the_steps_of_a_transaction_share_one_revision() {
    let mut store = Store::default();
    assert_eq!(commit(&mut store, [put("a", "1"), put("b", "2")]), 2);
    let delete = |key: &str| Step::Delete(KeyRange::one(key));
    assert_eq!(commit(&mut store, [delete("a"), put("c", "3")]), 3);
    assert_eq!(commit(&mut store, [delete("a")]), 3, "nothing changed");
    assert_eq!(values(&store, "", 0), ["2", "3"]);
    assert_eq!(values(&store, "", 2), ["1", "2"], "the past stays readable");
    let changes = store.changes(&KeyRange::prefix(""), 3).unwrap();
    assert!(changes.iter().all(|change| change.revision == 3));
}

#[parameterized(
    empty_key = { vec![put("", "1")], StoreError::EmptyKey },
    too_large = { vec![put("a", "12345")], StoreError::TooLarge },
    twice = { vec![put("a", "1"), put("a", "2")], StoreError::DuplicateKey },
    too_many = {
        vec![put("a", ""), put("b", ""), put("c", "")],
        StoreError::TooManyOps
    },
    no_lease = {
        vec![
            put("a", "1"),
            Step::Put(Put::new("b", "").with_lease(LeaseId(9))),
        ],
        StoreError::LeaseNotFound
    },
)]
fn a_rejected_transaction_has_no_effect(steps: Vec<Step>, why: StoreError) {
    let mut store = Store::new(Limits {
        value_max_bytes: 4,
        txn_max_ops: 2,
        ..Limits::default()
    });
    let rejected = store.commit(&Transaction::of(steps));
    assert_eq!(rejected.unwrap_err(), why);
    assert_eq!(store.revision(), 1);
    assert!(values(&store, "", 0).is_empty());
}

#[test]
fn a_lease_deletes_only_the_keys_that_still_have_it() {
    let mut store = Store::default();
    let lease = store.grant(Millis::new(0), None, 5).unwrap();
    for key in ["kept", "gone"] {
        let put = Put::new(key, key).with_lease(lease);
        commit(&mut store, [Step::Put(put)]);
    }
    // A later write without the lease detaches the key from it.
    commit(&mut store, [put("kept", "kept")]);
    store.keep_alive(Millis::new(4_000), lease).unwrap();
    assert!(store.expire(Millis::new(8_999)).is_empty());
    assert_eq!(store.next_expiry(), Some(Millis::new(9_000)));
    assert_eq!(store.expire(Millis::new(9_000)), [lease]);
    assert_eq!(values(&store, "", 0), ["kept"]);
    let late = store.keep_alive(Millis::new(9_000), lease);
    assert_eq!(late.unwrap_err(), StoreError::LeaseNotFound);
}

#[test]
fn compacted_changes_cannot_be_read() {
    let mut store = Store::default();
    for value in ["1", "2", "3"] {
        commit(&mut store, [put("a", value)]);
    }
    store.compact(3).unwrap();
    let all = KeyRange::prefix("");
    assert_eq!(store.changes(&all, 3), Err(StoreError::Compacted));
    assert_eq!(store.changes(&all, 4).unwrap().len(), 1);
    assert_eq!(store.range(&all, 0, 2), Err(StoreError::Compacted));
    assert_eq!(store.range(&all, 0, 9), Err(StoreError::FutureRevision));
    assert_eq!(values(&store, "", 3), ["2"]);
}

#[test]
fn the_log_stays_within_its_limits() {
    let mut store = Store::new(Limits {
        history_max_changes: 3,
        history_max_bytes: 20,
        ..Limits::default()
    });
    for _ in 0..5 {
        commit(&mut store, [put("a", "1")]);
    }
    assert_eq!(store.compacted_revision(), 3);
    commit(&mut store, [put("a", "0123456789abcdefghi")]);
    assert_eq!(store.compacted_revision(), 5);
}

#[parameterized(
    inside = { "a/", "a/1", true },
    next = { "a/", "a0", false },
    itself = { "a/", "a/", true },
    all = { "", "z", true },
)]
fn a_prefix_selects(prefix: &str, key: &str, selected: bool) {
    let range = KeyRange::prefix(prefix);
    assert_eq!(range.contains(key.as_bytes()), selected);
}
