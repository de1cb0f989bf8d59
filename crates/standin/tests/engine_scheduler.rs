//! The batching model of the stand-in engine, on stepped time.

use pomeloslip_standin::engine::{
    EngineSettings,
    scheduler::{Phase, Progress, Scheduler, SequenceKey, Work},
};
use yare::parameterized;

fn settings() -> EngineSettings {
    EngineSettings {
        max_running: 2,
        base_step_ms: 10.0,
        step_ms_per_running: 5.0,
        prefill_ms_per_token: 1.0,
        prefill_tokens_per_step: 50,
        kv_tokens: 1_000,
        prefix_cache_tokens: 160,
        ..EngineSettings::default()
    }
}

fn work(prefill: u32, target: u32) -> Work {
    Work {
        prefill_tokens: prefill,
        target_tokens: target,
        ..Work::default()
    }
}

/// Runs until nothing is due and returns when each token came, in ms.
fn run(scheduler: &mut Scheduler) -> Vec<(u64, SequenceKey, Progress)> {
    let mut seen = Vec::new();
    let mut now_us = 0;
    loop {
        for (key, progress) in scheduler.advance(now_us) {
            seen.push((now_us / 1_000, key, progress));
        }
        match scheduler.next_due_us() {
            Some(due_us) => now_us = due_us,
            None => return seen,
        }
    }
}

fn times_ms(
    seen: &[(u64, SequenceKey, Progress)],
    wanted: SequenceKey,
) -> Vec<u64> {
    let of_key = seen.iter().filter(|(_, key, _)| *key == wanted);
    of_key.map(|(at_ms, ..)| *at_ms).collect()
}

#[test]
fn streams_slow_down_as_the_batch_fills_and_the_third_waits() {
    let mut scheduler = Scheduler::new(&settings());
    let first = scheduler.submit(work(0, 3));
    let second = scheduler.submit(work(0, 2));
    let third = scheduler.submit(work(0, 1));
    let seen = run(&mut scheduler);
    assert_eq!(times_ms(&seen, first), [20, 40, 60]);
    assert_eq!(times_ms(&seen, second), [20, 40]);
    assert_eq!(times_ms(&seen, third), [60]);
    assert_eq!(scheduler.counts().completed, 3);
    assert_eq!(scheduler.counts().tokens, 6);
    assert_eq!(scheduler.counts().reserved_tokens, 0);
}

#[test]
fn prefill_is_spread_over_steps_and_delays_running_streams() {
    let mut scheduler = Scheduler::new(&settings());
    let chat = scheduler.submit(work(0, 3));
    let long = scheduler.submit(work(80, 1));
    let seen = run(&mut scheduler);
    // 50 tokens in the first step, 30 in the second.
    assert_eq!(times_ms(&seen, chat), [70, 120, 135]);
    assert_eq!(times_ms(&seen, long), [120]);
}

#[test]
fn a_cached_prefix_shortens_prefill() {
    let mut scheduler = Scheduler::new(&settings());
    let prompt = Work {
        blocks: vec![1, 2],
        ..work(40, 1)
    };
    scheduler.submit(prompt.clone());
    let cold = run(&mut scheduler);
    scheduler.submit(prompt);
    let warm = run(&mut scheduler);
    assert_eq!(cold[0].0, 55);
    assert_eq!(warm[0].0, 23);
    assert_eq!(warm[0].2.cached_tokens, 32);
    assert_eq!(scheduler.counts().cache_hit_tokens, 32);
}

#[test]
fn a_full_memory_keeps_the_line_in_order() {
    let mut scheduler = Scheduler::new(&settings());
    scheduler.submit(work(0, 600));
    let large = scheduler.submit(work(0, 500));
    let small = scheduler.submit(work(0, 1));
    let seen = run(&mut scheduler);
    let large_ms = times_ms(&seen, large);
    assert!(times_ms(&seen, small)[0] >= large_ms[0]);
    assert!(large_ms[0] > 600 * 15);
}

#[test]
fn a_slow_prompt_waits_before_its_first_token_only() {
    let mut scheduler = Scheduler::new(&settings());
    let slow = scheduler.submit(Work {
        slow_us: 100_000,
        ..work(0, 2)
    });
    let seen = run(&mut scheduler);
    assert_eq!(times_ms(&seen, slow), [115, 130]);
}

#[test]
fn a_stall_shifts_tokens_and_is_not_caught_up() {
    // Symptom: after a stall all missed tokens would come at once, which
    // hides the stall from whoever measures tokens per second.
    // Events: a stream runs; the engine stalls for a second; it goes on.
    // Cause: steps that ended during the stall were all counted at its end.
    let mut scheduler = Scheduler::new(&settings());
    let key = scheduler.submit(work(0, 3));
    scheduler.advance(0);
    scheduler.stall(10_000, 1_000_000);
    let seen = run(&mut scheduler);
    assert_eq!(times_ms(&seen, key), [1_015, 1_030, 1_045]);
}

#[test]
fn a_cancelled_sequence_makes_room_for_the_next() {
    let mut scheduler = Scheduler::new(&EngineSettings {
        max_running: 1,
        ..settings()
    });
    let first = scheduler.submit(work(10, 100));
    let second = scheduler.submit(work(0, 1));
    scheduler.advance(0);
    assert_eq!(scheduler.counts().waiting, 1);
    assert!(scheduler.cancel(first));
    assert!(!scheduler.cancel(first));
    let seen = run(&mut scheduler);
    assert_eq!(times_ms(&seen, second).len(), 1);
    assert_eq!(scheduler.counts().cancelled, 1);
    assert_eq!(scheduler.counts().reserved_tokens, 0);
}

#[test]
fn a_crash_cuts_running_and_waiting_sequences() {
    let mut scheduler = Scheduler::new(&settings());
    for _ in 0..3 {
        scheduler.submit(work(0, 5));
    }
    scheduler.advance(0);
    let cut = scheduler.cut_all();
    assert_eq!(cut.len(), 3);
    assert!(cut.iter().all(|(_, p)| p.phase == Phase::Cut));
    assert!(run(&mut scheduler).is_empty());
    assert_eq!(scheduler.counts().cut, 3);
    assert_eq!(scheduler.counts().reserved_tokens, 0);
}

#[parameterized(
    one = { 1 },
    many = { 40 },
)]
fn an_instant_engine_finishes_within_one_call(sequences: u64) {
    let mut scheduler = Scheduler::new(&EngineSettings::instant());
    for _ in 0..sequences {
        scheduler.submit(work(100, 16));
    }
    scheduler.advance(0);
    assert_eq!(scheduler.counts().completed, sequences);
    assert_eq!(scheduler.counts().tokens, sequences * 16);
    assert_eq!(scheduler.next_due_us(), None);
}
