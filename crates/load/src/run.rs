use std::{sync::Arc, time::Duration};

use error_stack::{Report, ResultExt};
use reqwest::Client;
use tokio::time::Instant;

use crate::{
    LoadError, LoadReport, Plan,
    batch::{self, Job},
    online,
    tally::{BatchTally, OnlineTally},
};

/// Interval between calls of the progress callback.
const PROGRESS_INTERVAL_MS: u64 = 500;

/// Progress of a run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Time since the start.
    pub elapsed_ms: u64,
    /// Online requests sent.
    pub sent: u64,
    /// Online requests in flight.
    pub in_flight: u64,
    /// Online requests with a correct response.
    pub right: u64,
    /// Batch items with a known outcome.
    pub items_known: u64,
}

/// Sends the load of a plan and verifies all responses.
///
/// `progress` is called twice per second. Dropping the future stops the load.
///
/// # Errors
///
/// [`LoadError::Plan`] if the plan is invalid, [`LoadError::Client`] if the
/// HTTP client cannot be created, [`LoadError::Task`] if a task of the
/// generator panics. Failures of the target are counted in the report.
///
/// # Example
///
/// ```
/// use pomeloslip_load::{Arrivals, Plan, run};
///
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// // Nothing listens at port 1, which counts as a failure of the target.
/// let plan = Plan::new("http://127.0.0.1:1", "korv-lm")
///     .arrivals(Arrivals::Streams(1))
///     .duration_ms(1);
/// let report = run(&plan, |_| {}).await.unwrap();
/// assert_eq!(report.online.lost, report.online.sent);
///
/// let no_rate = plan.arrivals(Arrivals::PerSecond(0.0));
/// assert!(run(&no_rate, |_| {}).await.is_err());
/// # });
/// ```
pub async fn run(
    plan: &Plan,
    progress: impl FnMut(Progress),
) -> Result<LoadReport, Report<LoadError>> {
    let load = Load::new(plan)?;
    let jobs = batch::run_all(Job {
        plan: load.plan.clone(),
        client: load.client.clone(),
        tally: load.batch.clone(),
        start: load.start,
    });
    load.finish(jobs, progress).await
}

/// Shared state of a run.
pub(crate) struct Load {
    pub(crate) plan: Arc<Plan>,
    pub(crate) client: Client,
    pub(crate) online: Arc<OnlineTally>,
    pub(crate) batch: Arc<BatchTally>,
    pub(crate) start: Instant,
}

impl Load {
    pub(crate) fn new(plan: &Plan) -> Result<Self, Report<LoadError>> {
        plan.check()?;
        let client = Client::builder()
            .no_proxy()
            .tcp_nodelay(true)
            .pool_max_idle_per_host(usize::MAX)
            .build()
            .change_context(LoadError::Client)?;
        Ok(Self {
            plan: Arc::new(plan.clone()),
            client,
            online: Arc::default(),
            batch: Arc::default(),
            start: Instant::now(),
        })
    }

    /// Sends the online requests concurrently with the batch jobs.
    pub(crate) async fn finish(
        self,
        jobs: impl Future<Output = ()> + Send + 'static,
        mut progress: impl FnMut(Progress),
    ) -> Result<LoadReport, Report<LoadError>> {
        let online = online::send_all(
            self.plan.clone(),
            self.client.clone(),
            self.online.clone(),
        );
        let mut tasks = tokio::task::JoinSet::new();
        tasks.spawn(online);
        tasks.spawn(jobs);
        let period = Duration::from_millis(PROGRESS_INTERVAL_MS);
        let mut ticks = tokio::time::interval(period);
        loop {
            tokio::select! {
                ended = tasks.join_next() => match ended {
                    None => break,
                    Some(ended) => {
                        ended.change_context(LoadError::Task)?;
                    }
                },
                _ = ticks.tick() => progress(self.progress()),
            }
        }
        progress(self.progress());
        Ok(self.report())
    }

    fn progress(&self) -> Progress {
        Progress {
            elapsed_ms: self.start.elapsed().as_millis() as u64,
            sent: self.online.sent(),
            in_flight: self.online.in_flight(),
            right: self.online.right(),
            items_known: self.batch.items_known(),
        }
    }

    fn report(&self) -> LoadReport {
        let elapsed = self.start.elapsed();
        let jobs = u64::from(self.plan.batch_jobs());
        LoadReport {
            seed: self.plan.seed,
            elapsed_ms: elapsed.as_millis() as u64,
            online: self.online.report(self.start),
            batch: self.batch.report(jobs, self.plan.items()),
        }
    }
}
