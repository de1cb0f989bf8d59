//! Batch jobs over real sockets, through losses.

mod batch_common;

use serde_json::{Value, json};
use standin::kv::KvFaults;

use self::batch_common::{Ground, MODEL, Player, TestEntry};

const ITEMS: u32 = 200;

fn done(job: &Value) -> u64 {
    job["request_counts"]["completed"]
        .as_u64()
        .expect("a count")
}

fn is_completed(job: &Value) -> bool {
    job["status"] == "completed"
}

/// Asserts that each item is in one of the two files, once.
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

/// Symptom: items of a job are lost or doubled. Events: the entry that owns
/// its partition dies half way, and the other takes it over.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_survives_the_loss_of_its_owner() {
    let ground = Ground::start().await;
    let first = ground.entry("entry-1").await;
    let job = first.start_job(ITEMS, "1h").await;
    let second = ground.entry("entry-2").await;
    let entries = vec![first.peer(), second.peer()];
    let _playing = Player::new("vm-1", &[MODEL]).play(entries);
    second.until(&job, |job| done(job) > 20).await;
    first.lose();
    let job = second.until(&job, is_completed).await;
    assert_exactly_once(&second, &job).await;
}

/// Symptom: work stands still after a planned stop until a lease has run
/// out. Events: an owner with a lease of five minutes stops as planned. Cause:
/// the lease is not ended by its holder.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_hands_over_at_once() {
    let ground = Ground::start().await;
    let first = ground.entry_with("entry-1", 300).await;
    let id = first.start_job(ITEMS, "1h").await;
    let playing = Player::new("vm-1", &[MODEL]).play(vec![first.peer()]);
    first.until(&id, |job| done(job) > 20).await;
    first.drain().await;
    drop(playing);
    let second = ground.entry_with("entry-2", 300).await;
    let _playing = Player::new("vm-1", &[MODEL]).play(vec![second.peer()]);
    let job = second.until(&id, is_completed).await;
    assert_exactly_once(&second, &job).await;
}

/// Symptom: items are doubled, or a job never ends. Events: three answers of
/// the service in ten are lost after the write took effect, and then the
/// service is down for a while. Cause: a write of unknown outcome taken as
/// done or as failed.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_survives_lost_answers_and_an_outage() {
    let ground = Ground::start().await;
    let entry = ground.entry("entry-1").await;
    let id = entry.start_job(ITEMS, "1h").await;
    let faults = KvFaults {
        lose_answer: 0.3,
        seed: 7,
        ..KvFaults::default()
    };
    ground.kv.set_faults(faults).unwrap();
    let _playing = Player::new("vm-1", &[MODEL]).play(vec![entry.peer()]);
    entry.until(&id, |job| done(job) > 20).await;
    let outage = KvFaults {
        down_ms: 500,
        ..faults
    };
    ground.kv.set_faults(outage).unwrap();
    tokio::time::sleep(std::time::Duration::from_millis(600)).await;
    let job = entry.until(&id, is_completed).await;
    assert_exactly_once(&entry, &job).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancel_revokes_what_runs_and_grants_no_more() {
    let ground = Ground::start().await;
    let entry = ground.entry("entry-1").await;
    let id = entry.start_job(ITEMS, "1h").await;
    let player = Player::new("vm-1", &[MODEL]);
    let mut items = Vec::new();
    while items.is_empty() {
        (items, _) = player.pull(entry.peer(), 4, &[]).await;
    }
    let path = format!("/v1/batches/{id}/cancel");
    entry.post(&path, json!({})).await;
    entry.until(&id, |job| job["status"] == "cancelled").await;
    let running: Vec<u64> = items.iter().map(|item| item.grant).collect();
    let (more, revoked) = player.pull(entry.peer(), 4, &running).await;
    assert!(more.is_empty());
    assert_eq!(revoked, running);
}

/// Symptom: items fail with "no such model". Events: a companion whose engine
/// has another model pulls.
#[tokio::test(flavor = "multi_thread")]
async fn items_go_to_endpoints_of_their_model_only() {
    let ground = Ground::start().await;
    let entry = ground.entry("entry-1").await;
    entry.start_job(4, "1h").await;
    let other = Player::new("vm-1", &["other-lm"]);
    let own = Player::new("vm-2", &[MODEL]);
    let mut items = Vec::new();
    while items.is_empty() {
        let (none, _) = other.pull(entry.peer(), 4, &[]).await;
        assert!(none.is_empty());
        (items, _) = own.pull(entry.peer(), 4, &[]).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_will_be_late_says_so_before() {
    let ground = Ground::start().await;
    let entry = ground.entry("entry-1").await;
    let safe = entry.start_job(4, "24h").await;
    let late = entry.start_job(ITEMS, "1m").await;
    let player = Player::new("vm-1", &[MODEL]);
    // One item in each round, which is too slow for the due time.
    let at_risk = async {
        loop {
            let (items, _) = player.pull(entry.peer(), 1, &[]).await;
            player.answer(entry.peer(), &items, 10).await;
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
    let ground = Ground::start().await;
    let entry = ground.entry("entry-1").await;
    let mut made = Vec::new();
    for hours in 1..=3 {
        made.push(entry.start_job(1, &format!("{hours}h")).await);
        // The order is that of the millisecond of acceptance.
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
