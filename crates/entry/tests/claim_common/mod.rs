//! An entry with a plain service as endpoint, and the platform's stand-ins.
#![allow(dead_code)]

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use base::KeyDigest;
use conf::settings::Settings;
use kv::{EtcdJsonOptions, Kv, Op, Txn};
use obs::Metrics;
use pomeloslip_entry::{Entry, configuration_keys, first_configuration};
use reqwest::RequestBuilder;
use serde_json::Value;
use standin::kv::{KvFaults, KvService, KvServiceHandle, KvServiceSettings};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};

pub(crate) const KEY: &str = "key-of-taevakorv";
pub(crate) const OTHER_KEY: &str = "key-of-alama";

/// Timeout for expected events, generous enough for slow machines.
pub(crate) const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

/// A service that counts its calls and can delay its responses.
pub(crate) struct Service {
    pub(crate) address: SocketAddr,
    ran: Arc<AtomicU32>,
    open: watch::Sender<bool>,
}

impl Service {
    pub(crate) async fn start(answer_bytes: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let ran = Arc::new(AtomicU32::new(0));
        let (open, gate) = watch::channel(true);
        let count = ran.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (count, gate) = (count.clone(), gate.clone());
                tokio::spawn(answer(stream, count, gate, answer_bytes));
            }
        });
        Self { address, ran, open }
    }

    pub(crate) fn ran(&self) -> u32 {
        self.ran.load(Ordering::SeqCst)
    }

    pub(crate) fn hold(&self) {
        self.open.send_replace(false);
    }

    pub(crate) fn release(&self) {
        self.open.send_replace(true);
    }

    pub(crate) async fn has_run(&self, times: u32) {
        let wait = async {
            while self.ran() < times {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        tokio::time::timeout(EVENT_TIMEOUT, wait).await.unwrap();
    }
}

/// Responds to one request and closes the connection; drops it without a
/// response if the body asks for that.
async fn answer(
    mut stream: TcpStream,
    ran: Arc<AtomicU32>,
    mut gate: watch::Receiver<bool>,
    answer_bytes: usize,
) {
    let mut request = Vec::new();
    while !is_whole(&request) {
        match stream.read_u8().await {
            Ok(byte) => request.push(byte),
            Err(_) => return,
        }
    }
    let number = ran.fetch_add(1, Ordering::SeqCst) + 1;
    gate.wait_for(|open| *open).await.unwrap();
    if request.ends_with(b"drop") {
        return;
    }
    let mut body = format!("{number} ");
    body.push_str(&"x".repeat(answer_bytes.saturating_sub(body.len())));
    let reply = format!(
        "HTTP/1.1 201 Created\r\ncontent-length: {}\r\n\
         x-booking: {number}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(reply.as_bytes()).await.unwrap();
}

fn is_whole(request: &[u8]) -> bool {
    let text = String::from_utf8_lossy(request).to_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head.lines().find_map(|line| {
        let value = line.strip_prefix("content-length:")?;
        value.trim().parse::<usize>().ok()
    });
    body.len() >= length.unwrap_or(0)
}

/// Starts the key-value service with a configuration that sets these limits
/// for the customer and the rule.
pub(crate) async fn platform(customer: &str, rule: &str) -> KvServiceHandle {
    let service = KvService::start(KvServiceSettings::default());
    let service = service.await.unwrap();
    let value = first_configuration(&text(customer, rule)).unwrap();
    let put = |key| Op::Put {
        key,
        value: value.clone(),
        lease: None,
    };
    let txn = Txn {
        success: configuration_keys("/t/").map(put).into(),
        ..Txn::default()
    };
    client(&service).txn(txn).await.unwrap();
    service
}

fn text(customer: &str, rule: &str) -> String {
    let digest = KeyDigest::of_key;
    format!(
        "\
tenants:
  - tenant: taevakorv
    key_sha256: [{}]
    limits: {{{customer}}}
  - tenant: alama
    key_sha256: [{}]
pools:
  - pool: vautsher-app
    kind: service
    service: vautsher-app
rules:
  - name: vouchers
    when: {{service: vautsher-app}}
    then: {{pool: vautsher-app, deadline_ms: 60000{rule}}}
",
        digest(KEY),
        digest(OTHER_KEY),
    )
}

pub(crate) fn client(service: &KvServiceHandle) -> impl Kv + use<> {
    EtcdJsonOptions::new([service.url()]).build().unwrap()
}

pub(crate) async fn claims(service: &KvServiceHandle) -> Vec<String> {
    let found = client(service).get_prefix("/t/claims/", 0).await.unwrap();
    found.kvs.into_iter().map(|kv| kv.key).collect()
}

pub(crate) fn stop_key_value_service(service: &KvServiceHandle) {
    let faults = KvFaults {
        down_ms: 3_600_000,
        ..KvFaults::default()
    };
    service.set_faults(faults).unwrap();
}

pub(crate) async fn entry(
    platform: &KvServiceHandle,
    service: SocketAddr,
) -> Entry {
    entry_at(platform.address(), service).await
}

/// Starts an entry that uses the key-value service at an address.
pub(crate) async fn entry_at(
    platform: SocketAddr,
    service: SocketAddr,
) -> Entry {
    let yaml = format!(
        "\
role: entry
vm: entry-1
failure_domain: tallinn-a
listen: 127.0.0.1:0
peer_listen: 127.0.0.1:0
key_value: {{addresses: ['http://{platform}'], timeout_ms: 2000, prefix: /t/}}
endpoints:
  - endpoint: vautsher-app-1
    pool: vautsher-app
    failure_domain: tallinn-a
    http: http://{service}
"
    );
    let settings = Settings::parse("test", &yaml).unwrap();
    let entry = Entry::start(&settings, Metrics::default(), None);
    let entry = entry.await.unwrap();
    entry.ready().await;
    entry
}

/// Returns a call that is not repeatable.
pub(crate) fn post(entry: &Entry, key: &str, body: &str) -> RequestBuilder {
    let address = entry.http_address();
    let url = format!("http://{address}/svc/vautsher-app/rebook");
    let client = reqwest::Client::builder().timeout(EVENT_TIMEOUT).build();
    let call = client.unwrap().post(url).bearer_auth(key);
    call.body(body.to_owned())
}

/// Returns such a call with an idempotency key.
pub(crate) fn keyed(entry: &Entry, name: &str, body: &str) -> RequestBuilder {
    post(entry, KEY, body).header("Idempotency-Key", name)
}

/// A response as received by its caller.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) replayed: bool,
    pub(crate) retry_after_s: Option<u64>,
    pub(crate) booking: Option<String>,
    pub(crate) body: String,
}

impl Reply {
    pub(crate) async fn of(call: RequestBuilder) -> Self {
        let reply = call.send().await.unwrap();
        let header = |name: &str| {
            let value = reply.headers().get(name)?;
            Some(value.to_str().unwrap().to_owned())
        };
        Self {
            status: reply.status().as_u16(),
            replayed: header("idempotency-replayed").is_some(),
            retry_after_s: header("retry-after").map(|s| s.parse().unwrap()),
            booking: header("x-booking"),
            body: reply.text().await.unwrap(),
        }
    }

    /// Asserts a problem by the last part of its type and its `ran` field.
    #[track_caller]
    pub(crate) fn is_problem(&self, slug: &str, ran: &str) {
        let json: Value = serde_json::from_str(&self.body).unwrap();
        let kind = format!("urn:pomeloslip:problem:{slug}");
        assert_eq!(json["type"], kind, "{json}");
        assert_eq!(json["ran"], ran, "{json}");
    }
}
