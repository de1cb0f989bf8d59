mod capacity;
mod fair;
mod history;
mod offers;
mod options;
mod origin;

use std::{fmt, sync::Arc, time::Duration};

use base::{Clock, Snapshot};
use execution::{Evidence, OfferedRun, PossibleRuns, Ran};
use fleet::{Endpoint, EndpointSpeed, EndpointTable, RouteKind, Selection};
use framing::Framing;
use http::Response;
use quarantine::{Quarantine, QuarantineOptions, Quarantined, SendPermit};
use tokio::time;

pub(crate) use self::history::{Holder, OfferHistory};
pub use self::options::ForwarderOptions;
use crate::{
    Counters, Exchange, Failure, FairShares, HeaderNames, Inbound,
    LoadObserver, LocalOrigins, NoopObserver, Offer, Pool, Refusal,
    ResponseBody, RetryAfterEstimator, RunObserver, StreamOrigins,
    answer::{
        ENDPOINT, FAILED, ForwardedBody, NODE, REFUSED, RequestLog, Sent,
    },
    attempt::Dispatcher,
    request::strip_hop_by_hop,
    resume::{Continuation, ResumedBody},
    unserved::Unserved,
};

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
    speed: EndpointSpeed,
    /// None if customers have no shares.
    shares: Option<Arc<FairShares>>,
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
            speed: EndpointSpeed::default(),
            shares: None,
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

    /// Limits customers to their shares while no slot is free, and serves
    /// waiting requests in the order of their urgency.
    #[must_use]
    pub fn with_fair_shares(mut self, shares: Arc<FairShares>) -> Self {
        self.shares = Some(shares);
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

    /// Sets whether the speed of endpoints is measured.
    #[must_use]
    pub fn with_endpoint_speed(mut self, speed: EndpointSpeed) -> Self {
        self.speed = speed;
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
        let mut history = OfferHistory::new(request.resume_after());
        let runs = history.possible_runs().clone();
        let mut request_log =
            RequestLog::new(request.clone(), counters, config_version, runs);
        if request.resume_after().is_some() {
            Counters::add(&self.counters.resumed_by_clients);
        }
        let ends_at = request.ends_at();
        let run = self.begin(&request, &mut request_log.sent, &mut history);
        let result = match time::timeout_at(ends_at.into(), run).await {
            Ok(result) => result,
            Err(_) => {
                Err(Unserved::out_of_time("the time of the request is up"))
            }
        };
        let runs = history.possible_runs();
        let result = match self.check_promise(&request, result, runs) {
            Ok(exchange) if !is_resumable(&request, &exchange) => {
                check_begun(exchange, runs).await
            }
            result => result,
        };
        match result {
            Ok(exchange) => self.respond(exchange, request_log, history),
            Err(refusal) => {
                let status = refusal.status().as_u16();
                request_log.record_head(status, NODE);
                request_log.set_outcome(match refusal.ran() {
                    Ran::No => REFUSED,
                    Ran::Unknown => FAILED,
                });
                log::info!(
                    request_id = request.id(),
                    reason = refusal.reason(),
                    offers = history.offers,
                    ran:% = refusal.ran(),
                    status,
                    source = NODE,
                    possible_runs = history.possible_runs().count();
                    "a request is not served"
                );
                refusal.into_response()
            }
        }
    }

    /// Returns the response or the refusal of a request, as far as its status
    /// promises no more than the copies allow that were sent.
    ///
    /// Each offer and each refusal is checked on its own; this is the last
    /// place that all responses pass.
    fn check_promise(
        &self,
        request: &Inbound,
        result: Result<Exchange, Unserved>,
        runs: &PossibleRuns,
    ) -> Result<Exchange, Refusal> {
        let result = result.map_err(|unserved| unserved.refuse(runs));
        let status = match &result {
            Ok(exchange) => exchange.status(),
            Err(refusal) => refusal.status(),
        };
        if runs.ran().status(status.as_u16()) == status.as_u16() {
            return result;
        }
        Counters::add(&self.counters.promises_withheld);
        log::warn!(
            request_id = request.id(),
            status = status.as_u16(),
            possible_runs = runs.count();
            "a promise that a request did not run is withheld"
        );
        let reason = "the request may have run";
        Err(Unserved::lost(reason, Some(status)).refuse(runs))
    }

    fn respond(
        self: &Arc<Self>,
        mut exchange: Exchange,
        mut request_log: RequestLog,
        history: OfferHistory,
    ) -> Response<ResponseBody> {
        request_log.record_head(exchange.status().as_u16(), ENDPOINT);
        request_log.connection = exchange.connection();
        request_log.framing = exchange.framing().as_str();
        if exchange.framing() == Framing::UntilClose {
            Counters::add(&self.counters.responses_until_close);
        }
        let head = exchange.take_head();
        let resumable = is_resumable(&request_log.request, &exchange);
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
        let run = PossibleRuns::default().begin();
        self.send_offer(request, endpoint, resume_after, wait, (&run, 1))
            .await
    }

    /// Offers a request once; `run` is marked before it is sent. It has a
    /// number among the offers of the request.
    async fn send_offer(
        &self,
        request: &Arc<Inbound>,
        endpoint: &Endpoint,
        resume_after: Option<u64>,
        wait: Duration,
        (run, number): (&OfferedRun, u32),
    ) -> Result<Exchange, Failure> {
        let permit = self.obtain_permit(request, endpoint).await;
        let permit = permit
            .map_err(|Quarantined { for_ms, .. }| Failure::Held { for_ms })?;
        let offer = Offer {
            request,
            endpoint,
            resume_after,
            wait,
            permit: &permit,
            run,
            number,
        };
        let outcome = self.dispatcher().dispatch(offer).await;
        if let Err(failure) = &outcome
            && failure.evidence() != Evidence::MayHaveRun
        {
            self.quarantine.withdraw(&permit);
        }
        outcome
    }

    /// Obtains a send permit, unless the request is quarantined.
    async fn obtain_permit(
        &self,
        request: &Inbound,
        endpoint: &Endpoint,
    ) -> Result<SendPermit, Quarantined> {
        let service = &endpoint.record().service;
        let keys = || request.evidence_keys(service);
        let admitted = self.quarantine.admit(keys).await;
        admitted.inspect_err(|held| {
            Counters::add(&self.counters.requests_held);
            log::info!(
                request_id = request.id(),
                digest:% = request.digest(),
                shared_parts:% = request.shared_parts(),
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
        let mut sent = Sent::default();
        let result = self.run(request, &mut sent, &mut history).await;
        let exchange = match result {
            Ok(exchange) if exchange.status().is_success() => exchange,
            Ok(exchange) => {
                log::info!(
                    request_id = request.id(),
                    reason = "the next endpoint failed",
                    status = exchange.status().as_u16();
                    "a stream was not resumed"
                );
                return None;
            }
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
            speed: self.speed,
            observer: &*self.observer,
            runs: &self.runs,
            shares: self.shares.as_ref(),
        }
    }
}

/// Reports whether a response that breaks off is resumed elsewhere.
fn is_resumable(request: &Inbound, exchange: &Exchange) -> bool {
    request.route().kind() == RouteKind::ResumableStream
        && exchange.status().is_success()
}

/// Returns a response unless its connection was lost before any byte of its
/// body: the caller gets a status then rather than a closed connection.
async fn check_begun(
    mut exchange: Exchange,
    runs: &PossibleRuns,
) -> Result<Exchange, Refusal> {
    match exchange.check_begun().await {
        Ok(()) => Ok(exchange),
        Err(error) => Err(Unserved::lost(error.as_str(), None).refuse(runs)),
    }
}

impl fmt::Debug for Forwarder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Forwarder")
            .field("failure_domain", &self.failure_domain)
            .finish_non_exhaustive()
    }
}
