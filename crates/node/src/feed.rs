use std::{
    collections::BTreeSet,
    fmt,
    sync::{Mutex, MutexGuard, PoisonError},
};

use base::{Millis, stable_hash};
use indexmap::{IndexMap, IndexSet};
use jobs::MANIFEST_PREFIX;
use kv::{Event, GetReply, KeyValue};
use tokio::sync::watch;

/// A node's copy of the keys below one prefix, as of a revision.
///
/// A node follows three feeds: endpoints, operators' keys and jobs. It reads
/// them from the key-value service or from another node that does, and serves
/// them to other nodes: a delta is the set of keys that are newer than the
/// other node's revision.
pub(crate) struct Feed {
    scope: Scope,
    prefix: String,
    /// Hash of the name of this node.
    node: u64,
    is_equivalent: Equivalence,
    state: Mutex<State>,
    changes: watch::Sender<u64>,
}

/// The subset of the keys below a prefix that a node follows.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Scope {
    /// All keys.
    All,
    /// All keys except job manifests. Fronts request the manifests that their
    /// callers need; the whole fleet changes hundreds of them each second.
    WithoutManifests,
}

impl Scope {
    fn includes(self, key: &str) -> bool {
        match self {
            Self::All => true,
            Self::WithoutManifests => !key.starts_with(MANIFEST_PREFIX),
        }
    }

    /// Reports whether a node with this scope can serve requests for `other`.
    pub(crate) fn covers(self, other: Self) -> bool {
        self == Self::All || other == Self::WithoutManifests
    }
}

/// Reports whether a write of a key has changed nothing that nodes act on.
///
/// Endpoints write their entries every second as heartbeats. If each write
/// counted as a change, each node would receive half of the list of endpoints
/// with each listing, 600 kilobytes a second with three thousand of them, and
/// decode it again.
type Equivalence = Box<dyn Fn(&KeyValue, &KeyValue) -> bool + Send + Sync>;

#[derive(Debug, Default)]
struct State {
    /// The items, each as of the write that last changed its meaning.
    items: IndexMap<String, KeyValue>,
    /// The keys of the items by the revisions of these writes.
    by_revision: BTreeSet<(u64, String)>,
    /// Number of times that an item was added, removed or changed.
    content_version: u64,
    /// Deleted keys with the revision of the deletion.
    deleted: IndexMap<String, u64>,
    /// Revision up to which tombstones have been dropped.
    tombstones_since: u64,
    revision: u64,
    fresh_at: Option<Millis>,
    /// Hash of the name of the node that read the key-value service at
    /// `fresh_at`.
    read_by: u64,
    failed_at: Option<Millis>,
}

/// Maximum number of tombstones. A node whose revision is older than the
/// dropped ones receives all keys.
const MAX_TOMBSTONES: usize = 512;

/// The state of a feed without its items.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct FeedStatus {
    /// Revision up to which all changes are included.
    pub(crate) revision: u64,
    /// Number of times that an item was added, removed or changed.
    pub(crate) content_version: u64,
    /// Number of items.
    pub(crate) items: usize,
    /// Time up to which all changes are included.
    pub(crate) fresh_at: Option<Millis>,
    /// Hash of the name of the node that read the key-value service at
    /// `fresh_at`.
    pub(crate) read_by: u64,
    /// Time of the last failed read of the key-value service.
    pub(crate) failed_at: Option<Millis>,
}

/// The changes after a revision.
#[derive(Clone, Debug, Default)]
pub(crate) struct Delta {
    /// Revision that this delta reaches.
    pub(crate) revision: u64,
    /// Whether keys that are not among `items` do not exist.
    pub(crate) is_full: bool,
    /// Whether there are more changes, after `revision`.
    pub(crate) has_more: bool,
    /// Keys that were created or changed.
    pub(crate) items: Vec<KeyValue>,
    /// Keys that were deleted, with the revision of the deletion.
    pub(crate) deleted: Vec<(String, u64)>,
    /// Time up to which all changes are included.
    pub(crate) fresh_at: Option<Millis>,
    /// Hash of the name of the node that read the key-value service at
    /// `fresh_at`.
    pub(crate) read_by: u64,
    /// Time of the last failed read of the key-value service.
    pub(crate) failed_at: Option<Millis>,
}

impl Feed {
    /// Creates an empty feed of the keys below a prefix. A write of a key that
    /// `is_equivalent` to the previous value does not count as a change.
    pub(crate) fn new(
        prefix: &str,
        scope: Scope,
        node: &str,
        is_equivalent: impl Fn(&KeyValue, &KeyValue) -> bool
        + Send
        + Sync
        + 'static,
    ) -> Self {
        Self {
            scope,
            prefix: prefix.to_owned(),
            node: stable_hash(&[node]),
            is_equivalent: Box::new(is_equivalent),
            state: Mutex::default(),
            changes: watch::Sender::new(0),
        }
    }

    pub(crate) fn scope(&self) -> Scope {
        self.scope
    }

    pub(crate) fn prefix(&self) -> &str {
        &self.prefix
    }

