//! Calls of the gateway on the store.

use ::kv::{
    LeaseId,
    json::{
        self, Blob, CompactionRequest, Compare, CompareResult, CompareTarget,
        DeleteRangeRequest, DeleteRangeResponse, EmptyResponse, ErrorResponse,
        Header, KeyValue, LeaseGrantRequest, LeaseKeepAliveRequest,
        LeaseResponse, LeaseRevokeRequest, PutRequest, PutResponse,
        RangeRequest, RangeResponse, RequestOp, ResponseOp, StreamMessage,
        TxnRequest, TxnResponse,
    },
    mvcc::{
        Condition, KeyRange, Operand, Outcome, Put, RangeReply, Record,
        Relation, Step, StepReply, Store, StoreError, Transaction,
    },
};
use base::Millis;
use serde::{Serialize, de::DeserializeOwned};

use super::counts::CallKind;

/// Names of the cluster and its member in every answer.
const CLUSTER_ID: i64 = 1;
const MEMBER_ID: i64 = 1;
const RAFT_TERM: i64 = 2;

/// Numbers of the gRPC statuses, with the HTTP status of each.
const INVALID_ARGUMENT: (u32, u16) = (3, 400);
const NOT_FOUND: (u32, u16) = (5, 404);
const FAILED_PRECONDITION: (u32, u16) = (9, 400);
const OUT_OF_RANGE: (u32, u16) = (11, 400);
const UNAVAILABLE: (u32, u16) = (14, 503);

/// One kind of request.
pub(super) trait Call: DeserializeOwned {
    /// Kind under which it is counted.
    const KIND: CallKind;

    /// Body of its answer.
    type Answer: Serialize;

    /// Does it.
    fn run(
        self,
        store: &mut Store,
        now: Millis,
    ) -> Result<Done<Self::Answer>, Refusal>;
}

/// A call that was done.
pub(super) struct Done<A> {
    pub(super) is_write: bool,
    pub(super) answer: A,
}

/// A call that was refused without effect.
#[derive(Debug)]
pub(super) struct Refusal {
    code: (u32, u16),
    text: String,
}

impl Refusal {
    pub(super) fn malformed(error: &serde_json::Error) -> Self {
        Self {
            code: INVALID_ARGUMENT,
            text: error.to_string(),
        }
    }

    pub(super) fn down() -> Self {
        Self {
            code: UNAVAILABLE,
            text: "etcdserver: the stand-in is down".to_owned(),
        }
    }

    fn unsupported(what: &str) -> Self {
        Self {
            code: INVALID_ARGUMENT,
            text: format!("the stand-in does not support {what}"),
        }
    }

    pub(super) fn status(&self) -> u16 {
        self.code.1
    }

    pub(super) fn body(&self) -> ErrorResponse {
        ErrorResponse {
            error: self.text.clone(),
            code: self.code.0,
            message: self.text.clone(),
        }
    }
}

impl From<StoreError> for Refusal {
    fn from(error: StoreError) -> Self {
        let code = match error {
            StoreError::LeaseNotFound => NOT_FOUND,
            StoreError::LeaseExists => FAILED_PRECONDITION,
            StoreError::InvalidLeaseTtl
            | StoreError::Compacted
            | StoreError::FutureRevision => OUT_OF_RANGE,
            _ => INVALID_ARGUMENT,
        };
        Self {
            code,
            text: format!("etcdserver: {error}"),
        }
    }
}

pub(super) fn header(store: &Store) -> Header {
    Header {
        cluster_id: CLUSTER_ID.into(),
        member_id: MEMBER_ID.into(),
        revision: store.revision().into(),
        raft_term: RAFT_TERM.into(),
    }
}

impl Call for RangeRequest {
    const KIND: CallKind = CallKind::Range;
    type Answer = RangeResponse;

    fn run(
        self,
        store: &mut Store,
        _: Millis,
    ) -> Result<Done<RangeResponse>, Refusal> {
        let limit = limit(&self);
        let revision = self.revision.get_u64();
        let range = KeyRange::new(self.key.0, self.range_end.0);
        let mut found = store.range(&range, limit, revision)?;
        if self.count_only {
            found.records.clear();
        }
        let mut answer = range_response(header(store), found);
        answer.more &= !self.count_only;
        if self.keys_only {
            for kv in &mut answer.kvs {
                kv.value = Blob::default();
            }
        }
        Ok(Done {
            is_write: false,
            answer,
        })
    }
}

