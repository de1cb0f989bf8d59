use std::{error, fmt};

use serde::{Deserialize, Serialize};

/// Highest rate that a configuration may give, in requests a second: more
/// than any fleet serves, and small enough that sums stay exact.
const RATE_MOST: f64 = 1_000_000.0;

/// Largest burst likewise, in requests.
const BURST_MOST: u32 = 10_000_000;

/// Requests that a customer may send over the whole fleet.
///
/// # Example
///
/// ```
/// use pomeloslip_limits::{RateLimit, RateLimitError};
///
/// let limit = RateLimit::try_new(100.0, 50)?.with_version(7);
/// assert_eq!((limit.per_s(), limit.burst(), limit.version()), (100.0, 50, 7));
/// assert_eq!(RateLimit::try_new(-1.0, 0), Err(RateLimitError::Rate));
/// # Ok::<(), RateLimitError>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RateLimit {
    per_s: f64,
    burst: u32,
    version: u64,
}

impl RateLimit {
    /// Makes the limit of a rate in requests a second and a burst.
    ///
    /// # Errors
    ///
    /// [`RateLimitError`] if one of them is nothing that can be held.
    pub fn try_new(per_s: f64, burst: u32) -> Result<Self, RateLimitError> {
        // A comparison that a value which is no number does not pass either.
        let holds = per_s > 0.0 && per_s <= RATE_MOST;
        if !holds {
            return Err(RateLimitError::Rate);
        }
        if burst > BURST_MOST {
            return Err(RateLimitError::Burst);
        }
        let version = 0;
        Ok(Self {
            per_s,
            burst,
            version,
        })
    }

    /// Sets the version of the configuration that says it. Of two caps of a
    /// customer the one of the later version holds.
    #[must_use]
    pub fn with_version(self, version: u64) -> Self {
        Self { version, ..self }
    }

    /// Returns the rate, in requests a second.
    #[inline]
    pub fn per_s(self) -> f64 {
        self.per_s
    }

    /// Returns how many requests may come at once after a pause.
    #[inline]
    pub fn burst(self) -> u32 {
        self.burst
    }

    /// Returns the version of the configuration that says it.
    #[inline]
    pub fn version(self) -> u64 {
        self.version
    }

    /// Tells whether it could have been made by [`try_new`](Self::try_new),
    /// which one that was decoded need not be.
    pub fn is_valid(self) -> bool {
        Self::try_new(self.per_s, self.burst).is_ok()
    }
}

/// What of a limit cannot be held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RateLimitError {
    /// The rate is not above 0, too high, or no number.
    Rate,
    /// The burst is too large.
    Burst,
}

impl fmt::Display for RateLimitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RateLimitError::Rate => "the rate is not above 0 or too high",
            RateLimitError::Burst => "the burst is too large",
        })
    }
}

impl error::Error for RateLimitError {}

/// How exactly a limit has to be held: in each window, a customer may be
/// served `(rate x window + burst) x (1 + excess) + slack` requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tolerance {
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Part of the limit that may be served beyond it.
    pub excess: f64,
    /// Requests that may be served beyond it.
    pub slack: u32,
}

impl Default for Tolerance {
    /// Nothing beyond the limit, in windows of five seconds.
    fn default() -> Self {
        Self {
            window_ms: 5_000,
            excess: 0.0,
            slack: 0,
        }
    }
}

/// Time for which a request may be on its way after it was counted, in
/// milliseconds. As much of the rate is served in a window besides.
const ON_THE_WAY_MS: f64 = 200.0;

/// Part of what a window may hold beyond the rate that comes at once after a
/// pause.
const STOCK_PART: f64 = 0.55;

/// Part of it that counters begin with which know nothing of the past. They
/// may be lost twice in a window.
const FIRST_PART: f64 = 0.2;

/// Least burst_tokens, in requests: half of it is at each of two counters, and with
/// less than one none would ever be counted.
const STOCK_LEAST: f64 = 2.0;

impl Tolerance {
    /// Returns the most requests in one window.
    pub fn max_in_window(self, limit: RateLimit) -> f64 {
        let window_s = self.window_ms as f64 / 1_000.0;
        let exact = limit.per_s * window_s + f64::from(limit.burst);
        exact * (1.0 + self.excess) + f64::from(self.slack)
    }

    /// Returns how many requests may come at once after a pause, over the
    /// whole fleet.
    ///
    /// That is more than the burst where windows are measured with a slack.
    /// A customer with a few requests a second has a burst of a few, and
    /// chance alone would refuse one in ten of it.
    pub fn burst_tokens(self, limit: RateLimit) -> f64 {
        (self.beyond_rate(limit) * STOCK_PART).max(STOCK_LEAST)
    }

    /// Returns what counters begin with that know nothing of the past, all
    /// of a customer's together.
    ///
    /// Without it, customers are refused for seconds after all counters were
    /// lost at once, though they are far below their caps.
    pub fn initial_tokens(self, limit: RateLimit) -> f64 {
        self.beyond_rate(limit) * FIRST_PART
    }

    /// Returns what a window may hold beyond what the rate brings.
    fn beyond_rate(self, limit: RateLimit) -> f64 {
        let rate_ms = self.window_ms as f64 + ON_THE_WAY_MS;
        let by_rate = limit.per_s * rate_ms / 1_000.0;
        (self.max_in_window(limit) - by_rate).max(0.0)
    }
}

/// Proof that a request is counted, or that nothing limits it.
///
/// Only a limiter makes one for a customer with a limit.
#[derive(Debug)]
#[must_use = "a request that is counted and not sent is lost to its customer"]
pub struct QuotaPermit(());

impl QuotaPermit {
    /// Returns the proof for a request that no limit applies to.
    pub fn unlimited() -> Self {
        Self(())
    }

    pub(crate) fn new() -> Self {
        Self(())
    }
}
