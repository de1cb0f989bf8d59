//! The response to a caller when the link to a companion breaks during the
//! call.

#![allow(clippy::unwrap_used)]

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use base::{Incarnation, KeyDigest};
use conf::settings::Settings;
use futures::future::{BoxFuture, FutureExt};
use kv::{EtcdJsonOptions, Kv, Op, Txn};
use obs::Metrics;
use pomeloslip_entry::{Entry, configuration_keys, first_configuration};
use standin::kv::{KvService, KvServiceHandle, KvServiceSettings};
use tokio::sync::Notify;
use wire::{
    CompanionHandler, FrameSender, Handlers, Secrets, Server,
    message::{Identity, Load, Order, Refusal, Request},
    serve,
};

const KEY: &str = "key-of-taevakorv";

/// Companion that accepts every call and never responds.
#[derive(Default)]
struct SilentCompanion {
    calls: AtomicU32,
    called: Notify,
}

struct Handler(Arc<SilentCompanion>);

impl CompanionHandler for Handler {
    fn run(
        &self,
        _: Request,
        _: FrameSender,
    ) -> BoxFuture<'static, Result<(), Refusal>> {
        let silent = self.0.clone();
        async move {
            silent.calls.fetch_add(1, Ordering::SeqCst);
            silent.called.notify_one();
            std::future::pending().await
        }
        .boxed()
    }

    fn load(&self) -> Load {
        Load {
            endpoint_up: true,
            ..Load::default()
        }
    }

    fn order(&self, _: Order) -> BoxFuture<'static, Result<(), Refusal>> {
        async { Ok(()) }.boxed()
    }
}

async fn silent_companion() -> (Server, Arc<SilentCompanion>) {
    let silent = Arc::new(SilentCompanion::default());
    let handlers = Handlers {
        companion: Some(Arc::new(Handler(silent.clone()))),
        ..Handlers::default()
    };
    let identity = Identity {
        role: "companion".to_owned(),
        vm: "desk-1".parse().unwrap(),
        incarnation: Incarnation::new(1),
        failure_domain: "saue".parse().unwrap(),
    };
    let listen = "127.0.0.1:0".parse().unwrap();
    let server = serve(listen, identity, Secrets::default(), handlers).await;
    (server.unwrap(), silent)
}

async fn platform() -> KvServiceHandle {
    let service = KvService::start(KvServiceSettings::default()).await;
    let service = service.unwrap();
    let text = format!(
        "\
tenants:
  - tenant: taevakorv
    key_sha256: [{}]
pools:
  - {{pool: desk, kind: service, service: desk}}
rules:
  - when: {{service: desk}}
    then: {{pool: desk, retries: 3}}
",
        KeyDigest::of_key(KEY),
    );
    let value = first_configuration(&text).unwrap();
    let put = |key| Op::Put {
        key,
        value: value.clone(),
        lease: None,
    };
    let txn = Txn {
        success: configuration_keys("/t/").map(put).into(),
        ..Txn::default()
    };
    let client = EtcdJsonOptions::new([service.url()]).build().unwrap();
    client.txn(txn).await.unwrap();
    service
}

async fn entry(service: &KvServiceHandle, peers: [&Server; 2]) -> Entry {
    let endpoint = |(at, peer): (usize, &&Server)| {
        format!(
            "  - {{endpoint: desk-{at}, pool: desk, failure_domain: saue, \
             peer: {}}}\n",
            peer.address()
        )
    };
    let endpoints: String = peers.iter().enumerate().map(endpoint).collect();
    let yaml = format!(
        "\
role: entry
vm: entry-1
failure_domain: saue
listen: 127.0.0.1:0
peer_listen: 127.0.0.1:0
key_value: {{addresses: [{}], prefix: /t/}}
endpoints:
{endpoints}",
        service.url(),
    );
    let settings = Settings::parse("test", &yaml).unwrap();
    let entry = Entry::start(&settings, Metrics::default(), None).await;
    let entry = entry.unwrap();
    entry.ready().await;
    entry
}

/// Guards against running a billed filing twice, and against reporting that it
/// did not run although it did. A call that is not repeatable is sent to a
/// companion, whose process dies before it responds. The fault was to treat
/// the broken link as a call that was not sent, so that the call went to the
/// next endpoint or was refused as not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_link_breaks_is_unknown_and_goes_nowhere_else() {
    let service = platform().await;
    let (first, first_seen) = silent_companion().await;
    let (second, second_seen) = silent_companion().await;
    let entry = entry(&service, [&first, &second]).await;
    let url = format!("http://{}/svc/desk/file", entry.http_address());
    let call = tokio::spawn(async move {
        let client = reqwest::Client::new();
        let call = client.post(url).bearer_auth(KEY).body("a filing");
        let reply = call.send().await.unwrap();
        let status = reply.status().as_u16();
        (status, reply.json::<serde_json::Value>().await.unwrap())
    });
    tokio::select! {
        () = first_seen.called.notified() => first.stop().await,
        () = second_seen.called.notified() => second.stop().await,
    }
    let (status, problem) = call.await.unwrap();
    assert_eq!(status, 502, "{problem}");
    assert_eq!(problem["ran"], "unknown", "{problem}");
    let calls = |seen: &SilentCompanion| seen.calls.load(Ordering::SeqCst);
    assert_eq!(calls(&first_seen) + calls(&second_seen), 1);
}
