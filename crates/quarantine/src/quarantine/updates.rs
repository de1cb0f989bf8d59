//! Shares what is known with other processes that do not follow the
//! key-value service.

use base::{RequestDigest, UnixMillis};
use error_stack::Report;
use kv::KvError;
use serde::{Deserialize, Serialize};

use super::{Quarantine, State};
use crate::{CrashRecord, StoredRecord, Verdict};

/// Requests that one message names.
const NEWS_MOST: usize = 64;

/// Requests that were cleared lately and are remembered.
const CLEARED_MOST: usize = 64;

/// How long a change is passed on, in milliseconds: longer than it takes to
/// reach all processes by way of their neighbours. A process that missed it
/// learns it with the next crash that it sees.
const NEWS_MS: u64 = 30_000;

/// What one process reports of a request to another.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CrashRecordUpdate {
    digest: RequestDigest,
    /// Revision of the key-value service at which it became so.
    revision: u64,
    /// What speaks against it; none if it was cleared.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    case: Option<CrashRecord>,
}

/// A request that was cleared.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClearedCase {
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
        let is_new = |at| now.saturating_ms_since(at) < NEWS_MS;
        let cleared = state.cleared.iter();
        let cleared = cleared.filter(|(_, cleared)| is_new(cleared.at));
        let cleared = cleared.map(|(digest, cleared)| CrashRecordUpdate {
            digest: *digest,
            revision: cleared.revision,
            case: None,
        });
        let stored = state.cases.stored();
        let held = stored.filter(|(digest, stored)| {
            is_new(stored.case.changed_at())
                && state.cases.verdict_at(*digest, now) != Verdict::Clear
        });
        let held = held.map(|(digest, stored)| CrashRecordUpdate {
            digest,
            revision: stored.revision,
            case: Some(stored.case.clone()),
        });
        held.chain(cleared).take(NEWS_MOST).collect()
    }

    /// Takes in what another process has reported.
    pub fn apply_updates(&self, news: Vec<CrashRecordUpdate>) {
        if news.is_empty() {
            return;
        }
        let mut state = self.lock();
        for CrashRecordUpdate {
            digest,
            revision,
            case,
        } in news
        {
            let cleared = state.cleared.get(&digest);
            if cleared.is_some_and(|cleared| cleared.revision >= revision) {
                continue;
            }
            match case {
                // Two processes that pass on a case that has run out would
                // never forget it.
                Some(case) if state.cases.is_unusable(&case, self.now()) => {}
                Some(case) => {
                    let stored = StoredRecord { case, revision };
                    self.apply_stored(&mut state, digest, stored);
                }
                None => {
                    state.cases.remove_stored(digest, revision);
                    state.note_cleared(digest, revision, self.now());
                }
            }
        }
        self.note_size(&state);
    }
}

impl State {
    /// Remembers that a request was cleared at a revision.
    pub(super) fn note_cleared(
        &mut self,
        digest: RequestDigest,
        revision: u64,
        at: UnixMillis,
    ) {
        self.cleared.shift_remove(&digest);
        self.cleared.insert(digest, ClearedCase { revision, at });
        if self.cleared.len() > CLEARED_MOST {
            self.cleared.shift_remove_index(0);
        }
    }
}
