//! Truncated or altered responses of the key-value service.
//!
//! Guards against a key that reads as absent although it exists, and a write
//! that is reported as not executed although it took effect. The service, or a
//! proxy in front of it, sends a truncated response or different bytes, and
//! the client accepts them as a response of the service.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use pomeloslip_kv::{
    EtcdJson, EtcdJsonOptions, Event, Kv, KvError, Op, Txn,
    json::{self, Blob, EventKind, StreamMessage, WatchResponse},
};
use proptest::{
    collection::vec, prelude::*, sample::Index, test_runner::RngSeed,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::{Builder, Runtime},
};
use yare::parameterized;

/// Returns a configuration with a fixed seed; `PROPERTY_FACTOR` multiplies the
/// number of cases.
fn config(cases: u32) -> ProptestConfig {
    let factor = std::env::var("PROPERTY_FACTOR").ok();
    let factor = factor.and_then(|text| text.parse().ok()).unwrap_or(1);
    ProptestConfig {
        cases: cases.saturating_mul(factor),
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn runtime() -> Runtime {
    Builder::new_current_thread().enable_all().build().unwrap()
}

/// Creates a client of a server that sends these bytes to every call and
/// announces a body of `length` bytes.
async fn client_of(body: Vec<u8>, length: usize) -> EtcdJson {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let body: Arc<[u8]> = body.into();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond(stream, Arc::clone(&body), length));
        }
    });
    EtcdJsonOptions::new([address.to_string()])
        .timeout_ms(60_000)
        .build()
        .unwrap()
}

async fn respond(mut stream: TcpStream, body: Arc<[u8]>, length: usize) {
    // The requests of these tests fit into one segment.
    let mut request = [0; 4_096];
    let _ = stream.read(&mut request).await;
    let head = format!(
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\
         Content-Length: {length}\r\n\r\n"
    );
    let _ = stream.write_all(head.as_bytes()).await;
    let _ = stream.write_all(&body).await;
    let _ = stream.shutdown().await;
}

fn key_value() -> impl Strategy<Value = json::KeyValue> {
    let revision = 1..u64::MAX / 4;
    let value = vec(any::<u8>(), 0..30);
    ("[a-z/]{1,9}", revision, value).prop_map(|(key, revision, value)| {
        json::KeyValue {
            key: Blob(key.into_bytes()),
            create_revision: 1_u64.into(),
            mod_revision: revision.into(),
            value: Blob(value),
            ..json::KeyValue::default()
        }
    })
}

fn header(revision: u64) -> json::Header {
    json::Header {
        revision: revision.into(),
        ..json::Header::default()
    }
}

