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

/// What is known of the keys below one prefix, as of a revision.
///
/// A node follows three of them: endpoints, operators' keys and jobs. It
/// reads them from the key-value service or from another node that does, and
/// passes them on in turn: a change is the set of keys that are newer than
/// what the other side has.
pub(crate) struct Feed {
    scope: Scope,
    prefix: String,
    /// Hash of the name of this node.
    node: u64,
    same: SameMeaning,
    state: Mutex<State>,
    changes: watch::Sender<u64>,
}

/// Which of the keys below a prefix somebody follows.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Scope {
    /// All of them.
    All,
    /// All but the heads of jobs. Fronts ask for those that their callers
    /// want; of the whole fleet there are hundreds of changes a second.
    WithoutHeads,
}

impl Scope {
    fn has(self, key: &str) -> bool {
        match self {
            Self::All => true,
            Self::WithoutHeads => !key.starts_with(MANIFEST_PREFIX),
        }
    }

    /// Tells whether whoever follows this can answer who wants `other`.
    pub(crate) fn covers(self, other: Self) -> bool {
        self == Self::All || other == Self::WithoutHeads
    }
}

/// Tells whether a write of a key has changed nothing that nodes go by.
///
/// What goes wrong where each write counts as a change: endpoints write
/// their entries every second to show that they live. Each node was sent
/// half of the list of endpoints with each listing, 600 kilobytes a second
/// at three thousand of them, and read it all anew.
type SameMeaning = Box<dyn Fn(&KeyValue, &KeyValue) -> bool + Send + Sync>;

#[derive(Debug, Default)]
struct State {
    /// Each as of the write that gave it the meaning that it has.
    items: IndexMap<String, KeyValue>,
    /// The keys of the items by the revisions of these writes.
    by_revision: BTreeSet<(u64, String)>,
    /// How often an item has come, gone or changed.
    content: u64,
    /// Keys that were deleted, with the revision of the deletion.
    deleted: IndexMap<String, u64>,
    /// Deletions up to here are forgotten.
    whole_since: u64,
    revision: u64,
    fresh_at: Option<Millis>,
    /// Hash of the name of the node that read the service then.
    read_by: u64,
    failed_at: Option<Millis>,
}

/// Deletions that are remembered. Whoever is further behind gets all keys.
const DELETED_MOST: usize = 512;

/// How much is known, without what it is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct FeedStatus {
    /// Revision up to which all changes are contained.
    pub(crate) revision: u64,
    /// How often an item has come, gone or changed.
    pub(crate) content: u64,
    /// How many items there are.
    pub(crate) items: usize,
    /// Moment up to which all changes are contained.
    pub(crate) fresh_at: Option<Millis>,
    /// Hash of the name of the node that read the service then.
    pub(crate) read_by: u64,
    /// Last moment at which the key-value service could not be read.
    pub(crate) failed_at: Option<Millis>,
}

/// What has changed after a revision.
#[derive(Clone, Debug, Default)]
pub(crate) struct Delta {
    /// Revision that this reaches.
    pub(crate) revision: u64,
    /// Whether keys that are not among `items` do not exist.
    pub(crate) whole: bool,
    /// Whether there are more changes, after `revision`.
    pub(crate) more: bool,
    /// Keys that are new or changed.
    pub(crate) items: Vec<KeyValue>,
    /// Keys that were deleted.
    pub(crate) deleted: Vec<(String, u64)>,
    /// Moment up to which all changes are contained.
    pub(crate) fresh_at: Option<Millis>,
    /// Hash of the name of the node that read the service then.
    pub(crate) read_by: u64,
    /// Last moment at which the key-value service could not be read.
    pub(crate) failed_at: Option<Millis>,
}

