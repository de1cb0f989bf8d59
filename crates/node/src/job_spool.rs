//! Spool for jobs accepted while the key-value service is unavailable.
//!
//! If the key-value service does not respond in time, a front has several
//! workers write a new job to their disks and then accepts it. Each of these
//! workers writes the job to the ledger once the key-value service responds
//! again. The write is one compare-and-swap on the job's manifest, so a second
//! write, or a write of the front that is applied late, finds the job there.
//!
//! Without the spool, jobs are refused during an outage of the key-value
//! service. Storing all jobs on workers' disks was rejected: positions of
//! results need consensus, which only the key-value service provides.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use base::{Clock, Customer, Millis};
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::StatusCode;
use indexmap::IndexMap;
use jobs::{
    JobError, JobKey, JobView, Ledger, NewJob, SpoolState, decode_new_job,
};
use store::{Spool, SpoolError};
use tokio::{
    sync::{Notify, watch},
    task, time,
};

use crate::NodeSettings;

/// Path prefix for spooling a job on a node; the job's id follows.
pub(crate) const SPOOL_PATH: &str = "/spool/";

/// Interval between two checks of the spooled jobs.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum age of the job view, in milliseconds, for which the key-value
/// service counts as available.
const MAX_VIEW_AGE_MS: u64 = 1_000;

/// Delay in milliseconds after which workers other than the job's owner write
/// it to the ledger, so that usually only one of them calls the key-value
/// service.
const SECONDARY_DELAY_MS: u64 = 1_500;

/// Delay before a job that the ledger has rejected is written again, in
/// milliseconds. It is kept, but not in the way of the others.
const REJECTED_RETRY_MS: u64 = 10_000;

/// Reports whether a write of a job to the ledger would fail again for the same
/// reason, which does not concern other jobs.
fn is_rejection(error: JobError) -> bool {
    match error {
        JobError::TooLarge | JobError::Conflict => true,
        JobError::Encoding | JobError::InvalidId => true,
        JobError::NotDone | JobError::OutcomeUnknown => false,
        JobError::Unknown | JobError::UnknownItem => false,
    }
}

/// The jobs that a worker keeps until the key-value service is available.
pub(crate) struct JobSpool {
    node: String,
    spool: Spool,
    ledger: Ledger,
    view: JobView,
    clock: Arc<dyn Clock>,
    /// Time after submission for which the results of a job are readable.
    retention_ms: u64,
    tracked: Mutex<IndexMap<JobKey, SpooledJob>>,
    /// Locked while a job is written.
    write_lock: tokio::sync::Mutex<()>,
    count: watch::Sender<usize>,
    /// Whether the disk may have held jobs that it does not hold now: it is
    /// new, or a record cannot be read.
    is_incomplete: AtomicBool,
    started_at: Millis,
    disk_losses: u32,
    wake: Notify,
}

#[derive(Clone, Debug)]
struct SpooledJob {
    since: Millis,
    /// Whether this node writes the job to the ledger first.
    is_primary: bool,
    /// Time before which the job is not written again.
    retry_at: Millis,
    /// Customer of the job; unknown if an earlier process spooled it.
    customer: Option<Option<Customer>>,
}

impl JobSpool {
    /// Opens the spool of a worker that has a disk. If the disk cannot be
    /// used, logs an error and returns none.
    pub(crate) fn open(
        settings: &NodeSettings,
        ledger: Ledger,
        view: JobView,
        clock: Arc<dyn Clock>,
    ) -> Option<Arc<Self>> {
        let dir = settings.data_dir.clone()?;
        let opened = Spool::open(dir, settings.spool_bytes);
        let listed = opened.and_then(|spool| {
            let (names, is_in_use) = (spool.names()?, spool.is_in_use()?);
            Ok((spool, names, is_in_use))
        });
        let (spool, names, is_in_use) = match listed {
            Ok(opened) => opened,
            Err(report) => {
                log::error!(error:? = report;
                    "cannot open the spool of this node");
                return None;
            }
        };
        let since = clock.now();
        let earlier = SpooledJob {
            since,
            is_primary: true,
            retry_at: since,
            customer: None,
        };
        let tracked = names.iter().filter_map(|name| name.parse().ok());
        let tracked: IndexMap<JobKey, SpooledJob> =
            tracked.map(|key| (key, earlier.clone())).collect();
        log::info!(jobs = tracked.len(), is_in_use;
            "the spool of this node is open");
        let count = watch::Sender::new(tracked.len());
        let spool = Arc::new(Self {
            node: settings.node.clone(),
            spool,
            ledger,
            view,
            clock,
            retention_ms: settings.results_retention_ms,
            tracked: Mutex::new(tracked),
            write_lock: tokio::sync::Mutex::new(()),
            count,
            is_incomplete: AtomicBool::new(!is_in_use),
            started_at: since,
            disk_losses: settings.disk_losses,
            wake: Notify::new(),
        });
        tokio::spawn(spool.clone().run());
        Some(spool)
    }

