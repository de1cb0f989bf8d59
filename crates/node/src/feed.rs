use std::sync::{Mutex, MutexGuard, PoisonError};

use base::Millis;
use indexmap::IndexMap;
use kv::{Event, GetReply, KeyValue};
use tokio::sync::watch;

/// What is known of the keys below one prefix, as of a revision.
///
/// A node follows three of them: endpoints, operators' keys and jobs. It
/// reads them from the key-value service or from another node that does, and
/// passes them on in turn: a change is the set of keys that are newer than
/// what the other side has.
#[derive(Debug)]
pub(crate) struct Feed {
    prefix: String,
    state: Mutex<State>,
    changes: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    items: IndexMap<String, KeyValue>,
    /// Keys that were deleted, with the revision of the deletion.
    deleted: IndexMap<String, u64>,
    /// Deletions up to here are forgotten.
    whole_since: u64,
    revision: u64,
    fresh_at: Option<Millis>,
    failed_at: Option<Millis>,
}

/// Deletions that are remembered. Whoever is further behind gets all keys.
const DELETED_MOST: usize = 512;

/// What has changed after a revision.
#[derive(Clone, Debug, Default)]
pub(crate) struct Delta {
    /// Revision that this reaches.
    pub(crate) revision: u64,
    /// Whether keys that are not among `items` do not exist.
    pub(crate) whole: bool,
    /// Keys that are new or changed.
    pub(crate) items: Vec<KeyValue>,
    /// Keys that were deleted.
    pub(crate) deleted: Vec<(String, u64)>,
    /// Moment up to which all changes are contained.
    pub(crate) fresh_at: Option<Millis>,
    /// Last moment at which the key-value service could not be read.
    pub(crate) failed_at: Option<Millis>,
}

impl Feed {
    pub(crate) fn new(prefix: &str) -> Self {
        Self {
            prefix: prefix.to_owned(),
            state: Mutex::default(),
            changes: watch::Sender::new(0),
        }
    }

    pub(crate) fn prefix(&self) -> &str {
        &self.prefix
    }

    pub(crate) fn revision(&self) -> u64 {
        self.lock().revision
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Replaces all by a whole read that began at `began`.
    pub(crate) fn replace(&self, reply: GetReply, began: Millis) {
        let mut state = self.lock();
        if reply.revision < state.revision {
            return;
        }
        let old = std::mem::take(&mut state.items);
        for kv in reply.kvs {
            state.items.insert(kv.key.clone(), kv);
        }
        for key in old.into_keys() {
            if !state.items.contains_key(&key) {
                state.delete(key, reply.revision);
            }
        }
        state.revision = reply.revision;
        state.fresh_at = state.fresh_at.max(Some(began));
        self.tell(state);
    }

    /// Applies changes that reach a revision; all up to `now` are known then.
    pub(crate) fn apply(
        &self,
        events: Vec<Event>,
        revision: u64,
        now: Millis,
    ) {
        let mut state = self.lock();
        for event in events {
            match event {
                Event::Put(kv) => state.put(kv),
                Event::Delete { key, mod_revision } => {
                    state.items.swap_remove(&key);
                    state.delete(key, mod_revision);
                }
            }
        }
        state.revision = state.revision.max(revision);
        state.fresh_at = state.fresh_at.max(Some(now));
        self.tell(state);
    }

    /// Takes in what another node knows.
    pub(crate) fn merge(&self, delta: Delta) {
        let mut state = self.lock();
        // Two nodes may be at different revisions; what is older than the
        // own knowledge must not bring anything back.
        if delta.revision < state.revision {
            return;
        }
        if delta.whole {
            let kept =
                |key: &String| delta.items.iter().any(|i| i.key == *key);
            let gone: Vec<String> =
                state.items.keys().filter(|k| !kept(k)).cloned().collect();
            for key in gone {
                state.items.swap_remove(&key);
                state.delete(key, delta.revision);
            }
        }
        for kv in delta.items {
            state.put(kv);
        }
        for (key, revision) in delta.deleted {
            let known = state.items.get(&key).map_or(0, |k| k.mod_revision);
            if known < revision {
                state.items.swap_remove(&key);
                state.delete(key, revision);
            }
        }
        state.revision = delta.revision;
        state.fresh_at = state.fresh_at.max(delta.fresh_at);
        state.failed_at = state.failed_at.max(delta.failed_at);
        self.tell(state);
    }

    /// Takes note of a read that failed.
    pub(crate) fn read_failed(&self, now: Millis) {
        let mut state = self.lock();
        state.failed_at = Some(now);
        self.tell(state);
    }

    /// Returns what has changed after a revision.
    pub(crate) fn since(&self, after: u64) -> Delta {
        let state = self.lock();
        let whole = after == 0 || after < state.whole_since;
        let newer = |kv: &&KeyValue| whole || kv.mod_revision > after;
        let gone = state.deleted.iter().filter(|(_, at)| **at > after);
        Delta {
            revision: state.revision,
            whole,
            items: state.items.values().filter(newer).cloned().collect(),
            deleted: gone.map(|(key, at)| (key.clone(), *at)).collect(),
            fresh_at: state.fresh_at,
            failed_at: state.failed_at,
        }
    }

    /// Returns all keys.
    pub(crate) fn all(&self) -> Delta {
        self.since(0)
    }

    fn tell(&self, state: MutexGuard<'_, State>) {
        drop(state);
        self.changes.send_modify(|count| *count += 1);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn put(&mut self, kv: KeyValue) {
        let known = self.items.get(&kv.key).map_or(0, |k| k.mod_revision);
        let deleted = self.deleted.get(&kv.key).copied().unwrap_or(0);
        if kv.mod_revision <= known.max(deleted) {
            return;
        }
        self.deleted.shift_remove(&kv.key);
        self.items.insert(kv.key.clone(), kv);
    }

    fn delete(&mut self, key: String, revision: u64) {
        self.deleted.shift_remove(&key);
        self.deleted.insert(key, revision);
        while self.deleted.len() > DELETED_MOST {
            if let Some((_, at)) = self.deleted.shift_remove_index(0) {
                self.whole_since = self.whole_since.max(at);
            }
        }
    }
}
