//! Holders and storage of origins.

use std::collections::HashSet;

use base::{Millis, stable_hash};
use pomeloslip_origins::{
    Answer, HOLDERS, HolderNode, HolderRing, Lookup, MAX_LIFETIME_MS,
    MAX_ORIGINS, Origin, OriginTable, StreamId, StreamKey, Verdict,
};
use yare::parameterized;

fn origin(version: &str) -> Origin {
    Origin::began_at("engines", version.parse().expect("a version"))
}

fn key(number: usize) -> StreamKey {
    StreamKey::of_attempt("", &number.to_string())
}

fn attempt() -> StreamId {
    StreamId::Attempt(key(1))
}

fn nodes(count: usize, domains: usize) -> Vec<HolderNode> {
    let node = |number: usize| HolderNode {
        name_hash: stable_hash(&["node", &number.to_string()]),
        domain_hash: stable_hash(&["domain", &(number % domains).to_string()]),
    };
    (0..count).map(node).collect()
}

fn hashes_of(ring: &HolderRing, of: &[HolderNode], at: usize) -> Vec<u64> {
    let holders = ring.holders(key(at));
    holders.map(|holder| of[holder].name_hash).collect()
}

#[parameterized(
    one_domain = { 5, 1 },
    two_domains = { 5, 2 },
    more_domains = { 70, 6 },
    whole_fleet = { 1_000, 6 },
)]
fn holders_are_in_different_domains_if_possible(count: usize, domains: usize) {
    let nodes = nodes(count, domains);
    let ring = HolderRing::new(&nodes);
    for at in 0..2_000 {
        let holders: Vec<usize> = ring.holders(key(at)).collect();
        assert_eq!(holders.len(), HOLDERS);
        let in_domains: HashSet<u64> =
            holders.iter().map(|at| nodes[*at].domain_hash).collect();
        assert_eq!(in_domains.len(), HOLDERS.min(domains));
    }
}

#[parameterized(
    none = { 0 },
    one = { 1 },
)]
fn few_nodes_are_all_holders(count: usize) {
    let ring = HolderRing::new(&nodes(count, 1));
    assert_eq!(ring.holders(key(1)).count(), count);
}

/// Guards against streams that nobody can resume after a node was added or
/// lost, because all holders of an attempt have changed.
#[test]
fn an_attempt_keeps_a_holder_when_a_node_joins_or_leaves() {
    let all = nodes(12, 3);
    let before = HolderRing::new(&all);
    let fewer = &all[..11];
    let after = HolderRing::new(fewer);
    for at in 0..2_000 {
        let known = hashes_of(&before, &all, at);
        let now = hashes_of(&after, fewer, at);
        assert!(known.iter().any(|hash| now.contains(hash)), "{at}");
    }
}

/// Guards against a few nodes that hold most origins.
#[test]
fn origins_are_spread_over_the_nodes() {
    let nodes = nodes(70, 6);
    let ring = HolderRing::new(&nodes);
    let mut counts = vec![0; nodes.len()];
    for at in 0..70_000 {
        ring.holders(key(at)).for_each(|holder| counts[holder] += 1);
    }
    let busiest = counts.iter().max().copied().unwrap_or(0);
    assert!(busiest < 3 * 2_000, "{busiest} of a mean of 2,000");
}

#[test]
fn an_origin_expires() {
    let mut table = OriginTable::default();
    table.record(key(1), origin("v1"), 1_000, Millis::new(0));
    table.record(key(2), origin("v1"), u64::MAX, Millis::new(0));
    assert!(table.find(key(1), Millis::new(999)).is_some());
    assert!(table.find(key(1), Millis::new(1_000)).is_none());
    let last = Millis::new(MAX_LIFETIME_MS);
    assert!(table.find(key(2), last).is_none());
    table.record(key(3), origin("v1"), 1_000, last);
    assert_eq!(table.len(), 1, "expired origins are dropped");
}

/// Guards against a table that grows with every stream, or that a burst of
/// streams empties.
#[test]
fn a_table_keeps_the_newest_origins() {
    let mut table = OriginTable::default();
    let now = Millis::new(0);
    for number in 0..MAX_ORIGINS + 100 {
        table.record(key(number), origin("v1"), 5_000, now);
        assert!(table.len() <= MAX_ORIGINS);
    }
    assert!(table.find(key(0), now).is_none());
    for number in 200..MAX_ORIGINS + 100 {
        assert!(table.find(key(number), now).is_some(), "{number}");
    }
}

