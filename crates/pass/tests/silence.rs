//! Endpoints that are sound, fall silent in the middle of a request and go on.

mod common;

use std::{
    net::SocketAddr,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use common::{
    Act, Fixture, Scripted, Step, chunk, fixture, fixture_of, header, read,
    request, request_with_body, route, stream_head, until, valid_response,
};
use fleet::{Route, RouteKind};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::sleep,
};
use yare::parameterized;

/// Longer than any timer that takes an endpoint for silent in these tests.
const PAUSE_MS: u64 = 1_600;

const NOT_RUN: &str = "HTTP/1.1 503 Full\r\nx-id: ID\r\nx-not-run: 1\r\n\
                       content-length: 0\r\n\r\n";

const WHOLE: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// A stream that pauses after its first event and goes on.
fn paused_stream() -> Act {
    Act::Paced(vec![
        Step::Write(stream_head() + &chunk("id: 1\ndata: a\n\n")),
        Step::Pause(PAUSE_MS),
        Step::Write(chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n"),
    ])
}

/// The part of the stream after its first event.
fn rest_of_stream() -> Act {
    let rest = chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";
    Act::Respond(stream_head() + &rest)
}

/// A response that begins after a pause.
fn late(response: String) -> Act {
    Act::Paced(vec![Step::Pause(PAUSE_MS), Step::Write(response)])
}

/// Streams that may be resumed as often as `max_attempts` allows.
fn resumable(max_attempts: u32) -> Route {
    route(RouteKind::ResumableStream).with_max_attempts(max_attempts)
}

async fn body_of(setup: &Fixture, route: Route) -> Result<String, String> {
    let request = request("r1", route);
    read(setup.forwarder.forward(request, 1).await).await.1
}

/// Guards against streams that are cut because their endpoint paused, though
/// no attempt is left to take them up elsewhere.
#[tokio::test]
async fn a_silent_stream_without_attempts_left_waits() {
    let one = Scripted::start(vec![paused_stream()]).await;
    let two = Scripted::start(vec![rest_of_stream()]).await;
    let setup = fixture(&[one.address, two.address]);
    let body = body_of(&setup, resumable(1)).await;
    assert_eq!(body.as_deref(), Ok(WHOLE));
    assert_eq!(two.seen().len(), 0);
}

/// Guards against streams that are cut because both endpoints that they may
/// run at paused, one after the other.
#[tokio::test]
async fn a_stream_whose_second_endpoint_pauses_too_is_whole() {
    let one = Scripted::start(vec![Act::RespondAndClose(
        stream_head() + &chunk("id: 1\ndata: a\n\n"),
    )])
    .await;
    let two = Scripted::start(vec![Act::Paced(vec![
        Step::Write(stream_head()),
        Step::Pause(PAUSE_MS),
        Step::Write(chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n"),
    ])])
    .await;
    let setup = fixture(&[one.address, two.address]);
    let body = body_of(&setup, resumable(2)).await;
    assert_eq!(body.as_deref(), Ok(WHOLE));
}

/// Guards against streams that leave a silent endpoint before another one has
/// taken them, and are then cut.
#[parameterized(
    refuses = { Act::Respond(NOT_RUN.to_owned()) },
    is_silent_too = { Act::Silent },
    closes = { Act::Close },
)]
#[test_macro(tokio::test)]
async fn a_silent_stream_stays_unless_another_endpoint_takes_it(other: Act) {
    let one = Scripted::start(vec![paused_stream()]).await;
    let two = Scripted::start(vec![other]).await;
    let setup = fixture(&[one.address, two.address]);
    let body = body_of(&setup, resumable(3)).await;
    assert_eq!(body.as_deref(), Ok(WHOLE));
}

