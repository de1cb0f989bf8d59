//! Repetition of reports by a front.

use base::{Customer, Millis};

use super::{COUNT_BYTES, MAX_ATTEMPTS, MAX_REPORT_BYTES, RETRY_MS, Reports};
use crate::{
    RateLimit,
    pool::history::{Admitted, StepCounts},
};

const ALL: u16 = u16::MAX;

fn admitted(steps: usize) -> Vec<(Customer, Admitted)> {
    let limit = RateLimit::try_new(10.0, 10).expect("a valid limit");
    let mut counts = StepCounts::default();
    for step in 0..steps {
        counts.add(3, Millis::new(step as u64 * 250));
    }
    let name = "alama".parse().expect("a valid name");
    vec![(name, Admitted { limit, counts })]
}

/// Guards against a report whose ages stay those of the first message, and
/// against endless messages to a server that drops them.
#[test]
fn a_report_is_repeated_with_current_ages_and_then_given_up() {
    let mut reports = Reports::default();
    reports.open(4, "w1", Some(admitted(1)));
    for attempt in 0..MAX_ATTEMPTS as u64 {
        let now = Millis::new(1_000 + attempt * RETRY_MS);
        assert!(reports.is_due("w1", now));
        let fields = reports.fields("w1", ALL, attempt, now);
        assert_eq!(fields.complete_slots, 1 << 4);
        assert_eq!(fields.history[0].counts, [(now.as_ms(), 3)]);
        let too_early = Millis::new(now.as_ms() + RETRY_MS - 1);
        assert!(!reports.is_due("w1", too_early));
    }
    let fields = reports.fields("w1", ALL, 9, Millis::new(9_000));
    assert_eq!(fields.complete_slots, 0);
    assert!(!reports.is_due("w1", Millis::new(9_000)));
}

#[test]
fn only_the_response_to_a_report_ends_it() {
    let mut reports = Reports::default();
    reports.open(4, "w1", Some(admitted(1)));
    reports.fields("w1", ALL, 7, Millis::new(0));
    let later = Millis::new(RETRY_MS);
    reports.on_response("w1", 6);
    reports.on_response("w2", 7);
    assert_eq!(reports.repetitions(later), ["w1"]);
    reports.on_response("w1", 7);
    assert!(reports.repetitions(later).is_empty());
}

/// Guards against a report that outlives the allotment that it belongs to: the
/// front may have used its share elsewhere since.
#[test]
fn a_report_ends_with_its_allotment() {
    let mut reports = Reports::default();
    reports.open(4, "w1", Some(admitted(1)));
    let fields = reports.fields("w1", ALL & !(1 << 4), 1, Millis::new(0));
    assert_eq!(fields.complete_slots, 0);
    let fields = reports.fields("w1", ALL, 2, Millis::new(0));
    assert_eq!(fields.complete_slots, 0);
}

/// Guards against additional messages while all processes of a fleet are
/// young.
#[test]
fn an_incomplete_report_is_sent_once_with_a_renewal() {
    let mut reports = Reports::default();
    reports.open(4, "w1", None);
    let now = Millis::new(0);
    assert!(!reports.is_due("w1", now));
    assert!(reports.is_waiting("w1", now));
    let fields = reports.fields("w1", ALL, 1, now);
    assert_eq!(
        (fields.incomplete_slots, fields.complete_slots),
        (1 << 4, 0)
    );
    assert!(!reports.is_waiting("w1", Millis::new(9_000)));
}

/// Guards against datagrams that are too large to be sent.
#[test]
fn large_reports_are_sent_in_several_messages() {
    let mut reports = Reports::default();
    let half = MAX_REPORT_BYTES / COUNT_BYTES / 2 - 12;
    for slot in 0..3 {
        reports.open(slot, "w1", Some(admitted(half)));
    }
    reports.open(3, "w1", Some(admitted(3 * half)));
    let now = Millis::new(0);
    let fields = reports.fields("w1", ALL, 1, now);
    assert_eq!(fields.complete_slots, 0b011);
    assert!(reports.is_due("w1", now));
    let fields = reports.fields("w1", ALL, 2, now);
    assert_eq!(fields.complete_slots, 0b100);
}
