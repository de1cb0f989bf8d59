//! Manifests of jobs as fronts ask for them.
//!
//! Workers follow the heads of all jobs, fronts do not: of a fleet with
//! hundreds of changes a second a front needs those few that its callers ask
//! for. It asks the worker that runs the job, which knows of a result as soon
//! as that is listed, or another worker as long as it does not know which one
//! that is.

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
use pass::{CallOutcome, Pool, ResponseBody};
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::{feed_wire::number_in, peer};

/// Path of the heads that a worker knows; the job follows.
pub(crate) const HEAD_PATH: &str = "/head/";

/// Longest wait for an answer beyond what the question waits for news.
const ANSWER_MS: u64 = 150;

/// Longest that a question is made to wait, in milliseconds.
const WAIT_MOST_MS: u64 = 2_000;

/// How long a worker that did not answer is not asked again, in milliseconds.
const AGAIN_MS: u64 = 3_000;

/// Manifests that a front remembers, so that it knows whom to ask for news.
const REMEMBERED_MOST: usize = 256;

/// Workers that are asked for one head, one after the other.
const ASKED_MOST: usize = 2;

/// Largest head: positions of all items of the largest job, several times.
const HEAD_BYTES: usize = 4 * 1024 * 1024;

/// What precedes the head in an answer.
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct WireKnown {
    revision: u64,
    age_ms: u64,
}

/// Ends what precedes it.
const SEPARATOR: u8 = b'\n';

/// Answers questions for heads.
#[derive(Clone)]
pub(crate) struct HeadAnswers(ViewManifests);

impl HeadAnswers {
    pub(crate) fn new(view: JobView, clock: Arc<dyn Clock>) -> Self {
        Self(ViewManifests::new(view, clock))
    }

    pub(crate) async fn answer(self, uri: Uri) -> Response<ResponseBody> {
        let job = uri.path().strip_prefix(HEAD_PATH).unwrap_or_default();
        let wait_ms = number_in(&uri, "wait_ms").unwrap_or(0);
        let after = number_in(&uri, "after");
        let known = match job.parse::<JobKey>() {
            Ok(job) => {
                self.0.read(&job, after, wait_ms.min(WAIT_MOST_MS)).await
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

/// Asks workers for heads.
pub(crate) struct PeerHeads {
    view: JobView,
    pool: Pool,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Manifests that were read lately, the oldest first.
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

    /// Returns the workers to ask: the one that runs the job, if it is known,
    /// and others that the job draws.
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
        let exchange = self.pool.call(&peer, request, HEAD_BYTES);
        let patience = Duration::from_millis(wait_ms + ANSWER_MS);
        match time::timeout(patience, exchange).await {
            Ok(CallOutcome::Answered(head, body))
                if head.status.is_success() =>
            {
                decode(&body).map(Some).ok_or(())
            }
            Ok(CallOutcome::Answered(..)) => Ok(None),
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
