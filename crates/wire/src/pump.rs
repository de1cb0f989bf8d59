//! Sends the frames of one answer to the process that asked.

use std::{
    future::Future,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use capnp::{
    Error,
    capability::{Promise, Response},
};
use futures::stream::{FuturesOrdered, StreamExt};
use tokio::sync::{mpsc, oneshot};

use crate::{
    convert,
    message::{Frame, Outcome},
    schema_capnp as schema,
};

/// Frames on their way that the other side has not confirmed yet.
const FRAMES_IN_FLIGHT_MAX: usize = 16;

/// Held by the caller through a capability; its release cancels the call.
pub(crate) struct HeldCall {
    pub(crate) _held: oneshot::Sender<()>,
}

impl schema::call::Server for HeldCall {}

/// Counts an answer as open until it is dropped.
pub(crate) struct OpenAnswer(Arc<AtomicUsize>);

impl OpenAnswer {
    pub(crate) fn count(answers: &Arc<AtomicUsize>) -> Self {
        answers.fetch_add(1, Ordering::AcqRel);
        Self(answers.clone())
    }
}

impl Drop for OpenAnswer {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Sends the frames of one answer, a few at a time without waiting for each
/// confirmation. Returning drops the receiver, which tells the handler.
pub(crate) async fn pump(
    id: String,
    attempt: u32,
    sink: schema::sink::Client,
    mut frames: mpsc::Receiver<Frame>,
    mut released: oneshot::Receiver<()>,
    _open: OpenAnswer,
) {
    let mut in_flight = FuturesOrdered::new();
    let mut open = true;
    while open || !in_flight.is_empty() {
        let room = open && in_flight.len() < FRAMES_IN_FLIGHT_MAX;
        tokio::select! {
            biased;
            _ = &mut released => return,
            Some(sent) = in_flight.next(), if !in_flight.is_empty() => {
                let sent: Result<(), Error> = sent;
                if sent.is_err() {
                    return;
                }
            }
            frame = frames.recv(), if room => match frame {
                Some(frame) => {
                    in_flight.push_back(send(&sink, &id, attempt, frame));
                }
                None => open = false,
            },
        }
    }
}

/// Starts the send at once; the future only waits for the confirmation.
fn send(
    sink: &schema::sink::Client,
    id: &str,
    attempt: u32,
    frame: Frame,
) -> impl Future<Output = Result<(), Error>> + 'static + use<> {
    let sent = match frame {
        Frame::Head { status, headers } => {
            let mut call = sink.head_request();
            let mut params = call.get();
            params.set_request_id(id);
            params.set_attempt(attempt);
            params.set_status(status);
            let slots = params.init_headers(headers.len() as u32);
            convert::write_headers(&headers, slots);
            Sent::Head(call.send().promise)
        }
        Frame::Chunk { seq, bytes } => {
            let mut call = sink.chunk_request();
            call.get().set_seq(seq);
            call.get().set_bytes(&bytes);
            Sent::Chunk(call.send().promise)
        }
        Frame::End(outcome) => Sent::End(send_end(sink, &outcome)),
    };
    sent.confirmed()
}

type EndPromise = Promise<Response<schema::sink::end_results::Owned>, Error>;

fn send_end(sink: &schema::sink::Client, outcome: &Outcome) -> EndPromise {
    let mut call = sink.end_request();
    convert::write_outcome(outcome, call.get().init_outcome());
    call.send().promise
}

enum Sent {
    Head(Promise<Response<schema::sink::head_results::Owned>, Error>),
    Chunk(Promise<Response<schema::sink::chunk_results::Owned>, Error>),
    End(EndPromise),
}

impl Sent {
    async fn confirmed(self) -> Result<(), Error> {
        match self {
            Sent::Head(promise) => promise.await.map(|_| ()),
            Sent::Chunk(promise) => promise.await.map(|_| ()),
            Sent::End(promise) => promise.await.map(|_| ()),
        }
    }
}
