use std::{fmt, sync::Arc, time::Duration};

use budget::Reservation;
use error_stack::Report;
use execution::{Evidence, OfferedRun, PossibleRuns, Ran};
use jobs::{
    JobError, JobView, Ledger, ManifestSource, NewJob, StoredManifest,
};
use tokio::{
    task::{JoinError, JoinHandle},
    time,
};

use crate::{
    job_push::JobPush,
    spool_client::{SpoolClient, SpoolResponse},
};

/// Storage of an accepted job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Accepted {
    /// In the ledger, written at this revision.
    Ledger(u64),
    /// In the spools of several workers until the ledger can be written.
    Spool,
}

/// A job that is not accepted.
#[derive(Debug)]
pub(crate) struct NotAccepted {
    /// The error, which is [`JobError::OutcomeUnknown`] if the job may be kept
    /// somewhere.
    pub(crate) report: Report<JobError>,
    /// Whether the job may be kept somewhere, and may run then.
    pub(crate) ran: Ran,
    /// The error of the write to the ledger; `None` if none was made.
    pub(crate) ledger: Option<JobError>,
    /// The responses of the workers that were asked to spool the job.
    pub(crate) workers: WorkersAsked,
}

/// The responses of the workers that were asked to spool a job, in order.
#[derive(Debug, Default)]
pub(crate) struct WorkersAsked(Vec<SpoolResponse>);

impl fmt::Display for WorkersAsked {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, SpoolResponse { node, outcome }) in self.0.iter().enumerate()
        {
            let separator = if at == 0 { "" } else { ", " };
            write!(f, "{separator}{node} {outcome:?}")?;
        }
        Ok(())
    }
}

/// Accepts jobs on behalf of a front.
pub(crate) struct JobIntake {
    ledger: Ledger,
    view: JobView,
    manifests: Arc<dyn ManifestSource>,
    spool: Arc<SpoolClient>,
    push: JobPush,
}

type LedgerWrite = JoinHandle<Result<StoredManifest, Report<JobError>>>;

impl JobIntake {
    pub(crate) fn new(
        ledger: Ledger,
        view: JobView,
        manifests: Arc<dyn ManifestSource>,
        spool: Arc<SpoolClient>,
    ) -> Self {
        Self {
            push: JobPush::new(ledger.clone(), view.clone()),
            ledger,
            view,
            manifests,
            spool,
        }
    }

    /// Writes a job to the ledger, or has workers spool it if the write takes
    /// longer than `ledger_wait_ms` or fails.
    ///
    /// # Errors
    ///
    /// As [`Ledger::accept`]; also [`JobError::OutcomeUnknown`] if any place
    /// that was asked to keep the job may do so, since it may run then.
    pub(crate) async fn accept(
        &self,
        job: NewJob,
        ledger_wait_ms: u64,
        reservation: Reservation,
    ) -> Result<Accepted, NotAccepted> {
        // A spooled job that the ledger can never store would be lost.
        if let Err(report) = self.ledger.check_size(&job) {
            return Err(NotAccepted {
                report,
                ran: Ran::No,
                ledger: None,
                workers: WorkersAsked::default(),
            });
        }
        let kept = PossibleRuns::default();
        // A separate task: a write that the key-value service applies after
        // the timeout is still processed.
        let mut write =
            self.start_ledger_write(job.clone(), kept.begin(), reservation);
        let timeout = Duration::from_millis(ledger_wait_ms);
        let pending = match time::timeout(timeout, &mut write).await {
            Ok(ended) => Err(result_of(ended)),
            Err(_) => Ok(write),
        };
        let workers = match &pending {
            Err(Ok(stored)) => return Ok(Accepted::Ledger(stored.revision)),
            Err(Err(report)) if !may_be_spooled(*report.current_context()) => {
                WorkersAsked::default()
            }
            Err(Err(_)) | Ok(_) => {
                let asked = self.spool.spool(&job, &self.view, &kept).await;
                if asked.is_safe {
                    return Ok(Accepted::Spool);
                }
                WorkersAsked(asked.responses)
            }
        };
        let result = match pending {
            Err(result) => result,
            Ok(write) => result_of(write.await),
        };
        let report = match result {
            Ok(stored) => return Ok(Accepted::Ledger(stored.revision)),
            Err(report) => report,
        };
        let (ran, ledger) = (kept.ran(), *report.current_context());
        Err(NotAccepted {
            report: match ran {
                Ran::Unknown => {
                    report.change_context(JobError::OutcomeUnknown)
                }
                Ran::No => report,
            },
            ran,
            ledger: Some(ledger),
            workers,
        })
    }

    fn start_ledger_write(
        &self,
        job: NewJob,
        offered: OfferedRun,
        reservation: Reservation,
    ) -> LedgerWrite {
        let (ledger, manifests) =
            (self.ledger.clone(), self.manifests.clone());
        let push = self.push.clone();
        tokio::spawn(async move {
            // Held until the write has ended, which outlives the request.
            let _reservation = reservation;
            let key = job.key.clone();
            offered.mark_sent();
            let result = ledger.accept(job).await;
            offered.settle(evidence_of(&result));
            let stored = result?;
            manifests.note(&key, &stored);
            push.send(&key, &stored);
            Ok(stored)
        })
    }
}

/// Returns the result of a write that has ended. It is not known how far a
/// task got that panicked.
fn result_of(
    ended: Result<Result<StoredManifest, Report<JobError>>, JoinError>,
) -> Result<StoredManifest, Report<JobError>> {
    ended.unwrap_or_else(|error| {
        let report = Report::new(JobError::OutcomeUnknown);
        Err(report.attach(error.to_string()))
    })
}

/// Returns what the result of a write tells about the job in the ledger.
fn evidence_of(result: &Result<StoredManifest, Report<JobError>>) -> Evidence {
    match result.as_ref().map_err(|report| *report.current_context()) {
        Err(JobError::NotDone | JobError::TooLarge | JobError::Conflict) => {
            Evidence::Declined
        }
        Ok(_) | Err(_) => Evidence::MayHaveRun,
    }
}

/// Reports whether a job whose ledger write failed with this error may be
/// spooled until the key-value service is available.
fn may_be_spooled(error: JobError) -> bool {
    matches!(error, JobError::NotDone | JobError::OutcomeUnknown)
}

#[cfg(test)]
#[path = "../tests/unit/intake.rs"]
mod tests;
