/// Options that decide when a request is quarantined and for how long.
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
    /// Minimum score of a request that is quarantined, see [`Crash::score`].
    ///
    /// [`Crash::score`]: crate::Crash::score
    pub quarantine_score: u32,
    /// Duration of the first quarantine.
    pub initial_hold_ms: u64,
    /// Factor by which each further crash without progress, or each probe,
    /// multiplies the duration.
    pub hold_factor: u64,
    /// Maximum duration of a quarantine.
    pub max_hold_ms: u64,
    /// Retention of a record after its last crash or probe.
    pub retention_ms: u64,
    /// Maximum number of records; the least recently changed ones are evicted
    /// first.
    pub max_records: usize,
}

impl Default for QuarantineOptions {
    /// Quarantines a request after three consecutive crashes without progress,
    /// which rarely happen to a harmless request. The first quarantine ends
    /// before callers with a timeout of a minute give up, so that a request
    /// that was quarantined by mistake is probed in time.
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
    /// Returns the duration of a quarantine in milliseconds, after `level`
    /// crashes or probes beyond the first quarantine.
    pub fn hold_ms(&self, level: u32) -> u64 {
        let factor = self.hold_factor.saturating_pow(level);
        let hold_ms = self.initial_hold_ms.saturating_mul(factor);
        hold_ms.min(self.max_hold_ms)
    }
}
