//! Stalls, restarts and leaving.

mod common;

use common::{FAR_MS, Stand};
use pomeloslip_gate::{
    Action, End, Event, GateOptions, RejectReason, StopReason,
};

fn stand() -> Stand {
    Stand::new(GateOptions::new(4, 2))
}

/// Starts a stream that has given a token.
fn stream(stand: &mut Stand) -> pomeloslip_gate::CallKey {
    let key = stand.arrive().expect("a place");
    stand.handle(Event::StreamStarted(key));
    stand.handle(Event::FirstToken(key));
    key
}

// Symptom: calls go to an engine that answers none. Sequence: it stops
// decoding, its port and health page go on. Cause: only progress shows it.
#[test]
fn a_stall_refuses_calls_and_gives_items_back_as_lost() {
    let mut stand = stand();
    let item = stand.offer(FAR_MS);
    let key = stream(&mut stand);
    for _ in 0..3 {
        stream(&mut stand);
    }
    let waiting = stand.arrive().unwrap();
    stand.pass_ms(2_700);
    stand.handle(Event::Token { key, gap_us: 1 });
    stand.take();
    stand.pass_ms(5_000);
    let actions = stand.take();
    assert!(!actions.contains(&Action::Start(waiting)));
    assert!(stand.gate.load(stand.now).stalled);
    assert_eq!(stand.gate.batch_wanted(stand.now), 0);
    let refused = stand.arrive().unwrap_err();
    assert_eq!(refused.reason, RejectReason::Stalled);
    assert_eq!(refused.retry_after_ms, 5_000);
    // It gave way to the fourth call before that.
    assert!(!actions.contains(&Action::Stop(item, StopReason::Stalled)));

    stand.handle(Event::Token { key, gap_us: 1 });
    assert!(!stand.gate.load(stand.now).stalled);
}

#[test]
fn items_of_a_stalled_engine_count_an_attempt() {
    let mut stand = stand();
    let item = stand.offer(FAR_MS);
    stream(&mut stand);
    stand.take();
    stand.pass_ms(5_000);
    let stop = Action::Stop(item, StopReason::Stalled);
    assert_eq!(stand.take(), [stop]);
}

#[test]
fn answers_without_progress_are_no_stall() {
    let mut stand = stand();
    stand.offer(FAR_MS);
    stand.arrive().unwrap();
    stand.pass_ms(60_000);
    assert!(!stand.gate.load(stand.now).stalled);
}

#[test]
fn a_stalled_engine_is_tried_with_one_call_at_a_time() {
    let mut stand = stand();
    let key = stream(&mut stand);
    stand.pass_ms(5_000);
    let end = End::Failed;
    stand.handle(Event::Ended { key, end });
    stand.take();
    let first = stand.arrive().unwrap();
    assert_eq!(stand.take(), [Action::Start(first)]);
    assert!(stand.arrive().is_err());
    stand.handle(Event::FirstToken(first));
    stand.arrive().unwrap();
    assert_eq!(stand.gate.load(stand.now).running, 2);
}

#[test]
fn a_restart_forgets_what_was_measured() {
    let mut stand = stand();
    let key = stream(&mut stand);
    for _ in 0..40 {
        let gap_us = 90_000;
        stand.handle(Event::Token { key, gap_us });
        stand.pass_ms(50);
    }
    let load = stand.gate.load(stand.now);
    assert_eq!((load.batch_limit, load.between_tokens_ms), (0, 90));
    stand.handle(Event::Restarted);
    let load = stand.gate.load(stand.now);
    assert_eq!((load.batch_limit, load.between_tokens_ms), (2, 0));
}

#[test]
fn leaving_cuts_nothing_short() {
    let mut stand = Stand::new(GateOptions::new(1, 1));
    let running = stand.arrive().unwrap();
    let waiting = stand.arrive().unwrap();
    let item = stand.offer(FAR_MS);
    stand.take();
    stand.handle(Event::Drain);
    assert_eq!(stand.take(), [Action::Return(item)]);
    let refused = stand.arrive().unwrap_err();
    assert_eq!(refused.reason, RejectReason::Leaving);
    // A pull that was under way brings one more.
    let late = stand.offer(FAR_MS);
    assert_eq!(stand.take(), [Action::Return(late)]);
    stand.end(running);
    assert_eq!(stand.take(), [Action::Start(waiting)]);
    stand.end(waiting);
    assert!(stand.gate.is_empty());
}

#[test]
fn a_stopped_item_is_known_until_it_has_ended() {
    let mut stand = Stand::new(GateOptions::new(1, 1));
    let item = stand.offer(FAR_MS);
    let call = stand.arrive().unwrap();
    assert_eq!(stand.gate.len(), 2);
    let end = End::Failed;
    stand.handle(Event::Ended { key: item, end });
    stand.end(call);
    // A second report has no effect.
    stand.end(call);
    assert!(stand.gate.is_empty());
    assert_eq!(stand.gate.load(stand.now).running, 0);
}
