//! Exchange of the speed of endpoints between real nodes.

mod common;

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use common::{
    Engine, Node, call, call_until, put, ready, start, start_with_speed,
    write_config_and_engine,
};
use kv::Memory;
use tokio::time::{sleep, timeout};

async fn until(is_true: impl Fn() -> bool) {
    let wait = async {
        while !is_true() {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(Duration::from_secs(10), wait)
        .await
        .expect("in time");
}

fn count(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}

async fn stream(front: &Node, id: &str) {
    let (status, body) = call(front.front, "POST", "/chat/1", id, "6").await;
    assert_eq!(status, 200);
    assert_eq!(body.matches("data: ").count(), 6);
}

/// Guards against estimates that do not reach other fronts.
#[tokio::test]
async fn fronts_receive_the_estimates_of_others_through_a_worker() {
    let kv = Memory::default();
    let engine = Engine::start().await;
    write_config_and_engine(&kv, &engine).await;
    let first = start_with_speed(&kv, "front-1", false).await;
    let second = start_with_speed(&kv, "front-2", false).await;
    let worker = start_with_speed(&kv, "worker-1", true).await;
    ready(&first).await;
    ready(&second).await;
    stream(&first, "r1").await;
    assert_eq!(count(&first.counters.speed_samples_used), 1);
    until(|| count(&second.counters.speed_updates_received) > 0).await;
    for node in [&first, &second, &worker] {
        assert!(count(&node.counters.speed_updates_sent) > 0);
        assert_eq!(count(&node.counters.load_updates_refused), 0);
    }
    // Once the front knows the median, its requests count by class.
    stream(&first, "r2").await;
    let counters = &first.counters;
    assert_eq!(count(&counters.placed_usual), 2);
}

/// Guards against a worker or front that exchanges anything, or counts
/// requests by class, while the endpoints report no slowdown.
#[tokio::test]
async fn nothing_is_exchanged_while_no_endpoint_reports() {
    let kv = Memory::default();
    let engine = Engine::start().await;
    write_config_and_engine(&kv, &engine).await;
    let front = start(&kv, "front-1", false).await;
    let worker = start(&kv, "worker-1", true).await;
    ready(&front).await;
    stream(&front, "r1").await;
    sleep(Duration::from_millis(2_500)).await;
    stream(&front, "r2").await;
    for node in [&front, &worker] {
        assert_eq!(count(&node.counters.speed_updates_sent), 0);
        assert_eq!(count(&node.counters.placed_usual), 0);
    }
}

/// Guards against items that are not started, or started twice, while speed
/// determines where they start.
#[tokio::test]
async fn a_job_ends_with_each_item_once_while_speed_matters() {
    let kv = Memory::default();
    let engine = Engine::start().await;
    write_config_and_engine(&kv, &engine).await;
    let other = Engine::start().await;
    let record = serde_json::to_vec(&other.record("e2")).expect("json");
    put(&kv, "endpoints/e2", record).await;
    let front = start_with_speed(&kv, "front-1", false).await;
    let worker = start_with_speed(&kv, "worker-1", true).await;
    ready(&front).await;
    let job = r#"["6","6","6","6","6","6"]"#;
    let sent = call(front.front, "POST", "/batch/1", "job-1", job).await;
    assert_eq!(sent.0, 202);
    let is_complete = |_, body: &str| body.starts_with("6 6\n");
    let path = "/jobs/job-1";
    let (_, body) = call_until(front.front, "GET", path, is_complete).await;
    let mut lines: Vec<&str> = body.lines().skip(1).collect();
    lines.sort_unstable();
    lines.dedup();
    assert_eq!(lines.len(), 6);
    assert!(lines.iter().all(|line| line.contains(" complete ")));
    let counters = &worker.counters;
    assert_eq!(count(&counters.item_runs), 6);
    assert_eq!(count(&counters.speed_samples_used), 6);
}
