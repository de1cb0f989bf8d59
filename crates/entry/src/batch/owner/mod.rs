//! Runs the jobs of the partitions that this entry owns.
//!
//! [`ledger::Ledger`] decides; this module carries out its actions and
//! reports the results as events. Each action runs as a separate task, so
//! that a slow data VM does not delay a lease renewal.

mod calls;
mod crashes;
mod grants;
mod inputs;
mod lines;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use base::{JobId, blob_day_prefix, timer::Timer};
use conf::settings::BatchSettings;
use futures::future::join_all;
use kv::Kv;
use ledger::{Action, Chunk, CommitId, Event, Ledger, Moment, Options, Part};
use quarantine::Quarantine;
use tokio::{
    sync::{Notify, mpsc},
    task::JoinSet,
};

use self::{calls::Calls, inputs::InputReader};
use super::{Blobs, keys::Keys};
use crate::EntryError;

/// Tick interval of the ledger, in milliseconds.
const TICK_MS: u64 = 50;

/// Delay before a failed read of an item is retried, in milliseconds.
const READ_RETRY_MS: u64 = 1_000;

/// Runs the jobs of the partitions that this entry owns.
pub(crate) struct Owner {
    ledger: Mutex<Ledger>,
    calls: Calls,
    inputs: InputReader,
    blobs: Arc<Blobs>,
    timer: Timer,
    quarantine: Quarantine,
    grant_ttl_ms: u64,
    wake: Notify,
    actions: mpsc::UnboundedSender<Action>,
    /// Receiver of the actions, taken once by the controller.
    inbox: Mutex<Option<mpsc::UnboundedReceiver<Action>>>,
}

impl Owner {
    pub(crate) fn new(
        kv: Arc<dyn Kv>,
        keys: Keys,
        timer: Timer,
        quarantine: Quarantine,
        blobs: Arc<Blobs>,
        settings: &BatchSettings,
    ) -> Self {
        // A restarted entry is a new member; the lease of its previous
        // incarnation expires.
        let member = format!("{:016x}", rand::random::<u64>());
        let salt = rand::random();
        let ledger = Ledger::new(member.clone(), salt, options(settings));
        let calls =
            Calls::new(kv.clone(), keys.clone(), timer.clone(), member);
        let inputs = InputReader::new(kv, keys, blobs.clone());
        let (actions, inbox) = mpsc::unbounded_channel();
        Self {
            ledger: Mutex::new(ledger),
            calls,
            inputs,
            blobs,
            timer,
            quarantine,
            grant_ttl_ms: settings.grant_ttl_ms,
            wake: Notify::new(),
            actions,
            inbox: Mutex::new(Some(inbox)),
        }
    }

    /// Returns the partitions that this entry owns.
    pub(crate) fn partitions(&self) -> Vec<u32> {
        self.ledger().partitions()
    }

    /// Returns the number of open jobs in the owned partitions.
    pub(crate) fn open_jobs(&self) -> usize {
        self.ledger().status().open_jobs
    }

    /// Makes the owner list a new or changed job immediately.
    pub(crate) fn request_listing(&self, job: &JobId) {
        self.ledger().request_listing(job);
        self.wake.notify_one();
    }

    /// Runs the ledger's actions until the process exits.
    pub(crate) async fn run(self: Arc<Self>) {
        let Some(mut inbox) = self.take_inbox() else {
            return;
        };
        let _revoke = RevokeOnDrop(self.clone());
        // Dropping the set aborts its tasks.
        let mut running = JoinSet::new();
        let mut at_risk = 0;
        loop {
            tokio::select! {
                Some(action) = inbox.recv() => {
                    running.spawn(self.clone().execute(action));
                }
                Some(_) = running.join_next() => {}
                () = self.timer.subscribe_in_ms(TICK_MS) => {
                    self.handle_event(Event::Tick);
                    self.log_jobs_at_risk(&mut at_risk);
                }
                () = self.wake.notified() => self.handle_event(Event::Tick),
            }
        }
    }

    /// Passes an event to the ledger and queues the resulting actions for the
    /// controller.
    fn handle_event(&self, event: Event) {
        let moment = self.moment();
        let actions = self.ledger().handle(moment, event);
        for action in actions {
            // Fails only when the controller has stopped at shutdown.
            let _ = self.actions.send(action);
        }
    }

    async fn execute(self: Arc<Self>, action: Action) {
        let event = match action {
            Action::Join { ttl_s } => self.calls.join(ttl_s).await,
            Action::Renew { lease } => self.calls.renew(lease).await,
            Action::ReadMembership => self.calls.read_membership().await,
            Action::Claim { partition, lease } => {
                self.calls.claim(partition, lease).await
            }
            Action::Release { partition, fence } => {
                self.calls.release(partition, fence).await
            }
            Action::List { partition, fence } => {
                self.calls.list(partition, fence).await
            }
            Action::Load {
                partition,
                fence,
                job,
                marker,
            } => self.calls.load(partition, fence, job, marker).await,
            Action::Store { commit, parts } => self.store(commit, parts).await,
            Action::Write(write) => self.calls.write(write).await,
            Action::ReadBack { commit, jobs, .. } => {
                self.calls.read_back(commit, jobs).await
            }
            Action::GiveUp {
                job,
                index,
                attempts,
            } => return self.give_up(job, index, attempts).await,
        };
        self.handle_event(event);
    }

    async fn store(&self, commit: CommitId, parts: Vec<Part>) -> Event {
        let day = blob_day_prefix(self.timer.clock().unix());
        let puts = parts.into_iter().map(|part| {
            let Part {
                blob, bytes, items, ..
            } = part;
            self.blobs.put(format!("{day}{blob}"), bytes, items)
        });
        let stored: Result<Vec<Chunk>, error_stack::Report<EntryError>> =
            join_all(puts).await.into_iter().collect();
        let chunks = match stored {
            Ok(chunks) => Some(chunks),
            Err(report) => {
                log::warn!(error:? = report; "results are not stored");
                None
            }
        };
        Event::Stored { commit, chunks }
    }

    fn log_jobs_at_risk(&self, before: &mut usize) {
        let at_risk = self.ledger().status().jobs_at_risk;
        if at_risk > *before {
            log::warn!(jobs = at_risk; "batch jobs will be late at this pace");
        }
        *before = at_risk;
    }

    fn moment(&self) -> Moment {
        Moment {
            now: self.timer.now(),
            unix: self.timer.clock().unix(),
            random: rand::random(),
        }
    }

    fn take_inbox(&self) -> Option<mpsc::UnboundedReceiver<Action>> {
        let inbox = self.inbox.lock();
        inbox.unwrap_or_else(PoisonError::into_inner).take()
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Revokes the lease when the controller is dropped, so that other entries
/// need not wait for its expiry.
struct RevokeOnDrop(Arc<Owner>);

impl Drop for RevokeOnDrop {
    fn drop(&mut self) {
        let owner = self.0.clone();
        let lease = owner.ledger().lease();
        let runtime = tokio::runtime::Handle::try_current();
        if let (Some(lease), Ok(runtime)) = (lease, runtime) {
            runtime.spawn(async move { owner.calls.revoke(lease).await });
        }
    }
}

fn options(settings: &BatchSettings) -> Options {
    Options::default()
        .partitions(settings.partitions)
        .lease_ttl_s(settings.lease_ttl_s)
        .commit_interval_ms(settings.commit_interval_ms)
        .commit_items_max(settings.commit_items_max as usize)
        .grant_items_max(settings.grant_items_max)
        .grant_ttl_ms(settings.grant_ttl_ms)
        .attempts_max(settings.attempts_max)
}
