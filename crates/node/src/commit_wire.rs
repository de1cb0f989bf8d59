//! Wire format of writes between nodes: a table in JSON, followed by the
//! values one after the other.

use bytes::Bytes;
use error_stack::Report;
use kv::{Compare, KvError, Op, OpReply, Txn, TxnReply, batch::TxnResult};
use serde::{Deserialize, Serialize};

#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct WireTxn {
    /// Keys with their expected revisions.
    compares: Vec<(String, u64)>,
    steps: Vec<WireStep>,
}

#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum WireStep {
    /// Writes the next so many bytes after the table to a key.
    Put(String, usize),
    Delete(String),
}

/// The outcome of a write.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum WireOutcome {
    /// The write is applied, at this revision.
    #[serde(rename = "done")]
    Applied(u64),
    /// A comparison of the write failed: a key has changed.
    #[serde(rename = "overtaken")]
    Conflict(u64),
    /// The write is not applied.
    #[serde(rename = "not_done")]
    NotApplied,
    /// The write may have been applied.
    Unknown,
    /// The key-value service rejects the write as invalid.
    Invalid,
}

/// Size of the length of the table, which precedes it.
const LENGTH_BYTES: usize = 4;

/// Encodes a write; `None` if it depends on more than revisions or uses a
/// lease.
pub(crate) fn encode(txn: &Txn) -> Option<Bytes> {
    let compares = txn.compares.iter().map(|compare| match compare {
        Compare::ModRevision { key, equals } => Some((key.clone(), *equals)),
        Compare::CreateRevision { .. } => None,
    });
    let steps = txn.success.iter().map(|op| match op {
        Op::Put {
            key,
            value,
            lease: None,
        } => Some(WireStep::Put(key.clone(), value.len())),
        Op::Delete { key } => Some(WireStep::Delete(key.clone())),
        _ => None,
    });
    let wire = WireTxn {
        compares: compares.collect::<Option<_>>()?,
        steps: steps.collect::<Option<_>>()?,
    };
    let table = serde_json::to_vec(&wire).ok()?;
    let length = u32::try_from(table.len()).ok()?;
    let mut bytes = length.to_le_bytes().to_vec();
    bytes.extend(table);
    for op in &txn.success {
        if let Op::Put { value, .. } = op {
            bytes.extend_from_slice(value);
        }
    }
    Some(Bytes::from(bytes))
}

/// Decodes a write from [`encode`]; `None` if the bytes are malformed.
pub(crate) fn decode(bytes: &[u8]) -> Option<Txn> {
    let (length, remainder) = bytes.split_at_checked(LENGTH_BYTES)?;
    let length = u32::from_le_bytes(length.try_into().ok()?);
    let (table, mut remainder) =
        remainder.split_at_checked(length as usize)?;
    let wire: WireTxn = serde_json::from_slice(table).ok()?;
    let compares = wire.compares.into_iter();
    let compares =
        compares.map(|(key, equals)| Compare::ModRevision { key, equals });
    let mut success = Vec::with_capacity(wire.steps.len());
    for step in wire.steps {
        success.push(match step {
            WireStep::Put(key, length) => {
                let (value, after) = remainder.split_at_checked(length)?;
                remainder = after;
                Op::Put {
                    key,
                    value: value.to_vec(),
                    lease: None,
                }
            }
            WireStep::Delete(key) => Op::Delete { key },
        });
    }
    remainder.is_empty().then(|| Txn {
        compares: compares.collect(),
        success,
        failure: Vec::new(),
    })
}

pub(crate) fn encode_outcome(outcome: &WireOutcome) -> Bytes {
    // Numbers always encode.
    Bytes::from(serde_json::to_vec(outcome).unwrap_or_default())
}

/// Decodes an outcome; a malformed one counts as unknown.
pub(crate) fn decode_outcome(bytes: &[u8]) -> WireOutcome {
    serde_json::from_slice(bytes).unwrap_or_else(|error| {
        log::warn!(error:%; "the outcome of a write is malformed");
        WireOutcome::Unknown
    })
}

impl WireOutcome {
    pub(crate) fn from_result(result: &TxnResult) -> Self {
        match result {
            Ok(reply) if reply.succeeded => Self::Applied(reply.revision),
            Ok(reply) => Self::Conflict(reply.revision),
            Err(report) => match report.current_context() {
                KvError::NotDone => Self::NotApplied,
                KvError::Invalid | KvError::LeaseGone => Self::Invalid,
                KvError::Unknown | KvError::Compacted => Self::Unknown,
            },
        }
    }

    /// Returns the response that the key-value service would have sent.
    pub(crate) fn into_result(self, txn: &Txn) -> TxnResult {
        let reply = |succeeded, revision| TxnReply {
            succeeded,
            revision,
            replies: match succeeded {
                true => txn.success.iter().map(expected_reply).collect(),
                false => Vec::new(),
            },
        };
        match self {
            Self::Applied(revision) => Ok(reply(true, revision)),
            Self::Conflict(revision) => Ok(reply(false, revision)),
            Self::NotApplied => Err(Report::new(KvError::NotDone)),
            Self::Unknown => Err(Report::new(KvError::Unknown)),
            Self::Invalid => Err(Report::new(KvError::Invalid)),
        }
    }
}

fn expected_reply(op: &Op) -> OpReply {
    match op {
        Op::Delete { .. } => OpReply::Deleted(1),
        _ => OpReply::Put,
    }
}

#[cfg(test)]
#[path = "../tests/unit/commit_wire.rs"]
mod tests;
