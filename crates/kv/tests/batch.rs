//! Transactions of several writers that share calls.

use std::sync::Arc;

use futures::future::join_all;
use pomeloslip_kv::{
    Compare, Kv, KvError, Memory, Op, Txn, WriteFault,
    batch::{BatchLimits, GroupCommit},
};
use tokio::time::Instant;
use yare::parameterized;

/// How long the writers of these tests can wait.
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

/// Guards against calls that grow with the number of writers: load pattern of
/// a fleet in which each worker has one small write every second.
#[parameterized(
    few = { 8, 1 },
    many = { 64, 4 },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn writers_of_a_moment_share_calls(writers: usize, calls: u64) {
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

/// Guards against writers that fail since another one in their call was
/// overtaken.
#[tokio::test(start_paused = true)]
async fn a_writer_that_was_overtaken_fails_alone() {
    let kv = Memory::default();
    kv.txn(put("taken", 0)).await.expect("written");
    let group = group(&kv);
    let (taken, free) = tokio::join!(
        group.commit(put("taken", 0), MAX_WAIT_MS),
        group.commit(put("free", 0), MAX_WAIT_MS),
    );
    assert!(!taken.expect("answered").succeeded);
    assert!(free.expect("answered").succeeded);
}

/// Guards against a write that counts as failed, or as done, though nobody
/// knows.
#[parameterized(
    lost_before = { WriteFault::RequestLost, KvError::Unknown },
    lost_after = { WriteFault::ResponseLost, KvError::Unknown },
    refused = { WriteFault::Refused, KvError::NotDone },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn what_became_of_a_call_holds_for_all_in_it(
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

/// Guards against two writes of one key in one call, which the service
/// refuses.
#[tokio::test(start_paused = true)]
async fn writes_of_one_key_go_one_after_the_other() {
    let kv = Memory::default();
    let group = group(&kv);
    let (first, second) = tokio::join!(
        group.commit(put("a", 0), MAX_WAIT_MS),
        group.commit(put("a", 0), MAX_WAIT_MS),
    );
    let done = [first, second].map(|one| one.expect("answered").succeeded);
    assert_eq!(done.iter().filter(|done| **done).count(), 1);
}

/// Guards against a writer that waits for others longer than it can.
#[tokio::test(start_paused = true)]
async fn the_least_patient_writer_decides_when_a_call_goes_out() {
    let kv = Memory::default();
    let group = group(&kv);
    let began = Instant::now();
    let (patient, urgent) = tokio::join!(
        group.commit(put("a", 0), 10_000),
        group.commit(put("b", 0), MAX_WAIT_MS),
    );
    assert_eq!(
        patient.expect("written").revision,
        urgent.expect("written").revision
    );
    let waited_ms = began.elapsed().as_millis() as u64;
    assert!(waited_ms < 2 * MAX_WAIT_MS, "{waited_ms} ms");
}

/// Guards against writers whose lease is gone, which fail others.
#[tokio::test(start_paused = true)]
async fn what_hangs_on_a_lease_goes_by_itself() {
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
