//! Calls of an endpoint through a proxy that injects faults.
#![allow(clippy::unwrap_used)]

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use base::Class;
use bytes::Bytes;
use conf::settings::TimeoutSettings;
use faultproxy::{Direction, Fault, FaultProxy, Handle, Rule, Scope};
use pomeloslip_upstream::EndpointClient;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};
use wire::{
    Answer,
    message::{Frame, Outcome, OutcomeKind, Request},
};

/// Time in which something that is to happen happens, on any machine.
const SURELY: Duration = Duration::from_secs(30);

const SIZED: &str = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n0123456789";

const EVENTS: &str = "HTTP/1.1 200 OK\r\n\
    content-type: text/event-stream\r\n\
    connection: close\r\n\r\n\
    data: 1\n\ndata: 2\n\ndata: [DONE]\n\n";

/// An endpoint that counts what it runs.
#[derive(Clone, Default)]
struct Endpoint {
    ran: Arc<AtomicU32>,
}

impl Endpoint {
    async fn start(reply: &'static str) -> (Self, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let endpoint = Self::default();
        let this = endpoint.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(this.clone().serve(stream, reply));
            }
        });
        (endpoint, address)
    }

    /// Answers each request without a body until the connection ends.
    async fn serve(self, mut stream: TcpStream, reply: &'static str) {
        let mut head = Vec::new();
        while let Ok(byte) = stream.read_u8().await {
            head.push(byte);
            if head.ends_with(b"\r\n\r\n") {
                head.clear();
                self.ran.fetch_add(1, Ordering::SeqCst);
                if stream.write_all(reply.as_bytes()).await.is_err()
                    || reply.contains("connection: close")
                {
                    return;
                }
            }
        }
    }

    fn ran(&self) -> u32 {
        self.ran.load(Ordering::SeqCst)
    }
}

struct Setup {
    endpoint: Endpoint,
    proxy: FaultProxy,
    handle: Handle,
    client: EndpointClient,
}

/// `silence_ms` is how long a call may make no progress.
async fn setup(reply: &'static str, silence_ms: u64) -> Setup {
    let (endpoint, address) = Endpoint::start(reply).await;
    let proxy = FaultProxy::start(address, 1).await.unwrap();
    let client = client(proxy.address(), silence_ms);
    Setup {
        endpoint,
        handle: proxy.handle(),
        proxy,
        client,
    }
}

fn client(address: SocketAddr, silence_ms: u64) -> EndpointClient {
    let timeouts = TimeoutSettings {
        connect_ms: 20_000,
        first_byte_ms: silence_ms,
        between_bytes_ms: silence_ms,
        ..TimeoutSettings::default()
    };
    let address = format!("http://{address}").parse().unwrap();
    EndpointClient::try_new(address, &timeouts).unwrap()
}

fn request(repeatable: bool) -> Request {
    Request {
        request_id: "r-1".parse().unwrap(),
        attempt: 0,
        customer: "taevakorv".parse().unwrap(),
        class: Class::Online,
        method: "GET".to_owned(),
        path: "/x".to_owned(),
        headers: vec![],
        body: Bytes::new(),
        deadline_ms: 0,
        repeatable,
        resume_offset: 0,
        target: "korv-1".to_owned(),
    }
}

/// Runs a call and returns its end with the bytes that came.
async fn call(client: &EndpointClient, repeatable: bool) -> (Outcome, String) {
    let (answer, mut frames) = Answer::channel();
    let run = client.run(request(repeatable), &answer, || {});
    let outcome = timeout(SURELY, run).await.unwrap();
    drop(answer);
    let mut text = String::new();
    while let Some(frame) = frames.recv().await {
        if let Frame::Chunk { bytes, .. } = frame {
            text.push_str(std::str::from_utf8(&bytes).unwrap());
        }
    }
    (outcome, text)
}

/// Time without progress that calls of healthy connections never reach.
const PATIENT_MS: u64 = 20_000;

/// Time without progress for calls that are sure to run into it.
const IMPATIENT_MS: u64 = 300;

fn silent_answer_after(bytes: u64) -> Rule {
    Rule::new(Fault::Silence)
        .direction(Direction::ToClient)
        .after_bytes(bytes)
}

