//! Files and batch jobs.

mod blobs;
mod files;
mod input;
mod jobs;
mod keys;
mod owner;
mod record;

use std::sync::Arc;

use base::timer::Timer;
use conf::settings::{BatchSettings, LimitSettings};
use kv::{Kv, ops::Writer};
pub(crate) use ledger::{Chunk, JobRecord, JobState};
use quarantine::Quarantine;

use self::keys::Keys;
pub(crate) use self::{
    blobs::Blobs,
    files::{UploadError, platform},
    jobs::{JobError, NewJob},
    owner::Owner,
    record::FileRecord,
};

/// Prefix of job ids.
pub(crate) const JOB_PREFIX: &str = "batch_";

/// Prefix of output file ids, followed by the job id without its prefix.
pub(crate) const OUTPUT_PREFIX: &str = "file-out-";

/// Prefix of error file ids, followed by the job id without its prefix.
pub(crate) const ERRORS_PREFIX: &str = "file-err-";

/// Time for resolving a write whose response was lost, in milliseconds.
const RESOLVE_WRITE_MS: u64 = 10_000;

/// The file and batch job API of this entry.
pub(crate) struct Batch {
    kv: Arc<dyn Kv>,
    keys: Keys,
    writer: Writer,
    timer: Timer,
    blobs: Arc<Blobs>,
    limits: LimitSettings,
    owner: Arc<Owner>,
}

impl Batch {
    pub(crate) fn new(
        kv: Arc<dyn Kv>,
        prefix: String,
        timer: Timer,
        quarantine: Quarantine,
        blobs: Blobs,
        settings: BatchSettings,
        limits: LimitSettings,
    ) -> Self {
        let keys = Keys::new(prefix, settings.partitions);
        let blobs = Arc::new(blobs);
        let writer = Writer::new(timer.clone(), RESOLVE_WRITE_MS);
        let owner = Owner::new(
            kv.clone(),
            keys.clone(),
            timer.clone(),
            quarantine,
            blobs.clone(),
            &settings,
        );
        let owner = Arc::new(owner);
        Self {
            kv,
            keys,
            writer,
            timer,
            blobs,
            limits,
            owner,
        }
    }

    /// Returns the owner, which runs the jobs of this entry's partitions.
    pub(crate) fn owner(&self) -> &Arc<Owner> {
        &self.owner
    }

    /// Returns the blob store.
    pub(crate) fn blobs(&self) -> &Blobs {
        &self.blobs
    }
}
