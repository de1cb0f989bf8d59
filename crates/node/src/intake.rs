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

/// Where an accepted job is kept.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Accepted {
    /// In the ledger, since this revision.
    Ledger(u64),
    /// On the disks of several workers, until the ledger can be written.
    Spool,
}

/// Accepts jobs for a front.
pub(crate) struct JobIntake {
    ledger: Ledger,
    view: JobView,
    heads: Arc<dyn ManifestSource>,
    spool: SpoolClient,
    push: JobPush,
}

type Entering = JoinHandle<Result<StoredManifest, Report<JobError>>>;

impl JobIntake {
    pub(crate) fn new(
        ledger: Ledger,
        view: JobView,
        heads: Arc<dyn ManifestSource>,
        disk_losses: u32,
    ) -> Self {
        Self {
            push: JobPush::new(ledger.clone(), view.clone()),
            ledger,
            view,
            heads,
            spool: SpoolClient::new(disk_losses),
        }
    }

    /// Enters a job in the ledger, or has it kept by workers if that takes
    /// longer than `answer_ms` or fails.
    ///
    /// # Errors
    ///
    /// As [`Ledger::accept`]; [`JobError::OutcomeUnknown`] also if a worker
    /// may have kept it, since it may run then.
    pub(crate) async fn accept(
        &self,
        job: NewJob,
        answer_ms: u64,
    ) -> Result<Accepted, Report<JobError>> {
        // A task of its own: what the service does late counts as well.
        let mut entering = self.enter(job.clone());
        let most = Duration::from_millis(answer_ms);
        let entered = time::timeout(most, &mut entering).await.ok();
        if let Some(Ok(result)) = entered {
            match result {
                Ok(stored) => return Ok(Accepted::Ledger(stored.revision)),
                Err(report) if !may_be_kept(*report.current_context()) => {
                    return Err(report);
                }
                Err(report) => return self.spool(&job, Err(report)).await,
            }
        }
        self.spool(&job, Ok(entering)).await
    }

    fn enter(&self, job: NewJob) -> Entering {
        let (ledger, heads) = (self.ledger.clone(), self.heads.clone());
        let push = self.push.clone();
        tokio::spawn(async move {
            let key = job.key.clone();
            let stored = ledger.accept(job).await?;
            heads.note(&key, &stored);
            push.send(&key, &stored);
            Ok(stored)
        })
    }

    /// Has workers keep a job whose entry has failed or is under way.
    async fn spool(
        &self,
        job: &NewJob,
        entry: Result<Entering, Report<JobError>>,
    ) -> Result<Accepted, Report<JobError>> {
        let spooled = self.spool.keep(job, &self.view).await;
        if spooled == Spooled::Safe {
            return Ok(Accepted::Spool);
        }
        let report = match entry {
            Err(report) => report,
            Ok(entering) => match entering.await {
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

/// Tells whether a job that was not entered for this reason can be kept
/// until the service answers.
fn may_be_kept(error: JobError) -> bool {
    matches!(error, JobError::NotDone | JobError::OutcomeUnknown)
}
