use std::{
    fmt,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use bytes::Bytes;
use origins::Origin;
use tokio::time::Sleep;

use crate::{
    Counters, EventSplitter, Exchange, Forwarder, IncompleteResponse,
    answer::{ANSWERED, RequestLog, Sent, sleep_until},
    forward::OfferHistory,
};

type Resuming = Pin<Box<dyn Future<Output = Option<Continuation>> + Send>>;

/// A stream that was resumed at another endpoint.
pub(crate) struct Continuation {
    pub(crate) exchange: Exchange,
    pub(crate) sent: Sent,
    pub(crate) history: OfferHistory,
}

/// A stream that resumes at another endpoint when its endpoint fails.
///
/// Only complete events are forwarded, so that the next endpoint can start
/// after the last of them. The first event binds the stream to the service and
/// version of its endpoint, in this response and for the client's next
/// attempts.
pub(crate) struct ResumedBody {
    forwarder: Arc<Forwarder>,
    state: State,
    splitter: EventSplitter,
    request_log: RequestLog,
    history: OfferHistory,
    /// The origin of the events that the client has; none before the first.
    origin: Option<Origin>,
    deadline: Pin<Box<Sleep>>,
    stall: Pin<Box<Sleep>>,
    stall_after: Duration,
    /// Why the stream left its last endpoint.
    left_for: &'static str,
}

enum State {
    Reading(Box<Exchange>),
    Resuming(Resuming),
    Over,
}

/// Pause of a stream after which its endpoint counts as silent, in multiples
/// of the pause that the route allows: an engine that preempts a run and
/// recomputes its prompt takes about two.
const STALL_GAPS: u64 = 3;

/// Minimum of that pause in milliseconds, for routes with a short pause
/// target or none.
const MIN_STALL_MS: u64 = 600;

/// Reason for leaving an endpoint that has sent nothing for too long.
const SILENT: &str = "silent";

impl ResumedBody {
    pub(crate) fn new(
        forwarder: Arc<Forwarder>,
        exchange: Exchange,
        request_log: RequestLog,
        history: OfferHistory,
    ) -> Self {
        let request = &request_log.request;
        let stall_ms =
            (request.route().gap_target_ms() * STALL_GAPS).max(MIN_STALL_MS);
        let stall_after = Duration::from_millis(stall_ms);
        Self {
            origin: history.binding().cloned().map(Origin::Bound),
            splitter: EventSplitter::new(request.resume_after()),
            deadline: Box::pin(sleep_until(request.ends_at())),
            stall: Box::pin(sleep_until(Instant::now() + stall_after)),
            stall_after,
            left_for: "",
            forwarder,
            state: State::Reading(Box::new(exchange)),
            request_log,
            history,
        }
    }

    pub(crate) fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, IncompleteResponse>>> {
        if self.deadline.as_mut().poll(cx).is_ready() {
            let error = IncompleteResponse::Deadline;
            return self.fail(error, error.as_str());
        }
        loop {
            match &mut self.state {
                State::Over => return Poll::Ready(None),
                State::Resuming(resuming) => {
                    match ready!(resuming.as_mut().poll(cx)) {
                        Some(continuation) => self.continue_with(continuation),
                        None => {
                            let error = IncompleteResponse::Endpoint;
                            return self.fail(error, self.left_for);
                        }
                    }
                }
                State::Reading(exchange) => {
                    let data = match exchange.poll_data(cx) {
                        Poll::Ready(data) => data,
                        Poll::Pending => {
                            ready!(self.stall.as_mut().poll(cx));
                            self.resume_elsewhere(SILENT);
                            continue;
                        }
                    };
                    match data {
                        Some(Ok(chunk)) => {
                            let events = self.pass_on(chunk);
                            self.report_progress();
                            if let Some(events) = events {
                                return Poll::Ready(Some(Ok(events)));
                            }
                        }
                        Some(Err(error)) => {
                            self.request_log.record_incomplete(error);
                            self.resume_elsewhere(error.as_str());
                        }
                        None => return Poll::Ready(self.finish().map(Ok)),
                    }
                }
            }
        }
    }

    fn pass_on(&mut self, chunk: Bytes) -> Option<Bytes> {
        let stall_at = tokio::time::Instant::now() + self.stall_after;
        self.stall.as_mut().reset(stall_at);
        let split = self.splitter.push(chunk);
        if split.events.is_empty() {
            return None;
        }
        self.request_log.record_bytes(split.events.len());
        if self.origin.is_none() && has_event(&split.events) {
            self.bind();
        }
        Some(split.events)
    }

    /// Binds the stream to the endpoint that has sent its first event, before
    /// the client has it.
    fn bind(&mut self) {
        let State::Reading(exchange) = &self.state else {
            return;
        };
        let endpoint = exchange.endpoint();
        let origin = match endpoint.has_changed_version() {
            true => Origin::Uncertain,
            false => Origin::of(endpoint.record()),
        };
        let request = &self.request_log.request;
        self.forwarder.record_origin(request, origin.clone());
        self.origin = Some(origin);
    }

    /// Unbinds the stream if its endpoint has changed its version meanwhile:
    /// its events may be those of either version.
    fn check_origin(&mut self) {
        let State::Reading(exchange) = &self.state else {
            return;
        };
        if self.origin.is_some() && exchange.endpoint().has_changed_version() {
            let request = &self.request_log.request;
            self.forwarder.record_origin(request, Origin::Uncertain);
            self.origin = Some(Origin::Uncertain);
        }
    }

    /// Returns the state from which the next endpoint resumes the stream, or
    /// `None` if none can.
    fn next_history(&self, after: Option<u64>) -> Option<OfferHistory> {
        match &self.origin {
            None => Some(self.history.after_broken_stream(after, None)),
            Some(Origin::Bound(_)) if after.is_none() => {
                self.log_not_resumed("its events have no ids");
                None
            }
            Some(Origin::Bound(binding)) => {
                let binding = Some(binding.clone());
                Some(self.history.after_broken_stream(after, binding))
            }
            Some(Origin::Uncertain) => {
                self.log_not_resumed("the version of its events is uncertain");
                None
            }
        }
    }

    fn log_not_resumed(&self, reason: &'static str) {
        log::info!(
            request_id = self.request_log.request.id(),
            reason;
            "a stream was not resumed"
        );
    }

    /// Ends a complete stream; returns its last bytes, if any.
    fn finish(&mut self) -> Option<Bytes> {
        self.state = State::Over;
        self.request_log.set_outcome(ANSWERED);
        let rest = self.splitter.take_rest();
        if rest.is_empty() {
            return None;
        }
        self.request_log.record_bytes(rest.len());
        Some(rest)
    }

    fn report_progress(&mut self) {
        let reached = self.splitter.last_id().unwrap_or(0);
        if let State::Reading(exchange) = &mut self.state {
            exchange.advance_to(reached);
        }
    }

    fn continue_with(&mut self, continuation: Continuation) {
        let before = &self.request_log.sent;
        if self.splitter.last_id().is_some()
            && before.version != continuation.sent.version
        {
            Counters::add(&self.request_log.counters.versions_mixed);
        }
        let offers = before.offers + continuation.sent.offers;
        self.request_log.sent = Sent {
            offers,
            ..continuation.sent
        };
        self.history = continuation.history;
        self.request_log.resumed += 1;
        Counters::add(&self.request_log.counters.resumed);
        self.state = State::Reading(Box::new(continuation.exchange));
        let stall_at = tokio::time::Instant::now() + self.stall_after;
        self.stall.as_mut().reset(stall_at);
    }

    /// Drops the response, which closes its connection, and requests the
    /// remainder from another endpoint.
    fn resume_elsewhere(&mut self, reason: &'static str) {
        self.splitter.drop_partial();
        self.check_origin();
        self.left_for = reason;
        if reason == SILENT {
            Counters::add(&self.request_log.counters.streams_left_silent);
        }
        let request = &self.request_log.request;
        let after = self.splitter.last_id();
        log::info!(
            request_id = request.id(),
            endpoint = self.request_log.sent.endpoint.as_str(),
            version = self.origin.as_ref().map_or("", Origin::version_text),
            reason,
            after = after.unwrap_or(0),
            age_ms = self.request_log.age_ms();
            "a stream is taken up at another endpoint"
        );
        self.state = State::Over;
        let forwarder = self.forwarder.clone();
        let request = request.clone();
        let history = self.next_history(after);
        self.state = State::Resuming(Box::pin(async move {
            forwarder.resume_stream(&request, history?).await
        }));
    }

    fn fail(
        &mut self,
        error: IncompleteResponse,
        cause: &'static str,
    ) -> Poll<Option<Result<Bytes, IncompleteResponse>>> {
        self.request_log.record_cut(error, cause);
        self.state = State::Over;
        Poll::Ready(Some(Err(error)))
    }
}

impl fmt::Debug for ResumedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ResumedBody")
            .field("request_log", &self.request_log)
            .finish_non_exhaustive()
    }
}

/// Reports whether forwarded bytes contain an event, and not only comments,
/// which endpoints send to keep a connection open.
fn has_event(bytes: &[u8]) -> bool {
    let mut lines = bytes.split(|byte| matches!(byte, b'\n' | b'\r'));
    lines.any(|line| line.first().is_some_and(|first| *first != b':'))
}
