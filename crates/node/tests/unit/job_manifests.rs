//! Tests of which workers a front queries for a manifest, and of the wire
//! format.

use std::sync::Arc;

use base::{Millis, SteppedClock, UnixMillis};
use fuzz::{altered_bytes, config};
use jobs::{
    JobKey, JobManifest, JobView, KnownManifest, ManifestSource, NodeRecord,
    StoredManifest,
};
use proptest::prelude::*;

use super::{ManifestResponder, PeerManifests, decode, encode};

fn worker(number: usize) -> NodeRecord {
    NodeRecord {
        node: format!("worker-{number}"),
        failure_domain: "east".to_owned(),
        runs_items: true,
        address: None,
        limits: None,
        origins: None,
        lease_s: 0,
        spool: Default::default(),
    }
}

fn stored(owner: &str, revision: u64) -> StoredManifest {
    StoredManifest {
        manifest: JobManifest {
            submitted_at: UnixMillis::new(1_000),
            host: "a.example".to_owned(),
            path: "/batch/1".to_owned(),
            total: 3,
            input_chunks: 1,
            listed: vec![2, 0],
            output_chunks: vec![0],
            owner: owner.to_owned(),
            due_at: UnixMillis::new(19_000),
            give_up_at: UnixMillis::new(61_000),
            ..JobManifest::default()
        },
        revision,
    }
}

fn manifests(workers: usize) -> PeerManifests {
    let view = JobView::default();
    view.seed_records((0..workers).map(worker).collect());
    let clock = Arc::new(SteppedClock::default());
    let options = budget::MemoryOptions::new(1_000_000);
    let memory = budget::MemoryBudget::new(options, clock.clone());
    PeerManifests::new(view, clock, memory)
}

fn job() -> JobKey {
    "job-1".parse().expect("a key")
}

#[test]
fn a_manifest_round_trips() {
    let known = KnownManifest {
        stored: stored("worker-1", 7),
        age_ms: 120,
    };
    let bytes = encode(&known).expect("encoded");
    assert_eq!(decode(&bytes), Some(known));
    for length in 0..bytes.len() {
        assert_eq!(decode(&bytes[..length]), None, "{length} bytes");
    }
}

/// Guards against requests that grow with the fleet, and against callers that
/// wait for changes at a worker that receives them later than the one that
/// lists the results.
#[test]
fn the_worker_that_runs_a_job_is_queried_first() {
    for workers in [3, 70, 1_000] {
        let manifests = manifests(workers);
        assert_eq!(manifests.workers_for(&job()).len(), 2, "of {workers}");
        manifests.note(&job(), &stored("worker-1", 5));
        let selected = manifests.workers_for(&job());
        assert_eq!(selected[0].node, "worker-1");
        assert_eq!(selected.len(), 2);
    }
    assert!(manifests(0).workers_for(&job()).is_empty());
}

#[test]
fn a_silent_worker_is_not_queried() {
    let manifests = manifests(5);
    manifests.note(&job(), &stored("worker-1", 5));
    manifests.record_silence(&worker(1));
    let selected = manifests.workers_for(&job());
    assert!(selected.iter().all(|known| known.node != "worker-1"));
}

/// Guards against a cache of manifests that grows with the jobs of the fleet.
#[test]
fn remembered_manifests_are_bounded_and_never_regress() {
    let manifests = manifests(5);
    manifests.note(&job(), &stored("worker-1", 5));
    manifests.note(&job(), &stored("worker-2", 4));
    assert_eq!(manifests.workers_for(&job())[0].node, "worker-1");
    for number in 0..2_000 {
        let key: JobKey = format!("other-{number}").parse().expect("a key");
        manifests.note(&key, &stored("worker-1", 5));
    }
    let remembered = manifests.lock().remembered.len();
    assert!(remembered <= 256, "{remembered}");
}

/// Guards against callers that receive a result later than its worker.
#[tokio::test(start_paused = true)]
async fn a_request_returns_as_soon_as_the_manifest_changes() {
    let view = JobView::default();
    let clock = Arc::new(SteppedClock::default());
    view.update(&job(), &stored("worker-1", 5), Millis::new(0));
    let responder = ManifestResponder::new(view.clone(), clock);
    let uri = "/head/job-1?wait_ms=900&after=5".parse().expect("a path");
    let response_task = tokio::spawn(responder.clone().respond(uri));
    tokio::task::yield_now().await;
    assert!(!response_task.is_finished());
    view.update(&job(), &stored("worker-1", 6), Millis::new(1));
    let response = response_task.await.expect("task");
    assert_eq!(response.status(), 200);
    let unknown = "/head/job-2?wait_ms=0".parse().expect("a path");
    assert_eq!(responder.respond(unknown).await.status(), 404);
}

fn encoded() -> Vec<u8> {
    let known = KnownManifest {
        stored: stored("worker-1", 7),
        age_ms: 120,
    };
    encode(&known).expect("encoded").to_vec()
}

proptest! {
    #![proptest_config(config(3_000))]

    /// Guards against an answer of another program that crashes a front, or
    /// whose manifest lists more items than there are.
    #[test]
    fn altered_manifests_are_decoded_or_refused(
        bytes in altered_bytes(&encoded()),
    ) {
        if let Some(known) = decode(&bytes) {
            let manifest = known.stored.manifest;
            prop_assert!(manifest.open_items() <= manifest.total);
        }
    }
}
