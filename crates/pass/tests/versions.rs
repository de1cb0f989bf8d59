//! A stream goes on only at the service and version that generated its first
//! event.

mod common;

use std::sync::Arc;

use base::{Millis, SystemClock};
use common::{
    Act, Fixture, Scripted, chunk, fixture_of, header, read, request,
    request_with, resuming, route, stream_head,
};
use fleet::{
    Destination, Directory, EndpointRecord, Listing, Route, RouteKind,
};
use origins::{Origin, StreamId, StreamKey, StreamKeys, Verdict};
use pomeloslip_pass::{
    DirectoryView, Inbound, LocalOrigins, OriginFuture, StreamOrigins,
};
use yare::parameterized;

fn event(id: u32, text: &str) -> String {
    chunk(&format!("id: {id}\ndata: {text}\n\n"))
}

/// Returns the events of a response from one to another.
fn events(from: u32, to: u32, text: &str) -> String {
    (from..=to).map(|id| event(id, text)).collect()
}

/// Creates an endpoint that breaks its first stream off after an event and
/// completes the others.
async fn breaking(text: &str) -> Scripted {
    let first = stream_head() + &events(1, 1, text);
    let rest = stream_head() + &events(2, 3, text) + "0\r\n\r\n";
    Scripted::start(vec![Act::RespondAndClose(first), Act::Respond(rest)])
        .await
}

/// Creates an endpoint that completes streams after their first event.
async fn completing(text: &str) -> Scripted {
    let rest = stream_head() + &events(2, 3, text) + "0\r\n\r\n";
    Scripted::start(vec![Act::Respond(rest)]).await
}

/// Creates an endpoint with whole streams of three events.
async fn whole(text: &str) -> Scripted {
    let whole = stream_head() + &events(1, 3, text) + "0\r\n\r\n";
    Scripted::start(vec![Act::Respond(whole)]).await
}

async fn forward(
    fixture: &Fixture,
    request: Inbound,
) -> (u16, Result<String, String>) {
    read(fixture.forwarder.forward(request, 1).await).await
}

fn resumable() -> Route {
    route(RouteKind::ResumableStream)
}

/// Guards against a response whose events are those of two versions, while an
/// endpoint of the right one is at hand.
#[tokio::test]
async fn a_stream_goes_on_at_an_endpoint_of_its_version() {
    let (one, two) = (breaking("a").await, completing("b").await);
    let three = completing("a").await;
    let setup = fixture_of(&[
        (one.address, "app", "v1"),
        (two.address, "app", "v2"),
        (three.address, "app", "v1"),
    ]);
    let (status, body) = forward(&setup, request("r1", resumable())).await;
    let body = body.expect("whole");
    assert_eq!((status, body.matches("data: a").count()), (200, 3));
    assert_eq!((two.seen().len(), three.seen().len()), (0, 1));
}

/// Guards against a guess where the version of an endpoint is not known.
#[tokio::test]
async fn a_stream_of_an_unknown_version_does_not_go_on() {
    let (one, two) = (breaking("a").await, completing("a").await);
    let setup =
        fixture_of(&[(one.address, "app", ""), (two.address, "app", "")]);
    let (_, body) = forward(&setup, request("r1", resumable())).await;
    assert!(body.is_err());
    let again = resuming("r2", resumable(), "1", "r1");
    assert_eq!(forward(&setup, again).await.0, 503);
    assert_eq!((one.seen().len(), two.seen().len()), (1, 0));
}

/// Guards against streams that are bound to an endpoint that has sent no
/// event: any version may begin them.
#[tokio::test]
async fn a_stream_without_an_event_begins_at_any_version() {
    let head = Act::RespondAndClose(stream_head());
    let one = Scripted::start(vec![head]).await;
    let two = whole("b").await;
    let setup =
        fixture_of(&[(one.address, "app", "v1"), (two.address, "app", "v2")]);
    let (status, body) = forward(&setup, request("r1", resumable())).await;
    let body = body.expect("whole");
    assert_eq!((status, body.matches("data: b").count()), (200, 3));
    let again = resuming("r2", resumable(), "1", "r1");
    assert_eq!(forward(&setup, again).await.0, 200);
    assert_eq!((one.seen().len(), two.seen().len()), (1, 2));
}

