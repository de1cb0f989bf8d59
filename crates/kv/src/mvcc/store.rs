use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    ops::Bound,
    sync::Arc,
};

use base::Millis;

use crate::{
    LeaseId,
    mvcc::{
        KeyRange, Outcome, Put, Step, StepReply, StoreError, Transaction,
        lease::Leases,
    },
};

/// Revision of an empty store, the same as in etcd.
const FIRST_REVISION: u64 = 1;

/// Limits of requests and of the change log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a value, in bytes.
    pub value_max_bytes: usize,
    /// Maximum number of operations or conditions in a transaction.
    pub txn_max_ops: usize,
    /// Maximum number of changes kept for watches; older ones are compacted.
    pub history_max_changes: usize,
    /// Maximum size of the values kept for watches, in bytes; older ones are
    /// compacted.
    pub history_max_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            value_max_bytes: 1 << 20,
            txn_max_ops: 128,
            history_max_changes: 100_000,
            history_max_bytes: 128 << 20,
        }
    }
}

/// One key with its value and revisions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// The key.
    pub key: Vec<u8>,
    /// The value.
    pub value: Arc<[u8]>,
    /// Revision at which the key was created.
    pub create_revision: u64,
    /// Revision of the last write.
    pub mod_revision: u64,
    /// Number of writes since the key was created.
    pub version: u64,
    /// Lease that the key is attached to.
    pub lease: Option<LeaseId>,
}

/// A change in the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Revision of the transaction that made it.
    pub revision: u64,
    /// The key.
    pub key: Vec<u8>,
    /// Record after the change; `None` for a deletion.
    pub current: Option<Record>,
    /// Record before the change.
    pub previous: Option<Record>,
}

impl Change {
    fn value_bytes(&self) -> usize {
        self.current.as_ref().map_or(0, |record| record.value.len())
    }
}

/// Result of a read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RangeReply {
    /// The records, in key order.
    pub records: Vec<Record>,
    /// Number of keys in the range, including those beyond the limit.
    pub count: usize,
}

/// Keys, leases and the change log.
///
/// See the [module](crate::mvcc) for an example.
#[derive(Clone, Debug)]
pub struct Store {
    limits: Limits,
    revision: u64,
    compacted: u64,
    keys: BTreeMap<Vec<u8>, Record>,
    log: VecDeque<Change>,
    log_bytes: usize,
    leases: Leases,
}

impl Default for Store {
    fn default() -> Self {
        Self::new(Limits::default())
    }
}

