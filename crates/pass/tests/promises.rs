//! The statuses 408, 421, 429 and 503 promise a caller that its request did
//! not run: they are given only if no copy of it may have run.

mod common;

use std::time::Duration;

use common::{
    Act, Scripted, Step, chunk, fixture, read, request, request_of, route,
    stream_head, until, valid_response,
};
use fleet::RouteKind;
use http::Response;
use pomeloslip_pass::{DirectoryView, ResponseBody};
use yare::parameterized;

/// A refusal whose endpoint states that it did not run the request.
const DECLINED: &str = "HTTP/1.1 503 Full\r\nx-id: ID\r\nx-not-run: 1\r\n\
                        x-load: 4,2,4\r\ncontent-length: 0\r\n\r\n";

/// The same with the status of a caller that sends too much.
const DECLINED_429: &str = "HTTP/1.1 429 Wait\r\nx-id: ID\r\nx-not-run: 1\r\n\
                            content-length: 0\r\n\r\n";

/// The endpoint is not the one that the request names.
const MISDIRECTED: &str =
    "HTTP/1.1 421 No\r\nx-id: ID\r\ncontent-length: 0\r\n\r\n";

const MISDIRECTED_STATED: &str = "HTTP/1.1 421 No\r\nx-id: ID\r\n\
                                  x-not-run: 1\r\ncontent-length: 0\r\n\r\n";

/// A response with a status that promises something, and no statement.
fn unproven(status: u16, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} No\r\nx-id: ID\r\n{headers}content-length: {}\r\n\
         \r\n{body}",
        body.len()
    )
}

fn promises(response: &Response<ResponseBody>) -> bool {
    matches!(response.status().as_u16(), 408 | 421 | 429 | 503)
}

/// Guards against a request that runs and is refused: the status of an endpoint
/// that does not state that it did not run the request is handed on.
#[parameterized(
    stream_503 = { RouteKind::Stream, 503, "", "" },
    stream_429 = { RouteKind::Stream, 429, "", "" },
    stream_408 = { RouteKind::Stream, 408, "", "" },
    once_503 = { RouteKind::AtMostOnce, 503, "", "" },
    once_429 = { RouteKind::AtMostOnce, 429, "", "" },
    once_408 = { RouteKind::AtMostOnce, 408, "", "" },
    sealed = { RouteKind::Stream, 503, "x-seal: s\r\n", "" },
    sealed_429 = { RouteKind::AtMostOnce, 429, "x-seal: s\r\n", "no" },
    retry_after = { RouteKind::Stream, 503, "retry-after: 1\r\n", "" },
    body = { RouteKind::Stream, 503, "x-seal: s\r\n", "the endpoint's text" },
    encoded = { RouteKind::Stream, 503, "content-encoding: gzip\r\n", "x" },
)]
#[test_macro(tokio::test)]
async fn a_status_without_a_statement_is_not_handed_on(
    kind: RouteKind,
    status: u16,
    headers: &str,
    body: &str,
) {
    let act = Act::Respond(unproven(status, headers, body));
    let one = Scripted::start(vec![act]).await;
    let other =
        Scripted::start(vec![Act::Respond(valid_response("ok"))]).await;
    let setup = fixture(&[one.address, other.address]);
    let request = request("r1", route(kind).with_max_attempts(1));
    let response = setup.forwarder.forward(request, 1).await;
    assert!(!promises(&response), "{}", response.status());
    let expected = if status == 408 { 504 } else { 502 };
    assert_eq!(response.status(), expected);
    for name in ["x-seal", "retry-after", "content-encoding"] {
        assert!(!response.headers().contains_key(name), "{name}");
    }
    let text = read(response).await.1.expect("a whole body");
    assert!(text.contains(r#""ran":"unknown""#), "{text}");
    assert!(!text.contains("the endpoint's text"), "{text}");
    assert_eq!((one.seen().len(), other.seen().len()), (1, 0));
}

/// Guards against a success with which its endpoint states that it did not run
/// the request: it is taken for a refusal, and the request runs twice.
#[parameterized(
    stream = { RouteKind::Stream },
    once = { RouteKind::AtMostOnce },
)]
#[test_macro(tokio::test)]
async fn a_success_is_no_refusal(kind: RouteKind) {
    let text =
        valid_response("own").replacen("\r\n", "\r\nx-not-run: 1\r\n", 1);
    let one = Scripted::start(vec![Act::Respond(text)]).await;
    let other =
        Scripted::start(vec![Act::Respond(valid_response("ok"))]).await;
    let setup = fixture(&[one.address, other.address]);
    let request = request("r1", route(kind));
    let response = setup.forwarder.forward(request, 1).await;
    assert_eq!(response.status(), 502);
    assert!(!response.headers().contains_key("x-seal"));
    assert_eq!((one.seen().len(), other.seen().len()), (1, 0));
}

