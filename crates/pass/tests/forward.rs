//! What becomes of a request when its endpoint fails, by kind of route.

mod common;

use common::{
    Act, Scripted, bench, chunk, good, header, read, request, route,
    stream_head, until,
};
use fleet::RouteKind;
use yare::parameterized;

const NOT_RUN: &str = "HTTP/1.1 503 Full\r\nx-id: ID\r\nx-not-run: 1\r\n\
                       content-length: 0\r\n\r\n";

#[tokio::test]
async fn bytes_are_passed_on_untouched() {
    let one = Scripted::start(vec![Act::Answer(good("hello"))]).await;
    let bench = bench(&[one.address]);
    let request = request("r1", route(RouteKind::AtMostOnce));
    let response = bench.forwarder.forward(request, 1).await;
    assert_eq!(response.headers()["x-seal"], "s");
    assert_eq!(read(response).await, (200, Ok("hello".to_owned())));
    let seen = &one.seen()[0];
    assert!(
        seen.starts_with("POST /p/q?x=1&y=%20 HTTP/1.1\r\n"),
        "{seen}"
    );
    assert!(seen.ends_with("the body"));
    assert_eq!(header(seen, "host").as_deref(), Some("a.example"));
    assert_eq!(header(seen, "x-other").as_deref(), Some("kept"));
    assert_eq!(header(seen, "x-target").as_deref(), Some("e0"));
    assert_eq!(header(seen, "x-hop"), None);
    let left: u64 = header(seen, "x-deadline").unwrap().parse().unwrap();
    assert!((3_000..=4_000).contains(&left), "{left} ms are left");
}

#[tokio::test]
async fn a_connection_is_used_again_after_a_whole_answer() {
    let one = Scripted::start(vec![Act::Answer(good("x"))]).await;
    let bench = bench(&[one.address]);
    for id in ["r1", "r2", "r3"] {
        let request = request(id, route(RouteKind::AtMostOnce));
        let response = bench.forwarder.forward(request, 1).await;
        assert_eq!(read(response).await.0, 200);
        until(|| bench.endpoints[0].in_flight() == 0).await;
        tokio::task::yield_now().await;
    }
    let opened = &bench.counters.connections_opened;
    let opened = opened.load(std::sync::atomic::Ordering::Relaxed);
    assert_eq!(opened, 1);
}

/// An endpoint that says it did not run the request is no reason to give up,
/// whatever the kind: the request goes to the next one.
#[parameterized(
    idempotent = { RouteKind::Idempotent },
    at_most_once = { RouteKind::AtMostOnce },
    stream = { RouteKind::Stream },
)]
#[test_macro(tokio::test)]
async fn a_request_that_did_not_run_goes_elsewhere(kind: RouteKind) {
    let full = Scripted::start(vec![Act::Answer(NOT_RUN.to_owned())]).await;
    let free = Scripted::start(vec![Act::Answer(good("ok"))]).await;
    let bench = bench(&[full.address, free.address]);
    let response =
        bench.forwarder.forward(request("r1", route(kind)), 1).await;
    assert_eq!(read(response).await, (200, Ok("ok".to_owned())));
    assert_eq!(full.seen().len(), 1);
}

/// Symptom: a booking is made twice. Events: the request is written, the
/// connection closes without an answer, the request is sent elsewhere.
/// Cause: a lost answer taken for a request that did not run.
#[parameterized(
    at_most_once = { RouteKind::AtMostOnce },
    stream = { RouteKind::Stream },
)]
#[test_macro(tokio::test)]
async fn what_may_have_run_is_not_sent_again(kind: RouteKind) {
    let lost = Scripted::start(vec![Act::Close]).await;
    let other = Scripted::start(vec![Act::Answer(good("ok"))]).await;
    let bench = bench(&[lost.address, other.address]);
    let response =
        bench.forwarder.forward(request("r1", route(kind)), 1).await;
    assert_eq!(response.status(), 502, "502 promises nothing");
    assert_eq!(lost.seen().len(), 1);
    assert_eq!(other.seen().len(), 0);
}

#[tokio::test]
async fn an_idempotent_request_is_sent_again_as_often_as_the_route_says() {
    let lost = Scripted::start(vec![Act::Close]).await;
    let other = Scripted::start(vec![Act::Close]).await;
    let third = Scripted::start(vec![Act::Close]).await;
    let bench = bench(&[lost.address, other.address, third.address]);
    let request = request("r1", route(RouteKind::Idempotent));
    let response = bench.forwarder.forward(request, 1).await;
    assert_eq!(response.status(), 502);
    let runs = lost.seen().len() + other.seen().len() + third.seen().len();
    assert_eq!(runs, 2, "max_attempts is two");
}

