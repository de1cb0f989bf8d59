//! The order of waiting requests.

use base::Millis;
use pomeloslip_share::{Rank, WaitingOrder};
use yare::parameterized;

fn rank(priority: u32, ends_at: u64) -> Rank {
    Rank::new(priority, Millis::new(ends_at))
}

/// Guards against a less urgent request that takes the slot of a more urgent
/// one.
#[parameterized(
    by_priority = { (0, 900), (1, 100) },
    by_deadline = { (3, 100), (3, 101) },
)]
fn the_more_urgent_is_first(urgent: (u32, u64), other: (u32, u64)) {
    let mut order = WaitingOrder::default();
    let other = order.join("llm", rank(other.0, other.1));
    let urgent = order.join("llm", rank(urgent.0, urgent.1));
    assert!(order.is_first("llm", urgent));
    assert!(!order.is_first("llm", other));
    assert_eq!(order.leave("llm", urgent), Some(other));
}

#[test]
fn equal_requests_are_served_in_the_order_of_arrival() {
    let mut order = WaitingOrder::default();
    let all: Vec<_> = (0..5).map(|_| order.join("a", rank(1, 9))).collect();
    for (at, waiter) in all.iter().enumerate() {
        assert!(order.is_first("a", *waiter));
        assert_eq!(order.leave("a", *waiter), all.get(at + 1).copied());
    }
    assert_eq!(order.waiting("a"), 0);
}

/// Guards against a new request that passes those that wait.
#[parameterized(
    more_urgent = { 1, 9, true },
    as_urgent = { 2, 50, false },
    earlier_deadline = { 2, 49, true },
    less_urgent = { 3, 1, false },
)]
fn a_new_request_passes_only_less_urgent_ones(
    priority: u32,
    ends_at: u64,
    passes: bool,
) {
    let mut order = WaitingOrder::default();
    order.join("a", rank(2, 50));
    assert_eq!(order.may_take("a", rank(priority, ends_at)), passes);
    assert!(order.may_take("b", rank(priority, ends_at)));
}

/// Guards against a wake-up that is lost or repeated when a request gives up
/// that is not the first.
#[test]
fn only_a_change_of_the_first_is_reported() {
    let mut order = WaitingOrder::default();
    let first = order.join("a", rank(0, 1));
    let second = order.join("a", rank(1, 1));
    let third = order.join("a", rank(2, 1));
    assert_eq!(order.leave("a", second), None);
    assert_eq!(order.leave("a", second), None);
    assert_eq!(order.leave("a", first), Some(third));
    assert_eq!(order.first("a"), Some(third));
}
