//! Tests of the distribution tree in fleets of several sizes.

use base::Millis;
use indexmap::IndexMap;
use jobs::{NodeRecord, Roster};
use yare::parameterized;

use super::{TreeNodes, bootstrap_list, sources};

fn fleet(nodes: usize, domains: usize) -> Vec<NodeRecord> {
    let node = |at: usize| NodeRecord {
        node: format!("node-{at}"),
        failure_domain: format!("domain-{}", at % domains),
        runs_items: at.is_multiple_of(3),
        address: Some(([127, 0, 0, 1], 1_000 + at as u16).into()),
        limits: None,
        origins: None,
        lease_s: 0,
        spool: Default::default(),
    };
    (0..nodes).map(node).collect()
}

/// Returns for each node how many others may query it, and the nodes that read
/// the key-value service themselves.
fn queries(nodes: &[NodeRecord]) -> (IndexMap<String, usize>, Vec<String>) {
    let roster = Roster::new(nodes);
    let mut queried: IndexMap<String, usize> = IndexMap::new();
    let mut roots = Vec::new();
    for node in nodes {
        let sources = sources(&roster, &node.node, &node.failure_domain);
        if sources.is_empty() {
            roots.push(node.node.clone());
        }
        for source in sources {
            *queried.entry(source.node).or_default() += 1;
        }
    }
    (queried, roots)
}

/// Guards against two readers that serve all other nodes: in a large fleet
/// they sent three megabytes a second each, and when both were lost every node
/// called the key-value service at the same moment.
#[parameterized(
    small = { 9, 4 },
    dozens = { 88, 6 },
    hundreds = { 300, 6 },
    a_thousand = { 1_000, 6 },
    many_domains = { 1_000, 40 },
    one_domain = { 500, 1 },
)]
fn no_node_serves_more_than_a_fixed_number(nodes: usize, domains: usize) {
    let (queried, roots) = queries(&fleet(nodes, domains));
    assert_eq!(roots.len(), 2);
    let max = queried.values().max().copied().unwrap_or_default();
    assert!(max <= 34, "a node is queried by {max} others");
}

#[parameterized(
    small = { 9, 4 },
    hundreds = { 300, 6 },
    many_domains = { 1_000, 40 },
    one_domain = { 500, 1 },
)]
fn every_node_is_reached_from_the_roots(nodes: usize, domains: usize) {
    let all = fleet(nodes, domains);
    let roster = Roster::new(&all);
    for node in &all {
        let mut at = node.node.clone();
        let mut steps = 0;
        while let Some(source) = sources(&roster, &at, "").first() {
            at.clone_from(&source.node);
            steps += 1;
            assert!(steps <= 6, "{} is {steps} steps away", node.node);
        }
    }
}

#[test]
fn most_queries_stay_in_a_failure_domain() {
    let all = fleet(300, 6);
    let roster = Roster::new(&all);
    let crossing = all.iter().filter(|node| {
        let mut sources =
            sources(&roster, &node.node, &node.failure_domain).into_iter();
        sources.any(|source| source.failure_domain != node.failure_domain)
    });
    assert!(crossing.count() <= 12);
}

/// Guards against the loss of both roots with one failure domain.
#[test]
fn the_roots_are_of_different_failure_domains() {
    for nodes in [5, 20, 100] {
        let all = fleet(nodes, 3);
        let (_, roots) = queries(&all);
        let domain = |name: &String| {
            let node = all.iter().find(|node| node.node == *name);
            node.map(|node| node.failure_domain.clone())
        };
        assert_ne!(domain(&roots[0]), domain(&roots[1]), "{nodes} nodes");
    }
}

#[test]
fn an_unlisted_node_queries_the_roots() {
    let all = fleet(50, 3);
    let (_, roots) = queries(&all);
    let queried = sources(&Roster::new(&all), "unlisted", "elsewhere");
    let mut queried: Vec<String> =
        queried.into_iter().map(|node| node.node).collect();
    queried.sort();
    let mut roots = roots;
    roots.sort();
    assert_eq!(queried, roots);
}

#[test]
fn a_node_that_knows_no_other_reads_the_key_value_service() {
    assert!(sources(&Roster::default(), "alone", "east").is_empty());
    let all = fleet(1, 1);
    assert!(sources(&Roster::new(&all), "node-0", "domain-0").is_empty());
}

/// Guards against a key-value service whose link is saturated with lists of
/// nodes while a whole fleet starts. Load: a fleet of which all processes are
/// killed at once.
#[test]
fn the_bootstrap_list_does_not_grow_with_the_fleet() {
    for nodes in [200, 1_000, 4_000] {
        let list = bootstrap_list(&Roster::new(&fleet(nodes, 6)));
        assert!(list.len() <= 2 + 6 * 8, "{} of {nodes}", list.len());
    }
}

/// Guards against roots that serve each node of a starting fleet.
#[parameterized(
    hundreds = { 347, 6 },
    a_thousand = { 1_000, 6 },
)]
fn starting_nodes_query_their_own_failure_domain(
    nodes: usize,
    domains: usize,
) {
    let all = fleet(nodes, domains);
    let list = bootstrap_list(&Roster::new(&all));
    let started = Roster::new(&list);
    let mut queried: IndexMap<String, usize> = IndexMap::new();
    for node in &all {
        for source in sources(&started, &node.node, &node.failure_domain) {
            *queried.entry(source.node).or_default() += 1;
        }
    }
    let max = queried.values().max().copied().unwrap_or_default();
    let each = nodes / domains / 4;
    assert!(max <= 2 * each, "a node is queried by {max} others");
}

/// Guards against nodes that all read the key-value service because their
/// entries have expired in an outage of it, though the nodes are alive.
#[test]
fn nodes_whose_entries_expire_at_once_stay_in_the_tree() {
    let all = fleet(100, 4);
    let mut nodes = TreeNodes::default();
    let full = Roster::new(&all);
    nodes.update(full.clone(), Millis::new(1_000));
    let empty = Roster::default();
    let lapsed = nodes.update(empty.clone(), Millis::new(2_000));
    assert!(lapsed.is_same(&full));
    // Some entries have returned.
    let some = Roster::new(&all[..30]);
    assert!(nodes.update(some, Millis::new(3_000)).is_same(&full));
    let majority = Roster::new(&all[..70]);
    let back = nodes.update(majority.clone(), Millis::new(4_000));
    assert!(back.is_same(&majority));
}

/// Guards against a tree of nodes that are gone for good.
#[test]
fn nodes_that_do_not_return_are_removed_from_the_tree() {
    let mut nodes = TreeNodes::default();
    nodes.update(Roster::new(&fleet(100, 4)), Millis::new(1_000));
    let few = Roster::new(&fleet(10, 4));
    nodes.update(few.clone(), Millis::new(2_000));
    let later = nodes.update(few.clone(), Millis::new(22_000));
    assert!(later.is_same(&few));
}
