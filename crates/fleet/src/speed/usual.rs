//! The slowdown that an endpoint reports usually.

use std::sync::{Mutex, MutexGuard, PoisonError};

use base::Millis;

use super::endpoint::USUAL_PERCENT;

/// Length of a period whose lowest report is kept, in milliseconds. Momentary
/// slowdowns last about 600 ms, so a period contains reports without one.
const PERIOD_MS: u64 = 3_000;

/// The lowest slowdown that an endpoint reported recently, in percent.
///
/// Endpoints may report their constant speed and their momentary state in one
/// number. The lowest recent report stands for the constant part, and only
/// what is above it is momentary. Until a first period has passed, an endpoint
/// counts as one that reports [`USUAL_PERCENT`] usually.
#[derive(Debug, Default)]
pub(super) struct UsualSlowdown(Mutex<Periods>);

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
        let lowest = periods.present.map_or(percent, |p| p.min(percent));
        periods.present = Some(lowest);
    }

    /// Returns the usual slowdown.
    pub(super) fn get(&self) -> u32 {
        let periods = self.lock();
        let present = periods.present.unwrap_or(USUAL_PERCENT);
        present.min(periods.previous.unwrap_or(USUAL_PERCENT))
    }

    fn lock(&self) -> MutexGuard<'_, Periods> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
