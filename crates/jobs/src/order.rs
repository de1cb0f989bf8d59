use base::UnixMillis;

use crate::RemainingTime;

/// Priority of an item for a slot, by its slack.
///
/// The item with the smallest value starts first, the run with the greatest is
/// preempted first. Items that can still finish in time precede those that
/// cannot: with the least slack first alone, a node short of slots spends them
/// on items that miss their due time in any case, and the items behind those
/// miss theirs as well.
///
/// The remaining time is an estimate. An item counts as late only if even its
/// minimum remaining time is too long, so that no item is put off that may
/// still be in time.
///
/// # Example
///
/// ```
/// use base::UnixMillis;
/// use pomeloslip_jobs::{RemainingTime, SlackPriority};
///
/// let now = UnixMillis::new(1_000);
/// let due = UnixMillis::new(6_000);
/// let tight = SlackPriority::new(due, RemainingTime::exactly_ms(4_500), now);
/// let loose = SlackPriority::new(due, RemainingTime::exactly_ms(1_000), now);
/// let late =
///     SlackPriority::new(due, RemainingTime::exactly_ms(9_000), now);
/// assert!(tight < loose && loose < late);
/// ```
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SlackPriority {
    is_late: bool,
    start_by_ms: u64,
}

impl SlackPriority {
    /// Ranks an item that is due at `due_at` and takes `remaining` more.
    pub fn new(
        due_at: UnixMillis,
        remaining: RemainingTime,
        now: UnixMillis,
    ) -> Self {
        let due_ms = due_at.as_ms();
        Self {
            is_late: now.saturating_add_ms(remaining.min_ms) > due_at,
            start_by_ms: due_ms.saturating_sub(remaining.expected_ms),
        }
    }

    /// Reports whether the item cannot finish in time any more.
    #[inline]
    pub fn is_late(self) -> bool {
        self.is_late
    }
}

/// The order in which runs are preempted by online requests; the greatest is
/// preempted first.
///
/// A run that has produced an event is preempted before one that has not,
/// whatever their priorities: the former resumes after that event, while the
/// latter has to start again, which costs the fleet a whole run. In a burst
/// slots become free for milliseconds, and the same items would start again
/// and again.
///
/// # Example
///
/// ```
/// use base::UnixMillis;
/// use pomeloslip_jobs::{PreemptRank, RemainingTime, SlackPriority};
///
/// let now = UnixMillis::new(1_000);
/// let at = UnixMillis::new;
/// let remaining_ms = RemainingTime::exactly_ms;
/// let tight = SlackPriority::new(at(6_000), remaining_ms(4_500), now);
/// let loose = SlackPriority::new(at(9_000), remaining_ms(1_000), now);
/// assert!(PreemptRank::new(true, tight) > PreemptRank::new(false, loose));
/// assert!(PreemptRank::new(true, loose) > PreemptRank::new(true, tight));
/// ```
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PreemptRank {
    has_events: bool,
    priority: SlackPriority,
}

impl PreemptRank {
    /// Ranks a run by whether it can be resumed after its last event and by
    /// the priority of its item.
    pub fn new(has_events: bool, priority: SlackPriority) -> Self {
        Self {
            has_events,
            priority,
        }
    }
}
