use fleet::Endpoint;
use framing::Framing;

use crate::{Run, RunObserver};

/// Receives a notification for each request that is sent to an endpoint.
///
/// The sooner the node of an endpoint learns of an online request, the sooner
/// it preempts batch work there. The load report of the endpoint itself
/// arrives too late for that.
pub trait LoadObserver: Send + Sync + 'static {
    /// Called just before a request is sent to an endpoint.
    fn request_started(&self, endpoint: &Endpoint);
}

/// Ignores all notifications.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoopObserver;

impl LoadObserver for NoopObserver {
    fn request_started(&self, _endpoint: &Endpoint) {}
}

impl RunObserver for NoopObserver {
    fn answered(&self, _run: &Run, _framing: Framing) {}

    fn interrupted(&self, _run: &Run) {}
}
