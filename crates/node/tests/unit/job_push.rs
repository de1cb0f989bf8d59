//! Tests of jobs that another node has accepted and pushed to a worker.

use std::sync::Arc;

use base::{SteppedClock, UnixMillis, timer::Timer};
use budget::MemoryShares;
use fleet::BatchDeadlines;
use jobs::{
    BulkCache, ItemInput, JobView, Ledger, NewJob, NoPeers, StoredManifest,
};
use kv::{Kv, Memory};

use super::PushReceiver;
use crate::{commit_wire, peer_bodies::PeerBodies};

const VALUE_BYTES: usize = 1024 * 1024;

fn job() -> NewJob {
    NewJob {
        key: "job-1".parse().expect("a key"),
        host: "a.example".to_owned(),
        path: "/batch/1".to_owned(),
        submitted_at: UnixMillis::new(1_000),
        terms: BatchDeadlines {
            due_in_ms: 18_000,
            give_up_in_ms: 60_000,
        },
        owner: "worker-1".to_owned(),
        customer: None,
        items: vec![ItemInput {
            id: "item-0".to_owned(),
            body: b"hello".to_vec(),
            ..ItemInput::default()
        }],
    }
}

fn receiver() -> PushReceiver {
    PushReceiver {
        view: JobView::default(),
        cache: Arc::default(),
        clock: Arc::new(SteppedClock::default()),
        bodies: PeerBodies::new(
            &MemoryShares::default(),
            false,
            Arc::new(SteppedClock::default()),
        ),
    }
}

/// Accepts a job and returns the message that its front sends to the worker.
async fn accepted() -> (StoredManifest, Vec<u8>) {
    let kv = Memory::default();
    let timer = Timer::new(kv.clock().clone());
    let cache: Arc<BulkCache> = Arc::default();
    let ledger = Ledger::new(Arc::new(kv), timer, VALUE_BYTES)
        .with_peers(cache, Arc::new(NoPeers));
    let job = job();
    let key = job.key.clone();
    let stored = ledger.accept(job).await.expect("accepted");
    let rows = ledger.accepted_rows(&key, &stored).expect("kept");
    let bytes = commit_wire::encode(&rows).expect("encoded");
    (stored, bytes.to_vec())
}

/// Guards against a read of the key-value service for each new job. Load: a
/// fleet in which each job has its own inputs.
#[tokio::test]
async fn a_worker_reads_nothing_of_a_pushed_job() {
    let (stored, bytes) = accepted().await;
    let worker = receiver();
    worker.apply(&bytes, stored.revision).expect("applied");
    let key = job().key;
    assert_eq!(worker.view.get(&key), Some(stored.clone()));
    // A ledger with an empty key-value service, so that it reads from the
    // cache only.
    let kv: Arc<dyn Kv> = Arc::new(Memory::default());
    let timer = Timer::new(Arc::new(SteppedClock::default()));
    let ledger = Ledger::new(kv, timer, VALUE_BYTES)
        .with_peers(worker.cache, Arc::new(NoPeers));
    let inputs = ledger.inputs(&key, &stored.manifest).await.expect("inputs");
    assert_eq!(inputs, job().items);
}

/// Guards against a job that is started in part, or not at all, because the
/// message about it was truncated.
#[tokio::test]
async fn a_malformed_message_changes_nothing() {
    let (stored, bytes) = accepted().await;
    for length in 0..bytes.len() {
        let worker = receiver();
        assert!(worker.apply(&bytes[..length], stored.revision).is_none());
        assert_eq!(worker.view.get(&job().key), None);
    }
}