/// A request that may run more than once is sent to a further endpoint.
#[parameterized(
    full = { 503 },
    too_many = { 429 },
    late = { 408 },
)]
#[test_macro(tokio::test)]
async fn a_repeatable_request_is_tried_elsewhere(status: u16) {
    let one = Scripted::start(vec![Act::Respond(unproven(status, "", ""))]);
    let one = one.await;
    let other =
        Scripted::start(vec![Act::Respond(valid_response("ok"))]).await;
    let setup = fixture(&[one.address, other.address]);
    let request = request("r1", route(RouteKind::Idempotent));
    let response = setup.forwarder.forward(request, 1).await;
    assert_eq!(read(response).await, (200, Ok("ok".to_owned())));
    assert_eq!((one.seen().len(), other.seen().len()), (1, 1));
}

/// Guards against a repeatable request that runs more often than its route
/// allows, and against the last status that is handed on then.
#[parameterized(
    full = { 503, 502 },
    too_many = { 429, 502 },
    late = { 408, 504 },
)]
#[test_macro(tokio::test)]
async fn the_attempts_of_a_repeatable_request_are_limited(
    status: u16,
    expected: u16,
) {
    let act = Act::Respond(unproven(status, "x-seal: s\r\n", ""));
    let mut all = Vec::new();
    for _ in 0..3 {
        all.push(Scripted::start(vec![act.clone()]).await);
    }
    let addresses: Vec<_> = all.iter().map(|one| one.address).collect();
    let setup = fixture(&addresses);
    let request = request("r1", route(RouteKind::Idempotent));
    let response = setup.forwarder.forward(request, 1).await;
    assert_eq!(response.status(), expected);
    assert!(!response.headers().contains_key("x-seal"));
    let sent: usize = all.iter().map(|one| one.seen().len()).sum();
    assert_eq!(sent, 2);
}

/// A true refusal is offered elsewhere, for every kind of route.
#[parameterized(
    full = { DECLINED },
    too_many = { DECLINED_429 },
    misdirected = { MISDIRECTED },
    misdirected_stated = { MISDIRECTED_STATED },
)]
#[test_macro(tokio::test)]
async fn a_stated_refusal_is_offered_elsewhere(refusal: &str) {
    for kind in [RouteKind::Stream, RouteKind::AtMostOnce] {
        let one = Scripted::start(vec![Act::Respond(refusal.to_owned())]);
        let one = one.await;
        let other =
            Scripted::start(vec![Act::Respond(valid_response("ok"))]).await;
        let setup = fixture(&[one.address, other.address]);
        let request = request("r1", route(kind).with_max_attempts(1));
        let response = setup.forwarder.forward(request, 1).await;
        assert_eq!(read(response).await, (200, Ok("ok".to_owned())));
        assert_eq!((one.seen().len(), other.seen().len()), (1, 1));
    }
}

/// What an endpoint does that may have run the request.
fn lost(at: usize) -> Act {
    match at {
        0 => Act::Respond(unproven(503, "", "")),
        1 => Act::Close,
        2 => Act::Respond(valid_response("x").replace("ID", "r0")),
        _ => Act::Respond(valid_response("x").replace("x-seal", "x-none")),
    }
}

/// Guards against a promise after several offers of which one may have run:
/// the others are refused, until none is left or no more offers are allowed.
#[parameterized(
    unproven_of_two = { 0, 2 },
    closed_of_two = { 1, 2 },
    misplaced_of_two = { 2, 2 },
    unsealed_of_two = { 3, 2 },
    unproven_of_four = { 0, 4 },
    closed_of_six = { 1, 6 },
    unproven_of_six = { 0, 6 },
)]
#[test_macro(tokio::test)]
async fn one_possible_run_among_refusals_decides(at: usize, count: usize) {
    let mut addresses = Vec::new();
    let mut all = vec![Scripted::start(vec![lost(at)]).await];
    for _ in 1..count {
        let declines = vec![Act::Respond(DECLINED.to_owned())];
        all.push(Scripted::start(declines).await);
    }
    addresses.extend(all.iter().map(|one| one.address));
    let setup = fixture(&addresses);
    let many = route(RouteKind::Idempotent).with_max_attempts(9);
    let response = setup.forwarder.forward(request("r1", many), 1).await;
    assert_eq!(all[0].seen().len(), 1, "the first is preferred");
    assert_eq!(response.status(), 502);
    assert!(!response.headers().contains_key("retry-after"));
}

