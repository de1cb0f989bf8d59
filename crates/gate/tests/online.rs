//! Online calls: slots, queue, rejections and fairness.

mod common;

use common::{FAR_DEADLINE_MS, Harness};
use pomeloslip_gate::{
    Action, CallKey, Event, GateOptions, Policy, RejectReason, StopReason,
};
use yare::parameterized;

fn harness(max_running: u32, batch_max: u32) -> Harness {
    Harness::new(GateOptions::new(max_running, batch_max))
}

#[test]
fn starts_at_once_while_there_is_a_place() {
    let mut harness = harness(4, 2);
    let keys: Vec<CallKey> =
        (0..4).map(|_| harness.arrive().unwrap()).collect();
    assert_eq!(harness.starts(), keys);
}

// Guards against a chat that waits as long as a batch item runs. Without
// preemption, batch fills the engine before the call arrives.
#[test]
fn preempts_the_newest_item() {
    let mut harness = harness(4, 4);
    harness.settle(2);
    let items = harness.starts();
    for _ in 0..2 {
        harness.arrive().unwrap();
    }
    // All slots are taken; the reserve is used up and refilled.
    assert_eq!(harness.stops(), [items[1], items[0]]);
    assert_eq!(harness.gate.load(harness.now).running, 2);
}

#[test]
fn waits_only_behind_online_calls() {
    let mut harness = harness(2, 2);
    let first = harness.arrive().unwrap();
    harness.arrive().unwrap();
    let third = harness.arrive().unwrap();
    harness.offer(FAR_DEADLINE_MS);
    harness.take_actions();
    harness.end(first);
    assert_eq!(harness.take_actions(), [Action::Start(third)]);
}

#[test]
fn refuses_at_once_when_the_wait_would_be_too_long() {
    let mut harness = harness(1, 0);
    let first = harness.arrive().unwrap();
    // A call takes 2 s, and the target is 1.4 s.
    harness.advance_ms(2_000);
    harness.end(first);
    harness.arrive().unwrap();
    harness.arrive().unwrap();
    let refused = harness.arrive().unwrap_err();
    assert_eq!(refused.reason, RejectReason::Full);
    // Two calls of 2 s each are ahead of it; elapsed time is not deducted.
    assert_eq!(refused.retry_after_ms, 4_000);
}

#[test]
fn bounds_the_queue_in_number() {
    let mut options = GateOptions::new(1, 0).targets(60_000, 30);
    options.queue_max = 4;
    let mut harness = Harness::new(options);
    for _ in 0..4 {
        harness.arrive().unwrap();
    }
    // Three calls wait, the maximum for one customer; one slot in the queue is
    // leaving for others.
    assert_eq!(harness.arrive().unwrap_err().reason, RejectReason::Full);
    harness.arrive_as("other", 1).unwrap();
    assert!(harness.arrive_as("third", 1).is_err());
    assert_eq!(harness.gate.load(harness.now).waiting, 4);
}

#[test]
fn gives_up_a_call_that_has_waited_too_long() {
    let mut harness = harness(1, 0);
    harness.arrive().unwrap();
    let waiting = harness.arrive().unwrap();
    harness.take_actions();
    harness.advance_ms(3_000);
    let [Action::Reject(key, refused)] = harness.take_actions()[..] else {
        panic!("one call is given up");
    };
    assert_eq!((key, refused.reason), (waiting, RejectReason::Full));
    assert!(refused.retry_after_ms >= 1_000);
    assert_eq!(harness.gate.len(), 1);
}

#[test]
fn forgets_a_caller_that_left_the_queue() {
    let mut harness = harness(1, 0);
    let running = harness.arrive().unwrap();
    let leaving = harness.arrive().unwrap();
    let next = harness.arrive().unwrap();
    harness.handle(Event::CallerLeft(leaving));
    harness.take_actions();
    harness.end(running);
    assert_eq!(harness.starts(), [next]);
}

#[parameterized(
    equal = { 1, 3 },
    double = { 2, 4 },
)]
fn shares_places_by_weight(weight: u32, of_heavy: usize) {
    let mut options = GateOptions::new(1, 0).targets(60_000, 30);
    options.queue_max = 16;
    let mut harness = Harness::new(options);
    let mut running = harness.arrive().unwrap();
    let mut heavy = Vec::new();
    for _ in 0..6 {
        heavy.push(harness.arrive_as("heavy", weight).unwrap());
    }
    for _ in 0..6 {
        harness.arrive_as("light", 1).unwrap();
    }
    let mut started = Vec::new();
    for _ in 0..6 {
        harness.take_actions();
        harness.end(running);
        running = harness.starts()[0];
        started.push(running);
    }
    let count = started.iter().filter(|key| heavy.contains(key)).count();
    assert_eq!(count, of_heavy);
}

#[test]
fn a_fixed_share_keeps_batch_and_online_apart() {
    let options = GateOptions::new(4, 2).policy(Policy::FixedShare);
    let mut harness = Harness::new(options);
    for _ in 0..3 {
        harness.offer(FAR_DEADLINE_MS);
        harness.arrive().unwrap();
    }
    let load = harness.gate.load(harness.now);
    assert_eq!((load.running, load.batch_running, load.waiting), (4, 2, 1));
    assert!(harness.stops().is_empty());
}

#[test]
fn an_open_gate_lets_everything_through() {
    let options = GateOptions::new(2, 1).policy(Policy::Open);
    let mut harness = Harness::new(options);
    for _ in 0..5 {
        harness.offer(FAR_DEADLINE_MS);
        harness.arrive().unwrap();
    }
    let load = harness.gate.load(harness.now);
    assert_eq!((load.running, load.batch_running), (7, 2));
}

#[test]
fn preempted_items_count_no_attempt() {
    let mut harness = harness(1, 1);
    let item = harness.offer(FAR_DEADLINE_MS);
    let chat = harness.arrive().unwrap();
    let stop = Action::Stop(item, StopReason::Preempted);
    let start = [Action::Start(item), stop, Action::Start(chat)];
    assert_eq!(harness.take_actions(), start);
}
