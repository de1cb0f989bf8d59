use base::{Clock, stable_hash};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

/// Counts of an item's failed attempts.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(default, deny_unknown_fields)]
pub struct FailedAttempts {
    /// Errors of endpoints while they ran the item.
    pub errors: u32,
    /// Responses that reject the item permanently.
    pub rejections: u32,
}

impl FailedAttempts {
    /// Reports whether an item with these attempts must not run again.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_jobs::FailedAttempts;
    ///
    /// let attempts = FailedAttempts {
    ///     errors: 2,
    ///     ..FailedAttempts::default()
    /// };
    /// assert!(!attempts.are_exhausted(3));
    /// assert!(attempts.are_exhausted(2));
    /// ```
    pub fn are_exhausted(self, max_attempts: u32) -> bool {
        self.rejections > 0 || self.errors >= max_attempts
    }

    /// Returns the sum of two counts.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            errors: self.errors.saturating_add(other.errors),
            rejections: self.rejections.saturating_add(other.rejections),
        }
    }
}

/// Identifies a process that counts attempts. A process that starts again has
/// another identifier, so that no two processes change one count.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CounterId(u32);

impl CounterId {
    /// Creates an identifier from a number that no other process uses.
    pub fn new(id: u32) -> Self {
        Self(id)
    }

    /// Derives the identifier of a process from its node and the time of its
    /// start.
    pub fn of_process(node: &str, clock: &dyn Clock) -> Self {
        let started_ms = clock.unix().as_ms().to_string();
        Self(stable_hash(&[node, &started_ms]) as u32)
    }
}

/// What one process has counted of the attempts at the items of a job.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProcessAttempts {
    /// Errors and rejections by item, as pairs, which are short.
    #[serde(rename = "f", skip_serializing_if = "IndexMap::is_empty")]
    failed: IndexMap<u32, (u32, u32)>,
    /// Items with an attempt whose outcome is not recorded.
    #[serde(rename = "o", skip_serializing_if = "IndexSet::is_empty")]
    open: IndexSet<u32>,
    /// Items that have generated events after an attempt was recorded.
    #[serde(rename = "b", skip_serializing_if = "IndexSet::is_empty")]
    begun: IndexSet<u32>,
}

impl ProcessAttempts {
    /// Returns the failed attempts at an item.
    pub fn failed(&self, item: u32) -> FailedAttempts {
        let counted = self.failed.get(&item).copied();
        let (errors, rejections) = counted.unwrap_or_default();
        FailedAttempts { errors, rejections }
    }

    /// Counts failed attempts at an item.
    pub fn add_failed(&mut self, item: u32, attempts: FailedAttempts) {
        let sum = self.failed(item).plus(attempts);
        self.failed.insert(item, (sum.errors, sum.rejections));
    }

    /// Reports whether an attempt at an item may have begun whose outcome is
    /// not recorded.
    pub fn is_open(&self, item: u32) -> bool {
        self.open.contains(&item)
    }

    /// Records that an attempt at an item may begin, and reports whether this
    /// is new.
    pub fn open(&mut self, item: u32) -> bool {
        self.open.insert(item)
    }

    /// Records that no attempt at an item has an unknown outcome.
    pub fn close(&mut self, item: u32) {
        self.open.swap_remove(&item);
    }

    /// Records that an item whose attempt was recorded has generated events.
    pub fn begin(&mut self, item: u32) {
        if self.open.swap_remove(&item) {
            self.begun.insert(item);
        }
    }

    /// Reports whether an item has generated events.
    pub fn has_begun(&self, item: u32) -> bool {
        self.begun.contains(&item)
    }

    /// Removes what is counted of the items for which `keeps` returns `false`.
    pub fn retain(&mut self, keeps: impl Fn(u32) -> bool) {
        self.failed.retain(|item, _| keeps(*item));
        self.open.retain(|item| keeps(*item));
        self.begun.retain(|item| keeps(*item));
    }

    fn is_empty(&self) -> bool {
        self.failed.is_empty() && self.open.is_empty() && self.begun.is_empty()
    }
}

/// The attempts at the items of a job, counted by each process on its own.
///
/// A process only changes its own count, and writes all of it each time. A
/// write that is repeated, or whose outcome is unknown, therefore counts no
/// attempt twice, and two processes that count at the same time add up.
///
/// # Example
///
/// ```
/// use pomeloslip_jobs::{
///     AttemptCounts, CounterId, FailedAttempts, ProcessAttempts,
/// };
///
/// let error = FailedAttempts {
///     errors: 1,
///     ..FailedAttempts::default()
/// };
/// let mut one = ProcessAttempts::default();
/// one.add_failed(7, error);
/// let mut other = one.clone();
/// other.open(7);
/// let mut counts = AttemptCounts::default();
/// counts.set(CounterId::new(1), one);
/// counts.set(CounterId::new(2), other);
/// assert_eq!(counts.failed(7).errors, 2);
/// assert_eq!(counts.open_elsewhere(CounterId::new(1), 7), 1);
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AttemptCounts(IndexMap<CounterId, ProcessAttempts>);

