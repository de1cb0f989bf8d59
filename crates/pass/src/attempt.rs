use std::{sync::Arc, time::Duration};

use base::{Clock, Millis};
use fleet::{Endpoint, FailureKind, LoadReport};
use http::{HeaderMap, StatusCode, header};
use quarantine::SendPermit;
use tokio::time;

use crate::{
    Counters, Exchange, HeaderNames, Inbound, LoadObserver, Pool, Run,
    RunObserver,
    channel::{Channel, says_close},
};

/// Why one offer of a request to an endpoint came to nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No connection could be made.
    Connect,
    /// The connection closed before the request was written.
    NotSent,
    /// The endpoint said that it did not run the request.
    NotExecuted(StatusCode),
    /// The connection broke after the request was written.
    Broken,
    /// No answer in the time of the attempt.
    Silent,
    /// The answer belongs to another request.
    WrongId,
    /// The answer is not the endpoint's own: no seal, or encoded.
    NotSealed(StatusCode),
    /// The request was not sent, as it crashes endpoints.
    Held {
        /// When it may be tried again, in milliseconds from now.
        for_ms: u64,
    },
}

impl Failure {
    /// Tells whether the request surely did not run.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_pass::Failure;
    ///
    /// assert!(Failure::Connect.surely_not_run());
    /// assert!(!Failure::Broken.surely_not_run());
    /// ```
    pub fn surely_not_run(self) -> bool {
        match self {
            Failure::Connect | Failure::NotSent => true,
            Failure::NotExecuted(_) | Failure::Held { .. } => true,
            Failure::Broken | Failure::Silent => false,
            Failure::WrongId | Failure::NotSealed(_) => false,
        }
    }

    fn failure_kind(self) -> FailureKind {
        match self {
            Failure::Connect | Failure::Silent => FailureKind::Unreachable,
            Failure::NotExecuted(_) => FailureKind::Full,
            _ => FailureKind::BadResponse,
        }
    }
}

/// One offer of a request to one endpoint.
pub struct Offer<'a> {
    /// The request.
    pub request: &'a Arc<Inbound>,
    /// The endpoint.
    pub endpoint: &'a Endpoint,
    /// Last event that the caller has.
    pub resume_after: Option<u64>,
    /// Longest wait for the head of the answer.
    pub wait: Duration,
    /// Says that the request may be sent.
    pub cleared: SendPermit,
}

/// What an offer needs besides the request.
pub(crate) struct Dispatcher<'a> {
    pub(crate) names: &'a HeaderNames,
    pub(crate) pool: &'a Arc<Pool>,
    pub(crate) clock: &'a dyn Clock,
    pub(crate) counters: &'a Counters,
    pub(crate) observer: &'a dyn LoadObserver,
    pub(crate) runs: &'a Arc<dyn RunObserver>,
}

