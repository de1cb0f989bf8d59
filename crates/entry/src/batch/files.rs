//! Uploads and downloads of files.

use base::{Customer, FileId, UnixMillis, blob_day_prefix};
use error_stack::{Report, ResultExt};
use kv::{
    Compare, KvError, Op, Txn,
    ops::{Outcome, ReadBack},
};
use ledger::Sink;
use sha2::{Digest, Sha256};

use super::{
    Batch, Chunk, ERRORS_PREFIX, FileRecord, JOB_PREFIX, JobRecord,
    OUTPUT_PREFIX,
    input::{InputChunk, InputError, InputSplitter},
};
use crate::EntryError;

const MS_PER_DAY: u64 = 86_400_000;

/// Maximum age at which a stored file is reused for a resent one, in
/// milliseconds.
const MAX_REUSE_AGE_MS: u64 = 7 * MS_PER_DAY;

/// Maximum age of the input file of a new job, in milliseconds. Even with
/// the maximum window of a job, the chunks are retained while they are read.
pub(super) const MAX_INPUT_AGE_MS: u64 = 14 * MS_PER_DAY;

/// Hexadecimal digits of a digest that form an id.
const ID_DIGITS: usize = 32;

/// Why a file was not stored.
#[derive(Debug)]
pub(crate) enum UploadError {
    /// The content of the file is invalid.
    Input(InputError),
    /// The file could not be stored durably.
    Failed(Report<EntryError>),
}

impl From<Report<EntryError>> for UploadError {
    fn from(report: Report<EntryError>) -> Self {
        UploadError::Failed(report)
    }
}

impl From<InputError> for UploadError {
    fn from(error: InputError) -> Self {
        UploadError::Input(error)
    }
}

/// A batch input that is being uploaded.
///
/// Chunks are stored as they fill up, under a digest of their content:
/// resending the file stores nothing twice, and an aborted upload leaves only
/// unreferenced chunks.
pub(crate) struct Upload<'a> {
    batch: &'a Batch,
    customer: Customer,
    splitter: InputSplitter<'a>,
    digest: Sha256,
    bytes: u64,
    chunks: Vec<Chunk>,
}

impl<'a> Upload<'a> {
    /// Appends bytes to the file.
    pub(crate) async fn push(
        &mut self,
        bytes: &[u8],
    ) -> Result<(), UploadError> {
        self.bytes += bytes.len() as u64;
        self.digest.update(bytes);
        for chunk in self.splitter.push(bytes)? {
            self.store(chunk).await?;
        }
        Ok(())
    }

    /// Returns the memory of the upload, in bytes.
    pub(crate) fn held_bytes(&self) -> u64 {
        self.splitter.held_bytes()
    }

    /// Stores the remainder and then the record that makes the file visible.
    pub(crate) async fn finish(
        mut self,
        filename: String,
    ) -> Result<FileRecord, UploadError> {
        let limits = &self.batch.limits;
        let splitter =
            std::mem::replace(&mut self.splitter, InputSplitter::new(limits));
        let remainder = splitter.finish()?;
        for chunk in remainder.chunks {
            self.store(chunk).await?;
        }
        self.digest.update([0]);
        self.digest.update(self.customer.as_str());
        let hex = hex(&self.digest.clone().finalize());
        let id: FileId = format!("file-{}", &hex[..ID_DIGITS])
            .parse()
            .change_context(EntryError::Storage)?;
        let now = self.batch.timer.clock().unix();
        let found = self.batch.find_file(&self.customer, &id).await?;
        let mod_revision = match found {
            Some((known, _)) if is_reusable(&known, now) => return Ok(known),
            Some((_, mod_revision)) => mod_revision,
            None => 0,
        };
        let record = FileRecord {
            id,
            customer: self.customer,
            filename,
            purpose: "batch".to_owned(),
            bytes: self.bytes,
            items: self.chunks.iter().map(|chunk| chunk.items).sum(),
            models: remainder.models,
            created: now,
            chunks: self.chunks,
        };
        self.batch.write_file_record(&record, mod_revision).await?;
        Ok(record)
    }

    async fn store(&mut self, input: InputChunk) -> Result<(), UploadError> {
        let hex = hex(&Sha256::digest(&input.bytes));
        let day = blob_day_prefix(self.batch.timer.clock().unix());
        let name = &hex[..ID_DIGITS];
        let blob = format!("{day}in/{}/{name}", self.customer);
        let blobs = &self.batch.blobs;
        let chunk = blobs.put(blob, input.bytes, input.items).await?;
        self.chunks.push(chunk);
        Ok(())
    }
}

