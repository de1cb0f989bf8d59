//! Responses that break off in or right after their head, as the client of an
//! endpoint sees them.
#![allow(clippy::unwrap_used)]

#[path = "../../pass/tests/common/cut_server.rs"]
mod cut_server;

use std::{net::SocketAddr, time::Duration};

use base::{Class, VersionKey};
use bytes::Bytes;
use conf::settings::TimeoutSettings;
use cut_server::{
    BreakOff, Connection, CutResponse, CutServer, cut_responses, each_end,
};
use pomeloslip_upstream::EndpointClient;
use wire::{
    FrameSender,
    message::{Frame, Order, OutcomeKind, RefusalKind, Request},
};
use yare::parameterized;

/// Timeout of events that must happen, generous for slow machines.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

/// A connection that is returned to the pool may not be ready yet, so that the
/// next call opens another one; number of times that a test tries anew.
const MAX_TRIES: usize = 200;

const FIRST: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

const PLAIN: &str = "/rebook";

const MODEL_CALL: &str = "/v1/chat/completions";

fn client(address: SocketAddr) -> EndpointClient {
    let address = format!("http://{address}").parse().unwrap();
    EndpointClient::try_new(address, &TimeoutSettings::default()).unwrap()
}

fn request(path: &str, repeatable: bool) -> Request {
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
        repeatable,
        resume_offset: 0,
        version: VersionKey::UNDECLARED,
        target: "korv-1".to_owned(),
    }
}

/// What a caller gets: the outcome, and whether a head arrived before it.
#[derive(Debug, PartialEq)]
struct Seen {
    kind: OutcomeKind,
    has_head: bool,
}

async fn call(client: &EndpointClient, path: &str, repeatable: bool) -> Seen {
    let (answer, mut frames) = FrameSender::channel();
    let run = client.run(request(path, repeatable), &answer, || {});
    let outcome = tokio::time::timeout(EVENT_TIMEOUT, run).await.unwrap();
    drop(answer);
    let mut has_head = false;
    while let Some(frame) = frames.recv().await {
        has_head |= matches!(frame, Frame::Head { .. });
    }
    Seen {
        kind: outcome.kind,
        has_head,
    }
}

/// Calls an endpoint that breaks off after some bytes. Only calls that may be
/// repeated use kept connections.
async fn call_part(
    server: &CutServer,
    path: &str,
    connection: Connection,
    bytes: &[u8],
    break_off: BreakOff,
) -> Seen {
    server.break_off(bytes, break_off);
    let is_kept = connection == Connection::Kept;
    for _ in 0..MAX_TRIES {
        let client = client(server.address);
        if is_kept {
            server.complete_next(FIRST.to_owned());
            let first = call(&client, path, true).await;
            assert_eq!(first.kind, OutcomeKind::Complete);
        }
        server.take_requests();
        let seen = call(&client, path, is_kept).await;
        let sent = server.take_requests();
        assert_eq!(sent.len(), 1, "sent once");
        if (sent[0] > 1) == is_kept {
            return seen;
        }
    }
    panic!("no connection was kept");
}

/// Guards against an answer with an empty or short body that counts as
/// complete: the endpoint breaks off inside or right after its head.
#[parameterized(
    service = { PLAIN },
    engine = { MODEL_CALL },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 4))]
async fn a_cut_head_is_no_answer(path: &'static str) {
    each_end(cut_responses(""), |response, connection, end| async move {
        let server = CutServer::start().await;
        let name = &response.name;
        let length = response.head.len();
        for cut in 0..=length {
            let bytes = &response.head.as_bytes()[..cut];
            let seen = call_part(&server, path, connection, bytes, end).await;
            let case = format!("{name}, {connection:?}, {end:?}, {cut}");
            if cut < length {
                let kind = OutcomeKind::Broken;
                let has_head = false;
                assert_eq!(seen, Seen { kind, has_head }, "{case}");
                continue;
            }
            let is_whole =
                response.is_whole_if_empty && end == BreakOff::Close;
            let is_complete = seen.kind == OutcomeKind::Complete;
            assert_eq!(is_complete, is_whole, "{case}: {seen:?}");
        }
    })
    .await;
}

/// Guards against an endpoint that counts as healthy, or as started anew: it
/// breaks off inside or right after the head of its answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_cut_head_is_no_health() {
    each_end(cut_responses(""), |response, connection, end| async move {
        // Health checks open connections.
        if connection == Connection::Kept {
            return;
        }
        let server = CutServer::start().await;
        for cut in 0..=response.head.len() {
            server.break_off(&response.head.as_bytes()[..cut], end);
            let health = client(server.address).health(EVENT_TIMEOUT).await;
            let is_whole = response.is_whole_if_empty
                && end == BreakOff::Close
                && cut == response.head.len();
            let name = &response.name;
            assert_eq!(health.is_some(), is_whole, "{name}, {end:?}, {cut}");
        }
    })
    .await;
}

async fn order(server: &CutServer) -> Option<RefusalKind> {
    let order = Order {
        fence: 1,
        kind: "load_model".to_owned(),
        body: Bytes::from_static(b"{}"),
    };
    let obeyed = client(server.address).order(&order).await;
    obeyed.err().map(|refusal| refusal.kind)
}

/// Guards against an order that counts as obeyed, or as overtaken by a newer
/// one: the endpoint breaks off inside or right after the head of its answer.
#[parameterized(
    obeyed = { "200 OK", None },
    overtaken = { "409 Conflict", Some(RefusalKind::StaleFence) },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 4))]
async fn a_cut_head_is_no_answer_to_an_order(
    status: &'static str,
    whole: Option<RefusalKind>,
) {
    let responses = cut_responses("").into_iter();
    let responses = responses.map(|response| CutResponse {
        head: response.head.replace("200 OK", status),
        ..response
    });
    let responses = responses.collect();
    each_end(responses, |response, connection, end| async move {
        // Orders open connections.
        if connection == Connection::Kept {
            return;
        }
        let server = CutServer::start().await;
        let name = &response.name;
        for cut in 0..=response.head.len() {
            server.break_off(&response.head.as_bytes()[..cut], end);
            let is_whole = response.is_whole_if_empty
                && end == BreakOff::Close
                && cut == response.head.len();
            let failed = Some(RefusalKind::Failed);
            let want = if is_whole { whole } else { failed };
            let got = order(&server).await;
            assert_eq!(got, want, "{name}, {end:?}, {cut}");
        }
        let bytes = response.head.clone() + &response.body;
        server.break_off(bytes.as_bytes(), BreakOff::Close);
        assert_eq!(order(&server).await, whole, "{name}");
    })
    .await;
}
