//! Whether the response of an endpoint counts as complete, by its framing and
//! its content.
#![allow(clippy::unwrap_used)]

use std::{net::SocketAddr, time::Duration};

use base::{Class, VersionKey};
use bytes::Bytes;
use conf::settings::TimeoutSettings;
use pomeloslip_upstream::EndpointClient;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::timeout,
};
use wire::{
    FrameSender,
    message::{Frame, OutcomeKind, Request},
};
use yare::parameterized;

/// Timeout of events that must happen, generous for slow machines.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

const EVENTS: &str = "data: 1\n\ndata: 2\n\ndata: [DONE]\n\n";

const JSON: &str = r#"{"booked": true, "seats": ["4}", "5"]}"#;

const EVENT_STREAM: &str = "content-type: text/event-stream\r\n";

const JSON_TYPE: &str = "content-type: application/json\r\n";

const PLAIN: &str = "/rebook";

const MODEL_CALL: &str = "/v1/chat/completions";

/// Starts an endpoint that answers each connection once and closes it.
async fn endpoint(response: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                match stream.read_u8().await {
                    Ok(byte) => head.push(byte),
                    Err(_) => break,
                }
            }
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    address
}

fn request(path: &str) -> Request {
    Request {
        request_id: "r-1".parse().unwrap(),
        attempt: 0,
        customer: "taevakorv".parse().unwrap(),
        class: Class::Online,
        method: "GET".to_owned(),
        path: path.to_owned(),
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
async fn call(path: &str, response: String) -> (OutcomeKind, String) {
    let address = endpoint(response).await;
    let address = format!("http://{address}").parse().unwrap();
    let client = EndpointClient::try_new(address, &TimeoutSettings::default());
    let client = client.unwrap();
    let (answer, mut frames) = FrameSender::channel();
    let run = client.run(request(path), &answer, || {});
    let outcome = timeout(EVENT_TIMEOUT, run).await.unwrap();
    drop(answer);
    let mut text = String::new();
    while let Some(frame) = frames.recv().await {
        if let Frame::Chunk { bytes, .. } = frame {
            text.push_str(std::str::from_utf8(&bytes).unwrap());
        }
    }
    (outcome.kind, text)
}

fn unframed(headers: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{headers}\r\n{body}")
}

fn in_chunks(headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\n{headers}transfer-encoding: chunked\r\n\r\n\
         {length:x}\r\n{body}\r\n0\r\n\r\n"
    )
}

/// Guards against half a JSON answer of a service that counts as complete: the
/// service ends midway, and its response has neither a length nor chunks.
#[parameterized(
    service = { PLAIN },
    engine = { MODEL_CALL },
)]
#[test_macro(tokio::test)]
async fn an_unframed_json_answer_that_breaks_off_is_truncated(path: &str) {
    for cut in 0..=JSON.len() {
        let response = unframed(JSON_TYPE, &JSON[..cut]);
        let (kind, text) = call(path, response).await;
        let want = match cut == JSON.len() {
            true => OutcomeKind::Complete,
            false => OutcomeKind::Truncated,
        };
        assert_eq!(kind, want, "{cut}");
        assert_eq!(text, &JSON[..cut]);
    }
}

/// Guards against half an answer of an engine that counts as complete: the
/// engine fails midway and ends its chunks.
#[tokio::test]
async fn a_json_answer_that_an_engine_ends_early_is_truncated() {
    for cut in 1..=JSON.len() {
        let response = in_chunks(JSON_TYPE, &JSON[..cut]);
        let (kind, _) = call(MODEL_CALL, response).await;
        let want = match cut == JSON.len() {
            true => OutcomeKind::Complete,
            false => OutcomeKind::Truncated,
        };
        assert_eq!(kind, want, "{cut}");
    }
}

#[tokio::test]
async fn an_unframed_stream_is_complete_with_its_end_mark() {
    for cut in 0..=EVENTS.len() {
        let response = unframed(EVENT_STREAM, &EVENTS[..cut]);
        let (kind, text) = call(MODEL_CALL, response).await;
        let want = match cut == EVENTS.len() {
            true => OutcomeKind::Complete,
            false => OutcomeKind::Truncated,
        };
        assert_eq!(kind, want, "{cut}");
        assert!(EVENTS.starts_with(&text) && !text.ends_with(": "));
    }
}

/// Guards against an endpoint that seems to have started anew: half of its
/// answer to a health check has no version and no incarnation.
#[tokio::test]
async fn half_an_answer_to_a_health_check_is_none() {
    let body = r#"{"status":"ok","version":"1","incarnation":7}"#;
    for cut in 0..=body.len() {
        let address = endpoint(unframed(JSON_TYPE, &body[..cut])).await;
        let address = format!("http://{address}").parse().unwrap();
        let timeouts = TimeoutSettings::default();
        let client = EndpointClient::try_new(address, &timeouts).unwrap();
        let health = client.health(EVENT_TIMEOUT).await;
        assert_eq!(health.is_some(), cut == body.len(), "{cut}: {health:?}");
    }
}

/// Guards against complete streams that do not count.
#[parameterized(
    no_space = { "data:1\n\ndata:[DONE]\n\n" },
    mixed_line_ends = { "data: 1\n\r\ndata: [DONE]\r\n\n" },
    carriage_returns = { "data: 1\r\rdata: [DONE]\r\r" },
)]
#[test_macro(tokio::test)]
async fn a_stream_in_another_form_is_complete(events: &str) {
    let response = unframed(EVENT_STREAM, events);
    let (kind, text) = call(MODEL_CALL, response).await;
    assert_eq!(kind, OutcomeKind::Complete);
    assert_eq!(text, events);
}

/// Guards against complete answers that do not count, because they have
/// neither a length nor chunks, or are no JSON.
#[parameterized(
    json = { unframed(JSON_TYPE, JSON), JSON },
    plain = { unframed("", "seat 4"), "seat 4" },
    empty = { unframed("", ""), "" },
    lines = { unframed("content-type: application/jsonl\r\n", "{}\n{"), "{}\n{" },
    chunks_of_a_service = { in_chunks(JSON_TYPE, "{\"a\""), "{\"a\"" },
    error = { format!("HTTP/1.1 500 Oops\r\n{JSON_TYPE}\r\n{JSON}"), JSON },
)]
#[test_macro(tokio::test)]
async fn a_complete_answer_counts(response: String, body: &str) {
    let (kind, text) = call(PLAIN, response).await;
    assert_eq!(kind, OutcomeKind::Complete);
    assert_eq!(text, body);
}
