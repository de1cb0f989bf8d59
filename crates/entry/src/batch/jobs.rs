//! Accepting, showing and cancelling jobs.

use base::{FileId, JobId, Tenant, UnixMillis, stable_hash};
use error_stack::{Report, ResultExt};
use kv::{
    Compare, KeyValue, Op, Txn,
    ops::{Outcome, Verdict},
};
use sha2::{Digest, Sha256};

use super::{
    Batch, JOB_PREFIX, JobRecord, JobState,
    files::{hex, platform},
};
use crate::EntryError;

/// What a tenant asks to be run.
pub(crate) struct NewJob {
    pub(crate) tenant: Tenant,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) input: FileId,
    pub(crate) path: String,
    pub(crate) window: String,
    pub(crate) window_ms: u64,
    pub(crate) due: Option<UnixMillis>,
    pub(crate) metadata: serde_json::Value,
}

/// Why a job was not accepted.
#[derive(Debug)]
pub(crate) enum JobError {
    /// There is no such input file.
    NoInput,
    /// The same key came with other content before.
    KeyReused(JobId),
    /// The job could not be recorded; see the report whether it may be.
    Failed(Report<EntryError>),
}

impl From<Report<EntryError>> for JobError {
    fn from(report: Report<EntryError>) -> Self {
        JobError::Failed(report)
    }
}

impl Batch {
    /// Accepts a job, or returns the one that the same request made before.
    ///
    /// It is accepted once its record is in the key-value service; its input
    /// was on two data VMs before the file had an id.
    pub(crate) async fn create(
        &self,
        job: NewJob,
    ) -> Result<JobRecord, JobError> {
        let input = self.file(&job.tenant, &job.input).await?;
        let input = input.ok_or(JobError::NoInput)?;
        let content = content_digest(&job);
        let id = job_id(&job, &content)?;
        let now = self.timer.clock().unix();
        let due = now.saturating_add_ms(job.window_ms);
        let record = JobRecord {
            id,
            content,
            input: job.input,
            path: job.path,
            window: job.window,
            metadata: job.metadata,
            created: now,
            due: job.due.unwrap_or(due),
            ended: None,
            state: JobState::InProgress,
            items: input.items,
            done: vec![],
            failed: vec![],
            output: vec![],
            errors: vec![],
            operation: rand::random(),
            tenant: job.tenant,
        };
        self.record_job(record).await
    }

