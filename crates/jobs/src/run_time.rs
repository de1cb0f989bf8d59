use std::collections::VecDeque;

/// The remaining time of an item.
///
/// # Example
///
/// ```
/// use pomeloslip_jobs::RemainingTime;
///
/// let remaining = RemainingTime::exactly_ms(500);
/// assert_eq!(remaining.expected_ms, remaining.min_ms);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RemainingTime {
    /// Average remaining run time.
    pub expected_ms: u64,
    /// Minimum remaining run time that was observed.
    pub min_ms: u64,
}

impl RemainingTime {
    /// Creates a remaining time that is known exactly.
    pub fn exactly_ms(ms: u64) -> Self {
        Self {
            expected_ms: ms,
            min_ms: ms,
        }
    }
}

/// Estimates the run time of items from those that completed here recently.
///
/// Callers state a maximum output length, the same for all items of a kind,
/// while actual outputs differ by a factor of three. The remaining time of an
/// item is therefore estimated from the completed items that ran at least as
/// long: an item that has run longer than most is about to complete. An
/// estimate from the maximum output length alone would put off items as late
/// that can still be in time.
///
/// Before the first item has completed, the remaining time is zero, and items
/// are ordered by their due times.
///
/// # Example
///
/// ```
/// use pomeloslip_jobs::RunTimeEstimator;
///
/// let mut estimator = RunTimeEstimator::default();
/// for ms in [2_000, 4_000, 6_000] {
///     estimator.record(1_000, ms);
/// }
/// assert_eq!(estimator.remaining(1_000, 0).expected_ms, 4_000);
/// assert_eq!(estimator.remaining(1_000, 3_000).expected_ms, 2_000);
/// assert_eq!(estimator.remaining(500, 0).expected_ms, 2_000);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RunTimeEstimator {
    /// Run times per thousand tokens of the items that completed last.
    recent: VecDeque<u64>,
    sorted: Vec<u64>,
    /// For each index of `sorted`, the sum of the values from this index on.
    sums: Vec<u64>,
}

/// Number of recent items that an estimate is based on: enough for an average
/// of the long ones, and few enough that a change of the engines has an effect
/// within seconds.
const MAX_SAMPLES: usize = 64;

/// Number of tokens that run times are normalized to.
const UNIT_TOKENS: u64 = 1_000;

/// Remaining time of an item that has run longer than all recent ones, in
/// percent of its time so far.
const OVERRUN_PERCENT: u64 = 10;

impl RunTimeEstimator {
    /// Records an item that completed after a total run time of `ran_ms`.
    pub fn record(&mut self, tokens: u64, ran_ms: u64) {
        if self.recent.len() == MAX_SAMPLES {
            self.recent.pop_front();
        }
        self.recent.push_back(ms_per_unit(tokens, ran_ms));
        self.sorted = self.recent.iter().copied().collect();
        self.sorted.sort_unstable();
        let mut sum = 0;
        let sums = self.sorted.iter().rev().map(|ms| {
            sum += ms;
            sum
        });
        self.sums = sums.collect();
        self.sums.reverse();
    }

    /// Estimates the remaining time of an item that has run for `ran_ms`.
    pub fn remaining(&self, tokens: u64, ran_ms: u64) -> RemainingTime {
        let ran = ms_per_unit(tokens, ran_ms);
        let from = self.sorted.partition_point(|ms| *ms <= ran);
        let longer = self.sorted.len() - from;
        if longer == 0 {
            let overrun_ms = match self.sorted.is_empty() {
                true => 0,
                false => ran_ms * OVERRUN_PERCENT / 100,
            };
            return RemainingTime {
                expected_ms: overrun_ms,
                min_ms: 0,
            };
        }
        let mean = self.sums[from] / longer as u64;
        let min = self.sorted[from];
        let scale =
            |unit: u64| unit.saturating_sub(ran) * tokens / UNIT_TOKENS;
        RemainingTime {
            expected_ms: scale(mean),
            min_ms: scale(min),
        }
    }
}

fn ms_per_unit(tokens: u64, ms: u64) -> u64 {
    ms * UNIT_TOKENS / tokens.max(1)
}