/// Guards against the same cut where no other endpoint is listed.
#[tokio::test]
async fn a_silent_stream_stays_at_the_only_endpoint() {
    let one = Scripted::start(vec![paused_stream()]).await;
    let setup = fixture(&[one.address]);
    let body = body_of(&setup, resumable(3)).await;
    assert_eq!(body.as_deref(), Ok(WHOLE));
    assert_eq!(one.seen().len(), 1, "it runs once");
}

/// Guards against the same cut where no other endpoint has the version of the
/// stream.
#[tokio::test]
async fn a_silent_stream_stays_at_the_only_endpoint_of_its_version() {
    let one = Scripted::start(vec![paused_stream()]).await;
    let two = Scripted::start(vec![rest_of_stream()]).await;
    let setup =
        fixture_of(&[(one.address, "app", "v1"), (two.address, "app", "v2")]);
    let body = body_of(&setup, resumable(3)).await;
    assert_eq!(body.as_deref(), Ok(WHOLE));
    assert_eq!(two.seen().len(), 0);
}

/// Guards against the same cut for streams whose events have no ids.
#[tokio::test]
async fn a_silent_stream_without_event_ids_stays() {
    let one = Scripted::start(vec![Act::Paced(vec![
        Step::Write(stream_head() + &chunk("data: a\n\n")),
        Step::Pause(PAUSE_MS),
        Step::Write(chunk("data: b\n\n") + "0\r\n\r\n"),
    ])])
    .await;
    let two = Scripted::start(vec![rest_of_stream()]).await;
    let setup = fixture(&[one.address, two.address]);
    let body = body_of(&setup, resumable(3)).await;
    assert_eq!(body.as_deref(), Ok("data: a\n\ndata: b\n\n"));
}

/// Guards against a stream that two endpoints generate for long: the silent
/// one is left when the other one answers.
#[tokio::test]
async fn the_silent_endpoint_is_left_when_another_one_answers() {
    let one = Scripted::start(vec![paused_stream()]).await;
    let two = Scripted::start(vec![rest_of_stream()]).await;
    let setup = fixture(&[one.address, two.address]);
    let began = Instant::now();
    let body = body_of(&setup, resumable(2)).await;
    assert_eq!(body.as_deref(), Ok(WHOLE));
    assert!(
        began.elapsed() < Duration::from_millis(PAUSE_MS),
        "it moved"
    );
    until(|| *one.disconnects.lock().expect("lock") == 1).await;
    let resumed = &two.seen()[0];
    assert_eq!(header(resumed, "x-resume").as_deref(), Some("1"));
    assert_eq!(setup.counters.resumed.load(Ordering::Relaxed), 1);
}

/// Guards against a run that goes on at a second endpoint although the first
/// one has gone on.
#[tokio::test]
async fn the_second_run_ends_when_the_first_one_goes_on() {
    let one = Scripted::start(vec![paused_stream()]).await;
    let two = Scripted::start(vec![Act::Silent]).await;
    let setup = fixture(&[one.address, two.address]);
    let body = body_of(&setup, resumable(2)).await;
    assert_eq!(body.as_deref(), Ok(WHOLE));
    assert_eq!(two.seen().len(), 1);
    until(|| *two.disconnects.lock().expect("lock") == 1).await;
    until(|| setup.endpoints.iter().all(|e| e.in_flight() == 0)).await;
}

/// Guards against requests that get no answer of their endpoint because it
/// paused before its head and no other endpoint could take them.
#[parameterized(
    idempotent = { RouteKind::Idempotent, Act::Respond(NOT_RUN.to_owned()) },
    idempotent_closed = { RouteKind::Idempotent, Act::Close },
    stream = { RouteKind::ResumableStream, Act::Respond(NOT_RUN.to_owned()) },
    stream_closed = { RouteKind::ResumableStream, Act::Close },
)]
#[test_macro(tokio::test)]
async fn a_pause_before_the_head_ends_no_request(kind: RouteKind, other: Act) {
    let answer = stream_head() + &chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n";
    let one = Scripted::start(vec![late(answer)]).await;
    let two = Scripted::start(vec![other]).await;
    let setup = fixture(&[one.address, two.address]);
    let route = route(kind).with_times(5_000, 200).with_max_attempts(3);
    let request = request("r1", route);
    let response = setup.forwarder.forward(request, 1).await;
    let whole = "id: 1\ndata: a\n\n".to_owned();
    assert_eq!(read(response).await, (200, Ok(whole)));
    assert_eq!(one.seen().len(), 1, "it runs there once");
}

