use std::{
    future::poll_fn,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use base::Millis;
use bytes::Bytes;
use fleet::{Endpoint, FailureKind, RouteKind};
use framing::{BodyCheck, Content, Framing};
use http::{HeaderMap, StatusCode, header, response::Parts};
use http_body::Body;
use hyper::body::Incoming;

use crate::{
    IncompleteResponse, Pool, Run, cause::connection_failure,
    channel::Channel, connection_use::ConnectionUse,
    stream_timer::StreamTimer,
};

/// A response of an endpoint that is being read.
///
/// Dropping the exchange before the response is complete closes the
/// connection, so that the endpoint stops its work. After a complete response
/// the connection is reused.
#[derive(Debug)]
pub struct Exchange {
    head: Option<Parts>,
    status: StatusCode,
    body: Incoming,
    /// What was read of the body by [`Self::check_begun`].
    first: Option<Result<Bytes, IncompleteResponse>>,
    channel: Option<Channel>,
    run: Run,
    pool: Arc<Pool>,
    reusable: bool,
    is_complete: bool,
    check: BodyCheck,
    /// When the head arrived.
    head_at: Millis,
    /// Measures the speed of the endpoint, if it is measured.
    timer: Option<StreamTimer>,
}

impl Exchange {
    pub(crate) fn new(
        head: Parts,
        body: Incoming,
        channel: Channel,
        run: Run,
        pool: Arc<Pool>,
        head_at: Millis,
        reusable: bool,
    ) -> Self {
        let check = body_check(&head, &body, &run);
        Self {
            status: head.status,
            is_complete: body.is_end_stream() && check.finish().is_ok(),
            check,
            head: Some(head),
            body,
            first: None,
            channel: Some(channel),
            run,
            pool,
            head_at,
            reusable,
            timer: None,
        }
    }

    /// Measures the speed of the endpoint if the response is a stream.
    pub(crate) fn measure_speed(&mut self, timer: StreamTimer) {
        if self.is_event_stream() && self.status.is_success() {
            self.timer = Some(timer);
        }
    }

    /// Returns the status.
    #[inline]
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Returns the headers, or `None` after the head was taken.
    pub fn headers(&self) -> Option<&HeaderMap> {
        self.head.as_ref().map(|head| &head.headers)
    }

    /// Takes the head; later calls return `None`.
    pub(crate) fn take_head(&mut self) -> Option<Parts> {
        self.head.take()
    }

    /// Returns the endpoint.
    #[inline]
    pub fn endpoint(&self) -> &Endpoint {
        self.run.endpoint()
    }

    /// Returns the connection of the response.
    pub(crate) fn connection(&self) -> ConnectionUse {
        self.run.connection()
    }

    /// Returns whether the response was read to its end.
    #[inline]
    pub fn is_complete(&self) -> bool {
        self.is_complete && self.first.is_none()
    }

    /// Returns how the end of the response is marked.
    #[inline]
    pub fn framing(&self) -> Framing {
        self.check.framing()
    }

    /// Reports whether a length or chunks mark the end of the response.
    #[inline]
    pub fn has_marked_end(&self) -> bool {
        self.framing() != Framing::UntilClose
    }

    /// Returns whether the response is a stream of events.
    #[inline]
    pub(crate) fn is_event_stream(&self) -> bool {
        self.check.is_event_stream()
    }

    /// Records how much of the response has arrived, see [`Run::reached`].
    pub fn advance_to(&mut self, reached: u64) {
        self.run.advance_to(reached);
    }

    fn interrupt(&mut self, cause: &'static str) {
        // An endpoint that breaks off its streams must not seem fast.
        self.timer = None;
        self.run.mark_interrupted(self.framing().as_str(), cause);
    }

    fn now(&self) -> Millis {
        let since_head = self.run.since_head().unwrap_or_default();
        self.head_at
            .saturating_add_ms(since_head.as_millis() as u64)
    }

    /// Gives up a response with an event without end, and avoids its endpoint.
    fn leave_endless_event(&mut self) {
        let now = self.now();
        let endpoint = self.run.endpoint();
        endpoint.record_failure(FailureKind::BadResponse, now);
        self.interrupt("an event has no end");
    }

    /// Decides whether the body is complete, once it has ended in order.
    fn finish(&mut self) -> Result<(), IncompleteResponse> {
        match self.check.finish() {
            Ok(()) => {
                self.is_complete = true;
                self.report_if_complete();
                Ok(())
            }
            Err(truncation) => {
                self.interrupt(truncation.as_str());
                Err(IncompleteResponse::Truncated(truncation))
            }
        }
    }

    /// Reports a complete response to the observer of the run.
    pub(crate) fn report_if_complete(&mut self) {
        if self.is_complete {
            self.run.answered(self.framing());
        }
    }

    /// Returns the length of the body if it is known and marks the end of the
    /// complete body. The length of a stream does not: a stream that ends
    /// inside an event is incomplete, whatever its length.
    pub(crate) fn exact_length(&self) -> Option<u64> {
        match self.is_event_stream() {
            true => None,
            false => self.body.size_hint().exact(),
        }
    }

    /// Checks whether the connection of a response whose end only the
    /// connection marks was lost before any byte of its body. Waits for
    /// nothing.
    ///
    /// # Errors
    ///
    /// [`IncompleteResponse::Endpoint`] if it was.
    pub(crate) async fn check_begun(
        &mut self,
    ) -> Result<(), IncompleteResponse> {
        if self.has_marked_end() {
            return Ok(());
        }
        let first = poll_fn(|cx| match self.poll_data(cx) {
            Poll::Ready(first) => Poll::Ready(first),
            Poll::Pending => Poll::Ready(None),
        });
        match first.await {
            Some(Err(error @ IncompleteResponse::Endpoint)) => Err(error),
            first => {
                self.first = first;
                Ok(())
            }
        }
    }

    /// Reads the next bytes; `None` marks the end of a complete response.
    pub fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, IncompleteResponse>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(first));
        }
        loop {
            let frame = match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(frame) => frame,
            };
            match frame {
                None => return Poll::Ready(self.finish().err().map(Err)),
                Some(Err(error)) => {
                    self.interrupt(connection_failure(&error));
                    return Poll::Ready(Some(Err(
                        IncompleteResponse::Endpoint,
                    )));
                }
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.check.push(&data);
                    if let Some(timer) = &mut self.timer {
                        timer.record_events(self.check.events());
                    }
                    if self.check.has_endless_event() {
                        self.leave_endless_event();
                        return Poll::Ready(Some(Err(
                            IncompleteResponse::Endpoint,
                        )));
                    }
                    if self.body.is_end_stream() {
                        // The next call reports a truncation.
                        let _ = self.finish();
                    }
                    return Poll::Ready(Some(Ok(data)));
                }
            }
        }
    }
}

