//! Endpoints that send bytes without end, in a head or a body.

mod common;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use base::SystemClock;
use budget::{MemoryBudget, MemoryOptions};
use bytes::Bytes;
use common::{
    Act, Fixture, Scripted, chunk, fixture, read, request, request_with,
    route, valid_response,
};
use fleet::{Endpoint, EndpointRecord, EndpointState, RouteKind};
use framing::MAX_EVENT_BYTES;
use pomeloslip_pass::{
    CallOutcome, Listener, ListenerOptions, Pool, Relay, ShutdownPhase,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};
use yare::parameterized;

/// Maximum number of bytes that a node reads before it gives up a head: its
/// own buffer, and what the sockets hold.
const MAX_READ_BYTES: usize = 16 * 1024 * 1024;

/// Maximum time until a request is served by another endpoint: one that stays
/// silent is left after two seconds.
const MAX_TIME: Duration = Duration::from_secs(3);

/// An endpoint that sends a beginning, then one text again and again until its
/// caller closes the connection.
struct Endless {
    address: SocketAddr,
    sent: Arc<AtomicUsize>,
    connections: Arc<AtomicUsize>,
    closed: Arc<AtomicUsize>,
}

impl Endless {
    async fn start(beginning: &str, repeated: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let endless = Self {
            address,
            sent: Arc::default(),
            connections: Arc::default(),
            closed: Arc::default(),
        };
        let texts = (beginning.to_owned(), repeated.repeat(64));
        let counts = (endless.sent.clone(), endless.closed.clone());
        let connections = endless.connections.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                connections.fetch_add(1, Ordering::Relaxed);
                let (texts, counts) = (texts.clone(), counts.clone());
                tokio::spawn(async move {
                    send(stream, texts, &counts.0).await;
                    counts.1.fetch_add(1, Ordering::Relaxed);
                });
            }
        });
        endless
    }

    fn sent(&self) -> usize {
        self.sent.load(Ordering::Relaxed)
    }

    async fn wait_until_closed(&self) {
        let until = Instant::now() + MAX_TIME;
        while self.closed.load(Ordering::Relaxed)
            < self.connections.load(Ordering::Relaxed)
        {
            assert!(Instant::now() < until, "the connection stays open");
            sleep(Duration::from_millis(5)).await;
        }
    }
}

async fn send(
    mut stream: TcpStream,
    (beginning, repeated): (String, String),
    sent: &AtomicUsize,
) {
    let mut request = [0; 4_096];
    let length = stream.read(&mut request).await.unwrap_or(0);
    let request = String::from_utf8_lossy(&request[..length]);
    let id = common::header(&request, "x-id").unwrap_or_default();
    let beginning = beginning.replace("ID", &id);
    if stream.write_all(beginning.as_bytes()).await.is_err() {
        return;
    }
    while stream.write_all(repeated.as_bytes()).await.is_ok() {
        sent.fetch_add(repeated.len(), Ordering::Relaxed);
    }
}

fn endpoint_at(address: SocketAddr) -> Endpoint {
    Endpoint::new(EndpointRecord {
        id: "e1".to_owned(),
        started_at: None,
        version: None,
        address,
        service: "app".to_owned(),
        failure_domain: "near".to_owned(),
        slots: 4,
        state: EndpointState::Ready,
    })
}

async fn sound() -> Scripted {
    Scripted::start(vec![Act::Respond(valid_response("hello"))]).await
}

async fn forward(setup: &Fixture, id: &str) -> (u16, Result<String, String>) {
    let request = request(id, route(RouteKind::Idempotent));
    read(setup.forwarder.forward(request, 1).await).await
}

/// Guards against a node that reads, and keeps, the bytes of an endpoint that
/// are no response, for as long as they come.
#[parameterized(
    no_head_at_all = { "", "no http " },
    blank_lines = { "", "\r\n" },
    an_endless_header = { "HTTP/1.1 200 OK\r\nx-a: ", "aaaaaaaa" },
    endless_headers = { "HTTP/1.1 200 OK\r\n", "x-a: aaaa\r\n" },
    an_endless_status_line = { "HTTP/1.1 200 ", "OKOKOKOK" },
    endless_interim_responses = { "", "HTTP/1.1 100 Continue\r\n\r\n" },
    a_body_without_a_seal = { "HTTP/1.1 200 OK\r\nx-id: ID\r\n\r\n", "aaaa" },
    a_body_of_another_request = {
        "HTTP/1.1 200 OK\r\nx-id: other\r\nx-seal: s\r\n\r\n", "aaaa"
    },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn an_endpoint_with_a_response_without_end_is_left(
    beginning: &str,
    repeated: &str,
) {
    let endless = Endless::start(beginning, repeated).await;
    let other = sound().await;
    let setup = fixture(&[endless.address, other.address]);
    let began = Instant::now();
    let answer = forward(&setup, "r1").await;
    assert!(began.elapsed() < MAX_TIME, "{:?}", began.elapsed());
    assert_eq!(answer, (200, Ok("hello".to_owned())));
    endless.wait_until_closed().await;
    assert!(endless.sent() < MAX_READ_BYTES, "{} bytes", endless.sent());
    let tried = endless.connections.load(Ordering::Relaxed);
    assert!(tried > 0, "the endpoint was never tried");
    for number in 0..5 {
        let id = format!("later-{number}");
        assert_eq!(forward(&setup, &id).await.0, 200);
    }
    let again = endless.connections.load(Ordering::Relaxed) - tried;
    assert!(again <= 1, "tried {again} times more");
}

