//! Errors that the client of the JSON gateway returns for each kind of
//! failure.

#![allow(clippy::unwrap_used)]

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use pomeloslip_kv::{
    EtcdJson, EtcdJsonOptions, Kv, KvError, LeaseId, Op, Txn,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use yare::parameterized;

/// Action of the server after it has read a complete request.
#[derive(Clone, Copy, Debug)]
enum Action {
    Respond(u16, &'static str),
    Truncate,
    Close,
    NoResponse,
}

const EMPTY_RANGE: &str = r#"{"header":{"revision":"7"}}"#;

/// Serves one connection with each action and all others with the last one.
async fn serve(actions: Vec<Action>) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Arc::new(AtomicUsize::new(0));
    let seen = Arc::clone(&requests);
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let (actions, seen) = (actions.clone(), Arc::clone(&seen));
            tokio::spawn(async move { handle(stream, &actions, &seen).await });
        }
    });
    (address, requests)
}

async fn handle(
    mut stream: TcpStream,
    actions: &[Action],
    seen: &AtomicUsize,
) {
    read_request(&mut stream).await;
    let index = seen.fetch_add(1, Ordering::SeqCst);
    let reply = match actions[index.min(actions.len() - 1)] {
        Action::Respond(status, body) => response(status, body, body.len()),
        Action::Truncate => response(200, "{", 100),
        Action::Close => return,
        Action::NoResponse => std::future::pending().await,
    };
    stream.write_all(reply.as_bytes()).await.unwrap();
}

