use std::{io, sync::Arc, time::Duration};

use base::{Clock, Millis};
use execution::{Evidence, OfferedRun};
use fleet::{Endpoint, EndpointSpeed, FailureKind, LoadReport};
use http::{HeaderMap, StatusCode, header, response::Parts};
use quarantine::SendPermit;
use tokio::time;

use crate::{
    Counters, Exchange, FairShares, HeaderNames, Inbound, LoadObserver, Pool,
    Run, RunObserver,
    cause::connection_failure,
    channel::{Channel, closes_connection},
    connection_use::CurrentConnection,
    stream_timer::StreamTimer,
};

/// The reason why an offer of a request to an endpoint failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The connection could not be established.
    Connect,
    /// The connection closed before the request was written.
    NotSent,
    /// The endpoint reported that it did not run the request.
    NotExecuted(StatusCode),
    /// The status and the statement of the endpoint contradict each other:
    /// the status promises that the request did not run, and the endpoint
    /// does not state so; or it states so with a success.
    UnprovenRefusal(StatusCode),
    /// The connection broke after the request was written.
    Broken,
    /// No response arrived within the timeout of the offer.
    Silent,
    /// The response belongs to another request.
    WrongId,
    /// The response does not come from the endpoint itself: it has no seal
    /// or is encoded.
    NotSealed(StatusCode),
    /// The request was not sent because it is quarantined as a poison
    /// request.
    Held {
        /// Time until it may be retried, in milliseconds.
        for_ms: u64,
    },
}

impl Failure {
    /// Returns what the failure shows of the copy that was offered.
    ///
    /// # Example
    ///
    /// ```
    /// use execution::Evidence;
    /// use pomeloslip_pass::Failure;
    ///
    /// assert_eq!(Failure::Connect.evidence(), Evidence::NotSent);
    /// assert_eq!(Failure::Broken.evidence(), Evidence::MayHaveRun);
    /// ```
    pub fn evidence(self) -> Evidence {
        match self {
            Failure::Connect | Failure::NotSent => Evidence::NotSent,
            Failure::Held { .. } => Evidence::NotSent,
            Failure::NotExecuted(_) => Evidence::Declined,
            Failure::UnprovenRefusal(_) => Evidence::MayHaveRun,
            Failure::Broken | Failure::Silent => Evidence::MayHaveRun,
            Failure::WrongId | Failure::NotSealed(_) => Evidence::MayHaveRun,
        }
    }

    /// Returns the status of the endpoint's response to the request, if there
    /// is one.
    ///
    /// # Example
    ///
    /// ```
    /// use http::StatusCode;
    /// use pomeloslip_pass::Failure;
    ///
    /// let failure = Failure::NotExecuted(StatusCode::TOO_MANY_REQUESTS);
    /// assert_eq!(failure.status(), Some(StatusCode::TOO_MANY_REQUESTS));
    /// assert_eq!(Failure::Broken.status(), None);
    /// ```
    pub fn status(self) -> Option<StatusCode> {
        match self {
            Failure::NotExecuted(status)
            | Failure::UnprovenRefusal(status)
            | Failure::NotSealed(status) => Some(status),
            _ => None,
        }
    }

    fn failure_kind(self) -> FailureKind {
        match self {
            Failure::Connect => FailureKind::Unreachable,
            Failure::Silent => FailureKind::Silent,
            Failure::NotExecuted(_) => FailureKind::Full,
            Failure::UnprovenRefusal(
                StatusCode::TOO_MANY_REQUESTS
                | StatusCode::SERVICE_UNAVAILABLE,
            ) => FailureKind::Full,
            _ => FailureKind::BadResponse,
        }
    }
}

/// An offer of a request to one endpoint, which may decline to run it.
pub struct Offer<'a> {
    /// The request.
    pub request: &'a Arc<Inbound>,
    /// The endpoint.
    pub endpoint: &'a Endpoint,
    /// Id of the last event that the client has received.
    pub resume_after: Option<u64>,
    /// Maximum time until the response head arrives.
    pub wait: Duration,
    /// Permit of the quarantine to send the request.
    pub permit: &'a SendPermit,
    /// Is marked before the request is sent.
    pub run: &'a OfferedRun,
    /// Number of the offer among those of the request, from 1.
    pub number: u32,
}

