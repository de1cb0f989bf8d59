//! Connections that their clients do not use, and clients that go on sending
//! after they were refused.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use fleet::TransferLimits;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use pomeloslip_pass::{
    Handler, HandlerFuture, LingerLimits, Listener, ListenerOptions,
    ResponseBody, ShutdownPhase,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    time::{sleep, timeout},
};
use yare::parameterized;

/// Returns a status and a body of a size without reading the request.
#[derive(Clone, Copy)]
struct Unread(StatusCode, usize);

impl Handler for Unread {
    fn handle(&self, _: Request<Incoming>) -> HandlerFuture {
        let Self(status, bytes) = *self;
        let body = Bytes::from(vec![b'x'; bytes]);
        let mut response = Response::new(ResponseBody::from_bytes(body));
        *response.status_mut() = status;
        Box::pin(async move { response })
    }

    fn limits(&self) -> TransferLimits {
        TransferLimits::default()
    }
}

/// Serves a handler, and returns the address and the open connections.
fn listen(
    options: ListenerOptions,
    handler: Unread,
) -> (SocketAddr, Arc<AtomicUsize>) {
    let (sender, phase) = watch::channel(ShutdownPhase::Running);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Listener::bind(any, options, phase).expect("bind");
    let address = listener.address().expect("address");
    let open = listener.open_connections();
    tokio::spawn(async move {
        let _sender = sender;
        listener.serve(Arc::new(handler)).await;
    });
    (address, open)
}

const GET: &[u8] = b"GET /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";

async fn call(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    let _ = stream.write_all(GET).await;
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Guards against connections without a request that keep out all others.
#[parameterized(
    silent = { "" },
    in_the_head = { "POST /x HTTP/1.1\r\nhost: a" },
)]
#[test_macro(tokio::test)]
async fn a_new_connection_gets_the_place_of_one_without_use(sent: &str) {
    let options = ListenerOptions {
        max_connections: 4,
        ..ListenerOptions::default()
    };
    let (address, _) = listen(options, Unread(StatusCode::OK, 2));
    let mut held = Vec::new();
    for _ in 0..4 {
        let mut stream = TcpStream::connect(address).await.expect("connect");
        stream.write_all(sent.as_bytes()).await.expect("written");
        held.push(stream);
    }
    sleep(Duration::from_millis(700)).await;
    assert!(call(address).await.ends_with("xx"));
    let closed = held.first_mut().expect("the oldest");
    let read = timeout(Duration::from_secs(5), closed.read_u8()).await;
    assert!(read.is_ok_and(|read| read.is_err()), "the oldest is closed");
}

/// Size of a body that is larger than all socket buffers.
const LARGE_BYTES: usize = 16 << 20;

