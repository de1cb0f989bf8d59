//! Calls that run at most once though their callers send them again.
#![allow(clippy::unwrap_used)]

mod claim_common;

use claim_common::{
    KEY, OTHER_KEY, Reply, SURELY, Service, claims, down, entry, keyed,
    platform, post,
};
use standin::kv::KvFaults;

/// Symptom: a holder is rebooked twice. Sequence: the call runs; its answer
/// is lost on the way; the caller sends it again. Cause: nothing tells the
/// second call from a new one.
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

/// Symptom: a call runs twice at the same time. Sequence: the caller gives
/// up waiting and sends it again, through another entry, while the first
/// still runs. Cause: the claim was recorded with the answer, not before
/// the send.
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

/// Symptom: a call is refused as not run, and ran. Sequence: the key-value
/// service is down, a call with a key comes. Cause: without the record
/// nothing keeps a second copy from running, so it must not be sent.
#[tokio::test(flavor = "multi_thread")]
async fn without_a_record_a_keyed_call_does_not_run() {
    let platform = platform("", "").await;
    let service = Service::start(10).await;
    let entry = entry(&platform, service.address).await;
    down(&platform);
    let refused = Reply::of(keyed(&entry, "k-1", "seat 4")).await;
    assert_eq!(refused.status, 503);
    assert!(refused.retry_after_s.is_some());
    refused.is_problem("platform-down", "no");
    assert_eq!(service.ran(), 0);
    // Its caller has chosen to live with an answer that is lost.
    assert_eq!(Reply::of(post(&entry, KEY, "seat 4")).await.status, 201);
    platform.set_faults(KvFaults::default()).unwrap();
    assert_eq!(Reply::of(keyed(&entry, "k-1", "seat 4")).await.status, 201);
}

/// Symptom: a call is refused though its claim was recorded, or runs twice.
/// Sequence: each write to the key-value service takes effect and its answer
/// is lost. Cause: a lost answer was taken for a failure or a success.
#[tokio::test(flavor = "multi_thread")]
async fn a_claim_whose_answer_was_lost_is_found_again() {
    let platform = platform("", "").await;
    let service = Service::start(10).await;
    let entry = entry(&platform, service.address).await;
    // The first call also grants the lease, whose loss it cannot mend.
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

/// Symptom: after a refusal as not run, the next try is told that the call
/// runs. Sequence: no endpoint takes the call. Cause: the claim of a call
/// that certainly did not run was left behind.
#[tokio::test(flavor = "multi_thread")]
async fn the_claim_of_a_call_that_did_not_run_is_released() {
    let platform = platform("", "").await;
    let service = Service::start(10).await;
    let nowhere = Service::start(10).await;
    let closed = nowhere_address().await;
    let broken = entry(&platform, closed).await;
    let refused = Reply::of(keyed(&broken, "k-1", "seat 4")).await;
    assert_eq!(refused.status, 503);
    refused.is_problem("no-endpoint", "no");
    assert!(claims(&platform).await.is_empty());
    let entry = entry(&platform, service.address).await;
    assert_eq!(Reply::of(keyed(&entry, "k-1", "seat 4")).await.status, 201);
    assert_eq!((service.ran(), nowhere.ran()), (1, 0));
}

/// Returns an address that nobody listens on.
async fn nowhere_address() -> std::net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    listener.unwrap().local_addr().unwrap()
}

/// Symptom: a call whose answer was lost runs again. Sequence: the service
/// runs it and its connection breaks; the caller tries the key again. Cause:
/// a lost answer was taken for a call that did not run.
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
    // Without a key it is tried once, too.
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

/// Symptom: a key is blocked until the deadline of its call. Sequence: the
/// caller leaves while the call runs. Cause: the end of the call was to be
/// recorded by the task that went away with the caller.
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
    tokio::time::timeout(SURELY, replayed).await.unwrap();
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
