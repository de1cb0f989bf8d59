//! Endpoints that fall silent while they run items, and go on or do not.

mod common;

use std::{sync::Arc, time::Duration};

use common::{
    Engine, Node, call, call_until, put, ready, start, write_config_and_engine,
};
use kv::Memory;
use tokio::time::sleep;
use yare::parameterized;

/// Time in which a change of the endpoints has reached every node.
const PROPAGATION: Duration = Duration::from_millis(600);

struct Fleet {
    engines: Vec<Arc<Engine>>,
    front: Node,
    _worker: Node,
}

impl Fleet {
    async fn start(engine_count: usize) -> Self {
        let kv = Memory::default();
        let first = Engine::start().await;
        write_config_and_engine(&kv, &first).await;
        let mut engines = vec![Arc::new(first)];
        for number in 2..=engine_count {
            let engine = Engine::start().await;
            let id = format!("e{number}");
            let record = serde_json::to_vec(&engine.record(&id));
            let key = format!("endpoints/{id}");
            put(&kv, &key, record.expect("json")).await;
            engines.push(Arc::new(engine));
        }
        let front = start(&kv, "front-1", false).await;
        let worker = start(&kv, "worker-1", true).await;
        ready(&front).await;
        sleep(PROPAGATION).await;
        Self {
            engines,
            front,
            _worker: worker,
        }
    }

    async fn submit(&self, job: &str, items: &[&str]) {
        let body = serde_json::to_string(items).expect("json");
        let sent = call(self.front.front, "POST", "/batch/1", job, &body);
        assert_eq!(sent.await.0, 202);
    }

    /// Returns the results of a job once it is complete.
    async fn results(&self, job: &str, count: usize) -> String {
        let path = format!("/jobs/{job}");
        let whole = format!("{count} {count}\n");
        let is_whole = |_, body: &str| body.starts_with(&whole);
        call_until(self.front.front, "GET", &path, is_whole).await.1
    }

    /// Returns the runs of an item at all engines.
    fn runs(&self, item: &str) -> Vec<String> {
        let prefix = format!("{item}:");
        let engines = self.engines.iter();
        let runs = engines
            .flat_map(|engine| engine.runs.lock().expect("lock").clone());
        runs.filter(|run| run.starts_with(&prefix)).collect()
    }
}

/// Guards against a run that is ended because its endpoint, which is sound,
/// is silent for some seconds.
#[parameterized(
    briefly_before_the_head = { "pause-head 600 8" },
    long_before_the_head = { "pause-head 3000 8" },
    briefly_between_events = { "pause 600 8" },
    long_between_events = { "pause 3000 8" },
)]
#[test_macro(tokio::test)]
async fn an_item_stays_at_an_endpoint_that_goes_on(item: &str) {
    let fleet = Fleet::start(2).await;
    fleet.submit("job-1", &[item]).await;
    let body = fleet.results("job-1", 1).await;
    assert!(
        body.ends_with("item-0 complete e1+e2+e3+e4+e5+e6+e7+e8"),
        "{body}"
    );
    assert_eq!(fleet.runs("item-0"), ["item-0:0"]);
}

/// Guards against an item that waits until its deadline on a connection that
/// stays silent for good without a reset.
#[parameterized(
    before_the_head = { "hang-head 8", "item-0:0" },
    between_events = { "hang 8", "item-0:4" },
)]
#[test_macro(tokio::test)]
async fn an_item_leaves_a_dead_connection(item: &str, second_run: &str) {
    let fleet = Fleet::start(1).await;
    fleet.submit("job-1", &[item]).await;
    let body = fleet.results("job-1", 1).await;
    assert!(
        body.ends_with("item-0 complete e1+e2+e3+e4+e5+e6+e7+e8"),
        "{body}"
    );
    assert_eq!(fleet.runs("item-0"), ["item-0:0", second_run]);
}

/// Guards against items that start at an endpoint while it is silent, though
/// another one is free.
#[tokio::test]
async fn items_start_elsewhere_while_an_endpoint_is_silent() {
    let fleet = Fleet::start(2).await;
    fleet.submit("job-1", &["pause 2500 8"]).await;
    sleep(Duration::from_millis(1_500)).await;
    let is_silent = |engine: &&Arc<Engine>| engine.run_count() > 0;
    let silent = fleet.engines.iter().find(is_silent).expect("a run");
    fleet.submit("job-2", &["2", "2", "2", "2"]).await;
    fleet.results("job-2", 4).await;
    assert_eq!(silent.run_count(), 1, "{:?}", silent.runs);
    fleet.results("job-1", 1).await;
    assert_eq!(fleet.runs("item-0").len(), 2);
}
