//! What the key-value service keeps of files and jobs.

use base::{FileId, JobId, Tenant, UnixMillis};
use serde::{Deserialize, Serialize};

/// One stored piece of a file: whole lines.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct Chunk {
    /// Id of the blob on the data VMs.
    pub(crate) blob: String,
    /// Length of the blob.
    pub(crate) bytes: u64,
    /// CRC-32 of the blob.
    pub(crate) crc: u32,
    /// Lines in it.
    pub(crate) items: u32,
}

/// An uploaded file.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct FileRecord {
    pub(crate) id: FileId,
    pub(crate) tenant: Tenant,
    pub(crate) filename: String,
    pub(crate) purpose: String,
    pub(crate) bytes: u64,
    pub(crate) items: u32,
    pub(crate) created: UnixMillis,
    pub(crate) chunks: Vec<Chunk>,
}

/// How far a job is.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum JobState {
    /// Items are open.
    InProgress,
    /// No item starts any more; the last results are being committed.
    Cancelling,
    /// Stopped by its tenant.
    Cancelled,
    /// Every item is in the output or in the error file.
    Completed,
}

/// A batch job.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct JobRecord {
    pub(crate) id: JobId,
    pub(crate) tenant: Tenant,
    /// Digest of what was asked for; a resend must be the same.
    pub(crate) content: String,
    pub(crate) input: FileId,
    pub(crate) path: String,
    pub(crate) window: String,
    pub(crate) metadata: serde_json::Value,
    pub(crate) created: UnixMillis,
    pub(crate) due: UnixMillis,
    pub(crate) ended: Option<UnixMillis>,
    pub(crate) state: JobState,
    pub(crate) items: u32,
    /// Completed items, as sorted ranges `[from, to)`.
    pub(crate) done: Vec<(u32, u32)>,
    /// Items given up, as sorted ranges.
    pub(crate) failed: Vec<(u32, u32)>,
    pub(crate) output: Vec<Chunk>,
    pub(crate) errors: Vec<Chunk>,
    /// Last operation, so that a write whose answer was lost is recognised.
    pub(crate) operation: u64,
}

impl JobRecord {
    pub(crate) fn is_open(&self) -> bool {
        matches!(self.state, JobState::InProgress | JobState::Cancelling)
    }

    pub(crate) fn done_count(&self) -> u32 {
        count(&self.done)
    }

    pub(crate) fn failed_count(&self) -> u32 {
        count(&self.failed)
    }
}

fn count(ranges: &[(u32, u32)]) -> u32 {
    ranges.iter().map(|(from, to)| to - from).sum()
}
