//! One job that this node runs items of.

use std::{sync::Arc, time::Instant};

use base::Millis;
use indexmap::IndexMap;

use super::RunId;
use crate::{
    Progress, StoredManifest,
    record::{
        FailedAttempts, ItemCheckpoint, ItemInput, ItemResult, ItemState,
        merge_failed_attempts,
    },
};

pub(super) struct Active {
    pub(super) stored: StoredManifest,
    pub(super) inputs: Inputs,
    pub(super) items: Vec<Item>,
    pub(super) pending: Vec<(u32, ItemResult)>,
    pub(super) failed_attempts: IndexMap<u32, FailedAttempts>,
    /// Whether another node runs the items now.
    pub(super) moved: bool,
    /// When the node that it was taken from has saved its progress.
    pub(super) settled_at: Millis,
    pub(super) listing: bool,
    pub(super) next_commit: Millis,
}

pub(super) enum Inputs {
    Missing,
    Loading,
    Loaded(Arc<Vec<ItemInput>>),
}

#[derive(Clone, Default)]
pub(super) struct Item {
    pub(super) state: Phase,
    pub(super) progress: Progress,
    pub(super) not_before: Millis,
    /// Time that runs have spent on it and that counts.
    pub(super) run_ms: u64,
    /// How often its run was stopped for others.
    pub(super) pauses: u32,
    /// Events when its progress was last saved.
    saved_events: u64,
}

impl Item {
    /// Takes note that its run was stopped; it can go on elsewhere.
    pub(super) fn pause(&mut self, run_began: Instant) {
        self.state = Phase::Waiting;
        self.pauses += 1;
        self.run_ms += run_began.elapsed().as_millis() as u64;
    }
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum Phase {
    #[default]
    Waiting,
    Running(RunId),
    Done,
}

impl Active {
    pub(super) fn new(stored: StoredManifest) -> Self {
        let total = stored.manifest.total as usize;
        let mut job = Self {
            failed_attempts: stored.manifest.failed_attempts.clone(),
            stored,
            inputs: Inputs::Missing,
            items: vec![Item::default(); total],
            pending: Vec::new(),
            moved: false,
            settled_at: Millis::default(),
            listing: false,
            next_commit: Millis::new(0),
        };
        // `vec!` clones one item, whose progress would be shared.
        for item in &mut job.items {
            item.progress = Progress::default();
        }
        job.mark_listed();
        job
    }

    pub(super) fn is_busy(&self) -> bool {
        let running = |i: &Item| matches!(i.state, Phase::Running(_));
        self.listing
            || !self.pending.is_empty()
            || self.items.iter().any(running)
    }

    /// Goes on with what a lost node, or this one before its restart, had
    /// saved. What has run here meanwhile is further.
    pub(super) fn restore(&mut self, saved: &[ItemCheckpoint]) {
        for progress in saved {
            let Some(item) = self.items.get_mut(progress.number as usize)
            else {
                continue;
            };
            let untouched = item.state == Phase::Waiting
                && item.progress.last_id().is_none();
            if untouched {
                item.progress = Progress::restore(progress);
                item.run_ms = progress.ran_ms;
                item.saved_events = progress.events;
            }
        }
    }

    /// Returns what the unfinished items have produced, if any of them has
    /// produced more since it was last saved.
    ///
    /// Item by item: their sum falls whenever one is finished, so that a job
    /// whose items end one after the other was never saved.
    pub(super) fn take_unsaved(&mut self) -> Option<Vec<ItemCheckpoint>> {
        let mut grown = false;
        for item in &mut self.items {
            let events = item.progress.events();
            grown |= events > item.saved_events;
            item.saved_events = events;
        }
        if !grown {
            return None;
        }
        let items = (0..).zip(&self.items);
        let saved = items.filter_map(|(number, item)| {
            item.progress.save(number, item.run_ms)
        });
        Some(saved.collect())
    }

    /// Takes note that the last save has failed.
    pub(super) fn forget_save(&mut self) {
        for item in &mut self.items {
            item.saved_events = 0;
        }
    }

    /// Returns the caller's id of an item, or nothing before its input is
    /// loaded.
    pub(super) fn id_of(&self, number: u32) -> &str {
        match &self.inputs {
            Inputs::Loaded(inputs) => &inputs[number as usize].id,
            _ => "",
        }
    }

    /// Takes a newer manifest; what it lists is done, whoever listed it.
    pub(super) fn renew(&mut self, stored: StoredManifest) {
        if stored.revision < self.stored.revision {
            return;
        }
        merge_failed_attempts(
            &mut self.failed_attempts,
            &stored.manifest.failed_attempts,
        );
        self.stored = stored;
        self.mark_listed();
    }

    /// Tells whether something waits to be listed or counted in the manifest.
    ///
    /// Compared with the manifest and not flagged: a flag that is cleared as a
    /// write begins forgets a strike whose write is lost, and a node that
    /// takes the job up then runs a hopeless item more often than allowed.
    pub(super) fn has_to_commit(&self) -> bool {
        let counted =
            self.failed_attempts == self.stored.manifest.failed_attempts;
        !self.pending.is_empty() || !counted
    }

    pub(super) fn mark_listed(&mut self) {
        for number in &self.stored.manifest.listed {
            if let Some(item) = self.items.get_mut(*number as usize) {
                item.state = Phase::Done;
            }
        }
        let listed = &self.stored.manifest.listed;
        self.pending.retain(|(number, _)| !listed.contains(number));
    }

    /// Puts the end of an item where the next commit lists it.
    pub(super) fn finish(
        &mut self,
        number: u32,
        inputs: &[ItemInput],
        state: ItemState,
    ) {
        let at = number as usize;
        let item = &mut self.items[at];
        item.state = Phase::Done;
        let output = match state {
            ItemState::Complete => item.progress.output(),
            ItemState::GivenUp => String::new(),
        };
        // The text lives on in the result alone.
        item.progress = Progress::default();
        let listed = self.stored.manifest.listed.contains(&number);
        let waits = self.pending.iter().any(|(known, _)| *known == number);
        if listed || waits {
            return;
        }
        let id = inputs[at].id.clone();
        self.pending
            .push((number, ItemResult { id, state, output }));
    }
}
