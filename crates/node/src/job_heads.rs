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
use bytes::Bytes;
use http::{Response, StatusCode, Uri};
use indexmap::IndexMap;
use jobs::{
    JobKey, JobView, KnownManifest, ManifestFuture, ManifestSource,
    NodeRecord, StoredManifest, ViewManifests, decode_manifest,
    encode_manifest,
};
use pass::{AnswerBody, Fetch, Pool};
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::{feed_wire::number_in, peer};

/// Path prefix of the manifests that a worker knows, followed by the job.
pub(crate) const HEAD_PATH: &str = "/head/";

/// Maximum wait for a response beyond the time that the request waits for a
/// change, in milliseconds.
const ANSWER_MS: u64 = 150;

/// Maximum time that a request waits for a change, in milliseconds.
const WAIT_MOST_MS: u64 = 2_000;

/// Backoff for a worker that did not respond, in milliseconds.
const AGAIN_MS: u64 = 3_000;

/// Maximum number of manifests that a front remembers in order to know which
/// worker to query for changes.
const REMEMBERED_MOST: usize = 256;

/// Maximum number of workers that are queried for a manifest, one after the
/// other.
const ASKED_MOST: usize = 2;

/// Maximum size of a manifest: several times the positions of all items of the
/// largest job.
const HEAD_BYTES: usize = 4 * 1024 * 1024;

/// Header that precedes the manifest in a response.
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct WireKnown {
    revision: u64,
    age_ms: u64,
}

/// Separates the header from the manifest.
const SEPARATOR: u8 = b'\n';

/// Serves requests for manifests.
#[derive(Clone)]
pub(crate) struct HeadAnswers(ViewManifests);

impl HeadAnswers {
    pub(crate) fn new(view: JobView, clock: Arc<dyn Clock>) -> Self {
        Self(ViewManifests::new(view, clock))
    }

    pub(crate) async fn answer(self, uri: Uri) -> Response<AnswerBody> {
        let job = uri.path().strip_prefix(HEAD_PATH).unwrap_or_default();
        let wait_ms = number_in(&uri, "wait_ms").unwrap_or(0);
        let after = number_in(&uri, "after");
        let known = match job.parse::<JobKey>() {
            Ok(job) => {
                self.0.read(&job, after, wait_ms.min(WAIT_MOST_MS)).await
            }
            Err(_) => None,
        };
        let mut response = Response::new(AnswerBody::own(
            known.as_ref().and_then(encode).unwrap_or_default(),
        ));
        if known.is_none() {
            *response.status_mut() = StatusCode::NOT_FOUND;
        }
        response
    }
}

fn encode(known: &KnownManifest) -> Option<Bytes> {
    let wire = WireKnown {
        revision: known.stored.revision,
        age_ms: known.age_ms,
    };
    let mut bytes = serde_json::to_vec(&wire).ok()?;
    bytes.push(SEPARATOR);
    bytes.extend(encode_manifest(&known.stored.manifest).ok()?);
    Some(Bytes::from(bytes))
}

fn decode(bytes: &[u8]) -> Option<KnownManifest> {
    let end = bytes.iter().position(|byte| *byte == SEPARATOR)?;
    let (wire, head) = bytes.split_at(end);
    let wire: WireKnown = serde_json::from_slice(wire).ok()?;
    let head = decode_manifest(&head[1..]).ok()?;
    Some(KnownManifest {
        stored: StoredManifest {
            manifest: head,
            revision: wire.revision,
        },
        age_ms: wire.age_ms,
    })
}

/// Queries workers for manifests.
pub(crate) struct PeerHeads {
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

impl PeerHeads {
    pub(crate) fn new(view: JobView, clock: Arc<dyn Clock>) -> Self {
        Self {
            view,
            pool: Pool::default(),
            clock,
            state: Mutex::default(),
        }
    }

    async fn ask_workers(
        &self,
        job: &JobKey,
        after: Option<u64>,
        wait_ms: u64,
    ) -> Option<KnownManifest> {
        for worker in self.workers_for(job) {
            match self.ask(&worker, job, after, wait_ms).await {
                Ok(known) => {
                    if let Some(known) = &known {
                        self.note(job, &known.stored);
                    }
                    return known;
                }
                Err(()) => self.note_silent(&worker),
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
            .retain(|_, at| now.saturating_ms_since(*at) < AGAIN_MS);
        let known = state.remembered.get(job);
        let owner =
            known.and_then(|stored| members.owner(job, &stored.manifest));
        let nodes = members.nodes();
        let draw = stable_hash(&[job.as_str()]);
        let drawn = (0..ASKED_MOST as u64).filter_map(|nth| {
            let at = mix(draw ^ nth) as usize;
            Some(&nodes[at.checked_rem(nodes.len())?])
        });
        let owner = owner.and_then(|owner| members.get(owner));
        let mut asked: Vec<NodeRecord> = Vec::new();
        for worker in owner.into_iter().chain(drawn) {
            let is_known = asked.iter().any(|one| one.node == worker.node);
            if !is_known && !state.silent.contains_key(&worker.node) {
                asked.push(worker.clone());
            }
        }
        asked.truncate(ASKED_MOST);
        asked
    }

    async fn ask(
        &self,
        worker: &NodeRecord,
        job: &JobKey,
        after: Option<u64>,
        wait_ms: u64,
    ) -> Result<Option<KnownManifest>, ()> {
        let peer = peer::endpoint_of(worker).ok_or(())?;
        let after = after.map(|after| format!("&after={after}"));
        let after = after.unwrap_or_default();
        let path = format!("{HEAD_PATH}{job}?wait_ms={wait_ms}{after}");
        let request = peer::question(&peer, &path).ok_or(())?;
        let exchange = self.pool.exchange(&peer, request, HEAD_BYTES);
        let patience = Duration::from_millis(wait_ms + ANSWER_MS);
        match time::timeout(patience, exchange).await {
            Ok(Fetch::Answered(head, body)) if head.status.is_success() => {
                decode(&body).map(Some).ok_or(())
            }
            Ok(Fetch::Answered(..)) => Ok(None),
            _ => Err(()),
        }
    }

    fn note_silent(&self, worker: &NodeRecord) {
        log::info!(node = worker.node.as_str();
            "a worker does not answer for a job");
        let now = self.clock.now();
        self.lock().silent.insert(worker.node.clone(), now);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ManifestSource for PeerHeads {
    fn read<'a>(
        &'a self,
        job: &'a JobKey,
        after: Option<u64>,
        wait_ms: u64,
    ) -> ManifestFuture<'a> {
        Box::pin(self.ask_workers(job, after, wait_ms))
    }

    fn note(&self, job: &JobKey, stored: &StoredManifest) {
        let mut state = self.lock();
        let known = state.remembered.get(job);
        if known.is_some_and(|known| known.revision >= stored.revision) {
            return;
        }
        state.remembered.insert(job.clone(), stored.clone());
        if state.remembered.len() > REMEMBERED_MOST {
            state.remembered.shift_remove_index(0);
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/job_heads.rs"]
mod tests;
