//! Tests of the reads that a node makes for others that request values of
//! jobs.

use std::sync::Arc;

use base::{SteppedClock, timer::Timer};
use jobs::{BulkCache, Ledger, NoPeers};
use kv::{Kv, Memory, Op, Txn};
use tokio::task::JoinSet;
use yare::parameterized;

use super::BulkResponder;

async fn responder(key: &str) -> (Memory, BulkResponder) {
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
    (kv, BulkResponder::new(cache, ledger))
}

/// Guards against a read of the key-value service for each front that serves
/// callers of a job. Load: a fleet whose nodes have all restarted, and whose
/// callers reach any front.
#[parameterized(
    few = { 4 },
    many = { 100 },
)]
#[test_macro(tokio::test)]
async fn a_value_is_read_once_for_all_requests(fronts: usize) {
    let (kv, responder) = responder("bulk/out/a").await;
    let mut requests = JoinSet::new();
    for _ in 0..fronts {
        let responder = responder.clone();
        requests.spawn(async move { responder.value("bulk/out/a").await });
    }
    for found in requests.join_all().await {
        assert_eq!(found.as_deref(), Some(&b"value".to_vec()));
    }
    assert_eq!(kv.counts().reads, 1);
}

/// Guards against other nodes that read arbitrary keys through this one.
#[tokio::test]
async fn only_values_of_jobs_are_read_for_others() {
    let (kv, responder) = responder("orders/config").await;
    assert_eq!(responder.value("orders/config").await, None);
    assert_eq!(kv.counts().reads, 0);
    assert_eq!(responder.value("bulk/out/none").await, None);
}
