//! Inputs, results and progress of items, beside the manifests.

use std::sync::Arc;

use error_stack::{Report, ResultExt};
use kv::{Op, Txn};

use super::{CHUNKS_MOST, FILL_PERCENT, Ledger, Proof, put};
use crate::{
    BulkValue, JobError,
    record::{
        BULK_PREFIX, ItemCheckpoint, ItemInput, ItemResult, JobCheckpoint,
        JobKey, JobManifest, checkpoint_key, decode_checkpoints,
        decode_inputs, decode_results, encode_checkpoints, input_key,
        output_key,
    },
};

impl Ledger {
    /// Reads the inputs of a job.
    ///
    /// # Errors
    ///
    /// [`JobError::NotDone`] if the service is away, [`JobError::Unknown`]
    /// if inputs are missing.
    pub async fn inputs(
        &self,
        job: &JobKey,
        manifest: &JobManifest,
    ) -> Result<Vec<ItemInput>, Report<JobError>> {
        let mut items = Vec::with_capacity(manifest.total as usize);
        for chunk in 0..manifest.input_chunks {
            let key = input_key(job, manifest, chunk);
            let value = self.bulk(job, manifest, &key).await?;
            items.extend(decode_inputs(&value)?);
        }
        match items.len() == manifest.total as usize {
            true => Ok(items),
            false => Err(Report::new(JobError::Unknown)),
        }
    }

    /// Reads a chunk of results.
    ///
    /// # Errors
    ///
    /// As [`inputs`](Self::inputs).
    pub async fn results(
        &self,
        job: &JobKey,
        manifest: &JobManifest,
        first_position: u32,
    ) -> Result<Vec<ItemResult>, Report<JobError>> {
        let key = output_key(job, manifest, first_position);
        let value = self.bulk(job, manifest, &key).await?;
        Ok(decode_results(&value)?)
    }

    /// Reads a value that never changes from the nearest place that has it:
    /// this node, the one that runs the job, the service.
    async fn bulk(
        &self,
        job: &JobKey,
        manifest: &JobManifest,
        key: &str,
    ) -> Result<BulkValue, Report<JobError>> {
        if let Some(value) = self.cache.get(key) {
            return Ok(value);
        }
        let value = match self.peers.read(job, manifest, key).await {
            Some(value) => value,
            None => Arc::new(self.bulk_of_service(key).await?),
        };
        self.cache.keep(key, &value);
        Ok(value)
    }

    /// Reads a value that never changes, for another node that asks this one
    /// for it.
    ///
    /// # Errors
    ///
    /// [`JobError::Unknown`] of a key that is no such value, and as
    /// [`inputs`](Self::inputs).
    pub async fn value(
        &self,
        key: &str,
    ) -> Result<BulkValue, Report<JobError>> {
        if !key.starts_with(BULK_PREFIX) {
            return Err(Report::new(JobError::Unknown));
        }
        let value = Arc::new(self.bulk_of_service(key).await?);
        self.cache.keep(key, &value);
        Ok(value)
    }

    async fn bulk_of_service(
        &self,
        key: &str,
    ) -> Result<Vec<u8>, Report<JobError>> {
        let reply = self.kv.get(key).await;
        let reply = reply.change_context(JobError::NotDone)?;
        let found = reply.kvs.into_iter().next();
        found
            .map(|kv| kv.value)
            .ok_or_else(|| Report::new(JobError::Unknown))
    }

    /// Keeps values that this node surely wrote.
    pub(super) fn keep_all(
        &self,
        values: &[(String, BulkValue)],
        proof: Proof,
    ) {
        if proof != Proof::Answered {
            return;
        }
        for (key, value) in values {
            self.cache.keep(key, value);
        }
    }

    /// Saves what unfinished items have produced, so that they go on after
    /// their last event if this node is lost.
    ///
    /// Without a comparison, as each value is a whole by itself: an older
    /// one only means that a little more runs again. What does not fit the
    /// service's values is left out.
    ///
    /// # Errors
    ///
    /// [`JobError::NotDone`] if the service is away.
    pub async fn save_checkpoints(
        &self,
        jobs: &[JobCheckpoint],
    ) -> Result<(), Report<JobError>> {
        let most = self.value_bytes * FILL_PERCENT / 100;
        let mut rows = Vec::new();
        let mut bytes = 0;
        for progress in jobs {
            let items = fitting(&progress.items, most);
            let value = encode_checkpoints(items)?;
            if rows.len() == CHUNKS_MOST || bytes + value.len() > most {
                self.put_all(std::mem::take(&mut rows)).await?;
                bytes = 0;
            }
            bytes += value.len();
            let key = checkpoint_key(&progress.job, progress.submitted_at);
            rows.push(put(key, value));
        }
        match rows.is_empty() {
            true => Ok(()),
            false => self.put_all(rows).await,
        }
    }

    async fn put_all(&self, success: Vec<Op>) -> Result<(), Report<JobError>> {
        let txn = Txn {
            success,
            ..Txn::default()
        };
        let written = self.patient.txn(txn).await;
        written.change_context(JobError::NotDone)?;
        Ok(())
    }

    /// Reads what the unfinished items of a job had produced when it was
    /// last saved.
    ///
    /// # Errors
    ///
    /// [`JobError::NotDone`] if the service is away.
    pub async fn progress(
        &self,
        job: &JobKey,
        manifest: &JobManifest,
    ) -> Result<Vec<ItemCheckpoint>, Report<JobError>> {
        let key = checkpoint_key(job, manifest.submitted_at);
        let reply = self.kv.get(&key).await;
        let reply = reply.change_context(JobError::NotDone)?;
        match reply.kvs.first() {
            Some(kv) => Ok(decode_checkpoints(&kv.value)?),
            None => Ok(Vec::new()),
        }
    }
}

/// Returns as many of the first items as a value holds.
fn fitting(items: &[ItemCheckpoint], most: usize) -> &[ItemCheckpoint] {
    /// Names, numbers and quotes of the table's row.
    const ROW_BYTES: usize = 96;
    let mut bytes = 0;
    let fits = |item: &&ItemCheckpoint| {
        bytes += ROW_BYTES + item.output.len();
        bytes <= most
    };
    &items[..items.iter().take_while(fits).count()]
}
