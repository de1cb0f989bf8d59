use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use base::Snapshot;
use error_stack::{Report, ResultExt};
use reqwest::{Client, Response, StatusCode, Url, redirect::Policy};
use serde::{Serialize, de::DeserializeOwned};

use crate::{KvError, json::ErrorResponse};

/// Idle time after which the operating system probes a connection, and the
/// interval between probes.
const TCP_KEEPALIVE: Duration = Duration::from_secs(10);

/// Unanswered probes after which the operating system closes a connection.
const TCP_KEEPALIVE_RETRIES: u32 = 3;

/// Idle time after which a pooled connection is closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of characters of an unrecognised error body in a report.
const MAX_EXCERPT_CHARS: usize = 200;

/// gRPC status codes that are handled separately.
mod grpc_code {
    pub(super) const INVALID_ARGUMENT: u32 = 3;
    pub(super) const NOT_FOUND: u32 = 5;
    pub(super) const RESOURCE_EXHAUSTED: u32 = 8;
    pub(super) const FAILED_PRECONDITION: u32 = 9;
    pub(super) const OUT_OF_RANGE: u32 = 11;
}

/// Effect of a call, which decides whether it may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Effect {
    /// The call changes nothing.
    None,
    /// The call may be repeated with the same effect.
    Idempotent,
    /// The call must not be repeated before its outcome is known.
    NonIdempotent,
}

impl Effect {
    /// Returns the error of a call that was sent and got no response.
    pub(super) fn lost_response(self) -> Report<KvError> {
        Report::new(match self {
            Effect::None => KvError::NotDone,
            Effect::Idempotent | Effect::NonIdempotent => KvError::Unknown,
        })
    }
}

/// Reason why one attempt at one address failed.
pub(super) enum Failure {
    /// The call was not sent.
    NotSent(Report<KvError>),
    /// The call was sent, and no response or a malformed one arrived.
    Lost(Report<KvError>),
    /// The call was sent, and the key-value service is unavailable.
    Unavailable(Report<KvError>),
    /// The key-value service refused the call.
    Refused(Report<KvError>),
}

/// Connections to the gateway's addresses.
#[derive(Debug)]
pub(super) struct Transport {
    urls: Vec<Url>,
    /// Index of the address that is tried first.
    preferred: AtomicUsize,
    client: Snapshot<Client>,
    timeout: Duration,
    connect_timeout: Duration,
    pub(super) watch_idle: Duration,
}

impl Transport {
    pub(super) fn new(
        urls: Vec<Url>,
        timeout: Duration,
        connect_timeout: Duration,
        watch_idle: Duration,
    ) -> Result<Self, Report<KvError>> {
        // Limits the time to connect so that every address gets an attempt
        // within the timeout of the call.
        let per_address =
            timeout / u32::try_from(urls.len()).unwrap_or(u32::MAX);
        let connect_timeout = connect_timeout.min(per_address);
        Ok(Self {
            client: Snapshot::new(make_client(connect_timeout)?),
            urls,
            preferred: AtomicUsize::new(0),
            timeout,
            connect_timeout,
            watch_idle,
        })
    }

    /// Posts a JSON body and parses the JSON response.
    pub(super) async fn call<A: DeserializeOwned>(
        &self,
        path: &str,
        effect: Effect,
        request: &impl Serialize,
    ) -> Result<A, Report<KvError>> {
        let body = encode(request)?;
        let mut attempts = Attempts::new(self, path, effect);
        while let Some((url, timeout)) = attempts.next() {
            let response = self.exchange(url, body.clone(), effect);
            match with_timeout(timeout, effect, response).await {
                Ok(response) => {
                    attempts.succeeded();
                    return Ok(response);
                }
                Err(failure) => attempts.failed(failure)?,
            }
        }
        Err(attempts.into_report())
    }

    async fn exchange<A: DeserializeOwned>(
        &self,
        url: Url,
        body: Vec<u8>,
        effect: Effect,
    ) -> Result<A, Failure> {
        let broken_response = |reason: String| {
            Failure::Lost(effect.lost_response().attach(reason))
        };
        let response = self.post(url, body, effect).await?;
        let bytes = response.bytes().await;
        let bytes =
            bytes.map_err(|error| broken_response(error_chain(&error)))?;
        serde_json::from_slice(&bytes)
            .map_err(|error| broken_response(error.to_string()))
    }

