//! Handles the outcomes of the runs, reads and writes of a node.

use std::sync::Arc;

use base::Millis;
use error_stack::Report;
use pass::Counters;

use super::{
    Event, RunId, RunnerState,
    active::Inputs,
    checkpoint::{COPIES, LoadedJob},
};
use crate::{
    BreakCause, FailedAttempts, JobError, JobRoute, RunOutcome,
    StoredManifest,
    record::{ItemInput, JobKey},
};

/// Retry delay for a result that the key-value service has rejected on its own,
/// in milliseconds. It would be rejected again unless an operator raises a
/// limit.
const REJECTED_RETRY_MS: u64 = 10_000;

/// Returns the failed attempts that the outcome of a run counts as.
fn failed_attempts_of(end: RunOutcome) -> Option<FailedAttempts> {
    let (errors, rejections) = match end {
        RunOutcome::Rejected => (0, 1),
        RunOutcome::Error(_) | RunOutcome::TooLarge => (1, 0),
        RunOutcome::Complete | RunOutcome::Broken(_) => return None,
        RunOutcome::NotRun | RunOutcome::Held { .. } => return None,
    };
    Some(FailedAttempts { errors, rejections })
}

impl RunnerState {
    pub(super) fn handle_event(&mut self, event: Event) {
        match event {
            Event::Inputs(key, loaded) => self.handle_loaded(&key, loaded),
            Event::Saved(saved) => self.handle_saved(saved),
            Event::Ended(id, end) => self.handle_run_end(id, end),
            Event::Listed(key, listed) => self.handle_listed(&key, listed),
            Event::Moved(key, moved) => self.handle_moved(&key, moved),
            Event::Probed(incarnation, report) => {
                let now = self.now();
                if let Some(probe) = self.endpoint_probes.get_mut(&incarnation)
                {
                    probe.in_flight = false;
                    if let Some(report) = report {
                        probe.report = Some((report, now));
                    }
                }
            }
        }
    }

    pub(super) fn handle_loaded(
        &mut self,
        key: &JobKey,
        loaded: Result<LoadedJob, Report<JobError>>,
    ) {
        let now = self.now();
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        match loaded {
            Ok(LoadedJob {
                inputs,
                checkpoints,
            }) => {
                log::info!(
                    job = key.as_str(),
                    items = inputs.len(),
                    begun = checkpoints.len();
                    "a job's inputs are read"
                );
                if let Some(memory) = &job.memory {
                    memory.shrink_to(loaded_bytes(&inputs));
                }
                job.inputs = Inputs::Loaded(Arc::new(inputs));
                job.restore(&checkpoints, now);
            }
            Err(report) => {
                log::warn!(job = key.as_str(),
                    error:% = report.current_context();
                    "the inputs of a job cannot be read");
                job.inputs = Inputs::Missing;
                job.memory = None;
            }
        }
    }

