use std::sync::{Mutex, MutexGuard, PoisonError};

use base::Millis;
use indexmap::IndexMap;

use crate::{Backlog, JobKey, Members};

/// Age at which a report of open items counts no more, in milliseconds:
/// workers report twice a second.
const REPORT_LIFE_MS: u64 = 2_500;

/// The open items of workers as they report them to a front.
///
/// A front does not follow the jobs of the fleet; it goes by the reports of
/// the workers that it exchanges load with anyway, and by what it has given
/// them since.
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
///     lease_s: 0,
/// }));
/// let backlogs = ReportedBacklogs::default();
/// let now = Millis::new(1_000);
/// backlogs.report("a", 30, now);
/// backlogs.report("b", 10, now);
/// let job = "job-1".parse()?;
/// assert_eq!(backlogs.choose(&job, 25, &members, now), Some("b".into()));
/// // The new job counts at once.
/// assert_eq!(backlogs.choose(&job, 25, &members, now), Some("a".into()));
/// # Ok::<(), pomeloslip_jobs::JobError>(())
/// ```
#[derive(Debug, Default)]
pub struct ReportedBacklogs(Mutex<IndexMap<String, Reported>>);

#[derive(Clone, Copy, Debug)]
struct Reported {
    open_items: u32,
    at: Millis,
}

impl ReportedBacklogs {
    /// Takes in what a worker reports.
    pub fn report(&self, worker: &str, open_items: u32, now: Millis) {
        let reported = Reported {
            open_items,
            at: now,
        };
        let mut all = self.lock();
        match all.get_mut(worker) {
            Some(known) => *known = reported,
            None => {
                all.insert(worker.to_owned(), reported);
            }
        }
    }

    /// Returns the worker for a new job with so many items: the least loaded
    /// of a few that the job draws of those that report, or of all where none
    /// does.
    pub fn choose(
        &self,
        job: &JobKey,
        items: u32,
        members: &Members,
        now: Millis,
    ) -> Option<String> {
        let mut all = self.lock();
        all.retain(|worker, reported| {
            now.saturating_ms_since(reported.at) < REPORT_LIFE_MS
                && members.has(worker)
        });
        let mut backlog = Backlog::default();
        for (worker, reported) in all.iter() {
            backlog.add(worker, reported.open_items);
        }
        let reporting = members.nodes().iter();
        let reporting = reporting.filter(|node| all.contains_key(&node.node));
        let reporting = Members::new(reporting.cloned());
        let among = match reporting.is_empty() {
            true => members,
            false => &reporting,
        };
        let worker = among.least_loaded(job, &backlog)?;
        if let Some(reported) = all.get_mut(worker) {
            reported.open_items += items;
        }
        Some(worker.to_owned())
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<String, Reported>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
