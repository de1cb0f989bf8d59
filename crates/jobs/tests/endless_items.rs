//! Endpoints whose output for an item has no end.

#[path = "common/item.rs"]
mod item;

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use base::SystemClock;
use budget::{MemoryBudget, MemoryOptions};
use item::{run_item, worker};
use pomeloslip_jobs::{BreakCause, OutputLimits, Progress, RunOutcome};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use yare::parameterized;

/// Maximum number of bytes that an endpoint may send: what is kept, and what
/// the sockets hold.
const MAX_SENT_BYTES: usize = 16 * 1024 * 1024;

const SUCCESS: &str = "HTTP/1.1 200 OK\r\nx-seal: s\r\n\
                       content-type: text/event-stream\r\n";

async fn send(mut stream: TcpStream, head: &str, sent: &AtomicUsize) {
    let mut request = [0; 4_096];
    let length = stream.read(&mut request).await.unwrap_or(0);
    let request = String::from_utf8_lossy(&request[..length]);
    let id = request.split("x-id: ").nth(1).unwrap_or_default();
    let id = id.split("\r\n").next().unwrap_or_default();
    let head = format!("{head}x-id: {id}\r\n\r\n");
    if stream.write_all(head.as_bytes()).await.is_err() {
        return;
    }
    for number in 1u64.. {
        let event = format!("id: {number}\ndata: {}\n\n", "a".repeat(4_000));
        if stream.write_all(event.as_bytes()).await.is_err() {
            return;
        }
        sent.fetch_add(event.len(), Ordering::Relaxed);
    }
}

/// Guards against a worker whose memory is filled by an endpoint that sends
/// events, or the text of a failure, without end.
#[parameterized(
    events_above_a_result = {
        SUCCESS,
        100_000,
        RunOutcome::TooLarge,
    },
    events_above_the_memory = {
        SUCCESS,
        usize::MAX / 4,
        RunOutcome::Broken(BreakCause::NoMemory),
    },
    a_failure = {
        "HTTP/1.1 500 Internal Server Error\r\nx-seal: s\r\n",
        100_000,
        RunOutcome::Broken(BreakCause::EndlessFailure),
    },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_run_without_end_is_left(
    head: &'static str,
    max_bytes: usize,
    expected: RunOutcome,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let sent: Arc<AtomicUsize> = Arc::default();
    let count = sent.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let count = count.clone();
            tokio::spawn(async move { send(stream, head, &count).await });
        }
    });
    let (forwarder, endpoint) = worker(address);
    let clock = Arc::new(SystemClock::new());
    let memory = MemoryBudget::new(MemoryOptions::new(1_000_000), clock);
    let limits = OutputLimits {
        memory: memory.clone(),
        max_bytes,
    };
    let progress = Progress::default();
    let run = run_item(&endpoint, "item-1", &progress, limits);
    assert_eq!(run.run(&forwarder).await, expected);
    assert!(!progress.has_begun(), "the output is kept");
    assert_eq!(memory.used_bytes(), 0);
    assert!(sent.load(Ordering::Relaxed) < MAX_SENT_BYTES);
}
