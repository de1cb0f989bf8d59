mod job_calls;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use access::{Admitted, Arrived, Denied, Identified};
use base::Customer;
use budget::{BodyPace, MemoryBudget, MemoryOptions};
use error_stack::{Report, ResultExt};
use fleet::{Config, MAX_REQUEST_MS, Route, RouteKind, TransferLimits};
use http::{
    HeaderName, Request, Response, StatusCode, header, request::Parts,
};
use hyper::body::Incoming;
use jobs::{JobView, Ledger, ManifestSource, PageReader, ReportedBacklogs};
use limits::LimitDecision;
use pass::{
    BodyTerms, Counters, CustomerOutcome, Forwarder, Handler, HandlerFuture,
    Inbound, Listener, ListenerOptions, ReceivedBody, Refusal, ResponseBody,
    ShutdownPhase, deadline_ms, receive_body,
};
use share::TermsTable;
use tokio::{sync::watch, time};

use self::job_calls::AcceptedBy;
use crate::{
    ClusterState, Dialect, NodeContext, NodeError, NodeSettings, Signals,
    base::NodeBase,
    intake::JobIntake,
    job_manifests::PeerManifests,
    load::{FrontLoad, FrontSpeeds, LoadNotifier},
    planned_stop::{ACCEPT_AFTER_STOP_MS, PlannedStop, StopNotice},
    quota::QuotaClient,
    spool_client::SpoolClient,
    unknown_jobs::UnknownJobs,
    usage,
};

/// The role that serves callers' requests.
pub struct Front {
    gateway: Arc<Gateway>,
    listener: Listener,
    base: NodeBase,
    phase: watch::Sender<ShutdownPhase>,
    stop: watch::Sender<Option<PlannedStop>>,
    grace_ms: u64,
}

impl Front {
    /// Starts all tasks and listens.
    ///
    /// # Errors
    ///
    /// [`NodeError::Listen`] if an address cannot be used.
    pub async fn start(
        settings: &NodeSettings,
        context: NodeContext,
    ) -> Result<Self, Report<NodeError>> {
        let address = settings.front.ok_or(NodeError::Listen)?;
        let base = NodeBase::start(settings, &context, false, None).await?;
        let (notifier, started) = LoadNotifier::new();
        let backlogs: Arc<ReportedBacklogs> = Arc::default();
        let load = FrontLoad {
            socket: base.load_socket(settings, &context),
            view: base.view.clone(),
            cluster: context.cluster.clone(),
            assignments: base.assignments.clone(),
            selection: base.selection.clone(),
            speeds: FrontSpeeds::new(base.speeds.clone()),
            backlogs: backlogs.clone(),
            started,
        };
        tokio::spawn(load.run());
        let forwarder = base.forwarder(settings, &context);
        let forwarder = Arc::new(forwarder.with_observer(Arc::new(notifier)));
        let view = base.view.clone();
        let ledger = base.ledger.clone();
        let clock = context.cluster.clock().clone();
        let manifests: Arc<dyn ManifestSource> = Arc::new(PeerManifests::new(
            view.clone(),
            clock.clone(),
            base.peer_memory.clone(),
        ));
        let pages = PageReader::new(ledger.clone(), manifests.clone(), clock);
        let (phase, receiver) = watch::channel(ShutdownPhase::Running);
        let options = ListenerOptions {
            max_connections: settings.max_connections,
            socket_buffer_bytes: Some(SOCKET_BUFFER_BYTES),
            read_timeout_ms: settings.caller_limits.read_timeout_ms,
            linger: settings.caller_limits.linger,
            ..ListenerOptions::default()
        };
        let listener = Listener::bind(address, options, receiver)
            .change_context(NodeError::Listen)?;
        let spool = Arc::new(SpoolClient::new(settings.disk_losses));
        let intake = JobIntake::new(
            ledger.clone(),
            view.clone(),
            manifests.clone(),
            spool.clone(),
        );
        let unknown_jobs = UnknownJobs::new(
            view.clone(),
            spool,
            context.cluster.clock().clone(),
            settings.disk_losses,
        );
        let memory = MemoryBudget::new(
            MemoryOptions::new(settings.caller_limits.memory.callers_bytes),
            context.cluster.clock().clone(),
        );
        tokio::spawn(usage::record_callers(
            memory.clone(),
            listener.unserved_connections(),
            context.counters.clone(),
        ));
        let (stop, stop_notice) = StopNotice::new();
        let gateway = Arc::new(Gateway {
            memory,
            stop_notice,
            body_pace: settings.caller_limits.body_pace,
            value_bytes: settings.value_bytes,
            dialect: context.dialect,
            cluster: context.cluster,
            forwarder,
            intake,
            unknown_jobs,
            ledger,
            pages,
            manifests,
            backlogs,
            view,
            quota: base.quota.clone(),
            terms: base.terms.clone(),
            counters: context.counters,
        });
        Ok(Self {
            gateway,
            listener,
            base,
            phase,
            stop,
            grace_ms: settings.grace_ms,
        })
    }

