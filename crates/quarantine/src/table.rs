use base::{RequestDigest, UnixMillis};
use indexmap::IndexMap;

use crate::{Crash, CrashRecord, ProbeOutcome, QuarantineOptions, Subject};

/// Score that lengthens a quarantine by one level: that of a crash without
/// progress.
const SCORE_PER_LEVEL: u32 = 2;

/// Maximum difference between the time in a report of another node and the
/// time of its arrival, in milliseconds. Covers the propagation delay and a
/// clock skew of some seconds between two machines.
const MAX_REPORT_AGE_MS: u64 = 10_000;

/// The decision on whether a request may be sent to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The request may be sent.
    Clear,
    /// The request is quarantined.
    Quarantined {
        /// Time until a probe is due, in milliseconds.
        for_ms: u64,
    },
    /// The quarantine is over, and the request may be sent once as a probe
    /// that tests whether it still crashes endpoints.
    ProbeDue,
}

/// A crash record as stored in the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredRecord {
    /// The crash record.
    pub record: CrashRecord,
    /// Revision of the last write.
    pub revision: u64,
}

/// One node's crash records of all requests during which endpoints crashed.
///
/// Decides without I/O whether a request may be sent.
///
/// # Example
///
/// ```
/// use base::{RequestContent, RequestDigest, UnixMillis};
/// use pomeloslip_quarantine::{
///     Crash, CrashRecordTable, CrashedEndpoint, QuarantineOptions, Verdict,
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
/// let verdict = table.verdict_at(digest, UnixMillis::new(2_100));
/// assert_eq!(verdict, Verdict::Quarantined { for_ms: 10_000 });
/// let due = table.verdict_at(digest, UnixMillis::new(12_100));
/// assert_eq!(due, Verdict::ProbeDue);
/// ```
#[derive(Debug)]
pub struct CrashRecordTable {
    options: QuarantineOptions,
    records: IndexMap<RequestDigest, Entry>,
    removed: Vec<(RequestDigest, u64)>,
}

#[derive(Debug, Default)]
struct Entry {
    /// Union of `unsaved`, `stored` and `heard`.
    record: CrashRecord,
    /// Crashes and probes of this node that may not be stored yet.
    unsaved: CrashRecord,
    /// The record as stored in the key-value service.
    stored: Option<StoredRecord>,
    /// Crashes that other nodes reported directly. Those nodes store them.
    heard: CrashRecord,
    /// Time at which this node received the latest new information.
    updated_at: UnixMillis,
}

impl Entry {
    /// Limits a time that another node reported to a plausible range.
    ///
    /// Otherwise a clock that is hours ahead would quarantine a request for
    /// hours, and one that is hours behind would allow probes without a pause.
    fn clamp_time(&self, reported: UnixMillis) -> UnixMillis {
        let earliest = self.updated_at.saturating_sub_ms(MAX_REPORT_AGE_MS);
        reported.clamp(earliest, self.updated_at)
    }

    fn changed_at(&self) -> UnixMillis {
        self.clamp_time(self.record.changed_at())
    }

    fn revision(&self) -> u64 {
        self.stored.as_ref().map_or(0, |stored| stored.revision)
    }

    fn refresh(&mut self) {
        let mut record = self.unsaved.clone();
        if let Some(stored) = &self.stored {
            record.merge(&stored.record);
        }
        record.merge(&self.heard);
        self.record = record;
    }

    /// Updates the time of the latest new information.
    fn touch(&mut self, now: UnixMillis) {
        self.updated_at = self.updated_at.max(now);
    }
}

impl CrashRecordTable {
    /// Creates an empty table.
    pub fn new(options: QuarantineOptions) -> Self {
        Self {
            options,
            records: IndexMap::new(),
            removed: Vec::new(),
        }
    }

