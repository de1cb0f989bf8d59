//! Batch items: latency limit, bursts, buffering and the floor.

mod common;

use common::{FAR_DEADLINE_MS, Harness};
use pomeloslip_gate::{Action, CallKey, End, Event, GateOptions};

fn harness() -> Harness {
    Harness::new(GateOptions::new(32, 24))
}

/// Runs a stream with the given gap between tokens for some time.
fn stream(harness: &mut Harness, key: CallKey, gap_us: u32, ms: u64) {
    for _ in 0..ms / 50 {
        for _ in 0..4 {
            harness.handle(Event::Token { key, gap_us });
        }
        harness.advance_ms(50);
        harness.offer_wanted();
    }
}

#[test]
fn fills_what_is_left_and_keeps_some_in_hand() {
    let mut harness = harness();
    harness.settle(24);
    let load = harness.gate.load(harness.now);
    assert_eq!((load.batch_running, load.batch_waiting), (24, 3));
    assert_eq!(harness.gate.batch_wanted(harness.now), 0);
    // The next item starts when one ends, without a pull in between.
    let ended = harness.starts()[0];
    harness.advance_ms(50);
    harness.end(ended);
    assert_eq!(harness.starts().len(), 1);
}

// Guards against gaps of 150 ms every second between the tokens of a chat.
// Items of similar length that start together also end together, and are then
// prefilled together.
#[test]
fn starts_are_spread() {
    let mut harness = harness();
    let mut max = 0;
    for _ in 0..20 {
        harness.offer_wanted();
        harness.advance_ms(50);
        max = max.max(harness.starts().len());
    }
    assert_eq!(harness.batch_running(), 24);
    assert!(max <= 4, "{max} in 50 ms");
}

// A burst prevents further items from starting even before it has used up the
// free slots.
#[test]
fn no_item_starts_in_a_burst() {
    let mut harness = harness();
    harness.settle(24);
    harness.advance_ms(10_000);
    let items = harness.starts();
    for _ in 0..12 {
        harness.arrive().unwrap();
        harness.advance_ms(50);
    }
    let mut stopped = harness.stops();
    for key in items.into_iter().take(6) {
        let call = harness.arrive().unwrap();
        harness.end(key);
        harness.advance_ms(50);
        let actions = harness.take_actions();
        let starts = actions
            .iter()
            .filter(|action| matches!(action, Action::Start(_)));
        assert!(starts.eq([&Action::Start(call)]));
        stopped.extend(actions.iter().filter_map(|action| match action {
            Action::Stop(key, _) => Some(*key),
            _ => None,
        }));
    }
    // Items that are already running continue as long as slots are free.
    assert!(stopped.len() < 12, "{}", stopped.len());
}

#[test]
fn falls_while_tokens_come_too_slowly_and_rises_again() {
    let mut harness = harness();
    let call = harness.arrive().unwrap();
    harness.handle(Event::StreamStarted(call));
    harness.handle(Event::FirstToken(call));
    harness.offer_wanted();
    stream(&mut harness, call, 60_000, 2_000);
    let low = harness.gate.load(harness.now).batch_limit;
    assert!(low <= 2, "{low}");
    stream(&mut harness, call, 10_000, 4_000);
    assert_eq!(harness.gate.load(harness.now).batch_limit, 24);
}

#[test]
fn limit_follows_batch_latency_without_online_calls() {
    let mut harness = harness();
    harness.settle(24);
    for _ in 0..8 {
        let running = harness.starts();
        harness.now = harness.now.saturating_add_ms(500);
        // 8 tokens in 500 ms are 62 ms apart; the target is 30 ms.
        for key in running {
            let end = End::Done { tokens: 8 };
            harness.handle(Event::Ended { key, end });
        }
        harness.handle(Event::Tick);
        harness.offer_wanted();
    }
    let limit = harness.gate.load(harness.now).batch_limit;
    assert!((1..12).contains(&limit), "{limit}");
}

#[test]
fn stops_items_when_a_first_token_is_late() {
    let mut harness = harness();
    harness.settle(24);
    let call = harness.arrive().unwrap();
    harness.handle(Event::StreamStarted(call));
    harness.take_actions();
    harness.advance_ms(1_000);
    assert!(harness.batch_running() <= 12, "{}", harness.batch_running());
}

// Guards against a wait of the first calls of a burst although batch is
// preempted. If no slot is free beforehand, each call takes the slot of an
// item that the engine drops only at its next write.
#[test]
fn a_burst_finds_free_places() {
    let mut harness = harness();
    harness.settle(24);
    let mut min_free = u32::MAX;
    for _ in 0..20 {
        harness.arrive().unwrap();
        let running = harness.gate.load(harness.now).running;
        min_free = min_free.min(32 - running);
        harness.now = harness.now.saturating_add_ms(10);
    }
    assert!(min_free >= 3, "{min_free}");
    assert_eq!(harness.batch_running(), 0);
    assert!(harness.gate.batch_wanted(harness.now) <= 1);
}

#[test]
fn comes_back_within_seconds_after_a_burst() {
    let mut harness = harness();
    harness.settle(24);
    let calls: Vec<_> =
        (0..30).filter_map(|_| harness.arrive().ok()).collect();
    assert_eq!(harness.batch_running(), 0);
    harness.advance_ms(250);
    for key in calls {
        harness.end(key);
    }
    let ms = (0..40).find(|_| {
        harness.offer_wanted();
        harness.advance_ms(50);
        harness.batch_running() >= 24
    });
    assert!(ms.is_some_and(|ticks| ticks * 50 <= 2_000), "{ms:?}");
}

#[test]
fn single_calls_stop_no_items() {
    let mut harness = harness();
    harness.settle(24);
    for _ in 0..20 {
        let call = harness.arrive().unwrap();
        harness.advance_ms(200);
        harness.end(call);
        harness.offer_wanted();
    }
    assert!(harness.stops().is_empty());
}

#[test]
fn keeps_places_for_items_that_are_due() {
    let mut harness = harness();
    for _ in 0..6 {
        harness.offer(0);
    }
    for _ in 0..40 {
        let _ = harness.arrive();
    }
    // Batch keeps one eighth of the slots; online calls have all others.
    let load = harness.gate.load(harness.now);
    assert_eq!((load.running, load.batch_running), (32, 4));
}

#[test]
fn the_floor_rises_with_time() {
    let mut harness = harness();
    let calls: Vec<_> =
        (0..40).filter_map(|_| harness.arrive().ok()).collect();
    // No item runs, but one is requested, to know its deadline.
    assert_eq!(harness.gate.batch_wanted(harness.now), 1);
    let item = harness.offer(4_000_000);
    harness.take_actions();
    harness.advance_ms(5_050);
    assert_eq!(harness.take_actions().last(), Some(&Action::Return(item)));
    // A slot that a call frees goes to the floor before the waiting calls.
    let urgent = harness.offer(1_000_000);
    harness.arrive().unwrap();
    assert!(harness.starts().is_empty());
    harness.end(calls[0]);
    assert_eq!(harness.starts(), [urgent]);
}

#[test]
fn items_in_hand_are_taken_earliest_first_within_a_customer() {
    let mut harness = Harness::new(GateOptions::new(1, 1));
    let running = harness.offer(FAR_DEADLINE_MS);
    let first = harness.offer(FAR_DEADLINE_MS);
    harness.offer(FAR_DEADLINE_MS);
    harness.take_actions();
    harness.end(running);
    assert_eq!(harness.starts(), [first]);
}