    /// Posts a body and returns a successful response with its body unread.
    pub(super) async fn post(
        &self,
        url: Url,
        body: Vec<u8>,
        effect: Effect,
    ) -> Result<Response, Failure> {
        let address = url.authority().to_owned();
        let request = self.client.load_full().post(url).body(body);
        let response = request.send().await.map_err(|error| {
            let reason = format!("{address}: {}", error_chain(&error));
            match error.is_connect() || error.is_builder() {
                true => Failure::NotSent(
                    Report::new(KvError::NotDone).attach(reason),
                ),
                false => Failure::Lost(effect.lost_response().attach(reason)),
            }
        })?;
        if response.status().is_success() {
            return Ok(response);
        }
        Err(failed_status(response, effect).await)
    }

    fn prefer(&self, index: usize) {
        self.preferred.store(index, Ordering::Relaxed);
    }

    /// Drops the open connections and prefers another address.
    ///
    /// A fault in the network that silences one connection can affect the
    /// other pooled connections too, and each of them would cost a timeout to
    /// detect.
    fn reset_connections(&self, preferred: usize) {
        self.prefer(preferred);
        match make_client(self.connect_timeout) {
            Ok(client) => self.client.publish(client),
            Err(report) => log::warn!("cannot create HTTP client: {report}"),
        }
    }
}

/// Iterates over the addresses in round robin order, as far as the effect of
/// the call allows retries.
pub(super) struct Attempts<'a> {
    transport: &'a Transport,
    path: &'a str,
    effect: Effect,
    start: Instant,
    first: usize,
    attempt: usize,
    max_attempts: usize,
    response_lost: bool,
    report: Report<KvError>,
}

impl<'a> Attempts<'a> {
    pub(super) fn new(
        transport: &'a Transport,
        path: &'a str,
        effect: Effect,
    ) -> Self {
        let max_attempts = match effect {
            Effect::NonIdempotent => transport.urls.len(),
            // A single address gets a second attempt on a new connection.
            _ => transport.urls.len().max(2),
        };
        Self {
            transport,
            path,
            effect,
            start: Instant::now(),
            first: transport.preferred.load(Ordering::Relaxed),
            attempt: 0,
            max_attempts,
            response_lost: false,
            report: Report::new(KvError::NotDone)
                .attach("timed out before the first attempt"),
        }
    }

    /// Returns the next address and the timeout of its attempt.
    pub(super) fn next(&mut self) -> Option<(Url, Duration)> {
        let remaining_attempts =
            self.max_attempts.checked_sub(self.attempt)?;
        if remaining_attempts == 0 {
            return None;
        }
        let elapsed = self.start.elapsed();
        let remaining_time = self.transport.timeout.checked_sub(elapsed)?;
        let mut url = self.transport.urls[self.index()].clone();
        url.set_path(self.path);
        self.attempt += 1;
        match self.effect {
            // No attempt follows a lost response, so this one gets all the
            // remaining time.
            Effect::NonIdempotent => Some((url, remaining_time)),
            // An address that does not respond must leave time for the others.
            _ => Some((url, remaining_time / remaining_attempts as u32)),
        }
    }

    /// Prefers the address of this attempt for later calls.
    pub(super) fn succeeded(&mut self) {
        self.attempt -= 1;
        self.transport.prefer(self.index());
    }

    /// Records a failure; a refusal is final.
    pub(super) fn failed(
        &mut self,
        failure: Failure,
    ) -> Result<(), Report<KvError>> {
        match failure {
            Failure::Refused(report) => return Err(report),
            Failure::NotSent(report) => {
                self.report = report;
                self.max_attempts = self.transport.urls.len();
            }
            Failure::Lost(report) => {
                self.transport.reset_connections(self.index());
                self.record_loss(report);
            }
            Failure::Unavailable(report) => {
                self.transport.prefer(self.index());
                self.record_loss(report);
            }
        }
        Ok(())
    }