impl Feed {
    /// Follows the keys below a prefix; a write of a key that is `same` as
    /// the one before counts as none.
    pub(crate) fn new(
        prefix: &str,
        scope: Scope,
        node: &str,
        same: impl Fn(&KeyValue, &KeyValue) -> bool + Send + Sync + 'static,
    ) -> Self {
        Self {
            scope,
            prefix: prefix.to_owned(),
            node: stable_hash(&[node]),
            same: Box::new(same),
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
            content: state.content,
            items: state.items.len(),
            fresh_at: state.fresh_at,
            read_by: state.read_by,
            failed_at: state.failed_at,
        }
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
        let read: IndexSet<&str> =
            reply.kvs.iter().map(|kv| kv.key.as_str()).collect();
        for key in state.keys_without(&read, reply.revision) {
            state.delete(key, reply.revision);
        }
        for kv in reply.kvs {
            self.put(&mut state, kv);
        }
        state.revision = reply.revision;
        state.confirm(Some(began), self.node);
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
                Event::Put(kv) => self.put(&mut state, kv),
                Event::Delete { key, mod_revision } => {
                    if self.scope.has(&key) {
                        state.delete(key, mod_revision);
                    }
                }
            }
        }
        state.revision = state.revision.max(revision);
        state.confirm(Some(now), self.node);
        self.tell(state);
    }

    /// Takes in a key that this node has written, before all other changes
    /// up to that write are known.
    pub(crate) fn note_written(&self, kv: KeyValue) {
        let mut state = self.lock();
        self.put(&mut state, kv);
        self.tell(state);
    }

    /// Takes in a deletion by this node likewise.
    pub(crate) fn note_deleted(&self, key: String, revision: u64) {
        let mut state = self.lock();
        let known = state.items.get(&key).map_or(0, |kv| kv.mod_revision);
        if known < revision {
            state.delete(key, revision);
        }
        self.tell(state);
    }

    /// Takes in what another node knows.
    pub(crate) fn merge(&self, delta: Delta) {
        let mut state = self.lock();
        state.failed_at = state.failed_at.max(delta.failed_at);
        // Two nodes may be at different revisions; what is older than the
        // own knowledge must not bring anything back. It confirms it all the
        // same: the other node knows all changes up to a moment, and none of
        // them is newer than its revision. Without that a node that has read
        // the service itself, at a revision that other keys have reached,
        // counts its knowledge as old until these keys change again, and a
        // worker keeps jobs on its disk that are long done.
        if delta.revision < state.revision {
            state.confirm(delta.fresh_at, delta.read_by);
            self.tell(state);
            return;
        }
        if delta.whole {
            let sent: IndexSet<&str> =
                delta.items.iter().map(|kv| kv.key.as_str()).collect();
            for key in state.keys_without(&sent, delta.revision) {
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
        self.page(after, usize::MAX, Scope::All)
    }

    /// Tells whether there are changes after a revision.
    pub(crate) fn has_news(&self, after: u64, scope: Scope) -> bool {
        let state = self.lock();
        if scope == Scope::All || after < state.whole_since {
            return state.revision > after;
        }
        let newer = state.by_revision.range((after + 1, String::new())..);
        let mut newer = newer.map(|(_, key)| key);
        let mut gone = state.deleted.iter().rev();
        newer.any(|key| scope.has(key))
            || gone
                .by_ref()
                .take_while(|(_, at)| **at > after)
                .any(|(key, _)| scope.has(key))
    }

    /// Returns the first changes after a revision, about `most` of them.
    ///
    /// The list of endpoints of a large fleet takes a node with a thin link
    /// a third of a second. With the first few hundred of them it serves
    /// requests meanwhile.
    pub(crate) fn page(&self, after: u64, most: usize, scope: Scope) -> Delta {
        let state = self.lock();
        let mut delta = match state.end_of_page(after, most) {
            Some(revision) => state.part(after, revision, scope),
            None => state.rest(after, scope),
        };
        delta.deleted.retain(|(key, _)| scope.has(key));
        delta
    }

    /// Returns all keys.
    #[cfg(test)]
    pub(crate) fn all(&self) -> Delta {
        self.since(0)
    }

    fn put(&self, state: &mut State, kv: KeyValue) {
        if self.scope.has(&kv.key) {
            state.put(kv, &self.same);
        }
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
    /// Returns the revision with which a page of about `most` changes ends;
    /// none if it holds all that there are, or cannot be divided since keys
    /// that are not sent are to be deleted.
    fn end_of_page(&self, after: u64, most: usize) -> Option<u64> {
        if after != 0 && after < self.whole_since {
            return None;
        }
        let first = (after + 1, String::new());
        // Own writes beyond the revision are no end of a page: what others
        // have written before them is not known yet.
        let end = (self.revision + 1, String::new());
        if first >= end {
            return None;
        }
        let mut newer = self.by_revision.range(first..end);
        let (last, _) = newer.nth(most.saturating_sub(1))?;
        // All changes of one revision go together.
        newer.any(|(revision, _)| revision > last).then_some(*last)
    }

    /// Returns the changes of a page that more pages follow.
    fn part(&self, after: u64, last: u64, scope: Scope) -> Delta {
        let from = (after + 1, String::new());
        let to = (last + 1, String::new());
        let keys = self.by_revision.range(from..to).map(|(_, key)| key);
        let keys = keys.filter(|key| scope.has(key));
        let items = keys.filter_map(|key| self.items.get(key));
        let gone = self.deleted.iter();
        let gone = gone.filter(|(_, at)| (after + 1..=last).contains(at));
        Delta {
            revision: last,
            more: true,
            items: items.cloned().collect(),
            deleted: gone.map(|(key, at)| (key.clone(), *at)).collect(),
            ..Delta::default()
        }
    }

    /// Returns all changes after a revision.
    fn rest(&self, after: u64, scope: Scope) -> Delta {
        let whole = after == 0 || after < self.whole_since;
        let first = match whole {
            true => 0,
            false => after + 1,
        };
        let newer = self.by_revision.range((first, String::new())..);
        let newer = newer.filter(|(_, key)| scope.has(key));
        let items = newer.filter_map(|(_, key)| self.items.get(key));
        let gone = self.deleted.iter().filter(|(_, at)| **at > after);
        Delta {
            revision: self.revision,
            whole,
            more: false,
            items: items.cloned().collect(),
            deleted: gone.map(|(key, at)| (key.clone(), *at)).collect(),
            fresh_at: self.fresh_at,
            read_by: self.read_by,
            failed_at: self.failed_at,
        }
    }

    /// Takes note of a moment up to which a node knew all changes.
    fn confirm(&mut self, at: Option<Millis>, read_by: u64) {
        if at > self.fresh_at {
            self.fresh_at = at;
            self.read_by = read_by;
        }
    }

    fn put(&mut self, kv: KeyValue, same: &SameMeaning) {
        let deleted = self.deleted.get(&kv.key).copied().unwrap_or(0);
        if kv.mod_revision <= deleted {
            return;
        }
        if let Some(known) = self.items.get(&kv.key) {
            if kv.mod_revision <= known.mod_revision || same(known, &kv) {
                return;
            }
            let place = (known.mod_revision, kv.key.clone());
            self.by_revision.remove(&place);
        }
        self.content += 1;
        self.deleted.shift_remove(&kv.key);
        self.by_revision.insert((kv.mod_revision, kv.key.clone()));
        self.items.insert(kv.key.clone(), kv);
    }

    /// Returns the keys of all items up to a revision that are not among
    /// these.
    fn keys_without(
        &self,
        kept: &IndexSet<&str>,
        revision: u64,
    ) -> Vec<String> {
        let old = self.items.values().filter(|kv| {
            kv.mod_revision <= revision && !kept.contains(kv.key.as_str())
        });
        old.map(|kv| kv.key.clone()).collect()
    }

    fn delete(&mut self, key: String, revision: u64) {
        if let Some(known) = self.items.swap_remove(&key) {
            self.by_revision.remove(&(known.mod_revision, key.clone()));
            self.content += 1;
        }
        self.deleted.shift_remove(&key);
        self.deleted.insert(key, revision);
        while self.deleted.len() > DELETED_MOST {
            if let Some((_, at)) = self.deleted.shift_remove_index(0) {
                self.whole_since = self.whole_since.max(at);
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
