use base::Millis;
use serde::{Deserialize, Serialize};

/// Time in which a body has to arrive.
///
/// # Example
///
/// ```
/// use pomeloslip_budget::BodyPace;
///
/// let pace = BodyPace { timeout_ms: 30_000, min_bytes_per_s: 1_024 };
/// assert_eq!(pace.allowed_ms(0), 30_000);
/// assert_eq!(pace.allowed_ms(10_240), 40_000);
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct BodyPace {
    /// Time for the first bytes, in milliseconds.
    pub timeout_ms: u64,
    /// Rate at which bytes extend that time, in bytes per second.
    pub min_bytes_per_s: u64,
}

impl Default for BodyPace {
    /// Callers wait for at most eight seconds from the first byte that they
    /// send, so that no body takes half of this time.
    fn default() -> Self {
        Self {
            timeout_ms: 30_000,
            min_bytes_per_s: 1_024,
        }
    }
}

impl BodyPace {
    /// Returns the time in which a body has to be complete of which this
    /// number of bytes has arrived, in milliseconds.
    pub fn allowed_ms(&self, received_bytes: u64) -> u64 {
        let extra_ms = received_bytes.saturating_mul(1_000);
        let extra_ms = extra_ms / self.min_bytes_per_s.max(1);
        self.timeout_ms.saturating_add(extra_ms)
    }
}

/// Number of bytes that count as progress. Single bytes do not, so that a
/// body that arrives byte by byte counts as stopped.
const PROGRESS_BYTES: u64 = 16 * 1024;

/// How fast a body arrives.
///
/// # Example
///
/// ```
/// use base::Millis;
/// use pomeloslip_budget::Pace;
///
/// let mut pace = Pace::new(Millis::new(0));
/// pace.record(1, Millis::new(900));
/// assert_eq!(pace.stalled_ms(Millis::new(1_000)), 1_000);
/// pace.record(20_000, Millis::new(1_000));
/// assert_eq!(pace.stalled_ms(Millis::new(1_500)), 500);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    progressed_at: Millis,
    since_bytes: u64,
}

impl Pace {
    /// Creates the pace of a body that is read from now on.
    pub fn new(now: Millis) -> Self {
        Self {
            progressed_at: now,
            since_bytes: 0,
        }
    }

    /// Records bytes that have arrived.
    pub fn record(&mut self, bytes: u64, now: Millis) {
        self.since_bytes += bytes;
        if self.since_bytes >= PROGRESS_BYTES {
            self.since_bytes = 0;
            self.progressed_at = now;
        }
    }

    /// Returns the time since the last progress, in milliseconds.
    pub fn stalled_ms(&self, now: Millis) -> u64 {
        now.saturating_ms_since(self.progressed_at)
    }
}
