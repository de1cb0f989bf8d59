use std::{fmt, time::Duration};

use bytes::Bytes;
use conf::{HttpAddress, settings::TimeoutSettings};
use error_stack::{Report, ResultExt};
use quarantine::has_crashed;
use reqwest::{
    Client, Method, Response,
    header::{CONTENT_TYPE, HeaderMap},
};
use tokio::time::{Instant, timeout};
use wire::{
    Answer,
    message::{
        Frame, Header, Order, Outcome, OutcomeKind, Refusal, RefusalKind,
        Request,
    },
};

use crate::events::EventSplitter;

/// Headers of one hop, which are never passed on.
const HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Says that a client could not be made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndpointError;

impl fmt::Display for EndpointError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("cannot make a client for the endpoint")
    }
}

impl std::error::Error for EndpointError {}

/// Progress of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash)]
pub enum Seen {
    /// The answer is an event stream.
    Stream,
    /// An event that carries a part of the answer.
    Event,
    /// Bytes of an answer that is no event stream.
    Bytes,
}

/// What tells one life of an endpoint from another; empty if it does not say.
///
/// # Example
///
/// ```
/// use pomeloslip_upstream::EndpointLife;
///
/// let body = br#"{"status":"ok","version":"1.0.0","incarnation":7}"#;
/// let life = EndpointLife::of_health(body);
/// assert_eq!(life.version, "1.0.0");
/// assert_ne!(life, EndpointLife::of_health(b"ok"));
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EndpointLife {
    /// Version of its software.
    pub version: String,
    /// Life of its process, as it writes it.
    pub incarnation: String,
}

impl EndpointLife {
    /// Reads the body of a health page.
    pub fn of_health(body: &[u8]) -> Self {
        let body: serde_json::Value =
            serde_json::from_slice(body).unwrap_or_default();
        Self {
            version: text_of(&body["version"]),
            incarnation: text_of(&body["incarnation"]),
        }
    }
}

