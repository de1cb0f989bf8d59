use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use budget::Reservation;
use bytes::Bytes;
use execution::PossibleRuns;
use http_body::{Body, Frame, SizeHint};
use tokio::time::Sleep;

use crate::{
    Counters, Exchange, Inbound, IncompleteResponse, caller::ResetFlag,
    connection::CallerConnection, connection_use::ConnectionUse,
    resume::ResumedBody,
};

/// The body of a response to a client.
#[derive(Debug)]
pub struct ResponseBody {
    inner: Inner,
    /// Set if the response turns out to be incomplete.
    reset: Option<ResetFlag>,
    /// The connection that is free for the next request after the response.
    connection: Option<CallerConnection>,
    /// The memory of a response of this node.
    reservation: Option<Reservation>,
    /// The error that the next poll returns.
    error: Option<IncompleteResponse>,
}

#[derive(Debug)]
enum Inner {
    Bytes(Option<Bytes>),
    Forwarded(Box<ForwardedBody>),
    Resumed(Box<ResumedBody>),
}

impl ResponseBody {
    /// Creates a body from bytes of this node.
    pub fn from_bytes(bytes: Bytes) -> Self {
        Self::new(Inner::Bytes(Some(bytes)))
    }

    pub(crate) fn forwarded(body: ForwardedBody) -> Self {
        Self::new(Inner::Forwarded(Box::new(body)))
    }

    pub(crate) fn resumed(body: ResumedBody) -> Self {
        Self::new(Inner::Resumed(Box::new(body)))
    }

    fn new(inner: Inner) -> Self {
        Self {
            inner,
            reset: None,
            connection: None,
            reservation: None,
            error: None,
        }
    }

    /// Holds the memory that is reserved for the bytes until they are sent.
    #[must_use]
    pub fn with_reservation(mut self, reservation: Reservation) -> Self {
        self.reservation = Some(reservation);
        self
    }

    /// Marks the connection as free for the next request when the body ends.
    pub(crate) fn release_at_end(&mut self, connection: CallerConnection) {
        self.connection = Some(connection);
    }

