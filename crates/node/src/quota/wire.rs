use std::fmt;

use limits::{TokenRequest, TokenResponse};
use serde::{Deserialize, Serialize};

/// Largest datagram that is read.
pub(super) const DATAGRAM_BYTES: usize = 8 * 1024;

/// Form of the messages that this version writes. Another one is refused:
/// the two may mean different things by the same fields.
const VERSION: u32 = 1;

/// One datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum QuotaMessage {
    /// A front asks.
    Ask(TokenRequest),
    /// A node answers it.
    Reply(TokenResponse),
}

#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Versioned<T> {
    version: u32,
    message: T,
}

/// Why a message is not heeded.
#[derive(Debug)]
pub(super) enum WireError {
    /// It is no message at all.
    Malformed(serde_json::Error),
    /// It is of another version.
    Version(u32),
    /// It does not come from the node that it names.
    Sender,
    /// Its numbers cannot be, or it was answered before.
    Invalid,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(error) => write!(f, "malformed: {error}"),
            Self::Version(version) => write!(f, "of version {version}"),
            Self::Sender => f.write_str("the node it names is not there"),
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
        // Strings and finite numbers always encode.
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

    /// Takes out what a front lends.
    pub(super) fn without_parts(self) -> Self {
        match self {
            Self::Ask(ask) => Self::Ask(TokenRequest { slots: 0, ..ask }),
            Self::Reply(reply) => Self::Reply(reply),
        }
    }

    /// Returns the name of the node that sends it.
    pub(super) fn sender(&self) -> &str {
        match self {
            Self::Ask(ask) => &ask.front,
            Self::Reply(reply) => &reply.server,
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/quota_wire.rs"]
mod tests;