    /// Returns the number of requests with a record.
    #[inline]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Reports whether no request has a record.
    #[inline]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the records that are stored in the key-value service, as far as
    /// this node knows.
    pub fn stored(
        &self,
    ) -> impl Iterator<Item = (RequestDigest, &StoredRecord)> {
        let records = self.records.iter();
        records.filter_map(|(digest, entry)| {
            Some((*digest, entry.stored.as_ref()?))
        })
    }

    /// Reports whether a request has a record.
    pub fn contains(&self, digest: RequestDigest) -> bool {
        self.records.contains_key(&digest)
    }

    /// Returns the verdict on a request at the given time.
    pub fn verdict_at(
        &self,
        digest: RequestDigest,
        now: UnixMillis,
    ) -> Verdict {
        self.verdict_within(digest, now, u64::MAX)
    }

    /// Returns the verdict on a part of a prompt in which no other shared part
    /// is suspected. Its first probe is due early, and so are further ones as
    /// long as none has a result.
    pub fn verdict_on_only_part_at(
        &self,
        part: RequestDigest,
        now: UnixMillis,
    ) -> Verdict {
        let is_untried = self.record(part).is_some_and(|record| {
            record.failed_probes() == 0
                && record.probe_outcome() == ProbeOutcome::None
        });
        let max_hold_ms = match is_untried {
            true => self.options.part_trial_hold_ms,
            false => u64::MAX,
        };
        self.verdict_within(part, now, max_hold_ms)
    }

    /// Returns the verdict on an item, which is held for a short time only.
    pub fn verdict_on_item_at(
        &self,
        digest: RequestDigest,
        now: UnixMillis,
    ) -> Verdict {
        self.verdict_within(digest, now, self.options.item_hold_ms)
    }

    fn verdict_within(
        &self,
        digest: RequestDigest,
        now: UnixMillis,
        max_hold_ms: u64,
    ) -> Verdict {
        let Some(entry) = self.records.get(&digest) else {
            return Verdict::Clear;
        };
        let evidence = entry.record.evidence();
        let score = entry.record.score();
        let subject = entry.record.subject();
        let surplus = score.checked_sub(self.options.score_of(subject));
        let (Some(last), Some(surplus)) = (evidence.last(), surplus) else {
            return Verdict::Clear;
        };
        let since = Some(last.ended_at).max(entry.record.probed_at());
        let since = entry.clamp_time(since.unwrap_or_default()).min(now);
        let probes = entry.record.probes();
        let hold_ms = match subject {
            Subject::Request => {
                self.options.hold_ms(probes.max(surplus / SCORE_PER_LEVEL))
            }
            Subject::PromptPart => {
                self.options.part_hold_ms(entry.record.failed_probes())
            }
        };
        let until = since.saturating_add_ms(hold_ms.min(max_hold_ms));
        match until.saturating_ms_since(now) {
            0 => Verdict::ProbeDue,
            for_ms => Verdict::Quarantined { for_ms },
        }
    }

    /// Returns what the record of a key is about, if there is one.
    pub fn subject(&self, digest: RequestDigest) -> Option<Subject> {
        let entry = self.records.get(&digest);
        entry.map(|entry| entry.record.subject())
    }

    /// Returns the parts of prompts that have a record.
    pub fn parts(&self) -> impl Iterator<Item = RequestDigest> {
        let records = self.records.iter();
        let parts = records.filter(|(_, entry)| {
            entry.record.subject() == Subject::PromptPart
        });
        parts.map(|(digest, _)| *digest)
    }

    /// Returns all that is known of a key, stored or not.
    pub fn record(&self, digest: RequestDigest) -> Option<&CrashRecord> {
        self.records.get(&digest).map(|entry| &entry.record)
    }

    /// Returns the number of crashes that are evidence against a request.
    pub fn crashes(&self, digest: RequestDigest) -> usize {
        let entry = self.records.get(&digest);
        entry.map_or(0, |entry| entry.record.evidence().len())
    }

