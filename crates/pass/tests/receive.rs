//! Bodies that arrive slowly, do not end or do not fit into the memory for
//! callers.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use base::SystemClock;
use budget::{BodyPace, MemoryBudget, MemoryOptions};
use bytes::Bytes;
use fleet::TransferLimits;
use http::{Request, Response};
use hyper::body::Incoming;
use pomeloslip_pass::{
    BodyTerms, Handler, HandlerFuture, Listener, ListenerOptions,
    ResponseBody, ShutdownPhase, receive_body,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    time::sleep,
};
use yare::parameterized;

const MAX_BODY_BYTES: usize = 200_000;

/// Returns the length of each body that it receives.
#[derive(Clone)]
struct Lengths {
    memory: MemoryBudget,
    pace: BodyPace,
    wait: Option<Duration>,
}

impl Handler for Lengths {
    fn handle(&self, request: Request<Incoming>) -> HandlerFuture {
        let Self { memory, pace, wait } = self.clone();
        Box::pin(async move {
            let (parts, body) = request.into_parts();
            let terms = BodyTerms {
                max_bytes: MAX_BODY_BYTES,
                copies: 1,
                ends_at: wait.map(|wait| Instant::now() + wait),
                pace,
            };
            let extensions = &parts.extensions;
            match receive_body(body, &memory, terms, extensions).await {
                Ok(received) => {
                    let text = received.bytes.len().to_string();
                    let body = ResponseBody::from_bytes(Bytes::from(text));
                    Response::new(body)
                }
                Err(refusal) => refusal.into_response(),
            }
        })
    }

    fn limits(&self) -> TransferLimits {
        TransferLimits::default()
    }
}

struct Server {
    address: SocketAddr,
    memory: MemoryBudget,
}

fn start(memory_bytes: u64, pace: BodyPace, wait: Option<Duration>) -> Server {
    let options = MemoryOptions::new(memory_bytes);
    let memory = MemoryBudget::new(options, Arc::new(SystemClock::new()));
    let (sender, phase) = watch::channel(ShutdownPhase::Running);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let options = ListenerOptions::default();
    let listener = Listener::bind(any, options, phase).expect("bind");
    let address = listener.address().expect("address");
    let handler = Lengths {
        memory: memory.clone(),
        pace,
        wait,
    };
    tokio::spawn(async move {
        let _sender = sender;
        listener.serve(Arc::new(handler)).await;
    });
    Server { address, memory }
}

/// Sends a head and a part of a body of this length; chunked if there is none.
async fn send(
    address: SocketAddr,
    length: Option<usize>,
    part: &[u8],
) -> TcpStream {
    let framing = match length {
        Some(length) => format!("content-length: {length}"),
        None => "transfer-encoding: chunked".to_owned(),
    };
    let head = "POST /x HTTP/1.1\r\nhost: a\r\nconnection: close";
    let head = format!("{head}\r\n{framing}\r\n\r\n");
    let mut stream = TcpStream::connect(address).await.expect("connect");
    stream.write_all(head.as_bytes()).await.expect("written");
    if length.is_none() {
        let size = format!("{:x}\r\n", part.len());
        stream.write_all(size.as_bytes()).await.expect("written");
    }
    // A refused client may be closed while it sends.
    let _ = stream.write_all(part).await;
    stream
}

async fn response(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.expect("no reset");
    String::from_utf8_lossy(&bytes).into_owned()
}

const HOUR: BodyPace = BodyPace {
    timeout_ms: 3_600_000,
    min_bytes_per_s: 1,
};

