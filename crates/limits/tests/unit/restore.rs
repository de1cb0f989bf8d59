//! Levels of restored buckets.

use base::Millis;
use proptest::prelude::*;
use yare::parameterized;

use super::{Restores, TimedCount, TokenEvent, level};
use crate::{
    RateLimit, Tolerance,
    pool::{CustomerHistory, fraction::Fraction, slot_of},
};

/// With these, a limit of 10 requests/s and 60 has a burst of 33 x share.
const TOLERANCE: Tolerance = Tolerance {
    window_ms: 5_000,
    excess: 0.0,
    slack: 2,
};

const SHARE: f64 = 0.5;

fn limit() -> RateLimit {
    RateLimit::try_new(10.0, 60).expect("a valid limit")
}

fn burst() -> f64 {
    TOLERANCE.burst_tokens(limit()) * SHARE
}

fn level_of(counts: &[TimedCount]) -> f64 {
    let mut counts = counts.to_vec();
    level(limit(), TOLERANCE, SHARE, &mut counts, Millis::new(10_000))
}

/// Guards against buckets that get more than the requests of the last window
/// leave, or that lose tokens which accrued since.
#[parameterized(
    nothing_admitted = { &[], 0.0 },
    just_admitted = { &[(10_000, 4)], -4.0 },
    refilled_since = { &[(9_400, 4)], -1.0 },
    refilled_whole = { &[(9_000, 4)], 0.0 },
    the_worst_start_counts = { &[(9_000, 4), (9_800, 3)], -2.0 },
    in_any_order = { &[(9_800, 3), (9_400, 4)], -4.0 },
    older_than_the_window = { &[(4_999, 900)], 0.0 },
    as_old_as_the_window = { &[(5_000, 31)], -6.0 },
    from_the_future = { &[(12_000, 4)], -4.0 },
    before_this_process = { &[(-1, 900)], 0.0 },
)]
fn the_level_follows_from_what_was_admitted(
    counts: &[TimedCount],
    below_burst: f64,
) {
    assert!(burst() > 15.0);
    let expected = burst() + below_burst;
    let found = level_of(counts);
    assert!((found - expected).abs() < 1e-9, "{found}, not {expected}");
}

#[test]
fn the_level_is_never_negative() {
    assert_eq!(level_of(&[(10_000, 10_000)]), 0.0);
}

proptest! {
    /// Guards against a window that admits more after a loss than a single
    /// bucket would: what is admitted at once after the restore, together
    /// with any part of the window before it, is within the limit.
    #[test]
    fn no_window_exceeds_the_limit_after_a_restore(
        counts in prop::collection::vec((0_i64..10_000, 0_u32..9), 0..40),
    ) {
        let tokens = level_of(&counts);
        for (start, _) in &counts {
            let age_ms = 10_000 - start;
            if age_ms > TOLERANCE.window_ms as i64 {
                continue;
            }
            let since = counts.iter().filter(|(at, _)| at >= start);
            let admitted: u32 = since.map(|(_, count)| count).sum();
            let refilled = 10.0 * SHARE * age_ms as f64 / 1_000.0;
            let max = (burst() + refilled).max(f64::from(admitted));
            prop_assert!(f64::from(admitted) + tokens <= max + 1e-9);
        }
    }
}

fn history(count: u32) -> CustomerHistory {
    CustomerHistory {
        customer: "alama".parse().expect("a valid name"),
        replica: 0,
        limit: limit(),
        counts: vec![(0, count)],
    }
}

/// Reports of the customer's slot, which is wholly allotted at 1,000 ms.
struct Reporting {
    restores: Restores,
    slot: usize,
}

impl Reporting {
    fn new() -> Self {
        let slot = slot_of(&history(0).customer, 0);
        let mut restores = Restores::default();
        restores.set_share(slot, SHARE, Millis::new(1_000));
        Self { restores, slot }
    }

    fn report(&mut self, front: &str, count: u32) {
        let slots = (1 << self.slot, 0);
        let history = [history(count)];
        let now = Millis::new(1_010);
        self.restores.report(front, &history, slots, now);
    }

