//! Responses that break off in or right after their head, as the client of the
//! JSON gateway sees them.

#![allow(clippy::unwrap_used)]

#[path = "../../pass/tests/common/cut_server.rs"]
mod cut_server;

use std::net::SocketAddr;

use cut_server::{
    BreakOff, Connection, CutResponse, CutServer, cut_responses, each_end,
};
use pomeloslip_kv::{
    EtcdJson, EtcdJsonOptions, Kv, KvError, LeaseId, Op, Txn,
};
use yare::parameterized;

/// Timeout of calls, generous for slow machines.
const TIMEOUT_MS: u64 = 60_000;

const RANGE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 27\r\n\r\n\
    {\"header\":{\"revision\":\"7\"}}";

/// A connection that is returned to the pool may not be ready yet, so that the
/// next call opens another one; number of times that a test tries anew.
const MAX_TRIES: usize = 200;

fn client(address: SocketAddr) -> EtcdJson {
    EtcdJsonOptions::new([address.to_string()])
        .timeout_ms(TIMEOUT_MS)
        .build()
        .unwrap()
}

/// A call whose response breaks off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Call {
    Get,
    Put,
    Renew,
    Watch,
}

impl Call {
    async fn run(self, kv: &EtcdJson) -> Option<KvError> {
        let put = Txn {
            success: vec![Op::Put {
                key: "a".into(),
                value: b"1".to_vec(),
                lease: None,
            }],
            ..Txn::default()
        };
        let report = match self {
            Call::Get => kv.get("a").await.err(),
            Call::Put => kv.txn(put).await.err(),
            Call::Renew => kv.lease_keep_alive(LeaseId(5)).await.err(),
            Call::Watch => kv.watch("a", 1).await.err(),
        };
        report.map(|report| *report.current_context())
    }
}

/// Calls a server that breaks off after some bytes.
async fn call_part(
    server: &CutServer,
    call: Call,
    connection: Connection,
    bytes: &[u8],
    break_off: BreakOff,
) -> Option<KvError> {
    server.break_off(bytes, break_off);
    let is_kept = connection == Connection::Kept;
    for _ in 0..MAX_TRIES {
        let kv = client(server.address);
        if is_kept {
            server.complete_next(RANGE.to_owned());
            assert_eq!(kv.get("a").await.unwrap().revision, 7);
        }
        server.take_requests();
        let error = call.run(&kv).await;
        let sent = server.take_requests();
        if (sent[0] > 1) == is_kept {
            return error;
        }
    }
    panic!("no connection was kept");
}

/// Guards against an answer of the key-value service that is used, although
/// the service broke off inside or right after its head.
#[parameterized(
    get = { Call::Get, KvError::NotDone },
    put = { Call::Put, KvError::Unknown },
    renew = { Call::Renew, KvError::Unknown },
    watch = { Call::Watch, KvError::NotDone },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 4))]
async fn a_cut_head_is_no_answer(call: Call, error: KvError) {
    each_end(cut_responses(""), |response, connection, end| async move {
        let server = CutServer::start().await;
        let name = &response.name;
        for cut in 0..=response.head.len() {
            let bytes = &response.head.as_bytes()[..cut];
            let got = call_part(&server, call, connection, bytes, end).await;
            assert_eq!(got, Some(error), "{name}, {end:?}, {cut}");
        }
    })
    .await;
}

/// Guards against a write that counts as refused, so that it may be made
/// otherwise, although it may have been applied: the service broke off inside
/// or right after the head of its failure.
#[parameterized(
    conflict = { "409 Conflict" },
    bad_request = { "400 Bad Request" },
    canceled = { "499 Canceled" },
    not_found = { "404 Not Found" },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 4))]
async fn a_cut_refusal_leaves_the_outcome_open(status: &'static str) {
    let responses = cut_responses("").into_iter();
    let responses = responses.map(|response| CutResponse {
        head: response.head.replace("200 OK", status),
        ..response
    });
    let responses = responses.collect();
    each_end(responses, |response, connection, end| async move {
        let server = CutServer::start().await;
        let name = &response.name;
        for cut in 0..=response.head.len() {
            let bytes = &response.head.as_bytes()[..cut];
            let got =
                call_part(&server, Call::Put, connection, bytes, end).await;
            // A refusal in order without a body is that of another server on
            // the way; it has not passed the call on.
            let is_whole = response.name.contains("until close")
                && end == BreakOff::Close
                && cut == response.head.len();
            let want = match is_whole {
                true => KvError::Invalid,
                false => KvError::Unknown,
            };
            assert_eq!(got, Some(want), "{name}, {end:?}, {cut}");
        }
    })
    .await;
}
