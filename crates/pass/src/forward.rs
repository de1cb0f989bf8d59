use std::{
    fmt,
    sync::Arc,
    time::{Duration, Instant},
};

use base::{Clock, Snapshot};
use fleet::{
    Choice, ChooseError, Endpoint, EndpointQuery, EndpointTable, Route,
    RouteKind, Selection,
};
use http::Response;
use quarantine::{Quarantine, QuarantineOptions, Quarantined, SendPermit};
use tokio::time;

use crate::{
    AnswerBody, Counters, Exchange, Failure, HeaderNames, Inbound,
    LoadObserver, Offer, Pool, Refusal, ReturnTimes, RunObserver, Unobserved,
    answer::{FAILED, PassedBody, REFUSED, RequestLog, Sent},
    attempt::Dispatcher,
    request::strip_hop_by_hop,
    resume::{Continuation, ResumedBody},
};

/// Bounds of the way from a request to its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct ForwarderOptions {
    /// Requests that may wait at an endpoint beyond its slots, for streams.
    pub stream_queue: u32,
    /// The same for other requests, which are short.
    pub plain_queue: u32,
    /// Offers of one request that may come back as not run.
    pub offers_most: u32,
    /// Part of the latency objective that a request may wait for room
    /// before it is refused: one part in this many.
    pub patience_divisor: u64,
    /// Requests that may wait if their caller has come back: it has waited
    /// already, and a second refusal would be its last.
    pub return_queue: u32,
    /// When a refused caller should come back whose endpoints are not known.
    pub retry_after_ms: u64,
    /// The same at a node that knows no endpoints at all yet.
    pub start_retry_after_ms: u64,
}

impl Default for ForwarderOptions {
    /// One waiting stream starts within its objective, as slots of a full
    /// engine come free several times within it; a second one is late. A
    /// refusal within an eighth of the objective leaves the caller time for
    /// another try, and in a second a burst has often passed. A node that has
    /// just started knows its first endpoints sooner than that.
    fn default() -> Self {
        Self {
            stream_queue: 1,
            plain_queue: 10,
            offers_most: 4,
            patience_divisor: 8,
            return_queue: 12,
            retry_after_ms: 1_000,
            start_retry_after_ms: 500,
        }
    }
}

/// Finds endpoints for requests and passes their answers on.
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
    returns: ReturnTimes,
}

/// The endpoints as of a revision of the key-value service.
#[derive(Clone, Debug, Default)]
pub struct DirectoryView {
    /// The endpoints that take work; the same table as long as they are the
    /// same, so that what is made of it can be kept.
    pub table: Arc<EndpointTable>,
    /// Revision of the listing.
    pub revision: u64,
}

/// Part of the time that a caller has left after which it returns at the
/// latest: one part in this many. The rest is for being served.
const RETURN_DIVISOR: u64 = 3;

/// Pause between two looks for room.
const ROOM_PAUSE: Duration = Duration::from_millis(10);

/// Added to the last wait of a request, so that the request's own timer is
/// the first of the two.
const AFTER_THE_END: Duration = Duration::from_secs(1);

/// How long an idempotent request waits for one endpoint while it has
/// others to go to, in multiples of its latency objective.
const IDEMPOTENT_WAIT: u64 = 2;

/// How long a resumable stream waits for its first event likewise: more
/// than a full queue takes, so that load alone moves no request.
const STREAM_WAIT: u64 = 4;

