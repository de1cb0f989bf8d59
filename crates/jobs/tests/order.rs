//! Which item gets a slot, and which gives one up.

use base::UnixMillis;
use pomeloslip_jobs::{Pace, PreemptRank, Rest, Urgency};
use yare::parameterized;

const NOW: UnixMillis = UnixMillis::new(100_000);

fn rank(due_in_ms: u64, rest_ms: u64) -> Urgency {
    let rest = Rest::exactly_ms(rest_ms);
    Urgency::new(NOW.saturating_add_ms(due_in_ms), rest, NOW)
}

/// Symptom: on days with too few engines most jobs were a little late.
/// Events: an item that could not be done in time any more had the least
/// slack, so it was started first and gave way last. Cause: only what was
/// past its time counted as late, not what was going to be.
#[parameterized(
    little_slack_first = { 6_000, 5_000, 6_000, 1_000 },
    earlier_due_first = { 6_000, 1_000, 9_000, 1_000 },
    in_time_before_in_vain = { 9_000, 1_000, 4_000, 9_000 },
    in_time_before_past_due = { 18_000, 1_000, 0, 100 },
)]
fn goes_first(due: u64, rest: u64, other_due: u64, other_rest: u64) {
    assert!(rank(due, rest) < rank(other_due, other_rest));
}

#[test]
fn what_may_just_end_in_time_is_not_late() {
    let due_at = NOW.saturating_add_ms(6_000);
    let rank = |least_ms| {
        let expected_ms = 9_000;
        let rest = Rest {
            expected_ms,
            least_ms,
        };
        Urgency::new(due_at, rest, NOW)
    };
    assert!(!rank(6_000).is_late());
    assert!(rank(6_001).is_late());
}

/// Symptom: in bursts most items began two or more times from their first
/// event. Events: a slot came free for milliseconds, an item began there and
/// gave way before its first event, while older runs beside it went on.
/// Cause: the least urgent run gave way, which the newest one often is.
#[test]
fn a_run_without_events_gives_way_after_those_that_can_be_taken_up() {
    let (tight, loose) = (rank(6_000, 5_000), rank(18_000, 1_000));
    assert!(PreemptRank::new(true, tight) > PreemptRank::new(false, loose));
    assert!(PreemptRank::new(true, loose) > PreemptRank::new(true, tight));
    assert!(PreemptRank::new(false, loose) > PreemptRank::new(false, tight));
}

/// Symptom: after each start of a node, items that had the time were done
/// after all others and were late. Events: the node starts, has seen no item
/// end, and items that ran before have a few seconds left. Cause: without
/// any observation an item was taken to last twice as long as items do.
#[test]
fn without_observations_items_go_in_the_order_they_are_due() {
    let pace = Pace::default();
    let rest = pace.rest(3_000, 4_000);
    assert_eq!(rest, Rest::default());
    let due_at = NOW.saturating_add_ms(100);
    assert!(!Urgency::new(due_at, rest, NOW).is_late());
}

/// The pattern: outputs of 115 to 345 events under one stated longest
/// output. An item that has run longer than most is about to end, and one
/// that has not begun takes the mean.
#[test]
fn the_rest_is_what_items_of_that_age_took_longer() {
    let mut pace = Pace::default();
    for tenths in 11..=34 {
        pace.add(3_000, tenths * 250);
    }
    let rest = |ran_ms| pace.rest(3_000, ran_ms).expected_ms;
    assert!((5_500..5_700).contains(&rest(0)), "{}", rest(0));
    assert!((1_500..2_300).contains(&rest(5_000)), "{}", rest(5_000));
    assert!(rest(8_000) < 500, "{}", rest(8_000));
    assert_eq!(rest(9_000), 900);
    for ran_ms in (0..10_000).step_by(500) {
        let rest = pace.rest(3_000, ran_ms);
        assert!(rest.least_ms <= rest.expected_ms);
    }
}

#[test]
fn the_pace_follows_a_change_of_engines() {
    let mut pace = Pace::default();
    for _ in 0..100 {
        pace.add(1_000, 2_000);
    }
    for _ in 0..64 {
        pace.add(1_000, 3_000);
    }
    assert_eq!(pace.rest(1_000, 0), Rest::exactly_ms(3_000));
}
