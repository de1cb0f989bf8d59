use std::{
    sync::{Arc, atomic::AtomicBool, atomic::Ordering},
    time::Duration,
};

use base::timer::Timer;
use error_stack::{Report, ResultExt};
use jobs::{JobView, Ledger, NodeRecord, OnlineLoad, Runner, RunnerOptions};
use kv::{Kv, paths::Paths};
use pass::{Forwarder, ForwarderOptions, Pool, Tally};
use tokio::{
    sync::{mpsc, watch as flag},
    time,
};

use crate::{
    Admin, Beliefs, Dialect, NodeError, NodeSettings, Signals,
    load_share::{self, WorkerShare},
    membership, peer,
    probe::LoadProbe,
    vacate::Vacating,
    watch::Watches,
};

/// The role that runs the items of batch jobs.
pub struct Worker {
    leave: flag::Sender<bool>,
    idle: flag::Receiver<bool>,
    stopping: Arc<AtomicBool>,
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
        dialect: Arc<dyn Dialect>,
        kv: Arc<dyn Kv>,
        paths: Arc<Paths>,
        beliefs: Beliefs,
        timer: Timer,
        tally: Arc<Tally>,
    ) -> Result<Self, Report<NodeError>> {
        let pool = Arc::new(Pool::default());
        let view = JobView::default();
        let clock = beliefs.clock().clone();
        let (orders, received) = mpsc::unbounded_channel();
        let watches = Watches {
            kv: kv.clone(),
            dialect: dialect.clone(),
            beliefs: beliefs.clone(),
            view: view.clone(),
            pool: pool.clone(),
            orders: Some(orders),
        };
        let feeds = watches.start(settings);
        peer::serve(settings, feeds, clock.clone())?;
        let socket = load_share::bind(settings.peer)
            .await
            .change_context(NodeError::Listen)?;
        tokio::spawn(peer::follow_peers(
            paths,
            view.clone(),
            settings.node.clone(),
        ));
        let (online, heard) = OnlineLoad::new();
        let online = Arc::new(online);
        let share = WorkerShare {
            node: settings.node.clone(),
            socket,
            view: view.clone(),
            beliefs: beliefs.clone(),
            online: online.clone(),
        };
        tokio::spawn(share.run());
        let stopping = Arc::new(AtomicBool::new(false));
        if let Some(address) = settings.metrics {
            let admin = Admin::new(
                dialect.ready_path(),
                beliefs.clone(),
                stopping.clone(),
                tally.clone(),
            );
            Arc::new(admin).start(address)?;
        }
        let means = Arc::new(Forwarder::new(
            dialect.headers(),
            ForwarderOptions::default(),
            &settings.failure_domain,
            beliefs.endpoints.clone(),
            pool.clone(),
            clock.clone(),
            tally.clone(),
        ));
        let runner = Runner::new(
            &settings.node,
            RunnerOptions {
                kept_ms: settings.results_kept_ms + KEPT_MARGIN_MS,
                ..RunnerOptions::default()
            },
            Ledger::new(kv.clone(), timer, settings.value_bytes),
            view.clone(),
            beliefs.endpoints.clone(),
            beliefs.config.clone(),
            means,
            Arc::new(LoadProbe::new(dialect.clone(), pool)),
            online,
            clock.clone(),
            tally,
        );
        let record = NodeRecord {
            node: settings.node.clone(),
            failure_domain: settings.failure_domain.clone(),
            runs_items: true,
            address: Some(settings.peer),
        };
        let (leave, left) = flag::channel(false);
        let (ended, idle) = flag::channel(false);
        tokio::spawn(membership::keep_entry(
            kv.clone(),
            record,
            clock,
            left.clone(),
        ));
        tokio::spawn(async move {
            runner.run(left, heard).await;
            ended.send_replace(true);
        });
        let vacating = Vacating {
            node: settings.node.clone(),
            kv,
            dialect,
            view,
            leave: leave.clone(),
            idle: idle.clone(),
        };
        tokio::spawn(vacating.run(received));
        Ok(Self {
            leave,
            idle,
            stopping,
            grace_ms: settings.grace_ms,
        })
    }

    /// Works until a planned stop is over: other nodes take the jobs, the
    /// runs of this one end if the time allows.
    pub async fn run(mut self, mut signals: Signals) {
        let _ = signals.stop.wait_for(|stop| *stop).await;
        log::info!("a planned stop begins");
        self.stopping.store(true, Ordering::Relaxed);
        self.leave.send_replace(true);
        let most = self.grace_ms.saturating_sub(GRACE_MARGIN_MS);
        let ended = self.idle.wait_for(|idle| *idle);
        let ended = time::timeout(Duration::from_millis(most), ended).await;
        log::info!(all_ended = ended.is_ok(); "a planned stop is over");
    }
}
