//! Responses that break off in or right after their head, as the runs of
//! items see them.

#[path = "../../pass/tests/common/cut_server.rs"]
mod cut_server;
#[path = "common/item.rs"]
mod item;

use std::sync::Arc;

use base::SystemClock;
use budget::{MemoryBudget, MemoryOptions};
use cut_server::{
    BreakOff, Connection, CutResponse, CutServer, cut_responses, each_end,
};
use fleet::Endpoint;
use http::StatusCode;
use item::{run_item, worker};
use pass::Forwarder;
use pomeloslip_jobs::{BreakCause, OutputLimits, Progress, RunOutcome};
use yare::parameterized;

const ANSWER: &str = "id: 1\ndata: sound\n\n";

/// A connection that is returned to the pool may not be ready yet, so that the
/// next run opens another one; number of times that a test tries anew.
const MAX_TRIES: usize = 200;

const BROKEN: RunOutcome = RunOutcome::Broken(BreakCause::Connection);

/// Runs an item; returns the outcome and the number of events.
async fn run(
    forwarder: &Arc<Forwarder>,
    endpoint: &Endpoint,
    id: &str,
) -> (RunOutcome, u64) {
    let progress = Progress::default();
    let clock = Arc::new(SystemClock::new());
    let limits = OutputLimits {
        memory: MemoryBudget::new(MemoryOptions::new(1_000_000), clock),
        max_bytes: 100_000,
    };
    let run = run_item(endpoint, id, &progress, limits);
    let outcome = run.run(forwarder).await;
    (outcome, progress.events())
}

/// Runs an item at an endpoint that breaks off after some bytes.
async fn run_part(
    server: &CutServer,
    connection: Connection,
    bytes: &[u8],
    break_off: BreakOff,
) -> (RunOutcome, u64) {
    server.break_off(bytes, break_off);
    for _ in 0..MAX_TRIES {
        let (forwarder, endpoint) = worker(server.address);
        if connection == Connection::Kept {
            server.complete_next(format!(
                "HTTP/1.1 200 OK\r\nx-id: r0\r\nx-seal: s\r\n\
                 content-length: {}\r\n\r\n{ANSWER}",
                ANSWER.len()
            ));
            let first = run(&forwarder, &endpoint, "r0").await;
            assert_eq!(first, (RunOutcome::Complete, 1));
        }
        server.take_requests();
        let outcome = run(&forwarder, &endpoint, "r1").await;
        let sent = server.take_requests();
        assert_eq!(sent.len(), 1, "sent once");
        if (sent[0] > 1) == (connection == Connection::Kept) {
            return outcome;
        }
    }
    panic!("no connection was kept");
}

fn responses() -> Vec<CutResponse> {
    cut_responses("x-id: r1\r\nx-seal: 3e1b.07\r\n")
}

/// Guards against an item that is listed without its output: an endpoint
/// breaks off inside or right after the head of its response.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_cut_head_completes_no_item() {
    each_end(responses(), |response, connection, break_off| async move {
        let server = CutServer::start().await;
        for cut in 0..=response.head.len() {
            let bytes = &response.head.as_bytes()[..cut];
            let outcome =
                run_part(&server, connection, bytes, break_off).await;
            let name = &response.name;
            assert_eq!(outcome, (BROKEN, 0), "{name}, {break_off:?}, {cut}");
        }
    })
    .await;
}

/// Guards against an item that is given up without a whole response that says
/// so: the endpoint breaks off inside or right after the head of its failure.
#[parameterized(
    rejected = { "422 Never", RunOutcome::Rejected },
    failed = {
        "500 Failed", RunOutcome::Error(StatusCode::INTERNAL_SERVER_ERROR)
    },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 4))]
async fn a_cut_failure_counts_as_broken_off(
    status: &'static str,
    whole: RunOutcome,
) {
    let responses = responses().into_iter().map(|response| CutResponse {
        head: response.head.replace("200 OK", status),
        ..response
    });
    let responses = responses.collect();
    each_end(responses, |response, connection, break_off| async move {
        let server = CutServer::start().await;
        for cut in 0..=response.head.len() {
            let bytes = &response.head.as_bytes()[..cut];
            let outcome =
                run_part(&server, connection, bytes, break_off).await;
            let is_whole = response.is_whole_if_empty
                && cut == response.head.len()
                && break_off == BreakOff::Close;
            let want = if is_whole { whole } else { BROKEN };
            let name = &response.name;
            assert_eq!(outcome, (want, 0), "{name}, {break_off:?}, {cut}");
        }
        let bytes = response.head.clone() + &response.body;
        let end = BreakOff::Close;
        let outcome = run_part(&server, connection, bytes.as_bytes(), end);
        assert_eq!(outcome.await, (whole, 0), "{}", response.name);
    })
    .await;
}

/// Guards against an item that is run again without end: the text of a whole
/// failure is not what its type says.
#[parameterized(
    events = { "text/event-stream" },
    json = { "application/json" },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 4))]
async fn a_whole_failure_with_another_type_counts(content_type: &str) {
    let server = CutServer::start().await;
    let bytes = format!(
        "HTTP/1.1 422 Never\r\nx-id: r1\r\nx-seal: 3e1b.07\r\n\
         content-type: {content_type}\r\ncontent-length: 8\r\n\r\n{{\"never\""
    );
    let connection = Connection::New;
    let outcome =
        run_part(&server, connection, bytes.as_bytes(), BreakOff::Close);
    assert_eq!(outcome.await, (RunOutcome::Rejected, 0));
}
