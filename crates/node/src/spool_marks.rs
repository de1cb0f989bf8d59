//! Removes the keys that name nodes with spooled jobs once the jobs of such a
//! node are not needed any more.
//!
//! The key of a node outlives the node, so that a front that has just started
//! knows of a worker that has no power and may hold accepted jobs. Without the
//! removal, each replaced worker would count as one that may hold jobs, and
//! more of them than may be lost at once would make each unknown job uncertain
//! for good.

use std::{sync::Arc, time::Duration};

use base::{Clock, Millis};
use error_stack::Report;
use indexmap::IndexMap;
use jobs::{JobView, MissingSpool, SPOOL_PREFIX};
use kv::{Compare, Kv, KvError, Op, Txn};
use tokio::time;

use crate::{NodeSettings, tree};

/// Interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which the key of a missing node is removed, in milliseconds, if
/// the ledger has had all accepted jobs throughout.
const REMOVAL_MS: u64 = 20_000;

/// Removes keys while this node is the first of the readers.
pub(crate) async fn maintain(
    kv: Arc<dyn Kv>,
    view: JobView,
    settings: NodeSettings,
    clock: Arc<dyn Clock>,
) {
    let mut absences = Absences::default();
    loop {
        time::sleep(CHECK_INTERVAL).await;
        let missing = view.missing_spools();
        let is_responsible = !missing.is_empty()
            && tree::is_first_reader(&view.roster(), &settings.node);
        let now = clock.now();
        let missing = if is_responsible { &missing[..] } else { &[] };
        let is_written = view.are_spools_written(settings.disk_losses, now);
        absences.update(missing, is_written, now);
        for spool in absences.over(settings.results_retention_ms, now) {
            match remove(&*kv, &spool).await {
                Ok(removed) => {
                    log::info!(node = spool.node.as_str(), removed;
                        "the spooled jobs of a missing node are not needed");
                }
                Err(report) => {
                    log::info!(node = spool.node.as_str(),
                        error:% = report.current_context();
                        "the key of a missing node cannot be removed");
                }
            }
        }
    }
}

/// Since when nodes are missing.
#[derive(Debug, Default)]
struct Absences {
    by_node: IndexMap<MissingSpool, Absence>,
}

#[derive(Clone, Copy, Debug)]
struct Absence {
    since: Millis,
    /// Time since which the ledger has had all accepted jobs.
    written_since: Option<Millis>,
}

impl Absences {
    fn update(
        &mut self,
        missing: &[MissingSpool],
        is_written: bool,
        now: Millis,
    ) {
        self.by_node.retain(|spool, _| missing.contains(spool));
        for spool in missing {
            let absence = Absence {
                since: now,
                written_since: None,
            };
            let known = self.by_node.entry(spool.clone()).or_insert(absence);
            known.written_since = match is_written {
                true => known.written_since.or(Some(now)),
                false => None,
            };
        }
    }

    /// Returns the nodes whose spooled jobs are in the ledger or have expired.
    fn over(&self, retention_ms: u64, now: Millis) -> Vec<MissingSpool> {
        let lasts =
            |since: Millis, ms: u64| now.saturating_ms_since(since) > ms;
        let is_over = |absence: &Absence| {
            lasts(absence.since, retention_ms)
                || absence
                    .written_since
                    .is_some_and(|since| lasts(since, REMOVAL_MS))
        };
        let over = self.by_node.iter().filter(|(_, known)| is_over(known));
        over.map(|(spool, _)| spool.clone()).collect()
    }
}

/// Removes the key of a node unless the node has written it again. Reports
/// whether the key was removed.
async fn remove(
    kv: &dyn Kv,
    spool: &MissingSpool,
) -> Result<bool, Report<KvError>> {
    let key = format!("{SPOOL_PREFIX}{}", spool.node);
    let txn = Txn {
        compares: vec![Compare::ModRevision {
            key: key.clone(),
            equals: spool.revision,
        }],
        success: vec![Op::Delete { key }],
        failure: Vec::new(),
    };
    Ok(kv.txn(txn).await?.succeeded)
}

#[cfg(test)]
#[path = "../tests/unit/spool_marks.rs"]
mod tests;
