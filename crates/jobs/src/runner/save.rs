//! Reads what a job consists of and saves how far its items have come.

use base::Millis;
use error_stack::Report;
use tokio::sync::oneshot;

use super::{Event, Work, active::Inputs};
use crate::{
    JobError, JobManifest, Ledger,
    record::{ItemCheckpoint, ItemInput, JobCheckpoint, JobKey},
};

/// What a node reads of a job before it runs items of it.
pub(super) struct Loaded {
    pub(super) inputs: Vec<ItemInput>,
    pub(super) progress: Vec<ItemCheckpoint>,
}

impl Work {
    /// Starts to read the inputs of jobs that were taken up.
    pub(super) fn load_inputs(&mut self) {
        let now = self.now();
        let unix = self.runner.parts.clock.unix();
        for (key, job) in &mut self.jobs {
            if !matches!(job.inputs, Inputs::Missing) {
                continue;
            }
            if now < job.settled_at {
                continue;
            }
            job.inputs = Inputs::Loading;
            let ledger = self.runner.parts.ledger.clone();
            let (key, manifest) = (key.clone(), job.stored.manifest.clone());
            // Of a job younger than the pause between two saves nothing is
            // saved yet, unless another node had it, and the read is spared.
            let age_ms = unix.saturating_ms_since(manifest.submitted_at);
            let is_new = age_ms < self.runner.options.checkpoint_interval_ms
                && manifest.owner == self.runner.parts.node
                && job.settled_at == Millis::default();
            let sender = self.sender.clone();
            tokio::spawn(async move {
                let loaded = load(&ledger, &key, &manifest, is_new).await;
                let _ = sender.send(Event::Inputs(key, loaded));
            });
        }
    }

    /// Saves what unfinished items have produced, if it is time.
    ///
    /// What goes wrong without it: a node that is killed, or all of them at
    /// once, lose the outputs in their memory, and each item under way runs
    /// from its start, seen as jobs that end up to a whole run later.
    pub(super) fn save_checkpoints(&mut self) {
        let now = self.now();
        if self.saving || now < self.next_save {
            return;
        }
        let owned = self.jobs.iter_mut().filter(|(_, job)| !job.moved);
        let unsaved = owned.filter_map(|(key, job)| {
            Some(JobCheckpoint {
                job: key.clone(),
                items: job.take_unsaved()?,
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
        self.saving = true;
        let ledger = self.runner.parts.ledger.clone();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let saved = ledger.save_checkpoints(&jobs).await;
            let _ = sender.send(Event::Saved(saved));
        });
    }

    /// Stops the runs of jobs that other nodes go on with and saves what
    /// they have produced; the receiver hears when that is done or failed.
    ///
    /// What goes wrong without it: a job that moves runs on here while its
    /// new node runs it from what was saved up to two seconds ago. Each item
    /// under way is run twice at the same time, 14, 7 and 14 of them at three
    /// moves of one day, while other items wait for slots.
    pub(super) fn hand_over(
        &mut self,
        keys: &[JobKey],
    ) -> oneshot::Receiver<()> {
        let (done, receiver) = oneshot::channel();
        let mut progress = Vec::new();
        for key in keys {
            let runs = self.pause_runs_of(key);
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            let items = job.take_unsaved().unwrap_or_default();
            log::info!(job = key.as_str(), runs, begun = items.len();
                "a job is handed over to another node");
            if !items.is_empty() {
                progress.push(JobCheckpoint {
                    job: key.clone(),
                    items,
                    submitted_at: job.stored.manifest.submitted_at,
                });
            }
        }
        let ledger = self.runner.parts.ledger.clone();
        tokio::spawn(async move {
            if let Err(report) = ledger.save_checkpoints(&progress).await {
                log::info!(error:% = report.current_context();
                    "what handed over items have produced is not saved");
            }
            // Nobody waits any more where the node has gone on without it.
            let _ = done.send(());
        });
        receiver
    }

    pub(super) fn take_saved(&mut self, saved: Result<(), Report<JobError>>) {
        self.saving = false;
        if let Err(report) = saved {
            log::info!(error:% = report.current_context();
                "what items have produced is not saved");
            // Items that wait for a slot produce nothing more; without this
            // what they have would stay unsaved.
            for job in self.jobs.values_mut() {
                job.forget_save();
            }
        }
    }
}

async fn load(
    ledger: &Ledger,
    key: &JobKey,
    manifest: &JobManifest,
    is_new: bool,
) -> Result<Loaded, Report<JobError>> {
    let inputs = ledger.inputs(key, manifest).await?;
    let progress = match is_new {
        true => Vec::new(),
        false => ledger.progress(key, manifest).await?,
    };
    Ok(Loaded { inputs, progress })
}