/// Guards against streams that end because a comment, which no version
/// generates, has bound them.
#[tokio::test]
async fn a_comment_does_not_bind_a_stream() {
    let comment = stream_head() + &chunk(": wait\n\n");
    let one = Scripted::start(vec![Act::RespondAndClose(comment)]).await;
    let two = whole("b").await;
    let setup =
        fixture_of(&[(one.address, "app", "v1"), (two.address, "app", "v2")]);
    let (status, body) = forward(&setup, request("r1", resumable())).await;
    let body = body.expect("whole");
    assert_eq!((status, body.matches("data: b").count()), (200, 3));
}

/// Guards against a resumed run that fails at its endpoint and is sent again
/// to another version.
#[tokio::test]
async fn a_resumed_stream_that_fails_is_retried_at_its_version() {
    let one = whole("a").await;
    let failed = "HTTP/1.1 500 No\r\nx-id: ID\r\ncontent-length: 0\r\n\r\n";
    let two = whole("b").await;
    let setup =
        fixture_of(&[(one.address, "app", "v1"), (two.address, "app", "v2")]);
    assert_eq!(forward(&setup, request("r1", resumable())).await.0, 200);
    let fail = Scripted::start(vec![Act::Respond(failed.to_owned())]).await;
    let other = fixture_of(&[
        (fail.address, "app", "v1"),
        (two.address, "app", "v2"),
        (one.address, "app", "v1"),
    ])
    .with_origins(Arc::new(Always(Verdict::Known(
        fleet::VersionBinding::new("app", "v1".parse().expect("a version"))
            .into(),
    ))));
    let again = resuming("r2", resumable(), "1", "r1");
    assert_eq!(forward(&other, again).await.0, 200);
    assert_eq!((fail.seen().len(), two.seen().len()), (1, 0));
}

/// A store of origins that always has the same answer.
struct Always(Verdict);

impl StreamOrigins for Always {
    fn record(&self, _: StreamKeys, _: Origin, _: u64) {}

    fn find(&self, _: StreamId) -> OriginFuture {
        Box::pin(std::future::ready(self.0.clone()))
    }
}

/// Guards against clients that are told to come back in vain, or are not told
/// that another try may succeed.
#[parameterized(
    unknown = { Verdict::Unknown, None },
    unreachable = { Verdict::Unreachable, Some("0.2") },
)]
#[test_macro(tokio::test)]
async fn a_stream_whose_version_is_not_known_is_refused(
    verdict: Verdict,
    retry_after: Option<&str>,
) {
    let one = whole("a").await;
    let setup = fixture_of(&[(one.address, "app", "v1")])
        .with_origins(Arc::new(Always(verdict)));
    let again = resuming("r2", resumable(), "1", "r1");
    let response = setup.forwarder.forward(again, 1).await;
    assert_eq!(response.status(), 503);
    let header = response.headers().get("retry-after");
    let header = header.and_then(|value| value.to_str().ok());
    assert_eq!(header, retry_after);
    assert_eq!(one.seen().len(), 0);
}

/// Guards against requests that resume without the data that the choice of an
/// endpoint needs.
#[parameterized(
    unnamed = { RouteKind::ResumableStream, &[("x-resume", "1")], 200 },
    unknown = { RouteKind::ResumableStream,
        &[("x-resume", "1"), ("x-resumes", "r7")], 503 },
    no_number = { RouteKind::ResumableStream,
        &[("x-resume", "one"), ("x-resumes", "r1")], 400 },
    negative = { RouteKind::ResumableStream,
        &[("x-resume", "-1"), ("x-resumes", "r1")], 400 },
    not_resumable = { RouteKind::Stream,
        &[("x-resume", "1"), ("x-resumes", "r1")], 503 },
    no_event_yet = { RouteKind::ResumableStream, &[("x-resume", "0")], 200 },
)]
#[test_macro(tokio::test)]
async fn what_a_client_resumes_has_to_be_clear(
    kind: RouteKind,
    headers: &[(&str, &str)],
    expected: u16,
) {
    let one = whole("a").await;
    let setup = fixture_of(&[(one.address, "app", "v1")]);
    forward(&setup, request("r1", route(kind))).await.1.ok();
    let again = request_with("r2", route(kind), headers);
    assert_eq!(forward(&setup, again).await.0, expected);
    let ran = 1 + usize::from(expected == 200);
    assert_eq!(one.seen().len(), ran);
}

