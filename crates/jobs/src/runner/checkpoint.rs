//! Loads the inputs and checkpoints of jobs, and saves checkpoints of their
//! items.

use base::Millis;
use error_stack::Report;
use tokio::sync::oneshot;

use super::{Event, RunnerState, active::Inputs};
use crate::{
    JobError, JobManifest, Ledger,
    record::{ItemCheckpoint, ItemInput, JobCheckpoint, JobKey},
};

/// Copies of the inputs of a job that exist at the same time: the values and
/// what is decoded from them, then the inputs and what is sent of them.
pub(super) const COPIES: u64 = 2;

/// The data that a node reads of a job before it runs items of the job.
pub(super) struct LoadedJob {
    pub(super) inputs: Vec<ItemInput>,
    pub(super) checkpoints: Vec<ItemCheckpoint>,
}

impl RunnerState {
    /// Starts to load the inputs of jobs that this node has taken on.
    pub(super) fn load_inputs(&mut self) {
        let now = self.now();
        let unix_now = self.runner.parts.clock.unix();
        let mut is_short = false;
        for (key, job) in &mut self.jobs {
            if !matches!(job.inputs, Inputs::Missing) {
                continue;
            }
            if now < job.settled_at {
                continue;
            }
            let ledger = self.runner.parts.ledger.clone();
            let max_bytes = ledger.max_inputs_bytes(&job.stored.manifest);
            let memory = self.runner.parts.memory.reserve(COPIES * max_bytes);
            let Ok(memory) = memory else {
                is_short = true;
                break;
            };
            job.memory = Some(memory);
            job.inputs = Inputs::Loading;
            let (key, manifest) = (key.clone(), job.stored.manifest.clone());
            // A job younger than the checkpoint interval has no checkpoint
            // yet, unless another node ran it, so that the read is skipped.
            let age_ms = unix_now.saturating_ms_since(manifest.submitted_at);
            let is_new = age_ms < self.runner.options.checkpoint_interval_ms
                && manifest.owner == self.runner.parts.node
                && job.settled_at == Millis::default();
            let sender = self.sender.clone();
            tokio::spawn(async move {
                let loaded = load(&ledger, &key, &manifest, is_new).await;
                let _ = sender.send(Event::Inputs(key, loaded));
            });
        }
        if is_short && !self.is_short_of_memory {
            let usage = self.runner.parts.memory.usage();
            log::warn!(used_bytes = usage.used_bytes, jobs = self.jobs.len();
                "jobs wait until there is memory for their inputs");
        }
        self.is_short_of_memory = is_short;
    }

    /// Saves checkpoints of unfinished items, if the checkpoint interval has
    /// passed.
    ///
    /// Without checkpoints, a node that is killed loses the outputs in its
    /// memory, and so does the whole fleet if all nodes are killed at once.
    /// Each running item then starts from the beginning, and its job finishes
    /// up to a whole run later.
    pub(super) fn save_checkpoints(&mut self) {
        let now = self.now();
        if self.is_saving || now < self.next_save {
            return;
        }
        let owned = self.jobs.iter_mut().filter(|(_, job)| !job.is_moved);
        let unsaved = owned.filter_map(|(key, job)| {
            Some(JobCheckpoint {
                job: key.clone(),
                items: job.take_unsaved_checkpoints()?,
                submitted_at: job.stored.manifest.submitted_at,
            })
        });
        let jobs: Vec<JobCheckpoint> = unsaved.collect();
        if jobs.is_empty() {
            return;
        }
        let checkpoint_interval_ms =
            self.runner.options.checkpoint_interval_ms;
        self.next_save = now.saturating_add_ms(checkpoint_interval_ms);
        self.is_saving = true;
        let ledger = self.runner.parts.ledger.clone();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let saved = ledger.save_checkpoints(&jobs).await;
            let _ = sender.send(Event::Saved(saved));
        });
    }

    /// Interrupts the runs of jobs that other nodes resume and saves their
    /// checkpoints. The receiver is notified when the save has succeeded or
    /// failed.
    ///
    /// Without the handover, a job that moves keeps running here while its new
    /// node runs it from a checkpoint that is up to two seconds old. Each
    /// running item is then run twice at the same time (14, 7 and 14 items at
    /// three moves of one day) while other items wait for slots.
    pub(super) fn hand_over(
        &mut self,
        keys: &[JobKey],
    ) -> oneshot::Receiver<()> {
        let (done, receiver) = oneshot::channel();
        let mut checkpoints = Vec::new();
        for key in keys {
            let reason = "the job is handed over";
            let runs = self.interrupt_runs_of(key, reason);
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            job.close_waiting();
            let items = job.take_unsaved_checkpoints().unwrap_or_default();
            log::info!(job = key.as_str(), runs, begun = items.len();
                "a job is handed over to another node");
            if !items.is_empty() {
                checkpoints.push(JobCheckpoint {
                    job: key.clone(),
                    items,
                    submitted_at: job.stored.manifest.submitted_at,
                });
            }
        }
        let ledger = self.runner.parts.ledger.clone();
        tokio::spawn(async move {
            if let Err(report) = ledger.save_checkpoints(&checkpoints).await {
                log::info!(error:% = report.current_context();
                    "checkpoints of handed-over items are not saved");
            }
            // The receiver may have been dropped: the node does not always
            // wait.
            let _ = done.send(());
        });
        receiver
    }

    pub(super) fn handle_saved(
        &mut self,
        saved: Result<(), Report<JobError>>,
    ) {
        self.is_saving = false;
        if let Err(report) = saved {
            log::info!(error:% = report.current_context();
                "checkpoints of items are not saved");
            // Items that wait for a slot produce no more events; without this
            // reset their events would stay unsaved.
            for job in self.jobs.values_mut() {
                job.mark_unsaved();
            }
        }
    }
}

async fn load(
    ledger: &Ledger,
    key: &JobKey,
    manifest: &JobManifest,
    is_new: bool,
) -> Result<LoadedJob, Report<JobError>> {
    let inputs = ledger.inputs(key, manifest).await?;
    let checkpoints = match is_new {
        true => Vec::new(),
        false => ledger.checkpoints(key, manifest).await?,
    };
    Ok(LoadedJob {
        inputs,
        checkpoints,
    })
}
