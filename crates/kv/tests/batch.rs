//! Batching of the transactions of several writers.

use std::sync::Arc;

use futures::future::join_all;
use pomeloslip_kv::{
    Compare, Kv, KvError, Memory, Op, Txn, WriteFault,
    batch::{BatchLimits, GroupCommit},
    mvcc::Limits,
};
use tokio::time::Instant;
use yare::parameterized;

/// Wait limit of the writers in these tests.
const MAX_WAIT_MS: u64 = 50;

fn put(key: &str, before: u64) -> Txn {
    Txn {
        compares: vec![Compare::ModRevision {
            key: key.to_owned(),
            equals: before,
        }],
        success: vec![Op::Put {
            key: key.to_owned(),
            value: key.as_bytes().to_vec(),
            lease: None,
        }],
        failure: vec![],
    }
}

fn group(kv: &Memory) -> GroupCommit {
    GroupCommit::start(Arc::new(kv.clone()), BatchLimits::default())
}

/// Guards against a number of calls that grows with the number of writers. The
/// load is that of a fleet in which each worker makes one small write per
/// second.
#[parameterized(
    few = { 8, 1 },
    many = { 64, 4 },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn concurrent_writers_share_calls(writers: usize, calls: u64) {
    let kv = Memory::default();
    let group = group(&kv);
    let writes = (0..writers).map(|number| {
        let group = group.clone();
        async move {
            let txn = put(&format!("k{number}"), 0);
            group.commit(txn, MAX_WAIT_MS).await
        }
    });
    for result in join_all(writes).await {
        assert!(result.expect("written").succeeded);
    }
    assert_eq!(kv.counts().writes, calls);
}

/// Guards against writers that fail because of a conflict of another writer in
/// the same call.
#[tokio::test(start_paused = true)]
async fn a_writer_with_a_conflict_fails_alone() {
    let kv = Memory::default();
    kv.txn(put("taken", 0)).await.expect("written");
    let group = group(&kv);
    let (conflicting, free) = tokio::join!(
        group.commit(put("taken", 0), MAX_WAIT_MS),
        group.commit(put("free", 0), MAX_WAIT_MS),
    );
    assert!(!conflicting.expect("answered").succeeded);
    assert!(free.expect("answered").succeeded);
}

/// Guards against a write that is reported as failed, or as applied, although
/// its outcome is unknown.
#[parameterized(
    lost_before = { WriteFault::RequestLost, KvError::Unknown },
    lost_after = { WriteFault::ResponseLost, KvError::Unknown },
    refused = { WriteFault::Refused, KvError::NotDone },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn the_outcome_of_a_call_applies_to_all_its_writers(
    fault: WriteFault,
    error: KvError,
) {
    let kv = Memory::default();
    let group = group(&kv);
    kv.script_write_faults([fault]);
    let (first, second) = tokio::join!(
        group.commit(put("a", 0), MAX_WAIT_MS),
        group.commit(put("b", 0), MAX_WAIT_MS),
    );
    for result in [first, second] {
        let report = result.expect_err("not known to be written");
        assert_eq!(*report.current_context(), error);
    }
}

/// Guards against two writes to one key in one call, which the key-value
/// service rejects.
#[tokio::test(start_paused = true)]
async fn writes_to_one_key_do_not_share_a_call() {
    let kv = Memory::default();
    let group = group(&kv);
    let (first, second) = tokio::join!(
        group.commit(put("a", 0), MAX_WAIT_MS),
        group.commit(put("a", 0), MAX_WAIT_MS),
    );
    let done = [first, second].map(|one| one.expect("answered").succeeded);
    assert_eq!(done.iter().filter(|done| **done).count(), 1);
}

/// Guards against a writer that waits longer than its wait limit.
#[tokio::test(start_paused = true)]
async fn the_shortest_wait_limit_decides_when_a_call_is_sent() {
    let kv = Memory::default();
    let group = group(&kv);
    let started = Instant::now();
    let (relaxed, urgent) = tokio::join!(
        group.commit(put("a", 0), 10_000),
        group.commit(put("b", 0), MAX_WAIT_MS),
    );
    assert_eq!(
        relaxed.expect("written").revision,
        urgent.expect("written").revision
    );
    let waited_ms = started.elapsed().as_millis() as u64;
    assert!(waited_ms < 2 * MAX_WAIT_MS, "{waited_ms} ms");
}

/// Guards against a writer with an expired lease that fails others.
#[tokio::test(start_paused = true)]
async fn a_write_with_a_lease_does_not_share_a_call() {
    let kv = Memory::default();
    let group = group(&kv);
    let lost = Txn {
        success: vec![Op::Put {
            key: "a".to_owned(),
            value: vec![],
            lease: Some(pomeloslip_kv::LeaseId(77)),
        }],
        ..Txn::default()
    };
    let (lost, other) = tokio::join!(
        group.commit(lost, MAX_WAIT_MS),
        group.commit(put("b", 0), MAX_WAIT_MS),
    );
    let report = lost.expect_err("no such lease");
    assert_eq!(*report.current_context(), KvError::LeaseGone);
    assert!(other.expect("written").succeeded);
}

/// Guards against writers that fail because the key-value service rejects the
/// value of another writer in the same call.
#[tokio::test(start_paused = true)]
async fn a_writer_with_a_rejected_value_fails_alone() {
    let kv = Memory::with_limits(Limits {
        value_max_bytes: 8,
        ..Limits::default()
    });
    let group = group(&kv);
    let (large, small) = tokio::join!(
        group.commit(put("longer-than-eight-bytes", 0), MAX_WAIT_MS),
        group.commit(put("small", 0), MAX_WAIT_MS),
    );
    let report = large.expect_err("rejected");
    assert_eq!(*report.current_context(), KvError::Invalid);
    assert!(small.expect("written").succeeded);
}