/// Guards against a guess where a client does not name its first attempt, and
/// equal requests began at different versions.
#[tokio::test]
async fn an_unnamed_stream_goes_on_only_if_its_version_is_certain() {
    let (one, two) = (whole("a").await, whole("b").await);
    let at = |first: &Scripted, version| {
        fixture_of(&[(first.address, "app", version)])
    };
    let setup = at(&one, "v1");
    let store = Arc::new(LocalOrigins::new(Arc::new(SystemClock::new())));
    let setup = setup.with_origins(store.clone());
    assert_eq!(forward(&setup, request("r1", resumable())).await.0, 200);
    let unnamed = || request_with("again", resumable(), &[("x-resume", "1")]);
    assert_eq!(forward(&setup, unnamed()).await.0, 200);
    let other = at(&two, "v2").with_origins(store);
    assert_eq!(forward(&other, request("r2", resumable())).await.0, 200);
    assert_eq!(forward(&setup, unnamed()).await.0, 503);
    let named = resuming("again", resumable(), "1", "r1");
    assert_eq!(forward(&setup, named).await.0, 200);
}

/// Guards against a client that resumes a stream once more at the version that
/// began it, after its second attempt may have received events of another one.
#[tokio::test]
async fn an_uncertain_second_attempt_makes_the_stream_uncertain() {
    let begun = Act::RespondAndClose(stream_head() + &events(1, 1, "a"));
    let head = Act::Respond(stream_head() + &events(2, 2, "b"));
    let one = Scripted::start(vec![begun, head]).await;
    let setup = fixture_of(&[(one.address, "app", "v1")]);
    let store = Arc::new(LocalOrigins::new(Arc::new(SystemClock::new())));
    let setup = setup.with_origins(store.clone());
    let mut directory = Directory::default();
    let listing = |revision, version: &str| Listing {
        revision,
        records: vec![EndpointRecord {
            version: version.parse().ok(),
            ..setup.endpoints[0].record().clone()
        }],
    };
    directory.reconcile(listing(1, "v1"), Millis::new(0));
    setup.view.publish(DirectoryView {
        table: Arc::new(directory.table()),
        revision: 1,
    });
    let route = || resumable().with_max_attempts(1);
    assert!(forward(&setup, request("r1", route())).await.1.is_err());
    let first = StreamId::Attempt(StreamKey::of_attempt("alama", "r1"));
    assert!(matches!(store.find(first).await, Verdict::Known(_)));
    let again = resuming("r2", route(), "1", "r1");
    let response = setup.forwarder.forward(again, 1).await;
    directory.reconcile(listing(2, "v2"), Millis::new(1));
    // The endpoint falls silent, so that the stream would be resumed.
    assert!(read(response).await.1.is_err());
    assert_eq!(store.find(first).await, Verdict::Unknown);
}

/// Guards against clients that are refused by a node that has just started,
/// where the endpoints of their version are listed a moment later.
#[tokio::test]
async fn a_resumed_stream_waits_for_the_first_endpoints() {
    let one = whole("a").await;
    let v1 = "v1".parse().expect("a version");
    let binding = fleet::VersionBinding::new("app", v1);
    let setup = fixture_of(&[(one.address, "app", "v1")])
        .with_origins(Arc::new(Always(Verdict::Known(binding.into()))));
    let listed = setup.view.load_full();
    setup.view.publish(DirectoryView::default());
    let patient = resumable().with_gap_target_ms(60_000);
    let again = resuming("r2", patient, "1", "r1");
    let forwarded = tokio::spawn({
        let forwarder = setup.forwarder.clone();
        async move { forwarder.forward(again, 1).await.status() }
    });
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    setup.view.publish(DirectoryView::clone(&listed));
    assert_eq!(forwarded.await.expect("a response"), 200);
}

