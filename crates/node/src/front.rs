use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use access::{Admitted, Arrived, Denied, Identified};
use base::Customer;
use budget::{BodyPace, MemoryBudget, MemoryOptions, Reservation};
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use fleet::{Config, MAX_REQUEST_MS, Route, RouteKind, TransferLimits};
use http::{
    HeaderName, HeaderValue, Request, Response, StatusCode, header,
    request::Parts,
};
use hyper::body::Incoming;
use jobs::{
    JobError, JobKey, JobView, Ledger, ManifestSource, NewJob, PageReader,
    ReportedBacklogs,
};
use limits::LimitDecision;
use pass::{
    BodyTerms, Counters, CustomerOutcome, Forwarder, Handler, HandlerFuture,
    Inbound, Listener, ListenerOptions, ReceivedBody, Refusal, ResponseBody,
    ShutdownPhase, deadline_ms, receive_body,
};
use share::TermsTable;
use tokio::{sync::watch, time};

use crate::{
    ClusterState, Dialect, JobCall, NodeContext, NodeError, NodeSettings,
    Signals,
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

/// Fraction (1/n) of a job's target latency after which workers are asked to
/// spool the job if the key-value service has not responded. The remainder is
/// enough for two workers, one after the other.
const LEDGER_WAIT_DIVISOR: u64 = 4;

/// Size of the buffers of callers' sockets.
const SOCKET_BUFFER_BYTES: u32 = 32 * 1024;

/// Copies of a job's body that exist at the same time while the job is stored:
/// the body or its decoded items, twice, the values of the key-value service,
/// also in the cache, and the text of the call that writes them.
const JOB_COPIES: u64 = 8;

/// Memory for a page of results until its size is known.
const PAGE_BYTES: u64 = 64 * 1024;

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

    async fn accept_job(
        &self,
        parts: &Parts,
        received: ReceivedBody,
        accepted_by: AcceptedBy<'_>,
    ) -> Response<ResponseBody> {
        let ReceivedBody { bytes, reservation } = received;
        let customer = accepted_by.customer.clone();
        let name = customer.as_ref().map_or("", Customer::as_str);
        let target_latency_ms = accepted_by.route.target_latency_ms();
        let config = accepted_by.config_version;
        let new_job = match self.new_job(parts, &bytes, accepted_by) {
            Ok(new_job) => new_job,
            Err(refusal) => return self.refuse(parts, name, refusal),
        };
        drop(bytes);
        let (key, items) = (new_job.key.clone(), new_job.items.len());
        let owner = new_job.owner.clone();
        let ledger_wait_ms = target_latency_ms / LEDGER_WAIT_DIVISOR;
        let accepted =
            self.intake.accept(new_job, ledger_wait_ms, reservation);
        match accepted.await {
            Ok(accepted) => {
                Counters::add(&self.counters.jobs_accepted);
                log::info!(
                    request_id = key.as_str(),
                    items,
                    owner = owner.as_str(),
                    config,
                    accepted:?;
                    "a job is accepted"
                );
                json(StatusCode::ACCEPTED, b"{}".to_vec())
            }
            Err(failure) => {
                let report = failure.report;
                let ledger = failure.ledger.map(|error| error.to_string());
                let refusal = refusal_for(*report.current_context());
                log::info!(
                    request_id = key.as_str(),
                    error:? = report,
                    status = refusal.status().as_u16(),
                    ran = failure.ran.as_str(),
                    ledger = ledger.as_deref().unwrap_or_default(),
                    workers:% = failure.workers;
                    "cannot accept a job"
                );
                self.refuse(parts, name, refusal)
            }
        }
    }

    fn new_job(
        &self,
        parts: &Parts,
        body: &[u8],
        accepted_by: AcceptedBy<'_>,
    ) -> Result<NewJob, Refusal> {
        let id = self.request_id(parts);
        let key: JobKey = id.parse().map_err(|_| {
            Refusal::rejected(
                StatusCode::BAD_REQUEST,
                "the id cannot name a job",
            )
        })?;
        let mut items = self.dialect.decode_items(body).map_err(|error| {
            log::info!(request_id = id, error:%; "a job is malformed");
            Refusal::rejected(StatusCode::BAD_REQUEST, "the job is malformed")
        })?;
        for item in &mut items {
            item.config_version = Some(accepted_by.config_version);
        }
        let host = parts.headers.get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok());
        let members = self.view.members();
        let now = self.cluster.clock().now();
        let count = items.len() as u32;
        let owner = self.backlogs.choose(&key, count, &members, now);
        Ok(NewJob {
            key,
            owner: owner.unwrap_or_default(),
            host: host.unwrap_or_default().to_owned(),
            path: parts.uri.path().to_owned(),
            submitted_at: self.cluster.clock().unix(),
            terms: accepted_by.route.batch(),
            customer: accepted_by.customer,
            items,
        })
    }

    async fn job_call(
        &self,
        call: JobCall,
        customer: Option<&Customer>,
    ) -> Response<ResponseBody> {
        let spools = self.unknown_jobs.spools();
        let (job, result) = match call {
            JobCall::Results {
                job,
                after,
                wait_ms,
            } => {
                let page = self.pages.page(&job, customer, after, wait_ms);
                let page = page.await.and_then(|page| {
                    let reservation = self.reserve(PAGE_BYTES)?;
                    let bytes = self.dialect.encode_page(&page);
                    reserve_all(&reservation, bytes.len() as u64)?;
                    Ok(json(StatusCode::OK, bytes)
                        .map(|body| body.with_reservation(reservation)))
                });
                (job, page)
            }
            JobCall::Body { job, item } => {
                let body = self.item_body(&job, customer, &item).await;
                let body = body.map(|(body, reservation)| {
                    let body = ResponseBody::from_bytes(Bytes::from(body));
                    Response::new(body.with_reservation(reservation))
                });
                (job, body)
            }
            JobCall::Cancel { job } => {
                let cancelled = self.ledger.cancel(&job, customer).await;
                log::info!(request_id = job.as_str(), done = cancelled.is_ok();
                    "job cancellation requested");
                let cancelled =
                    cancelled.map(|()| json(StatusCode::OK, b"{}".to_vec()));
                (job, cancelled)
            }
        };
        let report = match result {
            Ok(response) => return response,
            Err(report) => report,
        };
        let error = *report.current_context();
        let refusal = match error {
            JobError::UnknownItem => unknown("there is no such item"),
            JobError::Unknown
                if self.unknown_jobs.is_nonexistent(&job, spools).await =>
            {
                unknown("there is no such job")
            }
            JobError::OutcomeUnknown => {
                Refusal::unknown("whether the job is ended is not known")
            }
            _ => Refusal::not_run("the job cannot be read now")
                .with_retry_after_ms(UNAVAILABLE_RETRY_MS),
        };
        log::info!(
            request_id = job.as_str(),
            error:%,
            status = refusal.status().as_u16(),
            view_age_ms = self.view.age_ms(self.cluster.clock().now());
            "job call failed"
        );
        refusal.into_response()
    }

    async fn item_body(
        &self,
        job: &JobKey,
        customer: Option<&Customer>,
        item: &str,
    ) -> Result<(Vec<u8>, Reservation), Report<JobError>> {
        // The number of inputs never changes, so a manifest of any age works.
        let known = self.manifests.read(job, None, 0).await;
        let known = known.map(|known| known.stored);
        let visible =
            known.filter(|known| known.manifest.is_visible_to(customer));
        let stored = match visible {
            Some(stored) => stored,
            None => self.ledger.read_for(job, customer).await?,
        };
        let chunks = u64::from(stored.manifest.input_chunks);
        let inputs_bytes = chunks * self.value_bytes as u64;
        let reservation = self.reserve(inputs_bytes)?;
        let inputs = self.ledger.inputs(job, &stored.manifest).await?;
        let input = inputs.into_iter().find(|input| input.id == item);
        let body = input
            .map(|input| input.body)
            .ok_or_else(|| Report::new(JobError::UnknownItem))?;
        reservation.shrink_to(body.len() as u64);
        Ok((body, reservation))
    }

    fn reserve(&self, bytes: u64) -> Result<Reservation, Report<JobError>> {
        let reservation = self.memory.reserve(bytes);
        reservation.change_context(JobError::NotDone)
    }
}