fn range() -> impl Strategy<Value = json::RangeResponse> {
    vec(key_value(), 0..5).prop_map(|kvs| json::RangeResponse {
        header: header(9),
        kvs,
        ..json::RangeResponse::default()
    })
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

fn write_response() -> Vec<u8> {
    let body = json::TxnResponse {
        header: header(9),
        succeeded: true,
        responses: vec![json::ResponseOp {
            response_put: Some(json::PutResponse::default()),
            ..json::ResponseOp::default()
        }],
    };
    serde_json::to_vec(&body).unwrap()
}

fn watch_line(revision: u64, kv: json::KeyValue) -> Vec<u8> {
    let event = json::Event {
        kind: EventKind::Put,
        kv: json::KeyValue {
            mod_revision: revision.into(),
            ..kv
        },
        prev_kv: None,
    };
    let message = StreamMessage::Result(WatchResponse {
        header: header(revision),
        events: vec![event],
        ..WatchResponse::default()
    });
    let mut line = serde_json::to_vec(&message).unwrap();
    line.push(b'\n');
    line
}

fn alter(body: &mut [u8], changes: &[(Index, u8)]) {
    for (at, byte) in changes {
        body[at.index(body.len())] = *byte;
    }
}

fn changes() -> impl Strategy<Value = Vec<(Index, u8)>> {
    let byte =
        prop_oneof![any::<u8>(), prop::sample::select(b"{}[]\",:0".to_vec()),];
    vec((any::<Index>(), byte), 1..4)
}

/// A proxy in front of the service responds with status 200 and an object of
/// its own.
#[parameterized(
    empty = { "{}" },
    error = { r#"{"error":"no leader","code":14,"message":"no leader"}"# },
    foreign = { r#"{"status":"ok"}"# },
    no_revision = { r#"{"header":{},"count":"0"}"# },
)]
fn an_object_without_a_revision_is_not_a_response(body: &str) {
    let body = body.as_bytes();
    runtime().block_on(async {
        let kv = client_of(body.to_vec(), body.len()).await;
        let read = kv.get("a").await.unwrap_err();
        assert_eq!(*read.current_context(), KvError::NotDone);
        let write = kv.txn(put()).await.unwrap_err();
        assert_eq!(*write.current_context(), KvError::Unknown);
    });
}

proptest! {
    #![proptest_config(config(250))]

    #[test]
    fn a_read_is_complete_or_an_error(
        reply in range(),
        cut: Index,
        claims_complete: bool,
    ) {
        let complete = serde_json::to_vec(&reply).unwrap();
        let truncated = complete[..cut.index(complete.len())].to_vec();
        let length =
            if claims_complete { truncated.len() } else { complete.len() };
        runtime().block_on(async {
            let kv = client_of(truncated, length).await;
            let error = kv.get_prefix("a", 0).await.unwrap_err();
            assert_eq!(*error.current_context(), KvError::NotDone);
            let kv = client_of(complete.clone(), complete.len()).await;
            let found = kv.get_prefix("a", 0).await.unwrap();
            assert_eq!(found.revision, 9);
            let values = found.kvs.into_iter().map(|kv| kv.value);
            assert!(values.eq(reply.kvs.into_iter().map(|kv| kv.value.0)));
        });
    }

    #[test]
    fn a_write_whose_response_is_truncated_may_have_run(
        cut: Index,
        claims_complete: bool,
    ) {
        let complete = write_response();
        let truncated = complete[..cut.index(complete.len())].to_vec();
        let length =
            if claims_complete { truncated.len() } else { complete.len() };
        runtime().block_on(async {
            let kv = client_of(truncated, length).await;
            let error = kv.txn(put()).await.unwrap_err();
            assert_eq!(*error.current_context(), KvError::Unknown);
        });
    }

    /// An altered response to a write is never reported as not executed.
    #[test]
    fn an_altered_response_is_accepted_or_unknown(changes in changes()) {
        let mut body = write_response();
        alter(&mut body, &changes);
        runtime().block_on(async {
            let length = body.len();
            let kv = client_of(body, length).await;
            if let Err(error) = kv.txn(put()).await {
                assert_eq!(*error.current_context(), KvError::Unknown);
            }
        });
    }

    #[test]
    fn an_altered_read_succeeds_or_is_not_done(
        reply in range(),
        changes in changes(),
    ) {
        let mut body = serde_json::to_vec(&reply).unwrap();
        alter(&mut body, &changes);
        runtime().block_on(async {
            let length = body.len();
            let kv = client_of(body, length).await;
            if let Err(error) = kv.get_prefix("a", 0).await {
                assert_eq!(*error.current_context(), KvError::NotDone);
            }
        });
    }

    /// Each complete line is delivered once and in order, followed by an
    /// error, so that no gap goes unnoticed.
    #[test]
    fn a_watch_delivers_complete_lines_and_then_an_error(
        kvs in vec(key_value(), 0..6),
        cut: Index,
    ) {
        let lines = (10..).zip(kvs).map(|(n, kv)| watch_line(n, kv));
        let lines: Vec<Vec<u8>> = lines.collect();
        let created = b"{\"result\":{\"header\":{\"revision\":\"9\"},\
            \"created\":true}}\n".to_vec();
        let body = lines.concat();
        let truncated = &body[..cut.index(body.len() + 1)];
        let complete_lines =
            truncated.iter().filter(|byte| **byte == b'\n').count() as u64;
        let sent = [&created[..], truncated].concat();
        runtime().block_on(async {
            let length = created.len() + body.len();
            let kv = client_of(sent, length).await;
            let mut watch = kv.watch("a", 10).await.unwrap();
            for revision in 10..10 + complete_lines {
                let batch = watch.next().await.unwrap();
                assert_eq!(batch.revision, revision);
                let Event::Put(kv) = &batch.events[0] else {
                    panic!("no write: {batch:?}");
                };
                assert_eq!(kv.mod_revision, revision);
            }
            let error = watch.next().await.unwrap_err();
            assert_eq!(*error.current_context(), KvError::NotDone);
        });
    }
}
