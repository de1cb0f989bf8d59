//! Promises whose mechanisms no other test covers.
//!
//! Each test was written after removing its mechanism made no other test fail;
//! see `docs/PROMISES.md`.
#![allow(clippy::unwrap_used)]

mod batch_common;
mod claim_common;

use std::time::Duration;

use conf::settings::Settings;
use data::DataNode;
use kv::{Kv, Op, Txn};
use obs::Metrics;
use pomeloslip_entry::Entry;
use reqwest::Method;
use serde_json::Value;
use standin::kv::KvServiceHandle;
use tempfile::TempDir;
use yare::parameterized;

use self::{
    batch_common::{FakeCompanion, MODEL, TestCluster},
    claim_common::{EVENT_TIMEOUT, KEY, Reply, Service, client, platform},
};

/// Starts an entry with two instances of the service as endpoints.
async fn entry_with_two(platform: &KvServiceHandle, two: &[Service]) -> Entry {
    let line = |service: &Service| {
        let address = service.address;
        let name = address.port();
        format!(
            "  - {{endpoint: e-{name}, pool: vautsher-app, \
             failure_domain: tallinn-a, http: 'http://{address}'}}\n"
        )
    };
    let yaml = format!(
        "\
role: entry
vm: entry-1
failure_domain: tallinn-a
listen: 127.0.0.1:0
peer_listen: 127.0.0.1:0
key_value: {{addresses: [{}], timeout_ms: 2000, prefix: /t/}}
endpoints:
{}",
        platform.url(),
        two.iter().map(line).collect::<String>(),
    );
    let settings = Settings::parse("test", &yaml).unwrap();
    let entry = Entry::start(&settings, Metrics::default(), None);
    let entry = entry.await.unwrap();
    entry.ready().await;
    entry
}

