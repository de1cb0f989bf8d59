//! Serves and fetches job manifests between nodes.
//!
//! Workers follow the manifests of all jobs, fronts do not: a fleet makes
//! hundreds of changes a second, of which a front needs the few that its
//! callers request. It queries the worker that runs the job, which knows a
//! result as soon as it is listed, or another worker while it does not know
//! which one runs the job.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use base::{Clock, Millis, mix, stable_hash};
use budget::MemoryBudget;
use bytes::Bytes;
use http::{Response, StatusCode, Uri};
use indexmap::IndexMap;
use jobs::{
    JobKey, JobView, KnownManifest, ManifestFuture, ManifestSource,
    NodeRecord, StoredManifest, ViewManifests, decode_manifest,
    encode_manifest,
};
use pass::{CallOutcome, Pool, ResponseBody};
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::{feed_wire::query_number, peer};

/// Path prefix of the manifests that a worker knows, followed by the job.
pub(crate) const MANIFEST_PATH: &str = "/head/";

/// Maximum wait for a response beyond the time that the request waits for a
/// change, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 150;

/// Maximum time that a request waits for a change, in milliseconds.
const MAX_WAIT_MS: u64 = 2_000;

/// Backoff for a worker that did not respond, in milliseconds.
const SILENT_BACKOFF_MS: u64 = 3_000;

/// Maximum number of manifests that a front remembers in order to know which
/// worker to query for changes.
const MAX_REMEMBERED: usize = 256;

/// Maximum number of workers that are queried for a manifest, one after the
/// other.
const MAX_QUERIED_WORKERS: usize = 2;

/// Maximum size of a manifest: several times the positions of all items of the
/// largest job.
const MAX_MANIFEST_BYTES: usize = 4 * 1024 * 1024;

/// Header that precedes the manifest in a response.
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct WireHeader {
    revision: u64,
    age_ms: u64,
}

/// Separates the header from the manifest.
const SEPARATOR: u8 = b'\n';

/// Serves requests for manifests.
#[derive(Clone)]
pub(crate) struct ManifestResponder(ViewManifests);

impl ManifestResponder {
    pub(crate) fn new(view: JobView, clock: Arc<dyn Clock>) -> Self {
        Self(ViewManifests::new(view, clock))
    }

    pub(crate) async fn respond(self, uri: Uri) -> Response<ResponseBody> {
        let job = uri.path().strip_prefix(MANIFEST_PATH).unwrap_or_default();
        let wait_ms = query_number(&uri, "wait_ms").unwrap_or(0);
        let after = query_number(&uri, "after");
        let known = match job.parse::<JobKey>() {
            Ok(job) => {
                self.0.read(&job, after, wait_ms.min(MAX_WAIT_MS)).await
            }
            Err(_) => None,
        };
        let mut response = Response::new(ResponseBody::from_bytes(
            known.as_ref().and_then(encode).unwrap_or_default(),
        ));
        if known.is_none() {
            *response.status_mut() = StatusCode::NOT_FOUND;
        }
        response
    }
}

fn encode(known: &KnownManifest) -> Option<Bytes> {
    let header = WireHeader {
        revision: known.stored.revision,
        age_ms: known.age_ms,
    };
    let mut bytes = serde_json::to_vec(&header).ok()?;
    bytes.push(SEPARATOR);
    bytes.extend(encode_manifest(&known.stored.manifest).ok()?);
    Some(Bytes::from(bytes))
}

fn decode(bytes: &[u8]) -> Option<KnownManifest> {
    let end = bytes.iter().position(|byte| *byte == SEPARATOR)?;
    let (header, manifest) = bytes.split_at(end);
    let header: WireHeader = serde_json::from_slice(header).ok()?;
    let manifest = decode_manifest(&manifest[1..]).ok()?;
    Some(KnownManifest {
        stored: StoredManifest {
            manifest,
            revision: header.revision,
        },
        age_ms: header.age_ms,
    })
}

/// Queries workers for manifests.
pub(crate) struct PeerManifests {
    view: JobView,
    pool: Pool,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Manifests that were read recently, the oldest first.
    remembered: IndexMap<JobKey, StoredManifest>,
    silent: IndexMap<String, Millis>,
}

