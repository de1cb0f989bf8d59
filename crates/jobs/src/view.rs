use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use base::{Customer, Millis, UnixMillis};
use indexmap::{IndexMap, IndexSet};
use kv::{Event, KeyValue};
use tokio::sync::watch;

use crate::{
    Backlog, JobManifest, Members, MissingSpool, NodeRecord, Roster,
    StoredManifest,
    index::JobIndex,
    record::{
        JobKey, MANIFEST_PREFIX, NODE_PREFIX, SPOOL_PREFIX, decode_manifest,
    },
    spools::{Availability, SpoolSummary},
};

/// A node's view of all jobs and of all nodes.
///
/// Clones share one view. The task that follows the key-value service updates
/// it. Readers see its age and query the key-value service where the view is
/// too stale for their response.
#[derive(Clone)]
pub struct JobView {
    inner: Arc<Mutex<Inner>>,
    changes: watch::Sender<u64>,
}

#[derive(Default)]
struct Inner {
    jobs: JobIndex,
    nodes: IndexMap<String, NodeRecord>,
    /// The nodes after their last change; `None` until it is requested.
    roster: Option<Roster>,
    /// The nodes whose disks may hold spooled jobs, with the revisions of the
    /// keys that name them.
    spools: IndexMap<String, u64>,
    /// The state of the spools after the last change of the nodes; `None`
    /// until it is requested.
    spool_summary: Option<SpoolSummary>,
    availability: Availability,
    fresh_at: Option<Millis>,
}

impl Default for JobView {
    fn default() -> Self {
        Self {
            inner: Arc::default(),
            changes: watch::Sender::new(0),
        }
    }
}

impl JobView {
    /// Replaces the content by a full read that started at `began`.
    pub fn replace(&self, kvs: &[KeyValue], began: Millis) {
        let mut inner = self.lock();
        // A read of several pages is not a snapshot of one revision and may
        // miss a write that this node made meanwhile; jobs newer than the read
        // are kept.
        let newest = kvs.iter().map(|kv| kv.mod_revision).max().unwrap_or(0);
        let read: IndexSet<JobKey> =
            kvs.iter().filter_map(|kv| job_key(&kv.key)).collect();
        let gone = inner.jobs.keys().filter(|key| {
            !read.contains(*key) && inner.jobs.revision(key) <= newest
        });
        for key in gone.cloned().collect::<Vec<_>>() {
            inner.jobs.remove(&key);
        }
        inner.nodes.clear();
        inner.spools.clear();
        inner.forget_derived();
        for kv in kvs {
            inner.put(kv, began);
        }
        inner.confirm(began);
        drop(inner);
        self.changed();
    }

    /// Applies changes. The view then contains all changes up to `now`.
    pub fn apply(&self, events: &[Event], now: Millis) {
        let mut inner = self.lock();
        for event in events {
            match event {
                Event::Put(kv) => inner.put(kv, now),
                Event::Delete { key, .. } => inner.delete(key),
            }
        }
        inner.confirm(now);
        drop(inner);
        if !events.is_empty() {
            self.changed();
        }
    }

    /// Adds the entries of nodes from a read of these entries alone, unless
    /// the view has been filled from a full read.
    pub fn seed_nodes(&self, kvs: &[KeyValue]) {
        let mut inner = self.lock();
        if inner.fresh_at.is_some() {
            return;
        }
        for kv in kvs {
            if let Some(name) = kv.key.strip_prefix(NODE_PREFIX) {
                inner.put_node(name, kv);
            }
        }
    }

    /// Adds nodes from the list for starting nodes, unless the view has been
    /// filled from a full read.
    pub fn seed_records(&self, nodes: Vec<NodeRecord>) {
        let mut inner = self.lock();
        if inner.fresh_at.is_some() {
            return;
        }
        for node in nodes {
            inner.nodes.insert(node.node.clone(), node);
        }
        inner.forget_derived();
    }

    /// Records a manifest that this node wrote or read itself, unless the view
    /// has the same or a newer revision.
    pub fn update(&self, job: &JobKey, stored: &StoredManifest, now: Millis) {
        let mut inner = self.lock();
        if stored.revision <= inner.jobs.revision(job) {
            return;
        }
        inner.jobs.put(job.clone(), stored.clone(), now);
        drop(inner);
        self.changed();
    }

    /// Returns the manifest of a job.
    pub fn get(&self, job: &JobKey) -> Option<StoredManifest> {
        self.lock().jobs.get(job).cloned()
    }

    /// Returns a job for a caller of a customer; `None` if the job belongs to
    /// another customer.
    pub fn get_for(
        &self,
        job: &JobKey,
        customer: Option<&Customer>,
    ) -> Option<StoredManifest> {
        let stored = self.get(job);
        stored.filter(|stored| stored.manifest.is_visible_to(customer))
    }

    /// Returns the open jobs that a node runs.
    pub fn open_of(
        &self,
        members: &Members,
        node: &str,
    ) -> Vec<(JobKey, StoredManifest)> {
        self.lock().jobs.open_of(members, node)
    }

    /// Returns the open jobs that were due before `now`.
    pub fn overdue(&self, now: UnixMillis) -> Vec<(JobKey, StoredManifest)> {
        self.lock().jobs.overdue(now)
    }

    /// Returns the closed jobs that were submitted before `moment`.
    pub fn closed_before(
        &self,
        moment: UnixMillis,
    ) -> Vec<(JobKey, StoredManifest)> {
        self.lock().jobs.closed_before(moment)
    }

    /// Returns the nodes that run items.
    pub fn members(&self) -> Arc<Members> {
        self.roster().workers
    }

