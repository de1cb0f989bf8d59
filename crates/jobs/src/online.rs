use std::sync::{Mutex, MutexGuard, PoisonError};

use base::{Millis, UnixMillis, stable_hash};
use fleet::IncarnationKey;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

/// Orders the updates of one process.
///
/// Datagrams may arrive late, twice or in another order. An update that is
/// not newer than the last one of its sender changes nothing.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct Stamp {
    /// When the sending process started.
    pub started_at: UnixMillis,
    /// Number of the update within the process.
    pub number: u64,
}

/// The requests that a front has in flight at some endpoints.
#[derive(Clone, Copy, Debug)]
pub struct FrontUpdate<'a> {
    /// Name of the front.
    pub front: &'a str,
    /// Its place among the updates of that front.
    pub stamp: Stamp,
    /// Whether these are all endpoints of this worker that the front sends
    /// to. It subscribes to them until it names others.
    pub whole: bool,
    /// Requests in flight by endpoint.
    pub counts: &'a [(IncarnationKey, u32)],
}

/// Online requests in flight at the endpoints of one worker, from the load
/// updates of the fronts that send there.
///
/// A front reports a request as it sends it, so that batch work gives way
/// within milliseconds. An engine's own report was rejected: it is tens of
/// milliseconds old, asking for it costs, and it does not separate online
/// requests from batch items of other nodes.
///
/// Each endpoint is judged by the fronts that use it. Where all fronts of a
/// fleet had to report, one that was paused, cut off or just gone sent
/// every worker to the engines' own reports, and among hundreds one always
/// is.
#[derive(Debug)]
pub struct OnlineLoad {
    inner: Mutex<Inner>,
    changed: mpsc::UnboundedSender<IncarnationKey>,
}

/// Names a front among those that report to a worker.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct FrontKey(u64);

impl FrontKey {
    fn of(front: &str) -> Self {
        Self(stable_hash(&[front]))
    }
}

#[derive(Debug, Default)]
struct Inner {
    fronts: IndexMap<FrontKey, Front>,
    endpoints: IndexMap<IncarnationKey, Vec<Use>>,
    /// Endpoints whose load has changed for some front.
    dirty: IndexSet<IncarnationKey>,
    steps: u64,
}

#[derive(Debug)]
struct Front {
    name: String,
    stamp: Stamp,
    updated_at: Millis,
    endpoints: Vec<IncarnationKey>,
}

/// What one front has at one endpoint.
#[derive(Clone, Copy, Debug)]
struct Use {
    front: FrontKey,
    count: u32,
    /// What the front was last sent of the others.
    others_sent: Option<u32>,
}

/// What a front is sent about the requests of the others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OthersUpdate {
    /// Name of the front.
    pub front: String,
    /// Requests of all other fronts by endpoint.
    pub counts: Vec<(IncarnationKey, u32)>,
}

/// Age at which a front's load update counts no more, in milliseconds: it
/// sends all of its counts at least every half second, and single messages
/// may be lost.
pub const FRONT_LOAD_LIFE_MS: u64 = 1_300;