    /// Serves until a planned shutdown is complete.
    pub async fn run(self, mut signals: Signals) {
        let open = self.listener.open_connections();
        let serving = tokio::spawn(
            self.listener.serve(Arc::new(GatewayHandler(self.gateway))),
        );
        let _ = signals.stop.wait_for(|stop| *stop).await;
        let started_at = Instant::now();
        let count = open.load(Ordering::Relaxed);
        log::info!(connections = count; "a planned stop begins");
        let stop = PlannedStop::new(started_at, self.grace_ms);
        self.stop.send_replace(Some(stop));
        self.base.begin_shutdown();
        self.phase.send_replace(ShutdownPhase::Closing);
        time::sleep(Duration::from_millis(ACCEPT_AFTER_STOP_MS)).await;
        self.phase.send_replace(ShutdownPhase::Closed);
        let _ = serving.await;
        wait_for_no_connections(&open, stop.exits_at()).await;
        log::info!(
            connections = open.load(Ordering::Relaxed),
            after_ms = started_at.elapsed().as_millis() as u64;
            "a planned stop is over"
        );
    }
}

async fn wait_for_no_connections(open: &AtomicUsize, deadline: Instant) {
    const POLL_INTERVAL: Duration = Duration::from_millis(20);
    while open.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
        time::sleep(POLL_INTERVAL).await;
    }
}

/// Handles the requests of callers.
struct Gateway {
    /// The memory that callers may make the node hold.
    memory: MemoryBudget,
    stop_notice: StopNotice,
    body_pace: BodyPace,
    /// Maximum size of a value in the key-value service.
    value_bytes: usize,
    dialect: Arc<dyn Dialect>,
    cluster: ClusterState,
    forwarder: Arc<Forwarder>,
    ledger: Ledger,
    intake: JobIntake,
    unknown_jobs: UnknownJobs,
    pages: PageReader,
    manifests: Arc<dyn ManifestSource>,
    backlogs: Arc<ReportedBacklogs>,
    view: JobView,
    quota: QuotaClient,
    /// Weights and pauses of customers.
    terms: watch::Receiver<Arc<TermsTable>>,
    counters: Arc<Counters>,
}

/// Retry delay for callers of a node that is not ready or cannot reach the
/// key-value service, in milliseconds.
const UNAVAILABLE_RETRY_MS: u64 = 500;

/// Retry delay for requests of a paused customer, in milliseconds. Operators
/// end a pause by hand, so that earlier retries only add load.
const PAUSED_RETRY_MS: u64 = 5_000;

/// Retry delay for requests that could not be counted, in milliseconds; the
/// retry usually reaches another node.
const UNCOUNTED_RETRY_MS: u64 = 200;

/// Size of the buffers of callers' sockets.
const SOCKET_BUFFER_BYTES: u32 = 32 * 1024;

/// Copies of a job's body that exist at the same time while the job is stored:
/// the body or its decoded items, twice, the values of the key-value service,
/// also in the cache, and the text of the call that writes them.
const JOB_COPIES: u64 = 8;

impl Gateway {
    fn limits(&self) -> TransferLimits {
        let config = self.cluster.config.load();
        config
            .as_ref()
            .as_ref()
            .map(|config| config.limits)
            .unwrap_or_default()
    }

