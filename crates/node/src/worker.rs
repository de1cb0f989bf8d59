use std::{sync::Arc, time::Duration};

use base::Millis;
use budget::{MemoryBudget, MemoryOptions};
use error_stack::Report;
use jobs::{OnlineLoad, Runner, RunnerOptions, RunnerParts, ShutdownSignal};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time,
};

use crate::{
    NodeContext, NodeError, NodeSettings, Signals,
    base::NodeBase,
    lease_terms::LeaseTerms,
    load::{WorkerLoad, WorkerSpeeds},
    probe::LoadProbe,
    vacate::VacateExecutor,
};

/// The role that runs the items of batch jobs.
pub struct Worker {
    base: NodeBase,
    /// Set to true to stop the runs; the node shuts down once they are saved.
    stop_items: watch::Sender<bool>,
    idle: watch::Receiver<bool>,
    grace_ms: u64,
}

/// Time before the end of the grace period at which the node exits, in
/// milliseconds.
const EXIT_MARGIN_MS: u64 = 500;

/// Added to the retention of results, to allow for clock skew and for callers
/// that are reading a job's results.
const RETENTION_MARGIN_MS: u64 = 60_000;

impl Worker {
    /// Starts all tasks.
    ///
    /// # Errors
    ///
    /// [`NodeError::Listen`] if the address of the metrics cannot be used.
    pub async fn start(
        settings: &NodeSettings,
        context: NodeContext,
    ) -> Result<Self, Report<NodeError>> {
        let (orders, received) = mpsc::unbounded_channel();
        let base =
            NodeBase::start(settings, &context, true, Some(orders)).await?;
        let (online, changes) = OnlineLoad::new();
        let online = Arc::new(online);
        let load = WorkerLoad {
            socket: base.load_socket(settings, &context),
            view: base.view.clone(),
            cluster: context.cluster.clone(),
            online: online.clone(),
            assignments: base.assignments.clone(),
            speeds: WorkerSpeeds::new(base.speeds.clone()),
            next_backlog_count: Millis::default(),
        };
        tokio::spawn(load.run());
        let runner = make_runner(settings, &context, &base, online);
        let (stop_items, requested) = watch::channel(false);
        let (handed_over, saved) = oneshot::channel();
        tokio::spawn(remove_entry_after_hand_over(
            requested.clone(),
            saved,
            base.remove_entry.clone(),
        ));
        let (runs_ended, idle) = watch::channel(false);
        tokio::spawn(async move {
            runner
                .run(
                    ShutdownSignal {
                        requested,
                        handed_over,
                    },
                    changes,
                )
                .await;
            runs_ended.send_replace(true);
        });
        let vacating = VacateExecutor {
            node: settings.node.clone(),
            kv: context.kv,
            dialect: context.dialect,
            view: base.view.clone(),
            shutdown: stop_items.clone(),
            idle: idle.clone(),
            spooled_jobs: base.spooled_jobs.clone(),
            terms: LeaseTerms::new(true, settings.min_lease_ms),
            disk_losses: settings.disk_losses,
            clock: context.cluster.clock().clone(),
        };
        tokio::spawn(vacating.run(received));
        Ok(Self {
            base,
            stop_items,
            idle,
            grace_ms: settings.grace_ms,
        })
    }

    /// Runs until a planned shutdown is complete; other nodes resume the items
    /// from their checkpoints.
    pub async fn run(mut self, mut signals: Signals) {
        let _ = signals.stop.wait_for(|stop| *stop).await;
        log::info!("a planned stop begins");
        self.base.mark_not_ready();
        self.stop_items.send_replace(true);
        let timeout = self.grace_ms.saturating_sub(EXIT_MARGIN_MS);
        let runs_ended = self.idle.wait_for(|idle| *idle);
        let runs_ended =
            time::timeout(Duration::from_millis(timeout), runs_ended).await;
        log::info!(all_ended = runs_ended.is_ok(); "a planned stop is over");
    }
}

/// Maximum wait for the checkpoints of stopped items before the node shuts
/// down, in milliseconds. Without the key-value service no checkpoint can be
/// saved, and no other node could resume the items either.
const HAND_OVER_TIMEOUT_MS: u64 = 1_000;

/// Removes the node's entry once its items are stopped and saved.
///
/// In the reverse order other nodes would resume from checkpoints that are up
/// to 2 s old and run the remainder again.
async fn remove_entry_after_hand_over(
    mut requested: watch::Receiver<bool>,
    saved: oneshot::Receiver<()>,
    remove_entry: watch::Sender<bool>,
) {
    if requested.wait_for(|requested| *requested).await.is_err() {
        return;
    }
    let timeout = Duration::from_millis(HAND_OVER_TIMEOUT_MS);
    let in_time = time::timeout(timeout, saved).await.is_ok();
    log::info!(in_time; "the items of this node are handed over");
    remove_entry.send_replace(true);
}

fn make_runner(
    settings: &NodeSettings,
    context: &NodeContext,
    base: &NodeBase,
    online: Arc<OnlineLoad>,
) -> Runner {
    let probe = LoadProbe::new(context.dialect.clone(), base.pool.clone());
    let options = RunnerOptions {
        retention_ms: settings.results_retention_ms + RETENTION_MARGIN_MS,
        ..RunnerOptions::default()
    };
    let parts = RunnerParts {
        node: settings.node.clone(),
        ledger: base.ledger.clone(),
        view: base.view.clone(),
        endpoints: context.cluster.endpoints.clone(),
        config: context.cluster.config.clone(),
        forwarder: Arc::new(base.forwarder(settings, context)),
        probe: Arc::new(probe),
        online_load: online,
        assignments: base.assignments.clone(),
        speeds: base.speeds.clone(),
        clock: context.cluster.clock().clone(),
        counters: context.counters.clone(),
        memory: MemoryBudget::new(
            MemoryOptions::new(settings.caller_limits.memory.callers_bytes),
            context.cluster.clock().clone(),
        ),
    };
    Runner::new(options, parts)
}
