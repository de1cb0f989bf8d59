//! Calls that run at most once although callers retry them.
#![allow(clippy::unwrap_used)]

mod claim_common;

use claim_common::{
    EVENT_TIMEOUT, KEY, OTHER_KEY, Reply, Service, claims, entry, keyed,
    platform, post, stop_key_value_service,
};
use standin::kv::KvFaults;

/// Guards against rebooking twice. The call runs, its response is lost in
/// transit and the caller retries. The fault was that the retry could not be
/// told from a new call.
#[tokio::test(flavor = "multi_thread")]
async fn a_resent_call_gets_the_first_answer() {
    let platform = platform("", "").await;
    let service = Service::start(10).await;
    let first = entry(&platform, service.address).await;
    let second = entry(&platform, service.address).await;
    let one = Reply::of(keyed(&first, "k-1", "seat 4")).await;
    assert_eq!((one.status, one.replayed), (201, false));
    for entry in [&first, &second] {
        let again = Reply::of(keyed(entry, "k-1", "seat 4")).await;
        assert_eq!((again.status, again.replayed), (201, true));
        assert_eq!(again.body, one.body);
        assert_eq!(again.booking.as_deref(), Some("1"));
    }
    assert_eq!(service.ran(), 1);
    assert_eq!(claims(&platform).await.len(), 1);
}

