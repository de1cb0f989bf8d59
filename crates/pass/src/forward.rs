use std::{
    fmt,
    sync::Arc,
    time::{Duration, Instant},
};

use base::{Clock, Snapshot};
use fleet::{
    Choice, ChooseError, Endpoint, EndpointQuery, EndpointTable, Route,
    RouteKind, Selection, VersionBinding,
};
use framing::Framing;
use http::{Response, StatusCode};
use origins::{Origin, Verdict};
use quarantine::{Quarantine, QuarantineOptions, Quarantined, SendPermit};
use tokio::time;

use crate::{
    Counters, Exchange, Failure, HeaderNames, Inbound, LoadObserver,
    LocalOrigins, NoopObserver, Offer, Pool, Refusal, ResponseBody,
    RetryAfterEstimator, RunObserver, StreamOrigins,
    answer::{FAILED, ForwardedBody, REFUSED, RequestLog, Sent},
    attempt::Dispatcher,
    request::strip_hop_by_hop,
    resume::{Continuation, ResumedBody},
};

/// Limits of request forwarding.
#[derive(Clone, Copy, Debug)]
pub struct ForwarderOptions {
    /// Streams that may queue at an endpoint beyond its slots.
    pub stream_queue: u32,
    /// Other requests, which are short, that may queue likewise.
    pub plain_queue: u32,
    /// Maximum offers of one request to endpoints, including those that
    /// ended without a run.
    pub max_offers: u32,
    /// Fraction of the latency objective that a request may wait for
    /// capacity before it is refused: one part in this many.
    pub queue_wait_divisor: u64,
    /// Requests that may queue if their client is retrying: it has already
    /// waited, and a second refusal would exhaust its deadline.
    pub retry_queue: u32,
    /// Retry delay for a refused client if no endpoint of its service is
    /// known.
    pub retry_after_ms: u64,
    /// Retry delay at a node that does not know any endpoint yet.
    pub startup_retry_after_ms: u64,
}

impl Default for ForwarderOptions {
    /// One queued stream starts within its objective, because several slots
    /// of a full engine become free within that time; a second one is late. A
    /// refusal within an eighth of the objective leaves the client time for a
    /// retry, and a burst has often passed within a second. A node that has
    /// just started learns of its first endpoints sooner than that.
    fn default() -> Self {
        Self {
            stream_queue: 1,
            plain_queue: 10,
            max_offers: 4,
            queue_wait_divisor: 8,
            retry_queue: 12,
            retry_after_ms: 1_000,
            startup_retry_after_ms: 500,
        }
    }
}

/// Selects endpoints for requests and forwards their responses.
pub struct Forwarder {
    names: HeaderNames,
    options: ForwarderOptions,
    failure_domain: String,
    endpoints: Arc<Snapshot<DirectoryView>>,
    selection: Arc<Snapshot<Selection>>,
    pool: Arc<Pool>,
    clock: Arc<dyn Clock>,
    counters: Arc<Counters>,
    observer: Arc<dyn LoadObserver>,
    runs: Arc<dyn RunObserver>,
    quarantine: Quarantine,
    origins: Arc<dyn StreamOrigins>,
    retry_estimator: RetryAfterEstimator,
}

/// The endpoints as of a revision of the key-value service.
#[derive(Clone, Debug, Default)]
pub struct DirectoryView {
    /// The endpoints that accept work. The table is shared until the
    /// endpoints change, so that values derived from it can be cached.
    pub table: Arc<EndpointTable>,
    /// Revision of the listing.
    pub revision: u64,
}

/// Fraction of the remaining time of a client after which it retries at the
/// latest: one part in this many. The remainder is for serving the request.
const RETRY_DELAY_DIVISOR: u64 = 3;

/// Retry delay for a client whose stream's origin could not be found, in
/// milliseconds; the retry usually reaches another node.
const ORIGIN_RETRY_MS: u64 = 200;

