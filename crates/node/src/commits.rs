//! Batches writes of several nodes into shared calls to the key-value service.
//!
//! One worker of many, the collector, batches the writes that can be delayed
//! ([`GroupCommit`]). Urgent writes are sent to the key-value service
//! directly, and so are all writes while the collector does not respond.
//!
//! Rejected: a collector in each failure domain. It saves bytes between the
//! domains, but makes six calls for each one of a single collector, and calls
//! cost more. Also rejected: longer intervals between the writes of each node.
//! Results would be readable later, and calls would still grow with the number
//! of nodes.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use base::{Clock, Millis, mix, stable_hash};
use bytes::Bytes;
use error_stack::Report;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use jobs::{JobView, Members, NodeRecord, Roster};
use kv::{
    GetReply, Kv, KvError, KvFuture, LeaseId, Txn, TxnReply, Watcher,
    batch::{self, GroupCommit, TxnResult},
};
use pass::{CallOutcome, Counters, Pool, ResponseBody};
use tokio::time;

use crate::{
    commit_wire::{self, WireOutcome},
    peer,
    peer_bodies::PeerBodies,
};

/// Path prefix at which a node receives the writes of others, followed by the
/// maximum delay of the write in milliseconds.
pub(crate) const COMMIT_PATH: &str = "/commit/";

/// Number of workers for each collector. Ten thousand rows a second would be
/// too many for one; this many workers write some hundred.
const WORKERS_PER_COLLECTOR: usize = 128;

/// Salt that separates the choice of collectors from others by the same
/// hashes, so that one worker does not get all special tasks.
const COLLECTOR_SALT: u64 = 0x636f_6d6d_6974;

/// Number of collectors that a node tries, one after the other.
const MAX_CANDIDATES: usize = 2;

/// Maximum wait for a response beyond the delay of the write, in milliseconds:
/// that of a call to the key-value service, and a round trip between nodes.
const RESPONSE_TIMEOUT_MS: u64 = 1_400;

/// Backoff for a worker that did not respond, in milliseconds.
const SILENT_BACKOFF_MS: u64 = 3_000;

/// Maximum size of a request: the inputs of a job as one value, and some extra
/// space.
pub(crate) const MAX_REQUEST_BYTES: usize = 8 * 1024 * 1024;

/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 4 * 1024;

/// A key-value service that sends writes that can be delayed through the
/// collector.
#[derive(Clone)]
pub(crate) struct SharedCommits {
    kv: Arc<dyn Kv>,
    /// Batches on this node the writes that others send to it.
    group_commit: GroupCommit,
    node: String,
    view: JobView,
    pool: Arc<Pool>,
    clock: Arc<dyn Clock>,
    counters: Arc<Counters>,
    collectors: Arc<Mutex<Collectors>>,
}

/// The collectors of this node, and the roster that they are derived from.
#[derive(Default)]
struct Collectors {
    roster: Option<Roster>,
    candidates: Vec<NodeRecord>,
    silent: Vec<(String, Millis)>,
}

impl Collectors {
    fn update(&mut self, roster: Roster, node: &str) {
        let known = self.roster.as_ref();
        if known.is_some_and(|known| known.is_same(&roster)) {
            return;
        }
        self.candidates = candidates(&roster.workers, node);
        self.roster = Some(roster);
    }
}

/// Returns the workers that collect the writes of a node, the preferred one
/// first.
fn candidates(workers: &Members, node: &str) -> Vec<NodeRecord> {
    let mut ranked: Vec<&NodeRecord> = workers.nodes().iter().collect();
    ranked.sort_by_cached_key(|worker| {
        mix(stable_hash(&[&worker.node]) ^ COLLECTOR_SALT)
    });
    let groups = ranked.len().div_ceil(WORKERS_PER_COLLECTOR).max(1);
    let group = stable_hash(&[node]) as usize % groups;
    let group_members = ranked.into_iter().skip(group).step_by(groups);
    group_members.take(MAX_CANDIDATES).cloned().collect()
}

impl SharedCommits {
    pub(crate) fn new(
        kv: Arc<dyn Kv>,
        group_commit: GroupCommit,
        node: &str,
        view: JobView,
        clock: Arc<dyn Clock>,
        counters: Arc<Counters>,
    ) -> Self {
        Self {
            kv,
            group_commit,
            node: node.to_owned(),
            view,
            pool: Arc::default(),
            clock,
            counters,
            collectors: Arc::default(),
        }
    }

    async fn commit(&self, txn: Txn, max_delay_ms: u64) -> TxnResult {
        let Some(worker) = self.collector() else {
            return self.kv.txn(txn).await;
        };
        if !batch::is_batchable(&txn) {
            return self.kv.txn(txn).await;
        }
        if worker.node == self.node {
            return self.group_commit.commit(txn, max_delay_ms).await;
        }
        match self.send_to(&worker, &txn, max_delay_ms).await {
            Some(result) => result,
            None => self.kv.txn(txn).await,
        }
    }

