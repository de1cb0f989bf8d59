mod probe;
mod updates;
mod write;

use std::{
    fmt,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
};

use base::{Clock, Millis, RequestDigest, UnixMillis};
use indexmap::{IndexMap, IndexSet};
use kv::{KeyValue, Kv};
use tokio::sync::Notify;

pub use self::updates::CrashRecordUpdate;
use self::updates::Release;
use crate::{
    Crash, CrashRecordTable, EvidenceKeys, QuarantineOptions, StoredRecord,
    Verdict,
    recent::RecentCrashes,
    store::{RecordStore, decode},
};

/// Proof that a request may be sent to an endpoint, once.
#[derive(Debug)]
pub struct SendPermit(());

/// Says that a request is not to be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Quarantined {
    /// How many crashes speak against it.
    pub crashes: usize,
    /// When it may be tried again, in milliseconds from now.
    pub for_ms: u64,
}

/// Keeps requests that crash endpoints from reaching more of them.
///
/// Clones share one state. All processes that use one prefix of the
/// key-value service share what they know: each writes the crashes that it
/// sees. It learns those of the others from whoever follows the service for
/// it ([`Self::apply`]), or from its neighbours ([`Self::apply_updates`]).
///
/// While no endpoint has crashed, a request costs one look at a counter.
#[derive(Clone)]
pub struct Quarantine(Arc<Inner>);

struct Inner {
    state: Mutex<State>,
    /// Requests in the table, so that most need no look at it.
    record_count: AtomicUsize,
    clock: Arc<dyn Clock>,
    /// One moment by both of the clock's scales.
    started: (Millis, UnixMillis),
    store: Option<RecordStore>,
    pending_work: Notify,
}

struct State {
    records: CrashRecordTable,
    recent: RecentCrashes,
    /// Requests of which the service does not have all that is known.
    unsaved: IndexSet<RequestDigest>,
    /// Requests that were answered although endpoints had crashed under
    /// them.
    refutations: IndexMap<RequestDigest, Refutation>,
    /// Requests that are forgotten here and are to be in the service, too,
    /// with the revision of what it has.
    expired: IndexMap<RequestDigest, u64>,
    /// Requests that were cleared lately.
    released: IndexMap<RequestDigest, Release>,
}

/// How often a write is tried against other writers of the same case.
const MAX_WRITE_ATTEMPTS: u32 = 5;

/// When a request may come back whose trial cannot be entered in the
/// service, in milliseconds.
const PROBE_RETRY_MS: u64 = 1_000;

/// A whole answer that refutes what the service has of a request.
#[derive(Clone, Debug)]
struct Refutation {
    /// Event after which the answer began.
    resumed_after: u64,
    /// What the service has, as far as is known.
    stored: StoredRecord,
}

impl Quarantine {
    /// Makes a quarantine that shares what it knows through the keys below
    /// `prefix`; [`run`](Self::run) does the writing.
    pub fn new(
        kv: Arc<dyn Kv>,
        prefix: &str,
        clock: Arc<dyn Clock>,
        options: QuarantineOptions,
    ) -> Self {
        let store = RecordStore::new(kv, prefix);
        Self::with_store(Some(store), clock, options)
    }

    /// Makes a quarantine that knows what this process sees.
    ///
    /// # Example
    ///
    /// ```
    /// use std::sync::Arc;
    ///
    /// use base::{RequestDigest, SystemClock};
    /// use pomeloslip_quarantine::{Quarantine, QuarantineOptions};
    ///
    /// # tokio::runtime::Builder::new_current_thread().build()?.block_on(async {
    /// let clock = Arc::new(SystemClock::new());
    /// let quarantine =
    ///     Quarantine::local(clock, QuarantineOptions::default());
    /// let digest = || -> RequestDigest {
    ///     unreachable!("nothing has crashed yet")
    /// };
    /// assert!(quarantine.admit(digest).await.is_ok());
    /// # Ok::<(), std::io::Error>(())
    /// # })?;
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn local(clock: Arc<dyn Clock>, options: QuarantineOptions) -> Self {
        Self::with_store(None, clock, options)
    }

