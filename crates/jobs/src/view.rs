use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use base::{Customer, Millis, UnixMillis};
use indexmap::{IndexMap, IndexSet};
use kv::{Event, KeyValue};
use tokio::sync::watch;

use crate::{
    Backlog, JobManifest, Members, NodeRecord, Roster, StoredManifest,
    index::JobIndex,
    record::{JobKey, MANIFEST_PREFIX, NODE_PREFIX, decode_manifest},
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
        inner.roster = None;
        for kv in kvs {
            inner.put(kv, began);
        }
        inner.fresh_at = Some(began);
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
        inner.fresh_at = Some(now);
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
        inner.roster = None;
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
    fn put(&mut self, kv: &KeyValue, now: Millis) {
        if let Some(name) = kv.key.strip_prefix(NODE_PREFIX) {
            self.put_node(name, kv);
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
                self.nodes.insert(name.to_owned(), record);
                self.roster = None;
            }
            Err(error) => {
                log::warn!(key = kv.key.as_str(), error:%;
                    "the entry of a node is not valid");
            }
        }
    }

    fn delete(&mut self, key: &str) {
        if let Some(name) = key.strip_prefix(NODE_PREFIX) {
            self.nodes.swap_remove(name);
            self.roster = None;
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
