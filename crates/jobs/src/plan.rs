use std::net::SocketAddr;

use base::{mix, stable_hash};
use fleet::Endpoint;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{JobHead, JobKey};

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
}

/// The nodes that run items now.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Members {
    runners: Vec<NodeRecord>,
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
        let mut runners: Vec<NodeRecord> = nodes.collect();
        runners.sort_by(|a, b| a.node.cmp(&b.node));
        let hashes = runners.iter().map(|r| stable_hash(&[&r.node]));
        Self {
            hashes: hashes.collect(),
            runners,
        }
    }

    /// Returns how many there are.
    pub fn len(&self) -> usize {
        self.runners.len()
    }

    /// Tells whether a node is among them.
    pub fn has(&self, node: &str) -> bool {
        self.runners.iter().any(|runner| runner.node == node)
    }

    /// Tells whether there is none.
    pub fn is_empty(&self) -> bool {
        self.runners.is_empty()
    }

    /// Returns the node that runs the items of a job.
    ///
    /// It is the one that the head names. If that is not there any more,
    /// all nodes agree on another by rendezvous hashing, without a write:
    /// the jobs of a lost node spread over the others.
    pub fn owner<'a>(
        &'a self,
        job: &JobKey,
        head: &'a JobHead,
    ) -> Option<&'a str> {
        if self.has(&head.owner) {
            return Some(&head.owner);
        }
        let hash = stable_hash(&[job.as_str()]);
        let best = (0..self.len()).max_by_key(|at| self.rank(*at, hash))?;
        Some(&self.runners[best].node)
    }

    /// Returns the node with the least open items, for a new job.
    ///
    /// Hashing jobs to nodes was measured first: with twenty open jobs on
    /// four nodes one has twice the mean now and then, and its items are
    /// late while the others are idle.
    pub fn least_loaded(&self, backlog: &Backlog) -> Option<&str> {
        let runners = self.runners.iter();
        let least = runners.min_by_key(|r| backlog.items_of(&r.node))?;
        Some(&least.node)
    }

    fn rank(&self, at: usize, hash: u64) -> u64 {
        mix(self.hashes[at] ^ hash)
    }
}

/// Open items by the node that runs them.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    items: IndexMap<String, u32>,
}

impl Backlog {
    /// Counts the open items of some jobs.
    pub fn of<'a>(
        members: &Members,
        jobs: impl IntoIterator<Item = (&'a JobKey, &'a JobHead)>,
    ) -> Self {
        let mut items: IndexMap<String, u32> = IndexMap::new();
        for (job, head) in jobs {
            if head.is_closed() {
                continue;
            }
            if let Some(owner) = members.owner(job, head) {
                let open = head.total - head.listed.len() as u32;
                *items.entry(owner.to_owned()).or_default() += open;
            }
        }
        Self { items }
    }

    /// Returns the open items of one node.
    pub fn items_of(&self, node: &str) -> u32 {
        self.items.get(node).copied().unwrap_or_default()
    }

    /// Returns the node with the most open items.
    pub fn most_loaded(&self) -> Option<(&str, u32)> {
        let most = self.items.iter().max_by_key(|(_, items)| **items)?;
        Some((most.0, *most.1))
    }
}

/// Shares the endpoints between the nodes that run items.
///
/// Every node computes the same shares from the same members and endpoints,
/// without a message. Shares differ by one endpoint at most: with shares by
/// plain hashing, a domain with two nodes gave one of them four of its five
/// endpoints, and the other one's jobs were left lying.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    node: String,
    members: Members,
    users: IndexMap<String, usize>,
}

impl Plan {
    /// Makes the plan of one node. A node that does not find itself among
    /// the members, because its entry has lapsed or is not written yet, has
    /// no share.
    ///
    /// # Example
    ///
    /// ```
    /// use fleet::{Endpoint, EndpointRecord, EndpointState};
    /// use pomeloslip_jobs::{Members, Plan, NodeRecord};
    ///
    /// let nodes = ["a", "b"].map(|node| NodeRecord {
    ///     node: node.to_owned(),
    ///     failure_domain: "east".to_owned(),
    ///     runs_items: true,
    ///     address: None,
    /// });
    /// let endpoints = ["1", "2", "3", "4"].map(|id| {
    ///     Endpoint::new(EndpointRecord {
    ///         id: id.to_owned(),
    ///         started_at: None,
    ///         address: ([127, 0, 0, 1], 80).into(),
    ///         service: "engines".to_owned(),
    ///         failure_domain: "east".to_owned(),
    ///         slots: 8,
    ///         state: EndpointState::Ready,
    ///     })
    /// });
    /// let members = Members::new(nodes);
    /// let plan = Plan::new("a", members, endpoints.iter());
    /// let used = ["1", "2", "3", "4"].map(|id| plan.uses_endpoint(id));
    /// assert_eq!(used.iter().filter(|uses| **uses).count(), 2);
    /// ```
    pub fn new<'a>(
        node: &str,
        members: Members,
        endpoints: impl IntoIterator<Item = &'a Endpoint>,
    ) -> Self {
        let mut endpoints: Vec<&Endpoint> = endpoints.into_iter().collect();
        endpoints.sort_by_key(|endpoint| endpoint.spread());
        let mut plan = Self {
            node: node.to_owned(),
            members,
            users: IndexMap::new(),
        };
        if !plan.members.is_empty() {
            plan.share(&endpoints);
        }
        plan
    }

    /// Gives every node the smaller share first, from its own domain as far
    /// as that goes, and then what is left over, one to a node.
    fn share(&mut self, endpoints: &[&Endpoint]) {
        let nodes = self.members.len();
        let (least, most) =
            (endpoints.len() / nodes, endpoints.len().div_ceil(nodes));
        let mut counts = vec![0; nodes];
        let mut rest = endpoints.to_vec();
        for (room, near) in
            [(least, true), (least, false), (most, true), (most, false)]
        {
            rest.retain(|endpoint| {
                let user = self.best_user(endpoint, &counts, room, near);
                if let Some(user) = user {
                    counts[user] += 1;
                    self.users.insert(endpoint.record().id.clone(), user);
                }
                user.is_none()
            });
        }
    }

    fn best_user(
        &self,
        endpoint: &Endpoint,
        counts: &[usize],
        most: usize,
        near: bool,
    ) -> Option<usize> {
        let domain = &endpoint.record().failure_domain;
        let runners = &self.members.runners;
        let all = 0..runners.len();
        all.filter(|at| counts[*at] < most)
            .filter(|at| !near || runners[*at].failure_domain == *domain)
            .max_by_key(|at| self.members.rank(*at, endpoint.spread()))
    }

    /// Returns the members.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Tells whether a node uses no endpoint: there are fewer of them than
    /// nodes. Its jobs would be left lying.
    pub fn is_without_share(&self, node: &str) -> bool {
        let runners = &self.members.runners;
        !self.users.values().any(|at| runners[*at].node == node)
    }

    /// Tells whether this node runs the items of a job.
    pub fn owns_job(&self, job: &JobKey, head: &JobHead) -> bool {
        self.members.owner(job, head) == Some(&self.node)
    }

    /// Returns the node that uses an endpoint for items.
    pub fn user_of(&self, endpoint: &str) -> Option<&NodeRecord> {
        let at = self.users.get(endpoint)?;
        self.members.runners.get(*at)
    }

    /// Tells whether this node uses an endpoint for items.
    pub fn uses_endpoint(&self, endpoint: &str) -> bool {
        self.user_of(endpoint)
            .is_some_and(|user| user.node == self.node)
    }
}
