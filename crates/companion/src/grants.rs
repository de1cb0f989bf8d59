//! The grants that this companion holds.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};

use base::Millis;
use tokio::task::AbortHandle;

/// A grant is renewed after this fraction of its TTL: one part in this many.
/// Two renewals may be lost before the grant expires.
const RENEWALS_PER_TTL: u64 = 3;

struct Grant {
    task: AbortHandle,
    ttl_ms: u64,
    renewed_at: Millis,
}

/// Identifies a grant of an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash)]
pub(crate) struct GrantKey {
    pub(crate) entry: SocketAddr,
    pub(crate) grant: u64,
}

/// Grants by entry and grant number.
#[derive(Default)]
pub(crate) struct Grants(Mutex<HashMap<GrantKey, Grant>>);

impl Grants {
    /// Starts the task of a grant and records the grant.
    pub(crate) fn start(
        &self,
        key: GrantKey,
        ttl_ms: u64,
        now: Millis,
        task: impl FnOnce() -> AbortHandle,
    ) {
        // The lock is held while the task starts. Otherwise the task could end
        // before the grant is recorded, and the record would never be removed.
        let mut grants = self.lock();
        let task = task();
        let grant = Grant {
            task,
            ttl_ms,
            renewed_at: now,
        };
        grants.insert(key, grant);
    }

    /// Removes a grant and returns when it expires without renewal.
    pub(crate) fn remove(&self, key: GrantKey, now: Millis) -> Millis {
        let grant = self.lock().remove(&key);
        grant.map_or(now, |grant| {
            grant.renewed_at.saturating_add_ms(grant.ttl_ms)
        })
    }

    /// Aborts the task of a grant that the entry has revoked.
    pub(crate) fn revoke(&self, key: GrantKey) {
        if let Some(grant) = self.lock().remove(&key) {
            grant.task.abort();
        }
    }

    /// Aborts all tasks.
    pub(crate) fn abort_all(&self) {
        for (_, grant) in self.lock().drain() {
            grant.task.abort();
        }
    }

    /// Returns the grant numbers of an entry.
    pub(crate) fn numbers_of(&self, entry: SocketAddr) -> Vec<u64> {
        let grants = self.lock();
        let own = grants.keys().filter(|key| key.entry == entry);
        own.map(|key| key.grant).collect()
    }

    /// Records that an entry has renewed these grants.
    pub(crate) fn mark_renewed(
        &self,
        entry: SocketAddr,
        numbers: &[u64],
        now: Millis,
    ) {
        let mut grants = self.lock();
        for &grant in numbers {
            if let Some(grant) = grants.get_mut(&GrantKey { entry, grant }) {
                grant.renewed_at = now;
            }
        }
    }

    /// Returns the entries with a grant that is due for renewal.
    pub(crate) fn to_renew(&self, now: Millis) -> Vec<SocketAddr> {
        let grants = self.lock();
        let due = grants.iter().filter(|(_, grant)| {
            let age_ms = now.saturating_ms_since(grant.renewed_at);
            age_ms >= grant.ttl_ms / RENEWALS_PER_TTL
        });
        let mut entries: Vec<_> = due.map(|(key, _)| key.entry).collect();
        entries.sort_unstable();
        entries.dedup();
        entries
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<GrantKey, Grant>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