fn text_of(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::Null => String::new(),
        serde_json::Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Calls one endpoint; clones share its connections.
#[derive(Clone, Debug)]
pub struct EndpointClient {
    address: HttpAddress,
    kept: Client,
    fresh: Client,
    first_byte: Duration,
    between_bytes: Duration,
}

/// Where a call stands when it ends early.
struct Progress {
    sent_head: bool,
    chunks: u32,
}

/// How a call ends early.
struct Ended {
    kind: OutcomeKind,
    ran: bool,
    detail: String,
}

impl Ended {
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
    /// Makes a client for the endpoint at an address.
    ///
    /// # Errors
    ///
    /// [`EndpointError`] if the HTTP library cannot start.
    pub fn try_new(
        address: HttpAddress,
        timeouts: &TimeoutSettings,
    ) -> Result<Self, Report<EndpointError>> {
        let connect = Duration::from_millis(timeouts.connect_ms);
        let builder = || Client::builder().connect_timeout(connect);
        let start = EndpointError;
        Ok(Self {
            address,
            kept: builder().build().change_context(start)?,
            // A kept connection may have gone silent, and a call lost on it
            // cannot be told from one that ran. Calls that may not be
            // repeated therefore get a connection of their own.
            fresh: builder()
                .pool_max_idle_per_host(0)
                .build()
                .change_context(start)?,
            first_byte: Duration::from_millis(timeouts.first_byte_ms),
            between_bytes: Duration::from_millis(timeouts.between_bytes_ms),
        })
    }

    /// Returns the address of the endpoint.
    #[inline]
    pub fn address(&self) -> &HttpAddress {
        &self.address
    }

    /// Runs a call to its end and sends its frames.
    ///
    /// `on_first` learns when the first byte of the body came.
    pub async fn run(
        &self,
        request: Request,
        answer: &Answer,
        on_first: impl FnOnce(),
    ) -> Outcome {
        let mut on_first = Some(on_first);
        let on_seen = |seen| {
            if seen != Seen::Stream
                && let Some(on_first) = on_first.take()
            {
                on_first();
            }
        };
        self.run_seen(request, answer, on_seen).await
    }

    /// Runs a call to its end, sends its frames and tells its progress.
    pub async fn run_seen(
        &self,
        request: Request,
        answer: &Answer,
        on_seen: impl FnMut(Seen),
    ) -> Outcome {
        let mut progress = Progress {
            sent_head: false,
            chunks: 0,
        };
        let deadline = deadline(request.deadline_ms);
        let work = self.work(request, answer, &mut progress, on_seen);
        let ended = tokio::select! {
            ended = work => ended,
            () = answer.closed() => Err(Ended::cancelled()),
            () = tokio::time::sleep_until(deadline) => {
                let detail = "the deadline passed at the endpoint";
                Err(Ended::new(OutcomeKind::TimedOut, true, detail))
            }
        };
        let ended = match ended {
            Ok(()) => Ok(()),
            Err(ended) => Err(self.examine(ended).await),
        };
        let outcome = match ended {
            Ok(()) => Outcome {
                kind: OutcomeKind::Complete,
                ran: true,
                detail: String::new(),
                chunks: progress.chunks,
            },
            Err(ended) => Outcome {
                kind: ended.kind,
                ran: ended.ran || progress.sent_head,
                detail: ended.detail,
                chunks: progress.chunks,
            },
        };
        // If the caller has left, nobody needs the end.
        let _ = answer.send(Frame::End(outcome.clone())).await;
        outcome
    }

    /// Finds out whether a call was cut off by the crash of the endpoint.
    async fn examine(&self, ended: Ended) -> Ended {
        let kinds = [OutcomeKind::Broken, OutcomeKind::Truncated];
        if !kinds.contains(&ended.kind)
            || !has_crashed(self.address.socket()).await
        {
            return ended;
        }
        let detail = format!("the endpoint crashed: {}", ended.detail);
        Ended::new(OutcomeKind::Crashed, true, detail)
    }

    async fn work(
        &self,
        request: Request,
        answer: &Answer,
        progress: &mut Progress,
        mut on_seen: impl FnMut(Seen),
    ) -> Result<(), Ended> {
        let mut response = self.send(request).await?;
        let head = Frame::Head {
            status: response.status().as_u16(),
            headers: headers_back(response.headers()),
        };
        answer.send(head).await.map_err(|_| Ended::cancelled())?;
        progress.sent_head = true;
        if is_event_stream(&response) {
            let mut events = EventSplitter::default();
            on_seen(Seen::Stream);
            while let Some(bytes) = self.next_bytes(&mut response).await? {
                events.push(&bytes);
                while let Some(event) = events.next_event().map_err(|_| {
                    let detail = "an event is too large";
                    Ended::new(OutcomeKind::Broken, true, detail)
                })? {
                    if EventSplitter::is_content(&event) {
                        on_seen(Seen::Event);
                    }
                    pass(answer, progress, event).await?;
                }
            }
            if !events.ended() {
                let detail = "the stream ended without its end mark";
                let kind = OutcomeKind::Truncated;
                return Err(Ended::new(kind, true, detail));
            }
            return Ok(());
        }
        while let Some(bytes) = self.next_bytes(&mut response).await? {
            on_seen(Seen::Bytes);
            pass(answer, progress, bytes).await?;
        }
        Ok(())
    }

    async fn send(&self, request: Request) -> Result<Response, Ended> {
        let client = if request.repeatable {
            &self.kept
        } else {
            &self.fresh
        };
        let method =
            Method::from_bytes(request.method.as_bytes()).map_err(|_| {
                let detail = "the method is not valid";
                Ended::new(OutcomeKind::NotSent, false, detail)
            })?;
        let url = self.address.join(&request.path);
        let mut call = client.request(method, url);
        for header in &request.headers {
            call = call.header(&header.name, &header.value);
        }
        call = call
            .header("x-request-id", request.request_id.as_str())
            .body(request.body);
        match timeout(self.first_byte, call.send()).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err(send_error(&error)),
            Err(_) => {
                let detail = "the endpoint sent nothing in time";
                Err(Ended::new(OutcomeKind::TimedOut, true, detail))
            }
        }
    }

    async fn next_bytes(
        &self,
        response: &mut Response,
    ) -> Result<Option<Bytes>, Ended> {
        match timeout(self.between_bytes, response.chunk()).await {
            Ok(Ok(bytes)) => Ok(bytes),
            Ok(Err(error)) => Err(Ended::new(
                OutcomeKind::Broken,
                true,
                format!("the answer broke: {error}"),
            )),
            // The connection went silent: nothing would ever come.
            Err(_) => Err(Ended::new(
                OutcomeKind::Broken,
                true,
                "the answer went silent",
            )),
        }
    }
}

