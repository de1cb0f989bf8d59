//! Responses whose status is none.

#[path = "common/item.rs"]
mod item;

use std::sync::Arc;

use base::SystemClock;
use budget::{MemoryBudget, MemoryOptions};
use item::{run_item, worker};
use pomeloslip_jobs::{BreakCause, OutputLimits, Progress, RunOutcome};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};
use yare::parameterized;

/// Guards against an item that is listed as complete, or given up, by a
/// response whose status is none.
#[parameterized(
    zero = { "000" },
    zero_with_text = { "000 OK" },
    below_all = { "099" },
    letters = { "2OO" },
    too_long = { "2000" },
    empty = { "" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_response_without_a_status_completes_no_item(status: &'static str) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request).await;
            let body = "id: 1\ndata: a\n\n";
            let response = format!(
                "HTTP/1.1 {status}\r\nx-id: item-1\r\nx-seal: s\r\n\
                 content-type: text/event-stream\r\n\
                 content-length: {}\r\n\r\n{body}",
                body.len()
            );
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    let (forwarder, endpoint) = worker(address);
    let clock = Arc::new(SystemClock::new());
    let limits = OutputLimits {
        memory: MemoryBudget::new(MemoryOptions::new(1_000_000), clock),
        max_bytes: 100_000,
    };
    let progress = Progress::default();
    let run = run_item(&endpoint, "item-1", &progress, limits);
    let broken = RunOutcome::Broken(BreakCause::Connection);
    assert_eq!(run.run(&forwarder).await, broken);
    assert!(!progress.has_begun());
}
