//! Properties that keep batch from delaying calls during and after a burst.
//!
//! Guards against callers of a burst that wait for an engine full of batch
//! items: calls arrive, and items start again in the slots that the next calls
//! need. No other test fails if one of these mechanisms is removed; see
//! `docs/PROMISES.md`.

mod common;

use pomeloslip_gate::{Event, GateOptions};
use yare::parameterized;

use crate::common::{FAR_DEADLINE_MS, Harness};

const SLOTS: u32 = 32;

fn free(harness: &Harness) -> u32 {
    let load = harness.gate.load(harness.now);
    SLOTS - load.running
}

/// Offers more items than there are slots.
fn offer_many(harness: &mut Harness) {
    for _ in 0..2 * SLOTS {
        harness.offer(FAR_DEADLINE_MS);
    }
}

#[test]
fn items_leave_a_reserve_also_without_calls() {
    let options = GateOptions::new(SLOTS, SLOTS);
    let reserve = options.reserve_min;
    assert!(reserve > 0);
    let mut harness = Harness::new(options);
    offer_many(&mut harness);
    harness.advance_ms(5_000);
    assert_eq!(free(&harness), reserve);
    // Items also do not start in the reserve only to be stopped again.
    assert!(harness.stops().is_empty());
}

#[parameterized(
    five = { 5 },
    ten = { 10 },
    twenty = { 20 },
)]
fn items_leave_as_many_slots_free_as_calls_arrived_recently(calls: u32) {
    let mut harness = Harness::new(GateOptions::new(SLOTS, SLOTS));
    let keys: Vec<_> =
        (0..calls).filter_map(|_| harness.arrive().ok()).collect();
    assert_eq!(keys.len(), calls as usize);
    offer_many(&mut harness);
    for key in keys {
        harness.end(key);
    }
    for _ in 0..4 {
        harness.advance_ms(50);
        assert!(free(&harness) >= calls, "{} free", free(&harness));
    }
    assert!(harness.stops().is_empty());
}

#[test]
fn items_come_back_step_by_step_after_a_burst() {
    let options = GateOptions::new(SLOTS, 24);
    let (hold_ms, ramp_ms) = (options.hold_ms, options.ramp_ms);
    assert!(hold_ms >= 100 && ramp_ms >= 100);
    let mut harness = Harness::new(options);
    harness.settle(24);
    let calls: Vec<_> =
        (0..30).filter_map(|_| harness.arrive().ok()).collect();
    assert_eq!(harness.batch_running(), 0);
    let started_at = harness.now;
    for key in calls {
        harness.end(key);
    }
    offer_many(&mut harness);
    loop {
        let since_ms = harness.now.saturating_ms_since(started_at);
        if since_ms >= hold_ms + ramp_ms {
            break;
        }
        let part = since_ms.saturating_sub(hold_ms) as f64 / ramp_ms as f64;
        let max = (24.0 * part) as u32;
        let running = harness.batch_running();
        assert!(running <= max, "{running} items after {since_ms} ms");
        harness.advance_ms(50);
    }
    harness.advance_ms(2_000);
    harness.handle(Event::Tick);
    assert_eq!(harness.batch_running(), 24);
}
