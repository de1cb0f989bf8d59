//! Tests of the choice of collectors.

use indexmap::IndexMap;
use jobs::{Members, NodeRecord};
use yare::parameterized;

use super::candidates;

fn workers(count: usize) -> Members {
    Members::new((0..count).map(|number| NodeRecord {
        node: format!("worker-{number}"),
        failure_domain: "east".to_owned(),
        runs_items: true,
        address: None,
        limits: None,
        origins: None,
        lease_s: 0,
        spool: Default::default(),
    }))
}

/// Guards against a collector whose load grows with the fleet, and against so
/// many collectors that each batches little. Load: fleets in which all nodes
/// write at the same rate.
#[parameterized(
    three = { 3, 1 },
    seventy = { 70, 1 },
    two_hundred = { 200, 2 },
    thousand = { 1_000, 8 },
)]
fn the_load_of_a_collector_does_not_grow_with_the_fleet(
    count: usize,
    collectors: usize,
) {
    let workers = workers(count);
    let mut collected: IndexMap<String, usize> = IndexMap::new();
    for node in workers.nodes() {
        let first = candidates(&workers, &node.node).swap_remove(0);
        *collected.entry(first.node).or_default() += 1;
    }
    assert_eq!(collected.len(), collectors);
    let max = collected.values().max().copied().unwrap_or(0);
    assert!(max <= 160, "a collector serves {max} workers");
}

/// Guards against nodes without a second candidate when the first one is lost.
#[test]
fn every_node_has_a_second_collector() {
    for count in [2, 3, 70, 1_000] {
        let workers = workers(count);
        let found = candidates(&workers, "front-1");
        assert_eq!(found.len(), 2, "of {count}");
        assert_ne!(found[0].node, found[1].node);
    }
    assert!(candidates(&workers(0), "front-1").is_empty());
}
