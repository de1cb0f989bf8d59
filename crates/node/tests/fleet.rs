//! End-to-end tests of a front and a worker from the view of callers and
//! operators.

mod common;

use std::{sync::Arc, time::Duration};

use base::UnixMillis;
use common::{
    Cuttable, Engine, MIN_LEASE_MS, Node, call, call_until, put, ready, start,
    start_by, write_config_and_engine,
};
use fleet::{EndpointRecord, VersionBinding};
use jobs::{
    ItemCheckpoint, RunnerOptions, checkpoint_key, decode_checkpoints,
    decode_manifest, encode_checkpoints, manifest_key,
};
use kv::{Kv, Memory, Op, Txn};
use tokio::time::{sleep, timeout};
use yare::parameterized;

struct Fleet {
    kv: Memory,
    engine: Engine,
    front: Node,
    worker: Node,
}

async fn fleet() -> Fleet {
    let kv = Memory::default();
    let engine = Engine::start().await;
    write_config_and_engine(&kv, &engine).await;
    let front = start(&kv, "front-1", false).await;
    let worker = start(&kv, "worker-1", true).await;
    ready(&front).await;
    Fleet {
        kv,
        engine,
        front,
        worker,
    }
}

async fn results(fleet: &Fleet, job: &str, count: u32) -> String {
    let path = format!("/jobs/{job}");
    let whole = format!("{count} {count}\n");
    let (_, body) = call_until(fleet.front.front, "GET", &path, |_, body| {
        body.starts_with(&whole)
    })
    .await;
    body
}

#[tokio::test]
async fn a_stream_is_served() {
    let fleet = fleet().await;
    let (status, body) =
        call(fleet.front.front, "POST", "/chat/1", "r1", "3").await;
    assert_eq!(status, 200);
    assert_eq!(body.matches("data: ").count(), 3);
}

#[tokio::test]
async fn a_stream_that_breaks_once_is_whole_for_its_caller() {
    let fleet = fleet().await;
    let other = Engine::start().await;
    let record = serde_json::to_vec(&other.record("e2")).expect("json");
    put(&fleet.kv, "endpoints/e2", record).await;
    sleep(Duration::from_millis(400)).await;
    let (status, body) =
        call(fleet.front.front, "POST", "/chat/1", "r1", "cut 6").await;
    assert_eq!(status, 200);
    let ids: Vec<&str> =
        body.lines().filter(|l| l.starts_with("id")).collect();
    let whole = ["id: 1", "id: 2", "id: 3", "id: 4", "id: 5", "id: 6"];
    assert_eq!(ids, whole);
}

#[tokio::test]
async fn a_job_ends_with_each_item_once() {
    let fleet = fleet().await;
    let job = r#"["3","reject","fail","cut 4"]"#;
    let front = fleet.front.front;
    let (status, _) = call(front, "POST", "/batch/1", "job-1", job).await;
    assert_eq!(status, 202);
    let body = results(&fleet, "job-1", 4).await;
    let mut lines: Vec<&str> = body.lines().skip(1).collect();
    lines.sort_unstable();
    assert_eq!(
        lines,
        [
            "item-0 complete e1+e2+e3",
            "item-1 given-up ",
            "item-2 given-up ",
            "item-3 complete e1+e2+e3+e4",
        ]
    );
    let runs = fleet.engine.runs.lock().expect("lock").clone();
    let of = |id: &str| runs.iter().filter(|r| r.starts_with(id)).count();
    assert_eq!(of("item-1:"), 1, "a rejected item runs once");
    assert_eq!(
        of("item-2:"),
        2,
        "a failing item runs as often as the route permits"
    );
    assert!(runs.contains(&"item-3:2".to_owned()), "{runs:?}");
}

