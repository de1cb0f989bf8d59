//! Selection of the next entry to pull from, on a simulated clock.

#[path = "../src/rota.rs"]
mod rota;

use std::net::SocketAddr;

use base::Millis;
use rota::PullSchedule;

fn entries(count: u16) -> Vec<SocketAddr> {
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    (1..=count).map(address).collect()
}

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

#[test]
fn pulls_again_at_once_from_the_entry_that_had_work() {
    let all = entries(3);
    let mut schedule = PullSchedule::new(&all, 1);
    assert_eq!(schedule.next(at(0)), Some(all[1]));
    schedule.record_reply(all[1], at(1), 4, 500, 0.5);
    assert_eq!(schedule.next(at(1)), Some(all[1]));
    schedule.record_reply(all[1], at(2), 0, 500, 0.5);
    assert_eq!(schedule.next(at(2)), Some(all[2]));
}

#[test]
fn an_entry_has_one_pull_at_a_time() {
    let all = entries(2);
    let mut schedule = PullSchedule::new(&all, 0);
    assert_eq!(schedule.next(at(0)), Some(all[0]));
    assert_eq!(schedule.next(at(0)), Some(all[1]));
    assert_eq!(schedule.next(at(0)), None);
}

// 2,200 companions must not poll 340 entries continuously while no entry has
// work.
#[test]
fn pauses_grow_to_two_seconds_and_end_with_work() {
    let all = entries(2);
    let mut schedule = PullSchedule::new(&all, 0);
    let mut now_ms = 0;
    let mut pauses = Vec::new();
    for _ in 0..6 {
        let from_ms = now_ms;
        let entry = loop {
            match schedule.next(at(now_ms)) {
                Some(entry) => break entry,
                None => now_ms += 1,
            }
        };
        pauses.push(now_ms - from_ms);
        schedule.record_reply(entry, at(now_ms), 0, 500, 0.5);
    }
    assert_eq!(pauses, [0, 0, 500, 1_000, 2_000, 2_000]);
    while schedule.next(at(now_ms)).is_none() {
        now_ms += 1;
    }
    schedule.record_reply(all[0], at(now_ms), 1, 500, 0.5);
    assert_eq!(schedule.next(at(now_ms)), Some(all[0]));
}

#[test]
fn jitter_spreads_the_pauses() {
    let all = entries(1);
    let first_after = |jitter| {
        let mut schedule = PullSchedule::new(&all, 0);
        schedule.next(at(0));
        schedule.record_reply(all[0], at(0), 0, 400, jitter);
        (0..).find(|ms| schedule.next(at(*ms)).is_some())
    };
    assert_eq!(first_after(0.0), Some(200));
    assert_eq!(first_after(1.0), Some(600));
}

#[test]
fn an_entry_that_does_not_respond_is_skipped_for_a_while() {
    let all = entries(2);
    let mut schedule = PullSchedule::new(&all, 0);
    assert_eq!(schedule.next(at(0)), Some(all[0]));
    schedule.record_failure(all[0], at(0));
    assert_eq!(schedule.next(at(0)), Some(all[1]));
    schedule.record_reply(all[1], at(0), 1, 0, 0.5);
    schedule.next(at(0));
    assert_eq!(schedule.next(at(4_999)), None);
    assert_eq!(schedule.next(at(5_000)), Some(all[0]));
}