/// The route, the configuration and the customer by which a job is accepted.
struct AcceptedBy<'a> {
    route: &'a Route,
    config_version: u64,
    customer: Option<Customer>,
}

/// Returns when the response to a job that is submitted now is due.
fn job_end(route: &Route) -> Option<Instant> {
    let wait = Duration::from_millis(route.target_latency_ms());
    (route.kind() == RouteKind::Batch).then(|| Instant::now() + wait)
}

fn reserve_all(
    reservation: &Reservation,
    bytes: u64,
) -> Result<(), Report<JobError>> {
    reservation.grow_to(bytes).change_context(JobError::NotDone)
}

fn unknown(reason: &'static str) -> Refusal {
    Refusal::rejected(StatusCode::NOT_FOUND, reason)
}

fn refusal_for(error: JobError) -> Refusal {
    match error {
        JobError::TooLarge => Refusal::rejected(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the job is too large",
        ),
        JobError::Conflict => {
            Refusal::rejected(StatusCode::CONFLICT, "the id names another job")
        }
        JobError::OutcomeUnknown => {
            Refusal::unknown("whether the job is kept is not known")
        }
        _ => Refusal::not_run("the job cannot be kept now")
            .with_retry_after_ms(UNAVAILABLE_RETRY_MS),
    }
}

fn json(status: StatusCode, body: Vec<u8>) -> Response<ResponseBody> {
    let mut response =
        Response::new(ResponseBody::from_bytes(Bytes::from(body)));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
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
