use std::{
    fmt,
    sync::Arc,
    time::{Duration, Instant},
};

use base::RequestDigest;
use fleet::Endpoint;
use quarantine::EvidenceKeys;

use crate::Inbound;

/// Receives how runs of requests at endpoints end.
pub trait RunObserver: Send + Sync + 'static {
    /// An endpoint answered a request in full.
    fn answered(&self, run: &Run);

    /// The connection of a run broke before the answer was whole.
    fn interrupted(&self, run: &Run);
}

/// One run of a request at an endpoint, as far as its sender sees it.
///
/// A run that the sender gives up itself is not reported to the observer,
/// since it says nothing about the endpoint.
pub struct Run {
    request: Arc<Inbound>,
    endpoint: Endpoint,
    began: Instant,
    resumed_after: u64,
    reached: u64,
    is_over: bool,
    observer: Arc<dyn RunObserver>,
}

impl Run {
    pub(crate) fn begin(
        request: Arc<Inbound>,
        endpoint: Endpoint,
        resume_after: Option<u64>,
        observer: Arc<dyn RunObserver>,
    ) -> Self {
        let resumed_after = resume_after.unwrap_or(0);
        Self {
            request,
            endpoint,
            began: Instant::now(),
            resumed_after,
            reached: resumed_after,
            is_over: false,
            observer,
        }
    }

    /// Returns the digest of the request.
    pub fn digest(&self) -> RequestDigest {
        self.request.digest()
    }

    /// Returns under which keys evidence on the request is kept.
    pub fn evidence_keys(&self) -> EvidenceKeys {
        self.request.evidence_keys()
    }

    /// Returns the endpoint.
    #[inline]
    pub fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Returns how long the run has lasted.
    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    /// Returns how much of the answer was there before this run: the event
    /// after which a stream was taken up, or 0.
    #[inline]
    pub fn resumed_after(&self) -> u64 {
        self.resumed_after
    }

    /// Returns how much of the answer has arrived: the last event of a
    /// stream that may be resumed, and bytes of any other answer.
    #[inline]
    pub fn reached(&self) -> u64 {
        self.reached
    }

    pub(crate) fn advance_to(&mut self, reached: u64) {
        self.reached = self.reached.max(reached);
    }

    pub(crate) fn answered(&mut self) {
        if !self.is_over {
            self.is_over = true;
            self.observer.answered(self);
        }
    }

    pub(crate) fn mark_interrupted(&mut self) {
        if self.is_over {
            return;
        }
        self.is_over = true;
        log::info!(
            request_id = self.request.id(),
            digest:% = self.digest(),
            endpoint = self.endpoint.record().id.as_str(),
            ran_ms = self.elapsed().as_millis() as u64,
            resumed_after = self.resumed_after,
            reached = self.reached;
            "a run is cut off"
        );
        self.observer.interrupted(self);
    }
}

impl fmt::Debug for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Run")
            .field("request", &self.request.id())
            .field("endpoint", &self.endpoint.record().id)
            .field("reached", &self.reached)
            .finish_non_exhaustive()
    }
}