/// Interval between two checks for free capacity.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Added to the timeout of the last offer, so that the timer of the whole
/// request fires first.
const LAST_ATTEMPT_MARGIN: Duration = Duration::from_secs(1);

/// Timeout of one offer of an idempotent request that has other endpoints
/// left, in multiples of its latency objective.
const IDEMPOTENT_WAIT_TARGETS: u64 = 2;

/// Timeout for the first event of a resumable stream, in multiples of its
/// latency objective: longer than a full queue takes, so that load alone
/// does not move a request.
const STREAM_WAIT_TARGETS: u64 = 4;

impl Forwarder {
    /// Creates a forwarder that selects among `endpoints`.
    pub fn new(
        names: HeaderNames,
        options: ForwarderOptions,
        failure_domain: &str,
        endpoints: Arc<Snapshot<DirectoryView>>,
        pool: Arc<Pool>,
        clock: Arc<dyn Clock>,
        counters: Arc<Counters>,
    ) -> Self {
        let quarantine =
            Quarantine::local(clock.clone(), QuarantineOptions::default());
        Self {
            names,
            options,
            failure_domain: failure_domain.to_owned(),
            endpoints,
            selection: Arc::new(Snapshot::new(Selection::default())),
            pool,
            origins: Arc::new(LocalOrigins::new(clock.clone())),
            clock,
            counters,
            observer: Arc::new(NoopObserver),
            runs: Arc::new(NoopObserver),
            quarantine,
            retry_estimator: RetryAfterEstimator::default(),
        }
    }

    /// Sets the observer of each request that is sent.
    #[must_use]
    pub fn with_observer(mut self, observer: Arc<dyn LoadObserver>) -> Self {
        self.observer = observer;
        self
    }

    /// Sets the observer of the outcomes of runs.
    #[must_use]
    pub fn with_run_observer(mut self, runs: Arc<dyn RunObserver>) -> Self {
        self.runs = runs;
        self
    }

    /// Sets the quarantine that holds back poison requests.
    #[must_use]
    pub fn with_quarantine(mut self, quarantine: Quarantine) -> Self {
        self.quarantine = quarantine;
        self
    }

    /// Sets where the origins of streams are stored.
    #[must_use]
    pub fn with_origins(mut self, origins: Arc<dyn StreamOrigins>) -> Self {
        self.origins = origins;
        self
    }

    /// Sets the endpoints that requests prefer.
    #[must_use]
    pub fn with_selection(
        mut self,
        selection: Arc<Snapshot<Selection>>,
    ) -> Self {
        self.selection = selection;
        self
    }

    /// Returns the header names.
    #[inline]
    pub fn names(&self) -> &HeaderNames {
        &self.names
    }

    /// Forwards a request to an endpoint, or refuses it.
    pub async fn forward(
        self: &Arc<Self>,
        request: Inbound,
        config_version: u64,
    ) -> Response<ResponseBody> {
        let request = Arc::new(request);
        let counters = self.counters.clone();
        let mut request_log =
            RequestLog::new(request.clone(), counters, config_version);
        if request.resume_after().is_some() {
            Counters::add(&self.counters.resumed_by_clients);
        }
        let mut history = OfferHistory::new(request.resume_after());
        let ends_at = request.ends_at();
        let run = self.begin(&request, &mut request_log.sent, &mut history);
        let result = match time::timeout_at(ends_at.into(), run).await {
            Ok(result) => result,
            Err(_) => Err(history.timeout_refusal()),
        };
        match result {
            Ok(exchange) => self.respond(exchange, request_log, history),
            Err(refusal) => {
                request_log.record_head(refusal.status().as_u16());
                request_log.set_outcome(match refusal.ran() {
                    crate::Ran::No => REFUSED,
                    crate::Ran::Unknown => FAILED,
                });
                log::info!(
                    request_id = request.id(),
                    reason = refusal.reason(),
                    offers = history.offers,
                    ran:% = refusal.ran();
                    "a request is not served"
                );
                refusal.into_response()
            }
        }
    }

