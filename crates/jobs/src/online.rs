use std::sync::{Mutex, MutexGuard, PoisonError};

use base::{Millis, UnixMillis, stable_hash};
use fleet::IncarnationKey;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

/// Orders the load reports of one process.
///
/// Datagrams may be delayed, duplicated or reordered. An update that is not
/// newer than the last one of its sender is ignored.
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
pub struct ReportVersion {
    /// When the sending process started.
    pub started_at: UnixMillis,
    /// Sequence number of the update within the process.
    pub number: u64,
}

/// The requests that a front has in flight at some endpoints.
#[derive(Clone, Copy, Debug)]
pub struct FrontUpdate<'a> {
    /// Name of the front.
    pub front: &'a str,
    /// Version of the update among the updates of that front.
    pub version: ReportVersion,
    /// Whether the update contains all endpoints of this worker that the front
    /// sends to. The front stays subscribed to them until its next full
    /// update.
    pub is_full: bool,
    /// Requests in flight by endpoint.
    pub counts: &'a [(IncarnationKey, u32)],
}

/// Online requests in flight at the endpoints of one worker, from the load
/// updates of the fronts that send requests there.
///
/// A front reports a request when it sends it, so that batch work is preempted
/// within milliseconds. The load reports of engines do not suffice: they are
/// tens of milliseconds old, each costs a request, and they do not distinguish
/// online requests from batch items of other nodes.
///
/// The load of each endpoint is known if the fronts that use this endpoint
/// report. If reports of all fronts of the fleet were required, one paused,
/// disconnected or just removed front would make every worker fall back to the
/// engines' own reports, and among hundreds of fronts there is always one in
/// such a state.
#[derive(Debug)]
pub struct OnlineLoad {
    inner: Mutex<Inner>,
    increases: mpsc::UnboundedSender<IncarnationKey>,
}

/// Identifies a front among those that report to a worker.
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
    endpoints: IndexMap<IncarnationKey, Vec<FrontUse>>,
    /// Endpoints whose load has changed for some front.
    dirty: IndexSet<IncarnationKey>,
    steps: u64,
}

#[derive(Debug)]
struct Front {
    name: String,
    version: ReportVersion,
    updated_at: Millis,
    endpoints: Vec<IncarnationKey>,
}

/// The use of one endpoint by one front.
#[derive(Clone, Copy, Debug)]
struct FrontUse {
    front: FrontKey,
    count: u32,
    /// The count of the other fronts' requests that was last sent to this
    /// front.
    last_sent: Option<u32>,
}

/// The requests of the other fronts, as sent to one front.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OtherFrontsLoad {
    /// Name of the front.
    pub front: String,
    /// Requests of all other fronts by endpoint.
    pub counts: Vec<(IncarnationKey, u32)>,
}

/// Age from which a front's load update is ignored, in milliseconds. A front
/// sends all of its counts at least every half second, and single messages may
/// be lost.
pub const FRONT_LOAD_TTL_MS: u64 = 1_300;

