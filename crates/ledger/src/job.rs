use std::collections::{BTreeMap, BTreeSet};

use base::Millis;
use bytes::Bytes;
use slotmap::new_key_type;

use crate::{JobRecord, JobState, Sink};

new_key_type! {
    /// Names a loan.
    pub(crate) struct GrantKey;
    /// Names a job in memory.
    pub(crate) struct JobKey;
}

/// Names a companion's machine: its place in the ledger's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash)]
pub(crate) struct VmKey(pub(crate) u32);

/// An item on loan.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Grant {
    pub(crate) job: JobKey,
    pub(crate) index: u32,
    pub(crate) vm: VmKey,
    pub(crate) ends: Millis,
}

/// A result that waits for its commit.
#[derive(Clone, Debug)]
pub(crate) struct Settled {
    pub(crate) line: Bytes,
    pub(crate) sink: Sink,
}

/// The attempts at an item that is not settled.
#[derive(Clone, Debug, Default)]
struct Tries {
    failures: u32,
    vms: Vec<VmKey>,
}

/// An item that is open again after an attempt.
#[derive(Clone, Copy, Debug)]
struct Again {
    index: u32,
    since: Millis,
    not_before: Millis,
}

/// A job of a partition.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) partition: u32,
    pub(crate) record: JobRecord,
    /// Revision of the record.
    pub(crate) revision: u64,
    /// Newest revision of its marker that was acted on.
    pub(crate) marker: u64,
    /// Fencing number that the record was last read under.
    pub(crate) fence: u64,
    pub(crate) pending: BTreeMap<u32, Settled>,
    pub(crate) wants_risk: bool,
    next: u32,
    again: Vec<Again>,
    held: BTreeMap<u32, GrantKey>,
    tries: BTreeMap<u32, Tries>,
    giving_up: BTreeSet<u32>,
}

impl Job {
    pub(crate) fn new(partition: u32, record: JobRecord) -> Self {
        Self {
            partition,
            wants_risk: record.at_risk,
            record,
            revision: 0,
            marker: 0,
            fence: 0,
            pending: BTreeMap::new(),
            next: 0,
            again: Vec::new(),
            held: BTreeMap::new(),
            tries: BTreeMap::new(),
            giving_up: BTreeSet::new(),
        }
    }

    /// Takes a record that was read; what it settles no longer waits here.
    ///
    /// A result that was committed by a write of unknown outcome, or by
    /// another owner, would otherwise be committed a second time.
    pub(crate) fn adopt(&mut self, record: JobRecord, revision: u64) {
        if revision < self.revision {
            return;
        }
        self.record = record;
        self.revision = revision;
        let record = &self.record;
        self.pending.retain(|index, _| !record.is_settled(*index));
        self.again.retain(|again| !record.is_settled(again.index));
        self.giving_up.retain(|index| !record.is_settled(*index));
        self.tries.retain(|index, _| !record.is_settled(*index));
    }

    pub(crate) fn is_settled(&self, index: u32) -> bool {
        self.pending.contains_key(&index) || self.record.is_settled(index)
    }

    pub(crate) fn is_running(&self) -> bool {
        self.record.state == JobState::InProgress
    }

    pub(crate) fn needs_commit(&self) -> bool {
        !self.pending.is_empty()
            || self.record.state == JobState::Cancelling
            || self.record.remaining_items() == 0
            || self.wants_risk != self.record.at_risk
    }

    pub(crate) fn has_work(&self, now: Millis) -> bool {
        self.is_running()
            && (self.next < self.record.items
                || self.again.iter().any(|again| again.not_before <= now))
    }

    pub(crate) fn serves(&self, models: &[String]) -> bool {
        models.is_empty()
            || self.record.models.is_empty()
            || models.iter().any(|m| self.record.models.contains(m))
    }

    pub(crate) fn attempts(&self, index: u32) -> u32 {
        self.tries.get(&index).map_or(0, |tries| tries.failures)
    }

    pub(crate) fn held(&self) -> &BTreeMap<u32, GrantKey> {
        &self.held
    }

    pub(crate) fn hold(&mut self, index: u32, vm: VmKey, grant: GrantKey) {
        self.held.insert(index, grant);
        let tries = self.tries.entry(index).or_default();
        if !tries.vms.contains(&vm) {
            tries.vms.push(vm);
        }
    }

    pub(crate) fn unhold(&mut self, index: u32) -> Option<GrantKey> {
        self.held.remove(&index)
    }

    /// Chooses an item for an endpoint: first one that is open again and
    /// that this endpoint has not had, else the next in order.
    pub(crate) fn next_open(
        &mut self,
        vm: VmKey,
        now: Millis,
        same_after_ms: u64,
    ) -> Option<u32> {
        let tries = &self.tries;
        let may_run = |again: &Again| {
            let had = tries.get(&again.index).is_some_and(|tries| {
                tries.vms.contains(&vm)
                    && again.since.saturating_add_ms(same_after_ms) > now
            });
            again.not_before <= now && !had
        };
        if let Some(at) = self.again.iter().position(may_run) {
            return Some(self.again.swap_remove(at).index);
        }
        while self.next < self.record.items {
            let index = self.next;
            self.next += 1;
            if !self.is_settled(index) && !self.held.contains_key(&index) {
                return Some(index);
            }
        }
        None
    }

    /// Opens an item again.
    pub(crate) fn reopen(&mut self, index: u32, now: Millis, pause_ms: u64) {
        let known = self.again.iter().any(|again| again.index == index);
        if known || self.is_settled(index) || self.held.contains_key(&index) {
            return;
        }
        self.again.push(Again {
            index,
            since: now,
            not_before: now.saturating_add_ms(pause_ms),
        });
    }

    /// Counts a failed attempt and returns how many there were.
    pub(crate) fn count_failure(&mut self, index: u32) -> u32 {
        let tries = self.tries.entry(index).or_default();
        tries.failures += 1;
        tries.failures
    }

    /// Notes that an error line is being made; false if it was before.
    pub(crate) fn begin_give_up(&mut self, index: u32) -> bool {
        self.giving_up.insert(index)
    }

    /// Settles an item; false if it is settled already.
    pub(crate) fn settle(&mut self, index: u32, settled: Settled) -> bool {
        if index >= self.record.items || self.is_settled(index) {
            return false;
        }
        self.pending.insert(index, settled);
        self.again.retain(|again| again.index != index);
        self.tries.remove(&index);
        self.giving_up.remove(&index);
        true
    }

    /// Forgets what a commit has settled.
    pub(crate) fn committed(&mut self, items: &BTreeSet<u32>) {
        self.pending.retain(|index, _| !items.contains(index));
    }
}
