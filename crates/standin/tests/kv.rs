//! The stand-in key-value service seen through its client.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use base::SteppedClock;
use error_stack::Report;
use kv::{
    Compare, EtcdJson, EtcdJsonOptions, Event, Kv, KvError, LeaseId, Memory,
    Op, OpReply, Txn,
};
use pomeloslip_standin::kv::{
    DownKind, KvCounts, KvFaults, KvService, KvServiceHandle,
    KvServiceSettings, WatchFault,
};
use serde_json::{Value, json};
use yare::parameterized;

struct Setup {
    service: KvServiceHandle,
    clock: Arc<SteppedClock>,
    client: EtcdJson,
}

async fn start() -> Setup {
    let settings = KvServiceSettings {
        history_max_changes: 10,
        ..KvServiceSettings::default()
    };
    let clock = Arc::new(SteppedClock::default());
    let service = KvService::start_with_clock(settings, clock.clone())
        .await
        .unwrap();
    let client = EtcdJsonOptions::new([service.url()]).build().unwrap();
    Setup {
        service,
        clock,
        client,
    }
}

impl Setup {
    fn set(&self, faults: KvFaults) {
        self.service.set_faults(faults).unwrap();
    }

    async fn post(&self, path: &str, body: Value) -> (u16, Value) {
        let url = format!("{}{path}", self.service.url());
        let request = reqwest::Client::new().post(url).body(body.to_string());
        let reply = request.send().await.unwrap();
        let status = reply.status().as_u16();
        let text = reply.text().await.unwrap();
        (status, serde_json::from_str(&text).unwrap_or_default())
    }
}

fn put(key: &str, value: &str, lease: Option<LeaseId>) -> Op {
    Op::Put {
        key: key.into(),
        value: value.into(),
        lease,
    }
}

fn run(ops: impl IntoIterator<Item = Op>) -> Txn {
    Txn {
        success: ops.into_iter().collect(),
        ..Txn::default()
    }
}

fn kind<T>(result: Result<T, Report<KvError>>) -> Option<KvError> {
    result.err().map(|report| *report.current_context())
}

/// Runs one scenario that every implementation of the trait must pass.
async fn keeps_the_contract(kv: &dyn Kv) {
    let lease = kv.lease_grant(600).await.unwrap();
    let claim = Txn {
        compares: vec![Compare::CreateRevision {
            key: "part/1".into(),
            equals: 0,
        }],
        success: vec![put("part/1", "me", Some(lease)), put("b", "ü\n", None)],
        failure: vec![Op::Get {
            key: "part/1".into(),
        }],
    };
    let won = kv.txn(claim.clone()).await.unwrap();
    assert!(won.succeeded);
    assert_eq!(won.replies, [OpReply::Put, OpReply::Put]);
    let lost = kv.txn(claim).await.unwrap();
    assert!(!lost.succeeded);
    let [OpReply::Read(found)] = &lost.replies[..] else {
        panic!("{lost:?}");
    };
    assert_eq!(found[0].lease, Some(lease));
    assert_eq!(found[0].create_revision, won.revision);
    assert_eq!(kv.get("b").await.unwrap().kvs[0].value, "ü\n".as_bytes());

    let mut watch = kv.watch("part/", won.revision).await.unwrap();
    assert_eq!(watch.next().await.unwrap().events.len(), 1);
    kv.txn(run([put("part/2", "x", None)])).await.unwrap();
    let batch = watch.next().await.unwrap();
    assert_eq!(batch.revision, won.revision + 1);
    assert_eq!(kv.get_prefix("part/", 1).await.unwrap().kvs.len(), 1);
    assert_eq!(kv.get_prefix("part/", 0).await.unwrap().kvs.len(), 2);
    assert_eq!(kv.get_prefix("", 0).await.unwrap().kvs.len(), 3);

    kv.lease_keep_alive(lease).await.unwrap();
    kv.lease_revoke(lease).await.unwrap();
    let deleted = Event::Delete {
        key: "part/1".into(),
        mod_revision: won.revision + 2,
    };
    assert_eq!(watch.next().await.unwrap().events, [deleted]);
    let gone = Some(KvError::LeaseGone);
    assert_eq!(kind(kv.lease_keep_alive(lease).await), gone);
    assert_eq!(kind(kv.lease_revoke(lease).await), gone);
    let late = kv.txn(run([put("c", "", Some(lease))])).await;
    assert_eq!(kind(late), gone);
    let large = "x".repeat((1 << 20) + 1);
    let refused = kv.txn(run([put("c", &large, None)])).await;
    assert_eq!(kind(refused), Some(KvError::Invalid));
    let delete = kv.txn(run([Op::Delete { key: "b".into() }])).await;
    assert_eq!(delete.unwrap().replies, [OpReply::Deleted(1)]);
}