    async fn respond(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        Counters::add(&self.counters.arrived);
        let arrived_at = Instant::now();
        self.cluster.wait_for_start().await;
        let (mut parts, body) = request.into_parts();
        let keys = &self.forwarder.names().keys;
        let arrived = Arrived::from_headers(&mut parts.headers, keys);
        let call = self.dialect.decode_job_call(
            &parts.method,
            &parts.uri,
            &parts.headers,
        );
        match call {
            Ok(Some(call)) => {
                return match self.identify_job_call(arrived) {
                    Ok(request) => {
                        self.job_call(call, request.customer()).await
                    }
                    Err(refusal) => self.refuse(&parts, "", refusal),
                };
            }
            Ok(None) => {}
            Err(error) => {
                log::info!(
                    request_id = self.request_id(&parts),
                    error:%;
                    "malformed job call"
                );
                let refusal = Refusal::rejected(
                    StatusCode::BAD_REQUEST,
                    "the call is malformed",
                );
                return self.refuse(&parts, "", refusal);
            }
        }
        let route_result = self.find_route(&parts, arrived);
        let (route, config_version, identified) = match route_result {
            Ok(found) => found,
            Err(refusal) => return self.refuse(&parts, "", refusal),
        };
        let customer = identified.customer().cloned();
        let name = customer.as_ref().map_or("", Customer::as_str);
        if let Err(refusal) = self.check_pause(customer.as_ref()) {
            return self.refuse(&parts, name, refusal);
        }
        let terms = self.body_terms(&parts, &route, arrived_at);
        let receiving =
            receive_body(body, &self.memory, terms, &parts.extensions);
        let received = tokio::select! {
            received = receiving => received,
            refusal = self.stop_notice.last_refusal() => Err(refusal),
        };
        let ends_at = terms.ends_at.or_else(|| job_end(&route));
        let received = received.and_then(|received| {
            self.stop_notice.check(ends_at).map(|()| received)
        });
        let received = match received {
            Ok(received) => received,
            Err(refusal)
                if refusal.status() == StatusCode::PAYLOAD_TOO_LARGE =>
            {
                let refusal = self.reject_by_config(refusal);
                return self.refuse(&parts, name, refusal);
            }
            Err(refusal) => return self.refuse(&parts, name, refusal),
        };
        if route.kind() == RouteKind::Batch {
            let accepted_by = AcceptedBy {
                route: &route,
                config_version,
                customer,
            };
            return self.accept_job(&parts, received, accepted_by).await;
        }
        let admitted = match self.admit(identified).await {
            Ok(admitted) => admitted,
            Err(refusal) => return self.refuse(&parts, name, refusal),
        };
        let names = self.forwarder.names();
        let ReceivedBody { bytes, reservation } = received;
        let request =
            Inbound::new(parts, bytes, route, names, arrived_at, admitted);
        let request = request.with_reservation(reservation);
        self.forwarder.forward(request, config_version).await
    }

    /// Returns the limits of the body of a request.
    fn body_terms(
        &self,
        parts: &Parts,
        route: &Route,
        arrived_at: Instant,
    ) -> BodyTerms {
        let is_job = route.kind() == RouteKind::Batch;
        // A job has no deadline of its route.
        let route_ms = (!is_job).then_some(route.timeout_ms());
        let caller_ms = deadline_ms(&parts.headers, self.forwarder.names());
        let wait_ms = route_ms.into_iter().chain(caller_ms).min();
        let wait_ms = wait_ms.map(|wait_ms| wait_ms.min(MAX_REQUEST_MS));
        BodyTerms {
            max_bytes: self.limits().max_body_bytes,
            copies: if is_job { JOB_COPIES } else { 1 },
            ends_at: wait_ms.map(|ms| arrived_at + Duration::from_millis(ms)),
            pace: self.body_pace,
        }
    }

    /// Refuses the requests of a customer that operators have paused. Calls
    /// about its jobs are served.
    fn check_pause(&self, customer: Option<&Customer>) -> Result<(), Refusal> {
        let is_paused =
            |customer| self.terms.borrow().get(customer).is_paused();
        if !customer.is_some_and(is_paused) {
            return Ok(());
        }
        Counters::add(&self.counters.customers_paused);
        let refusal = Refusal::not_run("the customer is paused");
        Err(refusal.with_retry_after_ms(PAUSED_RETRY_MS))
    }

    /// Counts a request against its customer's limit.
    async fn admit(
        &self,
        identified: Identified,
    ) -> Result<Admitted, Refusal> {
        let customer = identified.customer().cloned();
        let count_outcome = |outcome| {
            if let Some(customer) = &customer {
                self.counters.customers.count(customer.as_str(), outcome);
            }
        };
        match self.quota.count(identified.caller()).await {
            LimitDecision::Admitted(permit) => {
                count_outcome(CustomerOutcome::Admitted);
                Ok(identified.admit(permit))
            }
            LimitDecision::OverLimit(over_limit) => {
                count_outcome(CustomerOutcome::OverLimit);
                Counters::add(&self.counters.over_limit);
                let status = StatusCode::TOO_MANY_REQUESTS;
                let reason = "the customer is at its limit";
                let refusal = Refusal::rejected(status, reason);
                Err(refusal.with_retry_after_ms(over_limit.retry_after_ms()))
            }
            LimitDecision::Unavailable => {
                Counters::add(&self.counters.limits_unavailable);
                let reason = "the request cannot be counted here now";
                let refusal = Refusal::not_run(reason);
                Err(refusal.with_retry_after_ms(UNCOUNTED_RETRY_MS))
            }
        }
    }

