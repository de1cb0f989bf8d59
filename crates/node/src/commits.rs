//! Writes that share calls to the key-value service with those of other
//! nodes.
//!
//! One worker of many collects the writes that can wait a little and sends
//! them together ([`GroupCommit`]). What is urgent goes to the service
//! directly, and so does everything while the collecting worker does not
//! answer.
//!
//! Rejected: one collecting worker in each failure domain. It saves bytes
//! between them, but six calls go out for each that one worker makes, and
//! calls are the dearer ones. And longer pauses between the writes of each
//! node: results would be read later, and calls still grow with the nodes.

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
use pass::{CallOutcome, Counters, Pool, ResponseBody, read_body};
use tokio::time;

use crate::{
    commit_wire::{self, WireOutcome},
    peer,
};

/// Path at which a node takes the writes of others; the time that one can
/// wait follows, in milliseconds.
pub(crate) const COMMIT_PATH: &str = "/commit/";

/// Workers whose writes one of them collects. Ten thousand rows a second
/// would be too many for one; this many workers write some hundred.
const WORKERS_OF_ONE: usize = 128;

/// Tells the choice of collecting workers from others that go by the same
/// hashes, so that one worker does not have all special tasks.
const CHOICE: u64 = 0x636f_6d6d_6974;

/// Collecting workers that a node tries one after the other.
const CANDIDATES: usize = 2;

/// Longest wait for an answer beyond what the write can wait, in
/// milliseconds: that of a call to the service, and a way there and back.
const ANSWER_MS: u64 = 1_400;

/// How long a worker that did not answer is not asked again, in
/// milliseconds.
const AGAIN_MS: u64 = 3_000;

/// Largest call: the inputs of a job as one value, and a few more.
pub(crate) const MOST_BYTES: usize = 8 * 1024 * 1024;

/// Largest answer.
const ANSWER_BYTES: usize = 4 * 1024;

/// The key-value service for writes that can wait: they go through the
/// collecting worker.
#[derive(Clone)]
pub(crate) struct SharedCommits {
    kv: Arc<dyn Kv>,
    /// Collects on this node what others send here.
    group: GroupCommit,
    node: String,
    view: JobView,
    pool: Arc<Pool>,
    clock: Arc<dyn Clock>,
    counters: Arc<Counters>,
    choice: Arc<Mutex<Choice>>,
}

/// The collecting workers of this node, and what they follow from.
#[derive(Default)]
struct Choice {
    roster: Option<Roster>,
    candidates: Vec<NodeRecord>,
    silent: Vec<(String, Millis)>,
}

impl Choice {
    fn follow(&mut self, roster: Roster, node: &str) {
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
        mix(stable_hash(&[&worker.node]) ^ CHOICE)
    });
    let groups = ranked.len().div_ceil(WORKERS_OF_ONE).max(1);
    let first = stable_hash(&[node]) as usize % groups;
    let of_group = ranked.into_iter().skip(first).step_by(groups);
    of_group.take(CANDIDATES).cloned().collect()
}

impl SharedCommits {
    pub(crate) fn new(
        kv: Arc<dyn Kv>,
        group: GroupCommit,
        node: &str,
        view: JobView,
        clock: Arc<dyn Clock>,
        counters: Arc<Counters>,
    ) -> Self {
        Self {
            kv,
            group,
            node: node.to_owned(),
            view,
            pool: Arc::default(),
            clock,
            counters,
            choice: Arc::default(),
        }
    }

    async fn commit(&self, txn: Txn, patience_ms: u64) -> TxnResult {
        let Some(worker) = self.collecting_worker() else {
            return self.kv.txn(txn).await;
        };
        if !batch::is_batchable(&txn) {
            return self.kv.txn(txn).await;
        }
        if worker.node == self.node {
            return self.group.commit(txn, patience_ms).await;
        }
        match self.ask(&worker, &txn, patience_ms).await {
            Some(result) => result,
            None => self.kv.txn(txn).await,
        }
    }

    /// Asks another worker; none if it surely did not take the write.
    async fn ask(
        &self,
        worker: &NodeRecord,
        txn: &Txn,
        patience_ms: u64,
    ) -> Option<TxnResult> {
        let peer = peer::endpoint_of(worker)?;
        let path = format!("{COMMIT_PATH}{patience_ms}");
        let mut request = peer::question(&peer, &path)?;
        *request.method_mut() = Method::POST;
        *request.body_mut() = commit_wire::encode(txn)?;
        Counters::add(&self.counters.commits_shared);
        let exchange = self.pool.call(&peer, request, ANSWER_BYTES);
        let wait = Duration::from_millis(patience_ms + ANSWER_MS);
        match time::timeout(wait, exchange).await {
            Ok(CallOutcome::Answered(head, body))
                if head.status.is_success() =>
            {
                let outcome = commit_wire::decode_outcome(&body);
                Some(outcome.into_result(txn))
            }
            Ok(CallOutcome::Answered(..) | CallOutcome::NotSent) => {
                self.note_silent(worker);
                None
            }
            Ok(CallOutcome::Broken) | Err(_) => {
                self.note_silent(worker);
                let report = Report::new(KvError::Unknown);
                Some(Err(report.attach("the collecting worker is silent")))
            }
        }
    }

    fn collecting_worker(&self) -> Option<NodeRecord> {
        let roster = self.view.roster();
        let now = self.clock.now();
        let mut choice = self.lock();
        choice.follow(roster, &self.node);
        choice
            .silent
            .retain(|(_, at)| now.saturating_ms_since(*at) < AGAIN_MS);
        let is_silent = |name: &str| {
            choice.silent.iter().any(|(silent, _)| silent == name)
        };
        let mut candidates = choice.candidates.iter();
        candidates.find(|worker| !is_silent(&worker.node)).cloned()
    }

    fn note_silent(&self, worker: &NodeRecord) {
        log::info!(node = worker.node.as_str();
            "the worker that collects writes does not answer");
        let now = self.clock.now();
        self.lock().silent.push((worker.node.clone(), now));
    }

    fn lock(&self) -> MutexGuard<'_, Choice> {
        self.choice.lock().unwrap_or_else(PoisonError::into_inner)
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
        patience_ms: u64,
    ) -> KvFuture<'_, TxnReply> {
        Box::pin(self.commit(txn, patience_ms))
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

/// Longest that a write of another node is made to wait, in milliseconds,
/// whatever it asks for.
const PATIENCE_MOST_MS: u64 = 2_000;

/// Takes a write of another node and answers when its outcome is known.
pub(crate) async fn take(
    group: GroupCommit,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let path = request.uri().path();
    let patience = path.strip_prefix(COMMIT_PATH).unwrap_or_default();
    let patience_ms: Option<u64> = patience.parse().ok();
    let body = match read_body(request.into_body(), MOST_BYTES).await {
        Ok(body) => body,
        Err(refusal) => return refusal.into_response(),
    };
    let txn = commit_wire::decode(&body);
    let (Some(txn), Some(patience_ms)) = (txn, patience_ms) else {
        log::warn!(bytes = body.len();
            "a write of another node is malformed and is not taken");
        return answer(StatusCode::BAD_REQUEST, Bytes::new());
    };
    let patience_ms = patience_ms.min(PATIENCE_MOST_MS);
    let result = group.commit(txn, patience_ms).await;
    let outcome = WireOutcome::of(&result);
    answer(StatusCode::OK, commit_wire::encode_outcome(&outcome))
}

fn answer(status: StatusCode, body: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from_bytes(body));
    *response.status_mut() = status;
    response
}

#[cfg(test)]
#[path = "../tests/unit/commits.rs"]
mod tests;
