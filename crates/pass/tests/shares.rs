//! Fair shares and the order of waiting requests, at one endpoint with four
//! slots at which one more request may queue.

mod common;

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use base::{Clock, SystemClock};
use common::{
    Act, Fixture, Scripted, Step, fixture, header, read, request_of, until,
    valid_response,
};
use fleet::{Route, RouteKind};
use pomeloslip_pass::Forwarder;
use tokio::{task::JoinHandle, time::sleep};

/// Time of a request at the endpoint, in milliseconds.
const SERVICE_MS: u64 = 400;

/// Requests that the endpoint takes at once: its slots and its queue.
const PLACES: usize = 5;

/// A route whose requests wait up to a second for a slot.
fn route(priority: u32) -> Route {
    Route::new("r", "a.example", "/", "app")
        .with_kind(RouteKind::Stream)
        .with_times(4_000, 8_000)
        .with_priority(priority)
}

async fn endpoint() -> Scripted {
    let answer = |ms| {
        Act::Paced(vec![Step::Pause(ms), Step::Write(valid_response("ok"))])
    };
    // One after the other, so that slots become free one by one.
    let acts = (0..40).map(|n| answer(SERVICE_MS + 40 * (n % 10)));
    Scripted::start(acts.collect()).await
}

type Answer = JoinHandle<(u16, Result<String, String>)>;

fn send(
    forwarder: &Arc<Forwarder>,
    customer: &str,
    id: &str,
    priority: u32,
) -> Answer {
    let request = request_of(customer, id, route(priority), &[]);
    let forwarder = forwarder.clone();
    tokio::spawn(
        async move { read(forwarder.forward(request, 1).await).await },
    )
}

/// Occupies all places of the endpoint.
async fn fill(setup: &Fixture, customer: &str) -> Vec<Answer> {
    let mut answers = Vec::new();
    for n in 0..PLACES {
        let id = format!("{customer}-{n}");
        answers.push(send(&setup.forwarder, customer, &id, 0));
        until(|| setup.endpoints[0].in_flight() as usize == n + 1).await;
    }
    answers
}

/// Returns the ids of the requests that arrived at the endpoint, in order.
fn ids(endpoint: &Scripted) -> Vec<String> {
    let seen = endpoint.seen();
    seen.iter()
        .filter_map(|text| header(text, "x-id"))
        .collect()
}

/// Guards against a customer that takes the slots for which another one
/// waits.
#[tokio::test]
async fn a_customer_over_its_share_is_refused_at_once() {
    let endpoint = endpoint().await;
    let setup = fixture(&[endpoint.address]).with_fair_shares();
    let large = fill(&setup, "large").await;
    let small = send(&setup.forwarder, "small", "small", 0);
    sleep(Duration::from_millis(50)).await;
    let began = Instant::now();
    let request = request_of("large", "one-more", route(0), &[]);
    let refused = setup.forwarder.forward(request, 1).await;
    assert!(began.elapsed() < Duration::from_millis(100));
    assert!(refused.headers().contains_key("retry-after"));
    let (status, body) = read(refused).await;
    let body = body.expect("a body");
    assert_eq!(status, 503);
    assert!(body.contains("uses more than its share"), "{body}");
    assert_eq!(small.await.expect("an answer").0, 200);
    for answer in large {
        assert_eq!(answer.await.expect("an answer").0, 200);
    }
    let refused = &setup.counters.over_share;
    assert_eq!(refused.load(Ordering::Relaxed), 1);
    let metrics = setup.counters.render();
    let row = "pomeloslip_customer_over_share{customer=\"large\"} 1\n";
    assert!(metrics.contains(row), "{metrics}");
}

/// Guards against a limit while nobody else wants a slot: the requests of a
/// single customer wait as without shares.
#[tokio::test]
async fn a_customer_that_is_alone_is_not_refused() {
    let endpoint = endpoint().await;
    let setup = fixture(&[endpoint.address]).with_fair_shares();
    let all = fill(&setup, "large").await;
    let one_more = send(&setup.forwarder, "large", "one-more", 0);
    assert_eq!(one_more.await.expect("an answer").0, 200);
    drop(all);
}

