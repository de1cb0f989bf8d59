//! Decisions of the budget and of the table of connections.

use std::sync::Arc;

use base::{Millis, SteppedClock};
use pomeloslip_budget::{
    Admission, BodyPace, ConnectionKey, ConnectionPhase, ConnectionTable,
    Exhausted, MemoryBudget, MemoryOptions, MemoryShares,
};
use yare::parameterized;

const LIMIT: u64 = 1_600_000;
const SMALL: u64 = LIMIT / 16;

fn budget() -> (MemoryBudget, Arc<SteppedClock>) {
    let clock = Arc::new(SteppedClock::default());
    let options = MemoryOptions::new(LIMIT);
    (MemoryBudget::new(options, clock.clone()), clock)
}

/// Guards against memory that is lost to the budget by any way out.
#[test]
fn every_reservation_is_released() {
    let (budget, clock) = budget();
    let kept = budget.reserve(1_000).expect("free");
    let grown = budget.reserve(1_000).expect("free");
    grown.grow_to(5_000).expect("free");
    let shrunk = budget.reserve(9_000).expect("free");
    shrunk.shrink_to(2_000);
    assert_eq!(budget.used_bytes(), 8_000);
    let stalled = budget.reserve(1_150_000).expect("free").receiving();
    clock.step_ms(1_000);
    let next = budget.reserve(1_150_000).expect("evicts");
    assert!(stalled.is_evicted());
    assert_eq!(budget.used_bytes(), 1_158_000);
    stalled.shrink_to(0);
    drop((kept, grown, shrunk, stalled, next));
    assert_eq!(budget.used_bytes(), 0);
}

/// Guards against a total above the limit.
#[parameterized(
    small = { SMALL, 16 },
    large = { SMALL * 4, 3 },
    larger_than_all = { LIMIT * 2, 1 },
)]
fn the_total_is_bounded(bytes: u64, expected: usize) {
    let (budget, _) = budget();
    let held: Vec<_> = (0..100)
        .filter_map(|_| budget.reserve(bytes).ok())
        .collect();
    assert_eq!(held.len(), expected);
    assert!(budget.used_bytes() <= LIMIT);
    assert_eq!(budget.usage().refused, 100 - expected as u64);
}

/// Guards against large bodies that keep out small ones.
#[test]
fn large_reservations_leave_room_for_small_ones() {
    let (budget, _) = budget();
    let _large: Vec<_> = (0..20).map(|_| budget.reserve(SMALL + 1)).collect();
    assert!(budget.reserve(SMALL + 1).is_err());
    assert!(budget.reserve(SMALL).is_ok());
}

/// Guards against bodies that grow in small steps into the part that is kept
/// for small reservations.
#[test]
fn a_body_that_grows_counts_with_its_whole_size() {
    let (budget, _) = budget();
    let growing = budget.reserve(SMALL).expect("free");
    let others: Vec<_> =
        (0..11).filter_map(|_| budget.reserve(SMALL).ok()).collect();
    assert_eq!(others.len(), 11);
    assert_eq!(growing.grow_to(SMALL + 1), Err(Exhausted));
}

/// Guards against slow callers that keep out others, and against the loss of
/// bodies that arrive.
#[test]
fn only_stalled_bodies_are_evicted_the_longest_first() {
    let (budget, clock) = budget();
    let bytes = LIMIT / 4;
    let oldest = budget.reserve(bytes).expect("free").receiving();
    clock.step_ms(100);
    let stalled = budget.reserve(bytes).expect("free").receiving();
    let complete = budget.reserve(bytes).expect("free").receiving();
    complete.complete().expect("kept");
    clock.step_ms(850);
    oldest.record(1);
    assert!(budget.reserve(bytes).is_err(), "nothing has stalled yet");
    clock.step_ms(100);
    let first = budget.reserve(bytes).expect("evicts").receiving();
    assert!(oldest.is_evicted() && !stalled.is_evicted());
    assert_eq!(oldest.complete(), Err(Exhausted));
    assert_eq!(oldest.grow_to(LIMIT), Err(Exhausted));
    first.record(20_000);
    clock.step_ms(950);
    first.record(20_000);
    clock.step_ms(100);
    let second = budget.reserve(bytes).expect("evicts");
    assert!(stalled.is_evicted() && !first.is_evicted());
    assert!(!complete.is_evicted());
    assert!(budget.reserve(bytes).is_err());
    drop(second);
}