/// A failure before the response head, with its cause as text for logs.
#[derive(Clone, Copy)]
struct SendError {
    failure: Failure,
    cause: &'static str,
}

impl SendError {
    fn new(failure: Failure, cause: &'static str) -> Self {
        Self { failure, cause }
    }
}

/// A response whose head has arrived, and its connection.
type Answered = (Channel, http::Response<hyper::body::Incoming>);

/// The dependencies of an offer besides the request.
pub(crate) struct Dispatcher<'a> {
    pub(crate) names: &'a HeaderNames,
    pub(crate) pool: &'a Arc<Pool>,
    pub(crate) clock: &'a dyn Clock,
    pub(crate) counters: &'a Arc<Counters>,
    pub(crate) speed: EndpointSpeed,
    pub(crate) observer: &'a dyn LoadObserver,
    pub(crate) runs: &'a Arc<dyn RunObserver>,
    pub(crate) shares: Option<&'a Arc<FairShares>>,
}

impl Dispatcher<'_> {
    /// Sends the request and returns once the response head has arrived.
    pub(crate) async fn dispatch(
        &self,
        offer: Offer<'_>,
    ) -> Result<Exchange, Failure> {
        let endpoint = offer.endpoint.clone();
        endpoint.begin_request();
        self.observer.request_started(&endpoint);
        let mut run = Run::begin(
            offer.request.clone(),
            endpoint.clone(),
            offer.resume_after,
            self.runs.clone(),
        );
        if let Some(shares) = self.shares {
            let service = &endpoint.record().service;
            let customer = offer.request.admitted_customer();
            run.hold(shares.use_slot(service, customer));
        }
        let in_flight = InFlightGuard(Some(endpoint));
        let current = CurrentConnection::default();
        let sending = self.send(&offer, &current);
        let result = time::timeout(offer.wait, sending).await;
        run.set_connection(current.get());
        let silent = SendError::new(Failure::Silent, "no answer in time");
        let result = result.unwrap_or(Err(silent));
        match result {
            Ok((channel, response)) => self
                .evaluate_response(&offer, in_flight, run, channel, response),
            Err(SendError { failure, cause }) => {
                self.record_failure(&offer, &run, failure, cause);
                if failure == Failure::Broken {
                    run.mark_interrupted("", cause);
                }
                Err(failure)
            }
        }
    }

    async fn send(
        &self,
        offer: &Offer<'_>,
        current: &CurrentConnection,
    ) -> Result<Answered, SendError> {
        // An idle connection may close just as it is reused. The request was
        // not written then, and a new connection is opened immediately.
        let id = offer.request.id();
        if let Some(channel) = self.pool.take_for(offer.endpoint, id) {
            match self.send_on(channel, offer, current).await {
                Err(error) if error.failure == Failure::NotSent => {}
                result => return result,
            }
        }
        Counters::add(&self.counters.connections_opened);
        let channel = self.pool.open(offer.endpoint).await;
        let channel = channel.map_err(|error| {
            SendError::new(Failure::Connect, connect_failure(&error))
        })?;
        self.send_on(channel, offer, current).await
    }

    async fn send_on(
        &self,
        mut channel: Channel,
        offer: &Offer<'_>,
        current: &CurrentConnection,
    ) -> Result<Answered, SendError> {
        let closed = SendError::new(Failure::NotSent, "already closed");
        let id = &offer.endpoint.record().id;
        let outbound =
            offer.request.outbound(self.names, id, offer.resume_after);
        channel.mark_busy(self.pool.options(), offer.request.id());
        current.set(channel.current());
        let mut channel = AbortOnDrop(Some(channel));
        let sender = match channel.0.as_mut() {
            Some(channel) => channel.sender(),
            None => return Err(closed),
        };
        offer.run.mark_sent();
        match sender.try_send_request(outbound).await {
            Ok(response) => match channel.0.take() {
                Some(channel) => Ok((channel, response)),
                None => Err(SendError::new(Failure::Broken, "no connection")),
            },
            Err(mut error) => Err(match error.take_message() {
                Some(_) => closed,
                None => SendError::new(
                    Failure::Broken,
                    connection_failure(error.error()),
                ),
            }),
        }
    }

    fn evaluate_response(
        &self,
        offer: &Offer<'_>,
        mut in_flight: InFlightGuard,
        mut run: Run,
        mut channel: Channel,
        response: http::Response<hyper::body::Incoming>,
    ) -> Result<Exchange, Failure> {
        let (head, body) = response.into_parts();
        let headers = &head.headers;
        let now = self.clock.now();
        if !self.is_response_to(offer, &run, &head) {
            channel.abort();
            self.record_failure(offer, &run, Failure::WrongId, "by its id");
            return Err(Failure::WrongId);
        }
        let report = self.read_load_report(headers, offer);
        if let Some(report) = report {
            offer.endpoint.record_load(report, now);
        }
        channel.record_head(headers, self.pool.options());
        let reusable = !closes_connection(headers);
        let failure = check_response(head.status, headers, self.names);
        if matches!(failure, Some(Failure::UnprovenRefusal(_))) {
            Counters::add(&self.counters.refusals_unproven);
        }
        run.record_head(head.status);
        if let Some(failure) = failure {
            self.record_failure(offer, &run, failure, "by its head");
        }
        // From here on, the exchange decrements the in-flight count.
        if in_flight.0.take().is_none() {
            return Err(Failure::Broken);
        }
        let mut exchange = Exchange::new(
            head,
            body,
            channel,
            run,
            self.pool.clone(),
            now,
            reusable,
        );
        if self.speed != EndpointSpeed::Off && failure.is_none() {
            exchange.measure_speed(StreamTimer::new(
                self.counters.clone(),
                offer.endpoint.estimated_load(now),
                report.and_then(|report| report.slowdown_percent),
            ));
        }
        match failure {
            None => {
                offer.endpoint.record_success();
                exchange.report_if_complete();
                Ok(exchange)
            }
            Some(failure) => Err(failure),
        }
    }

    /// Reports whether a response belongs to the offered request.
    ///
    /// A late duplicate response to an earlier request may arrive in place of
    /// the expected one; only the echoed id shows the difference. Until it is
    /// known, the response says nothing about the request, the endpoint or the
    /// connection.
    fn is_response_to(
        &self,
        offer: &Offer<'_>,
        run: &Run,
        head: &Parts,
    ) -> bool {
        let id = offer.request.id();
        let echoed = head.headers.get(&self.names.request_id);
        let is_own = match echoed {
            Some(echoed) => echoed == id,
            None => id.is_empty(),
        };
        if !is_own {
            Counters::add(&self.counters.responses_misplaced);
            let echoed = echoed.and_then(|echoed| echoed.to_str().ok());
            log::info!(
                request_id = id,
                endpoint = offer.endpoint.record().id.as_str(),
                responds_to = shorten(echoed.unwrap_or_default()),
                status = head.status.as_u16(),
                offer = offer.number,
                connection:% = run.connection();
                "a response belongs to another request"
            );
        }
        is_own
    }

    /// Reads the load that the head of a response reports. Its first three
    /// numbers are valid even if the slowdown is not.
    fn read_load_report(
        &self,
        headers: &HeaderMap,
        offer: &Offer<'_>,
    ) -> Option<LoadReport> {
        let text = headers.get(&self.names.load)?.to_str().ok()?;
        let (report, slowdown) = parse_load_report(text)?;
        let is_invalid = slowdown == Slowdown::Invalid;
        if is_invalid && offer.endpoint.mark_slowdown_invalid() {
            log::warn!(
                endpoint = offer.endpoint.record().id.as_str(),
                version = offer.endpoint.version_text(),
                reported = shorten(text);
                "an endpoint reports an invalid slowdown"
            );
        }
        Some(report)
    }

    /// Records a failure of the endpoint.
    fn record_failure(
        &self,
        offer: &Offer<'_>,
        run: &Run,
        failure: Failure,
        cause: &'static str,
    ) {
        let now: Millis = self.clock.now();
        offer.endpoint.record_failure(failure.failure_kind(), now);
        let record = offer.endpoint.record();
        if matches!(failure, Failure::Connect | Failure::Silent) {
            self.pool.clear_idle(offer.endpoint);
        }
        log::info!(
            request_id = offer.request.id(),
            endpoint = record.id.as_str(),
            version = offer.endpoint.version_text(),
            failure:? = failure,
            cause,
            offer = offer.number,
            connection:% = run.connection(),
            status = failure.status().map_or(0, |status| status.as_u16()),
            ran:% = failure.evidence().ran(),
            resume_after = offer.resume_after.unwrap_or(0),
            age_ms = offer.request.arrived().elapsed().as_millis() as u64;
            "an offer to an endpoint failed"
        );
    }
}

