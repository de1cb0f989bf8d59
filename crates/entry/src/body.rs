//! Converts the frames of an endpoint's response into an HTTP body.

use std::{
    future::Future,
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::{Buf, Bytes};
use futures::future::BoxFuture;
use tokio::io::{AsyncRead, ReadBuf};
use web::{Problem, ProblemKind, Ran};
use wire::{
    Run,
    message::{Frame, Outcome, OutcomeKind},
};

use crate::{
    fleet::Flight,
    forward::{
        self, Prepared, Resume, ResumedStream, Standby, StreamingReply,
    },
    shared::Admitted,
};

/// Callback that receives how the body ended.
pub(crate) type OnEnd = Box<dyn FnOnce(&BodyEnd) + Send>;

/// How a response body ended.
#[derive(Debug)]
pub(crate) enum BodyEnd {
    /// The body is complete.
    Complete,
    /// The body is incomplete: the outcome of the run, or `None` if the link
    /// broke.
    Interrupted(Option<Outcome>),
    /// The caller disconnected.
    CallerLeft,
}

impl BodyEnd {
    /// Describes the end in a form for people.
    pub(crate) fn detail(&self) -> &str {
        match self {
            BodyEnd::Complete => "whole",
            BodyEnd::Interrupted(Some(outcome)) => &outcome.detail,
            BodyEnd::Interrupted(None) => "the link broke",
            BodyEnd::CallerLeft => "the caller left",
        }
    }
}

enum State {
    Idle(Box<Run>),
    Waiting(BoxFuture<'static, (Box<Run>, Option<Frame>)>),
    Resuming(
        BoxFuture<'static, Option<(Box<Resume>, ResumedStream)>>,
        BodyEnd,
    ),
    Done,
}

/// How an incomplete response is reported to the caller.
///
/// The server library ends a body of unknown length cleanly even when it
/// fails, so half a response would look complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Framing {
    /// An event stream: a final event reports the error, and the end mark is
    /// missing.
    Events,
    /// The length was sent before the body: the connection is closed early.
    Sized,
}

/// Response body that is read frame by frame.
pub(crate) struct ResponseBody {
    state: State,
    pending: Bytes,
    next_seq: u32,
    on_end: Option<OnEnd>,
    on_chunk: Arc<dyn Fn(u32) + Send + Sync>,
    admitted: Option<Admitted>,
    flight: Option<Flight>,
    framing: Framing,
    resume: Option<Box<Resume>>,
    standby: Option<Standby>,
    deadline: Option<BoxFuture<'static, ()>>,
}

impl ResponseBody {
    /// Creates the body of a response that has started. With `resume`, an
    /// interrupted stream is resumed at another endpoint.
    pub(crate) fn new(
        reply: StreamingReply,
        on_chunk: Arc<dyn Fn(u32) + Send + Sync>,
        on_end: OnEnd,
        mut resume: Option<Box<Resume>>,
    ) -> Self {
        let Some(first) = reply.first else {
            return Self::full(Bytes::new(), on_end, reply.flight);
        };
        if let Some(resume) = &mut resume {
            // The first event of the first attempt always goes to the caller.
            let _ = resume.filter_event(first.clone());
        }
        let standby = resume.as_ref().map(|_| Standby::new(&reply.run));
        Self {
            state: State::Idle(Box::new(reply.run)),
            pending: first,
            next_seq: reply.next_seq,
            on_end: Some(on_end),
            on_chunk,
            admitted: None,
            flight: Some(reply.flight),
            framing: reply.framing,
            resume,
            standby,
            deadline: None,
        }
    }

    /// Creates a body from bytes that are already complete.
    pub(crate) fn full(bytes: Bytes, on_end: OnEnd, flight: Flight) -> Self {
        flight.record_completion();
        drop(flight);
        on_end(&BodyEnd::Complete);
        Self {
            state: State::Done,
            pending: bytes,
            next_seq: 0,
            on_end: None,
            on_chunk: Arc::new(|_| ()),
            admitted: None,
            flight: None,
            framing: Framing::Sized,
            resume: None,
            standby: None,
            deadline: None,
        }
    }

    /// Ends the body when the deadline passes, even if its endpoint is silent
    /// then.
    pub(crate) fn with_deadline(
        mut self,
        deadline: impl Future<Output = ()> + Send + 'static,
    ) -> Self {
        self.deadline = Some(Box::pin(deadline));
        self
    }

    /// Holds the admission permits until the body has ended.
    pub(crate) fn hold_admission(&mut self, admitted: Admitted) {
        self.admitted = Some(admitted);
    }

    fn finish(&mut self, ended: &BodyEnd) {
        self.state = State::Done;
        self.admitted = None;
        self.standby = None;
        let flight = self.flight.take();
        if let (Some(flight), BodyEnd::Complete) = (&flight, ended) {
            flight.record_completion();
        }
        drop(flight);
        if let Some(on_end) = self.on_end.take() {
            on_end(ended);
        }
    }

    /// Handles a frame; `Ok(false)` means the end of the body.
    fn handle_frame(&mut self, frame: Option<Frame>) -> io::Result<bool> {
        match frame {
            Some(Frame::Chunk { seq, bytes }) if seq == self.next_seq => {
                self.next_seq += 1;
                if let Some(standby) = &mut self.standby {
                    standby.keep_first();
                }
                if let Some(flight) = &mut self.flight {
                    flight.advance_to(self.next_seq);
                }
                let bytes = match &mut self.resume {
                    Some(resume) => resume.filter_event(bytes),
                    None => Some(bytes),
                };
                if let Some(bytes) = bytes {
                    (self.on_chunk)(seq);
                    self.pending = bytes;
                }
                Ok(true)
            }
            Some(Frame::End(outcome)) if self.is_complete(&outcome) => {
                self.finish(&BodyEnd::Complete);
                Ok(false)
            }
            Some(Frame::End(outcome)) => self.interrupted(Some(outcome)),
            // A gap in the sequence or a second head: frames were lost.
            _ => self.interrupted(None),
        }
    }

    /// Reports whether the deadline has passed just now.
    fn poll_deadline(&mut self, cx: &mut Context<'_>) -> bool {
        let has_passed = self
            .deadline
            .as_mut()
            .is_some_and(|deadline| deadline.as_mut().poll(cx).is_ready());
        if has_passed {
            self.deadline = None;
        }
        has_passed
    }

    /// Returns the response of another endpoint if the link is silent and that
    /// endpoint has started.
    fn poll_standby(&mut self, cx: &mut Context<'_>) -> Poll<Prepared> {
        let parts = (&mut self.standby, &mut self.resume, &self.flight);
        match parts {
            (Some(standby), Some(resume), Some(flight)) => {
                standby.poll(cx, resume, flight)
            }
            _ => Poll::Pending,
        }
    }

    /// Continues at an endpoint that has started while the link was silent.
    fn hand_over(&mut self, prepared: Prepared) -> io::Result<bool> {
        if let Some(flight) = self.flight.take() {
            forward::record_incomplete(&flight, None);
        }
        let resumed = self.resume.take().map(|mut resume| {
            let why = "the link is silent";
            let resumed = resume.take_over(prepared, why);
            (resume, resumed)
        });
        self.continue_with(resumed, &BodyEnd::Interrupted(None))
    }

    fn deadline_passed(&mut self) -> io::Result<bool> {
        self.interrupted(Some(Outcome {
            kind: OutcomeKind::TimedOut,
            ran: true,
            detail: "the deadline passed".to_owned(),
            chunks: self.next_seq,
        }))
    }

    fn is_complete(&self, outcome: &Outcome) -> bool {
        outcome.kind == OutcomeKind::Complete
            && outcome.chunks == self.next_seq
    }

    /// Resumes the stream at another endpoint if possible.
    fn interrupted(&mut self, outcome: Option<Outcome>) -> io::Result<bool> {
        let kind = outcome.as_ref().map(|outcome| outcome.kind);
        let ended = BodyEnd::Interrupted(outcome);
        let Some(flight) = self.flight.take() else {
            return self.fail(&ended);
        };
        let Some(resume) = self.resume.take() else {
            forward::record_incomplete(&flight, kind);
            return self.fail(&ended);
        };
        let reason = ended.detail().to_owned();
        // The interrupted attempt is closed before another starts.
        self.state = State::Done;
        let preparing = self.standby.take().and_then(Standby::into_preparing);
        let resumed = Box::pin(resume.resume(flight, kind, reason, preparing));
        self.state = State::Resuming(resumed, ended);
        Ok(true)
    }

    fn continue_with(
        &mut self,
        resumed: Option<(Box<Resume>, ResumedStream)>,
        ended: &BodyEnd,
    ) -> io::Result<bool> {
        let Some((resume, resumed)) = resumed else {
            return self.fail(ended);
        };
        self.standby = Some(Standby::new(&resumed.run));
        self.state = State::Idle(Box::new(resumed.run));
        self.pending = resumed.first.unwrap_or_default();
        self.next_seq = resumed.next_seq;
        self.flight = Some(resumed.flight);
        self.resume = Some(resume);
        Ok(true)
    }

    fn fail(&mut self, ended: &BodyEnd) -> io::Result<bool> {
        let detail = ended.detail().to_owned();
        self.finish(ended);
        match self.framing {
            Framing::Events => {
                self.pending = error_event(&detail);
                Ok(true)
            }
            Framing::Sized => Err(io::Error::other(detail)),
        }
    }
}

/// Returns the event that reports an interrupted stream to the caller.
fn error_event(detail: &str) -> Bytes {
    let problem = Problem::new(ProblemKind::AnswerLost, detail);
    let error = problem.ran(Ran::Unknown).to_json();
    format!("data: {}\n\n", serde_json::json!({ "error": error })).into()
}

impl AsyncRead for ResponseBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            if !self.pending.is_empty() {
                let count = self.pending.len().min(buf.remaining());
                buf.put_slice(&self.pending[..count]);
                self.pending.advance(count);
                return Poll::Ready(Ok(()));
            }
            match std::mem::replace(&mut self.state, State::Done) {
                State::Done => return Poll::Ready(Ok(())),
                State::Idle(mut run) => {
                    self.state = State::Waiting(Box::pin(async move {
                        let frame = run.next().await;
                        (run, frame)
                    }));
                }
                State::Waiting(mut waiting) => {
                    match waiting.as_mut().poll(cx) {
                        Poll::Pending if self.poll_deadline(cx) => {
                            drop(waiting);
                            if !self.deadline_passed()? {
                                return Poll::Ready(Ok(()));
                            }
                        }
                        Poll::Pending => {
                            let Poll::Ready(prepared) = self.poll_standby(cx)
                            else {
                                self.state = State::Waiting(waiting);
                                return Poll::Pending;
                            };
                            // Cancels the call at the first endpoint.
                            drop(waiting);
                            if !self.hand_over(prepared)? {
                                return Poll::Ready(Ok(()));
                            }
                        }
                        Poll::Ready((run, frame)) => {
                            self.state = State::Idle(run);
                            if !self.handle_frame(frame)? {
                                return Poll::Ready(Ok(()));
                            }
                        }
                    }
                }
                State::Resuming(mut resumed, ended) => {
                    match resumed.as_mut().poll(cx) {
                        Poll::Pending => {
                            self.state = State::Resuming(resumed, ended);
                            return Poll::Pending;
                        }
                        Poll::Ready(resumed) => {
                            if !self.continue_with(resumed, &ended)? {
                                return Poll::Ready(Ok(()));
                            }
                        }
                    }
                }
            }
        }
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        self.finish(&BodyEnd::CallerLeft);
    }
}
