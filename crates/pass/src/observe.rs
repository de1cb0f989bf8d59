use fleet::Endpoint;

use crate::{Run, RunObserver};

/// Hears of each request that is sent to an endpoint.
///
/// Batch work at an endpoint gives way the sooner the earlier its node hears
/// of an online request; the endpoint's own report comes too late for that.
pub trait LoadObserver: Send + Sync + 'static {
    /// A request is about to be sent to an endpoint.
    fn request_started(&self, endpoint: &Endpoint);
}

/// Hears and does nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoopObserver;

impl LoadObserver for NoopObserver {
    fn request_started(&self, _endpoint: &Endpoint) {}
}

impl RunObserver for NoopObserver {
    fn answered(&self, _run: &Run) {}

    fn interrupted(&self, _run: &Run) {}
}