/// Head of a stream of events.
const STREAM: &str = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: s\r\n\
                      content-type: text/event-stream\r\n\r\n";

/// Guards against a node that keeps an event without end until its memory is
/// full, and against a stream that its caller waits for in vain.
#[tokio::test(flavor = "multi_thread")]
async fn an_event_without_end_is_resumed_elsewhere() {
    let beginning = format!("{STREAM}id: 1\ndata: a\n\nid: 2\ndata: ");
    let endless = Endless::start(&beginning, "bbbbbbbb").await;
    let rest = chunk("id: 2\ndata: b\n\n");
    let rest = format!(
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: s\r\n\
         content-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n{rest}0\r\n\r\n"
    );
    let other = Scripted::start(vec![Act::Respond(rest)]).await;
    let setup = fixture(&[endless.address, other.address]);
    let began = Instant::now();
    let request = request("r1", route(RouteKind::ResumableStream));
    let answer = read(setup.forwarder.forward(request, 1).await).await;
    assert!(began.elapsed() < MAX_TIME, "{:?}", began.elapsed());
    let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n".to_owned();
    assert_eq!(answer, (200, Ok(events)));
    endless.wait_until_closed().await;
    let most = MAX_EVENT_BYTES + MAX_READ_BYTES;
    assert!(endless.sent() < most, "{} bytes", endless.sent());
}

/// Guards against a request that is never over, because its response is not.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_without_end_ends_with_the_deadline() {
    let head = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: s\r\n\r\n";
    let endless = Endless::start(head, "aaaaaaaa").await;
    let setup = fixture(&[endless.address]);
    let deadline = [("x-deadline", "400")];
    let request = request_with("r1", route(RouteKind::Idempotent), &deadline);
    let began = Instant::now();
    let (status, body) = read(setup.forwarder.forward(request, 1).await).await;
    assert!(began.elapsed() < MAX_TIME, "{:?}", began.elapsed());
    assert_eq!(status, 200);
    assert!(body.is_err(), "an incomplete body looks complete");
    endless.wait_until_closed().await;
}

/// Number of calls at the same time.
const CALLS: usize = 20;

/// Memory for all calls and responses together.
const CALL_MEMORY_BYTES: u64 = 1_000_000;

/// Bytes that the buffers of the sockets of all calls hold, and one response.
const MAX_CALL_BYTES: usize = CALLS * 12 * 1024 * 1024;

/// Guards against a node whose memory is filled by the responses that it
/// relays for others, each of which may be large.
#[tokio::test(flavor = "multi_thread")]
async fn relayed_responses_without_end_share_their_memory() {
    let head = "HTTP/1.1 200 OK\r\n\r\n";
    let endless = Endless::start(head, &"a".repeat(1_024)).await;
    let clock = Arc::new(SystemClock::new());
    let options = MemoryOptions::new(CALL_MEMORY_BYTES);
    let memory = MemoryBudget::new(options, clock);
    let relay = Relay::new(endless.address).with_budget(memory.clone());
    let any = "127.0.0.1:0".parse().expect("an address");
    let (_phase, phase) = watch::channel(ShutdownPhase::Running);
    let listener =
        Listener::bind(any, ListenerOptions::default(), phase).expect("bound");
    let address = listener.address().expect("an address");
    tokio::spawn(listener.serve(Arc::new(relay)));
    let calls = (0..CALLS).map(|_| {
        tokio::spawn(async move {
            let mut stream =
                TcpStream::connect(address).await.expect("connected");
            let call = b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n";
            stream.write_all(call).await.expect("written");
            let mut status = [0; 12];
            stream.read_exact(&mut status).await.expect("a response");
            String::from_utf8_lossy(&status).into_owned()
        })
    });
    for call in calls.collect::<Vec<_>>() {
        assert_eq!(call.await.expect("ended"), "HTTP/1.1 502");
    }
    endless.wait_until_closed().await;
    assert!(endless.sent() < MAX_CALL_BYTES, "{} bytes", endless.sent());
    assert_eq!(memory.used_bytes(), 0);
}

/// Guards against reports of endpoints that never end, and against the memory
/// of responses that is never free again.
#[tokio::test(flavor = "multi_thread")]
async fn calls_without_end_leave_memory_for_others() {
    let head = "HTTP/1.1 200 OK\r\n\r\n";
    let endless = Endless::start(head, &"a".repeat(1_024)).await;
    let clock = Arc::new(SystemClock::new());
    let options = MemoryOptions::new(CALL_MEMORY_BYTES);
    let memory = MemoryBudget::new(options, clock);
    let pool = Arc::new(Pool::default().with_memory(memory.clone()));
    let call = |address, max_bytes| {
        let pool = pool.clone();
        tokio::spawn(async move {
            let endpoint = endpoint_at(address);
            let request = http::Request::new(Bytes::new());
            pool.call_server(&endpoint, request, max_bytes).await
        })
    };
    let calls: Vec<_> = (0..CALLS)
        .map(|_| call(endless.address, usize::MAX))
        .collect();
    for call in calls {
        let outcome = call.await.expect("ended");
        assert!(matches!(outcome, CallOutcome::Broken), "{outcome:?}");
    }
    let other = sound().await;
    let outcome = call(other.address, 1_000).await.expect("ended");
    let CallOutcome::Answered(_, body) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(body, "hello");
    assert!(memory.used_bytes() > 0);
    drop(body);
    assert_eq!(memory.used_bytes(), 0);
}
