//! Detection of endpoint crashes by the nodes that send requests to them.

mod common;

use std::{sync::atomic::Ordering, time::Duration};

use common::{Engine, Node, call, put, ready, start, write_config_and_engine};
use kv::Memory;
use tokio::time::{sleep, timeout};

async fn start_front(engines: &[&Engine]) -> (Memory, Node) {
    let kv = Memory::default();
    write_config_and_engine(&kv, engines[0]).await;
    for (number, engine) in (2..).zip(&engines[1..]) {
        let id = format!("e{number}");
        let record = serde_json::to_vec(&engine.record(&id)).expect("json");
        put(&kv, &format!("endpoints/{id}"), record).await;
    }
    let front = start(&kv, "front-1", false).await;
    ready(&front).await;
    (kv, front)
}

/// Guards against endpoint crashes that are missing from the counters.
#[tokio::test]
async fn an_endpoint_that_crashes_is_counted_once() {
    let engine = Engine::start().await;
    let (_kv, front) = start_front(&[&engine]).await;
    let other = tokio::spawn(async move {
        call(front.front, "POST", "/chat/1", "r1", "4000").await
    });
    while engine.run_count() == 0 {
        sleep(Duration::from_millis(5)).await;
    }
    call(front.front, "POST", "/chat/1", "r2", "crash").await;
    other.await.expect("task");
    let counters = front.counters.clone();
    let counted = async {
        while counters.endpoints_crashed.load(Ordering::Relaxed) == 0 {
            sleep(Duration::from_millis(10)).await;
        }
    };
    let counted = timeout(Duration::from_secs(10), counted).await;
    counted.expect("in time");
    sleep(Duration::from_millis(500)).await;
    assert_eq!(counters.endpoints_crashed.load(Ordering::Relaxed), 1);
    assert!(counters.runs_cut_off.load(Ordering::Relaxed) >= 2);
}

/// Guards against counting broken connections as crashes.
#[tokio::test]
async fn an_endpoint_that_breaks_a_connection_has_not_crashed() {
    let engines = [Engine::start().await, Engine::start().await];
    let (_kv, front) = start_front(&[&engines[0], &engines[1]]).await;
    let (status, body) =
        call(front.front, "POST", "/chat/1", "r1", "cut 6").await;
    assert_eq!((status, body.matches("data: ").count()), (200, 6));
    sleep(Duration::from_millis(600)).await;
    let counters = &front.counters;
    assert_eq!(counters.runs_cut_off.load(Ordering::Relaxed), 1);
    assert_eq!(counters.endpoints_crashed.load(Ordering::Relaxed), 0);
}