impl Store {
    /// Creates an empty store at revision 1.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            revision: FIRST_REVISION,
            compacted: 0,
            keys: BTreeMap::new(),
            log: VecDeque::new(),
            log_bytes: 0,
            leases: Leases::default(),
        }
    }

    /// Returns the revision of the last change.
    #[inline]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the newest revision whose changes are no longer in the log.
    #[inline]
    pub fn compacted_revision(&self) -> u64 {
        self.compacted
    }

    /// Returns the number of leases.
    #[inline]
    pub fn lease_count(&self) -> usize {
        self.leases.len()
    }

    /// Reads keys at a revision. A `revision` of 0 means the current one, and
    /// a `limit` of 0 means no limit.
    ///
    /// # Errors
    ///
    /// [`StoreError::Compacted`] or [`StoreError::FutureRevision`] if that
    /// revision cannot be read.
    pub fn range(
        &self,
        range: &KeyRange,
        limit: usize,
        revision: u64,
    ) -> Result<RangeReply, StoreError> {
        check_key(range.start())?;
        if revision > self.revision {
            return Err(StoreError::FutureRevision);
        }
        if revision == 0 || revision == self.revision {
            return Ok(range_reply(self.select(range), limit));
        }
        if revision < self.compacted {
            return Err(StoreError::Compacted);
        }
        let past = self.records_at(range, revision);
        Ok(range_reply(past.values(), limit))
    }

    /// Runs a transaction.
    ///
    /// # Errors
    ///
    /// On any error the store is unchanged.
    pub fn commit(
        &mut self,
        txn: &Transaction,
    ) -> Result<Outcome, StoreError> {
        self.validate(txn)?;
        let holds = |c: &super::Condition| c.holds(self.keys.get(&c.key));
        let succeeded = txn.conditions.iter().all(holds);
        let steps = match succeeded {
            true => &txn.success,
            false => &txn.failure,
        };
        self.check_leases(steps)?;
        let log_len_before = self.log.len();
        let next = self.revision + 1;
        let replies = steps.iter().map(|s| self.apply(s, next)).collect();
        self.end_transaction(log_len_before, next);
        Ok(Outcome {
            succeeded,
            is_write: steps.iter().any(Step::is_write),
            revision: self.revision,
            replies,
        })
    }

    /// Grants a lease that expires `ttl_s` seconds after its last renewal.
    /// Without an `id` the store chooses one.
    ///
    /// # Errors
    ///
    /// [`StoreError::LeaseExists`], [`StoreError::InvalidLeaseTtl`].
    pub fn grant(
        &mut self,
        now: Millis,
        id: Option<LeaseId>,
        ttl_s: u32,
    ) -> Result<LeaseId, StoreError> {
        self.leases.grant(now, id, ttl_s)
    }

    /// Renews a lease and returns its time to live in seconds.
    ///
    /// # Errors
    ///
    /// [`StoreError::LeaseNotFound`].
    pub fn keep_alive(
        &mut self,
        now: Millis,
        id: LeaseId,
    ) -> Result<u32, StoreError> {
        self.leases.keep_alive(now, id)
    }

    /// Revokes a lease and deletes its keys in one transaction.
    ///
    /// # Errors
    ///
    /// [`StoreError::LeaseNotFound`].
    pub fn revoke(&mut self, id: LeaseId) -> Result<(), StoreError> {
        let keys = self.leases.remove(id)?;
        let log_len_before = self.log.len();
        let next = self.revision + 1;
        for key in keys {
            self.delete(key, next);
        }
        self.end_transaction(log_len_before, next);
        Ok(())
    }

    /// Removes the expired leases and returns their ids.
    pub fn expire(&mut self, now: Millis) -> Vec<LeaseId> {
        let expired = self.leases.expired(now);
        for id in &expired {
            // The id was just read from the leases, so this cannot fail.
            let _ = self.revoke(*id);
        }
        expired
    }

    /// Returns the next time at which a lease expires unless it is renewed.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.leases.next_expiry()
    }

    /// Returns the changes of the selected keys, starting at a revision.
    ///
    /// # Errors
    ///
    /// [`StoreError::Compacted`] if some of the changes have been compacted.
    pub fn changes(
        &self,
        range: &KeyRange,
        from_revision: u64,
    ) -> Result<Vec<Change>, StoreError> {
        if from_revision <= self.compacted {
            return Err(StoreError::Compacted);
        }
        let from = self.log_position(from_revision);
        let changes = self.log.range(from..);
        let selected = changes.filter(|c| range.contains(&c.key));
        Ok(selected.cloned().collect())
    }

    /// Compacts the log up to a revision.
    ///
    /// # Errors
    ///
    /// [`StoreError::Compacted`] if the revision is already compacted,
    /// [`StoreError::FutureRevision`] if it is in the future.
    pub fn compact(&mut self, revision: u64) -> Result<(), StoreError> {
        if revision > self.revision {
            return Err(StoreError::FutureRevision);
        }
        if revision <= self.compacted {
            return Err(StoreError::Compacted);
        }
        self.discard_through(revision);
        Ok(())
    }

    fn validate(&self, txn: &Transaction) -> Result<(), StoreError> {
        let max = self.limits.txn_max_ops;
        let lens = [&txn.success, &txn.failure].map(Vec::len);
        if txn.conditions.len().max(lens[0]).max(lens[1]) > max {
            return Err(StoreError::TooManyOps);
        }
        for condition in &txn.conditions {
            check_key(&condition.key)?;
        }
        self.check_steps(&txn.success)?;
        self.check_steps(&txn.failure)
    }

    fn check_steps(&self, steps: &[Step]) -> Result<(), StoreError> {
        let mut written = BTreeSet::new();
        for step in steps {
            match step {
                Step::Put(put) => {
                    check_key(&put.key)?;
                    if put.value.len() > self.limits.value_max_bytes {
                        return Err(StoreError::TooLarge);
                    }
                    if !written.insert(&put.key) {
                        return Err(StoreError::DuplicateKey);
                    }
                }
                Step::Delete(range) | Step::Range { range, .. } => {
                    check_key(range.start())?;
                }
            }
        }
        Ok(())
    }

    fn check_leases(&self, steps: &[Step]) -> Result<(), StoreError> {
        let leases = steps.iter().filter_map(|step| match step {
            Step::Put(put) => put.lease,
            _ => None,
        });
        for lease in leases {
            if !self.leases.contains(lease) {
                return Err(StoreError::LeaseNotFound);
            }
        }
        Ok(())
    }

    fn apply(&mut self, step: &Step, revision: u64) -> StepReply {
        match step {
            Step::Put(put) => StepReply::Put {
                previous: self.put(put, revision),
            },
            Step::Delete(range) => {
                let keys: Vec<_> =
                    self.select(range).map(|r| r.key.clone()).collect();
                let deleted = keys
                    .into_iter()
                    .filter_map(|key| self.delete(key, revision));
                StepReply::Deleted(deleted.collect())
            }
            Step::Range { range, limit } => {
                StepReply::Range(range_reply(self.select(range), *limit))
            }
        }
    }

    fn put(&mut self, put: &Put, revision: u64) -> Option<Record> {
        let current = self.keys.get(&put.key);
        let record = Record {
            key: put.key.clone(),
            value: put.value.clone(),
            create_revision: current.map_or(revision, |r| r.create_revision),
            mod_revision: revision,
            version: current.map_or(1, |r| r.version + 1),
            lease: put.lease,
        };
        let previous = self.keys.insert(put.key.clone(), record.clone());
        let previous_lease =
            previous.as_ref().and_then(|previous| previous.lease);
        self.leases.detach(previous_lease, &put.key);
        self.leases.attach(put.lease, &put.key);
        self.append(Change {
            revision,
            key: put.key.clone(),
            current: Some(record),
            previous: previous.clone(),
        });
        previous
    }

    fn delete(&mut self, key: Vec<u8>, revision: u64) -> Option<Record> {
        let record = self.keys.remove(&key)?;
        self.leases.detach(record.lease, &key);
        self.append(Change {
            revision,
            key,
            current: None,
            previous: Some(record.clone()),
        });
        Some(record)
    }

    fn append(&mut self, change: Change) {
        self.log_bytes += change.value_bytes();
        self.log.push_back(change);
    }

    /// Advances the revision if the transaction logged changes, and compacts
    /// the log to its limits.
    fn end_transaction(&mut self, log_len_before: usize, next: u64) {
        if self.log.len() == log_len_before {
            return;
        }
        self.revision = next;
        while self.is_log_over_limit() {
            let oldest = self.log.front().map_or(0, |c| c.revision);
            if oldest >= self.revision {
                // The latest transaction is always kept for the watches.
                return;
            }
            self.discard_through(oldest);
        }
    }

    fn is_log_over_limit(&self) -> bool {
        self.log.len() > self.limits.history_max_changes
            || self.log_bytes > self.limits.history_max_bytes
    }

    fn discard_through(&mut self, revision: u64) {
        let discarded = self.log_position(revision + 1);
        for change in self.log.drain(..discarded) {
            self.log_bytes -= change.value_bytes();
        }
        self.compacted = revision;
    }

    fn log_position(&self, revision: u64) -> usize {
        self.log.partition_point(|c| c.revision < revision)
    }

    fn select<'a>(
        &'a self,
        range: &'a KeyRange,
    ) -> impl Iterator<Item = &'a Record> {
        let bounds = (Bound::Included(range.start()), Bound::Unbounded);
        let from = self.keys.range::<[u8], _>(bounds);
        from.map(|(_, record)| record)
            .take_while(|record| range.contains(&record.key))
    }

    /// Reconstructs the records at a revision by undoing the later changes,
    /// newest first.
    fn records_at(
        &self,
        range: &KeyRange,
        revision: u64,
    ) -> BTreeMap<Vec<u8>, Record> {
        let current = self.select(range).cloned();
        let mut records: BTreeMap<_, _> =
            current.map(|r| (r.key.clone(), r)).collect();
        let from = self.log_position(revision + 1);
        for change in self.log.range(from..).rev() {
            if !range.contains(&change.key) {
                continue;
            }
            match &change.previous {
                Some(previous) => {
                    records.insert(previous.key.clone(), previous.clone())
                }
                None => records.remove(&change.key),
            };
        }
        records
    }
}

fn check_key(key: &[u8]) -> Result<(), StoreError> {
    match key.is_empty() {
        true => Err(StoreError::EmptyKey),
        false => Ok(()),
    }
}

fn range_reply<'a>(
    selected: impl Iterator<Item = &'a Record>,
    limit: usize,
) -> RangeReply {
    let limit = if limit == 0 { usize::MAX } else { limit };
    let mut reply = RangeReply::default();
    for record in selected {
        reply.count += 1;
        if reply.records.len() < limit {
            reply.records.push(record.clone());
        }
    }
    reply
}
