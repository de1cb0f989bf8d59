//! Encodes inputs and results as values that the key-value service accepts.

use std::ops::Range;

use error_stack::Report;

use super::{
    Ledger, MAX_CHUNKS_PER_TXN, MAX_LISTING_BYTES, NewJob, new_manifest,
};
use crate::{
    JobError,
    record::{
        EMPTY_TABLE_BYTES, ItemInput, ItemResult, JobManifest, MAX_ITEMS,
        encode_inputs, encode_manifest, encode_results, input_bytes,
        result_bytes,
    },
};

/// Results that are stored together.
pub(super) struct OutputChunk {
    /// Indexes of the results.
    pub(super) results: Range<usize>,
    /// The encoded results. A single result that exceeds the size of a value
    /// takes several.
    pub(super) values: Vec<Vec<u8>>,
}

impl Ledger {
    /// Returns the maximum size of a result with its table row, in bytes.
    pub fn max_result_bytes(&self) -> usize {
        let max_bytes = self.max_value_bytes * MAX_CHUNKS_PER_TXN;
        max_bytes.saturating_sub(EMPTY_TABLE_BYTES)
    }

    /// Returns the maximum size of the inputs of a job, in bytes.
    pub(crate) fn max_inputs_bytes(&self, manifest: &JobManifest) -> u64 {
        u64::from(manifest.input_chunks) * self.max_value_bytes as u64
    }

    /// Returns the maximum size of the rows in a value, in bytes.
    fn max_rows_bytes(&self) -> usize {
        self.max_value_bytes.saturating_sub(EMPTY_TABLE_BYTES)
    }

    /// Checks that the key-value service can store a job and whatever becomes
    /// of it.
    ///
    /// # Errors
    ///
    /// [`JobError::TooLarge`] for a job that exceeds the size limits.
    pub fn check_size(&self, job: &NewJob) -> Result<(), Report<JobError>> {
        let chunks = self.encode_input_chunks(&job.items)?;
        self.check_manifest_size(&new_manifest(job, chunks.len()))
    }

    /// Checks that the manifest fits into a value until the job is closed.
    pub(super) fn check_manifest_size(
        &self,
        manifest: &JobManifest,
    ) -> Result<(), Report<JobError>> {
        let total = manifest.total as usize;
        let items_bytes = total * max_item_manifest_bytes(total);
        let bytes = encode_manifest(manifest)?.len() + items_bytes;
        if bytes > self.max_value_bytes || manifest.total > MAX_ITEMS {
            return Err(too_large("manifest", bytes, self.max_value_bytes));
        }
        Ok(())
    }

    /// Encodes the inputs of a job as the values that store them.
    pub(super) fn encode_input_chunks(
        &self,
        items: &[ItemInput],
    ) -> Result<Vec<Vec<u8>>, Report<JobError>> {
        let sizes = items.iter().map(input_bytes);
        let sizes = sizes.collect::<Result<Vec<usize>, JobError>>()?;
        let max_bytes = self.max_rows_bytes();
        if let Some(bytes) = sizes.iter().find(|bytes| **bytes > max_bytes) {
            return Err(too_large("item", *bytes, max_bytes));
        }
        let chunks = split_rows(&sizes, max_bytes);
        if chunks.len() > MAX_CHUNKS_PER_TXN {
            let bytes = sizes.iter().sum();
            let max_bytes = MAX_CHUNKS_PER_TXN * max_bytes;
            return Err(too_large("job", bytes, max_bytes));
        }
        let chunks = chunks.into_iter();
        let values = chunks.map(|rows| encode_inputs(&items[rows]));
        Ok(values.collect::<Result<_, JobError>>()?)
    }

    /// Encodes the first of the results, as many as fit into a transaction, as
    /// the values that store them.
    pub(super) fn encode_output_chunks(
        &self,
        results: &[ItemResult],
    ) -> Result<Vec<OutputChunk>, Report<JobError>> {
        let sizes = results.iter().map(result_bytes);
        let sizes = sizes.collect::<Result<Vec<usize>, JobError>>()?;
        let max_bytes = self.max_rows_bytes();
        let mut chunks = Vec::new();
        let (mut count, mut bytes) = (0, 0);
        for rows in split_rows(&sizes, max_bytes) {
            let encoded = encode_results(&results[rows.clone()])?;
            let values = encoded.chunks(self.max_value_bytes.max(1));
            let values: Vec<Vec<u8>> = values.map(<[u8]>::to_vec).collect();
            count += values.len();
            bytes += encoded.len();
            let is_full =
                count > MAX_CHUNKS_PER_TXN || bytes > MAX_LISTING_BYTES;
            if is_full && !chunks.is_empty() {
                break;
            }
            if count > MAX_CHUNKS_PER_TXN {
                let max_bytes = self.max_result_bytes();
                return Err(too_large("result", encoded.len(), max_bytes));
            }
            chunks.push(OutputChunk {
                results: rows,
                values,
            });
        }
        Ok(chunks)
    }
}

/// Number of processes that count failed attempts at one item, and of those
/// with an attempt whose outcome is not recorded. Larger numbers are possible,
/// but not for all items of a job.
const MAX_FAILED: usize = 4;
const MAX_OPEN: usize = 3;

/// Returns an upper bound of the bytes that an item of a job with `total` items
/// adds to the manifest.
fn max_item_manifest_bytes(total: usize) -> usize {
    const FAILED: &str = r#""":[9,9],"#;
    const OPEN: &str = ",";
    const POSITION: &str = ",";
    const CHUNK: &str = ",";
    const CHUNK_PARTS: &str = r#""":24,"#;
    // Each of them contains the number of the item or its position.
    let number_bytes = total.to_string().len();
    MAX_FAILED * (FAILED.len() + number_bytes)
        + MAX_OPEN * (OPEN.len() + number_bytes)
        + POSITION.len()
        + CHUNK.len()
        + CHUNK_PARTS.len()
        + 3 * number_bytes
}

/// Splits rows into ranges whose sizes add up to `max_bytes` at most. A larger
/// row is a range of its own.
pub(super) fn split_rows(
    sizes: &[usize],
    max_bytes: usize,
) -> Vec<Range<usize>> {
    let mut ranges = Vec::new();
    let (mut start, mut bytes) = (0, 0);
    for (at, size) in sizes.iter().enumerate() {
        if at > start && bytes + size > max_bytes {
            ranges.push(start..at);
            (start, bytes) = (at, 0);
        }
        bytes += size;
    }
    if start < sizes.len() {
        ranges.push(start..sizes.len());
    }
    ranges
}

fn too_large(
    what: &'static str,
    bytes: usize,
    max_bytes: usize,
) -> Report<JobError> {
    Report::new(JobError::TooLarge).attach(format!(
        "the {what} has {bytes} of at most {max_bytes} bytes"
    ))
}
