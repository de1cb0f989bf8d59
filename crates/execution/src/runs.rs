use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU32, Ordering},
};

use crate::{Evidence, Ran};

/// Counts the copies of one request that ran, may have run or may still run.
///
/// Clones share the count, so that a copy counts even if the task that sent it
/// was cancelled.
///
/// # Example
///
/// ```
/// use pomeloslip_execution::{Evidence, PossibleRuns};
///
/// let runs = PossibleRuns::default();
/// drop(runs.begin());
/// assert_eq!(runs.count(), 0, "it was dropped unsent");
/// let offered = runs.begin();
/// offered.mark_sent();
/// drop(offered);
/// assert_eq!(runs.count(), 1, "it was dropped without evidence");
/// ```
#[derive(Clone, Debug, Default)]
pub struct PossibleRuns(Arc<AtomicU32>);

impl PossibleRuns {
    /// Counts a copy that is about to be offered to an endpoint.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_execution::PossibleRuns;
    ///
    /// let runs = PossibleRuns::default();
    /// let offered = runs.begin();
    /// assert_eq!(runs.count(), 1);
    /// # drop(offered);
    /// ```
    #[must_use]
    pub fn begin(&self) -> OfferedRun {
        self.0.fetch_add(1, Ordering::AcqRel);
        OfferedRun {
            runs: self.clone(),
            is_sent: AtomicBool::new(false),
            is_settled: false,
        }
    }

    /// Returns the number of copies that ran, may have run or may still run.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_execution::PossibleRuns;
    ///
    /// assert_eq!(PossibleRuns::default().count(), 0);
    /// ```
    #[inline]
    pub fn count(&self) -> u32 {
        self.0.load(Ordering::Acquire)
    }

    /// Returns whether the request ran.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_execution::{PossibleRuns, Ran};
    ///
    /// assert_eq!(PossibleRuns::default().ran(), Ran::No);
    /// ```
    #[inline]
    pub fn ran(&self) -> Ran {
        match self.count() {
            0 => Ran::No,
            _ => Ran::Unknown,
        }
    }

    fn uncount(&self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A copy of a request that is offered to an endpoint.
///
/// Dropped before it was marked as sent, it no longer counts. Dropped later
/// without evidence, it counts for good.
#[derive(Debug)]
pub struct OfferedRun {
    runs: PossibleRuns,
    is_sent: AtomicBool,
    is_settled: bool,
}

impl OfferedRun {
    /// Records that the first byte is about to be written to a connection.
    ///
    /// # Example
    ///
    /// See [`PossibleRuns`].
    pub fn mark_sent(&self) {
        self.is_sent.store(true, Ordering::Release);
    }

    /// Ends the offer with what is known of the copy.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_execution::{Evidence, PossibleRuns};
    ///
    /// let runs = PossibleRuns::default();
    /// let offered = runs.begin();
    /// offered.mark_sent();
    /// offered.settle(Evidence::Declined);
    /// assert_eq!(runs.count(), 0);
    /// ```
    pub fn settle(mut self, evidence: Evidence) {
        self.is_settled = true;
        if evidence.ran() == Ran::No {
            self.runs.uncount();
        }
    }
}

impl Drop for OfferedRun {
    fn drop(&mut self) {
        if !self.is_settled && !self.is_sent.load(Ordering::Acquire) {
            self.runs.uncount();
        }
    }
}
