use std::{sync::Arc, time::Duration};

use error_stack::Report;
use jobs::{
    JobError, JobView, Ledger, ManifestSource, NewJob, StoredManifest,
};
use tokio::{task::JoinHandle, time};

use crate::{
    job_push::JobPush,
    job_spool::{SpoolClient, Spooled},
};

/// Storage of an accepted job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Accepted {
    /// In the ledger, written at this revision.
    Ledger(u64),
    /// In the spools of several workers until the ledger can be written.
    Spool,
}

/// Accepts jobs on behalf of a front.
pub(crate) struct JobIntake {
    ledger: Ledger,
    view: JobView,
    manifests: Arc<dyn ManifestSource>,
    spool: SpoolClient,
    push: JobPush,
}

type LedgerWrite = JoinHandle<Result<StoredManifest, Report<JobError>>>;

impl JobIntake {
    pub(crate) fn new(
        ledger: Ledger,
        view: JobView,
        manifests: Arc<dyn ManifestSource>,
        disk_losses: u32,
    ) -> Self {
        Self {
            push: JobPush::new(ledger.clone(), view.clone()),
            ledger,
            view,
            manifests,
            spool: SpoolClient::new(disk_losses),
        }
    }

    /// Writes a job to the ledger, or has workers spool it if the write takes
    /// longer than `ledger_wait_ms` or fails.
    ///
    /// # Errors
    ///
    /// As [`Ledger::accept`]; also [`JobError::OutcomeUnknown`] if a worker
    /// may have spooled the job, since it may run then.
    pub(crate) async fn accept(
        &self,
        job: NewJob,
        ledger_wait_ms: u64,
    ) -> Result<Accepted, Report<JobError>> {
        // A spooled job that the ledger can never store would be lost.
        self.ledger.check_size(&job)?;
        // A separate task: a write that the key-value service applies after
        // the timeout is still processed.
        let mut write = self.start_ledger_write(job.clone());
        let timeout = Duration::from_millis(ledger_wait_ms);
        let written = time::timeout(timeout, &mut write).await.ok();
        if let Some(Ok(result)) = written {
            match result {
                Ok(stored) => return Ok(Accepted::Ledger(stored.revision)),
                Err(report) if !may_be_spooled(*report.current_context()) => {
                    return Err(report);
                }
                Err(report) => return self.spool_job(&job, Err(report)).await,
            }
        }
        self.spool_job(&job, Ok(write)).await
    }

    fn start_ledger_write(&self, job: NewJob) -> LedgerWrite {
        let (ledger, manifests) =
            (self.ledger.clone(), self.manifests.clone());
        let push = self.push.clone();
        tokio::spawn(async move {
            let key = job.key.clone();
            let stored = ledger.accept(job).await?;
            manifests.note(&key, &stored);
            push.send(&key, &stored);
            Ok(stored)
        })
    }

    /// Has workers spool a job whose ledger write failed or is in progress.
    async fn spool_job(
        &self,
        job: &NewJob,
        ledger_write: Result<LedgerWrite, Report<JobError>>,
    ) -> Result<Accepted, Report<JobError>> {
        let spooled = self.spool.spool(job, &self.view).await;
        if spooled == Spooled::Safe {
            return Ok(Accepted::Spool);
        }
        let report = match ledger_write {
            Err(report) => report,
            Ok(write) => match write.await {
                Ok(Ok(stored)) => {
                    return Ok(Accepted::Ledger(stored.revision));
                }
                Ok(Err(report)) => report,
                Err(_) => Report::new(JobError::OutcomeUnknown),
            },
        };
        match spooled {
            Spooled::Maybe => {
                Err(report.change_context(JobError::OutcomeUnknown))
            }
            _ => Err(report),
        }
    }
}

/// Reports whether a job whose ledger write failed with this error may be
/// spooled until the key-value service is available.
fn may_be_spooled(error: JobError) -> bool {
    matches!(error, JobError::NotDone | JobError::OutcomeUnknown)
}
