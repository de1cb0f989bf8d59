//! Which jobs will be late at the present pace.

use base::Millis;

use crate::{Ledger, Moment};

/// Time between two looks, in milliseconds.
const SAMPLE_MS: u64 = 1_000;

/// Weight of the newest sample, in percent.
const NEWEST_PERCENT: f64 = 10.0;

/// Reserve that a job needs not to be at risk.
const RESERVE: f64 = 1.1;

/// Reserve that a job at risk needs to count as safe again; the gap keeps a
/// job at the border from being written at each look.
const RESERVE_TO_RECOVER: f64 = 1.3;

/// How fast items settle.
#[derive(Debug, Default)]
pub(crate) struct Pace {
    items_per_s: f64,
    settled: u32,
    since: Millis,
}

impl Pace {
    pub(crate) fn count(&mut self) {
        self.settled += 1;
    }

    /// Takes a sample; one without work says nothing of the pace.
    fn sample(&mut self, now: Millis, has_work: bool) {
        let ms = now.saturating_ms_since(self.since).max(1);
        let newest = f64::from(self.settled) * 1_000.0 / ms as f64;
        self.since = now;
        self.settled = 0;
        if !has_work {
            return;
        }
        let share = match self.items_per_s > 0.0 {
            true => NEWEST_PERCENT / 100.0,
            false => 1.0,
        };
        self.items_per_s += (newest - self.items_per_s) * share;
    }

    fn is_known(&self) -> bool {
        self.items_per_s > 0.001
    }
}

impl Ledger {
    /// Adds up, earliest due first, what must run before each job ends.
    pub(crate) fn assess(&mut self, moment: Moment) {
        if moment.now.saturating_ms_since(self.pace.since) < SAMPLE_MS {
            return;
        }
        let has_work = self
            .jobs
            .values()
            .any(|job| job.record.remaining_items() > 0);
        self.pace.sample(moment.now, has_work);
        let mut before: u64 = 0;
        let due: Vec<_> = self.by_due.iter().map(|(_, key)| *key).collect();
        for key in due {
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            let record = &job.record;
            let waiting = job.pending.len() as u32;
            let left = record.remaining_items().saturating_sub(waiting);
            before += u64::from(left);
            if !job.is_running() {
                continue;
            }
            let spare_ms = record.due.saturating_ms_since(moment.unix);
            let window_ms = record.due.saturating_ms_since(record.created);
            let reserve = match job.wants_risk {
                true => RESERVE_TO_RECOVER,
                false => RESERVE,
            };
            job.wants_risk = left > 0
                && match self.pace.is_known() {
                    true => {
                        let s = before as f64 / self.pace.items_per_s;
                        s * 1_000.0 * reserve > spare_ms as f64
                    }
                    // Nothing has run yet: half of its time is gone.
                    false => spare_ms < window_ms / 2,
                };
        }
    }
}