    /// Sends a write to another worker; `None` if that worker certainly did
    /// not commit it.
    async fn send_to(
        &self,
        worker: &NodeRecord,
        txn: &Txn,
        max_delay_ms: u64,
    ) -> Option<TxnResult> {
        let peer = peer::endpoint_of(worker)?;
        let path = format!("{COMMIT_PATH}{max_delay_ms}");
        let mut request = peer::new_request(&peer, &path)?;
        *request.method_mut() = Method::POST;
        *request.body_mut() = commit_wire::encode(txn)?;
        Counters::add(&self.counters.commits_shared);
        let call = self.pool.call(&peer, request, MAX_RESPONSE_BYTES);
        let timeout =
            Duration::from_millis(max_delay_ms + RESPONSE_TIMEOUT_MS);
        match time::timeout(timeout, call).await {
            Ok(CallOutcome::Answered(head, body))
                if head.status.is_success() =>
            {
                let outcome = commit_wire::decode_outcome(&body);
                Some(outcome.into_result(txn))
            }
            Ok(CallOutcome::Answered(..) | CallOutcome::NotSent) => {
                self.record_silence(worker);
                None
            }
            Ok(CallOutcome::Broken) | Err(_) => {
                self.record_silence(worker);
                let report = Report::new(KvError::Unknown);
                Some(Err(report.attach("the collector does not respond")))
            }
        }
    }

    fn collector(&self) -> Option<NodeRecord> {
        let roster = self.view.roster();
        let now = self.clock.now();
        let mut collectors = self.lock();
        collectors.update(roster, &self.node);
        collectors.silent.retain(|(_, at)| {
            now.saturating_ms_since(*at) < SILENT_BACKOFF_MS
        });
        let is_silent = |name: &str| {
            collectors.silent.iter().any(|(silent, _)| silent == name)
        };
        let mut candidates = collectors.candidates.iter();
        candidates.find(|worker| !is_silent(&worker.node)).cloned()
    }

    fn record_silence(&self, worker: &NodeRecord) {
        log::info!(node = worker.node.as_str();
            "the collector of writes does not respond");
        let now = self.clock.now();
        self.lock().silent.push((worker.node.clone(), now));
    }

    fn lock(&self) -> MutexGuard<'_, Collectors> {
        self.collectors
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Kv for SharedCommits {
    fn get(&self, key: &str) -> KvFuture<'_, GetReply> {
        self.kv.get(key)
    }

    fn get_prefix(&self, prefix: &str, limit: u32) -> KvFuture<'_, GetReply> {
        self.kv.get_prefix(prefix, limit)
    }

    fn get_prefix_stale(&self, prefix: &str) -> KvFuture<'_, GetReply> {
        self.kv.get_prefix_stale(prefix)
    }

    fn txn(&self, txn: Txn) -> KvFuture<'_, TxnReply> {
        self.kv.txn(txn)
    }

    fn txn_batched(
        &self,
        txn: Txn,
        max_delay_ms: u64,
    ) -> KvFuture<'_, TxnReply> {
        Box::pin(self.commit(txn, max_delay_ms))
    }

    fn lease_grant(&self, ttl_s: u32) -> KvFuture<'_, LeaseId> {
        self.kv.lease_grant(ttl_s)
    }

    fn lease_keep_alive(&self, lease: LeaseId) -> KvFuture<'_, ()> {
        self.kv.lease_keep_alive(lease)
    }

    fn lease_revoke(&self, lease: LeaseId) -> KvFuture<'_, ()> {
        self.kv.lease_revoke(lease)
    }

    fn watch(
        &self,
        prefix: &str,
        from_revision: u64,
    ) -> KvFuture<'_, Box<dyn Watcher>> {
        self.kv.watch(prefix, from_revision)
    }
}

/// Maximum delay of a write of another node, in milliseconds, regardless of
/// the delay that it allows.
const MAX_DELAY_MS: u64 = 2_000;

/// Commits a write of another node and responds when its outcome is known.
pub(crate) async fn receive(
    group_commit: GroupCommit,
    bodies: PeerBodies,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let path = request.uri().path();
    let max_delay = path.strip_prefix(COMMIT_PATH).unwrap_or_default();
    let max_delay_ms: Option<u64> = max_delay.parse().ok();
    let received = match bodies.receive(request, MAX_REQUEST_BYTES).await {
        Ok(received) => received,
        Err(refusal) => return refusal.into_response(),
    };
    let body = &received.bytes;
    let txn = commit_wire::decode(body);
    let (Some(txn), Some(max_delay_ms)) = (txn, max_delay_ms) else {
        log::warn!(bytes = body.len();
            "a malformed write of another node is rejected");
        return respond(StatusCode::BAD_REQUEST, Bytes::new());
    };
    let max_delay_ms = max_delay_ms.min(MAX_DELAY_MS);
    let result = group_commit.commit(txn, max_delay_ms).await;
    let outcome = WireOutcome::from_result(&result);
    respond(StatusCode::OK, commit_wire::encode_outcome(&outcome))
}

fn respond(status: StatusCode, body: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from_bytes(body));
    *response.status_mut() = status;
    response
}

#[cfg(test)]
#[path = "../tests/unit/commits.rs"]
mod tests;
