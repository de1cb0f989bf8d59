//! Bulk store of a data VM: checksummed write-once blobs.
//!
//! A [`Store`] keeps its files in one folder and does no networking. Blobs
//! are appended to a log that is synced before a put is acknowledged;
//! concurrent puts share a sync. An index in redb says where each blob
//! stands and can be built from the log again at any time. Each read
//! verifies a checksum, and a damaged blob is never served: its holder
//! fetches the other copy and puts it again.
//!
//! A [`Spool`] keeps a few records that wait to be handed on.
//!
//! docs/design/store.md weighs the alternatives. The [`sim`] module has a
//! disk in memory that crashes, fills up and rots on demand.

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
        Blob, BlobInfo, Damage, IndexOrigin, OpenReport, Put, Reclaimed,
        Removed, ScrubReport, StoreStat,
    },
    spool::{Spool, SpoolError},
    store::{BLOB_MAX_BYTES, Store},
};
