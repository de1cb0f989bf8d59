//! The configuration of an entry during outages of the key-value service.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use base::KeyDigest;
use conf::settings::Settings;
use kv::{EtcdJsonOptions, Kv, Op, Txn};
use obs::Metrics;
use pomeloslip_entry::{Entry, configuration_keys, first_configuration};
use standin::kv::{KvFaults, KvService, KvServiceHandle, KvServiceSettings};

const OPERATOR: &str = "operator-key-of-the-test";
const LONG_MS: u64 = 3_600_000;

fn text(retries: u32) -> String {
    let digest = KeyDigest::of_key("tenant-key");
    format!(
        "\
tenants:
  - tenant: taevakorv
    key_sha256: [{digest}]
pools:
  - pool: korv-lm
    kind: engine
    models: [korv-lm]
rules:
  - when: {{model: korv-lm}}
    then: {{pool: korv-lm, retries: {retries}}}
"
    )
}

async fn platform() -> KvServiceHandle {
    let service = KvService::start(KvServiceSettings::default()).await;
    let service = service.unwrap();
    let kv = EtcdJsonOptions::new([service.url()]).build().unwrap();
    let value = first_configuration(&text(1)).unwrap();
    let put = |key| Op::Put {
        key,
        value: value.clone(),
        lease: None,
    };
    let txn = Txn {
        success: configuration_keys("/t/").map(put).into(),
        ..Txn::default()
    };
    kv.txn(txn).await.unwrap();
    service
}

async fn entry(
    vm: &str,
    service: &KvServiceHandle,
    peers: &[SocketAddr],
) -> Entry {
    let yaml = format!(
        "\
role: entry
vm: {vm}
failure_domain: tallinn-a
listen: 127.0.0.1:0
peer_listen: 127.0.0.1:0
key_value: {{addresses: [{}], timeout_ms: 500, prefix: /t/}}
entries: {peers:?}
endpoints:
  - endpoint: korv-lm-1
    pool: korv-lm
    failure_domain: tallinn-a
    peer: 127.0.0.1:9
admin_keys_sha256: [{}]
",
        service.url(),
        KeyDigest::of_key(OPERATOR),
    );
    let settings = Settings::parse("test", &yaml).unwrap();
    Entry::start(&settings, Metrics::default(), None)
        .await
        .unwrap()
}

fn take_down(service: &KvServiceHandle, for_ms: u64) {
    let faults = KvFaults {
        down_ms: for_ms,
        ..KvFaults::default()
    };
    service.set_faults(faults).unwrap();
}

async fn get_config(entry: &Entry) -> serde_json::Value {
    let url = format!("http://{}/admin/config", entry.http_address());
    let call = reqwest::Client::new().get(url).bearer_auth(OPERATOR);
    call.send().await.unwrap().json().await.unwrap()
}

async fn edit(
    entry: &Entry,
    expect: u64,
    operation: &str,
    text: &str,
) -> reqwest::Response {
    let url = format!("http://{}/admin/config", entry.http_address());
    let body = serde_json::json!({
        "expect_revision": expect,
        "operation_id": operation,
        "text": text,
    });
    let call = reqwest::Client::new().post(url).bearer_auth(OPERATOR);
    call.json(&body).send().await.unwrap()
}

/// Guards against an entry that restarts during an outage of the key-value
/// service and serves no requests, because that service is its only source
/// of the configuration.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_in_an_outage_queries_its_peers() {
    let service = platform().await;
    let first = entry("entry-1", &service, &[]).await;
    first.ready().await;
    take_down(&service, LONG_MS);
    let peer = [first.peer_address()];
    let second = entry("entry-2", &service, &peer).await;
    second.ready().await;
    assert_eq!(get_config(&second).await["revision"], 1);
    assert_eq!(get_config(&second).await["text"], text(1));
}

/// Guards against an edit during an outage that is reported as accepted or
/// silently lost: the key-value service is down, so the edit cannot be
/// written, and the response has to say so and whether it may have been.
#[tokio::test(flavor = "multi_thread")]
async fn an_edit_in_an_outage_is_refused_and_changes_nothing() {
    let service = platform().await;
    let entry = entry("entry-1", &service, &[]).await;
    entry.ready().await;
    take_down(&service, LONG_MS);
    let reply = edit(&entry, 1, "edit-1", &text(2)).await;
    assert_eq!(reply.status(), 503);
    let problem: serde_json::Value = reply.json().await.unwrap();
    assert_eq!(problem["type"], "urn:pomeloslip:problem:platform-down");
    assert_eq!(get_config(&entry).await["revision"], 1);
}

