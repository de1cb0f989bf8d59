//! Quarantine of batch items that crash their endpoints.
#![allow(clippy::unwrap_used)]

mod batch_common;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use batch_common::{FakeCompanion, MODEL, TestCluster};
use serde_json::Value;
use tokio::time::sleep;
use wire::message::{Item, ItemOutcome};

/// Index of the poison item, which crashes any endpoint that runs it.
const POISON_INDEX: u32 = 0;

/// Maximum number of sends of the poison item: the crashes before it is
/// quarantined, and the probes afterwards.
const MAX_SENDS: usize = 3 + 3;

/// Runs a fake companion whose endpoint crashes on the poison item.
async fn run_companion(
    companion: FakeCompanion,
    entry: std::net::SocketAddr,
    sent: Arc<AtomicUsize>,
) {
    loop {
        let (items, _) = companion.pull(entry, 8, &[]).await;
        let outcome = |item: &Item| match item.index {
            POISON_INDEX => ItemOutcome::Crashed,
            _ => ItemOutcome::Answered,
        };
        let poison_items = items
            .iter()
            .filter(|item| item.index == POISON_INDEX)
            .count();
        sent.fetch_add(poison_items, Ordering::Relaxed);
        companion.report(entry, &items, outcome).await;
        sleep(Duration::from_millis(50)).await;
    }
}

fn done(job: &Value) -> u64 {
    let count = |name: &str| job["request_counts"][name].as_u64();
    count("completed").unwrap_or(0)
}

/// Guards against a poison item that crashes one endpoint after another
/// because it recurs in successive jobs.
#[tokio::test(flavor = "multi_thread")]
async fn a_poison_item_is_quarantined() {
    const ITEMS: u32 = 10;
    const JOBS: u32 = 4;
    let cluster = TestCluster::start().await;
    let entry = cluster.entry("entry-1").await;
    let sent: Arc<AtomicUsize> = Arc::default();
    for vm in ["vm-1", "vm-2", "vm-3"] {
        let companion = FakeCompanion::new(vm, &[MODEL]);
        tokio::spawn(run_companion(companion, entry.peer(), sent.clone()));
    }
    for number in 0..JOBS {
        let prompts = (0..ITEMS).map(|at| match at {
            POISON_INDEX => "the one that crashes endpoints".to_owned(),
            _ => format!("job {number}, item {at}"),
        });
        let id = entry.start_job_of(prompts, "1h").await;
        let others = u64::from(ITEMS) - 1;
        entry.until(&id, |job| done(job) == others).await;
        sleep(Duration::from_secs(2)).await;
    }
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent <= MAX_SENDS, "sent {sent} times");
}
