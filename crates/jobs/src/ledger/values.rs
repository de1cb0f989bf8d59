//! Inputs, results and checkpoints of items, which are stored apart from the
//! manifests.

use std::{borrow::Cow, sync::Arc};

use error_stack::{Report, ResultExt};
use kv::{Op, Txn};

use super::{Ledger, MAX_CHUNKS_PER_TXN, WriteProof, put};
use crate::{
    BulkValue, JobError,
    record::{
        BULK_PREFIX, EMPTY_TABLE_BYTES, ItemCheckpoint, ItemInput, ItemResult,
        JobCheckpoint, JobKey, JobManifest, checkpoint_bytes, checkpoint_key,
        decode_checkpoints, decode_inputs, decode_results, encode_checkpoints,
        input_key,
    },
};

impl Ledger {
    /// Reads the inputs of a job.
    ///
    /// # Errors
    ///
    /// [`JobError::NotDone`] if the key-value service is unavailable,
    /// [`JobError::Unknown`] if inputs are missing.
    pub async fn inputs(
        &self,
        job: &JobKey,
        manifest: &JobManifest,
    ) -> Result<Vec<ItemInput>, Report<JobError>> {
        let mut items = Vec::with_capacity(manifest.total as usize);
        for chunk in 0..manifest.input_chunks {
            let key = input_key(job, manifest, chunk);
            let value = self.read_bulk(job, manifest, &key).await?;
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
        let mut keys = manifest.output_keys(job, first_position);
        let Some(key) = keys.next() else {
            return Ok(Vec::new());
        };
        let first = self.read_bulk(job, manifest, &key).await?;
        if !manifest.output_parts.contains_key(&first_position) {
            return Ok(decode_results(&first)?);
        }
        let mut bytes = first.to_vec();
        for key in keys {
            bytes.extend(&*self.read_bulk(job, manifest, &key).await?);
        }
        Ok(decode_results(&bytes)?)
    }

    /// Reads an immutable value from the nearest source: the cache of this
    /// node, then a peer, then the key-value service.
    async fn read_bulk(
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
            None => Arc::new(self.read_bulk_from_kv(key).await?),
        };
        self.cache.insert(key, &value);
        Ok(value)
    }

    /// Reads an immutable value for a peer that requests it from this node.
    ///
    /// # Errors
    ///
    /// [`JobError::Unknown`] if the key is not the key of such a value, and
    /// the errors of [`inputs`](Self::inputs).
    pub async fn value(
        &self,
        key: &str,
    ) -> Result<BulkValue, Report<JobError>> {
        if !key.starts_with(BULK_PREFIX) {
            return Err(Report::new(JobError::Unknown));
        }
        let value = Arc::new(self.read_bulk_from_kv(key).await?);
        self.cache.insert(key, &value);
        Ok(value)
    }

    async fn read_bulk_from_kv(
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

    /// Caches values if it is certain that this node wrote them.
    pub(super) fn cache_written(
        &self,
        values: &[(String, BulkValue)],
        proof: WriteProof,
    ) {
        if proof != WriteProof::Acknowledged {
            return;
        }
        for (key, value) in values {
            self.cache.insert(key, value);
        }
    }

    /// Saves checkpoints of unfinished items, so that the items resume after
    /// their last event if this node is lost.
    ///
    /// The writes have no compare condition, since each value is complete by
    /// itself: an older checkpoint only means that a little more is run again.
    /// Checkpoints that exceed the maximum value size are left out.
    ///
    /// # Errors
    ///
    /// [`JobError::NotDone`] if the key-value service is unavailable.
    pub async fn save_checkpoints(
        &self,
        jobs: &[JobCheckpoint],
    ) -> Result<(), Report<JobError>> {
        let max_bytes = self.max_value_bytes;
        let mut rows = Vec::new();
        let mut bytes = 0;
        for job in jobs {
            let items = checkpoints_that_fit(&job.items, max_bytes)?;
            let value = encode_checkpoints(&items)?;
            if rows.len() == MAX_CHUNKS_PER_TXN
                || bytes + value.len() > max_bytes
            {
                self.put_all(std::mem::take(&mut rows)).await?;
                bytes = 0;
            }
            bytes += value.len();
            let key = checkpoint_key(&job.job, job.submitted_at);
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
        let written = self.batching_kv.txn(txn).await;
        written.change_context(JobError::NotDone)?;
        Ok(())
    }

    /// Reads the last saved checkpoints of a job's unfinished items.
    ///
    /// # Errors
    ///
    /// [`JobError::NotDone`] if the key-value service is unavailable.
    pub async fn checkpoints(
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

/// Returns the checkpoints that fit into a value, without those that exceed
/// the remaining space.
fn checkpoints_that_fit(
    items: &[ItemCheckpoint],
    max_bytes: usize,
) -> Result<Cow<'_, [ItemCheckpoint]>, JobError> {
    let mut remaining = max_bytes.saturating_sub(EMPTY_TABLE_BYTES);
    let mut fits = Vec::with_capacity(items.len());
    for item in items {
        let bytes = checkpoint_bytes(item)?;
        fits.push(bytes <= remaining);
        if bytes <= remaining {
            remaining -= bytes;
        }
    }
    if fits.iter().all(|fits| *fits) {
        return Ok(Cow::Borrowed(items));
    }
    let kept = items.iter().zip(fits).filter(|(_, fits)| *fits);
    Ok(kept.map(|(item, _)| item.clone()).collect())
}
