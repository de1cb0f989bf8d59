//! Tests of the retry interval while the key-value service is unavailable.

use yare::parameterized;

use super::outage_interval_ms;

/// Guards against calls during an outage that grow with the fleet, all of
/// which fail and are charged. Load: a key-value service that is unavailable
/// for all nodes.
#[parameterized(
    forty = { 40 },
    twice = { 80 },
    four_times = { 160 },
)]
fn calls_in_an_outage_do_not_grow_with_the_fleet(nodes: usize) {
    let calls_per_s = |nodes: usize| {
        nodes as f64 * 1_000.0 / outage_interval_ms(nodes) as f64
    };
    assert!(calls_per_s(nodes) <= calls_per_s(32) * 1.01);
}

#[test]
fn small_fleets_use_the_shortest_outage_interval() {
    assert_eq!(outage_interval_ms(3), 400);
    assert_eq!(outage_interval_ms(32), 400);
    assert_eq!(outage_interval_ms(10_000), 2_000);
}
