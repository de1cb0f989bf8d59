use std::{sync::Arc, time::Duration};

use base::{Clock, Millis};
use error_stack::Report;
use jobs::{JobView, NODE_PREFIX, NodeRecord};
use kv::{KeyValue, Kv, KvError, LeaseId, Op, Txn, lease::HeldLease};
use tokio::{sync::watch, time};

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
const ASSUMED_FRONTS: usize = 5 * FRONTS_AT_MIN_LEASE;

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
    fn is_mismatched(&self, held_s: u32, count: usize) -> bool {
        let wanted_s = self.lease_s(count);
        held_s * 100 > wanted_s * LEASE_MISMATCH_PERCENT
            || wanted_s * 100 > held_s * LEASE_MISMATCH_PERCENT
    }
}

/// Pause after a failed call, in milliseconds.
const RETRY_MS: u64 = 250;

/// Signals between a node and the task that maintains its entry.
pub(crate) struct RegistrationSignals {
    /// Set to true when the entry is written.
    pub(crate) registered: watch::Sender<bool>,
    /// Becomes true when the node shuts down.
    pub(crate) shutdown: watch::Receiver<bool>,
    /// The entry of this node as found at the start, once it has been read.
    pub(crate) previous: watch::Receiver<Option<PreviousEntry>>,
}

/// The entry that the previous process of the same node has left.
#[derive(Clone, Debug, Default)]
pub(crate) struct PreviousEntry(Option<KeyValue>);

impl PreviousEntry {
    /// Finds the entry of a node among those of all nodes.
    pub(crate) fn find(entries: &[KeyValue], node: &str) -> Self {
        let is_own =
            |kv: &&KeyValue| kv.key.strip_prefix(NODE_PREFIX) == Some(node);
        Self(entries.iter().find(is_own).cloned())
    }

    /// Returns the lease and the time to live of the entry if its content
    /// equals `record`.
    fn lease_of(&self, record: &NodeRecord) -> Option<(LeaseId, u32)> {
        let entry = self.0.as_ref()?;
        let known = serde_json::from_slice::<NodeRecord>(&entry.value).ok()?;
        let lease_s = known.lease_s;
        let wanted = NodeRecord {
            lease_s,
            ..record.clone()
        };
        let is_same = known == wanted && lease_s > 0;
        entry
            .lease
            .filter(|_| is_same)
            .map(|lease| (lease, lease_s))
    }
}

/// Maintains the entry of a node until it shuts down.
pub(crate) struct NodeRegistration {
    pub(crate) kv: Arc<dyn Kv>,
    pub(crate) record: NodeRecord,
    pub(crate) terms: LeaseTerms,
    pub(crate) view: JobView,
    pub(crate) clock: Arc<dyn Clock>,
}

/// An entry with the lease that it is written under.
struct LeasedEntry {
    lease: HeldLease,
    lease_s: u32,
}

impl NodeRegistration {
    /// Runs until the node shuts down.
    ///
    /// An entry that has expired, because the node was paused or the key-value
    /// service unavailable, is written again at once under a new lease. The
    /// entry of a previous process is reused: when the whole fleet is killed
    /// and restarts, only renewals are sent.
    pub(crate) async fn run(self, signals: RegistrationSignals) {
        let RegistrationSignals {
            registered,
            shutdown: mut stop,
            mut previous,
        } = signals;
        let mut held = self.take_over(&mut previous).await;
        if held.is_some() {
            registered.send_replace(true);
        }
        while !*stop.borrow() {
            let result = match &mut held {
                None => self.register().await.map(|fresh| {
                    registered.send_replace(true);
                    held = Some(fresh);
                }),
                Some(known) if self.is_mismatched(known) => {
                    self.register().await.map(|fresh| held = Some(fresh))
                }
                Some(known) => self.renew(known).await,
            };
            if let Err(report) = result {
                if *report.current_context() == KvError::LeaseGone {
                    held = None;
                    log::warn!("this node's entry has expired");
                    continue;
                }
                log::info!(error:% = report.current_context();
                    "this node's entry cannot be renewed or written");
                wait_or_stop(RETRY_MS, &mut stop).await;
                continue;
            }
            let now: Millis = self.clock.now();
            let next = held.as_ref().map_or(now, |held| held.lease.renew_at());
            wait_or_stop(next.saturating_ms_since(now), &mut stop).await;
        }
        if let Some(held) = held {
            self.deregister(held).await;
        }
    }

    /// Takes over the lease of the previous process if the entry equals the
    /// one that this process would write.
    async fn take_over(
        &self,
        previous: &mut watch::Receiver<Option<PreviousEntry>>,
    ) -> Option<LeasedEntry> {
        let previous =
            previous.wait_for(Option::is_some).await.ok()?.clone()?;
        let (lease, lease_s) = previous.lease_of(&self.record)?;
        let sent_at = self.clock.now();
        match self.kv.lease_keep_alive(lease).await {
            Ok(()) => {
                log::info!(lease = lease.0;
                    "this node resumes with its previous entry");
                Some(LeasedEntry {
                    lease: HeldLease::new(lease, lease_s, sent_at),
                    lease_s,
                })
            }
            Err(report) => {
                log::info!(error:% = report.current_context();
                    "the entry of the previous process cannot be taken over");
                None
            }
        }
    }

    /// Returns the number of known nodes of this kind.
    fn count(&self) -> usize {
        let roster = self.view.roster();
        if self.record.runs_items {
            return roster.workers.len();
        }
        match self.view.fresh_at() {
            Some(_) => roster.fronts.len(),
            // The data of a starting node may be too stale to contain all of
            // them.
            None => roster.fronts.len().max(ASSUMED_FRONTS),
        }
    }

    fn is_mismatched(&self, held: &LeasedEntry) -> bool {
        self.view.fresh_at().is_some()
            && self.terms.is_mismatched(held.lease_s, self.count())
    }

    async fn renew(
        &self,
        held: &mut LeasedEntry,
    ) -> Result<(), Report<KvError>> {
        let sent_at = self.clock.now();
        self.kv.lease_keep_alive(held.lease.id()).await?;
        held.lease.record_renewal(sent_at);
        Ok(())
    }

    async fn register(&self) -> Result<LeasedEntry, Report<KvError>> {
        let lease_s = self.terms.lease_s(self.count());
        let sent_at = self.clock.now();
        let lease = self.kv.lease_grant(lease_s).await?;
        let record = NodeRecord {
            lease_s,
            ..self.record.clone()
        };
        let value = serde_json::to_vec(&record)
            .map_err(|_| Report::new(KvError::Invalid))?;
        let put = Op::Put {
            key: format!("{NODE_PREFIX}{}", self.record.node),
            value,
            lease: Some(lease),
        };
        let txn = Txn {
            success: vec![put],
            ..Txn::default()
        };
        self.kv.txn(txn).await?;
        log::info!(lease = lease.0, lease_s; "this node is registered");
        Ok(LeasedEntry {
            lease: HeldLease::new(lease, lease_s, sent_at),
            lease_s,
        })
    }

    async fn deregister(&self, held: LeasedEntry) {
        let ended = self.kv.lease_revoke(held.lease.id()).await;
        if let Err(report) = ended {
            log::info!(error:% = report.current_context();
                "this node's lease cannot be revoked and will expire");
        }
    }
}

async fn wait_or_stop(ms: u64, stop: &mut watch::Receiver<bool>) {
    let pause = Duration::from_millis(ms);
    let _ = time::timeout(pause, stop.wait_for(|stop| *stop)).await;
}

#[cfg(test)]
#[path = "../tests/unit/membership.rs"]
mod tests;
