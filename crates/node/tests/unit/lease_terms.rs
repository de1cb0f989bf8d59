//! Tests of the time to live of node entries.

use yare::parameterized;

use super::{LeaseTerms, MAX_LEASE_S};

/// Guards against renewals that grow with the fleet. Load: idle fleets.
#[parameterized(
    fronts = { false, 50 },
    workers = { true, 40 },
)]
fn the_total_renewal_rate_does_not_grow_with_the_fleet(
    runs_items: bool,
    nodes_at_min: usize,
) {
    let terms = LeaseTerms::new(runs_items, 1_000);
    let renewals_per_s =
        |count: usize| count as f64 * 3.0 / f64::from(terms.lease_s(count));
    let few = renewals_per_s(nodes_at_min);
    for times in [2, 5, 7, 20] {
        let many = renewals_per_s(times * nodes_at_min);
        assert!(many <= few * 1.2, "{times} times as many: {many} of {few}");
    }
}

#[test]
fn small_fleets_use_the_shortest_granted_lease() {
    let terms = LeaseTerms::new(true, 1_000);
    assert_eq!(terms.lease_s(0), 3);
    assert_eq!(terms.lease_s(40), 3);
    assert_eq!(LeaseTerms::new(true, 7_500).lease_s(3), 8);
    assert_eq!(terms.lease_s(1_000_000), MAX_LEASE_S);
}

/// Guards against an entry that expires between two renewals because its lease
/// was assumed to be longer, and against one that is renewed far too often.
#[test]
fn a_mismatched_time_to_live_is_detected() {
    let terms = LeaseTerms::new(false, 1_000);
    assert!(terms.is_mismatched(15, 5));
    assert!(terms.is_mismatched(3, 275));
    assert!(!terms.is_mismatched(15, 275));
    assert!(!terms.is_mismatched(3, 60));
}
