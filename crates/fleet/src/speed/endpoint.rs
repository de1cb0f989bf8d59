//! The speed of one incarnation of an endpoint.

use std::sync::{
    Mutex, PoisonError,
    atomic::{AtomicBool, AtomicU8, AtomicU32, AtomicU64, Ordering},
};

use base::Millis;

use super::{
    SpeedClass,
    average::{Average, ESTIMATE_TTL_MS, Stamped},
    usual::UsualSlowdown,
};
use crate::Endpoint;

/// Maximum valid interval between events in microseconds: ten times the
/// longest pause after which an endpoint counts as silent.
pub const MAX_INTERVAL_US: u32 = 10_000_000;

/// Minimum number of events of a stream that gives a sample.
const MIN_EVENTS: u64 = 4;

/// Slowdown, in percent of what the endpoint reports usually, from which on a
/// sample is not used: it shows a momentary state and not the constant speed.
const MAX_SAMPLE_SLOWDOWN_PERCENT: u32 = 130;

/// Time for which a reported slowdown is used, in milliseconds; slowdowns
/// last about 600 ms.
const SLOWDOWN_TTL_MS: u64 = 300;

/// Time for which a combined estimate of several nodes is used, in
/// milliseconds: ten of the intervals in which it is sent.
pub(super) const COMBINED_TTL_MS: u64 = 10_000;

/// Number of own samples from which on a combined estimate that contradicts
/// them is not used.
const TRUSTED_SAMPLES: u32 = 8;

/// Factor by which a combined estimate contradicts own samples.
const MAX_DISAGREEMENT: u64 = 2;

/// A slowdown in percent at which work takes its usual time.
pub(super) const USUAL_PERCENT: u32 = 100;

/// Measurement of one stream.
///
/// # Example
///
/// ```
/// use pomeloslip_fleet::SpeedSample;
///
/// let sample = SpeedSample::of_stream(5, 80_000, 3, None);
/// assert_eq!(sample.expect("enough events").interval_us(), 20_000);
/// assert!(SpeedSample::of_stream(3, 80_000, 3, None).is_none());
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SpeedSample {
    interval_us: u32,
    load: u32,
    slowdown_percent: Option<u32>,
}

impl SpeedSample {
    /// Creates the sample of a stream; none if it has too few events, or if
    /// all of them arrived at once, which shows nothing about their intervals.
    ///
    /// `span_us` is the time from its first to its last event. `load` and
    /// `slowdown_percent` are those of the endpoint when the response began.
    pub fn of_stream(
        events: u64,
        span_us: u64,
        load: u32,
        slowdown_percent: Option<u32>,
    ) -> Option<Self> {
        if events < MIN_EVENTS {
            return None;
        }
        let interval_us = span_us / (events - 1);
        let interval_us = interval_us.min(u64::from(MAX_INTERVAL_US)) as u32;
        (interval_us > 0).then_some(Self {
            interval_us,
            load,
            slowdown_percent,
        })
    }

    /// Returns the mean interval between events in microseconds.
    #[inline]
    pub fn interval_us(&self) -> u32 {
        self.interval_us
    }
}

/// Estimated intervals between events at one endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SpeedEstimate {
    /// Interval in microseconds with up to half of the slots in use.
    pub low_us: Option<u32>,
    /// Interval in microseconds with more slots in use.
    pub high_us: Option<u32>,
    /// Number of samples of both.
    pub samples: u32,
}

/// Whether at most half of an endpoint's slots are in use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LoadLevel {
    Low,
    High,
}

impl LoadLevel {
    fn of(load: u32, slots: u32) -> Self {
        match load.saturating_mul(2) <= slots {
            true => Self::Low,
            false => Self::High,
        }
    }

    fn other(self) -> Self {
        match self {
            Self::Low => Self::High,
            Self::High => Self::Low,
        }
    }
}

/// The averages of one level of load, as read by the placement of requests.
#[derive(Debug, Default)]
struct LevelState {
    own: AtomicU64,
    own_samples: AtomicU32,
    combined: AtomicU64,
}

impl LevelState {
    fn own(&self, now: Millis) -> Option<(u32, u64)> {
        let bits = self.own.load(Ordering::Relaxed);
        Stamped::from_bits(bits).within(ESTIMATE_TTL_MS, now)
    }

