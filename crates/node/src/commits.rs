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
use pass::{AnswerBody, Counters, Fetch, Pool, read_body};
use tokio::time;

use crate::{
    commit_wire::{self, WireOutcome},
    peer,
};

/// Path prefix at which a node receives the writes of others, followed by the
/// maximum delay of the write in milliseconds.
pub(crate) const COMMIT_PATH: &str = "/commit/";

/// Number of workers for each collector. Ten thousand rows a second would be
/// too many for one; this many workers write some hundred.
const WORKERS_OF_ONE: usize = 128;

/// Salt that separates the choice of collectors from others by the same
/// hashes, so that one worker does not get all special tasks.
const CHOICE: u64 = 0x636f_6d6d_6974;

/// Number of collectors that a node tries, one after the other.
const CANDIDATES: usize = 2;

/// Maximum wait for a response beyond the delay of the write, in milliseconds:
/// that of a call to the key-value service, and a round trip between nodes.
const ANSWER_MS: u64 = 1_400;

/// Backoff for a worker that did not respond, in milliseconds.
const AGAIN_MS: u64 = 3_000;

/// Maximum size of a request: the inputs of a job as one value, and some extra
/// space.
pub(crate) const MOST_BYTES: usize = 8 * 1024 * 1024;

/// Maximum size of a response.
const ANSWER_BYTES: usize = 4 * 1024;

/// A key-value service that sends writes that can be delayed through the
/// collector.
#[derive(Clone)]
pub(crate) struct SharedCommits {
    kv: Arc<dyn Kv>,
    /// Batches on this node the writes that others send to it.
    group: GroupCommit,
    node: String,
    view: JobView,
    pool: Arc<Pool>,
    clock: Arc<dyn Clock>,
    counters: Arc<Counters>,
    choice: Arc<Mutex<Choice>>,
}

/// The collectors of this node, and the roster that they are derived from.
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
        if !batch::can_share(&txn) {
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

    /// Sends a write to another worker; `None` if that worker certainly did
    /// not receive it.
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
        let exchange = self.pool.exchange(&peer, request, ANSWER_BYTES);
        let wait = Duration::from_millis(patience_ms + ANSWER_MS);
        match time::timeout(wait, exchange).await {
            Ok(Fetch::Answered(head, body)) if head.status.is_success() => {
                let outcome = commit_wire::decode_outcome(&body);
                Some(outcome.into_result(txn))
            }
            Ok(Fetch::Answered(..) | Fetch::NotSent) => {
                self.note_silent(worker);
                None
            }
            Ok(Fetch::Broken) | Err(_) => {
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

    fn txn_within(
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

/// Maximum delay of a write of another node, in milliseconds, whatever it asks
/// for.
const PATIENCE_MOST_MS: u64 = 2_000;

/// Commits a write of another node and responds when its outcome is known.
pub(crate) async fn take(
    group: GroupCommit,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
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

fn answer(status: StatusCode, body: Bytes) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::own(body));
    *response.status_mut() = status;
    response
}

#[cfg(test)]
#[path = "../tests/unit/commits.rs"]
mod tests;
