//! Nodes that receive changes from other nodes instead of the key-value
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

/// Limit for the propagation around a disconnected reader: between the second
/// that a change takes at most and the 3.5 s for which the reader's last
/// confirmation counts.
const MAX_PROPAGATION: Duration = Duration::from_millis(2_600);

/// Limit when both readers are disconnected: between the 0.75 s for which a
/// reader's confirmation counts in these tests, where changes have a second to
/// propagate, and the 2.5 s for which it counted before.
const MAX_PROPAGATION_BOTH_CUT: Duration = Duration::from_millis(1_700);

async fn fronts(kv: &Memory) -> Vec<Node> {
    let mut nodes = Vec::new();
    for number in 0..NODES {
        nodes.push(start(kv, &format!("front-{number}"), false).await);
    }
    for node in &nodes {
        ready(node).await;
    }
    // All nodes know each other once their entries have propagated.
    sleep(Duration::from_millis(1_500)).await;
    nodes
}

/// Starts fronts with separate connections to the key-value service.
async fn cuttable_fronts(kv: &Memory) -> Vec<(Node, Cuttable)> {
    let mut nodes = Vec::new();
    for number in 0..NODES {
        let connection = Cuttable::new(kv);
        let name = format!("front-{number}");
        let node = start_by(Arc::new(connection.clone()), &name, false).await;
        nodes.push((node, connection));
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
        ..StoredConfig::default()
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

/// Guards against nodes that run an outdated configuration after the loss of
/// the nodes that read for all others, because they keep querying the lost
/// ones.
#[tokio::test]
async fn changes_propagate_after_the_loss_of_readers() {
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

/// Guards against the return of a replaced configuration when a node queries
/// readers that are at different revisions.
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
            assert_eq!(called.0, 200, "the route was added earlier");
        }
    }
}

/// Guards against a healthy node that receives a new configuration 3.5 s after
/// the others, where two seconds are allowed: a reader is disconnected from
/// the key-value service just after it has confirmed its data, then the
/// configuration changes, and the node keeps querying the same reader, whose
/// last confirmation counts for 3.5 s.
#[tokio::test]
async fn changes_propagate_around_a_disconnected_reader() {
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
        assert!(
            changed.elapsed() < MAX_PROPAGATION,
            "{:?}",
            changed.elapsed()
        );
        nodes[cut].1.set_cut(false);
    }
}

/// Guards against a healthy node that refuses a new route for 2.3 s, where two
/// are allowed: both readers are disconnected from the key-value service at
/// once, then the configuration changes, and the others wait at each reader in
/// turn and accept a confirmation that is 3.5 s old.
#[tokio::test]
async fn changes_propagate_around_two_disconnected_readers() {
    let kv = Memory::default();
    let engine = Engine::start().await;
    write_config_and_engine(&kv, &engine).await;
    let nodes = cuttable_fronts(&kv).await;
    for first in 0..NODES {
        for second in first + 1..NODES {
            let cut = [first, second];
            add_route(&kv, &format!("/before-{first}-{second}/")).await;
            for (node, _) in &nodes {
                serves(node, &format!("/before-{first}-{second}/")).await;
            }
            cut.iter().for_each(|at| nodes[*at].1.set_cut(true));
            let prefix = format!("/after-{first}-{second}/");
            add_route(&kv, &prefix).await;
            let changed = Instant::now();
            for (at, (node, _)) in nodes.iter().enumerate() {
                if !cut.contains(&at) {
                    serves(node, &prefix).await;
                }
            }
            assert!(
                changed.elapsed() < MAX_PROPAGATION_BOTH_CUT,
                "{:?}",
                changed.elapsed()
            );
            cut.iter().for_each(|at| nodes[*at].1.set_cut(false));
        }
    }
}

/// Number of workers of a fleet in which four of them read in turn.
const WORKERS: usize = 64;

/// Number of endpoints that write their entries all the time.
const ENDPOINTS: usize = 40;

/// Calls a second that the readers of such a fleet need: a watch of operators'
/// keys by each of the first two, a watch of jobs by one, and 1.5 reads of
/// endpoints.
const MAX_CALLS_PER_S: u64 = 15;

/// Guards against a fleet whose nodes all read the key-value service because
/// each reader leaves the turn to another. Load: endpoints that all write
/// their entries all the time, and nothing else.
#[tokio::test(flavor = "multi_thread")]
async fn few_readers_read_the_key_value_service_for_a_large_fleet() {
    let kv = Memory::default();
    let engine = Engine::start().await;
    write_config_and_engine(&kv, &engine).await;
    let writer = kv.clone();
    let record = engine.record("e1");
    tokio::spawn(async move {
        loop {
            for number in 0..ENDPOINTS {
                let record = fleet::EndpointRecord {
                    id: format!("e{number}"),
                    ..record.clone()
                };
                let value = serde_json::to_vec(&record).expect("json");
                put(&writer, &format!("endpoints/e{number}"), value).await;
            }
            // Watches of the in-memory service return nothing while nothing
            // changes, where those of a real one send confirmations.
            put(&writer, "orders/beat", b"{}".to_vec()).await;
            put(&writer, "jobs/beat", b"{}".to_vec()).await;
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
        let call_count = calls(&kv) - before;
        assert!(
            call_count <= MAX_CALLS_PER_S,
            "{call_count} calls in second {second}"
        );
    }
}