    fn with_store(
        store: Option<RecordStore>,
        clock: Arc<dyn Clock>,
        options: QuarantineOptions,
    ) -> Self {
        let started = (clock.now(), clock.unix());
        Self(Arc::new(Inner {
            state: Mutex::new(State {
                records: CrashRecordTable::new(options),
                recent: RecentCrashes::default(),
                unsaved: IndexSet::new(),
                refutations: IndexMap::new(),
                expired: IndexMap::new(),
                released: IndexMap::new(),
            }),
            record_count: AtomicUsize::new(0),
            clock,
            started,
            store,
            pending_work: Notify::new(),
        }))
    }

    /// Returns how many requests are remembered.
    pub fn len(&self) -> usize {
        self.0.record_count.load(Ordering::Relaxed)
    }

    /// Tells whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Lets a request pass that no endpoint has crashed under, or that is
    /// due for a trial.
    ///
    /// # Errors
    ///
    /// [`Quarantined`] for a request that has crashed too many endpoints, or is of
    /// a group that has.
    pub async fn admit<K: Into<EvidenceKeys>>(
        &self,
        keys: impl FnOnce() -> K,
    ) -> Result<SendPermit, Quarantined> {
        if self.is_empty() {
            return Ok(SendPermit(()));
        }
        let keys = keys().into();
        let held = keys.all().filter_map(|key| self.held(key));
        if let Some(held) = held.max_by_key(|held| held.for_ms) {
            return Err(held);
        }
        for key in keys.all() {
            if self.verdict(key).0 == Verdict::ProbeDue {
                self.probe(key).await?;
            }
        }
        Ok(SendPermit(()))
    }

    fn held(&self, key: RequestDigest) -> Option<Quarantined> {
        match self.verdict(key) {
            (Verdict::Quarantined { for_ms }, crashes) => {
                Some(Quarantined { crashes, for_ms })
            }
            _ => None,
        }
    }

    async fn probe(&self, digest: RequestDigest) -> Result<(), Quarantined> {
        let crashes = self.verdict(digest).1;
        if self.begin_probe(digest).await {
            log::info!(digest:%, crashes; "a held request is tried again");
            return Ok(());
        }
        let for_ms = match self.verdict(digest).0 {
            Verdict::Quarantined { for_ms } => for_ms,
            _ => PROBE_RETRY_MS,
        };
        Err(Quarantined { crashes, for_ms })
    }

    /// Takes note that an endpoint has crashed while it ran a request.
    pub fn record_crash(&self, keys: impl Into<EvidenceKeys>, crash: Crash) {
        let mut state = self.lock();
        for key in keys.into().all() {
            let before = state.records.verdict_at(key, self.now());
            if state.records.add_crash(key, crash) {
                state.recent.add(crash.endpoint, crash.ended_at);
                state.unsaved.insert(key);
                self.log_standing(&state, key, before);
            }
        }
        self.update_record_count(&state);
        drop(state);
        self.0.pending_work.notify_one();
    }

    /// Takes note of a whole answer to a request. It began after the event
    /// `resumed_after`, 0 for the first one.
    pub fn record_answer<K: Into<EvidenceKeys>>(
        &self,
        keys: impl FnOnce() -> K,
        resumed_after: u64,
    ) {
        if self.is_empty() {
            return;
        }
        let keys = keys().into();
        let mut state = self.lock();
        let mut has_changed =
            state.apply_answer(keys.request(), resumed_after);
        for group in keys.groups() {
            // The places in the answers of two members have nothing in
            // common.
            has_changed |= state.apply_answer(*group, 0);
        }
        if !has_changed {
            return;
        }
        self.update_record_count(&state);
        drop(state);
        self.0.pending_work.notify_one();
    }

    /// Returns the time of day by which this process dates crashes.
    ///
    /// It goes on from the time of day at the start and does not follow the
    /// clock when that is set, so that the dates of one process stay in
    /// order.
    pub fn now(&self) -> UnixMillis {
        let (started, at) = self.0.started;
        let since = self.0.clock.now().saturating_ms_since(started);
        at.saturating_add_ms(since)
    }

