//! One call at a companion, from this side.

use std::{rc::Rc, time::Duration};

use error_stack::Report;
use tokio::{
    sync::{mpsc, oneshot},
    task::spawn_local,
};

use crate::{
    convert,
    link::{lost, watched},
    message::{Frame, Load, Refusal, Request},
    options::LinkError,
    peer::{FrameSink, Peer},
};

/// Frames that wait between the link and the reader of an answer.
const FRAMES_QUEUED_MAX: usize = 64;

pub(crate) async fn run(
    peer: Rc<Peer>,
    request: Request,
    limit: Duration,
) -> Result<RunReply, Report<LinkError>> {
    let (frames, receiver) = mpsc::channel(FRAMES_QUEUED_MAX);
    let mut call = peer.companion.run_request();
    let mut params = call.get();
    convert::write_request(&request, params.reborrow().init_request());
    params.set_sink(FrameSink::client(
        request.request_id,
        request.attempt,
        frames.clone(),
    ));
    let reply = watched(&peer, limit, call.send().promise).await?;
    let reply = reply.get().map_err(lost)?;
    let load = convert::read_load(reply.get_load().map_err(lost)?);
    if !reply.get_accepted() {
        let refusal = reply.get_refusal().map_err(lost)?;
        let refusal = convert::read_refusal(refusal).map_err(lost)?;
        return Ok(RunReply::Refused { refusal, load });
    }
    let held = reply.get_call().map_err(lost)?;
    let (cancel, cancelled) = oneshot::channel::<()>();
    spawn_local(async move {
        // Holding `held` keeps the call alive at the companion. When the
        // connection breaks, `None` tells the reader that the rest of the
        // answer is lost; without it, the reader would wait for frames that
        // nobody sends any more.
        tokio::select! {
            _ = cancelled => {}
            () = peer.until_closed() => {
                // The reader may have left meanwhile.
                let _ = frames.send(None).await;
            }
        }
        drop(held);
    });
    Ok(RunReply::Accepted {
        run: Run {
            frames: Frames::Link {
                frames: receiver,
                _cancel: cancel,
            },
        },
        load,
    })
}

/// What a companion says to a call.
#[derive(Debug)]
pub enum RunReply {
    /// It took the call; the answer comes in frames.
    Accepted {
        /// The answer.
        run: Run,
        /// Load of its endpoint.
        load: Load,
    },
    /// It did not take the call, which therefore did not run.
    Refused {
        /// Why.
        refusal: Refusal,
        /// Load of its endpoint.
        load: Load,
    },
}

/// An answer that is under way. Dropping it cancels the call.
#[derive(Debug)]
pub struct Run {
    frames: Frames,
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
    /// Wraps frames that are made in this process, the other half of
    /// [`Answer::channel`](crate::Answer::channel).
    pub fn local(frames: mpsc::Receiver<Frame>) -> Self {
        Self {
            frames: Frames::Local(frames),
        }
    }

    /// Waits for the next frame; `None` before a [`Frame::End`] means that
    /// the connection broke and the rest of the answer is lost.
    pub async fn next(&mut self) -> Option<Frame> {
        match &mut self.frames {
            Frames::Link { frames, .. } => frames.recv().await.flatten(),
            Frames::Local(frames) => frames.recv().await,
        }
    }
}