impl OnlineLoad {
    /// Creates a tracker without updates. The receiver gets the endpoints at
    /// which the number of requests increases.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<IncarnationKey>) {
        let (increases, changes) = mpsc::unbounded_channel();
        let load = Self {
            inner: Mutex::default(),
            increases,
        };
        (load, changes)
    }

    /// Applies an update. Returns false, and changes nothing, if the update is
    /// not newer than the last one of the same front.
    ///
    /// After a front was silent, any version of it is accepted, since its
    /// clock may have been set back while it restarted.
    pub fn apply(&self, update: FrontUpdate<'_>, now: Millis) -> bool {
        let mut inner = self.lock();
        let key = FrontKey::of(update.front);
        if !inner.accept(key, &update, now) {
            return false;
        }
        if update.is_full {
            inner.retain_endpoints(key, update.counts);
        }
        for (endpoint, count) in update.counts {
            if inner.set_count(key, *endpoint, *count) && !update.is_full {
                // The receiver is dropped when the process shuts down.
                let _ = self.increases.send(*endpoint);
            }
        }
        true
    }

    /// Returns the load of all endpoints that a front uses, whether or not it
    /// has changed.
    pub fn full_report(&self, front: &str, now: Millis) -> OtherFrontsLoad {
        let mut inner = self.lock();
        let key = FrontKey::of(front);
        let known = inner.fronts.get(&key);
        let endpoints = known.map(|front| front.endpoints.clone());
        let counts = endpoints.unwrap_or_default().into_iter();
        let counts = counts.map(|endpoint| {
            let requests_of_others =
                inner.requests_of_others(endpoint, key, now);
            inner.mark_sent(endpoint, key, requests_of_others);
            (endpoint, requests_of_others)
        });
        OtherFrontsLoad {
            counts: counts.collect(),
            front: front.to_owned(),
        }
    }

    /// Returns the endpoints of this worker that a front uses.
    pub fn endpoints_of(&self, front: &str) -> Vec<IncarnationKey> {
        let inner = self.lock();
        let known = inner.fronts.get(&FrontKey::of(front));
        known.map_or_else(Vec::new, |front| front.endpoints.clone())
    }

    /// Returns, for each front, the loads that have changed since they were
    /// last sent to it. The cost is one step for each front that uses an
    /// endpoint with a change; the size of the fleet does not matter.
    pub fn changes(&self, now: Millis) -> Vec<OtherFrontsLoad> {
        let mut inner = self.lock();
        let mut updates: IndexMap<FrontKey, Vec<(IncarnationKey, u32)>> =
            IndexMap::new();
        for endpoint in std::mem::take(&mut inner.dirty) {
            let uses = inner.endpoints.get(&endpoint);
            for FrontUse { front, .. } in uses.cloned().unwrap_or_default() {
                let requests_of_others =
                    inner.requests_of_others(endpoint, front, now);
                if inner.mark_sent(endpoint, front, requests_of_others) {
                    updates
                        .entry(front)
                        .or_default()
                        .push((endpoint, requests_of_others));
                }
            }
        }
        let named = updates.into_iter().filter_map(|(key, counts)| {
            let front = inner.fronts.get(&key)?.name.clone();
            Some(OtherFrontsLoad { front, counts })
        });
        named.collect()
    }

    /// Returns the number of online requests at an endpoint if all fronts that
    /// use the endpoint report. Returns `None` if one of them is silent, or if
    /// `assigned_front`, the front that the endpoint is assigned to, has not
    /// reported the endpoint.
    pub fn requests_at(
        &self,
        endpoint: IncarnationKey,
        assigned_front: &str,
        now: Millis,
    ) -> Option<u32> {
        let inner = self.lock();
        let uses = inner.endpoints.get(&endpoint)?;
        let assigned_front = FrontKey::of(assigned_front);
        let mut total: u32 = 0;
        let mut has_assigned_front = false;
        for FrontUse { front, count, .. } in uses {
            if !inner.is_fresh(*front, now) {
                return None;
            }
            has_assigned_front |= *front == assigned_front;
            total = total.saturating_add(*count);
        }
        has_assigned_front.then_some(total)
    }

    /// Removes the fronts that are silent and not listed any more. A front
    /// that is shutting down is not listed, but keeps reporting while it
    /// finishes its requests; a front that is silent but listed may come back.
    pub fn remove_gone(
        &self,
        mut is_listed: impl FnMut(&str) -> bool,
        now: Millis,
    ) {
        let mut inner = self.lock();
        let fronts = inner.fronts.iter();
        let removed = fronts.filter(|(key, front)| {
            !inner.is_fresh(**key, now) && !is_listed(&front.name)
        });
        for key in removed.map(|(key, _)| *key).collect::<Vec<_>>() {
            inner.retain_endpoints(key, &[]);
            inner.fronts.swap_remove(&key);
        }
    }

    /// Returns the number of entries visited so far: a measure of the cost of
    /// updates that does not depend on a clock.
    pub fn steps(&self) -> u64 {
        self.lock().steps
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Records the version of an update and returns true, unless a newer
    /// update has been applied.
    fn accept(
        &mut self,
        key: FrontKey,
        update: &FrontUpdate<'_>,
        now: Millis,
    ) -> bool {
        let is_fresh = self.is_fresh(key, now);
        let front = self.fronts.entry(key).or_insert_with(|| Front {
            name: update.front.to_owned(),
            version: ReportVersion::default(),
            updated_at: now,
            endpoints: Vec::new(),
        });
        if is_fresh && update.version <= front.version {
            return false;
        }
        front.version = update.version;
        front.updated_at = now;
        true
    }

    fn is_fresh(&self, key: FrontKey, now: Millis) -> bool {
        self.fronts.get(&key).is_some_and(|front| {
            now.saturating_ms_since(front.updated_at) < FRONT_LOAD_TTL_MS
        })
    }

    /// Ends a front's use of all endpoints except these.
    fn retain_endpoints(
        &mut self,
        key: FrontKey,
        counts: &[(IncarnationKey, u32)],
    ) {
        let Some(front) = self.fronts.get_mut(&key) else {
            return;
        };
        let kept: IndexSet<IncarnationKey> =
            counts.iter().map(|(endpoint, _)| *endpoint).collect();
        let before = std::mem::take(&mut front.endpoints);
        self.steps += before.len() as u64;
        let (retained, removed): (Vec<IncarnationKey>, Vec<IncarnationKey>) =
            before.into_iter().partition(|e| kept.contains(e));
        front.endpoints = retained;
        for endpoint in removed {
            self.end_use(endpoint, key);
        }
    }

    fn end_use(&mut self, endpoint: IncarnationKey, key: FrontKey) {
        let Some(uses) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        uses.retain(|usage| usage.front != key);
        if uses.is_empty() {
            self.endpoints.swap_remove(&endpoint);
        }
        self.dirty.insert(endpoint);
    }

    /// Sets the number of requests of a front at an endpoint. Reports whether
    /// the number has increased.
    fn set_count(
        &mut self,
        key: FrontKey,
        endpoint: IncarnationKey,
        count: u32,
    ) -> bool {
        let uses = self.endpoints.entry(endpoint).or_default();
        self.steps += uses.len() as u64 + 1;
        let known = uses.iter_mut().find(|usage| usage.front == key);
        let before = match known {
            Some(usage) => std::mem::replace(&mut usage.count, count),
            None => {
                uses.push(FrontUse {
                    front: key,
                    count,
                    last_sent: None,
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

    /// Returns the requests of all other fronts at an endpoint. Requests of
    /// silent fronts are not counted, since they have usually ended.
    fn requests_of_others(
        &mut self,
        endpoint: IncarnationKey,
        key: FrontKey,
        now: Millis,
    ) -> u32 {
        let uses = self.endpoints.get(&endpoint);
        let uses = uses.map_or(&[][..], Vec::as_slice);
        self.steps += uses.len() as u64;
        let requests_of_others =
            uses.iter().filter(|usage| usage.front != key);
        requests_of_others
            .filter(|usage| self.is_fresh(usage.front, now))
            .fold(0, |sum: u32, usage| sum.saturating_add(usage.count))
    }

    /// Records the count that is sent to a front. Reports whether it differs
    /// from the last one.
    fn mark_sent(
        &mut self,
        endpoint: IncarnationKey,
        key: FrontKey,
        requests_of_others: u32,
    ) -> bool {
        let uses = self.endpoints.get_mut(&endpoint);
        let mut uses = uses.into_iter().flatten();
        let usage = uses.find(|usage| usage.front == key);
        usage.is_some_and(|usage| {
            usage.last_sent.replace(requests_of_others)
                != Some(requests_of_others)
        })
    }
}
