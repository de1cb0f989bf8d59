use base::Millis;

/// Spaces the attempts of one caller, longer after each failure.
///
/// The pause is drawn evenly from 1 ms to a ceiling that doubles (full
/// jitter). A fixed pause was rejected: after an outage all callers would
/// come back at the same moment and bring the service down again.
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
/// let again = backoff.record_failure(now, u64::MAX);
/// assert!(again > now && again.as_ms() <= 100);
/// assert!(!backoff.is_ready(now));
/// backoff.record_success();
/// assert!(backoff.is_ready(now));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    base_ms: u64,
    cap_ms: u64,
    failures: u32,
    next_at: Millis,
}

impl Backoff {
    /// Starts with a ceiling of `base_ms` that grows up to `cap_ms`.
    pub const fn new(base_ms: u64, cap_ms: u64) -> Self {
        Self {
            base_ms,
            cap_ms,
            failures: 0,
            next_at: Millis::new(0),
        }
    }

    /// Takes note of a failure and returns when to try again.
    pub fn record_failure(&mut self, now: Millis, random: u64) -> Millis {
        let ceiling_ms = self.ceiling_ms();
        self.failures = self.failures.saturating_add(1);
        self.next_at = now.saturating_add_ms(1 + random % ceiling_ms);
        self.next_at
    }

    /// Takes note of a success: the next attempt may follow at once.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.next_at = Millis::new(0);
    }

    /// Tells whether the next attempt may be made.
    #[inline]
    pub fn is_ready(&self, now: Millis) -> bool {
        now >= self.next_at
    }

    /// Returns the failures since the last success.
    #[inline]
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns the longest pause that the next failure can cause.
    pub fn ceiling_ms(&self) -> u64 {
        let factor = 1_u64.checked_shl(self.failures).unwrap_or(u64::MAX);
        let grown = self.base_ms.saturating_mul(factor);
        grown.min(self.cap_ms).max(1)
    }
}
