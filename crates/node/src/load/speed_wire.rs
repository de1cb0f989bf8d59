//! Encoding and validation of messages about the speed of endpoints.

use std::fmt;

use fleet::{
    IncarnationKey, MAX_INTERVAL_US, MAX_REPORT_SAMPLES, SpeedEstimate,
};
use jobs::ReportVersion;
use serde::{Deserialize, Serialize};

use super::wire::{LoadUpdate, MAX_COUNTS, UpdateError};

/// Version of the message format.
const VERSION: u32 = 1;

/// Maximum number of endpoints in a message that is sent, so that it fits a
/// packet of 1,500 bytes; up to [`MAX_COUNTS`] are accepted.
pub(super) const MAX_SENT_SPEEDS: usize = 28;

/// The kind distinguishes the messages from load updates, which nodes of
/// earlier versions refuse without further effect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum SpeedKind {
    Speeds,
}

/// Estimate of one endpoint: its key, the intervals in microseconds with up
/// to half of the slots in use and with more, and the number of samples.
type Entry = (IncarnationKey, Option<u32>, Option<u32>, u32);

/// Estimates of the speed of endpoints in one datagram: those of a front, or
/// those that a worker has combined.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct SpeedUpdate {
    version: u32,
    kind: SpeedKind,
    node: String,
    #[serde(rename = "stamp")]
    report_version: ReportVersion,
    speeds: Vec<Entry>,
}

/// Reason for which a message is refused.
#[derive(Debug)]
pub(super) enum SpeedError {
    /// The datagram is not a valid message.
    Malformed(serde_json::Error),
    /// The message has another format version.
    UnsupportedVersion(u32),
    /// The message names more than the maximum number of endpoints.
    TooManySpeeds(usize),
    /// An entry has no interval, or a number out of range.
    OutOfRange,
}

impl fmt::Display for SpeedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(error) => write!(f, "malformed: {error}"),
            Self::UnsupportedVersion(version) => {
                write!(f, "unsupported version {version} of speeds")
            }
            Self::TooManySpeeds(speeds) => {
                write!(f, "too many speeds: {speeds}")
            }
            Self::OutOfRange => f.write_str("a speed is out of range"),
        }
    }
}

impl SpeedUpdate {
    pub(super) fn new(
        node: &str,
        report_version: ReportVersion,
        speeds: &[(IncarnationKey, SpeedEstimate)],
    ) -> Self {
        let entry = |(key, estimate): &(IncarnationKey, SpeedEstimate)| {
            let samples = estimate.samples.clamp(1, MAX_REPORT_SAMPLES);
            (*key, estimate.low_us, estimate.high_us, samples)
        };
        Self {
            version: VERSION,
            kind: SpeedKind::Speeds,
            node: node.to_owned(),
            report_version,
            speeds: speeds.iter().map(entry).collect(),
        }
    }

    pub(super) fn encode(&self) -> Vec<u8> {
        // Serialization of strings and numbers cannot fail.
        serde_json::to_vec(self).unwrap_or_default()
    }

    pub(super) fn decode(bytes: &[u8]) -> Result<Self, SpeedError> {
        let update: Self =
            serde_json::from_slice(bytes).map_err(SpeedError::Malformed)?;
        if update.version != VERSION {
            return Err(SpeedError::UnsupportedVersion(update.version));
        }
        if update.speeds.len() > MAX_COUNTS {
            return Err(SpeedError::TooManySpeeds(update.speeds.len()));
        }
        match update.speeds.iter().all(is_in_range) {
            true => Ok(update),
            false => Err(SpeedError::OutOfRange),
        }
    }

    pub(super) fn node(&self) -> &str {
        &self.node
    }

    pub(super) fn report_version(&self) -> ReportVersion {
        self.report_version
    }

    pub(super) fn speeds(
        &self,
    ) -> impl Iterator<Item = (IncarnationKey, SpeedEstimate)> {
        self.speeds.iter().map(|(key, low_us, high_us, samples)| {
            let estimate = SpeedEstimate {
                low_us: *low_us,
                high_us: *high_us,
                samples: *samples,
            };
            (*key, estimate)
        })
    }
}

fn is_in_range((_, low_us, high_us, samples): &Entry) -> bool {
    let mut intervals = low_us.iter().chain(high_us);
    (low_us.is_some() || high_us.is_some())
        && intervals.all(|us| (1..=MAX_INTERVAL_US).contains(us))
        && (1..=MAX_REPORT_SAMPLES).contains(samples)
}

/// A datagram on the load port.
#[derive(Debug)]
pub(super) enum Message {
    /// Numbers of requests.
    Load(LoadUpdate),
    /// Estimates of speed.
    Speeds(SpeedUpdate),
}

/// Reason for which a datagram is refused.
#[derive(Debug)]
pub(super) enum MessageError {
    /// The reason for a load update, or a datagram of unknown kind.
    Load(UpdateError),
    /// The reason for estimates of speed.
    Speeds(SpeedError),
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Load(error) => error.fmt(f),
            Self::Speeds(error) => error.fmt(f),
        }
    }
}

/// The part of a message that tells its kind.
#[derive(Deserialize)]
struct Head {
    kind: SpeedKind,
}

impl Message {
    /// Decodes a datagram. Load updates, which are the most frequent, are
    /// decoded once.
    pub(super) fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        let error = match LoadUpdate::decode(bytes) {
            Ok(update) => return Ok(Self::Load(update)),
            Err(error) => error,
        };
        match serde_json::from_slice::<Head>(bytes) {
            Ok(Head {
                kind: SpeedKind::Speeds,
            }) => SpeedUpdate::decode(bytes)
                .map(Self::Speeds)
                .map_err(MessageError::Speeds),
            Err(_) => Err(MessageError::Load(error)),
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/speed_wire.rs"]
mod tests;
