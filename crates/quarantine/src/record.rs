use base::UnixMillis;
use serde::{Deserialize, Serialize};

use crate::{Crash, crash::MAX_CRASH_SCORE};

/// Maximum number of crashes in one record. Further crashes would not change
/// the verdict on the request.
const MAX_CRASHES: usize = 8;

/// Maximum number of crashes in the record of a part of prompts. More than
/// for a request, since those of a rack count once.
const MAX_PART_CRASHES: usize = 16;

/// Time within which crashes of several endpoints count as one event against a
/// part of a prompt, in milliseconds: requests with a part run at several
/// endpoints, which may all be lost with a rack.
const SAME_EVENT_MS: u64 = 50;

/// What a crash record is about. The rules for the evidence differ.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// The content of a request, or a group of requests.
    #[default]
    Request,
    /// A part of prompts, which many requests share.
    PromptPart,
}

/// The crashes of endpoints that occurred while they ran one request.
///
/// # Example
///
/// ```
/// use base::UnixMillis;
/// use pomeloslip_quarantine::{Crash, CrashRecord, CrashedEndpoint};
///
/// let crash = |endpoint, began_ms| Crash {
///     endpoint: CrashedEndpoint::new(endpoint),
///     began_at: UnixMillis::new(began_ms),
///     ended_at: UnixMillis::new(began_ms + 100),
///     resumed_after: 0,
///     reached: 0,
/// };
/// let mut record = CrashRecord::default();
/// assert!(record.add(crash(1, 1_000)));
/// // Runs that overlap count once, since a single event may have ended both
/// // endpoints.
/// assert!(record.add(crash(2, 1_010)));
/// assert_eq!(record.evidence().len(), 1);
/// assert!(record.add(crash(3, 1_500)));
/// assert_eq!(record.evidence().len(), 2);
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct CrashRecord {
    /// Ordered by the time of the crash.
    crashes: Vec<Crash>,
    /// Number of probes: single sends that test whether the request still
    /// crashes endpoints.
    #[serde(rename = "trials")]
    probes: u32,
    /// Time of the last probe.
    #[serde(rename = "tried_at")]
    probed_at: Option<UnixMillis>,
    subject: Subject,
}

/// What is known of the last probe of a part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeOutcome {
    /// There was no probe, or it had no result.
    None,
    /// Its endpoint crashed before the head of the response, or when the
    /// response had just made progress.
    Doubtful,
    /// Its endpoint crashed after the head of the response.
    Crashed,
}

impl CrashRecord {
    /// Creates an empty record.
    pub fn new(subject: Subject) -> Self {
        Self {
            subject,
            ..Self::default()
        }
    }

    /// Returns what the record is about.
    #[inline]
    pub fn subject(&self) -> Subject {
        self.subject
    }

    /// Returns the crashes, oldest first.
    #[inline]
    pub fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Returns the number of probes.
    #[inline]
    pub fn probes(&self) -> u32 {
        self.probes
    }

    /// Returns the time of the last probe.
    #[inline]
    pub fn probed_at(&self) -> Option<UnixMillis> {
        self.probed_at
    }

    /// Returns the outcome of the last probe of a part.
    pub fn probe_outcome(&self) -> ProbeOutcome {
        let Some(probed_at) = self.probed_at else {
            return ProbeOutcome::None;
        };
        let since = |crash: &&Crash| crash.ended_at >= probed_at;
        let shows_fault = |crash: &Crash| {
            crash.has_begun() && crash.score() == MAX_CRASH_SCORE
        };
        let crashes: Vec<&Crash> = self.crashes.iter().filter(since).collect();
        match crashes.as_slice() {
            [] => ProbeOutcome::None,
            all if all.iter().any(|crash| shows_fault(crash)) => {
                ProbeOutcome::Crashed
            }
            _ => ProbeOutcome::Doubtful,
        }
    }

    /// Returns the number of probes of a part that count as failed: all but a
    /// last one that did not crash its endpoint before anything but the head
    /// of its response. Its node may have ended, or another request may have
    /// crashed the endpoint. Those without a result are not counted, see
    /// [`Self::begin_probe`].
    pub fn failed_probes(&self) -> u32 {
        match self.probe_outcome() {
            ProbeOutcome::Crashed => self.probes,
            _ => self.probes.saturating_sub(1),
        }
    }

    /// Returns the time of the last crash or probe.
    pub fn changed_at(&self) -> UnixMillis {
        let crashed_at = self.crashes.last().map(|crash| crash.ended_at);
        crashed_at.max(self.probed_at).unwrap_or_default()
    }

    /// Reports whether the record contains a crash.
    pub fn contains(&self, crash: &Crash) -> bool {
        self.crashes.iter().any(|known| self.is_same(known, crash))
    }

    fn is_same(&self, one: &Crash, other: &Crash) -> bool {
        match self.subject {
            Subject::Request => one.is_same(other),
            Subject::PromptPart => one.is_same_for_part(other),
        }
    }

