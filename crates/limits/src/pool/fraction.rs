use std::collections::VecDeque;

use base::Millis;

/// Minimum fraction that counts: far below that of one front in any fleet.
const MIN_FRACTION: f64 = 1e-9;

/// Fraction of the limits that is allotted to a token pool, over time.
#[derive(Clone, Debug, Default)]
pub(super) struct Fraction {
    current: f64,
    updated_at: Millis,
    /// Integral of the fraction over time, in milliseconds.
    sum: f64,
    /// Former values and the end of each; both increase. A value that is not
    /// below a later one is omitted, since only minima matter.
    minima: VecDeque<(Millis, f64)>,
}

/// State of a pool when a bucket was last refilled.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Snapshot {
    at: Millis,
    sum: f64,
}

impl Snapshot {
    /// Returns the integral of the fraction between two snapshots, in
    /// milliseconds.
    pub(super) fn sum_since(self, earlier: Self) -> f64 {
        self.sum - earlier.sum
    }
}

impl Fraction {
    /// Returns the fraction that is currently allotted.
    pub(super) fn get(&self) -> f64 {
        self.current
    }

    /// Changes the fraction.
    pub(super) fn add(&mut self, change: f64, now: Millis) {
        self.advance(now);
        let before = self.current;
        let after = before + change;
        // A sum of shares may differ from 0 by a rounding error, and a wait
        // computed from such a fraction overflows.
        self.current = if after < MIN_FRACTION { 0.0 } else { after };
        while self.minima.back().is_some_and(|(_, min)| *min >= before) {
            self.minima.pop_back();
        }
        self.minima.push_back((now, before));
    }

    /// Returns a snapshot of the current state.
    pub(super) fn snapshot(&mut self, now: Millis) -> Snapshot {
        self.advance(now);
        Snapshot {
            at: now,
            sum: self.sum,
        }
    }

    /// Returns the integral of the fraction since a snapshot, in milliseconds.
    pub(super) fn sum_since(&mut self, since: Snapshot, now: Millis) -> f64 {
        self.advance(now);
        self.sum - since.sum
    }

    /// Returns the minimum fraction since a snapshot.
    pub(super) fn min_since(&self, since: Snapshot) -> f64 {
        let first =
            self.minima.partition_point(|(until, _)| *until < since.at);
        let min = self.minima.get(first).map_or(self.current, |(_, min)| *min);
        min.min(self.current)
    }

    fn advance(&mut self, now: Millis) {
        self.sum +=
            self.current * now.saturating_ms_since(self.updated_at) as f64;
        self.updated_at = self.updated_at.max(now);
    }
}