impl Call for PutRequest {
    const KIND: CallKind = CallKind::Put;
    type Answer = PutResponse;

    fn run(
        self,
        store: &mut Store,
        _: Millis,
    ) -> Result<Done<PutResponse>, Refusal> {
        let wants_previous = self.prev_kv;
        let outcome = store.commit(&Transaction::of([put_step(self)]))?;
        let header = header(store);
        let previous = match outcome.replies.into_iter().next() {
            Some(StepReply::Put { previous }) if wants_previous => previous,
            _ => None,
        };
        Ok(Done {
            is_write: true,
            answer: PutResponse {
                header,
                prev_kv: previous.map(key_value),
            },
        })
    }
}

impl Call for DeleteRangeRequest {
    const KIND: CallKind = CallKind::DeleteRange;
    type Answer = DeleteRangeResponse;

    fn run(
        self,
        store: &mut Store,
        _: Millis,
    ) -> Result<Done<DeleteRangeResponse>, Refusal> {
        let wants_previous = self.prev_kv;
        let range = KeyRange::new(self.key.0, self.range_end.0);
        let delete = Transaction::of([Step::Delete(range)]);
        let outcome = store.commit(&delete)?;
        let deleted = match outcome.replies.into_iter().next() {
            Some(StepReply::Deleted(records)) => records,
            _ => Vec::new(),
        };
        let mut answer = deletion(header(store), deleted);
        if !wants_previous {
            answer.prev_kvs.clear();
        }
        Ok(Done {
            is_write: true,
            answer,
        })
    }
}

impl Call for TxnRequest {
    const KIND: CallKind = CallKind::Txn;
    type Answer = TxnResponse;

    fn run(
        self,
        store: &mut Store,
        _: Millis,
    ) -> Result<Done<TxnResponse>, Refusal> {
        let conditions = self.compare.into_iter().map(condition);
        let txn = Transaction {
            conditions: conditions.collect(),
            success: steps(self.success)?,
            failure: steps(self.failure)?,
        };
        let outcome = store.commit(&txn)?;
        Ok(Done {
            is_write: outcome.is_write,
            answer: txn_response(header(store), outcome),
        })
    }
}

impl Call for CompactionRequest {
    const KIND: CallKind = CallKind::Compaction;
    type Answer = EmptyResponse;

    fn run(
        self,
        store: &mut Store,
        _: Millis,
    ) -> Result<Done<EmptyResponse>, Refusal> {
        store.compact(self.revision.get_u64())?;
        Ok(empty(store))
    }
}

impl Call for LeaseGrantRequest {
    const KIND: CallKind = CallKind::LeaseGrant;
    type Answer = LeaseResponse;

    fn run(
        self,
        store: &mut Store,
        now: Millis,
    ) -> Result<Done<LeaseResponse>, Refusal> {
        let wanted = Some(LeaseId(self.id.0)).filter(|id| id.0 != 0);
        let ttl_s = u32::try_from(self.ttl_s.0);
        let ttl_s = ttl_s.map_err(|_| StoreError::InvalidLeaseTtl)?;
        let id = store.grant(now, wanted, ttl_s)?;
        Ok(Done {
            is_write: true,
            answer: LeaseResponse {
                header: header(store),
                id: id.0.into(),
                ttl_s: self.ttl_s,
            },
        })
    }
}

impl Call for LeaseKeepAliveRequest {
    const KIND: CallKind = CallKind::LeaseKeepAlive;
    type Answer = StreamMessage<LeaseResponse>;

    /// As in etcd, a lease that has ended is told by a missing time to
    /// live, not by a failure.
    fn run(
        self,
        store: &mut Store,
        now: Millis,
    ) -> Result<Done<Self::Answer>, Refusal> {
        let ttl_s = store.keep_alive(now, LeaseId(self.id.0)).unwrap_or(0);
        Ok(Done {
            is_write: true,
            answer: StreamMessage::Result(LeaseResponse {
                header: header(store),
                id: self.id,
                ttl_s: i64::from(ttl_s).into(),
            }),
        })
    }
}

