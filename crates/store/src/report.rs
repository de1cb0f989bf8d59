//! What the calls of a store return.

use base::UnixMillis;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::BlobId;

/// Says what a put did.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Put {
    /// The blob is new, or replaces a damaged copy.
    Stored,
    /// The same bytes were stored before; they were read and compared.
    AlreadySame,
}

/// A blob whose checksum was verified.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Blob {
    /// The content.
    pub bytes: Bytes,
    /// Its CRC-32 (IEEE).
    pub crc32: u32,
    /// When this copy was stored.
    pub stored_at: UnixMillis,
}

/// A blob in a listing; its content was not looked at.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct BlobInfo {
    /// The name.
    pub id: BlobId,
    /// Length of the content.
    pub bytes: u64,
    /// CRC-32 (IEEE) of the content.
    pub crc32: u32,
    /// When this copy was stored.
    pub stored_at: UnixMillis,
}

/// Sums over a store.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct StoreStat {
    /// Number of blobs, without quarantined ones.
    pub blobs: u64,
    /// Sum of their lengths.
    pub bytes: u64,
    /// Number of damaged blobs that wait to be put again or removed.
    pub quarantined: u64,
    /// Bytes of the log's files, which the quota bounds.
    pub disk_bytes: u64,
    /// The quota.
    pub quota_bytes: u64,
}

/// What a removal took away.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct Removed {
    /// Number of blobs, quarantined ones included.
    pub blobs: u64,
    /// Sum of their lengths, without quarantined ones.
    pub bytes: u64,
}

/// What a step of a scrub found.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ScrubReport {
    /// Blobs that were read and verified.
    pub blobs: u64,
    /// Bytes that were read.
    pub bytes: u64,
    /// Blobs that are damaged and now quarantined.
    pub corrupt: Vec<BlobId>,
    /// Tells that the last blob was reached; the next call starts over.
    pub complete: bool,
}

/// What a step of reclaiming space did.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct Reclaimed {
    /// Bytes of live records that were copied.
    pub copied_bytes: u64,
    /// Bytes of files that were deleted.
    pub freed_bytes: u64,
    /// Tells that more can be reclaimed.
    pub more: bool,
}

/// How a start came by its index.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IndexOrigin {
    /// The folder was empty.
    #[default]
    New,
    /// The index on the disk was whole.
    Intact,
    /// The index was missing or damaged and was built again from the log.
    Rebuilt {
        /// What was wrong with it.
        reason: String,
    },
}

/// Bytes of the log that cannot be read.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Damage {
    /// Name of the file.
    pub file: String,
    /// Where the damage starts.
    pub from: u64,
    /// How many bytes it has.
    pub bytes: u64,
}

/// What a start found.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct OpenReport {
    /// Number of blobs, without quarantined ones.
    pub blobs: u64,
    /// Sum of their lengths.
    pub bytes: u64,
    /// Where the index comes from.
    pub index: IndexOrigin,
    /// Records read from the log because the index did not have them.
    pub replayed_records: u64,
    /// Bytes cut off the end of the log: a write that a crash interrupted.
    pub torn_bytes: u64,
    /// Blobs of that write whose headers are whole. None was acknowledged,
    /// unless the disk damaged the last batch later.
    pub torn: Vec<BlobId>,
    /// Blobs found damaged; they are quarantined.
    pub corrupt: Vec<BlobId>,
    /// Regions found damaged. Blobs in them are found by
    /// [`scrub`](crate::Store::scrub), or missing if the index was lost too.
    pub damaged: Vec<Damage>,
    /// Files that were renamed because nothing in them can be used.
    pub set_aside: Vec<String>,
}

impl OpenReport {
    /// Tells whether acknowledged blobs may be damaged or missing, so that
    /// the holder of the other copies should compare.
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
        // A torn batch cannot be told from one that was damaged later.
        self.torn_bytes > 0
            || !self.corrupt.is_empty()
            || !self.damaged.is_empty()
            || !self.set_aside.is_empty()
    }
}