/// Guards against running a call twice concurrently. The caller times out and
/// retries through another entry while the first call is still running. The
/// fault was to record the claim with the response instead of before sending
/// the call.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_still_runs_is_not_run_again() {
    let platform = platform("", "").await;
    let service = Service::start(10).await;
    let first = entry(&platform, service.address).await;
    let second = entry(&platform, service.address).await;
    service.hold();
    let running = tokio::spawn(Reply::of(keyed(&first, "k-1", "seat 4")));
    service.has_run(1).await;
    let again = Reply::of(keyed(&second, "k-1", "seat 4")).await;
    assert_eq!(again.status, 409);
    assert_eq!(again.retry_after_s, Some(1));
    again.is_problem("still-running", "unknown");
    service.release();
    assert_eq!(running.await.unwrap().status, 201);
    assert!(Reply::of(keyed(&second, "k-1", "seat 4")).await.replayed);
    assert_eq!(service.ran(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn many_callers_of_one_key_run_it_once() {
    let platform = platform("", "").await;
    let service = Service::start(10).await;
    let first = entry(&platform, service.address).await;
    let second = entry(&platform, service.address).await;
    let calls = (0..16).map(|n| {
        let entry = if n % 2 == 0 { &first } else { &second };
        Reply::of(keyed(entry, "k-1", "seat 4"))
    });
    let replies = futures::future::join_all(calls).await;
    assert_eq!(service.ran(), 1);
    let fresh = replies.iter().filter(|r| r.status == 201 && !r.replayed);
    assert_eq!(fresh.count(), 1);
    assert!(replies.iter().all(|r| r.status == 201 || r.status == 409));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_names_one_call_of_one_customer() {
    let platform = platform("", "").await;
    let service = Service::start(10).await;
    let entry = entry(&platform, service.address).await;
    Reply::of(keyed(&entry, "k-1", "seat 4")).await;
    let other = Reply::of(keyed(&entry, "k-1", "seat 5")).await;
    assert_eq!(other.status, 409);
    other.is_problem("idempotency-key-reused", "no");
    let call = post(&entry, OTHER_KEY, "seat 4");
    let other = Reply::of(call.header("Idempotency-Key", "k-1")).await;
    assert_eq!((other.status, other.replayed), (201, false));
    assert_eq!(service.ran(), 2);
}

/// Guards against refusing a call as not run although it ran. A call with a
/// key arrives while the key-value service is down. Without the record nothing
/// prevents a second run, so the call must not be sent.
#[tokio::test(flavor = "multi_thread")]
async fn without_a_record_a_keyed_call_does_not_run() {
    let platform = platform("", "").await;
    let service = Service::start(10).await;
    let entry = entry(&platform, service.address).await;
    stop_key_value_service(&platform);
    let refused = Reply::of(keyed(&entry, "k-1", "seat 4")).await;
    assert_eq!(refused.status, 503);
    assert!(refused.retry_after_s.is_some());
    refused.is_problem("platform-down", "no");
    assert_eq!(service.ran(), 0);
    // A caller without a key accepts that a response may be lost.
    assert_eq!(Reply::of(post(&entry, KEY, "seat 4")).await.status, 201);
    platform.set_faults(KvFaults::default()).unwrap();
    assert_eq!(Reply::of(keyed(&entry, "k-1", "seat 4")).await.status, 201);
}

/// Guards against refusing a call whose claim was recorded, and against
/// running it twice. Each write to the key-value service takes effect and its
/// response is lost. The fault was to take a lost response for a failure or a
/// success.
#[tokio::test(flavor = "multi_thread")]
async fn a_claim_whose_answer_was_lost_is_found_again() {
    let platform = platform("", "").await;
    let service = Service::start(10).await;
    let entry = entry(&platform, service.address).await;
    // The first call also grants the lease; a call cannot recover from losing
    // that response.
    Reply::of(keyed(&entry, "k-0", "seat 3")).await;
    let faults = KvFaults {
        lose_answer: 1.0,
        ..KvFaults::default()
    };
    platform.set_faults(faults).unwrap();
    let one = Reply::of(keyed(&entry, "k-1", "seat 4")).await;
    assert_eq!((one.status, one.replayed), (201, false));
    assert!(Reply::of(keyed(&entry, "k-1", "seat 4")).await.replayed);
    assert_eq!(service.ran(), 2);
}

/// Guards against a retry that is told that the call is running after a
/// refusal as not run. No endpoint takes the call. The fault was to leave the
/// claim of a call that did not run.
#[tokio::test(flavor = "multi_thread")]
async fn the_claim_of_a_call_that_did_not_run_is_released() {
    let platform = platform("", "").await;
    let service = Service::start(10).await;
    let unused = Service::start(10).await;
    let closed = unused_address().await;
    let broken = entry(&platform, closed).await;
    let refused = Reply::of(keyed(&broken, "k-1", "seat 4")).await;
    assert_eq!(refused.status, 503);
    refused.is_problem("no-endpoint", "no");
    assert!(claims(&platform).await.is_empty());
    let entry = entry(&platform, service.address).await;
    assert_eq!(Reply::of(keyed(&entry, "k-1", "seat 4")).await.status, 201);
    assert_eq!((service.ran(), unused.ran()), (1, 0));
}

/// Returns an address without a listener.
async fn unused_address() -> std::net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    listener.unwrap().local_addr().unwrap()
}

/// Guards against repeating a call whose response was lost. The service runs
/// the call and its connection breaks; the caller retries with the same key.
/// The fault was to take a lost response for a call that did not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_call_stays_lost() {
    let platform = platform("", "").await;
    let service = Service::start(10).await;
    let entry = entry(&platform, service.address).await;
    for _ in 0..2 {
        let reply = Reply::of(keyed(&entry, "k-1", "drop")).await;
        assert_eq!(reply.status, 502);
        reply.is_problem("answer-lost", "unknown");
    }
    assert_eq!(service.ran(), 1);
    // Without a key the call is sent only once as well.
    let reply = Reply::of(post(&entry, KEY, "drop")).await;
    reply.is_problem("answer-lost", "unknown");
    assert_eq!(service.ran(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_answer_is_passed_on_and_not_kept() {
    let platform = platform("", "").await;
    let service = Service::start(100_000).await;
    let entry = entry(&platform, service.address).await;
    let one = Reply::of(keyed(&entry, "k-1", "seat 4")).await;
    assert_eq!((one.status, one.body.len()), (201, 100_000));
    let again = Reply::of(keyed(&entry, "k-1", "seat 4")).await;
    assert_eq!(again.status, 409);
    again.is_problem("conflict", "unknown");
    assert_eq!(service.ran(), 1);
}

/// Guards against blocking a key until the deadline of its call. The caller
/// disconnects while the call is running. The fault was to record the outcome
/// in the task that ends with the caller's connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_caller_left_is_recorded() {
    let platform = platform("", "").await;
    let service = Service::start(10).await;
    let entry = entry(&platform, service.address).await;
    service.hold();
    let call = keyed(&entry, "k-1", "seat 4").send();
    let caller = tokio::spawn(call);
    service.has_run(1).await;
    caller.abort();
    let _ = caller.await;
    service.release();
    let replayed = async {
        while !Reply::of(keyed(&entry, "k-1", "seat 4")).await.replayed {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(EVENT_TIMEOUT, replayed).await.unwrap();
    assert_eq!(service.ran(), 1);
}

#[yare::parameterized(
    empty = { " " },
    long = { &"k".repeat(256) },
)]
fn a_malformed_key_is_refused(key: &str) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let platform = platform("", "").await;
        let service = Service::start(10).await;
        let entry = entry(&platform, service.address).await;
        let reply = Reply::of(keyed(&entry, key, "seat 4")).await;
        assert_eq!(reply.status, 400);
        reply.is_problem("bad-request", "no");
        assert_eq!(service.ran(), 0);
    });
}
