//! How load updates are written, and what makes one invalid.

use std::fmt;

use fleet::IncarnationKey;
use jobs::ReportVersion;
use serde::{Deserialize, Serialize};

/// Form of the updates that this version writes. Another one is refused: the
/// two may mean different things by the same fields.
const VERSION: u32 = 2;

/// Largest datagram that is read.
pub(super) const DATAGRAM_BYTES: usize = 8 * 1024;

/// Counts in one datagram, so that it fits a packet of 1,500 bytes with keys
/// of twenty digits.
pub(super) const COUNTS_MOST: usize = 40;

/// Most requests that one node can have at one endpoint; what a front can
/// hold open at all is below that.
const COUNT_MOST: u32 = 100_000;

/// Whose requests an update counts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Kind {
    /// Those of the front that sends it.
    Own,
    /// Those of all fronts but the one that it is sent to.
    Others,
}

/// One datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LoadUpdate {
    version: u32,
    kind: Kind,
    node: String,
    stamp: ReportVersion,
    whole: bool,
    counts: Vec<(IncarnationKey, u32)>,
    /// Open items of the jobs that the sender runs, if it is a worker.
    open_items: Option<u32>,
}

/// Why an update is not heeded.
#[derive(Debug)]
pub(super) enum UpdateError {
    /// It is no update at all.
    Malformed(serde_json::Error),
    /// It is of another version.
    Version(u32),
    /// It has more counts than a datagram holds.
    TooMany(usize),
    /// A count is larger than any node can have.
    TooLarge(u32),
}

impl fmt::Display for UpdateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(error) => write!(f, "malformed: {error}"),
            Self::Version(version) => write!(f, "of version {version}"),
            Self::TooMany(counts) => write!(f, "{counts} counts"),
            Self::TooLarge(count) => write!(f, "a count of {count}"),
        }
    }
}

impl LoadUpdate {
    pub(super) fn new(
        kind: Kind,
        node: &str,
        stamp: ReportVersion,
        whole: bool,
        counts: Vec<(IncarnationKey, u32)>,
    ) -> Self {
        Self {
            version: VERSION,
            kind,
            node: node.to_owned(),
            stamp,
            whole,
            counts,
            open_items: None,
        }
    }

    /// Adds how many items the sender has open.
    pub(super) fn with_open_items(mut self, open_items: Option<u32>) -> Self {
        self.open_items = open_items;
        self
    }

    pub(super) fn open_items(&self) -> Option<u32> {
        self.open_items
    }

    pub(super) fn encode(&self) -> Vec<u8> {
        // Strings and numbers always encode.
        serde_json::to_vec(self).unwrap_or_default()
    }

    pub(super) fn decode(bytes: &[u8]) -> Result<Self, UpdateError> {
        let update: Self =
            serde_json::from_slice(bytes).map_err(UpdateError::Malformed)?;
        if update.version != VERSION {
            return Err(UpdateError::Version(update.version));
        }
        if update.counts.len() > COUNTS_MOST {
            return Err(UpdateError::TooMany(update.counts.len()));
        }
        let largest = update.counts.iter().map(|(_, count)| *count).max();
        match largest {
            Some(count) if count > COUNT_MOST => {
                Err(UpdateError::TooLarge(count))
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

    pub(super) fn stamp(&self) -> ReportVersion {
        self.stamp
    }

    pub(super) fn is_whole(&self) -> bool {
        self.whole
    }

    pub(super) fn counts(&self) -> &[(IncarnationKey, u32)] {
        &self.counts
    }
}

#[cfg(test)]
#[path = "../../tests/unit/load_wire.rs"]
mod tests;