#[tokio::test]
async fn the_client_and_the_service_keep_the_contract() {
    let setup = start().await;
    keeps_the_contract(&setup.client).await;
    setup.service.stop().await;
}

#[tokio::test]
async fn the_fake_keeps_the_same_contract() {
    keeps_the_contract(&Memory::default()).await;
}

/// Symptom: a write is reported as failed, yet it is there.
/// Events: the service does it and loses the connection before it answers.
/// Cause: the answer was lost, which is not the same as not done.
#[tokio::test]
async fn a_lost_answer_is_unknown_and_took_effect() {
    let setup = start().await;
    setup.set(KvFaults {
        lose_answer: 1.0,
        ..KvFaults::default()
    });
    let lost = setup.client.txn(run([put("a", "1", None)])).await;
    assert_eq!(kind(lost), Some(KvError::Unknown));
    assert_eq!(setup.client.get("a").await.unwrap().kvs.len(), 1);
    let counts = setup.service.counts();
    assert_eq!((counts.writes, counts.lost_answers), (1, 1));
}

#[parameterized(
    refuse = { DownKind::Refuse },
    close = { DownKind::Close },
)]
#[test_macro(tokio::test)]
async fn an_outage_ends_by_the_clock(down_kind: DownKind) {
    let setup = start().await;
    let mut watch = setup.client.watch("", 2).await.unwrap();
    setup.set(KvFaults {
        down_ms: 5_000,
        down_kind,
        ..KvFaults::default()
    });
    assert_eq!(kind(watch.next().await), Some(KvError::NotDone));
    let read = setup.client.get("a").await;
    assert_eq!(kind(read), Some(KvError::NotDone));
    let write = setup.client.txn(run([put("a", "1", None)])).await;
    assert_eq!(kind(write), Some(KvError::Unknown));
    setup.clock.step_ms(5_000);
    let read = setup.client.get("a").await.unwrap();
    assert!(read.kvs.is_empty(), "the refused write had no effect");
}

#[tokio::test]
async fn a_stopped_service_refuses_connections() {
    let setup = start().await;
    setup.client.get("a").await.unwrap();
    setup.service.stop().await;
    let client = setup.client;
    let write = client.txn(run([put("a", "1", None)])).await;
    assert_eq!(kind(write), Some(KvError::NotDone));
}

#[tokio::test]
async fn a_lease_ends_by_the_clock_and_a_watch_tells() {
    let setup = start().await;
    let lease = setup.client.lease_grant(5).await.unwrap();
    let owner = run([put("owner", "me", Some(lease))]);
    let revision = setup.client.txn(owner).await.unwrap().revision;
    let mut watch = setup.client.watch("own", revision + 1).await.unwrap();
    setup.clock.step_ms(5_000);
    setup.service.expire();
    let batch = watch.next().await.unwrap();
    let deleted = Event::Delete {
        key: "owner".into(),
        mod_revision: revision + 1,
    };
    assert_eq!(batch.events, [deleted]);
}

#[tokio::test]
async fn a_watch_from_a_compacted_revision_ends() {
    let setup = start().await;
    for _ in 0..12 {
        setup.client.txn(run([put("a", "1", None)])).await.unwrap();
    }
    let mut watch = setup.client.watch("a", 2).await.unwrap();
    assert_eq!(kind(watch.next().await), Some(KvError::Compacted));
}

#[tokio::test]
async fn a_watch_can_skip_changes_or_break() {
    let setup = start().await;
    let with = |watch| KvFaults {
        watch,
        ..KvFaults::default()
    };
    let write = async |key| {
        setup.client.txn(run([put(key, "", None)])).await.unwrap();
    };
    let mut watch = setup.client.watch("a", 2).await.unwrap();
    setup.set(with(WatchFault::Drop));
    write("a1").await;
    while setup.service.counts().dropped_changes == 0 {
        tokio::task::yield_now().await;
    }
    setup.set(KvFaults::default());
    write("a2").await;
    assert_eq!(watch.next().await.unwrap().revision, 3);
    setup.set(with(WatchFault::Break));
    assert_eq!(kind(watch.next().await), Some(KvError::NotDone));
    setup.set(KvFaults::default());
    let mut again = setup.client.watch("a", 2).await.unwrap();
    assert_eq!(again.next().await.unwrap().events.len(), 2);
}

