use base::stable_hash;
use fleet::EndpointRecord;
use serde::{Deserialize, Serialize};

use crate::JobKey;

/// A node that runs items, as it tells of itself.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunnerRecord {
    /// Name of the node.
    pub node: String,
    /// Failure domain that it stands in.
    pub failure_domain: String,
    /// Number of this life of the process.
    pub life: u64,
}

/// The nodes that run items now.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Members {
    runners: Vec<RunnerRecord>,
}

impl Members {
    /// Makes a set of nodes.
    pub fn new(runners: impl IntoIterator<Item = RunnerRecord>) -> Self {
        Self {
            runners: runners.into_iter().collect(),
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
}

/// Shares jobs and endpoints between the nodes that run items.
///
/// Every node computes the same shares from the same members by rendezvous
/// hashing, without a message. While members change, two nodes may both
/// think that a job is theirs; the job's compare-and-swap keeps the results
/// right, and only some runs are made twice.
#[derive(Clone, Debug)]
pub struct Plan {
    node: String,
    members: Members,
}

impl Plan {
    /// Makes the plan of one node. A node that does not find itself among
    /// the members, because its entry has lapsed or is not written yet, has
    /// no share.
    pub fn new(node: &str, members: Members) -> Self {
        Self {
            node: node.to_owned(),
            members,
        }
    }

    /// Tells whether this node runs the items of a job.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_jobs::{Members, Plan, RunnerRecord};
    ///
    /// let nodes = ["a", "b"].map(|node| RunnerRecord {
    ///     node: node.to_owned(),
    ///     failure_domain: "east".to_owned(),
    ///     life: 1,
    /// });
    /// let members = Members::new(nodes);
    /// let job = "job-1".parse()?;
    /// let owners = ["a", "b", "c"]
    ///     .map(|node| Plan::new(node, members.clone()).owns_job(&job));
    /// assert_eq!(owners.iter().filter(|owns| **owns).count(), 1);
    /// # Ok::<(), pomeloslip_jobs::JobError>(())
    /// ```
    pub fn owns_job(&self, job: &JobKey) -> bool {
        let all = self.members.runners.iter();
        self.wins(all, job.as_str())
    }

    /// Tells whether this node uses an endpoint for items: those of its own
    /// failure domain, and its share of those whose domain has no node.
    pub fn uses_endpoint(&self, endpoint: &EndpointRecord) -> bool {
        let near = |runner: &&RunnerRecord| {
            runner.failure_domain == endpoint.failure_domain
        };
        let runners = &self.members.runners;
        match runners.iter().any(|runner| near(&runner)) {
            true => self.wins(runners.iter().filter(near), &endpoint.id),
            false => self.wins(runners.iter(), &endpoint.id),
        }
    }

    fn wins<'a>(
        &self,
        runners: impl Iterator<Item = &'a RunnerRecord>,
        what: &str,
    ) -> bool {
        let rank = |r: &&RunnerRecord| stable_hash(&[&r.node, what]);
        runners
            .max_by_key(rank)
            .is_some_and(|r| r.node == self.node)
    }
}