    fn respond(
        self: &Arc<Self>,
        mut exchange: Exchange,
        mut request_log: RequestLog,
        history: OfferHistory,
    ) -> Response<ResponseBody> {
        let kind = request_log.request.route().kind();
        request_log.record_head(exchange.status().as_u16());
        request_log.framing = exchange.framing().as_str();
        if exchange.framing() == Framing::UntilClose {
            Counters::add(&self.counters.responses_until_close);
        }
        let head = exchange.take_head();
        let resumable = kind == RouteKind::ResumableStream
            && exchange.status().is_success();
        let has_length = !resumable && exchange.exact_length().is_some();
        let body = match resumable {
            true => ResponseBody::resumed(ResumedBody::new(
                self.clone(),
                exchange,
                request_log,
                history,
            )),
            false => ResponseBody::forwarded(ForwardedBody::new(
                exchange,
                request_log,
            )),
        };
        let mut response = Response::new(body);
        if let Some(mut head) = head {
            strip_hop_by_hop(&mut head.headers);
            if !has_length {
                head.headers.remove(http::header::CONTENT_LENGTH);
            }
            *response.status_mut() = head.status;
            *response.headers_mut() = head.headers;
        }
        response
    }

    /// Runs a request of a client, after the origin of the stream that it
    /// resumes is known.
    async fn begin(
        &self,
        request: &Arc<Inbound>,
        sent: &mut Sent,
        history: &mut OfferHistory,
    ) -> Result<Exchange, Refusal> {
        if request.route().kind().is_stream() && request.is_resume_malformed()
        {
            return Err(Refusal::rejected(
                StatusCode::BAD_REQUEST,
                "the id of the last event is not a number",
            ));
        }
        if request.resumes_stream() {
            history.binding = Some(self.find_origin(request).await?);
        }
        self.run(request, sent, history).await
    }

    /// Finds the version that began the stream that a client resumes.
    async fn find_origin(
        &self,
        request: &Inbound,
    ) -> Result<Arc<VersionBinding>, Refusal> {
        let asked_at = Instant::now();
        let verdict = self.origins.find(request.resumed_key()).await;
        self.counters.origin_find_ms.record(asked_at.elapsed());
        log::info!(
            request_id = request.id(),
            resumes = request.resumes().unwrap_or_default(),
            resume_after = request.resume_after().unwrap_or(0),
            verdict:? = verdict,
            took_ms = asked_at.elapsed().as_millis() as u64;
            "the origin of a stream was looked up"
        );
        match verdict {
            Verdict::Known(binding) => {
                Counters::add(&self.counters.origins_found);
                self.check_service(request, binding)
            }
            Verdict::Unknown => {
                Counters::add(&self.counters.origins_unknown);
                Err(Refusal::not_run(
                    "the version that began the stream is not known",
                ))
            }
            Verdict::Unreachable => {
                Counters::add(&self.counters.origins_unreachable);
                let refusal = Refusal::not_run(
                    "the version that began the stream cannot be found now",
                );
                Err(refusal.with_retry_after_ms(ORIGIN_RETRY_MS))
            }
        }
    }

    /// Checks that the configuration in force allows a stream to go on at the
    /// service that began it.
    fn check_service(
        &self,
        request: &Inbound,
        binding: Arc<VersionBinding>,
    ) -> Result<Arc<VersionBinding>, Refusal> {
        let mut destinations = request.route().destinations().iter();
        let is_allowed = destinations
            .any(|d| d.service == binding.service() && d.weight > 0);
        match is_allowed {
            true => Ok(binding),
            false => Err(Refusal::not_run(
                "the route no longer leads to the service of the stream",
            )),
        }
    }

