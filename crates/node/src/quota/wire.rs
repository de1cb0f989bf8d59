use std::fmt;

use limits::{TokenRequest, TokenResponse};
use serde::{Deserialize, Serialize};
use share::{UseReport, UseTotals};

/// Maximum size of a received datagram: the largest possible one, since
/// reports of admitted requests may have 56 KB.
pub(super) const DATAGRAM_BYTES: usize = 64 * 1024;

/// Version of the message format. Other versions are refused, since the same
/// fields may have different meanings.
const VERSION: u32 = 1;

/// Quota message in one datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum QuotaMessage {
    /// Request of a front to a token server.
    #[serde(rename = "ask")]
    Request(TokenRequest),
    /// Response of a token server.
    #[serde(rename = "reply")]
    Response(TokenResponse),
    /// Report of a front on the slots that customers use.
    Use(UseReport),
    /// Answer of a token server to such a report.
    Totals(UseTotals),
}

#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Versioned<T> {
    version: u32,
    message: T,
}

/// Reason for which a message is refused.
#[derive(Debug)]
pub(super) enum WireError {
    /// The datagram is not a valid message.
    Malformed(serde_json::Error),
    /// The message has another format version.
    Version(u32),
    /// The message does not come from the address of the node that it names.
    Sender,
    /// The numbers are out of range, or the message is a replay.
    Invalid,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(error) => write!(f, "malformed: {error}"),
            Self::Version(version) => {
                write!(f, "unsupported version {version}")
            }
            Self::Sender => {
                f.write_str("sender is not at the address of the named node")
            }
            Self::Invalid => f.write_str("out of range, or a replay"),
        }
    }
}

impl QuotaMessage {
    pub(super) fn encode(&self) -> Vec<u8> {
        let versioned = Versioned {
            version: VERSION,
            message: self,
        };
        // Serialization of strings and finite numbers cannot fail.
        serde_json::to_vec(&versioned).unwrap_or_default()
    }

    pub(super) fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        let versioned: Versioned<Self> =
            serde_json::from_slice(bytes).map_err(WireError::Malformed)?;
        match versioned.version {
            VERSION => Ok(versioned.message),
            other => Err(WireError::Version(other)),
        }
    }

    /// Clears the slots that a front offers to pool, and its reports.
    pub(super) fn without_allotments(self) -> Self {
        match self {
            Self::Request(request) => Self::Request(TokenRequest {
                slots: 0,
                history: Vec::new(),
                history_slots: 0,
                incomplete_slots: 0,
                ..request
            }),
            other => other,
        }
    }

    /// Reports whether the message is about the slots that customers use.
    pub(super) fn is_about_use(&self) -> bool {
        matches!(self, Self::Use(_) | Self::Totals(_))
    }

    /// Returns the name of the node that sent the message.
    pub(super) fn sender(&self) -> &str {
        match self {
            Self::Request(request) => &request.front,
            Self::Response(response) => &response.server,
            Self::Use(report) => &report.front,
            Self::Totals(totals) => &totals.server,
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/quota_wire.rs"]
mod tests;