    /// Takes in changes of the key-value service up to a revision; `whole`
    /// says that `changed` are all keys that there are. Keys that are not
    /// below the prefix are passed over.
    pub fn apply(
        &self,
        changed: &[KeyValue],
        deleted: &[(String, u64)],
        revision: u64,
        whole: bool,
    ) {
        let Some(store) = &self.0.store else {
            return;
        };
        let digest_of = |key: &str| store.digest_of(key);
        let changed: Vec<(RequestDigest, &KeyValue)> = changed
            .iter()
            .filter_map(|kv| Some((digest_of(&kv.key)?, kv)))
            .collect();
        if changed.is_empty() && self.is_empty() {
            return;
        }
        let mut state = self.lock();
        for (digest, kv) in &changed {
            self.apply_stored(&mut state, *digest, decode(kv));
        }
        let deleted = deleted.iter();
        for (digest, at) in
            deleted.filter_map(|(key, at)| Some((digest_of(key)?, *at)))
        {
            state.records.remove_stored(digest, at);
        }
        if whole {
            let there: IndexSet<RequestDigest> =
                changed.iter().map(|(digest, _)| *digest).collect();
            state
                .records
                .retain_stored(revision, |digest| there.contains(digest));
        }
        self.update_record_count(&state);
    }

    fn verdict(&self, digest: RequestDigest) -> (Verdict, usize) {
        let state = self.lock();
        let verdict = state.records.verdict_at(digest, self.now());
        (verdict, state.records.crashes(digest))
    }

    /// Takes what the service has of a request at a revision.
    fn apply_read(
        &self,
        digest: RequestDigest,
        stored: Option<StoredRecord>,
        revision: u64,
    ) {
        let mut state = self.lock();
        match stored {
            Some(stored) => self.apply_stored(&mut state, digest, stored),
            None => state.records.remove_stored(digest, revision),
        }
        self.update_record_count(&state);
    }

    fn apply_stored(
        &self,
        state: &mut State,
        digest: RequestDigest,
        stored: StoredRecord,
    ) {
        let now = self.now();
        let before = state.records.verdict_at(digest, now);
        state.records.apply_stored(digest, stored, now);
        self.log_standing(state, digest, before);
        // Others go by what is written: a crash that was not worth a write
        // of its own is, now that there is more.
        let stored_and_unsaved = state.records.stored_and_unsaved(digest);
        if stored_and_unsaved
            .is_some_and(|(_, unsaved)| !unsaved.crashes().is_empty())
        {
            state.unsaved.insert(digest);
            self.0.pending_work.notify_one();
        }
    }

    fn log_standing(
        &self,
        state: &State,
        digest: RequestDigest,
        before: Verdict,
    ) {
        let now = state.records.verdict_at(digest, self.now());
        let is_held = |verdict| matches!(verdict, Verdict::Quarantined { .. });
        if let Verdict::Quarantined { for_ms } = now
            && !is_held(before)
        {
            log::warn!(
                digest:%,
                crashes = state.records.crashes(digest),
                for_ms;
                "a request that crashes endpoints is held"
            );
        }
    }

    fn expire(&self) {
        let mut state = self.lock();
        let now = self.now();
        state.records.expire(now);
        let forgotten = state.records.take_removed();
        state.expired.extend(forgotten);
        state.recent.expire(now);
        self.update_record_count(&state);
    }

    fn update_record_count(&self, state: &State) {
        self.0
            .record_count
            .store(state.records.len(), Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Takes note of a whole answer; returns whether it refutes anything.
    fn apply_answer(
        &mut self,
        digest: RequestDigest,
        resumed_after: u64,
    ) -> bool {
        let (has_changed, stored) =
            self.records.record_answer(digest, resumed_after);
        if !has_changed {
            return false;
        }
        log::info!(digest:%;
            "a request under which endpoints crashed is answered");
        if let Some(stored) = stored {
            let refutation = Refutation {
                resumed_after,
                stored,
            };
            self.refutations.insert(digest, refutation);
        }
        true
    }
}

impl fmt::Debug for Quarantine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Quarantine")
            .field("known", &self.len())
            .finish_non_exhaustive()
    }
}
