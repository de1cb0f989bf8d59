//! Failed attempts of items whose job changes its worker.

mod common;

use std::sync::atomic::Ordering;

use common::{
    Engine, call, call_until, put, ready, start, write_config_and_engine,
};
use indexmap::IndexMap;
use jobs::{FailedAttempts, decode_manifest, encode_manifest, manifest_key};
use kv::{Kv, Memory};
use yare::parameterized;

/// Guards against a further run of an item whose attempts the former worker of
/// its job has used up and counted, but not yet listed.
#[tokio::test]
async fn an_item_without_attempts_does_not_run_at_the_next_worker() {
    let kv = Memory::default();
    let engine = Engine::start().await;
    write_config_and_engine(&kv, &engine).await;
    let front = start(&kv, "front-1", false).await;
    ready(&front).await;
    let body = r#"["1","2"]"#;
    let sent = call(front.front, "POST", "/batch/1", "job-1", body).await;
    assert_eq!(sent.0, 202);
    let key = manifest_key(&"job-1".parse().expect("a key"));
    let found = kv.get(&key).await.expect("read");
    let mut manifest = decode_manifest(&found.kvs[0].value).expect("valid");
    let attempts = FailedAttempts {
        errors: 2,
        rejections: 0,
    };
    manifest.failed_attempts = IndexMap::from([(0, attempts)]);
    let bytes = encode_manifest(&manifest).expect("encoded");
    put(&kv, &key, bytes).await;
    let _worker = start(&kv, "worker-1", true).await;
    let (_, page) =
        call_until(front.front, "GET", "/jobs/job-1", |_, body| {
            body.starts_with("2 2\n")
        })
        .await;
    assert!(page.contains("item-0 given-up"), "{page}");
    assert!(page.contains("item-1 complete e1+e2"), "{page}");
    let runs = engine.runs.lock().expect("lock").clone();
    assert_eq!(runs, ["item-1:0"]);
}

/// Guards against an item that is given up, or counted as failed, because its
/// endpoint answers with a status that promises that it did not run: the
/// endpoint does not state so, and an item may run more than once.
#[parameterized(
    full = { 503 },
    too_many = { 429 },
    late = { 408 },
)]
#[test_macro(tokio::test)]
async fn an_unproven_refusal_is_no_failed_attempt(status: u16) {
    let kv = Memory::default();
    let engine = Engine::start().await;
    write_config_and_engine(&kv, &engine).await;
    let front = start(&kv, "front-1", false).await;
    ready(&front).await;
    let worker = start(&kv, "worker-1", true).await;
    let body = format!(r#"["unproven {status} 2"]"#);
    let sent = call(front.front, "POST", "/batch/1", "job-1", &body).await;
    assert_eq!(sent.0, 202);
    let (_, page) =
        call_until(front.front, "GET", "/jobs/job-1", |_, body| {
            body.starts_with("1 1\n")
        })
        .await;
    assert!(page.contains("item-0 complete e1+e2"), "{page}");
    assert_eq!(engine.run_count(), 3, "two of them ended with a status");
    let unproven = &worker.counters.refusals_unproven;
    assert_eq!(unproven.load(Ordering::Relaxed), 2);
}
