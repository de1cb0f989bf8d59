//! An entry with stand-in engines as endpoints, with or without companions.
#![allow(dead_code)]

pub(crate) mod statuses;

use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::Mutex,
    time::Duration,
};

use base::KeyDigest;
use companion::Companion;
use conf::settings::Settings;
use kv::{EtcdJsonOptions, Kv, Op, Txn};
use obs::Metrics;
use pomeloslip_entry::{Entry, configuration_keys, first_configuration};
use serde_json::{Value, json};
use standin::{
    engine::{Engine, EngineHandle, EngineSettings},
    kv::{KvService, KvServiceHandle, KvServiceSettings},
};

pub(crate) const KEY: &str = "key-of-taevakorv";
pub(crate) const MODEL: &str = "korv-lm";

/// Timeout for expected events, generous enough for slow machines.
pub(crate) const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts the key-value service; `then` is appended to the rule for the model.
pub(crate) async fn platform(then: &str) -> KvServiceHandle {
    let service = KvService::start(KvServiceSettings::default());
    let service = service.await.unwrap();
    let text = format!(
        "\
tenants:
  - tenant: taevakorv
    key_sha256: [{}]
pools:
  - {{pool: korv-lm, kind: engine, models: [{MODEL}]}}
rules:
  - when: {{model: {MODEL}}}
    then: {{pool: korv-lm, deadline_ms: 60000{then}}}
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

/// Reserves addresses that this process listens on later, since companions and
/// the entry need each other's address before either starts. No other process
/// uses this loopback address, and no address is reserved twice, so the ports
/// stay free meanwhile.
pub(crate) fn reserve<const COUNT: usize>() -> [SocketAddr; COUNT] {
    static RESERVED: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());
    let [.., high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 77, high, low.max(1));
    let mut reserved = RESERVED.lock().unwrap();
    [(); COUNT].map(|()| {
        loop {
            let listener = TcpListener::bind((ip, 0)).unwrap();
            let address = listener.local_addr().unwrap();
            if reserved.insert(address) {
                return address;
            }
        }
    })
}

pub(crate) async fn engine() -> EngineHandle {
    Engine::start(EngineSettings::instant()).await.unwrap()
}

/// Returns a settings line for an engine without a companion.
pub(crate) fn without_companion(name: &str, engine: &EngineHandle) -> String {
    format!(
        "  - {{endpoint: {name}, pool: korv-lm, failure_domain: tallinn-a, \
         http: '{}'}}\n",
        engine.url()
    )
}

/// Returns a settings line for an endpoint with a companion.
pub(crate) fn with_companion(name: &str, peer: SocketAddr) -> String {
    format!(
        "  - {{endpoint: {name}, pool: korv-lm, failure_domain: tallinn-a, \
         peer: '{peer}'}}\n"
    )
}

/// Starts an entry; `more` holds the remaining settings.
pub(crate) async fn entry(platform: &KvServiceHandle, more: &str) -> Entry {
    entry_named("entry-1", platform, more).await
}

/// Starts one of several entries.
pub(crate) async fn entry_named(
    name: &str,
    platform: &KvServiceHandle,
    more: &str,
) -> Entry {
    let yaml = format!(
        "\
role: entry
vm: {name}
failure_domain: tallinn-a
listen: 127.0.0.1:0
peer_listen: 127.0.0.1:0
key_value: {{addresses: [{}], timeout_ms: 2000, prefix: /t/}}
{more}",
        platform.url(),
    );
    let settings = Settings::parse("test", &yaml).unwrap();
    let entry = Entry::start(&settings, Metrics::default(), None);
    let entry = entry.await.unwrap();
    entry.ready().await;
    entry
}

/// Starts a companion of an engine at an address.
pub(crate) async fn companion(
    name: &str,
    listen: SocketAddr,
    engine: &EngineHandle,
    entries: &[SocketAddr],
) -> Companion {
    companion_of(name, listen, &engine.url(), entries).await
}

/// Starts a companion of the server at a URL.
pub(crate) async fn companion_of(
    name: &str,
    listen: SocketAddr,
    url: &str,
    entries: &[SocketAddr],
) -> Companion {
    start_companion(name, listen, url, entries, "").await
}

/// Starts a companion of an engine of a software version.
pub(crate) async fn companion_at_version(
    name: &str,
    listen: SocketAddr,
    url: &str,
    entries: &[SocketAddr],
    version: &str,
) -> Companion {
    let more = format!(", version: {version}");
    start_companion(name, listen, url, entries, &more).await
}

async fn start_companion(
    name: &str,
    listen: SocketAddr,
    url: &str,
    entries: &[SocketAddr],
    more: &str,
) -> Companion {
    let entries: Vec<String> =
        entries.iter().map(|entry| format!("'{entry}'")).collect();
    let yaml = format!(
        "\
role: companion
vm: {name}
failure_domain: tallinn-a
listen: 127.0.0.1:0
peer_listen: '{listen}'
entries: [{}]
endpoint: {{name: {name}, pool: korv-lm, kind: engine, address: '{url}', \
         models: [{MODEL}]{more}}}
",
        entries.join(", "),
    );
    let settings = Settings::parse("test", &yaml).unwrap();
    let companion = Companion::start(&settings, Metrics::default());
    companion.await.unwrap()
}

/// Sends a streaming request and returns the events.
pub(crate) async fn stream(entry: &Entry, body: &Value) -> Events {
    let path = match body.get("prompt") {
        Some(_) => "/v1/completions",
        None => "/v1/chat/completions",
    };
    let reply = call(entry, path, body).await;
    assert_eq!(reply.status().as_u16(), 200);
    Events::of(&reply.text().await.unwrap())
}

pub(crate) async fn call(
    entry: &Entry,
    path: &str,
    body: &Value,
) -> reqwest::Response {
    let url = format!("http://{}{path}", entry.http_address());
    let client = reqwest::Client::builder().timeout(EVENT_TIMEOUT).build();
    let call = client.unwrap().post(url).bearer_auth(KEY);
    call.json(body).send().await.unwrap()
}

pub(crate) fn chat(prompt: &str) -> Value {
    json!({
        "model": MODEL,
        "stream": true,
        "max_tokens": 16,
        "stream_options": {"include_usage": true},
        "messages": [{"role": "user", "content": prompt}],
    })
}

/// Repeats a call until it succeeds.
pub(crate) async fn until_served(entry: &Entry) {
    let serve = async {
        loop {
            let body = chat("is it there");
            let reply = call(entry, "/v1/chat/completions", &body).await;
            if reply.status().is_success() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(EVENT_TIMEOUT, serve).await.unwrap();
}

/// A stream as received by its caller.
#[derive(Debug)]
pub(crate) struct Events {
    pub(crate) json: Vec<Value>,
    pub(crate) done: usize,
}

impl Events {
    pub(crate) fn of(text: &str) -> Self {
        let data = || {
            let events = text.split("\n\n").map(str::trim);
            events.filter_map(|event| event.strip_prefix("data: "))
        };
        let json = data()
            .filter(|data| *data != "[DONE]")
            .map(|data| serde_json::from_str(data).unwrap());
        Self {
            json: json.collect(),
            done: data().filter(|data| *data == "[DONE]").count(),
        }
    }

    /// Returns the text of the response, for chats and completions.
    pub(crate) fn text(&self) -> String {
        let parts = self.json.iter().filter_map(|event| {
            let choice = &event["choices"][0];
            let content = choice["delta"]["content"].as_str();
            content.or(choice["text"].as_str())
        });
        parts.collect()
    }

    pub(crate) fn count(&self, has: impl Fn(&Value) -> bool) -> usize {
        self.json.iter().filter(|event| has(event)).count()
    }

    /// Asserts that this is one complete response.
    #[track_caller]
    pub(crate) fn is_one_answer(&self, text: &str) {
        assert_eq!(self.text(), text);
        assert_eq!(self.done, 1);
        for name in ["id", "created"] {
            let first = &self.json[0][name];
            assert!(!first.is_null());
            assert!(self.json.iter().all(|event| event[name] == *first));
        }
        let ends = self.count(|e| !e["choices"][0]["finish_reason"].is_null());
        assert_eq!(ends, 1);
    }
}
