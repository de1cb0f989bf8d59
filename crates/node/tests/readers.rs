//! Nodes that hear of changes from other nodes instead of the key-value
//! service.

mod common;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use common::{
    Cuttable, Engine, Node, StoredConfig, call_until, put, ready, routes,
    start, start_by, write_config_and_engine,
};
use fleet::Route;
use kv::Memory;
use tokio::time::sleep;

const NODES: usize = 6;

/// Between the second that news take at the most past a reader that is cut
/// off and the 3.5 s for which its last word counts.
const LATE: Duration = Duration::from_millis(2_600);

/// Between the 0.75 s for which a reader's word counts in these tests, where
/// news have a second, and the 2.5 s for which it counted before.
const LATE_BY_BOTH: Duration = Duration::from_millis(1_700);

async fn fronts(kv: &Memory) -> Vec<Node> {
    let mut nodes = Vec::new();
    for number in 0..NODES {
        nodes.push(start(kv, &format!("front-{number}"), false).await);
    }
    for node in &nodes {
        ready(node).await;
    }
    // All nodes have heard of each other once their entries have spread.
    sleep(Duration::from_millis(1_500)).await;
    nodes
}

/// Starts fronts with ways of their own to the key-value service.
async fn cuttable_fronts(kv: &Memory) -> Vec<(Node, Cuttable)> {
    let mut nodes = Vec::new();
    for number in 0..NODES {
        let way = Cuttable::new(kv);
        let name = format!("front-{number}");
        let node = start_by(Arc::new(way.clone()), &name, false).await;
        nodes.push((node, way));
    }
    for (node, _) in &nodes {
        ready(node).await;
    }
    sleep(Duration::from_millis(1_500)).await;
    nodes
}

async fn add_route(kv: &Memory, prefix: &str) {
    let mut all = routes();
    all.push(Route::new(prefix, "a.example", prefix, "engines"));
    let written = StoredConfig {
        routes: all,
        customers: None,
    };
    let text = serde_json::to_vec(&written).expect("json");
    put(kv, "orders/config", text).await;
}

/// Waits until a node serves a route that was added.
async fn serves(node: &Node, prefix: &str) {
    let path = format!("{prefix}1");
    call_until(node.front, "POST", &path, |status, _| status == 200).await;
}

#[tokio::test]
async fn two_nodes_read_for_all() {
    let kv = Memory::default();
    let engine = Engine::start().await;
    write_config_and_engine(&kv, &engine).await;
    let nodes = fronts(&kv).await;
    let before = kv.counts();
    sleep(Duration::from_millis(1_000)).await;
    let after = kv.counts();
    // Each reader lists the endpoints about fifteen times a second in these
    // tests; six readers would do so ninety times.
    let reads = after.reads - before.reads;
    assert!(reads < 60, "{reads} reads in a second");
    add_route(&kv, "/new/").await;
    for node in &nodes {
        serves(node, "/new/").await;
    }
}

/// Symptom: half of the nodes run an old configuration. Events: the nodes
/// that read for all others are lost. Cause: the others went on asking them.
#[tokio::test]
async fn the_loss_of_readers_stops_no_news() {
    let kv = Memory::default();
    let engine = Engine::start().await;
    write_config_and_engine(&kv, &engine).await;
    let mut nodes = fronts(&kv).await;
    for round in 0..3 {
        let lost = nodes.remove(0);
        lost.stop.send_replace(true);
        lost.task.await.expect("stopped");
        let prefix = format!("/new-{round}/");
        add_route(&kv, &prefix).await;
        for node in &nodes {
            serves(node, &prefix).await;
        }
    }
}

/// A configuration that was replaced never comes back, whoever a node asks:
/// readers may be at different revisions.
#[tokio::test]
async fn no_node_goes_back_to_an_older_configuration() {
    let kv = Memory::default();
    let engine = Engine::start().await;
    write_config_and_engine(&kv, &engine).await;
    let nodes = fronts(&kv).await;
    add_route(&kv, "/new/").await;
    for node in &nodes {
        serves(node, "/new/").await;
    }
    for _ in 0..5 {
        add_route(&kv, "/new/").await;
        for node in &nodes {
            let called =
                common::call(node.front, "POST", "/new/1", "r", "1").await;
            assert_eq!(called.0, 200, "the route is there since long");
        }
    }
}

