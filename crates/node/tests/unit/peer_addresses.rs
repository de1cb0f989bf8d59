use std::net::SocketAddr;

use base::Millis;
use jobs::{NodeRecord, Roster};

use super::{PeerAddresses, UNLISTED_TTL_MS};

fn node(name: &str, runs_items: bool) -> NodeRecord {
    let address: SocketAddr = ([127, 0, 0, 1], 7_000).into();
    NodeRecord {
        node: name.to_owned(),
        failure_domain: "east".to_owned(),
        runs_items,
        address: Some(address),
        limits: Some(address),
        origins: None,
        lease_s: 0,
        spool: Default::default(),
    }
}

/// Guards against the loss of all token servers after an outage: the entries
/// of all nodes expire while the key-value service is unavailable, and nodes
/// that are not listed were no longer queried.
#[test]
fn an_unlisted_node_stays_a_peer_for_a_while() {
    let mut peers = PeerAddresses::new(|record| record.limits);
    let all = Roster::new(&[node("front-1", false), node("worker-1", true)]);
    assert!(peers.update(all.clone(), Millis::new(0)));
    assert!(!peers.update(all.clone(), Millis::new(100)), "no change");
    let fronts = Roster::new(&[node("front-1", false)]);
    assert!(peers.update(fronts.clone(), Millis::new(200)));
    assert_eq!(peers.nodes().workers, ["worker-1"]);
    let last = Millis::new(200 + UNLISTED_TTL_MS);
    assert!(!peers.update(fronts.clone(), Millis::new(199 + UNLISTED_TTL_MS)));
    assert!(peers.update(fronts.clone(), last));
    assert!(peers.nodes().workers.is_empty());
    assert!(peers.address("worker-1").is_none());
    assert!(peers.update(all, last), "it is back");
    assert_eq!(peers.nodes().workers, ["worker-1"]);
}