impl Batch {
    /// Starts the upload of a batch input.
    pub(crate) fn begin_upload(&self, customer: Customer) -> Upload<'_> {
        Upload {
            batch: self,
            customer,
            splitter: InputSplitter::new(&self.limits),
            digest: Sha256::new(),
            bytes: 0,
            chunks: vec![],
        }
    }

    /// Returns the chunks of a customer's file, or of the output or error file
    /// of one of the customer's jobs.
    pub(crate) async fn content(
        &self,
        customer: &Customer,
        id: &FileId,
    ) -> Result<Option<Vec<Chunk>>, Report<EntryError>> {
        let name = id.as_str();
        if let Some(job) = name.strip_prefix(OUTPUT_PREFIX) {
            let job = self.find_job(customer, job).await?;
            return self.job_chunks(job, Sink::Output).await;
        }
        if let Some(job) = name.strip_prefix(ERRORS_PREFIX) {
            let job = self.find_job(customer, job).await?;
            return self.job_chunks(job, Sink::Errors).await;
        }
        Ok(self.file(customer, id).await?.map(|file| file.chunks))
    }

    /// Returns the chunks of a job's output or error file, oldest page first.
    async fn job_chunks(
        &self,
        job: Option<JobRecord>,
        sink: Sink,
    ) -> Result<Option<Vec<Chunk>>, Report<EntryError>> {
        let Some(job) = job else {
            return Ok(None);
        };
        let (pages, newest) = match sink {
            Sink::Output => (job.output_pages, job.output),
            Sink::Errors => (job.error_pages, job.errors),
        };
        let mut chunks = Vec::new();
        for number in 0..pages {
            let key = self.keys.page(&job.id, sink, number);
            let reply = self.kv.get(&key).await.map_err(platform)?;
            let found = reply.kvs.first().ok_or_else(|| {
                Report::new(EntryError::Platform)
                    .attach(format!("{key} is missing"))
            })?;
            let page: Vec<Chunk> = serde_json::from_slice(&found.value)
                .change_context(EntryError::Platform)?;
            chunks.extend(page);
        }
        chunks.extend(newest);
        Ok(Some(chunks))
    }

    async fn find_job(
        &self,
        customer: &Customer,
        rest: &str,
    ) -> Result<Option<JobRecord>, Report<EntryError>> {
        match format!("{JOB_PREFIX}{rest}").parse() {
            Ok(id) => self.job(customer, &id).await,
            Err(_) => Ok(None),
        }
    }

    /// Returns a customer's file, or `None` if it belongs to another customer.
    pub(crate) async fn file(
        &self,
        customer: &Customer,
        id: &FileId,
    ) -> Result<Option<FileRecord>, Report<EntryError>> {
        let found = self.find_file(customer, id).await?;
        Ok(found.map(|(record, _)| record))
    }

    /// Returns a file and the revision of its record.
    async fn find_file(
        &self,
        customer: &Customer,
        id: &FileId,
    ) -> Result<Option<(FileRecord, u64)>, Report<EntryError>> {
        let key = self.keys.file(customer, id);
        let reply = self
            .kv
            .get(&key)
            .await
            .change_context(EntryError::Platform)
            .attach("reading a file's record")?;
        let Some(found) = reply.kvs.first() else {
            return Ok(None);
        };
        let record = serde_json::from_slice(&found.value)
            .change_context(EntryError::Platform)
            .attach_with(|| format!("cannot decode the record at {key}"))?;
        Ok(Some((record, found.mod_revision)))
    }

    /// Writes a file's record over the one at `mod_revision`; 0 means that no
    /// record exists.
    async fn write_file_record(
        &self,
        record: &FileRecord,
        mod_revision: u64,
    ) -> Result<(), Report<EntryError>> {
        let key = self.keys.file(&record.customer, &record.id);
        let value =
            serde_json::to_vec(record).change_context(EntryError::Platform)?;
        let txn = Txn {
            compares: vec![Compare::ModRevision {
                key: key.clone(),
                equals: mod_revision,
            }],
            success: vec![Op::Put {
                key: key.clone(),
                value,
                lease: None,
            }],
            failure: vec![],
        };
        let outcome = self
            .writer
            .commit(
                self.kv.as_ref(),
                txn,
                Op::Get { key },
                |_| (),
                |found| match found.kvs.first() {
                    Some(now) if now.mod_revision != mod_revision => {
                        ReadBack::Applied(())
                    }
                    None if mod_revision != 0 => ReadBack::Superseded,
                    _ => ReadBack::Undecided,
                },
                rand::random,
            )
            .await
            .map_err(platform)
            .attach("writing a file's record")?;
        match outcome {
            // A concurrent upload of the same content was recorded first;
            // its record refers to the same blobs.
            Outcome::Applied(()) | Outcome::Superseded => Ok(()),
        }
    }
}

/// Reports whether a resent file may reuse the stored chunks. The chunks of
/// an older file are stored again, since they expire by the day of upload.
fn is_reusable(record: &FileRecord, now: UnixMillis) -> bool {
    now.saturating_ms_since(record.created) < MAX_REUSE_AGE_MS
}

/// Converts an error of the key-value service, preserving whether a write may
/// have taken effect.
pub(crate) fn platform(report: Report<KvError>) -> Report<EntryError> {
    let context = match report.current_context() {
        KvError::Unknown => EntryError::Unknown,
        _ => EntryError::Platform,
    };
    report.change_context(context)
}

/// Encodes bytes as lowercase hexadecimal digits.
pub(super) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