    /// Adds a crash, and reports whether the record changed.
    ///
    /// If one crash interrupted several runs of the request, only the run
    /// with the most progress is recorded, since the others would have got as
    /// far. Of requests that share a part of their prompts, it is the one that
    /// counts most.
    pub fn add(&mut self, crash: Crash) -> bool {
        let mut known = self.crashes.iter();
        let same = known.position(|known| self.is_same(known, &crash));
        if let Some(index) = same {
            let old = &self.crashes[index];
            let is_known = match self.subject {
                Subject::Request => old.progress() >= crash.progress(),
                Subject::PromptPart => old.part_rank() <= crash.part_rank(),
            };
            if is_known {
                return false;
            }
            self.crashes.remove(index);
        }
        let order = |crash: &Crash| (crash.ended_at, crash.endpoint);
        let before = |known: &Crash| order(known) <= order(&crash);
        let index = self.crashes.partition_point(before);
        self.crashes.insert(index, crash);
        self.evict_surplus();
        true
    }

    /// Merges another record of the same request, and reports whether this
    /// record changed.
    pub fn merge(&mut self, other: &CrashRecord) -> bool {
        let before = self.clone();
        self.subject = match self.crashes.is_empty() {
            true => other.subject,
            false => self.subject,
        };
        for crash in &other.crashes {
            self.add(*crash);
        }
        self.probes = self.probes.max(other.probes);
        self.probed_at = self.probed_at.max(other.probed_at);
        *self != before
    }

    /// Records the start of a probe. Of a part, it takes the place of one
    /// without a result, which shows nothing: its node or caller may have
    /// ended, or its write to the key-value service took effect when the
    /// request had already been refused.
    pub fn begin_probe(&mut self, now: UnixMillis) {
        let is_repeated = self.subject == Subject::PromptPart
            && self.probed_at.is_some()
            && self.probe_outcome() == ProbeOutcome::None;
        self.probes += u32::from(!is_repeated);
        self.probed_at = Some(now);
    }

    /// Takes over the probes of another record of the same request.
    pub(crate) fn set_probes_of(&mut self, other: &CrashRecord) {
        self.probes = other.probes;
        self.probed_at = other.probed_at;
    }

    /// Removes the crashes that a complete response refutes, and reports
    /// whether none is left. The response was resumed after `resumed_after`;
    /// a crash before that point is not refuted, since that part of the
    /// response did not run again.
    pub fn remove_refuted(&mut self, resumed_after: u64) -> bool {
        self.crashes.retain(|crash| crash.reached < resumed_after);
        self.crashes.is_empty()
    }

    /// Removes the crashes up to a time, and reports whether any was removed.
    pub fn remove_until(&mut self, at: UnixMillis) -> bool {
        let before = self.crashes.len();
        self.crashes.retain(|crash| crash.ended_at > at);
        self.crashes.len() < before
    }

    /// Returns the crashes of this record that another one lacks.
    #[must_use]
    pub fn difference(&self, other: &CrashRecord) -> CrashRecord {
        let is_known = |crash: &Crash| {
            let mut with = other.clone();
            with.contains(crash) && !with.add(*crash)
        };
        let remainder = self.crashes.iter().filter(|crash| !is_known(crash));
        CrashRecord {
            crashes: remainder.copied().collect(),
            ..CrashRecord::new(self.subject)
        }
    }

    /// Returns the crashes that count as evidence.
    ///
    /// Against a request, these are the crashes whose runs do not overlap and
    /// that no other run refutes. Against a part of prompts, these are all
    /// that did not come with another one.
    pub fn evidence(&self) -> Vec<&Crash> {
        match self.subject {
            Subject::Request => self.evidence_against_request(),
            Subject::PromptPart => self.evidence_against_part(),
        }
    }

    /// Returns the weight of the evidence.
    pub fn score(&self) -> u32 {
        self.evidence().iter().map(|crash| crash.score()).sum()
    }

    fn evidence_against_part(&self) -> Vec<&Crash> {
        let mut evidence: Vec<&Crash> = Vec::new();
        for crash in &self.crashes {
            let is_new = evidence.last().is_none_or(|last| {
                crash.ended_at.abs_diff_ms(last.ended_at) > SAME_EVENT_MS
            });
            if is_new {
                evidence.push(crash);
            }
        }
        evidence
    }

    fn evidence_against_request(&self) -> Vec<&Crash> {
        let mut evidence: Vec<&Crash> = Vec::new();
        for crash in &self.crashes {
            let follows =
                evidence.last().is_none_or(|last| crash.follows(last));
            if follows && !self.refutes(crash) {
                evidence.push(crash);
            }
        }
        evidence
    }

    fn refutes(&self, crash: &Crash) -> bool {
        self.crashes.iter().any(|other| other.refutes(crash))
    }

    /// Evicts surplus crashes. Of a request, first those that are not evidence,
    /// then the oldest.
    ///
    /// Of a part, the oldest: nodes send each other records of parts as long as
    /// they differ, and must end with the same one in whatever order they
    /// learn of crashes.
    fn evict_surplus(&mut self) {
        if self.subject == Subject::PromptPart {
            let surplus = self.crashes.len().saturating_sub(MAX_PART_CRASHES);
            self.crashes.drain(..surplus);
            return;
        }
        while self.crashes.len() > MAX_CRASHES {
            let evidence = self.evidence();
            let is_surplus = |crash: &Crash| {
                !evidence.iter().any(|kept| self.is_same(kept, crash))
            };
            let surplus = self.crashes.iter().position(is_surplus);
            self.crashes.remove(surplus.unwrap_or(0));
        }
    }
}
