//! Duplicates of earlier responses that arrive where the response to another
//! request is expected.

mod common;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use common::{
    Act, Fixture, Scripted, fixture, header, read, request, route, until,
    valid_response,
};
use fleet::RouteKind;
use http::Request;
use pomeloslip_pass::{CallOutcome, Failure};
use yare::parameterized;

/// A refusal of the request with the id ID.
const REFUSAL: &str = "HTTP/1.1 503 Full\r\nx-id: ID\r\nx-not-run: 1\r\n\
                       x-load: 4,2,4\r\ncontent-length: 0\r\n\r\n";

/// A refusal by an endpoint that is not the one that the request names.
const MISDIRECTED: &str =
    "HTTP/1.1 421 No\r\nx-id: ID\r\ncontent-length: 0\r\n\r\n";

/// A refusal that does not name a request.
const ANONYMOUS: &str = "HTTP/1.1 503 Full\r\nx-not-run: 1\r\n\
                         content-length: 0\r\n\r\n";

/// A response to the request `r0`, and the response to the current request.
fn late(duplicate: &str) -> Act {
    let duplicate = duplicate.replace("ID", "r0");
    Act::Respond(duplicate + &valid_response("own"))
}

/// Offers a request to the first endpoint.
async fn offer(setup: &Fixture, id: &str) -> Result<u16, Failure> {
    let request = Arc::new(request(id, route(RouteKind::Stream)));
    let wait = Duration::from_secs(5);
    let endpoint = &setup.endpoints[0];
    let offer = setup.forwarder.offer(&request, endpoint, None, wait);
    offer.await.map(|exchange| exchange.status().as_u16())
}

fn connections_opened(setup: &Fixture) -> u64 {
    setup.counters.connections_opened.load(Ordering::Relaxed)
}

/// Guards against duplicate execution, and against a refusal of a request that
/// runs: a late refusal of another request is taken for that of a request that
/// may run only once, which is then sent to a further endpoint.
#[parameterized(
    at_most_once = { RouteKind::AtMostOnce, REFUSAL },
    stream = { RouteKind::Stream, REFUSAL },
    misdirected = { RouteKind::Stream, MISDIRECTED },
    anonymous = { RouteKind::Stream, ANONYMOUS },
)]
#[test_macro(tokio::test)]
async fn a_refusal_of_another_request_says_nothing(
    kind: RouteKind,
    refusal: &str,
) {
    let one = Scripted::start(vec![late(refusal)]).await;
    let other =
        Scripted::start(vec![Act::Respond(valid_response("ok"))]).await;
    let setup = fixture(&[one.address, other.address]);
    let request = request("r1", route(kind));
    let response = setup.forwarder.forward(request, 1).await;
    assert_eq!(response.status(), 502, "502 leaves open whether it ran");
    assert_eq!(one.seen().len(), 1);
    assert_eq!(other.seen().len(), 0);
    let misplaced = &setup.counters.responses_misplaced;
    assert_eq!(misplaced.load(Ordering::Relaxed), 1);
}

/// A request that may run more than once is sent to a further endpoint.
#[tokio::test]
async fn an_idempotent_request_is_answered_in_spite_of_a_late_refusal() {
    let one = Scripted::start(vec![late(REFUSAL)]).await;
    let other =
        Scripted::start(vec![Act::Respond(valid_response("ok"))]).await;
    let setup = fixture(&[one.address, other.address]);
    let request = request("r1", route(RouteKind::Idempotent));
    let response = setup.forwarder.forward(request, 1).await;
    assert_eq!(read(response).await, (200, Ok("ok".to_owned())));
}

/// Guards against the use of a connection on which the response to the last
/// request is still to come.
#[tokio::test]
async fn a_connection_with_a_late_response_is_not_used_again() {
    let acts = vec![
        Act::Respond(REFUSAL.to_owned()),
        late(REFUSAL),
        Act::Respond(valid_response("r3")),
    ];
    let endpoint = Scripted::start(acts).await;
    let setup = fixture(&[endpoint.address]);
    let refused = Failure::NotExecuted(http::StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(offer(&setup, "r0").await, Err(refused));
    assert_eq!(offer(&setup, "r2").await, Err(Failure::WrongId));
    assert_eq!(connections_opened(&setup), 1);
    assert_eq!(offer(&setup, "r3").await, Ok(200));
    assert_eq!(connections_opened(&setup), 2);
}

/// Guards against a duplicate of the refusal of a request's first offer that is
/// taken for the response to its second offer, which has the same id.
#[tokio::test]
async fn a_request_is_offered_again_on_another_connection() {
    let acts = vec![
        Act::Respond(REFUSAL.to_owned()),
        Act::Respond(valid_response("own")),
    ];
    let endpoint = Scripted::start(acts).await;
    let setup = fixture(&[endpoint.address]);
    let refused = Failure::NotExecuted(http::StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(offer(&setup, "r1").await, Err(refused));
    assert_eq!(offer(&setup, "r1").await, Ok(200));
    assert_eq!(connections_opened(&setup), 2);
}

/// Guards against the load of an earlier moment that is taken for the current
/// one, since a late response reports it.
#[tokio::test]
async fn a_late_response_reports_no_load() {
    let endpoint = Scripted::start(vec![late(REFUSAL)]).await;
    let setup = fixture(&[endpoint.address]);
    let clock = base::SystemClock::new();
    let load = || {
        let now = base::Clock::now(&clock);
        setup.endpoints[0].estimated_load(now)
    };
    let before = load();
    assert_eq!(offer(&setup, "r1").await, Err(Failure::WrongId));
    assert_eq!(load(), before);
    assert_eq!(setup.endpoints[0].in_flight(), 0);
}

/// Guards against a late response to a request that is taken for the response
/// to a call of the node itself, and against the use of the connection, on
/// which the response to that call is still to come.
#[tokio::test]
async fn a_late_response_to_a_request_does_not_answer_a_call() {
    let acts = vec![
        Act::Respond(valid_response("r0")),
        late("HTTP/1.1 200 OK\r\nx-id: ID\r\ncontent-length: 2\r\n\r\n{}"),
        Act::Respond("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]".into()),
    ];
    let endpoint = Scripted::start(acts).await;
    let setup = fixture(&[endpoint.address]);
    let forwarded = request("r0", route(RouteKind::Idempotent));
    let response = setup.forwarder.forward(forwarded, 1).await;
    assert_eq!(read(response).await.0, 200);
    until(|| setup.endpoints[0].in_flight() == 0).await;
    let call = || {
        let call = Request::get("/load").body(Bytes::new()).expect("a call");
        setup.pool.call_server(&setup.endpoints[0], call, 1_000)
    };
    let first = call().await;
    assert!(matches!(first, CallOutcome::Broken), "{first:?}");
    let CallOutcome::Answered(_, body) = call().await else {
        panic!("the endpoint has answered");
    };
    assert_eq!(&body[..], b"[]");
    let seen = endpoint.seen();
    assert_eq!(header(&seen[1], "x-id"), None);
}
