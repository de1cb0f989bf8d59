use std::{net::SocketAddr, sync::Arc};

use base::{mix, stable_hash};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{JobKey, JobManifest};

/// The entry of a node in the membership.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Name of the node.
    pub node: String,
    /// Failure domain of the node.
    pub failure_domain: String,
    /// Whether the node runs items of jobs.
    pub runs_items: bool,
    /// Address at which other nodes reach the node.
    pub address: Option<SocketAddr>,
    /// Address at which the node counts requests against rate limits.
    #[serde(default)]
    pub limits: Option<SocketAddr>,
    /// Address at which the node stores the origins of streams.
    #[serde(default)]
    pub origins: Option<SocketAddr>,
    /// Time to live of the entry in seconds; 0 if not specified.
    #[serde(default)]
    pub lease_s: u32,
    /// Whether the disk of the node holds jobs that the ledger may not have.
    #[serde(default)]
    pub spool: SpoolState,
}

/// What a node states in its entry about the jobs that it has spooled.
///
/// A node renews its entry only while the statement is true, so that an entry
/// that was written before an outage and still exists after it says nothing
/// false for longer than its time to live.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum SpoolState {
    /// The node may hold jobs that are nowhere else, or has lost its disk with
    /// such jobs.
    #[default]
    Unknown,
    /// The ledger has each job that the node has accepted.
    Written,
}

/// The current nodes of one kind: nodes that run items, or nodes that serve
/// callers' requests.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Members {
    nodes: Vec<NodeRecord>,
    hashes: Vec<u64>,
}

impl Members {
    /// Creates a set of the nodes that run items.
    pub fn new(nodes: impl IntoIterator<Item = NodeRecord>) -> Self {
        Self::of(nodes.into_iter().filter(|node| node.runs_items))
    }

    /// Creates a set of the nodes that serve callers' requests.
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

    /// Returns the number of nodes.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Reports whether a node is a member.
    pub fn has(&self, node: &str) -> bool {
        self.find(node).is_some()
    }

    /// Returns the index of a node among the members.
    pub(crate) fn find(&self, node: &str) -> Option<usize> {
        let order = |known: &NodeRecord| known.node.as_str().cmp(node);
        self.nodes.binary_search_by(order).ok()
    }

    /// Returns a node by its name.
    pub fn get(&self, node: &str) -> Option<&NodeRecord> {
        self.find(node).map(|index| &self.nodes[index])
    }

    /// Returns the nodes, sorted by name.
    pub fn nodes(&self) -> &[NodeRecord] {
        &self.nodes
    }

    /// Returns the hash of the name of the node at `index`.
    pub(crate) fn hash_at(&self, index: usize) -> u64 {
        self.hashes[index]
    }

    /// Reports whether there are no nodes.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Returns the node that runs the items of a job.
    ///
    /// This is the owner that the manifest names. If the owner is not a member
    /// any more, all nodes choose the same other node by rendezvous hashing,
    /// without a write, so that the jobs of a lost node are distributed over
    /// the remaining nodes.
    pub fn owner<'a>(
        &'a self,
        job: &JobKey,
        manifest: &'a JobManifest,
    ) -> Option<&'a str> {
        if self.has(&manifest.owner) {
            return Some(&manifest.owner);
        }
        let hash = stable_hash(&[job.as_str()]);
        let chosen = (0..self.len()).max_by_key(|at| self.rank(*at, hash))?;
        Some(&self.nodes[chosen].node)
    }

    /// Returns the node for a new job: the node with the fewest open items of
    /// a small sample that depends on the job's key.
    ///
    /// Hashing jobs to nodes is not even enough: with a few open jobs per
    /// node, a node has twice the average now and then, and its items are late
    /// while other nodes are idle. Choosing the least loaded of all nodes does
    /// not work either: the fronts' counts of open items are up to a second
    /// old, so that several jobs go to the node that looks idle, and moving
    /// each of them costs several calls.
    pub fn least_loaded(
        &self,
        job: &JobKey,
        backlog: &Backlog,
    ) -> Option<&str> {
        let sample = self.sample(stable_hash(&[job.as_str()]));
        let least_loaded_node =
            sample.min_by_key(|node| backlog.items_of(&node.node))?;
        Some(&least_loaded_node.node)
    }

    /// Samples a few nodes; equal seeds give equal samples on all nodes.
    pub(crate) fn sample(
        &self,
        seed: u64,
    ) -> impl Iterator<Item = &NodeRecord> {
        let len = self.nodes.len();
        let count = len.min(SAMPLE_SIZE);
        (0..count).map(move |nth| {
            let index = match len <= SAMPLE_SIZE {
                // Takes all nodes, starting at an index that depends on the
                // seed, so that ties are not always resolved in the same
                // order.
                true => (seed as usize).wrapping_add(nth) % len,
                // Draws each index independently: with a constant step, a
                // fleet whose busy nodes are spaced by the same step would
                // sample only those.
                false => mix(seed ^ (nth as u64 + 1)) as usize % len,
            };
            &self.nodes[index]
        })
    }

    /// Returns a few different nodes that depend on the key of a job, the same
    /// on all nodes that know the same members. The number of steps does not
    /// depend on the number of members.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_jobs::{JobKey, Members};
    ///
    /// let job: JobKey = "job-1".parse()?;
    /// assert!(Members::default().draw(&job).is_empty());
    /// # Ok::<(), pomeloslip_jobs::JobError>(())
    /// ```
    pub fn draw(&self, job: &JobKey) -> Vec<&NodeRecord> {
        let hash = stable_hash(&[job.as_str()]);
        let mut drawn: Vec<usize> = Vec::with_capacity(DRAWS);
        for nth in 0..DRAWS as u64 {
            let index = mix(hash ^ nth) as usize;
            match index.checked_rem(self.nodes.len()) {
                Some(index) if !drawn.contains(&index) => drawn.push(index),
                _ => {}
            }
        }
        drawn.into_iter().map(|index| &self.nodes[index]).collect()
    }

    fn rank(&self, at: usize, hash: u64) -> u64 {
        mix(self.hashes[at] ^ hash)
    }
}

/// Number of nodes from which one is chosen by load information that may be
/// stale. With two of many nodes the most loaded node has little more than the
/// average; with all nodes, all choices made at the same time select the same
/// node.
const SAMPLE_SIZE: usize = 4;

/// Number of times that a node is drawn for a job. With two copies of a job in
/// three failure domains, all draws are of one domain once in two thousand
/// jobs.
const DRAWS: usize = 8;

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

/// All current nodes.
///
/// Clones share the sets, so that a user of a roster can compare pointers to
/// detect whether the nodes have changed.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    /// Nodes that run items.
    pub workers: Arc<Members>,
    /// Nodes that serve callers' requests.
    pub fronts: Arc<Members>,
}

impl Roster {
    /// Groups nodes by their kind.
    pub fn new(nodes: &[NodeRecord]) -> Self {
        Self {
            workers: Arc::new(Members::new(nodes.iter().cloned())),
            fronts: Arc::new(Members::fronts(nodes.iter().cloned())),
        }
    }

    /// Returns the number of nodes.
    pub fn len(&self) -> usize {
        self.workers.len() + self.fronts.len()
    }

    /// Reports whether there are no nodes.
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

    /// Reports whether another roster shares the same sets.
    pub fn is_same(&self, other: &Roster) -> bool {
        Arc::ptr_eq(&self.workers, &other.workers)
            && Arc::ptr_eq(&self.fronts, &other.fronts)
    }
}
