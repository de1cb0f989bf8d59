//! Job records as stored in the key-value service.

use base::{Customer, FileId, JobId, UnixMillis, stable_hash};
use serde::{Deserialize, Serialize};

use crate::RangeSet;

/// Maximum number of chunk references held in a record before they move to a
/// page.
pub const MAX_INLINE_CHUNKS: usize = 64;

/// A stored chunk of a file; holds whole lines.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    /// Blob ID on the data VMs.
    pub blob: String,
    /// Length of the blob, in bytes.
    pub bytes: u64,
    /// CRC-32 of the blob.
    pub crc: u32,
    /// Number of lines in the blob.
    pub items: u32,
}

/// State of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Items are still open.
    InProgress,
    /// A cancel was requested: no item starts, and the remaining results are
    /// being committed.
    Cancelling,
    /// Cancelled by its customer.
    Cancelled,
    /// Every item is in the output file or in the error file.
    Completed,
}

/// Result file of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub enum Sink {
    /// Completed items.
    Output,
    /// Items that were rejected or given up.
    Errors,
}

impl Sink {
    /// Returns the short name used in keys and blob IDs.
    #[inline]
    pub fn as_str(self) -> &'static str {
        match self {
            Sink::Output => "out",
            Sink::Errors => "err",
        }
    }
}

/// A page of chunk references that no longer fit into the job record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Page {
    /// File that the chunks belong to.
    pub sink: Sink,
    /// Page number within the file, from 0.
    pub number: u32,
    /// Chunk references, in order.
    pub chunks: Vec<Chunk>,
}

/// The stored record of a batch job.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Job ID.
    pub id: JobId,
    /// Customer that owns the job.
    #[serde(rename = "tenant")]
    pub customer: Customer,
    /// Digest of the create request; a resend with the same key must match it.
    pub content: String,
    /// Input file.
    pub input: FileId,
    /// Models named by the items; empty if there are too many to list.
    #[serde(default)]
    pub models: Vec<String>,
    /// Request path of the items.
    pub path: String,
    /// Requested completion window.
    pub window: String,
    /// Metadata attached by the customer.
    pub metadata: serde_json::Value,
    /// Time of acceptance.
    pub created: UnixMillis,
    /// Due time.
    pub due: UnixMillis,
    /// Time of completion or cancellation.
    pub ended: Option<UnixMillis>,
    /// Current state.
    pub state: JobState,
    /// Number of items in the input file.
    pub items: u32,
    /// Completed items.
    pub done: RangeSet,
    /// Items that were rejected or given up.
    pub failed: RangeSet,
    /// Most recent chunks of the output file.
    pub output: Vec<Chunk>,
    /// Most recent chunks of the error file.
    pub errors: Vec<Chunk>,
    /// Number of pages that precede `output`.
    #[serde(default)]
    pub output_pages: u32,
    /// Number of pages that precede `errors`.
    #[serde(default)]
    pub error_pages: u32,
    /// Whether the owner expects the job to miss its due time.
    #[serde(default)]
    pub at_risk: bool,
    /// ID of the last operation, by which a write whose response was lost is
    /// recognized.
    pub operation: u64,
}

impl JobRecord {
    /// Reports whether the job still has work for the owner of its partition.
    pub fn is_open(&self) -> bool {
        matches!(self.state, JobState::InProgress | JobState::Cancelling)
    }

    /// Reports whether an item is part of a committed result.
    pub fn is_settled(&self, index: u32) -> bool {
        self.done.contains(index) || self.failed.contains(index)
    }

    /// Returns the number of items that are not part of a committed result.
    pub fn remaining_items(&self) -> u32 {
        self.items - self.done.len() - self.failed.len()
    }

    /// Appends a chunk reference and returns a page if the inline list was
    /// full.
    pub(crate) fn push(&mut self, sink: Sink, chunk: Chunk) -> Option<Page> {
        let (chunks, pages) = match sink {
            Sink::Output => (&mut self.output, &mut self.output_pages),
            Sink::Errors => (&mut self.errors, &mut self.error_pages),
        };
        let page = (chunks.len() >= MAX_INLINE_CHUNKS).then(|| {
            *pages += 1;
            Page {
                sink,
                number: *pages - 1,
                chunks: std::mem::take(chunks),
            }
        });
        chunks.push(chunk);
        page
    }
}

/// Returns the partition that a job hashes to.
///
/// # Example
///
/// ```
/// use pomeloslip_ledger::partition_of;
///
/// let id = "batch_1".parse()?;
/// assert!(partition_of(&id, 32) < 32);
/// assert_eq!(partition_of(&id, 1), 0);
/// # Ok::<(), base::IdError>(())
/// ```
pub fn partition_of(id: &JobId, partitions: u32) -> u32 {
    let hash = stable_hash(&[id.as_str()]);
    (hash % u64::from(partitions.max(1))) as u32
}