/// Symptom: a caller waits for good. Sequence: the endpoint's answer has
/// begun; the connection loses its track and the rest never comes. Cause: no
/// limit on the time between two bytes.
#[tokio::test]
async fn a_silent_answer_ends_as_broken_and_may_have_run() {
    let setup = setup(SIZED, IMPATIENT_MS).await;
    setup
        .handle
        .set(vec![silent_answer_after(SIZED.len() as u64 - 4)]);
    let (outcome, text) = call(&setup.client, true).await;
    assert_eq!(outcome.kind, OutcomeKind::Broken);
    assert!(outcome.ran);
    assert_eq!(text, "012345");
    assert_eq!(setup.endpoint.ran(), 1);
}

/// Symptom: a caller waits for good. Sequence: the call is on its way on a
/// half-open connection; the endpoint runs it, the answer disappears.
/// Cause: no limit on the time to the first byte. That it ran cannot be
/// known here, so nothing else may be said.
#[tokio::test]
async fn a_silence_before_the_answer_may_have_run() {
    let setup = setup(SIZED, IMPATIENT_MS).await;
    setup.handle.set(vec![silent_answer_after(0)]);
    let (outcome, _) = call(&setup.client, true).await;
    assert_eq!(outcome.kind, OutcomeKind::TimedOut);
    assert!(outcome.ran);
    assert_eq!(setup.endpoint.ran(), 1);
}

/// Symptom: a booking fails as "may have run". Sequence: a connection is
/// kept open and goes silent; a call that may not be repeated is sent on
/// it. Cause: it used a kept connection instead of one of its own.
#[tokio::test]
async fn a_call_that_may_not_be_repeated_opens_a_connection() {
    let setup = setup(SIZED, PATIENT_MS).await;
    let (outcome, _) = call(&setup.client, true).await;
    assert_eq!(outcome.kind, OutcomeKind::Complete);
    let silence = Rule::new(Fault::Silence).scope(Scope::Open);
    setup.handle.set(vec![silence]);
    for calls in 1..4 {
        let (outcome, text) = call(&setup.client, false).await;
        assert_eq!(outcome.kind, OutcomeKind::Complete);
        assert_eq!(text, "0123456789");
        assert_eq!(setup.handle.counts().accepted, 1 + calls);
    }
    assert_eq!(setup.endpoint.ran(), 4);
}

/// Symptom: half an answer looks like a whole one. Sequence: the connection
/// breaks in the middle of an answer. Cause: the end of the bytes was taken
/// for the end of the answer.
#[yare::parameterized(
    reset_in_a_body = { SIZED, Fault::Cut, 4, OutcomeKind::Broken },
    closed_in_a_body = { SIZED, Fault::Close, 4, OutcomeKind::Broken },
    reset_in_events = { EVENTS, Fault::Cut, 10, OutcomeKind::Broken },
    closed_in_events = { EVENTS, Fault::Close, 10, OutcomeKind::Truncated },
    closed_before_the_mark = { EVENTS, Fault::Close, 14, OutcomeKind::Truncated },
)]
fn a_broken_answer_is_not_whole(
    reply: &'static str,
    fault: Fault,
    missing: u64,
    kind: OutcomeKind,
) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let setup = setup(reply, PATIENT_MS).await;
        let rule = Rule::new(fault)
            .direction(Direction::ToClient)
            .after_bytes(reply.len() as u64 - missing);
        setup.handle.set(vec![rule]);
        let (outcome, text) = call(&setup.client, false).await;
        assert_eq!(outcome.kind, kind, "{outcome:?}");
        assert!(outcome.ran);
        assert!(!text.contains("[DONE]"));
        assert_eq!(setup.endpoint.ran(), 1);
    });
}

/// Symptom: a refusal says "did not run" and it ran. Sequence: the
/// connection is reset before the answer. Cause: only a connection that was
/// never made proves that nothing was sent.
#[tokio::test]
async fn only_a_connection_that_was_not_made_proves_not_sent() {
    let setup = setup(SIZED, PATIENT_MS).await;
    let cut = Rule::new(Fault::Cut).direction(Direction::ToClient);
    setup.handle.set(vec![cut]);
    let (outcome, _) = call(&setup.client, false).await;
    assert_eq!(outcome.kind, OutcomeKind::Broken);
    assert!(outcome.ran);

    let address = setup.proxy.address();
    setup.proxy.stop().await;
    let ran = setup.endpoint.ran();
    let (outcome, _) = call(&client(address, PATIENT_MS), false).await;
    assert_eq!(outcome.kind, OutcomeKind::NotSent);
    assert!(!outcome.ran);
    assert_eq!(setup.endpoint.ran(), ran);
}
