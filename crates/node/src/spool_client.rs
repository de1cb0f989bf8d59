//! Has workers spool jobs, and asks them whether they hold one.

use std::{sync::Arc, time::Duration};

use base::{mix, stable_hash};
use bytes::Bytes;
use execution::{Evidence, OfferedRun, PossibleRuns};
use http::{Method, StatusCode};
use indexmap::IndexMap;
use jobs::{JobKey, JobView, Members, NewJob, NodeRecord, encode_new_job};
use pass::{CallOutcome, Pool};
use tokio::time;

use crate::{job_spool::SPOOL_PATH, peer};

/// Timeout of a request to one worker, in milliseconds: enough for two syncs
/// of a slow disk and the round trip, and short enough to try a third worker
/// before the caller's deadline.
const SPOOL_TIMEOUT_MS: u64 = 200;

/// Number of retries of workers that timed out, with twice the timeout, once
/// no other workers remain. A disk that was slow for a moment responds then,
/// and spooling a job is idempotent.
const MAX_RETRIES: u32 = 2;

/// Maximum size of a worker's response, which has only a status.
const MAX_RESPONSE_BYTES: usize = 1_024;

/// Result of a request to spool a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Spooled {
    /// Enough disks have the job: it may be accepted.
    Safe,
    /// Some disk may have the job, so it may run.
    Maybe,
    /// No disk has the job.
    No,
}

impl Spooled {
    fn evidence(self) -> Evidence {
        match self {
            Spooled::Safe | Spooled::Maybe => Evidence::MayHaveRun,
            Spooled::No => Evidence::Declined,
        }
    }
}

/// What one worker responded to a request to spool a job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct SpoolResponse {
    /// The worker.
    pub(crate) node: String,
    /// The result of the request.
    pub(crate) outcome: Spooled,
}

/// What all workers responded to the requests to spool a job.
#[derive(Debug, Default)]
pub(crate) struct SpoolResponses {
    /// Whether enough disks have the job, so that it may be accepted.
    pub(crate) is_safe: bool,
    /// The responses, in the order of the requests.
    pub(crate) responses: Vec<SpoolResponse>,
}

/// Has workers spool jobs.
#[derive(Debug)]
pub(crate) struct SpoolClient {
    pool: Arc<Pool>,
    /// Number of copies that make a job durable without the key-value service.
    copies: usize,
}

impl SpoolClient {
    /// Creates a client whose jobs survive the simultaneous loss of
    /// `disk_losses` disks.
    ///
    /// A fixed number of two copies is not enough: if two disks are lost, an
    /// accepted job is lost with them before the key-value service returns.
    pub(crate) fn new(disk_losses: u32) -> Self {
        Self {
            pool: Arc::default(),
            copies: disk_losses as usize + 1,
        }
    }

    /// Asks workers to spool a job: first its owner, then workers of other
    /// failure domains.
    ///
    /// The owner is chosen by a hash of the job. Spooled jobs are in no view,
    /// so during an outage of the key-value service the node with the fewest
    /// open items stays the same and would get all jobs.
    ///
    /// `kept` counts the copies of the job that a worker may have on disk. A
    /// later response of the same worker takes none of them back: the copy
    /// that was sent before it may still arrive.
    pub(crate) async fn spool(
        &self,
        job: &NewJob,
        view: &JobView,
        kept: &PossibleRuns,
    ) -> SpoolResponses {
        let workers = order_by_preference(&view.members(), &job.key);
        let owner = workers.first().map(|worker| worker.node.clone());
        let job = &NewJob {
            owner: owner.unwrap_or_default(),
            ..job.clone()
        };
        let bytes = match encode_new_job(job) {
            Ok(bytes) => Bytes::from(bytes),
            Err(error) => {
                log::warn!(request_id = job.key.as_str(), error:%;
                    "cannot encode a job for spooling");
                return SpoolResponses::default();
            }
        };
        let mut responses = Vec::new();
        let mut remaining = workers.iter();
        let mut copies_written = 0;
        let mut uncertain: Vec<&NodeRecord> = Vec::new();
        let mut retries = 0;
        while copies_written < self.copies {
            let missing = self.copies - copies_written;
            let mut selected: Vec<&NodeRecord> =
                remaining.by_ref().take(missing).collect();
            let mut timeout_ms = SPOOL_TIMEOUT_MS;
            if selected.is_empty() {
                if uncertain.is_empty() || retries == MAX_RETRIES {
                    break;
                }
                retries += 1;
                selected = std::mem::take(&mut uncertain);
                timeout_ms = 2 * SPOOL_TIMEOUT_MS;
            }
            let timeout = Duration::from_millis(timeout_ms);
            let outcomes = self
                .request_all(&selected, &job.key, &bytes, timeout, kept)
                .await;
            for (worker, outcome) in selected.into_iter().zip(outcomes) {
                let node = worker.node.clone();
                responses.push(SpoolResponse { node, outcome });
                match outcome {
                    Spooled::Safe => copies_written += 1,
                    Spooled::Maybe => uncertain.push(worker),
                    Spooled::No => {}
                }
            }
        }
        SpoolResponses {
            is_safe: copies_written >= self.copies,
            responses,
        }
    }

