use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use base::{Snapshot, timer::Timer};
use error_stack::{Report, ResultExt};
use fleet::Selection;
use jobs::{Assignments, BulkCache, JobView, Ledger, NodeRecord};
use kv::{
    Kv,
    batch::{BatchLimits, GroupCommit},
    paths::Paths,
};
use pass::{Counters, Forwarder, ForwarderOptions, Pool, Relay};
use quarantine::{Quarantine, QuarantineOptions};
use tokio::{
    net::UdpSocket,
    sync::{mpsc, watch},
};

use crate::{
    Admin, ClusterState, Dialect, NodeError, NodeSettings, VacateOrder,
    bootstrap_list,
    commits::SharedCommits,
    crash::{CrashDetector, QUARANTINE_PREFIX, RunNotifier},
    feed::Scope,
    feed_wire::PeerHandler,
    job_manifests::ManifestResponder,
    job_push::PushReceiver,
    job_spool::JobSpool,
    load::{self, LoadSocket},
    membership::{LeaseTerms, NodeRegistration, RegistrationSignals},
    peer,
    peer_bulk::{BulkResponder, PeerBulk},
    quota::{QuotaClient, QuotaService},
    usage,
    watch::{JOB_FEED, Watches},
    write_through::WriteThroughKv,
};

/// What a role is given of the world outside.
#[derive(Clone)]
pub struct Outside {
    /// How the platform spells things.
    pub dialect: Arc<dyn Dialect>,
    /// The key-value service.
    pub kv: Arc<dyn Kv>,
    /// The ways to the key-value service, which other nodes add to.
    pub paths: Arc<Paths>,
    /// What the node comes to believe.
    pub cluster: ClusterState,
    /// The timer service of the process.
    pub timer: Timer,
    /// The counters of the process.
    pub counters: Arc<Counters>,
}

/// What every role runs: it follows the key-value service, answers other
/// nodes, is listed as a node and tells whether it is ready.
pub(crate) struct NodeBase {
    pub(crate) pool: Arc<Pool>,
    pub(crate) view: JobView,
    pub(crate) ledger: Ledger,
    /// Who uses which endpoint.
    pub(crate) plans: Assignments,
    /// The endpoints that requests go to before all others.
    pub(crate) selection: Arc<Snapshot<Selection>>,
    socket: Arc<UdpSocket>,
    /// Turned true when the node leaves; its entry ends then.
    pub(crate) leave: watch::Sender<bool>,
    /// Receives how runs at endpoints end.
    runs: Arc<RunNotifier>,
    quarantine: Quarantine,
    /// Who counts requests against the limits of customers.
    pub(crate) quota: QuotaClient,
    /// Jobs that wait on the disk of this node, if it has one.
    pub(crate) spooled: Option<watch::Receiver<usize>>,
    stopping: Arc<AtomicBool>,
}

