//! Tests of calls to endpoints that fall silent for a while and go on.
#![allow(clippy::unwrap_used)]

use std::{net::SocketAddr, time::Duration};

use base::{Class, VersionKey};
use bytes::Bytes;
use conf::settings::TimeoutSettings;
use pomeloslip_upstream::EndpointClient;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use wire::{
    FrameSender,
    message::{Frame, Outcome, OutcomeKind, Request},
};

/// Longest silence of a sound endpoint.
const PAUSE: Duration = Duration::from_secs(3);

/// Shortest timeouts of silences that the settings allow, in milliseconds.
const MIN_TIMEOUT_MS: u64 = 5_000;

const SIZED: [&str; 2] = [
    "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n",
    "0123456789",
];

const EVENTS: [&str; 2] = [
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
     connection: close\r\n\r\n",
    "data: 1\n\ndata: [DONE]\n\n",
];

/// Starts an endpoint that pauses once, after `bytes` of its response.
async fn endpoint(reply: [&'static str; 2], bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, reply.concat(), bytes));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, reply: String, bytes: usize) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
    let (before, after) = reply.split_at(bytes);
    stream.write_all(before.as_bytes()).await.unwrap();
    tokio::time::sleep(PAUSE).await;
    stream.write_all(after.as_bytes()).await.unwrap();
}

fn client(address: SocketAddr) -> EndpointClient {
    let timeouts = TimeoutSettings {
        first_byte_ms: MIN_TIMEOUT_MS,
        between_bytes_ms: MIN_TIMEOUT_MS,
        ..TimeoutSettings::default()
    };
    let address = format!("http://{address}").parse().unwrap();
    EndpointClient::try_new(address, &timeouts).unwrap()
}

fn request() -> Request {
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
        repeatable: false,
        resume_offset: 0,
        version: VersionKey::UNDECLARED,
        target: "korv-1".to_owned(),
    }
}

/// Runs a call and returns its outcome with the received bytes.
async fn call(client: &EndpointClient) -> (Outcome, String) {
    let (answer, mut frames) = FrameSender::channel();
    let outcome = client.run(request(), &answer, || {}).await;
    drop(answer);
    let mut text = String::new();
    while let Some(frame) = frames.recv().await {
        if let Frame::Chunk { bytes, .. } = frame {
            text.push_str(std::str::from_utf8(&bytes).unwrap());
        }
    }
    (outcome, text)
}

/// Guards against an answer that ends because a sound endpoint was silent.
#[yare::parameterized(
    before_the_head = { SIZED, 0 },
    after_the_head = { SIZED, SIZED[0].len() },
    in_a_sized_body = { SIZED, SIZED[0].len() + 4 },
    after_the_head_of_a_stream = { EVENTS, EVENTS[0].len() },
    in_an_event = { EVENTS, EVENTS[0].len() + 4 },
    before_the_end_mark = { EVENTS, EVENTS[0].len() + 9 },
)]
fn a_silence_ends_no_answer(reply: [&'static str; 2], bytes: usize) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let client = client(endpoint(reply, bytes).await);
        let (outcome, text) = call(&client).await;
        assert_eq!(outcome.kind, OutcomeKind::Complete, "{outcome:?}");
        assert_eq!(text, reply[1]);
    });
}

/// Guards against a call that waits for long on a connection whose other end
/// is gone without a reset.
#[cfg(target_os = "linux")]
#[tokio::test]
async fn a_silent_connection_is_probed_by_the_kernel() {
    let address = endpoint(SIZED, 0).await;
    let client = client(address);
    let running = tokio::spawn(async move { call(&client).await });
    tokio::time::sleep(PAUSE / 2).await;
    let probe_in_ms = keep_alive_timer_ms(address).unwrap();
    assert!(probe_in_ms <= 5_000, "{probe_in_ms}");
    assert_eq!(running.await.unwrap().0.kind, OutcomeKind::Complete);
}

/// Returns the time to the next keep-alive probe of the connection to an
/// address, according to the kernel.
#[cfg(target_os = "linux")]
fn keep_alive_timer_ms(remote: SocketAddr) -> Option<u64> {
    const ESTABLISHED: &str = "01";
    const KEEP_ALIVE: &str = "02";
    const MS_PER_TICK: u64 = 10;
    let port = format!(":{:04X}", remote.port());
    let table = std::fs::read_to_string("/proc/self/net/tcp").unwrap();
    table.lines().find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        if !fields[2].ends_with(&port) || fields[3] != ESTABLISHED {
            return None;
        }
        let (timer, ticks) = fields[5].split_once(':')?;
        let ticks = u64::from_str_radix(ticks, 16).ok()?;
        (timer == KEEP_ALIVE).then_some(ticks * MS_PER_TICK)
    })
}
