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

/// What one node knows of all jobs and of the nodes that run items.
///
/// Clones share one view. Whoever follows the key-value service feeds it;
/// readers see how old it is and ask the service itself where that is too
/// old for what they have to answer.
#[derive(Clone)]
pub struct JobView {
    inner: Arc<Mutex<Inner>>,
    changes: watch::Sender<u64>,
}

#[derive(Default)]
struct Inner {
    jobs: JobIndex,
    nodes: IndexMap<String, NodeRecord>,
    /// The nodes as of their last change; none until it is asked for.
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
    /// Replaces all by a whole read that began at `began`.
    pub fn replace(&self, kvs: &[KeyValue], began: Millis) {
        let mut inner = self.lock();
        // A read whose pages are not one moment may miss what a write of
        // this node added meanwhile; what is newer than the read stays.
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

    /// Applies changes; all up to `now` are in the view then.
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

    /// Takes in the entries of nodes, by a read of them alone, as long as
    /// nothing else is known.
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

    /// Takes in nodes that a start is told of, as long as nothing else is
    /// known.
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

    /// Takes in a manifest that this node wrote or read itself.
    pub fn learn(&self, job: &JobKey, stored: &StoredManifest, now: Millis) {
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

    /// Returns a job for callers of a customer; none if it is another's.
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

    /// Returns the open jobs that were due before a moment.
    pub fn overdue(&self, now: UnixMillis) -> Vec<(JobKey, StoredManifest)> {
        self.lock().jobs.overdue(now)
    }

    /// Returns the closed jobs that were submitted before a moment.
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

    /// Returns for how long nothing was seen to change of a job.
    pub fn unchanged_ms(&self, job: &JobKey, now: Millis) -> u64 {
        let at = self.lock().jobs.changed_at(job);
        at.map_or(0, |at| now.saturating_ms_since(at))
    }

    /// Counts the open items of each node that runs items.
    pub fn backlog(&self, members: &Members) -> Backlog {
        self.lock().jobs.backlog(members)
    }

    /// Returns since when the view may lack changes.
    pub fn fresh_at(&self) -> Option<Millis> {
        self.lock().fresh_at
    }

    /// Returns how old the view is.
    pub fn age_ms(&self, now: Millis) -> u64 {
        let fresh_at = self.fresh_at();
        fresh_at.map_or(u64::MAX, |at| now.saturating_ms_since(at))
    }

    /// Returns a receiver that hears of each change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns how often the view has changed.
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
                    .put(key, StoredManifest { manifest, revision }, now)
            }
            Err(error) => {
                log::warn!(key = kv.key.as_str(), error:%;
                    "a job cannot be read");
            }
        }
    }

    fn put_node(&mut self, name: &str, kv: &KeyValue) {
        match serde_json::from_slice::<NodeRecord>(&kv.value) {
            // An entry that is written again under another lease is no news.
            Ok(record) if self.nodes.get(name) == Some(&record) => {}
            Ok(record) => {
                self.nodes.insert(name.to_owned(), record);
                self.roster = None;
            }
            Err(error) => {
                log::warn!(key = kv.key.as_str(), error:%;
                    "an entry of a node cannot be read");
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

/// Reads the manifest of a job as the key-value service keeps it; none of
/// another key or value.
pub fn decode_manifest_row(
    key: &str,
    value: &[u8],
) -> Option<(JobKey, JobManifest)> {
    Some((job_key(key)?, decode_manifest(value).ok()?))
}
