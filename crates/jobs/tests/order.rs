//! Which item gets a slot, and which gives one up.

use base::UnixMillis;
use pomeloslip_jobs::{PreemptRank, SURE_PERCENT, Urgency};
use yare::parameterized;

const NOW: UnixMillis = UnixMillis::new(100_000);

fn rank(due_in_ms: u64, rest_ms: u64) -> Urgency {
    Urgency::new(NOW.saturating_add_ms(due_in_ms), rest_ms, NOW)
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
    let longest_ms = 6_000 * 100 / SURE_PERCENT;
    assert!(!rank(6_000, longest_ms).is_late());
    assert!(rank(6_000, longest_ms + 2).is_late());
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