impl Forwarder {
    /// Makes a forwarder that chooses among `endpoints`.
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
            clock,
            counters,
            observer: Arc::new(Unobserved),
            runs: Arc::new(Unobserved),
            quarantine,
            returns: ReturnTimes::default(),
        }
    }

    /// Sets who hears of each request that is sent.
    #[must_use]
    pub fn with_observer(mut self, observer: Arc<dyn LoadObserver>) -> Self {
        self.observer = observer;
        self
    }

    /// Sets who receives how runs end.
    #[must_use]
    pub fn with_run_observer(mut self, runs: Arc<dyn RunObserver>) -> Self {
        self.runs = runs;
        self
    }

    /// Sets which requests are held as they crash endpoints.
    #[must_use]
    pub fn with_quarantine(mut self, quarantine: Quarantine) -> Self {
        self.quarantine = quarantine;
        self
    }

    /// Sets which endpoints requests go to before all others.
    #[must_use]
    pub fn with_selection(
        mut self,
        selection: Arc<Snapshot<Selection>>,
    ) -> Self {
        self.selection = selection;
        self
    }

    /// Returns the names of the headers.
    #[inline]
    pub fn names(&self) -> &HeaderNames {
        &self.names
    }

    /// Answers a request by an endpoint, or refuses it.
    pub async fn forward(
        self: &Arc<Self>,
        request: Inbound,
        config_version: u64,
    ) -> Response<AnswerBody> {
        let request = Arc::new(request);
        let counters = self.counters.clone();
        let mut request_log =
            RequestLog::new(request.clone(), counters, config_version);
        let mut tries = Tries::new(request.resume_after());
        let ends_at = request.ends_at();
        let whole = self.run(&request, &mut request_log.sent, &mut tries);
        let result = match time::timeout_at(ends_at.into(), whole).await {
            Ok(result) => result,
            Err(_) => Err(tries.out_of_time()),
        };
        match result {
            Ok(exchange) => self.answer(exchange, request_log, tries),
            Err(refusal) => {
                request_log.head(refusal.status().as_u16());
                request_log.end(match refusal.ran() {
                    crate::Ran::No => REFUSED,
                    crate::Ran::Unknown => FAILED,
                });
                log::info!(
                    request_id = request.id(),
                    reason = refusal.reason(),
                    offers = tries.offers,
                    ran:% = refusal.ran();
                    "a request is not served"
                );
                refusal.into_response()
            }
        }
    }

    fn answer(
        self: &Arc<Self>,
        mut exchange: Exchange,
        mut request_log: RequestLog,
        tries: Tries,
    ) -> Response<AnswerBody> {
        let kind = request_log.request.route().kind();
        request_log.head(exchange.status().as_u16());
        let head = exchange.take_head();
        let resumable = kind == RouteKind::ResumableStream
            && exchange.status().is_success();
        let body = match resumable {
            true => AnswerBody::resumed(ResumedBody::new(
                self.clone(),
                exchange,
                request_log,
                tries,
            )),
            false => {
                AnswerBody::passed(PassedBody::new(exchange, request_log))
            }
        };
        let mut response = Response::new(body);
        if let Some(mut head) = head {
            strip_hop_by_hop(&mut head.headers);
            if resumable {
                head.headers.remove(http::header::CONTENT_LENGTH);
            }
            *response.status_mut() = head.status;
            *response.headers_mut() = head.headers;
        }
        response
    }

    async fn run(
        &self,
        request: &Arc<Inbound>,
        sent: &mut Sent,
        tries: &mut Tries,
    ) -> Result<Exchange, Refusal> {
        loop {
            let choice = self.find_room(request, sent, tries).await?;
            let cleared = self.clear(request).await;
            let cleared = cleared.map_err(|held| refuse_held(held, tries))?;
            let id = choice.endpoint.record().id.clone();
            sent.endpoint.clone_from(&id);
            sent.estimated_load = choice.estimated_load;
            sent.waited_ms = request.arrived().elapsed().as_millis() as u64;
            sent.offers += 1;
            if sent.offers > 1 {
                Counters::add(&self.counters.retried);
            }
            tries.begin(id);
            let offer = Offer {
                request,
                endpoint: &choice.endpoint,
                resume_after: tries.resume_after,
                wait: self.wait(request, tries),
                cleared,
            };
            match self.dispatcher().make(offer).await {
                Ok(exchange) => {
                    tries.ran();
                    if !worth_another(request.route(), &exchange, tries) {
                        return Ok(exchange);
                    }
                }
                Err(failure) => tries.note(failure, request.route())?,
            }
            if tries.offers >= self.options.offers_most {
                return Err(self.refuse(ChooseError::AllFull, request, tries));
            }
        }
    }

    /// Returns how long the head of an answer may take at one endpoint.
    fn wait(&self, request: &Inbound, tries: &Tries) -> Duration {
        let left = request.left();
        let route = request.route();
        let last = tries.used + 1 >= route.max_attempts();
        if !route.kind().is_repeatable() || last {
            // The timer of the whole request ends it, as its own outcome.
            return left + AFTER_THE_END;
        }
        let times = match route.kind().is_stream() {
            true => STREAM_WAIT,
            false => IDEMPOTENT_WAIT,
        };
        let wait = Duration::from_millis(route.target_latency_ms() * times);
        wait.min(left)
    }

    /// Refuses for want of room; the request may have run before.
    fn refuse(
        &self,
        verdict: ChooseError,
        request: &Inbound,
        tries: &Tries,
    ) -> Refusal {
        if tries.used > 0 {
            return Refusal::unknown("no other endpoint is left");
        }
        if verdict == ChooseError::NoEndpoint {
            let back_ms = match self.endpoints.load().table.is_empty() {
                true => self.options.start_retry_after_ms,
                false => self.options.retry_after_ms,
            };
            return Refusal::not_run("no endpoint is known")
                .with_retry_after_ms(back_ms);
        }
        let left_ms = request.left().as_millis() as u64;
        let back_ms = self.returns.refuse(
            self.clock.now(),
            base_spread(request.id()),
            left_ms / RETURN_DIVISOR,
        );
        Refusal::not_run("all endpoints are full").with_retry_after_ms(back_ms)
    }

    /// Waits a short while for an endpoint with room.
    async fn find_room(
        &self,
        request: &Inbound,
        sent: &mut Sent,
        tries: &Tries,
    ) -> Result<Choice, Refusal> {
        let route = request.route();
        let patience_ms =
            route.target_latency_ms() / self.options.patience_divisor;
        let until = request.arrived() + Duration::from_millis(patience_ms);
        loop {
            let verdict = match self.choose(request, sent, &tries.tried) {
                Ok(choice) => return Ok(choice),
                Err(verdict) => verdict,
            };
            if Instant::now() >= until {
                return Err(self.refuse(verdict, request, tries));
            }
            time::sleep(ROOM_PAUSE).await;
        }
    }

    fn choose(
        &self,
        request: &Inbound,
        sent: &mut Sent,
        tried: &[String],
    ) -> Result<Choice, ChooseError> {
        let route = request.route();
        let returns = request.has_waited();
        let spread = base_spread(request.id());
        let Some(service) = route.service(spread) else {
            return Err(ChooseError::NoEndpoint);
        };
        let view = self.endpoints.load();
        sent.directory_revision = view.revision;
        let need = EndpointQuery {
            service,
            failure_domain: &self.failure_domain,
            affinity: request.affinity(),
            tried,
            queue_allowance: match (route.kind().is_stream(), returns) {
                (true, false) => self.options.stream_queue,
                (true, true) => self.options.return_queue,
                (false, _) => self.options.plain_queue,
            },
        };
        let selection = self.selection.load();
        view.table.choose(&selection, &need, self.clock.now())
    }

    /// Offers a request once to one endpoint of the caller's choice.
    ///
    /// # Errors
    ///
    /// The [`Failure`], which also tells whether the request may have run.
    pub async fn offer(
        &self,
        request: &Arc<Inbound>,
        endpoint: &Endpoint,
        resume_after: Option<u64>,
        wait: Duration,
    ) -> Result<Exchange, Failure> {
        let cleared = self.clear(request).await;
        let cleared = cleared
            .map_err(|Quarantined { for_ms, .. }| Failure::Held { for_ms })?;
        let offer = Offer {
            request,
            endpoint,
            resume_after,
            wait,
            cleared,
        };
        self.dispatcher().make(offer).await
    }

    /// Lets a request pass unless it is known to crash endpoints.
    async fn clear(
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

    /// Asks another endpoint for the rest of a stream.
    pub(crate) async fn take_up(
        &self,
        request: &Arc<Inbound>,
        mut tries: Tries,
    ) -> Option<Continuation> {
        if tries.used >= request.route().max_attempts() {
            return None;
        }
        let mut sent = Sent::default();
        let result = self.run(request, &mut sent, &mut tries).await;
        let exchange = match result {
            Ok(exchange) if exchange.status().is_success() => exchange,
            Ok(_) => return None,
            Err(refusal) => {
                log::info!(
                    request_id = request.id(),
                    reason = refusal.reason();
                    "a stream is not taken up"
                );
                return None;
            }
        };
        Some(Continuation {
            exchange,
            sent,
            tries,
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

/// Refuses a request that crashes endpoints; one of them may have been lost
/// to this very request.
fn refuse_held(held: Quarantined, tries: &Tries) -> Refusal {
    const WHY: &str = "endpoints crash when they run this request";
    match tries.used {
        0 => Refusal::not_run(WHY).with_retry_after_ms(held.for_ms),
        _ => Refusal::unknown(WHY),
    }
}

/// Tells whether an error of an endpoint is better tried elsewhere.
fn worth_another(route: &Route, exchange: &Exchange, tries: &Tries) -> bool {
    exchange.status().is_server_error()
        && route.kind().is_repeatable()
        && tries.used < route.max_attempts()
}

/// What became of the offers of one request so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tries {
    tried: Vec<String>,
    offers: u32,
    used: u32,
    open: bool,
    resume_after: Option<u64>,
}

impl Tries {
    fn new(resume_after: Option<u64>) -> Self {
        Self {
            resume_after,
            ..Self::default()
        }
    }

    /// Returns the state from which a broken stream is taken up: the run
    /// that broke counts, and the stream goes on after its last event.
    pub(crate) fn after_broken_stream(&self, after: Option<u64>) -> Self {
        Self {
            resume_after: after,
            ..self.clone()
        }
    }

    fn begin(&mut self, endpoint: String) {
        self.tried.push(endpoint);
        self.offers += 1;
        self.open = true;
    }

    fn ran(&mut self) {
        self.open = false;
        self.used += 1;
    }

    /// Counts a failed offer, or ends the request where it may not be
    /// offered again.
    fn note(
        &mut self,
        failure: Failure,
        route: &Route,
    ) -> Result<(), Refusal> {
        self.open = false;
        if failure.surely_not_run() {
            return Ok(());
        }
        self.ran();
        if route.kind().is_repeatable() && self.used < route.max_attempts() {
            return Ok(());
        }
        Err(Refusal::unknown("the endpoint's answer is lost"))
    }

    fn out_of_time(&self) -> Refusal {
        match self.used > 0 || self.open {
            true => Refusal::timed_out("the time of the request is up"),
            false => Refusal::not_run("the time of the request is up"),
        }
    }
}

/// Spreads requests over the destinations of a route by their ids.
fn base_spread(id: &str) -> u64 {
    base::stable_hash(&[id])
}

impl fmt::Debug for Forwarder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Forwarder")
            .field("failure_domain", &self.failure_domain)
            .finish_non_exhaustive()
    }
}
