//! Tests of the time for which the key of a missing node is kept.

use base::Millis;
use jobs::MissingSpool;
use yare::parameterized;

use super::Absences;

const RETENTION_MS: u64 = 120_000;

/// Returns after how many seconds the key of a missing node is removed. The
/// ledger has all jobs in the seconds from `first` on.
fn removed_after_s(first: u64, end: u64) -> Option<u64> {
    let spool = MissingSpool {
        node: "worker-1".to_owned(),
        revision: 7,
    };
    let mut absences = Absences::default();
    (0..end).find(|second| {
        let now = Millis::new(second * 1_000);
        absences.update(std::slice::from_ref(&spool), *second >= first, now);
        !absences.over(RETENTION_MS, now).is_empty()
    })
}

/// Guards against removed machines that count as workers with accepted jobs
/// for good, and against the removal of the key of a node that is away for a
/// moment.
#[parameterized(
    in_calm = { 0, Some(21) },
    after_an_outage = { 30, Some(51) },
    more_lost_than_tolerated = { u64::MAX, Some(121) },
)]
fn the_key_of_a_missing_node_is_removed(first: u64, expected: Option<u64>) {
    assert_eq!(removed_after_s(first, 300), expected);
}
