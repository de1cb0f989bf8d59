//! File records in the key-value service.

use base::{Customer, FileId, UnixMillis};
use ledger::Chunk;
use serde::{Deserialize, Serialize};

/// The record of an uploaded file.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct FileRecord {
    pub(crate) id: FileId,
    #[serde(rename = "tenant")]
    pub(crate) customer: Customer,
    pub(crate) filename: String,
    pub(crate) purpose: String,
    pub(crate) bytes: u64,
    pub(crate) items: u32,
    /// Models that the items request; empty if there are too many to list.
    #[serde(default)]
    pub(crate) models: Vec<String>,
    pub(crate) created: UnixMillis,
    pub(crate) chunks: Vec<Chunk>,
}