/// Symptom: a caller gets another caller's answer. Events: an endpoint
/// writes a second answer late, where the next one is expected. Cause:
/// answers matched by their place on the connection.
#[tokio::test]
async fn an_answer_with_another_id_is_never_passed_on() {
    let wrong = good("of another").replace("ID", "r0");
    let bad = Scripted::start(vec![Act::Answer(wrong)]).await;
    let bench = bench(&[bad.address]);
    let request = request("r1", route(RouteKind::AtMostOnce));
    let response = bench.forwarder.forward(request, 1).await;
    assert_eq!(response.status(), 502);
}

#[parameterized(
    without_seal = { "HTTP/1.1 200 OK\r\nx-id: ID\r\ncontent-length: 1\r\n\r\nx" },
    encoded = { "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: s\r\n\
                 content-encoding: gzip\r\ncontent-length: 1\r\n\r\nx" },
    no_http = { "garbage\r\n\r\n" },
)]
#[test_macro(tokio::test)]
async fn what_is_not_the_endpoints_own_answer_is_no_success(text: &str) {
    let bad =
        Scripted::start(vec![Act::AnswerAndClose(text.to_owned())]).await;
    let bench = bench(&[bad.address]);
    let request = request("r1", route(RouteKind::AtMostOnce));
    let response = bench.forwarder.forward(request, 1).await;
    assert_eq!(response.status(), 502);
}

#[tokio::test]
async fn a_failure_of_the_endpoint_is_passed_on_as_it_is() {
    let text = "HTTP/1.1 500 Oops\r\nx-id: ID\r\nx-seal: s\r\n\
                content-length: 3\r\n\r\nbad";
    let one = Scripted::start(vec![Act::Answer(text.to_owned())]).await;
    let bench = bench(&[one.address]);
    let request = request("r1", route(RouteKind::AtMostOnce));
    let response = bench.forwarder.forward(request, 1).await;
    assert_eq!(read(response).await, (500, Ok("bad".to_owned())));
}

/// Symptom: a caller takes half an answer for a whole one. Events: the
/// endpoint dies inside its answer. Cause: an end of the connection taken
/// for the end of the answer.
#[parameterized(
    shorter_than_its_length = {
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: s\r\n\
         content-length: 10\r\n\r\nhalf"
    },
    chunks_without_end = {
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: s\r\n\
         transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n"
    },
)]
#[test_macro(tokio::test)]
async fn half_an_answer_ends_as_broken(text: &str) {
    let bad =
        Scripted::start(vec![Act::AnswerAndClose(text.to_owned())]).await;
    let bench = bench(&[bad.address]);
    let request = request("r1", route(RouteKind::AtMostOnce));
    let response = bench.forwarder.forward(request, 1).await;
    let (status, body) = read(response).await;
    assert_eq!(status, 200);
    assert!(body.is_err(), "{body:?}");
}

/// A stream that may be taken up goes on at the next endpoint after the last
/// whole event, inside the same answer.
#[tokio::test]
async fn a_broken_stream_goes_on_elsewhere_after_its_last_event() {
    let first = stream_head()
        + &chunk("id: 1\ndata: a\n\n")
        + &chunk("id: 2\ndata: b\n\nid: 3\nda");
    let second = stream_head() + &chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n";
    let one = Scripted::start(vec![Act::AnswerAndClose(first)]).await;
    let two = Scripted::start(vec![Act::Answer(second)]).await;
    let bench = bench(&[one.address, two.address]);
    let request = request("r1", route(RouteKind::ResumableStream));
    let response = bench.forwarder.forward(request, 1).await;
    let (status, body) = read(response).await;
    let whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    assert_eq!((status, body), (200, Ok(whole.to_owned())));
    let resumed = &two.seen()[0];
    assert_eq!(header(resumed, "x-resume").as_deref(), Some("2"));
}

/// The same failure on a route whose streams may not be taken up: the answer
/// breaks off and nothing runs twice.
#[tokio::test]
async fn a_broken_stream_that_may_run_once_breaks_off() {
    let first = stream_head() + &chunk("id: 1\ndata: a\n\n");
    let one = Scripted::start(vec![Act::AnswerAndClose(first)]).await;
    let two = Scripted::start(vec![Act::Answer(good("x"))]).await;
    let bench = bench(&[one.address, two.address]);
    let request = request("r1", route(RouteKind::Stream));
    let response = bench.forwarder.forward(request, 1).await;
    assert!(read(response).await.1.is_err());
    assert_eq!(two.seen().len(), 0);
}