/// Guards against clients that wait in vain for an endpoint of a version that
/// is gone.
#[tokio::test]
async fn a_stream_whose_version_is_gone_is_refused_at_once() {
    let one = whole("a").await;
    let v2 = "v2".parse().expect("a version");
    let binding = fleet::VersionBinding::new("app", v2);
    let setup = fixture_of(&[(one.address, "app", "v1")])
        .with_origins(Arc::new(Always(Verdict::Known(binding.into()))));
    let patient = resumable().with_gap_target_ms(60_000);
    let again = resuming("r2", patient, "1", "r1");
    let (status, body) = forward(&setup, again).await;
    assert_eq!(status, 503);
    let body = body.expect("whole");
    assert!(body.contains("no endpoint runs the version"), "{body}");
    assert_eq!(one.seen().len(), 0);
}

/// Guards against a stream that goes on at another service of its route: the
/// id of each attempt selects a service anew.
#[tokio::test]
async fn a_stream_of_a_split_route_goes_on_at_its_service() {
    let (one, two) = (whole("a").await, whole("b").await);
    let setup =
        fixture_of(&[(one.address, "one", "v1"), (two.address, "two", "v1")]);
    let to = |service: &str, weight| Destination {
        service: service.to_owned(),
        weight,
    };
    let split =
        || resumable().with_destinations(vec![to("one", 50), to("two", 50)]);
    for number in 0..40 {
        let first = format!("r{number}");
        let (_, body) = forward(&setup, request(&first, split())).await;
        let began_at_one = body.expect("whole").contains("data: a");
        let id = format!("again-{number}");
        let again = resuming(&id, split(), "1", &first);
        let (status, rest) = forward(&setup, again).await;
        let went_on_at_one = rest.expect("whole").contains("data: a");
        assert_eq!((status, went_on_at_one), (200, began_at_one));
    }
    let before = one.seen().len();
    let first = (0..40).map(|number| format!("r{number}"));
    let moved = || resumable().with_destinations(vec![to("two", 1)]);
    for first in first {
        let again = resuming("moved", moved(), "1", &first);
        let status = forward(&setup, again).await.0;
        assert!(matches!(status, 200 | 503));
    }
    assert_eq!(one.seen().len(), before, "the route leads there no more");
}

/// Guards against a stream without event ids that begins again in the middle
/// of its response.
#[tokio::test]
async fn a_stream_without_event_ids_does_not_go_on() {
    let first = stream_head() + &chunk("data: a\n\n");
    let one = Scripted::start(vec![Act::RespondAndClose(first)]).await;
    let two = whole("a").await;
    let setup =
        fixture_of(&[(one.address, "app", "v1"), (two.address, "app", "v1")]);
    let (_, body) = forward(&setup, request("r1", resumable())).await;
    assert!(body.is_err());
    assert_eq!(two.seen().len(), 0);
}

/// Guards against a name of the first attempt that does not reach the
/// endpoint: it is forwarded as the client sent it.
#[tokio::test]
async fn the_first_attempt_is_forwarded() {
    let one = whole("a").await;
    let setup = fixture_of(&[(one.address, "app", "v1")]);
    forward(&setup, request("r1", resumable())).await.1.ok();
    let again = resuming("r2", resumable(), "1", "r1");
    forward(&setup, again).await.1.ok();
    let seen = &one.seen()[1];
    assert_eq!(header(seen, "x-resumes").as_deref(), Some("r1"));
    assert_eq!(header(seen, "x-resume").as_deref(), Some("1"));
}
