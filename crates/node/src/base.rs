use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use base::{Snapshot, timer::Timer};
use budget::MemoryBudget;
use error_stack::{Report, ResultExt};
use fleet::{Selection, ServiceSpeeds};
use jobs::{Assignments, BulkCache, JobView, Ledger, NodeRecord, SpoolState};
use kv::{
    Kv,
    batch::{BatchLimits, GroupCommit},
    paths::Paths,
};
use pass::{Counters, FairShares, Forwarder, ForwarderOptions, Pool, Relay};
use quarantine::{Quarantine, QuarantineOptions};
use share::TermsTable;
use tokio::{
    net::UdpSocket,
    sync::{mpsc, watch},
};

use crate::{
    Admin, ClusterState, Dialect, NodeError, NodeSettings, VacateOrder,
    bootstrap_list,
    commits::SharedCommits,
    crash::{CrashDetector, QUARANTINE_PREFIX, RunNotifier},
    crash_news::CrashNews,
    customers_file,
    feed::Scope,
    feed_wire::PeerHandler,
    job_manifests::ManifestResponder,
    job_push::PushReceiver,
    job_spool::JobSpool,
    lease_terms::LeaseTerms,
    load::{self, LoadSocket},
    membership::{NodeRegistration, RegistrationSignals},
    origins::Origins,
    peer,
    peer_bodies::PeerBodies,
    peer_bulk::{BulkResponder, PeerBulk},
    quota::{self, QuotaClient, QuotaService, ShareExchange},
    spool_marks, usage,
    watch::{JOB_FEED, Watches},
    write_through::WriteThroughKv,
};

/// External dependencies and shared state of a node.
#[derive(Clone)]
pub struct NodeContext {
    /// Formats and names of the platform.
    pub dialect: Arc<dyn Dialect>,
    /// Client of the key-value service.
    pub kv: Arc<dyn Kv>,
    /// Paths to the key-value service, direct and through other nodes.
    pub paths: Arc<Paths>,
    /// The node's view of the configuration and the endpoints.
    pub cluster: ClusterState,
    /// Timers of the process.
    pub timer: Timer,
    /// The counters of the process.
    pub counters: Arc<Counters>,
}

/// The tasks that every role runs: watching the key-value service, serving
/// other nodes, keeping the node's entry alive and reporting readiness.
pub(crate) struct NodeBase {
    pub(crate) pool: Arc<Pool>,
    /// The memory for calls and responses of other nodes.
    pub(crate) peer_memory: MemoryBudget,
    pub(crate) view: JobView,
    pub(crate) ledger: Ledger,
    /// Assignment of endpoints to nodes.
    pub(crate) assignments: Assignments,
    /// The endpoints that this node prefers for its requests.
    pub(crate) selection: Arc<Snapshot<Selection>>,
    /// The speed of the endpoints that this node uses.
    pub(crate) speeds: ServiceSpeeds,
    socket: Arc<UdpSocket>,
    /// Set to true when the node shuts down; its entry is removed then.
    pub(crate) remove_entry: watch::Sender<bool>,
    /// Observes how runs at endpoints end.
    run_notifier: Arc<RunNotifier>,
    quarantine: Quarantine,
    /// Counts requests against the limits of customers.
    pub(crate) quota: QuotaClient,
    /// Shares of customers, if this node serves callers and they are on.
    pub(crate) shares: Option<Arc<FairShares>>,
    /// Weights and pauses of customers.
    pub(crate) terms: watch::Receiver<Arc<TermsTable>>,
    /// Which version began each resumable stream.
    origins: Origins,
    /// Number of jobs in the spool of this node, if it has a disk.
    pub(crate) spooled_jobs: Option<watch::Receiver<usize>>,
    stopping: Arc<AtomicBool>,
}

