//! Randomized model test of the ledger against a fake key-value service.
//!
//! Checks that each item is in exactly one committed result and that no owner
//! commits to a partition owned by another. Faults: pauses past the lease,
//! crashes, responses lost before and after the effect, delayed and duplicated
//! calls, reordered messages and outages. `LEDGER_SEED=n cargo test -p
//! pomeloslip-ledger --test model` replays one seed.

mod simulation;

use std::{ops::Range, thread};

use pomeloslip_ledger::InjectedFault;

use self::simulation::{RunStats, Simulation};

const SEEDS: u64 = 300;
const THREADS: u64 = 4;

/// Number of message positions at which an owner crashes, one per run.
const CRASH_POSITIONS: u64 = 800;

fn seeds() -> Range<u64> {
    let replay = std::env::var("LEDGER_SEED");
    match replay.ok().and_then(|seed| seed.parse().ok()) {
        Some(seed) => seed..seed + 1,
        None => 0..SEEDS,
    }
}

/// Runs a simulation for each number and sums up the statistics.
fn in_threads(numbers: Range<u64>, make: fn(u64) -> Simulation) -> RunStats {
    let run = |at: u64| {
        let mut total = RunStats::default();
        for number in numbers.clone().filter(|n| n % THREADS == at) {
            let stats = make(number).run();
            total += stats
                .unwrap_or_else(|reason| panic!("seed {number}: {reason}"));
        }
        total
    };
    let run = &run;
    let mut total = RunStats::default();
    thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|at| scope.spawn(move || run(at)))
            .collect();
        for thread in threads {
            total += thread.join().expect("no invariant is violated");
        }
    });
    total
}

/// Returns the first seed whose run violates an invariant.
fn first_violation(injected_fault: InjectedFault) -> Option<(u64, String)> {
    (0..SEEDS).find_map(|seed| {
        let reason =
            Simulation::new(seed, Some(injected_fault)).run().err()?;
        Some((seed, reason))
    })
}

#[test]
fn every_item_is_committed_exactly_once() {
    let total = in_threads(seeds(), |seed| Simulation::new(seed, None));
    println!("{total:?}");
    if seeds().count() > 1 {
        // The test proves nothing unless the faults occurred.
        assert!(total.refused_stale > 0, "no stale owner tried to commit");
        assert!(total.cancelled_jobs > 0, "no job was cancelled");
    }
}

/// Guards against unfinished jobs and duplicate items after an owner crashes
/// at any message, including while a call is in flight.
#[test]
fn a_crash_at_each_step_loses_nothing() {
    let total =
        in_threads(0..CRASH_POSITIONS, |at| Simulation::with_crash(1, at));
    assert!(total.completed_jobs > CRASH_POSITIONS, "{total:?}");
}

/// Verifies that the model detects a missing fencing token compare: the
/// transaction of a former owner is in flight while its lease ends and another
/// entry claims the partition.
#[test]
fn a_missing_fence_is_found() {
    let (seed, reason) =
        first_violation(InjectedFault::NoFence).expect("a finding");
    println!("seed {seed}: {reason}");
    assert!(reason.contains("committed to partition"), "{reason}");
}

/// Verifies that the model detects a missing read-back of the operation ID:
/// the response to a commit is lost after it took effect, and the owner
/// commits the items again, which duplicates or moves a committed result.
#[test]
fn a_missing_read_back_is_found() {
    let found = first_violation(InjectedFault::NoReadBack);
    let (seed, reason) = found.expect("a finding");
    println!("seed {seed}: {reason}");
    assert!(reason.contains("item "), "{reason}");
}

#[test]
fn a_seed_gives_the_same_run_again() {
    let run = || Simulation::new(7, None).run().map(|stats| stats.commits);
    assert_eq!(run(), run());
}
