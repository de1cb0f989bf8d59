use crate::{CrashRecord, Subject, crash::MAX_CRASH_SCORE};

/// Options that decide when a request is quarantined and for how long.
///
/// # Example
///
/// ```
/// use pomeloslip_quarantine::QuarantineOptions;
///
/// let options = QuarantineOptions::default();
/// assert!(options.hold_ms(0) < options.hold_ms(1));
/// assert_eq!(options.hold_ms(99), options.max_hold_ms);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuarantineOptions {
    /// Minimum score of a request that is quarantined, see [`Crash::score`].
    ///
    /// [`Crash::score`]: crate::Crash::score
    pub quarantine_score: u32,
    /// Duration of the first quarantine.
    pub initial_hold_ms: u64,
    /// Factor by which each further crash without progress, or each probe,
    /// multiplies the duration.
    pub hold_factor: u64,
    /// Maximum duration of a quarantine.
    pub max_hold_ms: u64,
    /// Retention of a record after its last crash or probe.
    pub retention_ms: u64,
    /// Minimum score of a part of prompts that is quarantined. Requests with
    /// the part need not come one after the other, so that it is higher than
    /// that of a request.
    pub part_quarantine_score: u32,
    /// Duration of the first quarantine of a part.
    pub part_initial_hold_ms: u64,
    /// Duration of the first quarantine of a part for requests whose prompts
    /// have no other quarantined part: shorter, since a sound part may have
    /// been quarantined only because it came together with another one.
    pub part_trial_hold_ms: u64,
    /// Factor by which each probe of a part multiplies the duration.
    pub part_hold_factor: u64,
    /// Retention of the record of a part after its last crash or probe, also
    /// the maximum duration of its quarantine.
    pub part_retention_ms: u64,
    /// Maximum time for which an item is held, in milliseconds. Items are owed
    /// even if endpoints crash under them, so that an item is only kept from
    /// ending one endpoint after the other at once.
    pub item_hold_ms: u64,
    /// Maximum number of records; the least recently changed ones are evicted
    /// first.
    pub max_records: usize,
}

impl Default for QuarantineOptions {
    /// Quarantines a request after three consecutive crashes without progress,
    /// which rarely happen to a harmless request. The first quarantine ends
    /// before callers with a timeout of a minute give up, so that a request
    /// that was quarantined by mistake is probed in time.
    fn default() -> Self {
        Self {
            quarantine_score: 6,
            initial_hold_ms: 10_000,
            hold_factor: 6,
            max_hold_ms: 600_000,
            retention_ms: 600_000,
            part_quarantine_score: 8,
            part_initial_hold_ms: 30_000,
            part_trial_hold_ms: 3_000,
            part_hold_factor: 10,
            part_retention_ms: 3_600_000,
            item_hold_ms: 3_000,
            max_records: 1_024,
        }
    }
}

impl QuarantineOptions {
    /// Returns the duration of a quarantine in milliseconds, after `level`
    /// crashes or probes beyond the first quarantine.
    pub fn hold_ms(&self, level: u32) -> u64 {
        let factor = self.hold_factor.saturating_pow(level);
        let hold_ms = self.initial_hold_ms.saturating_mul(factor);
        hold_ms.min(self.max_hold_ms)
    }

    /// Returns the duration of the quarantine of a part of prompts in
    /// milliseconds, after a number of probes. Three probes take longer than
    /// most causes last, and cost an endpoint each if they fail.
    pub fn part_hold_ms(&self, probes: u32) -> u64 {
        let factor = self.part_hold_factor.saturating_pow(probes);
        let hold_ms = self.part_initial_hold_ms.saturating_mul(factor);
        hold_ms.min(self.part_retention_ms)
    }

    /// Returns the score from which on a subject is quarantined.
    pub(crate) fn score_of(&self, subject: Subject) -> u32 {
        match subject {
            Subject::Request => self.quarantine_score,
            Subject::PromptPart => self.part_quarantine_score,
        }
    }

    /// Reports whether there is enough evidence to quarantine a subject.
    pub(crate) fn is_quarantined(&self, record: &CrashRecord) -> bool {
        let score = self.score_of(record.subject());
        let max_score = MAX_CRASH_SCORE * record.crashes().len() as u32;
        max_score >= score && record.score() >= score
    }

    /// Returns the retention of a record in milliseconds.
    pub(crate) fn retention_of(&self, subject: Subject) -> u64 {
        match subject {
            Subject::Request => self.retention_ms,
            Subject::PromptPart => self.part_retention_ms,
        }
    }
}