impl NodeBase {
    pub(crate) async fn start(
        settings: &NodeSettings,
        context: &NodeContext,
        runs_items: bool,
        orders: Option<mpsc::UnboundedSender<VacateOrder>>,
    ) -> Result<Self, Report<NodeError>> {
        let terms = customers_file::start(settings.customers_file.clone())?;
        let request_id = context.dialect.headers().request_id;
        let memory = &settings.caller_limits.memory;
        let clock = context.cluster.clock().clone();
        let bodies = PeerBodies::new(memory, !runs_items, clock.clone());
        let peer_memory = bodies.budget().clone();
        let pool = Pool::default()
            .with_request_id(request_id)
            .with_memory(peer_memory.clone());
        let pool = Arc::new(pool);
        let view = JobView::default();
        let (registered, has_registered) = watch::channel(false);
        let (previous, has_previous) = watch::channel(None);
        let crash_record_writes = WriteThroughKv::new(context.kv.clone());
        let quarantine = Quarantine::new(
            Arc::new(crash_record_writes.clone()),
            QUARANTINE_PREFIX,
            clock.clone(),
            QuarantineOptions::default(),
        );
        tokio::spawn(quarantine.clone().run());
        let watches = Watches {
            kv: context.kv.clone(),
            dialect: context.dialect.clone(),
            cluster: context.cluster.clone(),
            view: view.clone(),
            quarantine: quarantine.clone(),
            pool: pool.clone(),
            peer_memory: peer_memory.clone(),
            registered: has_registered,
            previous,
            counters: context.counters.clone(),
            job_scope: match runs_items {
                true => Scope::All,
                false => Scope::WithoutManifests,
            },
            orders,
        };
        let feeds = watches.start(settings);
        crash_record_writes.set_feed(feeds[JOB_FEED].clone());
        let cache: Arc<BulkCache> = Arc::default();
        let peer_bulk = PeerBulk::new(
            &settings.node,
            view.clone(),
            clock.clone(),
            peer_memory.clone(),
        );
        let group_commit =
            GroupCommit::start(context.kv.clone(), BatchLimits::default());
        let commits = SharedCommits::new(
            context.kv.clone(),
            group_commit.clone(),
            &settings.node,
            view.clone(),
            clock.clone(),
            context.counters.clone(),
        );
        let commits: Arc<dyn Kv> = Arc::new(commits);
        tokio::spawn(bootstrap_list::maintain(
            commits.clone(),
            view.clone(),
            settings.node.clone(),
        ));
        let ledger =
            Ledger::new(commits, context.timer.clone(), settings.value_bytes);
        let ledger = ledger.with_peers(cache.clone(), Arc::new(peer_bulk));
        let spool = JobSpool::open(
            settings,
            ledger.clone(),
            view.clone(),
            clock.clone(),
        );
        tokio::spawn(usage::log_usage(context.counters.clone()));
        let spooled_jobs = spool.as_ref().map(|spool| spool.count());
        let push_receiver = PushReceiver {
            view: view.clone(),
            cache: cache.clone(),
            clock: clock.clone(),
            bodies: bodies.clone(),
        };
        let crash_news = CrashNews::new(
            &settings.node,
            quarantine.clone(),
            view.clone(),
            clock.clone(),
        );
        tokio::spawn(crash_news.clone().run());
        let handler = PeerHandler {
            relay: Relay::new(settings.kv)
                .with_budget(bodies.budget().clone()),
            feeds: feeds.clone(),
            pages: Arc::default(),
            counters: context.counters.clone(),
            bulk: BulkResponder::new(cache, ledger.clone()),
            spool: spool.clone(),
            group_commit,
            manifests: ManifestResponder::new(view.clone(), clock.clone()),
            push_receiver,
            crash_news,
            clock: clock.clone(),
            bodies,
        };
        peer::serve(settings.peer, handler)?;
        let socket = load::bind(settings.peer)
            .await
            .change_context(NodeError::Listen)?;
        tokio::spawn(peer::maintain_relays(
            context.paths.clone(),
            view.clone(),
            settings.node.clone(),
        ));
        let shares = settings.fair_shares && !runs_items;
        let shares = shares.then(|| {
            Arc::new(FairShares::new(
                &settings.node,
                clock.unix().as_ms(),
                quota::shard_of,
                clock.clone(),
                context.counters.clone(),
            ))
        });
        let exchange = settings.fair_shares.then(|| {
            let (shares, terms) = (shares.clone(), terms.clone());
            ShareExchange::new(&settings.node, shares, terms)
        });
        let (quota, quota_client) = QuotaService::bind(
            settings,
            view.clone(),
            context.cluster.clone(),
            context.counters.clone(),
            exchange,
        )
        .await
        .change_context(NodeError::Listen)?;
        match runs_items {
            true => tokio::spawn(quota.run_as_server()),
            false => tokio::spawn(quota.run()),
        };
        let origins = Origins::start(
            settings,
            view.clone(),
            clock.clone(),
            context.counters.clone(),
        )
        .await
        .change_context(NodeError::Listen)?;
        let (detector, run_notifier) = CrashDetector::new(
            context.cluster.clone(),
            quarantine.clone(),
            context.counters.clone(),
        );
        tokio::spawn(detector.run());
        let (remove_entry, shutdown) = watch::channel(false);
        let record = NodeRecord {
            node: settings.node.clone(),
            failure_domain: settings.failure_domain.clone(),
            runs_items,
            address: Some(settings.peer),
            limits: Some(settings.limits),
            origins: Some(settings.origins),
            lease_s: 0,
            spool: SpoolState::Unknown,
        };
        let registration = NodeRegistration {
            kv: context.kv.clone(),
            record,
            terms: LeaseTerms::new(runs_items, settings.min_lease_ms),
            view: view.clone(),
            feed: feeds[JOB_FEED].clone(),
            spool,
            clock: clock.clone(),
        };
        tokio::spawn(spool_marks::maintain(
            context.kv.clone(),
            view.clone(),
            settings.clone(),
            clock,
        ));
        tokio::spawn(registration.run(RegistrationSignals {
            registered,
            shutdown,
            previous: has_previous,
        }));
        let assignments = Assignments::new(
            &settings.node,
            view.clone(),
            context.cluster.endpoints.clone(),
            context.cluster.config.clone(),
        );
        let base = Self {
            pool,
            peer_memory,
            view,
            ledger,
            assignments,
            selection: Arc::new(Snapshot::new(Selection::default())),
            speeds: ServiceSpeeds::new(settings.endpoint_speed),
            socket,
            remove_entry,
            run_notifier: Arc::new(run_notifier),
            quarantine,
            quota: quota_client,
            shares,
            terms,
            origins,
            spooled_jobs,
            stopping: Arc::default(),
        };
        base.start_admin(settings, context)?;
        Ok(base)
    }

