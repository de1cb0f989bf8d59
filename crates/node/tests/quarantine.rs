//! Quarantine of poison requests, and service of requests that were only
//! running when endpoints crashed.

mod common;

use std::{net::SocketAddr, sync::atomic::Ordering, time::Duration};

use common::{Engines, Node, call, call_until, configure, put, ready, start};
use fleet::{EndpointRecord, EndpointState};
use kv::Memory;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};
use yare::parameterized;

/// Maximum number of times that a request may be sent once it has crashed
/// three endpoints and the crashes have propagated to all nodes.
const MAX_RETRIES: usize = 3;

/// Number of crashes after which a request must be quarantined.
const MAX_CRASHES: usize = 3;

/// Time in which the third crash propagates to all nodes.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Time for which the request is repeated.
const REPEAT_TIME: Duration = Duration::from_secs(9);

struct Fleet {
    engines: Engines,
    fronts: Vec<Node>,
}

async fn fleet(engines: usize, fronts: usize) -> (Memory, Fleet) {
    let kv = Memory::default();
    configure(&kv, None).await;
    let engines = Engines::start(&kv, engines).await;
    let mut nodes = Vec::new();
    for number in 1..=fronts {
        let front = start(&kv, &format!("front-{number}"), false).await;
        ready(&front).await;
        nodes.push(front);
    }
    let fronts = nodes;
    (kv, Fleet { engines, fronts })
}

/// Waits until a request has caused the maximum number of crashes and they
/// have propagated to all nodes, or until a timeout.
async fn wait_for_propagation(engines: &Engines) {
    let until = Instant::now() + REPEAT_TIME / 2;
    while Instant::now() < until {
        if let Some(third) = engines.crashes().get(MAX_CRASHES - 1) {
            let propagated_at = *third + PROPAGATION_TIME;
            return sleep(
                propagated_at.saturating_duration_since(Instant::now()),
            )
            .await;
        }
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a poison request that crashes one endpoint after the other
/// while its caller repeats it at any front, each time with a new id.
#[parameterized(
    resumable_stream = { "/chat/1", "crash 0" },
    stream_that_crashes_midway = { "/chat/1", "crash 3" },
    at_most_once = { "/book/1", "crash 0" },
    before_an_unframed_event = { "/speak/1", "open-crash 0" },
    between_unframed_events = { "/speak/1", "open-crash 3" },
)]
#[test_macro(tokio::test)]
async fn a_request_that_crashes_endpoints_is_sent_no_further(
    path: &'static str,
    body: &'static str,
) {
    let (_kv, fleet) = fleet(5, 3).await;
    let addresses: Vec<_> = fleet.fronts.iter().map(|f| f.front).collect();
    let sender = tokio::spawn(async move {
        let until = Instant::now() + REPEAT_TIME;
        let mut number = 0;
        while Instant::now() < until {
            let front = addresses[number % addresses.len()];
            let id = format!("bad-{number}");
            call(front, "POST", path, &id, body).await;
            number += 1;
            sleep(Duration::from_millis(100)).await;
        }
        number
    });
    wait_for_propagation(&fleet.engines).await;
    let before = fleet.engines.runs_of("bad-");
    let sent = sender.await.expect("task");
    assert!(sent > 20, "too few repetitions of the request: {sent}");
    let after = fleet.engines.runs_of("bad-") - before;
    assert!(after <= MAX_RETRIES, "sent {after} times more");
}

/// Guards against a job's item that crashes one endpoint after the other, and
/// against the loss of the other items of its job.
#[tokio::test]
async fn an_item_that_crashes_endpoints_is_sent_no_further() {
    let (kv, fleet) = fleet(5, 1).await;
    let _worker = start(&kv, "worker-1", true).await;
    let front = fleet.fronts[0].front;
    let job = r#"["30","crash 0","40"]"#;
    let sent = call(front, "POST", "/batch/1", "job-1", job).await;
    assert_eq!(sent.0, 202);
    wait_for_propagation(&fleet.engines).await;
    let before = fleet.engines.runs_of("item-1:");
    sleep(REPEAT_TIME / 2).await;
    let after = fleet.engines.runs_of("item-1:") - before;
    assert!(after <= MAX_RETRIES, "sent {after} times more");
    let (_, page) = call(front, "GET", "/jobs/job-1", "p", "").await;
    assert!(page.contains("item-0 complete"), "{page}");
    assert!(page.contains("item-2 complete"), "{page}");
}

