//! Requests that crash the endpoints that run them, and requests that were
//! merely running when endpoints ended.

mod common;

use std::time::Duration;

use common::{Engines, Node, call, configure, ready, start};
use kv::Memory;
use tokio::time::{Instant, sleep};
use yare::parameterized;

/// Times that a request may be sent again once it has crashed three
/// endpoints and all nodes have had the time to hear of it.
const RETRIES_MOST: usize = 3;

/// Crashes after which a request is not to be sent any more.
const CRASHES_MOST: usize = 3;

/// Time in which all nodes hear of a third crash.
const SPREAD: Duration = Duration::from_secs(3);

/// Time for which the request comes again and again.
const REPEATED: Duration = Duration::from_secs(9);

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

/// Waits until a request has crashed as many engines as it may, and all
/// nodes have had the time to hear of it, or the time is up.
async fn spread(engines: &Engines) {
    let until = Instant::now() + REPEATED / 2;
    while Instant::now() < until {
        if let Some(third) = engines.crashes().get(CRASHES_MOST - 1) {
            let heard = *third + SPREAD;
            return sleep(heard.saturating_duration_since(Instant::now()))
                .await;
        }
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a request that crashes one endpoint after the other as its
/// caller sends it again, to any front and with a new id each time.
#[parameterized(
    resumable_stream = { "/chat/1", "crash 0" },
    stream_that_crashes_midway = { "/chat/1", "crash 3" },
    at_most_once = { "/book/1", "crash 0" },
)]
#[test_macro(tokio::test)]
async fn a_request_that_crashes_endpoints_is_sent_no_further(
    path: &'static str,
    body: &'static str,
) {
    let (_kv, fleet) = fleet(5, 3).await;
    let addresses: Vec<_> = fleet.fronts.iter().map(|f| f.front).collect();
    let sender = tokio::spawn(async move {
        let until = Instant::now() + REPEATED;
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
    spread(&fleet.engines).await;
    let before = fleet.engines.runs_of("bad-");
    let sent = sender.await.expect("task");
    assert!(sent > 20, "the request came again: {sent}");
    let after = fleet.engines.runs_of("bad-") - before;
    assert!(after <= RETRIES_MOST, "sent {after} times more");
}

/// Guards against an item of a job that crashes one endpoint after the other,
/// and against the loss of the other items of its job.
#[tokio::test]
async fn an_item_that_crashes_endpoints_is_sent_no_further() {
    let (kv, fleet) = fleet(5, 1).await;
    let _worker = start(&kv, "worker-1", true).await;
    let front = fleet.fronts[0].front;
    let job = r#"["30","crash 0","40"]"#;
    let sent = call(front, "POST", "/batch/1", "job-1", job).await;
    assert_eq!(sent.0, 202);
    spread(&fleet.engines).await;
    let before = fleet.engines.runs_of("item-1:");
    sleep(REPEATED / 2).await;
    let after = fleet.engines.runs_of("item-1:") - before;
    assert!(after <= RETRIES_MOST, "sent {after} times more");
    let (_, page) = call(front, "GET", "/jobs/job-1", "p", "").await;
    assert!(page.contains("item-0 complete"), "{page}");
    assert!(page.contains("item-2 complete"), "{page}");
}
