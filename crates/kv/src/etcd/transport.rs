use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use base::Snapshot;
use error_stack::{Report, ResultExt};
use reqwest::{Client, Response, StatusCode, Url, redirect::Policy};
use serde::{Serialize, de::DeserializeOwned};

use crate::{KvError, json::ErrorResponse};

/// Time without traffic after which the system probes a connection, and
/// the pause between probes.
const TCP_KEEPALIVE: Duration = Duration::from_secs(10);

/// Unanswered probes after which the system closes a connection.
const TCP_KEEPALIVE_RETRIES: u32 = 3;

/// Idle connections older than this are closed rather than used again.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Characters of a foreign error body that are kept for the report.
const BODY_EXCERPT_CHARS: usize = 200;

/// Numbers of the gRPC statuses that are told apart.
mod code {
    pub(super) const INVALID_ARGUMENT: u32 = 3;
    pub(super) const NOT_FOUND: u32 = 5;
    pub(super) const RESOURCE_EXHAUSTED: u32 = 8;
    pub(super) const FAILED_PRECONDITION: u32 = 9;
    pub(super) const OUT_OF_RANGE: u32 = 11;
}

/// What a call changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Effect {
    /// Nothing.
    None,
    /// The same however often it is done.
    Idempotent,
    /// Something that must not be done again without a look.
    Once,
}

impl Effect {
    /// Reports a call that was sent and not answered.
    pub(super) fn lost(self) -> Report<KvError> {
        Report::new(match self {
            Effect::None => KvError::NotDone,
            Effect::Idempotent | Effect::Once => KvError::Unknown,
        })
    }
}

/// Why one attempt at one address failed.
pub(super) enum Failure {
    /// The call was not sent.
    NotSent(Report<KvError>),
    /// The call was sent; no answer, or a broken one, came.
    Lost(Report<KvError>),
    /// The call was sent; the service says that it cannot serve now.
    Unavailable(Report<KvError>),
    /// The service refuses the call.
    Refused(Report<KvError>),
}

