//! Quarantine of a part of prompts that crashes endpoints, beside sound
//! requests that share the other parts.

mod common;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use common::{
    CRASHING_PART, Cuttable, Engines, Node, call_with, configure, ready,
    start, start_by,
};
use kv::Memory;
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};
use yare::parameterized;

/// Number of crashes after which a part must be quarantined.
const MAX_CRASHES: usize = 5;

/// Maximum number of requests with the part that may be sent later.
const MAX_LATE_SENDS: usize = 3;

/// Time in which the last of these crashes propagates to all nodes.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Time for which requests with the part come.
const DURATION: Duration = Duration::from_secs(12);

/// Part that all requests of the route share.
const FIRST_PART: &str = "f1";

struct Fleet {
    engines: Engines,
    fronts: Vec<Node>,
    stores: Vec<Cuttable>,
}

async fn fleet(engines: usize, fronts: usize) -> (Memory, Fleet) {
    let kv = Memory::default();
    configure(&kv, None).await;
    let engines = Engines::start(&kv, engines).await;
    let mut fleet = Fleet {
        engines,
        fronts: Vec::new(),
        stores: Vec::new(),
    };
    for number in 1..=fronts {
        let store = Cuttable::new(&kv);
        let name = format!("front-{number}");
        let front = start_by(Arc::new(store.clone()), &name, false).await;
        ready(&front).await;
        fleet.fronts.push(front);
        fleet.stores.push(store);
    }
    (kv, fleet)
}

fn addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.fronts.iter().map(|front| front.front).collect()
}

fn prompt(shared: &[&str], number: usize) -> String {
    let shared: String =
        shared.iter().map(|id| format!("{id}:100,")).collect();
    format!("x-prompt: {shared}own{number}:250\r\n")
}

/// Sends requests with the part, each with a content of its own, to all fronts
/// in turn. Returns their number.
fn send_crashing(
    fronts: Vec<SocketAddr>,
    path: &'static str,
    shared: &'static [&'static str],
    pause: Duration,
) -> JoinHandle<usize> {
    tokio::spawn(async move {
        let until = Instant::now() + DURATION;
        let mut number = 0;
        while Instant::now() < until {
            let front = fronts[number % fronts.len()];
            let id = format!("bad-{number}");
            let prompt = prompt(shared, number);
            let body = format!("10 of {number}");
            tokio::spawn(async move {
                call_with(front, "POST", path, &id, &prompt, &body).await
            });
            number += 1;
            sleep(pause).await;
        }
        number
    })
}

/// Sends sound requests one after the other for the given time. Returns how
/// many were sent, and how many were complete at the first attempt.
fn send_sound(
    front: SocketAddr,
    name: &'static str,
    shared: &'static [&'static str],
    duration: Duration,
) -> JoinHandle<(usize, usize)> {
    tokio::spawn(async move {
        let until = Instant::now() + duration;
        let (mut sent, mut complete) = (0, 0);
        while Instant::now() < until {
            let id = format!("{name}-{sent}");
            let prompt = prompt(shared, sent);
            let (status, answer) =
                call_with(front, "POST", "/chat/1", &id, &prompt, "30").await;
            let events = answer.matches("data: ").count();
            complete += usize::from(status == 200 && events == 30);
            sent += 1;
            sleep(Duration::from_millis(20)).await;
        }
        (sent, complete)
    })
}

