//! Bulk store of a data VM: checksummed, write-once blobs on local disk.
//!
//! A [`Store`] keeps its files in one folder and does no networking. Blobs are
//! appended to a segmented log, which is synced before a put is acknowledged;
//! concurrent puts share one sync (group commit). A redb index maps each blob
//! id to its position in the log and can be rebuilt from the log at any time.
//! Every read verifies a checksum. A damaged blob is never returned: the
//! caller fetches the replica from another data VM and puts it again.
//!
//! A [`Spool`] keeps a few records on disk until they are delivered elsewhere.
//!
//! docs/design/store.md compares the alternatives. The [`sim`] module provides
//! an in-memory disk that simulates power failures, full disks, I/O errors and
//! bit rot.

mod apply;
mod blocks;
mod error;
mod group;
mod id;
mod index;
mod layer;
mod options;
mod put;
mod reclaim;
mod record;
mod recover;
mod remove;
mod replay;
mod report;
mod rows;
mod scan;
mod scrub;
mod segment;
pub mod sim;
mod spool;
mod store;
mod writer;

pub use crate::{
    error::StoreError,
    id::{BlobId, BlobIdError},
    layer::{FileLayer, LayerFile, LockGuard},
    options::StoreOptions,
    report::{
        Blob, BlobInfo, Damage, IndexOrigin, OpenReport, PutOutcome,
        Reclaimed, Removed, ScrubReport, StoreStat,
    },
    spool::{Spool, SpoolError},
    store::{MAX_BLOB_BYTES, Store},
};
