//! Creates, reads, lists and cancels jobs.

use base::{Customer, FileId, JobId, UnixMillis};
use error_stack::{Report, ResultExt};
use kv::{
    Compare, KeyValue, Op, OpReply, Txn,
    ops::{Outcome, ReadBack},
};
use ledger::{JobRecord, JobState, RangeSet};
use sha2::{Digest, Sha256};

use super::{
    Batch, JOB_PREFIX,
    files::{MAX_INPUT_AGE_MS, hex, platform},
    keys::last_segment,
};
use crate::EntryError;

/// A customer's request to create a job.
pub(crate) struct NewJob {
    pub(crate) customer: Customer,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) input: FileId,
    pub(crate) path: String,
    pub(crate) window: String,
    pub(crate) window_ms: u64,
    pub(crate) due: Option<UnixMillis>,
    pub(crate) metadata: serde_json::Value,
}

/// A page of a customer's jobs.
pub(crate) struct JobPage {
    pub(crate) jobs: Vec<JobRecord>,
    pub(crate) has_more: bool,
}

/// Why a job was not accepted.
#[derive(Debug)]
pub(crate) enum JobError {
    /// The input file does not exist.
    NoInput,
    /// The input file is too old to remain readable until the job ends.
    InputExpired,
    /// The idempotency key was used before with different content.
    KeyReused(JobId),
    /// The write of the job's record failed; the report says whether it may
    /// have taken effect.
    Failed(Report<EntryError>),
}

impl From<Report<EntryError>> for JobError {
    fn from(report: Report<EntryError>) -> Self {
        JobError::Failed(report)
    }
}

impl Batch {
    /// Creates a job, or returns the one that the same request created before.
    ///
    /// A job is accepted once its record is in the key-value service; its
    /// input was on two data VMs before the file got an id.
    pub(crate) async fn create(
        &self,
        job: NewJob,
    ) -> Result<JobRecord, JobError> {
        let input = self.file(&job.customer, &job.input).await?;
        let input = input.ok_or(JobError::NoInput)?;
        let content = content_digest(&job);
        let id = job_id(&job, &content)?;
        let now = self.timer.clock().unix();
        let age_ms = now.saturating_ms_since(input.created);
        if age_ms > MAX_INPUT_AGE_MS {
            let known = self.job(&job.customer, &id).await?;
            return known
                .filter(|known| known.content == content)
                .ok_or(JobError::InputExpired);
        }
        let due = now.saturating_add_ms(job.window_ms);
        let record = JobRecord {
            id,
            content,
            input: job.input,
            models: input.models,
            path: job.path,
            window: job.window,
            metadata: job.metadata,
            created: now,
            due: job.due.unwrap_or(due),
            ended: None,
            state: JobState::InProgress,
            items: input.items,
            done: RangeSet::default(),
            failed: RangeSet::default(),
            output: vec![],
            errors: vec![],
            output_pages: 0,
            error_pages: 0,
            at_risk: false,
            operation: rand::random(),
            customer: job.customer,
        };
        self.write_job_record(record).await
    }

    async fn write_job_record(
        &self,
        record: JobRecord,
    ) -> Result<JobRecord, JobError> {
        let key = self.keys.job(&record.id);
        let absent = Compare::ModRevision {
            key: key.clone(),
            equals: 0,
        };
        let (customer, id) = (&record.customer, &record.id);
        let listed = self.keys.listed_job(customer, record.created, id);
        let txn = Txn {
            compares: vec![absent],
            success: vec![
                put_record(&key, &record)?,
                put_empty(self.keys.open_marker(id)),
                put_empty(listed),
            ],
            failure: vec![],
        };
        let operation = record.operation;
        let outcome = self
            .writer
            .commit(
                self.kv.as_ref(),
                txn,
                Op::Get { key },
                |_| (),
                |found| match found.kvs.first() {
                    None => ReadBack::Undecided,
                    Some(kv) => match decode_record(kv) {
                        Ok(job) if job.operation == operation => {
                            ReadBack::Applied(())
                        }
                        _ => ReadBack::Superseded,
                    },
                },
                rand::random,
            )
            .await
            .map_err(platform)
            .attach("writing a job's record")?;
        if outcome == Outcome::Applied(()) {
            self.owner.request_listing(&record.id);
            return Ok(record);
        }
        // A retry: the first request created this job.
        let known = self.job(&record.customer, &record.id).await?;
        match known {
            Some(known) if known.content == record.content => Ok(known),
            _ => Err(JobError::KeyReused(record.id)),
        }
    }

    /// Returns a customer's job, or `None` if it belongs to another customer.
    pub(crate) async fn job(
        &self,
        customer: &Customer,
        id: &JobId,
    ) -> Result<Option<JobRecord>, Report<EntryError>> {
        let reply = self
            .kv
            .get(&self.keys.job(id))
            .await
            .change_context(EntryError::Platform)
            .attach("reading a job's record")?;
        let Some(found) = reply.kvs.first() else {
            return Ok(None);
        };
        let job = decode_record(found)?;
        Ok(Some(job).filter(|job| job.customer == *customer))
    }

