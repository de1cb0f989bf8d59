//! Online calls: places, queue, refusals, fair turns.

mod common;

use common::{FAR_MS, Stand};
use pomeloslip_gate::{
    Action, CallKey, Event, GateOptions, Policy, RejectReason, StopReason,
};
use yare::parameterized;

fn stand(max_running: u32, batch_max: u32) -> Stand {
    Stand::new(GateOptions::new(max_running, batch_max))
}

#[test]
fn starts_at_once_while_there_is_a_place() {
    let mut stand = stand(4, 2);
    let keys: Vec<CallKey> = (0..4).map(|_| stand.arrive().unwrap()).collect();
    assert_eq!(stand.starts(), keys);
}

// Symptom: a chat waits for as long as a batch item runs. Sequence: batch
// fills the engine, then a call comes. Cause: a gate without preemption.
#[test]
fn takes_the_place_of_the_youngest_item() {
    let mut stand = stand(4, 4);
    stand.settle(2);
    let items = stand.starts();
    for _ in 0..2 {
        stand.arrive().unwrap();
    }
    // All places are taken; the reserve was used up and is made again.
    assert_eq!(stand.stops(), [items[1], items[0]]);
    assert_eq!(stand.gate.load(stand.now).running, 2);
}

#[test]
fn waits_only_behind_online_calls() {
    let mut stand = stand(2, 2);
    let first = stand.arrive().unwrap();
    stand.arrive().unwrap();
    let third = stand.arrive().unwrap();
    stand.offer(FAR_MS);
    stand.take();
    stand.end(first);
    assert_eq!(stand.take(), [Action::Start(third)]);
}

#[test]
fn refuses_at_once_when_the_wait_would_be_too_long() {
    let mut stand = stand(1, 0);
    let first = stand.arrive().unwrap();
    // A call takes 2 s, and the promise is 1.4 s.
    stand.pass_ms(2_000);
    stand.end(first);
    stand.arrive().unwrap();
    stand.arrive().unwrap();
    let refused = stand.arrive().unwrap_err();
    assert_eq!(refused.reason, RejectReason::Full);
    // Two calls ahead of it, each of 2 s, but for what has passed.
    assert_eq!(refused.retry_after_ms, 4_000);
}

#[test]
fn bounds_the_queue_in_number() {
    let mut options = GateOptions::new(1, 0).targets(60_000, 30);
    options.queue_max = 4;
    let mut stand = Stand::new(options);
    for _ in 0..4 {
        stand.arrive().unwrap();
    }
    // Three wait, which is what one customer may; others have one left.
    assert_eq!(stand.arrive().unwrap_err().reason, RejectReason::Full);
    stand.arrive_of("other", 1).unwrap();
    assert!(stand.arrive_of("third", 1).is_err());
    assert_eq!(stand.gate.load(stand.now).waiting, 4);
}

#[test]
fn gives_up_a_call_that_has_waited_too_long() {
    let mut stand = stand(1, 0);
    stand.arrive().unwrap();
    let waiting = stand.arrive().unwrap();
    stand.take();
    stand.pass_ms(3_000);
    let [Action::Reject(key, refused)] = stand.take()[..] else {
        panic!("one call is given up");
    };
    assert_eq!((key, refused.reason), (waiting, RejectReason::Full));
    assert!(refused.retry_after_ms >= 1_000);
    assert_eq!(stand.gate.len(), 1);
}

#[test]
fn forgets_a_caller_that_left_the_queue() {
    let mut stand = stand(1, 0);
    let running = stand.arrive().unwrap();
    let left = stand.arrive().unwrap();
    let next = stand.arrive().unwrap();
    stand.handle(Event::CallerLeft(left));
    stand.take();
    stand.end(running);
    assert_eq!(stand.starts(), [next]);
}

#[parameterized(
    equal = { 1, 3 },
    double = { 2, 4 },
)]
fn shares_places_by_weight(weight: u32, of_heavy: usize) {
    let mut options = GateOptions::new(1, 0).targets(60_000, 30);
    options.queue_max = 16;
    let mut stand = Stand::new(options);
    let mut running = stand.arrive().unwrap();
    let mut heavy = Vec::new();
    for _ in 0..6 {
        heavy.push(stand.arrive_of("heavy", weight).unwrap());
    }
    for _ in 0..6 {
        stand.arrive_of("light", 1).unwrap();
    }
    let mut started = Vec::new();
    for _ in 0..6 {
        stand.take();
        stand.end(running);
        running = stand.starts()[0];
        started.push(running);
    }
    let count = started.iter().filter(|key| heavy.contains(key)).count();
    assert_eq!(count, of_heavy);
}

#[test]
fn a_fixed_share_keeps_batch_and_online_apart() {
    let options = GateOptions::new(4, 2).policy(Policy::FixedShare);
    let mut stand = Stand::new(options);
    for _ in 0..3 {
        stand.offer(FAR_MS);
        stand.arrive().unwrap();
    }
    let load = stand.gate.load(stand.now);
    assert_eq!((load.running, load.batch_running, load.waiting), (4, 2, 1));
    assert!(stand.stops().is_empty());
}

#[test]
fn an_open_gate_lets_everything_through() {
    let options = GateOptions::new(2, 1).policy(Policy::Open);
    let mut stand = Stand::new(options);
    for _ in 0..5 {
        stand.offer(FAR_MS);
        stand.arrive().unwrap();
    }
    let load = stand.gate.load(stand.now);
    assert_eq!((load.running, load.batch_running), (7, 2));
}

#[test]
fn stops_are_no_attempts_when_they_give_way() {
    let mut stand = stand(1, 1);
    let item = stand.offer(FAR_MS);
    let chat = stand.arrive().unwrap();
    let stop = Action::Stop(item, StopReason::Preempted);
    let start = [Action::Start(item), stop, Action::Start(chat)];
    assert_eq!(stand.take(), start);
}
