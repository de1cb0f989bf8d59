//! Endpoints that fall silent during a call and go on, or never do.
#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use base::{Incarnation, KeyDigest};
use bytes::Bytes;
use conf::settings::Settings;
use futures::future::{BoxFuture, FutureExt};
use kv::{EtcdJsonOptions, Kv, Op, Txn};
use obs::Metrics;
use pomeloslip_entry::{Entry, configuration_keys, first_configuration};
use standin::kv::{KvService, KvServiceHandle, KvServiceSettings};
use wire::{
    CompanionHandler, FrameSender, Handlers, Secrets, Server,
    message::{
        Frame, Header, Identity, Load, Order, Outcome, OutcomeKind, Refusal,
        Request,
    },
    serve,
};

const KEY: &str = "key-of-taevakorv";

/// Longest silence of a sound endpoint.
const PAUSE: Duration = Duration::from_secs(3);

/// Timeouts of silences in the settings, in milliseconds; shorter than the
/// pause.
const TIMEOUT_MS: u64 = 1_000;

/// Deadline of the calls to the service `brief`, in milliseconds.
const DEADLINE_MS: u64 = 1_500;

/// Point of a response at which the endpoint falls silent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Point {
    BeforeHead,
    AfterHead,
    InBody,
}

/// Form of a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Form {
    Sized,
    Unsized,
    Events,
}

/// Companion whose endpoint is silent once in each response.
struct Pausing {
    point: Point,
    form: Form,
    pause: Duration,
}

impl Pausing {
    fn header(&self) -> Vec<Header> {
        let (name, value) = match self.form {
            Form::Sized => ("content-length", "18"),
            Form::Unsized => return Vec::new(),
            Form::Events => ("content-type", "text/event-stream"),
        };
        vec![Header {
            name: name.to_owned(),
            value: value.to_owned(),
        }]
    }

    async fn answer(&self, answer: FrameSender) {
        let pause_at = async |point| {
            if self.point == point {
                tokio::time::sleep(self.pause).await;
            }
        };
        let send = async |frame| {
            // The caller may have left.
            let _ = answer.send(frame).await;
        };
        let chunk = |seq, text: &'static str| {
            let bytes = Bytes::from_static(text.as_bytes());
            Frame::Chunk { seq, bytes }
        };
        pause_at(Point::BeforeHead).await;
        let headers = self.header();
        let status = 200;
        send(Frame::Head { status, headers }).await;
        pause_at(Point::AfterHead).await;
        send(chunk(0, "data: 1\n\n")).await;
        pause_at(Point::InBody).await;
        send(chunk(1, "data: 2\n\n")).await;
        send(Frame::End(Outcome {
            kind: OutcomeKind::Complete,
            ran: true,
            detail: String::new(),
            chunks: 2,
        }))
        .await;
    }
}

struct Handler(std::sync::Arc<Pausing>);