/// Guards against requests that wait for a silent endpoint although another
/// one can answer them.
#[parameterized(
    idempotent = { RouteKind::Idempotent },
    stream = { RouteKind::ResumableStream },
)]
#[test_macro(tokio::test)]
async fn a_request_is_answered_by_another_endpoint_meanwhile(kind: RouteKind) {
    let answer = stream_head() + &chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n";
    let one = Scripted::start(vec![late(answer.clone())]).await;
    let two = Scripted::start(vec![Act::Respond(answer)]).await;
    let setup = fixture(&[one.address, two.address]);
    let route = route(kind).with_times(5_000, 100);
    let began = Instant::now();
    let response = setup.forwarder.forward(request("r1", route), 1).await;
    assert_eq!(read(response).await.0, 200);
    assert!(began.elapsed() < Duration::from_millis(PAUSE_MS));
    until(|| *one.disconnects.lock().expect("lock") == 1).await;
    until(|| setup.endpoints.iter().all(|e| e.in_flight() == 0)).await;
}

/// Guards against requests that run twice because their endpoint paused.
#[parameterized(
    at_most_once = { RouteKind::AtMostOnce },
    stream = { RouteKind::Stream },
)]
#[test_macro(tokio::test)]
async fn a_request_that_runs_once_waits_for_its_endpoint(kind: RouteKind) {
    let one = Scripted::start(vec![late(valid_response("ok"))]).await;
    let two = Scripted::start(vec![Act::Respond(valid_response("no"))]).await;
    let setup = fixture(&[one.address, two.address]);
    let route = route(kind).with_times(5_000, 100);
    let response = setup.forwarder.forward(request("r1", route), 1).await;
    assert_eq!(read(response).await, (200, Ok("ok".to_owned())));
    assert_eq!(two.seen().len(), 0);
}

/// Guards against connections that this node ends while a sound endpoint does
/// not take what was sent: the request is lost, and so is its answer.
#[tokio::test]
async fn an_endpoint_that_reads_nothing_for_a_while_still_answers() {
    let address = slow_reader(Duration::from_millis(2_500)).await;
    let setup = fixture(&[address]);
    let body = vec![b'x'; 16 << 20];
    let request = request_with_body(
        "r1",
        route(RouteKind::AtMostOnce).with_times(8_000, 1_000),
        body.into(),
    );
    let response = setup.forwarder.forward(request, 1).await;
    assert_eq!(read(response).await, (200, Ok("ok".to_owned())));
}

/// Starts an endpoint that reads nothing for a while, then one request, and
/// answers it.
async fn slow_reader(pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        sleep(pause).await;
        let mut seen = Vec::new();
        let mut part = vec![0; 1 << 16];
        loop {
            let count = stream.read(&mut part).await.expect("a request");
            assert!(count > 0, "the connection ended before the request");
            seen.extend_from_slice(&part[..count]);
            if is_whole(&seen) {
                break;
            }
        }
        let response = valid_response("ok").replace("ID", "r1");
        let written = stream.write_all(response.as_bytes()).await;
        written.expect("the connection is open");
        sleep(Duration::from_secs(10)).await;
    });
    address
}

/// Reports whether a request with a length is complete.
fn is_whole(bytes: &[u8]) -> bool {
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n");
    end.is_some_and(|end| {
        let head = String::from_utf8_lossy(&bytes[..end]);
        let length = header(&head, "content-length").unwrap_or_default();
        bytes.len() - end - 4 >= length.parse().unwrap_or(0)
    })
}
