//! Tests of the reads that a node makes for others that request values of
//! jobs.

use std::sync::Arc;

use base::{SteppedClock, timer::Timer};
use jobs::{BulkCache, Ledger, NoPeers};
use kv::{Kv, Memory, Op, Txn};
use tokio::task::JoinSet;
use yare::parameterized;

use super::BulkAnswers;

async fn answers(key: &str) -> (Memory, BulkAnswers) {
    let kv = Memory::default();
    let put = Op::Put {
        key: key.to_owned(),
        value: b"value".to_vec(),
        lease: None,
    };
    let txn = Txn {
        success: vec![put],
        ..Txn::default()
    };
    kv.txn(txn).await.expect("written");
    let cache: Arc<BulkCache> = Arc::default();
    let timer = Timer::new(Arc::new(SteppedClock::default()));
    let ledger = Ledger::new(Arc::new(kv.clone()), timer, 1_000_000)
        .with_peers(cache.clone(), Arc::new(NoPeers));
    (kv, BulkAnswers::new(cache, ledger))
}

/// Guards against a read of the key-value service for each front that serves
/// callers of a job. Load: a fleet whose nodes have all restarted, and whose
/// callers reach any front.
#[parameterized(
    few = { 4 },
    many = { 100 },
)]
#[test_macro(tokio::test)]
async fn a_value_is_read_once_for_all_that_ask(fronts: usize) {
    let (kv, answers) = answers("bulk/out/a").await;
    let mut asked = JoinSet::new();
    for _ in 0..fronts {
        let answers = answers.clone();
        asked.spawn(async move { answers.value("bulk/out/a").await });
    }
    for found in asked.join_all().await {
        assert_eq!(found.as_deref(), Some(&b"value".to_vec()));
    }
    assert_eq!(kv.counts().reads, 1);
}

/// Guards against other nodes that read arbitrary keys through this one.
#[tokio::test]
async fn only_values_of_jobs_are_read_for_others() {
    let (kv, answers) = answers("orders/config").await;
    assert_eq!(answers.value("orders/config").await, None);
    assert_eq!(kv.counts().reads, 0);
    assert_eq!(answers.value("bulk/out/none").await, None);
}