/// A stream that falls silent in the middle is taken up elsewhere too, and
/// the silent endpoint's connection is closed so that it stops.
#[tokio::test]
async fn a_silent_stream_goes_on_elsewhere() {
    let first = stream_head() + &chunk("id: 1\ndata: a\n\n");
    let second = stream_head() + &chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";
    let one = Scripted::start(vec![Act::Answer(first)]).await;
    let two = Scripted::start(vec![Act::Answer(second)]).await;
    let bench = bench(&[one.address, two.address]);
    let request = request("r1", route(RouteKind::ResumableStream));
    let response = bench.forwarder.forward(request, 1).await;
    let body = read(response).await.1.expect("whole");
    assert_eq!(body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

/// Symptom: an engine works on for a caller who left. Events: the caller
/// leaves before the first event. Cause: the wait for the engine's answer
/// was not tied to the caller.
#[tokio::test]
async fn an_endpoint_hears_at_once_that_the_caller_left() {
    let one = Scripted::start(vec![Act::Silent]).await;
    let bench = bench(&[one.address]);
    let request = request("r1", route(RouteKind::Stream));
    let forwarder = bench.forwarder.clone();
    let task =
        tokio::spawn(async move { forwarder.forward(request, 1).await });
    until(|| one.seen().len() == 1).await;
    task.abort();
    until(|| *one.left.lock().expect("lock") == 1).await;
    until(|| bench.endpoints[0].in_flight() == 0).await;
}

#[tokio::test]
async fn the_time_of_a_request_that_may_have_run_ends_in_504() {
    let one = Scripted::start(vec![Act::Silent]).await;
    let bench = bench(&[one.address]);
    let short = route(RouteKind::AtMostOnce).with_times(150, 100);
    let response = bench.forwarder.forward(request("r1", short), 1).await;
    assert_eq!(response.status(), 504);
}

/// A refusal says that the request has not run and when to come back, and
/// comes early in the request's time.
#[tokio::test]
async fn a_full_fleet_is_refused_early_and_truly() {
    let one = Scripted::start(vec![Act::Answer(good("x"))]).await;
    let bench = bench(&[one.address]);
    (0..40).for_each(|_| bench.endpoints[0].begin_request());
    let began = std::time::Instant::now();
    let request = request("r1", route(RouteKind::AtMostOnce));
    let response = bench.forwarder.forward(request, 1).await;
    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
    assert!(began.elapsed().as_millis() < 2_000);
    assert_eq!(one.seen().len(), 0);
}

/// A closed port is not a lost request: the next endpoint gets it, whatever
/// its kind.
#[tokio::test]
async fn an_endpoint_that_cannot_be_reached_did_not_run_anything() {
    let gone = {
        let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
        taken.local_addr().expect("address")
    };
    let free = Scripted::start(vec![Act::Answer(good("ok"))]).await;
    let bench = bench(&[gone, free.address]);
    let request = request("r1", route(RouteKind::AtMostOnce));
    let response = bench.forwarder.forward(request, 1).await;
    assert_eq!(read(response).await, (200, Ok("ok".to_owned())));
}

/// Symptom: requests hang until their time is up although their endpoint
/// has long started again. Events: an endpoint crashes behind a cut, so that
/// nothing resets its connections, and starts again. Cause: requests in
/// flight waited on connections to a process that is gone.
#[parameterized(
    idempotent = { RouteKind::Idempotent, 200 },
    at_most_once = { RouteKind::AtMostOnce, 502 },
)]
#[test_macro(tokio::test)]
async fn requests_in_flight_end_with_the_life_of_their_endpoint(
    kind: RouteKind,
    status: u16,
) {
    let gone = Scripted::start(vec![Act::Silent]).await;
    let other = Scripted::start(vec![Act::Answer(good("ok"))]).await;
    let bench = bench(&[gone.address, other.address]);
    let forwarder = bench.forwarder.clone();
    let pending = tokio::spawn(async move {
        forwarder.forward(request("r1", route(kind)), 1).await
    });
    until(|| gone.seen().len() == 1).await;
    bench.pool.end(bench.endpoints[0].incarnation_key());
    let response = pending.await.expect("an answer");
    assert_eq!(response.status().as_u16(), status);
}

/// Symptom: a stream stands still although another endpoint could go on
/// with it. Events: as above, in the middle of the stream.
#[tokio::test]
async fn a_stream_goes_on_elsewhere_when_the_life_of_its_endpoint_ends() {
    let part = stream_head() + &chunk("id: 1\ndata: a\n\n");
    let rest = chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";
    let gone = Scripted::start(vec![Act::Answer(part)]).await;
    let other =
        Scripted::start(vec![Act::Answer(stream_head() + &rest)]).await;
    let bench = bench(&[gone.address, other.address]);
    let request = request("r1", route(RouteKind::ResumableStream));
    let response = bench.forwarder.forward(request, 1).await;
    bench.pool.end(bench.endpoints[0].incarnation_key());
    let whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n".to_owned();
    assert_eq!(read(response).await, (200, Ok(whole)));
    assert_eq!(header(&other.seen()[0], "x-resume").as_deref(), Some("1"));
}