    fn start_admin(
        &self,
        settings: &NodeSettings,
        context: &NodeContext,
    ) -> Result<(), Report<NodeError>> {
        let admin = Arc::new(Admin::new(
            context.dialect.ready_path(),
            context.cluster.clone(),
            self.stopping.clone(),
            context.counters.clone(),
        ));
        for address in [settings.ready, settings.metrics].iter().flatten() {
            admin.start(*address)?;
        }
        Ok(())
    }

    /// Returns the sender and receiver of load updates.
    pub(crate) fn load_socket(
        &self,
        settings: &NodeSettings,
        context: &NodeContext,
    ) -> LoadSocket {
        LoadSocket::new(
            &settings.node,
            self.socket.clone(),
            context.counters.clone(),
            context.cluster.clone(),
        )
    }

    /// Creates a forwarder that chooses among the known endpoints.
    pub(crate) fn forwarder(
        &self,
        settings: &NodeSettings,
        context: &NodeContext,
    ) -> Forwarder {
        let forwarder = Forwarder::new(
            context.dialect.headers(),
            ForwarderOptions::default(),
            &settings.failure_domain,
            context.cluster.endpoints.clone(),
            self.pool.clone(),
            context.cluster.clock().clone(),
            context.counters.clone(),
        )
        .with_selection(self.selection.clone())
        .with_endpoint_speed(settings.endpoint_speed)
        .with_run_observer(self.run_notifier.clone())
        .with_quarantine(self.quarantine.clone())
        .with_origins(Arc::new(self.origins.clone()));
        match &self.shares {
            Some(shares) => forwarder.with_fair_shares(shares.clone()),
            None => forwarder,
        }
    }

    /// Begins a planned shutdown: marks the node as not ready and removes its
    /// entry.
    pub(crate) fn begin_shutdown(&self) {
        self.mark_not_ready();
        self.remove_entry.send_replace(true);
    }

    /// Makes readiness checks fail from now on.
    pub(crate) fn mark_not_ready(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }
}
