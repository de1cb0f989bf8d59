//! Calendar conditions, and the time at which they are evaluated.

use std::{cell::OnceCell, fmt};

use base::UnixMillis;
use conf::nearest;
use jiff::{
    Timestamp,
    civil::{Date, DateTime, Time},
    tz::{TimeZone, TimeZoneDatabase},
};
use serde::{Deserialize, Serialize};

/// An IANA time zone, such as `Europe/Tallinn`.
///
/// Time zone data is bundled with the program instead of read from the host,
/// so that all hosts decide alike at the same time.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Zone {
    name: String,
    zone: TimeZone,
}

impl Zone {
    /// Returns the name of the zone.
    #[inline]
    pub fn as_str(&self) -> &str {
        &self.name
    }

    fn civil(&self, at: UnixMillis) -> DateTime {
        let ms = i64::try_from(at.as_ms()).unwrap_or(i64::MAX);
        let at = Timestamp::from_millisecond(ms).unwrap_or(Timestamp::MAX);
        self.zone.to_datetime(at)
    }
}

impl Default for Zone {
    fn default() -> Self {
        let name = "UTC".to_owned();
        let zone = TimeZone::UTC;
        Self { name, zone }
    }
}

impl TryFrom<String> for Zone {
    type Error = String;

    fn try_from(name: String) -> Result<Self, String> {
        let zones = TimeZoneDatabase::bundled();
        if let Ok(zone) = zones.get(&name) {
            return Ok(Self { name, zone });
        }
        let names: Vec<String> =
            zones.available().map(|name| name.to_string()).collect();
        let near = nearest(&name, names.iter().map(String::as_str));
        let near = near.map(|near| format!("; did you mean {near:?}?"));
        let near = near.unwrap_or_default();
        Err(format!("{name:?} is not an IANA time zone{near}"))
    }
}

impl From<Zone> for String {
    fn from(zone: Zone) -> String {
        zone.name
    }
}

/// A time of day, written as `HH:MM`.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct ClockTime(Time);

impl TryFrom<String> for ClockTime {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let parsed = Time::strptime("%H:%M", &text);
        parsed.map(ClockTime).map_err(|_| {
            format!("{text:?} is not a time of day from 00:00 to 23:59")
        })
    }
}

impl From<ClockTime> for String {
    fn from(clock: ClockTime) -> String {
        clock.to_string()
    }
}

impl fmt::Display for ClockTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:02}:{:02}", self.0.hour(), self.0.minute())
    }
}

/// A date, written as `YYYY-MM-DD`.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Day(Date);

impl TryFrom<String> for Day {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let parsed = Date::strptime("%Y-%m-%d", &text);
        parsed
            .map(Day)
            .map_err(|_| format!("{text:?} is not a date such as 2026-12-24"))
    }
}

impl From<Day> for String {
    fn from(day: Day) -> String {
        day.to_string()
    }
}

impl fmt::Display for Day {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A daily time range. It spans midnight if `from` is later than `to`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimeOfDay {
    /// First minute of the range.
    pub from: ClockTime,
    /// First minute after the range.
    pub to: ClockTime,
    /// Time zone; UTC by default.
    #[serde(default)]
    pub zone: Zone,
}

impl TimeOfDay {
    pub(crate) fn contains(&self, decision_time: &DecisionTime) -> bool {
        let time = ClockTime(self.zone.civil(decision_time.at()).time());
        if self.from <= self.to {
            return self.from <= time && time < self.to;
        }
        self.from <= time || time < self.to
    }
}

impl fmt::Display for TimeOfDay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{} {}", self.from, self.to, self.zone.as_str())
    }
}

/// A range of dates, both ends included.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DateRange {
    /// First day.
    pub from: Day,
    /// Last day.
    pub to: Day,
    /// Time zone in which the days begin and end; UTC by default.
    #[serde(default)]
    pub zone: Zone,
}

impl DateRange {
    pub(crate) fn contains(&self, decision_time: &DecisionTime) -> bool {
        let day = Day(self.zone.civil(decision_time.at()).date());
        self.from <= day && day <= self.to
    }
}

impl fmt::Display for DateRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}..{} {}", self.from, self.to, self.zone.as_str())
    }
}

/// The time of a decision, with its lazily formatted text.
#[derive(Debug)]
pub(crate) struct DecisionTime {
    at: UnixMillis,
    text: OnceCell<String>,
}

impl DecisionTime {
    pub(crate) fn new(at: UnixMillis) -> Self {
        let text = OnceCell::new();
        Self { at, text }
    }

    fn at(&self) -> UnixMillis {
        self.at
    }

    /// Formats the time in UTC for display.
    pub(crate) fn text(&self) -> &str {
        self.text.get_or_init(|| {
            let civil = Zone::default().civil(self.at);
            format!("{} UTC", civil.strftime("%Y-%m-%d %H:%M:%S"))
        })
    }
}