    /// Resets the connection to the client if the response is incomplete.
    pub(crate) fn reset_if_incomplete(&mut self, reset: ResetFlag) {
        self.reset = Some(reset);
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.waiting();
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = IncompleteResponse;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteResponse>>> {
        let body = self.get_mut();
        if let Some(error) = body.error.take() {
            body.inner = Inner::Bytes(None);
            return Poll::Ready(Some(Err(error)));
        }
        let data = match &mut body.inner {
            Inner::Bytes(bytes) => Poll::Ready(bytes.take().map(Ok)),
            Inner::Forwarded(body) => body.poll_data(cx),
            Inner::Resumed(body) => body.poll_data(cx),
        };
        if let Poll::Ready(Some(Err(error))) = &data {
            if let Some(reset) = &body.reset {
                reset.set();
            }
            // The server library drops what it has not written yet when it
            // meets an error, and writes it while the body is pending.
            body.error = Some(*error);
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        data.map(|data| data.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match &self.inner {
            Inner::Bytes(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Inner::Forwarded(body) => body.exchange.is_complete(),
            Inner::Resumed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.inner {
            Inner::Bytes(bytes) => {
                let length = bytes.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(length as u64)
            }
            Inner::Forwarded(body) => match body.exchange.exact_length() {
                Some(length) => SizeHint::with_exact(length),
                None => SizeHint::default(),
            },
            Inner::Resumed(_) => SizeHint::default(),
        }
    }
}

/// Where a request was sent, and the data on which that was decided.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sent {
    pub(crate) endpoint: String,
    /// Software version of the endpoint, empty if unknown.
    pub(crate) version: String,
    pub(crate) estimated_load: u32,
    /// Class of the endpoint's speed, empty while it does not matter.
    pub(crate) speed_class: &'static str,
    pub(crate) directory_revision: u64,
    pub(crate) offers: u32,
    /// Time from the arrival of the request to its last offer.
    pub(crate) waited_ms: u64,
}

/// Tracks one request to its end and writes its log line.
///
/// Dropping it without an outcome means that the client disconnected.
#[derive(Debug)]
pub(crate) struct RequestLog {
    pub(crate) request: Arc<Inbound>,
    pub(crate) counters: Arc<Counters>,
    pub(crate) config_version: u64,
    pub(crate) sent: Sent,
    pub(crate) status: u16,
    /// Whose status it is: `endpoint`, `node`, or empty before the head.
    source: &'static str,
    /// The copies of the request that ran or may have run.
    runs: PossibleRuns,
    /// The connection of the endpoint's response.
    pub(crate) connection: ConnectionUse,
    pub(crate) first_byte_ms: u64,
    pub(crate) resumed: u32,
    /// How the end of the endpoint's response is marked.
    pub(crate) framing: &'static str,
    /// What the content showed if the response ended too early.
    truncation: &'static str,
    /// Why the response is incomplete, empty if it is complete.
    cause: &'static str,
    bytes: u64,
    last_bytes_at: Option<Instant>,
    longest_pause: Duration,
    outcome: Option<&'static str>,
}

impl RequestLog {
    pub(crate) fn new(
        request: Arc<Inbound>,
        counters: Arc<Counters>,
        config_version: u64,
        runs: PossibleRuns,
    ) -> Self {
        Self {
            request,
            counters,
            config_version,
            sent: Sent::default(),
            status: 0,
            source: "",
            runs,
            connection: ConnectionUse::default(),
            first_byte_ms: 0,
            resumed: 0,
            framing: "",
            truncation: "",
            cause: "",
            bytes: 0,
            last_bytes_at: None,
            longest_pause: Duration::ZERO,
            outcome: None,
        }
    }

    pub(crate) fn age_ms(&self) -> u64 {
        self.request.arrived().elapsed().as_millis() as u64
    }

    /// Records the head of the response, and whose response it is.
    pub(crate) fn record_head(&mut self, status: u16, source: &'static str) {
        self.status = status;
        self.source = source;
        self.first_byte_ms = self.age_ms();
        let age = self.request.arrived().elapsed();
        self.counters.first_byte_ms.record(age);
    }

    /// Records bytes that were forwarded.
    pub(crate) fn record_bytes(&mut self, bytes: usize) {
        self.bytes += bytes as u64;
        let now = Instant::now();
        if let Some(previous) = self.last_bytes_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now - previous);
        }
    }

    /// Records why the endpoint's response is incomplete.
    pub(crate) fn record_incomplete(&mut self, error: IncompleteResponse) {
        if let IncompleteResponse::Truncated(truncation) = error {
            self.truncation = truncation.as_str();
            Counters::add(&self.counters.responses_truncated);
        }
    }

    /// Records that a response that has begun ends before it is complete.
    pub(crate) fn record_cut(
        &mut self,
        error: IncompleteResponse,
        cause: &'static str,
    ) {
        self.set_outcome(FAILED);
        self.cause = cause;
        if error != IncompleteResponse::Deadline {
            Counters::add(&self.counters.responses_cut);
        }
    }

    /// Records the outcome of the request; only the first one counts.
    pub(crate) fn set_outcome(&mut self, outcome: &'static str) {
        self.outcome.get_or_insert(outcome);
    }
}

/// Source of the status of an endpoint's response.
pub(crate) const ENDPOINT: &str = "endpoint";
/// Source of the status of a node's own response.
pub(crate) const NODE: &str = "node";

/// Outcome of a request with a complete response of an endpoint.
pub(crate) const ANSWERED: &str = "answered";
/// Outcome of a request that was refused and did not run.
pub(crate) const REFUSED: &str = "refused";
/// Outcome of a request that may have run and has no complete response.
pub(crate) const FAILED: &str = "failed";

impl Drop for RequestLog {
    fn drop(&mut self) {
        let outcome = self.outcome.unwrap_or("caller_left");
        let counters = &self.counters;
        Counters::add(match outcome {
            ANSWERED => &counters.answered,
            REFUSED => &counters.refused,
            FAILED => &counters.failed,
            _ => &counters.caller_left,
        });
        counters.whole_ms.record(self.request.arrived().elapsed());
        log::info!(
            request_id = self.request.id(),
            route = self.request.route().name(),
            customer = self.request.customer(),
            outcome,
            status = self.status,
            source = self.source,
            ran:% = self.runs.ran(),
            possible_runs = self.runs.count(),
            connection:% = self.connection,
            endpoint = self.sent.endpoint.as_str(),
            version = self.sent.version.as_str(),
            resume_after = self.request.resume_after().unwrap_or(0),
            resumes = self.request.resumes().unwrap_or_default(),
            offers = self.sent.offers,
            load = self.sent.estimated_load,
            speed_class = self.sent.speed_class,
            config = self.config_version,
            directory = self.sent.directory_revision,
            waited_ms = self.sent.waited_ms,
            first_byte_ms = self.first_byte_ms,
            target_ms = self.request.route().target_latency_ms(),
            pause_ms = self.longest_pause.as_millis() as u64,
            pause_target_ms = self.request.route().gap_target_ms(),
            resumed = self.resumed,
            total_ms = self.age_ms(),
            framing = self.framing,
            truncation = self.truncation,
            cause = self.cause,
            bytes = self.bytes;
            "a request ended"
        );
    }
}

/// Time after the deadline of a request in which bytes of its response are
/// delivered that are there already, in milliseconds.
const LATE_DELIVERY_MS: u64 = 250;

/// A response that is forwarded as it arrives.
#[derive(Debug)]
pub(crate) struct ForwardedBody {
    pub(crate) exchange: Exchange,
    pub(crate) request_log: RequestLog,
    deadline: Pin<Box<Sleep>>,
}

impl ForwardedBody {
    pub(crate) fn new(
        exchange: Exchange,
        mut request_log: RequestLog,
    ) -> Self {
        if exchange.is_complete() {
            request_log.set_outcome(ANSWERED);
        }
        let deadline = Box::pin(sleep_until(request_log.request.ends_at()));
        Self {
            exchange,
            request_log,
            deadline,
        }
    }

    fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, IncompleteResponse>>> {
        match self.exchange.poll_data(cx) {
            Poll::Pending => {}
            Poll::Ready(data) => {
                match &data {
                    None => self.request_log.set_outcome(ANSWERED),
                    Some(Err(error)) => {
                        self.request_log.record_incomplete(*error);
                        self.request_log.record_cut(*error, error.as_str());
                    }
                    Some(Ok(_)) if self.is_overdue() => {
                        return self.end_at_deadline();
                    }
                    Some(Ok(data)) => {
                        self.request_log.record_bytes(data.len());
                        self.exchange.advance_to(self.request_log.bytes);
                        if self.exchange.is_complete() {
                            self.request_log.set_outcome(ANSWERED);
                        }
                    }
                }
                return Poll::Ready(data);
            }
        }
        if self.deadline.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        self.end_at_deadline()
    }

    /// Reports whether bytes still arrive well after the deadline. What is
    /// ready then is delivered; a body without end never is.
    fn is_overdue(&self) -> bool {
        let since = self.request_log.request.ends_at().elapsed();
        since >= Duration::from_millis(LATE_DELIVERY_MS)
    }

    fn end_at_deadline(
        &mut self,
    ) -> Poll<Option<Result<Bytes, IncompleteResponse>>> {
        let error = IncompleteResponse::Deadline;
        self.request_log.record_cut(error, error.as_str());
        Poll::Ready(Some(Err(error)))
    }
}

pub(crate) fn sleep_until(at: Instant) -> Sleep {
    tokio::time::sleep_until(at.into())
}
