//! Records of admitted requests at a front.

use base::{Customer, Millis};

use super::{History, MAX_REPORT_CUSTOMERS, STEP_MS, StepCounts};
use crate::{RateLimit, pool::slot_of};

const WINDOW_MS: u64 = 5_000;

fn customer(number: usize) -> Customer {
    format!("customer-{number}").parse().expect("a valid name")
}

fn limit(version: u64) -> RateLimit {
    let limit = RateLimit::try_new(10.0, 10).expect("a valid limit");
    limit.with_version(version)
}

/// Guards against counts that appear older than the requests are, which would
/// restore more tokens than the limit has left.
#[test]
fn a_step_counts_with_its_last_request() {
    let mut counts = StepCounts::default();
    assert!(counts.add(2, Millis::new(500)));
    assert!(!counts.add(1, Millis::new(749)));
    assert!(counts.add(4, Millis::new(750)));
    let all: Vec<_> = counts.counts().collect();
    assert_eq!(all, [(Millis::new(749), 3), (Millis::new(750), 4)]);
    counts.expire(WINDOW_MS, Millis::new(749 + WINDOW_MS));
    assert_eq!(counts.counts().count(), 2, "still in the window");
    counts.expire(WINDOW_MS, Millis::new(750 + WINDOW_MS));
    assert_eq!(counts.counts().count(), 1);
}

/// Guards against a lowered limit that is missing from reports because none of
/// the customer's requests was admitted under it.
#[test]
fn a_limit_is_reported_without_admitted_requests() {
    let mut history = History::new(WINDOW_MS);
    let one = customer(1);
    history.record(&one, 0, limit(1), Millis::new(1));
    history.record_limit(&one, limit(2), Millis::new(2));
    history.record_limit(&customer(2), limit(3), Millis::new(2));
    for (customer, version) in [(one, 2), (customer(2), 3)] {
        for replica in 0..2 {
            let slot = slot_of(&customer, replica);
            let known = history.of_slot(slot, Millis::new(3)).expect("few");
            let known = known.iter().find(|(name, _)| *name == customer);
            let (_, admitted) = known.expect("reported");
            assert_eq!(admitted.limit.version(), version);
        }
    }
}

/// Guards against memory that grows with all customers that a front has ever
/// served.
#[test]
fn memory_is_bounded_by_the_requests_of_a_window() {
    let mut history = History::new(WINDOW_MS);
    for number in 0..100_000 {
        let now = Millis::new(number as u64);
        history.record(&customer(number), 0, limit(1), now);
    }
    let kept: usize = history.slots.iter().map(|it| it.len()).sum();
    let in_window = (WINDOW_MS + 2 * STEP_MS) as usize;
    assert!(kept <= in_window, "{kept}");
    assert!(history.expiries.len() <= in_window);
}

/// Guards against a report that lacks customers and is taken for complete.
#[test]
fn a_slot_with_too_many_customers_has_no_report() {
    let mut history = History::new(WINDOW_MS);
    let of_first = slot_of(&customer(0), 0);
    let all = (0..10_000).map(customer);
    let mut same = all.filter(|name| slot_of(name, 0) == of_first);
    let now = Millis::new(7);
    for name in same.by_ref().take(MAX_REPORT_CUSTOMERS) {
        history.record(&name, 0, limit(1), now);
    }
    let report = history.of_slot(of_first, now).expect("few enough");
    assert_eq!(report.len(), MAX_REPORT_CUSTOMERS);
    let one_more = same.next().expect("more customers");
    history.record(&one_more, 0, limit(1), now);
    assert!(history.of_slot(of_first, now).is_none());
    let later = Millis::new(7 + WINDOW_MS + STEP_MS + 1);
    let report = history.of_slot(of_first, later).expect("expired");
    assert!(report.is_empty());
}

/// Guards against a limit that operators have lowered and that a report raises
/// again.
#[test]
fn the_latest_limit_is_reported() {
    let mut history = History::new(WINDOW_MS);
    let name = customer(0);
    for version in [1, 3, 2] {
        history.record(&name, 1, limit(version), Millis::new(1));
    }
    let report = history.of_slot(slot_of(&name, 1), Millis::new(2));
    let (_, admitted) = &report.expect("few enough")[0];
    assert_eq!(admitted.limit.version(), 3);
}
