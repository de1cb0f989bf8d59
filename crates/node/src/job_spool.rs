//! Jobs that are accepted while the key-value service does not answer.
//!
//! A front that gets no answer from the service in time has a new job kept
//! on the disks of two workers, and accepts it then. Each of the two enters
//! it in the ledger once the service answers again; entering is one
//! compare-and-swap on the job's head, so that the second one finds it there,
//! as does a write of the front itself that the service carries out late.
//!
//! Without it, jobs are refused for as long as the service is away.
//! Disks of workers as the place of all jobs were rejected: positions of
//! results have to be agreed on, which only the service does.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use base::{Clock, Customer, Millis, mix, stable_hash};
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{Method, StatusCode};
use indexmap::IndexMap;
use jobs::{
    JobError, JobKey, JobView, Ledger, Members, NewJob, NodeRecord,
    decode_new_job, encode_new_job,
};
use pass::{CallOutcome, Pool};
use store::{Spool, SpoolError};
use tokio::{
    sync::{Notify, watch},
    task, time,
};

use crate::{NodeSettings, peer};

/// Path at which a node keeps jobs; the job's id follows.
pub(crate) const SPOOL_PATH: &str = "/spool/";

/// Longest wait for one worker, in milliseconds: two syncs of a slow disk
/// and the way there, and short enough that a third one can still be asked
/// within the time in which callers want to hear.
const KEEP_MS: u64 = 200;

/// How often workers that did not answer in time are asked again, each time
/// for twice as long, where no others are left. A disk that is slow for a
/// moment answers then, and keeping a job twice is keeping it once.
const ASKED_AGAIN: u32 = 2;

/// Pause between two looks at jobs that wait for the service.
const LOOK: Duration = Duration::from_millis(200);

/// Oldest view of the jobs by which the service counts as answering.
const ANSWERS_MS: u64 = 1_000;

/// How much later than the job's owner the other worker enters it, in
/// milliseconds, so that as a rule only one of them calls the service.
const SECOND_MS: u64 = 1_500;

/// Largest answer of a worker that keeps a job; it has none but a status.
const ANSWER_BYTES: usize = 1_024;

/// What became of a job that workers were asked to keep.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Spooled {
    /// Two disks have it: it may be accepted.
    Safe,
    /// Some disk may have it, so that it may run.
    Maybe,
    /// Nobody has it.
    No,
}

/// Has jobs kept by workers.
#[derive(Debug)]
pub(crate) struct SpoolClient {
    pool: Arc<Pool>,
    /// Copies of a job that make it safe without the service.
    copies: usize,
}

impl SpoolClient {
    /// Keeps jobs so that one copy is left where `disk_losses` disks are
    /// lost at the same time.
    ///
    /// Two copies whatever may be lost were kept before. Where two disks may
    /// be, an accepted job was gone with them before the service returned.
    pub(crate) fn new(disk_losses: u32) -> Self {
        Self {
            pool: Arc::default(),
            copies: disk_losses as usize + 1,
        }
    }

