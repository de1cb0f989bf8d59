//! Whether a response counts as complete, by its framing and its content.

mod common;

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use common::{
    Act, Fixture, Scripted, chunk, fixture, header, read, request, route,
    until, valid_response,
};
use fleet::RouteKind;
use framing::Framing;
use http::{Request, header::HOST};
use pomeloslip_pass::{CallOutcome, Run, RunObserver};
use yare::parameterized;

/// Head of a response with neither a length nor chunks.
const HEAD: &str = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: s\r\n";

const EVENT_STREAM: &str = "content-type: text/event-stream\r\n";

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

/// Offsets at which an event of [`EVENTS`] ends.
const EVENT_ENDS: [usize; 3] = [15, 30, 45];

const JSON: &str = r#"{"state": "accepted", "notes": ["a}", "b"]}"#;

fn unframed(headers: &str, body: &str) -> String {
    format!("{HEAD}{headers}\r\n{body}")
}

async fn endpoint(response: String) -> (Scripted, Fixture) {
    let endpoint = Scripted::start(vec![Act::RespondAndClose(response)]).await;
    let setup = fixture(&[endpoint.address]);
    (endpoint, setup)
}

/// Forwards one request and returns the body, or the error.
async fn forward(
    setup: &Fixture,
    kind: RouteKind,
) -> (u16, Result<String, String>) {
    let request = request("r1", route(kind));
    read(setup.forwarder.forward(request, 1).await).await
}

/// Guards against a broken-off stream that its caller takes for complete: an
/// endpoint ends in the middle of an event, and its response has neither a
/// length nor chunks.
#[parameterized(
    declared = { EVENT_STREAM },
    undeclared = { "" },
)]
#[test_macro(tokio::test)]
async fn an_unframed_stream_that_breaks_off_is_incomplete(headers: &str) {
    for cut in 0..=EVENTS.len() {
        let response = unframed(headers, &EVENTS[..cut]);
        let (_endpoint, setup) = endpoint(response).await;
        let (status, body) = forward(&setup, RouteKind::Stream).await;
        assert_eq!(status, 200, "{cut}");
        // The end between two events cannot be told from that of the stream.
        match EVENT_ENDS.contains(&cut) {
            true => assert_eq!(body.as_deref(), Ok(&EVENTS[..cut])),
            false => assert!(body.is_err(), "{cut}: {body:?}"),
        }
    }
}

/// Guards against the same loss of an endpoint that marks the end of half a
/// stream as that of a whole one.
#[parameterized(
    length = { format!("content-length: 23\r\n\r\n{}", &EVENTS[..23]) },
    chunks = { format!(
        "transfer-encoding: chunked\r\n\r\n{}0\r\n\r\n", chunk(&EVENTS[..23])
    ) },
)]
#[test_macro(tokio::test)]
async fn a_stream_that_is_marked_complete_inside_an_event_is_incomplete(
    rest: String,
) {
    let response = format!("{HEAD}{EVENT_STREAM}{rest}");
    let (_endpoint, setup) = endpoint(response).await;
    let (status, body) = forward(&setup, RouteKind::Stream).await;
    assert_eq!(status, 200);
    assert!(body.is_err(), "{body:?}");
}

/// Guards against a resumable stream that ends early: the endpoint ends
/// without a length or chunks, inside an event or before the first one.
#[parameterized(
    declared = { EVENT_STREAM },
    undeclared = { "" },
)]
#[test_macro(tokio::test)]
async fn an_unframed_stream_that_breaks_off_is_resumed(headers: &str) {
    for cut in 0..EVENTS.len() {
        let events = EVENT_ENDS.iter().filter(|end| **end <= cut).count();
        if EVENT_ENDS.contains(&cut) {
            continue;
        }
        let start = if events == 0 {
            0
        } else {
            EVENT_ENDS[events - 1]
        };
        let part = unframed(headers, &EVENTS[..cut]);
        let rest = unframed(headers, &EVENTS[start..]);
        let broken = Scripted::start(vec![Act::RespondAndClose(part)]).await;
        let other = Scripted::start(vec![Act::RespondAndClose(rest)]).await;
        let setup = fixture(&[broken.address, other.address]);
        let answer = forward(&setup, RouteKind::ResumableStream).await;
        assert_eq!(answer, (200, Ok(EVENTS.to_owned())), "{cut}");
        let after = header(&other.seen()[0], "x-resume");
        let want = (events > 0).then(|| events.to_string());
        assert_eq!(after, want, "{cut}");
    }
}

