//! Simulates bursts of streams to endpoints of unequal speed, with a stepped
//! clock and without a network. It uses the real choice of endpoints, the real
//! estimates and their exchange, and queues at the endpoints.
//!
//! Load: eighteen fronts send streams for 12 s to 54 endpoints with seven
//! slots each, whose work takes 0.6, 1 and 1.6 times the usual time. 250
//! streams per second take about half of the slots; every 3 s a burst of 480
//! per second for 0.6 s takes all of them. A stream takes 0.5 to 1 s at usual
//! speed, with an event every 25 ms. What a front knows of the others' load is
//! up to a tenth of a second old. Each endpoint is slower by a factor of 2.5
//! during 15 % of the time, for 600 ms at once, and reports this with each
//! response. Results count from 2 s on, when estimates exist.

#[path = "speed_burst/simulation.rs"]
mod simulation;

use pomeloslip_fleet::EndpointSpeed;
use simulation::{
    ENDPOINTS, FalseReport, Outcome, Scenario, Simulation, UNEQUAL,
    slowest_percent,
};
use yare::parameterized;

fn simulate(name: &str, scenario: Scenario) -> Outcome {
    let outcome = Simulation::new(scenario).run();
    outcome.print(name);
    outcome
}

/// Guards against slow endpoints that serve as many streams as fast ones
/// while slots of the fast ones are free, and against bursts that concentrate
/// on the fastest endpoints.
#[test]
fn slow_endpoints_serve_less_and_fast_ones_have_no_long_queue() {
    let off = Scenario {
        mode: EndpointSpeed::Off,
        ..UNEQUAL
    };
    for seed in 1..=3 {
        let before = simulate("off", Scenario { seed, ..off });
        let after = simulate("always", Scenario { seed, ..UNEQUAL });
        assert!(after.slowest_percent() <= 20.0);
        assert!(after.quantile_ms(99) < before.quantile_ms(99));
        assert!(after.longest_queue_at_fast <= 8);
        assert!(after.refused <= before.refused);
    }
}

/// Guards against long queues at the fastest endpoints, which all fronts
/// prefer, while all slots are needed.
#[test]
fn saturation_does_not_concentrate_on_the_fastest_endpoints() {
    let saturated = Scenario {
        is_saturated: true,
        ..UNEQUAL
    };
    let off = Scenario {
        mode: EndpointSpeed::Off,
        ..saturated
    };
    for seed in 1..=3 {
        let before = simulate("off, saturated", Scenario { seed, ..off });
        let scenario = Scenario { seed, ..saturated };
        let after = simulate("always, saturated", scenario);
        // All slots are in use, so little can be gained; a fifth more in the
        // queue of an endpoint that is faster by 40 % does not delay.
        let queue = before.longest_queue_at_fast;
        assert!(after.longest_queue_at_fast * 5 <= queue * 6);
        assert!(after.refused <= before.refused);
        assert!(after.quantile_ms(90) <= before.quantile_ms(90));
        let p99_ms = before.quantile_ms(99);
        assert!(after.quantile_ms(99) <= p99_ms + p99_ms / 20);
    }
}

/// Guards against a front without data from other nodes that places its
/// requests as if all endpoints were equal.
#[test]
fn an_isolated_front_uses_its_own_samples() {
    let scenario = Scenario {
        isolated: Some(3),
        ..UNEQUAL
    };
    let outcome = simulate("isolated front", scenario);
    let isolated = slowest_percent(outcome.streams_of_isolated);
    println!("slowest third at the isolated front: {isolated:.1} %");
    assert!(isolated <= 20.0);
    assert!(outcome.slowest_percent() <= 20.0);
}

/// Guards against an endpoint that attracts requests of others by false
/// reports. A slow one that always reports a slowdown gives no samples, so it
/// counts as usual, and gets at most as many streams as usual ones.
#[parameterized(
    one_percent = { FalseReport::Constant(1), 2 },
    largest_valid = { FalseReport::Constant(10_000), 1 },
    random = { FalseReport::Random, 1 },
)]
fn false_reports_of_one_endpoint_do_no_harm(
    false_report: FalseReport,
    third: usize,
) {
    let honest = simulate("honest", UNEQUAL);
    let scenario = Scenario {
        false_report: Some(false_report),
        ..UNEQUAL
    };
    let outcome = simulate("false reports", scenario);
    // Slow endpoints get few streams each, so their numbers vary by more.
    let in_third = outcome.streams_by_third[third];
    let max = match third {
        2 => 2 * in_third,
        _ => in_third,
    };
    assert!(outcome.streams_at_last <= max / (ENDPOINTS / 3) as u32);
    assert!(outcome.slowest_percent() <= 20.0);
    assert!(outcome.quantile_ms(99) <= honest.quantile_ms(99) * 5 / 4);
}

/// Guards against a slow incarnation that is preferred for the speed of the
/// one before it.
#[test]
fn a_slow_incarnation_replaces_a_fast_one() {
    let kept = simulate("kept", UNEQUAL);
    let scenario = Scenario {
        replaced_at_ms: Some(6_000),
        ..UNEQUAL
    };
    let replaced = simulate("replaced", scenario);
    let kept_count = f64::from(kept.streams_at_first) * 0.5;
    assert!(f64::from(replaced.streams_at_first) < kept_count);
    assert!(replaced.longest_queue_at_fast <= 8);
    assert!(replaced.slowest_percent() <= 20.0);
}

/// Guards against other choices than before where all endpoints are equal.
#[test]
fn equal_speeds_give_the_same_choices() {
    let equal = Scenario {
        has_unequal_speeds: false,
        has_slowdowns: false,
        ..UNEQUAL
    };
    let off = Scenario {
        mode: EndpointSpeed::Off,
        ..equal
    };
    let (before, after) = (simulate("off", off), simulate("equal", equal));
    assert_eq!(before.durations_ms, after.durations_ms);
    assert_eq!(before.streams_by_third, after.streams_by_third);
    assert_eq!(before.refused, after.refused);
}