/// Guards against bodies that stop and hold their memory for ever.
#[parameterized(
    sized = { Some(1_000), None },
    chunked = { None, None },
    at_the_deadline = { Some(1_000), Some(Duration::from_millis(200)) },
)]
#[test_macro(tokio::test)]
async fn a_body_that_stops_is_refused(
    length: Option<usize>,
    wait: Option<Duration>,
) {
    let pace = match wait {
        Some(_) => HOUR,
        None => BodyPace {
            timeout_ms: 200,
            min_bytes_per_s: 100_000,
        },
    };
    let server = start(1_000_000, pace, wait);
    let mut stream = send(server.address, length, b"short").await;
    let text = response(&mut stream).await;
    assert!(text.starts_with("HTTP/1.1 408 "), "{text}");
    assert!(text.contains("\"ran\":\"no\""), "{text}");
    assert_eq!(server.memory.used_bytes(), 0);
}

/// Guards against the loss of bodies that are slow but keep arriving.
#[tokio::test]
async fn a_slow_body_ends() {
    let pace = BodyPace {
        timeout_ms: 2_000,
        min_bytes_per_s: 1_000,
    };
    let server = start(1_000_000, pace, None);
    let mut stream = send(server.address, Some(10_000), &[b'x'; 1_000]).await;
    for _ in 0..9 {
        sleep(Duration::from_millis(300)).await;
        stream.write_all(&[b'x'; 1_000]).await.expect("read");
    }
    assert!(response(&mut stream).await.ends_with("10000"));
}

/// Guards against bodies that are read without memory for them.
#[parameterized(
    sized = { Some(MAX_BODY_BYTES) },
    chunked = { None },
)]
#[test_macro(tokio::test)]
async fn a_body_without_memory_is_refused_at_once(length: Option<usize>) {
    let server = start(300_000, HOUR, None);
    let held = server.memory.reserve(200_000).expect("free");
    let part = vec![b'x'; MAX_BODY_BYTES];
    let mut stream = send(server.address, length, &part).await;
    let text = response(&mut stream).await;
    assert!(text.starts_with("HTTP/1.1 503 "), "{text}");
    assert!(text.to_lowercase().contains("retry-after"), "{text}");
    drop(held);
    assert_eq!(server.memory.used_bytes(), 0);
}

/// Guards against bodies that stopped and keep out others.
#[tokio::test]
async fn a_body_that_stopped_gives_way_to_a_new_one() {
    let server = start(300_000, HOUR, None);
    let length = Some(MAX_BODY_BYTES);
    let short = vec![b'x'; MAX_BODY_BYTES - 1];
    let mut stopped = send(server.address, length, &short).await;
    sleep(Duration::from_millis(1_200)).await;
    let whole = vec![b'x'; MAX_BODY_BYTES];
    let mut next = send(server.address, length, &whole).await;
    assert!(response(&mut next).await.ends_with("200000"));
    let text = response(&mut stopped).await;
    assert!(text.starts_with("HTTP/1.1 408 "), "{text}");
}

/// Guards against the refusal of legal bodies, whatever their framing.
#[parameterized(
    empty = { 0, 1 },
    one_piece = { 10, 10 },
    pieces = { MAX_BODY_BYTES, 999 },
    large_pieces = { MAX_BODY_BYTES, 100_000 },
)]
#[test_macro(tokio::test)]
async fn legal_bodies_are_received(length: usize, piece: usize) {
    let server = start(1_000_000, HOUR, None);
    let body = vec![b'x'; length];
    let mut sized = send(server.address, Some(length), &body).await;
    let expected = format!("\r\n{length}");
    assert!(response(&mut sized).await.ends_with(&expected));
    let mut stream = TcpStream::connect(server.address).await.expect("open");
    let head = "POST /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
                transfer-encoding: chunked";
    let mut bytes = format!("{head}\r\n\r\n").into_bytes();
    for chunk in body.chunks(piece) {
        bytes.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
        bytes.extend(chunk);
        bytes.extend(b"\r\n");
    }
    bytes.extend(b"0\r\n\r\n");
    stream.write_all(&bytes).await.expect("written");
    assert!(response(&mut stream).await.ends_with(&expected));
    assert_eq!(server.memory.used_bytes(), 0);
}
