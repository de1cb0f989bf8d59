//! Limits of customers and rules at an entry.
#![allow(clippy::unwrap_used)]

mod claim_common;

use claim_common::{
    KEY, OTHER_KEY, Reply, Service, entry, keyed, platform, post,
};

/// Rate so low that no token is added during a test.
const SLOW_RATE_PER_S: f64 = 0.001;

/// Guards against one customer taking the service from all others by sending
/// more than its limit. The fault was that requests were not counted.
#[tokio::test(flavor = "multi_thread")]
async fn a_customer_over_its_rate_is_told_when_to_come_back() {
    let limits = format!("requests_per_s: {SLOW_RATE_PER_S}, burst: 3");
    let platform = platform(&limits, "").await;
    let service = Service::start(10).await;
    let entry = entry(&platform, service.address).await;
    for _ in 0..3 {
        assert_eq!(Reply::of(post(&entry, KEY, "x")).await.status, 201);
    }
    let refused = Reply::of(post(&entry, KEY, "x")).await;
    assert_eq!(refused.status, 429);
    assert!(refused.retry_after_s.unwrap() > 900);
    refused.is_problem("rate-limited", "no");
    assert_eq!(service.ran(), 3);
    // The limit does not apply to the other customer.
    assert_eq!(Reply::of(post(&entry, OTHER_KEY, "x")).await.status, 201);
}

#[yare::parameterized(
    customer = { "concurrent: 1", "" },
    rule = { "", ", concurrent: 1" },
)]
fn a_place_is_free_again_when_the_answer_has_ended(
    customer: &str,
    rule: &str,
) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let platform = platform(customer, rule).await;
        let service = Service::start(10).await;
        let entry = entry(&platform, service.address).await;
        service.hold();
        let running = tokio::spawn(Reply::of(post(&entry, KEY, "x")));
        service.has_run(1).await;
        let refused = Reply::of(post(&entry, KEY, "x")).await;
        assert_eq!((refused.status, refused.retry_after_s), (429, Some(1)));
        refused.is_problem("rate-limited", "no");
        service.release();
        assert_eq!(running.await.unwrap().status, 201);
        // The slot is released with the last bytes, which the caller may
        // receive before that.
        let mut last = 429;
        for _ in 0..1_000 {
            last = Reply::of(post(&entry, KEY, "x")).await.status;
            if last != 429 {
                break;
            }
        }
        assert_eq!(last, 201);
        assert_eq!(service.ran(), 2);
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rule_has_a_rate_of_its_own() {
    let rule = format!(", rate_per_s: {SLOW_RATE_PER_S}");
    let platform = platform("", &rule).await;
    let service = Service::start(10).await;
    let entry = entry(&platform, service.address).await;
    assert_eq!(Reply::of(post(&entry, KEY, "x")).await.status, 201);
    for key in [KEY, OTHER_KEY] {
        let refused = Reply::of(post(&entry, key, "x")).await;
        assert_eq!(refused.status, 429);
        refused.is_problem("rate-limited", "no");
    }
    assert_eq!(service.ran(), 1);
}

/// Guards against a refused call with a key that can never run. The call is
/// over a limit and its caller retries later. The fault was to acquire the
/// claim before checking the limit.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_call_leaves_no_claim() {
    let platform = platform("concurrent: 1", "").await;
    let service = Service::start(10).await;
    let entry = entry(&platform, service.address).await;
    service.hold();
    let running = tokio::spawn(Reply::of(post(&entry, KEY, "x")));
    service.has_run(1).await;
    let refused = Reply::of(keyed(&entry, "k-1", "y")).await;
    refused.is_problem("rate-limited", "no");
    assert!(claim_common::claims(&platform).await.is_empty());
    service.release();
    running.await.unwrap();
}