    pub(crate) fn status(&self) -> FeedStatus {
        let state = self.lock();
        FeedStatus {
            revision: state.revision,
            content_version: state.content_version,
            items: state.items.len(),
            fresh_at: state.fresh_at,
            read_by: state.read_by,
            failed_at: state.failed_at,
        }
    }

    /// Returns the item of a key, and the revision up to which all changes
    /// are included.
    pub(crate) fn find(&self, key: &str) -> (u64, Option<KeyValue>) {
        let state = self.lock();
        (state.revision, state.items.get(key).cloned())
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Replaces all items by a full read that started at `started_at`.
    pub(crate) fn replace(&self, reply: GetReply, started_at: Millis) {
        let mut state = self.lock();
        if reply.revision < state.revision {
            return;
        }
        let read: IndexSet<&str> =
            reply.kvs.iter().map(|kv| kv.key.as_str()).collect();
        for key in state.keys_not_in(&read, reply.revision) {
            state.delete(key, reply.revision);
        }
        for kv in reply.kvs {
            self.put(&mut state, kv);
        }
        state.revision = reply.revision;
        state.confirm(Some(started_at), self.node);
        self.notify(state);
    }

    /// Applies changes up to a revision, which include all changes up to
    /// `now`.
    pub(crate) fn apply(
        &self,
        events: Vec<Event>,
        revision: u64,
        now: Millis,
    ) {
        let mut state = self.lock();
        for event in events {
            match event {
                Event::Put(kv) => self.put(&mut state, kv),
                Event::Delete { key, mod_revision } => {
                    if self.scope.includes(&key) {
                        state.delete(key, mod_revision);
                    }
                }
            }
        }
        state.revision = state.revision.max(revision);
        state.confirm(Some(now), self.node);
        self.notify(state);
    }

    /// Records a key that this node has written, before all other changes up
    /// to that write are known.
    pub(crate) fn record_put(&self, kv: KeyValue) {
        let mut state = self.lock();
        self.put(&mut state, kv);
        self.notify(state);
    }

    /// Records a deletion by this node, before all other changes up to it are
    /// known.
    pub(crate) fn record_delete(&self, key: String, revision: u64) {
        let mut state = self.lock();
        let known = state.items.get(&key).map_or(0, |kv| kv.mod_revision);
        if known < revision {
            state.delete(key, revision);
        }
        self.notify(state);
    }

    /// Merges a delta from another node.
    pub(crate) fn merge(&self, delta: Delta) {
        let mut state = self.lock();
        state.failed_at = state.failed_at.max(delta.failed_at);
        // Two nodes may be at different revisions. An older delta must not
        // restore deleted or replaced items, but it still confirms the local
        // state: the other node knows all changes up to a time, and none of
        // them is newer than its revision. Otherwise a node that has read the
        // key-value service itself, at a revision that other keys have
        // reached, treats its state as stale until these keys change again,
        // and a worker keeps jobs on its disk that completed long ago.
        if delta.revision < state.revision {
            state.confirm(delta.fresh_at, delta.read_by);
            self.notify(state);
            return;
        }
        if delta.is_full {
            let sent: IndexSet<&str> =
                delta.items.iter().map(|kv| kv.key.as_str()).collect();
            for key in state.keys_not_in(&sent, delta.revision) {
                state.delete(key, delta.revision);
            }
        }
        for kv in delta.items {
            self.put(&mut state, kv);
        }
        for (key, revision) in delta.deleted {
            let known = state.items.get(&key).map_or(0, |k| k.mod_revision);
            if known < revision {
                state.delete(key, revision);
            }
        }
        state.revision = delta.revision;
        state.confirm(delta.fresh_at, delta.read_by);
        self.notify(state);
    }

    /// Records a failed read.
    pub(crate) fn record_read_failure(&self, now: Millis) {
        let mut state = self.lock();
        state.failed_at = Some(now);
        self.notify(state);
    }

    /// Returns the changes after a revision.
    pub(crate) fn changes_since(&self, after: u64) -> Delta {
        self.page(after, usize::MAX, Scope::All)
    }

    /// Reports whether there are changes after a revision.
    pub(crate) fn has_changes(&self, after: u64, scope: Scope) -> bool {
        let state = self.lock();
        if scope == Scope::All || after < state.tombstones_since {
            return state.revision > after;
        }
        let newer = state.by_revision.range((after + 1, String::new())..);
        let mut newer = newer.map(|(_, key)| key);
        let mut deleted = state.deleted.iter().rev();
        newer.any(|key| scope.includes(key))
            || deleted
                .by_ref()
                .take_while(|(_, at)| **at > after)
                .any(|(key, _)| scope.includes(key))
    }

    /// Returns the first changes after a revision, about `max` of them.
    ///
    /// The list of endpoints of a large fleet takes a third of a second to
    /// reach a node with a slow link. With the first few hundred of them the
    /// node already serves requests.
    pub(crate) fn page(&self, after: u64, max: usize, scope: Scope) -> Delta {
        let state = self.lock();
        let mut delta = match state.page_end(after, max) {
            Some(revision) => state.partial_page(after, revision, scope),
            None => state.remaining_changes(after, scope),
        };
        delta.deleted.retain(|(key, _)| scope.includes(key));
        delta
    }

    /// Returns all keys.
    #[cfg(test)]
    pub(crate) fn all(&self) -> Delta {
        self.changes_since(0)
    }

    fn put(&self, state: &mut State, kv: KeyValue) {
        if self.scope.includes(&kv.key) {
            state.put(kv, &self.is_equivalent);
        }
    }

    fn notify(&self, state: MutexGuard<'_, State>) {
        drop(state);
        self.changes.send_modify(|count| *count += 1);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns the last revision of a page of about `max_changes` changes;
    /// `None` if the page contains all changes, or cannot be split because it
    /// implies the deletion of keys that it does not contain.
    fn page_end(&self, after: u64, max_changes: usize) -> Option<u64> {
        if after != 0 && after < self.tombstones_since {
            return None;
        }
        let first = (after + 1, String::new());
        // A page does not end at this node's own writes beyond the revision:
        // changes that others wrote before them are not known yet.
        let end = (self.revision + 1, String::new());
        if first >= end {
            return None;
        }
        let mut newer = self.by_revision.range(first..end);
        let (last, _) = newer.nth(max_changes.saturating_sub(1))?;
        // Changes of the same revision stay on the same page.
        newer.any(|(revision, _)| revision > last).then_some(*last)
    }

    /// Returns the changes of a page that is followed by more pages.
    fn partial_page(&self, after: u64, last: u64, scope: Scope) -> Delta {
        let from = (after + 1, String::new());
        let to = (last + 1, String::new());
        let keys = self.by_revision.range(from..to).map(|(_, key)| key);
        let keys = keys.filter(|key| scope.includes(key));
        let items = keys.filter_map(|key| self.items.get(key));
        let deleted = self.deleted.iter();
        let deleted =
            deleted.filter(|(_, at)| (after + 1..=last).contains(at));
        Delta {
            revision: last,
            has_more: true,
            items: items.cloned().collect(),
            deleted: deleted.map(|(key, at)| (key.clone(), *at)).collect(),
            ..Delta::default()
        }
    }

    /// Returns all changes after a revision.
    fn remaining_changes(&self, after: u64, scope: Scope) -> Delta {
        let is_full = after == 0 || after < self.tombstones_since;
        let first = match is_full {
            true => 0,
            false => after + 1,
        };
        let newer = self.by_revision.range((first, String::new())..);
        let newer = newer.filter(|(_, key)| scope.includes(key));
        let items = newer.filter_map(|(_, key)| self.items.get(key));
        let deleted = self.deleted.iter().filter(|(_, at)| **at > after);
        Delta {
            revision: self.revision,
            is_full,
            has_more: false,
            items: items.cloned().collect(),
            deleted: deleted.map(|(key, at)| (key.clone(), *at)).collect(),
            fresh_at: self.fresh_at,
            read_by: self.read_by,
            failed_at: self.failed_at,
        }
    }

    /// Records a time up to which a node knew all changes.
    fn confirm(&mut self, at: Option<Millis>, read_by: u64) {
        if at > self.fresh_at {
            self.fresh_at = at;
            self.read_by = read_by;
        }
    }

    fn put(&mut self, kv: KeyValue, is_equivalent: &Equivalence) {
        let deleted = self.deleted.get(&kv.key).copied().unwrap_or(0);
        if kv.mod_revision <= deleted {
            return;
        }
        if let Some(known) = self.items.get(&kv.key) {
            if kv.mod_revision <= known.mod_revision
                || is_equivalent(known, &kv)
            {
                return;
            }
            let index_key = (known.mod_revision, kv.key.clone());
            self.by_revision.remove(&index_key);
        }
        self.content_version += 1;
        self.deleted.shift_remove(&kv.key);
        self.by_revision.insert((kv.mod_revision, kv.key.clone()));
        self.items.insert(kv.key.clone(), kv);
    }

    /// Returns the keys of all items up to a revision that are not in `kept`.
    fn keys_not_in(
        &self,
        kept: &IndexSet<&str>,
        revision: u64,
    ) -> Vec<String> {
        let missing = self.items.values().filter(|kv| {
            kv.mod_revision <= revision && !kept.contains(kv.key.as_str())
        });
        missing.map(|kv| kv.key.clone()).collect()
    }

    fn delete(&mut self, key: String, revision: u64) {
        if let Some(known) = self.items.swap_remove(&key) {
            self.by_revision.remove(&(known.mod_revision, key.clone()));
            self.content_version += 1;
        }
        self.deleted.shift_remove(&key);
        self.deleted.insert(key, revision);
        while self.deleted.len() > MAX_TOMBSTONES {
            if let Some((_, at)) = self.deleted.shift_remove_index(0) {
                self.tombstones_since = self.tombstones_since.max(at);
            }
        }
    }
}

impl fmt::Debug for Feed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Feed")
            .field("prefix", &self.prefix)
            .field("status", &self.status())
            .finish_non_exhaustive()
    }
}

#[cfg(test)]
#[path = "../tests/unit/feed.rs"]
mod tests;