/// Guards against a guess between two versions.
#[test]
fn an_attempt_with_two_origins_is_uncertain() {
    let mut table = OriginTable::default();
    let now = Millis::new(0);
    for version in ["v1", "v1", "v2", "v1"] {
        table.record(key(1), origin(version), 5_000, now);
    }
    assert_eq!(table.find(key(1), now), Some(&Origin::Uncertain));
}

#[parameterized(
    the_second_knows = { &[Answer::Unknown, Answer::Known(origin("v1"))],
        Some("v1") },
    none_knows = { &[Answer::Unknown, Answer::Unknown], None },
    uncertain = { &[Answer::Known(Origin::Uncertain)], None },
)]
fn a_verdict_is_final_with_the_last_answer(
    answers: &[Answer],
    version: Option<&str>,
) {
    let mut lookup = Lookup::new(attempt(), 2);
    let (last, others) = answers.split_last().expect("an answer");
    for (at, answer) in others.iter().enumerate() {
        assert_eq!(lookup.receive(at, answer.clone()), None);
    }
    let last = lookup.receive(others.len(), last.clone());
    match (last, version) {
        (Some(Verdict::Known(found)), Some(version)) => {
            assert_eq!(found.binding().version().as_str(), version);
        }
        (Some(Verdict::Unknown), None) => {}
        (verdict, _) => panic!("{verdict:?}"),
    }
}

/// Guards against a refusal for good while a holder has not answered.
#[test]
fn a_silent_holder_leaves_the_verdict_open() {
    let mut lookup = Lookup::new(attempt(), 2);
    assert_eq!(lookup.receive(0, Answer::Unknown), None);
    assert_eq!(lookup.receive(7, Answer::Unknown), None, "no such holder");
    assert_eq!(lookup.silent().collect::<Vec<_>>(), [1]);
    assert_eq!(lookup.time_out(), Verdict::Unreachable);
}

fn known(version: &str) -> Answer {
    Answer::Known(origin(version))
}

/// Guards against a guess between streams with the same content: a holder may
/// have missed the origin of one of them.
#[parameterized(
    equal = { &[known("v1"), known("v1")], Some("v1") },
    restarted = { &[Answer::Unknown, known("v1")], Some("v1") },
    contradictory = { &[known("v1"), known("v2")], None },
    uncertain = { &[Answer::Known(Origin::Uncertain)], None },
    unknown = { &[Answer::Unknown, Answer::Unknown], None },
)]
fn a_content_is_certain_only_if_no_holder_contradicts(
    answers: &[Answer],
    version: Option<&str>,
) {
    let mut lookup = Lookup::new(StreamId::Content(key(1)), 2);
    let (last, others) = answers.split_last().expect("an answer");
    for (at, answer) in others.iter().enumerate() {
        assert_eq!(lookup.receive(at, answer.clone()), None);
    }
    let verdict = lookup.receive(others.len(), last.clone());
    let found = match &verdict {
        Some(Verdict::Known(found)) => {
            Some(found.binding().version().as_str())
        }
        _ => None,
    };
    assert_eq!(found, version);
    assert!(verdict.is_some());
}

/// Guards against the version that a node knows of a stream of its own, while
/// others have begun streams with the same content.
#[test]
fn what_a_node_knows_of_a_content_itself_does_not_suffice() {
    let content = StreamId::Content(key(1));
    let own = Lookup::new(content, 1).with_own(Some(origin("v1")));
    assert_eq!(own.verdict(), None);
    assert_eq!(own.time_out(), Verdict::Unreachable);
    let mut other = own.clone();
    assert_eq!(other.receive(0, known("v2")), Some(Verdict::Unknown));
    let mut same = own.clone();
    let verdict = same.receive(0, known("v1"));
    assert!(matches!(verdict, Some(Verdict::Known(_))));
    let own = Lookup::new(attempt(), 1).with_own(Some(origin("v1")));
    assert!(matches!(own.verdict(), Some(Verdict::Known(_))));
}
