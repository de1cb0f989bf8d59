use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicBool, Ordering},
};

use base::{Incarnation, timer::Timer};
use conf::settings::EndpointSettings;
use futures::future::{BoxFuture, FutureExt};
use gate::{End, RejectReason, Rejection};
use obs::{Counter, Metrics, Series};
use upstream::{EndpointClient, ResponseProgress};
use wire::{
    Answer, CompanionHandler,
    message::{
        Frame, Load, Order, Outcome, OutcomeKind, Refusal, RefusalKind,
        Request,
    },
};

use crate::admission::{Admission, NotStarted, Place};

/// What the parts of a companion share.
pub(crate) struct Shared {
    pub(crate) endpoint: EndpointSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) admission: Arc<Admission>,
    pub(crate) client: EndpointClient,
    pub(crate) metrics: Metrics,
    pub(crate) timer: Timer,
    pub(crate) leaving: AtomicBool,
    pub(crate) endpoint_up: AtomicBool,
    pub(crate) last_fence: Mutex<u64>,
}

impl Shared {
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
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
            leaving: self.is_leaving(),
            incarnation: self.incarnation,
            endpoint_up: self.is_up() && !gate.stalled,
        }
    }

    fn check(&self, request: &Request) -> Result<(), Refusal> {
        let refuse = |kind, why: &str| Err(Refusal::new(kind, why));
        if self.is_leaving() {
            return refuse(RefusalKind::Leaving, "the endpoint is leaving");
        }
        // After a restart another endpoint may live at this address; a
        // call that an entry meant for the old one must not run here.
        if request.target != self.endpoint.name.as_str() {
            let why = "another endpoint lives at this address now";
            return refuse(RefusalKind::WrongTarget, why);
        }
        if !self.is_up() {
            return refuse(RefusalKind::EndpointDown, "no endpoint answers");
        }
        Ok(())
    }

    fn admit(&self, request: &Request) -> Result<Place, Refusal> {
        self.check(request)?;
        let place = self.admission.arrive(&request.customer);
        place.map_err(refusal)
    }
}

fn refusal(refused: Rejection) -> Refusal {
    let kind = match refused.reason {
        RejectReason::Full => RefusalKind::Full,
        RejectReason::Stalled => RefusalKind::EndpointDown,
        RejectReason::Leaving => RefusalKind::Leaving,
    };
    Refusal::new(kind, refused.reason.as_str())
        .retry_after_ms(refused.retry_after_ms)
}

/// Answers entries.
pub(crate) struct Handler(pub(crate) Arc<Shared>);

impl CompanionHandler for Handler {
    fn run(
        &self,
        request: Request,
        answer: Answer,
    ) -> BoxFuture<'static, Result<(), Refusal>> {
        let shared = self.0.clone();
        async move {
            let place = shared.admit(&request)?;
            tokio::spawn(serve(shared, place, request, answer));
            Ok(())
        }
        .boxed()
    }

    fn load(&self) -> Load {
        self.0.load()
    }

    fn order(&self, order: Order) -> BoxFuture<'static, Result<(), Refusal>> {
        let shared = self.0.clone();
        async move { obey(&shared, order).await }.boxed()
    }
}

async fn serve(
    shared: Arc<Shared>,
    mut place: Place,
    request: Request,
    answer: Answer,
) {
    let customer = shared.metrics.customer(&request.customer);
    let arrived = shared.timer.now();
    let class = request.class;
    customer.count(Counter::Arrived, class, 1);
    let started = tokio::select! {
        started = place.start() => Some(started),
        () = answer.closed() => None,
    };
    match started {
        Some(Ok(())) => {}
        Some(Err(why)) => {
            customer.count(Counter::Refused, class, 1);
            // If the caller has left, nobody needs the end.
            let _ = answer.send(given_up(why)).await;
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
    let on_seen = |seen| {
        let gap_us = place.seen(seen);
        if let Some(gap_us) = gap_us {
            let gap_us = u64::from(gap_us);
            customer.record(Series::BetweenTokensUs, class, gap_us);
        }
        if seen != ResponseProgress::Stream && std::mem::take(&mut is_first) {
            let ms = shared.timer.now().saturating_ms_since(arrived);
            customer.record(Series::FirstTokenMs, class, ms);
        }
    };
    let outcome = shared
        .client
        .run_with_progress(request, &answer, on_seen)
        .await;
    let (counter, end) = match outcome.kind {
        OutcomeKind::Complete => (Counter::Completed, End::Done { tokens: 0 }),
        OutcomeKind::Cancelled => (Counter::Cancelled, End::Failed),
        _ => (Counter::Failed, End::Failed),
    };
    place.end(end);
    customer.count(counter, class, 1);
}

/// Makes the end of a call that was taken but never started. The entry
/// hears at once that it did not run, and can send it elsewhere.
fn given_up(why: NotStarted) -> Frame {
    let detail = match why {
        NotStarted::Refused(refused) => format!(
            "{}; come back in {} ms",
            refused.reason, refused.retry_after_ms
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

/// Order that the endpoint take no new work and finish what runs.
const DRAIN: &str = "drain";

/// Passes an order on unless a newer one was obeyed.
///
/// Some endpoints ignore fencing numbers. An owner that was paused past its
/// lease could then undo what its successor ordered; the companion is the
/// one place that all orders for its endpoint pass.
async fn obey(shared: &Shared, order: Order) -> Result<(), Refusal> {
    {
        let mut last = shared
            .last_fence
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if order.fence < *last {
            let why = format!("fence {} is behind {}", order.fence, *last);
            return Err(Refusal::new(RefusalKind::StaleFence, why));
        }
        *last = order.fence;
    }
    if order.kind == DRAIN {
        // Kept here and not passed on: an engine knows no such order.
        shared.leaving.store(true, Ordering::Release);
        log::info!(fence = order.fence; "ordered to drain");
        return Ok(());
    }
    shared.client.order(&order).await
}