    /// Returns a page of a customer's jobs after a given one, newest first.
    pub(crate) async fn list(
        &self,
        customer: &Customer,
        after: Option<&str>,
        limit: usize,
    ) -> Result<JobPage, Report<EntryError>> {
        let reply = self
            .kv
            .get_prefix(&self.keys.listed_jobs(customer), 0)
            .await
            .change_context(EntryError::Platform)
            .attach("listing jobs")?;
        let ids: Vec<JobId> = reply
            .kvs
            .iter()
            .filter_map(|kv| job_id_of_key(&kv.key))
            .collect();
        let start = match after {
            None => 0,
            Some(after) => ids
                .iter()
                .position(|id| id.as_str() == after)
                .map_or(ids.len(), |at| at + 1),
        };
        let page: Vec<_> = ids.iter().skip(start).take(limit).collect();
        let has_more = start + page.len() < ids.len();
        let jobs = self.read_jobs(&page).await?;
        Ok(JobPage { jobs, has_more })
    }

    async fn read_jobs(
        &self,
        ids: &[&JobId],
    ) -> Result<Vec<JobRecord>, Report<EntryError>> {
        let get = |id: &&JobId| Op::Get {
            key: self.keys.job(id),
        };
        let txn = Txn {
            success: ids.iter().map(get).collect(),
            ..Txn::default()
        };
        let reply = self
            .kv
            .txn(txn)
            .await
            .change_context(EntryError::Platform)
            .attach("reading the records of jobs")?;
        let found = reply.replies.iter().filter_map(|reply| match reply {
            OpReply::Read(found) => found.first(),
            _ => None,
        });
        found.map(decode_record).collect()
    }

    /// Requests the cancellation of a job; completed results stay readable.
    pub(crate) async fn cancel(
        &self,
        customer: &Customer,
        id: &JobId,
    ) -> Result<Option<JobRecord>, Report<EntryError>> {
        let key = self.keys.job(id);
        loop {
            let reply = self
                .kv
                .get(&key)
                .await
                .change_context(EntryError::Platform)?;
            let Some(found) = reply.kvs.first() else {
                return Ok(None);
            };
            let mut job = decode_record(found)?;
            if job.customer != *customer {
                return Ok(None);
            }
            if job.state != JobState::InProgress {
                return Ok(Some(job));
            }
            job.state = JobState::Cancelling;
            job.operation = rand::random();
            let txn = Txn {
                compares: vec![Compare::ModRevision {
                    key: key.clone(),
                    equals: found.mod_revision,
                }],
                // The owner lists the open-job markers, and rereads the
                // record of a job whose marker has changed.
                success: vec![
                    put_record(&key, &job)?,
                    put_empty(self.keys.open_marker(id)),
                ],
                failure: vec![],
            };
            let operation = job.operation;
            let outcome = self
                .writer
                .commit(
                    self.kv.as_ref(),
                    txn,
                    Op::Get { key: key.clone() },
                    |_| (),
                    |now| resolve_cancel(now.kvs.first(), operation, found),
                    rand::random,
                )
                .await
                .map_err(platform)
                .attach("cancelling a job")?;
            if outcome == Outcome::Applied(()) {
                self.owner.request_listing(id);
                return Ok(Some(job));
            }
            // The owner has committed results meanwhile: read again.
        }
    }
}

/// Determines the outcome of a write from the value read back.
fn resolve_cancel(
    now: Option<&KeyValue>,
    operation: u64,
    before: &KeyValue,
) -> ReadBack<()> {
    match now {
        Some(now) if now.mod_revision == before.mod_revision => {
            ReadBack::Undecided
        }
        Some(now) => match decode_record(now) {
            Ok(job) if job.operation == operation => ReadBack::Applied(()),
            _ => ReadBack::Superseded,
        },
        None => ReadBack::Superseded,
    }
}

fn put_record(key: &str, job: &JobRecord) -> Result<Op, Report<EntryError>> {
    let value =
        serde_json::to_vec(job).change_context(EntryError::Platform)?;
    Ok(Op::Put {
        key: key.to_owned(),
        value,
        lease: None,
    })
}

fn put_empty(key: String) -> Op {
    Op::Put {
        key,
        value: Vec::new(),
        lease: None,
    }
}

/// Returns the job id in a key of a customer's job list.
fn job_id_of_key(key: &str) -> Option<JobId> {
    let (_age, id) = last_segment(key).split_once('-')?;
    id.parse().ok()
}

pub(super) fn decode_record(
    kv: &KeyValue,
) -> Result<JobRecord, Report<EntryError>> {
    serde_json::from_slice(&kv.value)
        .change_context(EntryError::Platform)
        .attach_with(|| format!("cannot decode the record at {}", kv.key))
}

fn content_digest(job: &NewJob) -> String {
    let mut digest = Sha256::new();
    let due = job.due.map_or(0, UnixMillis::as_ms).to_string();
    let metadata = job.metadata.to_string();
    let parts = [job.input.as_str(), &job.path, &job.window, &due, &metadata];
    for part in parts {
        digest.update((part.len() as u64).to_le_bytes());
        digest.update(part);
    }
    hex(&digest.finalize())
}

fn job_id(job: &NewJob, content: &str) -> Result<JobId, Report<EntryError>> {
    let mut digest = Sha256::new();
    digest.update(job.customer.as_str());
    match &job.idempotency_key {
        Some(key) => {
            digest.update([1]);
            digest.update(key);
        }
        None => {
            digest.update([2]);
            digest.update(content);
        }
    }
    let hex = hex(&digest.finalize());
    format!("{JOB_PREFIX}{}", &hex[..32])
        .parse()
        .change_context(EntryError::Platform)
}
