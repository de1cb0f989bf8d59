//! Fair shares over several nodes, and paused customers.

mod common;

use std::{fs, net::SocketAddr, sync::atomic::Ordering, time::Duration};

use common::{
    Engine, Node, StoredCustomer, call_with, configure, ready, start,
    start_sharing, write_config_and_engine,
};
use kv::Memory;
use tokio::{task::JoinHandle, time::sleep};

/// Number of events of a request that lasts until the end of a test.
const LONG: &str = "10000";

fn customers() -> Vec<StoredCustomer> {
    let customer = |name: &str| StoredCustomer {
        name: name.to_owned(),
        keys: vec![format!("key-{name}")],
        cap: None,
    };
    vec![customer("large"), customer("small")]
}

async fn send(
    front: SocketAddr,
    customer: &str,
    path: &str,
    id: &str,
    body: &str,
) -> (u16, String) {
    let headers = format!("x-key: key-{customer}\r\n");
    call_with(front, "POST", path, id, &headers, body).await
}

fn send_long(front: &Node, customer: &'static str, id: String) -> Task {
    let front = front.front;
    tokio::spawn(async move {
        send(front, customer, "/speak/1", &id, LONG).await;
    })
}

type Task = JoinHandle<()>;

async fn fleet() -> (Memory, Engine) {
    let kv = Memory::default();
    let engine = Engine::start().await;
    write_config_and_engine(&kv, &engine).await;
    configure(&kv, Some(customers())).await;
    (kv, engine)
}

/// Guards against fronts that know only their own requests: the large customer
/// uses all four slots by the first front, and is refused by the second one.
#[tokio::test]
async fn a_front_learns_the_use_of_others() {
    let (kv, engine) = fleet().await;
    let first = start_sharing(&kv, "front-1", false, None).await;
    let second = start_sharing(&kv, "front-2", false, None).await;
    let _worker = start_sharing(&kv, "worker-1", true, None).await;
    ready(&first).await;
    ready(&second).await;
    for n in 0..4 {
        send_long(&first, "large", format!("large-{n}"));
    }
    until(|| engine.run_count() == 4).await;
    // A front learns the use of customers of this size that it names.
    send_long(&second, "large", "large-4".to_owned());
    for n in 0..200 {
        send_long(&second, "small", format!("small-{n}"));
        let id = format!("more-{n}");
        let answer = send(second.front, "large", "/speak/1", &id, "1").await;
        if answer.1.contains("uses more than its share") {
            assert_eq!(answer.0, 503);
            let age = "pomeloslip_share_level_age_ms{service=\"engines\"}";
            until(|| second.counters.render().contains(age)).await;
            return;
        }
        sleep(Duration::from_millis(50)).await;
    }
    panic!("the customer was never refused");
}

async fn until(mut condition: impl FnMut() -> bool) {
    for _ in 0..500 {
        if condition() {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("the condition was never met");
}

/// Guards against messages and metrics of a part that is off.
#[tokio::test]
async fn nothing_is_exchanged_while_shares_are_off() {
    let (kv, _engine) = fleet().await;
    let front = start(&kv, "front-1", false).await;
    let worker = start(&kv, "worker-1", true).await;
    ready(&front).await;
    let (status, _) = send(front.front, "large", "/speak/1", "r1", "1").await;
    assert_eq!(status, 200);
    sleep(Duration::from_millis(1_500)).await;
    for node in [&front, &worker] {
        let sent = &node.counters.quota_messages_sent;
        assert_eq!(sent.load(Ordering::Relaxed), 0);
        assert!(!node.counters.render().contains("share_level"));
    }
}

/// Guards against a paused customer whose requests are served, and against a
/// pause that stops other customers.
#[tokio::test]
async fn requests_of_a_paused_customer_are_refused() {
    let (kv, engine) = fleet().await;
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("customers.yaml");
    let text = "customers:\n  - {name: large, paused: true}\n";
    fs::write(&path, text).expect("written");
    let front = start_sharing(&kv, "front-1", false, Some(&path)).await;
    let _worker = start_sharing(&kv, "worker-1", true, None).await;
    ready(&front).await;
    let online = send(front.front, "large", "/speak/1", "r1", "1").await;
    let job = send(front.front, "large", "/batch/1", "j1", "a").await;
    for (status, body) in [online, job] {
        assert_eq!(status, 503);
        assert!(body.contains("the customer is paused"), "{body}");
    }
    let other = send(front.front, "small", "/speak/1", "r2", "1").await;
    assert_eq!(other.0, 200);
    assert_eq!(engine.run_count(), 1);
    let refused = &front.counters.customers_paused;
    assert_eq!(refused.load(Ordering::Relaxed), 2);
}