/// Guards against a stream that fails although nothing is missing: it was cut
/// off after its last event, and the endpoint that resumes it has none left.
#[tokio::test]
async fn a_stream_may_resume_after_its_last_event() {
    let part = format!(
        "{HEAD}{EVENT_STREAM}transfer-encoding: chunked\r\n\r\n{}",
        chunk(EVENTS)
    );
    let broken = Scripted::start(vec![Act::RespondAndClose(part)]).await;
    let rest = unframed(EVENT_STREAM, "");
    let other = Scripted::start(vec![Act::RespondAndClose(rest)]).await;
    let setup = fixture(&[broken.address, other.address]);
    let answer = forward(&setup, RouteKind::ResumableStream).await;
    assert_eq!(answer, (200, Ok(EVENTS.to_owned())));
}

/// Guards against half a JSON body that its caller takes for complete.
#[tokio::test]
async fn an_unframed_json_body_that_breaks_off_is_incomplete() {
    for cut in 0..=JSON.len() {
        let json = "content-type: application/json\r\n";
        let (_endpoint, setup) = endpoint(unframed(json, &JSON[..cut])).await;
        let (_, body) = forward(&setup, RouteKind::AtMostOnce).await;
        match cut == JSON.len() {
            true => assert_eq!(body.as_deref(), Ok(JSON)),
            false => assert!(body.is_err(), "{cut}: {body:?}"),
        }
    }
}

/// Guards against complete responses that do not count, because they have
/// neither a length nor chunks.
#[parameterized(
    stream = { RouteKind::Stream, EVENT_STREAM, EVENTS },
    resumable_stream = { RouteKind::ResumableStream, EVENT_STREAM, EVENTS },
    undeclared_stream = { RouteKind::Stream, "", EVENTS },
    carriage_returns = {
        RouteKind::ResumableStream, EVENT_STREAM, "data: a\r\n\r\ndata: b\r\n\r\n"
    },
    blank_lines = { RouteKind::ResumableStream, EVENT_STREAM, "data: a\n\n\n" },
    comment = { RouteKind::ResumableStream, EVENT_STREAM, "data: a\n\n: end\n" },
    json = { RouteKind::AtMostOnce, "content-type: application/json\r\n", JSON },
    plain = { RouteKind::AtMostOnce, "", "plain bytes" },
    plain_repeatable = { RouteKind::Idempotent, "", "plain bytes" },
    empty = { RouteKind::AtMostOnce, "", "" },
)]
#[test_macro(tokio::test)]
async fn a_complete_unframed_response_counts(
    kind: RouteKind,
    headers: &str,
    body: &str,
) {
    let response = unframed(headers, body);
    let answered = Arc::new(Answered::default());
    let one = Scripted::start(vec![Act::RespondAndClose(response)]).await;
    let setup = fixture(&[one.address]).with_run_observer(answered.clone());
    for id in ["r1", "r2"] {
        let request = request(id, route(kind));
        let response = setup.forwarder.forward(request, 1).await;
        assert_eq!(read(response).await, (200, Ok(body.to_owned())));
    }
    assert_eq!(answered.complete.load(Ordering::Relaxed), 2);
    assert_eq!(answered.interrupted.load(Ordering::Relaxed), 0);
    assert_eq!(one.seen().len(), 2, "each request ran once");
}

/// Counts the outcomes of runs.
#[derive(Default)]
struct Answered {
    complete: AtomicU32,
    interrupted: AtomicU32,
}

impl RunObserver for Answered {
    fn answered(&self, _run: &Run, _framing: Framing) {
        self.complete.fetch_add(1, Ordering::Relaxed);
    }

    fn interrupted(&self, _run: &Run) {
        self.interrupted.fetch_add(1, Ordering::Relaxed);
    }
}

/// Guards against a crash that leaves no evidence: an endpoint that ends
/// inside an event of an unframed response counts as one that answered.
#[tokio::test]
async fn a_broken_off_run_is_reported_as_interrupted() {
    let answered = Arc::new(Answered::default());
    let response = unframed(EVENT_STREAM, &EVENTS[..20]);
    let one = Scripted::start(vec![Act::RespondAndClose(response)]).await;
    let setup = fixture(&[one.address]).with_run_observer(answered.clone());
    let (_, body) = forward(&setup, RouteKind::Stream).await;
    assert!(body.is_err(), "{body:?}");
    assert_eq!(answered.complete.load(Ordering::Relaxed), 0);
    assert_eq!(answered.interrupted.load(Ordering::Relaxed), 1);
}

