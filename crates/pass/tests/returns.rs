//! When refused callers come back.

use base::Millis;
use pomeloslip_pass::RetryAfterEstimator;

/// Refuses a caller every 50 ms for a while and returns the last answer.
fn crowd(times: &RetryAfterEstimator, from_ms: u64, for_ms: u64) -> u64 {
    let mut back_ms = 0;
    for at_ms in (from_ms..=from_ms + for_ms).step_by(50) {
        back_ms = times.refuse(Millis::new(at_ms), 0, 10_000);
    }
    back_ms
}

/// The pattern: bursts of 2.4 s. Symptom: callers that came back a second
/// after they were refused were refused again, and had lost. Cause: the time
/// was a constant, whatever bursts the node had seen.
#[test]
fn callers_return_when_the_burst_is_expected_to_be_over() {
    let times = RetryAfterEstimator::default();
    for burst in 0..6 {
        crowd(&times, burst * 5_800, 2_400);
    }
    let first = times.refuse(Millis::new(40_000), 0, 10_000);
    assert!((2_300..=2_400).contains(&first), "{first}");
    let second = times.refuse(Millis::new(40_300), 0, 10_000);
    assert_eq!(second, first - 300);
}

#[test]
fn a_burst_longer_than_expected_is_asked_about_again_soon() {
    let times = RetryAfterEstimator::default();
    assert_eq!(crowd(&times, 0, 5_000), 300);
}

/// Callers that all return at one moment would make a burst of their own.
#[test]
fn callers_return_one_after_the_other() {
    let times = RetryAfterEstimator::default();
    let now = Millis::new(0);
    let mut back: Vec<u64> =
        (0..30).map(|n| times.refuse(now, n * 10, 10_000)).collect();
    back.sort_unstable();
    back.dedup();
    assert_eq!(back.len(), 30);
    assert!(back.iter().all(|ms| (1_000..1_300).contains(ms)));
}

#[test]
fn nobody_is_sent_away_for_longer_than_there_is_time() {
    let times = RetryAfterEstimator::default();
    assert_eq!(times.refuse(Millis::new(0), 7, 400), 400);
}
