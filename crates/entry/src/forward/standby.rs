//! Another endpoint for a stream whose link is silent.

use std::task::{Context, Poll, ready};

use futures::future::BoxFuture;
use wire::{LinkSilence, Run};

use super::{attempt::StreamingReply, attempts::Attempts, resume::Resume};
use crate::fleet::Flight;

/// A response of another endpoint that continues a stream.
pub(crate) struct Prepared {
    pub(super) attempts: Attempts,
    pub(super) answer: StreamingReply,
}

/// Resolves when another endpoint has started, or with `None` if none can.
pub(crate) type Preparing = BoxFuture<'static, Option<Prepared>>;

enum State {
    /// Waits until the link is silent.
    Watching(BoxFuture<'static, ()>),
    /// Another endpoint is asked to continue the stream.
    Preparing(Preparing),
    /// No other endpoint can continue the stream.
    Unavailable,
}

/// Prepares another endpoint while the link of a stream is silent.
///
/// The link may go on: the first endpoint keeps the stream until the other one
/// has started, and the first of the two that sends an event wins.
pub(crate) struct Standby {
    silence: LinkSilence,
    state: State,
}

impl Standby {
    /// Watches the link of a run.
    pub(crate) fn new(run: &Run) -> Self {
        let silence = run.silence();
        let mut watched = silence.clone();
        let begins = async move { watched.begins().await };
        Self {
            silence,
            state: State::Watching(Box::pin(begins)),
        }
    }

    /// Polls for a response of another endpoint.
    pub(crate) fn poll(
        &mut self,
        cx: &mut Context<'_>,
        resume: &mut Resume,
        flight: &Flight,
    ) -> Poll<Prepared> {
        loop {
            self.state = match &mut self.state {
                State::Watching(begins) => {
                    ready!(begins.as_mut().poll(cx));
                    match resume.prepare(flight, "the link is silent") {
                        Some(preparing) => State::Preparing(preparing),
                        None => State::Unavailable,
                    }
                }
                State::Preparing(preparing) => {
                    match ready!(preparing.as_mut().poll(cx)) {
                        Some(prepared) => return Poll::Ready(prepared),
                        None => State::Unavailable,
                    }
                }
                State::Unavailable => return Poll::Pending,
            };
        }
    }

    /// Cancels the other endpoint because the first one goes on, and watches
    /// for the next silence.
    pub(crate) fn keep_first(&mut self) {
        if matches!(self.state, State::Watching(_)) {
            return;
        }
        let mut watched = self.silence.clone();
        let begins = async move {
            watched.ends().await;
            watched.begins().await;
        };
        self.state = State::Watching(Box::pin(begins));
    }

    /// Returns the request to another endpoint, if one is under way.
    pub(crate) fn into_preparing(self) -> Option<Preparing> {
        match self.state {
            State::Preparing(preparing) => Some(preparing),
            State::Watching(_) | State::Unavailable => None,
        }
    }
}