/// Guards against one edit becoming two revisions: the response to an edit is
/// lost after the write took effect, and the retry by the operator's tool is
/// treated as a new edit.
#[tokio::test(flavor = "multi_thread")]
async fn a_resent_edit_is_the_same_edit() {
    let service = platform().await;
    let entry = entry("entry-1", &service, &[]).await;
    entry.ready().await;
    for _ in 0..2 {
        let reply = edit(&entry, 1, "edit-1", &text(2)).await;
        let body: serde_json::Value = reply.json().await.unwrap();
        assert_eq!(body["revision"], 2);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn conflicting_edits_get_a_diff_and_invalid_ones_get_positions() {
    let service = platform().await;
    let entry = entry("entry-1", &service, &[]).await;
    entry.ready().await;
    edit(&entry, 1, "edit-1", &text(2)).await;
    let raced = edit(&entry, 1, "edit-2", &text(3)).await;
    assert_eq!(raced.status(), 409);
    let problem: serde_json::Value = raced.json().await.unwrap();
    assert_eq!(problem["current_revision"], 2);
    assert!(problem["diff"].to_string().contains("retries"));
    let broken = text(4).replace("model: korv-lm}", "modle: korv-lm}");
    let broken = edit(&entry, 2, "edit-3", &broken).await;
    assert_eq!(broken.status(), 422);
    let problem: serde_json::Value = broken.json().await.unwrap();
    assert_eq!(problem["errors"][0]["line"], 9);
    assert_eq!(problem["errors"][0]["nearest"], "model");
    assert_eq!(get_config(&entry).await["revision"], 2);
}

/// Guards against a rollback to an older configuration: an entry has revision
/// 2, the data of the key-value service is restored from a copy with
/// revision 1, the watch delivers revision 1, and the entry applies it
/// without comparing revisions.
#[tokio::test(flavor = "multi_thread")]
async fn a_restored_older_value_is_never_applied() {
    let service = platform().await;
    let first = entry("entry-1", &service, &[]).await;
    first.ready().await;
    edit(&first, 1, "edit-1", &text(2)).await;
    let kv = EtcdJsonOptions::new([service.url()]).build().unwrap();
    let old = first_configuration(&text(1)).unwrap();
    let key = configuration_keys("/t/")[0].clone();
    let put = Op::Put {
        key,
        value: old,
        lease: None,
    };
    let txn = Txn {
        success: vec![put],
        ..Txn::default()
    };
    kv.txn(txn).await.unwrap();
    // A peer that starts afterwards must get the newest revision as well; by
    // then the first entry has received the old value.
    let peer = [first.peer_address()];
    let second = entry("entry-2", &service, &peer).await;
    second.ready().await;
    while get_config(&second).await["revision"] != 2 {
        tokio::task::yield_now().await;
    }
    assert_eq!(get_config(&first).await["revision"], 2);
    // The next edit builds on the revision in force and repairs the stored
    // value.
    let reply = edit(&second, 2, "edit-2", &text(3)).await;
    let body: serde_json::Value = reply.json().await.unwrap();
    assert_eq!(body["revision"], 3);
}

/// Guards against a key-value service that grows by gigabytes a day: operators
/// change the configuration thousands of times, and each full text is
/// retained forever.
#[tokio::test(flavor = "multi_thread")]
async fn only_the_newest_revisions_are_kept() {
    let service = platform().await;
    let entry = entry("entry-1", &service, &[]).await;
    entry.ready().await;
    for revision in 1..=204 {
        let operation = format!("edit-{revision}");
        let reply = edit(&entry, revision, &operation, &text(1)).await;
        assert_eq!(reply.status(), 200);
    }
    let kv = EtcdJsonOptions::new([service.url()]).build().unwrap();
    let kept = kv.get_prefix("/t/config/history/", 0).await.unwrap().kvs;
    assert_eq!(kept.len(), 200);
    assert!(kept[0].key.ends_with("0006"), "{}", kept[0].key);
    assert!(kept[199].key.ends_with("0205"), "{}", kept[199].key);
}
