//! The state of one job whose items this node runs.

use std::{sync::Arc, time::Instant};

use base::Millis;
use budget::Reservation;
use fleet::{Config, Endpoint, EndpointRecord, VersionBinding};
use indexmap::{IndexMap, IndexSet};

use super::RunId;
use crate::{
    CounterId, JobRoute, ProcessAttempts, Progress, StoredManifest,
    VersionWait,
    record::{ItemCheckpoint, ItemInput, ItemResult, ItemState, result_bytes},
};

pub(super) struct ActiveJob {
    pub(super) stored: StoredManifest,
    pub(super) inputs: Inputs,
    /// The memory of the inputs, unless they are missing.
    pub(super) memory: Option<Reservation>,
    pub(super) items: Vec<Item>,
    pub(super) pending: Vec<(u32, ItemResult)>,
    /// The memory of the pending results.
    pending_memory: IndexMap<u32, Reservation>,
    /// The process that counts, and what it has counted of the attempts.
    pub(super) counter: CounterId,
    pub(super) attempts: ProcessAttempts,
    /// Whether another process may have run items without recording it.
    pub(super) may_have_run: bool,
    /// Whether another node runs the items now.
    pub(super) is_moved: bool,
    /// Whether the configuration of this node does not decide on the job.
    pub(super) waits_for_config: bool,
    /// When the former owner of the job has saved its checkpoints.
    pub(super) settled_at: Millis,
    pub(super) is_committing: bool,
    pub(super) next_commit: Millis,
    /// When the next commit that stores attempts may be made.
    pub(super) next_count_commit: Millis,
    /// Number of results of the commit under way, or of the last one.
    pub(super) committing: usize,
    /// Maximum number of results of a commit; reduced while the key-value
    /// service rejects larger ones.
    pub(super) max_committing: usize,
}

pub(super) enum Inputs {
    Missing,
    Loading,
    Loaded(Arc<Vec<ItemInput>>),
}

#[derive(Clone, Default)]
pub(super) struct Item {
    pub(super) state: ItemPhase,
    pub(super) progress: Progress,
    pub(super) not_before: Millis,
    /// Total time of the item's runs on all nodes.
    pub(super) total_run_ms: u64,
    /// Number of interrupted runs.
    pub(super) interruptions: u32,
    /// When the item began to wait for its next run.
    pub(super) waiting_since: Millis,
    /// The endpoints whose runs here have added to the output.
    sources: Vec<Endpoint>,
    /// Number of events in the last saved checkpoint.
    saved_events: u64,
}

/// How an item can use a free slot of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SlotUse {
    /// It begins, or resumes after its last event.
    Continue,
    /// It begins anew.
    Restart,
}

impl Item {
    /// Records that the item's run was interrupted; the item can be resumed
    /// elsewhere.
    pub(super) fn interrupt(&mut self, run_started: Instant, now: Millis) {
        self.interruptions += 1;
        self.total_run_ms += run_started.elapsed().as_millis() as u64;
        self.wait_from(now);
    }

    /// Lets the item wait for its next run.
    pub(super) fn wait_from(&mut self, now: Millis) {
        self.state = ItemPhase::Waiting;
        self.waiting_since = now;
    }

    /// Returns how the item can use a slot of an endpoint now; `None` if it
    /// waits for an endpoint of its own version, of which `usable` are those
    /// of this node.
    pub(super) fn slot_use(
        &self,
        record: &EndpointRecord,
        usable: &IndexSet<VersionBinding>,
        now: Millis,
    ) -> Option<SlotUse> {
        if !self.progress.is_resumable() || self.has_uncertain_source() {
            return Some(SlotUse::Restart);
        }
        if self.progress.permits(record) {
            return Some(SlotUse::Continue);
        }
        let binding = self.progress.binding();
        let wait = VersionWait {
            waited_ms: now.saturating_ms_since(self.waiting_since),
            ran_ms: self.total_run_ms,
            has_endpoint: binding.is_some_and(|b| usable.contains(&*b)),
        };
        wait.is_over().then_some(SlotUse::Restart)
    }

    /// Records the endpoint of a run that has ended before the item was
    /// complete.
    pub(super) fn add_source(&mut self, endpoint: &Endpoint) {
        let key = endpoint.incarnation_key();
        let mut known = self.sources.iter();
        if self.progress.has_begun()
            && !known.any(|source| source.incarnation_key() == key)
        {
            self.sources.push(endpoint.clone());
        }
    }

