//! Serves and fetches inputs and results of jobs between nodes.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use base::{Clock, Millis};
use budget::MemoryBudget;
use bytes::Bytes;
use http::{Response, StatusCode};
use indexmap::IndexMap;
use jobs::{
    BulkCache, BulkFuture, BulkPeers, BulkValue, JobKey, JobManifest, JobView,
    Ledger, NodeRecord,
};
use pass::{CallOutcome, Pool, ResponseBody};
use tokio::time;

use crate::peer;

/// Path prefix of cached values, followed by the key.
pub(crate) const BULK_PATH: &str = "/bulk/";

/// Maximum wait for another node's response. About ten times what a node needs
/// that is not overloaded; the key-value service responds within milliseconds.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);

/// Backoff for a node that did not respond, in milliseconds: a lost one
/// disappears from the list of nodes in about that time.
const SILENT_BACKOFF_MS: u64 = 3_000;

/// Maximum size of a value; values of the key-value service have about a
/// megabyte.
const MAX_VALUE_BYTES: usize = 2 * 1024 * 1024;

/// Reads inputs and results from the node that runs the job.
///
/// That node wrote the results, and read the inputs, seconds ago. Otherwise
/// each front that serves a caller would read them from the key-value service:
/// three to four reads for each write of results, a third of all calls that a
/// fleet paid for.
pub(crate) struct PeerBulk {
    node: String,
    view: JobView,
    pool: Arc<Pool>,
    clock: Arc<dyn Clock>,
    silent: Arc<Mutex<IndexMap<String, Millis>>>,
}

impl PeerBulk {
    pub(crate) fn new(
        node: &str,
        view: JobView,
        clock: Arc<dyn Clock>,
        memory: MemoryBudget,
    ) -> Self {
        Self {
            node: node.to_owned(),
            view,
            pool: Arc::new(Pool::default().with_memory(memory)),
            clock,
            silent: Arc::default(),
        }
    }

    fn owner(
        &self,
        job: &JobKey,
        manifest: &JobManifest,
    ) -> Option<NodeRecord> {
        let members = self.view.members();
        let owner = members.owner(job, manifest)?;
        let now = self.clock.now();
        let mut silent = lock(&self.silent);
        silent
            .retain(|_, at| now.saturating_ms_since(*at) < SILENT_BACKOFF_MS);
        if owner == self.node || silent.contains_key(owner) {
            return None;
        }
        members.get(owner).cloned()
    }
}

impl BulkPeers for PeerBulk {
    fn read(
        &self,
        job: &JobKey,
        manifest: &JobManifest,
        key: &str,
    ) -> BulkFuture {
        let Some(owner) = self.owner(job, manifest) else {
            return Box::pin(std::future::ready(None));
        };
        let (pool, clock) = (self.pool.clone(), self.clock.clone());
        let (silent, key) = (self.silent.clone(), key.to_owned());
        Box::pin(async move {
            let outcome = time::timeout(
                RESPONSE_TIMEOUT,
                fetch_value(&pool, &owner, &key),
            )
            .await;
            match outcome.unwrap_or(FetchOutcome::Silent) {
                FetchOutcome::Found(value) => Some(value),
                FetchOutcome::Missing => None,
                FetchOutcome::Silent => {
                    log::info!(node = owner.node.as_str();
                        "a node does not tell what it keeps of a job");
                    lock(&silent).insert(owner.node, clock.now());
                    None
                }
            }
        })
    }
}

enum FetchOutcome {
    Found(BulkValue),
    Missing,
    Silent,
}

async fn fetch_value(
    pool: &Pool,
    owner: &NodeRecord,
    key: &str,
) -> FetchOutcome {
    let Some(peer) = peer::endpoint_of(owner) else {
        return FetchOutcome::Missing;
    };
    let path = format!("{BULK_PATH}{key}");
    let Some(request) = peer::new_request(&peer, &path) else {
        return FetchOutcome::Missing;
    };
    match pool.call(&peer, request, MAX_VALUE_BYTES).await {
        CallOutcome::Answered(head, body) if head.status.is_success() => {
            FetchOutcome::Found(Arc::new(body.to_vec()))
        }
        CallOutcome::Answered(..) => FetchOutcome::Missing,
        CallOutcome::NotSent | CallOutcome::Broken => FetchOutcome::Silent,
    }
}

/// Serves the values of jobs that this node runs to other nodes.
///
/// A value that is not cached is read from the key-value service, once for all
/// requests. Otherwise, after a restart of all nodes, each front that serves a
/// caller reads the results of each job by itself: 880 calls after the last
/// fault of one day.
#[derive(Clone)]
pub(crate) struct BulkResponder {
    cache: Arc<BulkCache>,
    ledger: Ledger,
    /// Locked while a value is read, so that concurrent requests share the
    /// read.
    read_lock: Arc<tokio::sync::Mutex<()>>,
}

impl BulkResponder {
    pub(crate) fn new(cache: Arc<BulkCache>, ledger: Ledger) -> Self {
        Self {
            cache,
            ledger,
            read_lock: Arc::default(),
        }
    }

    pub(crate) async fn respond(self, key: String) -> Response<ResponseBody> {
        if let Some(value) = self.value(&key).await {
            let bytes = Bytes::copy_from_slice(&value);
            return Response::new(ResponseBody::from_bytes(bytes));
        }
        let mut response =
            Response::new(ResponseBody::from_bytes(Bytes::new()));
        *response.status_mut() = StatusCode::NOT_FOUND;
        response
    }

    async fn value(&self, key: &str) -> Option<BulkValue> {
        if let Some(value) = self.cache.get(key) {
            return Some(value);
        }
        let _guard = self.read_lock.lock().await;
        if let Some(value) = self.cache.get(key) {
            return Some(value);
        }
        match self.ledger.value(key).await {
            Ok(value) => Some(value),
            Err(report) => {
                log::info!(key, error:% = report.current_context();
                    "a value that another node requests is not found");
                None
            }
        }
    }
}

fn lock(
    silent: &Mutex<IndexMap<String, Millis>>,
) -> MutexGuard<'_, IndexMap<String, Millis>> {
    silent.lock().unwrap_or_else(PoisonError::into_inner)
}

#[cfg(test)]
#[path = "../tests/unit/peer_bulk.rs"]
mod tests;