    fn record_loss(&mut self, report: Report<KvError>) {
        self.report = report;
        self.response_lost = true;
        if self.effect == Effect::NonIdempotent {
            self.max_attempts = self.attempt;
        }
    }

    pub(super) fn into_report(self) -> Report<KvError> {
        // A later attempt that was not sent does not undo an earlier one.
        let report = match self.response_lost {
            true => {
                let error = *self.effect.lost_response().current_context();
                self.report.change_context(error)
            }
            false => self.report,
        };
        report.attach(format!("path /{}", self.path))
    }

    fn index(&self) -> usize {
        (self.first + self.attempt) % self.transport.urls.len()
    }
}

/// Bounds an attempt by a timeout; the call may have been sent by then.
pub(super) async fn with_timeout<A>(
    timeout: Duration,
    effect: Effect,
    attempt: impl Future<Output = Result<A, Failure>>,
) -> Result<A, Failure> {
    match tokio::time::timeout(timeout, attempt).await {
        Ok(result) => result,
        Err(_) => Err(Failure::Lost(
            effect
                .lost_response()
                .attach(format!("no response within {timeout:?}")),
        )),
    }
}

pub(super) fn encode(
    request: &impl Serialize,
) -> Result<Vec<u8>, Report<KvError>> {
    serde_json::to_vec(request).change_context(KvError::Invalid)
}

/// Converts the error body of a refusal to a report.
///
/// For a status that the gateway may return after it has passed the call to
/// the cluster, the effect of the call is unknown.
pub(super) fn refusal(
    body: &ErrorResponse,
    effect: Effect,
) -> Report<KvError> {
    let text = match body.message.is_empty() {
        true => &body.error,
        false => &body.message,
    };
    let report = match body.code {
        grpc_code::NOT_FOUND if text.contains("lease") => {
            Report::new(KvError::LeaseGone)
        }
        grpc_code::OUT_OF_RANGE if text.contains("compacted") => {
            Report::new(KvError::Compacted)
        }
        grpc_code::RESOURCE_EXHAUSTED => Report::new(KvError::NotDone),
        grpc_code::INVALID_ARGUMENT
        | grpc_code::NOT_FOUND
        | grpc_code::FAILED_PRECONDITION
        | grpc_code::OUT_OF_RANGE => Report::new(KvError::Invalid),
        _ => effect.lost_response(),
    };
    report.attach(format!("status code {}: {text}", body.code))
}

async fn failed_status(response: Response, effect: Effect) -> Failure {
    let status = response.status();
    let body = match response.bytes().await {
        Ok(body) => body,
        Err(error) => {
            let reason = format!("status {status}, and its body: {error}");
            return Failure::Lost(effect.lost_response().attach(reason));
        }
    };
    let excerpt: String = String::from_utf8_lossy(&body)
        .chars()
        .take(MAX_EXCERPT_CHARS)
        .collect();
    let reason = format!("status {status}: {excerpt}");
    if status.is_server_error() || status == StatusCode::REQUEST_TIMEOUT {
        return Failure::Unavailable(effect.lost_response().attach(reason));
    }
    if status == StatusCode::TOO_MANY_REQUESTS {
        let report = Report::new(KvError::NotDone);
        return Failure::Refused(report.attach(reason));
    }
    match serde_json::from_slice::<ErrorResponse>(&body) {
        Ok(body) if body.code != 0 => Failure::Refused(refusal(&body, effect)),
        // The body is not from the gateway, but the call was refused.
        _ => Failure::Refused(Report::new(KvError::Invalid).attach(reason)),
    }
}

fn make_client(connect_timeout: Duration) -> Result<Client, Report<KvError>> {
    Client::builder()
        .no_proxy()
        .redirect(Policy::none())
        .connect_timeout(connect_timeout)
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        .tcp_nodelay(true)
        .tcp_keepalive(TCP_KEEPALIVE)
        .tcp_keepalive_interval(TCP_KEEPALIVE)
        .tcp_keepalive_retries(TCP_KEEPALIVE_RETRIES)
        .build()
        .change_context(KvError::Invalid)
}

fn error_chain(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut cause = std::error::Error::source(error);
    while let Some(next) = cause {
        text = format!("{text}: {next}");
        cause = next.source();
    }
    text
}
