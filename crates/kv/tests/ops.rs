//! Writes with lost responses, and the backoff between attempts.

use std::{future::pending, sync::Arc};

use base::{Clock, Millis, SystemClock, timer::Timer};
use error_stack::Report;
use pomeloslip_kv::{
    Backoff, Compare, GetReply, Kv, KvError, KvFuture, LeaseId, Memory, Op,
    Txn, TxnReply, Watcher,
    WriteFault::{self, None as NoFault, Refused, RequestLost, ResponseLost},
    ops::{Outcome, ReadBack, Writer},
};
use yare::parameterized;

const KEY: &str = "job/1";

fn guarded(operation: &str) -> Txn {
    Txn {
        compares: vec![Compare::ModRevision {
            key: KEY.into(),
            equals: 0,
        }],
        success: vec![Op::Put {
            key: KEY.into(),
            value: operation.into(),
            lease: None,
        }],
        failure: vec![],
    }
}

fn decide(found: &GetReply) -> ReadBack<()> {
    match found.kvs.first() {
        Some(kv) if kv.value == b"mine" => ReadBack::Applied(()),
        Some(_) => ReadBack::Superseded,
        None => ReadBack::Undecided,
    }
}

async fn write(
    kv: &dyn Kv,
    timeout_ms: u64,
) -> Result<Outcome<()>, Report<KvError>> {
    let timer = Timer::new(Arc::new(SystemClock::new()));
    let driver = tokio::spawn(timer.clone().drive());
    let read = Op::Get { key: KEY.into() };
    let outcome = Writer::new(timer, timeout_ms)
        .commit(kv, guarded("mine"), read, |_| (), decide, || 0)
        .await;
    driver.abort();
    outcome
}

/// Guards against a write that is applied twice, or reported as failed
/// although it was applied. The response is lost before or after the effect,
/// once or more, and a write with an unknown outcome is taken for a failure or
/// retried without a guard.
#[parameterized(
    answered = { vec![NoFault], 1 },
    refused_first = { vec![Refused, NoFault], 2 },
    lost_after = { vec![ResponseLost], 1 },
    lost_before = { vec![RequestLost, NoFault], 2 },
    lost_before_then_after = { vec![RequestLost, Refused, ResponseLost], 3 },
)]
#[test_macro(tokio::test)]
async fn a_write_with_a_lost_response_is_read_back(
    faults: Vec<WriteFault>,
    attempts: u64,
) {
    let kv = Memory::default();
    kv.script_write_faults(faults);
    let outcome = write(&kv, 600_000).await.unwrap();
    assert_eq!(outcome, Outcome::Applied(()));
    assert_eq!(kv.revision(), 2, "one write took effect");
    assert_eq!(kv.counts().writes, attempts);
}

#[tokio::test]
async fn a_rival_supersedes_a_write_that_was_lost() {
    let kv = Memory::default();
    kv.txn(guarded("rival")).await.unwrap();
    kv.script_write_faults([RequestLost]);
    assert_eq!(write(&kv, 600_000).await.unwrap(), Outcome::Superseded);
    assert_eq!(write(&kv, 600_000).await.unwrap(), Outcome::Superseded);
}

#[parameterized(
    never_sent = { vec![Refused, Refused], KvError::NotDone },
    perhaps_done = { vec![RequestLost, Refused], KvError::Unknown },
)]
#[test_macro(tokio::test)]
async fn a_timeout_reports_whether_the_write_may_have_applied(
    faults: Vec<WriteFault>,
    error: KvError,
) {
    let kv = Memory::default();
    kv.script_write_faults(faults);
    let report = write(&kv, 0).await.unwrap_err();
    assert_eq!(*report.current_context(), error);
}

#[tokio::test]
async fn a_refusal_by_the_service_is_final() {
    let kv = Memory::default();
    let lease = kv.lease_grant(1).await.unwrap();
    kv.step_ms(1_000);
    let mut txn = guarded("mine");
    txn.success = vec![Op::Put {
        key: KEY.into(),
        value: b"mine".to_vec(),
        lease: Some(lease),
    }];
    let timer = Timer::new(kv.clock().clone());
    let read = Op::Get { key: KEY.into() };
    let report = Writer::new(timer, 1_000)
        .commit(&kv, txn, read, |_| (), decide, || 0)
        .await
        .unwrap_err();
    assert_eq!(*report.current_context(), KvError::LeaseGone);
}

/// A service that accepts calls and never responds.
struct Unresponsive;

impl Kv for Unresponsive {
    fn get(&self, _: &str) -> KvFuture<'_, GetReply> {
        Box::pin(pending())
    }

    fn get_prefix(&self, _: &str, _: u32) -> KvFuture<'_, GetReply> {
        Box::pin(pending())
    }

    fn txn(&self, _: Txn) -> KvFuture<'_, TxnReply> {
        Box::pin(pending())
    }

    fn lease_grant(&self, _: u32) -> KvFuture<'_, LeaseId> {
        Box::pin(pending())
    }

    fn lease_keep_alive(&self, _: LeaseId) -> KvFuture<'_, ()> {
        Box::pin(pending())
    }

    fn lease_revoke(&self, _: LeaseId) -> KvFuture<'_, ()> {
        Box::pin(pending())
    }

    fn watch(&self, _: &str, _: u64) -> KvFuture<'_, Box<dyn Watcher>> {
        Box::pin(pending())
    }
}

#[tokio::test]
async fn an_unresponsive_service_does_not_block_the_caller() {
    let report = write(&Unresponsive, 20).await.unwrap_err();
    assert_eq!(*report.current_context(), KvError::Unknown);
}

#[test]
fn the_ceiling_doubles_up_to_the_cap() {
    let now = SystemClock::new().now();
    let mut backoff = Backoff::new(100, 350);
    let mut ceilings = Vec::new();
    for _ in 0..80 {
        ceilings.push(backoff.ceiling_ms());
        let retry_at = backoff.record_failure(now, 99);
        assert_eq!(retry_at, now.saturating_add_ms(100));
        assert!(backoff.is_ready(retry_at) && !backoff.is_ready(now));
    }
    assert_eq!(ceilings[..4], [100, 200, 350, 350]);
    assert_eq!(ceilings[79], 350);
    backoff.record_success();
    assert!(backoff.is_ready(Millis::new(0)));
}
