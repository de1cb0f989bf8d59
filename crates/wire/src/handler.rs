//! Traits for the request handlers of each role of a process.

use std::{fmt, sync::Arc};

use base::{Incarnation, Revision, VmId};
use bytes::Bytes;
use futures::future::{BoxFuture, FutureExt};
use tokio::sync::mpsc;

use crate::message::{
    ConfigText, Frame, ItemResult, Load, Order, Pull, PullReply, Refusal,
    Request, StoreStat, StoredBlob,
};

/// Capacity of the queue between a handler and its connection.
const MAX_QUEUED_FRAMES: usize = 64;

/// The receiver of a response is gone: the caller cancelled the call or its
/// connection was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponseClosed;

impl fmt::Display for ResponseClosed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the caller no longer wants the answer")
    }
}

impl std::error::Error for ResponseClosed {}

/// Sends the frames of a response on the companion's side.
#[derive(Clone, Debug)]
pub struct FrameSender {
    frames: mpsc::Sender<Frame>,
}

impl FrameSender {
    /// Creates a sender without a connection. The receiver gets the frames.
    pub fn channel() -> (Self, mpsc::Receiver<Frame>) {
        let (frames, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
        (Self { frames }, receiver)
    }

    /// Sends a frame; waits while the queue is full because the caller reads
    /// slowly.
    ///
    /// # Errors
    ///
    /// [`ResponseClosed`] once the caller has cancelled the call or its
    /// connection is lost.
    pub async fn send(&self, frame: Frame) -> Result<(), ResponseClosed> {
        self.frames.send(frame).await.map_err(|_| ResponseClosed)
    }

    /// Resolves once the caller has cancelled the call or its connection is
    /// lost.
    pub async fn closed(&self) {
        self.frames.closed().await;
    }
}

/// Response to a request for a newer configuration; `None` if there is none.
pub type ConfigReply = Option<ConfigText>;

/// Handles requests to the companion role.
pub trait CompanionHandler: Send + Sync + 'static {
    /// Accepts or refuses a call. After it accepted the call, the handler
    /// sends the frames in the background and stops when the sender closes.
    fn run(
        &self,
        request: Request,
        response: FrameSender,
    ) -> BoxFuture<'static, Result<(), Refusal>>;

    /// Returns the load of the endpoint.
    fn load(&self) -> Load;

    /// Forwards an order to the endpoint unless its fencing token is stale.
    fn order(&self, order: Order) -> BoxFuture<'static, Result<(), Refusal>>;
}

/// Handles requests to the entry role.
pub trait EntryHandler: Send + Sync + 'static {
    /// Grants batch items.
    fn pull(&self, pull: Pull) -> BoxFuture<'static, PullReply>;

    /// Records results and returns how many were accepted.
    fn results(&self, results: Vec<ItemResult>) -> BoxFuture<'static, u32>;

    /// Records that an endpoint is draining and accepts no new work.
    fn leaving(&self, vm: VmId, incarnation: Incarnation);

    /// Returns the active configuration if it is newer than `have`.
    fn config(&self, have: Revision) -> ConfigReply;

    /// Compares configurations with another process: handles its request and
    /// returns the response. `None`, the default, rejects the call.
    fn compare(&self, request: Bytes) -> BoxFuture<'static, Option<Bytes>> {
        drop(request);
        async { None }.boxed()
    }
}

/// Handles requests to the data role.
pub trait DataHandler: Send + Sync + 'static {
    /// Stores a blob durably.
    fn put(
        &self,
        id: String,
        blob: StoredBlob,
    ) -> BoxFuture<'static, Result<(), Refusal>>;

    /// Reads a blob.
    fn get(
        &self,
        id: String,
    ) -> BoxFuture<'static, Result<Option<StoredBlob>, Refusal>>;

    /// Removes a blob.
    fn remove(&self, id: String) -> BoxFuture<'static, ()>;

    /// Returns the number and size of the stored blobs.
    fn stat(&self) -> BoxFuture<'static, StoreStat>;

    /// Lists at most `limit` blob ids that follow `after`, in order.
    fn list(
        &self,
        after: String,
        limit: u32,
    ) -> BoxFuture<'static, Vec<String>>;
}

/// Handlers of the roles that a process has.
#[derive(Clone, Default)]
pub struct Handlers {
    /// Handler of the companion role.
    pub companion: Option<Arc<dyn CompanionHandler>>,
    /// Handler of the entry role.
    pub entry: Option<Arc<dyn EntryHandler>>,
    /// Handler of the data role.
    pub data: Option<Arc<dyn DataHandler>>,
}
