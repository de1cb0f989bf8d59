mod news;
mod parts;
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
use self::{
    probe::Probe,
    updates::{MAX_UPDATES, Release},
};
use crate::{
    Crash, CrashRecordTable, EvidenceKeys, QuarantineOptions, StoredRecord,
    Subject, Verdict,
    recent::RecentCrashes,
    sound_parts::SoundParts,
    store::{RecordStore, decode},
};

/// Permission to send a request to an endpoint once.
#[derive(Debug, Default)]
pub struct SendPermit {
    /// Probes that the request makes.
    probes: Vec<Probe>,
}

/// For how long a request is held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HoldTerms {
    /// As long as the evidence demands.
    Full,
    /// Shorter before the first probe: only one part of the prompt is
    /// suspected, so that the probe tells whether it is that one.
    OnlyPart,
    /// For a short time only: the request is an item.
    Item,
}

/// The error for a request that is quarantined and must not be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Quarantined {
    /// Number of crashes that are evidence against the request.
    pub crashes: usize,
    /// Time until the request may be sent again, in milliseconds.
    pub for_ms: u64,
}

/// Quarantines poison requests, which crash the endpoints that run them.
///
/// Clones share one state. All processes that use the same prefix of the
/// key-value service share their crash records: each process writes the
/// crashes that it detects, and receives those of the others from a watch of
/// the key-value service ([`Self::apply`]) or from its peers
/// ([`Self::apply_updates`]).
///
/// While there are no crash records, the check of a request reads only one
/// atomic counter.
#[derive(Clone)]
pub struct Quarantine(Arc<Inner>);

struct Inner {
    state: Mutex<State>,
    /// Parts of prompts in recent complete responses, locked after `state`.
    sound_parts: Mutex<SoundParts>,
    /// Number of records in the table, for a check without the lock.
    record_count: AtomicUsize,
    clock: Arc<dyn Clock>,
    /// The same instant on the monotonic and the calendar scale.
    started_at: (Millis, UnixMillis),
    store: Option<RecordStore>,
    pending_work: Notify,
    /// Wakes the task that sends changes directly to other nodes.
    pending_news: Notify,
}

struct State {
    records: CrashRecordTable,
    recent: RecentCrashes,
    /// Requests with changes that are not in the key-value service yet.
    unsaved: IndexSet<RequestDigest>,
    /// Complete responses whose refutations are not written yet.
    refutations: IndexMap<RequestDigest, Refutation>,
    /// Requests whose records were removed here and must be deleted from the
    /// key-value service, with the revisions of the stored records.
    expired: IndexMap<RequestDigest, u64>,
    /// Requests that were recently released.
    released: IndexMap<RequestDigest, Release>,
    /// Probes whose requests were not run. This node may send them once.
    unsent_probes: IndexMap<RequestDigest, Probe>,
    /// Parts of prompts whose records have changed here and that other nodes
    /// must learn of directly.
    news: IndexSet<RequestDigest>,
    /// Parts of prompts that were recently released, with the time up to which
    /// crashes are refuted.
    part_releases: IndexMap<RequestDigest, UnixMillis>,
}

/// Maximum number of attempts to write a record that others write, too.
const MAX_WRITE_ATTEMPTS: u32 = 5;

/// Delay until the next attempt if a probe cannot be recorded in the key-value
/// service, in milliseconds.
const PROBE_RETRY_MS: u64 = 1_000;

/// A complete response that refutes crashes of a stored record.
#[derive(Clone, Debug)]
struct Refutation {
    /// Event after which the response was resumed; 0 for a full response.
    resumed_after: u64,
    /// The stored record, as far as this process knows.
    stored: StoredRecord,
}

impl Quarantine {
    /// Creates a quarantine that shares its records through the keys below
    /// `prefix`. [`run`](Self::run) writes the records.
    pub fn new(
        kv: Arc<dyn Kv>,
        prefix: &str,
        clock: Arc<dyn Clock>,
        options: QuarantineOptions,
    ) -> Self {
        let store = RecordStore::new(kv, prefix);
        Self::with_store(Some(store), clock, options)
    }

