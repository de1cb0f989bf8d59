//! Encoding and validation of messages about origins.

use std::fmt;

use origins::{Origin, StreamKey, StreamKeys};
use serde::{Deserialize, Serialize};

/// Maximum size of a received datagram.
pub(super) const MAX_DATAGRAM_BYTES: usize = 2 * 1024;

/// Version of the message format. Other versions are refused, since the same
/// fields may have different meanings.
const FORMAT: u32 = 1;

/// Message about the origin of a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(super) enum OriginMessage {
    /// Asks a holder to store an origin.
    Record {
        keys: StreamKeys,
        origin: Origin,
        lifetime_ms: u64,
    },
    /// Asks a holder for an origin.
    Find { stream: StreamKey, ticket: u64 },
    /// Answers a question; no origin if the holder has none.
    Found {
        stream: StreamKey,
        ticket: u64,
        origin: Option<Origin>,
    },
}

#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Envelope<T> {
    format: u32,
    node: String,
    message: T,
}

/// Reason for which a message is refused.
#[derive(Debug)]
pub(super) enum WireError {
    /// The datagram is not a valid message.
    Malformed(serde_json::Error),
    /// The message has another format version.
    Format(u32),
    /// The message does not come from the address of the node that it names.
    Sender,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(error) => write!(f, "malformed: {error}"),
            Self::Format(format) => {
                write!(f, "unsupported format {format}")
            }
            Self::Sender => f.write_str(
                "the sender is not at the address of the node that it names",
            ),
        }
    }
}

/// Encodes a message of a node.
pub(super) fn encode(node: &str, message: &OriginMessage) -> Vec<u8> {
    let envelope = Envelope {
        format: FORMAT,
        node: node.to_owned(),
        message,
    };
    // Serialization of strings and numbers cannot fail.
    serde_json::to_vec(&envelope).unwrap_or_default()
}

/// Decodes a message and the name of the node that sent it.
pub(super) fn decode(
    bytes: &[u8],
) -> Result<(String, OriginMessage), WireError> {
    let envelope: Envelope<OriginMessage> =
        serde_json::from_slice(bytes).map_err(WireError::Malformed)?;
    match envelope.format {
        FORMAT => Ok((envelope.node, envelope.message)),
        other => Err(WireError::Format(other)),
    }
}

#[cfg(test)]
#[path = "../../tests/unit/origin_wire.rs"]
mod tests;
