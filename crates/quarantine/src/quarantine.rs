mod news;
mod trial;
mod write;

use std::{
    fmt,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
};

use base::{Clock, RequestDigest, UnixMillis};
use indexmap::{IndexMap, IndexSet};
use kv::{KeyValue, Kv};
use tokio::sync::Notify;

pub use self::news::CaseNews;
use self::news::ClearedCase;
use crate::{
    CaseTable, Crash, QuarantineOptions, Standing, StoredCase,
    recent::RecentCrashes,
    store::{CaseStore, decode},
};

/// Proof that a request may be sent to an endpoint, once.
#[derive(Debug)]
pub struct Cleared(());

/// Says that a request is not to be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Held {
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
/// it ([`Self::apply`]), or from its neighbours ([`Self::take_news`]).
///
/// While no endpoint has crashed, a request costs one look at a counter.
#[derive(Clone)]
pub struct Quarantine(Arc<Inner>);

struct Inner {
    table: Mutex<State>,
    /// Requests in the table, so that most need no look at it.
    known: AtomicUsize,
    clock: Arc<dyn Clock>,
    store: Option<CaseStore>,
    work: Notify,
}

struct State {
    cases: CaseTable,
    recent: RecentCrashes,
    /// Requests of which the service does not have all that is known.
    unsaved: IndexSet<RequestDigest>,
    /// Requests that were answered although endpoints had crashed under
    /// them.
    answered: IndexMap<RequestDigest, Answered>,
    /// Requests that are forgotten here and are to be in the service, too,
    /// with the revision of what it has.
    over: IndexMap<RequestDigest, u64>,
    /// Requests that were cleared lately.
    cleared: IndexMap<RequestDigest, ClearedCase>,
}

/// How often a write is tried against other writers of the same case.
const WRITES_MOST: u32 = 5;

/// When a request may come back whose trial cannot be entered in the
/// service, in milliseconds.
const TRIAL_AGAIN_MS: u64 = 1_000;

