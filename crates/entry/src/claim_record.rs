//! What a claim says.

use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use wire::message::Header;

use crate::exchange::Exchange;

/// Largest answer that is kept, in bytes.
pub(crate) const ANSWER_KEPT_MAX_BYTES: u64 = 64 << 10;

/// The value of a claim.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct ClaimRecord {
    /// Id of the call that made the claim, by which a write whose answer
    /// was lost is found again.
    pub(crate) operation: String,
    /// Digest of what the call asks for.
    pub(crate) fingerprint: String,
    pub(crate) state: ClaimState,
}

/// How far the call of a claim is.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub(crate) enum ClaimState {
    /// It may be running; after `until_unix_ms` nobody will say how it
    /// ended.
    Running { until_unix_ms: u64 },
    /// It ran; the answer is left out if it is not kept.
    Answered { answer: Option<KeptAnswer> },
    /// It may have run.
    Lost { detail: String },
}

/// An answer that further callers of the same key get.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct KeptAnswer {
    pub(crate) status: u16,
    headers: Vec<KeptHeader>,
    body_base64: String,
}

#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct KeptHeader {
    name: String,
    value: String,
}

impl KeptAnswer {
    pub(crate) fn new(status: u16, headers: &[Header], body: &[u8]) -> Self {
        let headers = headers.iter().map(|header| KeptHeader {
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

    /// Returns the body, `None` if the value is broken.
    pub(crate) fn body(&self) -> Option<Bytes> {
        let decoded = BASE64_STANDARD.decode(&self.body_base64);
        decoded.ok().map(Bytes::from)
    }
}

/// Digests what a call asks for, so that another call under the same key is
/// found out.
pub(crate) fn fingerprint(exchange: &Exchange) -> String {
    let mut digest = Sha256::new();
    for part in [&exchange.method, &exchange.path] {
        // With its length, so that no two lists of parts read alike.
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    digest.update(&exchange.body);
    hex(&digest.finalize())
}

/// Digests a key; what callers choose as keys may be secret or long.
pub(crate) fn key_hash(key: &str) -> String {
    hex(&Sha256::digest(key))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
