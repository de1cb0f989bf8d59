//! Requests and items under way while entries, nodes and the configuration
//! around them change.

mod common;

use std::{sync::Arc, time::Duration};

use base::UnixMillis;
use common::{
    Engine, Node, StoredConfig, call, call_until, put, ready, routes, start,
    write_config_and_engine,
};
use fleet::{
    Destination, EndpointRecord, EndpointState, Route, TransferLimits,
};
use kv::{Kv, Memory, Op, Txn};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinHandle,
    time::sleep,
};
use yare::parameterized;

/// Time in which a change has reached every node.
const PROPAGATION: Duration = Duration::from_millis(600);

/// Number of events of a response that takes about two seconds.
const EVENTS: usize = 1_000;

struct Fleet {
    kv: Memory,
    engine: Arc<Engine>,
    front: Node,
    _worker: Node,
}

impl Fleet {
    async fn start() -> Self {
        let kv = Memory::default();
        let engine = Engine::start().await;
        write_config_and_engine(&kv, &engine).await;
        let front = start(&kv, "front-1", false).await;
        let worker = start(&kv, "worker-1", true).await;
        ready(&front).await;
        sleep(PROPAGATION).await;
        Self {
            kv,
            engine: Arc::new(engine),
            front,
            _worker: worker,
        }
    }

    /// Starts a stream and an item that run while the caller of this function
    /// changes something.
    async fn begin(&self) -> JoinHandle<(u16, String)> {
        let front = self.front.front;
        let stream = tokio::spawn(async move {
            let length = EVENTS.to_string();
            call(front, "POST", "/chat/1", "stream", &length).await
        });
        let items = format!("[\"{EVENTS}\"]");
        let sent = call(front, "POST", "/batch/1", "job-1", &items);
        assert_eq!(sent.await.0, 202);
        while self.engine.run_count() < 2 {
            sleep(Duration::from_millis(10)).await;
        }
        stream
    }

    /// Checks that both are whole and ran once.
    async fn finish(&self, stream: JoinHandle<(u16, String)>) {
        let (status, body) = stream.await.expect("a response");
        assert_eq!(status, 200);
        assert_eq!(body.matches("data: ").count(), EVENTS);
        let is_done = |_, body: &str| body.starts_with("1 1\n");
        let job = call_until(self.front.front, "GET", "/jobs/job-1", is_done);
        let (_, results) = job.await;
        assert_eq!(results.matches("+e").count(), EVENTS - 1);
        let mut runs = self.engine.runs.lock().expect("lock").clone();
        runs.sort();
        assert_eq!(runs, ["item-0:0", "stream:0"]);
    }

    async fn write_entry(&self, record: &EndpointRecord) {
        let record = serde_json::to_vec(record).expect("json");
        put(&self.kv, "endpoints/e1", record).await;
    }

    async fn remove(&self, key: &str) {
        let txn = Txn {
            success: vec![Op::Delete {
                key: key.to_owned(),
            }],
            ..Txn::default()
        };
        self.kv.txn(txn).await.expect("written");
    }
}

/// Guards against requests that are cut because the entry of their endpoint
/// lapses for a while.
#[tokio::test]
async fn runs_outlive_a_lapse_of_their_endpoints_entry() {
    let fleet = Fleet::start().await;
    let stream = fleet.begin().await;
    fleet.remove("endpoints/e1").await;
    sleep(PROPAGATION).await;
    fleet.write_entry(&fleet.engine.record("e1")).await;
    fleet.finish(stream).await;
}

/// Guards against requests that are cut because the entry of their endpoint
/// states a start time for the first time.
#[tokio::test]
async fn runs_outlive_a_start_time_that_is_added() {
    let fleet = Fleet::start().await;
    let stream = fleet.begin().await;
    let record = EndpointRecord {
        started_at: Some(UnixMillis::new(1_764_000_000_000)),
        ..fleet.engine.record("e1")
    };
    fleet.write_entry(&record).await;
    fleet.finish(stream).await;
}

/// Guards against requests that are cut because their endpoint drains.
#[tokio::test]
async fn runs_outlive_the_drain_of_their_endpoint() {
    let fleet = Fleet::start().await;
    let stream = fleet.begin().await;
    let record = EndpointRecord {
        state: EndpointState::Draining,
        ..fleet.engine.record("e1")
    };
    fleet.write_entry(&record).await;
    fleet.finish(stream).await;
}

