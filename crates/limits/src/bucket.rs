use base::Millis;

/// Units per token. A bucket counts in integer units, so that low rates lose
/// nothing to rounding, however often the bucket is used.
const UNITS_PER_TOKEN: u64 = 1_000_000_000;

/// Units per millisecond at a rate of one token per second.
const UNITS_PER_MS: f64 = 1_000_000.0;

/// Maximum retry delay in a refusal, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 3_600_000;

/// Limits a rate: tokens accrue at a steady rate up to a burst, and each
/// request takes one.
///
/// The bucket holds no reservations. A queue inside the limit was rejected: a
/// request over the limit is refused at once, with the time after which to
/// retry, and does not wait until close to its deadline.
///
/// # Example
///
/// ```
/// use base::Millis;
/// use pomeloslip_limits::TokenBucket;
///
/// let mut bucket = TokenBucket::new(2.0, 1, Millis::new(0));
/// assert!(bucket.try_take(Millis::new(0)).is_ok());
/// let refused = bucket.try_take(Millis::new(0)).unwrap_err();
/// assert_eq!(refused.retry_after_ms(), 500);
/// assert!(bucket.try_take(Millis::new(500)).is_ok());
/// ```
#[derive(Clone, Debug)]
pub struct TokenBucket {
    units_per_ms: u64,
    capacity: u64,
    units: u64,
    updated: Millis,
}

impl TokenBucket {
    /// Creates a full bucket. A burst of 0 is treated as 1, since no request
    /// could ever pass otherwise.
    pub fn new(rate_per_s: f64, burst: u32, now: Millis) -> Self {
        let capacity = u64::from(burst.max(1)) * UNITS_PER_TOKEN;
        Self {
            units_per_ms: units_per_ms(rate_per_s),
            capacity,
            units: capacity,
            updated: now,
        }
    }

    /// Creates an empty bucket, for a counter that does not know how many
    /// requests were admitted before it started.
    pub fn empty(rate_per_s: f64, burst: u32, now: Millis) -> Self {
        Self {
            units: 0,
            ..Self::new(rate_per_s, burst, now)
        }
    }

    /// Changes rate and burst but keeps the current tokens, so that a
    /// configuration change does not permit a second burst.
    pub fn set(&mut self, rate_per_s: f64, burst: u32, now: Millis) {
        self.refill(now);
        self.units_per_ms = units_per_ms(rate_per_s);
        self.capacity = u64::from(burst.max(1)) * UNITS_PER_TOKEN;
        self.units = self.units.min(self.capacity);
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// [`OverLimit`] if no token is available; the bucket is unchanged then.
    pub fn try_take(&mut self, now: Millis) -> Result<(), OverLimit> {
        self.refill(now);
        if let Some(remaining) = self.units.checked_sub(UNITS_PER_TOKEN) {
            self.units = remaining;
            return Ok(());
        }
        let missing = UNITS_PER_TOKEN - self.units;
        let retry_after_ms = match self.units_per_ms {
            0 => MAX_RETRY_AFTER_MS,
            rate => missing.div_ceil(rate).min(MAX_RETRY_AFTER_MS),
        };
        Err(OverLimit::new(retry_after_ms))
    }

    /// Returns the token of a request that was then not run for another
    /// reason.
    pub fn refund(&mut self) {
        self.units = (self.units + UNITS_PER_TOKEN).min(self.capacity);
    }

    /// Returns the number of whole tokens that are available.
    pub fn available(&mut self, now: Millis) -> u32 {
        self.refill(now);
        u32::try_from(self.units / UNITS_PER_TOKEN).unwrap_or(u32::MAX)
    }

    fn refill(&mut self, now: Millis) {
        let elapsed_ms = now.saturating_ms_since(self.updated);
        let units = elapsed_ms.saturating_mul(self.units_per_ms);
        self.units = self.units.saturating_add(units).min(self.capacity);
        self.updated = self.updated.max(now);
    }
}

fn units_per_ms(rate_per_s: f64) -> u64 {
    // The cast saturates and converts NaN to 0.
    (rate_per_s * UNITS_PER_MS).round() as u64
}

/// Error for a request over a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OverLimit {
    retry_after_ms: u64,
}

impl OverLimit {
    pub(crate) fn new(retry_after_ms: u64) -> Self {
        Self { retry_after_ms }
    }

    /// Returns the time after which to retry, in milliseconds.
    #[inline]
    pub fn retry_after_ms(self) -> u64 {
        self.retry_after_ms
    }
}

impl std::fmt::Display for OverLimit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "over the limit, retry after {} ms", self.retry_after_ms)
    }
}

impl std::error::Error for OverLimit {}