/// Decrements the in-flight count on drop unless an exchange takes over.
struct InFlightGuard(Option<Endpoint>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if let Some(endpoint) = &self.0 {
            endpoint.end_request();
        }
    }
}

/// Closes a connection whose response is no longer awaited, so that the
/// endpoint stops its work.
struct AbortOnDrop(Option<Channel>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        if let Some(channel) = &self.0 {
            channel.abort();
        }
    }
}

/// Returns why a connection was not established, as text for logs.
fn connect_failure(error: &io::Error) -> &'static str {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => "the connection was refused",
        io::ErrorKind::TimedOut => "no connection in time",
        _ => "no connection",
    }
}

/// Returns why the response to a request is not the endpoint's answer.
fn check_response(
    status: StatusCode,
    headers: &HeaderMap,
    names: &HeaderNames,
) -> Option<Failure> {
    // A request names the endpoint that it is for, and any other one answers
    // with this status before it looks at the request.
    let states_not_executed = headers.contains_key(&names.not_executed)
        || status == StatusCode::MISDIRECTED_REQUEST;
    let evidence = Evidence::of_response(status.as_u16(), states_not_executed);
    if evidence == Evidence::Declined {
        return Some(Failure::NotExecuted(status));
    }
    if states_not_executed || evidence.contradicts(status.as_u16()) {
        return Some(Failure::UnprovenRefusal(status));
    }
    let sealed = headers.contains_key(&names.seal);
    let encoded = headers.contains_key(header::CONTENT_ENCODING);
    let is_valid = (sealed || !status.is_success()) && !encoded;
    (!is_valid).then_some(Failure::NotSealed(status))
}