/// Symptom: a node that is well hears of a new configuration 3.5 s after
/// the others, where two seconds are allowed. Events: a reader is cut off
/// from the key-value service just after it confirmed what it knows; then
/// the configuration changes. Cause: a node went on asking the same reader,
/// whose last word counts for 3.5 s.
#[tokio::test]
async fn news_pass_by_a_reader_that_is_cut_off() {
    let kv = Memory::default();
    let engine = Engine::start().await;
    write_config_and_engine(&kv, &engine).await;
    let nodes = cuttable_fronts(&kv).await;
    for cut in 0..NODES {
        add_route(&kv, &format!("/before-{cut}/")).await;
        for (node, _) in &nodes {
            serves(node, &format!("/before-{cut}/")).await;
        }
        nodes[cut].1.set_cut(true);
        let prefix = format!("/after-{cut}/");
        add_route(&kv, &prefix).await;
        let changed = Instant::now();
        for (at, (node, _)) in nodes.iter().enumerate() {
            if at != cut {
                serves(node, &prefix).await;
            }
        }
        assert!(changed.elapsed() < LATE, "{:?}", changed.elapsed());
        nodes[cut].1.set_cut(false);
    }
}

/// Symptom: a node that is well refuses a new route for 2.3 s, where two
/// are allowed. Events: both readers are cut off from the key-value service
/// at once, then the configuration changes. Cause: the others waited at each
/// of them in turn, and took a word of 3.5 s ago for good.
#[tokio::test]
async fn news_pass_by_both_readers_when_both_are_cut_off() {
    let kv = Memory::default();
    let engine = Engine::start().await;
    write_config_and_engine(&kv, &engine).await;
    let nodes = cuttable_fronts(&kv).await;
    for one in 0..NODES {
        for two in one + 1..NODES {
            let cut = [one, two];
            add_route(&kv, &format!("/before-{one}-{two}/")).await;
            for (node, _) in &nodes {
                serves(node, &format!("/before-{one}-{two}/")).await;
            }
            cut.iter().for_each(|at| nodes[*at].1.set_cut(true));
            let prefix = format!("/after-{one}-{two}/");
            add_route(&kv, &prefix).await;
            let changed = Instant::now();
            for (at, (node, _)) in nodes.iter().enumerate() {
                if !cut.contains(&at) {
                    serves(node, &prefix).await;
                }
            }
            assert!(
                changed.elapsed() < LATE_BY_BOTH,
                "{:?}",
                changed.elapsed()
            );
            cut.iter().for_each(|at| nodes[*at].1.set_cut(false));
        }
    }
}

/// Workers of a fleet in which four of them read in turn.
const WORKERS: usize = 64;

/// Endpoints that write their entries all the time.
const ENDPOINTS: usize = 40;

/// Calls a second that the readers of such a fleet need: a watch of each of
/// the first two for operators' keys, one for jobs, and 1.5 reads of endpoints.
const CALLS_PER_S: u64 = 15;

/// Guards against a fleet whose nodes all read the service since the readers
/// leave the turn to each other: load pattern of endpoints that all write
/// their entries all the time, and nothing else.
#[tokio::test(flavor = "multi_thread")]
async fn many_nodes_leave_the_service_to_few_readers() {
    let kv = Memory::default();
    let engine = Engine::start().await;
    write_config_and_engine(&kv, &engine).await;
    let beats = kv.clone();
    let record = engine.record("e1");
    tokio::spawn(async move {
        loop {
            for number in 0..ENDPOINTS {
                let record = fleet::EndpointRecord {
                    id: format!("e{number}"),
                    ..record.clone()
                };
                let value = serde_json::to_vec(&record).expect("json");
                put(&beats, &format!("endpoints/e{number}"), value).await;
            }
            // Watches of the in-memory service say nothing while nothing
            // changes, where those of a real one confirm that.
            put(&beats, "orders/beat", b"{}".to_vec()).await;
            put(&beats, "jobs/beat", b"{}".to_vec()).await;
            sleep(Duration::from_millis(300)).await;
        }
    });
    let mut nodes = Vec::new();
    for number in 0..WORKERS {
        let name = format!("worker-{number}");
        nodes.push(common::start_at_pace(&kv, &name).await);
    }
    sleep(Duration::from_secs(5)).await;
    let calls = |kv: &Memory| kv.counts().reads + kv.counts().watches;
    for second in 0..12 {
        let before = calls(&kv);
        sleep(Duration::from_secs(1)).await;
        let made = calls(&kv) - before;
        assert!(made <= CALLS_PER_S, "{made} calls in second {second}");
    }
}