    /// Asks workers to keep a job, its owner first and then others of
    /// different failure domains.
    ///
    /// The owner is named by a hash of the job. Jobs on disks are in nobody's
    /// view, so that the node with the least open items stays the same for as
    /// long as the service is away, and would get all jobs of that time.
    pub(crate) async fn keep(&self, job: &NewJob, view: &JobView) -> Spooled {
        let workers = by_preference(&view.members(), &job.key);
        let owner = workers.first().map(|worker| worker.node.clone());
        let job = &NewJob {
            owner: owner.unwrap_or_default(),
            ..job.clone()
        };
        let bytes = match encode_new_job(job) {
            Ok(bytes) => Bytes::from(bytes),
            Err(error) => {
                log::warn!(request_id = job.key.as_str(), error:%;
                    "a job cannot be encoded for the workers");
                return Spooled::No;
            }
        };
        let mut rest = workers.iter();
        let mut safe = 0;
        let mut unsure: Vec<&NodeRecord> = Vec::new();
        let mut again = 0;
        while safe < self.copies {
            let missing = self.copies - safe;
            let mut asked: Vec<&NodeRecord> =
                rest.by_ref().take(missing).collect();
            let mut wait_ms = KEEP_MS;
            if asked.is_empty() {
                if unsure.is_empty() || again == ASKED_AGAIN {
                    break;
                }
                again += 1;
                asked = std::mem::take(&mut unsure);
                wait_ms = 2 * KEEP_MS;
            }
            let wait = Duration::from_millis(wait_ms);
            let answers = self.ask_all(&asked, &job.key, &bytes, wait).await;
            for (worker, answer) in asked.into_iter().zip(answers) {
                match answer {
                    Spooled::Safe => safe += 1,
                    Spooled::Maybe => unsure.push(worker),
                    Spooled::No => {}
                }
            }
        }
        match (safe, unsure.len()) {
            (safe, _) if safe >= self.copies => Spooled::Safe,
            (0, 0) => Spooled::No,
            _ => Spooled::Maybe,
        }
    }

    async fn ask_all(
        &self,
        workers: &[&NodeRecord],
        job: &JobKey,
        bytes: &Bytes,
        wait: Duration,
    ) -> Vec<Spooled> {
        let asks = workers.iter().map(|worker| {
            let pool = self.pool.clone();
            let (worker, job) = ((*worker).clone(), job.clone());
            tokio::spawn(ask(pool, worker, job, bytes.clone(), wait))
        });
        let asks: Vec<_> = asks.collect();
        let mut answers = Vec::with_capacity(asks.len());
        for ask in asks {
            answers.push(ask.await.unwrap_or(Spooled::Maybe));
        }
        answers
    }
}

/// Sorts workers: one named by the job, then others so that the first ones
/// are of as many failure domains as there are.
fn by_preference(members: &Members, job: &JobKey) -> Vec<NodeRecord> {
    let mut workers = members.nodes().to_vec();
    let hash = stable_hash(&[job.as_str()]);
    workers.sort_by_key(|node| mix(stable_hash(&[&node.node]) ^ hash));
    let mut seen: IndexMap<String, usize> = IndexMap::new();
    workers.sort_by_cached_key(|node| {
        let of_domain = seen.entry(node.failure_domain.clone()).or_default();
        *of_domain += 1;
        *of_domain
    });
    workers
}