impl CompanionHandler for Handler {
    fn run(
        &self,
        _: Request,
        answer: FrameSender,
    ) -> BoxFuture<'static, Result<(), Refusal>> {
        let pausing = self.0.clone();
        async move {
            tokio::spawn(async move { pausing.answer(answer).await });
            Ok(())
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

struct Setup {
    _platform: KvServiceHandle,
    _companion: Server,
    entry: Entry,
}

async fn setup(point: Point, form: Form, pause: Duration) -> Setup {
    let companion = companion(Pausing { point, form, pause }).await;
    let platform = platform().await;
    let entry = entry(&platform, &companion).await;
    Setup {
        _platform: platform,
        _companion: companion,
        entry,
    }
}

impl Setup {
    async fn call(
        &self,
        service: &str,
        key: Option<&str>,
    ) -> reqwest::Response {
        let address = self.entry.http_address();
        let url = format!("http://{address}/svc/{service}/file");
        let mut call = reqwest::Client::new().post(url).bearer_auth(KEY);
        if let Some(key) = key {
            call = call.header("Idempotency-Key", key);
        }
        call.body("a filing").send().await.unwrap()
    }
}

async fn companion(pausing: Pausing) -> Server {
    let handlers = Handlers {
        companion: Some(std::sync::Arc::new(Handler(pausing.into()))),
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
    server.unwrap()
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
  - {{pool: brief, kind: service, service: brief}}
rules:
  - when: {{service: desk}}
    then: {{pool: desk}}
  - when: {{service: brief}}
    then: {{pool: brief, deadline_ms: {DEADLINE_MS}}}
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

async fn entry(platform: &KvServiceHandle, companion: &Server) -> Entry {
    let endpoint = |pool: &str| {
        format!(
            "  - {{endpoint: {pool}-1, pool: {pool}, failure_domain: saue, \
             peer: {}}}\n",
            companion.address()
        )
    };
    let yaml = format!(
        "\
role: entry
vm: entry-1
failure_domain: saue
listen: 127.0.0.1:0
peer_listen: 127.0.0.1:0
key_value: {{addresses: [{}], prefix: /t/}}
endpoints:
{}{}",
        platform.url(),
        endpoint("desk"),
        endpoint("brief"),
    );
    let mut settings = Settings::parse("test", &yaml).unwrap();
    settings.timeouts.first_byte_ms = TIMEOUT_MS;
    settings.timeouts.between_bytes_ms = TIMEOUT_MS;
    let entry = Entry::start(&settings, Metrics::default(), None).await;
    let entry = entry.unwrap();
    entry.ready().await;
    entry
}

/// Guards against answers that end because a sound endpoint was silent.
#[yare::parameterized(
    before_the_head = { Point::BeforeHead, Form::Sized, None },
    after_the_head = { Point::AfterHead, Form::Sized, None },
    in_a_sized_body = { Point::InBody, Form::Sized, None },
    in_a_body_that_is_kept = { Point::InBody, Form::Sized, Some("k-1") },
    in_a_body_without_a_length = { Point::InBody, Form::Unsized, None },
    after_the_head_of_a_stream = { Point::AfterHead, Form::Events, None },
    in_a_stream = { Point::InBody, Form::Events, None },
)]
fn a_silence_ends_no_answer(point: Point, form: Form, key: Option<&str>) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let setup = setup(point, form, PAUSE).await;
        let reply = setup.call("desk", key).await;
        let status = reply.status().as_u16();
        let body = reply.text().await.unwrap();
        assert_eq!((status, &*body), (200, "data: 1\n\ndata: 2\n\n"));
    });
}

/// Guards against calls that outlast their deadline at an endpoint that stays
/// silent.
#[yare::parameterized(
    before_the_head = { Point::BeforeHead },
    after_the_head = { Point::AfterHead },
)]
fn a_deadline_ends_a_call_of_a_silent_endpoint(point: Point) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let setup = setup(point, Form::Sized, 10 * PAUSE).await;
        let sent = Instant::now();
        let reply = setup.call("brief", None).await;
        assert!(sent.elapsed() < Duration::from_millis(2 * DEADLINE_MS));
        assert_eq!(reply.status().as_u16(), 504);
        let problem: serde_json::Value = reply.json().await.unwrap();
        assert_eq!(problem["ran"], "unknown", "{problem}");
    });
}

/// Guards against streams that outlast their deadline at an endpoint that
/// stays silent.
#[tokio::test(flavor = "multi_thread")]
async fn a_deadline_ends_a_stream_of_a_silent_endpoint() {
    let setup = setup(Point::InBody, Form::Events, 10 * PAUSE).await;
    let sent = Instant::now();
    let reply = setup.call("brief", None).await;
    assert_eq!(reply.status().as_u16(), 200);
    let body = reply.text().await.unwrap();
    assert!(sent.elapsed() < Duration::from_millis(2 * DEADLINE_MS));
    assert!(body.starts_with("data: 1\n\ndata: {\"error\""), "{body}");
}
