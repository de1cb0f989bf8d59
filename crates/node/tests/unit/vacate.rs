//! Tests of the time in which a node has to be vacated.

use std::time::Duration;

use yare::parameterized;

use super::runs_timeout;
use crate::VacateOrder;

/// Guards against runs that are cut off at once because an operator allowed
/// more time than a clock can hold.
#[parameterized(
    none = { 0, 0 },
    usual = { 10_000, 7_000 },
    unlimited = { u64::MAX, u64::MAX / 100 * 70 },
)]
fn runs_may_use_most_of_the_time(within_ms: u64, expected_ms: u64) {
    let order = VacateOrder {
        node: "worker-1".to_owned(),
        within_ms,
        revision: 1,
    };
    let expected = Duration::from_millis(expected_ms);
    assert_eq!(runs_timeout(&order), expected);
}