async fn ask(
    pool: Arc<Pool>,
    worker: NodeRecord,
    job: JobKey,
    bytes: Bytes,
    wait: Duration,
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
    let exchange = pool.call(&peer, request, ANSWER_BYTES);
    let answer = match time::timeout(wait, exchange).await {
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
    log::info!(
        request_id = job.as_str(),
        node = worker.node.as_str(),
        answer:? = answer;
        "a worker is asked to keep a job"
    );
    answer
}

/// The jobs that a worker keeps until the service answers.
pub(crate) struct JobSpool {
    node: String,
    spool: Spool,
    ledger: Ledger,
    view: JobView,
    clock: Arc<dyn Clock>,
    /// How long the results of a job are readable after its submission.
    kept_ms: u64,
    waiting: Mutex<IndexMap<JobKey, Waiting>>,
    /// Held while a job is written.
    writing: tokio::sync::Mutex<()>,
    count: watch::Sender<usize>,
    wake: Notify,
}

#[derive(Clone, Debug)]
struct Waiting {
    since: Millis,
    /// Whether this node is to enter it first.
    first: bool,
    /// Whose job it is; not known of those that an earlier process kept.
    customer: Option<Option<Customer>>,
}

impl JobSpool {
    /// Opens the spool of a worker that has a disk. A disk that cannot be
    /// used is told in the log, and the worker keeps no jobs.
    pub(crate) fn open(
        settings: &NodeSettings,
        ledger: Ledger,
        view: JobView,
        clock: Arc<dyn Clock>,
    ) -> Option<Arc<Self>> {
        let dir = settings.data_dir.clone()?;
        let opened = Spool::open(dir, settings.spool_bytes);
        let listed = opened.and_then(|spool| {
            let names = spool.names()?;
            Ok((spool, names))
        });
        let (spool, names) = match listed {
            Ok(opened) => opened,
            Err(report) => {
                log::error!(error:? = report;
                    "no jobs can be kept on the disk of this node");
                return None;
            }
        };
        let since = clock.now();
        let earlier = Waiting {
            since,
            first: true,
            customer: None,
        };
        let waiting = names.iter().filter_map(|name| name.parse().ok());
        let waiting: IndexMap<JobKey, Waiting> =
            waiting.map(|key| (key, earlier.clone())).collect();
        log::info!(jobs = waiting.len(); "the spool of this node is open");
        let count = watch::Sender::new(waiting.len());
        let spool = Arc::new(Self {
            node: settings.node.clone(),
            spool,
            ledger,
            view,
            clock,
            kept_ms: settings.results_kept_ms,
            waiting: Mutex::new(waiting),
            writing: tokio::sync::Mutex::new(()),
            count,
            wake: Notify::new(),
        });
        tokio::spawn(spool.clone().run());
        Some(spool)
    }

    /// Tells how many jobs wait here.
    pub(crate) fn count(&self) -> watch::Receiver<usize> {
        self.count.subscribe()
    }

    /// Keeps a job for a front; the status is the answer to it. A server's
    /// error says that the job may have been kept.
    ///
    /// A front that does not wait any longer drops the call. What goes wrong
    /// if that ends the keeping as well: the record comes to lie on the disk,
    /// and nobody enters or removes it until the next start.
    pub(crate) async fn keep(self: Arc<Self>, bytes: Bytes) -> StatusCode {
        let kept = tokio::spawn(self.keep_to_the_end(bytes));
        kept.await.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    async fn keep_to_the_end(self: Arc<Self>, bytes: Bytes) -> StatusCode {
        let job = match decode_new_job(&bytes) {
            Ok(job) => job,
            Err(error) => {
                log::warn!(error:%; "a job to keep is malformed");
                return StatusCode::BAD_REQUEST;
            }
        };
        // One after the other: two calls about one job would write the same
        // file, and the one that loses could not say whether it is kept.
        let _turn = self.writing.lock().await;
        match self.known_customer(&job.key) {
            Some(known) if known.is_none() || known == job.customer => {
                return StatusCode::OK;
            }
            Some(_) => return StatusCode::CONFLICT,
            None => {}
        }
        let (spool, key) = (self.spool.clone(), job.key.clone());
        let kept =
            task::spawn_blocking(move || spool.put(key.as_str(), &bytes));
        let error = match kept.await {
            Ok(Ok(())) => {
                self.note_kept(&job);
                return StatusCode::OK;
            }
            Ok(Err(report)) => *report.current_context(),
            Err(_) => SpoolError::Io,
        };
        log::warn!(request_id = job.key.as_str(), error:%;
            "a job is not kept on disk");
        match error {
            SpoolError::Full | SpoolError::InvalidName => {
                StatusCode::PAYLOAD_TOO_LARGE
            }
            _ => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// Returns whose job it is that this process has kept, or that the
    /// ledger has.
    ///
    /// A job that is sent again is answered by that. What goes wrong where it
    /// is written again: the disk of a busy machine takes longer than the
    /// front waits, and a kept job counts as one of which nothing is known.
    fn known_customer(&self, key: &JobKey) -> Option<Option<Customer>> {
        if let Some(stored) = self.view.get(key) {
            return Some(stored.manifest.customer);
        }
        self.lock().get(key)?.customer.clone()
    }

    fn note_kept(&self, job: &NewJob) {
        let first = job.owner == self.node;
        log::info!(request_id = job.key.as_str(), items = job.items.len(),
            first; "a job is kept on disk");
        let since = self.clock.now();
        let mut waiting = self.lock();
        let customer = Some(job.customer.clone());
        let new = Waiting {
            since,
            first,
            customer,
        };
        waiting.insert(job.key.clone(), new);
        self.count.send_replace(waiting.len());
        drop(waiting);
        self.wake.notify_one();
    }

    async fn run(self: Arc<Self>) {
        loop {
            // Woken by a new job, or after a pause.
            let _ = time::timeout(LOOK, self.wake.notified()).await;
            for key in self.due() {
                if let Err(report) = self.hand_on(&key).await {
                    log::info!(job = key.as_str(), error:? = report;
                        "a kept job is not entered in the ledger yet");
                    break;
                }
            }
        }
    }

    /// Returns the jobs that can go from the disk now: those that the ledger
    /// is known to have, however old that knowledge is, and, while the
    /// service answers, those that this node is to enter.
    ///
    /// What goes wrong where the former wait for the service as well: a
    /// reader whose watch says nothing more keeps copies of jobs that are
    /// long done, and a disk with copies is not counted as empty.
    fn due(&self) -> Vec<JobKey> {
        let now = self.clock.now();
        let answers = self.view.age_ms(now) <= ANSWERS_MS;
        let is_due = |key: &JobKey, waiting: &Waiting| {
            let age_ms = now.saturating_ms_since(waiting.since);
            let is_turn = waiting.first || age_ms >= SECOND_MS;
            (answers && is_turn) || self.view.get(key).is_some()
        };
        let waiting = self.lock();
        let due = waiting.iter().filter(|(key, one)| is_due(key, one));
        due.map(|(key, _)| key.clone()).collect()
    }

    /// Enters a job in the ledger and forgets it.
    async fn hand_on(&self, key: &JobKey) -> Result<(), Report<JobError>> {
        if self.view.get(key).is_some() {
            self.remove(key, "the ledger has it").await;
            return Ok(());
        }
        let (spool, name) = (self.spool.clone(), key.clone());
        let read = task::spawn_blocking(move || spool.read(name.as_str()));
        let read = read.await.change_context(JobError::NotDone)?;
        let bytes = match read {
            Ok(bytes) => bytes,
            Err(report) => {
                // It stays on disk for whoever looks into this; the other
                // copy is entered by its node.
                log::error!(job = key.as_str(), error:? = report;
                    "a kept job cannot be read");
                self.forget(key);
                return Ok(());
            }
        };
        let Ok(job) = decode_new_job(&bytes) else {
            log::error!(job = key.as_str();
                "a kept job is in a form that this version cannot read");
            self.forget(key);
            return Ok(());
        };
        // Nothing is owed any more then. Until then it is entered however
        // old it is: an outage may last, and a job that was entered and
        // removed meanwhile only runs in vain.
        let owed_ms = self.kept_ms.max(job.terms.give_up_in_ms);
        if self.clock.unix() > job.submitted_at.saturating_add_ms(owed_ms) {
            self.remove(key, "its time is over").await;
            return Ok(());
        }
        let stored = self.ledger.accept(job).await?;
        self.view.update(key, &stored, self.clock.now());
        self.remove(key, "it is entered").await;
        Ok(())
    }

    async fn remove(&self, key: &JobKey, why: &'static str) {
        let (spool, name) = (self.spool.clone(), key.clone());
        let removed =
            task::spawn_blocking(move || spool.remove(name.as_str()).is_ok());
        // A record that comes back is found in the ledger, or too old.
        let removed = removed.await.unwrap_or(false);
        log::info!(job = key.as_str(), why, removed;
            "a kept job is not needed on disk any more");
        self.forget(key);
    }

    fn forget(&self, key: &JobKey) {
        let mut waiting = self.lock();
        waiting.swap_remove(key);
        self.count.send_replace(waiting.len());
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<JobKey, Waiting>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