/// Maximum length of a header in a log line, in bytes.
const MAX_LOGGED_BYTES: usize = 64;

/// Returns the beginning of a header; its text is ASCII.
fn shorten(text: &str) -> &str {
    text.get(..MAX_LOGGED_BYTES).unwrap_or(text)
}

/// Whether a load report states a valid slowdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Slowdown {
    Missing,
    Valid,
    Invalid,
}

/// Parses the load header: three numbers and, optionally, the slowdown.
fn parse_load_report(text: &str) -> Option<(LoadReport, Slowdown)> {
    let mut parts = text.split(',').map(str::trim);
    let mut number = || parts.next()?.parse().ok();
    let (running, waiting, slots) = (number()?, number()?, number()?);
    let stated = parts.next();
    let slowdown_percent = stated.and_then(LoadReport::parse_slowdown);
    let slowdown = match (stated, slowdown_percent) {
        (None, _) => Slowdown::Missing,
        (Some(_), Some(_)) => Slowdown::Valid,
        (Some(_), None) => Slowdown::Invalid,
    };
    let report = LoadReport {
        running,
        waiting,
        slots,
        slowdown_percent,
    };
    Some((report, slowdown))
}

#[cfg(test)]
#[path = "../tests/unit/attempt.rs"]
mod tests;
