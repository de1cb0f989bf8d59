use base::{RequestDigest, UnixMillis};
use indexmap::IndexMap;

use crate::{Crash, CrashRecord, QuarantineOptions};

/// Score that lengthens a hold by one step: that of a crash without progress.
const SCORE_PER_LEVEL: u32 = 2;

/// How much older than its arrival here a report of another node may claim
/// to be, in milliseconds: the time that reports take to arrive, and some
/// seconds by which the clocks of two machines differ.
const OLDER_MOST_MS: u64 = 10_000;

/// Whether a request may be sent to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Nothing speaks against it.
    Clear,
    /// It is held for so long.
    Quarantined {
        /// Time until it may be tried again, in milliseconds.
        for_ms: u64,
    },
    /// It was held, and may be let through once to find out whether it still
    /// crashes endpoints.
    ProbeDue,
}

/// A case as the key-value service has it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredRecord {
    /// The case.
    pub case: CrashRecord,
    /// Revision of its last write.
    pub revision: u64,
}

/// The requests under which endpoints have crashed, as one node knows them.
///
/// Decides without I/O whether one may be sent.
///
/// # Example
///
/// ```
/// use base::{RequestContent, RequestDigest, UnixMillis};
/// use pomeloslip_quarantine::{
///     CrashRecordTable, Crash, CrashedEndpoint, QuarantineOptions, Verdict,
/// };
///
/// let digest = RequestDigest::of(RequestContent {
///     customer: "",
///     method: "POST",
///     host: "a.example",
///     target: "/chat/1",
///     body: b"hello",
/// });
/// let mut table = CrashRecordTable::new(QuarantineOptions::default());
/// for number in 0..3 {
///     assert_eq!(
///         table.verdict_at(digest, UnixMillis::new(number * 1_000)),
///         Verdict::Clear,
///     );
///     let crash = Crash {
///         endpoint: CrashedEndpoint::new(number),
///         began_at: UnixMillis::new(number * 1_000),
///         ended_at: UnixMillis::new(number * 1_000 + 100),
///         resumed_after: 0,
///         reached: 0,
///     };
///     table.add_crash(digest, crash);
/// }
/// let held = table.verdict_at(digest, UnixMillis::new(2_100));
/// assert_eq!(held, Verdict::Quarantined { for_ms: 10_000 });
/// let due = table.verdict_at(digest, UnixMillis::new(12_100));
/// assert_eq!(due, Verdict::ProbeDue);
/// ```
#[derive(Debug)]
pub struct CrashRecordTable {
    options: QuarantineOptions,
    cases: IndexMap<RequestDigest, Entry>,
    forgotten: Vec<(RequestDigest, u64)>,
}

#[derive(Debug, Default)]
struct Entry {
    /// All that is known.
    case: CrashRecord,
    /// What this node has seen and the service may not have yet.
    unsaved: CrashRecord,
    /// As the service has it.
    stored: Option<StoredRecord>,
    /// When this node learned what is newest of it.
    learned_at: UnixMillis,
}

impl Entry {
    /// Returns when something happened that another node has dated.
    ///
    /// A clock that is hours ahead would else hold a request for hours, and
    /// one that is hours behind would have it tried again without a pause.
    fn bounded(&self, dated: UnixMillis) -> UnixMillis {
        let earliest = self.learned_at.saturating_sub_ms(OLDER_MOST_MS);
        dated.clamp(earliest, self.learned_at)
    }

    fn changed_at(&self) -> UnixMillis {
        self.bounded(self.case.changed_at())
    }

    fn revision(&self) -> u64 {
        self.stored.as_ref().map_or(0, |stored| stored.revision)
    }

    fn refresh(&mut self) {
        let mut case = self.unsaved.clone();
        if let Some(stored) = &self.stored {
            case.merge(&stored.case);
        }
        self.case = case;
    }

    /// Takes note of a moment at which something new was learned.
    fn learned(&mut self, now: UnixMillis) {
        self.learned_at = self.learned_at.max(now);
    }
}