impl PeerManifests {
    pub(crate) fn new(
        view: JobView,
        clock: Arc<dyn Clock>,
        memory: MemoryBudget,
    ) -> Self {
        Self {
            view,
            pool: Pool::default().with_memory(memory),
            clock,
            state: Mutex::default(),
        }
    }

    async fn query_workers(
        &self,
        job: &JobKey,
        after: Option<u64>,
        wait_ms: u64,
    ) -> Option<KnownManifest> {
        for worker in self.workers_for(job) {
            match self.query(&worker, job, after, wait_ms).await {
                Ok(known) => {
                    if let Some(known) = &known {
                        self.note(job, &known.stored);
                    }
                    return known;
                }
                Err(()) => self.record_silence(&worker),
            }
        }
        None
    }

    /// Returns the workers to query: the one that runs the job, if known, and
    /// others chosen by the hash of the job.
    fn workers_for(&self, job: &JobKey) -> Vec<NodeRecord> {
        let members = self.view.members();
        let now = self.clock.now();
        let mut state = self.lock();
        state
            .silent
            .retain(|_, at| now.saturating_ms_since(*at) < SILENT_BACKOFF_MS);
        let known = state.remembered.get(job);
        let owner =
            known.and_then(|stored| members.owner(job, &stored.manifest));
        let nodes = members.nodes();
        let job_hash = stable_hash(&[job.as_str()]);
        let by_hash = (0..MAX_QUERIED_WORKERS as u64).filter_map(|nth| {
            let index = mix(job_hash ^ nth) as usize;
            Some(&nodes[index.checked_rem(nodes.len())?])
        });
        let owner = owner.and_then(|owner| members.get(owner));
        let mut selected: Vec<NodeRecord> = Vec::new();
        for worker in owner.into_iter().chain(by_hash) {
            let is_selected =
                selected.iter().any(|known| known.node == worker.node);
            if !is_selected && !state.silent.contains_key(&worker.node) {
                selected.push(worker.clone());
            }
        }
        selected.truncate(MAX_QUERIED_WORKERS);
        selected
    }

    async fn query(
        &self,
        worker: &NodeRecord,
        job: &JobKey,
        after: Option<u64>,
        wait_ms: u64,
    ) -> Result<Option<KnownManifest>, ()> {
        let peer = peer::endpoint_of(worker).ok_or(())?;
        let after = after.map(|after| format!("&after={after}"));
        let after = after.unwrap_or_default();
        let path = format!("{MANIFEST_PATH}{job}?wait_ms={wait_ms}{after}");
        let request = peer::new_request(&peer, &path).ok_or(())?;
        let call = self.pool.call(&peer, request, MAX_MANIFEST_BYTES);
        let timeout = Duration::from_millis(wait_ms + RESPONSE_TIMEOUT_MS);
        match time::timeout(timeout, call).await {
            Ok(CallOutcome::Answered(head, body))
                if head.status.is_success() =>
            {
                decode(&body).map(Some).ok_or(())
            }
            Ok(CallOutcome::Answered(..)) => Ok(None),
            _ => Err(()),
        }
    }

    fn record_silence(&self, worker: &NodeRecord) {
        log::info!(node = worker.node.as_str();
            "a worker does not respond for a job");
        let now = self.clock.now();
        self.lock().silent.insert(worker.node.clone(), now);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ManifestSource for PeerManifests {
    fn read<'a>(
        &'a self,
        job: &'a JobKey,
        after: Option<u64>,
        wait_ms: u64,
    ) -> ManifestFuture<'a> {
        Box::pin(self.query_workers(job, after, wait_ms))
    }

    fn note(&self, job: &JobKey, stored: &StoredManifest) {
        let mut state = self.lock();
        let known = state.remembered.get(job);
        if known.is_some_and(|known| known.revision >= stored.revision) {
            return;
        }
        state.remembered.insert(job.clone(), stored.clone());
        if state.remembered.len() > MAX_REMEMBERED {
            state.remembered.shift_remove_index(0);
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/job_manifests.rs"]
mod tests;