async fn pass(
    answer: &Answer,
    progress: &mut Progress,
    bytes: Bytes,
) -> Result<(), Ended> {
    let seq = progress.chunks;
    let frame = Frame::Chunk { seq, bytes };
    answer.send(frame).await.map_err(|_| Ended::cancelled())?;
    progress.chunks += 1;
    Ok(())
}

/// Tells a call that was certainly not sent from one that may have run.
fn send_error(error: &reqwest::Error) -> Ended {
    if error.is_connect() || error.is_builder() {
        let detail = format!("cannot reach the endpoint: {error}");
        return Ended::new(OutcomeKind::NotSent, false, detail);
    }
    let detail = format!("the connection broke: {error}");
    Ended::new(OutcomeKind::Broken, true, detail)
}

fn deadline(deadline_ms: u64) -> Instant {
    const FAR: Duration = Duration::from_secs(86_400);
    match deadline_ms {
        0 => Instant::now() + FAR,
        ms => Instant::now() + Duration::from_millis(ms).min(FAR),
    }
}

fn is_event_stream(response: &Response) -> bool {
    response
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.starts_with("text/event-stream"))
}

fn headers_back(headers: &HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .filter(|(name, _)| !HOP_HEADERS.contains(&name.as_str()))
        .filter_map(|(name, value)| {
            Some(Header {
                name: name.as_str().to_owned(),
                value: value.to_str().ok()?.to_owned(),
            })
        })
        .collect()
}

impl EndpointClient {
    /// Gives the endpoint an order.
    ///
    /// # Errors
    ///
    /// A refusal with the endpoint's reason; one that timed out is not
    /// known to have been obeyed, and orders are repeatable.
    pub async fn order(&self, order: &Order) -> Result<(), Refusal> {
        let mut body: serde_json::Value = serde_json::from_slice(&order.body)
            .map_err(|error| {
                Refusal::new(RefusalKind::Invalid, error.to_string())
            })?;
        body["fence"] = order.fence.into();
        body["kind"] = order.kind.clone().into();
        let url = self.address.join("/orders");
        let call = self.fresh.post(url).json(&body).send();
        let failed =
            |detail: String| Refusal::new(RefusalKind::Failed, detail);
        match timeout(self.first_byte, call).await {
            Ok(Ok(reply)) if reply.status().is_success() => Ok(()),
            Ok(Ok(reply)) if reply.status().as_u16() == 409 => {
                let why = "the endpoint has obeyed a newer order";
                Err(Refusal::new(RefusalKind::StaleFence, why))
            }
            Ok(Ok(reply)) => Err(failed(format!("{}", reply.status()))),
            Ok(Err(error)) => Err(failed(error.to_string())),
            Err(_) => Err(failed("no answer in time".to_owned())),
        }
    }

    /// Asks the endpoint whether it lives.
    pub async fn is_healthy(&self, limit: Duration) -> bool {
        self.health(limit).await.is_some()
    }

    /// Asks the endpoint whether it lives, and which life that is.
    pub async fn health(&self, limit: Duration) -> Option<EndpointLife> {
        let url = self.address.join("/health");
        let ask = async {
            let reply = self.fresh.get(url).send().await.ok()?;
            if !reply.status().is_success() {
                return None;
            }
            let body = reply.bytes().await.ok()?;
            Some(EndpointLife::of_health(&body))
        };
        timeout(limit, ask).await.ok().flatten()
    }
}
