//! Priorities of items for slots, and the order of preemption.

use base::UnixMillis;
use pomeloslip_jobs::{
    PreemptRank, RemainingTime, RunTimeEstimator, SlackPriority,
};
use yare::parameterized;

const NOW: UnixMillis = UnixMillis::new(100_000);

fn rank(due_in_ms: u64, rest_ms: u64) -> SlackPriority {
    let rest = RemainingTime::exactly_ms(rest_ms);
    SlackPriority::new(NOW.saturating_add_ms(due_in_ms), rest, NOW)
}

/// Guards against a load with too few engines that makes most jobs a little
/// late. An item that cannot finish in time any more has the least slack, so
/// that it starts first and is preempted last, if only items past their due
/// time count as late.
#[parameterized(
    little_slack_first = { 6_000, 5_000, 6_000, 1_000 },
    earlier_due_first = { 6_000, 1_000, 9_000, 1_000 },
    in_time_before_in_vain = { 9_000, 1_000, 4_000, 9_000 },
    in_time_before_past_due = { 18_000, 1_000, 0, 100 },
)]
fn has_priority(due: u64, rest: u64, other_due: u64, other_rest: u64) {
    assert!(rank(due, rest) < rank(other_due, other_rest));
}

#[test]
fn an_item_that_may_finish_in_time_is_not_late() {
    let due_at = NOW.saturating_add_ms(6_000);
    let rank = |min_ms| {
        let expected_ms = 9_000;
        let rest = RemainingTime {
            expected_ms,
            min_ms,
        };
        SlackPriority::new(due_at, rest, NOW)
    };
    assert!(!rank(6_000).is_late());
    assert!(rank(6_001).is_late());
}

/// Guards against bursts in which most items start two or more times from the
/// beginning. A slot becomes free for milliseconds, an item starts there and
/// is preempted before its first event, while older runs at the same endpoint
/// continue: the run with the lowest priority is preempted, which often is the
/// newest one.
#[test]
fn runs_without_events_are_preempted_after_resumable_runs() {
    let (tight, loose) = (rank(6_000, 5_000), rank(18_000, 1_000));
    assert!(PreemptRank::new(true, tight) > PreemptRank::new(false, loose));
    assert!(PreemptRank::new(true, loose) > PreemptRank::new(true, tight));
    assert!(PreemptRank::new(false, loose) > PreemptRank::new(false, tight));
}

/// Guards against items that are put off after a node's start although they
/// can be in time. The node has seen no item complete, and items that ran
/// before have a few seconds left. Without any observation an item was assumed
/// to take twice as long as items actually do.
#[test]
fn without_observations_items_go_in_the_order_they_are_due() {
    let estimator = RunTimeEstimator::default();
    let rest = estimator.remaining(3_000, 4_000);
    assert_eq!(rest, RemainingTime::default());
    let due_at = NOW.saturating_add_ms(100);
    assert!(!SlackPriority::new(due_at, rest, NOW).is_late());
}

/// The load pattern: outputs of 115 to 345 events under the same maximum
/// output length. An item that has run longer than most is about to complete,
/// and one that has not started takes the average.
#[test]
fn remaining_time_is_estimated_from_longer_items() {
    let mut estimator = RunTimeEstimator::default();
    for tenths in 11..=34 {
        estimator.record(3_000, tenths * 250);
    }
    let rest = |ran_ms| estimator.remaining(3_000, ran_ms).expected_ms;
    assert!((5_500..5_700).contains(&rest(0)), "{}", rest(0));
    assert!((1_500..2_300).contains(&rest(5_000)), "{}", rest(5_000));
    assert!(rest(8_000) < 500, "{}", rest(8_000));
    assert_eq!(rest(9_000), 900);
    for ran_ms in (0..10_000).step_by(500) {
        let rest = estimator.remaining(3_000, ran_ms);
        assert!(rest.min_ms <= rest.expected_ms);
    }
}

#[test]
fn the_estimator_follows_a_change_of_engines() {
    let mut estimator = RunTimeEstimator::default();
    for _ in 0..100 {
        estimator.record(1_000, 2_000);
    }
    for _ in 0..64 {
        estimator.record(1_000, 3_000);
    }
    assert_eq!(
        estimator.remaining(1_000, 0),
        RemainingTime::exactly_ms(3_000)
    );
}