/// Guards against evictions that do not free enough and help nobody.
#[test]
fn nothing_is_evicted_in_vain() {
    let (budget, clock) = budget();
    let small = budget.reserve(SMALL).expect("free").receiving();
    let held = budget.reserve(LIMIT / 2).expect("free");
    clock.step_ms(5_000);
    assert!(budget.reserve(LIMIT / 2).is_err());
    assert!(!small.is_evicted());
    drop(held);
}

fn open(table: &mut ConnectionTable, at_ms: u64) -> ConnectionKey {
    match table.open(Millis::new(at_ms)) {
        Admission::Open(key) => key,
        other => unreachable!("{other:?}"),
    }
}

/// Guards against open connections that keep out new ones, and against the
/// loss of requests that are being served.
#[parameterized(
    just_accepted = { ConnectionPhase::Waiting, 499, false },
    waiting = { ConnectionPhase::Waiting, 500, true },
    receiving = { ConnectionPhase::Receiving, 999, false },
    receiving_stalled = { ConnectionPhase::Receiving, 1_000, true },
    blocked = { ConnectionPhase::Blocked, 4_999, false },
    blocked_for_long = { ConnectionPhase::Blocked, 5_000, true },
    serving = { ConnectionPhase::Serving, 60_000, false },
)]
fn a_connection_without_use_gives_way(
    phase: ConnectionPhase,
    after_ms: u64,
    gives_way: bool,
) {
    let mut table = ConnectionTable::new(2);
    let serving = open(&mut table, 0);
    let other = open(&mut table, 0);
    table.set_phase(serving, ConnectionPhase::Serving, Millis::new(0));
    table.set_phase(other, phase, Millis::new(0));
    let admission = table.open(Millis::new(after_ms));
    let closed = match admission {
        Admission::Replace { close, .. } => Some(close),
        _ => None,
    };
    assert_eq!(closed, gives_way.then_some(other));
    assert_eq!(table.len(), 2);
}

/// Guards against new connections that lose their place before old ones.
#[test]
fn the_connection_that_waits_longest_gives_way_first() {
    let mut table = ConnectionTable::new(2);
    let stalled = open(&mut table, 0);
    table.set_phase(stalled, ConnectionPhase::Receiving, Millis::new(0));
    let old = open(&mut table, 5_000);
    let Admission::Replace { new, close } = table.open(Millis::new(9_000))
    else {
        unreachable!();
    };
    assert_eq!(close, old);
    assert!(matches!(
        table.open(Millis::new(9_001)),
        Admission::Replace { close, .. } if close == stalled
    ));
    assert!(matches!(
        table.open(Millis::new(9_500)),
        Admission::Replace { close, .. } if close == new
    ));
}

/// Guards against shares that leave nothing for the process itself.
#[parameterized(
    small = { 64_000_000 },
    usual = { 260_000_000 },
    large = { 512_000_000 },
)]
fn a_part_of_the_machine_is_left(memory_bytes: u64) {
    let shares = MemoryShares::of_machine(memory_bytes);
    let all =
        shares.callers_bytes + shares.peers_bytes + shares.connections_bytes;
    assert!(all < memory_bytes * 9 / 10);
}

/// Guards against slow bodies that would have ended.
#[test]
fn a_body_that_keeps_the_minimum_rate_ends() {
    let pace = BodyPace {
        timeout_ms: 10_000,
        min_bytes_per_s: 100,
    };
    for at_s in 0..1_000 {
        assert!(pace.allowed_ms(at_s * 100) > at_s * 1_000);
    }
}
