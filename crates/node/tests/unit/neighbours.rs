use std::net::SocketAddr;

use base::Millis;
use jobs::{NodeRecord, Roster};

use super::{GONE_MS, Neighbours};

fn node(name: &str, runs_items: bool) -> NodeRecord {
    let address: SocketAddr = ([127, 0, 0, 1], 7_000).into();
    NodeRecord {
        node: name.to_owned(),
        failure_domain: "east".to_owned(),
        runs_items,
        address: Some(address),
        limits: Some(address),
        lease_s: 0,
    }
}

/// Symptom: all limits are without a counter after an outage. Events: the
/// entries of all nodes lapse while the key-value service is away. Cause: who
/// was not listed was not asked any more.
#[test]
fn a_node_that_is_not_listed_is_known_for_a_while() {
    let mut known = Neighbours::default();
    let all = Roster::new(&[node("front-1", false), node("worker-1", true)]);
    assert!(known.follow(all.clone(), Millis::new(0)));
    assert!(!known.follow(all.clone(), Millis::new(100)), "no change");
    let fronts = Roster::new(&[node("front-1", false)]);
    assert!(known.follow(fronts.clone(), Millis::new(200)));
    assert_eq!(known.nodes().workers, ["worker-1"]);
    let last = Millis::new(200 + GONE_MS);
    assert!(!known.follow(fronts.clone(), Millis::new(199 + GONE_MS)));
    assert!(known.follow(fronts.clone(), last));
    assert!(known.nodes().workers.is_empty());
    assert!(known.address("worker-1").is_none());
    assert!(known.follow(all, last), "it is back");
    assert_eq!(known.nodes().workers, ["worker-1"]);
}
