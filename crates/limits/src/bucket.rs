use base::Millis;

/// Parts of a token that a bucket counts in. With whole parts, low rates
/// lose nothing to rounding, however often they are asked.
const PARTS: u64 = 1_000_000_000;

/// Parts that a rate of one token a second brings each millisecond.
const PARTS_PER_MS: f64 = 1_000_000.0;

/// Longest wait that is told, in milliseconds.
const WAIT_MAX_MS: u64 = 3_600_000;

/// Limits a rate: tokens come in at a steady rate up to a burst, and each
/// request takes one.
///
/// It holds no reservations. A queue inside the limit was rejected: a
/// request over the limit gets its refusal at once, with the time to come
/// back, and does not wait near its deadline.
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
    parts_per_ms: u64,
    capacity: u64,
    parts: u64,
    updated: Millis,
}

impl TokenBucket {
    /// Makes a full bucket; a burst of 0 is taken as 1, since no request
    /// could ever pass otherwise.
    pub fn new(rate_per_s: f64, burst: u32, now: Millis) -> Self {
        let capacity = u64::from(burst.max(1)) * PARTS;
        Self {
            parts_per_ms: parts_per_ms(rate_per_s),
            capacity,
            parts: capacity,
            updated: now,
        }
    }

    /// Makes an empty bucket: for a counter that does not know what was let
    /// through before it started.
    pub fn empty(rate_per_s: f64, burst: u32, now: Millis) -> Self {
        Self {
            parts: 0,
            ..Self::new(rate_per_s, burst, now)
        }
    }

    /// Changes rate and burst and keeps what is in the bucket, so that a
    /// configuration change is no second burst.
    pub fn set(&mut self, rate_per_s: f64, burst: u32, now: Millis) {
        self.refill(now);
        self.parts_per_ms = parts_per_ms(rate_per_s);
        self.capacity = u64::from(burst.max(1)) * PARTS;
        self.parts = self.parts.min(self.capacity);
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// [`OverLimit`] if there is none; nothing is taken then.
    pub fn try_take(&mut self, now: Millis) -> Result<(), OverLimit> {
        self.refill(now);
        if let Some(rest) = self.parts.checked_sub(PARTS) {
            self.parts = rest;
            return Ok(());
        }
        let missing = PARTS - self.parts;
        let wait_ms = match self.parts_per_ms {
            0 => WAIT_MAX_MS,
            rate => missing.div_ceil(rate).min(WAIT_MAX_MS),
        };
        Err(OverLimit::new(wait_ms))
    }

    /// Gives one token back that was taken for a request which then did not
    /// run for another reason.
    pub fn refund(&mut self) {
        self.parts = (self.parts + PARTS).min(self.capacity);
    }

    /// Returns the whole tokens that are there.
    pub fn available(&mut self, now: Millis) -> u32 {
        self.refill(now);
        u32::try_from(self.parts / PARTS).unwrap_or(u32::MAX)
    }

    fn refill(&mut self, now: Millis) {
        let elapsed_ms = now.saturating_ms_since(self.updated);
        let parts = elapsed_ms.saturating_mul(self.parts_per_ms);
        self.parts = self.parts.saturating_add(parts).min(self.capacity);
        self.updated = self.updated.max(now);
    }
}

fn parts_per_ms(rate_per_s: f64) -> u64 {
    // The cast saturates, and takes what is no number as 0.
    (rate_per_s * PARTS_PER_MS).round() as u64
}

/// Says that a limit is reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OverLimit {
    retry_after_ms: u64,
}

impl OverLimit {
    pub(crate) fn new(retry_after_ms: u64) -> Self {
        Self { retry_after_ms }
    }

    /// Returns the wait after which it makes sense to come back, in
    /// milliseconds.
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