/// Guards against items that are interrupted because the entry of their node
/// has expired, though no other node runs items.
#[tokio::test]
async fn runs_outlive_the_entry_of_the_only_node() {
    let fleet = Fleet::start().await;
    let stream = fleet.begin().await;
    let found = fleet.kv.get("jobs/n/worker-1").await.expect("read");
    let lease = found.kvs.first().and_then(|kv| kv.lease);
    let lease = lease.expect("the lease of the entry");
    fleet.kv.lease_revoke(lease).await.expect("revoked");
    fleet.finish(stream).await;
}

/// Returns the routes after a change of each.
fn each(change: impl Fn(Route) -> Route) -> Vec<Route> {
    routes().into_iter().map(change).collect()
}

fn to(services: &[&str]) -> Vec<Destination> {
    let destination = |service: &&str| Destination {
        service: (*service).to_owned(),
        weight: 1,
    };
    services.iter().map(destination).collect()
}

fn moved() -> StoredConfig {
    StoredConfig {
        routes: each(|route| route.with_destinations(to(&["others"]))),
        ..StoredConfig::default()
    }
}

fn split() -> StoredConfig {
    let services = ["others", "engines"];
    StoredConfig {
        routes: each(|route| route.with_destinations(to(&services))),
        ..StoredConfig::default()
    }
}

fn short_timeouts() -> StoredConfig {
    StoredConfig {
        routes: each(|route| route.with_times(300, 100).with_max_attempts(1)),
        ..StoredConfig::default()
    }
}

fn without_the_route() -> StoredConfig {
    let mut routes = routes();
    routes.retain(|route| route.name() != "chat");
    StoredConfig {
        routes,
        ..StoredConfig::default()
    }
}

fn keys() -> StoredConfig {
    StoredConfig {
        routes: routes(),
        customers: Some(Vec::new()),
        ..StoredConfig::default()
    }
}

fn idle_limit() -> StoredConfig {
    StoredConfig {
        routes: routes(),
        limits: TransferLimits {
            header_timeout_ms: 100,
            idle_timeout_ms: 100,
            ..TransferLimits::default()
        },
        ..StoredConfig::default()
    }
}

/// Guards against requests and items that are cut or given up because the
/// configuration changes while they run.
#[parameterized(
    route_is_moved = { moved() },
    route_is_split = { split() },
    timeouts_are_shorter = { short_timeouts() },
    route_is_removed = { without_the_route() },
    keys_are_needed = { keys() },
    idle_limit_is_lower = { idle_limit() },
)]
#[test_macro(tokio::test)]
async fn runs_outlive_a_change_of_the_configuration(config: StoredConfig) {
    let fleet = Fleet::start().await;
    let stream = fleet.begin().await;
    let config = serde_json::to_vec(&config).expect("json");
    put(&fleet.kv, "orders/config", config).await;
    sleep(PROPAGATION).await;
    let first = serde_json::to_vec(&StoredConfig {
        routes: routes(),
        ..StoredConfig::default()
    });
    put(&fleet.kv, "orders/config", first.expect("json")).await;
    fleet.finish(stream).await;
}

/// Guards against a request that is cut by the idle limit of its connection
/// while its response waits or its body is on the way.
#[tokio::test]
async fn the_idle_limit_does_not_cut_a_request() {
    let fleet = Fleet::start().await;
    let config = serde_json::to_vec(&idle_limit()).expect("json");
    put(&fleet.kv, "orders/config", config).await;
    sleep(PROPAGATION).await;
    let mut caller =
        TcpStream::connect(fleet.front.front).await.expect("open");
    let head = "POST /chat/1 HTTP/1.1\r\nhost: a.example\r\nx-id: r1\r\n\
                x-deadline: 4000\r\ncontent-length: 16\r\n\
                connection: close\r\n\r\npause-head ";
    caller.write_all(head.as_bytes()).await.expect("sent");
    sleep(PROPAGATION).await;
    caller.write_all(b"400 2").await.expect("sent");
    let mut response = String::new();
    let read = caller.read_to_string(&mut response).await;
    read.expect("a whole response");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response.contains("data: e2"), "{response}");
    assert!(response.ends_with("0\r\n\r\n"), "{response}");
}
