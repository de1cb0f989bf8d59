//! Conversions between the types of the store and those of the
//! [`Kv`](crate::Kv) trait.

use crate::{
    Compare, Event, KeyValue, KvError, Op, OpReply, Txn, TxnReply,
    mvcc::{
        Change, Condition, KeyRange, Operand, Outcome, Put, Record, Relation,
        Step, StepReply, StoreError, Transaction,
    },
};

impl From<Txn> for Transaction {
    fn from(txn: Txn) -> Self {
        Self {
            conditions: txn.compares.into_iter().map(Into::into).collect(),
            success: txn.success.into_iter().map(Into::into).collect(),
            failure: txn.failure.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<Compare> for Condition {
    fn from(compare: Compare) -> Self {
        let (key, operand) = match compare {
            Compare::ModRevision { key, equals } => {
                (key, Operand::ModRevision(equals))
            }
            Compare::CreateRevision { key, equals } => {
                (key, Operand::CreateRevision(equals))
            }
        };
        Self {
            key: key.into(),
            relation: Relation::Equal,
            operand,
        }
    }
}

impl From<Op> for Step {
    fn from(op: Op) -> Self {
        match op {
            Op::Put { key, value, lease } => Step::Put(Put {
                key: key.into(),
                value: value.into(),
                lease,
            }),
            Op::Delete { key } => Step::Delete(KeyRange::one(key)),
            Op::Get { key } => Step::Range {
                range: KeyRange::one(key),
                limit: 0,
            },
            Op::GetPrefix { prefix, limit } => Step::Range {
                range: KeyRange::prefix(prefix),
                limit: limit as usize,
            },
        }
    }
}

impl From<Outcome> for TxnReply {
    fn from(outcome: Outcome) -> Self {
        Self {
            succeeded: outcome.succeeded,
            revision: outcome.revision,
            replies: outcome.replies.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<StepReply> for OpReply {
    fn from(reply: StepReply) -> Self {
        match reply {
            StepReply::Put { .. } => OpReply::Put,
            StepReply::Deleted(records) => {
                OpReply::Deleted(records.len() as u64)
            }
            StepReply::Range(found) => OpReply::Read(
                found.records.into_iter().map(Into::into).collect(),
            ),
        }
    }
}

impl From<Record> for KeyValue {
    fn from(record: Record) -> Self {
        Self {
            key: text(record.key),
            value: record.value.to_vec(),
            create_revision: record.create_revision,
            mod_revision: record.mod_revision,
            lease: record.lease,
        }
    }
}

impl From<Change> for Event {
    fn from(change: Change) -> Self {
        match change.current {
            Some(record) => Event::Put(record.into()),
            None => Event::Delete {
                key: text(change.key),
                mod_revision: change.revision,
            },
        }
    }
}

impl From<StoreError> for KvError {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::LeaseNotFound => KvError::LeaseGone,
            StoreError::Compacted => KvError::Compacted,
            _ => KvError::Invalid,
        }
    }
}

/// Converts a key to text. The keys of this system are UTF-8; other keys in
/// the store are converted lossily, so that they stay recognisable.
fn text(key: Vec<u8>) -> String {
    String::from_utf8(key)
        .unwrap_or_else(|e| String::from_utf8_lossy(e.as_bytes()).into())
}