impl CrashRecordTable {
    /// Makes an empty table.
    pub fn new(options: QuarantineOptions) -> Self {
        Self {
            options,
            cases: IndexMap::new(),
            forgotten: Vec::new(),
        }
    }

    /// Returns how many requests are remembered.
    #[inline]
    pub fn len(&self) -> usize {
        self.cases.len()
    }

    /// Tells whether no request is remembered.
    #[inline]
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// Returns the cases that the service has, as far as is known.
    pub fn stored(
        &self,
    ) -> impl Iterator<Item = (RequestDigest, &StoredRecord)> {
        let cases = self.cases.iter();
        cases.filter_map(|(digest, entry)| {
            Some((*digest, entry.stored.as_ref()?))
        })
    }

    /// Tells whether a request is remembered.
    pub fn contains(&self, digest: RequestDigest) -> bool {
        self.cases.contains_key(&digest)
    }

    /// Returns whether a request may be sent.
    pub fn verdict_at(
        &self,
        digest: RequestDigest,
        now: UnixMillis,
    ) -> Verdict {
        let Some(entry) = self.cases.get(&digest) else {
            return Verdict::Clear;
        };
        let evidence = entry.case.evidence();
        let score: u32 = evidence.iter().map(|crash| crash.score()).sum();
        let surplus = score.checked_sub(self.options.quarantine_score);
        let (Some(last), Some(surplus)) = (evidence.last(), surplus) else {
            return Verdict::Clear;
        };
        let since = Some(last.ended_at).max(entry.case.probed_at());
        let since = entry.bounded(since.unwrap_or_default()).min(now);
        let level = entry.case.probes().max(surplus / SCORE_PER_LEVEL);
        let until = since.saturating_add_ms(self.options.hold_ms(level));
        match until.saturating_ms_since(now) {
            0 => Verdict::ProbeDue,
            for_ms => Verdict::Quarantined { for_ms },
        }
    }

    /// Returns how many crashes speak against a request.
    pub fn crashes(&self, digest: RequestDigest) -> usize {
        let entry = self.cases.get(&digest);
        entry.map_or(0, |entry| entry.case.evidence().len())
    }

    /// Returns what the service has of a request, and what this node knows
    /// beyond that.
    pub fn stored_and_unsaved(
        &self,
        digest: RequestDigest,
    ) -> Option<(Option<StoredRecord>, CrashRecord)> {
        let entry = self.cases.get(&digest)?;
        Some((entry.stored.clone(), entry.unsaved.clone()))
    }

    /// Takes note that a request is let through on trial.
    pub fn begin_probe(&mut self, digest: RequestDigest, now: UnixMillis) {
        if self.cases.contains_key(&digest) {
            self.change(digest, |entry| {
                entry.unsaved.begin_probe(now);
                entry.learned(now);
            });
        }
    }

    /// Adds a crash that this node has seen, and returns whether it was not
    /// known.
    pub fn add_crash(&mut self, digest: RequestDigest, crash: Crash) -> bool {
        self.change(digest, |entry| {
            let mut known = entry.case.clone();
            let is_new = known.add(crash) && entry.unsaved.add(crash);
            if is_new {
                entry.learned(crash.ended_at);
            }
            is_new
        })
    }

    /// Takes a case as the service has it; an older one than is known
    /// changes nothing.
    ///
    /// What other nodes have dated counts from `now` at the latest, and as
    /// little older than that as their clocks can explain.
    pub fn apply_stored(
        &mut self,
        digest: RequestDigest,
        stored: StoredRecord,
        now: UnixMillis,
    ) {
        self.change(digest, |entry| {
            if stored.revision > entry.revision() {
                let is_news = entry.case.clone().merge(&stored.case);
                entry.unsaved = entry.unsaved.difference(&stored.case);
                entry.stored = Some(stored);
                if is_news {
                    entry.learned(now);
                }
            }
        });
    }

