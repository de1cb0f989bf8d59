use std::{sync::Arc, time::Duration};

use base::{Clock, Millis};
use error_stack::Report;
use jobs::{JobView, NODE_PREFIX, NodeRecord};
use kv::{KeyValue, Kv, KvError, LeaseId, Op, Txn, lease::HeldLease};
use tokio::{sync::watch, time};

/// Shortest time to live of a node's entry, in seconds: its jobs are taken
/// over that long after it is lost, and two renewals may fail before it
/// lapses.
const LEASE_S: u32 = 3;

/// Longest time to live of a node's entry, in seconds. Where a front is lost
/// for good, others wait as long for its load at the endpoints of its share.
const LEASE_MOST_S: u32 = 60;

/// Workers up to which entries live for [`LEASE_S`]. With more of them the
/// time grows, so that all together renew as often as these.
const WORKERS_AT_ONCE: usize = 40;

/// The same of fronts. Nobody has to take over anything of them.
const FRONTS_AT_ONCE: usize = 50;

/// How many fronts a front takes the fleet to have as long as it does not
/// know. Of a large fleet all would else write their entries twice, of a small
/// one they do, a few calls each.
const FRONTS_ASSUMED: usize = 5 * FRONTS_AT_ONCE;

/// How far the time to live may be off before the entry is written again
/// under another lease, in percent.
const LEASE_OFF_PERCENT: u32 = 150;

/// Decides how long the entry of a node lives.
///
/// Each renewal is a call. With one time to live for fleets of all sizes the
/// renewals grow with the fleet, and were a third of all calls of 343 nodes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseTerms {
    least_s: u32,
    /// Nodes of the kind up to which the shortest time holds.
    at_once: usize,
}

impl LeaseTerms {
    /// Makes the terms of a kind of node where the key-value service grants
    /// no lease shorter than `least_ms`.
    ///
    /// What goes wrong without that bound: the service refuses the lease, the
    /// node is never listed, and nobody gives it a job.
    pub(crate) fn new(runs_items: bool, least_ms: u64) -> Self {
        let least_s = least_ms.div_ceil(1_000).min(u64::from(u32::MAX));
        Self {
            least_s: LEASE_S.max(least_s as u32),
            at_once: match runs_items {
                true => WORKERS_AT_ONCE,
                false => FRONTS_AT_ONCE,
            },
        }
    }

    /// Returns the time to live in a fleet with so many nodes of the kind.
    pub(crate) fn lease_s(&self, count: usize) -> u32 {
        let grown = LEASE_S as usize * count / self.at_once;
        let grown = u32::try_from(grown).unwrap_or(LEASE_MOST_S);
        grown.min(LEASE_MOST_S).max(self.least_s)
    }

    /// Tells whether an entry is to be written again under another lease.
    fn is_off(&self, held_s: u32, count: usize) -> bool {
        let wanted_s = self.lease_s(count);
        held_s * 100 > wanted_s * LEASE_OFF_PERCENT
            || wanted_s * 100 > held_s * LEASE_OFF_PERCENT
    }
}

/// Pause after a failed call, in milliseconds.
const FAILED_PAUSE_MS: u64 = 250;

/// What a node hears and is heard by about its entry.
pub(crate) struct Presence {
    /// Turned true when the entry is written.
    pub(crate) entered: watch::Sender<bool>,
    /// Turns true when the node leaves.
    pub(crate) left: watch::Receiver<bool>,
    /// The entry of this node as it was found at the start, once that is
    /// known.
    pub(crate) found: watch::Receiver<Option<FoundEntry>>,
}

/// The entry that a process finds of the one before it on its machine.
#[derive(Clone, Debug, Default)]
pub(crate) struct FoundEntry(Option<KeyValue>);

impl FoundEntry {
    /// Finds the entry of a node among all.
    pub(crate) fn among(entries: &[KeyValue], node: &str) -> Self {
        let is_own =
            |kv: &&KeyValue| kv.key.strip_prefix(NODE_PREFIX) == Some(node);
        Self(entries.iter().find(is_own).cloned())
    }

