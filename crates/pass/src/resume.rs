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
    forward::{Holder, OfferHistory},
};

/// A stream that was resumed at another endpoint.
pub(crate) struct Continuation {
    pub(crate) exchange: Exchange,
    pub(crate) sent: Sent,
    pub(crate) history: OfferHistory,
}

/// A stream that resumes at another endpoint when its endpoint fails, or when
/// it is silent and another one has answered.
///
/// Only complete events are forwarded, so that the next endpoint can start
/// after the last of them. The first event binds the stream to the service and
/// version of its endpoint, in this response and for the client's next
/// attempts.
///
/// A sound endpoint may fall silent for a while, so a silence alone does not
/// end the response: if the endpoint goes on first, it keeps the stream.
pub(crate) struct ResumedBody {
    forwarder: Arc<Forwarder>,
    /// The response under way; none once it has failed.
    source: Option<Box<Exchange>>,
    search: Option<Search>,
    is_over: bool,
    splitter: EventSplitter,
    request_log: RequestLog,
    history: OfferHistory,
    /// The origin of the events that the client has; none before the first.
    origin: Option<Origin>,
    deadline: Pin<Box<Sleep>>,
    silence: Pin<Box<Sleep>>,
    silent_after: Duration,
    /// Why the stream leaves its endpoint, or looks for another one.
    reason: &'static str,
}

/// The search for an endpoint that takes a stream.
struct Search {
    found: Pin<Box<dyn Future<Output = Option<Continuation>> + Send>>,
    /// The endpoint that had the stream when the search began; none if it
    /// had none any more.
    holder: Option<Arc<Holder>>,
}

impl Search {
    /// Lets the search use endpoints as if the stream had none any more.
    fn mark_holder_failed(&self) {
        if let Some(holder) = &self.holder {
            holder.mark_failed();
        }
    }
}

/// Pause of a stream after which its endpoint counts as silent, in multiples
/// of the pause that the route allows: an engine that preempts a run and
/// recomputes its prompt takes about two.
const SILENT_GAPS: u64 = 3;

/// Minimum of that pause in milliseconds, for routes with a short pause
/// target or none.
const MIN_SILENT_MS: u64 = 600;

/// Reason for a search while the endpoint sends nothing.
const SILENT: &str = "silent";

impl ResumedBody {
    pub(crate) fn new(
        forwarder: Arc<Forwarder>,
        exchange: Exchange,
        request_log: RequestLog,
        history: OfferHistory,
    ) -> Self {
        let request = &request_log.request;
        let gap_target_ms = request.route().gap_target_ms();
        let silent_ms = gap_target_ms.saturating_mul(SILENT_GAPS);
        let silent_after = Duration::from_millis(silent_ms.max(MIN_SILENT_MS));
        Self {
            origin: history
                .binding()
                .map(|binding| Origin::Bound(binding.clone().into())),
            splitter: EventSplitter::new(request.resume_after()),
            deadline: Box::pin(sleep_until(request.ends_at())),
            silence: Box::pin(sleep_until(Instant::now() + silent_after)),
            silent_after,
            reason: "",
            forwarder,
            source: Some(Box::new(exchange)),
            search: None,
            is_over: false,
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
        while !self.is_over {
            if let Some(source) = &mut self.source {
                match source.poll_data(cx) {
                    Poll::Pending => {}
                    Poll::Ready(None) => {
                        return Poll::Ready(self.finish().map(Ok));
                    }
                    Poll::Ready(Some(Ok(chunk))) => {
                        match self.pass_on(chunk) {
                            Some(events) => {
                                return Poll::Ready(Some(Ok(events)));
                            }
                            None => continue,
                        }
                    }
                    Poll::Ready(Some(Err(error))) => {
                        self.leave_failed(error);
                        continue;
                    }
                }
            }
            if let Some(search) = &mut self.search {
                match search.found.as_mut().poll(cx) {
                    Poll::Ready(found) => {
                        if let Err(error) = self.settle_search(found) {
                            return self.fail(error, self.reason);
                        }
                    }
                    Poll::Pending => {
                        ready!(self.silence.as_mut().poll(cx));
                        self.avoid_source();
                    }
                }
                continue;
            }
            ready!(self.silence.as_mut().poll(cx));
            self.look_elsewhere();
        }
        Poll::Ready(None)
    }

    /// Ends a search; the error ends the stream, which has no endpoint.
    fn settle_search(
        &mut self,
        found: Option<Continuation>,
    ) -> Result<(), IncompleteResponse> {
        let search = self.search.take();
        let was_urgent = search.is_some_and(|s| s.holder.is_none());
        match found.filter(|_| self.has_certain_origin()) {
            Some(continuation) => self.continue_with(continuation),
            None if self.source.is_some() => self.restart_timer(),
            None if was_urgent => return Err(IncompleteResponse::Endpoint),
            None => self.search_urgently(),
        }
        Ok(())
    }

    fn pass_on(&mut self, chunk: Bytes) -> Option<Bytes> {
        self.restart_timer();
        self.end_search();
        let split = self.splitter.push(chunk);
        let has_events = !split.events.is_empty();
        if has_events {
            self.request_log.record_bytes(split.events.len());
            if self.origin.is_none() && has_event(&split.events) {
                self.bind();
            }
        }
        self.report_progress();
        has_events.then_some(split.events)
    }

    /// Ends the search for another endpoint, since the first one has gone on.
    /// A run that the search has begun is cancelled.
    fn end_search(&mut self) {
        if self.search.take().is_some() {
            if let Some(source) = &self.source {
                source.endpoint().record_success();
            }
            log::info!(
                request_id = self.request_log.request.id(),
                endpoint = self.request_log.sent.endpoint.as_str(),
                after = self.splitter.last_id().unwrap_or(0),
                age_ms = self.request_log.age_ms();
                "a silent stream goes on"
            );
        }
    }

    fn restart_timer(&mut self) {
        let silent_at = tokio::time::Instant::now() + self.silent_after;
        self.silence.as_mut().reset(silent_at);
    }

    /// Binds the stream to the endpoint that has sent its first event, before
    /// the client has it.
    fn bind(&mut self) {
        let Some(source) = &self.source else {
            return;
        };
        let endpoint = source.endpoint();
        let origin = match endpoint.has_changed_version() {
            true => Origin::Uncertain,
            false => Origin::of(endpoint.record()),
        };
        let request = &self.request_log.request;
        self.forwarder.record_origin(request, origin.clone());
        self.origin = Some(origin);
    }

    /// Reports whether another endpoint may continue the stream, as far as the
    /// version of its events is concerned.
    fn has_certain_origin(&mut self) -> bool {
        self.check_origin();
        !matches!(self.origin, Some(Origin::Uncertain))
    }

    /// Unbinds the stream if its endpoint has changed its version meanwhile:
    /// its events may be those of either version.
    fn check_origin(&mut self) {
        let Some(source) = &self.source else {
            return;
        };
        if self.origin.is_some() && source.endpoint().has_changed_version() {
            let request = &self.request_log.request;
            self.forwarder.record_origin(request, Origin::Uncertain);
            self.origin = Some(Origin::Uncertain);
        }
    }

    /// Returns the state from which another endpoint resumes the stream, or
    /// why none can. `holder` still has the stream and is not chosen.
    fn next_history(
        &self,
        holder: Option<Arc<Holder>>,
    ) -> Result<OfferHistory, &'static str> {
        let after = self.splitter.last_id();
        let binding = match &self.origin {
            None => None,
            Some(Origin::Bound(_)) if after.is_none() => {
                return Err("its events have no ids");
            }
            Some(Origin::Bound(beginning)) => {
                Some(beginning.binding().clone())
            }
            Some(Origin::Uncertain) => {
                return Err("the version of its events is uncertain");
            }
        };
        let request = &self.request_log.request;
        if !self.history.allows_run(request.route()) {
            return Err("the route allows no more attempts");
        }
        Ok(self.history.after_event(after, binding, holder))
    }

