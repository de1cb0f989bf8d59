//! Inputs and results of jobs as nodes read them from each other.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use base::{Clock, Millis};
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

/// Path of the values that a node keeps; the key follows.
pub(crate) const BULK_PATH: &str = "/bulk/";

/// Longest wait for another node's answer. Some ten times what a node takes
/// that is not overloaded; the service answers in milliseconds.
const ANSWER: Duration = Duration::from_millis(150);

/// How long a node that did not answer is not asked again, in milliseconds:
/// a lost one leaves the list of nodes about then.
const AGAIN_MS: u64 = 3_000;

/// Largest value; the service's own hold about a megabyte.
const MOST_BYTES: usize = 2 * 1024 * 1024;

/// Reads inputs and results from the node that runs the job.
///
/// That node wrote the results, and read the inputs, seconds ago. Each front
/// that answers a caller would otherwise read them from the key-value
/// service: three to four reads for each write of results, a third of all
/// calls that a fleet paid for.
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
    ) -> Self {
        Self {
            node: node.to_owned(),
            view,
            pool: Arc::default(),
            clock,
            silent: Arc::default(),
        }
    }

    fn owner(&self, job: &JobKey, head: &JobManifest) -> Option<NodeRecord> {
        let members = self.view.members();
        let owner = members.owner(job, head)?;
        let now = self.clock.now();
        let mut silent = lock(&self.silent);
        silent.retain(|_, at| now.saturating_ms_since(*at) < AGAIN_MS);
        if owner == self.node || silent.contains_key(owner) {
            return None;
        }
        members.get(owner).cloned()
    }
}

impl BulkPeers for PeerBulk {
    fn read(&self, job: &JobKey, head: &JobManifest, key: &str) -> BulkFuture {
        let Some(owner) = self.owner(job, head) else {
            return Box::pin(std::future::ready(None));
        };
        let (pool, clock) = (self.pool.clone(), self.clock.clone());
        let (silent, key) = (self.silent.clone(), key.to_owned());
        Box::pin(async move {
            let asked = time::timeout(ANSWER, ask(&pool, &owner, &key)).await;
            match asked.unwrap_or(Asked::Silent) {
                Asked::Found(value) => Some(value),
                Asked::Missing => None,
                Asked::Silent => {
                    log::info!(node = owner.node.as_str();
                        "a node does not tell what it keeps of a job");
                    lock(&silent).insert(owner.node, clock.now());
                    None
                }
            }
        })
    }
}

enum Asked {
    Found(BulkValue),
    Missing,
    Silent,
}

async fn ask(pool: &Pool, owner: &NodeRecord, key: &str) -> Asked {
    let Some(peer) = peer::endpoint_of(owner) else {
        return Asked::Missing;
    };
    let path = format!("{BULK_PATH}{key}");
    let Some(request) = peer::question(&peer, &path) else {
        return Asked::Missing;
    };
    match pool.call(&peer, request, MOST_BYTES).await {
        CallOutcome::Answered(head, body) if head.status.is_success() => {
            Asked::Found(Arc::new(body.to_vec()))
        }
        CallOutcome::Answered(..) => Asked::Missing,
        CallOutcome::NotSent | CallOutcome::Broken => Asked::Silent,
    }
}

/// Answers questions of other nodes for values of jobs that this one runs.
///
/// A value that is not kept here is read from the key-value service, once for
/// all that ask. What goes wrong without that: where all nodes have started
/// anew, each front that answers a caller reads the results of each job by
/// itself, 880 calls after the last fault of one day.
#[derive(Clone)]
pub(crate) struct BulkAnswers {
    cache: Arc<BulkCache>,
    ledger: Ledger,
    /// Held while a value is read, so that nobody else reads it as well.
    reading: Arc<tokio::sync::Mutex<()>>,
}

impl BulkAnswers {
    pub(crate) fn new(cache: Arc<BulkCache>, ledger: Ledger) -> Self {
        Self {
            cache,
            ledger,
            reading: Arc::default(),
        }
    }

    pub(crate) async fn answer(self, key: String) -> Response<ResponseBody> {
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
        let _reading = self.reading.lock().await;
        if let Some(value) = self.cache.get(key) {
            return Some(value);
        }
        match self.ledger.value(key).await {
            Ok(value) => Some(value),
            Err(report) => {
                log::info!(key, error:% = report.current_context();
                    "a value that another node asks for is not found");
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
#[path = "../tests/unit/siblings.rs"]
mod tests;