    /// Returns the stored record of a request, and the changes of this node
    /// that are not stored yet.
    pub fn stored_and_unsaved(
        &self,
        digest: RequestDigest,
    ) -> Option<(Option<StoredRecord>, CrashRecord)> {
        let entry = self.records.get(&digest)?;
        Some((entry.stored.clone(), entry.unsaved.clone()))
    }

    /// Returns the revision of the stored record, 0 if there is none, and all
    /// that is known of a key.
    pub fn revision_and_record(
        &self,
        digest: RequestDigest,
    ) -> Option<(u64, CrashRecord)> {
        let entry = self.records.get(&digest)?;
        Some((entry.revision(), entry.record.clone()))
    }

    /// Records the start of a probe.
    pub fn begin_probe(&mut self, digest: RequestDigest, now: UnixMillis) {
        if self.records.contains_key(&digest) {
            self.change(digest, |entry| {
                let mut record = entry.record.clone();
                record.begin_probe(now);
                entry.unsaved.set_probes_of(&record);
                entry.touch(now);
            });
        }
    }

    /// Adds a crash that this node detected, and reports whether the crash was
    /// new.
    pub fn add_crash(&mut self, digest: RequestDigest, crash: Crash) -> bool {
        self.add_crash_of(Subject::Request, digest, crash)
    }

    /// Adds a crash that this node detected as evidence against a part of
    /// prompts, and reports whether the crash was new.
    pub fn add_part_crash(
        &mut self,
        part: RequestDigest,
        crash: Crash,
    ) -> bool {
        self.add_crash_of(Subject::PromptPart, part, crash)
    }

    fn add_crash_of(
        &mut self,
        subject: Subject,
        digest: RequestDigest,
        crash: Crash,
    ) -> bool {
        self.change(digest, |entry| {
            if entry.record.crashes().is_empty() {
                entry.record = CrashRecord::new(subject);
            }
            if entry.unsaved.crashes().is_empty() {
                entry.unsaved = CrashRecord::new(subject);
            }
            let mut known = entry.record.clone();
            let is_new = known.add(crash) && entry.unsaved.add(crash);
            if is_new {
                entry.touch(crash.ended_at);
            }
            is_new
        })
    }

    /// Applies a record as stored in the key-value service. A revision older
    /// than the known one changes nothing.
    ///
    /// Times that other nodes reported are limited to `now`, and to the
    /// earliest time before it that clock skew and propagation can explain.
    pub fn apply_stored(
        &mut self,
        digest: RequestDigest,
        stored: StoredRecord,
        now: UnixMillis,
    ) {
        self.change(digest, |entry| {
            if stored.revision > entry.revision() {
                let is_new = entry.record.clone().merge(&stored.record);
                entry.unsaved = entry.unsaved.difference(&stored.record);
                entry.stored = Some(stored);
                if is_new {
                    entry.touch(now);
                }
            }
        });
    }

    /// Applies a record that another node reported directly, and reports
    /// whether it contained anything new. Times are limited as those of a
    /// stored record.
    pub fn apply_heard(
        &mut self,
        digest: RequestDigest,
        heard: &CrashRecord,
        now: UnixMillis,
    ) -> bool {
        self.change(digest, |entry| {
            let is_new = entry.record.clone().merge(heard);
            if is_new {
                entry.heard.merge(heard);
                entry.touch(now);
            }
            is_new
        })
    }

    /// Removes the crashes up to a time, because another node has since
    /// received a complete response.
    pub fn remove_until(&mut self, digest: RequestDigest, at: UnixMillis) {
        if !self.records.contains_key(&digest) {
            return;
        }
        self.change(digest, |entry| {
            entry.unsaved.remove_until(at);
            entry.heard.remove_until(at);
            if let Some(stored) = &mut entry.stored {
                stored.record.remove_until(at);
            }
        });
    }

    /// Removes a stored record that was deleted at a revision, because the
    /// request completed or the record expired. Unsaved changes of this node
    /// stay.
    pub fn remove_stored(&mut self, digest: RequestDigest, revision: u64) {
        if !self.records.contains_key(&digest) {
            return;
        }
        self.change(digest, |entry| {
            if revision >= entry.revision() {
                entry.stored = None;
                entry.heard = CrashRecord::default();
            }
        });
    }

