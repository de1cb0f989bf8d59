use std::{
    fmt,
    sync::Arc,
    time::{Duration, Instant},
};

use base::RequestDigest;
use fleet::{Endpoint, RouteKind};
use framing::Framing;
use http::StatusCode;
use quarantine::{EvidenceKeys, RESPONSE_BEGINNING_MS};

use crate::{Inbound, connection_use::ConnectionUse, shares::SlotUse};

/// Receives the outcomes of runs at endpoints.
pub trait RunObserver: Send + Sync + 'static {
    /// Called when an endpoint has sent a complete response.
    ///
    /// With [`Framing::UntilClose`], the response shows no sign of an
    /// interruption, but it may have been one between two events.
    fn answered(&self, run: &Run, framing: Framing);

    /// Called once when a run makes progress past the beginning of a successful
    /// response, which a poison request does not reach.
    fn progressed(&self, _run: &Run) {}

    /// Called when the connection of a run broke before the response was
    /// complete.
    fn interrupted(&self, run: &Run);
}

/// A run of a request at an endpoint, as seen by its sender.
///
/// A run that the sender cancels itself is not reported to the observer,
/// because it says nothing about the endpoint.
pub struct Run {
    request: Arc<Inbound>,
    endpoint: Endpoint,
    started_at: Instant,
    /// When the head of the response arrived.
    head_at: Option<Instant>,
    /// Whether the head reports success.
    is_success: bool,
    /// Whether the head reports that the deadline of the request passed.
    is_out_of_time: bool,
    /// Whether the run has made progress past the beginning.
    is_past_beginning: bool,
    resumed_after: u64,
    reached: u64,
    has_ended: bool,
    observer: Arc<dyn RunObserver>,
    /// Counts the slot that the run uses, if customers have shares.
    slot: Option<SlotUse>,
    connection: ConnectionUse,
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
            started_at: Instant::now(),
            head_at: None,
            is_success: false,
            is_out_of_time: false,
            is_past_beginning: false,
            resumed_after,
            reached: resumed_after,
            has_ended: false,
            observer,
            slot: None,
            connection: ConnectionUse::default(),
        }
    }

    pub(crate) fn set_connection(&mut self, connection: ConnectionUse) {
        self.connection = connection;
    }

    /// Returns the connection on which the request was sent last.
    pub(crate) fn connection(&self) -> ConnectionUse {
        self.connection
    }

    /// Holds a slot until the run is dropped.
    pub(crate) fn hold(&mut self, slot: SlotUse) {
        self.slot = Some(slot);
    }

    /// Returns the digest of the request.
    pub fn digest(&self) -> RequestDigest {
        self.request.digest()
    }

    /// Returns the keys under which crash records of the request are stored.
    pub fn evidence_keys(&self) -> EvidenceKeys {
        let service = &self.endpoint.record().service;
        self.request.evidence_keys(service)
    }

    pub(crate) fn route_kind(&self) -> RouteKind {
        self.request.route().kind()
    }

    /// Returns the id of the request.
    #[inline]
    pub fn request_id(&self) -> &str {
        self.request.id()
    }

    /// Returns the endpoint.
    #[inline]
    pub fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Returns the duration of the run so far.
    pub fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Returns the time since the head of the response arrived, if it has.
    pub fn since_head(&self) -> Option<Duration> {
        self.head_at.map(|at| at.elapsed())
    }

    /// Reports whether the endpoint began a successful response.
    #[inline]
    pub fn is_success(&self) -> bool {
        self.is_success
    }

    pub(crate) fn record_head(&mut self, status: StatusCode) {
        self.head_at = Some(Instant::now());
        self.is_success = status.is_success();
        self.is_out_of_time = status == StatusCode::GATEWAY_TIMEOUT;
    }

    /// Returns the keys of the shared parts of the request's prompt.
    pub fn part_keys(&self) -> Vec<RequestDigest> {
        self.request.part_keys(&self.endpoint.record().service)
    }

    /// Returns how much of the response existed before this run: the id of
    /// the event after which a stream was resumed, or 0.
    #[inline]
    pub fn resumed_after(&self) -> u64 {
        self.resumed_after
    }

    /// Returns how much of the response has arrived: the id of the last event
    /// of a resumable stream, or the byte count of any other response.
    #[inline]
    pub fn reached(&self) -> u64 {
        self.reached
    }

    pub(crate) fn advance_to(&mut self, reached: u64) {
        self.reached = self.reached.max(reached);
        if !self.is_past_beginning && self.is_success {
            self.check_progress();
        }
    }

    fn check_progress(&mut self) {
        let beginning = Duration::from_millis(RESPONSE_BEGINNING_MS);
        let is_past = self.since_head().is_some_and(|time| time > beginning);
        if is_past && self.reached > self.resumed_after {
            self.is_past_beginning = true;
            self.observer.progressed(self);
        }
    }

    /// Reports a complete response, unless it says that the deadline passed:
    /// the endpoint may have kept the request in its queue until then, so this
    /// does not show that the request can be run.
    pub(crate) fn answered(&mut self, framing: Framing) {
        if self.has_ended {
            return;
        }
        self.has_ended = true;
        if !self.is_out_of_time {
            self.observer.answered(self, framing);
        }
    }

    /// Reports that the response is incomplete; `framing` is how its end is
    /// marked, empty if it had no head.
    pub(crate) fn mark_interrupted(
        &mut self,
        framing: &'static str,
        cause: &'static str,
    ) {
        if self.has_ended {
            return;
        }
        self.has_ended = true;
        log::info!(
            request_id = self.request.id(),
            digest:% = self.digest(),
            endpoint = self.endpoint.record().id.as_str(),
            shared_parts:% = self.request.shared_parts(),
            ran_ms = self.elapsed().as_millis() as u64,
            since_head_ms:? = self.since_head().map(|time| time.as_millis()),
            resumed_after = self.resumed_after,
            reached = self.reached,
            framing,
            cause,
            connection:% = self.connection;
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
