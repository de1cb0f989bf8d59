//! Endpoints of several software versions serve side by side: a stream or an
//! item goes on only at the version that began it.

mod common;

use std::time::Duration;

use common::{
    Engine, Node, call, call_until, call_with, put, ready, start,
    write_config_and_engine,
};
use fleet::EndpointRecord;
use jobs::{RunnerOptions, checkpoint_key, decode_manifest, manifest_key};
use kv::{Kv, Memory, Op, Txn};
use tokio::time::{sleep, timeout};

/// Time in which all nodes know a change of the endpoints.
const PROPAGATION: Duration = Duration::from_millis(600);

/// Time for which a client may come back to a stream: the timeout of the route
/// and a margin.
const ORIGIN_LIFETIME: Duration = Duration::from_secs(10);

async fn register(kv: &Memory, engine: &Engine, id: &str) {
    let record = serde_json::to_vec(&engine.record(id)).expect("json");
    put(kv, &format!("endpoints/{id}"), record).await;
}

async fn remove(kv: &Memory, id: &str) {
    let key = format!("endpoints/{id}");
    let txn = Txn {
        success: vec![Op::Delete { key }],
        ..Txn::default()
    };
    kv.txn(txn).await.expect("written");
}

async fn start_front(kv: &Memory, name: &str) -> Node {
    let front = start(kv, name, false).await;
    ready(&front).await;
    front
}

/// Resumes a stream as a client does whose earlier attempt broke off.
async fn take_up(
    front: &Node,
    id: &str,
    first: &str,
    after: u32,
    body: &str,
) -> (u16, String) {
    let headers = format!("x-resume: {after}\r\nx-resumes: {first}\r\n");
    call_with(front.front, "POST", "/chat/1", id, &headers, body).await
}

fn data(body: &str) -> Vec<&str> {
    body.lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .collect()
}

fn run_count(engine: &Engine, id: &str) -> usize {
    let runs = engine.runs.lock().expect("lock");
    runs.iter().filter(|run| run.starts_with(id)).count()
}

/// Waits until a condition holds.
async fn until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(Duration::from_secs(10), wait)
        .await
        .expect("in time");
}

/// Guards against a response whose later events are those of another version
/// than the first ones.
#[tokio::test]
async fn a_response_does_not_go_on_at_another_version() {
    let kv = Memory::default();
    let first = Engine::start().await;
    write_config_and_engine(&kv, &first).await;
    let front = start_front(&kv, "front-1").await;
    let begun = tokio::spawn(async move {
        call(front.front, "POST", "/chat/1", "r1", "cut 400").await
    });
    until(|| run_count(&first, "r1:") > 0).await;
    let other = Engine::start_version("f").await;
    register(&kv, &other, "e2").await;
    let (_, body) = begun.await.expect("a response");
    let all = data(&body);
    assert!(all.len() >= 200, "{:?}", all.last());
    assert!(all.iter().all(|event| event.starts_with('e')));
    assert_eq!(other.run_count(), 0);
}

/// Guards against a response that goes on at another version because no
/// endpoint of its own is left.
#[tokio::test]
async fn a_response_whose_version_is_gone_ends_incomplete() {
    let kv = Memory::default();
    let first = Engine::start().await;
    write_config_and_engine(&kv, &first).await;
    let front = start_front(&kv, "front-1").await;
    let begun = tokio::spawn(async move {
        call(front.front, "POST", "/chat/1", "r1", "400").await
    });
    until(|| run_count(&first, "r1:") > 0).await;
    let other = Engine::start_version("f").await;
    register(&kv, &other, "e2").await;
    sleep(Duration::from_millis(300)).await;
    first.crash();
    let (_, body) = begun.await.expect("a response");
    let all = data(&body);
    assert!((1..400).contains(&all.len()), "{}", all.len());
    assert!(all.iter().all(|event| event.starts_with('e')));
    assert_eq!(other.run_count(), 0);
}

/// Guards against a stream that a client takes up at another front, and that
/// goes on there at another version.
#[tokio::test]
async fn a_stream_that_a_client_takes_up_goes_on_at_its_version() {
    let kv = Memory::default();
    let engines = [
        Engine::start().await,
        Engine::start_version("f").await,
        Engine::start_version("g").await,
    ];
    write_config_and_engine(&kv, &engines[0]).await;
    register(&kv, &engines[1], "e2").await;
    register(&kv, &engines[2], "e3").await;
    let workers = [
        start(&kv, "worker-1", true).await,
        start(&kv, "worker-2", true).await,
    ];
    let fronts = [
        start_front(&kv, "front-1").await,
        start_front(&kv, "front-2").await,
    ];
    sleep(PROPAGATION).await;
    for number in 0..24 {
        let id = format!("begun-{number}");
        let (status, body) =
            call(fronts[0].front, "POST", "/chat/1", &id, "4").await;
        assert_eq!((status, data(&body).len()), (200, 4));
        let version = &data(&body)[0][..1];
        let again = format!("again-{number}");
        let (status, rest) = take_up(&fronts[1], &again, &id, 2, "4").await;
        assert_eq!(status, 200, "{rest}");
        let expected = [format!("{version}3"), format!("{version}4")];
        assert_eq!(data(&rest), expected, "{id}");
    }
    for worker in workers {
        worker.stop.send_replace(true);
    }
}

