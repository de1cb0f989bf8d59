//! Retry delays of refused clients.

use base::Millis;
use pomeloslip_pass::RetryAfterEstimator;

/// Refuses a client every 50 ms for a time and returns the last delay.
fn overload(
    estimator: &RetryAfterEstimator,
    from_ms: u64,
    for_ms: u64,
) -> u64 {
    let mut retry_after_ms = 0;
    for at_ms in (from_ms..=from_ms + for_ms).step_by(50) {
        retry_after_ms =
            estimator.record_refusal(Millis::new(at_ms), 0, 10_000);
    }
    retry_after_ms
}

/// Guards against repeated refusals in bursts of 2.4 s: clients that retry
/// after a constant second are refused again and exhaust their time, because
/// the delay ignores the length of earlier bursts at the node.
#[test]
fn clients_retry_when_the_burst_is_expected_to_be_over() {
    let estimator = RetryAfterEstimator::default();
    for burst in 0..6 {
        overload(&estimator, burst * 5_800, 2_400);
    }
    let first = estimator.record_refusal(Millis::new(40_000), 0, 10_000);
    assert!((2_300..=2_400).contains(&first), "{first}");
    let second = estimator.record_refusal(Millis::new(40_300), 0, 10_000);
    assert_eq!(second, first - 300);
}

#[test]
fn clients_retry_soon_in_a_burst_longer_than_expected() {
    let estimator = RetryAfterEstimator::default();
    assert_eq!(overload(&estimator, 0, 5_000), 300);
}

/// Clients that all retry at the same moment would cause another burst.
#[test]
fn retry_delays_are_spread() {
    let estimator = RetryAfterEstimator::default();
    let now = Millis::new(0);
    let mut delays: Vec<u64> = (0..30)
        .map(|n| estimator.record_refusal(now, n * 10, 10_000))
        .collect();
    delays.sort_unstable();
    delays.dedup();
    assert_eq!(delays.len(), 30);
    assert!(delays.iter().all(|ms| (1_000..1_300).contains(ms)));
}

#[test]
fn the_retry_delay_does_not_exceed_the_remaining_time() {
    let estimator = RetryAfterEstimator::default();
    assert_eq!(estimator.record_refusal(Millis::new(0), 7, 400), 400);
}
