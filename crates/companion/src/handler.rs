use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicBool, Ordering},
};

use base::{Class, Incarnation, timer::Timer};
use conf::settings::EndpointSettings;
use futures::future::{BoxFuture, FutureExt};
use obs::{Counter, Metrics, Series};
use upstream::EndpointClient;
use wire::{
    Answer, CompanionHandler,
    message::{Load, Order, OutcomeKind, Refusal, RefusalKind, Request},
};

use crate::admission::{Admission, Queued};

/// When a refused caller may come back to a full endpoint, in milliseconds.
const FULL_RETRY_AFTER_MS: u32 = 500;

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
        Load {
            running: self.admission.running(),
            waiting: self.admission.waiting(),
            batch_running: self.admission.batch_running(),
            first_token_ms: 0,
            between_tokens_ms: 0,
            leaving: self.is_leaving(),
            incarnation: self.incarnation,
            endpoint_up: self.is_up(),
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

    fn admit(&self, request: &Request) -> Result<Queued, Refusal> {
        self.check(request)?;
        self.admission.enqueue().map_err(|_| {
            Refusal::new(RefusalKind::Full, "the endpoint is full")
                .retry_after_ms(FULL_RETRY_AFTER_MS)
        })
    }
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
            let queued = shared.admit(&request)?;
            tokio::spawn(serve(shared, queued, request, answer));
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
    queued: Queued,
    request: Request,
    answer: Answer,
) {
    let tenant = shared.metrics.tenant(&request.tenant);
    let arrived = shared.timer.now();
    tenant.count(Counter::Arrived, request.class, 1);
    let place = tokio::select! {
        place = queued.admitted() => place,
        () = answer.closed() => None,
    };
    let Some(_place) = place else {
        tenant.count(Counter::Cancelled, request.class, 1);
        return;
    };
    let waited_ms = shared.timer.now().saturating_ms_since(arrived);
    tenant.record(Series::QueueWaitUs, Class::Online, waited_ms * 1_000);
    let class = request.class;
    let first = tenant.clone();
    let timer = shared.timer.clone();
    let on_first = move || {
        let ms = timer.now().saturating_ms_since(arrived);
        first.record(Series::FirstTokenMs, class, ms);
    };
    let outcome = shared.client.run(request, &answer, on_first).await;
    let counter = match outcome.kind {
        OutcomeKind::Complete => Counter::Completed,
        OutcomeKind::Cancelled => Counter::Cancelled,
        _ => Counter::Failed,
    };
    tenant.count(counter, class, 1);
}

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
    shared.client.order(&order).await
}
