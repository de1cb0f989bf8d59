//! The distribution tree: which nodes each node queries for changes in the
//! key-value service.
//!
//! A few nodes, the readers, read the key-value service in turn; the first two
//! of them are the roots. Two nodes of each failure domain, the relays, query
//! the roots, and all others of the domain query the relays or nodes below
//! them: a tree of pairs in which the nodes of a pair back each other up.
//!
//! An earlier design had a single pair that served all nodes. Its load grew
//! with the fleet, the loss of both sent every node to the key-value service
//! at the same moment, and each change crossed failure domains once for each
//! node, where bytes are charged.

use base::{Millis, mix, stable_hash};
use indexmap::IndexMap;
use jobs::{NodeRecord, Roster};

/// Nodes that query one pair. This bounds what a node serves: sixteen waiting
/// requests for each feed. A larger value makes the tree flatter, but fleets
/// of up to 4,000 nodes in eight domains need two steps from the relays in any
/// case.
const FAN_OUT: usize = 16;

/// Number of nodes that back each other up.
pub(crate) const PAIR_SIZE: usize = 2;

/// Workers for each node that reads the key-value service. The size of a read
/// grows with the fleet, and so does the number of nodes that share the reads.
const WORKERS_PER_READER: usize = 16;

/// Returns the nodes that read the key-value service for all others, those
/// with the most duties first.
pub(crate) fn readers(roster: &Roster) -> Vec<NodeRecord> {
    let reader_count = roster.workers.len() / WORKERS_PER_READER;
    let ranked = rank(roster);
    clone_all(&ranked[..ranked.len().min(reader_count.max(PAIR_SIZE))])
}

/// The nodes that the tree is built from: the listed ones, and for a while
/// those that were listed before most of them vanished at once.
///
/// Entries expire within a second of each other while the key-value service is
/// unavailable, although the nodes are alive. Without this retention each node
/// takes itself for the only one and reads the key-value service directly
/// until all are listed again: 2,700 calls of 76 nodes after one outage.
#[derive(Debug, Default)]
pub(crate) struct TreeNodes {
    /// The nodes that were listed last.
    listed: Option<Roster>,
    /// The nodes that the tree is built from.
    members: Option<Roster>,
    /// Time since which far fewer nodes are listed than the tree is built
    /// from.
    shrunk_at: Option<Millis>,
}

/// Divisor of the fraction of nodes that has to remain listed for the missing
/// ones to count as removed.
const MIN_REMAINING_DIVISOR: usize = 2;

/// How long nodes are retained after most of them have vanished, in
/// milliseconds: longer than an outage and the return of their entries take.
const RETENTION_MS: u64 = 20_000;

impl TreeNodes {
    /// Applies the current listing and returns the nodes of the tree.
    pub(crate) fn update(&mut self, listed: Roster, now: Millis) -> Roster {
        let is_unchanged = self
            .listed
            .as_ref()
            .is_some_and(|last| last.is_same(&listed));
        let is_retention_over = self
            .shrunk_at
            .is_some_and(|at| now.saturating_ms_since(at) >= RETENTION_MS);
        if let Some(known) = &self.members
            && is_unchanged
            && !is_retention_over
        {
            return known.clone();
        }
        self.listed = Some(listed.clone());
        if let Some(known) = &self.members
            && !is_retention_over
            && listed.len() * MIN_REMAINING_DIVISOR < known.len()
        {
            self.shrunk_at.get_or_insert(now);
            return known.clone();
        }
        self.shrunk_at = None;
        self.members = Some(listed.clone());
        listed
    }
}

/// Reports whether a node is the first of the readers.
pub(crate) fn is_first_reader(roster: &Roster, node: &str) -> bool {
    let first = rank(roster);
    first.first().is_some_and(|first| first.node == node)
}

/// Pairs of each failure domain that are in the bootstrap list.
const BOOTSTRAP_PAIRS: usize = 4;

/// Returns the nodes that a starting node may query: the roots and a few nodes
/// of each failure domain that serve others. The length depends on the number
/// of failure domains, not on the number of nodes.
pub(crate) fn bootstrap_list(roster: &Roster) -> Vec<NodeRecord> {
    let ranked = rank(roster);
    let mut counts: IndexMap<&str, usize> = IndexMap::new();
    let mut list = Vec::new();
    for (position, node) in ranked.iter().enumerate() {
        let count = counts.entry(&node.failure_domain).or_default();
        if position < PAIR_SIZE || *count < BOOTSTRAP_PAIRS * PAIR_SIZE {
            list.push((*node).clone());
        }
        if position >= PAIR_SIZE {
            *count += 1;
        }
    }
    list
}

