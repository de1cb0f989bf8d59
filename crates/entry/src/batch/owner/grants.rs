//! Grants items to companions and accepts their results.

use std::ops::Range;

use base::{Customer, FileId, JobId};
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use futures::future::join_all;
use ledger::{Ack, Granted, PullRequest, RunOutcome};
use serde::Deserialize;
use wire::message::{Item, ItemOutcome, ItemResult, Pull, PullReply};

use super::{
    Owner, READ_RETRY_MS, crashes,
    lines::{self, FailureReason},
};
use crate::{EntryError, batch::input::InputLine};

/// Poll delay of a companion while there is more work, in milliseconds.
const MORE_WORK_POLL_MS: u32 = 50;

/// Poll delay of a companion when all open work is granted or there is none,
/// in milliseconds. A companion that no entry had work for waits as long as
/// the last one says, so a long delay would leave its endpoint idle.
const IDLE_POLL_MS: u32 = 200;

/// Poll delay at an entry that owns no partition, in milliseconds.
const NOT_OWNER_POLL_MS: u32 = 500;

/// Statuses of an invalid request, which would be rejected again.
const CLIENT_ERRORS: Range<u16> = 400..500;

/// Client error statuses that are retryable: request timeout, conflict, too
/// early and too many requests.
const RETRYABLE: [u16; 4] = [408, 409, 425, 429];

/// The fields of a job that are needed to read its items.
struct JobSource {
    customer: Customer,
    input: FileId,
    path: String,
}

#[derive(Deserialize)]
struct BodyModel {
    model: Option<String>,
}

impl Owner {
    /// Grants items to a companion.
    pub(crate) async fn pull(&self, pull: Pull) -> PullReply {
        let moment = self.moment();
        let request = PullRequest {
            vm: &pull.vm,
            incarnation: pull.incarnation.get(),
            models: &pull.models,
            capacity: pull.capacity,
            running: &pull.running,
        };
        let (response, owns_partitions) = {
            let mut ledger = self.ledger();
            let response = ledger.pull(moment, &request);
            (response, !ledger.partitions().is_empty())
        };
        let items = response.items.into_iter();
        let read = items.map(|granted| self.item(granted, &pull.models));
        PullReply {
            items: join_all(read).await.into_iter().flatten().collect(),
            revoked: response.revoked,
            next_in_ms: match (response.more, owns_partitions) {
                (true, _) => MORE_WORK_POLL_MS,
                (false, true) => IDLE_POLL_MS,
                (false, false) => NOT_OWNER_POLL_MS,
            },
        }
    }

    /// Reads a granted item; reopens it at once if it cannot be read or
    /// requests another model.
    async fn item(&self, granted: Granted, models: &[String]) -> Option<Item> {
        match self.read(&granted, models).await {
            Ok(item) => self.check_quarantine(item, &granted).await,
            Err(report) => {
                log::info!(
                    job = granted.job.as_str(), error:? = report;
                    "cannot grant an item"
                );
                let Granted {
                    job, index, grant, ..
                } = granted;
                let moment = self.moment();
                let outcome = RunOutcome::Returned;
                self.ledger().result(moment, &job, index, grant, outcome);
                None
            }
        }
    }

    async fn read(
        &self,
        granted: &Granted,
        models: &[String],
    ) -> Result<Item, Report<EntryError>> {
        let source = self.source(&granted.job);
        let source = source.ok_or(EntryError::Storage)?;
        let line = self.line(&source, granted.index).await?;
        let body: BodyModel = serde_json::from_str(line.body.get())
            .change_context(EntryError::Storage)?;
        if let Some(model) = body.model
            && !models.is_empty()
            && !models.contains(&model)
        {
            return Err(Report::new(EntryError::Storage))
                .attach(format!("it is for the model {model}"));
        }
        let ttl_ms = self.grant_ttl_ms;
        Ok(Item {
            grant: granted.grant,
            partition: granted.partition,
            fence: granted.fence,
            job: granted.job.clone(),
            index: granted.index,
            attempt: granted.attempt,
            customer: granted.customer.clone(),
            path: source.path,
            body: Bytes::copy_from_slice(line.body.get().as_bytes()),
            expires_in_ms: u32::try_from(ttl_ms).unwrap_or(u32::MAX),
            due_unix_ms: granted.due.as_ms(),
        })
    }

    /// Accepts results and returns how many were applied.
    pub(crate) async fn results(&self, results: Vec<ItemResult>) -> u32 {
        let applied = results.iter().map(|result| self.apply_result(result));
        let applied = join_all(applied).await;
        applied.into_iter().map(u32::from).sum()
    }

    async fn apply_result(&self, result: &ItemResult) -> bool {
        let Some(source) = self.source(&result.job) else {
            return false;
        };
        let outcome = match result.outcome {
            ItemOutcome::Returned => RunOutcome::Returned,
            ItemOutcome::Answered
            | ItemOutcome::Lost
            | ItemOutcome::Crashed => {
                // A result line needs the custom id; without it, the grant
                // expires and the item runs again.
                let Ok(line) = self.line(&source, result.index).await else {
                    return false;
                };
                self.record_outcome(result, || {
                    let body = line.body.get().as_bytes();
                    crashes::digest(&source.customer, &source.path, body)
                });
                self.run_outcome(result, &line.custom_id)
            }
        };
        let moment = self.moment();
        let (job, index) = (&result.job, result.index);
        let mut ledger = self.ledger();
        let ack = ledger.result(moment, job, index, result.grant, outcome);
        ack != Ack::Ignored
    }

    fn run_outcome(&self, result: &ItemResult, custom_id: &str) -> RunOutcome {
        let is_response = result.outcome == ItemOutcome::Answered;
        if is_response && result.status < CLIENT_ERRORS.start {
            return RunOutcome::Completed(lines::output(result, custom_id));
        }
        let is_rejected = is_response
            && CLIENT_ERRORS.contains(&result.status)
            && !RETRYABLE.contains(&result.status);
        if is_rejected {
            let line =
                lines::error(result, custom_id, FailureReason::Rejected);
            return RunOutcome::Rejected(line);
        }
        let attempts = self.ledger().attempts(&result.job, result.index) + 1;
        let reason = FailureReason::Attempts(attempts);
        RunOutcome::Failed(lines::error(result, custom_id, reason))
    }

    /// Makes the error line of an item of which no result ever arrived. The
    /// job cannot end without this line, so reading the item is retried for
    /// as long as the job is open.
    pub(super) async fn give_up(&self, job: JobId, index: u32, attempts: u32) {
        while let Some(source) = self.source(&job) {
            match self.line(&source, index).await {
                Ok(line) => {
                    let id = &line.custom_id;
                    let line = lines::no_response(&job, index, id, attempts);
                    self.ledger().give_up(&job, index, line);
                    return;
                }
                Err(report) => {
                    log::warn!(error:? = report; "cannot read an item");
                }
            }
            self.timer.subscribe_in_ms(READ_RETRY_MS).await;
        }
    }

    async fn line(
        &self,
        source: &JobSource,
        index: u32,
    ) -> Result<InputLine, Report<EntryError>> {
        self.inputs
            .line(&source.customer, &source.input, index)
            .await
    }

    fn source(&self, job: &JobId) -> Option<JobSource> {
        let ledger = self.ledger();
        let record = ledger.job(job)?;
        Some(JobSource {
            customer: record.customer.clone(),
            input: record.input.clone(),
            path: record.path.clone(),
        })
    }
}