/// Guards against a stream that goes on at the version of an equal request: its
/// client does not name the first attempt, the front that began it and all
/// holders of its origin are gone, and the endpoints of its version as well.
#[tokio::test]
async fn an_unnamed_stream_whose_holders_are_gone_does_not_change_its_version()
{
    let kv = Memory::default();
    let engines = [Engine::start().await, Engine::start_version("f").await];
    write_config_and_engine(&kv, &engines[0]).await;
    let start_worker = |name| start(&kv, name, true);
    let before = [start_worker("w-1").await, start_worker("w-2").await];
    let front = start_front(&kv, "front-1").await;
    sleep(PROPAGATION).await;
    let (status, _) = call(front.front, "POST", "/chat/1", "first", "4").await;
    assert_eq!(status, 200);
    for worker in before {
        worker.stop.send_replace(true);
        worker.task.await.expect("stopped");
    }
    register(&kv, &engines[1], "e2").await;
    remove(&kv, "e1").await;
    let _after = [start_worker("w-3").await, start_worker("w-4").await];
    let front = start_front(&kv, "front-2").await;
    sleep(PROPAGATION).await;
    let (status, _) =
        call(front.front, "POST", "/chat/1", "second", "4").await;
    assert_eq!(status, 200);
    let headers = "x-resume: 2\r\n";
    let (status, rest) =
        call_with(front.front, "POST", "/chat/1", "again", headers, "4").await;
    assert_eq!(status, 503, "{rest}");
}

/// Guards against a front that resumes a stream of another front at the version
/// of an equal request of its own: only the holders know of both.
#[tokio::test]
async fn an_unnamed_stream_of_equal_requests_is_refused_at_each_front() {
    let kv = Memory::default();
    let engines = [Engine::start().await, Engine::start_version("f").await];
    write_config_and_engine(&kv, &engines[0]).await;
    let workers = [
        start(&kv, "worker-1", true).await,
        start(&kv, "worker-2", true).await,
    ];
    let fronts = [
        start_front(&kv, "front-1").await,
        start_front(&kv, "front-2").await,
    ];
    sleep(PROPAGATION).await;
    let unnamed = async |front: &Node| {
        let headers = "x-resume: 2\r\n";
        call_with(front.front, "POST", "/chat/1", "again", headers, "4").await
    };
    // A front that has just started does not know which versions were in
    // service before.
    assert_eq!(unnamed(&fronts[1]).await.0, 503);
    sleep(ORIGIN_LIFETIME).await;
    let (status, _) =
        call(fronts[0].front, "POST", "/chat/1", "first", "4").await;
    assert_eq!(status, 200);
    let (status, rest) = unnamed(&fronts[1]).await;
    assert_eq!((status, data(&rest)), (200, vec!["e3", "e4"]));
    register(&kv, &engines[1], "e2").await;
    remove(&kv, "e1").await;
    sleep(PROPAGATION).await;
    let (status, _) =
        call(fronts[1].front, "POST", "/chat/1", "second", "4").await;
    assert_eq!(status, 200);
    for front in &fronts {
        assert_eq!(unnamed(front).await.0, 503);
    }
    let (status, rest) = take_up(&fronts[0], "third", "second", 2, "4").await;
    assert_eq!((status, data(&rest)), (200, vec!["f3", "f4"]));
    for worker in workers {
        worker.stop.send_replace(true);
    }
}

/// Guards against a stream that goes on at the version that its endpoint had in
/// the list, while the endpoint had restarted with another one under its id.
#[tokio::test]
async fn a_stream_whose_endpoint_changed_its_version_unnoticed_is_refused() {
    let kv = Memory::default();
    let engines = [Engine::start_version("f").await, Engine::start().await];
    write_config_and_engine(&kv, &engines[0]).await;
    let listed = EndpointRecord {
        version: engines[1].record("e2").version,
        ..engines[0].record("e1")
    };
    let listed = serde_json::to_vec(&listed).expect("json");
    put(&kv, "endpoints/e1", listed).await;
    let workers = [
        start(&kv, "worker-1", true).await,
        start(&kv, "worker-2", true).await,
    ];
    let fronts = [
        start_front(&kv, "front-1").await,
        start_front(&kv, "front-2").await,
    ];
    sleep(PROPAGATION).await;
    let (status, body) =
        call(fronts[0].front, "POST", "/chat/1", "first", "4").await;
    assert_eq!((status, data(&body)[0]), (200, "f1"));
    register(&kv, &engines[0], "e1").await;
    register(&kv, &engines[1], "e2").await;
    sleep(PROPAGATION).await;
    for front in &fronts {
        let (status, rest) = take_up(front, "again", "first", 2, "4").await;
        assert_eq!(status, 503, "{rest}");
    }
    for worker in workers {
        worker.stop.send_replace(true);
    }
}