/// Symptom: a process runs old settings for hours and reports no error.
/// Events: its watch's connection goes silent; the service lives on.
/// Cause: a dead connection looks like one on which nothing happens.
#[tokio::test]
async fn a_silent_watch_is_opened_anew() {
    let setup = start().await;
    let client = EtcdJsonOptions::new([setup.service.url()])
        .watch_idle_ms(50)
        .build()
        .unwrap();
    let mut watch = client.watch("a", 2).await.unwrap();
    let writer = setup.client.clone();
    let service = &setup.service;
    let write = async {
        while service.counts().watch < 3 {
            tokio::task::yield_now().await;
        }
        writer.txn(run([put("a", "1", None)])).await.unwrap();
    };
    let (batch, ()) = tokio::join!(watch.next(), write);
    assert_eq!(batch.unwrap().revision, 2);
}

#[tokio::test]
async fn a_watch_ends_with_its_caller() {
    let settings = KvServiceSettings {
        progress_notify_ms: 5,
        ..KvServiceSettings::default()
    };
    let service = KvService::start(settings).await.unwrap();
    let client = EtcdJsonOptions::new([service.url()]).build().unwrap();
    let mut watch = client.watch("a", 2).await.unwrap();
    let write = async {
        // Messages of progress are not taken for changes.
        while service.counts().bytes_out < 400 {
            tokio::task::yield_now().await;
        }
        client.txn(run([put("a", "1", None)])).await.unwrap();
    };
    let (batch, ()) = tokio::join!(watch.next(), write);
    assert_eq!(batch.unwrap().events.len(), 1);
    drop(watch);
    while service.counts().watches_open > 0 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn the_json_is_that_of_the_gateway() {
    let setup = start().await;
    let key = json!({"key": "Zm9v", "value": "YmFy"});
    let (_, reply) = setup.post("/v3/kv/put", key).await;
    assert_eq!(reply["header"]["revision"], "2");
    let range = json!({"key": "Zm9v", "rangeEnd": "Zm9w"});
    let (_, reply) = setup.post("/v3/kv/range", range).await;
    let kv = json!({
        "key": "Zm9v", "create_revision": "2", "mod_revision": "2",
        "version": "1", "value": "YmFy",
    });
    assert_eq!(reply["kvs"], json!([kv]));
    assert_eq!(reply["count"], "1");
    let txn = json!({
        "compare": [{"target": "VERSION", "key": "Zm9v",
                     "result": "GREATER", "version": 0}],
        "success": [{"requestDeleteRange": {"key": "Zm9v"}}],
    });
    let (_, reply) = setup.post("/v3/kv/txn", txn).await;
    assert_eq!(reply["succeeded"], true);
    let step = &reply["responses"][0]["response_delete_range"];
    assert_eq!(step["deleted"], "1");
    let lease = json!({"TTL": 9, "ID": 7});
    let (_, reply) = setup.post("/v3/lease/grant", lease).await;
    assert_eq!((&reply["ID"], &reply["TTL"]), (&json!("7"), &json!("9")));
    let (status, reply) =
        setup.post("/v3/lease/revoke", json!({"ID": "8"})).await;
    assert_eq!((status, &reply["code"]), (404, &json!(5)));
    let (status, _) = setup.post("/v3/kv/put", json!({"key": "%"})).await;
    assert_eq!(status, 400);
}

#[tokio::test]
async fn faults_and_counts_are_served_over_http() {
    let setup = start().await;
    let (status, _) = setup
        .post("/faults", json!({"slow_ms": 1, "seed": 4}))
        .await;
    assert_eq!(status, 204);
    assert_eq!(setup.service.faults().slow_ms, 1);
    let (status, _) = setup.post("/faults", json!({"lose_answer": 2})).await;
    assert_eq!(status, 400);
    setup.client.get("a").await.unwrap();
    let _watch = setup.client.watch("a", 0).await.unwrap();
    let url = format!("{}/counts", setup.service.url());
    let text = reqwest::get(&url).await.unwrap().text().await.unwrap();
    let counts: KvCounts = serde_json::from_str(&text).unwrap();
    assert_eq!((counts.calls, counts.range, counts.watch), (2, 1, 1));
    assert_eq!((counts.reads, counts.writes), (1, 0));
    assert_eq!(counts.watches_open, 1);
    assert!(counts.bytes_in > 0 && counts.bytes_out > 0);
}
