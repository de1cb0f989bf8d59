//! Requests that are complete late in the grace of a planned stop.

mod common;

use std::time::Duration;

use common::{Engine, Node, ready, start, write_config_and_engine};
use kv::Memory;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};
use yare::parameterized;

/// Begins an upload, ends it `upload_ms` after the stop of the node has begun,
/// and returns the response.
async fn upload_into_stop(
    front: &Node,
    path: &str,
    body: &str,
    upload_ms: Option<u64>,
) -> String {
    let mut stream = TcpStream::connect(front.front).await.expect("connect");
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nx-id: late\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.expect("written");
    let (first, rest) = body.split_at(1);
    stream.write_all(first.as_bytes()).await.expect("written");
    sleep(Duration::from_millis(200)).await;
    front.stop.send_replace(true);
    if let Some(upload_ms) = upload_ms {
        sleep(Duration::from_millis(upload_ms)).await;
        stream.write_all(rest.as_bytes()).await.expect("written");
    }
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    let _ = timeout(Duration::from_secs(10), read)
        .await
        .expect("in time");
    String::from_utf8_lossy(&bytes).into_owned()
}

fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("a runtime").block_on(test);
}

async fn fleet() -> (Engine, Node) {
    let kv = Memory::default();
    let engine = Engine::start().await;
    write_config_and_engine(&kv, &engine).await;
    let front = start(&kv, "front-1", false).await;
    ready(&front).await;
    (engine, front)
}

/// Guards against requests that are passed on late in the grace of a planned
/// stop and cut without an answer at its end. A caller that may not repeat the
/// request has lost it.
#[parameterized(
    call = { "/slow/1", "pause-head 2500 2" },
    stream = { "/slow-stream/1", "pause-head 2500 2" },
    resumable_stream = { "/slow-chat/1", "pause-head 2500 2" },
)]
fn a_late_request_is_refused(path: &str, body: &str) {
    block_on(async {
        let (engine, front) = fleet().await;
        let text = upload_into_stop(&front, path, body, Some(6_300)).await;
        assert!(text.starts_with("HTTP/1.1 503 "), "{text}");
        assert!(text.contains("connection: close"), "{text}");
        assert_eq!(engine.run_count(), 0);
    });
}

/// Guards against a connection that is closed without an answer at the end of
/// the grace since its request is not complete.
#[test]
fn a_request_that_is_never_complete_is_refused() {
    block_on(async {
        let (engine, front) = fleet().await;
        let text = upload_into_stop(&front, "/slow/1", "22", None).await;
        assert!(text.starts_with("HTTP/1.1 503 "), "{text}");
        assert_eq!(engine.run_count(), 0);
    });
}

/// Guards against the refusal of requests that are sure to be answered before
/// the end of the grace.
#[parameterized(soon = { 500 }, after_the_last_connection = { 2_450 })]
fn a_request_in_time_is_served(upload_ms: u64) {
    block_on(async {
        let (engine, front) = fleet().await;
        let upload_ms = Some(upload_ms);
        let text = upload_into_stop(&front, "/book/1", "2 ", upload_ms).await;
        assert!(text.starts_with("HTTP/1.1 200 "), "{text}");
        assert_eq!(engine.run_count(), 1);
    });
}
