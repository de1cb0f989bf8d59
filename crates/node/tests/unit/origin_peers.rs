use base::Millis;
use jobs::{NodeRecord, Roster};
use origins::StreamKey;

use super::OriginPeers;

fn node(number: u16, runs_items: bool) -> NodeRecord {
    NodeRecord {
        node: format!("node-{number}"),
        failure_domain: format!("domain-{}", number % 3),
        runs_items,
        address: None,
        limits: None,
        origins: Some(([127, 0, 0, 1], number).into()),
        lease_s: 0,
        spool: Default::default(),
    }
}

fn peers(nodes: &[NodeRecord]) -> OriginPeers {
    let mut peers = OriginPeers::default();
    peers.update(Roster::new(nodes), Millis::new(0));
    peers
}

fn attempts() -> impl Iterator<Item = StreamKey> {
    (0..1_000).map(|number| StreamKey::of_attempt("", &number.to_string()))
}

#[test]
fn workers_hold_origins_if_there_are_enough() {
    let nodes = [node(1, false), node(2, true), node(3, true)];
    let peers = peers(&nodes);
    for attempt in attempts() {
        let mut holders = peers.holders(&[attempt], "node-1");
        holders.sort();
        let workers = nodes[1..].iter().filter_map(|node| node.origins);
        assert_eq!(holders, workers.collect::<Vec<_>>());
    }
}

/// Guards against streams that nobody can resume in a fleet with one worker.
#[test]
fn all_nodes_hold_origins_if_there_are_few_workers() {
    let peers = peers(&[node(1, false), node(2, false), node(3, true)]);
    let counts = attempts().map(|a| peers.holders(&[a], "node-1").len());
    assert!(counts.min() >= Some(1));
}

/// Guards against a node that asks itself what it does not know.
#[test]
fn a_node_is_no_holder_for_itself() {
    let peers = peers(&[node(1, true), node(2, true)]);
    for attempt in attempts() {
        let holders = peers.holders(&[attempt], "node-1");
        assert_eq!(holders, [([127, 0, 0, 1], 2).into()]);
    }
}

/// Guards against nodes that forget all holders because the entries of all
/// nodes have expired while the key-value service was unavailable.
#[test]
fn holders_stay_while_no_node_is_listed() {
    let mut peers = peers(&[node(1, true), node(2, true)]);
    peers.update(Roster::new(&[]), Millis::new(100));
    let attempt = StreamKey::of_attempt("", "a1");
    assert_eq!(peers.holders(&[attempt], "node-9").len(), 2);
}

#[test]
fn a_node_is_known_by_its_address() {
    let peers = peers(&[node(1, true), node(2, false)]);
    assert_eq!(peers.address("node-2"), node(2, false).origins);
    assert_eq!(peers.address("node-3"), None);
}

/// Guards against streams that nobody can resume because their front was not
/// listed for a moment: holders refused the records of such a front.
#[test]
fn a_node_that_is_no_longer_listed_is_known_for_a_while() {
    let all = [node(1, true), node(2, true), node(3, false)];
    let mut peers = peers(&all);
    let workers = Roster::new(&all[..2]);
    peers.update(workers.clone(), Millis::new(100));
    assert_eq!(peers.address("node-3"), all[2].origins);
    peers.update(workers, Millis::new(60_000));
    assert_eq!(peers.address("node-3"), None);
}
