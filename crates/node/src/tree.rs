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
pub(crate) const PAIR: usize = 2;

/// Workers for each node that reads the key-value service. The size of a read
/// grows with the fleet, and so does the number of nodes that share the reads.
const WORKERS_OF_A_READER: usize = 16;

/// Returns the nodes that read the key-value service for all others, those
/// with the most duties first.
pub(crate) fn readers(roster: &Roster) -> Vec<NodeRecord> {
    let wanted = roster.workers.len() / WORKERS_OF_A_READER;
    let ranked = rank(roster);
    owned(&ranked[..ranked.len().min(wanted.max(PAIR))])
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
    known: Option<Roster>,
    /// Time since which far fewer nodes are listed than the tree is built
    /// from.
    shrunk_at: Option<Millis>,
}

/// Divisor of the fraction of nodes that has to remain listed for the missing
/// ones to count as removed.
const LEFT_DIVISOR: usize = 2;

/// How long nodes are retained after most of them have vanished, in
/// milliseconds: longer than an outage and the return of their entries take.
const VANISHED_MS: u64 = 20_000;

impl TreeNodes {
    /// Applies the current listing and returns the nodes of the tree.
    pub(crate) fn follow(&mut self, listed: Roster, now: Millis) -> Roster {
        let is_seen = self
            .listed
            .as_ref()
            .is_some_and(|seen| seen.is_same(&listed));
        let is_over = self
            .shrunk_at
            .is_some_and(|at| now.saturating_ms_since(at) >= VANISHED_MS);
        if let Some(known) = &self.known
            && is_seen
            && !is_over
        {
            return known.clone();
        }
        self.listed = Some(listed.clone());
        if let Some(known) = &self.known
            && !is_over
            && listed.len() * LEFT_DIVISOR < known.len()
        {
            self.shrunk_at.get_or_insert(now);
            return known.clone();
        }
        self.shrunk_at = None;
        self.known = Some(listed.clone());
        listed
    }
}

/// Reports whether a node is the first of the readers.
pub(crate) fn is_first_reader(roster: &Roster, node: &str) -> bool {
    let first = rank(roster);
    first.first().is_some_and(|first| first.node == node)
}

/// Pairs of each failure domain that are in the bootstrap list.
const START_PAIRS: usize = 4;

/// Returns the nodes that a starting node may query: the roots and a few nodes
/// of each failure domain that serve others. The length depends on the number
/// of failure domains, not on the number of nodes.
pub(crate) fn start_list(roster: &Roster) -> Vec<NodeRecord> {
    let ranked = rank(roster);
    let mut taken: IndexMap<&str, usize> = IndexMap::new();
    let mut list = Vec::new();
    for (place, node) in ranked.iter().enumerate() {
        let count = taken.entry(&node.failure_domain).or_default();
        if place < PAIR || *count < START_PAIRS * PAIR {
            list.push((*node).clone());
        }
        if place >= PAIR {
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
    let Some(place) = ranked.iter().position(|known| known.node == node)
    else {
        return sources_of_stranger(&ranked, node, failure_domain);
    };
    if place < PAIR {
        return Vec::new();
    }
    if ranked.len() <= PAIR + FAN_OUT {
        return owned(&ranked[..PAIR]);
    }
    let (roots, rest) = ranked.split_at(PAIR);
    let of_domain = of_domain(rest, &ranked[place].failure_domain);
    let at = of_domain.iter().position(|known| known.node == node);
    let at = at.unwrap_or_default();
    if at >= PAIR {
        return owned(above(&of_domain, at));
    }
    let relays = relays(rest);
    let line: Vec<&NodeRecord> =
        roots.iter().chain(&relays).copied().collect();
    let at = line.iter().position(|known| known.node == node);
    owned(above(&line, at.unwrap_or(PAIR)))
}

/// Returns the nodes that an unlisted node queries: one of the pairs of its
/// failure domain, so that the roots do not have to serve a whole starting
/// fleet, or the roots if the domain has no pair.
fn sources_of_stranger(
    ranked: &[&NodeRecord],
    node: &str,
    failure_domain: &str,
) -> Vec<NodeRecord> {
    let (roots, rest) = ranked.split_at(ranked.len().min(PAIR));
    let of_domain = of_domain(rest, failure_domain);
    let pairs: Vec<&[&NodeRecord]> = of_domain
        .chunks(PAIR)
        .filter(|pair| pair.len() == PAIR)
        .take(START_PAIRS)
        .collect();
    let drawn = (stable_hash(&[node]) as usize).checked_rem(pairs.len());
    match drawn {
        Some(at) if ranked.len() > PAIR + FAN_OUT => owned(pairs[at]),
        _ => owned(roots),
    }
}

fn of_domain<'a>(
    nodes: &[&'a NodeRecord],
    failure_domain: &str,
) -> Vec<&'a NodeRecord> {
    let in_it = |node: &&&NodeRecord| node.failure_domain == failure_domain;
    nodes.iter().filter(in_it).copied().collect()
}

/// Returns the parents of a position in a sequence of nodes: the first pair is
/// the top, the next sixteen nodes query it, the next sixteen query the second
/// pair.
fn above<'a>(line: &'a [&'a NodeRecord], at: usize) -> &'a [&'a NodeRecord] {
    let pair = (at - PAIR) / FAN_OUT;
    let first = pair * PAIR;
    &line[first..(first + PAIR).min(line.len())]
}

/// Returns the first pair of nodes of each failure domain.
fn relays<'a>(ranked: &[&'a NodeRecord]) -> Vec<&'a NodeRecord> {
    let mut taken: IndexMap<&str, usize> = IndexMap::new();
    let mut relays = Vec::new();
    for node in ranked {
        let count = taken.entry(&node.failure_domain).or_default();
        *count += 1;
        if *count <= PAIR {
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

fn owned(nodes: &[&NodeRecord]) -> Vec<NodeRecord> {
    nodes.iter().map(|node| (*node).clone()).collect()
}

#[cfg(test)]
#[path = "../tests/unit/tree.rs"]
mod tests;
