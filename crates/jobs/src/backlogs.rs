use std::sync::{Mutex, MutexGuard, PoisonError};

use base::Millis;
use indexmap::IndexMap;

use crate::{Backlog, JobKey, Members};

/// Age from which a report of open items is ignored, in milliseconds. Workers
/// report twice a second.
const REPORT_TTL_MS: u64 = 2_500;

/// The numbers of open items that workers report to a front.
///
/// A front does not follow the jobs of the fleet. It uses the reports of the
/// workers that it exchanges load reports with, plus the items that it has
/// assigned to them since.
///
/// # Example
///
/// ```
/// use base::Millis;
/// use pomeloslip_jobs::{Members, NodeRecord, ReportedBacklogs};
///
/// let members = Members::new(["a", "b"].map(|node| NodeRecord {
///     node: node.to_owned(),
///     failure_domain: "east".to_owned(),
///     runs_items: true,
///     address: None,
///     limits: None,
///     origins: None,
///     lease_s: 0,
///     spool: Default::default(),
/// }));
/// let backlogs = ReportedBacklogs::default();
/// let now = Millis::new(1_000);
/// backlogs.report("a", 30, now);
/// backlogs.report("b", 10, now);
/// let job = "job-1".parse()?;
/// assert_eq!(backlogs.choose(&job, 25, &members, now), Some("b".into()));
/// // The new job counts received_at once.
/// assert_eq!(backlogs.choose(&job, 25, &members, now), Some("a".into()));
/// # Ok::<(), pomeloslip_jobs::JobError>(())
/// ```
#[derive(Debug, Default)]
pub struct ReportedBacklogs(Mutex<IndexMap<String, BacklogReport>>);

#[derive(Clone, Copy, Debug)]
struct BacklogReport {
    open_items: u32,
    received_at: Millis,
}

impl ReportedBacklogs {
    /// Stores the report of a worker.
    pub fn report(&self, worker: &str, open_items: u32, now: Millis) {
        let latest = BacklogReport {
            open_items,
            received_at: now,
        };
        let mut reports = self.lock();
        match reports.get_mut(worker) {
            Some(known) => *known = latest,
            None => {
                reports.insert(worker.to_owned(), latest);
            }
        }
    }

    /// Returns the worker for a new job with `items` items: the least loaded
    /// of a few workers, sampled by the job's key from the workers with a
    /// fresh report, or from all workers if none has one.
    pub fn choose(
        &self,
        job: &JobKey,
        items: u32,
        members: &Members,
        now: Millis,
    ) -> Option<String> {
        let mut reports = self.lock();
        reports.retain(|worker, latest| {
            now.saturating_ms_since(latest.received_at) < REPORT_TTL_MS
                && members.has(worker)
        });
        let mut backlog = Backlog::default();
        for (worker, latest) in reports.iter() {
            backlog.add(worker, latest.open_items);
        }
        let reporting = members.nodes().iter();
        let reporting =
            reporting.filter(|node| reports.contains_key(&node.node));
        let reporting = Members::new(reporting.cloned());
        let candidates = match reporting.is_empty() {
            true => members,
            false => &reporting,
        };
        let worker = candidates.least_loaded(job, &backlog)?;
        if let Some(latest) = reports.get_mut(worker) {
            latest.open_items += items;
        }
        Some(worker.to_owned())
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<String, BacklogReport>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
