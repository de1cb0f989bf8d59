use std::collections::{BTreeMap, BTreeSet};

use base::Millis;
use bytes::Bytes;
use slotmap::new_key_type;

use crate::{JobRecord, JobState, Sink};

new_key_type! {
    /// Key of a grant.
    pub(crate) struct GrantKey;
    /// Key of a job in memory.
    pub(crate) struct JobKey;
}

/// Key of a companion's VM: its index in the ledger's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash)]
pub(crate) struct VmKey(pub(crate) u32);

/// An item that is granted to a companion.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Grant {
    pub(crate) job: JobKey,
    pub(crate) index: u32,
    pub(crate) vm: VmKey,
    pub(crate) expires_at: Millis,
}

/// An output or error line that is not committed yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingLine {
    pub(crate) bytes: Bytes,
    pub(crate) sink: Sink,
}

/// Attempts at an item that is not settled.
#[derive(Clone, Debug, Default)]
struct AttemptHistory {
    failures: u32,
    vms: Vec<VmKey>,
}

/// An item that may be granted again after an attempt.
#[derive(Clone, Copy, Debug)]
struct ReopenedItem {
    index: u32,
    reopened_at: Millis,
    not_before: Millis,
}

/// A job of an owned partition.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) partition: u32,
    pub(crate) record: JobRecord,
    /// Revision of the record.
    pub(crate) revision: u64,
    /// Latest revision of the job's marker that was processed.
    pub(crate) marker: u64,
    /// Fencing token under which the record was last read.
    pub(crate) fence: u64,
    pub(crate) pending: BTreeMap<u32, PendingLine>,
    pub(crate) is_at_risk: bool,
    next_index: u32,
    reopened: Vec<ReopenedItem>,
    granted: BTreeMap<u32, GrantKey>,
    history: BTreeMap<u32, AttemptHistory>,
    giving_up: BTreeSet<u32>,
}

impl Job {
    pub(crate) fn new(partition: u32, record: JobRecord) -> Self {
        Self {
            partition,
            is_at_risk: record.at_risk,
            record,
            revision: 0,
            marker: 0,
            fence: 0,
            pending: BTreeMap::new(),
            next_index: 0,
            reopened: Vec::new(),
            granted: BTreeMap::new(),
            history: BTreeMap::new(),
            giving_up: BTreeSet::new(),
        }
    }

    /// Replaces the record by one that was read and drops pending results that
    /// it already settles.
    ///
    /// Otherwise a result that was committed by a write of unknown outcome, or
    /// by another owner, would be committed twice.
    pub(crate) fn adopt(&mut self, record: JobRecord, revision: u64) {
        if revision < self.revision {
            return;
        }
        self.record = record;
        self.revision = revision;
        let record = &self.record;
        self.pending.retain(|index, _| !record.is_settled(*index));
        self.reopened
            .retain(|reopened| !record.is_settled(reopened.index));
        self.giving_up.retain(|index| !record.is_settled(*index));
        self.history.retain(|index, _| !record.is_settled(*index));
    }

    pub(crate) fn is_settled(&self, index: u32) -> bool {
        self.pending.contains_key(&index) || self.record.is_settled(index)
    }

    pub(crate) fn is_in_progress(&self) -> bool {
        self.record.state == JobState::InProgress
    }

    pub(crate) fn needs_commit(&self) -> bool {
        !self.pending.is_empty()
            || self.record.state == JobState::Cancelling
            || self.record.remaining_items() == 0
            || self.is_at_risk != self.record.at_risk
    }

    pub(crate) fn has_work(&self, now: Millis) -> bool {
        self.is_in_progress()
            && (self.next_index < self.record.items
                || self
                    .reopened
                    .iter()
                    .any(|reopened| reopened.not_before <= now))
    }

    pub(crate) fn serves(&self, models: &[String]) -> bool {
        models.is_empty()
            || self.record.models.is_empty()
            || models.iter().any(|m| self.record.models.contains(m))
    }

    pub(crate) fn attempts(&self, index: u32) -> u32 {
        self.history
            .get(&index)
            .map_or(0, |history| history.failures)
    }

    pub(crate) fn granted(&self) -> &BTreeMap<u32, GrantKey> {
        &self.granted
    }

    pub(crate) fn grant(&mut self, index: u32, vm: VmKey, grant: GrantKey) {
        self.granted.insert(index, grant);
        let history = self.history.entry(index).or_default();
        if !history.vms.contains(&vm) {
            history.vms.push(vm);
        }
    }

    pub(crate) fn remove_grant(&mut self, index: u32) -> Option<GrantKey> {
        self.granted.remove(&index)
    }

    /// Selects an item for an endpoint: first a reopened item that this
    /// endpoint has not attempted recently, then the next item in order.
    pub(crate) fn next_open(
        &mut self,
        vm: VmKey,
        now: Millis,
        same_vm_delay_ms: u64,
    ) -> Option<u32> {
        let history = &self.history;
        let may_run = |reopened: &ReopenedItem| {
            let attempted_recently =
                history.get(&reopened.index).is_some_and(|history| {
                    history.vms.contains(&vm)
                        && reopened
                            .reopened_at
                            .saturating_add_ms(same_vm_delay_ms)
                            > now
                });
            reopened.not_before <= now && !attempted_recently
        };
        if let Some(at) = self.reopened.iter().position(may_run) {
            return Some(self.reopened.swap_remove(at).index);
        }
        while self.next_index < self.record.items {
            let index = self.next_index;
            self.next_index += 1;
            if !self.is_settled(index) && !self.granted.contains_key(&index) {
                return Some(index);
            }
        }
        None
    }

    /// Makes an item available again after a delay.
    pub(crate) fn reopen(&mut self, index: u32, now: Millis, delay_ms: u64) {
        let is_reopened =
            self.reopened.iter().any(|reopened| reopened.index == index);
        if is_reopened
            || self.is_settled(index)
            || self.granted.contains_key(&index)
        {
            return;
        }
        self.reopened.push(ReopenedItem {
            index,
            reopened_at: now,
            not_before: now.saturating_add_ms(delay_ms),
        });
    }

    /// Counts a failed attempt and returns the total.
    pub(crate) fn count_failure(&mut self, index: u32) -> u32 {
        let history = self.history.entry(index).or_default();
        history.failures += 1;
        history.failures
    }

    /// Records that an error line was requested; returns false if it already
    /// was.
    pub(crate) fn begin_give_up(&mut self, index: u32) -> bool {
        self.giving_up.insert(index)
    }

    /// Settles an item; returns false if it is already settled.
    pub(crate) fn settle(&mut self, index: u32, pending: PendingLine) -> bool {
        if index >= self.record.items || self.is_settled(index) {
            return false;
        }
        self.pending.insert(index, pending);
        self.reopened.retain(|reopened| reopened.index != index);
        self.history.remove(&index);
        self.giving_up.remove(&index);
        true
    }

    /// Removes the results that a commit has made durable.
    pub(crate) fn remove_committed(&mut self, items: &BTreeSet<u32>) {
        self.pending.retain(|index, _| !items.contains(index));
    }
}
