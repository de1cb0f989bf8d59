//! Stops runs under way for reasons that lie outside of them.

use base::Millis;

use super::{
    Run, RunnerState,
    active::{ActiveJob, Item},
};
use crate::record::JobKey;

impl Run {
    /// Records at the item that the run was interrupted.
    pub(super) fn interrupt(&self, item: &mut Item, now: Millis) {
        item.interrupt(self.started, now);
        item.add_source(&self.endpoint);
        if self.endpoint.has_changed_version() {
            item.restart();
        }
    }

    /// Ends the run, which closes its connection.
    pub(super) fn stop(&self, job: &ActiveJob, reason: &'static str) {
        self.task.abort();
        let item = &job.items[self.item as usize];
        log::info!(
            request_id = job.id_of(self.item),
            job = self.job.as_str(),
            endpoint = self.endpoint.record().id.as_str(),
            ran_ms = self.started.elapsed().as_millis() as u64,
            silent_ms = self.silence.silent_ms(),
            events = item.progress.events(),
            reason;
            "a run of an item is stopped"
        );
    }
}

impl RunnerState {
    /// Interrupts the runs of a job, whose items keep their progress; returns
    /// the number of runs.
    pub(super) fn interrupt_runs_of(
        &mut self,
        key: &JobKey,
        reason: &'static str,
    ) -> usize {
        let now = self.now();
        let before = self.runs.len();
        let Some(job) = self.jobs.get_mut(key) else {
            return 0;
        };
        self.runs.retain(|_, run| {
            let keep = run.job != *key;
            if !keep {
                run.stop(job, reason);
                run.interrupt(&mut job.items[run.item as usize], now);
            }
            keep
        });
        before - self.runs.len()
    }

    /// Ends the runs of a job whose items need no further run.
    pub(super) fn abort_runs_of(
        &mut self,
        key: &JobKey,
        reason: &'static str,
    ) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        self.runs.retain(|_, run| {
            let keep = run.job != *key;
            if !keep {
                run.stop(job, reason);
            }
            keep
        });
    }
}
