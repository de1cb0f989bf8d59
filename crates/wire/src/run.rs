//! Client side of a call to a companion with a streamed response.

use std::{rc::Rc, time::Duration};

use error_stack::Report;
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::spawn_local,
};

use crate::{
    convert,
    link::{await_reply, call_error},
    message::{Frame, Load, Refusal, Request},
    options::LinkError,
    peer::{FrameSink, Peer},
};

/// Capacity of the queue between the connection and the reader of a response.
const MAX_QUEUED_FRAMES: usize = 64;

pub(crate) async fn run(
    peer: Rc<Peer>,
    request: Request,
    limit: Duration,
) -> Result<RunReply, Report<LinkError>> {
    let (frames, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
    let id = request.request_id.clone();
    let mut call = peer.companion.run_request();
    let mut params = call.get();
    convert::write_request(&request, params.reborrow().init_request());
    params.set_sink(FrameSink::client(
        request.request_id,
        request.attempt,
        frames.clone(),
    ));
    let reply = await_reply(&peer, limit, call.send().promise).await?;
    let reply = reply.get().map_err(call_error)?;
    let load = convert::read_load(reply.get_load().map_err(call_error)?);
    if !reply.get_accepted() {
        let refusal = reply.get_refusal().map_err(call_error)?;
        let refusal = convert::read_refusal(refusal).map_err(call_error)?;
        return Ok(RunReply::Refused { refusal, load });
    }
    let call_guard = reply.get_call().map_err(call_error)?;
    let silence = Some(peer.silence());
    let (cancel, cancelled) = oneshot::channel::<()>();
    spawn_local(async move {
        // Holding `call_guard` keeps the call running at the companion. When
        // the connection breaks, `None` signals to the reader that the
        // remainder of the response is lost; otherwise the reader would wait
        // indefinitely for further frames.
        tokio::select! {
            _ = cancelled => {}
            () = peer.until_closed() => {
                log::info!(request_id = id.as_str(), address:% = peer.address();
                    "the link of a running call has closed");
                // The reader may have been dropped meanwhile.
                let _ = frames.send(None).await;
            }
        }
        drop(call_guard);
    });
    Ok(RunReply::Accepted {
        run: Run {
            frames: Frames::Link {
                frames: receiver,
                _cancel: cancel,
            },
            silence: LinkSilence(silence),
        },
        load,
    })
}

/// Response of a companion to a call.
#[derive(Debug)]
pub enum RunReply {
    /// The companion accepted the call; the response follows in frames.
    Accepted {
        /// The running call.
        run: Run,
        /// Load of the companion's endpoint.
        load: Load,
    },
    /// The companion refused the call, which therefore did not run.
    Refused {
        /// Reason of the refusal.
        refusal: Refusal,
        /// Load of the companion's endpoint.
        load: Load,
    },
}

/// A running call whose response is being received. Dropping it cancels the
/// call.
#[derive(Debug)]
pub struct Run {
    frames: Frames,
    silence: LinkSilence,
}

/// Reports when the link of a run is silent: a heartbeat is unanswered for so
/// long that new calls avoid the link. The run itself goes on.
#[derive(Clone, Debug)]
pub struct LinkSilence(Option<watch::Receiver<bool>>);

impl LinkSilence {
    /// Resolves once the link is silent; never for a run of this process.
    pub async fn begins(&mut self) {
        self.is(true).await;
    }

    /// Resolves once the link is not silent any more; never for a run of this
    /// process.
    pub async fn ends(&mut self) {
        self.is(false).await;
    }

    async fn is(&mut self, is_silent: bool) {
        if let Some(silent) = &mut self.0
            && silent.wait_for(|silent| *silent == is_silent).await.is_ok()
        {
            return;
        }
        // The run reports the end of its link.
        std::future::pending::<()>().await;
    }
}

#[derive(Debug)]
enum Frames {
    Link {
        frames: mpsc::Receiver<Option<Frame>>,
        _cancel: oneshot::Sender<()>,
    },
    Local(mpsc::Receiver<Frame>),
}

impl Run {
    /// Creates a run from frames of this process, the receiver of
    /// [`FrameSender::channel`](crate::FrameSender::channel).
    pub fn local(frames: mpsc::Receiver<Frame>) -> Self {
        Self {
            frames: Frames::Local(frames),
            silence: LinkSilence(None),
        }
    }

    /// Returns a handle that reports whether the link of the run is silent.
    pub fn silence(&self) -> LinkSilence {
        self.silence.clone()
    }

    /// Waits for the next frame; `None` before a [`Frame::End`] means that
    /// the connection broke and the remainder of the response is lost.
    pub async fn next(&mut self) -> Option<Frame> {
        match &mut self.frames {
            Frames::Link { frames, .. } => frames.recv().await.flatten(),
            Frames::Local(frames) => frames.recv().await,
        }
    }
}