#[tokio::test]
async fn a_job_sent_twice_is_one_job_and_positions_stay() {
    let fleet = fleet().await;
    let other = start(&fleet.kv, "front-2", false).await;
    ready(&other).await;
    for front in [fleet.front.front, other.front] {
        let sent = call(front, "POST", "/batch/1", "job-1", r#"["1","2"]"#);
        assert_eq!(sent.await.0, 202);
    }
    let first = results(&fleet, "job-1", 2).await;
    let (_, second) =
        call(other.front, "GET", "/jobs/job-1", "poll", "").await;
    assert_eq!(first, second);
    let runs = fleet.engine.runs.lock().expect("lock").clone();
    assert_eq!(runs.len(), 2, "{runs:?}");
}

#[tokio::test]
async fn the_body_of_an_item_can_be_read() {
    let fleet = fleet().await;
    let front = fleet.front.front;
    call(front, "POST", "/batch/1", "job-1", r#"["1","2"]"#).await;
    let path = "/jobs/job-1?item=item-1";
    assert_eq!(call(front, "GET", path, "b", "").await, (200, "2".into()));
    let path = "/jobs/job-1?item=item-9";
    assert_eq!(call(front, "GET", path, "b", "").await.0, 404);
}

#[tokio::test]
async fn an_ended_job_runs_no_further() {
    let fleet = fleet().await;
    let front = fleet.front.front;
    let long: Vec<String> = (0..30).map(|_| "400".to_owned()).collect();
    let job = serde_json::to_string(&long).expect("json");
    call(front, "POST", "/batch/1", "job-1", &job).await;
    let runs = fleet.engine.runs.clone();
    while runs.lock().expect("lock").is_empty() {
        sleep(Duration::from_millis(10)).await;
    }
    for _ in 0..2 {
        let ended = call(front, "DELETE", "/jobs/job-1", "d", "").await;
        assert_eq!(ended.0, 200);
    }
    sleep(Duration::from_millis(1_200)).await;
    let after = runs.lock().expect("lock").len();
    sleep(Duration::from_millis(800)).await;
    assert_eq!(runs.lock().expect("lock").len(), after);
}

#[parameterized(
    no_route = { "POST", "/nothing/1", "r", "", 404 },
    unknown_job = { "GET", "/jobs/none", "r", "", 404 },
    malformed_job = { "POST", "/batch/1", "job", "no json", 400 },
    malformed_position = { "GET", "/jobs/x?after=-1", "r", "", 400 },
    bad_job_id = { "POST", "/batch/1", "a/b", "[]", 400 },
)]
#[test_macro(tokio::test)]
async fn invalid_calls_get_a_clear_response(
    method: &str,
    path: &str,
    id: &str,
    body: &str,
    expected: u16,
) {
    let fleet = fleet().await;
    let (status, text) = call(fleet.front.front, method, path, id, body).await;
    assert_eq!(status, expected);
    assert!(text.contains("\"ran\":\"no\""), "{text}");
}

/// Guards against treating a missing configuration as one without routes: a
/// request that arrives before the first configuration would be rejected with
/// "no such route".
#[tokio::test]
async fn a_front_without_configuration_promises_that_nothing_ran() {
    let kv = Memory::default();
    let front = start(&kv, "front-1", false).await;
    let (status, _) = call(front.front, "POST", "/chat/1", "r1", "1").await;
    assert_eq!(status, 503);
    let (status, _) = call(front.ready, "GET", "/ready", "b", "").await;
    assert_eq!(status, 503);
}