    /// Creates a quarantine that uses only the crashes that this process
    /// detects.
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
        let started_at = (clock.now(), clock.unix());
        Self(Arc::new(Inner {
            state: Mutex::new(State {
                records: CrashRecordTable::new(options),
                recent: RecentCrashes::default(),
                unsaved: IndexSet::new(),
                refutations: IndexMap::new(),
                expired: IndexMap::new(),
                released: IndexMap::new(),
                unsent_probes: IndexMap::new(),
                news: IndexSet::new(),
                part_releases: IndexMap::new(),
            }),
            sound_parts: Mutex::default(),
            record_count: AtomicUsize::new(0),
            clock,
            started_at,
            store,
            pending_work: Notify::new(),
            pending_news: Notify::new(),
        }))
    }

    /// Returns the number of requests with a crash record.
    pub fn len(&self) -> usize {
        self.0.record_count.load(Ordering::Relaxed)
    }

    /// Reports whether no request has a crash record.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Admits a request unless it is quarantined; a request whose probe is due
    /// is admitted once.
    ///
    /// # Errors
    ///
    /// [`Quarantined`] for a request that crashed too many endpoints, that
    /// belongs to a group that did, or whose prompt has a part that did.
    pub async fn admit<K: Into<EvidenceKeys>>(
        &self,
        keys: impl FnOnce() -> K,
    ) -> Result<SendPermit, Quarantined> {
        if self.is_empty() {
            return Ok(SendPermit::default());
        }
        let keys = keys().into();
        let terms = self.terms(&keys);
        let quarantined = keys
            .held_by()
            .filter_map(|key| self.quarantined(key, terms));
        if let Some(longest) = quarantined.max_by_key(|q| q.for_ms) {
            return Err(longest);
        }
        let mut permit = SendPermit::default();
        for key in keys.held_by() {
            if self.verdict(key, terms).0 != Verdict::ProbeDue {
                continue;
            }
            match self.probe(key, terms).await {
                Ok(probe) => permit.probes.push(probe),
                Err(quarantined) => {
                    self.withdraw(&permit);
                    return Err(quarantined);
                }
            }
        }
        Ok(permit)
    }

    fn terms(&self, keys: &EvidenceKeys) -> HoldTerms {
        if keys.is_item() {
            return HoldTerms::Item;
        }
        let state = self.lock();
        let is_suspected = |part: &&RequestDigest| {
            state.records.contains(**part)
                && !self.is_sound_part(&state, **part)
        };
        match keys.parts().iter().filter(is_suspected).count() {
            1 => HoldTerms::OnlyPart,
            _ => HoldTerms::Full,
        }
    }

    fn quarantined(
        &self,
        key: RequestDigest,
        terms: HoldTerms,
    ) -> Option<Quarantined> {
        match self.verdict(key, terms) {
            (Verdict::Quarantined { for_ms }, crashes) => {
                Some(Quarantined { crashes, for_ms })
            }
            _ => None,
        }
    }

    async fn probe(
        &self,
        digest: RequestDigest,
        terms: HoldTerms,
    ) -> Result<Probe, Quarantined> {
        let crashes = self.verdict(digest, terms).1;
        if let Some(probe) = self.begin_probe(digest, terms).await {
            log::info!(digest:%, crashes, terms:?;
                "a held request is tried again");
            return Ok(probe);
        }
        let for_ms = match self.verdict(digest, terms).0 {
            Verdict::Quarantined { for_ms } => for_ms,
            _ => PROBE_RETRY_MS,
        };
        Err(Quarantined { crashes, for_ms })
    }

    /// Records that an endpoint crashed while it ran a request.
    pub fn record_crash(&self, keys: impl Into<EvidenceKeys>, crash: Crash) {
        let mut state = self.lock();
        for key in keys.into().all() {
            let before = state.records.verdict_at(key, self.now());
            if state.records.add_crash(key, crash) {
                state.recent.add(crash.endpoint, crash.ended_at);
                state.unsaved.insert(key);
                log_evidence(&state, key, &crash);
                self.log_if_quarantined(&state, key, before);
            }
        }
        self.update_len(&state);
        drop(state);
        self.0.pending_work.notify_one();
    }

    /// Records a complete response to a request. The response was resumed
    /// after the event `resumed_after`, which is 0 for a full response.
    pub fn record_response<K: Into<EvidenceKeys>>(
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
            state.apply_response(keys.request(), resumed_after);
        for group in keys.groups() {
            // Positions in the responses of two members are not comparable.
            has_changed |= state.apply_response(*group, 0);
        }
        if !has_changed {
            return;
        }
        self.update_len(&state);
        drop(state);
        self.0.pending_work.notify_one();
    }

    /// Returns the calendar time with which this process dates crashes.
    ///
    /// The time advances monotonically from the calendar time at the start of
    /// the process and ignores adjustments of the clock, so that the times of
    /// one process stay ordered.
    pub fn now(&self) -> UnixMillis {
        let (started, unix) = self.0.started_at;
        let elapsed = self.0.clock.now().saturating_ms_since(started);
        unix.saturating_add_ms(elapsed)
    }

    /// Applies changes of the key-value service up to a revision.
    ///
    /// `is_snapshot` means that `changed` holds all existing keys. Keys that
    /// are not below the prefix are ignored.
    pub fn apply(
        &self,
        changed: &[KeyValue],
        deleted: &[(String, u64)],
        revision: u64,
        is_snapshot: bool,
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
        if is_snapshot {
            let present: IndexSet<RequestDigest> =
                changed.iter().map(|(digest, _)| *digest).collect();
            state
                .records
                .retain_stored(revision, |digest| present.contains(digest));
        }
        self.update_len(&state);
    }

    fn verdict(
        &self,
        digest: RequestDigest,
        terms: HoldTerms,
    ) -> (Verdict, usize) {
        let state = self.lock();
        let now = self.now();
        let crashes = state.records.crashes(digest);
        if self.is_sound_part(&state, digest) {
            return (Verdict::Clear, crashes);
        }
        let records = &state.records;
        let is_part = records.subject(digest) == Some(Subject::PromptPart);
        let verdict = match terms {
            HoldTerms::Item => records.verdict_on_item_at(digest, now),
            HoldTerms::OnlyPart if is_part => {
                records.verdict_on_only_part_at(digest, now)
            }
            _ => records.verdict_at(digest, now),
        };
        match verdict {
            Verdict::Quarantined { .. }
                if state.has_unsent_probe(digest, terms) =>
            {
                (Verdict::ProbeDue, crashes)
            }
            verdict => (verdict, crashes),
        }
    }

    /// Applies the stored record of a request as read at a revision.
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
        self.update_len(&state);
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
        self.log_if_quarantined(state, digest, before);
        self.release_sound_part(state, digest);
        // Other processes decide by the stored record: a crash that was not
        // written on its own is written now that there is further evidence.
        let stored_and_unsaved = state.records.stored_and_unsaved(digest);
        if stored_and_unsaved
            .is_some_and(|(_, unsaved)| !unsaved.crashes().is_empty())
        {
            state.unsaved.insert(digest);
            self.0.pending_work.notify_one();
        }
    }

    fn log_if_quarantined(
        &self,
        state: &State,
        digest: RequestDigest,
        before: Verdict,
    ) {
        let now = state.records.verdict_at(digest, self.now());
        let is_quarantined =
            |verdict| matches!(verdict, Verdict::Quarantined { .. });
        if let Verdict::Quarantined { for_ms } = now
            && !is_quarantined(before)
        {
            log::warn!(
                digest:%,
                subject:? = state.records.subject(digest),
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
        let removed = state.records.take_removed();
        state.expired.extend(removed);
        state.recent.expire(now);
        self.update_len(&state);
    }

    fn update_len(&self, state: &State) {
        self.0
            .record_count
            .store(state.records.len(), Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Applies a complete response; reports whether it refutes any crash.
    fn apply_response(
        &mut self,
        digest: RequestDigest,
        resumed_after: u64,
    ) -> bool {
        let (has_changed, stored) =
            self.records.record_response(digest, resumed_after);
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

/// Logs what a crash that this process detected counts, and the sum.
fn log_evidence(state: &State, key: RequestDigest, crash: &Crash) {
    let Some(record) = state.records.record(key) else {
        return;
    };
    log::info!(
        digest:% = key,
        subject:? = record.subject(),
        weight = crash.score(),
        score = record.score(),
        crashes = record.crashes().len(),
        probes = record.probes(),
        probe:? = record.probe_outcome();
        "a crash counts as evidence"
    );
}

impl fmt::Debug for Quarantine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Quarantine")
            .field("known", &self.len())
            .finish_non_exhaustive()
    }
}