impl OnlineLoad {
    /// Starts without any update; the receiver gets the endpoints that
    /// requests are on their way to.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<IncarnationKey>) {
        let (changed, changes) = mpsc::unbounded_channel();
        let load = Self {
            inner: Mutex::default(),
            changed,
        };
        (load, changes)
    }

    /// Takes in an update; returns false, and changes nothing, if it is not
    /// newer than the last one of its front.
    ///
    /// A front that was silent begins anew, as its clock may have been set
    /// back while it restarted.
    pub fn take(&self, update: FrontUpdate<'_>, now: Millis) -> bool {
        let mut inner = self.lock();
        let key = FrontKey::of(update.front);
        if !inner.accept(key, &update, now) {
            return false;
        }
        if update.whole {
            inner.keep_only(key, update.counts);
        }
        for (endpoint, count) in update.counts {
            if inner.set(key, *endpoint, *count) && !update.whole {
                // Nobody listens any more in a process that ends.
                let _ = self.changed.send(*endpoint);
            }
        }
        true
    }

    /// Returns the load of all endpoints that a front uses, whether it has
    /// changed or not.
    pub fn answer(&self, front: &str, now: Millis) -> OthersUpdate {
        let mut inner = self.lock();
        let key = FrontKey::of(front);
        let known = inner.fronts.get(&key);
        let endpoints = known.map(|front| front.endpoints.clone());
        let counts = endpoints.unwrap_or_default().into_iter();
        let counts = counts.map(|endpoint| {
            let others = inner.others(endpoint, key, now);
            inner.note_sent(endpoint, key, others);
            (endpoint, others)
        });
        OthersUpdate {
            counts: counts.collect(),
            front: front.to_owned(),
        }
    }

    /// Returns what has changed for each front since it was last sent
    /// something. Costs a step for each front that uses an endpoint where
    /// something has changed, and none for the rest of the fleet.
    pub fn changes(&self, now: Millis) -> Vec<OthersUpdate> {
        let mut inner = self.lock();
        let mut updates: IndexMap<FrontKey, Vec<(IncarnationKey, u32)>> =
            IndexMap::new();
        for endpoint in std::mem::take(&mut inner.dirty) {
            let uses = inner.endpoints.get(&endpoint);
            for Use { front, .. } in uses.cloned().unwrap_or_default() {
                let others = inner.others(endpoint, front, now);
                if inner.note_sent(endpoint, front, others) {
                    updates.entry(front).or_default().push((endpoint, others));
                }
            }
        }
        let named = updates.into_iter().filter_map(|(key, counts)| {
            let front = inner.fronts.get(&key)?.name.clone();
            Some(OthersUpdate { front, counts })
        });
        named.collect()
    }

    /// Returns the online requests at an endpoint, if all fronts that use it
    /// report them: none if one of them is silent, or if `first_user`, which
    /// sends there before all others, has not named the endpoint.
    pub fn requests_at(
        &self,
        endpoint: IncarnationKey,
        first_user: &str,
        now: Millis,
    ) -> Option<u32> {
        let inner = self.lock();
        let uses = inner.endpoints.get(&endpoint)?;
        let first_user = FrontKey::of(first_user);
        let mut total: u32 = 0;
        let mut has_first = false;
        for Use { front, count, .. } in uses {
            if !inner.is_fresh(*front, now) {
                return None;
            }
            has_first |= *front == first_user;
            total = total.saturating_add(*count);
        }
        has_first.then_some(total)
    }

    /// Forgets the fronts that are silent and not listed any more: they are
    /// gone. One that is about to end serves what it has and goes on to report
    /// it, and one that is listed may be back.
    pub fn forget_gone(
        &self,
        mut is_listed: impl FnMut(&str) -> bool,
        now: Millis,
    ) {
        let mut inner = self.lock();
        let fronts = inner.fronts.iter();
        let gone = fronts.filter(|(key, front)| {
            !inner.is_fresh(**key, now) && !is_listed(&front.name)
        });
        for key in gone.map(|(key, _)| *key).collect::<Vec<_>>() {
            inner.keep_only(key, &[]);
            inner.fronts.swap_remove(&key);
        }
    }

    /// Returns how many entries were looked at so far: a measure of the
    /// cost of updates that no clock disturbs.
    pub fn steps(&self) -> u64 {
        self.lock().steps
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Notes an update of a front, unless a newer one arrived before.
    fn accept(
        &mut self,
        key: FrontKey,
        update: &FrontUpdate<'_>,
        now: Millis,
    ) -> bool {
        let is_fresh = self.is_fresh(key, now);
        let front = self.fronts.entry(key).or_insert_with(|| Front {
            name: update.front.to_owned(),
            stamp: Stamp::default(),
            updated_at: now,
            endpoints: Vec::new(),
        });
        if is_fresh && update.stamp <= front.stamp {
            return false;
        }
        front.stamp = update.stamp;
        front.updated_at = now;
        true
    }

    fn is_fresh(&self, key: FrontKey, now: Millis) -> bool {
        self.fronts.get(&key).is_some_and(|front| {
            now.saturating_ms_since(front.updated_at) < FRONT_LOAD_LIFE_MS
        })
    }

    /// Ends the use of all endpoints of a front but these.
    fn keep_only(&mut self, key: FrontKey, counts: &[(IncarnationKey, u32)]) {
        let Some(front) = self.fronts.get_mut(&key) else {
            return;
        };
        let kept: IndexSet<IncarnationKey> =
            counts.iter().map(|(endpoint, _)| *endpoint).collect();
        let before = std::mem::take(&mut front.endpoints);
        self.steps += before.len() as u64;
        let (rest, gone): (Vec<IncarnationKey>, Vec<IncarnationKey>) =
            before.into_iter().partition(|e| kept.contains(e));
        front.endpoints = rest;
        for endpoint in gone {
            self.end_use(endpoint, key);
        }
    }

    fn end_use(&mut self, endpoint: IncarnationKey, key: FrontKey) {
        let Some(uses) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        uses.retain(|one| one.front != key);
        if uses.is_empty() {
            self.endpoints.swap_remove(&endpoint);
        }
        self.dirty.insert(endpoint);
    }

    /// Sets what a front has at an endpoint; tells whether it is more than
    /// before.
    fn set(
        &mut self,
        key: FrontKey,
        endpoint: IncarnationKey,
        count: u32,
    ) -> bool {
        let uses = self.endpoints.entry(endpoint).or_default();
        self.steps += uses.len() as u64 + 1;
        let known = uses.iter_mut().find(|one| one.front == key);
        let before = match known {
            Some(one) => std::mem::replace(&mut one.count, count),
            None => {
                uses.push(Use {
                    front: key,
                    count,
                    others_sent: None,
                });
                if let Some(front) = self.fronts.get_mut(&key) {
                    front.endpoints.push(endpoint);
                }
                0
            }
        };
        if before != count {
            self.dirty.insert(endpoint);
        }
        count > before
    }

    /// Returns what all fronts but one have at an endpoint. Silent ones do
    /// not count: what they had has ended, as a rule.
    fn others(
        &mut self,
        endpoint: IncarnationKey,
        key: FrontKey,
        now: Millis,
    ) -> u32 {
        let uses = self.endpoints.get(&endpoint);
        let uses = uses.map_or(&[][..], Vec::as_slice);
        self.steps += uses.len() as u64;
        let others = uses.iter().filter(|one| one.front != key);
        others
            .filter(|one| self.is_fresh(one.front, now))
            .fold(0, |sum: u32, one| sum.saturating_add(one.count))
    }

    /// Notes what a front is sent; tells whether it is something new.
    fn note_sent(
        &mut self,
        endpoint: IncarnationKey,
        key: FrontKey,
        others: u32,
    ) -> bool {
        let uses = self.endpoints.get_mut(&endpoint);
        let mut uses = uses.into_iter().flatten();
        let one = uses.find(|one| one.front == key);
        one.is_some_and(|one| one.others_sent.replace(others) != Some(others))
    }
}