/// Guards against billing a filing twice. An instance of the service runs a
/// call and its connection breaks before the response, while another instance
/// is available. The fault was to retry the call although it may have run.
/// With a single instance there is no other endpoint to try, which hides the
/// fault.
#[parameterized(
    post = { Method::POST, None, "", 1 },
    put = { Method::PUT, None, "", 1 },
    patch = { Method::PATCH, None, "", 1 },
    delete = { Method::DELETE, None, "", 1 },
    post_with_key = { Method::POST, Some("k-1"), "", 1 },
    get_by_rule = { Method::GET, None, ", repeatable: false", 1 },
    get = { Method::GET, None, "", 2 },
    post_by_rule = { Method::POST, None, ", repeatable: true", 2 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_lost_call_is_tried_elsewhere_only_if_it_may_be(
    method: Method,
    key: Option<&str>,
    rule: &str,
    runs: u32,
) {
    let platform = platform("", rule).await;
    let two = [Service::start(10).await, Service::start(10).await];
    let entry = entry_with_two(&platform, &two).await;
    let address = entry.http_address();
    let url = format!("http://{address}/svc/vautsher-app/rebook");
    let http = reqwest::Client::builder()
        .timeout(EVENT_TIMEOUT)
        .build()
        .unwrap();
    let mut call = http.request(method, url).bearer_auth(KEY).body("drop");
    if let Some(key) = key {
        call = call.header("Idempotency-Key", key);
    }
    let reply = Reply::of(call).await;
    reply.is_problem("answer-lost", "unknown");
    assert_eq!(two[0].ran() + two[1].ran(), runs);
}

/// Guards against commits by an entry that no longer owns the partition. The
/// owner is paused, its lease expires and another entry takes over its
/// partitions; the paused entry then continues with results that it has. The
/// fault was a transaction that does not compare the creation revision of the
/// owner key. The revision of the record alone does not help until the new
/// owner has written it.
#[tokio::test(flavor = "multi_thread")]
async fn a_former_owner_commits_nothing() {
    let ground = TestCluster::start().await;
    let entry = ground.entry_with("entry-1", 300).await;
    let id = entry.start_job(20, "1h").await;
    let player = FakeCompanion::new("vm-1", &[MODEL]);
    let mut items = Vec::new();
    while items.is_empty() {
        (items, _) = player.pull(entry.peer(), 8, &[]).await;
    }
    let kv = client(&ground.kv);
    let owners = kv.get_prefix("/t/owners/", 0).await.unwrap().kvs;
    assert!(!owners.is_empty());
    for owner in owners {
        let key = owner.key;
        let delete = Txn {
            success: vec![Op::Delete { key: key.clone() }],
            ..Txn::default()
        };
        kv.txn(delete).await.unwrap();
        let take_over = Txn {
            success: vec![Op::Put {
                key,
                value: b"another".to_vec(),
                lease: None,
            }],
            ..Txn::default()
        };
        kv.txn(take_over).await.unwrap();
    }
    player.answer(entry.peer(), &items, 10).await;
    // The list is empty once the entry has found the other owner.
    let released = async {
        loop {
            let status = entry.get("/status").await;
            if status["partitions"].as_array().unwrap().is_empty() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(EVENT_TIMEOUT, released).await.unwrap();
    let job: Value = entry.job(&id).await;
    assert_eq!(job["request_counts"]["completed"], 0, "{job}");
    assert_eq!(job["request_counts"]["failed"], 0, "{job}");
}

async fn data_vm(folder: &TempDir, name: &str, domain: &str) -> DataNode {
    let path = folder.path().join(name);
    let yaml = format!(
        "\
role: data
vm: {name}
failure_domain: {domain}
listen: 127.0.0.1:0
peer_listen: 127.0.0.1:0
data: {{folder: {}}}
",
        path.display()
    );
    let settings = Settings::parse("data", &yaml).unwrap();
    let node = DataNode::start(&settings, Metrics::default());
    node.await.unwrap()
}

async fn blobs(node: &DataNode) -> u64 {
    let url = format!("http://{}/status", node.http_address());
    let reply = reqwest::get(url).await.unwrap();
    let status: Value = reply.json().await.unwrap();
    status["blobs"].as_u64().unwrap()
}

/// Guards against losing the input of a job with one machine. An upload is
/// acknowledged, and the data VM that stores it is lost right after. The fault
/// was an acknowledgement before a second failure domain had a copy.
#[tokio::test(flavor = "multi_thread")]
async fn an_acknowledged_upload_is_in_two_failure_domains() {
    let platform = platform("", "").await;
    let folder = TempDir::new().unwrap();
    let one = data_vm(&folder, "data-1", "tallinn-a").await;
    let near = data_vm(&folder, "data-2", "tallinn-a").await;
    let other = data_vm(&folder, "data-3", "maardu").await;
    let yaml = format!(
        "\
role: entry
vm: entry-1
failure_domain: tallinn-a
listen: 127.0.0.1:0
peer_listen: 127.0.0.1:0
key_value: {{addresses: [{}], timeout_ms: 2000, prefix: /t/}}
data_vms:
  - {{vm: data-1, address: '{}', failure_domain: tallinn-a}}
  - {{vm: data-2, address: '{}', failure_domain: tallinn-a}}
  - {{vm: data-3, address: '{}', failure_domain: maardu}}
",
        platform.url(),
        one.peer_address(),
        near.peer_address(),
        other.peer_address(),
    );
    let settings = Settings::parse("test", &yaml).unwrap();
    let entry = Entry::start(&settings, Metrics::default(), None);
    let entry = entry.await.unwrap();
    entry.ready().await;
    let http = reqwest::Client::builder()
        .timeout(EVENT_TIMEOUT)
        .build()
        .unwrap();
    for at in 1..=8 {
        let line = format!(
            r#"{{"custom_id":"{at}","url":"/v1/completions","body":{{}}}}"#
        );
        let form = format!(
            "--cut\r\nContent-Disposition: form-data; name=\"purpose\"\
             \r\n\r\nbatch\r\n--cut\r\nContent-Disposition: form-data; \
             name=\"file\"; filename=\"a.jsonl\"\r\n\r\n{line}\r\n\
             --cut--\r\n"
        );
        let url = format!("http://{}/v1/files", entry.http_address());
        let call = http.post(url).bearer_auth(KEY).body(form);
        let kind = "multipart/form-data; boundary=cut";
        let reply = call.header("content-type", kind).send().await.unwrap();
        assert!(reply.status().is_success(), "{}", reply.status());
        // Holds as soon as the upload is acknowledged, whichever of the first
        // two VMs stores it.
        assert_eq!(blobs(&one).await + blobs(&near).await, at);
        assert_eq!(blobs(&other).await, at);
    }
}

/// Guards against a graceful shutdown that aborts a response. A call runs at
/// its service; the entry shuts down gracefully; the service responds after
/// that. The fault was a shutdown that does not wait for running calls.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_waits_for_the_call_that_runs() {
    let platform = platform("", "").await;
    let service = Service::start(10).await;
    let entry = claim_common::entry(&platform, service.address).await;
    service.hold();
    let call = claim_common::post(&entry, KEY, "seat 4");
    let caller = tokio::spawn(Reply::of(call));
    service.has_run(1).await;
    let ready = format!("http://{}/readyz", entry.http_address());
    let stop = tokio::spawn(entry.drain());
    let not_ready = async {
        // Refused or unreachable: no new work is taken.
        while reqwest::get(&ready).await.is_ok_and(|r| r.status() == 200) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(EVENT_TIMEOUT, not_ready)
        .await
        .unwrap();
    // Long enough for a shutdown that does not wait to finish.
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(!stop.is_finished());
    service.release();
    let reply = tokio::time::timeout(EVENT_TIMEOUT, caller).await.unwrap();
    assert_eq!(reply.unwrap().status, 201);
    tokio::time::timeout(EVENT_TIMEOUT, stop)
        .await
        .unwrap()
        .unwrap();
}