/// While the key-value service is unavailable, a job that cannot be stored is
/// refused and never runs, and online requests are served from the last known
/// state.
#[tokio::test]
async fn without_the_key_value_service_online_requests_are_served() {
    let fleet = fleet().await;
    fleet.kv.set_down(true);
    let front = fleet.front.front;
    assert_eq!(call(front, "POST", "/chat/1", "r1", "2").await.0, 200);
    let job = call(front, "POST", "/batch/1", "job-1", r#"["1"]"#).await;
    assert_eq!(job.0, 503);
    fleet.kv.set_down(false);
    let known = call_until(front, "GET", "/jobs/job-1", |s, _| s == 404);
    known.await;
    ready(&fleet.front).await;
}

/// A planned shutdown interrupts no request: readiness checks fail first,
/// running requests complete, and the node exits within the grace period.
#[tokio::test]
async fn a_planned_stop_completes_running_requests() {
    let fleet = fleet().await;
    let front = fleet.front.front;
    let running = tokio::spawn(async move {
        call(front, "POST", "/chat/1", "r1", "300").await
    });
    while fleet.engine.runs.lock().expect("lock").is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    fleet.front.stop.send_replace(true);
    call_until(fleet.front.ready, "GET", "/ready", |s, _| s == 503).await;
    assert_eq!(call(front, "POST", "/chat/2", "r2", "1").await.0, 200);
    let (status, body) = running.await.expect("task");
    assert_eq!((status, body.matches("data: ").count()), (200, 300));
    fleet.front.task.await.expect("stopped");
}

/// The status of an order to vacate a node becomes complete once its runs have
/// ended.
#[tokio::test]
async fn a_node_reports_when_it_is_vacated() {
    let fleet = fleet().await;
    put(&fleet.kv, "orders/empty/worker-1", Vec::new()).await;
    let wait = async {
        loop {
            let found = fleet.kv.get("emptied/worker-1").await;
            let kvs = found.expect("read").kvs;
            if kvs.first().is_some_and(|kv| kv.value == b"Complete") {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    let limit = std::time::Duration::from_secs(10);
    tokio::time::timeout(limit, wait).await.expect("in time");
    fleet.worker.stop.send_replace(true);
    fleet.worker.task.await.expect("stopped");
}

/// Returns the key of a job's checkpoints.
async fn saved_at(kv: &Memory, job: &str) -> String {
    let job = job.parse().expect("key");
    let found = kv.get(&manifest_key(&job)).await.expect("read");
    let head = decode_manifest(&found.kvs[0].value).expect("a manifest");
    checkpoint_key(&job, head.submitted_at)
}

/// Guards against keeping the output of running items only in memory: when a
/// node was killed and its jobs were resumed by another node, or by itself
/// after a restart, the items ran again from their first event and jobs ended
/// up to a full run later.
#[tokio::test]
async fn an_item_resumes_from_the_checkpoint_of_a_lost_node() {
    let kv = Memory::default();
    let engine = Engine::start().await;
    write_config_and_engine(&kv, &engine).await;
    let front = start(&kv, "front-1", false).await;
    ready(&front).await;
    let sent = call(front.front, "POST", "/batch/1", "job-1", r#"["4","2"]"#);
    assert_eq!(sent.await.0, 202);
    let saved = [ItemCheckpoint {
        number: 0,
        last_id: 3,
        events: 3,
        ran_ms: 10,
        binding: Arc::new(
            VersionBinding::of(&engine.record("e1")).expect("a version"),
        ),
        output: "e1\ne2\ne3".to_owned(),
    }];
    let value = encode_checkpoints(&saved).expect("encoded");
    put(&kv, &saved_at(&kv, "job-1").await, value).await;
    // Checkpoints of new jobs are not read, since they have none.
    let checkpoint_interval_ms =
        RunnerOptions::default().checkpoint_interval_ms;
    sleep(Duration::from_millis(checkpoint_interval_ms + 100)).await;
    let worker = start(&kv, "worker-1", true).await;
    let fleet = Fleet {
        kv,
        engine,
        front,
        worker,
    };
    let body = results(&fleet, "job-1", 2).await;
    assert!(body.contains("item-0 complete e1+e2+e3+e4"), "{body}");
    assert!(body.contains("item-1 complete e1+e2"), "{body}");
    let runs = fleet.engine.runs.lock().expect("lock").clone();
    assert!(runs.contains(&"item-0:3".to_owned()), "{runs:?}");
    assert!(!runs.contains(&"item-0:0".to_owned()), "{runs:?}");
}

#[tokio::test]
async fn checkpoints_are_saved_while_items_run() {
    let fleet = fleet().await;
    let front = fleet.front.front;
    let sent = call(front, "POST", "/batch/1", "job-1", r#"["4000"]"#);
    assert_eq!(sent.await.0, 202);
    let key = saved_at(&fleet.kv, "job-1").await;
    let kv: &dyn Kv = &fleet.kv;
    let saved = async {
        loop {
            let reply = kv.get(&key).await.expect("read");
            if let Some(kv) = reply.kvs.first() {
                return decode_checkpoints(&kv.value).expect("decoded");
            }
            sleep(Duration::from_millis(50)).await;
        }
    };
    let saved = timeout(Duration::from_secs(20), saved);
    let saved = saved.await.expect("in time");
    assert_eq!(saved.len(), 1);
    let lines = saved[0].output.lines().count() as u64;
    assert_eq!((lines, saved[0].last_id), (saved[0].events, lines));
    assert!(lines > 0);
}

/// Guards against reading each result chunk from the key-value service instead
/// of the node that wrote it: with callers polling a job at several fronts,
/// such reads were a third of all calls to the key-value service.
#[tokio::test]
async fn results_are_read_from_the_node_that_wrote_them() {
    let fleet = fleet().await;
    let front = fleet.front.front;
    let sent = call(front, "POST", "/batch/1", "job-1", r#"["2","3"]"#);
    assert_eq!(sent.await.0, 202);
    results(&fleet, "job-1", 2).await;
    // Deletes the results from the key-value service.
    let kept = fleet.kv.get_prefix("bulk/", 0).await.expect("read").kvs;
    for kv in kept {
        let txn = Txn {
            success: vec![Op::Delete { key: kv.key }],
            ..Txn::default()
        };
        fleet.kv.txn(txn).await.expect("deleted");
    }
    let other = start(&fleet.kv, "front-2", false).await;
    ready(&other).await;
    let read = call_until(other.front, "GET", "/jobs/job-1", |status, _| {
        status == 200
    });
    let (_, body) = read.await;
    assert!(body.contains("item-0 complete e1+e2"), "{body}");
    let path = "/jobs/job-1?item=item-1";
    let read = call(other.front, "GET", path, "b", "").await;
    assert_eq!(read, (200, "3".into()));
}

/// Guards against repeated waits for a lost node that wrote results, which
/// delayed them for seconds although the key-value service has them as well.
#[tokio::test]
async fn results_of_a_lost_node_are_read_from_the_key_value_service() {
    let fleet = fleet().await;
    let front = fleet.front.front;
    let sent = call(front, "POST", "/batch/1", "job-1", r#"["2"]"#);
    assert_eq!(sent.await.0, 202);
    let first = results(&fleet, "job-1", 1).await;
    fleet.worker.stop.send_replace(true);
    let other = start(&fleet.kv, "front-2", false).await;
    ready(&other).await;
    let (_, second) =
        call_until(other.front, "GET", "/jobs/job-1", |status, _| {
            status == 200
        })
        .await;
    assert_eq!(first, second);
}

/// Guards against ignoring the minimum lease of the settings: if the key-value
/// service refuses the shorter lease that a worker requests, no job ever runs.
#[tokio::test]
async fn a_node_asks_for_a_lease_that_the_service_grants() {
    let kv = Memory::default();
    let engine = Engine::start().await;
    write_config_and_engine(&kv, &engine).await;
    let min_s = MIN_LEASE_MS.div_ceil(1_000) as u32;
    let connection = Cuttable::new(&kv).with_min_lease_s(min_s);
    let front = start_by(Arc::new(connection.clone()), "front-1", false).await;
    let worker = start_by(Arc::new(connection), "worker-1", true).await;
    ready(&front).await;
    let fleet = Fleet {
        kv,
        engine,
        front,
        worker,
    };
    let front = fleet.front.front;
    let sent = call(front, "POST", "/batch/1", "job-1", r#"["2"]"#);
    assert_eq!(sent.await.0, 202);
    results(&fleet, "job-1", 1).await;
}

/// Guards against rejecting the whole listing because one entry, written by
/// another program under the endpoints' prefix, cannot be decoded: no endpoint
/// would be known and no request served.
#[tokio::test]
async fn entries_of_another_writer_do_not_harm_the_others() {
    let fleet = fleet().await;
    for (key, value) in [
        ("endpoints/x1", &b"no json"[..]),
        ("endpoints/x2", b"[]"),
        ("endpoints/x3", b"{\"id\":7}"),
        ("endpoints/x4", &[0xff, 0x00, 0xfe]),
        ("endpoints/x5", b""),
    ] {
        put(&fleet.kv, key, value.to_vec()).await;
    }
    sleep(Duration::from_millis(400)).await;
    for number in 0..8 {
        let id = format!("r{number}");
        let (status, body) =
            call(fleet.front.front, "POST", "/chat/1", &id, "2").await;
        assert_eq!((status, body.matches("data: ").count()), (200, 2));
    }
}

/// Guards against updating only state and slots for an entry with a known id:
/// when an endpoint restarted under its id at another address, requests were
/// sent to its former address.
#[tokio::test]
async fn an_endpoint_that_started_again_is_used_at_its_new_address() {
    let fleet = fleet().await;
    let restarted = Engine::start().await;
    let record = EndpointRecord {
        started_at: Some(UnixMillis::new(1_764_000_000_000)),
        version: None,
        ..restarted.record("e1")
    };
    let record = serde_json::to_vec(&record).expect("json");
    put(&fleet.kv, "endpoints/e1", record).await;
    sleep(Duration::from_millis(400)).await;
    let before = fleet.engine.runs.lock().expect("lock").len();
    let (status, _) =
        call(fleet.front.front, "POST", "/chat/1", "r1", "2").await;
    assert_eq!(status, 200);
    assert_eq!(restarted.runs.lock().expect("lock").len(), 1);
    assert_eq!(fleet.engine.runs.lock().expect("lock").len(), before);
}

/// Guards against a stopping node that continues its runs without saving them:
/// another node resumed its items from older checkpoints, so items ran twice
/// at the same time around each planned shutdown, while others waited for
/// slots.
#[tokio::test]
async fn a_stopping_node_hands_its_items_over() {
    let fleet = fleet().await;
    let front = fleet.front.front;
    // Gives each worker an endpoint of its own.
    let second = Engine::start().await;
    let record = serde_json::to_vec(&second.record("e2")).expect("json");
    put(&fleet.kv, "endpoints/e2", record).await;
    // The front assigns the job to the only worker that it knows so far.
    sleep(Duration::from_millis(500)).await;
    let sent = call(front, "POST", "/batch/1", "job-1", r#"["1200"]"#);
    assert_eq!(sent.await.0, 202);
    let other = start(&fleet.kv, "worker-2", true).await;
    let runs = || {
        let engines = [&fleet.engine, &second];
        let runs = engines.map(|e| e.runs.lock().expect("lock").clone());
        runs.concat()
    };
    let started = async {
        while runs().is_empty() {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(10), started)
        .await
        .expect("runs");
    sleep(Duration::from_millis(800)).await;
    fleet.worker.stop.send_replace(true);
    let body = results(&fleet, "job-1", 1).await;
    assert!(body.ends_with("+e1200"), "whole");
    let mut runs = runs();
    runs.sort();
    assert_eq!(runs.len(), 2, "{runs:?}");
    assert_eq!(runs[0], "item-0:0");
    let after = runs[1].strip_prefix("item-0:").expect("the item");
    let after: u32 = after.parse().expect("a number");
    assert!(after > 100, "{runs:?}");
    other.stop.send_replace(true);
}