    /// Reports whether none of the workers that are the first to be asked to
    /// keep a job has it. A worker that does not respond may have it.
    pub(crate) async fn is_denied(
        &self,
        job: &JobKey,
        view: &JobView,
    ) -> bool {
        let workers = likely_holders(&view.members(), job, self.copies);
        let requests = workers.into_iter().map(|worker| {
            let (pool, job) = (self.pool.clone(), job.clone());
            tokio::spawn(request_holding(pool, worker, job))
        });
        let requests: Vec<_> = requests.collect();
        let mut is_denied = true;
        for request in requests {
            is_denied &= matches!(request.await, Ok(Some(false)));
        }
        is_denied
    }

    async fn request_all(
        &self,
        workers: &[&NodeRecord],
        job: &JobKey,
        bytes: &Bytes,
        timeout: Duration,
        kept: &PossibleRuns,
    ) -> Vec<Spooled> {
        let requests = workers.iter().map(|worker| {
            let pool = self.pool.clone();
            let (worker, job) = ((*worker).clone(), job.clone());
            tokio::spawn(request_spooling(
                pool,
                worker,
                job,
                bytes.clone(),
                timeout,
                kept.begin(),
            ))
        });
        let requests: Vec<_> = requests.collect();
        let mut responses = Vec::with_capacity(requests.len());
        for request in requests {
            responses.push(request.await.unwrap_or(Spooled::Maybe));
        }
        responses
    }
}

/// Sorts workers for the copies of a job: first those that [`Members::draw`]
/// returns, then by a hash with the job, and each time by round robin over the
/// failure domains, so that the first ones cover as many domains as possible.
fn order_by_preference(members: &Members, job: &JobKey) -> Vec<NodeRecord> {
    let drawn = members.draw(job);
    let position = |node: &NodeRecord| {
        let position = drawn.iter().position(|drawn| drawn.node == node.node);
        position.unwrap_or(drawn.len())
    };
    let mut workers = members.nodes().to_vec();
    let hash = stable_hash(&[job.as_str()]);
    workers.sort_by_cached_key(|node| {
        (position(node), mix(stable_hash(&[&node.node]) ^ hash))
    });
    spread_over_domains(&mut workers);
    workers
}

/// Returns the workers that are the first to be asked to keep a job, without
/// a step for each worker.
fn likely_holders(
    members: &Members,
    job: &JobKey,
    copies: usize,
) -> Vec<NodeRecord> {
    let drawn = members.draw(job).into_iter();
    let mut drawn: Vec<NodeRecord> = drawn.cloned().collect();
    spread_over_domains(&mut drawn);
    drawn.truncate(copies);
    drawn
}

/// Moves the first worker of each failure domain to the front, then the second
/// one of each, and so on.
fn spread_over_domains(workers: &mut [NodeRecord]) {
    let mut seen: IndexMap<String, usize> = IndexMap::new();
    workers.sort_by_cached_key(|node| {
        let rank_in_domain =
            seen.entry(node.failure_domain.clone()).or_default();
        *rank_in_domain += 1;
        *rank_in_domain
    });
}

/// Asks a worker whether it keeps or has kept a job; `None` if it does not
/// respond.
async fn request_holding(
    pool: Arc<Pool>,
    worker: NodeRecord,
    job: JobKey,
) -> Option<bool> {
    let peer = peer::endpoint_of(&worker)?;
    let request = peer::new_request(&peer, &format!("{SPOOL_PATH}{job}"))?;
    let call = pool.call(&peer, request, MAX_RESPONSE_BYTES);
    let timeout = Duration::from_millis(SPOOL_TIMEOUT_MS);
    match time::timeout(timeout, call).await {
        Ok(CallOutcome::Answered(head, _)) if head.status.is_success() => {
            Some(true)
        }
        Ok(CallOutcome::Answered(head, _))
            if head.status == StatusCode::NOT_FOUND =>
        {
            Some(false)
        }
        _ => None,
    }
}

async fn request_spooling(
    pool: Arc<Pool>,
    worker: NodeRecord,
    job: JobKey,
    bytes: Bytes,
    timeout: Duration,
    offered: OfferedRun,
) -> Spooled {
    let Some(peer) = peer::endpoint_of(&worker) else {
        return Spooled::No;
    };
    let path = format!("{SPOOL_PATH}{job}");
    let Some(mut request) = peer::new_request(&peer, &path) else {
        return Spooled::No;
    };
    *request.method_mut() = Method::PUT;
    *request.body_mut() = bytes;
    offered.mark_sent();
    let call = pool.call(&peer, request, MAX_RESPONSE_BYTES);
    let outcome = match time::timeout(timeout, call).await {
        Ok(CallOutcome::Answered(head, _)) if head.status.is_success() => {
            Spooled::Safe
        }
        Ok(CallOutcome::Answered(head, _))
            if head.status.is_client_error() =>
        {
            Spooled::No
        }
        Ok(CallOutcome::NotSent) => Spooled::No,
        Ok(_) | Err(_) => Spooled::Maybe,
    };
    offered.settle(outcome.evidence());
    log::info!(
        request_id = job.as_str(),
        node = worker.node.as_str(),
        answer:? = outcome;
        "a worker is asked to keep a job"
    );
    outcome
}