    /// Stores the origin of the stream that a request begins.
    pub(crate) fn record_origin(&self, request: &Inbound, origin: Origin) {
        Counters::add(&self.counters.origins_recorded);
        let lifetime_ms = request.origin_lifetime_ms();
        self.origins
            .record(request.stream_keys(), origin, lifetime_ms);
    }

    async fn run(
        &self,
        request: &Arc<Inbound>,
        sent: &mut Sent,
        history: &mut OfferHistory,
    ) -> Result<Exchange, Refusal> {
        loop {
            let choice =
                self.wait_for_capacity(request, sent, history).await?;
            let permit = self.obtain_permit(request).await;
            let permit =
                permit.map_err(|held| refuse_quarantined(held, history))?;
            let id = choice.endpoint.record().id.clone();
            sent.endpoint.clone_from(&id);
            choice.endpoint.version_text().clone_into(&mut sent.version);
            sent.estimated_load = choice.estimated_load;
            sent.waited_ms = request.arrived().elapsed().as_millis() as u64;
            sent.offers += 1;
            if sent.offers > 1 {
                Counters::add(&self.counters.retried);
            }
            history.begin_offer(id);
            let offer = Offer {
                request,
                endpoint: &choice.endpoint,
                resume_after: history.resume_after,
                wait: self.offer_timeout(request, history),
                permit,
            };
            match self.dispatcher().dispatch(offer).await {
                Ok(exchange) => {
                    history.record_run();
                    if !should_retry(request.route(), &exchange, history) {
                        return Ok(exchange);
                    }
                }
                Err(failure) => history.record(failure, request.route())?,
            }
            if history.offers >= self.options.max_offers {
                return Err(self.refuse(
                    ChooseError::AllFull,
                    request,
                    history,
                ));
            }
        }
    }

    /// Returns the timeout for the response head at one endpoint.
    fn offer_timeout(
        &self,
        request: &Inbound,
        history: &OfferHistory,
    ) -> Duration {
        let remaining = request.remaining();
        let route = request.route();
        let is_last = history.possible_runs + 1 >= route.max_attempts();
        if !route.kind().is_repeatable() || is_last {
            // The timer of the whole request ends it with its own outcome.
            return remaining + LAST_ATTEMPT_MARGIN;
        }
        let times = match route.kind().is_stream() {
            true => STREAM_WAIT_TARGETS,
            false => IDEMPOTENT_WAIT_TARGETS,
        };
        let wait = Duration::from_millis(route.target_latency_ms() * times);
        wait.min(remaining)
    }

    /// Refuses a request for lack of capacity; it may have run before.
    fn refuse(
        &self,
        verdict: ChooseError,
        request: &Inbound,
        history: &OfferHistory,
    ) -> Refusal {
        if history.possible_runs > 0 {
            return Refusal::unknown("no other endpoint is left");
        }
        if self.is_version_gone(verdict, history) {
            return Refusal::not_run(
                "no endpoint runs the version that began the stream",
            );
        }
        if verdict == ChooseError::NoEndpoint {
            let retry_after_ms = match self.endpoints.load().table.is_empty() {
                true => self.options.startup_retry_after_ms,
                false => self.options.retry_after_ms,
            };
            return Refusal::not_run("no endpoint is known")
                .with_retry_after_ms(retry_after_ms);
        }
        let remaining_ms = request.remaining().as_millis() as u64;
        let retry_after_ms = self.retry_estimator.record_refusal(
            self.clock.now(),
            spread_hash(request.id()),
            remaining_ms / RETRY_DELAY_DIVISOR,
        );
        Refusal::not_run("all endpoints are full")
            .with_retry_after_ms(retry_after_ms)
    }

    /// Reports whether no endpoint runs the version of a stream. A node that
    /// knows no endpoint at all has just started and cannot tell.
    fn is_version_gone(
        &self,
        verdict: ChooseError,
        history: &OfferHistory,
    ) -> bool {
        verdict == ChooseError::NoEndpoint
            && history.binding.is_some()
            && !self.endpoints.load().table.is_empty()
    }

