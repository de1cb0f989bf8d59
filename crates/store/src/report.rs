//! Return values of the store's calls.

use base::UnixMillis;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::BlobId;

/// Result of a successful put.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PutOutcome {
    /// The blob was written: it is new or replaces a damaged copy.
    Stored,
    /// The same content was already stored; it was read back and compared.
    AlreadySame,
}

/// A blob whose checksum has been verified.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Blob {
    /// The content.
    pub bytes: Bytes,
    /// CRC-32 (IEEE) of the content.
    pub crc32: u32,
    /// When this copy was stored.
    pub stored_at: UnixMillis,
}

/// A blob in a listing; its content has not been read.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct BlobInfo {
    /// Id of the blob.
    pub id: BlobId,
    /// Length of the content in bytes.
    pub bytes: u64,
    /// CRC-32 (IEEE) of the content.
    pub crc32: u32,
    /// When this copy was stored.
    pub stored_at: UnixMillis,
}

/// Totals over a store.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct StoreStat {
    /// Number of blobs, excluding quarantined ones.
    pub blobs: u64,
    /// Total length of these blobs in bytes.
    pub bytes: u64,
    /// Number of damaged blobs that have not yet been put again or removed.
    pub quarantined: u64,
    /// Size of the log files in bytes, which the quota limits.
    pub disk_bytes: u64,
    /// The quota in bytes.
    pub quota_bytes: u64,
}

/// What a removal deleted.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct Removed {
    /// Number of removed blobs, including quarantined ones.
    pub blobs: u64,
    /// Total length of the removed blobs in bytes, excluding quarantined ones.
    pub bytes: u64,
}

/// Result of one scrub step.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ScrubReport {
    /// Number of blobs that were read and verified.
    pub blobs: u64,
    /// Number of bytes that were read.
    pub bytes: u64,
    /// Blobs that were found damaged and are now quarantined.
    pub corrupt: Vec<BlobId>,
    /// Whether the last blob was reached; the next call starts over.
    pub complete: bool,
}

/// Result of one step of reclaiming space.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct Reclaimed {
    /// Bytes of live records that were copied.
    pub copied_bytes: u64,
    /// Bytes of segment files that were deleted.
    pub freed_bytes: u64,
    /// Whether more space can be reclaimed.
    pub more: bool,
}

/// Where the index came from when the store was opened.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IndexOrigin {
    /// The folder was empty.
    #[default]
    New,
    /// The index on disk was intact.
    Intact,
    /// The index was missing or damaged and was rebuilt from the log.
    Rebuilt {
        /// Why the index could not be used.
        reason: String,
    },
}

/// An unreadable region of the log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Damage {
    /// Name of the segment file.
    pub file: String,
    /// Offset at which the damage starts.
    pub from: u64,
    /// Length of the region in bytes.
    pub bytes: u64,
}

/// What opening a store found.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct OpenReport {
    /// Number of blobs, excluding quarantined ones.
    pub blobs: u64,
    /// Total length of these blobs in bytes.
    pub bytes: u64,
    /// Where the index came from.
    pub index: IndexOrigin,
    /// Number of records replayed from the log because the index did not
    /// contain them.
    pub replayed_records: u64,
    /// Bytes truncated from the end of the log: a write that a crash
    /// interrupted.
    pub torn_bytes: u64,
    /// Blobs of that torn write whose headers are intact. None of them was
    /// acknowledged, unless the last batch was complete and the disk damaged
    /// it later.
    pub torn: Vec<BlobId>,
    /// Blobs that were found damaged; they are quarantined.
    pub corrupt: Vec<BlobId>,
    /// Damaged regions of the log. [`scrub`](crate::Store::scrub) finds the
    /// blobs in them; if the index was lost too, these blobs are missing.
    pub damaged: Vec<Damage>,
    /// Files that were renamed because none of their content is usable.
    pub set_aside: Vec<String>,
}

impl OpenReport {
    /// Reports whether acknowledged blobs may be damaged or missing, so that
    /// this store should be compared with its replicas.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_store::OpenReport;
    ///
    /// let mut report = OpenReport::default();
    /// assert!(!report.needs_repair());
    /// report.corrupt.push("job-1/in/0".parse()?);
    /// assert!(report.needs_repair());
    /// # Ok::<(), pomeloslip_store::BlobIdError>(())
    /// ```
    pub fn needs_repair(&self) -> bool {
        // A torn batch cannot be distinguished from a complete one that was
        // damaged later.
        self.torn_bytes > 0
            || !self.corrupt.is_empty()
            || !self.damaged.is_empty()
            || !self.set_aside.is_empty()
    }
}
