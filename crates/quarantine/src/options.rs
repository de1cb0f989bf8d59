/// When a request is held, and for how long.
///
/// # Example
///
/// ```
/// use pomeloslip_quarantine::QuarantineOptions;
///
/// let options = QuarantineOptions::default();
/// assert!(options.hold_ms(0) < options.hold_ms(1));
/// assert_eq!(options.hold_ms(99), options.max_hold_ms);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuarantineOptions {
    /// Score from which on a request is held, see [`Crash::score`].
    ///
    /// [`Crash::score`]: crate::Crash::score
    pub quarantine_score: u32,
    /// How long it is held first.
    pub initial_hold_ms: u64,
    /// Each further crash without progress, or trial, multiplies that by this.
    pub hold_factor: u64,
    /// How long it is held at the most.
    pub max_hold_ms: u64,
    /// How long a request is remembered after its last crash or trial.
    pub retention_ms: u64,
    /// Requests that are remembered at the most; the ones that have been
    /// quiet for longest are forgotten first.
    pub max_records: usize,
}

impl Default for QuarantineOptions {
    /// Three crashes in a row without progress between them, which hardly
    /// ever happens to a sound request. The first hold ends before callers with a
    /// minute of patience have gone, so that a request that was held by
    /// mistake is soon found out.
    fn default() -> Self {
        Self {
            quarantine_score: 6,
            initial_hold_ms: 10_000,
            hold_factor: 6,
            max_hold_ms: 600_000,
            retention_ms: 600_000,
            max_records: 1_024,
        }
    }
}

impl QuarantineOptions {
    /// Returns how long a request is held after so many crashes or probes
    /// beyond the first hold, in milliseconds.
    pub fn hold_ms(&self, level: u32) -> u64 {
        let factor = self.hold_factor.saturating_pow(level);
        let hold_ms = self.initial_hold_ms.saturating_mul(factor);
        hold_ms.min(self.max_hold_ms)
    }
}
