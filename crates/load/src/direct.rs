use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use error_stack::Report;
use tokio::{task::JoinSet, time::Instant};

use crate::{
    LoadError, LoadReport, Plan, Progress, Verdict,
    online::Sender,
    prompt::{ExpectedRequest, RequestKey},
    run::Load,
    tally::{Outcome, Refusal},
};

/// Sends the load of a plan directly to an engine, as a baseline.
///
/// The online requests are the same as in [`run`](crate::run). The batch
/// items are sent to the engine concurrently, over
/// [`direct_batch_streams`](Plan::direct_batch_streams) streams without
/// regard to the online requests, as clients without a serving system do.
///
/// # Errors
///
/// Same as [`run`](crate::run).
///
/// # Example
///
/// ```
/// use pomeloslip_load::{Plan, direct};
/// use standin::engine::{Engine, EngineSettings};
///
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let engine = Engine::start(EngineSettings::instant()).await.unwrap();
/// let plan = Plan::new("http://unused", "korv-lm").batch(2, 20);
/// let report = direct(&plan, &engine.url(), |_| {}).await.unwrap();
/// assert_eq!(report.batch.right, 40);
/// # });
/// ```
pub async fn direct(
    plan: &Plan,
    engine: &str,
    progress: impl FnMut(Progress),
) -> Result<LoadReport, Report<LoadError>> {
    let load = Load::new(&plan.clone().target(engine))?;
    let items = Items {
        sender: Sender {
            plan: load.plan.clone(),
            client: load.client.clone(),
            tally: load.online.clone(),
        },
        load_start: load.start,
        batch: load.batch.clone(),
        next: Arc::default(),
    };
    load.finish(items.send_all(), progress).await
}

#[derive(Clone)]
struct Items {
    sender: Sender,
    load_start: Instant,
    batch: Arc<crate::tally::BatchTally>,
    next: Arc<AtomicU64>,
}

impl Items {
    async fn send_all(self) {
        let plan = self.sender.plan.clone();
        if plan.items() == 0 {
            return;
        }
        let mut streams = JoinSet::new();
        for _ in 0..plan.direct_batch_streams.max(1) {
            streams.spawn(self.clone().send_stream());
        }
        streams.join_all().await;
        for _ in 0..plan.jobs {
            self.batch.end_job(true, self.load_start.elapsed());
        }
    }

    async fn send_stream(self) {
        let plan = &self.sender.plan;
        let per_job = u64::from(plan.items_per_job);
        loop {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            if number >= plan.items() {
                return;
            }
            let key = RequestKey::Item {
                job: (number / per_job) as u32,
                item: (number % per_job) as u32,
            };
            let spec = ExpectedRequest::new(plan, key);
            let measured = self.sender.measure(&spec, Instant::now()).await;
            self.count(&spec, measured.outcome);
        }
    }

    fn count(&self, spec: &ExpectedRequest, outcome: Outcome) {
        self.batch.count(|report| match &outcome {
            _ if spec.fails && matches!(outcome, Outcome::Refused(_)) => {
                report.failed_as_asked += 1;
            }
            Outcome::Answered(_) if spec.fails => report.wrong += 1,
            Outcome::Answered(Verdict::Right) => report.right += 1,
            Outcome::Answered(Verdict::Duplicated) => {
                report.duplicated += 1;
            }
            Outcome::Answered(Verdict::Wrong) => report.wrong += 1,
            Outcome::Answered(Verdict::Missing) => report.missing += 1,
            Outcome::Refused(_)
            | Outcome::Broken(_)
            | Outcome::Lost
            | Outcome::TimedOut => {}
        });
        match outcome {
            Outcome::Refused(refusal) if !spec.fails => {
                self.batch.fail_item(refusal);
            }
            Outcome::Broken(refusal) => self.batch.fail_item(refusal),
            Outcome::Lost => {
                self.batch.fail_item(Refusal::unanswered("lost"));
            }
            Outcome::TimedOut => {
                self.batch.fail_item(Refusal::unanswered("timed out"));
            }
            _ => {}
        }
    }
}
