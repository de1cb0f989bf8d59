//! Pushes new jobs from the front that accepted them to the worker that runs
//! them.
//!
//! Without a push, the worker receives the job with the next change of the
//! worker's feed, a third of a second later, and reads the job's inputs from
//! the key-value service with one call for each job. A lost push costs no more
//! than this delay and this call.

use std::{sync::Arc, time::Duration};

use base::Clock;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use jobs::{
    BulkCache, JobKey, JobView, Ledger, StoredManifest, decode_manifest_row,
};
use kv::Op;
use pass::{CallOutcome, Pool, ResponseBody};
use tokio::time;

use crate::{
    commit_wire, commits::MAX_REQUEST_BYTES, peer, peer_bodies::PeerBodies,
};

/// Path prefix at which a worker receives new jobs, followed by the revision
/// of the manifest.
pub(crate) const PUSH_PATH: &str = "/new-job/";

/// Maximum wait for the worker's response, in milliseconds. After about that
/// time the worker's feed delivers the job anyway.
const PUSH_TIMEOUT_MS: u64 = 400;

/// Maximum size of a worker's response, in bytes. The response carries only a
/// status.
const MAX_RESPONSE_BYTES: usize = 1_024;

/// Sends new jobs to the workers that run them.
#[derive(Clone)]
pub(crate) struct JobPush {
    ledger: Ledger,
    view: JobView,
    pool: Arc<Pool>,
}

impl JobPush {
    pub(crate) fn new(ledger: Ledger, view: JobView) -> Self {
        Self {
            ledger,
            view,
            pool: Arc::default(),
        }
    }

    /// Sends a job that this node has just accepted, in a background task.
    pub(crate) fn send(&self, job: &JobKey, stored: &StoredManifest) {
        let push = self.clone();
        let (job, stored) = (job.clone(), stored.clone());
        tokio::spawn(async move {
            if push.try_send(&job, &stored).await.is_none() {
                log::info!(
                    request_id = job.as_str(),
                    owner = stored.manifest.owner.as_str();
                    "a new job is not pushed to its worker, which will read it"
                );
            }
        });
    }

    /// Returns `None` if the job was not sent or the worker did not accept it
    /// in time.
    async fn try_send(
        &self,
        job: &JobKey,
        stored: &StoredManifest,
    ) -> Option<()> {
        let rows = self.ledger.accepted_rows(job, stored)?;
        let members = self.view.members();
        let owner = members.get(&stored.manifest.owner)?;
        let peer = peer::endpoint_of(owner)?;
        let path = format!("{PUSH_PATH}{}", stored.revision);
        let mut request = peer::new_request(&peer, &path)?;
        *request.method_mut() = Method::POST;
        *request.body_mut() = commit_wire::encode(&rows)?;
        let call = self.pool.call(&peer, request, MAX_RESPONSE_BYTES);
        let timeout = Duration::from_millis(PUSH_TIMEOUT_MS);
        match time::timeout(timeout, call).await {
            Ok(CallOutcome::Answered(head, _)) if head.status.is_success() => {
                Some(())
            }
            _ => None,
        }
    }
}

/// Receives new jobs from other nodes.
#[derive(Clone)]
pub(crate) struct PushReceiver {
    pub(crate) view: JobView,
    pub(crate) cache: Arc<BulkCache>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) bodies: PeerBodies,
}

impl PushReceiver {
    /// Handles a request that carries a job and its inputs. Responds with 204
    /// if the job was taken over, and with 400 if it is malformed.
    pub(crate) async fn receive(
        self,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let path = request.uri().path();
        let revision = path.strip_prefix(PUSH_PATH).unwrap_or_default();
        let revision: Option<u64> = revision.parse().ok();
        let body = match self.bodies.receive(request, MAX_REQUEST_BYTES).await
        {
            Ok(body) => body,
            Err(refusal) => return refusal.into_response(),
        };
        let bytes = &body.bytes;
        let status =
            match revision.and_then(|revision| self.apply(bytes, revision)) {
                Some(()) => StatusCode::NO_CONTENT,
                None => {
                    log::warn!(bytes = bytes.len();
                    "a malformed job of another node is rejected");
                    StatusCode::BAD_REQUEST
                }
            };
        let mut response =
            Response::new(ResponseBody::from_bytes(bytes::Bytes::new()));
        *response.status_mut() = status;
        response
    }

    /// Takes over the job in the body. Returns `None` if it is malformed.
    fn apply(&self, body: &[u8], revision: u64) -> Option<()> {
        let mut rows = commit_wire::decode(body)?.success.into_iter();
        let Op::Put { key, value, .. } = rows.next()? else {
            return None;
        };
        let (job, manifest) = decode_manifest_row(&key, &value)?;
        // The inputs are cached before the view receives the manifest, since
        // the job starts as soon as its manifest is known.
        for row in rows {
            if let Op::Put { key, value, .. } = row {
                self.cache.insert(&key, &Arc::new(value));
            }
        }
        let stored = StoredManifest { manifest, revision };
        self.view.update(&job, &stored, self.clock.now());
        Some(())
    }
}

#[cfg(test)]
#[path = "../tests/unit/job_push.rs"]
mod tests;
