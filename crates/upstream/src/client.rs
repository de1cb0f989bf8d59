use std::{fmt, time::Duration};

use bytes::Bytes;
use conf::{HttpAddress, settings::TimeoutSettings};
use error_stack::{Report, ResultExt};
use framing::{BodyCheck, Content, Framing};
use quarantine::has_crashed;
use reqwest::{
    Client, ClientBuilder, Method, Response, header::HeaderMap,
    redirect::Policy,
};
use tokio::time::{Instant, timeout};
use wire::{
    FrameSender,
    message::{Frame, Header, Outcome, OutcomeKind, Request},
};

use crate::events::EventSplitter;

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Idle time after which the kernel probes a connection.
const KEEP_ALIVE_IDLE: Duration = Duration::from_secs(5);

/// Interval of further probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Number of unanswered probes after which a connection is lost.
const KEEP_ALIVE_PROBES: u32 = 5;

/// Time after which a connection is lost whose bytes or probes stay
/// unacknowledged. Retransmission may take twice as long as a silence of the
/// network.
#[cfg(target_os = "linux")]
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(15);

/// The error for an HTTP client that cannot be built.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientBuildError;

impl fmt::Display for ClientBuildError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("cannot build an HTTP client for the endpoint")
    }
}

impl std::error::Error for ClientBuildError {}

/// Progress of a response, reported while it is received.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash)]
pub enum ResponseProgress {
    /// The response is an event stream.
    Stream,
    /// An event with response data was received.
    Event,
    /// Bytes of a response other than an event stream were received.
    Bytes,
}

/// HTTP client for one endpoint; clones share connections.
#[derive(Clone, Debug)]
pub struct EndpointClient {
    pub(crate) address: HttpAddress,
    pooled: Client,
    pub(crate) unpooled: Client,
    pub(crate) first_byte_timeout: Duration,
    between_bytes_timeout: Duration,
}

/// Progress of a call, which its outcome reports also on failure.
struct CallProgress {
    has_sent_head: bool,
    chunks: u32,
}

/// The reason for which a call ended before its response was complete.
struct CallFailure {
    kind: OutcomeKind,
    ran: bool,
    detail: String,
}

impl CallFailure {
    fn new(kind: OutcomeKind, ran: bool, detail: impl Into<String>) -> Self {
        Self {
            kind,
            ran,
            detail: detail.into(),
        }
    }

    fn cancelled() -> Self {
        Self::new(OutcomeKind::Cancelled, true, "the caller left")
    }
}

impl EndpointClient {
    /// Creates a client for the endpoint at an address.
    ///
    /// # Errors
    ///
    /// [`ClientBuildError`] if the HTTP library cannot build a client.
    pub fn try_new(
        address: HttpAddress,
        timeouts: &TimeoutSettings,
    ) -> Result<Self, Report<ClientBuildError>> {
        let connect = Duration::from_millis(timeouts.connect_ms);
        let builder = || probed_connections().connect_timeout(connect);
        let error = ClientBuildError;
        Ok(Self {
            address,
            pooled: builder().build().change_context(error)?,
            // A pooled connection may have failed silently, and a request lost
            // on it cannot be distinguished from one that ran. Requests that
            // must not be repeated therefore use a new connection.
            unpooled: builder()
                .pool_max_idle_per_host(0)
                .build()
                .change_context(error)?,
            first_byte_timeout: Duration::from_millis(timeouts.first_byte_ms),
            between_bytes_timeout: Duration::from_millis(
                timeouts.between_bytes_ms,
            ),
        })
    }

    /// Returns the address of the endpoint.
    #[inline]
    pub fn address(&self) -> &HttpAddress {
        &self.address
    }

    /// Runs a call to completion and sends its frames to `answer`.
    ///
    /// `on_first` is called when the first byte of the body is received.
    pub async fn run(
        &self,
        request: Request,
        answer: &FrameSender,
        on_first: impl FnOnce(),
    ) -> Outcome {
        let mut on_first = Some(on_first);
        let on_progress = |progress| {
            if progress != ResponseProgress::Stream
                && let Some(on_first) = on_first.take()
            {
                on_first();
            }
        };
        self.run_with_progress(request, answer, on_progress).await
    }

