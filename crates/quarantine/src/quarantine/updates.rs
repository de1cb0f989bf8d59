//! Shares crash records with other processes that do not watch the
//! key-value service.

use base::{RequestDigest, UnixMillis};
use error_stack::Report;
use kv::KvError;
use serde::{Deserialize, Serialize};

use super::{Quarantine, State};
use crate::{CrashRecord, StoredRecord, Verdict};

/// Maximum number of updates in one message.
pub(super) const MAX_UPDATES: usize = 64;

/// Maximum number of recently released requests that are kept.
const MAX_RELEASES: usize = 64;

/// Time for which a change is propagated, in milliseconds: longer than it takes
/// to reach all processes from peer to peer. A process that misses the change
/// receives it with the next crash that it detects.
const UPDATE_RETENTION_MS: u64 = 30_000;

/// A change of a crash record, which one process sends to another.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CrashRecordUpdate {
    pub(super) digest: RequestDigest,
    /// Revision of the key-value service at which the change was written; 0
    /// for a change that is sent directly.
    pub(super) revision: u64,
    /// The crash record; `None` if the request was released.
    #[serde(rename = "case")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) record: Option<CrashRecord>,
    /// Time up to which crashes are refuted, of a part of prompts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) refuted_until: Option<UnixMillis>,
}

/// The release of a request from the quarantine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Release {
    /// Revision of the write that released the request.
    revision: u64,
    /// Time at which this process received the release.
    at: UnixMillis,
}

impl Quarantine {
    /// Reads all records from the key-value service. A process that has no
    /// watch of the key-value service does so once, when it starts.
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

    /// Returns the updates for other processes: quarantined requests and
    /// recent releases.
    pub fn updates(&self) -> Vec<CrashRecordUpdate> {
        let state = self.lock();
        let now = self.now();
        let is_new = |at| now.saturating_ms_since(at) < UPDATE_RETENTION_MS;
        let released = state.released.iter();
        let released = released.filter(|(_, released)| is_new(released.at));
        let released = released.map(|(digest, released)| CrashRecordUpdate {
            digest: *digest,
            revision: released.revision,
            record: None,
            refuted_until: None,
        });
        let stored = state.records.stored();
        let blocked = stored.filter(|(digest, stored)| {
            is_new(stored.record.changed_at())
                && state.records.verdict_at(*digest, now) != Verdict::Clear
        });
        let blocked = blocked.map(|(digest, stored)| CrashRecordUpdate {
            digest,
            revision: stored.revision,
            record: Some(stored.record.clone()),
            refuted_until: None,
        });
        blocked.chain(released).take(MAX_UPDATES).collect()
    }

    /// Applies updates of another process.
    pub fn apply_updates(&self, updates: Vec<CrashRecordUpdate>) {
        if updates.is_empty() {
            return;
        }
        let mut state = self.lock();
        for CrashRecordUpdate {
            digest,
            revision,
            record,
            ..
        } in updates
        {
            let released = state.released.get(&digest);
            if released.is_some_and(|released| released.revision >= revision) {
                continue;
            }
            match record {
                // Two processes that exchange an expired record would otherwise
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
        self.update_len(&state);
    }
}

impl State {
    /// Remembers that a request was released at a revision.
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
