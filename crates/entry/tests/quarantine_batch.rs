//! Items of jobs that crash the endpoints that run them.
#![allow(clippy::unwrap_used)]

mod batch_common;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use batch_common::{Ground, MODEL, Player};
use serde_json::Value;
use tokio::time::sleep;
use wire::message::{Item, ItemOutcome};

/// Number of the item that crashes whatever runs it.
const BAD: u32 = 0;

/// Crashes after which a request is not to be sent any more, and the times
/// that it may be sent again all the same.
const SENT_MOST: usize = 3 + 3;

/// Plays a companion whose endpoint one item crashes.
async fn play(
    player: Player,
    entry: std::net::SocketAddr,
    sent: Arc<AtomicUsize>,
) {
    loop {
        let (items, _) = player.pull(entry, 8, &[]).await;
        let outcome = |item: &Item| match item.index {
            BAD => ItemOutcome::Crashed,
            _ => ItemOutcome::Answered,
        };
        let bad = items.iter().filter(|item| item.index == BAD).count();
        sent.fetch_add(bad, Ordering::Relaxed);
        player.report(entry, &items, outcome).await;
        sleep(Duration::from_millis(50)).await;
    }
}

fn done(job: &Value) -> u64 {
    let count = |name: &str| job["request_counts"][name].as_u64();
    count("completed").unwrap_or(0)
}

/// Guards against an item that crashes one endpoint after the other, as it
/// comes again in one job after the other.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_that_crashes_endpoints_is_granted_no_further() {
    const ITEMS: u32 = 10;
    const JOBS: u32 = 4;
    let ground = Ground::start().await;
    let entry = ground.entry("entry-1").await;
    let sent: Arc<AtomicUsize> = Arc::default();
    for vm in ["vm-1", "vm-2", "vm-3"] {
        let player = Player::new(vm, &[MODEL]);
        tokio::spawn(play(player, entry.peer(), sent.clone()));
    }
    for number in 0..JOBS {
        let prompts = (0..ITEMS).map(|at| match at {
            BAD => "the one that crashes endpoints".to_owned(),
            _ => format!("job {number}, item {at}"),
        });
        let id = entry.start_job_of(prompts, "1h").await;
        let others = u64::from(ITEMS) - 1;
        entry.until(&id, |job| done(job) == others).await;
        sleep(Duration::from_secs(2)).await;
    }
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent <= SENT_MOST, "sent {sent} times");
}