/// Guards against a poison request that is taken for sound, because an endpoint
/// that never ran it gave it up at its deadline.
#[parameterized(
    answered = { "200 OK", 1 },
    failed = { "500 Failed", 1 },
    never = { "422 Never", 1 },
    out_of_time = { "504 Late", 0 },
)]
#[test_macro(tokio::test)]
async fn only_a_run_counts_as_answered(status: &str, count: u32) {
    let answered = Arc::new(Answered::default());
    let response = format!(
        "HTTP/1.1 {status}\r\nx-id: ID\r\nx-seal: s\r\n\
         content-length: 2\r\n\r\nok"
    );
    let one = Scripted::start(vec![Act::Respond(response)]).await;
    let setup = fixture(&[one.address]).with_run_observer(answered.clone());
    let (_, body) = forward(&setup, RouteKind::AtMostOnce).await;
    assert_eq!(body, Ok("ok".to_owned()));
    assert_eq!(answered.complete.load(Ordering::Relaxed), count);
}

/// Guards against a response that counts as complete because this node itself
/// closed its connection: the incarnation of its endpoint has ended.
#[tokio::test]
async fn an_unframed_response_ends_with_the_incarnation_of_its_endpoint() {
    let part = unframed("", "half of ");
    let one = Scripted::start(vec![Act::Respond(part)]).await;
    let setup = fixture(&[one.address]);
    let request = request("r1", route(RouteKind::AtMostOnce));
    let response = setup.forwarder.forward(request, 1).await;
    setup.pool.close(setup.endpoints[0].incarnation_key());
    let (_, body) = read(response).await;
    assert!(body.is_err(), "{body:?}");
}

async fn call(response: &str) -> CallOutcome {
    let (one, setup) = endpoint(response.to_owned()).await;
    let host = one.address.to_string();
    let call = Request::get("/state").header(HOST, host);
    let call = call.body(bytes::Bytes::new()).expect("a request");
    setup.pool.call(&setup.endpoints[0], call, 1_000).await
}

/// Guards against a partial answer of another node that is used, or kept, as
/// complete: nodes mark the end of their answers, so that an answer without a
/// mark is of another server, or broken off.
#[tokio::test]
async fn an_unframed_answer_of_a_node_is_no_answer() {
    for cut in 0..=JSON.len() {
        for headers in ["", "content-type: application/json\r\n"] {
            let head = format!("HTTP/1.1 200 OK\r\n{headers}");
            let response = format!("{head}\r\n{}", &JSON[..cut]);
            let outcome = call(&response).await;
            let is_broken = matches!(outcome, CallOutcome::Broken);
            assert!(is_broken, "{cut}: {outcome:?}");
        }
    }
}

#[parameterized(
    length = { "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok" },
    chunks = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
                2\r\nok\r\n0\r\n\r\n" },
)]
#[test_macro(tokio::test)]
async fn a_complete_buffered_body_is_an_answer(response: &str) {
    let outcome = call(response).await;
    let CallOutcome::Answered(_, body) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(&body[..], b"ok");
}

#[parameterized(
    length = { "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nok" },
    chunks = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
                2\r\nok\r\n" },
)]
#[test_macro(tokio::test)]
async fn a_partial_buffered_body_is_no_answer(response: &str) {
    let outcome = call(response).await;
    assert!(matches!(outcome, CallOutcome::Broken), "{outcome:?}");
}

/// Guards against a connection that is kept although its end was the end of
/// the response on it.
#[tokio::test]
async fn a_connection_is_not_kept_after_an_unframed_response() {
    let first = Act::RespondAndClose(unframed("", "one"));
    let second = Act::Respond(valid_response("two"));
    let one = Scripted::start(vec![first, second]).await;
    let setup = fixture(&[one.address]);
    for (id, want) in [("r1", "one"), ("r2", "two")] {
        let request = request(id, route(RouteKind::AtMostOnce));
        let response = setup.forwarder.forward(request, 1).await;
        assert_eq!(read(response).await, (200, Ok(want.to_owned())));
        until(|| setup.endpoints[0].in_flight() == 0).await;
    }
}
