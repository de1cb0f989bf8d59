//! Endpoints that respond while a request is still being sent to them, or
//! whose response has no status.

mod common;

use std::time::Duration;

use common::{Node, StoredConfig, call, put, ready, routes, start};
use fleet::{EndpointRecord, EndpointState, TransferLimits};
use kv::Memory;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use yare::parameterized;

const UPLOAD_BYTES: usize = 4_000_000;

/// Starts a front with an endpoint that reads some of a request, sends the
/// response after a pause and resets the connection.
async fn front_before(response: &'static str, pause_ms: u64) -> Node {
    let kv = Memory::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let record = EndpointRecord {
        id: "e1".to_owned(),
        started_at: None,
        version: "e".parse().ok(),
        address: listener.local_addr().expect("address"),
        service: "engines".to_owned(),
        failure_domain: "east".to_owned(),
        slots: 16,
        state: EndpointState::Ready,
    };
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond_early(stream, response, pause_ms));
        }
    });
    let entry = serde_json::to_vec(&record).expect("json");
    put(&kv, "endpoints/e1", entry).await;
    let config = StoredConfig {
        routes: routes(),
        customers: None,
        limits: TransferLimits {
            max_body_bytes: 2 * UPLOAD_BYTES,
            ..TransferLimits::default()
        },
    };
    let config = serde_json::to_vec(&config).expect("json");
    put(&kv, "orders/config", config).await;
    let front = start(&kv, "front-1", false).await;
    ready(&front).await;
    front
}

async fn respond_early(mut stream: TcpStream, response: &str, pause_ms: u64) {
    let mut request = vec![0; 4_096];
    let length = stream.read(&mut request).await.unwrap_or(0);
    let request = String::from_utf8_lossy(&request[..length]).into_owned();
    let id = request.split("x-id: ").nth(1).unwrap_or_default();
    let id = id.split("\r\n").next().unwrap_or_default();
    let response = response.replace("ID", id);
    let _ = stream.write_all(response.as_bytes()).await;
    sleep(Duration::from_millis(pause_ms)).await;
    // Closing a connection with unread bytes resets it.
    drop(stream);
}

/// Returns all bytes of the response to an upload.
async fn upload(front: &Node, number: usize) -> String {
    let mut stream = TcpStream::connect(front.front).await.expect("connect");
    let head = format!(
        "POST /book/1 HTTP/1.1\r\nhost: a.example\r\nx-id: up-{number}\r\n\
         content-length: {UPLOAD_BYTES}\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("written");
    let body = vec![b'a'; UPLOAD_BYTES];
    stream.write_all(&body).await.expect("written");
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    let _ = timeout(Duration::from_secs(10), read)
        .await
        .expect("in time");
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reports whether a client takes a response as complete.
fn is_complete(response: &str) -> bool {
    let Some((head, body)) = response.split_once("\r\n\r\n") else {
        return false;
    };
    match head
        .to_ascii_lowercase()
        .contains("transfer-encoding: chunked")
    {
        true => body.ends_with("0\r\n\r\n"),
        false => true,
    }
}

/// Guards against a part of a response that a client takes for the whole, and
/// against a caller that gets no byte of a response: the endpoint gave no
/// length and reset the connection during the upload.
#[parameterized(
    json_at_once = { "application/json", "{\"a\": [1, 2, ", 0 },
    json_later = { "application/json", "{\"a\": [1, 2, ", 50 },
    text_at_once = { "text/plain", "a part of a text", 0 },
    text_later = { "text/plain", "a part of a text", 50 },
    events_at_once = { "text/event-stream", "id: 1\ndata: a\n\n", 0 },
    events_later = { "text/event-stream", "id: 1\ndata: a\n\n", 50 },
    nothing_yet = { "text/plain", "", 0 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_response_cut_by_a_reset_is_not_complete(
    content_type: &str,
    part: &str,
    pause_ms: u64,
) {
    let response = format!(
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: s\r\n\
         content-type: {content_type}\r\n\r\n{part}"
    );
    let front = front_before(response.leak(), pause_ms).await;
    for number in 0..60 {
        let found = upload(&front, number).await;
        assert!(found.starts_with("HTTP/1.1 "), "upload {number}: {found:?}");
        let is_success = found.starts_with("HTTP/1.1 2");
        assert!(!is_success || !is_complete(&found), "{found:?}");
    }
}

/// Guards against a response without a status that a client gets.
#[parameterized(
    zero = { "000" },
    zero_with_text = { "000 OK" },
    below_all = { "099 Early" },
    letters = { "2OO OK" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_response_without_a_status_is_a_failure(status: &str) {
    let response = format!(
        "HTTP/1.1 {status}\r\nx-id: ID\r\nx-seal: s\r\n\
         content-length: 2\r\n\r\nok"
    );
    let front = front_before(response.leak(), 50).await;
    for number in 0..5 {
        let id = format!("call-{number}");
        let (status, body) =
            call(front.front, "POST", "/book/1", &id, "x").await;
        assert_eq!(status, 502, "{body}");
    }
}
