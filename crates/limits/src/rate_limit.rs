use std::{error, fmt};

use serde::{Deserialize, Serialize};

/// Maximum rate in a configuration, in requests per second: more than any
/// fleet serves, and small enough that sums stay exact.
const MAX_RATE_PER_S: f64 = 1_000_000.0;

/// Maximum burst in a configuration, in requests; chosen for the same reasons.
const MAX_BURST: u32 = 10_000_000;

/// Rate limit of a customer over the whole fleet.
///
/// # Example
///
/// ```
/// use pomeloslip_limits::{RateLimit, RateLimitError};
///
/// let limit = RateLimit::try_new(100.0, 50)?.with_version(7);
/// assert_eq!((limit.per_s(), limit.burst()), (100.0, 50));
/// assert_eq!(limit.version(), 7);
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
    /// Creates a limit of a rate in requests per second and a burst in
    /// requests.
    ///
    /// # Errors
    ///
    /// [`RateLimitError`] if one of them is out of range.
    pub fn try_new(per_s: f64, burst: u32) -> Result<Self, RateLimitError> {
        // NaN fails this comparison too.
        let in_range = per_s > 0.0 && per_s <= MAX_RATE_PER_S;
        if !in_range {
            return Err(RateLimitError::Rate);
        }
        if burst > MAX_BURST {
            return Err(RateLimitError::Burst);
        }
        let version = 0;
        Ok(Self {
            per_s,
            burst,
            version,
        })
    }

    /// Sets the version of the configuration that defines the limit. Of two
    /// limits of a customer, the one with the later version applies.
    #[must_use]
    pub fn with_version(self, version: u64) -> Self {
        Self { version, ..self }
    }

    /// Returns the rate, in requests per second.
    #[inline]
    pub fn per_s(self) -> f64 {
        self.per_s
    }

    /// Returns the number of requests that may arrive at once after a pause.
    #[inline]
    pub fn burst(self) -> u32 {
        self.burst
    }

    /// Returns the version of the configuration that defines the limit.
    #[inline]
    pub fn version(self) -> u64 {
        self.version
    }

    /// Reports whether the limit could have been created by
    /// [`try_new`](Self::try_new). A decoded limit may be invalid.
    pub fn is_valid(self) -> bool {
        Self::try_new(self.per_s, self.burst).is_ok()
    }
}

/// Why a rate limit is invalid.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RateLimitError {
    /// The rate is not above 0, too high, or NaN.
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

/// Tolerance of a rate limit: in each window, a customer may be served `(rate
/// x window + burst) x (1 + excess) + slack` requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tolerance {
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Fraction of the limit that may be served beyond it.
    pub excess: f64,
    /// Number of requests that may be served beyond the limit.
    pub slack: u32,
}

impl Default for Tolerance {
    /// No tolerance, in windows of five seconds.
    fn default() -> Self {
        Self {
            window_ms: 5_000,
            excess: 0.0,
            slack: 0,
        }
    }
}

/// Maximum time between the count of a request and its service, in
/// milliseconds. A window may serve as much of the rate in addition.
const IN_FLIGHT_MS: f64 = 200.0;

/// Fraction of the requests of a window beyond its rate that may be used at
/// once after a pause.
const BURST_FRACTION: f64 = 0.55;

/// Fraction of these requests that counters without any history start with.
/// The counters may be lost twice in a window.
const INITIAL_FRACTION: f64 = 0.2;

/// Minimum burst, in requests. Each of the two replicas has half of it, and a
/// replica with less than one token would never admit a request.
const MIN_BURST_TOKENS: f64 = 2.0;

impl Tolerance {
    /// Returns the maximum number of requests in one window.
    pub fn max_in_window(self, limit: RateLimit) -> f64 {
        let window_s = self.window_ms as f64 / 1_000.0;
        let exact = limit.per_s * window_s + f64::from(limit.burst);
        exact * (1.0 + self.excess) + f64::from(self.slack)
    }

    /// Returns the number of requests that may arrive at once after a pause,
    /// over the whole fleet.
    ///
    /// This is more than the configured burst if the tolerance has a slack. A
    /// customer with a few requests per second has a burst of a few, and
    /// random variation alone would cause one in ten of its requests to be
    /// refused.
    pub fn burst_tokens(self, limit: RateLimit) -> f64 {
        (self.excess_over_rate(limit) * BURST_FRACTION).max(MIN_BURST_TOKENS)
    }

    /// Returns the tokens that all counters of a customer together start with
    /// if they have no history.
    ///
    /// Without them, customers far below their limits are refused for seconds
    /// after all counters were lost at once.
    pub fn initial_tokens(self, limit: RateLimit) -> f64 {
        self.excess_over_rate(limit) * INITIAL_FRACTION
    }

    /// Returns the number of requests in a window beyond those that the rate
    /// permits.
    fn excess_over_rate(self, limit: RateLimit) -> f64 {
        let rate_ms = self.window_ms as f64 + IN_FLIGHT_MS;
        let by_rate = limit.per_s * rate_ms / 1_000.0;
        (self.max_in_window(limit) - by_rate).max(0.0)
    }
}

/// Proof that a request was counted, or that it has no limit.
///
/// For a customer with a limit, only a limiter can create a permit.
#[derive(Debug)]
#[must_use = "a counted request that is not sent wastes its customer's quota"]
pub struct QuotaPermit(());

impl QuotaPermit {
    /// Returns the permit of a request that no limit applies to.
    pub fn unlimited() -> Self {
        Self(())
    }

    pub(crate) fn new() -> Self {
        Self(())
    }
}