    /// Returns the lease of an entry that says the same as `record`, and
    /// its time to live.
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

/// Keeps the entry of a node until it leaves.
pub(crate) struct EntryKeeper {
    pub(crate) kv: Arc<dyn Kv>,
    pub(crate) record: NodeRecord,
    pub(crate) terms: LeaseTerms,
    pub(crate) view: JobView,
    pub(crate) clock: Arc<dyn Clock>,
}

/// An entry under a lease.
struct Entered {
    lease: HeldLease,
    lease_s: u32,
}

impl EntryKeeper {
    /// Runs until the node leaves.
    ///
    /// An entry that has lapsed, because the node was paused or the service
    /// away, is written again at once under a new lease. One that a process
    /// finds of its predecessor is kept: where all are killed and start
    /// again, only renewals go out.
    pub(crate) async fn run(self, presence: Presence) {
        let Presence {
            entered,
            left: mut stop,
            mut found,
        } = presence;
        let mut held = self.take_over(&mut found).await;
        if held.is_some() {
            entered.send_replace(true);
        }
        while !*stop.borrow() {
            let result = match &mut held {
                None => self.enter().await.map(|fresh| {
                    entered.send_replace(true);
                    held = Some(fresh);
                }),
                Some(known) if self.is_off(known) => {
                    self.enter().await.map(|fresh| held = Some(fresh))
                }
                Some(known) => self.renew(known).await,
            };
            if let Err(report) = result {
                if *report.current_context() == KvError::LeaseGone {
                    held = None;
                    log::warn!("this node's entry has lapsed");
                    continue;
                }
                log::info!(error:% = report.current_context();
                    "this node's entry is not renewed");
                wait(FAILED_PAUSE_MS, &mut stop).await;
                continue;
            }
            let now: Millis = self.clock.now();
            let next = held.as_ref().map_or(now, |held| held.lease.renew_at());
            wait(next.saturating_ms_since(now), &mut stop).await;
        }
        if let Some(held) = held {
            self.leave(held).await;
        }
    }

    /// Goes on with the lease of the process before, if the entry still says
    /// what this one would write.
    async fn take_over(
        &self,
        found: &mut watch::Receiver<Option<FoundEntry>>,
    ) -> Option<Entered> {
        let found = found.wait_for(Option::is_some).await.ok()?.clone()?;
        let (lease, lease_s) = found.lease_of(&self.record)?;
        let sent_at = self.clock.now();
        match self.kv.lease_keep_alive(lease).await {
            Ok(()) => {
                log::info!(lease = lease.0;
                    "this node takes part again under its entry");
                Some(Entered {
                    lease: HeldLease::new(lease, lease_s, sent_at),
                    lease_s,
                })
            }
            Err(report) => {
                log::info!(error:% = report.current_context();
                    "the entry of the process before is not taken over");
                None
            }
        }
    }

    /// Returns how many nodes of this kind are known.
    fn count(&self) -> usize {
        let roster = self.view.roster();
        if self.record.runs_items {
            return roster.workers.len();
        }
        match self.view.fresh_at() {
            Some(_) => roster.fronts.len(),
            // What a start reads may be too old to have all.
            None => roster.fronts.len().max(FRONTS_ASSUMED),
        }
    }

    fn is_off(&self, held: &Entered) -> bool {
        self.view.fresh_at().is_some()
            && self.terms.is_off(held.lease_s, self.count())
    }

    async fn renew(&self, held: &mut Entered) -> Result<(), Report<KvError>> {
        let sent_at = self.clock.now();
        self.kv.lease_keep_alive(held.lease.id()).await?;
        held.lease.record_renewal(sent_at);
        Ok(())
    }

    async fn enter(&self) -> Result<Entered, Report<KvError>> {
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
        log::info!(lease = lease.0, lease_s; "this node takes part");
        Ok(Entered {
            lease: HeldLease::new(lease, lease_s, sent_at),
            lease_s,
        })
    }

    async fn leave(&self, held: Entered) {
        let ended = self.kv.lease_revoke(held.lease.id()).await;
        if let Err(report) = ended {
            log::info!(error:% = report.current_context();
                "this node's entry lapses by itself");
        }
    }
}

async fn wait(ms: u64, stop: &mut watch::Receiver<bool>) {
    let pause = Duration::from_millis(ms);
    let _ = time::timeout(pause, stop.wait_for(|stop| *stop)).await;
}

#[cfg(test)]
#[path = "../tests/unit/membership.rs"]
mod tests;
