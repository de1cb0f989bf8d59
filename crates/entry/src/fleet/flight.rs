use std::{ops::Range, sync::Arc};

use base::{Millis, RequestDigest, VersionKey};
use quarantine::{Crash, CrashedEndpoint, Quarantine, RESPONSE_BEGINNING_MS};
use router::{EndpointKey, EndpointReport, Failure, Refusal};
use wire::message::{Load, RefusalKind};

use super::{Fleet, Target};
use crate::exchange::Exchange;

/// Statuses of successful responses.
const SUCCESS: Range<u16> = 200..300;

/// A call in flight; counted at its endpoint until dropped.
#[derive(Debug)]
pub(crate) struct Flight {
    fleet: Arc<Fleet>,
    key: EndpointKey,
    target: Arc<Target>,
    sent: Millis,
    /// Software version of the endpoint, as it reported with its reply.
    version: VersionKey,
    call: Option<Box<FlightRequest>>,
}

/// The request of a call in flight, for crash records.
#[derive(Debug)]
struct FlightRequest {
    quarantine: Quarantine,
    digest: RequestDigest,
    parts: Arc<[RequestDigest]>,
    started: Millis,
    /// When the head of a successful response arrived.
    head_at: Option<Millis>,
    /// Whether the response has got past its beginning.
    is_past_beginning: bool,
    resumed_after: u64,
    reached: u64,
}

impl FlightRequest {
    fn since_head_ms(&self, now: Millis) -> Option<u64> {
        self.head_at.map(|head_at| now.saturating_ms_since(head_at))
    }

    /// Releases the parts of the prompt once the response has got past its
    /// beginning.
    fn check_progress(&mut self, now: Millis) {
        let is_past = self
            .since_head_ms(now)
            .is_some_and(|since_ms| since_ms > RESPONSE_BEGINNING_MS);
        if is_past && !self.is_past_beginning {
            self.is_past_beginning = true;
            self.quarantine.record_sound_parts(&self.parts);
        }
    }
}

impl Flight {
    pub(super) fn new(
        fleet: Arc<Fleet>,
        key: EndpointKey,
        target: Arc<Target>,
        sent: Millis,
    ) -> Self {
        Self {
            fleet,
            key,
            version: target.version,
            target,
            sent,
            call: None,
        }
    }

    pub(crate) fn key(&self) -> EndpointKey {
        self.key
    }

    /// Returns the software version of the endpoint that replied.
    pub(crate) fn version(&self) -> VersionKey {
        self.version
    }

    pub(crate) fn target(&self) -> &Arc<Target> {
        &self.target
    }

    /// Records the request that is sent and the number of response chunks
    /// before it.
    pub(crate) fn begin(
        &mut self,
        quarantine: &Quarantine,
        exchange: &Exchange,
        offset: u32,
    ) {
        let resumed_after = u64::from(offset);
        self.call = Some(Box::new(FlightRequest {
            quarantine: quarantine.clone(),
            digest: exchange.digest,
            parts: exchange.parts.clone(),
            head_at: None,
            is_past_beginning: false,
            started: self.fleet.timer.now(),
            resumed_after,
            reached: resumed_after,
        }));
    }

    /// Records the number of response chunks received.
    pub(crate) fn advance_to(&mut self, chunks: u32) {
        let now = self.fleet.timer.now();
        if let Some(call) = &mut self.call {
            call.reached = call.resumed_after + u64::from(chunks);
            call.check_progress(now);
        }
    }

    /// Records that the head of the response arrived.
    pub(crate) fn record_head(&mut self, status: u16) {
        let now = self.fleet.timer.now();
        if let Some(call) = &mut self.call
            && SUCCESS.contains(&status)
        {
            call.head_at = Some(now);
        }
    }

    /// Records that the response is complete.
    pub(crate) fn record_completion(&self) {
        if let Some(call) = &self.call {
            if call.head_at.is_some() {
                call.quarantine.record_sound_parts(&call.parts);
            }
            call.quarantine
                .record_response(|| call.digest, call.resumed_after);
        }
    }

    /// Records that the endpoint crashed while running the call.
    pub(crate) fn record_crash(&self) {
        let Some(call) = &self.call else {
            return;
        };
        let name = self.target.name.as_str();
        log::warn!(endpoint = name, digest:% = call.digest;
            "an endpoint crashed while it ran a request");
        let ended_at = call.quarantine.now();
        let ran_ms = self.fleet.timer.now().saturating_ms_since(call.started);
        let crash = Crash {
            endpoint: CrashedEndpoint::named(name),
            began_at: ended_at.saturating_sub_ms(ran_ms),
            ended_at,
            resumed_after: call.resumed_after,
            reached: call.reached,
        };
        let since_head_ms = call.since_head_ms(self.fleet.timer.now());
        call.quarantine
            .record_part_crash(&call.parts, &crash, since_head_ms);
        call.quarantine.record_crash(call.digest, crash);
    }

    /// Records the load that was reported with the reply. If the companion has
    /// a new incarnation, the call is counted there.
    pub(crate) fn record_load(&mut self, load: &Load) {
        let now = self.fleet.timer.now();
        let report = endpoint_report(load);
        self.version = load.version;
        let key = self.fleet.record_load(self.key, &report, now);
        if key != self.key {
            self.key = key;
            self.fleet.router().sent(key, now);
        }
    }

    /// Records that the endpoint refused the call.
    pub(crate) fn record_refusal(&self, kind: RefusalKind) {
        let why = match kind {
            RefusalKind::Full => Refusal::Full,
            RefusalKind::Leaving => Refusal::Leaving,
            RefusalKind::EndpointDown => Refusal::Down,
            RefusalKind::WrongTarget => Refusal::WrongTarget,
            _ => Refusal::Other,
        };
        let now = self.fleet.timer.now();
        self.fleet.router().refused(self.key, why, now);
    }

    /// Records that the call failed.
    pub(crate) fn record_failure(&self, failure: Failure) {
        let now = self.fleet.timer.now();
        self.fleet.router().failed(self.key, failure, now);
    }

    /// Records the arrival of the first response chunk.
    pub(crate) fn record_first_chunk(&self) {
        let now = self.fleet.timer.now();
        let ms = now.saturating_ms_since(self.sent);
        self.fleet.router().answered(self.key, Some(ms), now);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.fleet.router().ended(self.key);
    }
}

/// Converts a load to the router's report. Batch items are preempted at once,
/// so they are not counted.
pub(super) fn endpoint_report(load: &Load) -> EndpointReport {
    EndpointReport {
        running: load.running.saturating_sub(load.batch_running),
        waiting: load.waiting,
        first_token_ms: load.first_token_ms,
        leaving: load.leaving,
        up: load.endpoint_up,
        incarnation: load.incarnation,
        version: load.version,
    }
}