impl AttemptCounts {
    /// Reports whether nothing is counted.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the count of a process.
    pub fn of(&self, counter: CounterId) -> Option<&ProcessAttempts> {
        self.0.get(&counter)
    }

    /// Replaces the count of a process.
    pub fn set(&mut self, counter: CounterId, attempts: ProcessAttempts) {
        match attempts.is_empty() {
            true => self.0.shift_remove(&counter),
            false => self.0.insert(counter, attempts),
        };
    }

    /// Returns the failed attempts at an item.
    pub fn failed(&self, item: u32) -> FailedAttempts {
        sum(self.0.values(), item)
    }

    /// Returns the failed attempts at an item that other processes have
    /// counted.
    pub fn failed_elsewhere(
        &self,
        own: CounterId,
        item: u32,
    ) -> FailedAttempts {
        sum(self.elsewhere(own), item)
    }

    /// Returns the processes that have counted attempts at an item.
    pub fn counters_of(&self, item: u32) -> Vec<CounterId> {
        let counted = self.0.iter().filter(|(_, attempts)| {
            attempts.is_open(item)
                || attempts.failed(item) != FailedAttempts::default()
        });
        counted.map(|(counter, _)| *counter).collect()
    }

    /// Reports whether an item has generated events in any process.
    pub fn has_begun(&self, item: u32) -> bool {
        self.0.values().any(|attempts| attempts.has_begun(item))
    }

    /// Returns the number of processes with an attempt at an item whose
    /// outcome is not recorded.
    pub fn open(&self, item: u32) -> u32 {
        let all = self.0.values();
        all.filter(|attempts| attempts.is_open(item)).count() as u32
    }

    /// Returns the number of other processes with an attempt at an item whose
    /// outcome is not recorded.
    pub fn open_elsewhere(&self, own: CounterId, item: u32) -> u32 {
        let others = self.elsewhere(own);
        others.filter(|attempts| attempts.is_open(item)).count() as u32
    }

    fn elsewhere(
        &self,
        own: CounterId,
    ) -> impl Iterator<Item = &ProcessAttempts> {
        let others = self.0.iter().filter(move |(id, _)| **id != own);
        others.map(|(_, attempts)| attempts)
    }

    /// Removes what is counted of the items for which `keeps` returns `false`.
    pub fn retain(&mut self, keeps: impl Fn(u32) -> bool) {
        self.0.retain(|_, attempts| {
            attempts.retain(&keeps);
            !attempts.is_empty()
        });
    }
}

fn sum<'a>(
    counts: impl Iterator<Item = &'a ProcessAttempts>,
    item: u32,
) -> FailedAttempts {
    let counted = counts.map(|attempts| attempts.failed(item));
    counted.fold(FailedAttempts::default(), FailedAttempts::plus)
}

/// Errors of one item that the callers' rules allow, as a multiple of the
/// attempts of its route.
const ERRORS_PER_ATTEMPT: u32 = 3;

/// Times for which a process must have run before it sends an item, in
/// milliseconds, by the number of attempts whose outcome is not known. In a
/// series of kills each start would otherwise add an attempt.
const MIN_UPTIME_MS: [u64; 4] = [0, 0, 3_000, 10_000];

/// What is known of the attempts at an item that is to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KnownAttempts {
    /// The failed attempts.
    pub failed: FailedAttempts,
    /// Number of attempts whose outcome is not known. Each of them may have
    /// failed.
    pub unknown: u32,
    /// Whether the item has generated events, so that it does not fail at each
    /// run.
    pub has_begun: bool,
}

impl KnownAttempts {
    /// Reports whether a process that has run for `uptime_ms` may send the item
    /// once more.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_jobs::{FailedAttempts, KnownAttempts};
    ///
    /// let attempts = |errors, unknown| KnownAttempts {
    ///     failed: FailedAttempts {
    ///         errors,
    ///         rejections: 0,
    ///     },
    ///     unknown,
    ///     has_begun: false,
    /// };
    /// assert!(attempts(2, 1).permit_run(3, 0));
    /// assert!(!attempts(3, 0).permit_run(3, 0), "no attempt is left");
    /// assert!(!attempts(0, 2).permit_run(3, 100), "the process is new");
    /// assert!(attempts(0, 2).permit_run(3, 3_000));
    /// assert!(!attempts(1, 2).permit_run(1, 60_000));
    /// assert!(!attempts(0, 9).permit_run(3, 60_000));
    /// ```
    pub fn permit_run(self, max_attempts: u32, uptime_ms: u64) -> bool {
        if self.failed.are_exhausted(max_attempts) {
            return false;
        }
        let max_errors = max_attempts.saturating_mul(ERRORS_PER_ATTEMPT);
        let errors = self.failed.errors.saturating_add(self.unknown);
        let last = MIN_UPTIME_MS.len() - 1;
        let min_uptime_ms = MIN_UPTIME_MS[last.min(self.unknown as usize)];
        self.has_begun || (errors < max_errors && uptime_ms >= min_uptime_ms)
    }
}