    /// Waits a short time for an endpoint with free capacity.
    async fn wait_for_capacity(
        &self,
        request: &Inbound,
        sent: &mut Sent,
        history: &OfferHistory,
    ) -> Result<Choice, Refusal> {
        let route = request.route();
        let max_wait_ms =
            route.target_latency_ms() / self.options.queue_wait_divisor;
        let max_wait = Duration::from_millis(max_wait_ms);
        let give_up_at = match &history.binding {
            // A refusal ends the stream for good. Its client accepts pauses.
            Some(_) => {
                let pause = Duration::from_millis(route.gap_target_ms());
                Instant::now() + pause.max(max_wait)
            }
            None => request.arrived() + max_wait,
        };
        loop {
            let verdict = match self.choose(request, sent, history) {
                Ok(choice) => return Ok(choice),
                Err(verdict) => verdict,
            };
            let is_final = self.is_version_gone(verdict, history);
            if is_final || Instant::now() >= give_up_at {
                return Err(self.refuse(verdict, request, history));
            }
            time::sleep(CAPACITY_POLL_INTERVAL).await;
        }
    }

    fn choose(
        &self,
        request: &Inbound,
        sent: &mut Sent,
        history: &OfferHistory,
    ) -> Result<Choice, ChooseError> {
        let route = request.route();
        let binding = history.binding.as_deref();
        let can_queue = request.has_waited() || binding.is_some();
        let spread = spread_hash(request.id());
        let service = match binding {
            Some(binding) => Some(binding.service()),
            None => route.service(spread),
        };
        let Some(service) = service else {
            return Err(ChooseError::NoEndpoint);
        };
        let view = self.endpoints.load();
        sent.directory_revision = view.revision;
        let need = EndpointQuery {
            service,
            failure_domain: &self.failure_domain,
            affinity: request.affinity(),
            tried: &history.tried,
            binding,
            queue_allowance: match (route.kind().is_stream(), can_queue) {
                (true, false) => self.options.stream_queue,
                (true, true) => self.options.retry_queue,
                (false, _) => self.options.plain_queue,
            },
        };
        let selection = self.selection.load();
        view.table.choose(&selection, &need, self.clock.now())
    }

    /// Offers a request once to an endpoint that the caller has selected.
    ///
    /// # Errors
    ///
    /// The [`Failure`], which also shows whether the request may have run.
    pub async fn offer(
        &self,
        request: &Arc<Inbound>,
        endpoint: &Endpoint,
        resume_after: Option<u64>,
        wait: Duration,
    ) -> Result<Exchange, Failure> {
        let permit = self.obtain_permit(request).await;
        let permit = permit
            .map_err(|Quarantined { for_ms, .. }| Failure::Held { for_ms })?;
        let offer = Offer {
            request,
            endpoint,
            resume_after,
            wait,
            permit,
        };
        self.dispatcher().dispatch(offer).await
    }

    /// Obtains a send permit, unless the request is quarantined.
    async fn obtain_permit(
        &self,
        request: &Inbound,
    ) -> Result<SendPermit, Quarantined> {
        let admitted = self.quarantine.admit(|| request.evidence_keys()).await;
        admitted.inspect_err(|held| {
            Counters::add(&self.counters.requests_held);
            log::info!(
                request_id = request.id(),
                digest:% = request.digest(),
                crashes = held.crashes,
                for_ms = held.for_ms;
                "a request is held"
            );
        })
    }

