//! Moves jobs between nodes to balance their load and to finish stuck jobs.

use base::{Millis, mix, stable_hash};
use error_stack::Report;

use super::{Event, RunnerState};
use crate::{
    Assignment, Backlog, JobError, Members, StoredManifest, record::JobKey,
};

/// Open items that another node must have in excess of twice the own ones
/// before a job is taken from it: about one job, so that jobs do not move back
/// and forth.
const MIN_IMBALANCE_ITEMS: u32 = 10;

/// Maximum number of own open items with which a node takes over stuck jobs.
const MAX_OWN_ITEMS_TO_TAKE_STUCK: u32 = 20;

/// Time without a change after which an overdue job is considered stuck, in
/// milliseconds: longer than the run of the longest item if slots are free.
const STUCK_AFTER_MS: u64 = 6_000;

/// Time after a takeover from which on the checkpoints of the former owner can
/// be read, in milliseconds. The former owner sees the move within 300 ms and
/// then writes its checkpoints. If the former owner is gone, the job loses
/// this time.
const SETTLE_MS: u64 = 500;

impl RunnerState {
    /// Takes over a job from another node if the job is stuck or the other
    /// node has far more open items.
    pub(super) fn rebalance(&mut self, assignment: &Assignment) {
        let now = self.now();
        let is_due = now >= self.next_rebalance && self.pending_move.is_none();
        let own_node = self.runner.parts.node.as_str();
        let can_run_items = assignment.members().has(own_node)
            && !assignment.has_no_endpoints(own_node);
        if !is_due || !can_run_items {
            return;
        }
        let pause_ms = self.runner.options.rebalance_interval_ms;
        self.next_rebalance = now.saturating_add_ms(pause_ms);
        let members = assignment.members();
        let backlog = self.runner.parts.view.backlog(members);
        let own_items = backlog.items_of(&self.runner.parts.node);
        let candidate =
            self.stuck_job(assignment, own_items, now).or_else(|| {
                self.job_of_overloaded_node(members, &backlog, own_items)
            });
        let Some((key, before)) = candidate else {
            return;
        };
        log::info!(
            job = key.as_str(),
            from = members.owner(&key, &before.manifest).unwrap_or_default(),
            listed = before.manifest.listed.len(),
            total = before.manifest.total,
            mine = own_items;
            "a job is taken from another node"
        );
        self.pending_move = Some(key.clone());
        let ledger = self.runner.parts.ledger.clone();
        let (node, sender) =
            (self.runner.parts.node.clone(), self.sender.clone());
        tokio::spawn(async move {
            let moved = ledger.reassign(&key, &before, &node).await;
            let _ = sender.send(Event::Moved(key, moved));
        });
    }

    /// Finds a job that makes no progress at its node: the node has no
    /// endpoint, or the job is overdue and has not changed for long.
    ///
    /// Without this search, a node that is alive but reaches none of its
    /// endpoints keeps its jobs forever, while other nodes are idle.
    pub(super) fn stuck_job(
        &self,
        assignment: &Assignment,
        own_items: u32,
        now: Millis,
    ) -> Option<(JobKey, StoredManifest)> {
        if own_items > MAX_OWN_ITEMS_TO_TAKE_STUCK {
            return None;
        }
        let own_node = self.runner.parts.node.as_str();
        let members = assignment.members();
        let view = &self.runner.parts.view;
        let idle = members.nodes().iter().filter(|node| {
            node.node != own_node && assignment.has_no_endpoints(&node.node)
        });
        let mut stuck = idle.flat_map(|n| view.open_of(members, &n.node));
        stuck.next().or_else(|| {
            let unix = self.runner.parts.clock.unix();
            let overdue = view.overdue(unix).into_iter();
            let mut of_others = overdue.filter(|(key, stored)| {
                members.owner(key, &stored.manifest) != Some(own_node)
            });
            of_others
                .find(|(key, _)| view.unchanged_ms(key, now) > STUCK_AFTER_MS)
        })
    }

    /// Finds a job of a node that has far more open items than this node.
    ///
    /// Each call examines a different sample of a few nodes. If the most
    /// loaded of all nodes were examined, every idle node would find the same
    /// one, and all but one of their writes would fail, in each pass.
    ///
    /// Fronts distribute new jobs by the load that they know. They cannot
    /// foresee nodes that join and endpoints that become slow. The job with
    /// the latest due time is taken, as it is the one that its node has not
    /// started.
    pub(super) fn job_of_overloaded_node(
        &self,
        members: &Members,
        backlog: &Backlog,
        own_items: u32,
    ) -> Option<(JobKey, StoredManifest)> {
        let seed = stable_hash(&[&self.runner.parts.node]);
        let drawn = members.sample(mix(seed ^ self.now().as_ms()));
        let loads =
            drawn.map(|n| (n.node.as_str(), backlog.items_of(&n.node)));
        let (other, their_items) = loads.max_by_key(|(_, items)| *items)?;
        if other == self.runner.parts.node
            || their_items < 2 * own_items + MIN_IMBALANCE_ITEMS
        {
            return None;
        }
        let mut movable = self.runner.parts.view.open_of(members, other);
        movable.retain(|(_, stored)| {
            let manifest = &stored.manifest;
            manifest.listed.is_empty()
                && own_items + 2 * manifest.total <= their_items
        });
        movable.into_iter().max_by_key(|(_, s)| s.manifest.due_at)
    }

    pub(super) fn handle_moved(
        &mut self,
        key: &JobKey,
        moved: Result<StoredManifest, Report<JobError>>,
    ) {
        self.pending_move = None;
        match moved {
            Ok(stored) => {
                let now = self.now();
                let settled_at = now.saturating_add_ms(SETTLE_MS);
                self.taken_over.insert(key.clone(), settled_at);
                self.runner.parts.view.update(key, &stored, now);
            }
            Err(report) => {
                log::info!(job = key.as_str(),
                    error:% = report.current_context();
                    "a job cannot be taken over from its owner");
            }
        }
    }
}