/// Guards against a job, or later jobs with the same path, whose items have
/// different bodies and each crash three endpoints.
#[parameterized(
    one_job = { 1, 6 },
    later_jobs = { 3, 2 },
)]
#[test_macro(tokio::test)]
async fn items_that_crash_endpoints_are_quarantined_together(
    jobs: usize,
    items: usize,
) {
    let (kv, fleet) = fleet(5, 1).await;
    let _worker = start(&kv, "worker-1", true).await;
    let front = fleet.fronts[0].front;
    let sender = tokio::spawn(async move {
        for job in 0..jobs {
            let bodies: Vec<String> = (0..items)
                .map(|item| format!("crash 0 {job} {item}"))
                .collect();
            let body = serde_json::to_string(&bodies).expect("json");
            let id = format!("job-{job}");
            let sent = call(front, "POST", "/batch/1", &id, &body).await;
            assert_eq!(sent.0, 202);
            sleep(Duration::from_secs(1)).await;
        }
    });
    wait_for_propagation(&fleet.engines).await;
    let before = fleet.engines.runs_of("item-");
    sleep(REPEAT_TIME).await;
    sender.await.expect("task");
    let after = fleet.engines.runs_of("item-") - before;
    assert!(after <= MAX_RETRIES, "sent {after} times more");
}

/// Guards against delaying sound jobs because the items of another job crash
/// endpoints.
#[tokio::test]
async fn sound_jobs_beside_one_that_crashes_endpoints_are_done() {
    let (kv, fleet) = fleet(5, 1).await;
    let _worker = start(&kv, "worker-1", true).await;
    let front = fleet.fronts[0].front;
    let bad = r#"["crash 0 1","crash 0 2","crash 0 3","crash 0 4"]"#;
    let sent = call(front, "POST", "/batch/1", "bad", bad).await;
    assert_eq!(sent.0, 202);
    for job in 0..3 {
        let id = format!("sound-{job}");
        let body = r#"["30","40","50"]"#;
        let sent = call(front, "POST", "/batch/1", &id, body).await;
        assert_eq!(sent.0, 202);
        sleep(Duration::from_millis(500)).await;
    }
    for job in 0..3 {
        let path = format!("/jobs/sound-{job}");
        call_until(front, "GET", &path, |_, page| {
            page.matches(" complete ").count() == 3
        })
        .await;
    }
}

/// Maximum attempts of a caller whose request was interrupted or refused.
const MAX_ATTEMPTS: usize = 4;

/// Delay before a caller retries.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Sends a request until its response is complete, and returns the number of
/// the successful attempt.
async fn send_until_complete(
    fronts: &[SocketAddr],
    id: &str,
    events: usize,
) -> Option<usize> {
    for number in 0..MAX_ATTEMPTS {
        let front = fronts[number % fronts.len()];
        let id = format!("{id}-{number}");
        let body = events.to_string();
        let (status, answer) =
            call(front, "POST", "/chat/1", &id, &body).await;
        if status == 200 && answer.matches("data: ").count() == events {
            return Some(number);
        }
        assert!(!answer.contains("crash"), "quarantined: {answer}");
        sleep(RETRY_DELAY).await;
    }
    None
}

/// Starts callers that send requests for the given time. Every second caller
/// sends one request shared by all of them, the others send requests of their
/// own. They return the numbers of served and lost requests.
fn callers(
    fronts: &[SocketAddr],
    count: usize,
    duration: Duration,
) -> JoinSet<(usize, usize)> {
    let mut callers = JoinSet::new();
    for caller in 0..count {
        let fronts = fronts.to_vec();
        callers.spawn(async move {
            let until = Instant::now() + duration;
            let (mut good, mut lost) = (0, 0);
            while Instant::now() < until {
                let events = match caller % 2 {
                    0 => 120,
                    _ => 60 + 17 * caller + good,
                };
                let id = format!("c{caller}-{good}-{lost}");
                match send_until_complete(&fronts, &id, events).await {
                    Some(_) => good += 1,
                    None => lost += 1,
                }
            }
            (good, lost)
        });
    }
    callers
}