    /// Runs a call to completion, sends its frames to `answer` and reports its
    /// progress.
    pub async fn run_with_progress(
        &self,
        request: Request,
        answer: &FrameSender,
        on_progress: impl FnMut(ResponseProgress),
    ) -> Outcome {
        let mut progress = CallProgress {
            has_sent_head: false,
            chunks: 0,
        };
        let (id, attempt) = (request.request_id.clone(), request.attempt);
        let deadline_ms = request.deadline_ms;
        let deadline = deadline(deadline_ms);
        let transfer =
            self.stream_response(request, answer, &mut progress, on_progress);
        let result = tokio::select! {
            result = transfer => result,
            () = answer.closed() => Err(CallFailure::cancelled()),
            () = tokio::time::sleep_until(deadline) => {
                let detail = "the deadline passed at the endpoint";
                Err(CallFailure::new(OutcomeKind::TimedOut, true, detail))
            }
        };
        let result = match result {
            Ok(()) => Ok(()),
            Err(failure) => Err(self.classify_failure(failure).await),
        };
        let outcome = match result {
            Ok(()) => Outcome {
                kind: OutcomeKind::Complete,
                ran: true,
                detail: String::new(),
                chunks: progress.chunks,
            },
            Err(failure) => Outcome {
                kind: failure.kind,
                ran: failure.ran || progress.has_sent_head,
                detail: failure.detail,
                chunks: progress.chunks,
            },
        };
        if outcome.kind != OutcomeKind::Complete {
            log::info!(
                request_id = id.as_str(), attempt, deadline_ms,
                endpoint:% = self.address, kind:? = outcome.kind,
                ran = outcome.ran, chunks = outcome.chunks,
                detail = outcome.detail.as_str();
                "a call at an endpoint ended early"
            );
        }
        // A caller that has disconnected does not need the end.
        let _ = answer.send(Frame::End(outcome.clone())).await;
        outcome
    }

    /// Reclassifies an interrupted call as crashed if the endpoint crashed.
    async fn classify_failure(&self, failure: CallFailure) -> CallFailure {
        let kinds = [OutcomeKind::Broken, OutcomeKind::Truncated];
        if !kinds.contains(&failure.kind)
            || !has_crashed(self.address.socket()).await
        {
            return failure;
        }
        let detail = format!("the endpoint crashed: {}", failure.detail);
        CallFailure::new(OutcomeKind::Crashed, true, detail)
    }

    async fn stream_response(
        &self,
        request: Request,
        answer: &FrameSender,
        progress: &mut CallProgress,
        mut on_progress: impl FnMut(ResponseProgress),
    ) -> Result<(), CallFailure> {
        let is_model_call = is_model_call(&request.path);
        let mut response = self.send(request).await?;
        let mut check = body_check(&response, is_model_call);
        let head = Frame::Head {
            status: response.status().as_u16(),
            headers: end_to_end_headers(response.headers()),
        };
        answer
            .send(head)
            .await
            .map_err(|_| CallFailure::cancelled())?;
        progress.has_sent_head = true;
        if check.is_event_stream() {
            let mut events = EventSplitter::default();
            on_progress(ResponseProgress::Stream);
            while let Some(bytes) = self.next_bytes(&mut response).await? {
                events.push(&bytes);
                while let Some(event) = events.next_event().map_err(|_| {
                    let detail = "an event is too large";
                    CallFailure::new(OutcomeKind::Broken, true, detail)
                })? {
                    if EventSplitter::is_content(&event) {
                        on_progress(ResponseProgress::Event);
                    }
                    send_chunk(answer, progress, event).await?;
                }
            }
            return match events.has_end_mark() {
                true => Ok(()),
                false => Err(truncated(
                    "the stream ended without its end mark",
                    check.framing(),
                )),
            };
        }
        while let Some(bytes) = self.next_bytes(&mut response).await? {
            check.push(&bytes);
            on_progress(ResponseProgress::Bytes);
            send_chunk(answer, progress, bytes).await?;
        }
        check
            .finish()
            .map_err(|cause| truncated(cause.as_str(), check.framing()))
    }

