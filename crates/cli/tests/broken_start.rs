//! An entry that has found no configuration yet.

#![allow(clippy::unwrap_used)]

use conf::settings::Settings;
use entry::Entry;
use obs::Metrics;
use reqwest::{Client, Method};
use serde_json::{Value, json};
use yare::parameterized;

/// Nothing listens at port 1: the key-value service is away.
const SETTINGS: &str = "\
role: entry
vm: entry-1
failure_domain: maardu
listen: 127.0.0.1:0
peer_listen: 127.0.0.1:0
key_value: {addresses: [http://127.0.0.1:1], timeout_ms: 200}
";

#[parameterized(
    chat = { Method::POST, "/v1/chat/completions" },
    upload = { Method::POST, "/v1/files" },
    job = { Method::POST, "/v1/batches" },
    content = { Method::GET, "/v1/files/file-1/content" },
    models = { Method::GET, "/v1/models" },
    service = { Method::POST, "/svc/vautsher-app/rebook" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn calls_are_refused_as_not_run(method: Method, path: &str) {
    // Symptom: a caller is told that its call may have run, and not when to
    // come back. Sequence: an entry starts while the key-value service is
    // away. Cause: what a request guard says is lost on its way out.
    let settings = Settings::parse("test", SETTINGS).unwrap();
    let entry = Entry::start(&settings, Metrics::default(), None);
    let entry = entry.await.unwrap();
    let client = Client::builder().no_proxy().build().unwrap();
    let url = format!("http://{}{path}", entry.http_address());
    let call = client.request(method, url).bearer_auth("a-key");
    let answer = call.json(&json!({})).send().await.unwrap();
    assert_eq!(answer.status(), 503);
    let retry_after = answer.headers()["retry-after"].to_str().unwrap();
    assert!(retry_after.parse::<u64>().unwrap() >= 1);
    let body: Value = answer.json().await.unwrap();
    assert_eq!(body["ran"], "no", "{body}");
    assert_eq!(body["status"], 503, "{body}");
    assert!(body["type"].as_str().unwrap().contains(":problem:"));
    entry.drain().await;
}
