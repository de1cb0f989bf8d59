//! What the key-value service keeps of a job.

use base::{Customer, FileId, JobId, UnixMillis, stable_hash};
use serde::{Deserialize, Serialize};

use crate::RangeSet;

/// References to pieces that a record holds before they move to a page.
pub const MAX_INLINE_CHUNKS: usize = 64;

/// One stored piece of a file: whole lines.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    /// Id of the blob on the data VMs.
    pub blob: String,
    /// Length of the blob.
    pub bytes: u64,
    /// CRC-32 of the blob.
    pub crc: u32,
    /// Lines in it.
    pub items: u32,
}

/// How far a job is.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Items are open.
    InProgress,
    /// No item starts any more; the last results are being committed.
    Cancelling,
    /// Stopped by its customer.
    Cancelled,
    /// Every item is in the output or in the error file.
    Completed,
}

/// Which file of a job a piece belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub enum Sink {
    /// Completed items.
    Output,
    /// Items that can never complete.
    Errors,
}

impl Sink {
    /// Returns the short name used in keys and blob ids.
    #[inline]
    pub fn as_str(self) -> &'static str {
        match self {
            Sink::Output => "out",
            Sink::Errors => "err",
        }
    }
}

/// Pieces of a job that no longer fit into its record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Page {
    /// File that the pieces belong to.
    pub sink: Sink,
    /// Counts the pages of that file, from 0.
    pub number: u32,
    /// The pieces, in order.
    pub chunks: Vec<Chunk>,
}

/// A batch job.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Its id.
    pub id: JobId,
    /// Customer that it belongs to.
    #[serde(rename = "tenant")]
    pub customer: Customer,
    /// Digest of what was asked for; a resend must be the same.
    pub content: String,
    /// Input file.
    pub input: FileId,
    /// Models that its items name; empty if there are too many to list.
    #[serde(default)]
    pub models: Vec<String>,
    /// Path that the items are sent to.
    pub path: String,
    /// Completion window as asked for.
    pub window: String,
    /// Whatever the customer attached.
    pub metadata: serde_json::Value,
    /// When it was accepted.
    pub created: UnixMillis,
    /// When it is due.
    pub due: UnixMillis,
    /// When it was completed or cancelled.
    pub ended: Option<UnixMillis>,
    /// How far it is.
    pub state: JobState,
    /// Items of the input.
    pub items: u32,
    /// Completed items.
    pub done: RangeSet,
    /// Items given up.
    pub failed: RangeSet,
    /// Newest pieces of the output.
    pub output: Vec<Chunk>,
    /// Newest pieces of the error file.
    pub errors: Vec<Chunk>,
    /// Pages of the output before `output`.
    #[serde(default)]
    pub output_pages: u32,
    /// Pages of the error file before `errors`.
    #[serde(default)]
    pub error_pages: u32,
    /// Whether its owner expects it to be late.
    #[serde(default)]
    pub at_risk: bool,
    /// Last operation, so that a write whose answer was lost is recognised.
    pub operation: u64,
}

impl JobRecord {
    /// Tells whether the owner of its partition still works on it.
    pub fn is_open(&self) -> bool {
        matches!(self.state, JobState::InProgress | JobState::Cancelling)
    }

    /// Tells whether an item is in a committed result.
    pub fn is_settled(&self, index: u32) -> bool {
        self.done.contains(index) || self.failed.contains(index)
    }

    /// Returns how many items are in no committed result.
    pub fn remaining_items(&self) -> u32 {
        self.items - self.done.len() - self.failed.len()
    }

    /// Adds a piece and returns the page that became full by it.
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