    pub(super) fn handle_run_end(&mut self, id: RunId, end: RunOutcome) {
        let now = self.now();
        let retry_at =
            now.saturating_add_ms(self.runner.options.retry_backoff_ms);
        let Some(run) = self.runs.swap_remove(&id) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&run.job) else {
            return;
        };
        let Inputs::Loaded(inputs) = &job.inputs else {
            return;
        };
        let inputs = inputs.clone();
        let number = run.item;
        let config = self.runner.parts.config.load_full();
        let max_attempts = match job.route(config.as_deref()) {
            JobRoute::Known(route) => route.max_attempts(),
            JobRoute::Removed => 1,
            JobRoute::Undecided => u32::MAX,
        };
        if let Some(attempts) = failed_attempts_of(end) {
            job.count_failed(number, attempts);
        }
        let known = job.known_attempts(number);
        let failed_attempts = known.failed;
        let is_permanent = failed_attempts.are_exhausted(max_attempts);
        let ran_ms = run.started.elapsed().as_millis() as u64;
        let unix_now = self.runner.parts.clock.unix();
        let manifest = &job.stored.manifest;
        log::info!(
            request_id = inputs[number as usize].id.as_str(),
            job = run.job.as_str(),
            endpoint = run.endpoint.record().id.as_str(),
            end:? = end,
            ran_ms,
            errors = failed_attempts.errors,
            rejections = failed_attempts.rejections,
            unknown_attempts = known.unknown,
            pauses = job.items[number as usize].interruptions,
            age_ms = unix_now.saturating_ms_since(manifest.submitted_at),
            late_ms = unix_now.saturating_ms_since(manifest.due_at),
            events = job.items[number as usize].progress.events();
            "a run of an item ended"
        );
        job.items[number as usize].total_run_ms += ran_ms;
        // The events of such a run may be those of either version.
        let is_uncertain = run.endpoint.has_changed_version()
            && (end != RunOutcome::Complete || run.resumed);
        if end == RunOutcome::Complete && !is_uncertain {
            let total_ms = job.items[number as usize].total_run_ms;
            self.estimator
                .record(inputs[number as usize].tokens, total_ms);
            let max_bytes = self.runner.parts.ledger.max_result_bytes();
            let counters = &self.runner.parts.counters;
            match job.finish_complete(number, &inputs, max_bytes) {
                Ok(()) => Counters::add(&counters.items_completed),
                Err(bytes) => {
                    Counters::add(&counters.results_too_large);
                    Counters::add(&counters.items_given_up);
                    log::error!(
                        request_id = inputs[number as usize].id.as_str(),
                        job = run.job.as_str(),
                        bytes,
                        max_bytes;
                        "an item is given up, since its result is too large \
                         for the key-value service"
                    );
                }
            }
        } else if is_permanent {
            log::info!(
                request_id = inputs[number as usize].id.as_str(),
                job = run.job.as_str(),
                errors = failed_attempts.errors,
                rejections = failed_attempts.rejections,
                most = max_attempts;
                "an item is given up"
            );
            job.give_up(number, &inputs);
            let counters = &self.runner.parts.counters;
            Counters::add(&counters.items_given_up);
            if end == RunOutcome::TooLarge {
                Counters::add(&counters.results_too_large);
            }
        } else {
            let item = &mut job.items[number as usize];
            item.wait_from(now);
            item.add_source(&run.endpoint);
            if is_uncertain {
                item.restart();
            }
            item.not_before = match end {
                // A full endpoint answers like this at once, again and again.
                RunOutcome::Broken(
                    BreakCause::UnprovenRefusal(_) | BreakCause::NoMemory,
                ) => retry_at,
                RunOutcome::Broken(_) => now,
                RunOutcome::Held { for_ms } => now.saturating_add_ms(for_ms),
                _ => retry_at,
            };
        }
    }

    pub(super) fn handle_listed(
        &mut self,
        key: &JobKey,
        listed: Result<
            Result<StoredManifest, StoredManifest>,
            Report<JobError>,
        >,
    ) {
        let now = self.now();
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.is_committing = false;
        let stored = match listed {
            Ok(Ok(stored)) => {
                let unix_now = self.runner.parts.clock.unix();
                let before = job.stored.manifest.listed.len();
                let new = stored.manifest.listed.len().saturating_sub(before);
                if new < job.committing {
                    job.next_commit = Millis::new(0);
                }
                log::info!(
                    job = key.as_str(),
                    new,
                    late_ms = unix_now
                        .saturating_ms_since(stored.manifest.due_at),
                    listed = stored.manifest.listed.len(),
                    total = stored.manifest.total,
                    revision = stored.revision;
                    "results are listed"
                );
                stored
            }
            Ok(Err(stored)) => {
                log::info!(
                    job = key.as_str(),
                    known = job.stored.revision,
                    revision = stored.revision;
                    "concurrent change of the manifest; listing results again"
                );
                job.next_commit = Millis::new(0);
                job.next_count_commit = Millis::new(0);
                stored
            }
            Err(report) if *report.current_context() == JobError::TooLarge => {
                let counters = &self.runner.parts.counters;
                Counters::add(&counters.commits_rejected);
                log::error!(
                    job = key.as_str(),
                    results = job.committing,
                    error:? = report;
                    "the key-value service rejects results"
                );
                let retry_at = match job.reject_commit() {
                    true => Millis::new(0),
                    false => now.saturating_add_ms(REJECTED_RETRY_MS),
                };
                job.next_commit = retry_at;
                job.next_count_commit = retry_at;
                return;
            }
            Err(report) => {
                log::warn!(
                    job = key.as_str(),
                    error:% = report.current_context();
                    "results wait for the key-value service"
                );
                return;
            }
        };
        self.runner.parts.view.update(key, &stored, now);
        job.update_manifest(stored);
    }
}

/// Returns the memory of inputs, and of what is sent of them to endpoints.
fn loaded_bytes(inputs: &[ItemInput]) -> u64 {
    let bytes = inputs.iter().map(|input| {
        let headers = input.headers.iter();
        let headers = headers.map(|(name, value)| name.len() + value.len());
        input.body.len() + input.path.len() + headers.sum::<usize>()
    });
    COPIES * bytes.sum::<usize>() as u64
}