    fn config(&self) -> Result<Arc<Config>, Refusal> {
        let config = self.cluster.config.load();
        config.as_ref().clone().ok_or_else(|| {
            let refusal = Refusal::not_run("no configuration is known yet");
            refusal.with_retry_after_ms(UNAVAILABLE_RETRY_MS)
        })
    }

    /// Identifies the customer of a request by the current configuration.
    fn identify(
        &self,
        arrived: Arrived,
        config: &Config,
        public: bool,
    ) -> Result<Identified, Refusal> {
        let customers = config.customers.as_ref();
        let config_freshness = self.cluster.config_freshness();
        let identified = arrived.identify(customers, public, config_freshness);
        identified.map_err(|denied| {
            Counters::add(&self.counters.keys_refused);
            match denied {
                Denied::Unknown(reason) => {
                    Refusal::rejected(StatusCode::UNAUTHORIZED, reason)
                }
                Denied::Unconfirmed(reason) => Refusal::not_run(reason)
                    .with_retry_after_ms(UNAVAILABLE_RETRY_MS),
            }
        })
    }

    fn identify_job_call(
        &self,
        arrived: Arrived,
    ) -> Result<Identified, Refusal> {
        let config = self.config()?;
        self.identify(arrived, &config, false)
    }

    fn find_route(
        &self,
        parts: &Parts,
        arrived: Arrived,
    ) -> Result<(Arc<Route>, u64, Identified), Refusal> {
        let config = self.config()?;
        let host = parts.headers.get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok());
        let host = host.or(parts.uri.host()).unwrap_or_default();
        match config.routes.find(host, parts.uri.path()) {
            Some(route) => {
                let public = route.is_public();
                let identified = self.identify(arrived, &config, public)?;
                Ok((route.clone(), config.version, identified))
            }
            None => Err(self.reject_by_config(Refusal::rejected(
                StatusCode::NOT_FOUND,
                "no route leads there",
            ))),
        }
    }

    /// Returns the rejection of a request that the configuration does not
    /// allow, or a temporary refusal if a newer configuration may allow it.
    fn reject_by_config(&self, rejection: Refusal) -> Refusal {
        if self.cluster.is_config_fresh() {
            return rejection;
        }
        let refusal = Refusal::not_run("the configuration may be out of date");
        refusal.with_retry_after_ms(UNAVAILABLE_RETRY_MS)
    }

    /// Returns the id of a request, empty if it has none.
    fn request_id<'a>(&self, parts: &'a Parts) -> &'a str {
        let id = parts.headers.get(&self.forwarder.names().request_id);
        id.and_then(|id| id.to_str().ok()).unwrap_or_default()
    }

    fn refuse(
        &self,
        parts: &Parts,
        customer: &str,
        refusal: Refusal,
    ) -> Response<ResponseBody> {
        log::info!(
            request_id = self.request_id(parts),
            path = parts.uri.path(),
            status = refusal.status().as_u16(),
            reason = refusal.reason(),
            ran:% = refusal.ran(),
            customer,
            config_version = self.config().map_or(0, |c| c.version),
            config_age_ms = self.cluster.config_age_ms();
            "a request is refused"
        );
        Counters::add(&self.counters.refused);
        refusal.into_response()
    }
}

/// Returns when the response to a job that is submitted now is due.
fn job_end(route: &Route) -> Option<Instant> {
    let wait = Duration::from_millis(route.target_latency_ms());
    (route.kind() == RouteKind::Batch).then(|| Instant::now() + wait)
}

/// Implements the listener's handler for a shared gateway.
struct GatewayHandler(Arc<Gateway>);

impl Handler for GatewayHandler {
    fn handle(&self, request: Request<Incoming>) -> HandlerFuture {
        Box::pin(self.0.clone().respond(request))
    }

    fn limits(&self) -> TransferLimits {
        self.0.limits()
    }

    fn request_id(&self) -> Option<&HeaderName> {
        Some(&self.0.forwarder.names().request_id)
    }
}
