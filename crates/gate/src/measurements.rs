use base::Millis;

use crate::{GateOptions, samples::Samples};

/// Minimum number of samples for a quantile of online calls.
const MIN_SAMPLES: usize = 4;

/// Maximum age of the samples in reports, in milliseconds.
const REPORT_AGE_MS: u64 = 10_000;

/// Quantile that the latency targets apply to.
const QUANTILE: f64 = 0.95;

/// Assumed duration of a call before one was measured, in milliseconds.
const DEFAULT_CALL_MS: f64 = 1_000.0;

/// Weight of a new duration in the moving average.
const MEAN_WEIGHT: f64 = 0.1;

/// Latencies and durations measured at the endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct Measurements {
    first_token_ms: Samples,
    between_us: Samples,
    batch_between_us: Samples,
    call_ms: Option<f64>,
    item_ms: Option<f64>,
}

impl Measurements {
    pub(crate) fn add_first_token(&mut self, now: Millis, ms: u64) {
        self.first_token_ms.push(now, saturating_u32(ms));
    }

    pub(crate) fn add_gap(&mut self, now: Millis, us: u32) {
        self.between_us.push(now, us);
    }

    pub(crate) fn add_batch_gap(&mut self, now: Millis, us: u32) {
        self.batch_between_us.push(now, us);
    }

    pub(crate) fn add_call(&mut self, ms: u64) {
        update_mean(&mut self.call_ms, ms);
    }

    pub(crate) fn add_item(&mut self, ms: u64) {
        update_mean(&mut self.item_ms, ms);
    }

    /// Returns the mean duration of an online call, in milliseconds.
    pub(crate) fn call_ms(&self) -> f64 {
        self.call_ms.unwrap_or(DEFAULT_CALL_MS)
    }

    /// Returns the mean duration of a batch item, in milliseconds.
    pub(crate) fn item_ms(&self) -> f64 {
        self.item_ms.unwrap_or(DEFAULT_CALL_MS)
    }

    /// Returns the recent 95th percentile of the time to first token, 0 if
    /// unknown.
    pub(crate) fn first_p95_ms(&self, now: Millis) -> u32 {
        let since = ago(now, REPORT_AGE_MS);
        self.first_token_ms
            .quantile(since, QUANTILE, 1)
            .unwrap_or(0)
    }

    /// Returns the recent 95th percentile of the time between tokens, 0 if
    /// unknown.
    pub(crate) fn between_p95_us(&self, now: Millis) -> u32 {
        let since = ago(now, REPORT_AGE_MS);
        let online = self.between_us.quantile(since, QUANTILE, 1);
        let batch = || self.batch_between_us.quantile(since, QUANTILE, 1);
        online.or_else(batch).unwrap_or(0)
    }

    /// Returns the ratio of the latencies since a given time to their targets,
    /// or `None` if nothing was measured. Gaps of batch items count only if
    /// there are too few of online calls.
    pub(crate) fn pressure(
        &self,
        since: Millis,
        options: &GateOptions,
    ) -> Option<f64> {
        let first = self.first_token_ms.quantile(since, QUANTILE, MIN_SAMPLES);
        let between = self.between_us.quantile(since, QUANTILE, MIN_SAMPLES);
        let batch = &self.batch_between_us;
        let between =
            between.or_else(|| batch.quantile(since, QUANTILE, MIN_SAMPLES));
        let ratio = |value: u32, target: u32| {
            f64::from(value) / f64::from(target.max(1))
        };
        let target_us = options.between_tokens_target_ms.saturating_mul(1_000);
        let first = first.map(|ms| ratio(ms, options.first_token_target_ms));
        let between = between.map(|us| ratio(us, target_us));
        match (first, between) {
            (Some(first), Some(between)) => Some(first.max(between)),
            (first, between) => first.or(between),
        }
    }

    /// Reports whether first tokens since a given time missed their target.
    pub(crate) fn misses_first_token_target(
        &self,
        since: Millis,
        options: &GateOptions,
    ) -> bool {
        let first = self.first_token_ms.quantile(since, QUANTILE, MIN_SAMPLES);
        first.is_some_and(|ms| ms > options.first_token_target_ms)
    }
}

pub(crate) fn ago(now: Millis, ms: u64) -> Millis {
    Millis::new(now.as_ms().saturating_sub(ms))
}

fn saturating_u32(ms: u64) -> u32 {
    u32::try_from(ms).unwrap_or(u32::MAX)
}

fn update_mean(mean: &mut Option<f64>, ms: u64) {
    let ms = ms as f64;
    *mean = Some(match *mean {
        Some(mean) => mean + (ms - mean) * MEAN_WEIGHT,
        None => ms,
    });
}
