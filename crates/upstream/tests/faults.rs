//! Tests of calls through a proxy that injects faults.
#![allow(clippy::unwrap_used)]

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use base::{Class, VersionKey};
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
    FrameSender,
    message::{Frame, Outcome, OutcomeKind, Request},
};

/// Timeout of events that must happen, generous for slow machines.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

const SIZED: &str = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n0123456789";

const EVENTS: &str = "HTTP/1.1 200 OK\r\n\
    content-type: text/event-stream\r\n\
    connection: close\r\n\r\n\
    data: 1\n\ndata: 2\n\ndata: [DONE]\n\n";

/// An endpoint that counts the requests that it runs.
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

    /// Responds to requests without a body until the connection ends.
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

/// Connects a client to an endpoint through a proxy. `silence_ms` is the
/// timeout of a call without progress.
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
        version: VersionKey::UNDECLARED,
        target: "korv-1".to_owned(),
    }
}

/// Runs a call and returns its outcome with the received bytes.
async fn call(client: &EndpointClient, repeatable: bool) -> (Outcome, String) {
    let (answer, mut frames) = FrameSender::channel();
    let run = client.run(request(repeatable), &answer, || {});
    let outcome = timeout(EVENT_TIMEOUT, run).await.unwrap();
    drop(answer);
    let mut text = String::new();
    while let Some(frame) = frames.recv().await {
        if let Frame::Chunk { bytes, .. } = frame {
            text.push_str(std::str::from_utf8(&bytes).unwrap());
        }
    }
    (outcome, text)
}

/// Timeout that calls over healthy connections do not reach.
const LONG_SILENCE_MS: u64 = 20_000;

/// Timeout for calls that are expected to time out.
const SHORT_SILENCE_MS: u64 = 300;

fn silent_answer_after(bytes: u64) -> Rule {
    Rule::new(Fault::Silence)
        .direction(Direction::ToClient)
        .after_bytes(bytes)
}

/// Guards against a caller that waits forever: the response has begun, and
/// the connection drops the remainder silently. Needs a limit on the time
/// between two bytes.
#[tokio::test]
async fn a_silent_answer_ends_as_broken_and_may_have_run() {
    let setup = setup(SIZED, SHORT_SILENCE_MS).await;
    setup
        .handle
        .set(vec![silent_answer_after(SIZED.len() as u64 - 4)]);
    let (outcome, text) = call(&setup.client, true).await;
    assert_eq!(outcome.kind, OutcomeKind::Broken);
    assert!(outcome.ran);
    assert_eq!(text, "012345");
    assert_eq!(setup.endpoint.ran(), 1);
}

/// Guards against a caller that waits forever: on a half-open connection, the
/// endpoint runs the call and the response is lost. Needs a limit on the time
/// to the first byte. The client cannot know whether the call ran, so it must
/// report that the call may have run.
#[tokio::test]
async fn a_silence_before_the_answer_may_have_run() {
    let setup = setup(SIZED, SHORT_SILENCE_MS).await;
    setup.handle.set(vec![silent_answer_after(0)]);
    let (outcome, _) = call(&setup.client, true).await;
    assert_eq!(outcome.kind, OutcomeKind::TimedOut);
    assert!(outcome.ran);
    assert_eq!(setup.endpoint.ran(), 1);
}

/// Guards against sending a call that must not be repeated on a pooled
/// connection that has failed silently: the call would end as "may have run"
/// although it never ran.
#[tokio::test]
async fn a_call_that_may_not_be_repeated_opens_a_connection() {
    let setup = setup(SIZED, LONG_SILENCE_MS).await;
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

/// Guards against a partial response that looks complete: the connection is
/// lost in the middle of a response, and the end of the bytes is taken for
/// the end of the response.
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
        let setup = setup(reply, LONG_SILENCE_MS).await;
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

/// Guards against a refusal that says "did not run" for a call that ran: a
/// reset before the response proves nothing. Only a connection that could not
/// be established proves that nothing was sent.
#[tokio::test]
async fn only_a_connection_that_was_not_made_proves_not_sent() {
    let setup = setup(SIZED, LONG_SILENCE_MS).await;
    let cut = Rule::new(Fault::Cut).direction(Direction::ToClient);
    setup.handle.set(vec![cut]);
    let (outcome, _) = call(&setup.client, false).await;
    assert_eq!(outcome.kind, OutcomeKind::Broken);
    assert!(outcome.ran);

    let address = setup.proxy.address();
    setup.proxy.stop().await;
    let ran = setup.endpoint.ran();
    let (outcome, _) = call(&client(address, LONG_SILENCE_MS), false).await;
    assert_eq!(outcome.kind, OutcomeKind::NotSent);
    assert!(!outcome.ran);
    assert_eq!(setup.endpoint.ran(), ran);
}
