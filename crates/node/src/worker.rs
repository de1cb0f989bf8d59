use std::{sync::Arc, time::Duration};

use base::Millis;
use error_stack::Report;
use jobs::{OnlineLoad, Runner, RunnerOptions, RunnerParts, ShutdownSignal};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time,
};

use crate::{
    NodeError, NodeSettings, Outside, Signals, base::NodeBase,
    load::WorkerLoad, membership::LeaseTerms, probe::LoadProbe,
    vacate::Vacating,
};

/// The role that runs the items of batch jobs.
pub struct Worker {
    base: NodeBase,
    /// Turned true to end the runs; the node leaves when they are saved.
    stop_items: watch::Sender<bool>,
    idle: watch::Receiver<bool>,
    grace_ms: u64,
}

/// Time before the end by force at which the node ends by itself.
const GRACE_MARGIN_MS: u64 = 500;

/// Added to the time that results are kept, for clocks that differ and
/// readers in the middle of a job.
const KEPT_MARGIN_MS: u64 = 60_000;

impl Worker {
    /// Starts all tasks.
    ///
    /// # Errors
    ///
    /// [`NodeError::Listen`] if the address of the metrics cannot be used.
    pub async fn start(
        settings: &NodeSettings,
        outside: Outside,
    ) -> Result<Self, Report<NodeError>> {
        let (orders, received) = mpsc::unbounded_channel();
        let base =
            NodeBase::start(settings, &outside, true, Some(orders)).await?;
        let (online, heard) = OnlineLoad::new();
        let online = Arc::new(online);
        let load = WorkerLoad {
            socket: base.load_socket(settings, &outside),
            view: base.view.clone(),
            cluster: outside.cluster.clone(),
            online: online.clone(),
            next_count: Millis::default(),
        };
        tokio::spawn(load.run());
        let runner = make_runner(settings, &outside, &base, online);
        let (stop_items, asked) = watch::channel(false);
        let (handed_over, saved) = oneshot::channel();
        tokio::spawn(leave_after(asked.clone(), saved, base.leave.clone()));
        let (ended, idle) = watch::channel(false);
        tokio::spawn(async move {
            runner
                .run(
                    ShutdownSignal {
                        requested: asked,
                        handed_over,
                    },
                    heard,
                )
                .await;
            ended.send_replace(true);
        });
        let vacating = Vacating {
            node: settings.node.clone(),
            kv: outside.kv,
            dialect: outside.dialect,
            view: base.view.clone(),
            leave: stop_items.clone(),
            idle: idle.clone(),
            spooled: base.spooled.clone(),
            terms: LeaseTerms::new(true, settings.lease_least_ms),
        };
        tokio::spawn(vacating.run(received));
        Ok(Self {
            base,
            stop_items,
            idle,
            grace_ms: settings.grace_ms,
        })
    }

    /// Works until a planned stop is over: other nodes go on with the items
    /// where this one stopped them.
    pub async fn run(mut self, mut signals: Signals) {
        let _ = signals.stop.wait_for(|stop| *stop).await;
        log::info!("a planned stop begins");
        self.base.not_ready();
        self.stop_items.send_replace(true);
        let most = self.grace_ms.saturating_sub(GRACE_MARGIN_MS);
        let ended = self.idle.wait_for(|idle| *idle);
        let ended = time::timeout(Duration::from_millis(most), ended).await;
        log::info!(all_ended = ended.is_ok(); "a planned stop is over");
    }
}

/// Longest wait for the progress of stopped items before the node leaves, in
/// milliseconds. Without the key-value service nothing can be saved, and
/// nobody else could go on either.
const HAND_OVER_MS: u64 = 1_000;

/// Ends the node's entry once its items are stopped and saved.
///
/// In the other order the nodes that go on read what was saved up to two
/// seconds before, and run the rest again.
async fn leave_after(
    mut asked: watch::Receiver<bool>,
    saved: oneshot::Receiver<()>,
    leave: watch::Sender<bool>,
) {
    if asked.wait_for(|asked| *asked).await.is_err() {
        return;
    }
    let most = Duration::from_millis(HAND_OVER_MS);
    let in_time = time::timeout(most, saved).await.is_ok();
    log::info!(in_time; "the items of this node are handed over");
    leave.send_replace(true);
}

fn make_runner(
    settings: &NodeSettings,
    outside: &Outside,
    base: &NodeBase,
    online: Arc<OnlineLoad>,
) -> Runner {
    let probe = LoadProbe::new(outside.dialect.clone(), base.pool.clone());
    let options = RunnerOptions {
        retention_ms: settings.results_kept_ms + KEPT_MARGIN_MS,
        ..RunnerOptions::default()
    };
    let parts = RunnerParts {
        node: settings.node.clone(),
        ledger: base.ledger.clone(),
        view: base.view.clone(),
        endpoints: outside.cluster.endpoints.clone(),
        config: outside.cluster.config.clone(),
        forwarder: Arc::new(base.forwarder(settings, outside)),
        probe: Arc::new(probe),
        online_load: online,
        assignments: base.plans.clone(),
        clock: outside.cluster.clock().clone(),
        counters: outside.counters.clone(),
    };
    Runner::new(options, parts)
}
