use std::sync::Arc;

use base::Millis;
use indexmap::IndexMap;

use crate::{NodeRecord, SpoolState};

/// Maximum time between two confirmations of the view, in milliseconds, for
/// which the key-value service counts as available without interruption.
const MAX_CONFIRMATION_GAP_MS: u64 = 2_500;

/// Time for the removal of an expired entry to reach all nodes, in
/// milliseconds.
const PROPAGATION_MS: u64 = 250;

const MS_PER_S: u64 = 1_000;

/// A node whose disk may hold spooled jobs, and that is not listed.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct MissingSpool {
    /// Name of the node.
    pub node: String,
    /// Revision of the key that names the node.
    pub revision: u64,
}

/// What the entries of all nodes say about spooled jobs.
///
/// A job that is accepted without the key-value service is spooled on more
/// disks than may be lost at once. If no more nodes than that are missing or
/// hold jobs, each accepted job is in the ledger.
#[derive(Clone, Debug, Default)]
pub(crate) struct SpoolSummary {
    /// Number of nodes that may hold a job that the ledger does not have.
    pub(crate) unwritten: usize,
    pub(crate) missing: Arc<Vec<MissingSpool>>,
    /// Longest time to live of an entry that was counted as written.
    lease_ms: u64,
    has_disks: bool,
}

impl SpoolSummary {
    pub(crate) fn new(
        marks: &IndexMap<String, u64>,
        nodes: &IndexMap<String, NodeRecord>,
    ) -> Self {
        let mut summary = Self {
            has_disks: !marks.is_empty(),
            ..Self::default()
        };
        let mut missing = Vec::new();
        for (name, revision) in marks {
            let listed = nodes.get(name);
            match listed {
                Some(node) if node.spool == SpoolState::Written => {
                    let lease_ms = u64::from(node.lease_s) * MS_PER_S;
                    summary.lease_ms = summary.lease_ms.max(lease_ms);
                }
                _ => summary.unwritten += 1,
            }
            if listed.is_none() {
                missing.push(MissingSpool {
                    node: name.clone(),
                    revision: *revision,
                });
            }
        }
        summary.missing = Arc::new(missing);
        summary
    }
}

/// For how long the key-value service has been available to this node.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Availability {
    since: Option<Millis>,
    confirmed_at: Option<Millis>,
}

impl Availability {
    /// Records a time up to which this node knows all changes.
    pub(crate) fn confirm(&mut self, at: Millis) {
        let is_interrupted = self.confirmed_at.is_none_or(|last| {
            at.saturating_ms_since(last) > MAX_CONFIRMATION_GAP_MS
        });
        if is_interrupted {
            self.since = Some(at);
        }
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Reports whether each entry that is listed has been renewed since the
    /// last interruption: the entry of a node that is lost may exist for its
    /// time to live after the interruption.
    fn has_outlasted(self, lease_ms: u64, now: Millis) -> bool {
        let is_current = self.confirmed_at.is_some_and(|at| {
            now.saturating_ms_since(at) <= MAX_CONFIRMATION_GAP_MS
        });
        let wait_ms = lease_ms + PROPAGATION_MS;
        is_current
            && self
                .since
                .is_some_and(|at| now.saturating_ms_since(at) >= wait_ms)
    }

    /// Reports whether the ledger is known to have each job that was accepted
    /// before the last second.
    pub(crate) fn proves_written(
        self,
        summary: &SpoolSummary,
        disk_losses: usize,
        now: Millis,
    ) -> bool {
        let lease_ms = summary.lease_ms;
        match summary.has_disks {
            true => {
                summary.unwritten <= disk_losses
                    && self.has_outlasted(lease_ms, now)
            }
            false => self.confirmed_at.is_some(),
        }
    }
}