/// Guards against a promise when the time of a request is up that may have run
/// earlier and waits for an endpoint.
#[tokio::test]
async fn the_time_of_a_request_with_a_possible_run_ends_in_504() {
    let one = Scripted::start(vec![lost(0)]).await;
    let other = Scripted::start(vec![Act::Silent]).await;
    let setup = fixture(&[one.address, other.address]);
    let short = route(RouteKind::Idempotent).with_times(300, 5_000);
    let response = setup.forwarder.forward(request("r1", short), 1).await;
    assert_eq!(response.status(), 504);
    assert_eq!((one.seen().len(), other.seen().len()), (1, 1));
}

/// Guards against a promise when no endpoint is left of a service: the list
/// loses them while the request is under way.
#[parameterized(
    full = { 503 },
    late = { 408 },
)]
#[test_macro(tokio::test)]
async fn no_endpoint_is_left_after_a_possible_run(status: u16) {
    let steps = vec![
        Step::Pause(100),
        Step::Write(unproven(status, "", "")),
        Step::Pause(5_000),
    ];
    let one = Scripted::start(vec![Act::Paced(steps)]).await;
    let setup = fixture(&[one.address]);
    let request = request("r1", route(RouteKind::Idempotent));
    let forwarder = setup.forwarder.clone();
    let sent =
        tokio::spawn(async move { forwarder.forward(request, 1).await });
    until(|| one.seen().len() == 1).await;
    setup.view.publish(DirectoryView::default());
    let response = sent.await.expect("a response");
    assert_eq!(response.status(), 502);
}

/// Guards against a promise of the shares of customers after a possible run:
/// the customer is over its share while all endpoints are full.
#[tokio::test]
async fn fair_shares_promise_nothing_after_a_possible_run() {
    let steps = vec![
        Step::Pause(200),
        Step::Write(unproven(503, "", "")),
        Step::Pause(5_000),
    ];
    let one = Scripted::start(vec![Act::Paced(steps)]).await;
    let setup = fixture(&[one.address]).with_fair_shares();
    let kind = route(RouteKind::Idempotent);
    let request = request_of("large", "r1", kind, &[]);
    let forwarder = setup.forwarder.clone();
    let sent =
        tokio::spawn(async move { forwarder.forward(request, 1).await });
    until(|| one.seen().len() == 1).await;
    (0..40).for_each(|_| setup.endpoints[0].begin_request());
    let response = sent.await.expect("a response");
    assert_eq!(response.status(), 502);
    assert!(!response.headers().contains_key("retry-after"));
}

/// Guards against the body of a refusal in the middle of a stream, and against
/// a further run: the endpoint that should continue a stream answers with a
/// status that promises something.
#[parameterized(
    full = { 503 },
    too_many = { 429 },
    late = { 408 },
)]
#[test_macro(tokio::test)]
async fn a_continuation_that_is_refused_without_a_statement(status: u16) {
    let begun = stream_head() + &chunk("id: 1\ndata: a\n\n");
    let one = Scripted::start(vec![Act::RespondAndClose(begun)]).await;
    let next = Act::Respond(unproven(status, "x-seal: s\r\n", "no"));
    let two = Scripted::start(vec![next.clone()]).await;
    let three = Scripted::start(vec![next]).await;
    let setup = fixture(&[one.address, two.address, three.address]);
    let request = request("r1", route(RouteKind::ResumableStream));
    let response = setup.forwarder.forward(request, 1).await;
    let (status, body) = read(response).await;
    assert_eq!(status, 200);
    assert!(body.is_err(), "the stream ends incomplete: {body:?}");
    assert_eq!(two.seen().len() + three.seen().len(), 1);
}

/// A request to endpoints that all refuse it truly gets a promise in time.
#[tokio::test]
async fn a_request_that_did_not_run_is_refused() {
    let one = Scripted::start(vec![Act::Respond(DECLINED.to_owned())]).await;
    let setup = fixture(&[one.address]);
    let request = request("r1", route(RouteKind::Stream));
    let forward = setup.forwarder.forward(request, 1);
    let response = tokio::time::timeout(Duration::from_secs(4), forward);
    let response = response.await.expect("in time");
    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
}