/// Waits until the part has crashed the maximum number of endpoints and this
/// has propagated to all nodes.
async fn wait_for_propagation(engines: &Engines) {
    let until = Instant::now() + DURATION;
    while Instant::now() < until {
        if let Some(last) = engines.crashes().get(MAX_CRASHES - 1) {
            let propagated_at = *last + PROPAGATION_TIME;
            tokio::time::sleep_until(propagated_at).await;
            return;
        }
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a part of prompts that crashes one endpoint after the other
/// in requests that have nothing else in common.
#[parameterized(
    at_most_once = { "/book/1", &[FIRST_PART, CRASHING_PART], 100 },
    resumable_stream = { "/chat/1", &[FIRST_PART, CRASHING_PART], 100 },
    in_the_middle = { "/book/1", &[FIRST_PART, CRASHING_PART, "s2"], 100 },
    inside_an_unframed_event = {
        "/speak/1", &[FIRST_PART, CRASHING_PART], 100
    },
    alone = { "/book/1", &[CRASHING_PART], 100 },
    many_at_once = { "/book/1", &[FIRST_PART, CRASHING_PART], 20 },
    seldom = { "/book/1", &[FIRST_PART, CRASHING_PART], 900 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn requests_with_a_part_that_crashes_endpoints_are_sent_no_further(
    path: &'static str,
    shared: &'static [&'static str],
    pause_ms: u64,
) {
    let (_kv, fleet) = fleet(6, 3).await;
    let fronts = addresses(&fleet);
    let sound = send_sound(fronts[0], "sound", &[FIRST_PART, "s2"], DURATION);
    let pause = Duration::from_millis(pause_ms);
    let sender = send_crashing(fronts, path, shared, pause);
    wait_for_propagation(&fleet.engines).await;
    let before = fleet.engines.runs_of("bad-");
    let sent = sender.await.expect("task");
    sound.await.expect("task");
    assert!(sent > 2 * MAX_CRASHES, "too few requests: {sent}");
    let late = fleet.engines.runs_of("bad-") - before;
    assert!(late <= MAX_LATE_SENDS, "sent {late} times more");
}

/// Guards against refusing sound requests that share all parts but one with
/// requests that crash endpoints.
#[tokio::test(flavor = "multi_thread")]
async fn sound_requests_that_share_the_other_parts_are_served() {
    let (_kv, fleet) = fleet(6, 3).await;
    let fronts = addresses(&fleet);
    let shared = &[FIRST_PART, CRASHING_PART, "s2"];
    let pause = Duration::from_millis(100);
    let sender = send_crashing(fronts.clone(), "/book/1", shared, pause);
    wait_for_propagation(&fleet.engines).await;
    let left = Duration::from_secs(4);
    let sound = fronts.iter().flat_map(|front| {
        [
            send_sound(*front, "first", &[FIRST_PART], left),
            send_sound(*front, "other", &[FIRST_PART, "s2"], left),
        ]
    });
    for task in sound.collect::<Vec<_>>() {
        let (sent, complete) = task.await.expect("task");
        assert!(sent >= 20, "too few requests: {sent}");
        assert!(2 * complete >= sent, "{complete} of {sent} are complete");
    }
    sender.await.expect("task");
}

/// Guards against nodes that each let a part crash endpoints while the
/// key-value service is away, and against a node that forgets by a restart.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_share_evidence_on_parts_without_the_key_value_service() {
    let (_kv, mut fleet) = fleet(45, 4).await;
    let fronts = addresses(&fleet);
    sleep(Duration::from_millis(500)).await;
    for store in &fleet.stores {
        store.set_cut(true);
    }
    let shared = &[FIRST_PART, CRASHING_PART];
    let pause = Duration::from_millis(250);
    let sender = send_crashing(fronts.clone(), "/book/1", shared, pause);
    wait_for_propagation(&fleet.engines).await;
    let before = fleet.engines.runs_of("bad-");
    let restarted = fleet.stores[3].clone();
    fleet.fronts[3].stop.send_replace(true);
    sleep(Duration::from_millis(500)).await;
    let again = start_by(Arc::new(restarted), "front-4b", false).await;
    sender.await.expect("task");
    for number in 0..20 {
        let id = format!("bad-again-{number}");
        let prompt = prompt(shared, number);
        call_with(again.front, "POST", "/book/1", &id, &prompt, "10").await;
        sleep(Duration::from_millis(50)).await;
    }
    fleet.fronts.push(again);
    let late = fleet.engines.runs_of("bad-") - before;
    assert!(late <= MAX_LATE_SENDS, "sent {late} times more");
}

/// Guards against a node that sends requests with a quarantined part because
/// it has just started.
#[tokio::test(flavor = "multi_thread")]
async fn a_front_that_starts_later_forwards_no_quarantined_part() {
    let (kv, fleet) = fleet(6, 2).await;
    let shared = &[FIRST_PART, CRASHING_PART];
    let pause = Duration::from_millis(100);
    let sender = send_crashing(addresses(&fleet), "/book/1", shared, pause);
    wait_for_propagation(&fleet.engines).await;
    let later = start(&kv, "front-3", false).await;
    ready(&later).await;
    let before = fleet.engines.runs_of("bad-later-");
    for number in 0..20 {
        let id = format!("bad-later-{number}");
        let prompt = prompt(shared, number);
        let (status, answer) =
            call_with(later.front, "POST", "/book/1", &id, &prompt, "10")
                .await;
        assert_eq!(status, 503, "{answer}");
        assert!(answer.contains("\"ran\":\"no\""), "{answer}");
    }
    assert_eq!(fleet.engines.runs_of("bad-later-"), before);
    sender.await.expect("task");
}