    async fn send(&self, request: Request) -> Result<Response, CallFailure> {
        let client = if request.repeatable {
            &self.pooled
        } else {
            &self.unpooled
        };
        let method =
            Method::from_bytes(request.method.as_bytes()).map_err(|_| {
                let detail = "the method is not valid";
                CallFailure::new(OutcomeKind::NotSent, false, detail)
            })?;
        let url = self.address.join(&request.path);
        let mut call = client.request(method, url);
        for header in &request.headers {
            call = call.header(&header.name, &header.value);
        }
        call = call
            .header("x-request-id", request.request_id.as_str())
            .body(request.body);
        match timeout(self.first_byte_timeout, call.send()).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err(classify_send_error(&error)),
            Err(_) => {
                let detail = "the endpoint sent nothing in time";
                Err(CallFailure::new(OutcomeKind::TimedOut, true, detail))
            }
        }
    }

    async fn next_bytes(
        &self,
        response: &mut Response,
    ) -> Result<Option<Bytes>, CallFailure> {
        match timeout(self.between_bytes_timeout, response.chunk()).await {
            Ok(Ok(bytes)) => Ok(bytes),
            Ok(Err(error)) => Err(CallFailure::new(
                OutcomeKind::Broken,
                true,
                format!("the answer broke: {error}"),
            )),
            // The connection is alive, but the endpoint hangs.
            Err(_) => Err(CallFailure::new(
                OutcomeKind::Broken,
                true,
                "the answer went silent",
            )),
        }
    }
}

/// Returns a builder of clients whose connections are probed by the kernel.
///
/// A connection whose other end is gone without a reset is found by the
/// probes; one whose endpoint is silent is alive to them.
fn probed_connections() -> ClientBuilder {
    let builder = Client::builder()
        // Following one would send a call again that may have run.
        .redirect(Policy::none())
        .tcp_keepalive(KEEP_ALIVE_IDLE)
        .tcp_keepalive_interval(KEEP_ALIVE_INTERVAL)
        .tcp_keepalive_retries(KEEP_ALIVE_PROBES);
    #[cfg(target_os = "linux")]
    let builder = builder.tcp_user_timeout(UNACKNOWLEDGED_TIMEOUT);
    builder
}

async fn send_chunk(
    answer: &FrameSender,
    progress: &mut CallProgress,
    bytes: Bytes,
) -> Result<(), CallFailure> {
    let seq = progress.chunks;
    let frame = Frame::Chunk { seq, bytes };
    answer
        .send(frame)
        .await
        .map_err(|_| CallFailure::cancelled())?;
    progress.chunks += 1;
    Ok(())
}

/// Classifies a failed send: either the request was certainly not sent, or
/// it may have run.
fn classify_send_error(error: &reqwest::Error) -> CallFailure {
    if error.is_connect() || error.is_builder() {
        let detail = format!("cannot reach the endpoint: {error}");
        return CallFailure::new(OutcomeKind::NotSent, false, detail);
    }
    let detail = format!("the connection broke: {error}");
    CallFailure::new(OutcomeKind::Broken, true, detail)
}

fn deadline(deadline_ms: u64) -> Instant {
    const MAX_WAIT: Duration = Duration::from_secs(86_400);
    match deadline_ms {
        0 => Instant::now() + MAX_WAIT,
        ms => Instant::now() + Duration::from_millis(ms).min(MAX_WAIT),
    }
}

/// Creates the check of a response's body. An engine that fails midway may
/// still end its chunks; what a service says in chunks is passed on as it is.
pub(crate) fn body_check(
    response: &Response,
    is_model_call: bool,
) -> BodyCheck {
    let headers = response.headers();
    let length = response.content_length();
    let framing = Framing::of(response.version(), headers, length);
    let check = BodyCheck::new(framing, Content::of(headers));
    match is_model_call {
        true => check.check_chunked_json(),
        false => check,
    }
}

fn truncated(cause: &'static str, framing: Framing) -> CallFailure {
    let detail = format!("{cause}, framing: {framing}");
    CallFailure::new(OutcomeKind::Truncated, true, detail)
}

/// Reports whether a path is that of a model call.
///
/// # Example
///
/// ```
/// use pomeloslip_upstream::is_model_call;
///
/// assert!(is_model_call("/v1/chat/completions?x=1"));
/// assert!(!is_model_call("/v1/files"));
/// ```
pub fn is_model_call(path: &str) -> bool {
    let path = path.split('?').next().unwrap_or_default();
    path.starts_with("/v1/") && path.ends_with("/completions")
}

fn end_to_end_headers(headers: &HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(&name.as_str()))
        .filter_map(|(name, value)| {
            Some(Header {
                name: name.as_str().to_owned(),
                value: value.to_str().ok()?.to_owned(),
            })
        })
        .collect()
}
