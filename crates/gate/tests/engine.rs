//! Stalls, restarts and draining.

mod common;

use common::{FAR_DEADLINE_MS, Harness};
use pomeloslip_gate::{
    Action, End, Event, GateOptions, RejectReason, StopReason,
};

fn harness() -> Harness {
    Harness::new(GateOptions::new(4, 2))
}

/// Starts a stream that has produced a token.
fn stream(harness: &mut Harness) -> pomeloslip_gate::CallKey {
    let key = harness.arrive().expect("a slot");
    harness.handle(Event::StreamStarted(key));
    harness.handle(Event::FirstToken(key));
    key
}

// Guards against calls to an engine that answers none. When it stops decoding,
// its port and health endpoint still respond; only missing progress shows the
// stall.
#[test]
fn a_stall_refuses_calls_and_gives_items_back_as_lost() {
    let mut harness = harness();
    let item = harness.offer(FAR_DEADLINE_MS);
    let key = stream(&mut harness);
    for _ in 0..3 {
        stream(&mut harness);
    }
    let waiting = harness.arrive().unwrap();
    harness.advance_ms(2_700);
    harness.handle(Event::Token { key, gap_us: 1 });
    harness.take_actions();
    harness.advance_ms(5_000);
    let actions = harness.take_actions();
    assert!(!actions.contains(&Action::Start(waiting)));
    assert!(harness.gate.load(harness.now).stalled);
    assert_eq!(harness.gate.batch_wanted(harness.now), 0);
    let refused = harness.arrive().unwrap_err();
    assert_eq!(refused.reason, RejectReason::Stalled);
    assert_eq!(refused.retry_after_ms, 5_000);
    // The item was preempted by the fourth call before that.
    assert!(!actions.contains(&Action::Stop(item, StopReason::Stalled)));

    harness.handle(Event::Token { key, gap_us: 1 });
    assert!(!harness.gate.load(harness.now).stalled);
}

#[test]
fn items_of_an_engine_that_stays_stalled_count_an_attempt() {
    let mut harness = harness();
    let item = harness.offer(FAR_DEADLINE_MS);
    stream(&mut harness);
    harness.take_actions();
    harness.advance_ms(30_000);
    let stop = Action::Stop(item, StopReason::Stalled);
    assert_eq!(harness.take_actions(), [stop]);
    harness.advance_ms(30_000);
    assert_eq!(harness.take_actions(), []);
}

// Guards against items that are lost because a sound engine was silent.
#[test]
fn items_of_an_engine_that_goes_on_after_a_stall_are_kept() {
    let mut harness = harness();
    harness.offer(FAR_DEADLINE_MS);
    let key = stream(&mut harness);
    harness.take_actions();
    harness.advance_ms(2_500);
    harness.advance_ms(3_000);
    assert!(harness.gate.load(harness.now).stalled);
    assert_eq!(harness.take_actions(), []);
    harness.handle(Event::Token { key, gap_us: 1 });
    assert!(!harness.gate.load(harness.now).stalled);
    harness.advance_ms(29_000);
    assert_eq!(harness.take_actions(), []);
}

#[test]
fn answers_without_progress_are_no_stall() {
    let mut harness = harness();
    harness.offer(FAR_DEADLINE_MS);
    harness.arrive().unwrap();
    harness.advance_ms(60_000);
    assert!(!harness.gate.load(harness.now).stalled);
}

#[test]
fn a_stalled_engine_is_tried_with_one_call_at_a_time() {
    let mut harness = harness();
    let key = stream(&mut harness);
    harness.advance_ms(5_000);
    let end = End::Failed;
    harness.handle(Event::Ended { key, end });
    harness.take_actions();
    let first = harness.arrive().unwrap();
    assert_eq!(harness.take_actions(), [Action::Start(first)]);
    assert!(harness.arrive().is_err());
    harness.handle(Event::FirstToken(first));
    harness.arrive().unwrap();
    assert_eq!(harness.gate.load(harness.now).running, 2);
}

#[test]
fn a_restart_forgets_what_was_measured() {
    let mut harness = harness();
    let key = stream(&mut harness);
    for _ in 0..40 {
        let gap_us = 90_000;
        harness.handle(Event::Token { key, gap_us });
        harness.advance_ms(50);
    }
    let load = harness.gate.load(harness.now);
    assert_eq!((load.batch_limit, load.between_tokens_ms), (0, 90));
    harness.handle(Event::Restarted);
    let load = harness.gate.load(harness.now);
    assert_eq!((load.batch_limit, load.between_tokens_ms), (2, 0));
}

#[test]
fn draining_interrupts_no_call() {
    let mut harness = Harness::new(GateOptions::new(1, 1));
    let running = harness.arrive().unwrap();
    let waiting = harness.arrive().unwrap();
    let item = harness.offer(FAR_DEADLINE_MS);
    harness.take_actions();
    harness.handle(Event::Drain);
    assert_eq!(harness.take_actions(), [Action::Return(item)]);
    let refused = harness.arrive().unwrap_err();
    assert_eq!(refused.reason, RejectReason::Leaving);
    // A pull in flight delivers one more item.
    let late = harness.offer(FAR_DEADLINE_MS);
    assert_eq!(harness.take_actions(), [Action::Return(late)]);
    harness.end(running);
    assert_eq!(harness.take_actions(), [Action::Start(waiting)]);
    harness.end(waiting);
    assert!(harness.gate.is_empty());
}

#[test]
fn a_stopped_item_is_known_until_it_has_ended() {
    let mut harness = Harness::new(GateOptions::new(1, 1));
    let item = harness.offer(FAR_DEADLINE_MS);
    let call = harness.arrive().unwrap();
    assert_eq!(harness.gate.len(), 2);
    let end = End::Failed;
    harness.handle(Event::Ended { key: item, end });
    harness.end(call);
    // A second report has no effect.
    harness.end(call);
    assert!(harness.gate.is_empty());
    assert_eq!(harness.gate.load(harness.now).running, 0);
}
