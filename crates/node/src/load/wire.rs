//! Encoding and validation of load updates.

use std::fmt;

use fleet::IncarnationKey;
use jobs::ReportVersion;
use serde::{Deserialize, Serialize};

/// Version of the update format. Other versions are refused, since the same
/// fields may have different meanings.
const VERSION: u32 = 2;

/// Maximum size of a received datagram.
pub(super) const DATAGRAM_BYTES: usize = 8 * 1024;

/// Maximum number of counts in a datagram, so that it fits a packet of 1,500
/// bytes with keys of 20 digits.
pub(super) const MAX_COUNTS: usize = 40;

/// Maximum valid count of requests of one node at one endpoint; more than a
/// front can have open in total.
const MAX_COUNT: u32 = 100_000;

/// The set of fronts whose requests an update counts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Kind {
    /// The front that sends the update.
    Own,
    /// All fronts except the one that receives the update.
    Others,
}

/// Load update in one datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LoadUpdate {
    version: u32,
    kind: Kind,
    node: String,
    #[serde(rename = "stamp")]
    report_version: ReportVersion,
    #[serde(rename = "whole")]
    is_full: bool,
    counts: Vec<(IncarnationKey, u32)>,
    /// Open items of the sender's jobs, if it is a worker.
    open_items: Option<u32>,
}

/// Reason for which an update is refused.
#[derive(Debug)]
pub(super) enum UpdateError {
    /// The datagram is not a valid update.
    Malformed(serde_json::Error),
    /// The update has another format version.
    UnsupportedVersion(u32),
    /// The update has more than the maximum number of counts.
    TooManyCounts(usize),
    /// A count exceeds the maximum.
    CountTooLarge(u32),
}

impl fmt::Display for UpdateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(error) => write!(f, "malformed: {error}"),
            Self::UnsupportedVersion(version) => {
                write!(f, "unsupported version {version}")
            }
            Self::TooManyCounts(counts) => {
                write!(f, "too many counts: {counts}")
            }
            Self::CountTooLarge(count) => {
                write!(f, "count too large: {count}")
            }
        }
    }
}

impl LoadUpdate {
    pub(super) fn new(
        kind: Kind,
        node: &str,
        report_version: ReportVersion,
        is_full: bool,
        counts: Vec<(IncarnationKey, u32)>,
    ) -> Self {
        Self {
            version: VERSION,
            kind,
            node: node.to_owned(),
            report_version,
            is_full,
            counts,
            open_items: None,
        }
    }

    /// Sets the number of the sender's open items.
    pub(super) fn with_open_items(mut self, open_items: Option<u32>) -> Self {
        self.open_items = open_items;
        self
    }

    pub(super) fn open_items(&self) -> Option<u32> {
        self.open_items
    }

    pub(super) fn encode(&self) -> Vec<u8> {
        // Serialization of strings and numbers cannot fail.
        serde_json::to_vec(self).unwrap_or_default()
    }

    pub(super) fn decode(bytes: &[u8]) -> Result<Self, UpdateError> {
        let update: Self =
            serde_json::from_slice(bytes).map_err(UpdateError::Malformed)?;
        if update.version != VERSION {
            return Err(UpdateError::UnsupportedVersion(update.version));
        }
        if update.counts.len() > MAX_COUNTS {
            return Err(UpdateError::TooManyCounts(update.counts.len()));
        }
        let largest = update.counts.iter().map(|(_, count)| *count).max();
        match largest {
            Some(count) if count > MAX_COUNT => {
                Err(UpdateError::CountTooLarge(count))
            }
            _ => Ok(update),
        }
    }

    pub(super) fn kind(&self) -> Kind {
        self.kind
    }

    pub(super) fn node(&self) -> &str {
        &self.node
    }

    pub(super) fn report_version(&self) -> ReportVersion {
        self.report_version
    }

    pub(super) fn is_full(&self) -> bool {
        self.is_full
    }

    pub(super) fn counts(&self) -> &[(IncarnationKey, u32)] {
        &self.counts
    }
}

#[cfg(test)]
#[path = "../../tests/unit/load_wire.rs"]
mod tests;
