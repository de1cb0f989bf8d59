use std::{sync::Arc, time::Duration};

use base::{Clock, Millis};
use error_stack::Report;
use jobs::{JobView, NODE_PREFIX, NodeRecord, SPOOL_PREFIX, SpoolState};
use kv::{Compare, KeyValue, Kv, KvError, Op, Txn, lease::HeldLease};
use tokio::{sync::watch, time};

use crate::{
    feed::Feed,
    job_spool::JobSpool,
    lease_terms::{ASSUMED_FRONTS, LeaseTerms},
};

/// Pause after a failed call, in milliseconds.
const RETRY_MS: u64 = 250;

/// Number of times that the entry is written at once after a write that found
/// another revision than expected.
const MAX_CONFLICTS: usize = 3;

/// Remaining time to live below which a lease is renewed before an entry is
/// written under it, in milliseconds.
const RENEWAL_MARGIN_MS: u64 = 1_000;

/// Value of the key that names a node whose disk may hold spooled jobs.
const SPOOL_VALUE: &[u8] = b"{}";

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

    /// Returns the entry and its time to live if its content equals `record`.
    fn matching(&self, record: &NodeRecord) -> Option<LeasedEntry> {
        let entry = self.0.as_ref()?;
        let known = serde_json::from_slice::<NodeRecord>(&entry.value).ok()?;
        let lease_s = known.lease_s;
        let wanted = NodeRecord {
            lease_s,
            ..record.clone()
        };
        let is_same = known == wanted && lease_s > 0;
        let lease = entry.lease.filter(|_| is_same)?;
        Some(LeasedEntry {
            lease: HeldLease::new(lease, lease_s, Millis::default()),
            lease_s,
            spool: record.spool,
            value: entry.value.clone(),
            revision: entry.mod_revision,
        })
    }
}

/// Maintains the entry of a node until it shuts down.
///
/// Each write of the entry names the revision that it replaces, so that an
/// earlier write that takes effect late does not. A write without a response
/// is repeated under the lease of the first attempt: whichever takes effect,
/// the entry is under a lease that the node renews and revokes.
pub(crate) struct NodeRegistration {
    pub(crate) kv: Arc<dyn Kv>,
    pub(crate) record: NodeRecord,
    pub(crate) terms: LeaseTerms,
    pub(crate) view: JobView,
    /// The feed that contains the entries of all nodes.
    pub(crate) feed: Arc<Feed>,
    /// The spool of this node, if it has a disk.
    pub(crate) spool: Option<Arc<JobSpool>>,
    pub(crate) clock: Arc<dyn Clock>,
}

/// An entry with the lease that it is written under.
#[derive(Clone, Debug, Eq, PartialEq)]
struct LeasedEntry {
    lease: HeldLease,
    lease_s: u32,
    spool: SpoolState,
    value: Vec<u8>,
    /// Revision of the write of the entry.
    revision: u64,
}

impl LeasedEntry {
    /// Reports whether the entry as stored is this one.
    fn is_stored_as(&self, found: &KeyValue) -> bool {
        found.lease == Some(self.lease.id()) && found.value == self.value
    }
}

/// A lease that no entry is known to be written under.
#[derive(Clone, Copy, Debug)]
struct UnusedLease {
    lease: HeldLease,
    lease_s: u32,
}

/// What a node knows of its own entry.
#[derive(Debug, Default)]
struct OwnEntry {
    held: Option<LeasedEntry>,
    /// The lease of a write that has not succeeded yet, and may still take
    /// effect.
    unused: Option<UnusedLease>,
    /// Revision of the stored entry, as far as known; 0 if there is none.
    revision: u64,
    /// Whether the key-value service is known to name this node among those
    /// whose disks may hold spooled jobs.
    is_spool_known: bool,
}