/// Guards against a less urgent request that takes the slot for which a more
/// urgent one waits, and against a request that is never woken.
#[tokio::test]
async fn waiting_requests_are_served_by_priority() {
    let endpoint = endpoint().await;
    let setup = fixture(&[endpoint.address]).with_fair_shares();
    let all = fill(&setup, "large").await;
    let mut answers = Vec::new();
    for priority in [7, 5, 9, 1] {
        // Of four customers, so that none is over its share.
        let name = format!("p{priority}");
        answers.push(send(&setup.forwarder, &name, &name, priority));
        sleep(Duration::from_millis(10)).await;
    }
    for answer in answers.into_iter().chain(all) {
        assert_eq!(answer.await.expect("an answer").0, 200);
    }
    assert_eq!(ids(&endpoint)[PLACES..], ["p1", "p5", "p7", "p9"]);
}

/// Guards against a new request that takes a slot before the one that waits
/// has noticed that it is free, as after requests of other fronts.
#[tokio::test]
async fn a_new_request_does_not_pass_a_more_urgent_one() {
    let endpoint = endpoint().await;
    let setup = fixture(&[endpoint.address]).with_fair_shares();
    let clock = SystemClock::new();
    let report = |requests| {
        setup.endpoints[0].record_remote_load(requests, clock.now());
    };
    report(PLACES as u32);
    let urgent = send(&setup.forwarder, "urgent", "urgent", 0);
    sleep(Duration::from_millis(35)).await;
    assert!(ids(&endpoint).is_empty());
    // One place is free.
    report(PLACES as u32 - 1);
    let usual = send(&setup.forwarder, "usual", "usual", 5);
    until(|| setup.endpoints[0].in_flight() > 0).await;
    sleep(Duration::from_millis(100)).await;
    assert_eq!(setup.endpoints[0].in_flight(), 1, "the place is taken once");
    assert_eq!(urgent.await.expect("an answer").0, 200);
    assert_eq!(usual.await.expect("an answer").0, 200);
    assert_eq!(ids(&endpoint), ["urgent", "usual"]);
}

/// Guards against a second refusal of callers that were refused before: they
/// may queue at the endpoint while new requests wait at the front.
#[tokio::test]
async fn a_returning_caller_keeps_its_larger_queue() {
    let endpoint = endpoint().await;
    let setup = fixture(&[endpoint.address]).with_fair_shares();
    let all = fill(&setup, "large").await;
    let fresh = send(&setup.forwarder, "small", "fresh", 0);
    sleep(Duration::from_millis(30)).await;
    let headers = [("x-deadline", "3000")];
    let request = request_of("other", "returning", route(0), &headers);
    assert!(request.has_waited());
    let forwarder = setup.forwarder.clone();
    let returning = tokio::spawn(async move {
        read(forwarder.forward(request, 1).await).await
    });
    until(|| setup.endpoints[0].in_flight() as usize == PLACES + 1).await;
    assert_eq!(ids(&endpoint).len(), PLACES + 1);
    assert_eq!(ids(&endpoint)[PLACES], "returning");
    assert_eq!(fresh.await.expect("an answer").0, 200);
    assert_eq!(returning.await.expect("an answer").0, 200);
    drop(all);
}

/// Guards against places that remain after their requests gave up or their
/// callers left: later requests would wait behind them forever.
#[tokio::test]
async fn a_place_is_left_by_whoever_gives_up() {
    let endpoint = endpoint().await;
    let setup = fixture(&[endpoint.address]).with_fair_shares();
    let all = fill(&setup, "large").await;
    let left = send(&setup.forwarder, "left", "left", 0);
    sleep(Duration::from_millis(30)).await;
    let waits = send(&setup.forwarder, "waits", "waits", 9);
    sleep(Duration::from_millis(30)).await;
    left.abort();
    assert_eq!(waits.await.expect("an answer").0, 200);
    drop(all);
}

/// Guards against counts that remain after requests have ended: without any
/// in use, customers are not limited.
#[tokio::test]
async fn slots_are_no_longer_counted_after_their_requests() {
    let endpoint = endpoint().await;
    let setup = fixture(&[endpoint.address]).with_fair_shares();
    for _ in 0..3 {
        for answer in fill(&setup, "large").await {
            assert_eq!(answer.await.expect("an answer").0, 200);
        }
        until(|| setup.endpoints[0].in_flight() == 0).await;
    }
    let refused = &setup.counters.over_share;
    assert_eq!(refused.load(Ordering::Relaxed), 0);
}