    /// Returns the interval to be used.
    fn interval_us(&self, now: Millis) -> Option<u32> {
        let own = self.own(now).map(|(interval_us, _)| interval_us);
        let bits = self.combined.load(Ordering::Relaxed);
        let combined = Stamped::from_bits(bits).within(COMBINED_TTL_MS, now);
        let combined = combined.map(|(interval_us, _)| interval_us);
        let (Some(own_us), Some(combined_us)) = (own, combined) else {
            return combined.or(own);
        };
        let is_trusted =
            self.own_samples.load(Ordering::Relaxed) >= TRUSTED_SAMPLES;
        match is_trusted && contradicts(own_us, combined_us) {
            true => Some(own_us),
            false => Some(combined_us),
        }
    }
}

fn contradicts(own_us: u32, combined_us: u32) -> bool {
    let (own_us, combined_us) = (u64::from(own_us), u64::from(combined_us));
    combined_us > own_us * MAX_DISAGREEMENT
        || own_us > combined_us * MAX_DISAGREEMENT
}

/// A class that is read and changed without a lock.
#[derive(Debug)]
struct ClassCell(AtomicU8);

impl Default for ClassCell {
    fn default() -> Self {
        Self(AtomicU8::new(SpeedClass::default() as u8))
    }
}

impl ClassCell {
    /// Determines the class of a ratio; returns the one before as well.
    fn update(&self, ratio_permille: u64) -> (SpeedClass, SpeedClass) {
        let before = SpeedClass::from_index(self.0.load(Ordering::Relaxed));
        let after = before.with_ratio(ratio_permille);
        if after != before {
            self.0.store(after as u8, Ordering::Relaxed);
        }
        (before, after)
    }
}

/// What a process knows of the speed of one incarnation.
///
/// Samples are added under a lock, once for each stream. Placement reads only
/// atomic values.
#[derive(Debug, Default)]
pub(crate) struct SpeedState {
    averages: Mutex<[Average; 2]>,
    low: LevelState,
    high: LevelState,
    usual_slowdown: UsualSlowdown,
    slowdown: AtomicU64,
    slowdown_seen: AtomicU64,
    class: ClassCell,
    lasting_class: ClassCell,
    has_new_samples: AtomicBool,
    has_invalid_slowdown: AtomicBool,
}

impl SpeedState {
    fn level(&self, level: LoadLevel) -> &LevelState {
        match level {
            LoadLevel::Low => &self.low,
            LoadLevel::High => &self.high,
        }
    }

    /// Records the slowdown of a load report; none if it is not known.
    pub(crate) fn record_slowdown(&self, percent: Option<u32>, now: Millis) {
        let Some(percent) = percent else {
            self.slowdown.store(0, Ordering::Relaxed);
            return;
        };
        self.usual_slowdown.record(percent, now);
        let momentary = self.momentary_percent(percent);
        let stamped = Stamped::new(momentary, now);
        self.slowdown.store(stamped.to_bits(), Ordering::Relaxed);
        self.slowdown_seen
            .store(stamped.to_bits(), Ordering::Relaxed);
    }

    /// Returns a reported slowdown in percent of what the endpoint reports
    /// usually, at least 100.
    fn momentary_percent(&self, reported: u32) -> u32 {
        let usual = self.usual_slowdown.get().max(1);
        let percent = reported.saturating_mul(USUAL_PERCENT) / usual;
        percent.max(USUAL_PERCENT)
    }

    /// Returns the momentary slowdown of the last report, in percent of what
    /// the endpoint reports usually.
    pub(super) fn slowdown_percent(&self, now: Millis) -> u32 {
        let bits = self.slowdown.load(Ordering::Relaxed);
        let recent = Stamped::from_bits(bits).within(SLOWDOWN_TTL_MS, now);
        recent.map_or(USUAL_PERCENT, |(percent, _)| percent)
    }

    /// Returns the age of the last valid slowdown.
    pub(super) fn slowdown_age_ms(&self, now: Millis) -> Option<u64> {
        let bits = self.slowdown_seen.load(Ordering::Relaxed);
        let seen = Stamped::from_bits(bits).within(u64::MAX, now);
        seen.map(|(_, age_ms)| age_ms)
    }

    /// Returns how slow the endpoint reports to be usually, in percent and at
    /// least 100: a report must not make an endpoint more preferred.
    pub(super) fn usual_slowdown_percent(&self) -> u32 {
        self.usual_slowdown.get().max(USUAL_PERCENT)
    }

