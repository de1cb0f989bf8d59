//! Batch jobs over real sockets with entry failures and outages.

mod batch_common;

use serde_json::{Value, json};
use standin::kv::KvFaults;

use self::batch_common::{FakeCompanion, MODEL, TestCluster, TestEntry};

const ITEMS: u32 = 200;

fn done(job: &Value) -> u64 {
    job["request_counts"]["completed"]
        .as_u64()
        .expect("a count")
}

fn is_completed(job: &Value) -> bool {
    job["status"] == "completed"
}

/// Asserts that each item is exactly once in one of the two files.
async fn assert_exactly_once(entry: &TestEntry, job: &Value) {
    let output = entry.ids(&job["output_file_id"]).await;
    let errors = entry.ids(&job["error_file_id"]).await;
    for at in 0..ITEMS {
        let id = format!("id-{at}");
        let times = |seen: &std::collections::BTreeMap<String, u32>| {
            seen.get(&id).copied().unwrap_or(0)
        };
        let wanted = if at % 10 == 1 { (0, 1) } else { (1, 0) };
        assert_eq!((times(&output), times(&errors)), wanted, "{id}");
    }
}

/// Guards against lost or duplicated items: the entry that owns the job's
/// partition crashes halfway through, and another entry takes over.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_survives_the_loss_of_its_owner() {
    let cluster = TestCluster::start().await;
    let first = cluster.entry("entry-1").await;
    let job = first.start_job(ITEMS, "1h").await;
    let second = cluster.entry("entry-2").await;
    let entries = vec![first.peer(), second.peer()];
    let _running = FakeCompanion::new("vm-1", &[MODEL]).run(entries);
    second.until(&job, |job| done(job) > 20).await;
    first.crash();
    let job = second.until(&job, is_completed).await;
    assert_exactly_once(&second, &job).await;
}

/// Guards against a job that stalls after a graceful shutdown until the lease
/// expires: an owner with a lease of five minutes drains without revoking the
/// lease.
#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_hands_over_at_once() {
    let cluster = TestCluster::start().await;
    let first = cluster.entry_with("entry-1", 300).await;
    let id = first.start_job(ITEMS, "1h").await;
    let running = FakeCompanion::new("vm-1", &[MODEL]).run(vec![first.peer()]);
    first.until(&id, |job| done(job) > 20).await;
    first.drain().await;
    drop(running);
    let second = cluster.entry_with("entry-2", 300).await;
    let _running =
        FakeCompanion::new("vm-1", &[MODEL]).run(vec![second.peer()]);
    let job = second.until(&id, is_completed).await;
    assert_exactly_once(&second, &job).await;
}

/// Guards against duplicated items and a job that never ends: the key-value
/// service loses 30 % of its responses after the write took effect and is
/// then down for a while, and a write of unknown outcome is treated as
/// applied or as failed.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_survives_lost_responses_and_an_outage() {
    let cluster = TestCluster::start().await;
    let entry = cluster.entry("entry-1").await;
    let id = entry.start_job(ITEMS, "1h").await;
    let faults = KvFaults {
        lose_answer: 0.3,
        seed: 7,
        ..KvFaults::default()
    };
    cluster.kv.set_faults(faults).unwrap();
    let _running =
        FakeCompanion::new("vm-1", &[MODEL]).run(vec![entry.peer()]);
    entry.until(&id, |job| done(job) > 20).await;
    let outage = KvFaults {
        down_ms: 500,
        ..faults
    };
    cluster.kv.set_faults(outage).unwrap();
    tokio::time::sleep(std::time::Duration::from_millis(600)).await;
    let job = entry.until(&id, is_completed).await;
    assert_exactly_once(&entry, &job).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancel_revokes_running_items_and_stops_grants() {
    let cluster = TestCluster::start().await;
    let entry = cluster.entry("entry-1").await;
    let id = entry.start_job(ITEMS, "1h").await;
    let companion = FakeCompanion::new("vm-1", &[MODEL]);
    let mut items = Vec::new();
    while items.is_empty() {
        (items, _) = companion.pull(entry.peer(), 4, &[]).await;
    }
    let path = format!("/v1/batches/{id}/cancel");
    entry.post(&path, json!({})).await;
    entry.until(&id, |job| job["status"] == "cancelled").await;
    let running: Vec<u64> = items.iter().map(|item| item.grant).collect();
    let (more, revoked) = companion.pull(entry.peer(), 4, &running).await;
    assert!(more.is_empty());
    assert_eq!(revoked, running);
}

/// Guards against items that fail with "no such model": a companion whose
/// engine serves another model pulls.
#[tokio::test(flavor = "multi_thread")]
async fn items_go_to_endpoints_of_their_model_only() {
    let cluster = TestCluster::start().await;
    let entry = cluster.entry("entry-1").await;
    entry.start_job(4, "1h").await;
    let other = FakeCompanion::new("vm-1", &["other-lm"]);
    let own = FakeCompanion::new("vm-2", &[MODEL]);
    let mut items = Vec::new();
    while items.is_empty() {
        let (none, _) = other.pull(entry.peer(), 4, &[]).await;
        assert!(none.is_empty());
        (items, _) = own.pull(entry.peer(), 4, &[]).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_will_miss_its_due_time_is_marked_at_risk() {
    let cluster = TestCluster::start().await;
    let entry = cluster.entry("entry-1").await;
    let safe = entry.start_job(4, "24h").await;
    let late = entry.start_job(ITEMS, "1m").await;
    let companion = FakeCompanion::new("vm-1", &[MODEL]);
    // One item per pull, which is too slow for the due time.
    let at_risk = async {
        loop {
            let (items, _) = companion.pull(entry.peer(), 1, &[]).await;
            companion.answer(entry.peer(), &items, 10).await;
            let job = entry.job(&late).await;
            if job["at_risk"] == true {
                return job;
            }
            let pause = std::time::Duration::from_millis(700);
            tokio::time::sleep(pause).await;
        }
    };
    let job = at_risk.await;
    assert_eq!(job["status"], "in_progress");
    assert_eq!(entry.job(&safe).await["at_risk"], false);
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_are_listed_newest_first_in_pages() {
    let cluster = TestCluster::start().await;
    let entry = cluster.entry("entry-1").await;
    let mut made = Vec::new();
    for hours in 1..=3 {
        made.push(entry.start_job(1, &format!("{hours}h")).await);
        // Jobs are ordered by the millisecond of their acceptance.
        tokio::time::sleep(std::time::Duration::from_millis(3)).await;
    }
    let page = entry.get("/v1/batches?limit=2").await;
    assert_eq!(page["has_more"], true);
    let ids = |page: &Value| -> Vec<String> {
        let jobs = page["data"].as_array().unwrap().iter();
        jobs.map(|job| job["id"].as_str().unwrap().to_owned())
            .collect()
    };
    assert_eq!(ids(&page), [made[2].clone(), made[1].clone()]);
    let rest = format!("/v1/batches?limit=2&after={}", made[1]);
    let rest = entry.get(&rest).await;
    assert_eq!(ids(&rest), [made[0].clone()]);
    assert_eq!(rest["has_more"], false);
}
