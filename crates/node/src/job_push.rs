//! Pushes new jobs from the front that accepted them to the worker that runs
//! them.
//!
//! Without a push the worker receives the job with the next change of its
//! feed, and reads its inputs from the key-value service: a call for each job,
//! a third of a second later. A lost push costs no more than that.

use std::{sync::Arc, time::Duration};

use base::Clock;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use jobs::{
    BulkCache, JobKey, JobView, Ledger, StoredManifest, decode_manifest_row,
};
use kv::Op;
use pass::{CallOutcome, Pool, ResponseBody, read_body};
use tokio::time;

use crate::{commit_wire, commits::MAX_REQUEST_BYTES, peer};

/// Path prefix at which a worker receives new jobs, followed by the revision
/// of the manifest.
pub(crate) const PUSH_PATH: &str = "/new-job/";

/// Maximum wait for the worker, in milliseconds. Its feed delivers the job in
/// about that time.
const PUSH_TIMEOUT_MS: u64 = 400;

/// Maximum size of a response, which is only a status.
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
}

impl PushReceiver {
    /// Receives a job and its inputs.
    pub(crate) async fn receive(
        self,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let path = request.uri().path();
        let revision = path.strip_prefix(PUSH_PATH).unwrap_or_default();
        let revision: Option<u64> = revision.parse().ok();
        let body =
            match read_body(request.into_body(), MAX_REQUEST_BYTES).await {
                Ok(body) => body,
                Err(refusal) => return refusal.into_response(),
            };
        let status =
            match revision.and_then(|revision| self.apply(&body, revision)) {
                Some(()) => StatusCode::NO_CONTENT,
                None => {
                    log::warn!(bytes = body.len();
                    "a malformed job of another node is rejected");
                    StatusCode::BAD_REQUEST
                }
            };
        let mut response =
            Response::new(ResponseBody::from_bytes(bytes::Bytes::new()));
        *response.status_mut() = status;
        response
    }

    fn apply(&self, body: &[u8], revision: u64) -> Option<()> {
        let mut rows = commit_wire::decode(body)?.success.into_iter();
        let Op::Put { key, value, .. } = rows.next()? else {
            return None;
        };
        let (job, manifest) = decode_manifest_row(&key, &value)?;
        // Inputs are stored before the manifest, since the job starts as soon
        // as its manifest is known.
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