/// Creates the check of a response's body.
fn body_check(head: &Parts, body: &Incoming, run: &Run) -> BodyCheck {
    let length = body.size_hint().exact();
    let framing = Framing::of(head.version, &head.headers, length);
    let content = content(head, run.route_kind(), framing);
    let check = BodyCheck::new(framing, content);
    match run.resumed_after() {
        0 => check,
        _ => check.resumed(),
    }
}

/// Returns what a response consists of. Whoever resumes a stream or runs an
/// item reads events, whatever the content type.
fn content(head: &Parts, kind: RouteKind, framing: Framing) -> Content {
    let is_undeclared = !head.headers.contains_key(header::CONTENT_TYPE);
    let is_unmarked = framing == Framing::UntilClose;
    match kind {
        _ if !head.status.is_success() => Content::of(&head.headers),
        RouteKind::ResumableStream | RouteKind::Batch => Content::Events,
        RouteKind::Stream if is_undeclared && is_unmarked => Content::Events,
        _ => Content::of(&head.headers),
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.run.endpoint().end_request();
        if let Some(timer) = self.timer.take() {
            timer.record_sample(self.run.endpoint(), self.now());
        }
        let Some(channel) = self.channel.take() else {
            return;
        };
        let is_open = self.framing() != Framing::UntilClose;
        if self.is_complete && self.reusable && is_open {
            self.pool.release(self.run.endpoint(), channel);
        } else {
            channel.abort();
        }
    }
}
