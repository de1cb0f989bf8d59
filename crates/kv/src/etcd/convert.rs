//! Conversions between the messages of the gateway and the types of
//! [`Kv`](crate::Kv).

use crate::{
    Compare, Event, GetReply, KeyValue, LeaseId, Op, OpReply, Txn, TxnReply,
    WatchBatch,
    json::{
        self, Blob, CompareTarget, DeleteRangeRequest, EventKind, PutRequest,
        RangeRequest, RangeResponse, RequestOp, ResponseOp, TxnRequest,
        TxnResponse, WatchCreateRequest, WatchResponse,
    },
    mvcc::KeyRange,
};

/// Error for a response without a revision. Revisions start at 1. All fields
/// of a response are optional, so that any JSON object, even an error body,
/// parses as a response without keys or as a failed comparison. Only the
/// revision proves that the response comes from the key-value service.
const NO_REVISION: &str = "the response has no revision";

pub(super) fn is_write(op: &Op) -> bool {
    matches!(op, Op::Put { .. } | Op::Delete { .. })
}

pub(super) fn range_request(range: &KeyRange) -> RangeRequest {
    RangeRequest {
        key: Blob(range.start().to_vec()),
        range_end: Blob(range.range_end().to_vec()),
        ..RangeRequest::default()
    }
}

pub(super) fn watch_request(
    range: &KeyRange,
    from_revision: u64,
) -> WatchCreateRequest {
    WatchCreateRequest {
        key: Blob(range.start().to_vec()),
        range_end: Blob(range.range_end().to_vec()),
        start_revision: from_revision.into(),
        progress_notify: true,
        ..WatchCreateRequest::default()
    }
}

impl From<Txn> for TxnRequest {
    fn from(txn: Txn) -> Self {
        Self {
            compare: txn.compares.into_iter().map(Into::into).collect(),
            success: txn.success.into_iter().map(Into::into).collect(),
            failure: txn.failure.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<Compare> for json::Compare {
    fn from(compare: Compare) -> Self {
        match compare {
            Compare::ModRevision { key, equals } => Self {
                target: CompareTarget::Mod,
                key: Blob(key.into()),
                mod_revision: equals.into(),
                ..Self::default()
            },
            Compare::CreateRevision { key, equals } => Self {
                target: CompareTarget::Create,
                key: Blob(key.into()),
                create_revision: equals.into(),
                ..Self::default()
            },
        }
    }
}

impl From<Op> for RequestOp {
    fn from(op: Op) -> Self {
        let mut request = Self::default();
        match op {
            Op::Put { key, value, lease } => {
                request.request_put = Some(PutRequest {
                    key: Blob(key.into()),
                    value: Blob(value),
                    lease: lease.map_or(0, |lease| lease.0).into(),
                    ..PutRequest::default()
                });
            }
            Op::Delete { key } => {
                request.request_delete_range = Some(DeleteRangeRequest {
                    key: Blob(key.into()),
                    ..DeleteRangeRequest::default()
                });
            }
            Op::Get { key } => {
                let range = KeyRange::one(key);
                request.request_range = Some(range_request(&range));
            }
            Op::GetPrefix { prefix, limit } => {
                let range = KeyRange::prefix(prefix);
                request.request_range = Some(RangeRequest {
                    limit: i64::from(limit).into(),
                    ..range_request(&range)
                });
            }
        }
        request
    }
}

/// Converts the response to a transaction whose branch has `expected`
/// operations.
pub(super) fn txn_reply(
    reply: TxnResponse,
    expected: usize,
) -> Result<TxnReply, &'static str> {
    if reply.header.revision.get_u64() == 0 {
        return Err(NO_REVISION);
    }
    if reply.responses.len() != expected {
        return Err("the response has the wrong number of results");
    }
    let replies = reply.responses.into_iter().map(op_reply);
    Ok(TxnReply {
        succeeded: reply.succeeded,
        revision: reply.header.revision.get_u64(),
        replies: replies.collect::<Result<_, _>>()?,
    })
}

fn op_reply(reply: ResponseOp) -> Result<OpReply, &'static str> {
    if reply.response_put.is_some() {
        return Ok(OpReply::Put);
    }
    if let Some(deletion) = reply.response_delete_range {
        return Ok(OpReply::Deleted(deletion.deleted.get_u64()));
    }
    match reply.response_range {
        Some(found) => Ok(OpReply::Read(key_values(found.kvs))),
        None => Err("the response has a result of an unknown kind"),
    }
}

/// Converts the response to a read.
pub(super) fn get_reply(
    reply: RangeResponse,
) -> Result<GetReply, &'static str> {
    match reply.header.revision.get_u64() {
        0 => Err(NO_REVISION),
        revision => Ok(GetReply {
            revision,
            kvs: key_values(reply.kvs),
        }),
    }
}

/// Converts a message of a watch. The batch reaches only to its last change,
/// because the revision of the header can be ahead of the changes that the
/// stream has delivered.
pub(super) fn watch_batch(message: WatchResponse) -> WatchBatch {
    let reached = message.events.last().map(|e| e.kv.mod_revision);
    let events = message.events.into_iter().map(|event| match event.kind {
        EventKind::Put => Event::Put(key_value(event.kv)),
        EventKind::Delete => Event::Delete {
            key: text(event.kv.key),
            mod_revision: event.kv.mod_revision.get_u64(),
        },
    });
    WatchBatch {
        events: events.collect(),
        revision: reached.unwrap_or(message.header.revision).get_u64(),
    }
}

fn key_values(kvs: Vec<json::KeyValue>) -> Vec<KeyValue> {
    kvs.into_iter().map(key_value).collect()
}

fn key_value(kv: json::KeyValue) -> KeyValue {
    KeyValue {
        key: text(kv.key),
        value: kv.value.0,
        create_revision: kv.create_revision.get_u64(),
        mod_revision: kv.mod_revision.get_u64(),
        lease: Some(LeaseId(kv.lease.0)).filter(|lease| lease.0 != 0),
    }
}

fn text(key: Blob) -> String {
    String::from_utf8(key.0)
        .unwrap_or_else(|e| String::from_utf8_lossy(e.as_bytes()).into())
}
