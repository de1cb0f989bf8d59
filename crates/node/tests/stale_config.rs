//! Decisions about jobs on a worker whose configuration is older than the one
//! by which a front has accepted the job.

mod common;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use common::{
    Cuttable, Engine, Node, StoredConfig, call, call_until, put, ready,
    routes, start, start_by, write_config_and_engine,
};
use fleet::{BatchDeadlines, Route, RouteKind, TransferLimits};
use kv::Memory;
use tokio::time::{sleep, timeout};

/// Two items of one and of two events.
const SHORT_ITEMS: &str = r#"["1","2"]"#;

/// A front, and a worker that can be disconnected from the key-value service.
struct Fleet {
    kv: Memory,
    connection: Cuttable,
    front: Node,
    worker: Node,
    _engine: Engine,
}

async fn fleet() -> Fleet {
    let kv = Memory::default();
    let engine = Engine::start().await;
    write_config_and_engine(&kv, &engine).await;
    let connection = Cuttable::new(&kv);
    let front = start(&kv, "front-1", false).await;
    let worker =
        start_by(Arc::new(connection.clone()), "worker-1", true).await;
    ready(&front).await;
    let fleet = Fleet {
        kv,
        connection,
        front,
        worker,
        _engine: engine,
    };
    // The worker then reads the configuration from the key-value service,
    // and not from the front.
    fleet.submit("/batch/1", "first", SHORT_ITEMS).await;
    fleet.results("first").await;
    sleep(Duration::from_millis(500)).await;
    fleet
}

impl Fleet {
    /// Submits a job until the front knows its route.
    async fn submit(&self, path: &str, job: &str, items: &str) {
        let accepted = async {
            loop {
                let front = self.front.front;
                let sent = call(front, "POST", path, job, items);
                if sent.await.0 == 202 {
                    return;
                }
                sleep(Duration::from_millis(50)).await;
            }
        };
        let accepted = timeout(Duration::from_secs(10), accepted).await;
        accepted.expect("the front accepts the job");
    }

    async fn results(&self, job: &str) -> Vec<String> {
        let front = self.front.front;
        let path = format!("/jobs/{job}");
        let (_, page) = call_until(front, "GET", &path, |_, body| {
            body.starts_with("2 2\n")
        })
        .await;
        let mut lines: Vec<String> =
            page.lines().skip(1).map(str::to_owned).collect();
        lines.sort_unstable();
        lines
    }
}

async fn configure(kv: &Memory, routes: Vec<Route>, limits: TransferLimits) {
    let config = StoredConfig {
        routes,
        customers: None,
        limits,
    };
    let bytes = serde_json::to_vec(&config).expect("json");
    put(kv, "orders/config", bytes).await;
}

fn added_route() -> Route {
    let terms = BatchDeadlines {
        due_in_ms: 5_000,
        give_up_in_ms: 60_000,
    };
    Route::new("added", "a.example", "/added/", "engines")
        .with_kind(RouteKind::Batch)
        .with_batch(terms)
        .with_max_attempts(2)
}

/// Guards against a worker that gives up the items of a new route because its
/// own configuration does not contain the route yet.
#[tokio::test]
async fn items_of_a_route_that_the_worker_does_not_know_yet_are_run() {
    let fleet = fleet().await;
    fleet.connection.set_cut(true);
    let mut routes = routes();
    routes.push(added_route());
    configure(&fleet.kv, routes, TransferLimits::default()).await;
    fleet.submit("/added/1", "job-1", SHORT_ITEMS).await;
    sleep(Duration::from_millis(500)).await;
    let given_up = &fleet.worker.counters.items_given_up;
    assert_eq!(given_up.load(Ordering::Relaxed), 0);
    fleet.connection.set_cut(false);
    let results = fleet.results("job-1").await;
    assert_eq!(results, ["item-0 complete e1", "item-1 complete e1+e2"]);
}

/// Guards against items that wait for ever after their route was removed.
#[tokio::test]
async fn items_of_a_removed_route_are_given_up() {
    let fleet = fleet().await;
    let mut routes = routes();
    routes.push(added_route());
    configure(&fleet.kv, routes.clone(), TransferLimits::default()).await;
    let long = r#"["400","400"]"#;
    fleet.submit("/added/1", "job-1", long).await;
    routes.pop();
    configure(&fleet.kv, routes, TransferLimits::default()).await;
    let results = fleet.results("job-1").await;
    assert_eq!(results, ["item-0 given-up ", "item-1 given-up "]);
}

/// Guards against rejecting requests for good by a configuration that may have
/// been replaced: clients do not retry after these statuses.
#[tokio::test]
async fn a_front_with_an_old_configuration_rejects_nothing_for_good() {
    let kv = Memory::default();
    let engine = Engine::start().await;
    write_config_and_engine(&kv, &engine).await;
    let limits = TransferLimits {
        max_body_bytes: 10,
        ..TransferLimits::default()
    };
    configure(&kv, routes(), limits).await;
    let connection = Cuttable::new(&kv);
    let front = start_by(Arc::new(connection.clone()), "front-1", false).await;
    ready(&front).await;
    let requests = [("/nothing/1", "", 404), ("/chat/1", "0123456789a", 413)];
    for (path, body, rejected) in requests {
        let sent = call(front.front, "POST", path, "r", body).await;
        assert_eq!(sent.0, rejected, "{path}");
    }
    connection.set_cut(true);
    call_until(front.front, "POST", "/nothing/1", |status, _| status == 503)
        .await;
    for (path, body, _) in requests {
        let sent = call(front.front, "POST", path, "r", body).await;
        assert_eq!(sent.0, 503, "{path}");
    }
}
