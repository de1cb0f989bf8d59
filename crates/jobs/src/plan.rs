use std::sync::Arc;

use fleet::{Endpoint, IncarnationKey};
use indexmap::IndexMap;

use crate::{JobHead, JobKey, Members, NodeRecord, ring::Ring};

/// Shares the endpoints between the nodes that run items.
///
/// Every node computes the same shares from the same members and endpoints,
/// without a message. Shares differ by one endpoint at most: by plain
/// hashing one of two nodes may get nearly all endpoints of its domain, and
/// the jobs of the other one are left lying.
///
/// A plan costs a few steps for each endpoint, whatever the number of nodes.
/// Looking for the best node of all for each endpoint was rejected: a restart
/// of everything makes each node plan again for each other one.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    node: String,
    members: Arc<Members>,
    users: IndexMap<IncarnationKey, usize>,
    /// Endpoints of each node, by its place among the members.
    counts: Vec<usize>,
    own: Vec<IncarnationKey>,
    steps: usize,
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
    ///     limits: None,
    ///     lease_s: 0,
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
    /// assert_eq!(plan.own().len(), 2);
    /// ```
    pub fn new<'a>(
        node: &str,
        members: impl Into<Arc<Members>>,
        endpoints: impl IntoIterator<Item = &'a Endpoint>,
    ) -> Self {
        let mut endpoints: Vec<&Endpoint> = endpoints.into_iter().collect();
        endpoints.sort_by_key(|endpoint| endpoint.id_hash());
        let members = members.into();
        let mut plan = Self {
            node: node.to_owned(),
            counts: vec![0; members.len()],
            members,
            ..Self::default()
        };
        if !plan.members.is_empty() {
            plan.share(&endpoints);
        }
        if let Some(me) = plan.members.find(node) {
            let used = plan.users.iter().filter(|(_, user)| **user == me);
            plan.own = used.map(|(life, _)| *life).collect();
        }
        plan
    }

    /// Gives every node the smaller share first, from its own domain as far
    /// as that goes, and then what is left over, one to a node.
    fn share(&mut self, endpoints: &[&Endpoint]) {
        let nodes = self.members.len();
        let (least, most) =
            (endpoints.len() / nodes, endpoints.len().div_ceil(nodes));
        let rest = self.share_near(endpoints.to_vec(), least);
        let rest = self.share_far(rest, least);
        let rest = self.share_near(rest, most);
        self.share_far(rest, most);
    }

    /// Gives endpoints to nodes of their own domain that have less than
    /// `room`; returns the rest.
    fn share_near<'a>(
        &mut self,
        endpoints: Vec<&'a Endpoint>,
        room: usize,
    ) -> Vec<&'a Endpoint> {
        let mut by_domain: IndexMap<&str, Vec<&Endpoint>> = IndexMap::new();
        for endpoint in endpoints {
            let domain = endpoint.record().failure_domain.as_str();
            by_domain.entry(domain).or_default().push(endpoint);
        }
        let mut rest = Vec::new();
        for (domain, endpoints) in by_domain {
            let near = |node: &NodeRecord| node.failure_domain == domain;
            let ring = Ring::new(&self.members, near);
            rest.extend(self.share_on(ring, endpoints, room));
        }
        rest
    }

    /// Gives endpoints to any nodes that have less than `room`; returns the
    /// rest.
    fn share_far<'a>(
        &mut self,
        endpoints: Vec<&'a Endpoint>,
        room: usize,
    ) -> Vec<&'a Endpoint> {
        if endpoints.is_empty() {
            return endpoints;
        }
        let ring = Ring::new(&self.members, |_| true);
        self.share_on(ring, endpoints, room)
    }

    fn share_on<'a>(
        &mut self,
        mut ring: Ring,
        mut endpoints: Vec<&'a Endpoint>,
        room: usize,
    ) -> Vec<&'a Endpoint> {
        endpoints.retain(|endpoint| {
            let counts = &self.counts;
            let has_room = |node: usize| counts[node] < room;
            let user = ring.find(endpoint.id_hash(), has_room);
            if let Some(user) = user {
                self.counts[user] += 1;
                self.users.insert(endpoint.incarnation_key(), user);
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

    /// Returns how many points of rings were looked at to make this plan: a
    /// measure of its cost that no clock disturbs.
    pub fn steps(&self) -> usize {
        self.steps
    }

    /// Returns the endpoints that this node uses.
    pub fn own(&self) -> &[IncarnationKey] {
        &self.own
    }

    /// Tells whether a node uses no endpoint: there are fewer of them than
    /// nodes. Its jobs would be left lying.
    pub fn is_without_share(&self, node: &str) -> bool {
        let place = self.members.find(node);
        place.is_none_or(|place| self.counts[place] == 0)
    }

    /// Tells whether this node runs the items of a job.
    pub fn owns_job(&self, job: &JobKey, head: &JobHead) -> bool {
        self.members.owner(job, head) == Some(&self.node)
    }

    /// Returns the node that uses an endpoint.
    pub fn user_of(&self, endpoint: IncarnationKey) -> Option<&NodeRecord> {
        let place = self.users.get(&endpoint)?;
        self.members.nodes().get(*place)
    }

    /// Tells whether this node uses an endpoint.
    pub fn uses_endpoint(&self, endpoint: IncarnationKey) -> bool {
        self.user_of(endpoint)
            .is_some_and(|user| user.node == self.node)
    }
}
