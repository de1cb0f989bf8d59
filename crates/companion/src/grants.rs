//! The grants that this companion holds.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};

use base::Millis;
use tokio::task::AbortHandle;

/// Part of its life after which a grant is renewed: two renewals may be lost
/// before it ends.
const RENEWALS_PER_LIFE: u64 = 3;

struct Grant {
    task: AbortHandle,
    ttl_ms: u64,
    renewed: Millis,
}

/// Names a grant of an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash)]
pub(crate) struct GrantKey {
    pub(crate) entry: SocketAddr,
    pub(crate) grant: u64,
}

/// Grants by entry and number.
#[derive(Default)]
pub(crate) struct Grants(Mutex<HashMap<GrantKey, Grant>>);

impl Grants {
    /// Starts the task of a grant and notes it.
    pub(crate) fn start(
        &self,
        key: GrantKey,
        ttl_ms: u64,
        now: Millis,
        task: impl FnOnce() -> AbortHandle,
    ) {
        // The lock is held over the start, so that the task cannot end
        // before it is noted and then stay noted for good.
        let mut grants = self.lock();
        let task = task();
        let grant = Grant {
            task,
            ttl_ms,
            renewed: now,
        };
        grants.insert(key, grant);
    }

    /// Forgets a grant and returns when it ends without further renewal.
    pub(crate) fn end(&self, key: GrantKey, now: Millis) -> Millis {
        let grant = self.lock().remove(&key);
        grant
            .map_or(now, |grant| grant.renewed.saturating_add_ms(grant.ttl_ms))
    }

    /// Ends the task of a grant that the entry has revoked.
    pub(crate) fn revoke(&self, key: GrantKey) {
        if let Some(grant) = self.lock().remove(&key) {
            grant.task.abort();
        }
    }

    /// Ends all tasks.
    pub(crate) fn abort_all(&self) {
        for (_, grant) in self.lock().drain() {
            grant.task.abort();
        }
    }

    /// Returns the numbers of an entry's grants.
    pub(crate) fn of(&self, entry: SocketAddr) -> Vec<u64> {
        let grants = self.lock();
        let own = grants.keys().filter(|key| key.entry == entry);
        own.map(|key| key.grant).collect()
    }

    /// Notes that an entry has heard of these grants.
    pub(crate) fn renewed(
        &self,
        entry: SocketAddr,
        numbers: &[u64],
        now: Millis,
    ) {
        let mut grants = self.lock();
        for &grant in numbers {
            if let Some(grant) = grants.get_mut(&GrantKey { entry, grant }) {
                grant.renewed = now;
            }
        }
    }

    /// Returns the entries that have a grant to renew.
    pub(crate) fn to_renew(&self, now: Millis) -> Vec<SocketAddr> {
        let grants = self.lock();
        let due = grants.iter().filter(|(_, grant)| {
            let age_ms = now.saturating_ms_since(grant.renewed);
            age_ms >= grant.ttl_ms / RENEWALS_PER_LIFE
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