    /// Returns a receiver of the number of spooled jobs.
    pub(crate) fn count(&self) -> watch::Receiver<usize> {
        self.count.subscribe()
    }

    /// Returns what this node may state about its spool.
    pub(crate) fn state(&self) -> SpoolState {
        let is_written = !self.is_incomplete() && self.is_empty();
        match is_written {
            true => SpoolState::Written,
            false => SpoolState::Unknown,
        }
    }

    /// Reports whether the ledger has each job that is on the disk.
    pub(crate) fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Reports whether the disk may have held jobs that it does not hold now.
    pub(crate) fn is_incomplete(&self) -> bool {
        self.is_incomplete.load(Ordering::Relaxed)
    }

    /// Records that each job that the disk may have held is in the ledger, or
    /// that it has held none.
    pub(crate) fn set_complete(&self) {
        self.is_incomplete.store(false, Ordering::Relaxed);
        let spool = self.spool.clone();
        task::spawn_blocking(move || {
            // After a failure the next process finds a new disk again.
            if let Err(report) = spool.mark_in_use() {
                log::warn!(error:? = report;
                    "the disk of this node cannot be marked as used");
            }
        });
    }

    /// Completes the spool of a disk that was replaced once the other nodes
    /// have written the jobs that it held, or these have expired.
    pub(crate) fn check_replaced_disk(&self) {
        let now = self.clock.now();
        let age_ms = now.saturating_ms_since(self.started_at);
        if self.is_incomplete()
            && (age_ms > self.retention_ms
                || self.view.are_spools_written(self.disk_losses, now))
        {
            log::info!(age_ms; "the jobs of the replaced disk are not needed");
            self.set_complete();
        }
    }

    /// Reports whether this node keeps a job, or has kept it and knows that
    /// the ledger has it.
    pub(crate) fn has(&self, job: &JobKey) -> bool {
        self.lock().contains_key(job) || self.view.get(job).is_some()
    }