    /// Takes note that the service has no case any more since a revision:
    /// the request was answered, or its case has run out. What this node has
    /// seen since stays.
    pub fn remove_stored(&mut self, digest: RequestDigest, revision: u64) {
        if !self.cases.contains_key(&digest) {
            return;
        }
        self.change(digest, |entry| {
            if revision >= entry.revision() {
                entry.stored = None;
            }
        });
    }

    /// Keeps only those cases of the service that are named.
    pub fn retain_stored(
        &mut self,
        revision: u64,
        is_there: impl Fn(&RequestDigest) -> bool,
    ) {
        let gone = self.cases.keys().filter(|digest| !is_there(digest));
        for digest in gone.copied().collect::<Vec<_>>() {
            self.remove_stored(digest, revision);
        }
    }

    /// Takes note of a whole answer. Returns whether that changes what
    /// speaks against the request, and what the service has of it.
    pub fn record_answer(
        &mut self,
        digest: RequestDigest,
        resumed_after: u64,
    ) -> (bool, Option<StoredRecord>) {
        if !self.cases.contains_key(&digest) {
            return (false, None);
        }
        self.change(digest, |entry| {
            let before = entry.case.crashes().len();
            let stored = entry.stored.clone();
            entry.unsaved.refute(resumed_after);
            if let Some(stored) = &mut entry.stored {
                stored.case.refute(resumed_after);
            }
            entry.refresh();
            (entry.case.crashes().len() < before, stored)
        })
    }

    /// Tells whether a case that another node reports is not worth learning:
    /// it has been quiet for so long that it is forgotten, or is dated so
    /// far ahead that nobody would forget it.
    pub fn is_unusable(&self, record: &CrashRecord, now: UnixMillis) -> bool {
        let changed_at = record.changed_at();
        let quiet_ms = now.saturating_ms_since(changed_at);
        quiet_ms >= self.options.retention_ms
            || changed_at.saturating_ms_since(now) > OLDER_MOST_MS
    }

    /// Forgets requests that have been quiet for long.
    pub fn expire(&mut self, now: UnixMillis) {
        let retention_ms = self.options.retention_ms;
        let is_expired = |entry: &Entry| {
            now.saturating_ms_since(entry.changed_at()) >= retention_ms
        };
        let cases = self.cases.iter();
        let over = cases.filter(|(_, entry)| is_expired(entry));
        let over: Vec<RequestDigest> = over.map(|(d, _)| *d).collect();
        for digest in over {
            self.forget(digest);
        }
    }

    /// Returns the requests that were forgotten here and that the service
    /// has, with the revision of what it has.
    pub fn take_removed(&mut self) -> Vec<(RequestDigest, u64)> {
        std::mem::take(&mut self.forgotten)
    }

    /// Changes what is known of a request; without a crash that is left, it
    /// is forgotten.
    fn change<T>(
        &mut self,
        digest: RequestDigest,
        change: impl FnOnce(&mut Entry) -> T,
    ) -> T {
        let known = self.cases.swap_remove(&digest);
        let mut entry = known.unwrap_or_default();
        let result = change(&mut entry);
        entry.refresh();
        if !entry.case.crashes().is_empty() {
            self.make_room();
            self.cases.insert(digest, entry);
        }
        result
    }

    /// Forgets what has been quiet for longest if there is no room.
    fn make_room(&mut self) {
        while self.cases.len() >= self.options.max_records {
            let quiet = self.cases.iter();
            let quiet = quiet.min_by_key(|(_, entry)| entry.changed_at());
            let Some(digest) = quiet.map(|(digest, _)| *digest) else {
                return;
            };
            self.forget(digest);
        }
    }

    fn forget(&mut self, digest: RequestDigest) {
        let entry = self.cases.swap_remove(&digest);
        let stored = entry.and_then(|entry| entry.stored);
        let revision = stored.map(|stored| stored.revision);
        self.forgotten.extend(revision.map(|at| (digest, at)));
    }
}
