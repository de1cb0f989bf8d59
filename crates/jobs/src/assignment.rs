use std::sync::Arc;

use fleet::{Endpoint, IncarnationKey};
use indexmap::IndexMap;

use crate::{JobKey, JobManifest, Members, NodeRecord, ring::HashRing};

/// Assigns each endpoint to one of the nodes that run items.
///
/// Every node computes the same assignment from the same members and endpoints
/// without exchanging messages. The nodes' endpoint counts differ by one at
/// most. Plain hashing may give one of two nodes nearly all endpoints of its
/// failure domain, so that the jobs of the other node make no progress.
///
/// The cost of an assignment is a few steps for each endpoint and does not
/// depend on the number of nodes. Ranking all nodes for each endpoint is too
/// expensive: when all nodes restart, each node computes a new assignment for
/// each other node that joins.
#[derive(Clone, Debug, Default)]
pub struct Assignment {
    node: String,
    members: Arc<Members>,
    user_by_endpoint: IndexMap<IncarnationKey, usize>,
    /// Number of endpoints of each node, by the node's index among the
    /// members.
    endpoint_counts: Vec<usize>,
    own_endpoints: Vec<IncarnationKey>,
    steps: usize,
}

impl Assignment {
    /// Computes the assignment as seen by one node. A node that is not among
    /// the members, because its entry has expired or is not written yet, has
    /// no endpoints.
    ///
    /// # Example
    ///
    /// ```
    /// use fleet::{Endpoint, EndpointRecord, EndpointState};
    /// use pomeloslip_jobs::{Members, Assignment, NodeRecord};
    ///
    /// let nodes = ["a", "b"].map(|node| NodeRecord {
    ///     node: node.to_owned(),
    ///     failure_domain: "east".to_owned(),
    ///     runs_items: true,
    ///     address: None,
    ///     limits: None,
    ///     origins: None,
    ///     lease_s: 0,
    ///     spool: Default::default(),
    /// });
    /// let endpoints = ["1", "2", "3", "4"].map(|id| {
    ///     Endpoint::new(EndpointRecord {
    ///         id: id.to_owned(),
    ///         started_at: None,
    ///         version: None,
    ///         address: ([127, 0, 0, 1], 80).into(),
    ///         service: "engines".to_owned(),
    ///         failure_domain: "east".to_owned(),
    ///         slots: 8,
    ///         state: EndpointState::Ready,
    ///     })
    /// });
    /// let members = Members::new(nodes);
    /// let assignment = Assignment::new("a", members, endpoints.iter());
    /// assert_eq!(assignment.own_endpoints().len(), 2);
    /// ```
    pub fn new<'a>(
        node: &str,
        members: impl Into<Arc<Members>>,
        endpoints: impl IntoIterator<Item = &'a Endpoint>,
    ) -> Self {
        let mut endpoints: Vec<&Endpoint> = endpoints.into_iter().collect();
        endpoints.sort_by_key(|endpoint| endpoint.id_hash());
        let members = members.into();
        let mut assignment = Self {
            node: node.to_owned(),
            endpoint_counts: vec![0; members.len()],
            members,
            ..Self::default()
        };
        if !assignment.members.is_empty() {
            assignment.distribute(&endpoints);
        }
        if let Some(own_index) = assignment.members.find(node) {
            let used = assignment
                .user_by_endpoint
                .iter()
                .filter(|(_, user)| **user == own_index);
            assignment.own_endpoints =
                used.map(|(incarnation, _)| *incarnation).collect();
        }
        assignment
    }

    /// Fills every node up to the rounded-down average, first with endpoints
    /// of its own failure domain, and then assigns the remaining endpoints, at
    /// most one to each node.
    fn distribute(&mut self, endpoints: &[&Endpoint]) {
        let nodes = self.members.len();
        let (min, max) =
            (endpoints.len() / nodes, endpoints.len().div_ceil(nodes));
        let unassigned = self.assign_in_domain(endpoints.to_vec(), min);
        let unassigned = self.assign_anywhere(unassigned, min);
        let unassigned = self.assign_in_domain(unassigned, max);
        self.assign_anywhere(unassigned, max);
    }

    /// Assigns endpoints to nodes of the same failure domain that have fewer
    /// than `limit` endpoints; returns the endpoints that are left.
    fn assign_in_domain<'a>(
        &mut self,
        endpoints: Vec<&'a Endpoint>,
        limit: usize,
    ) -> Vec<&'a Endpoint> {
        let mut by_domain: IndexMap<&str, Vec<&Endpoint>> = IndexMap::new();
        for endpoint in endpoints {
            let domain = endpoint.record().failure_domain.as_str();
            by_domain.entry(domain).or_default().push(endpoint);
        }
        let mut unassigned = Vec::new();
        for (domain, endpoints) in by_domain {
            let is_in_domain =
                |node: &NodeRecord| node.failure_domain == domain;
            let ring = HashRing::new(&self.members, is_in_domain);
            unassigned.extend(self.assign_on_ring(ring, endpoints, limit));
        }
        unassigned
    }

    /// Assigns endpoints to any nodes that have fewer than `limit` endpoints;
    /// returns the endpoints that are left.
    fn assign_anywhere<'a>(
        &mut self,
        endpoints: Vec<&'a Endpoint>,
        limit: usize,
    ) -> Vec<&'a Endpoint> {
        if endpoints.is_empty() {
            return endpoints;
        }
        let ring = HashRing::new(&self.members, |_| true);
        self.assign_on_ring(ring, endpoints, limit)
    }

    fn assign_on_ring<'a>(
        &mut self,
        mut ring: HashRing,
        mut endpoints: Vec<&'a Endpoint>,
        limit: usize,
    ) -> Vec<&'a Endpoint> {
        endpoints.retain(|endpoint| {
            let endpoint_counts = &self.endpoint_counts;
            let has_capacity = |node: usize| endpoint_counts[node] < limit;
            let user = ring.find(endpoint.id_hash(), has_capacity);
            if let Some(user) = user {
                self.endpoint_counts[user] += 1;
                self.user_by_endpoint
                    .insert(endpoint.incarnation_key(), user);
            }
            user.is_none()
        });
        self.steps += ring.steps();
        endpoints
    }

    /// Returns the members.
    pub fn members(&self) -> &Arc<Members> {
        &self.members
    }

    /// Returns the number of ring points visited to compute this assignment: a
    /// measure of its cost that does not depend on a clock.
    pub fn steps(&self) -> usize {
        self.steps
    }

    /// Returns the endpoints that are assigned to this node.
    pub fn own_endpoints(&self) -> &[IncarnationKey] {
        &self.own_endpoints
    }

    /// Reports whether a node has no endpoint, which happens when there are
    /// fewer endpoints than nodes. The jobs of such a node make no progress.
    pub fn has_no_endpoints(&self, node: &str) -> bool {
        let index = self.members.find(node);
        index.is_none_or(|index| self.endpoint_counts[index] == 0)
    }

    /// Reports whether this node runs the items of a job.
    pub fn owns_job(&self, job: &JobKey, manifest: &JobManifest) -> bool {
        self.members.owner(job, manifest) == Some(&self.node)
    }

    /// Reports whether another node runs the items of a job. While no node is
    /// a member, because the entries of all have expired, no node does.
    pub fn is_owned_by_other(
        &self,
        job: &JobKey,
        manifest: &JobManifest,
    ) -> bool {
        let owner = self.members.owner(job, manifest);
        owner.is_some_and(|owner| owner != self.node)
    }

    /// Returns the node that an endpoint is assigned to.
    pub fn user_of(&self, endpoint: IncarnationKey) -> Option<&NodeRecord> {
        let index = self.user_by_endpoint.get(&endpoint)?;
        self.members.nodes().get(*index)
    }

    /// Reports whether an endpoint is assigned to this node.
    pub fn uses_endpoint(&self, endpoint: IncarnationKey) -> bool {
        self.user_of(endpoint)
            .is_some_and(|user| user.node == self.node)
    }
}
