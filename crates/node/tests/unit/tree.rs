//! Tests of the distribution tree in fleets of several sizes.

use base::Millis;
use indexmap::IndexMap;
use jobs::{NodeRecord, Roster};
use yare::parameterized;

use super::{TreeNodes, sources, start_list};

fn fleet(nodes: usize, domains: usize) -> Vec<NodeRecord> {
    let node = |at: usize| NodeRecord {
        node: format!("node-{at}"),
        failure_domain: format!("domain-{}", at % domains),
        runs_items: at.is_multiple_of(3),
        address: Some(([127, 0, 0, 1], 1_000 + at as u16).into()),
        limits: None,
        lease_s: 0,
    };
    (0..nodes).map(node).collect()
}

/// Returns for each node how many others may query it, and the nodes that read
/// the key-value service themselves.
fn askers(nodes: &[NodeRecord]) -> (IndexMap<String, usize>, Vec<String>) {
    let roster = Roster::new(nodes);
    let mut asked: IndexMap<String, usize> = IndexMap::new();
    let mut roots = Vec::new();
    for node in nodes {
        let sources = sources(&roster, &node.node, &node.failure_domain);
        if sources.is_empty() {
            roots.push(node.node.clone());
        }
        for source in sources {
            *asked.entry(source.node).or_default() += 1;
        }
    }
    (asked, roots)
}

/// Guards against two readers that serve all other nodes: in a large fleet
/// they sent three megabytes a second each, and when both were lost every node
/// called the key-value service at the same moment.
#[parameterized(
    small = { 9, 4 },
    a_day_s_size = { 88, 6 },
    hundreds = { 300, 6 },
    a_thousand = { 1_000, 6 },
    many_domains = { 1_000, 40 },
    one_domain = { 500, 1 },
)]
fn no_node_serves_more_than_a_fixed_number(nodes: usize, domains: usize) {
    let (asked, roots) = askers(&fleet(nodes, domains));
    assert_eq!(roots.len(), 2);
    let most = asked.values().max().copied().unwrap_or_default();
    assert!(most <= 34, "a node is asked by {most} others");
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
fn most_news_stay_in_a_failure_domain() {
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
        let (_, roots) = askers(&all);
        let domain = |name: &String| {
            let node = all.iter().find(|node| node.node == *name);
            node.map(|node| node.failure_domain.clone())
        };
        assert_ne!(domain(&roots[0]), domain(&roots[1]), "{nodes} nodes");
    }
}

#[test]
fn a_node_that_is_not_listed_yet_asks_the_roots() {
    let all = fleet(50, 3);
    let (_, roots) = askers(&all);
    let asked = sources(&Roster::new(&all), "stranger", "elsewhere");
    let mut asked: Vec<String> =
        asked.into_iter().map(|node| node.node).collect();
    asked.sort();
    let mut roots = roots;
    roots.sort();
    assert_eq!(asked, roots);
}

#[test]
fn a_node_that_knows_nobody_reads_the_service() {
    assert!(sources(&Roster::default(), "alone", "east").is_empty());
    let all = fleet(1, 1);
    assert!(sources(&Roster::new(&all), "node-0", "domain-0").is_empty());
}

/// Guards against a key-value service whose link is saturated with lists of
/// nodes while a whole fleet starts. Load: a fleet of which all processes are
/// killed at once.
#[test]
fn what_a_start_reads_is_as_long_at_any_size() {
    for nodes in [200, 1_000, 4_000] {
        let list = start_list(&Roster::new(&fleet(nodes, 6)));
        assert!(list.len() <= 2 + 6 * 8, "{} of {nodes}", list.len());
    }
}

/// Guards against roots that serve each node of a starting fleet.
#[parameterized(
    hundreds = { 347, 6 },
    a_thousand = { 1_000, 6 },
)]
fn starting_nodes_ask_nodes_of_their_own_domain(nodes: usize, domains: usize) {
    let all = fleet(nodes, domains);
    let list = start_list(&Roster::new(&all));
    let started = Roster::new(&list);
    let mut asked: IndexMap<String, usize> = IndexMap::new();
    for node in &all {
        for source in sources(&started, &node.node, &node.failure_domain) {
            *asked.entry(source.node).or_default() += 1;
        }
    }
    let most = asked.values().max().copied().unwrap_or_default();
    let each = nodes / domains / 4;
    assert!(most <= 2 * each, "one is asked by {most}");
}

/// Guards against nodes that all read the key-value service because their
/// entries have expired in an outage of it, though the nodes are alive.
#[test]
fn nodes_whose_entries_lapse_at_once_are_asked_on() {
    let all = fleet(100, 4);
    let mut nodes = TreeNodes::default();
    let full = Roster::new(&all);
    nodes.follow(full.clone(), Millis::new(1_000));
    let empty = Roster::default();
    let lapsed = nodes.follow(empty.clone(), Millis::new(2_000));
    assert!(lapsed.is_same(&full));
    // Some entries have returned.
    let some = Roster::new(&all[..30]);
    assert!(nodes.follow(some, Millis::new(3_000)).is_same(&full));
    let most = Roster::new(&all[..70]);
    let back = nodes.follow(most.clone(), Millis::new(4_000));
    assert!(back.is_same(&most));
}

/// Guards against a tree of nodes that are gone for good.
#[test]
fn nodes_that_stay_away_are_not_asked_for_ever() {
    let mut nodes = TreeNodes::default();
    nodes.follow(Roster::new(&fleet(100, 4)), Millis::new(1_000));
    let few = Roster::new(&fleet(10, 4));
    nodes.follow(few.clone(), Millis::new(2_000));
    let later = nodes.follow(few.clone(), Millis::new(22_000));
    assert!(later.is_same(&few));
}
