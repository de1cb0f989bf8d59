use std::collections::{BTreeMap, BTreeSet};

use base::Millis;

use crate::{LeaseId, mvcc::StoreError};

/// First lease id. Like the ids of etcd it exceeds the range of integers that
/// a double-precision float represents exactly, so that a client that parses
/// it as a float fails in tests.
const FIRST_LEASE_ID: i64 = 0x1000_0000_0000_0001;

/// Maximum time to live that etcd accepts, in seconds.
const MAX_TTL_S: u32 = 9_000_000;

const MS_PER_S: u64 = 1_000;

#[derive(Clone, Debug)]
struct Lease {
    ttl_s: u32,
    expires_at: Millis,
    keys: BTreeSet<Vec<u8>>,
}

/// Leases with their keys and expiry times.
#[derive(Clone, Debug)]
pub(super) struct Leases {
    by_id: BTreeMap<LeaseId, Lease>,
    next_number: i64,
}

impl Default for Leases {
    fn default() -> Self {
        Self {
            by_id: BTreeMap::new(),
            next_number: FIRST_LEASE_ID,
        }
    }
}

impl Leases {
    pub(super) fn grant(
        &mut self,
        now: Millis,
        id: Option<LeaseId>,
        ttl_s: u32,
    ) -> Result<LeaseId, StoreError> {
        if ttl_s == 0 || ttl_s > MAX_TTL_S {
            return Err(StoreError::InvalidLeaseTtl);
        }
        let id = id.unwrap_or_else(|| self.next_id());
        if self.by_id.contains_key(&id) {
            return Err(StoreError::LeaseExists);
        }
        let lease = Lease {
            ttl_s,
            expires_at: expiry(now, ttl_s),
            keys: BTreeSet::new(),
        };
        self.by_id.insert(id, lease);
        Ok(id)
    }

    pub(super) fn keep_alive(
        &mut self,
        now: Millis,
        id: LeaseId,
    ) -> Result<u32, StoreError> {
        let lease =
            self.by_id.get_mut(&id).ok_or(StoreError::LeaseNotFound)?;
        lease.expires_at = expiry(now, lease.ttl_s);
        Ok(lease.ttl_s)
    }

    /// Removes a lease and returns its keys.
    pub(super) fn remove(
        &mut self,
        id: LeaseId,
    ) -> Result<BTreeSet<Vec<u8>>, StoreError> {
        let lease = self.by_id.remove(&id);
        lease.map(|l| l.keys).ok_or(StoreError::LeaseNotFound)
    }

    pub(super) fn contains(&self, id: LeaseId) -> bool {
        self.by_id.contains_key(&id)
    }

    pub(super) fn expired(&self, now: Millis) -> Vec<LeaseId> {
        let expired = self.by_id.iter().filter(|(_, l)| l.expires_at <= now);
        expired.map(|(id, _)| *id).collect()
    }

    pub(super) fn next_expiry(&self) -> Option<Millis> {
        self.by_id.values().map(|lease| lease.expires_at).min()
    }

    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(super) fn attach(&mut self, id: Option<LeaseId>, key: &[u8]) {
        if let Some(lease) = id.and_then(|id| self.by_id.get_mut(&id)) {
            lease.keys.insert(key.to_vec());
        }
    }

    pub(super) fn detach(&mut self, id: Option<LeaseId>, key: &[u8]) {
        if let Some(lease) = id.and_then(|id| self.by_id.get_mut(&id)) {
            lease.keys.remove(key);
        }
    }

    fn next_id(&mut self) -> LeaseId {
        while self.by_id.contains_key(&LeaseId(self.next_number)) {
            self.next_number += 1;
        }
        let id = LeaseId(self.next_number);
        self.next_number += 1;
        id
    }
}

fn expiry(now: Millis, ttl_s: u32) -> Millis {
    now.saturating_add_ms(u64::from(ttl_s) * MS_PER_S)
}
