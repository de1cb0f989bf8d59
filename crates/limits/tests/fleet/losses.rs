//! Requests that are refused below the limit when token servers are lost.

use yare::parameterized;

use crate::{
    scenario,
    scenario::{Demand, Faults, Scenario, Strategy},
};

/// Number of seeds of each scenario.
const SEEDS: u64 = 24;

/// Time for which callers retry, in milliseconds, in the scenarios with
/// retries: the maximum delay that a refusal states.
const PATIENCE_MS: u64 = 2_000;

/// Returns the number of requests that the seeds admit without faults and not
/// after the loss of token servers, and the number admitted without faults.
fn refused_below_limit(
    replicas: usize,
    demand: Demand,
    patience_ms: u64,
) -> (i64, i64) {
    let mut sums = (0, 0);
    for seed in 0..SEEDS {
        let make = |faults| Scenario {
            demand,
            faults,
            patience_ms,
            length_ms: 28_000,
            ..scenario(seed, Strategy::Replicated)
        };
        let count = |faults| {
            let outcome = make(faults).run();
            assert!(outcome.worst_excess <= 0.0, "seed {seed}: {outcome:#?}");
            outcome.admitted.iter().sum::<u32>()
        };
        let without = i64::from(count(Faults::None));
        let with = i64::from(count(Faults::LostServers(replicas)));
        sums = (sums.0 + without - with, sums.1 + without);
    }
    sums
}

/// Guards against customers that are refused below their limits after the loss
/// of token servers, because the servers that replace them know nothing of the
/// requests that were admitted before. `before` is the number that was refused
/// when servers started without history and leases lasted 1,500 ms.
#[parameterized(
    both_at_usual_rate_without_retries = { 2, Demand::Usual, 0, 1_102 },
    both_at_usual_rate_with_retries = { 2, Demand::Usual, PATIENCE_MS, 692 },
    both_at_4_times_the_limit = { 2, Demand::Over, 0, 4_295 },
    both_at_4_times_the_limit_with_retries = {
        2, Demand::Over, PATIENCE_MS, 4_322
    },
    one_at_usual_rate = { 1, Demand::Usual, 0, 209 },
    one_at_4_times_the_limit = { 1, Demand::Over, 0, 2_308 },
    one_at_4_times_the_limit_with_retries = {
        1, Demand::Over, PATIENCE_MS, 2_342
    },
)]
fn losses_refuse_a_tenth_of_before(
    replicas: usize,
    demand: Demand,
    patience_ms: u64,
    before: i64,
) {
    let (refused, admitted) =
        refused_below_limit(replicas, demand, patience_ms);
    println!(
        "{replicas} lost, {demand:?}, patience {patience_ms} ms: {refused} \
         of {admitted} refused below the limit, {before} before"
    );
    assert!(refused * 10 <= before, "{refused} refused, {before} before");
}
