//! What keeps batch out of the way in a burst and right after it.
//!
//! Symptom: callers of a burst wait for an engine that is full of items.
//! Sequence: calls arrive; items start again in the places that the next
//! calls need. Each mechanism here was taken out by hand and no other test
//! failed; see `docs/PROMISES.md`.

mod common;

use pomeloslip_gate::{Event, GateOptions};
use yare::parameterized;

use crate::common::{FAR_MS, Stand};

const PLACES: u32 = 32;

fn free(stand: &Stand) -> u32 {
    let load = stand.gate.load(stand.now);
    PLACES - load.running
}

/// Offers more items than there are places.
fn offer_many(stand: &mut Stand) {
    for _ in 0..2 * PLACES {
        stand.offer(FAR_MS);
    }
}

#[test]
fn items_leave_a_reserve_also_without_calls() {
    let options = GateOptions::new(PLACES, PLACES);
    let reserve = options.reserve_min;
    assert!(reserve > 0);
    let mut stand = Stand::new(options);
    offer_many(&mut stand);
    stand.pass_ms(5_000);
    assert_eq!(free(&stand), reserve);
    // Nor do items start in it only to be stopped again.
    assert!(stand.stops().is_empty());
}

#[parameterized(
    five = { 5 },
    ten = { 10 },
    twenty = { 20 },
)]
fn items_leave_as_many_places_as_calls_came_lately(calls: u32) {
    let mut stand = Stand::new(GateOptions::new(PLACES, PLACES));
    let keys: Vec<_> =
        (0..calls).filter_map(|_| stand.arrive().ok()).collect();
    assert_eq!(keys.len(), calls as usize);
    offer_many(&mut stand);
    for key in keys {
        stand.end(key);
    }
    for _ in 0..4 {
        stand.pass_ms(50);
        assert!(free(&stand) >= calls, "{} free", free(&stand));
    }
    assert!(stand.stops().is_empty());
}

#[test]
fn items_come_back_step_by_step_after_a_burst() {
    let options = GateOptions::new(PLACES, 24);
    let (hold_ms, ramp_ms) = (options.hold_ms, options.ramp_ms);
    assert!(hold_ms >= 100 && ramp_ms >= 100);
    let mut stand = Stand::new(options);
    stand.settle(24);
    let calls: Vec<_> = (0..30).filter_map(|_| stand.arrive().ok()).collect();
    assert_eq!(stand.batch_running(), 0);
    let began = stand.now;
    for key in calls {
        stand.end(key);
    }
    offer_many(&mut stand);
    loop {
        let since_ms = stand.now.saturating_ms_since(began);
        if since_ms >= hold_ms + ramp_ms {
            break;
        }
        let part = since_ms.saturating_sub(hold_ms) as f64 / ramp_ms as f64;
        let most = (24.0 * part) as u32;
        let running = stand.batch_running();
        assert!(running <= most, "{running} items after {since_ms} ms");
        stand.pass_ms(50);
    }
    stand.pass_ms(2_000);
    stand.handle(Event::Tick);
    assert_eq!(stand.batch_running(), 24);
}