    /// Requests the remainder of a stream from another endpoint.
    pub(crate) async fn resume_stream(
        &self,
        request: &Arc<Inbound>,
        mut history: OfferHistory,
    ) -> Option<Continuation> {
        if history.possible_runs >= request.route().max_attempts() {
            return None;
        }
        let mut sent = Sent::default();
        let result = self.run(request, &mut sent, &mut history).await;
        let exchange = match result {
            Ok(exchange) if exchange.status().is_success() => exchange,
            Ok(_) => return None,
            Err(refusal) => {
                log::info!(
                    request_id = request.id(),
                    reason = refusal.reason();
                    "a stream was not resumed"
                );
                return None;
            }
        };
        Some(Continuation {
            exchange,
            sent,
            history,
        })
    }

    fn dispatcher(&self) -> Dispatcher<'_> {
        Dispatcher {
            names: &self.names,
            pool: &self.pool,
            clock: &*self.clock,
            counters: &self.counters,
            observer: &*self.observer,
            runs: &self.runs,
        }
    }
}

/// Refuses a poison request. An earlier offer of this request may itself have
/// run at an endpoint that crashed.
fn refuse_quarantined(held: Quarantined, history: &OfferHistory) -> Refusal {
    const REASON: &str = "endpoints crash when they run this request";
    match history.possible_runs {
        0 => Refusal::not_run(REASON).with_retry_after_ms(held.for_ms),
        _ => Refusal::unknown(REASON),
    }
}

/// Returns whether another endpoint should be tried after an error response.
fn should_retry(
    route: &Route,
    exchange: &Exchange,
    history: &OfferHistory,
) -> bool {
    exchange.status().is_server_error()
        && route.kind().is_repeatable()
        && history.possible_runs < route.max_attempts()
}

/// The offers of one request so far and their outcomes.
#[derive(Clone, Debug, Default)]
pub(crate) struct OfferHistory {
    /// Ids of the endpoints that got an offer.
    tried: Vec<String>,
    offers: u32,
    /// Offers that ran or may have run.
    possible_runs: u32,
    in_progress: bool,
    resume_after: Option<u64>,
    /// The service and version that generated the events that the client has;
    /// none before the first event.
    binding: Option<Arc<VersionBinding>>,
}

impl OfferHistory {
    fn new(resume_after: Option<u64>) -> Self {
        Self {
            resume_after,
            ..Self::default()
        }
    }

    /// Returns the state from which an interrupted stream resumes: the
    /// interrupted run counts, and the stream continues after its last event.
    pub(crate) fn after_broken_stream(
        &self,
        after: Option<u64>,
        binding: Option<Arc<VersionBinding>>,
    ) -> Self {
        Self {
            resume_after: after,
            binding,
            ..self.clone()
        }
    }

    /// Returns the service and version of the events that the client has.
    pub(crate) fn binding(&self) -> Option<&Arc<VersionBinding>> {
        self.binding.as_ref()
    }

    fn begin_offer(&mut self, endpoint: String) {
        self.tried.push(endpoint);
        self.offers += 1;
        self.in_progress = true;
    }

    fn record_run(&mut self) {
        self.in_progress = false;
        self.possible_runs += 1;
    }

    /// Counts a failed offer, or ends the request if it must not be
    /// retried.
    fn record(
        &mut self,
        failure: Failure,
        route: &Route,
    ) -> Result<(), Refusal> {
        self.in_progress = false;
        if failure.is_known_not_run() {
            return Ok(());
        }
        self.record_run();
        if route.kind().is_repeatable()
            && self.possible_runs < route.max_attempts()
        {
            return Ok(());
        }
        Err(Refusal::unknown("the endpoint's answer is lost"))
    }

    fn timeout_refusal(&self) -> Refusal {
        match self.possible_runs > 0 || self.in_progress {
            true => Refusal::timed_out("the time of the request is up"),
            false => Refusal::not_run("the time of the request is up"),
        }
    }
}

/// Distributes requests over the destinations of a route by their ids.
fn spread_hash(id: &str) -> u64 {
    base::stable_hash(&[id])
}

impl fmt::Debug for Forwarder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Forwarder")
            .field("failure_domain", &self.failure_domain)
            .finish_non_exhaustive()
    }
}