/// Guards against a stream whose first attempt is not known, and that goes on
/// at whatever version is at hand.
#[tokio::test]
async fn a_stream_that_nobody_knows_is_refused() {
    let kv = Memory::default();
    let engine = Engine::start().await;
    write_config_and_engine(&kv, &engine).await;
    let worker = start(&kv, "worker-1", true).await;
    let front = start_front(&kv, "front-1").await;
    let (status, _) = take_up(&front, "again", "never-sent", 2, "4").await;
    assert_eq!(status, 503);
    let headers = "x-resume: 2\r\n";
    let unnamed =
        call_with(front.front, "POST", "/chat/1", "again", headers, "4");
    assert_eq!(unnamed.await.0, 503);
    assert_eq!(engine.run_count(), 0);
    worker.stop.send_replace(true);
}

/// Guards against an item whose output is that of two versions, because it
/// goes on at another one when its own is gone.
#[tokio::test]
async fn an_item_begins_anew_when_its_version_is_gone() {
    let kv = Memory::default();
    let first = Engine::start().await;
    write_config_and_engine(&kv, &first).await;
    let front = start_front(&kv, "front-1").await;
    let worker = start(&kv, "worker-1", true).await;
    let sent =
        call(front.front, "POST", "/batch/1", "job-1", r#"["cut 800"]"#);
    assert_eq!(sent.await.0, 202);
    until(|| run_count(&first, "item-0:") > 0).await;
    let other = Engine::start_version("f").await;
    register(&kv, &other, "e2").await;
    remove(&kv, "e1").await;
    let (_, body) =
        call_until(front.front, "GET", "/jobs/job-1", |_, body| {
            body.starts_with("1 1\n")
        })
        .await;
    let output = body.lines().nth(1).unwrap_or_default();
    let output = output.strip_prefix("item-0 complete ").expect("complete");
    let versions: Vec<&str> = output.split('+').map(|e| &e[..1]).collect();
    assert_eq!(versions, ["f"; 800]);
    worker.stop.send_replace(true);
}

/// Guards against an item that goes on at the version that its endpoint had in
/// the list, while the endpoint had restarted with another one under its id.
#[tokio::test]
async fn an_item_whose_endpoint_changed_its_version_unnoticed_begins_anew() {
    let kv = Memory::default();
    let engines = [Engine::start_version("f").await, Engine::start().await];
    write_config_and_engine(&kv, &engines[0]).await;
    let listed = EndpointRecord {
        version: engines[1].record("e2").version,
        ..engines[0].record("e1")
    };
    let listed = serde_json::to_vec(&listed).expect("json");
    put(&kv, "endpoints/e1", listed).await;
    let front = start_front(&kv, "front-1").await;
    let worker = start(&kv, "worker-1", true).await;
    let sent = call(front.front, "POST", "/batch/1", "job-1", r#"["400"]"#);
    assert_eq!(sent.await.0, 202);
    until(|| engines[0].run_count() > 0).await;
    // The item then waits as long for an endpoint of its version.
    sleep(Duration::from_millis(600)).await;
    engines[0].crash();
    register(&kv, &engines[0], "e1").await;
    register(&kv, &engines[1], "e2").await;
    let (_, body) =
        call_until(front.front, "GET", "/jobs/job-1", |_, body| {
            body.starts_with("1 1\n")
        })
        .await;
    let output = body.lines().nth(1).unwrap_or_default();
    let output = output.strip_prefix("item-0 complete ").expect("complete");
    let versions: Vec<&str> = output.split('+').map(|e| &e[..1]).collect();
    assert_eq!(versions, ["e"; 400]);
    worker.stop.send_replace(true);
}

/// Guards against an item that goes on from a checkpoint that does not say
/// which version wrote it.
#[tokio::test]
async fn an_item_begins_anew_from_a_checkpoint_without_a_version() {
    let kv = Memory::default();
    let engine = Engine::start().await;
    write_config_and_engine(&kv, &engine).await;
    let front = start_front(&kv, "front-1").await;
    let sent = call(front.front, "POST", "/batch/1", "job-1", r#"["4"]"#);
    assert_eq!(sent.await.0, 202);
    let job = "job-1".parse().expect("a job");
    let found = kv.get(&manifest_key(&job)).await.expect("read");
    let head = decode_manifest(&found.kvs[0].value).expect("a manifest");
    let table = br#"[{"number":0,"last_id":3,"events":3,"ran_ms":10,"output_bytes":8}]"#;
    let mut value = (table.len() as u32).to_le_bytes().to_vec();
    value.extend_from_slice(table);
    value.extend_from_slice(b"x1\nx2\nx3");
    put(&kv, &checkpoint_key(&job, head.submitted_at), value).await;
    // Checkpoints of new jobs are not read, since they have none.
    let interval_ms = RunnerOptions::default().checkpoint_interval_ms;
    sleep(Duration::from_millis(interval_ms + 100)).await;
    let worker = start(&kv, "worker-1", true).await;
    let (_, body) =
        call_until(front.front, "GET", "/jobs/job-1", |_, body| {
            body.starts_with("1 1\n")
        })
        .await;
    assert!(body.contains("item-0 complete e1+e2+e3+e4"), "{body}");
    worker.stop.send_replace(true);
}