    async fn record_job(
        &self,
        record: JobRecord,
    ) -> Result<JobRecord, JobError> {
        let key = self.job_key(&record.id);
        let value = serde_json::to_vec(&record)
            .change_context(EntryError::Platform)?;
        let absent = Compare::ModRevision {
            key: key.clone(),
            equals: 0,
        };
        let put = Op::Put {
            key: key.clone(),
            value,
            lease: None,
        };
        let txn = Txn {
            compares: vec![absent],
            success: vec![put],
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
                    None => Verdict::Open,
                    Some(kv) => match parse(kv) {
                        Ok(job) if job.operation == operation => {
                            Verdict::Done(())
                        }
                        _ => Verdict::Superseded,
                    },
                },
                rand::random,
            )
            .await
            .map_err(platform)
            .attach("recording a job")?;
        if outcome == Outcome::Done(()) {
            self.owner.poke();
            return Ok(record);
        }
        // A resend: the first request made this job.
        let known = self.job(&record.tenant, &record.id).await?;
        match known {
            Some(known) if known.content == record.content => Ok(known),
            _ => Err(JobError::KeyReused(record.id)),
        }
    }

    /// Returns a tenant's job; another tenant's reads as absent.
    pub(crate) async fn job(
        &self,
        tenant: &Tenant,
        id: &JobId,
    ) -> Result<Option<JobRecord>, Report<EntryError>> {
        let reply = self
            .kv
            .get(&self.job_key(id))
            .await
            .change_context(EntryError::Platform)
            .attach("reading a job's record")?;
        let Some(found) = reply.kvs.first() else {
            return Ok(None);
        };
        let job = parse(found)?;
        Ok(Some(job).filter(|job| job.tenant == *tenant))
    }

    /// Returns a tenant's jobs, newest first.
    pub(crate) async fn list(
        &self,
        tenant: &Tenant,
    ) -> Result<Vec<JobRecord>, Report<EntryError>> {
        let reply = self
            .kv
            .get_prefix(&format!("{}jobs/", self.prefix), 0)
            .await
            .change_context(EntryError::Platform)
            .attach("listing jobs")?;
        let mut jobs =
            reply.kvs.iter().map(parse).collect::<Result<Vec<_>, _>>()?;
        jobs.retain(|job| job.tenant == *tenant);
        jobs.sort_by_key(|job| std::cmp::Reverse(job.created));
        Ok(jobs)
    }

    /// Asks that a job stop; what was completed stays readable.
    pub(crate) async fn cancel(
        &self,
        tenant: &Tenant,
        id: &JobId,
    ) -> Result<Option<JobRecord>, Report<EntryError>> {
        let key = self.job_key(id);
        loop {
            let reply = self
                .kv
                .get(&key)
                .await
                .change_context(EntryError::Platform)?;
            let Some(found) = reply.kvs.first() else {
                return Ok(None);
            };
            let mut job = parse(found)?;
            if job.tenant != *tenant {
                return Ok(None);
            }
            if job.state != JobState::InProgress {
                return Ok(Some(job));
            }
            job.state = JobState::Cancelling;
            job.operation = rand::random();
            let txn = replace(&key, found.mod_revision, &job)?;
            let operation = job.operation;
            let outcome = self
                .writer
                .commit(
                    self.kv.as_ref(),
                    txn,
                    Op::Get { key: key.clone() },
                    |_| (),
                    |now| seen(now.kvs.first(), operation, found),
                    rand::random,
                )
                .await
                .map_err(platform)
                .attach("cancelling a job")?;
            if outcome == Outcome::Done(()) {
                self.owner.poke();
                return Ok(Some(job));
            }
            // The owner committed results meanwhile; look again.
        }
    }

    fn job_key(&self, id: &JobId) -> String {
        let partition = partition_of(id, self.settings.partitions);
        format!("{}jobs/{partition:05}/{id}", self.prefix)
    }
}

/// Judges a write by what is there now.
pub(super) fn seen(
    now: Option<&KeyValue>,
    operation: u64,
    before: &KeyValue,
) -> Verdict<()> {
    match now {
        Some(now) if now.mod_revision == before.mod_revision => Verdict::Open,
        Some(now) => match parse(now) {
            Ok(job) if job.operation == operation => Verdict::Done(()),
            _ => Verdict::Superseded,
        },
        None => Verdict::Superseded,
    }
}

/// Builds the write of a job's next record.
pub(super) fn replace(
    key: &str,
    mod_revision: u64,
    job: &JobRecord,
) -> Result<Txn, Report<EntryError>> {
    let value =
        serde_json::to_vec(job).change_context(EntryError::Platform)?;
    let key = key.to_owned();
    Ok(Txn {
        compares: vec![Compare::ModRevision {
            key: key.clone(),
            equals: mod_revision,
        }],
        success: vec![Op::Put {
            key,
            value,
            lease: None,
        }],
        failure: vec![],
    })
}

pub(super) fn parse(kv: &KeyValue) -> Result<JobRecord, Report<EntryError>> {
    serde_json::from_slice(&kv.value)
        .change_context(EntryError::Platform)
        .attach_with(|| format!("the record at {} is broken", kv.key))
}

/// Returns the partition that a job hashes to.
pub(super) fn partition_of(id: &JobId, partitions: u32) -> u32 {
    let hash = stable_hash(&[id.as_str()]);
    (hash % u64::from(partitions.max(1))) as u32
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
    digest.update(job.tenant.as_str());
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