impl Call for LeaseRevokeRequest {
    const KIND: CallKind = CallKind::LeaseRevoke;
    type Answer = EmptyResponse;

    fn run(
        self,
        store: &mut Store,
        _: Millis,
    ) -> Result<Done<EmptyResponse>, Refusal> {
        store.revoke(LeaseId(self.id.0))?;
        Ok(empty(store))
    }
}

fn empty(store: &Store) -> Done<EmptyResponse> {
    Done {
        is_write: true,
        answer: EmptyResponse {
            header: header(store),
        },
    }
}

fn limit(request: &RangeRequest) -> usize {
    usize::try_from(request.limit.0).unwrap_or(0)
}

fn put_step(put: PutRequest) -> Step {
    Step::Put(Put {
        key: put.key.0,
        value: put.value.0.into(),
        lease: Some(LeaseId(put.lease.0)).filter(|id| id.0 != 0),
    })
}

fn steps(ops: Vec<RequestOp>) -> Result<Vec<Step>, Refusal> {
    ops.into_iter().map(step).collect()
}

fn step(op: RequestOp) -> Result<Step, Refusal> {
    if let Some(put) = op.request_put {
        return Ok(put_step(put));
    }
    if let Some(delete) = op.request_delete_range {
        let range = KeyRange::new(delete.key.0, delete.range_end.0);
        return Ok(Step::Delete(range));
    }
    match op.request_range {
        Some(read) if read.revision.0 == 0 => Ok(Step::Range {
            limit: limit(&read),
            range: KeyRange::new(read.key.0, read.range_end.0),
        }),
        Some(_) => Err(Refusal::unsupported("old revisions in a txn")),
        None => Err(Refusal::unsupported("this step of a txn")),
    }
}

fn condition(compare: Compare) -> Condition {
    let relation = match compare.result {
        CompareResult::Equal => Relation::Equal,
        CompareResult::Greater => Relation::Greater,
        CompareResult::Less => Relation::Less,
        CompareResult::NotEqual => Relation::NotEqual,
    };
    let operand = match compare.target {
        CompareTarget::Version => Operand::Version(compare.version.get_u64()),
        CompareTarget::Create => {
            Operand::CreateRevision(compare.create_revision.get_u64())
        }
        CompareTarget::Mod => {
            Operand::ModRevision(compare.mod_revision.get_u64())
        }
        CompareTarget::Value => Operand::Value(compare.value.0),
        CompareTarget::Lease => Operand::Lease(compare.lease.0),
    };
    Condition {
        key: compare.key.0,
        relation,
        operand,
    }
}

fn txn_response(header: Header, outcome: Outcome) -> TxnResponse {
    let responses = outcome.replies.into_iter().map(|reply| match reply {
        StepReply::Put { .. } => ResponseOp {
            response_put: Some(PutResponse {
                header,
                prev_kv: None,
            }),
            ..ResponseOp::default()
        },
        StepReply::Deleted(records) => ResponseOp {
            response_delete_range: Some(DeleteRangeResponse {
                prev_kvs: Vec::new(),
                ..deletion(header, records)
            }),
            ..ResponseOp::default()
        },
        StepReply::Range(found) => ResponseOp {
            response_range: Some(range_response(header, found)),
            ..ResponseOp::default()
        },
    });
    TxnResponse {
        header,
        succeeded: outcome.succeeded,
        responses: responses.collect(),
    }
}

fn deletion(header: Header, records: Vec<Record>) -> DeleteRangeResponse {
    DeleteRangeResponse {
        header,
        deleted: (records.len() as u64).into(),
        prev_kvs: records.into_iter().map(key_value).collect(),
    }
}

fn range_response(header: Header, found: RangeReply) -> RangeResponse {
    RangeResponse {
        header,
        more: found.records.len() < found.count,
        count: (found.count as u64).into(),
        kvs: found.records.into_iter().map(key_value).collect(),
    }
}

pub(super) fn key_value(record: Record) -> json::KeyValue {
    KeyValue {
        key: Blob(record.key),
        create_revision: record.create_revision.into(),
        mod_revision: record.mod_revision.into(),
        version: record.version.into(),
        value: Blob(record.value.to_vec()),
        lease: record.lease.map_or(0, |lease| lease.0).into(),
    }
}