async fn total(callers: JoinSet<(usize, usize)>) -> (usize, usize) {
    let all = callers.join_all().await;
    all.into_iter()
        .fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
}

fn quarantined_count(nodes: &[Node]) -> u64 {
    let counters = nodes.iter().map(|node| &node.counters);
    let counts = counters.map(|all| all.requests_held.load(Ordering::Relaxed));
    counts.sum()
}

/// Guards against refusing requests because they ran at endpoints that were
/// killed, one after the other or several at once.
#[parameterized(
    one_by_one = { 1, 300 },
    two_by_two = { 2, 500 },
    nearly_all_at_once = { 4, 900 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn requests_at_killed_endpoints_are_served(
    killed: usize,
    pause_ms: u64,
) {
    let (_kv, fleet) = fleet(5, 3).await;
    let fronts: Vec<_> = fleet.fronts.iter().map(|f| f.front).collect();
    let callers = callers(&fronts, 12, REPEAT_TIME);
    let until = Instant::now() + REPEAT_TIME - Duration::from_secs(1);
    while Instant::now() < until {
        sleep(Duration::from_millis(pause_ms)).await;
        for engine in fleet.engines.alive().iter().take(killed) {
            engine.crash();
        }
    }
    let (good, lost) = total(callers).await;
    assert_eq!(quarantined_count(&fleet.fronts), 0);
    assert!(good > 100, "the callers were busy: {good}");
    assert_eq!(lost, 0, "of {good}");
}

/// Guards against refusing requests because they ran next to a poison request.
#[tokio::test(flavor = "multi_thread")]
async fn requests_next_to_one_that_crashes_endpoints_are_served() {
    let (_kv, fleet) = fleet(6, 3).await;
    let fronts: Vec<_> = fleet.fronts.iter().map(|f| f.front).collect();
    let callers = callers(&fronts, 12, REPEAT_TIME);
    let until = Instant::now() + REPEAT_TIME;
    let mut number = 0;
    while Instant::now() < until {
        for bad in ["crash 0", "crash 00", "crash 000"] {
            let front = fronts[number % fronts.len()];
            let id = format!("bad-{number}");
            tokio::spawn(async move {
                call(front, "POST", "/book/1", &id, bad).await
            });
            number += 1;
            sleep(Duration::from_millis(70)).await;
        }
    }
    let (good, lost) = total(callers).await;
    assert!(good > 100, "the callers were busy: {good}");
    assert_eq!(lost, 0, "of {good}");
    let crashes = fleet.engines.crashes().len();
    assert!(crashes >= 3 * MAX_CRASHES, "{crashes} crashes");
}

/// Guards against delaying items because their endpoints were killed.
#[tokio::test(flavor = "multi_thread")]
async fn items_at_killed_endpoints_are_done() {
    let (kv, fleet) = fleet(5, 1).await;
    let worker = start(&kv, "worker-1", true).await;
    let front = fleet.fronts[0].front;
    let items: Vec<String> =
        (0..12).map(|at| (400 + at).to_string()).collect();
    let job = serde_json::to_string(&items).expect("json");
    let sent = call(front, "POST", "/batch/1", "job-1", &job).await;
    assert_eq!(sent.0, 202);
    let until = Instant::now() + Duration::from_secs(5);
    while Instant::now() < until {
        sleep(Duration::from_millis(250)).await;
        if let Some(engine) = fleet.engines.alive().first() {
            engine.crash();
        }
    }
    call_until(front, "GET", "/jobs/job-1", |_, page| {
        page.matches(" complete ").count() == items.len()
    })
    .await;
    assert_eq!(quarantined_count(&[worker]), 0);
}

/// Number of endpoints that are killed under one item, one after the other.
const UNLUCKY_RUNS: usize = 5;

/// Time in which an item must run again once endpoints are no longer killed.
const ITEM_RETURN_TIME: Duration = Duration::from_secs(5);

/// Kills the engine that runs an item, as soon as the item runs there.
async fn kill_under_item(engines: &Engines) {
    let until = Instant::now() + ITEM_RETURN_TIME;
    loop {
        let alive = engines.alive();
        let mut running = alive.iter().filter(|one| one.run_count() > 0);
        if let Some(engine) = running.next() {
            return engine.crash();
        }
        assert!(Instant::now() < until, "the item is left lying");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against an item that is left lying for minutes although there is
/// room, because endpoints were killed under it several times in a row.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_under_which_endpoints_were_killed_is_run_again() {
    let kv = Memory::default();
    configure(&kv, None).await;
    let engines = Engines::start(&kv, UNLUCKY_RUNS + 3).await;
    let front = start(&kv, "front-1", false).await;
    ready(&front).await;
    let _worker = start(&kv, "worker-1", true).await;
    let body = r#"["pause-head 150 30"]"#;
    let sent = call(front.front, "POST", "/batch/1", "job-1", body).await;
    assert_eq!(sent.0, 202);
    for _ in 0..UNLUCKY_RUNS {
        kill_under_item(&engines).await;
    }
    let before = engines.runs_of("item-0:");
    let until = Instant::now() + ITEM_RETURN_TIME;
    while engines.runs_of("item-0:") == before {
        assert!(Instant::now() < until, "the item is left lying");
        sleep(Duration::from_millis(10)).await;
    }
    call_until(front.front, "GET", "/jobs/job-1", |_, page| {
        page.contains("item-0 complete")
    })
    .await;
}

/// Guards against quarantining requests because their draining endpoints shut
/// down while they ran.
#[tokio::test]
async fn the_end_of_a_draining_endpoint_is_no_crash() {
    let (kv, fleet) = fleet(1, 1).await;
    let front = fleet.fronts[0].front;
    let running = tokio::spawn(async move {
        call(front, "POST", "/chat/1", "r1", "4000").await
    });
    let engine = fleet.engines.alive()[0].clone();
    while engine.run_count() == 0 {
        sleep(Duration::from_millis(5)).await;
    }
    let record = EndpointRecord {
        state: EndpointState::Draining,
        ..engine.record("engine-1")
    };
    let record = serde_json::to_vec(&record).expect("json");
    put(&kv, "endpoints/engine-1", record).await;
    sleep(Duration::from_millis(400)).await;
    engine.crash();
    running.await.expect("task");
    let counters = &fleet.fronts[0].counters;
    assert_eq!(counters.runs_cut_off.load(Ordering::Relaxed), 1);
    sleep(Duration::from_millis(400)).await;
    assert_eq!(counters.endpoints_crashed.load(Ordering::Relaxed), 0);
}

/// Guards against quarantining requests because their endpoints stopped
/// responding.
#[tokio::test]
async fn an_endpoint_that_falls_silent_has_not_crashed() {
    let (_kv, fleet) = fleet(3, 1).await;
    let front = fleet.fronts[0].front;
    for number in 0..3 {
        let id = format!("r{number}");
        call(front, "POST", "/chat/1", &id, "silent").await;
    }
    let counters = &fleet.fronts[0].counters;
    assert_eq!(counters.endpoints_crashed.load(Ordering::Relaxed), 0);
    assert_eq!(quarantined_count(&fleet.fronts), 0);
}

/// Guards against poison requests that crash endpoints again after each
/// restart of the nodes.
#[tokio::test]
async fn a_front_that_starts_later_forwards_no_quarantined_request() {
    let (kv, fleet) = fleet(5, 1).await;
    let until = Instant::now() + REPEAT_TIME;
    let mut number = 0;
    while quarantined_count(&fleet.fronts) == 0 {
        let id = format!("bad-{number}");
        let front = fleet.fronts[0].front;
        call(front, "POST", "/book/1", &id, "crash 0").await;
        number += 1;
        assert!(Instant::now() < until, "never quarantined");
        sleep(Duration::from_millis(50)).await;
    }
    let later = start(&kv, "front-2", false).await;
    ready(&later).await;
    let before = fleet.engines.runs_of("bad-");
    let (status, answer) =
        call(later.front, "POST", "/book/1", "bad-x", "crash 0").await;
    assert_eq!(status, 503, "{answer}");
    assert!(answer.contains("\"ran\":\"no\""), "{answer}");
    assert_eq!(fleet.engines.runs_of("bad-"), before);
}