    /// Returns the expected interval at a load.
    pub(super) fn interval_us(
        &self,
        load: u32,
        slots: u32,
        now: Millis,
    ) -> Option<u32> {
        let level = LoadLevel::of(load, slots);
        let interval_us = self.level(level).interval_us(now);
        interval_us.or_else(|| self.level(level.other()).interval_us(now))
    }

    /// Returns the expected interval with few requests.
    pub(super) fn low_interval_us(&self, now: Millis) -> Option<u32> {
        self.interval_us(0, 0, now)
    }

    /// Determines the class for placement.
    pub(super) fn update_class(&self, ratio_permille: u64) -> SpeedClass {
        self.class.update(ratio_permille).1
    }

    /// Determines the class without momentary slowdowns; returns the one
    /// before as well.
    pub(super) fn update_lasting_class(
        &self,
        ratio_permille: u64,
    ) -> (SpeedClass, SpeedClass) {
        self.lasting_class.update(ratio_permille)
    }
}

impl Endpoint {
    /// Records the measurement of a stream and returns whether it is used.
    pub fn record_sample(&self, sample: SpeedSample, now: Millis) -> bool {
        let state = self.speed();
        let slowdown = sample
            .slowdown_percent
            .map_or(USUAL_PERCENT, |percent| state.momentary_percent(percent));
        if slowdown >= MAX_SAMPLE_SLOWDOWN_PERCENT {
            return false;
        }
        let level = LoadLevel::of(sample.load, self.record().slots);
        let averages = state.averages.lock();
        let mut averages = averages.unwrap_or_else(PoisonError::into_inner);
        let average = &mut averages[level as usize];
        average.add(sample.interval_us, now);
        let level = state.level(level);
        let stamped = Stamped::new(average.mean_us(), now);
        level.own.store(stamped.to_bits(), Ordering::Relaxed);
        level
            .own_samples
            .store(average.samples(), Ordering::Relaxed);
        state.has_new_samples.store(true, Ordering::Relaxed);
        true
    }

    /// Returns the estimate from the samples of this process, if it has any.
    pub fn own_speed(&self, now: Millis) -> Option<SpeedEstimate> {
        let state = self.speed();
        let own = |level: &LevelState| {
            let (interval_us, _) = level.own(now)?;
            Some((interval_us, level.own_samples.load(Ordering::Relaxed)))
        };
        let (low, high) = (own(&state.low), own(&state.high));
        let samples = |level: Option<(u32, u32)>| level.map_or(0, |own| own.1);
        (low.is_some() || high.is_some()).then_some(SpeedEstimate {
            low_us: low.map(|own| own.0),
            high_us: high.map(|own| own.0),
            samples: samples(low).saturating_add(samples(high)),
        })
    }

    /// Returns the age of the newest sample of this process.
    pub fn sample_age_ms(&self, now: Millis) -> Option<u64> {
        let state = self.speed();
        let ages = [state.low.own(now), state.high.own(now)];
        ages.into_iter().flatten().map(|(_, age_ms)| age_ms).min()
    }

    /// Reports whether samples were recorded since the last call.
    pub fn take_new_samples(&self) -> bool {
        self.speed().has_new_samples.swap(false, Ordering::Relaxed)
    }

    /// Records an estimate that combines the samples of several nodes.
    pub fn record_combined_speed(&self, estimate: SpeedEstimate, now: Millis) {
        let state = self.speed();
        let levels = [
            (&state.low, estimate.low_us),
            (&state.high, estimate.high_us),
        ];
        for (level, interval_us) in levels {
            let Some(interval_us) = interval_us else {
                continue;
            };
            let stamped = Stamped::new(interval_us, now);
            level.combined.store(stamped.to_bits(), Ordering::Relaxed);
        }
    }

    /// Returns the expected interval between events with few requests, from
    /// own samples or those of other nodes.
    pub fn expected_interval_us(&self, now: Millis) -> Option<u32> {
        self.speed().low_interval_us(now)
    }

    /// Records that a report had an invalid slowdown; returns whether it was
    /// the first one of the incarnation.
    pub fn mark_slowdown_invalid(&self) -> bool {
        !self
            .speed()
            .has_invalid_slowdown
            .swap(true, Ordering::Relaxed)
    }
}