    /// Spools a job for a front and returns the status of the response. A
    /// server error means that the job may have been spooled.
    ///
    /// A front that times out drops the call. The job is therefore written in
    /// a task of its own: if the drop cancelled it, the record could stay on
    /// disk, and no task would process or remove it until the next start.
    pub(crate) async fn spool(self: Arc<Self>, bytes: Bytes) -> StatusCode {
        let written = tokio::spawn(self.write_job(bytes));
        written.await.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    async fn write_job(self: Arc<Self>, bytes: Bytes) -> StatusCode {
        let job = match decode_new_job(&bytes) {
            Ok(job) => job,
            Err(error) => {
                log::warn!(error:%; "a job to spool is malformed");
                return StatusCode::BAD_REQUEST;
            }
        };
        // Serialized: two concurrent calls for one job would write the same
        // file, and the one that fails could not tell whether the job is
        // spooled.
        let _guard = self.write_lock.lock().await;
        match self.known_customer(&job.key) {
            Some(known) if known.is_none() || known == job.customer => {
                return StatusCode::OK;
            }
            Some(_) => return StatusCode::CONFLICT,
            None => {}
        }
        let (spool, key) = (self.spool.clone(), job.key.clone());
        let written =
            task::spawn_blocking(move || spool.put(key.as_str(), &bytes));
        let error = match written.await {
            Ok(Ok(())) => {
                self.track(&job);
                return StatusCode::OK;
            }
            Ok(Err(report)) => *report.current_context(),
            Err(_) => SpoolError::Io,
        };
        log::warn!(request_id = job.key.as_str(), error:%;
            "cannot spool a job");
        match error {
            SpoolError::Full | SpoolError::InvalidName => {
                StatusCode::PAYLOAD_TOO_LARGE
            }
            _ => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// Returns the customer of a job that this process has spooled or that
    /// the ledger contains.
    ///
    /// A repeated request is answered from this. If the job were written
    /// again, the disk of a busy machine could exceed the front's timeout, and
    /// the outcome for a spooled job would count as unknown.
    fn known_customer(&self, key: &JobKey) -> Option<Option<Customer>> {
        if let Some(stored) = self.view.get(key) {
            return Some(stored.manifest.customer);
        }
        self.lock().get(key)?.customer.clone()
    }

    fn track(&self, job: &NewJob) {
        let first = job.owner == self.node;
        log::info!(request_id = job.key.as_str(), items = job.items.len(),
            first; "a job is kept on disk");
        let since = self.clock.now();
        let mut tracked = self.lock();
        let customer = Some(job.customer.clone());
        let new = SpooledJob {
            since,
            is_primary: first,
            retry_at: since,
            customer,
        };
        tracked.insert(job.key.clone(), new);
        self.count.send_replace(tracked.len());
        drop(tracked);
        self.wake.notify_one();
    }

    async fn run(self: Arc<Self>) {
        loop {
            // Wakes on a new job or after the check interval.
            let _ = time::timeout(CHECK_INTERVAL, self.wake.notified()).await;
            for key in self.due_jobs() {
                let Err(report) = self.write_to_ledger(&key).await else {
                    continue;
                };
                if is_rejection(*report.current_context()) {
                    log::error!(job = key.as_str(), error:? = report;
                        "a spooled job is rejected by the ledger");
                    self.postpone(&key);
                    continue;
                }
                log::info!(job = key.as_str(), error:? = report;
                    "cannot write a spooled job to the ledger; retrying");
                break;
            }
        }
    }

    /// Returns the jobs that can be removed from the disk now: those that the
    /// view contains, however stale it is, and, while the key-value service is
    /// available, those that this node must write to the ledger.
    ///
    /// Jobs in the view do not wait for the key-value service: a node whose
    /// watch has stalled would keep copies of completed jobs, and its spool
    /// would never become empty.
    fn due_jobs(&self) -> Vec<JobKey> {
        let now = self.clock.now();
        let is_available = self.view.age_ms(now) <= MAX_VIEW_AGE_MS;
        let is_due = |key: &JobKey, tracked: &SpooledJob| {
            let age_ms = now.saturating_ms_since(tracked.since);
            let is_own_turn =
                tracked.is_primary || age_ms >= SECONDARY_DELAY_MS;
            let may_write = is_available && now >= tracked.retry_at;
            (may_write && is_own_turn) || self.view.get(key).is_some()
        };
        let tracked = self.lock();
        let due_jobs = tracked.iter().filter(|(key, job)| is_due(key, job));
        due_jobs.map(|(key, _)| key.clone()).collect()
    }

    /// Writes a job to the ledger and removes it from the spool.
    async fn write_to_ledger(
        &self,
        key: &JobKey,
    ) -> Result<(), Report<JobError>> {
        if self.view.get(key).is_some() {
            self.remove_from_disk(key, "already in the ledger").await;
            return Ok(());
        }
        let (spool, name) = (self.spool.clone(), key.clone());
        let read = task::spawn_blocking(move || spool.read(name.as_str()));
        let read = read.await.change_context(JobError::NotDone)?;
        let bytes = match read {
            Ok(bytes) => bytes,
            Err(report) => {
                // The file stays on disk for inspection; a node with another
                // copy writes the job to the ledger.
                log::error!(job = key.as_str(), error:? = report;
                    "cannot read a spooled job");
                self.is_incomplete.store(true, Ordering::Relaxed);
                self.untrack(key);
                return Ok(());
            }
        };
        let Ok(job) = decode_new_job(&bytes) else {
            log::error!(job = key.as_str();
                "a spooled job has an unsupported format");
            self.is_incomplete.store(true, Ordering::Relaxed);
            self.untrack(key);
            return Ok(());
        };
        // After this time the job may be dropped. Until then it is written
        // at any age, since an outage may be long; a job that was already
        // written and removed meanwhile runs again without effect.
        let expiry_ms = self.retention_ms.max(job.terms.give_up_in_ms);
        if self.clock.unix() > job.submitted_at.saturating_add_ms(expiry_ms) {
            self.remove_from_disk(key, "expired").await;
            return Ok(());
        }
        let stored = self.ledger.accept(job).await?;
        self.view.update(key, &stored, self.clock.now());
        self.remove_from_disk(key, "written to the ledger").await;
        Ok(())
    }

    async fn remove_from_disk(&self, key: &JobKey, why: &'static str) {
        let (spool, name) = (self.spool.clone(), key.clone());
        let removed =
            task::spawn_blocking(move || spool.remove(name.as_str()).is_ok());
        // If the removal fails, the next start finds the record again; its
        // job is then in the ledger or expired.
        let removed = removed.await.unwrap_or(false);
        log::info!(job = key.as_str(), why, removed;
            "a kept job is not needed on disk any more");
        self.untrack(key);
    }

    /// Delays the next write of a job.
    fn postpone(&self, key: &JobKey) {
        let retry_at = self.clock.now().saturating_add_ms(REJECTED_RETRY_MS);
        if let Some(job) = self.lock().get_mut(key) {
            job.retry_at = retry_at;
        }
    }

    fn untrack(&self, key: &JobKey) {
        let mut tracked = self.lock();
        tracked.swap_remove(key);
        self.count.send_replace(tracked.len());
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<JobKey, SpooledJob>> {
        self.tracked.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
