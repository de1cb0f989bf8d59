use fleet::Endpoint;

use crate::{Run, RunObserver};

/// Hears of each request that is sent to an endpoint.
///
/// Batch work at an endpoint gives way the sooner the earlier its node hears
/// of an online request; the endpoint's own report comes too late for that.
pub trait LoadObserver: Send + Sync + 'static {
    /// A request is about to be sent to an endpoint.
    fn began(&self, endpoint: &Endpoint);
}

/// Hears and does nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Unobserved;

impl LoadObserver for Unobserved {
    fn began(&self, _endpoint: &Endpoint) {}
}

impl RunObserver for Unobserved {
    fn answered(&self, _run: &Run) {}

    fn cut_off(&self, _run: &Run) {}
}
