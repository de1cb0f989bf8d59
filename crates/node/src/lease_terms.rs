//! Decides how long the entries of nodes live.

/// Minimum time to live of a node's entry, in seconds: its jobs are taken over
/// that long after the node is lost, and two renewals may fail before the
/// entry expires.
const MIN_LEASE_S: u32 = 3;

/// Maximum time to live of a node's entry, in seconds. When a front is lost
/// for good, others wait that long for reports of its load at the
/// endpoints of its share.
const MAX_LEASE_S: u32 = 60;

/// Number of workers up to which entries live for [`MIN_LEASE_S`]. With more
/// workers the time grows, so that all together renew as often as this many.
const WORKERS_AT_MIN_LEASE: usize = 40;

/// The same for fronts, from which nothing has to be taken over.
const FRONTS_AT_MIN_LEASE: usize = 50;

/// Number of fronts that a front assumes until it knows the actual number.
/// Otherwise all fronts of a large fleet would write their entries twice; with
/// this value those of a small one do, at a few calls each.
pub(crate) const ASSUMED_FRONTS: usize = 5 * FRONTS_AT_MIN_LEASE;

/// Ratio of the actual to the wanted time to live, or the reverse, beyond
/// which the entry is written again under a new lease, in percent.
const LEASE_MISMATCH_PERCENT: u32 = 150;

/// Decides the time to live of a node's entry.
///
/// Each renewal is a call. With the same time to live for fleets of all sizes
/// the renewals grow with the fleet, and were a third of all calls of 343
/// nodes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseTerms {
    min_s: u32,
    /// Number of nodes of the kind up to which the minimum time applies.
    nodes_at_min: usize,
}

impl LeaseTerms {
    /// Creates the terms for a kind of node. `min_ms` is the shortest lease
    /// that the key-value service grants.
    ///
    /// Without that bound the key-value service rejects the lease, the node is
    /// never listed, and receives no jobs.
    pub(crate) fn new(runs_items: bool, min_ms: u64) -> Self {
        let min_s = min_ms.div_ceil(1_000).min(u64::from(u32::MAX));
        Self {
            min_s: MIN_LEASE_S.max(min_s as u32),
            nodes_at_min: match runs_items {
                true => WORKERS_AT_MIN_LEASE,
                false => FRONTS_AT_MIN_LEASE,
            },
        }
    }

    /// Returns the time to live for a number of nodes of the kind.
    pub(crate) fn lease_s(&self, count: usize) -> u32 {
        let scaled = MIN_LEASE_S as usize * count / self.nodes_at_min;
        let scaled = u32::try_from(scaled).unwrap_or(MAX_LEASE_S);
        scaled.min(MAX_LEASE_S).max(self.min_s)
    }

    /// Reports whether an entry has to be written again under a new lease.
    pub(crate) fn is_mismatched(&self, held_s: u32, count: usize) -> bool {
        let wanted_s = self.lease_s(count);
        held_s * 100 > wanted_s * LEASE_MISMATCH_PERCENT
            || wanted_s * 100 > held_s * LEASE_MISMATCH_PERCENT
    }
}

#[cfg(test)]
#[path = "../tests/unit/lease_terms.rs"]
mod tests;
