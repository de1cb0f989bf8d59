//! Sends the frames of one response to the calling process.

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

/// Maximum number of frames sent but not yet acknowledged by the caller.
const MAX_IN_FLIGHT_FRAMES: usize = 16;

/// Capability that the caller holds during a call; releasing it cancels the
/// call.
pub(crate) struct CallGuard {
    pub(crate) _guard: oneshot::Sender<()>,
}

impl schema::call::Server for CallGuard {}

/// Counts a response as undelivered until the guard is dropped.
pub(crate) struct UndeliveredResponse(Arc<AtomicUsize>);

impl UndeliveredResponse {
    pub(crate) fn new(counter: &Arc<AtomicUsize>) -> Self {
        counter.fetch_add(1, Ordering::AcqRel);
        Self(counter.clone())
    }
}

impl Drop for UndeliveredResponse {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Sends the frames of one response, with up to [`MAX_IN_FLIGHT_FRAMES`]
/// unacknowledged. Returning drops the receiver, which closes the handler's
/// sender.
pub(crate) async fn send_frames(
    id: String,
    attempt: u32,
    sink: schema::sink::Client,
    mut frames: mpsc::Receiver<Frame>,
    mut released: oneshot::Receiver<()>,
    _undelivered: UndeliveredResponse,
) {
    let mut in_flight = FuturesOrdered::new();
    let mut is_open = true;
    while is_open || !in_flight.is_empty() {
        let has_capacity = is_open && in_flight.len() < MAX_IN_FLIGHT_FRAMES;
        tokio::select! {
            biased;
            _ = &mut released => return,
            Some(result) = in_flight.next(), if !in_flight.is_empty() => {
                let result: Result<(), Error> = result;
                if result.is_err() {
                    return;
                }
            }
            frame = frames.recv(), if has_capacity => match frame {
                Some(frame) => {
                    in_flight
                        .push_back(send_frame(&sink, &id, attempt, frame));
                }
                None => is_open = false,
            },
        }
    }
}

/// Sends a frame immediately; the returned future only waits for the
/// acknowledgement.
fn send_frame(
    sink: &schema::sink::Client,
    id: &str,
    attempt: u32,
    frame: Frame,
) -> impl Future<Output = Result<(), Error>> + 'static + use<> {
    let pending = match frame {
        Frame::Head { status, headers } => {
            let mut call = sink.head_request();
            let mut params = call.get();
            params.set_request_id(id);
            params.set_attempt(attempt);
            params.set_status(status);
            let slots = params.init_headers(headers.len() as u32);
            convert::write_headers(&headers, slots);
            PendingFrame::Head(call.send().promise)
        }
        Frame::Chunk { seq, bytes } => {
            let mut call = sink.chunk_request();
            call.get().set_seq(seq);
            call.get().set_bytes(&bytes);
            PendingFrame::Chunk(call.send().promise)
        }
        Frame::End(outcome) => PendingFrame::End(send_end(sink, &outcome)),
    };
    pending.acknowledged()
}

type EndPromise = Promise<Response<schema::sink::end_results::Owned>, Error>;

fn send_end(sink: &schema::sink::Client, outcome: &Outcome) -> EndPromise {
    let mut call = sink.end_request();
    convert::write_outcome(outcome, call.get().init_outcome());
    call.send().promise
}

enum PendingFrame {
    Head(Promise<Response<schema::sink::head_results::Owned>, Error>),
    Chunk(Promise<Response<schema::sink::chunk_results::Owned>, Error>),
    End(EndPromise),
}

impl PendingFrame {
    async fn acknowledged(self) -> Result<(), Error> {
        match self {
            PendingFrame::Head(promise) => promise.await.map(|_| ()),
            PendingFrame::Chunk(promise) => promise.await.map(|_| ()),
            PendingFrame::End(promise) => promise.await.map(|_| ()),
        }
    }
}
