//! Counters that the tasks of a run share.

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde_json::Value;
use tokio::time::Instant;

use crate::{
    BatchReport, OnlineReport, Quantiles, RefusalCount, Verdict,
    report::rounded,
};

/// Significant digits of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Maximum recorded latency, one hour; longer ones are clamped to it.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Maximum length of the kind of a refusal, in characters.
const MAX_KIND_CHARS: usize = 80;

/// Histogram of latencies in microseconds.
#[derive(Debug)]
pub(crate) struct Latency(Histogram<u64>);

impl Default for Latency {
    fn default() -> Self {
        // The bounds are explicit because a histogram with automatic resizing
        // does not resize in `saturating_record`: it clamps values to its
        // initial maximum of 2 ms.
        let histogram =
            Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        Self(histogram.expect("the constants are valid bounds"))
    }
}

impl Latency {
    pub(crate) fn record(&mut self, span: Duration) {
        self.0.saturating_record(span.as_micros() as u64);
    }

    pub(crate) fn quantiles(&self) -> Quantiles {
        Quantiles::of(&self.0)
    }
}

/// Reason why a request was refused or failed.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Refusal {
    pub(crate) status: u16,
    pub(crate) kind: String,
    pub(crate) ran: String,
}

impl Refusal {
    /// Creates the reason of a request without a response.
    pub(crate) fn unanswered(kind: &str) -> Self {
        Self {
            status: 0,
            kind: kind.to_owned(),
            ran: "unsaid".to_owned(),
        }
    }

    /// Parses problem details (RFC 9457) or an OpenAI error.
    pub(crate) fn of(status: u16, body: &Value) -> Self {
        let error = &body["error"];
        let kind = body["type"]
            .as_str()
            .or(error["code"].as_str())
            .or(error["type"].as_str())
            .or(body.as_str().and_then(|text| text.lines().next()))
            .unwrap_or("unsaid");
        let ran = body["ran"].as_str().or(error["ran"].as_str());
        Self {
            status,
            kind: kind.chars().take(MAX_KIND_CHARS).collect(),
            ran: ran.unwrap_or("unsaid").to_owned(),
        }
    }
}

/// Counts refusals by reason.
#[derive(Debug, Default)]
pub(crate) struct Refusals(IndexMap<Refusal, u64>);

impl Refusals {
    pub(crate) fn add(&mut self, refusal: Refusal) {
        *self.0.entry(refusal).or_default() += 1;
    }

    pub(crate) fn total(&self) -> u64 {
        self.0.values().sum()
    }

    pub(crate) fn counts(&self) -> Vec<RefusalCount> {
        let counts = self.0.iter().map(|(refusal, count)| RefusalCount {
            status: refusal.status,
            kind: refusal.kind.clone(),
            ran: refusal.ran.clone(),
            count: *count,
        });
        counts.collect()
    }
}

/// Outcome of an online request.
#[derive(Clone, Debug)]
pub(crate) enum Outcome {
    Answered(Verdict),
    Refused(Refusal),
    Broken(Refusal),
    TimedOut,
    Lost,
}

/// Measurements of an online request.
#[derive(Clone, Debug)]
pub(crate) struct Measured {
    pub(crate) outcome: Outcome,
    pub(crate) tokens: u64,
    pub(crate) send_delay: Duration,
    pub(crate) first_token: Option<Duration>,
    pub(crate) between: Vec<Duration>,
    pub(crate) whole: Duration,
}

#[derive(Debug, Default)]
struct Online {
    report: OnlineReport,
    refused: Refusals,
    broken: Refusals,
    first_token: Latency,
    between: Latency,
    whole: Latency,
    send_delay: Latency,
    last_end: Option<Instant>,
}

/// Counters of the online requests.
#[derive(Debug, Default)]
pub(crate) struct OnlineTally {
    sent: AtomicU64,
    not_sent: AtomicU64,
    ended: AtomicU64,
    right: AtomicU64,
    inner: Mutex<Online>,
}

