//! The status that a node which is to be emptied reports to operators.

mod common;

use std::time::Duration;

use common::{Engine, put, ready, start, write_config_and_engine};
use kv::{Kv, Memory, WriteFault};
use tokio::time::sleep;
use yare::parameterized;

const STATUS: &str = "emptied/worker-1";

async fn status(kv: &Memory) -> Option<String> {
    let found = kv.get(STATUS).await.expect("read").kvs.pop();
    found.map(|kv| String::from_utf8(kv.value).expect("text"))
}

async fn wait_for_status(kv: &Memory, wanted: &str) {
    for _ in 0..200 {
        if status(kv).await.as_deref() == Some(wanted) {
            return;
        }
        sleep(Duration::from_millis(25)).await;
    }
    panic!("the status is {:?} instead of {wanted}", status(kv).await);
}

fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("a runtime").block_on(test);
}

/// Guards against a machine that is reported as empty, and then as not empty
/// by an earlier write that takes effect late: it is never removed.
#[parameterized(
    active = { &[WriteFault::Delayed] },
    active_twice = { &[WriteFault::Delayed, WriteFault::Delayed] },
    active_without_response = { &[WriteFault::ResponseLost] },
    both = { &[
        WriteFault::Delayed,
        WriteFault::None,
        WriteFault::Delayed,
    ] },
)]
fn a_late_status_does_not_replace_a_later_one(faults: &[WriteFault]) {
    block_on(async {
        let kv = Memory::default();
        let engine = Engine::start().await;
        write_config_and_engine(&kv, &engine).await;
        let worker = start(&kv, "worker-1", true).await;
        ready(&worker).await;
        kv.script_faults_of_keys(STATUS, faults.iter().copied());
        put(&kv, "orders/empty/worker-1", b"{}".to_vec()).await;
        wait_for_status(&kv, "Complete").await;
        kv.apply_delayed();
        assert_eq!(status(&kv).await.as_deref(), Some("Complete"));
    });
}

/// Guards against a machine that is emptied a second time and keeps the status
/// of the first order.
#[test]
fn a_later_order_is_reported_again() {
    block_on(async {
        let kv = Memory::default();
        let engine = Engine::start().await;
        write_config_and_engine(&kv, &engine).await;
        put(&kv, STATUS, b"Complete".to_vec()).await;
        let worker = start(&kv, "worker-1", true).await;
        ready(&worker).await;
        let before = kv.get(STATUS).await.expect("read").kvs[0].mod_revision;
        put(&kv, "orders/empty/worker-1", b"{}".to_vec()).await;
        for _ in 0..200 {
            let found = kv.get(STATUS).await.expect("read").kvs.remove(0);
            if found.mod_revision > before && found.value == b"Complete" {
                return;
            }
            sleep(Duration::from_millis(25)).await;
        }
        panic!("the second order is not reported");
    });
}

/// Guards against a machine that reports itself as not empty again after a
/// restart, while the platform removes it.
#[test]
fn a_restarted_node_keeps_the_status_of_its_order() {
    block_on(async {
        let kv = Memory::default();
        let engine = Engine::start().await;
        write_config_and_engine(&kv, &engine).await;
        put(&kv, "orders/empty/worker-1", b"{}".to_vec()).await;
        put(&kv, STATUS, b"Complete".to_vec()).await;
        let before = kv.get(STATUS).await.expect("read").kvs[0].mod_revision;
        let worker = start(&kv, "worker-1", true).await;
        ready(&worker).await;
        sleep(Duration::from_millis(1_500)).await;
        let found = kv.get(STATUS).await.expect("read").kvs.remove(0);
        assert_eq!(found.mod_revision, before);
    });
}
