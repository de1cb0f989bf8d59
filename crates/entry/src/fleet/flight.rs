use std::sync::Arc;

use base::{Millis, RequestDigest};
use quarantine::{Crash, CrashedEndpoint, Quarantine};
use router::{EndpointKey, EndpointReport, Failure, Refusal};
use wire::message::{Load, RefusalKind};

use super::{Fleet, Target};

/// A call that is counted at its endpoint until this is dropped.
#[derive(Debug)]
pub(crate) struct Flight {
    fleet: Arc<Fleet>,
    key: EndpointKey,
    target: Arc<Target>,
    sent: Millis,
    call: Option<Box<Call>>,
}

/// The request of a flight, as far as crashes of its endpoint concern it.
#[derive(Debug)]
struct Call {
    quarantine: Quarantine,
    digest: RequestDigest,
    began: Millis,
    resumed_after: u64,
    reached: u64,
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
            target,
            sent,
            call: None,
        }
    }

    pub(crate) fn key(&self) -> EndpointKey {
        self.key
    }

    pub(crate) fn target(&self) -> &Arc<Target> {
        &self.target
    }

    /// Notes which request is sent, and after how many parts of its answer.
    pub(crate) fn begin(
        &mut self,
        quarantine: &Quarantine,
        digest: RequestDigest,
        offset: u32,
    ) {
        let resumed_after = u64::from(offset);
        self.call = Some(Box::new(Call {
            quarantine: quarantine.clone(),
            digest,
            began: self.fleet.timer.now(),
            resumed_after,
            reached: resumed_after,
        }));
    }

    /// Notes how many parts of the answer have come.
    pub(crate) fn advance_to(&mut self, parts: u32) {
        if let Some(call) = &mut self.call {
            call.reached = call.resumed_after + u64::from(parts);
        }
    }

    /// Notes that the answer is whole.
    pub(crate) fn completed(&self) {
        if let Some(call) = &self.call {
            call.quarantine
                .record_response(|| call.digest, call.resumed_after);
        }
    }

    /// Notes that the endpoint crashed while it ran the call.
    pub(crate) fn crashed(&self) {
        let Some(call) = &self.call else {
            return;
        };
        let name = self.target.name.as_str();
        log::warn!(endpoint = name, digest:% = call.digest;
            "an endpoint crashed while it ran a request");
        let ended_at = call.quarantine.now();
        let ran_ms = self.fleet.timer.now().saturating_ms_since(call.began);
        let crash = Crash {
            endpoint: CrashedEndpoint::named(name),
            began_at: ended_at.saturating_sub_ms(ran_ms),
            ended_at,
            resumed_after: call.resumed_after,
            reached: call.reached,
        };
        call.quarantine.record_crash(call.digest, crash);
    }

    /// Notes the load that came with the reply to the call. If it comes from
    /// a new life of the companion, the call counts there.
    pub(crate) fn reported(&mut self, load: &Load) {
        let now = self.fleet.timer.now();
        let report = report(load);
        let key = self.fleet.reported(self.key, &report, now);
        if key != self.key {
            self.key = key;
            self.fleet.router().sent(key, now);
        }
    }

    /// Notes that the endpoint did not take the call.
    pub(crate) fn refused(&self, kind: RefusalKind) {
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

    /// Notes that the call failed.
    pub(crate) fn failed(&self, failure: Failure) {
        let now = self.fleet.timer.now();
        self.fleet.router().failed(self.key, failure, now);
    }

    /// Notes that the first part of the answer has come.
    pub(crate) fn answered(&self) {
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

/// Returns what a router needs of a load. Batch items give way at once, so
/// they do not count.
pub(super) fn report(load: &Load) -> EndpointReport {
    EndpointReport {
        running: load.running.saturating_sub(load.batch_running),
        waiting: load.waiting,
        first_token_ms: load.first_token_ms,
        leaving: load.leaving,
        up: load.endpoint_up,
        incarnation: load.incarnation,
    }
}
