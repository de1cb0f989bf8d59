use base::Millis;

/// Number of samples whose arithmetic mean is taken; later samples have the
/// weight `1 / MEAN_SAMPLES`.
const MEAN_SAMPLES: u32 = 8;

/// Time after which an estimate without new samples is discarded, in
/// milliseconds, so that an endpoint that is avoided is tried again.
pub(super) const ESTIMATE_TTL_MS: u64 = 20_000;

/// Maximum factor by which one sample changes an average.
const MAX_CHANGE: u32 = 2;

/// Moving average of the intervals between events.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Average {
    mean_us: u32,
    samples: u32,
    at: Millis,
}

impl Average {
    pub(super) fn add(&mut self, interval_us: u32, now: Millis) {
        let age_ms = now.saturating_ms_since(self.at);
        if self.samples == 0 || age_ms > ESTIMATE_TTL_MS {
            *self = Self {
                mean_us: interval_us,
                samples: 1,
                at: now,
            };
            return;
        }
        let weight = i64::from(self.samples.min(MEAN_SAMPLES - 1) + 1);
        let mean_us = i64::from(self.mean_us);
        let new_us = mean_us + (i64::from(interval_us) - mean_us) / weight;
        let new_us = u32::try_from(new_us).unwrap_or(u32::MAX);
        let lowest_us = (self.mean_us / MAX_CHANGE).max(1);
        let highest_us = self.mean_us.saturating_mul(MAX_CHANGE);
        self.mean_us = new_us.clamp(lowest_us, highest_us);
        self.samples = self.samples.saturating_add(1);
        self.at = now;
    }

    pub(super) fn mean_us(&self) -> u32 {
        self.mean_us
    }

    pub(super) fn samples(&self) -> u32 {
        self.samples
    }
}

/// A value and the time at which it was set, in one atomic word, so that both
/// are read consistently without a lock.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Stamped(u64);

/// Number of bits of the value: intervals up to 16 s in microseconds.
const VALUE_BITS: u32 = 24;

/// Number of bits of the time in milliseconds: 34 years.
const TIME_BITS: u32 = u64::BITS - VALUE_BITS;

impl Stamped {
    /// Creates a stamped value; 0 means that no value is known.
    pub(super) fn new(value: u32, at: Millis) -> Self {
        let value = u64::from(value.min((1 << VALUE_BITS) - 1));
        let at_ms = at.as_ms() & ((1 << TIME_BITS) - 1);
        Self((value << TIME_BITS) | at_ms)
    }

    pub(super) fn from_bits(bits: u64) -> Self {
        Self(bits)
    }

    pub(super) fn to_bits(self) -> u64 {
        self.0
    }

    /// Returns the value and its age if it is known and not too old.
    pub(super) fn within(
        self,
        max_age_ms: u64,
        now: Millis,
    ) -> Option<(u32, u64)> {
        let value = (self.0 >> TIME_BITS) as u32;
        let at_ms = self.0 & ((1 << TIME_BITS) - 1);
        let age_ms = now.as_ms().saturating_sub(at_ms);
        (value != 0 && age_ms <= max_age_ms).then_some((value, age_ms))
    }
}
