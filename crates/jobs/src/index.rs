//! Indexes of the jobs of a fleet, with which a node finds its own jobs
//! without a scan of all jobs.

use std::collections::BTreeSet;

use base::{Millis, UnixMillis};
use indexmap::IndexMap;

use crate::{Backlog, Members, StoredManifest, record::JobKey};

/// Jobs by key; open jobs also by owner and by due time, closed jobs also by
/// time of submission.
///
/// With a single map, each worker would scan the jobs of the whole fleet
/// twenty times a second to find its own, although most of those jobs are
/// closed and kept only for reading.
#[derive(Debug, Default)]
pub(crate) struct JobIndex {
    jobs: IndexMap<JobKey, IndexedJob>,
    open_by_owner: IndexMap<String, OpenJobs>,
    open_by_due: BTreeSet<(UnixMillis, JobKey)>,
    closed_by_submission: BTreeSet<(UnixMillis, JobKey)>,
}

#[derive(Debug)]
struct IndexedJob {
    stored: StoredManifest,
    /// When this node learned of the last change of the job.
    changed_at: Millis,
}

/// The open jobs whose manifests name the same owner.
#[derive(Debug, Default)]
struct OpenJobs {
    keys: BTreeSet<JobKey>,
    /// Sum of the open items of these jobs.
    open_items: u32,
}

impl JobIndex {
    pub(crate) fn get(&self, job: &JobKey) -> Option<&StoredManifest> {
        self.jobs.get(job).map(|indexed| &indexed.stored)
    }

    /// Returns the revision of a job, or 0 if the job is not known.
    pub(crate) fn revision(&self, job: &JobKey) -> u64 {
        self.get(job).map_or(0, |stored| stored.revision)
    }

    /// Returns when this node learned of the last change of a job.
    pub(crate) fn changed_at(&self, job: &JobKey) -> Option<Millis> {
        self.jobs.get(job).map(|indexed| indexed.changed_at)
    }

    /// Inserts or replaces a job whose change this node learned of at `now`.
    pub(crate) fn put(
        &mut self,
        job: JobKey,
        stored: StoredManifest,
        now: Millis,
    ) {
        self.remove(&job);
        let manifest = &stored.manifest;
        if manifest.is_closed() {
            self.closed_by_submission
                .insert((manifest.submitted_at, job.clone()));
        } else {
            self.open_by_due.insert((manifest.due_at, job.clone()));
            let owner = manifest.owner.clone();
            let open = self.open_by_owner.entry(owner).or_default();
            open.keys.insert(job.clone());
            open.open_items += stored.manifest.open_items();
        }
        let changed_at = now;
        self.jobs.insert(job, IndexedJob { stored, changed_at });
    }

    pub(crate) fn remove(&mut self, job: &JobKey) {
        let Some(IndexedJob { stored, .. }) = self.jobs.swap_remove(job)
        else {
            return;
        };
        let manifest = &stored.manifest;
        if manifest.is_closed() {
            self.closed_by_submission
                .remove(&(manifest.submitted_at, job.clone()));
            return;
        }
        self.open_by_due.remove(&(manifest.due_at, job.clone()));
        if let Some(open) = self.open_by_owner.get_mut(&manifest.owner) {
            open.keys.remove(job);
            open.open_items -= stored.manifest.open_items();
            if open.keys.is_empty() {
                self.open_by_owner.swap_remove(&manifest.owner);
            }
        }
    }

    /// Returns the keys of all jobs.
    pub(crate) fn keys(&self) -> impl Iterator<Item = &JobKey> {
        self.jobs.keys()
    }

    /// Returns the open jobs that a node runs: the jobs whose manifests name
    /// the node as owner, and those jobs of owners that are no longer members
    /// that [`Members::owner`] assigns to the node.
    pub(crate) fn open_of(
        &self,
        members: &Members,
        node: &str,
    ) -> Vec<(JobKey, StoredManifest)> {
        let named = self.open_by_owner.get(node).into_iter();
        // The jobs of a node that is no longer a member are run by others.
        let named = named.filter(|_| members.has(node));
        let orphaned = self.orphaned(members).filter(|(job, stored)| {
            members.owner(job, &stored.manifest) == Some(node)
        });
        let named = named.flat_map(|open| self.with_manifests(&open.keys));
        named.chain(orphaned).map(clone_entry).collect()
    }

    /// Returns the open jobs whose owners are no longer members.
    fn orphaned<'a>(
        &'a self,
        members: &'a Members,
    ) -> impl Iterator<Item = (&'a JobKey, &'a StoredManifest)> {
        let owners = self.open_by_owner.iter();
        owners
            .filter(|(owner, _)| !members.has(owner))
            .flat_map(|(_, open)| self.with_manifests(&open.keys))
    }

    fn with_manifests<'a>(
        &'a self,
        keys: &'a BTreeSet<JobKey>,
    ) -> impl Iterator<Item = (&'a JobKey, &'a StoredManifest)> {
        keys.iter().filter_map(|key| Some((key, self.get(key)?)))
    }

    /// Returns the open jobs that were due before `now`.
    pub(crate) fn overdue(
        &self,
        now: UnixMillis,
    ) -> Vec<(JobKey, StoredManifest)> {
        let due = self.open_by_due.iter();
        let due = due.take_while(|(due_at, _)| *due_at < now);
        due.filter_map(|(_, key)| Some((key, self.get(key)?)))
            .map(clone_entry)
            .collect()
    }

    /// Returns the closed jobs that were submitted before `moment`.
    pub(crate) fn closed_before(
        &self,
        moment: UnixMillis,
    ) -> Vec<(JobKey, StoredManifest)> {
        let closed = self.closed_by_submission.iter();
        let closed =
            closed.take_while(|(submitted_at, _)| *submitted_at < moment);
        closed
            .filter_map(|(_, key)| Some((key, self.get(key)?)))
            .map(clone_entry)
            .collect()
    }

    /// Counts the open items of the jobs that each member runs, including jobs
    /// whose owners are no longer members.
    pub(crate) fn backlog(&self, members: &Members) -> Backlog {
        let mut backlog = Backlog::default();
        for (owner, open) in &self.open_by_owner {
            if members.has(owner) {
                backlog.add(owner, open.open_items);
            }
        }
        for (job, stored) in self.orphaned(members) {
            if let Some(owner) = members.owner(job, &stored.manifest) {
                backlog.add(owner, stored.manifest.open_items());
            }
        }
        backlog
    }
}

fn clone_entry(
    (job, stored): (&JobKey, &StoredManifest),
) -> (JobKey, StoredManifest) {
    (job.clone(), stored.clone())
}
