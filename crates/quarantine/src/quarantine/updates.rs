//! Shares what is known with other processes that do not follow the
//! key-value service.

use base::{RequestDigest, UnixMillis};
use error_stack::Report;
use kv::KvError;
use serde::{Deserialize, Serialize};

use super::{Quarantine, State};
use crate::{CrashRecord, StoredRecord, Verdict};

/// Requests that one message names.
const MAX_UPDATES: usize = 64;

/// Requests that were cleared lately and are remembered.
const MAX_RELEASES: usize = 64;

/// How long a change is passed on, in milliseconds: longer than it takes to
/// reach all processes by way of their neighbours. A process that missed it
/// learns it with the next crash that it sees.
const UPDATE_RETENTION_MS: u64 = 30_000;

/// What one process reports of a request to another.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CrashRecordUpdate {
    digest: RequestDigest,
    /// Revision of the key-value service at which it became so.
    revision: u64,
    /// What speaks against it; none if it was cleared.
    #[serde(
        default,
        rename = "case",
        skip_serializing_if = "Option::is_none"
    )]
    record: Option<CrashRecord>,
}

/// A request that was cleared.
#[derive(Clone, Copy, Debug)]
pub(super) struct Release {
    /// Revision of the write that cleared it.
    revision: u64,
    /// When this process learned it.
    at: UnixMillis,
}

impl Quarantine {
    /// Reads what the key-value service has. A process does so once, when it
    /// starts, if nobody follows the service for it.
    ///
    /// # Errors
    ///
    /// The [`KvError`] of the read.
    pub async fn read(&self) -> Result<(), Report<KvError>> {
        let Some(store) = &self.0.store else {
            return Ok(());
        };
        let read = store.kv().get_prefix(store.prefix(), 0).await?;
        self.apply(&read.kvs, &[], read.revision, true);
        Ok(())
    }

    /// Returns what other processes have to know: the requests that are held
    /// and those that were cleared.
    pub fn updates(&self) -> Vec<CrashRecordUpdate> {
        let state = self.lock();
        let now = self.now();
        let is_recent = |at| now.saturating_ms_since(at) < UPDATE_RETENTION_MS;
        let released = state.released.iter();
        let released = released.filter(|(_, released)| is_recent(released.at));
        let released = released.map(|(digest, released)| CrashRecordUpdate {
            digest: *digest,
            revision: released.revision,
            record: None,
        });
        let stored = state.records.stored();
        let held = stored.filter(|(digest, stored)| {
            is_recent(stored.record.changed_at())
                && state.records.verdict_at(*digest, now) != Verdict::Clear
        });
        let held = held.map(|(digest, stored)| CrashRecordUpdate {
            digest,
            revision: stored.revision,
            record: Some(stored.record.clone()),
        });
        held.chain(released).take(MAX_UPDATES).collect()
    }

    /// Takes in what another process has reported.
    pub fn apply_updates(&self, updates: Vec<CrashRecordUpdate>) {
        if updates.is_empty() {
            return;
        }
        let mut state = self.lock();
        for CrashRecordUpdate {
            digest,
            revision,
            record,
        } in updates
        {
            let released = state.released.get(&digest);
            if released.is_some_and(|released| released.revision >= revision) {
                continue;
            }
            match record {
                // Two processes that pass on a case that has run out would
                // never forget it.
                Some(record)
                    if state.records.is_unusable(&record, self.now()) => {}
                Some(record) => {
                    let stored = StoredRecord { record, revision };
                    self.apply_stored(&mut state, digest, stored);
                }
                None => {
                    state.records.remove_stored(digest, revision);
                    state.note_released(digest, revision, self.now());
                }
            }
        }
        self.update_record_count(&state);
    }
}

impl State {
    /// Remembers that a request was cleared at a revision.
    pub(super) fn note_released(
        &mut self,
        digest: RequestDigest,
        revision: u64,
        at: UnixMillis,
    ) {
        self.released.shift_remove(&digest);
        self.released.insert(digest, Release { revision, at });
        if self.released.len() > MAX_RELEASES {
            self.released.shift_remove_index(0);
        }
    }
}
