use std::{net::SocketAddr, sync::Arc};

use base::{mix, stable_hash};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{JobKey, JobManifest};

/// A node, as it tells of itself.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Name of the node.
    pub node: String,
    /// Failure domain that it stands in.
    pub failure_domain: String,
    /// Whether it runs items of jobs.
    pub runs_items: bool,
    /// Where other nodes reach it.
    pub address: Option<SocketAddr>,
    /// Where it counts requests against limits.
    #[serde(default)]
    pub limits: Option<SocketAddr>,
    /// Time to live of its entry, in seconds; 0 if it does not say.
    #[serde(default)]
    pub lease_s: u32,
}

/// The nodes of one kind that are there now: those that run items, or those
/// that take callers' requests.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Members {
    nodes: Vec<NodeRecord>,
    hashes: Vec<u64>,
}

impl Members {
    /// Makes a set of those nodes that run items.
    pub fn new(nodes: impl IntoIterator<Item = NodeRecord>) -> Self {
        Self::of(nodes.into_iter().filter(|node| node.runs_items))
    }

    /// Makes a set of those nodes that take callers' requests.
    pub fn fronts(nodes: impl IntoIterator<Item = NodeRecord>) -> Self {
        Self::of(nodes.into_iter().filter(|node| !node.runs_items))
    }

    fn of(nodes: impl Iterator<Item = NodeRecord>) -> Self {
        let mut nodes: Vec<NodeRecord> = nodes.collect();
        nodes.sort_by(|a, b| a.node.cmp(&b.node));
        let hashes = nodes.iter().map(|r| stable_hash(&[&r.node]));
        Self {
            hashes: hashes.collect(),
            nodes,
        }
    }

    /// Returns how many there are.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Tells whether a node is among them.
    pub fn has(&self, node: &str) -> bool {
        self.find(node).is_some()
    }

    /// Returns the place of a node among them.
    pub(crate) fn find(&self, node: &str) -> Option<usize> {
        let order = |known: &NodeRecord| known.node.as_str().cmp(node);
        self.nodes.binary_search_by(order).ok()
    }

    /// Returns a node by its name.
    pub fn get(&self, node: &str) -> Option<&NodeRecord> {
        self.find(node).map(|place| &self.nodes[place])
    }

    /// Returns the nodes, sorted by their names.
    pub fn nodes(&self) -> &[NodeRecord] {
        &self.nodes
    }

    /// Returns the hash of the name of the node at a place.
    pub(crate) fn hash_at(&self, place: usize) -> u64 {
        self.hashes[place]
    }

    /// Tells whether there is none.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Returns the node that runs the items of a job.
    ///
    /// It is the one that the manifest names. If that is not there any more,
    /// all nodes agree on another by rendezvous hashing, without a write:
    /// the jobs of a lost node spread over the others.
    pub fn owner<'a>(
        &'a self,
        job: &JobKey,
        manifest: &'a JobManifest,
    ) -> Option<&'a str> {
        if self.has(&manifest.owner) {
            return Some(&manifest.owner);
        }
        let hash = stable_hash(&[job.as_str()]);
        let best = (0..self.len()).max_by_key(|at| self.rank(*at, hash))?;
        Some(&self.nodes[best].node)
    }

    /// Returns the node for a new job: of a few that the job draws the one
    /// with the least open items.
    ///
    /// Hashing jobs to nodes was rejected: with a few open jobs a node, one
    /// has twice the mean now and then, and its items are late while others
    /// are idle. So was the least of all nodes: what fronts know of open
    /// items is up to a second old, several jobs go to the node that looks
    /// idle, and each has to be moved, which takes several calls.
    pub fn least_loaded(
        &self,
        job: &JobKey,
        backlog: &Backlog,
    ) -> Option<&str> {
        let drawn = self.draw(stable_hash(&[job.as_str()]));
        let least = drawn.min_by_key(|node| backlog.items_of(&node.node))?;
        Some(&least.node)
    }

    /// Draws a few nodes; equal draws are equal on all nodes.
    pub(crate) fn draw(&self, draw: u64) -> impl Iterator<Item = &NodeRecord> {
        let len = self.nodes.len();
        let count = len.min(DRAWN);
        (0..count).map(move |nth| {
            let place = match len <= DRAWN {
                // All of them, from another one on for each draw, so that
                // equals are not always taken in the same order.
                true => (draw as usize).wrapping_add(nth) % len,
                // Drawn one by one: with steps of one length, a fleet whose
                // busy nodes lie as regularly draws only those.
                false => mix(draw ^ (nth as u64 + 1)) as usize % len,
            };
            &self.nodes[place]
        })
    }

    fn rank(&self, at: usize, hash: u64) -> u64 {
        mix(self.hashes[at] ^ hash)
    }
}

/// Nodes among which one is chosen by what was known of their load a moment
/// ago. With two of many the most loaded one has little more than the mean,
/// with all of them every choice of that moment falls on the same one.
const DRAWN: usize = 4;

/// Open items by the node that runs them.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    items: IndexMap<String, u32>,
}

impl Backlog {
    /// Counts the open items of some jobs.
    pub fn of<'a>(
        members: &Members,
        jobs: impl IntoIterator<Item = (&'a JobKey, &'a JobManifest)>,
    ) -> Self {
        let mut backlog = Self::default();
        for (job, manifest) in jobs {
            if manifest.is_closed() {
                continue;
            }
            if let Some(owner) = members.owner(job, manifest) {
                backlog.add(owner, manifest.open_items());
            }
        }
        backlog
    }

    pub(crate) fn add(&mut self, node: &str, items: u32) {
        match self.items.get_mut(node) {
            Some(known) => *known += items,
            None => {
                self.items.insert(node.to_owned(), items);
            }
        }
    }

    /// Returns the open items of one node.
    pub fn items_of(&self, node: &str) -> u32 {
        self.items.get(node).copied().unwrap_or_default()
    }
}

/// All nodes that are there now.
///
/// Clones share the sets, so that whoever keeps what it made of them sees by
/// the pointers whether they have changed.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    /// Nodes that run items.
    pub workers: Arc<Members>,
    /// Nodes that take callers' requests.
    pub fronts: Arc<Members>,
}

impl Roster {
    /// Sorts nodes by what they do.
    pub fn new(nodes: &[NodeRecord]) -> Self {
        Self {
            workers: Arc::new(Members::new(nodes.iter().cloned())),
            fronts: Arc::new(Members::fronts(nodes.iter().cloned())),
        }
    }

    /// Returns how many nodes there are.
    pub fn len(&self) -> usize {
        self.workers.len() + self.fronts.len()
    }

    /// Tells whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns a node by its name.
    pub fn get(&self, node: &str) -> Option<&NodeRecord> {
        self.workers.get(node).or_else(|| self.fronts.get(node))
    }

    /// Returns all nodes with the hashes of their names.
    pub fn hashed(&self) -> impl Iterator<Item = (u64, &NodeRecord)> {
        let sets = [&self.fronts, &self.workers].into_iter();
        sets.flat_map(|set| set.hashes.iter().copied().zip(&set.nodes))
    }

    /// Returns all nodes, fronts first.
    pub fn iter(&self) -> impl Iterator<Item = &NodeRecord> {
        self.fronts.nodes().iter().chain(self.workers.nodes())
    }

    /// Tells whether another roster has the same sets.
    pub fn is_same(&self, other: &Roster) -> bool {
        Arc::ptr_eq(&self.workers, &other.workers)
            && Arc::ptr_eq(&self.fronts, &other.fronts)
    }
}