/// A whole answer that refutes what the service has of a request.
#[derive(Clone, Debug)]
struct Answered {
    /// Event after which the answer began.
    resumed_after: u64,
    /// What the service has, as far as is known.
    stored: StoredCase,
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
        let store = CaseStore::new(kv, prefix);
        Self::with_store(Some(store), clock, options)
    }

    /// Makes a quarantine that knows what this process sees.
    ///
    /// # Example
    ///
    /// ```
    /// use std::sync::Arc;
    ///
    /// use base::SystemClock;
    /// use pomeloslip_quarantine::{Quarantine, QuarantineOptions};
    ///
    /// # tokio::runtime::Builder::new_current_thread().build()?.block_on(async {
    /// let clock = Arc::new(SystemClock::new());
    /// let quarantine =
    ///     Quarantine::local(clock, QuarantineOptions::default());
    /// let digest = || unreachable!("nothing has crashed yet");
    /// assert!(quarantine.admit(digest).await.is_ok());
    /// # Ok::<(), std::io::Error>(())
    /// # })?;
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn local(clock: Arc<dyn Clock>, options: QuarantineOptions) -> Self {
        Self::with_store(None, clock, options)
    }

    fn with_store(
        store: Option<CaseStore>,
        clock: Arc<dyn Clock>,
        options: QuarantineOptions,
    ) -> Self {
        Self(Arc::new(Inner {
            table: Mutex::new(State {
                cases: CaseTable::new(options),
                recent: RecentCrashes::default(),
                unsaved: IndexSet::new(),
                answered: IndexMap::new(),
                over: IndexMap::new(),
                cleared: IndexMap::new(),
            }),
            known: AtomicUsize::new(0),
            clock,
            store,
            work: Notify::new(),
        }))
    }

    /// Returns how many requests are remembered.
    pub fn len(&self) -> usize {
        self.0.known.load(Ordering::Relaxed)
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
    /// [`Held`] for a request that has crashed too many endpoints.
    pub async fn admit(
        &self,
        digest: impl FnOnce() -> RequestDigest,
    ) -> Result<Cleared, Held> {
        if self.is_empty() {
            return Ok(Cleared(()));
        }
        let digest = digest();
        match self.standing(digest) {
            (Standing::Clear, _) => Ok(Cleared(())),
            (Standing::Held { for_ms }, crashes) => {
                Err(Held { crashes, for_ms })
            }
            (Standing::Due, crashes) => {
                if self.begin_trial(digest).await {
                    log::info!(digest:%, crashes;
                        "a held request is tried again");
                    return Ok(Cleared(()));
                }
                let for_ms = match self.standing(digest).0 {
                    Standing::Held { for_ms } => for_ms,
                    _ => TRIAL_AGAIN_MS,
                };
                Err(Held { crashes, for_ms })
            }
        }
    }

    /// Takes note that an endpoint has crashed while it ran a request.
    pub fn crashed(&self, digest: RequestDigest, crash: Crash) {
        let mut state = self.lock();
        let before = state.cases.standing(digest, self.now());
        if state.cases.add_crash(digest, crash) {
            state.recent.add(crash.endpoint, crash.ended_at);
            state.unsaved.insert(digest);
            self.log_standing(&state, digest, before);
        }
        self.note_size(&state);
        drop(state);
        self.0.work.notify_one();
    }

    /// Takes note of a whole answer to a request. It began after the event
    /// `resumed_after`, 0 for the first one.
    pub fn answered(
        &self,
        digest: impl FnOnce() -> RequestDigest,
        resumed_after: u64,
    ) {
        if self.is_empty() {
            return;
        }
        let digest = digest();
        let mut state = self.lock();
        let (has_changed, stored) =
            state.cases.answered(digest, resumed_after);
        if !has_changed {
            return;
        }
        log::info!(digest:%;
            "a request under which endpoints crashed is answered");
        if let Some(stored) = stored {
            let answered = Answered {
                resumed_after,
                stored,
            };
            state.answered.insert(digest, answered);
        }
        self.note_size(&state);
        drop(state);
        self.0.work.notify_one();
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
            self.learn(&mut state, *digest, decode(kv));
        }
        let deleted = deleted.iter();
        for (digest, at) in
            deleted.filter_map(|(key, at)| Some((digest_of(key)?, *at)))
        {
            state.cases.forget_stored(digest, at);
        }
        if whole {
            let there: IndexSet<RequestDigest> =
                changed.iter().map(|(digest, _)| *digest).collect();
            state
                .cases
                .retain_stored(revision, |digest| there.contains(digest));
        }
        self.note_size(&state);
    }

    fn standing(&self, digest: RequestDigest) -> (Standing, usize) {
        let state = self.lock();
        let standing = state.cases.standing(digest, self.now());
        (standing, state.cases.crashes(digest))
    }

    /// Takes what the service has of a request at a revision.
    fn take(
        &self,
        digest: RequestDigest,
        stored: Option<StoredCase>,
        revision: u64,
    ) {
        let mut state = self.lock();
        match stored {
            Some(stored) => self.learn(&mut state, digest, stored),
            None => state.cases.forget_stored(digest, revision),
        }
        self.note_size(&state);
    }

    fn learn(
        &self,
        state: &mut State,
        digest: RequestDigest,
        stored: StoredCase,
    ) {
        let before = state.cases.standing(digest, self.now());
        state.cases.learn(digest, stored);
        self.log_standing(state, digest, before);
        // Others go by what is written: a crash that was not worth a write
        // of its own is, now that there is more.
        let parts = state.cases.parts(digest);
        if parts.is_some_and(|(_, unsaved)| !unsaved.crashes().is_empty()) {
            state.unsaved.insert(digest);
            self.0.work.notify_one();
        }
    }

    fn log_standing(
        &self,
        state: &State,
        digest: RequestDigest,
        before: Standing,
    ) {
        let now = state.cases.standing(digest, self.now());
        let is_held = |standing| matches!(standing, Standing::Held { .. });
        if let Standing::Held { for_ms } = now
            && !is_held(before)
        {
            log::warn!(
                digest:%,
                crashes = state.cases.crashes(digest),
                for_ms;
                "a request that crashes endpoints is held"
            );
        }
    }

    fn now(&self) -> UnixMillis {
        self.0.clock.unix()
    }

    fn expire(&self) {
        let mut state = self.lock();
        let now = self.now();
        state.cases.expire(now);
        let forgotten = state.cases.take_forgotten();
        state.over.extend(forgotten);
        state.recent.expire(now);
        self.note_size(&state);
    }

    fn note_size(&self, state: &State) {
        self.0.known.store(state.cases.len(), Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for Quarantine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Quarantine")
            .field("known", &self.len())
            .finish_non_exhaustive()
    }
}