/// Returns the nodes to query, in order of preference; none if the node reads
/// the key-value service itself.
///
/// All nodes derive the same tree from the node names, without any message.
pub(crate) fn sources(
    roster: &Roster,
    node: &str,
    failure_domain: &str,
) -> Vec<NodeRecord> {
    let ranked = rank(roster);
    let Some(position) = ranked.iter().position(|known| known.node == node)
    else {
        return sources_of_unlisted(&ranked, node, failure_domain);
    };
    if position < PAIR_SIZE {
        return Vec::new();
    }
    if ranked.len() <= PAIR_SIZE + FAN_OUT {
        return clone_all(&ranked[..PAIR_SIZE]);
    }
    let (roots, others) = ranked.split_at(PAIR_SIZE);
    let in_domain = in_domain(others, &ranked[position].failure_domain);
    let index = in_domain.iter().position(|known| known.node == node);
    let index = index.unwrap_or_default();
    if index >= PAIR_SIZE {
        return clone_all(parents(&in_domain, index));
    }
    let relays = relays(others);
    let sequence: Vec<&NodeRecord> =
        roots.iter().chain(&relays).copied().collect();
    let index = sequence.iter().position(|known| known.node == node);
    clone_all(parents(&sequence, index.unwrap_or(PAIR_SIZE)))
}

/// Returns the nodes that an unlisted node queries: one of the pairs of its
/// failure domain, so that the roots do not have to serve a whole starting
/// fleet, or the roots if the domain has no pair.
fn sources_of_unlisted(
    ranked: &[&NodeRecord],
    node: &str,
    failure_domain: &str,
) -> Vec<NodeRecord> {
    let (roots, others) = ranked.split_at(ranked.len().min(PAIR_SIZE));
    let in_domain = in_domain(others, failure_domain);
    let pairs: Vec<&[&NodeRecord]> = in_domain
        .chunks(PAIR_SIZE)
        .filter(|pair| pair.len() == PAIR_SIZE)
        .take(BOOTSTRAP_PAIRS)
        .collect();
    let selected = (stable_hash(&[node]) as usize).checked_rem(pairs.len());
    match selected {
        Some(index) if ranked.len() > PAIR_SIZE + FAN_OUT => {
            clone_all(pairs[index])
        }
        _ => clone_all(roots),
    }
}

fn in_domain<'a>(
    nodes: &[&'a NodeRecord],
    failure_domain: &str,
) -> Vec<&'a NodeRecord> {
    let is_in_domain =
        |node: &&&NodeRecord| node.failure_domain == failure_domain;
    nodes.iter().filter(is_in_domain).copied().collect()
}

/// Returns the parents of a position in a sequence of nodes: the first pair is
/// the top, the next sixteen nodes query it, the next sixteen query the second
/// pair.
fn parents<'a>(
    sequence: &'a [&'a NodeRecord],
    index: usize,
) -> &'a [&'a NodeRecord] {
    let pair = (index - PAIR_SIZE) / FAN_OUT;
    let first = pair * PAIR_SIZE;
    &sequence[first..(first + PAIR_SIZE).min(sequence.len())]
}

/// Returns the first pair of nodes of each failure domain.
fn relays<'a>(ranked: &[&'a NodeRecord]) -> Vec<&'a NodeRecord> {
    let mut counts: IndexMap<&str, usize> = IndexMap::new();
    let mut relays = Vec::new();
    for node in ranked {
        let count = counts.entry(&node.failure_domain).or_default();
        *count += 1;
        if *count <= PAIR_SIZE {
            relays.push(*node);
        }
    }
    relays
}

/// Sorts the nodes by hash, workers before fronts; the second one is in
/// another failure domain than the first, if there is one.
///
/// No caller waits for a worker's response, and its link carries the outputs
/// of items in any case; a front that served other nodes would have less
/// capacity for its callers.
fn rank(roster: &Roster) -> Vec<&NodeRecord> {
    let mut hashed: Vec<(u64, &NodeRecord)> = roster
        .hashed()
        .filter(|(_, node)| node.address.is_some())
        .collect();
    hashed.sort_unstable_by_key(|(hash, node)| (!node.runs_items, mix(*hash)));
    let mut ranked: Vec<&NodeRecord> =
        hashed.into_iter().map(|(_, node)| node).collect();
    let first = ranked.first().map(|node| node.failure_domain.clone());
    let other = ranked
        .iter()
        .position(|node| Some(&node.failure_domain) != first.as_ref());
    if let Some(other) = other {
        ranked[1..=other].rotate_right(1);
    }
    ranked
}

fn clone_all(nodes: &[&NodeRecord]) -> Vec<NodeRecord> {
    nodes.iter().map(|node| (*node).clone()).collect()
}

#[cfg(test)]
#[path = "../tests/unit/tree.rs"]
mod tests;