impl Dispatcher<'_> {
    /// Sends the request and returns the answer once its head is there.
    pub(crate) async fn make(
        &self,
        offer: Offer<'_>,
    ) -> Result<Exchange, Failure> {
        let endpoint = offer.endpoint.clone();
        endpoint.begin_request();
        self.observer.began(&endpoint);
        let mut run = Run::begin(
            offer.request.clone(),
            endpoint.clone(),
            offer.resume_after,
            self.runs.clone(),
        );
        let begun = Begun(Some(endpoint));
        let result = time::timeout(offer.wait, self.send(&offer)).await;
        let result = result.unwrap_or(Err(Failure::Silent));
        match result {
            Ok((channel, response)) => {
                self.judge(&offer, begun, run, channel, response)
            }
            Err(failure) => {
                self.note(&offer, failure);
                if failure == Failure::Broken {
                    run.cut_off();
                }
                Err(failure)
            }
        }
    }

    async fn send(
        &self,
        offer: &Offer<'_>,
    ) -> Result<(Channel, http::Response<hyper::body::Incoming>), Failure>
    {
        // A kept connection may close just as it is used. The request was
        // not written then, and a new connection is tried at once.
        if let Some(channel) = self.pool.take(offer.endpoint) {
            match self.send_on(channel, offer).await {
                Err(Failure::NotSent) => {}
                result => return result,
            }
        }
        Counters::add(&self.counters.connections_opened);
        let channel = self.pool.open(offer.endpoint).await;
        let channel = channel.map_err(|_| Failure::Connect)?;
        self.send_on(channel, offer).await
    }

    async fn send_on(
        &self,
        channel: Channel,
        offer: &Offer<'_>,
    ) -> Result<(Channel, http::Response<hyper::body::Incoming>), Failure>
    {
        let id = &offer.endpoint.record().id;
        let outbound =
            offer.request.outbound(self.names, id, offer.resume_after);
        let mut channel = Unfinished(Some(channel));
        let sender = match channel.0.as_mut() {
            Some(channel) => channel.sender(),
            None => return Err(Failure::NotSent),
        };
        match sender.try_send_request(outbound).await {
            Ok(response) => match channel.0.take() {
                Some(channel) => Ok((channel, response)),
                None => Err(Failure::Broken),
            },
            Err(mut error) => Err(match error.take_message() {
                Some(_) => Failure::NotSent,
                None => Failure::Broken,
            }),
        }
    }

    fn judge(
        &self,
        offer: &Offer<'_>,
        mut begun: Begun,
        run: Run,
        mut channel: Channel,
        response: http::Response<hyper::body::Incoming>,
    ) -> Result<Exchange, Failure> {
        let (head, body) = response.into_parts();
        let headers = &head.headers;
        let now = self.clock.now();
        if let Some(report) = load_report(headers, self.names) {
            offer.endpoint.record_load(report, now);
        }
        channel.note_keep_alive(headers, self.pool.options());
        let reusable = !says_close(headers);
        let failure = check(&head.status, headers, self.names, offer);
        // The exchange counts the request as over from here on.
        if begun.0.take().is_none() {
            return Err(Failure::Broken);
        }
        let mut exchange = Exchange::new(
            head,
            body,
            channel,
            run,
            self.pool.clone(),
            reusable && failure != Some(Failure::WrongId),
        );
        match failure {
            None => {
                offer.endpoint.record_success();
                exchange.note_if_whole();
                Ok(exchange)
            }
            Some(failure) => {
                self.note(offer, failure);
                Err(failure)
            }
        }
    }

    /// Remembers a failure against the endpoint.
    fn note(&self, offer: &Offer<'_>, failure: Failure) {
        let now: Millis = self.clock.now();
        offer.endpoint.record_failure(failure.failure_kind(), now);
        let record = offer.endpoint.record();
        if matches!(failure, Failure::Connect | Failure::Silent) {
            self.pool.forget(offer.endpoint);
        }
        log::info!(
            request_id = offer.request.id(),
            endpoint = record.id.as_str(),
            failure:? = failure,
            resume_after = offer.resume_after.unwrap_or(0),
            age_ms = offer.request.arrived().elapsed().as_millis() as u64;
            "an offer to an endpoint failed"
        );
    }
}

/// Counts a request as over unless an exchange takes that on.
struct Begun(Option<Endpoint>);

impl Drop for Begun {
    fn drop(&mut self) {
        if let Some(endpoint) = &self.0 {
            endpoint.end_request();
        }
    }
}

/// Closes a connection whose answer is not waited for any more, so that the
/// endpoint stops its work.
struct Unfinished(Option<Channel>);

impl Drop for Unfinished {
    fn drop(&mut self) {
        if let Some(channel) = &self.0 {
            channel.abort();
        }
    }
}

fn check(
    status: &StatusCode,
    headers: &HeaderMap,
    names: &HeaderNames,
    offer: &Offer<'_>,
) -> Option<Failure> {
    let status = *status;
    if headers.contains_key(&names.not_executed)
        || status == StatusCode::MISDIRECTED_REQUEST
    {
        return Some(Failure::NotExecuted(status));
    }
    // A late second answer to an earlier request may stand where this one's
    // is expected; only the echoed id tells.
    let echoed = headers.get(&names.request_id);
    let same = echoed.is_some_and(|id| id == offer.request.id());
    if !same {
        return Some(Failure::WrongId);
    }
    let sealed = headers.contains_key(&names.seal);
    let encoded = headers.contains_key(header::CONTENT_ENCODING);
    let good = (sealed || !status.is_success()) && !encoded;
    (!good).then_some(Failure::NotSealed(status))
}

fn load_report(
    headers: &HeaderMap,
    names: &HeaderNames,
) -> Option<LoadReport> {
    let text = headers.get(&names.load)?.to_str().ok()?;
    let mut numbers = text.split(',').map(|part| part.trim().parse().ok());
    Some(LoadReport {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next()??,
    })
}
