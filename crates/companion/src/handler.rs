use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicBool, Ordering},
};

use base::{Incarnation, VersionKey, timer::Timer};
use conf::settings::EndpointSettings;
use futures::future::{BoxFuture, FutureExt};
use gate::{End, RejectReason, Rejection};
use obs::{Counter, Metrics, Series};
use upstream::{EndpointClient, ResponseProgress};
use wire::{
    CompanionHandler, FrameSender,
    message::{
        Frame, Load, Order, Outcome, OutcomeKind, Refusal, RefusalKind,
        Request,
    },
};

use crate::admission::{Admission, GateCall, NotStarted};

/// State that the tasks of a companion share.
pub(crate) struct Shared {
    pub(crate) endpoint: EndpointSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) admission: Arc<Admission>,
    pub(crate) client: EndpointClient,
    pub(crate) metrics: Metrics,
    pub(crate) timer: Timer,
    pub(crate) draining: AtomicBool,
    pub(crate) endpoint_up: AtomicBool,
    pub(crate) last_fence: Mutex<u64>,
}

impl Shared {
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    pub(crate) fn is_up(&self) -> bool {
        self.endpoint_up.load(Ordering::Acquire)
    }

    pub(crate) fn load(&self) -> Load {
        let gate = self.admission.load();
        Load {
            running: gate.running,
            waiting: gate.waiting,
            batch_running: gate.batch_running,
            first_token_ms: gate.first_token_ms,
            between_tokens_ms: gate.between_tokens_ms,
            leaving: self.is_draining(),
            incarnation: self.incarnation,
            endpoint_up: self.is_up() && !gate.stalled,
            version: self.version(),
        }
    }

    fn version(&self) -> VersionKey {
        VersionKey::declared(self.endpoint.version.as_deref())
    }

    fn check(&self, request: &Request) -> Result<(), Refusal> {
        let refuse = |kind, reason: &str| Err(Refusal::new(kind, reason));
        if self.is_draining() {
            return refuse(RefusalKind::Leaving, "the endpoint is leaving");
        }
        // After a restart a different endpoint may use this address. A call
        // that an entry sent to the old endpoint must not run here.
        if request.target != self.endpoint.name.as_str() {
            let reason = "another endpoint lives at this address now";
            return refuse(RefusalKind::WrongTarget, reason);
        }
        let is_bound = request.version != VersionKey::UNDECLARED;
        if is_bound && request.version != self.version() {
            let reason = "the response began at another software version";
            return refuse(RefusalKind::WrongVersion, reason);
        }
        if !self.is_up() {
            return refuse(RefusalKind::EndpointDown, "no endpoint answers");
        }
        Ok(())
    }

    fn admit(&self, request: &Request) -> Result<GateCall, Refusal> {
        self.check(request)?;
        let gate_call = self.admission.admit_online(&request.customer);
        gate_call.map_err(refusal)
    }
}

fn refusal(rejection: Rejection) -> Refusal {
    let kind = match rejection.reason {
        RejectReason::Full => RefusalKind::Full,
        RejectReason::Stalled => RefusalKind::EndpointDown,
        RejectReason::Leaving => RefusalKind::Leaving,
    };
    Refusal::new(kind, rejection.reason.as_str())
        .retry_after_ms(rejection.retry_after_ms)
}

/// Handles the calls of entries.
pub(crate) struct Handler(pub(crate) Arc<Shared>);

impl CompanionHandler for Handler {
    fn run(
        &self,
        request: Request,
        answer: FrameSender,
    ) -> BoxFuture<'static, Result<(), Refusal>> {
        let shared = self.0.clone();
        async move {
            let gate_call = shared.admit(&request)?;
            tokio::spawn(serve(shared, gate_call, request, answer));
            Ok(())
        }
        .boxed()
    }

    fn load(&self) -> Load {
        self.0.load()
    }

    fn order(&self, order: Order) -> BoxFuture<'static, Result<(), Refusal>> {
        let shared = self.0.clone();
        async move { apply_order(&shared, order).await }.boxed()
    }
}

async fn serve(
    shared: Arc<Shared>,
    mut gate_call: GateCall,
    request: Request,
    answer: FrameSender,
) {
    let customer = shared.metrics.customer(&request.customer);
    let arrived = shared.timer.now();
    let class = request.class;
    customer.count(Counter::Arrived, class, 1);
    let started = tokio::select! {
        started = gate_call.wait_for_start() => Some(started),
        () = answer.closed() => None,
    };
    match started {
        Some(Ok(())) => {}
        Some(Err(reason)) => {
            customer.count(Counter::Refused, class, 1);
            // If the caller has disconnected, the end is not needed.
            let _ = answer.send(not_sent_frame(reason)).await;
            return;
        }
        None => {
            customer.count(Counter::Cancelled, class, 1);
            return;
        }
    }
    let waited_ms = shared.timer.now().saturating_ms_since(arrived);
    customer.record(Series::QueueWaitUs, class, waited_ms * 1_000);
    let mut is_first = true;
    let record_progress = |progress| {
        let gap_us = gate_call.record(progress);
        if let Some(gap_us) = gap_us {
            let gap_us = u64::from(gap_us);
            customer.record(Series::BetweenTokensUs, class, gap_us);
        }
        if progress != ResponseProgress::Stream
            && std::mem::take(&mut is_first)
        {
            let ms = shared.timer.now().saturating_ms_since(arrived);
            customer.record(Series::FirstTokenMs, class, ms);
        }
    };
    let outcome = shared
        .client
        .run_with_progress(request, &answer, record_progress)
        .await;
    let (counter, end) = match outcome.kind {
        OutcomeKind::Complete => (Counter::Completed, End::Done { tokens: 0 }),
        OutcomeKind::Cancelled => (Counter::Cancelled, End::Failed),
        _ => (Counter::Failed, End::Failed),
    };
    gate_call.end(end);
    customer.count(counter, class, 1);
}

/// Builds the end of a call that was accepted but never started. The entry
/// learns immediately that the call did not run, and can retry it elsewhere.
fn not_sent_frame(reason: NotStarted) -> Frame {
    let detail = match reason {
        NotStarted::Refused(rejection) => format!(
            "{}; come back in {} ms",
            rejection.reason, rejection.retry_after_ms
        ),
        NotStarted::Returned => "the endpoint is leaving".to_owned(),
    };
    Frame::End(Outcome {
        kind: OutcomeKind::NotSent,
        ran: false,
        detail,
        chunks: 0,
    })
}

/// Order for the endpoint to accept no new work and finish running work.
const DRAIN: &str = "drain";

/// Forwards an order unless a newer one was already applied.
///
/// Some endpoints ignore fencing tokens. An owner that was paused past the end
/// of its lease could then revert an order of its successor. All orders for an
/// endpoint pass through its companion, which can reject stale ones.
async fn apply_order(shared: &Shared, order: Order) -> Result<(), Refusal> {
    {
        let mut last = shared
            .last_fence
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if order.fence < *last {
            let reason = format!("fence {} is behind {}", order.fence, *last);
            return Err(Refusal::new(RefusalKind::StaleFence, reason));
        }
        *last = order.fence;
    }
    if order.kind == DRAIN {
        // The companion handles this order itself: engines do not support it.
        shared.draining.store(true, Ordering::Release);
        log::info!(fence = order.fence; "received an order to drain");
        return Ok(());
    }
    shared.client.order(&order).await
}
