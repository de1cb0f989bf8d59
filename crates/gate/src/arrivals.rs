use std::collections::VecDeque;

use base::Millis;

use crate::measurements::ago;

/// Window over which a burst is detected, in milliseconds.
const BURST_WINDOW_MS: u64 = 1_000;

/// Ratio of the current to the baseline arrival rate that counts as a burst.
const BURST_FACTOR: f64 = 2.0;

/// Calls above that ratio that random variation may add.
const BURST_MARGIN: f64 = 4.0;

/// Time constant of the baseline rate, in milliseconds. A load that lasts for
/// an hour becomes the baseline, since batch items have to finish beside it.
const BASELINE_MS: f64 = 60_000.0;

/// Minimum observed time for a meaningful baseline, in milliseconds.
const MIN_OBSERVED_MS: f64 = 5_000.0;

/// Longest interval that a single update weighs in the baseline, in
/// milliseconds.
const MAX_STEP_MS: f64 = 1_000.0;

/// Arrival times of online calls, with their baseline rate.
#[derive(Clone, Debug)]
pub(crate) struct Arrivals {
    window_ms: u64,
    times: VecDeque<Millis>,
    /// Baseline number of calls in a burst window.
    baseline: f64,
    /// Time over which the baseline was observed.
    observed_ms: f64,
    updated_at: Option<Millis>,
}

impl Arrivals {
    pub(crate) fn new(window_ms: u64) -> Self {
        Self {
            window_ms,
            times: VecDeque::new(),
            baseline: 0.0,
            observed_ms: 0.0,
            updated_at: None,
        }
    }

    pub(crate) fn push(&mut self, now: Millis) {
        self.times.push_back(now);
        self.update(now);
    }

    /// Returns the number of calls in the window of the reserve.
    pub(crate) fn recent(&self, now: Millis) -> u32 {
        self.count(now, self.window_ms)
    }

    /// Returns the number of calls in the last second if it is far above the
    /// baseline.
    pub(crate) fn burst(&mut self, now: Millis) -> Option<u32> {
        self.update(now);
        let count = self.count(now, BURST_WINDOW_MS);
        let threshold = self.baseline * BURST_FACTOR + BURST_MARGIN;
        (f64::from(count) > threshold).then_some(count)
    }

    fn update(&mut self, now: Millis) {
        let last = *self.updated_at.get_or_insert(now);
        let elapsed_ms = now.saturating_ms_since(last) as f64;
        let count = f64::from(self.count(now, BURST_WINDOW_MS));
        self.observed_ms = (self.observed_ms + elapsed_ms).min(BASELINE_MS);
        // Until the time constant has passed, the baseline is the mean of all
        // observations.
        let weight = elapsed_ms.min(MAX_STEP_MS)
            / self.observed_ms.max(MIN_OBSERVED_MS);
        self.baseline += (count - self.baseline) * weight;
        self.updated_at = Some(now);
        let longest = BURST_WINDOW_MS.max(self.window_ms);
        let cutoff = ago(now, longest);
        while self.times.front().is_some_and(|at| *at < cutoff) {
            self.times.pop_front();
        }
    }

    fn count(&self, now: Millis, window_ms: u64) -> u32 {
        let since = ago(now, window_ms);
        let newest = self.times.iter().rev();
        newest.take_while(|at| **at >= since).count() as u32
    }
}