    /// Reports whether the output may be that of another version than the one
    /// that was recorded: a node learns late that an endpoint has restarted
    /// with another version under its id.
    fn has_uncertain_source(&self) -> bool {
        self.sources.iter().any(Endpoint::has_changed_version)
    }

    /// Drops the output of the item's runs, so that the next run begins anew.
    pub(super) fn restart(&mut self) {
        self.progress = Progress::default();
        self.sources.clear();
        self.total_run_ms = 0;
        self.saved_events = 0;
    }
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum ItemPhase {
    #[default]
    Waiting,
    Running(RunId),
    Done,
}

impl ActiveJob {
    /// Creates the state of a job that a process takes up. `may_have_run`
    /// states whether another process may have run its items before.
    pub(super) fn new(
        stored: StoredManifest,
        counter: CounterId,
        may_have_run: bool,
    ) -> Self {
        let total = stored.manifest.total as usize;
        let mut job = Self {
            counter,
            attempts: ProcessAttempts::default(),
            may_have_run,
            stored,
            inputs: Inputs::Missing,
            memory: None,
            items: vec![Item::default(); total],
            pending: Vec::new(),
            pending_memory: IndexMap::new(),
            is_moved: false,
            waits_for_config: false,
            settled_at: Millis::default(),
            is_committing: false,
            next_commit: Millis::new(0),
            next_count_commit: Millis::new(0),
            committing: 0,
            max_committing: usize::MAX,
        };
        // `vec!` clones one item, and the clones would share its progress.
        for item in &mut job.items {
            item.progress = Progress::default();
        }
        job.mark_listed();
        job
    }

    /// Reports whether an item runs, or something of this node is not stored.
    pub(super) fn is_busy(&self) -> bool {
        let running = |i: &Item| matches!(i.state, ItemPhase::Running(_));
        self.is_committing
            || self.needs_commit()
            || self.items.iter().any(running)
    }

    /// Restores items from checkpoints of a former owner, or of this node
    /// before its restart. Items that have run here since are ahead of their
    /// checkpoints and are not changed.
    pub(super) fn restore(&mut self, saved: &[ItemCheckpoint], now: Millis) {
        for checkpoint in saved {
            let Some(item) = self.items.get_mut(checkpoint.number as usize)
            else {
                continue;
            };
            let is_not_started = item.state == ItemPhase::Waiting
                && item.progress.last_id().is_none();
            if is_not_started {
                item.progress = Progress::restore(checkpoint);
                item.total_run_ms = checkpoint.ran_ms;
                item.saved_events = checkpoint.events;
                item.waiting_since = now;
            }
        }
    }

    /// Returns checkpoints of the unfinished items, if any item has produced
    /// events since its last checkpoint.
    ///
    /// Events are compared for each item: their sum decreases whenever an item
    /// finishes, so that a job whose items finish one after the other would
    /// never be saved.
    pub(super) fn take_unsaved_checkpoints(
        &mut self,
    ) -> Option<Vec<ItemCheckpoint>> {
        let mut has_new_events = false;
        for item in &mut self.items {
            let events = item.progress.events();
            has_new_events |= events > item.saved_events;
            item.saved_events = events;
        }
        if !has_new_events {
            return None;
        }
        let items = (0..).zip(&self.items);
        let saved = items.filter_map(|(number, item)| {
            item.progress.checkpoint(number, item.total_run_ms)
        });
        Some(saved.collect())
    }

    /// Records that the last save has failed.
    pub(super) fn mark_unsaved(&mut self) {
        for item in &mut self.items {
            item.saved_events = 0;
        }
    }

    /// Returns the version of the configuration by which the job was
    /// accepted, if its inputs are loaded and contain it.
    pub(super) fn accepted_by(&self) -> Option<u64> {
        match &self.inputs {
            Inputs::Loaded(inputs) => inputs.first()?.config_version,
            _ => None,
        }
    }