impl NodeBase {
    pub(crate) async fn start(
        settings: &NodeSettings,
        outside: &Outside,
        runs_items: bool,
        orders: Option<mpsc::UnboundedSender<VacateOrder>>,
    ) -> Result<Self, Report<NodeError>> {
        let pool = Arc::new(Pool::default());
        let view = JobView::default();
        let clock = outside.cluster.clock().clone();
        let (entered, has_entered) = watch::channel(false);
        let (found, has_found) = watch::channel(None);
        let case_writes = WriteThroughKv::new(outside.kv.clone());
        let quarantine = Quarantine::new(
            Arc::new(case_writes.clone()),
            QUARANTINE_PREFIX,
            clock.clone(),
            QuarantineOptions::default(),
        );
        tokio::spawn(quarantine.clone().run());
        let watches = Watches {
            kv: outside.kv.clone(),
            dialect: outside.dialect.clone(),
            cluster: outside.cluster.clone(),
            view: view.clone(),
            quarantine: quarantine.clone(),
            pool: pool.clone(),
            registered: has_entered,
            previous: found,
            counters: outside.counters.clone(),
            job_scope: match runs_items {
                true => Scope::All,
                false => Scope::WithoutManifests,
            },
            orders,
        };
        let feeds = watches.start(settings);
        case_writes.set_feed(feeds[JOB_FEED].clone());
        let cache: Arc<BulkCache> = Arc::default();
        let peer_bulk =
            PeerBulk::new(&settings.node, view.clone(), clock.clone());
        let group =
            GroupCommit::start(outside.kv.clone(), BatchLimits::default());
        let commits = SharedCommits::new(
            outside.kv.clone(),
            group.clone(),
            &settings.node,
            view.clone(),
            clock.clone(),
            outside.counters.clone(),
        );
        let commits: Arc<dyn Kv> = Arc::new(commits);
        tokio::spawn(bootstrap_list::maintain(
            commits.clone(),
            view.clone(),
            settings.node.clone(),
        ));
        let ledger =
            Ledger::new(commits, outside.timer.clone(), settings.value_bytes);
        let ledger = ledger.with_peers(cache.clone(), Arc::new(peer_bulk));
        let spool = JobSpool::open(
            settings,
            ledger.clone(),
            view.clone(),
            clock.clone(),
        );
        tokio::spawn(usage::log_usage(outside.counters.clone()));
        let spooled = spool.as_ref().map(|spool| spool.count());
        let pushed = PushReceiver {
            view: view.clone(),
            cache: cache.clone(),
            clock: clock.clone(),
        };
        let handler = PeerHandler {
            relay: Relay::new(settings.kv),
            feeds,
            pages: Arc::default(),
            counters: outside.counters.clone(),
            bulk: BulkResponder::new(cache, ledger.clone()),
            spool,
            group_commit: group,
            manifests: ManifestResponder::new(view.clone(), clock.clone()),
            push_receiver: pushed,
            clock: clock.clone(),
        };
        peer::serve(settings.peer, handler)?;
        let socket = load::bind(settings.peer)
            .await
            .change_context(NodeError::Listen)?;
        tokio::spawn(peer::maintain_relays(
            outside.paths.clone(),
            view.clone(),
            settings.node.clone(),
        ));
        let (quota, quota_client) = QuotaService::bind(
            settings,
            view.clone(),
            outside.cluster.clone(),
            outside.counters.clone(),
        )
        .await
        .change_context(NodeError::Listen)?;
        match runs_items {
            true => tokio::spawn(quota.run_as_holder()),
            false => tokio::spawn(quota.run()),
        };
        let (detector, runs) = CrashDetector::new(
            outside.cluster.clone(),
            quarantine.clone(),
            outside.counters.clone(),
        );
        tokio::spawn(detector.run());
        let (leave, left) = watch::channel(false);
        let record = NodeRecord {
            node: settings.node.clone(),
            failure_domain: settings.failure_domain.clone(),
            runs_items,
            address: Some(settings.peer),
            limits: Some(settings.limits),
            lease_s: 0,
        };
        let keeper = NodeRegistration {
            kv: outside.kv.clone(),
            record,
            terms: LeaseTerms::new(runs_items, settings.lease_least_ms),
            view: view.clone(),
            clock,
        };
        tokio::spawn(keeper.run(RegistrationSignals {
            registered: entered,
            shutdown: left,
            previous: has_found,
        }));
        let plans = Assignments::new(
            &settings.node,
            view.clone(),
            outside.cluster.endpoints.clone(),
            outside.cluster.config.clone(),
        );
        let base = Self {
            pool,
            view,
            ledger,
            plans,
            selection: Arc::new(Snapshot::new(Selection::default())),
            socket,
            leave,
            runs: Arc::new(runs),
            quarantine,
            quota: quota_client,
            spooled,
            stopping: Arc::default(),
        };
        base.start_admin(settings, outside)?;
        Ok(base)
    }

    fn start_admin(
        &self,
        settings: &NodeSettings,
        outside: &Outside,
    ) -> Result<(), Report<NodeError>> {
        let admin = Arc::new(Admin::new(
            outside.dialect.ready_path(),
            outside.cluster.clone(),
            self.stopping.clone(),
            outside.counters.clone(),
        ));
        for address in [settings.ready, settings.metrics].iter().flatten() {
            admin.start(*address)?;
        }
        Ok(())
    }

    /// Returns where load updates are received and sent.
    pub(crate) fn load_socket(
        &self,
        settings: &NodeSettings,
        outside: &Outside,
    ) -> LoadSocket {
        LoadSocket::new(
            &settings.node,
            self.socket.clone(),
            outside.counters.clone(),
            outside.cluster.clone(),
        )
    }

    /// Makes a forwarder that chooses among the endpoints that are known.
    pub(crate) fn forwarder(
        &self,
        settings: &NodeSettings,
        outside: &Outside,
    ) -> Forwarder {
        Forwarder::new(
            outside.dialect.headers(),
            ForwarderOptions::default(),
            &settings.failure_domain,
            outside.cluster.endpoints.clone(),
            self.pool.clone(),
            outside.cluster.clock().clone(),
            outside.counters.clone(),
        )
        .with_selection(self.selection.clone())
        .with_run_observer(self.runs.clone())
        .with_quarantine(self.quarantine.clone())
    }

    /// Begins a planned stop: the node is not ready any more and its entry
    /// ends.
    pub(crate) fn begin_stop(&self) {
        self.not_ready();
        self.leave.send_replace(true);
    }

    /// Tells whoever asks that the node is not ready any more.
    pub(crate) fn not_ready(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }
}
