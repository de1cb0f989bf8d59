use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use base::Millis;
use indexmap::IndexMap;
use kv::{Event, KeyValue};
use tokio::sync::watch;

use crate::{
    Backlog, Members, NodeRecord, Stored,
    record::{HEAD_PREFIX, JobKey, NODE_PREFIX, decode_head},
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
    jobs: IndexMap<JobKey, Stored>,
    /// When each job was last seen to change.
    changed_at: IndexMap<JobKey, Millis>,
    nodes: IndexMap<String, NodeRecord>,
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
        let old = std::mem::take(&mut inner.jobs);
        inner.nodes.clear();
        for kv in kvs {
            inner.put(kv, began);
        }
        // A read whose pages are not one moment may miss what a write of
        // this node added meanwhile; what is newer than the read stays.
        let newest = kvs.iter().map(|kv| kv.mod_revision).max();
        for (key, stored) in old {
            let newer = Some(stored.revision) > newest;
            if newer && !inner.jobs.contains_key(&key) {
                inner.jobs.insert(key, stored);
            }
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

    /// Takes in a head that this node wrote or read itself.
    pub fn learn(&self, job: &JobKey, stored: &Stored, now: Millis) {
        let mut inner = self.lock();
        let known = inner.jobs.get(job).map_or(0, |known| known.revision);
        if stored.revision <= known {
            return;
        }
        inner.jobs.insert(job.clone(), stored.clone());
        inner.changed_at.insert(job.clone(), now);
        drop(inner);
        self.changed();
    }

    /// Returns the head of a job.
    pub fn get(&self, job: &JobKey) -> Option<Stored> {
        self.lock().jobs.get(job).cloned()
    }

    /// Returns all jobs of which `keep` is true.
    pub fn select(
        &self,
        mut keep: impl FnMut(&JobKey, &Stored) -> bool,
    ) -> Vec<(JobKey, Stored)> {
        let inner = self.lock();
        let jobs = inner.jobs.iter().filter(|(key, job)| keep(key, job));
        jobs.map(|(key, job)| (key.clone(), job.clone())).collect()
    }

    /// Returns the nodes that run items.
    pub fn members(&self) -> Members {
        Members::new(self.lock().nodes.values().cloned())
    }

    /// Returns for how long nothing was seen to change of a job.
    pub fn unchanged_ms(&self, job: &JobKey, now: Millis) -> u64 {
        let inner = self.lock();
        let at = inner.changed_at.get(job).copied();
        at.map_or(0, |at| now.saturating_ms_since(at))
    }

    /// Returns all nodes.
    pub fn nodes(&self) -> Vec<NodeRecord> {
        self.lock().nodes.values().cloned().collect()
    }

    /// Counts the open items of each node that runs items.
    pub fn backlog(&self, members: &Members) -> Backlog {
        let inner = self.lock();
        let jobs = inner.jobs.iter();
        Backlog::of(members, jobs.map(|(key, job)| (key, &job.head)))
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
            match serde_json::from_slice::<NodeRecord>(&kv.value) {
                Ok(record) => {
                    self.nodes.insert(name.to_owned(), record);
                }
                Err(error) => {
                    log::warn!(key = kv.key.as_str(), error:%;
                        "an entry of a node cannot be read");
                }
            }
            return;
        }
        let Some(key) = job_key(&kv.key) else {
            return;
        };
        match decode_head(&kv.value) {
            Ok(head) => {
                let revision = kv.mod_revision;
                let known = self.jobs.get(&key);
                if known.is_none_or(|known| known.revision < revision) {
                    self.changed_at.insert(key.clone(), now);
                    self.jobs.insert(key, Stored { head, revision });
                }
            }
            Err(error) => {
                log::warn!(key = kv.key.as_str(), error:%;
                    "a job cannot be read");
            }
        }
    }

    fn delete(&mut self, key: &str) {
        if let Some(name) = key.strip_prefix(NODE_PREFIX) {
            self.nodes.shift_remove(name);
        } else if let Some(job) = job_key(key) {
            self.jobs.swap_remove(&job);
            self.changed_at.swap_remove(&job);
        }
    }
}

fn job_key(key: &str) -> Option<JobKey> {
    key.strip_prefix(HEAD_PREFIX)?.parse().ok()
}
