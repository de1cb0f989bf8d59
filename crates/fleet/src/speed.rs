//! Speed of endpoints: estimates from streams, and classes for placement.

mod average;
mod combine;
mod endpoint;
mod service;
mod usual;

use serde::{Deserialize, Serialize};

pub(crate) use self::endpoint::SpeedState;
pub use self::{
    combine::{MAX_REPORT_SAMPLES, SpeedReports},
    endpoint::{MAX_INTERVAL_US, SpeedEstimate, SpeedSample},
    service::{
        MAX_MEDIAN_ENDPOINTS, ServiceSpeed, ServiceSpeeds, SpeedChange,
    },
};

/// When the speed of endpoints affects the placement of requests.
///
/// # Example
///
/// ```
/// use pomeloslip_fleet::EndpointSpeed;
///
/// assert_eq!(EndpointSpeed::parse("always"), Some(EndpointSpeed::Always));
/// assert_eq!(EndpointSpeed::parse("sometimes"), None);
/// ```
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum EndpointSpeed {
    /// For services whose endpoints have recently reported a slowdown.
    #[default]
    Reported,
    /// For all services with streams.
    Always,
    /// Never.
    Off,
}

impl EndpointSpeed {
    /// Returns the value of a command-line flag, if it is valid.
    pub fn parse(word: &str) -> Option<Self> {
        match word {
            "reported" => Some(Self::Reported),
            "always" => Some(Self::Always),
            "off" => Some(Self::Off),
            _ => None,
        }
    }
}

/// Speed of an endpoint relative to the other endpoints of its service; the
/// fastest class is the smallest.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum SpeedClass {
    /// Intervals below 0.8 of the median.
    Fast,
    /// Intervals near the median, or unknown.
    #[default]
    Usual,
    /// Intervals from 1.25 times the median.
    Slow,
    /// Intervals from 2.5 times the median.
    VerySlow,
}

/// Lower bounds of the classes after `Fast`, in permille of the median.
///
/// A stream at a usual endpoint takes up to half of its latency target, so an
/// endpoint from 2.5 on misses the target even with a free slot.
const CLASS_BOUNDS_PERMILLE: [u64; 3] = [800, 1_250, 2_500];

/// Part of a bound by which a ratio must pass it to change the class, in
/// permille. Estimates of an endpoint at a bound vary by a few percent, and
/// its requests would otherwise move with each sample.
const HYSTERESIS_PERMILLE: u64 = 50;

impl SpeedClass {
    /// All classes, the fastest first.
    pub const ALL: [Self; 4] =
        [Self::Fast, Self::Usual, Self::Slow, Self::VerySlow];

    /// Returns the class of a ratio in permille, if the class was `self`
    /// before.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_fleet::SpeedClass;
    ///
    /// let usual = SpeedClass::Usual;
    /// assert_eq!(usual.with_ratio(1_300), SpeedClass::Usual);
    /// assert_eq!(usual.with_ratio(1_320), SpeedClass::Slow);
    /// assert_eq!(SpeedClass::Slow.with_ratio(1_200), SpeedClass::Slow);
    /// ```
    #[must_use]
    pub fn with_ratio(self, ratio_permille: u64) -> Self {
        let before = self as usize;
        let bounds = CLASS_BOUNDS_PERMILLE.iter().enumerate();
        let passed = bounds.filter(|(index, bound)| {
            let factor_permille = match before <= *index {
                true => 1_000 + HYSTERESIS_PERMILLE,
                false => 1_000 - HYSTERESIS_PERMILLE,
            };
            ratio_permille * 1_000 >= **bound * factor_permille
        });
        Self::ALL[passed.count()]
    }

    /// Returns the name of the class for logs and metrics.
    #[inline]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Fast => "fast",
            Self::Usual => "usual",
            Self::Slow => "slow",
            Self::VerySlow => "very_slow",
        }
    }

    pub(crate) fn from_index(index: u8) -> Self {
        Self::ALL
            .get(usize::from(index))
            .copied()
            .unwrap_or_default()
    }
}
