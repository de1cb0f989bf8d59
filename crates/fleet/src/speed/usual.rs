//! The slowdown that an endpoint reports usually.

use std::sync::{
    Mutex, MutexGuard, PoisonError,
    atomic::{AtomicU32, Ordering},
};

use base::Millis;

use super::endpoint::USUAL_PERCENT;

/// Length of a period whose lowest report is kept, in milliseconds. Momentary
/// slowdowns last about 600 ms, so a period contains reports without one.
const PERIOD_MS: u64 = 3_000;

/// Lowest report that counts, in percent. An endpoint that reports less is not
/// that fast, and its next honest report would seem to be a slowdown.
const MIN_PERCENT: u32 = 25;

/// The lowest slowdown that an endpoint reported recently, in percent.
///
/// Endpoints may report their constant speed and their momentary state in one
/// number. The lowest recent report stands for the constant part, and only
/// what is above it is momentary. Until a first period has passed, an endpoint
/// counts as one that reports [`USUAL_PERCENT`] usually.
#[derive(Debug)]
pub(super) struct UsualSlowdown {
    periods: Mutex<Periods>,
    percent: AtomicU32,
}

impl Default for UsualSlowdown {
    fn default() -> Self {
        Self {
            periods: Mutex::default(),
            percent: AtomicU32::new(USUAL_PERCENT),
        }
    }
}

#[derive(Debug, Default)]
struct Periods {
    /// When the present period began; none before the first report.
    started_at: Option<Millis>,
    /// Lowest report of the present period.
    present: Option<u32>,
    /// Lowest report of the period before.
    previous: Option<u32>,
}

impl UsualSlowdown {
    /// Records a report.
    pub(super) fn record(&self, percent: u32, now: Millis) {
        let mut periods = self.lock();
        let started_at = *periods.started_at.get_or_insert(now);
        if now.saturating_ms_since(started_at) >= PERIOD_MS {
            periods.started_at = Some(now);
            periods.previous = periods.present.take();
        }
        let percent = percent.max(MIN_PERCENT);
        let lowest = periods.present.map_or(percent, |p| p.min(percent));
        periods.present = Some(lowest);
        let usual = lowest.min(periods.previous.unwrap_or(USUAL_PERCENT));
        self.percent.store(usual, Ordering::Relaxed);
    }

    /// Returns the usual slowdown.
    pub(super) fn get(&self) -> u32 {
        self.percent.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, Periods> {
        self.periods.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
