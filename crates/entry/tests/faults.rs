//! Claims of calls on connections that lose data.
#![allow(clippy::unwrap_used)]

mod claim_common;

use std::time::Duration;

use claim_common::{
    EVENT_TIMEOUT, Reply, Service, claims, entry_at, keyed, platform,
};
use faultproxy::{Direction, Fault, FaultProxy, Rule};

/// Guards against a key that stays blocked after a call was refused as not
/// run: retries are told that the call is running, later that it is lost. The
/// claim is written; the connection to the key-value service is half-open, so
/// the response is lost and the call is refused, which is correct. The fault
/// was that the claim of the refused call was never removed.
#[tokio::test(flavor = "multi_thread")]
async fn a_claim_left_by_a_refused_call_is_taken_back() {
    let platform = platform("", "").await;
    let service = Service::start(10).await;
    let proxy = FaultProxy::start(platform.address(), 1).await.unwrap();
    let entry = entry_at(proxy.address(), service.address).await;
    // This call also grants the lease that the next claim uses.
    let first = Reply::of(keyed(&entry, "k-0", "seat 3")).await;
    assert_eq!(first.status, 201);
    let half_open = Rule::new(Fault::Silence).direction(Direction::ToClient);
    proxy.handle().set(vec![half_open]);
    let refused = Reply::of(keyed(&entry, "k-1", "seat 4")).await;
    assert_eq!(refused.status, 503);
    refused.is_problem("platform-down", "no");
    assert_eq!(service.ran(), 1);
    assert_eq!(claims(&platform).await.len(), 2);
    proxy.handle().clear();
    let runs = async {
        loop {
            let again = Reply::of(keyed(&entry, "k-1", "seat 4")).await;
            if again.status == 201 {
                return again;
            }
            assert!(matches!(again.status, 409 | 503), "{again:?}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let again = tokio::time::timeout(2 * EVENT_TIMEOUT, runs).await.unwrap();
    assert!(!again.replayed);
    assert_eq!(service.ran(), 2);
}

/// Guards against a caller that waits although its call has ended. The call
/// runs, then the connection to the key-value service goes silent. The fault
/// was a response that waits for the record of the outcome. Only the stored
/// copy is lost with the record: the call does not run again under the same
/// key.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_does_not_wait_for_its_record() {
    let platform = platform("", "").await;
    let service = Service::start(10).await;
    let proxy = FaultProxy::start(platform.address(), 1).await.unwrap();
    let entry = entry_at(proxy.address(), service.address).await;
    service.hold();
    let running = tokio::spawn(Reply::of(keyed(&entry, "k-1", "seat 4")));
    service.has_run(1).await;
    proxy.handle().set(vec![Rule::new(Fault::Silence)]);
    service.release();
    let reply = tokio::time::timeout(EVENT_TIMEOUT, running).await.unwrap();
    assert_eq!(reply.unwrap().status, 201);
    let other = claim_common::entry(&platform, service.address).await;
    let again = Reply::of(keyed(&other, "k-1", "seat 4")).await;
    assert_eq!(again.status, 409);
    again.is_problem("still-running", "unknown");
    assert_eq!(service.ran(), 1);
}
