//! Moves jobs between nodes where that serves them better.

use base::{Millis, mix, stable_hash};
use error_stack::Report;

use super::{Event, Work};
use crate::{
    Assignment, Backlog, JobError, Members, StoredManifest, record::JobKey,
};

/// Open items that another node must have beyond twice one's own before a
/// job is taken from it: about one job, so that none goes back and forth.
const UNEVEN_ITEMS: u32 = 10;

/// Open items up to which a node takes jobs that are left lying.
const LITTLE_TO_DO_ITEMS: u32 = 20;

/// Time without any change after which an overdue job counts as left lying,
/// in milliseconds: longer than its longest item runs when slots are free.
const LEFT_LYING_MS: u64 = 6_000;

/// How long after a job was taken what it had produced at its former node
/// can be read, in milliseconds: that node hears of the move within 300 ms
/// and writes then. A former node that is gone costs the job this pause.
const SETTLE_MS: u64 = 500;

impl Work {
    /// Takes a job from another node where that serves it better.
    pub(super) fn even_out(&mut self, assignment: &Assignment) {
        let now = self.now();
        let due = now >= self.next_evening && self.moving.is_none();
        let me = self.runner.parts.node.as_str();
        let able =
            assignment.members().has(me) && !assignment.has_no_endpoints(me);
        if !due || !able {
            return;
        }
        let pause_ms = self.runner.options.rebalance_interval_ms;
        self.next_evening = now.saturating_add_ms(pause_ms);
        let members = assignment.members();
        let backlog = self.runner.parts.view.backlog(members);
        let mine = backlog.items_of(&self.runner.parts.node);
        let taken = self
            .left_lying(assignment, mine, now)
            .or_else(|| self.job_of_most_loaded(members, &backlog, mine));
        let Some((key, before)) = taken else {
            return;
        };
        log::info!(
            job = key.as_str(),
            from = members.owner(&key, &before.manifest).unwrap_or_default(),
            listed = before.manifest.listed.len(),
            total = before.manifest.total,
            mine;
            "a job is taken from another node"
        );
        self.moving = Some(key.clone());
        let ledger = self.runner.parts.ledger.clone();
        let (node, sender) =
            (self.runner.parts.node.clone(), self.sender.clone());
        tokio::spawn(async move {
            let moved = ledger.reassign(&key, &before, &node).await;
            let _ = sender.send(Event::Moved(key, moved));
        });
    }

    /// Finds a job that its node does not get on with: the node uses no
    /// endpoint, or the job is overdue and nothing has changed for long.
    ///
    /// What goes wrong without it: a node that lives but reaches none of its
    /// endpoints keeps its jobs for ever, while others are idle.
    pub(super) fn left_lying(
        &self,
        assignment: &Assignment,
        mine: u32,
        now: Millis,
    ) -> Option<(JobKey, StoredManifest)> {
        if mine > LITTLE_TO_DO_ITEMS {
            return None;
        }
        let me = self.runner.parts.node.as_str();
        let members = assignment.members();
        let view = &self.runner.parts.view;
        let idle = members.nodes().iter().filter(|node| {
            node.node != me && assignment.has_no_endpoints(&node.node)
        });
        let mut stuck = idle.flat_map(|n| view.open_of(members, &n.node));
        stuck.next().or_else(|| {
            let unix = self.runner.parts.clock.unix();
            let overdue = view.overdue(unix).into_iter();
            let mut of_others = overdue.filter(|(key, stored)| {
                members.owner(key, &stored.manifest) != Some(me)
            });
            of_others
                .find(|(key, _)| view.unchanged_ms(key, now) > LEFT_LYING_MS)
        })
    }

    /// Finds a job of a node that has far more open items than this one.
    ///
    /// A few nodes are looked at each time, others than before. What goes
    /// wrong with the most loaded of all: every idle node finds the same
    /// one, all but one of their writes are in vain, and so at each look.
    ///
    /// Fronts spread new jobs by what they see; what they cannot see are
    /// nodes that join, and endpoints that turn slow. The job that is due
    /// last is taken, as it is the one that its node has not begun.
    pub(super) fn job_of_most_loaded(
        &self,
        members: &Members,
        backlog: &Backlog,
        mine: u32,
    ) -> Option<(JobKey, StoredManifest)> {
        let draw = stable_hash(&[&self.runner.parts.node]);
        let drawn = members.draw(mix(draw ^ self.now().as_ms()));
        let loads =
            drawn.map(|n| (n.node.as_str(), backlog.items_of(&n.node)));
        let (other, theirs) = loads.max_by_key(|(_, items)| *items)?;
        if other == self.runner.parts.node || theirs < 2 * mine + UNEVEN_ITEMS
        {
            return None;
        }
        let mut movable = self.runner.parts.view.open_of(members, other);
        movable.retain(|(_, stored)| {
            let manifest = &stored.manifest;
            manifest.listed.is_empty() && mine + 2 * manifest.total <= theirs
        });
        movable.into_iter().max_by_key(|(_, s)| s.manifest.due_at)
    }

    pub(super) fn take_moved(
        &mut self,
        key: &JobKey,
        moved: Result<StoredManifest, Report<JobError>>,
    ) {
        self.moving = None;
        match moved {
            Ok(stored) => {
                let now = self.now();
                let settled_at = now.saturating_add_ms(SETTLE_MS);
                self.taken.insert(key.clone(), settled_at);
                self.runner.parts.view.learn(key, &stored, now);
            }
            Err(report) => {
                log::info!(job = key.as_str(),
                    error:% = report.current_context();
                    "a job is not taken from its node");
            }
        }
    }
}
