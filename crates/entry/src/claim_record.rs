//! Contents of a claim.

use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use wire::message::Header;

use crate::exchange::Exchange;

/// Maximum size of a stored response, in bytes.
pub(crate) const MAX_STORED_RESPONSE_BYTES: u64 = 64 << 10;

/// The stored value of a claim.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct ClaimRecord {
    /// Id of the call that wrote the claim; identifies a write whose response
    /// was lost.
    pub(crate) operation: String,
    /// Digest of the request.
    pub(crate) fingerprint: String,
    pub(crate) state: ClaimState,
}

/// State of the claimed call.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub(crate) enum ClaimState {
    /// The call may be running; after `until_unix_ms` its outcome is lost.
    Running { until_unix_ms: u64 },
    /// The call ran; `None` if the response is not stored.
    Answered { answer: Option<StoredResponse> },
    /// The call may have run.
    Lost { detail: String },
}

/// A response that is replayed to later callers of the same key.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct StoredResponse {
    pub(crate) status: u16,
    headers: Vec<StoredHeader>,
    body_base64: String,
}

#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct StoredHeader {
    name: String,
    value: String,
}

impl StoredResponse {
    pub(crate) fn new(status: u16, headers: &[Header], body: &[u8]) -> Self {
        let headers = headers.iter().map(|header| StoredHeader {
            name: header.name.clone(),
            value: header.value.clone(),
        });
        Self {
            status,
            headers: headers.collect(),
            body_base64: BASE64_STANDARD.encode(body),
        }
    }

    pub(crate) fn headers(&self) -> impl Iterator<Item = Header> + '_ {
        self.headers.iter().map(|header| Header {
            name: header.name.clone(),
            value: header.value.clone(),
        })
    }

    /// Returns the body, or `None` if the stored value is corrupt.
    pub(crate) fn body(&self) -> Option<Bytes> {
        let decoded = BASE64_STANDARD.decode(&self.body_base64);
        decoded.ok().map(Bytes::from)
    }
}

/// Returns a digest of a request, which detects a different request with the
/// same key.
pub(crate) fn fingerprint(exchange: &Exchange) -> String {
    let mut digest = Sha256::new();
    for part in [&exchange.method, &exchange.path] {
        // Length-prefixed, so that different lists of parts never hash alike.
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    digest.update(&exchange.body);
    hex(&digest.finalize())
}

/// Returns the digest of a key; keys of callers may be secret or long.
pub(crate) fn key_hash(key: &str) -> String {
    hex(&Sha256::digest(key))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