    /// Ends a complete stream; returns its last bytes, if any.
    fn finish(&mut self) -> Option<Bytes> {
        self.end();
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
        if let Some(source) = &mut self.source {
            source.advance_to(reached);
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
        let counters = &self.request_log.counters;
        Counters::add(&counters.resumed);
        if self.source.is_some() {
            Counters::add(&counters.streams_left_silent);
        }
        self.splitter.drop_partial();
        self.request_log.connection = continuation.exchange.connection();
        self.source = Some(Box::new(continuation.exchange));
        self.restart_timer();
        log::info!(
            request_id = self.request_log.request.id(),
            endpoint = self.request_log.sent.endpoint.as_str(),
            version = self.origin.as_ref().map_or("", Origin::version_text),
            reason = self.reason,
            after = self.splitter.last_id().unwrap_or(0),
            age_ms = self.request_log.age_ms();
            "a stream is taken up at another endpoint"
        );
    }

    /// Drops a response that has failed, which closes its connection.
    fn leave_failed(&mut self, error: IncompleteResponse) {
        self.request_log.record_incomplete(error);
        self.check_origin();
        self.reason = error.as_str();
        self.source = None;
        self.splitter.drop_partial();
        match &self.search {
            Some(search) => search.mark_holder_failed(),
            None => self.search_urgently(),
        }
    }

    /// Looks for an endpoint for a stream that has none any more.
    fn search_urgently(&mut self) {
        let history = self.next_history(None);
        self.start_search(history, None);
    }

    /// Avoids a silent endpoint and looks for another one, if any can resume
    /// the stream. Until that one answers, the stream stays where it is.
    fn look_elsewhere(&mut self) {
        self.check_origin();
        self.avoid_source();
        let Some(source) = &self.source else {
            return;
        };
        let holder = Arc::new(Holder::new(&source.endpoint().record().id));
        self.reason = SILENT;
        let history = self.next_history(Some(holder.clone()));
        self.start_search(history, Some(holder));
    }

    /// Avoids the endpoint of the stream for new requests until the next
    /// check whether it is still silent.
    fn avoid_source(&mut self) {
        if let Some(source) = &self.source {
            let request = &self.request_log.request;
            let after = self.splitter.last_id();
            self.forwarder.avoid(request, source.endpoint(), after);
        }
        self.restart_timer();
    }

    fn start_search(
        &mut self,
        history: Result<OfferHistory, &'static str>,
        holder: Option<Arc<Holder>>,
    ) {
        let request = self.request_log.request.clone();
        let forwarder = self.forwarder.clone();
        let found = async move {
            match history {
                Ok(history) => {
                    forwarder.resume_stream(&request, history).await
                }
                Err(reason) => {
                    log::info!(
                        request_id = request.id(),
                        reason;
                        "a stream was not resumed"
                    );
                    None
                }
            }
        };
        self.search = Some(Search {
            found: Box::pin(found),
            holder,
        });
    }

    /// Drops everything that is under way.
    fn end(&mut self) {
        self.is_over = true;
        self.source = None;
        self.search = None;
    }

    fn fail(
        &mut self,
        error: IncompleteResponse,
        cause: &'static str,
    ) -> Poll<Option<Result<Bytes, IncompleteResponse>>> {
        self.request_log.record_cut(error, cause);
        self.end();
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