/// Connections to the gateway's addresses.
#[derive(Debug)]
pub(super) struct Transport {
    urls: Vec<Url>,
    /// Position of the address that answered last.
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
        // Every address gets its turn within the time of the call.
        let share = timeout / u32::try_from(urls.len()).unwrap_or(u32::MAX);
        let connect_timeout = connect_timeout.min(share);
        Ok(Self {
            client: Snapshot::new(make_client(connect_timeout)?),
            urls,
            preferred: AtomicUsize::new(0),
            timeout,
            connect_timeout,
            watch_idle,
        })
    }

    /// Posts a JSON body and reads the JSON answer.
    pub(super) async fn call<A: DeserializeOwned>(
        &self,
        path: &str,
        effect: Effect,
        request: &impl Serialize,
    ) -> Result<A, Report<KvError>> {
        let body = encode(request)?;
        let mut turns = Turns::new(self, path, effect);
        while let Some((url, within)) = turns.next() {
            let answer = self.exchange(url, body.clone(), effect);
            match limit(within, effect, answer).await {
                Ok(answer) => {
                    turns.answered();
                    return Ok(answer);
                }
                Err(failure) => turns.failed(failure)?,
            }
        }
        Err(turns.into_report())
    }

    async fn exchange<A: DeserializeOwned>(
        &self,
        url: Url,
        body: Vec<u8>,
        effect: Effect,
    ) -> Result<A, Failure> {
        let broken = |why: String| Failure::Lost(effect.lost().attach(why));
        let response = self.post(url, body, effect).await?;
        let bytes = response.bytes().await;
        let bytes = bytes.map_err(|error| broken(causes(&error)))?;
        serde_json::from_slice(&bytes)
            .map_err(|error| broken(error.to_string()))
    }

    /// Posts a body and returns a successful answer with its body unread.
    pub(super) async fn post(
        &self,
        url: Url,
        body: Vec<u8>,
        effect: Effect,
    ) -> Result<Response, Failure> {
        let address = url.authority().to_owned();
        let request = self.client.load_full().post(url).body(body);
        let response = request.send().await.map_err(|error| {
            let why = format!("{address}: {}", causes(&error));
            match error.is_connect() || error.is_builder() {
                true => {
                    Failure::NotSent(Report::new(KvError::NotDone).attach(why))
                }
                false => Failure::Lost(effect.lost().attach(why)),
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

    /// Leaves the open connections and prefers another address.
    ///
    /// Whatever made one connection go silent can have lost track of its
    /// siblings as well; each would cost a timeout to find out.
    fn leave(&self, preferred: usize) {
        self.prefer(preferred);
        match make_client(self.connect_timeout) {
            Ok(client) => self.client.publish(client),
            Err(report) => log::warn!("no new HTTP client: {report}"),
        }
    }
}

/// Tries the addresses in turn, as far as the call's effect allows.
pub(super) struct Turns<'a> {
    transport: &'a Transport,
    path: &'a str,
    effect: Effect,
    start: Instant,
    first: usize,
    turn: usize,
    turns: usize,
    was_lost: bool,
    report: Report<KvError>,
}

impl<'a> Turns<'a> {
    pub(super) fn new(
        transport: &'a Transport,
        path: &'a str,
        effect: Effect,
    ) -> Self {
        let turns = match effect {
            Effect::Once => transport.urls.len(),
            // The only address gets a second turn on a new connection.
            _ => transport.urls.len().max(2),
        };
        Self {
            transport,
            path,
            effect,
            start: Instant::now(),
            first: transport.preferred.load(Ordering::Relaxed),
            turn: 0,
            turns,
            was_lost: false,
            report: Report::new(KvError::NotDone).attach("out of time"),
        }
    }

    /// Returns the next address and how long it may take.
    pub(super) fn next(&mut self) -> Option<(Url, Duration)> {
        let left = self.turns.checked_sub(self.turn)?;
        if left == 0 {
            return None;
        }
        let spent = self.start.elapsed();
        let remaining = self.transport.timeout.checked_sub(spent)?;
        let mut url = self.transport.urls[self.index()].clone();
        url.set_path(self.path);
        self.turn += 1;
        match self.effect {
            // It ends at the first loss, whatever time is left.
            Effect::Once => Some((url, remaining)),
            // A silent address must leave time for the others.
            _ => Some((url, remaining / left as u32)),
        }
    }

    /// Prefers the address of this turn from now on.
    pub(super) fn answered(&mut self) {
        self.turn -= 1;
        self.transport.prefer(self.index());
    }

    /// Takes note of a failure; a refusal is final.
    pub(super) fn failed(
        &mut self,
        failure: Failure,
    ) -> Result<(), Report<KvError>> {
        match failure {
            Failure::Refused(report) => return Err(report),
            Failure::NotSent(report) => {
                self.report = report;
                self.turns = self.transport.urls.len();
            }
            Failure::Lost(report) => {
                self.transport.leave(self.index());
                self.lost(report);
            }
            Failure::Unavailable(report) => {
                self.transport.prefer(self.index());
                self.lost(report);
            }
        }
        Ok(())
    }

    fn lost(&mut self, report: Report<KvError>) {
        self.report = report;
        self.was_lost = true;
        if self.effect == Effect::Once {
            self.turns = self.turn;
        }
    }

    pub(super) fn into_report(self) -> Report<KvError> {
        // A later attempt that was not sent does not undo an earlier one.
        let report = match self.was_lost {
            true => {
                let lost = *self.effect.lost().current_context();
                self.report.change_context(lost)
            }
            false => self.report,
        };
        report.attach(format!("path /{}", self.path))
    }

    fn index(&self) -> usize {
        (self.first + self.turn) % self.transport.urls.len()
    }
}

/// Ends an attempt whose time is up; the call may have been sent by then.
pub(super) async fn limit<A>(
    within: Duration,
    effect: Effect,
    attempt: impl Future<Output = Result<A, Failure>>,
) -> Result<A, Failure> {
    match tokio::time::timeout(within, attempt).await {
        Ok(result) => result,
        Err(_) => Err(Failure::Lost(
            effect.lost().attach(format!("no answer within {within:?}")),
        )),
    }
}

pub(super) fn encode(
    request: &impl Serialize,
) -> Result<Vec<u8>, Report<KvError>> {
    serde_json::to_vec(request).change_context(KvError::Invalid)
}

/// Reports the refusal that an error body tells of.
///
/// A status that may come after the call was handed to the cluster leaves
/// its effect open.
pub(super) fn refusal(
    body: &ErrorResponse,
    effect: Effect,
) -> Report<KvError> {
    let text = match body.message.is_empty() {
        true => &body.error,
        false => &body.message,
    };
    let report = match body.code {
        code::NOT_FOUND if text.contains("lease") => {
            Report::new(KvError::LeaseGone)
        }
        code::OUT_OF_RANGE if text.contains("compacted") => {
            Report::new(KvError::Compacted)
        }
        code::RESOURCE_EXHAUSTED => Report::new(KvError::NotDone),
        code::INVALID_ARGUMENT
        | code::NOT_FOUND
        | code::FAILED_PRECONDITION
        | code::OUT_OF_RANGE => Report::new(KvError::Invalid),
        _ => effect.lost(),
    };
    report.attach(format!("status code {}: {text}", body.code))
}

async fn failed_status(response: Response, effect: Effect) -> Failure {
    let status = response.status();
    let body = response.bytes().await.unwrap_or_default();
    let excerpt: String = String::from_utf8_lossy(&body)
        .chars()
        .take(BODY_EXCERPT_CHARS)
        .collect();
    let why = format!("status {status}: {excerpt}");
    if status.is_server_error() || status == StatusCode::REQUEST_TIMEOUT {
        return Failure::Unavailable(effect.lost().attach(why));
    }
    if status == StatusCode::TOO_MANY_REQUESTS {
        let report = Report::new(KvError::NotDone);
        return Failure::Refused(report.attach(why));
    }
    match serde_json::from_slice::<ErrorResponse>(&body) {
        Ok(body) if body.code != 0 => Failure::Refused(refusal(&body, effect)),
        // Not the gateway's own words, but a refusal all the same.
        _ => Failure::Refused(Report::new(KvError::Invalid).attach(why)),
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

fn causes(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut cause = std::error::Error::source(error);
    while let Some(next) = cause {
        text = format!("{text}: {next}");
        cause = next.source();
    }
    text
}
