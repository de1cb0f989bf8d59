//! Entries of nodes whose writes take effect late.

mod common;

use std::time::Duration;

use common::{Engine, Node, ready, start, write_config_and_engine};
use kv::{KeyValue, Kv, Memory, WriteFault};
use tokio::time::sleep;
use yare::parameterized;

async fn entry(kv: &Memory, node: &str) -> Option<KeyValue> {
    let found = kv.get(&format!("jobs/n/{node}")).await.expect("read");
    found.kvs.into_iter().next()
}

async fn wait_for_entry(kv: &Memory, node: &str) -> KeyValue {
    for _ in 0..100 {
        if let Some(entry) = entry(kv, node).await {
            return entry;
        }
        sleep(Duration::from_millis(50)).await;
    }
    panic!("{node} is not listed");
}

async fn start_serving(kv: &Memory, name: &str, worker: bool) -> Node {
    let node = start(kv, name, worker).await;
    wait_for_entry(kv, name).await;
    node
}

/// Lets several leases pass, and returns whether the node is listed at the
/// end.
async fn is_listed_after_leases(kv: &Memory, node: &str) -> bool {
    // A lease of 5 s is renewed after a third of it, by the system's clock.
    for _ in 0..45 {
        sleep(Duration::from_millis(200)).await;
        kv.step_ms(200);
    }
    entry(kv, node).await.is_some()
}

async fn kv_with_config() -> (Memory, Engine) {
    let kv = Memory::default();
    let engine = Engine::start().await;
    write_config_and_engine(&kv, &engine).await;
    (kv, engine)
}

fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("a runtime").block_on(test);
}

/// Guards against a node that is never listed again: a late first write bound
/// its entry to a lease that the node did not renew.
#[parameterized(front = { false }, worker = { true })]
fn a_late_write_of_an_entry_does_not_unlist_the_node(worker: bool) {
    block_on(async {
        let (kv, _engine) = kv_with_config().await;
        // A front writes its entry again, under a shorter lease, once it knows
        // the number of fronts.
        let (undisturbed, wait_ms) = match worker {
            true => (1, 1_500),
            false => (4, 6_500),
        };
        kv.script_write_faults([WriteFault::None].repeat(undisturbed));
        kv.script_write_faults([WriteFault::Delayed]);
        let _node = start_serving(&kv, "node-1", worker).await;
        sleep(Duration::from_millis(wait_ms)).await;
        kv.apply_delayed();
        assert!(is_listed_after_leases(&kv, "node-1").await);
    });
}

/// Guards against the same if the late write takes effect before the
/// repetition of the write.
#[parameterized(front = { false }, worker = { true })]
fn an_entry_that_was_written_without_a_response_is_renewed(worker: bool) {
    block_on(async {
        let (kv, _engine) = kv_with_config().await;
        let lost = WriteFault::ResponseLost;
        kv.script_write_faults([WriteFault::None, lost]);
        let _node = start_serving(&kv, "node-1", worker).await;
        assert!(is_listed_after_leases(&kv, "node-1").await);
    });
}

/// Guards against a node that does not notice that its entry was replaced or
/// removed while its own lease lives.
#[parameterized(
    removed = { false },
    bound_to_another_lease = { true },
)]
fn a_node_repairs_its_entry(rewritten: bool) {
    block_on(async {
        let (kv, _engine) = kv_with_config().await;
        let _node = start_serving(&kv, "node-1", true).await;
        sleep(Duration::from_millis(600)).await;
        let found = wait_for_entry(&kv, "node-1").await;
        let op = match rewritten {
            true => kv::Op::Put {
                key: found.key,
                value: found.value,
                lease: Some(kv.lease_grant(5).await.expect("granted")),
            },
            false => kv::Op::Delete { key: found.key },
        };
        let txn = kv::Txn {
            success: vec![op],
            ..kv::Txn::default()
        };
        kv.txn(txn).await.expect("written");
        assert!(is_listed_after_leases(&kv, "node-1").await);
    });
}

/// Guards against the entry of a node that has stopped: it was written late,
/// under a lease that the node had forgotten.
#[parameterized(front = { false }, worker = { true })]
fn a_late_write_does_not_list_a_stopped_node(worker: bool) {
    block_on(async {
        let (kv, _engine) = kv_with_config().await;
        kv.script_write_faults([WriteFault::None, WriteFault::Delayed]);
        let node = start_serving(&kv, "node-1", worker).await;
        ready(&node).await;
        node.stop.send_replace(true);
        for _ in 0..100 {
            if entry(&kv, "node-1").await.is_none() {
                break;
            }
            sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(entry(&kv, "node-1").await, None);
        kv.apply_delayed();
        assert_eq!(entry(&kv, "node-1").await, None);
    });
}

/// Guards against starting nodes that query nodes which are gone: a late write
/// of the bootstrap list replaced a later one.
#[test]
fn a_late_bootstrap_list_does_not_replace_a_later_one() {
    block_on(async {
        let (kv, _engine) = kv_with_config().await;
        kv.script_faults_of_keys("start/", [WriteFault::Delayed]);
        let _first = start_serving(&kv, "worker-1", true).await;
        sleep(Duration::from_millis(2_500)).await;
        let _second = start_serving(&kv, "worker-2", true).await;
        let names_both = async || {
            let found = kv.get("start/nodes").await.expect("read").kvs.pop();
            let list = found.map(|kv| String::from_utf8(kv.value));
            let list = list.and_then(Result::ok).unwrap_or_default();
            list.contains("worker-1") && list.contains("worker-2")
        };
        for _ in 0..100 {
            if names_both().await {
                break;
            }
            sleep(Duration::from_millis(50)).await;
        }
        kv.apply_delayed();
        assert!(names_both().await);
    });
}