impl OnlineTally {
    pub(crate) fn count_sent(&self) {
        self.sent.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_not_sent(&self) {
        self.not_sent.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    pub(crate) fn right(&self) -> u64 {
        self.right.load(Ordering::Relaxed)
    }

    pub(crate) fn in_flight(&self) -> u64 {
        let ended = self.ended.load(Ordering::Relaxed);
        self.sent().saturating_sub(ended)
    }

    pub(crate) fn add(&self, measured: Measured) {
        self.ended.fetch_add(1, Ordering::Relaxed);
        let mut online = self.lock();
        online.last_end = Some(Instant::now());
        online.send_delay.record(measured.send_delay);
        if let Some(first) = measured.first_token {
            online.first_token.record(first);
        }
        for gap in &measured.between {
            online.between.record(*gap);
        }
        let Online {
            report,
            refused,
            broken,
            whole,
            ..
        } = &mut *online;
        match measured.outcome {
            Outcome::Answered(Verdict::Right) => {
                self.right.fetch_add(1, Ordering::Relaxed);
                report.right += 1;
                report.tokens += measured.tokens;
                whole.record(measured.whole);
            }
            Outcome::Answered(Verdict::Missing) => report.missing += 1,
            Outcome::Answered(Verdict::Duplicated) => {
                report.duplicated += 1;
            }
            Outcome::Answered(Verdict::Wrong) => report.wrong += 1,
            Outcome::Refused(refusal) => refused.add(refusal),
            Outcome::Broken(refusal) => broken.add(refusal),
            Outcome::TimedOut => report.timed_out += 1,
            Outcome::Lost => report.lost += 1,
        }
    }

    /// Returns the report of a run that started at `start`.
    ///
    /// Rates refer to the time until the last request ended, because batch
    /// jobs may continue long after it.
    pub(crate) fn report(&self, start: Instant) -> OnlineReport {
        let online = self.lock();
        let tokens = online.report.tokens as f64;
        let elapsed = online.last_end.unwrap_or(start) - start;
        OnlineReport {
            sent: self.sent(),
            not_sent: self.not_sent.load(Ordering::Relaxed),
            refused: online.refused.counts(),
            broken: online.broken.counts(),
            tokens_per_s: rounded(tokens / elapsed.as_secs_f64().max(1e-9)),
            first_token: online.first_token.quantiles(),
            between_tokens: online.between.quantiles(),
            whole_answer: online.whole.quantiles(),
            send_delay: online.send_delay.quantiles(),
            ..online.report.clone()
        }
    }

    fn lock(&self) -> MutexGuard<'_, Online> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Debug, Default)]
struct Batch {
    report: BatchReport,
    failed: Refusals,
    refused: Refusals,
    job: Latency,
    last_end: Duration,
}

/// Counters of the batch jobs.
#[derive(Debug, Default)]
pub(crate) struct BatchTally {
    inner: Mutex<Batch>,
}

impl BatchTally {
    /// Counts a call of the batch API that was refused.
    pub(crate) fn count_refused_call(&self, refusal: Refusal) {
        self.lock().refused.add(refusal);
    }

    /// Counts a call of the batch API without a response.
    pub(crate) fn count_lost_call(&self) {
        self.lock().report.lost += 1;
    }

    /// Counts the end of a job.
    pub(crate) fn end_job(&self, completed: bool, after: Duration) {
        let mut batch = self.lock();
        if completed {
            batch.report.jobs_completed += 1;
            batch.job.record(after);
        } else {
            batch.report.jobs_unfinished += 1;
        }
        batch.last_end = batch.last_end.max(after);
    }

    /// Counts an item that failed unexpectedly.
    pub(crate) fn fail_item(&self, refusal: Refusal) {
        self.lock().failed.add(refusal);
    }

    /// Updates the report, to count the other items of a job.
    pub(crate) fn count(&self, change: impl FnOnce(&mut BatchReport)) {
        change(&mut self.lock().report);
    }

    /// Returns the number of items with a known outcome.
    pub(crate) fn items_known(&self) -> u64 {
        let batch = self.lock();
        let report = &batch.report;
        report.right
            + report.failed_as_asked
            + report.wrong
            + report.missing
            + report.unfinished
            + report.duplicated
            + batch.failed.total()
    }

    pub(crate) fn report(&self, jobs: u64, items: u64) -> BatchReport {
        let batch = self.lock();
        let right = batch.report.right as f64;
        let seconds = batch.last_end.as_secs_f64().max(1e-9);
        BatchReport {
            jobs,
            items,
            failed: batch.failed.counts(),
            refused: batch.refused.counts(),
            job: batch.job.quantiles(),
            items_per_s: rounded(right / seconds),
            ..batch.report.clone()
        }
    }

    fn lock(&self) -> MutexGuard<'_, Batch> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
