//! Results that exceed the values of the key-value service.

mod common;

use std::{sync::atomic::Ordering, time::Duration};

use common::{
    Engine, Node, call, call_until, ready, start_with_values,
    write_config_and_engine,
};
use kv::{Memory, mvcc::Limits};
use tokio::time::sleep;

/// Maximum size of a value, in bytes. The manifest and the inputs of a job of
/// [`ITEMS`] items fit into it, all of its results do not.
const VALUE_BYTES: usize = 4_000;

const ITEMS: u32 = 30;

/// An item of a hundred events.
const ITEM: &str = "open 100";

struct Fleet {
    kv: Memory,
    engine: Engine,
    front: Node,
    worker: Node,
}

/// Starts nodes that expect values of `value_bytes` with a service that accepts
/// values of `max_bytes`.
async fn fleet(value_bytes: usize, max_bytes: usize) -> Fleet {
    let kv = Memory::with_limits(Limits {
        value_max_bytes: max_bytes,
        txn_max_ops: 32,
        ..Limits::default()
    });
    let engine = Engine::start().await;
    write_config_and_engine(&kv, &engine).await;
    let front = start_with_values(&kv, "front-1", false, value_bytes).await;
    let worker = start_with_values(&kv, "worker-1", true, value_bytes).await;
    ready(&front).await;
    Fleet {
        kv,
        engine,
        front,
        worker,
    }
}

impl Fleet {
    async fn submit(&self, items: &[&str]) -> u16 {
        let body = serde_json::to_string(items).expect("json");
        call(self.front.front, "POST", "/batch/1", "job-1", &body)
            .await
            .0
    }

    async fn results(&self, count: u32) -> String {
        let whole = format!("{count} {count}\n");
        let is_whole = |_, body: &str| body.starts_with(&whole);
        let front = self.front.front;
        call_until(front, "GET", "/jobs/job-1", is_whole).await.1
    }

    /// Waits until the engine has run a number of items.
    async fn wait_for_runs(&self, count: u32) {
        while self.engine.run_count() < count as usize {
            sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Returns the output of [`ITEM`].
fn output() -> String {
    let events: Vec<String> =
        (1..=100).map(|event| format!("e{event}")).collect();
    events.join("+")
}

/// Guards against results that pile up during an outage of the key-value
/// service and are never listed, since they are written as one value and
/// rejected each time.
#[tokio::test]
async fn results_that_pile_up_in_an_outage_are_listed() {
    let fleet = fleet(VALUE_BYTES, VALUE_BYTES).await;
    assert_eq!(fleet.submit(&[ITEM; ITEMS as usize]).await, 202);
    fleet.wait_for_runs(1).await;
    fleet.kv.set_down(true);
    fleet.wait_for_runs(ITEMS).await;
    sleep(Duration::from_millis(300)).await;
    fleet.kv.set_down(false);
    let body = fleet.results(ITEMS).await;
    assert_eq!(body.matches(&output()).count(), ITEMS as usize);
}

/// Guards against a service that rejects all results of a job for the size of
/// some of them, since its limit is lower than the settings say.
#[tokio::test]
async fn fewer_results_are_listed_after_a_rejection() {
    let fleet = fleet(VALUE_BYTES, VALUE_BYTES * 3 / 4).await;
    assert_eq!(fleet.submit(&[ITEM; 20]).await, 202);
    let body = fleet.results(20).await;
    assert_eq!(body.matches(&output()).count(), 20);
}

/// Guards against a job that never ends because no transaction holds one of
/// its results.
#[tokio::test]
async fn a_result_that_no_transaction_holds_is_given_up() {
    let fleet = fleet(600, usize::MAX).await;
    assert_eq!(fleet.submit(&["open 5000", "1"]).await, 202);
    let body = fleet.results(2).await;
    assert!(body.contains("item-0 given-up"), "{body}");
    assert!(body.contains("item-1 complete e1"), "{body}");
    let too_large = &fleet.worker.counters.results_too_large;
    assert_eq!(too_large.load(Ordering::Relaxed), 1);
}

/// Guards against a job that is accepted and can never be stored: it would be
/// lost after its acceptance, or its results could not be listed.
#[tokio::test]
async fn a_job_that_cannot_be_stored_is_refused_in_an_outage_too() {
    let fleet = fleet(VALUE_BYTES, VALUE_BYTES).await;
    let large = "x".repeat(VALUE_BYTES);
    for is_down in [false, true] {
        fleet.kv.set_down(is_down);
        assert_eq!(fleet.submit(&[&large]).await, 413);
        assert_eq!(fleet.submit(&["1"; 60]).await, 413);
    }
}