    /// Returns all nodes.
    pub fn roster(&self) -> Roster {
        let mut inner = self.lock();
        if let Some(roster) = &inner.roster {
            return roster.clone();
        }
        let nodes: Vec<NodeRecord> = inner.nodes.values().cloned().collect();
        let roster = Roster::new(&nodes);
        inner.roster = Some(roster.clone());
        roster
    }

    /// Reports whether the ledger has each job that was accepted before the
    /// last second, if a job that is spooled is on more than `disk_losses`
    /// disks.
    ///
    /// That is certain once all but `disk_losses` of the nodes with disks have
    /// stated since the last outage of the key-value service that the ledger
    /// has the jobs that they have spooled. A node that never comes back is
    /// one of the exceptions.
    ///
    /// # Example
    ///
    /// ```
    /// use base::Millis;
    /// use pomeloslip_jobs::JobView;
    ///
    /// let view = JobView::default();
    /// // Nothing is known yet.
    /// assert!(!view.are_spools_written(1, Millis::new(0)));
    /// view.replace(&[], Millis::new(0));
    /// // No node has a disk.
    /// assert!(view.are_spools_written(1, Millis::new(0)));
    /// ```
    pub fn are_spools_written(&self, disk_losses: u32, now: Millis) -> bool {
        let mut inner = self.lock();
        let summary = inner.spool_summary();
        let availability = inner.availability;
        availability.proves_written(&summary, disk_losses as usize, now)
    }

    /// Returns the nodes whose disks may hold spooled jobs and that are not
    /// listed.
    pub fn missing_spools(&self) -> Arc<Vec<MissingSpool>> {
        self.lock().spool_summary().missing
    }

    /// Returns the time since the last change of a job was seen.
    pub fn unchanged_ms(&self, job: &JobKey, now: Millis) -> u64 {
        let at = self.lock().jobs.changed_at(job);
        at.map_or(0, |at| now.saturating_ms_since(at))
    }

    /// Counts the open items of each node that runs items.
    pub fn backlog(&self, members: &Members) -> Backlog {
        self.lock().jobs.backlog(members)
    }

    /// Returns the time up to which the view contains all changes.
    pub fn fresh_at(&self) -> Option<Millis> {
        self.lock().fresh_at
    }

    /// Returns the age of the view.
    pub fn age_ms(&self, now: Millis) -> u64 {
        let fresh_at = self.fresh_at();
        fresh_at.map_or(u64::MAX, |at| now.saturating_ms_since(at))
    }

    /// Returns a receiver that is notified of each change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the number of changes of the view.
    pub fn change_count(&self) -> u64 {
        *self.changes.borrow()
    }

    fn changed(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Records a time up to which the view contains all changes.
    fn confirm(&mut self, at: Millis) {
        self.availability.confirm(at);
        self.fresh_at = Some(at);
    }

    fn spool_summary(&mut self) -> SpoolSummary {
        let (spools, nodes) = (&self.spools, &self.nodes);
        let summary = self
            .spool_summary
            .get_or_insert_with(|| SpoolSummary::new(spools, nodes));
        summary.clone()
    }

    /// Drops what is derived from the nodes.
    fn forget_derived(&mut self) {
        self.roster = None;
        self.spool_summary = None;
    }

    fn put(&mut self, kv: &KeyValue, now: Millis) {
        if let Some(name) = kv.key.strip_prefix(NODE_PREFIX) {
            self.put_node(name, kv);
            return;
        }
        if let Some(name) = kv.key.strip_prefix(SPOOL_PREFIX) {
            self.spools.insert(name.to_owned(), kv.mod_revision);
            self.spool_summary = None;
            return;
        }
        let Some(key) = job_key(&kv.key) else {
            return;
        };
        let revision = kv.mod_revision;
        if revision <= self.jobs.revision(&key) {
            return;
        }
        match decode_manifest(&kv.value) {
            Ok(manifest) => {
                self.jobs
                    .put(key, StoredManifest { manifest, revision }, now);
            }
            Err(error) => {
                log::warn!(key = kv.key.as_str(), error:%;
                    "the manifest of a job is not valid");
            }
        }
    }

    fn put_node(&mut self, name: &str, kv: &KeyValue) {
        match serde_json::from_slice::<NodeRecord>(&kv.value) {
            // An entry that is rewritten with another lease has not changed.
            Ok(record) if self.nodes.get(name) == Some(&record) => {}
            Ok(record) => {
                self.put_record(name, record);
            }
            Err(error) => {
                log::warn!(key = kv.key.as_str(), error:%;
                    "the entry of a node is not valid");
            }
        }
    }

    fn put_record(&mut self, name: &str, record: NodeRecord) {
        let known = self.nodes.insert(name.to_owned(), record.clone());
        self.spool_summary = None;
        // Users of the roster compute a lot from it, and none of it from the
        // state of a spool.
        let is_same = known.is_some_and(|known| {
            let spool = record.spool;
            NodeRecord { spool, ..known } == record
        });
        if !is_same {
            self.roster = None;
        }
    }

    fn delete(&mut self, key: &str) {
        if let Some(name) = key.strip_prefix(NODE_PREFIX) {
            self.nodes.swap_remove(name);
            self.forget_derived();
        } else if let Some(name) = key.strip_prefix(SPOOL_PREFIX) {
            self.spools.swap_remove(name);
            self.spool_summary = None;
        } else if let Some(job) = job_key(key) {
            self.jobs.remove(&job);
        }
    }
}

fn job_key(key: &str) -> Option<JobKey> {
    key.strip_prefix(MANIFEST_PREFIX)?.parse().ok()
}

/// Decodes a manifest as the key-value service stores it; `None` for any other
/// key or value.
pub fn decode_manifest_row(
    key: &str,
    value: &[u8],
) -> Option<(JobKey, JobManifest)> {
    Some((job_key(key)?, decode_manifest(value).ok()?))
}