/// Guards against refusals that a client loses which still sends.
#[parameterized(
    sized = { false },
    chunked = { true },
)]
#[test_macro(tokio::test)]
async fn a_refused_client_that_still_sends_gets_the_response(chunked: bool) {
    let options = ListenerOptions::default();
    let refused = Unread(StatusCode::PAYLOAD_TOO_LARGE, 2);
    let (address, _) = listen(options, refused);
    let mut stream = TcpStream::connect(address).await.expect("connect");
    let framing = match chunked {
        true => "transfer-encoding: chunked".to_owned(),
        false => format!("content-length: {LARGE_BYTES}"),
    };
    let head = format!("POST /x HTTP/1.1\r\nhost: a\r\n{framing}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("written");
    if chunked {
        let size = format!("{LARGE_BYTES:x}\r\n");
        stream.write_all(size.as_bytes()).await.expect("written");
    }
    let body = vec![b'x'; LARGE_BYTES];
    stream.write_all(&body).await.expect("all is read");
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.expect("no reset");
    let text = String::from_utf8_lossy(&bytes);
    assert!(text.starts_with("HTTP/1.1 413 "), "{text}");
}

/// Guards against the loss of the refusal of a head that has no end.
#[tokio::test]
async fn a_client_whose_head_has_no_end_gets_the_response() {
    let options = ListenerOptions::default();
    let (address, _) = listen(options, Unread(StatusCode::OK, 2));
    let mut stream = TcpStream::connect(address).await.expect("connect");
    let head = format!("GET /x HTTP/1.1\r\nx: {}", "y".repeat(LARGE_BYTES));
    stream
        .write_all(head.as_bytes())
        .await
        .expect("all is read");
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.expect("no reset");
    let text = String::from_utf8_lossy(&bytes);
    assert!(text.starts_with("HTTP/1.1 431 "), "{text}");
}

/// Guards against the loss of a response whose end waits in the buffers while
/// its client reads slowly and all places are taken.
#[tokio::test]
async fn a_response_that_is_being_read_keeps_its_place() {
    let options = ListenerOptions {
        max_connections: 1,
        socket_buffer_bytes: Some(32 * 1024),
        ..ListenerOptions::default()
    };
    let (address, _) = listen(options, Unread(StatusCode::OK, LARGE_BYTES));
    let mut stream = TcpStream::connect(address).await.expect("connect");
    stream.write_all(GET).await.expect("written");
    sleep(Duration::from_millis(800)).await;
    assert!(call(address).await.is_empty(), "there is no place");
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.expect("no reset");
    assert!(bytes.len() > LARGE_BYTES);
}

/// Guards against clients that go on sending for ever after a refusal.
#[parameterized(
    by_bytes = { LingerLimits { bytes: 1 << 20, timeout_ms: 60_000 } },
    by_time = { LingerLimits { bytes: u64::MAX, timeout_ms: 300 } },
)]
#[test_macro(tokio::test)]
async fn a_refused_client_cannot_send_for_ever(linger: LingerLimits) {
    let options = ListenerOptions {
        linger,
        ..ListenerOptions::default()
    };
    let refused = Unread(StatusCode::PAYLOAD_TOO_LARGE, 2);
    let (address, open) = listen(options, refused);
    let mut stream = TcpStream::connect(address).await.expect("connect");
    let head = "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 999999999999";
    let head = format!("{head}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("written");
    let piece = vec![b'x'; 64 * 1024];
    let sending = async { while stream.write_all(&piece).await.is_ok() {} };
    let stopped = timeout(Duration::from_secs(30), sending).await;
    assert!(stopped.is_ok(), "the connection is closed");
    expect_none(&open).await;
}

/// Guards against responses that stay in memory since nobody reads them.
#[tokio::test]
async fn a_client_that_does_not_read_loses_its_connection() {
    let options = ListenerOptions {
        read_timeout_ms: 300,
        ..ListenerOptions::default()
    };
    let (address, open) = listen(options, Unread(StatusCode::OK, LARGE_BYTES));
    let mut stream = TcpStream::connect(address).await.expect("connect");
    stream.write_all(GET).await.expect("written");
    while open.load(Ordering::Relaxed) == 0 {
        sleep(Duration::from_millis(10)).await;
    }
    expect_none(&open).await;
}

/// Guards against the loss of responses that are read slowly.
#[tokio::test]
async fn a_client_that_reads_slowly_gets_the_whole_response() {
    let options = ListenerOptions {
        read_timeout_ms: 1_000,
        ..ListenerOptions::default()
    };
    let (address, _) = listen(options, Unread(StatusCode::OK, LARGE_BYTES));
    let mut stream = TcpStream::connect(address).await.expect("connect");
    stream.write_all(GET).await.expect("written");
    let mut buffer = vec![0; 2 << 20];
    let mut received = 0;
    loop {
        match stream.read(&mut buffer).await.expect("no reset") {
            0 => break,
            read => received += read,
        }
        sleep(Duration::from_millis(50)).await;
    }
    assert!(received > LARGE_BYTES);
}

/// Waits until no connection is open.
async fn expect_none(open: &AtomicUsize) {
    let closed = async {
        while open.load(Ordering::Relaxed) > 0 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    let closed = timeout(Duration::from_secs(30), closed).await;
    assert!(closed.is_ok(), "a connection is still open");
}