fn response(status: u16, body: &str, length: usize) -> String {
    format!(
        "HTTP/1.1 {status} x\r\nConnection: close\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

async fn read_request(stream: &mut TcpStream) {
    let mut text = String::new();
    let mut bytes = [0; 4_096];
    loop {
        let count = stream.read(&mut bytes).await.unwrap();
        text.push_str(std::str::from_utf8(&bytes[..count]).unwrap());
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head.lines().find_map(|line| {
            let (name, value) = line.split_once(": ")?;
            name.eq_ignore_ascii_case("content-length")
                .then(|| value.parse::<usize>().unwrap())
        });
        if body.len() >= length.unwrap_or(0) {
            return;
        }
    }
}

/// Returns an address that refuses connections.
async fn refusing_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

fn client(addresses: &[SocketAddr], timeout_ms: u64) -> EtcdJson {
    EtcdJsonOptions::new(addresses.iter().map(ToString::to_string))
        .timeout_ms(timeout_ms)
        .build()
        .unwrap()
}

fn put() -> Txn {
    Txn {
        success: vec![Op::Put {
            key: "a".into(),
            value: b"1".to_vec(),
            lease: None,
        }],
        ..Txn::default()
    }
}

#[parameterized(
    closed = { Action::Close, KvError::Unknown },
    truncated = { Action::Truncate, KvError::Unknown },
    silent = { Action::NoResponse, KvError::Unknown },
    broken_json = { Action::Respond(200, "{"), KvError::Unknown },
    missing_step = {
        Action::Respond(200, r#"{"succeeded":true}"#), KvError::Unknown
    },
    server_error = { Action::Respond(500, "oops"), KvError::Unknown },
    unavailable = {
        Action::Respond(503, r#"{"code":14,"message":"down"}"#),
        KvError::Unknown
    },
    busy = {
        Action::Respond(429, r#"{"code":8,"message":"too many requests"}"#),
        KvError::NotDone
    },
    too_large = {
        Action::Respond(400, r#"{"code":3,"message":"request is too large"}"#),
        KvError::Invalid
    },
    lease_gone = {
        Action::Respond(
            404, r#"{"code":5,"message":"requested lease not found"}"#
        ),
        KvError::LeaseGone
    },
    wrong_server = { Action::Respond(404, "<html>"), KvError::Invalid },
)]
#[test_macro(tokio::test)]
async fn a_failed_write_tells_whether_it_ran(action: Action, error: KvError) {
    let (address, requests) = serve(vec![action]).await;
    let (other, untouched) = serve(vec![action]).await;
    let timeout_ms = if matches!(action, Action::NoResponse) {
        300
    } else {
        60_000
    };
    let kv = client(&[address, other], timeout_ms);
    let report = kv.txn(put()).await.unwrap_err();
    assert_eq!(*report.current_context(), error, "{report:?}");
    assert_eq!(requests.load(Ordering::SeqCst), 1, "sent once");
    assert_eq!(untouched.load(Ordering::SeqCst), 0, "and nowhere else");
}

#[tokio::test]
async fn a_refused_connection_is_certain() {
    let kv = client(
        &[refusing_address().await, refusing_address().await],
        60_000,
    );
    let write = kv.txn(put()).await.unwrap_err();
    assert_eq!(*write.current_context(), KvError::NotDone);
    let read = kv.get("a").await.unwrap_err();
    assert_eq!(*read.current_context(), KvError::NotDone);
    let watch = kv.watch("a", 1).await.err().unwrap();
    assert_eq!(*watch.current_context(), KvError::NotDone);
}

#[tokio::test]
async fn the_next_address_takes_a_write_that_was_not_sent() {
    let reply = r#"{"header":{"revision":"7"},"succeeded":true,
        "responses":[{"response_put":{}}]}"#;
    let (address, _) = serve(vec![Action::Respond(200, reply)]).await;
    let kv = client(&[refusing_address().await, address], 60_000);
    let reply = kv.txn(put()).await.unwrap();
    assert!(reply.succeeded);
    assert_eq!(reply.revision, 7);
}

/// Guards against reads that fail for as long as a dead connection stays in
/// the pool. A device between client and server has dropped the state of the
/// connection, which goes silent, while new connections to the same address
/// work.
#[parameterized(
    silent = { Action::NoResponse },
    closed = { Action::Close },
    truncated = { Action::Truncate },
    unavailable = { Action::Respond(503, "") },
)]
#[test_macro(tokio::test)]
async fn a_read_is_repeated_on_a_new_connection(action: Action) {
    let timeout_ms = if matches!(action, Action::NoResponse) {
        10_000
    } else {
        60_000
    };
    let (address, requests) =
        serve(vec![action, Action::Respond(200, EMPTY_RANGE)]).await;
    let kv = client(&[address], timeout_ms);
    assert_eq!(kv.get("a").await.unwrap().revision, 7);
    assert_eq!(requests.load(Ordering::SeqCst), 2);
}

#[parameterized(
    alive = { r#"{"result":{"ID":"5","TTL":"9"}}"#, None },
    ended = { r#"{"result":{"ID":"5"}}"#, Some(KvError::LeaseGone) },
    failed = {
        r#"{"error":{"code":14,"message":"down"}}"#, Some(KvError::Unknown)
    },
)]
#[test_macro(tokio::test)]
async fn a_renewal_reports_whether_the_lease_is_alive(
    body: &'static str,
    error: Option<KvError>,
) {
    let (address, _) = serve(vec![Action::Respond(200, body)]).await;
    let kv = client(&[address], 60_000);
    let result = kv.lease_keep_alive(LeaseId(5)).await;
    assert_eq!(result.err().map(|e| *e.current_context()), error);
}

#[parameterized(
    compacted = {
        r#"{"result":{"canceled":true,"compact_revision":"9"}}"#,
        KvError::Compacted
    },
    canceled = { r#"{"result":{"canceled":true}}"#, KvError::NotDone },
    ended = { r#"{"result":{"created":true}}"#, KvError::NotDone },
    broken = { r#"{"result":"#, KvError::NotDone },
)]
#[test_macro(tokio::test)]
async fn a_watch_ends_with_an_error(line: &'static str, error: KvError) {
    let body: &'static str = Box::leak(format!("{line}\n").into_boxed_str());
    let (address, _) = serve(vec![Action::Respond(200, body)]).await;
    let kv = client(&[address], 60_000);
    let report = match kv.watch("a", 1).await {
        Ok(mut watch) => watch.next().await.unwrap_err(),
        Err(report) => report,
    };
    assert_eq!(*report.current_context(), error, "{report:?}");
}
