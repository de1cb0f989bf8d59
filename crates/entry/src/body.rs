//! Turns the frames of an answer into the body of a response.

use std::{
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
    forward::{self, Again, Answering, Resume},
    shared::Admitted,
};

/// Learns how an answer ended.
pub(crate) type OnEnd = Box<dyn FnOnce(&Ended) + Send>;

/// How the body of an answer ended.
#[derive(Debug)]
pub(crate) enum Ended {
    /// Whole.
    Complete,
    /// With this outcome, or with none when the link broke.
    Broken(Option<Outcome>),
    /// The caller left.
    Left,
}

impl Ended {
    /// Says for people how the answer ended.
    pub(crate) fn detail(&self) -> &str {
        match self {
            Ended::Complete => "whole",
            Ended::Broken(Some(outcome)) => &outcome.detail,
            Ended::Broken(None) => "the link broke",
            Ended::Left => "the caller left",
        }
    }
}

enum State {
    Idle(Box<Run>),
    Waiting(BoxFuture<'static, (Box<Run>, Option<Frame>)>),
    Resuming(BoxFuture<'static, Option<(Box<Resume>, Again)>>, Ended),
    Done,
}

/// How a caller learns that an answer is not whole.
///
/// The server library ends a body of unknown length cleanly even when it
/// fails, so that half an answer would look like a whole one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Framing {
    /// An event stream: a last event tells the error, and the end mark is
    /// missing.
    Events,
    /// The length went before the body: the connection is cut.
    Sized,
}

/// Reads an answer frame by frame.
pub(crate) struct AnswerBody {
    state: State,
    rest: Bytes,
    next_seq: u32,
    on_end: Option<OnEnd>,
    on_chunk: Arc<dyn Fn(u32) + Send + Sync>,
    admitted: Option<Admitted>,
    flight: Option<Flight>,
    framing: Framing,
    resume: Option<Box<Resume>>,
}

impl AnswerBody {
    /// Makes the body of an answer that has begun; with `resume` it goes on
    /// elsewhere when it breaks.
    pub(crate) fn new(
        answer: Answering,
        on_chunk: Arc<dyn Fn(u32) + Send + Sync>,
        on_end: OnEnd,
        mut resume: Option<Box<Resume>>,
    ) -> Self {
        let Some(first) = answer.first else {
            return Self::whole(Bytes::new(), on_end, answer.flight);
        };
        if let Some(resume) = &mut resume {
            // The first event of a first attempt always goes to the caller.
            let _ = resume.pass(first.clone());
        }
        Self {
            state: State::Idle(Box::new(answer.run)),
            rest: first,
            next_seq: answer.next_seq,
            on_end: Some(on_end),
            on_chunk,
            admitted: None,
            flight: Some(answer.flight),
            framing: answer.framing,
            resume,
        }
    }

    /// Makes a body of bytes that are all here.
    pub(crate) fn whole(bytes: Bytes, on_end: OnEnd, flight: Flight) -> Self {
        flight.completed();
        drop(flight);
        on_end(&Ended::Complete);
        Self {
            state: State::Done,
            rest: bytes,
            next_seq: 0,
            on_end: None,
            on_chunk: Arc::new(|_| ()),
            admitted: None,
            flight: None,
            framing: Framing::Sized,
            resume: None,
        }
    }

    /// Keeps the place of the call until the answer has ended.
    pub(crate) fn hold(&mut self, admitted: Admitted) {
        self.admitted = Some(admitted);
    }

    fn finish(&mut self, ended: &Ended) {
        self.state = State::Done;
        self.admitted = None;
        let flight = self.flight.take();
        if let (Some(flight), Ended::Complete) = (&flight, ended) {
            flight.completed();
        }
        drop(flight);
        if let Some(on_end) = self.on_end.take() {
            on_end(ended);
        }
    }

