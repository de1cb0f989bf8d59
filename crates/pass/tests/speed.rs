//! Measurement of the speed of endpoints by the streams that they serve.

mod common;

use std::sync::{Arc, atomic::Ordering};

use base::{Clock, SystemClock};
use common::{
    Act, Fixture, Scripted, Step, chunk, fixture, read, request, route,
};
use fleet::{EndpointSpeed, RouteKind};
use yare::parameterized;

/// Interval between two events of a stream in milliseconds.
const EVENT_MS: u64 = 40;

/// Returns a stream of events whose head reports a load.
fn stream(events: u64, load: &str) -> Act {
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: s\r\nx-load: {load}\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    let mut steps = vec![Step::Write(head)];
    for number in 1..=events {
        let event = format!("id: {number}\ndata: a\n\n");
        steps.push(Step::Write(chunk(&event)));
        steps.push(Step::Pause(EVENT_MS));
    }
    steps.push(Step::Write("0\r\n\r\n".to_owned()));
    Act::Paced(steps)
}

async fn serve(act: Act, kind: RouteKind, speed: EndpointSpeed) -> Fixture {
    let endpoint = Scripted::start(vec![act]).await;
    let setup = fixture(&[endpoint.address]);
    let forwarder = Arc::into_inner(setup.forwarder).expect("not shared");
    let forwarder = Arc::new(forwarder.with_endpoint_speed(speed));
    let setup = Fixture { forwarder, ..setup };
    let request = request("r1", route(kind));
    let (status, body) = read(setup.forwarder.forward(request, 1).await).await;
    assert_eq!(status, 200);
    assert!(body.is_ok(), "{body:?}");
    setup
}

fn interval_us(setup: &Fixture) -> Option<u32> {
    // The clock of the forwarder has just been started as well.
    let now = SystemClock::new().now();
    setup.endpoints[0].expected_interval_us(now)
}

/// Guards against streams that are not measured, or whose head or end counts
/// as part of the interval between events.
#[parameterized(
    resumable = { RouteKind::ResumableStream },
    plain = { RouteKind::Stream },
)]
#[test_macro(tokio::test)]
async fn a_stream_gives_a_sample(kind: RouteKind) {
    let act = stream(6, "1,0,4,100");
    let setup = serve(act, kind, EndpointSpeed::Reported).await;
    let interval_ms = interval_us(&setup).expect("a sample") / 1_000;
    assert!((30..160).contains(&interval_ms), "{interval_ms}");
    let used = setup.counters.speed_samples_used.load(Ordering::Relaxed);
    assert_eq!(used, 1);
}

/// Guards against samples that show something else than constant speed.
#[parameterized(
    too_few_events = { 3, "1,0,4,100", 1 },
    momentary_slowdown = { 6, "1,0,4,130", 1 },
)]
#[test_macro(tokio::test)]
async fn a_stream_gives_no_sample(events: u64, load: &str, unused: u64) {
    let act = stream(events, load);
    let kind = RouteKind::ResumableStream;
    let setup = serve(act, kind, EndpointSpeed::Reported).await;
    assert_eq!(interval_us(&setup), None);
    let counted = setup.counters.speed_samples_unused.load(Ordering::Relaxed);
    assert_eq!(counted, unused);
}

/// Guards against an endpoint that seems fast because it sends the beginning
/// of its streams at once.
#[tokio::test]
async fn the_events_of_the_first_chunk_do_not_shorten_the_interval() {
    let Act::Paced(mut steps) = stream(4, "1,0,4,100") else {
        panic!("a paced response");
    };
    let events = "data: a\n\n".repeat(50);
    steps.insert(1, Step::Write(chunk(&events)));
    steps.insert(2, Step::Pause(EVENT_MS));
    let kind = RouteKind::Stream;
    let setup = serve(Act::Paced(steps), kind, EndpointSpeed::Reported).await;
    let interval_ms = interval_us(&setup).expect("a sample") / 1_000;
    assert!((30..160).contains(&interval_ms), "{interval_ms}");
}

/// Guards against an endpoint that attracts requests because it breaks off its
/// streams after a few quick events.
#[tokio::test]
async fn a_stream_that_the_endpoint_breaks_off_gives_no_sample() {
    let Act::Paced(mut steps) = stream(6, "1,0,4,100") else {
        panic!("a paced response");
    };
    steps.pop();
    steps.push(Step::Write("not a chunk\r\n".to_owned()));
    let endpoint = Scripted::start(vec![Act::Paced(steps)]).await;
    let setup = fixture(&[endpoint.address]);
    let request = request("r1", route(RouteKind::Stream));
    let response = setup.forwarder.forward(request, 1).await;
    let (status, body) = read(response).await;
    assert_eq!(status, 200);
    assert!(body.is_err(), "{body:?}");
    assert_eq!(interval_us(&setup), None);
}

/// Guards against work for a feature that is switched off.
#[tokio::test]
async fn nothing_is_measured_while_speed_is_off() {
    let act = stream(6, "1,0,4,100");
    let kind = RouteKind::ResumableStream;
    let setup = serve(act, kind, EndpointSpeed::Off).await;
    assert_eq!(interval_us(&setup), None);
    let counters = &setup.counters;
    assert_eq!(counters.speed_samples_used.load(Ordering::Relaxed), 0);
    assert_eq!(counters.speed_samples_unused.load(Ordering::Relaxed), 0);
}
