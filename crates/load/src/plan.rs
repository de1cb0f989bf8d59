use std::ops::RangeInclusive;

use error_stack::{Report, ensure};

use crate::LoadError;

/// Arrival process of online requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrivals {
    /// No online requests.
    None,
    /// Open loop: a Poisson process with this rate per second, independent of
    /// earlier responses.
    PerSecond(f64),
    /// Closed loop, only for throughput measurements: this number of streams,
    /// each of which sends at least one request and the next one after the
    /// response to the previous.
    Streams(u32),
}

/// Specification of a load and its target.
///
/// # Example
///
/// ```
/// use pomeloslip_load::{Arrivals, Plan};
///
/// let plan = Plan::new("http://127.0.0.1:8080", "korv-lm")
///     .key("secret")
///     .arrivals(Arrivals::PerSecond(50.0))
///     .duration_ms(10_000)
///     .prompt_bytes(100..=400)
///     .max_tokens(32)
///     .batch(2, 1_000)
///     .fail_percent(1)
///     .seed(7);
/// assert_eq!(plan.items(), 2_000);
/// assert!(plan.check().is_ok());
/// assert!(plan.arrivals(Arrivals::PerSecond(-1.0)).check().is_err());
/// ```
#[derive(Clone, PartialEq)]
pub struct Plan {
    pub(crate) target: String,
    pub(crate) key: Option<String>,
    pub(crate) model: String,
    pub(crate) arrivals: Arrivals,
    pub(crate) duration_ms: u64,
    pub(crate) prompt_bytes: RangeInclusive<usize>,
    pub(crate) max_tokens: u32,
    pub(crate) jobs: u32,
    pub(crate) items_per_job: u32,
    pub(crate) fail_percent: u32,
    pub(crate) seed: u64,
    pub(crate) request_timeout_ms: u64,
    pub(crate) batch_timeout_ms: u64,
    pub(crate) poll_ms: u64,
    pub(crate) max_in_flight: usize,
    pub(crate) direct_batch_streams: u32,
}

/// Omits the API key, which is a secret of the customer.
impl std::fmt::Debug for Plan {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Plan")
            .field("target", &self.target)
            .field("model", &self.model)
            .field("arrivals", &self.arrivals)
            .field("duration_ms", &self.duration_ms)
            .field("jobs", &self.jobs)
            .field("items_per_job", &self.items_per_job)
            .field("seed", &self.seed)
            .finish_non_exhaustive()
    }
}

impl Plan {
    /// Creates a plan for a base URL without requests or jobs.
    pub fn new(target: &str, model: &str) -> Self {
        Self {
            target: target.trim_end_matches('/').to_owned(),
            key: None,
            model: model.to_owned(),
            arrivals: Arrivals::None,
            duration_ms: 1_000,
            prompt_bytes: 64..=512,
            max_tokens: 16,
            jobs: 0,
            items_per_job: 0,
            fail_percent: 0,
            seed: 1,
            request_timeout_ms: 60_000,
            batch_timeout_ms: 600_000,
            poll_ms: 100,
            max_in_flight: 20_000,
            direct_batch_streams: 64,
        }
    }

    /// Sets the bearer key to send with each request.
    pub fn key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    /// Sets the base URL of the target.
    pub fn target(mut self, target: &str) -> Self {
        self.target = target.trim_end_matches('/').to_owned();
        self
    }

    /// Sets the arrival process of online requests.
    pub fn arrivals(mut self, arrivals: Arrivals) -> Self {
        self.arrivals = arrivals;
        self
    }

    /// Sets the duration in which online requests are sent.
    pub fn duration_ms(mut self, duration_ms: u64) -> Self {
        self.duration_ms = duration_ms;
        self
    }

    /// Sets the range of prompt lengths. Prompts can be a few bytes longer
    /// because they end with whole words.
    pub fn prompt_bytes(mut self, bytes: RangeInclusive<usize>) -> Self {
        self.prompt_bytes = bytes;
        self
    }

    /// Sets the number of tokens to generate for each request and item.
    pub fn max_tokens(mut self, max_tokens: u32) -> Self {
        self.max_tokens = max_tokens;
        self
    }

    /// Sets the number of batch jobs to start at the beginning and the number
    /// of items in each.
    pub fn batch(mut self, jobs: u32, items_per_job: u32) -> Self {
        self.jobs = jobs;
        self.items_per_job = items_per_job;
        self
    }

    /// Sets the percentage of batch items that always fail (`[[fail]]`).
    pub fn fail_percent(mut self, percent: u32) -> Self {
        self.fail_percent = percent;
        self
    }

    /// Sets the seed for prompts and arrivals.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the timeout of an online request.
    pub fn request_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.request_timeout_ms = timeout_ms;
        self
    }

    /// Sets the timeout of a batch job.
    pub fn batch_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.batch_timeout_ms = timeout_ms;
        self
    }

    /// Sets the polling interval for the status of a job.
    pub fn poll_ms(mut self, poll_ms: u64) -> Self {
        self.poll_ms = poll_ms;
        self
    }

    /// Sets the maximum number of online requests in flight; further requests
    /// are skipped and counted as not sent.
    pub fn max_in_flight(mut self, max_in_flight: usize) -> Self {
        self.max_in_flight = max_in_flight;
        self
    }

    /// Sets the number of concurrent streams for batch items without the
    /// batch API ([`direct`](crate::direct)).
    pub fn direct_batch_streams(mut self, streams: u32) -> Self {
        self.direct_batch_streams = streams;
        self
    }

    /// Returns the total number of batch items.
    pub fn items(&self) -> u64 {
        u64::from(self.jobs) * u64::from(self.items_per_job)
    }

    /// Validates the plan; [`run`](crate::run) calls this function.
    ///
    /// # Errors
    ///
    /// [`LoadError::Plan`], with the value that is out of range.
    pub fn check(&self) -> Result<(), Report<LoadError>> {
        if let Arrivals::PerSecond(rate) = self.arrivals {
            ensure!(
                rate.is_finite() && rate > 0.0,
                Report::new(LoadError::Plan)
                    .attach(format!("rate {rate} per second"))
            );
        }
        ensure!(
            self.fail_percent <= 100,
            Report::new(LoadError::Plan)
                .attach(format!("fail share {} %", self.fail_percent))
        );
        ensure!(
            self.max_tokens > 0,
            Report::new(LoadError::Plan).attach("max_tokens 0")
        );
        ensure!(
            !self.prompt_bytes.is_empty(),
            Report::new(LoadError::Plan)
                .attach("empty range of prompt lengths")
        );
        Ok(())
    }

    /// Returns the number of jobs, 0 if they have no items.
    pub(crate) fn batch_jobs(&self) -> u32 {
        if self.items_per_job == 0 {
            0
        } else {
            self.jobs
        }
    }
}