    /// Removes the stored records for which `is_present` returns `false`, as
    /// of a revision.
    pub fn retain_stored(
        &mut self,
        revision: u64,
        is_present: impl Fn(&RequestDigest) -> bool,
    ) {
        let missing = self.records.keys().filter(|digest| !is_present(digest));
        for digest in missing.copied().collect::<Vec<_>>() {
            self.remove_stored(digest, revision);
        }
    }

    /// Applies a complete response to a request. Returns whether it refutes
    /// any crash, and the stored record before the change.
    pub fn record_response(
        &mut self,
        digest: RequestDigest,
        resumed_after: u64,
    ) -> (bool, Option<StoredRecord>) {
        if !self.records.contains_key(&digest) {
            return (false, None);
        }
        self.change(digest, |entry| {
            let before = entry.record.crashes().len();
            let stored = entry.stored.clone();
            entry.unsaved.remove_refuted(resumed_after);
            entry.heard.remove_refuted(resumed_after);
            if let Some(stored) = &mut entry.stored {
                stored.record.remove_refuted(resumed_after);
            }
            entry.refresh();
            (entry.record.crashes().len() < before, stored)
        })
    }

    /// Reports whether a record of another node must be ignored: it has
    /// expired, or is dated so far in the future that it would not expire.
    pub fn is_unusable(&self, record: &CrashRecord, now: UnixMillis) -> bool {
        let changed_at = record.changed_at();
        let age_ms = now.saturating_ms_since(changed_at);
        age_ms >= self.options.retention_of(record.subject())
            || changed_at.saturating_ms_since(now) > MAX_REPORT_AGE_MS
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: UnixMillis) {
        let options = self.options;
        let is_expired = |entry: &Entry| {
            let retention_ms = options.retention_of(entry.record.subject());
            now.saturating_ms_since(entry.changed_at()) >= retention_ms
        };
        let records = self.records.iter();
        let expired = records.filter(|(_, entry)| is_expired(entry));
        let expired: Vec<RequestDigest> = expired.map(|(d, _)| *d).collect();
        for digest in expired {
            self.remove(digest);
        }
    }

    /// Takes the requests whose records were removed here but are still
    /// stored, with the revisions of the stored records.
    pub fn take_removed(&mut self) -> Vec<(RequestDigest, u64)> {
        std::mem::take(&mut self.removed)
    }

    /// Changes the entry of a request; an entry without crashes is removed.
    fn change<T>(
        &mut self,
        digest: RequestDigest,
        change: impl FnOnce(&mut Entry) -> T,
    ) -> T {
        let existing = self.records.swap_remove(&digest);
        let mut entry = existing.unwrap_or_default();
        let result = change(&mut entry);
        entry.refresh();
        if !entry.record.crashes().is_empty() {
            self.evict_oldest();
            self.records.insert(digest, entry);
        }
        result
    }

    /// Evicts records if the table is full: the least recently changed ones
    /// that hold no request, or else the least recently changed ones.
    ///
    /// Each crash adds a record for each request that ran there. If a
    /// quarantined one made room for these, it would crash endpoints again.
    fn evict_oldest(&mut self) {
        while self.records.len() >= self.options.max_records {
            let oldest = self.records.iter();
            let oldest = oldest.min_by_key(|(_, entry)| {
                (
                    self.options.is_quarantined(&entry.record),
                    entry.changed_at(),
                )
            });
            let Some(digest) = oldest.map(|(digest, _)| *digest) else {
                return;
            };
            self.remove(digest);
        }
    }

    fn remove(&mut self, digest: RequestDigest) {
        let entry = self.records.swap_remove(&digest);
        let stored = entry.and_then(|entry| entry.stored);
        let revision = stored.map(|stored| stored.revision);
        self.removed.extend(revision.map(|at| (digest, at)));
    }
}