    /// Returns what a configuration says about the route of the job.
    pub(super) fn route<'a>(
        &self,
        config: Option<&'a Config>,
    ) -> JobRoute<'a> {
        let manifest = &self.stored.manifest;
        JobRoute::find(config, manifest, self.accepted_by())
    }

    /// Returns the items without a result.
    pub(super) fn open_items(&self) -> Vec<u32> {
        let items = (0..).zip(&self.items);
        let open = items.filter(|(_, item)| item.state != ItemPhase::Done);
        open.map(|(number, _)| number).collect()
    }

    /// Returns the waiting items that must not run again, as their attempts
    /// are used up.
    pub(super) fn exhausted_items(&self, max_attempts: u32) -> Vec<u32> {
        let items = (0..).zip(&self.items);
        let waiting =
            items.filter(|(_, item)| item.state == ItemPhase::Waiting);
        let exhausted = waiting.filter(|(number, _)| {
            self.known_attempts(*number)
                .failed
                .are_exhausted(max_attempts)
        });
        exhausted.map(|(number, _)| number).collect()
    }

    /// Returns the caller's id of an item, or an empty string before its input
    /// is loaded.
    pub(super) fn id_of(&self, number: u32) -> &str {
        match &self.inputs {
            Inputs::Loaded(inputs) => &inputs[number as usize].id,
            _ => "",
        }
    }

    /// Applies a newer manifest. The items that it lists are done, whichever
    /// node listed them.
    pub(super) fn update_manifest(&mut self, stored: StoredManifest) {
        if stored.revision < self.stored.revision {
            return;
        }
        self.log_changed_attempts(&stored);
        self.stored = stored;
        self.mark_listed();
    }

    /// Takes the results of the next commit, which stay pending until they are
    /// listed.
    pub(super) fn begin_commit(&mut self) -> (Vec<u32>, Vec<ItemResult>) {
        self.is_committing = true;
        self.committing = self.pending.len().min(self.max_committing);
        let results = self.pending.iter().take(self.committing);
        results.cloned().unzip()
    }

    /// Records that the key-value service has rejected the last commit, and
    /// returns whether a different one can be made at once.
    ///
    /// The next commit has half of the results, until only the one that cannot
    /// be stored is left. That one goes to the end, so that the others are
    /// listed.
    pub(super) fn reject_commit(&mut self) -> bool {
        self.max_committing = (self.committing / 2).max(1);
        if self.committing <= 1 && !self.pending.is_empty() {
            self.pending.rotate_left(1);
        }
        self.committing > 1
    }

    /// Reports whether results or counts of attempts have to be written to
    /// the manifest.
    ///
    /// Counts are compared with the manifest. A flag that is cleared when a
    /// write starts would lose a failed attempt whose write fails, and a node
    /// that takes over the job would run a failing item more often than
    /// allowed.
    pub(super) fn needs_commit(&self) -> bool {
        !self.pending.is_empty() || !self.are_attempts_stored()
    }

    pub(super) fn mark_listed(&mut self) {
        for number in &self.stored.manifest.listed {
            if let Some(item) = self.items.get_mut(*number as usize) {
                item.state = ItemPhase::Done;
            }
        }
        let listed = &self.stored.manifest.listed;
        if self.attempts != ProcessAttempts::default() {
            self.attempts.retain(|item| !listed.contains(&item));
        }
        self.pending.retain(|(number, _)| !listed.contains(number));
        self.pending_memory
            .retain(|number, _| !listed.contains(number));
    }

    /// Adds the output of an item to the results that the next commit lists.
    ///
    /// An output that no commit can list is dropped, and the item is given up.
    ///
    /// # Errors
    ///
    /// The size of the result in bytes if it exceeds `max_bytes`.
    pub(super) fn finish_complete(
        &mut self,
        number: u32,
        inputs: &[ItemInput],
        max_bytes: usize,
    ) -> Result<(), usize> {
        let result = ItemResult {
            id: inputs[number as usize].id.clone(),
            state: ItemState::Complete,
            output: self.items[number as usize].progress.output(),
        };
        let bytes = result_bytes(&result).unwrap_or(usize::MAX);
        if bytes > max_bytes {
            self.give_up(number, inputs);
            return Err(bytes);
        }
        self.finish(number, result);
        Ok(())
    }

    /// Gives up an item: the next commit lists it without an output.
    pub(super) fn give_up(&mut self, number: u32, inputs: &[ItemInput]) {
        let result = ItemResult {
            id: inputs[number as usize].id.clone(),
            state: ItemState::GivenUp,
            output: String::new(),
        };
        self.finish(number, result);
    }

    fn finish(&mut self, number: u32, result: ItemResult) {
        let item = &mut self.items[number as usize];
        item.state = ItemPhase::Done;
        // From now on only the result holds the output.
        let memory = item.progress.take_memory();
        item.progress = Progress::default();
        let listed = self.stored.manifest.listed.contains(&number);
        let is_pending =
            self.pending.iter().any(|(known, _)| *known == number);
        if !listed && !is_pending {
            self.pending.push((number, result));
            let memory = memory.map(|memory| (number, memory));
            self.pending_memory.extend(memory);
        }
    }
}
