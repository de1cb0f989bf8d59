use std::collections::VecDeque;

use base::Millis;

use crate::measure::ago;

/// Span in which a burst shows.
const BURST_WINDOW_MS: u64 = 1_000;

/// Factor over the usual rate that makes a burst.
const BURST_FACTOR: f64 = 2.0;

/// Calls beyond it that chance may bring.
const BURST_SPARE: f64 = 4.0;

/// Time over which a rate becomes the usual one. A rush of an hour is the
/// load of that hour, beside which batch has to be finished as well.
const USUAL_MS: f64 = 60_000.0;

/// Shortest time that says something of the usual rate.
const SEEN_MIN_MS: f64 = 5_000.0;

/// Longest span that counts for the usual rate at once.
const STEP_MAX_MS: f64 = 1_000.0;

/// When online calls came.
#[derive(Clone, Debug)]
pub(crate) struct Arrivals {
    window_ms: u64,
    times: VecDeque<Millis>,
    /// Calls in a window, usually.
    usual: f64,
    /// Time over which that was learned.
    seen_ms: f64,
    updated: Option<Millis>,
}

impl Arrivals {
    pub(crate) fn new(window_ms: u64) -> Self {
        Self {
            window_ms,
            times: VecDeque::new(),
            usual: 0.0,
            seen_ms: 0.0,
            updated: None,
        }
    }

    pub(crate) fn push(&mut self, now: Millis) {
        self.times.push_back(now);
        self.update(now);
    }

    /// Counts the calls of the reserve's window.
    pub(crate) fn recent(&self, now: Millis) -> u32 {
        self.count(now, self.window_ms)
    }

    /// Returns the calls of the last second if they are many more than
    /// usual.
    pub(crate) fn burst(&mut self, now: Millis) -> Option<u32> {
        self.update(now);
        let count = self.count(now, BURST_WINDOW_MS);
        let least = self.usual * BURST_FACTOR + BURST_SPARE;
        (f64::from(count) > least).then_some(count)
    }

    fn update(&mut self, now: Millis) {
        let last = *self.updated.get_or_insert(now);
        let passed_ms = now.saturating_ms_since(last) as f64;
        let count = f64::from(self.count(now, BURST_WINDOW_MS));
        self.seen_ms = (self.seen_ms + passed_ms).min(USUAL_MS);
        // At first it is the mean of what was seen.
        let part = passed_ms.min(STEP_MAX_MS) / self.seen_ms.max(SEEN_MIN_MS);
        self.usual += (count - self.usual) * part;
        self.updated = Some(now);
        let longest = BURST_WINDOW_MS.max(self.window_ms);
        let old = ago(now, longest);
        while self.times.front().is_some_and(|at| *at < old) {
            self.times.pop_front();
        }
    }

    fn count(&self, now: Millis, window_ms: u64) -> u32 {
        let since = ago(now, window_ms);
        let fresh = self.times.iter().rev();
        fresh.take_while(|at| **at >= since).count() as u32
    }
}
