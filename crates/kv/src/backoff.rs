use base::Millis;

/// Exponential backoff with full jitter for the attempts of one caller.
///
/// The delay is uniform between 1 ms and a ceiling that doubles after each
/// failure. A fixed delay was rejected: after an outage all callers would
/// retry at the same moment and overload the key-value service again.
///
/// # Example
///
/// ```
/// use base::Millis;
/// use pomeloslip_kv::Backoff;
///
/// let mut backoff = Backoff::new(100, 1_000);
/// let now = Millis::new(0);
/// assert!(backoff.is_ready(now));
/// let retry_at = backoff.record_failure(now, u64::MAX);
/// assert!(retry_at > now && retry_at.as_ms() <= 100);
/// assert!(!backoff.is_ready(now));
/// backoff.record_success();
/// assert!(backoff.is_ready(now));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    base_ms: u64,
    max_ms: u64,
    failures: u32,
    next_at: Millis,
}

impl Backoff {
    /// Creates a backoff whose ceiling starts at `base_ms` and grows up to
    /// `max_ms`.
    pub const fn new(base_ms: u64, max_ms: u64) -> Self {
        Self {
            base_ms,
            max_ms,
            failures: 0,
            next_at: Millis::new(0),
        }
    }

    /// Records a failure and returns the time of the next attempt.
    pub fn record_failure(&mut self, now: Millis, random: u64) -> Millis {
        let ceiling_ms = self.ceiling_ms();
        self.failures = self.failures.saturating_add(1);
        self.next_at = now.saturating_add_ms(1 + random % ceiling_ms);
        self.next_at
    }

    /// Records a success, so that the next attempt may follow immediately.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.next_at = Millis::new(0);
    }

    /// Reports whether the next attempt may start.
    #[inline]
    pub fn is_ready(&self, now: Millis) -> bool {
        now >= self.next_at
    }

    /// Returns the number of failures since the last success.
    #[inline]
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns the maximum delay after the next failure.
    pub fn ceiling_ms(&self) -> u64 {
        let factor = 1_u64.checked_shl(self.failures).unwrap_or(u64::MAX);
        let grown = self.base_ms.saturating_mul(factor);
        grown.min(self.max_ms).max(1)
    }
}
