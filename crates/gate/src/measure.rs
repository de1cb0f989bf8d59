use base::Millis;

use crate::{GateOptions, recent::Recent};

/// Fewest values that say something of the online calls.
const VALUES_MIN: usize = 4;

/// Age up to which values count as recent in reports.
const REPORT_AGE_MS: u64 = 10_000;

/// The quantile of the promises.
const QUANTILE: f64 = 0.95;

/// Duration of a call before one was measured.
const CALL_MS: f64 = 1_000.0;

/// Weight of a new duration in the mean.
const CALL_WEIGHT: f64 = 0.1;

/// What was measured at the endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct Measure {
    first_ms: Recent,
    between_us: Recent,
    batch_between_us: Recent,
    call_ms: Option<f64>,
    item_ms: Option<f64>,
}

impl Measure {
    pub(crate) fn first(&mut self, now: Millis, ms: u64) {
        self.first_ms.push(now, saturating_u32(ms));
    }

    pub(crate) fn between(&mut self, now: Millis, us: u32) {
        self.between_us.push(now, us);
    }

    pub(crate) fn batch_between(&mut self, now: Millis, us: u32) {
        self.batch_between_us.push(now, us);
    }

    pub(crate) fn call(&mut self, ms: u64) {
        mean(&mut self.call_ms, ms);
    }

    pub(crate) fn item(&mut self, ms: u64) {
        mean(&mut self.item_ms, ms);
    }

    /// Returns the mean duration of an online call.
    pub(crate) fn call_ms(&self) -> f64 {
        self.call_ms.unwrap_or(CALL_MS)
    }

    /// Returns the mean duration of a batch item.
    pub(crate) fn item_ms(&self) -> f64 {
        self.item_ms.unwrap_or(CALL_MS)
    }

    /// Returns the recent 95th percentile of the first token, 0 if unknown.
    pub(crate) fn first_p95_ms(&self, now: Millis) -> u32 {
        let since = ago(now, REPORT_AGE_MS);
        self.first_ms.quantile(since, QUANTILE, 1).unwrap_or(0)
    }

    /// Returns the recent 95th percentile between tokens, 0 if unknown.
    pub(crate) fn between_p95_us(&self, now: Millis) -> u32 {
        let since = ago(now, REPORT_AGE_MS);
        let online = self.between_us.quantile(since, QUANTILE, 1);
        let batch = || self.batch_between_us.quantile(since, QUANTILE, 1);
        online.or_else(batch).unwrap_or(0)
    }

    /// Returns the latencies since a time in parts of the promises, or
    /// `None` if nothing was measured. Batch counts only where no online
    /// call tells more.
    pub(crate) fn pressure(
        &self,
        since: Millis,
        options: &GateOptions,
    ) -> Option<f64> {
        let first = self.first_ms.quantile(since, QUANTILE, VALUES_MIN);
        let between = self.between_us.quantile(since, QUANTILE, VALUES_MIN);
        let batch = &self.batch_between_us;
        let between =
            between.or_else(|| batch.quantile(since, QUANTILE, VALUES_MIN));
        let part = |value: u32, target: u32| {
            f64::from(value) / f64::from(target.max(1))
        };
        let target_us = options.between_tokens_target_ms.saturating_mul(1_000);
        let first = first.map(|ms| part(ms, options.first_token_target_ms));
        let between = between.map(|us| part(us, target_us));
        match (first, between) {
            (Some(first), Some(between)) => Some(first.max(between)),
            (first, between) => first.or(between),
        }
    }

    /// Tells whether first tokens since a time broke their promise.
    pub(crate) fn is_first_late(
        &self,
        since: Millis,
        options: &GateOptions,
    ) -> bool {
        let first = self.first_ms.quantile(since, QUANTILE, VALUES_MIN);
        first.is_some_and(|ms| ms > options.first_token_target_ms)
    }
}

pub(crate) fn ago(now: Millis, ms: u64) -> Millis {
    Millis::new(now.as_ms().saturating_sub(ms))
}

fn saturating_u32(ms: u64) -> u32 {
    u32::try_from(ms).unwrap_or(u32::MAX)
}

fn mean(mean: &mut Option<f64>, ms: u64) {
    let ms = ms as f64;
    *mean = Some(match *mean {
        Some(mean) => mean + (ms - mean) * CALL_WEIGHT,
        None => ms,
    });
}