    fn is_ready(&self) -> bool {
        self.restores.is_ready(self.slot, 2, Millis::new(1_020))
    }

    /// Restores the slot and returns the tokens of the customer.
    fn tokens(&mut self) -> f64 {
        let now = Millis::new(1_010);
        let snapshot = Fraction::default().snapshot(now);
        let share = (SHARE, snapshot);
        let slot = self.slot;
        self.restores.restore(slot, TOLERANCE, share, |_| None, now);
        let customer = history(0).customer;
        let pending = self.restores.pending(slot, &customer, 0);
        let reported = pending.and_then(|pending| pending.reported);
        reported.expect("a reported customer").1
    }
}

/// Guards against a restore while a front is missing that may have used any
/// part of the limit.
#[test]
fn a_slot_waits_for_all_fronts() {
    let mut reporting = Reporting::new();
    reporting.report("front-1", 2);
    reporting.report("front-1", 2);
    assert!(!reporting.is_ready());
    reporting.report("front-2", 3);
    assert!(reporting.is_ready());
    assert_eq!(reporting.tokens(), burst() - 5.0);
    assert!(matches!(
        reporting.restores.take_events()[..],
        [TokenEvent::Restored {
            customers: 1,
            fronts: 2,
            after_ms: 10,
            ..
        }]
    ));
}

/// Guards against a repeated report whose requests are counted twice.
#[test]
fn a_report_replaces_an_earlier_one() {
    let mut reporting = Reporting::new();
    reporting.report("front-1", 9);
    reporting.report("front-2", 3);
    reporting.report("front-1", 2);
    assert_eq!(reporting.tokens(), burst() - 5.0);
    assert_eq!(reporting.restores.kept_counts, 0, "reports are not kept");
}

/// Guards against the report of a front that has used its share elsewhere
/// since.
#[test]
fn a_withdrawn_share_ends_its_report() {
    let mut reporting = Reporting::new();
    reporting.report("front-1", 1);
    reporting.report("front-2", 1);
    reporting.restores.withdraw("front-1", u16::MAX);
    assert!(!reporting.is_ready());
    let (slot, now) = (reporting.slot, Millis::new(1_015));
    reporting.restores.set_share(slot, SHARE / 2.0, now);
    reporting.report("front-1", 1);
    assert!(!reporting.is_ready(), "not the whole share");
}

/// Guards against reports that are kept although their requests are older than
/// the window.
#[test]
fn a_slot_without_all_reports_starts_without_history() {
    let mut reporting = Reporting::new();
    reporting.report("front-1", 1);
    let slot = reporting.slot;
    let young = (0, 1 << slot);
    let restores = &mut reporting.restores;
    restores.report("front-2", &[], young, Millis::new(1_020));
    restores.expire(4, TOLERANCE.window_ms, Millis::new(6_010));
    assert!(restores.take_events().is_empty());
    restores.expire(4, TOLERANCE.window_ms, Millis::new(6_011));
    let event = TokenEvent::NotRestored {
        slot,
        missing_fronts: 2,
        young_fronts: 1,
    };
    assert_eq!(restores.take_events(), [event]);
    assert_eq!(restores.kept_counts, 0);
    reporting.report("front-2", 1);
    assert!(!reporting.is_ready());
}

/// Guards against a node that exhausts memory by reports.
#[test]
fn kept_reports_are_bounded() {
    let mut reporting = Reporting::new();
    let counts = vec![(0, 1); 1_600];
    let large = CustomerHistory {
        counts,
        ..history(1)
    };
    let slots = (1 << reporting.slot, 0);
    for front in 0..1_000 {
        let front = format!("front-{front}");
        let report = std::slice::from_ref(&large);
        let now = Millis::new(1_010);
        reporting.restores.report(&front, report, slots, now);
    }
    assert!(reporting.restores.kept_counts <= super::MAX_KEPT_COUNTS);
    let events = reporting.restores.take_events();
    assert_eq!(events.len(), super::MAX_EVENTS);
    let slot = reporting.slot;
    assert_eq!(events[0], TokenEvent::ReportRefused { slot });
}