    /// Takes a frame; `Ok(false)` is the end.
    fn take(&mut self, frame: Option<Frame>) -> io::Result<bool> {
        match frame {
            Some(Frame::Chunk { seq, bytes }) if seq == self.next_seq => {
                self.next_seq += 1;
                if let Some(flight) = &mut self.flight {
                    flight.advance_to(self.next_seq);
                }
                let bytes = match &mut self.resume {
                    Some(resume) => resume.pass(bytes),
                    None => Some(bytes),
                };
                if let Some(bytes) = bytes {
                    (self.on_chunk)(seq);
                    self.rest = bytes;
                }
                Ok(true)
            }
            Some(Frame::End(outcome)) if self.is_whole(&outcome) => {
                self.finish(&Ended::Complete);
                Ok(false)
            }
            Some(Frame::End(outcome)) => self.broke(Some(outcome)),
            // A gap or a second head: frames of this answer are lost.
            _ => self.broke(None),
        }
    }

    fn is_whole(&self, outcome: &Outcome) -> bool {
        outcome.kind == OutcomeKind::Complete
            && outcome.chunks == self.next_seq
    }

    /// Goes on elsewhere if that is possible.
    fn broke(&mut self, outcome: Option<Outcome>) -> io::Result<bool> {
        let kind = outcome.as_ref().map(|outcome| outcome.kind);
        let ended = Ended::Broken(outcome);
        let Some(flight) = self.flight.take() else {
            return self.fail(&ended);
        };
        let Some(resume) = self.resume.take() else {
            forward::note_end(&flight, kind);
            return self.fail(&ended);
        };
        let why = ended.detail().to_owned();
        // The broken attempt ends before another begins.
        self.state = State::Done;
        let again = Box::pin(resume.again(flight, kind, why));
        self.state = State::Resuming(again, ended);
        Ok(true)
    }

    fn resumed(
        &mut self,
        again: Option<(Box<Resume>, Again)>,
        ended: &Ended,
    ) -> io::Result<bool> {
        let Some((resume, again)) = again else {
            return self.fail(ended);
        };
        self.state = State::Idle(Box::new(again.run));
        self.rest = again.first.unwrap_or_default();
        self.next_seq = again.next_seq;
        self.flight = Some(again.flight);
        self.resume = Some(resume);
        Ok(true)
    }

    fn fail(&mut self, ended: &Ended) -> io::Result<bool> {
        let detail = ended.detail().to_owned();
        self.finish(ended);
        match self.framing {
            Framing::Events => {
                self.rest = error_event(&detail);
                Ok(true)
            }
            Framing::Sized => Err(io::Error::other(detail)),
        }
    }
}

/// Returns the event by which a broken stream tells its caller.
fn error_event(detail: &str) -> Bytes {
    let problem = Problem::new(ProblemKind::AnswerLost, detail);
    let error = problem.ran(Ran::Unknown).to_json();
    format!("data: {}\n\n", serde_json::json!({ "error": error })).into()
}

impl AsyncRead for AnswerBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            if !self.rest.is_empty() {
                let count = self.rest.len().min(buf.remaining());
                buf.put_slice(&self.rest[..count]);
                self.rest.advance(count);
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
                        Poll::Pending => {
                            self.state = State::Waiting(waiting);
                            return Poll::Pending;
                        }
                        Poll::Ready((run, frame)) => {
                            self.state = State::Idle(run);
                            if !self.take(frame)? {
                                return Poll::Ready(Ok(()));
                            }
                        }
                    }
                }
                State::Resuming(mut again, ended) => {
                    match again.as_mut().poll(cx) {
                        Poll::Pending => {
                            self.state = State::Resuming(again, ended);
                            return Poll::Pending;
                        }
                        Poll::Ready(again) => {
                            if !self.resumed(again, &ended)? {
                                return Poll::Ready(Ok(()));
                            }
                        }
                    }
                }
            }
        }
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.finish(&Ended::Left);
    }
}
