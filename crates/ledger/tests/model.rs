//! Randomized check of the ledger against a fake service.
//!
//! Symptom looked for: an item that is in two committed results or in none,
//! or a commit by an owner whose partition has another one. Events: pauses
//! past the lease, crashes, lost answers before and after the effect, late
//! and doubled calls, messages out of order, outages. `LEDGER_SEED=n cargo
//! test -p pomeloslip-ledger --test model` replays one seed.

mod world;

use std::{ops::Range, thread};

use pomeloslip_ledger::InjectedFault;

use self::world::{Seen, World};

const SEEDS: u64 = 300;
const THREADS: u64 = 4;

/// Messages at each of which an owner crashes once.
const CRASHES: u64 = 800;

fn seeds() -> Range<u64> {
    let replay = std::env::var("LEDGER_SEED");
    match replay.ok().and_then(|seed| seed.parse().ok()) {
        Some(seed) => seed..seed + 1,
        None => 0..SEEDS,
    }
}

/// Runs a world for each number and adds up what was seen.
fn in_threads(numbers: Range<u64>, make: fn(u64) -> World) -> Seen {
    let run = |at: u64| {
        let mut total = Seen::default();
        for number in numbers.clone().filter(|n| n % THREADS == at) {
            let seen = make(number).run();
            total += seen.unwrap_or_else(|why| panic!("seed {number}: {why}"));
        }
        total
    };
    let run = &run;
    let mut total = Seen::default();
    thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|at| scope.spawn(move || run(at)))
            .collect();
        for thread in threads {
            total += thread.join().expect("no promise is broken");
        }
    });
    total
}

/// Returns the first seed whose run breaks a promise.
fn first_broken(injected_fault: InjectedFault) -> Option<(u64, String)> {
    (0..SEEDS).find_map(|seed| {
        let why = World::new(seed, Some(injected_fault)).run().err()?;
        Some((seed, why))
    })
}

#[test]
fn every_item_is_committed_exactly_once() {
    let total = in_threads(seeds(), |seed| World::new(seed, None));
    println!("{total:?}");
    if seeds().count() > 1 {
        // The check is worth nothing if the faults did not happen.
        assert!(total.refused_stale > 0, "no stale owner tried to commit");
        assert!(total.cancelled_jobs > 0, "no job was cancelled");
    }
}

/// Symptom: a job is not ended, or an item is there twice, after an owner
/// died. Events: it dies at any one message, also with a call on its way.
#[test]
fn a_crash_at_each_step_loses_nothing() {
    let total = in_threads(0..CRASHES, |at| World::with_crash(1, at));
    assert!(total.completed_jobs > CRASHES, "{total:?}");
}

/// Symptom: a partition's former owner changes a job. Events: its
/// transaction is on its way while its lease ends and another entry claims
/// the partition. Cause: the transaction does not compare the fencing number.
#[test]
fn a_missing_fence_is_found() {
    let (seed, why) = first_broken(InjectedFault::NoFence).expect("a finding");
    println!("seed {seed}: {why}");
    assert!(why.contains("committed to partition"), "{why}");
}

/// Symptom: a committed result moves to another piece or is there twice.
/// Events: the answer to a commit is lost after it took effect, and the owner
/// commits the items anew. Cause: the operation id is not read back.
#[test]
fn a_missing_read_back_is_found() {
    let found = first_broken(InjectedFault::NoReadBack);
    let (seed, why) = found.expect("a finding");
    println!("seed {seed}: {why}");
    assert!(why.contains("item "), "{why}");
}

#[test]
fn a_seed_gives_the_same_run_again() {
    let run = || World::new(7, None).run().map(|seen| seen.commits);
    assert_eq!(run(), run());
}
