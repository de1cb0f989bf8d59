//! Predicts which jobs will miss their due time at the current throughput.

use base::Millis;

use crate::{Ledger, Moment};

/// Interval between samples, in milliseconds.
const SAMPLE_INTERVAL_MS: u64 = 1_000;

/// Weight of the newest sample in the moving average, in percent.
const NEWEST_SAMPLE_PERCENT: f64 = 10.0;

/// Safety factor on the estimated run time of a job that is not at risk.
const SAFETY_FACTOR: f64 = 1.1;

/// Safety factor for a job that is already at risk. It is larger, since
/// without hysteresis a borderline job would be written at each sample.
const RECOVERY_SAFETY_FACTOR: f64 = 1.3;

/// Moving average of the rate at which items settle.
#[derive(Debug, Default)]
pub(crate) struct Throughput {
    items_per_s: f64,
    settled: u32,
    sampled_at: Millis,
}

impl Throughput {
    pub(crate) fn count(&mut self) {
        self.settled += 1;
    }

    /// Takes a sample. A sample without open items does not update the
    /// average.
    fn sample(&mut self, now: Millis, has_work: bool) {
        let ms = now.saturating_ms_since(self.sampled_at).max(1);
        let newest = f64::from(self.settled) * 1_000.0 / ms as f64;
        self.sampled_at = now;
        self.settled = 0;
        if !has_work {
            return;
        }
        let weight = match self.items_per_s > 0.0 {
            true => NEWEST_SAMPLE_PERCENT / 100.0,
            false => 1.0,
        };
        self.items_per_s += (newest - self.items_per_s) * weight;
    }

    fn is_known(&self) -> bool {
        self.items_per_s > 0.001
    }
}

impl Ledger {
    /// Estimates, in order of due time, whether each job completes in time
    /// given the items of all jobs due earlier.
    pub(crate) fn assess_risk(&mut self, moment: Moment) {
        if moment.now.saturating_ms_since(self.throughput.sampled_at)
            < SAMPLE_INTERVAL_MS
        {
            return;
        }
        let has_work = self
            .jobs
            .values()
            .any(|job| job.record.remaining_items() > 0);
        self.throughput.sample(moment.now, has_work);
        let mut items_ahead: u64 = 0;
        let due: Vec<_> = self.by_due.iter().map(|(_, key)| *key).collect();
        for key in due {
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            let record = &job.record;
            let pending = job.pending.len() as u32;
            let remaining = record.remaining_items().saturating_sub(pending);
            items_ahead += u64::from(remaining);
            if !job.is_in_progress() {
                continue;
            }
            let slack_ms = record.due.saturating_ms_since(moment.unix);
            let window_ms = record.due.saturating_ms_since(record.created);
            let safety_factor = match job.is_at_risk {
                true => RECOVERY_SAFETY_FACTOR,
                false => SAFETY_FACTOR,
            };
            job.is_at_risk = remaining > 0
                && match self.throughput.is_known() {
                    true => {
                        let s =
                            items_ahead as f64 / self.throughput.items_per_s;
                        s * 1_000.0 * safety_factor > slack_ms as f64
                    }
                    // The throughput is not known yet: the job is at risk once
                    // half of its window has passed.
                    false => slack_ms < window_ms / 2,
                };
        }
    }
}