impl OwnEntry {
    /// Forgets a lease that the key-value service does not know any more, and
    /// the entry that was under it.
    fn forget_if_gone<T>(
        &mut self,
        lease: HeldLease,
        result: &Result<T, Report<KvError>>,
    ) {
        let error = result.as_ref().err().map(Report::current_context);
        if error != Some(&KvError::LeaseGone) {
            return;
        }
        let is_gone = |known: HeldLease| known.id() == lease.id();
        if self.held.take_if(|held| is_gone(held.lease)).is_some() {
            self.revision = 0;
        }
        self.unused.take_if(|unused| is_gone(unused.lease));
    }
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
        let mut own = self.take_over(&mut previous).await;
        while !*stop.borrow() {
            if own.held.is_some() {
                registered.send_replace(true);
            }
            if let Err(report) = self.refresh(&mut own).await {
                if *report.current_context() == KvError::LeaseGone {
                    log::warn!("this node's entry has expired");
                    continue;
                }
                log::info!(error:% = report.current_context();
                    "this node's entry cannot be renewed or written");
                wait_or_stop(RETRY_MS, &mut stop).await;
                continue;
            }
            let now: Millis = self.clock.now();
            let held = own.held.as_ref();
            let next = held.map_or(now, |held| held.lease.renew_at());
            if held.is_some() {
                registered.send_replace(true);
            }
            wait_or_stop(next.saturating_ms_since(now), &mut stop).await;
        }
        self.deregister(&own).await;
    }

    /// Takes over the lease of the previous process if the entry equals the
    /// one that this process would write.
    async fn take_over(
        &self,
        previous: &mut watch::Receiver<Option<PreviousEntry>>,
    ) -> OwnEntry {
        let found = previous.wait_for(Option::is_some).await;
        let found = found.ok().and_then(|found| found.clone());
        let Some(previous) = found else {
            return OwnEntry::default();
        };
        let revision = previous.0.as_ref().map_or(0, |kv| kv.mod_revision);
        let mut own = OwnEntry {
            revision,
            ..OwnEntry::default()
        };
        let record = NodeRecord {
            spool: self.spool_state(),
            ..self.record.clone()
        };
        let Some(mut entry) = previous.matching(&record) else {
            return own;
        };
        let sent_at = self.clock.now();
        let lease = entry.lease.id();
        match self.kv.lease_keep_alive(lease).await {
            Ok(()) => {
                log::info!(lease = lease.0;
                    "this node resumes with its previous entry");
                entry.lease.record_renewal(sent_at);
                own.held = Some(entry);
            }
            Err(report) => {
                if *report.current_context() == KvError::LeaseGone {
                    own.revision = 0;
                }
                log::info!(error:% = report.current_context();
                    "the entry of the previous process cannot be taken over");
            }
        }
        own
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

    fn key(&self) -> String {
        format!("{NODE_PREFIX}{}", self.record.node)
    }

    /// Renews the entry, or writes it if there is none or it has changed.
    ///
    /// # Errors
    ///
    /// [`KvError::LeaseGone`] if the lease has expired; the next call writes
    /// the entry under a new one.
    async fn refresh(
        &self,
        own: &mut OwnEntry,
    ) -> Result<(), Report<KvError>> {
        if let Some(spool) = &self.spool {
            spool.check_replaced_disk();
        }
        let Some(held) = own.held.clone() else {
            return self.write(own).await;
        };
        if self.is_mismatched(&held) {
            return self.write(own).await;
        }
        if let Some(revision) = self.replaced_at(&held) {
            log::warn!(revision; "this node's entry was replaced or removed");
            own.revision = revision;
            own.held = None;
            own.unused.get_or_insert(UnusedLease {
                lease: held.lease,
                lease_s: held.lease_s,
            });
            return self.write(own).await;
        }
        if held.spool != self.spool_state() {
            self.restate(own, &held).await?;
        }
        let sent_at = self.clock.now();
        let lease = own.held.as_ref().map_or(held.lease, |held| held.lease);
        self.renew(own, lease).await?;
        if let Some(held) = &mut own.held {
            held.lease.record_renewal(sent_at);
        }
        Ok(())
    }

    /// Writes the entry again since what it states about the spool is not
    /// true any more. Its lease is not renewed before.
    async fn restate(
        &self,
        own: &mut OwnEntry,
        held: &LeasedEntry,
    ) -> Result<(), Report<KvError>> {
        let now = self.clock.now();
        if held.lease.is_valid_for(now, RENEWAL_MARGIN_MS) {
            own.unused = Some(UnusedLease {
                lease: held.lease,
                lease_s: held.lease_s,
            });
        }
        self.write(own).await
    }

    /// Returns what this node may state about its spool.
    fn spool_state(&self) -> SpoolState {
        let spool = self.spool.as_ref();
        spool.map_or(SpoolState::Unknown, |spool| spool.state())
    }

    /// Returns the revision of the stored entry, 0 if there is none, if
    /// another write than the known one has determined it.
    fn replaced_at(&self, held: &LeasedEntry) -> Option<u64> {
        let (revision, found) = self.feed.find(&self.key());
        match found {
            _ if revision < held.revision => None,
            Some(found) if held.is_stored_as(&found) => None,
            Some(found) => Some(found.mod_revision),
            None => Some(0),
        }
    }

    /// Returns the lease to write the entry under: that of an earlier write
    /// whose outcome is not known, or else a new one.
    async fn lease_for_write(
        &self,
        own: &mut OwnEntry,
    ) -> Result<UnusedLease, Report<KvError>> {
        let sent_at = self.clock.now();
        let Some(mut unused) = own.unused else {
            let lease_s = self.terms.lease_s(self.count());
            let id = self.kv.lease_grant(lease_s).await?;
            let lease = HeldLease::new(id, lease_s, sent_at);
            return Ok(*own.unused.insert(UnusedLease { lease, lease_s }));
        };
        if !unused.lease.is_valid_for(sent_at, RENEWAL_MARGIN_MS) {
            self.renew(own, unused.lease).await?;
            unused.lease.record_renewal(sent_at);
            own.unused = Some(unused);
        }
        Ok(unused)
    }

    /// Renews a lease, or forgets it if the key-value service does not know
    /// it any more.
    async fn renew(
        &self,
        own: &mut OwnEntry,
        lease: HeldLease,
    ) -> Result<(), Report<KvError>> {
        let renewed = self.kv.lease_keep_alive(lease.id()).await;
        own.forget_if_gone(lease, &renewed);
        renewed
    }

    /// Writes the entry over the stored one.
    async fn write(&self, own: &mut OwnEntry) -> Result<(), Report<KvError>> {
        let lease = self.lease_for_write(own).await?;
        for _ in 0..MAX_CONFLICTS {
            let mut entry = self.new_entry(own, lease)?;
            let written = self.kv.txn(self.txn(own, &entry)).await;
            own.forget_if_gone(lease.lease, &written);
            let reply = written?;
            entry.revision = reply.revision;
            let is_stored =
                reply.succeeded || self.is_stored(own, &mut entry).await?;
            if is_stored {
                self.record_written(own, entry);
                return Ok(());
            }
            log::info!(revision = own.revision;
                "this node's entry has another revision than expected");
        }
        Err(Report::new(KvError::NotDone).attach("the entry has changed"))
    }

    fn new_entry(
        &self,
        own: &OwnEntry,
        UnusedLease { lease, lease_s }: UnusedLease,
    ) -> Result<LeasedEntry, Report<KvError>> {
        // The disk of a node that was never listed has held no other jobs than
        // those that it holds.
        let is_empty = self.spool.as_ref().is_some_and(|s| s.is_empty());
        let spool = match self.has_unknown_disk(own) && is_empty {
            true => SpoolState::Written,
            false => self.spool_state(),
        };
        let record = NodeRecord {
            lease_s,
            spool,
            ..self.record.clone()
        };
        let value = serde_json::to_vec(&record)
            .map_err(|_| Report::new(KvError::Invalid))?;
        Ok(LeasedEntry {
            lease,
            lease_s,
            spool,
            value,
            revision: 0,
        })
    }

    /// Reports whether the disk of this node is new, and the key-value service
    /// may not name the node as one that has had another disk.
    fn has_unknown_disk(&self, own: &OwnEntry) -> bool {
        let spool = self.spool.as_ref();
        !own.is_spool_known && spool.is_some_and(|s| s.is_incomplete())
    }

    /// Reads the entry after a write that found another revision than
    /// expected. Reports whether an attempt whose response was lost has
    /// written this entry.
    async fn is_stored(
        &self,
        own: &mut OwnEntry,
        entry: &mut LeasedEntry,
    ) -> Result<bool, Report<KvError>> {
        let found = self.kv.get(&self.key()).await?.kvs.into_iter().next();
        own.revision = found.as_ref().map_or(0, |kv| kv.mod_revision);
        entry.revision = own.revision;
        if found.is_some_and(|found| entry.is_stored_as(&found)) {
            return Ok(true);
        }
        if self.has_unknown_disk(own) {
            let known = self.kv.get(&self.spool_key()).await?;
            own.is_spool_known = !known.kvs.is_empty();
            log::info!(is_known = own.is_spool_known;
                "the disk of this node is new");
        }
        Ok(false)
    }

    fn record_written(&self, own: &mut OwnEntry, entry: LeasedEntry) {
        log::info!(
            lease = entry.lease.id().0,
            lease_s = entry.lease_s,
            spool:? = entry.spool,
            revision = entry.revision;
            "this node is registered"
        );
        if let Some(spool) = &self.spool
            && self.has_unknown_disk(own)
        {
            spool.set_complete();
        }
        own.is_spool_known = self.spool.is_some();
        own.revision = entry.revision;
        own.unused = None;
        own.held = Some(entry);
    }

    fn spool_key(&self) -> String {
        format!("{SPOOL_PREFIX}{}", self.record.node)
    }

    fn txn(&self, own: &OwnEntry, entry: &LeasedEntry) -> Txn {
        let expect = |key, equals| Compare::ModRevision { key, equals };
        let mut compares = vec![expect(self.key(), own.revision)];
        if self.has_unknown_disk(own) {
            compares.push(expect(self.spool_key(), 0));
        }
        let mut success = vec![Op::Put {
            key: self.key(),
            value: entry.value.clone(),
            lease: Some(entry.lease.id()),
        }];
        if self.spool.is_some() {
            success.push(Op::Put {
                key: self.spool_key(),
                value: SPOOL_VALUE.to_vec(),
                lease: None,
            });
        }
        Txn {
            compares,
            success,
            failure: Vec::new(),
        }
    }

    /// Revokes the leases under which the entry is written, or may be by a
    /// write that takes effect late.
    async fn deregister(&self, own: &OwnEntry) {
        let held = own.held.as_ref().map(|held| held.lease);
        let unused = own.unused.map(|unused| unused.lease);
        for lease in held.into_iter().chain(unused) {
            if let Err(report) = self.kv.lease_revoke(lease.id()).await {
                log::info!(error:% = report.current_context();
                    "this node's lease cannot be revoked and will expire");
            }
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
