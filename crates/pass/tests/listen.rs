//! What callers of a listener see of broken-off answers.

mod common;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use common::{Act, Scripted, fixture, request, route};
use fleet::{RouteKind, TransferLimits};
use http::{Request, Response};
use hyper::body::Incoming;
use pomeloslip_pass::{
    Forwarder, Handler, HandlerFuture, Listener, ListenerOptions, Relay,
    ResponseBody, ShutdownPhase,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    task::JoinSet,
    time::sleep,
};
use yare::parameterized;

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

const JSON: &str = r#"{"rev": 7, "items": [{"key": "a", "value": "aGk="}]}"#;

/// Forwards each request as one of a kind.
struct Forwarding {
    forwarder: Arc<Forwarder>,
    kind: RouteKind,
}

impl Handler for Forwarding {
    fn handle(&self, _: Request<Incoming>) -> HandlerFuture {
        let forwarder = self.forwarder.clone();
        let request = request("r1", route(self.kind));
        Box::pin(async move { forwarder.forward(request, 1).await })
    }

    fn limits(&self) -> TransferLimits {
        TransferLimits::default()
    }
}

/// Serves a handler until the end of the test.
fn listen(handler: impl Handler) -> SocketAddr {
    listen_with(ListenerOptions::default(), handler)
}

fn listen_with(options: ListenerOptions, handler: impl Handler) -> SocketAddr {
    let (sender, phase) = watch::channel(ShutdownPhase::Running);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Listener::bind(any, options, phase);
    let listener = listener.expect("bind");
    let address = listener.address().expect("address");
    tokio::spawn(async move {
        let _sender = sender;
        listener.serve(Arc::new(handler)).await;
    });
    address
}

/// Responds to each request after a pause.
struct Slow(Duration);

impl Handler for Slow {
    fn handle(&self, _: Request<Incoming>) -> HandlerFuture {
        let pause = self.0;
        Box::pin(async move {
            sleep(pause).await;
            Response::new(ResponseBody::from_bytes(Bytes::from_static(b"ok")))
        })
    }

    fn limits(&self) -> TransferLimits {
        TransferLimits::default()
    }
}

/// Maximum number of connections in tests with a limit.
const MAX_CONNECTIONS: usize = 8;

/// Guards against a node that reads requests which it cannot serve, because a
/// load balancer sends most new connections to it and descriptors run out.
#[tokio::test]
async fn connections_over_the_limit_are_closed_unread() {
    let options = ListenerOptions {
        max_connections: MAX_CONNECTIONS,
        ..ListenerOptions::default()
    };
    let address = listen_with(options, Slow(Duration::from_millis(300)));
    let mut calls = JoinSet::new();
    for _ in 0..5 * MAX_CONNECTIONS {
        calls.spawn(try_call(address));
    }
    let answers = calls.join_all().await;
    let served = answers.iter().filter(|text| text.ends_with("ok")).count();
    let unread = answers.iter().filter(|text| text.is_empty()).count();
    assert_eq!(served, MAX_CONNECTIONS, "all that are read are served");
    assert_eq!(served + unread, answers.len(), "{answers:?}");
    assert!(
        try_call(address).await.ends_with("ok"),
        "a later one is served"
    );
}

/// Sends a request, and returns what arrives until the connection ends.
async fn try_call(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    let request = "GET /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    // A refused connection may be reset before the request is written.
    let _ = stream.write_all(request.as_bytes()).await;
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

/// What a caller received.
#[derive(Debug)]
struct Received {
    head: String,
    body: String,
    is_reset: bool,
}

/// Sends a request and reads to the end of the connection.
async fn call(address: SocketAddr, version: &str) -> Received {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    let request = format!(
        "GET /x {version}\r\nhost: a.example\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.expect("written");
    let mut bytes = Vec::new();
    let is_reset = stream.read_to_end(&mut bytes).await.is_err();
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    Received {
        head: head.to_lowercase(),
        body: body.to_owned(),
        is_reset,
    }
}

async fn front(response: String) -> (Scripted, SocketAddr) {
    let one = Scripted::start(vec![Act::RespondAndClose(response)]).await;
    let forwarder = fixture(&[one.address]).forwarder;
    let kind = RouteKind::Stream;
    (one, listen(Forwarding { forwarder, kind }))
}

fn unframed(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: s\r\n\
         content-type: text/event-stream\r\n\r\n{body}"
    )
}

/// Guards against a broken-off stream in a response that is framed as
/// complete.
#[parameterized(
    until_close = { unframed(&EVENTS[..20]) },
    length = { format!(
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: s\r\n\
         content-type: text/event-stream\r\n\
         content-length: 20\r\n\r\n{}", &EVENTS[..20]
    ) },
)]
#[test_macro(tokio::test)]
async fn a_broken_off_stream_has_no_last_chunk(response: String) {
    let (_endpoint, address) = front(response).await;
    let received = call(address, "HTTP/1.1").await;
    assert!(!received.head.contains("content-length"), "{received:?}");
    assert!(!received.body.ends_with("0\r\n\r\n"), "{received:?}");
}

#[tokio::test]
async fn a_complete_unframed_stream_has_a_last_chunk() {
    let (_endpoint, address) = front(unframed(EVENTS)).await;
    let received = call(address, "HTTP/1.1").await;
    assert!(received.head.contains("transfer-encoding: chunked"));
    assert!(received.body.ends_with("0\r\n\r\n"), "{received:?}");
}

/// Guards against the same for callers of HTTP/1.0, which know no chunks: the
/// end of their connection is the end of the response unless it is reset.
#[tokio::test]
async fn a_broken_off_stream_resets_a_connection_without_chunks() {
    let (_endpoint, address) = front(unframed(&EVENTS[..20])).await;
    let received = call(address, "HTTP/1.0").await;
    assert!(received.is_reset, "{received:?}");
}

#[tokio::test]
async fn a_complete_stream_closes_a_connection_without_chunks() {
    let (_endpoint, address) = front(unframed(EVENTS)).await;
    let received = call(address, "HTTP/1.0").await;
    assert_eq!(received.body, EVENTS);
    assert!(!received.is_reset, "{received:?}");
}

/// Guards against half an answer of the key-value service that a relay passes
/// on as complete.
#[tokio::test]
async fn a_relay_passes_on_no_partial_answer() {
    for cut in 0..=JSON.len() {
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n{}",
            &JSON[..cut]
        );
        let service =
            Scripted::start(vec![Act::RespondAndClose(answer)]).await;
        let relay = listen(Relay::new(service.address));
        let received = call(relay, "HTTP/1.1").await;
        let is_passed_on = received.head.starts_with("http/1.1 200");
        assert_eq!(is_passed_on, cut == JSON.len(), "{cut}: {received:?}");
        if is_passed_on {
            assert_eq!(received.body, JSON);
        }
    }
}

/// Fails on each request.
struct Panicking;

impl Handler for Panicking {
    fn handle(&self, _: Request<Incoming>) -> HandlerFuture {
        Box::pin(async { panic!("a planted fault") })
    }

    fn limits(&self) -> TransferLimits {
        TransferLimits::default()
    }
}

/// Guards against requests that get neither an answer nor a refusal because
/// their handler panics.
#[tokio::test]
async fn a_request_whose_handler_panics_gets_an_answer() {
    let address = listen(Panicking);
    let received = call(address, "HTTP/1.1").await;
    assert!(received.head.starts_with("http/1.1 502 "), "{received:?}");
    assert!(received.body.contains("unknown"), "{received:?}");
}
