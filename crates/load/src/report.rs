use std::fmt;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Quantiles of a duration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of recorded values.
    pub count: u64,
    /// Arithmetic mean.
    pub mean_ms: f64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

impl Quantiles {
    pub(crate) fn of(histogram_us: &Histogram<u64>) -> Self {
        let ms = |us: u64| us as f64 / 1_000.0;
        let at = |quantile| ms(histogram_us.value_at_quantile(quantile));
        Self {
            count: histogram_us.len(),
            mean_ms: rounded(histogram_us.mean() / 1_000.0),
            p50_ms: at(0.5),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
            max_ms: ms(histogram_us.max()),
        }
    }
}

/// Rounds a number to three decimals.
///
/// Further digits are not significant. Fast but inexact JSON parsers
/// preserve numbers of this length, but not those with all digits.
pub(crate) fn rounded(number: f64) -> f64 {
    (number * 1_000.0).round() / 1_000.0
}

/// Number of requests that were refused or failed for the same reason.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RefusalCount {
    /// HTTP status; 200 if the error came within a stream, 0 if there was no
    /// response.
    pub status: u16,
    /// Type of the problem, otherwise another description from the body.
    pub kind: String,
    /// Whether the request ran according to the response (`ran`): `no`,
    /// `unknown`, or `unsaid` if the response does not state it.
    pub ran: String,
    /// Number of requests.
    pub count: u64,
}

/// Results of the online requests.
///
/// Each request is counted in exactly one of `right`, `wrong`, `missing`,
/// `duplicated`, `refused`, `broken`, `timed_out` and `lost`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OnlineReport {
    /// Requests sent.
    pub sent: u64,
    /// Requests skipped because too many were in flight.
    pub not_sent: u64,
    /// Complete and correct responses.
    pub right: u64,
    /// Responses with an unexpected text.
    pub wrong: u64,
    /// Responses that were truncated without an error.
    pub missing: u64,
    /// Responses with a repeated section.
    pub duplicated: u64,
    /// Requests that timed out.
    pub timed_out: u64,
    /// Requests whose connection failed.
    pub lost: u64,
    /// Requests refused before a response started.
    pub refused: Vec<RefusalCount>,
    /// Responses that ended with an error in the stream.
    pub broken: Vec<RefusalCount>,
    /// Tokens of correct responses.
    pub tokens: u64,
    /// Tokens of correct responses per second until the last request ended.
    pub tokens_per_s: f64,
    /// Time from the intended send time to the first token.
    pub first_token: Quantiles,
    /// Time between consecutive tokens; 0 for tokens that are read together.
    pub between_tokens: Quantiles,
    /// Time from the intended send time to the end of a correct response.
    pub whole_answer: Quantiles,
    /// Delay of the generator itself when sending; if it is large, the other
    /// latencies mostly reflect the generator.
    pub send_delay: Quantiles,
}

/// Results of the batch jobs.
///
/// Each item is counted in exactly one of `right`, `failed_as_asked`,
/// `wrong`, `missing`, `unfinished`, `duplicated` and `failed`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BatchReport {
    /// Jobs planned.
    pub jobs: u64,
    /// Jobs that reached the state `completed`.
    pub jobs_completed: u64,
    /// Jobs that ended in another state or timed out.
    pub jobs_unfinished: u64,
    /// Items planned.
    pub items: u64,
    /// Items with exactly one, correct response.
    pub right: u64,
    /// Items that must fail and are in the error file exactly once.
    pub failed_as_asked: u64,
    /// Items with an unexpected response, or a response instead of a failure.
    pub wrong: u64,
    /// Items without a line in either file.
    pub missing: u64,
    /// Items without a result in jobs that did not complete.
    pub unfinished: u64,
    /// Items with more than one line in the files.
    pub duplicated: u64,
    /// Lines of the files that are not valid JSON or not of an item of the
    /// job.
    pub foreign: u64,
    /// Items that failed unexpectedly, by reason.
    pub failed: Vec<RefusalCount>,
    /// Refused calls of the batch API, by reason.
    pub refused: Vec<RefusalCount>,
    /// Calls of the batch API without a response; they were retried.
    pub lost: u64,
    /// Time from the start of the run to the end of each completed job.
    pub job: Quantiles,
    /// Correct items per second until the last job ended.
    pub items_per_s: f64,
}

/// Results of a load run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Seed of the plan.
    pub seed: u64,
    /// Time from the start to the end of all requests and jobs.
    pub elapsed_ms: u64,
    /// Results of the online requests.
    pub online: OnlineReport,
    /// Results of the batch jobs.
    pub batch: BatchReport,
}

impl LoadReport {
    /// Reports whether no response was wrong, missing or duplicated.
    ///
    /// Refusals, timeouts, lost connections and unfinished jobs do not count
    /// because the caller can detect them.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_load::LoadReport;
    ///
    /// let mut report = LoadReport::default();
    /// report.online.refused = Vec::new();
    /// assert!(report.is_clean());
    /// report.batch.duplicated = 1;
    /// assert!(!report.is_clean());
    /// ```
    pub fn is_clean(&self) -> bool {
        let (online, batch) = (&self.online, &self.batch);
        let bad_requests = online.wrong + online.missing + online.duplicated;
        let bad_items =
            batch.wrong + batch.missing + batch.duplicated + batch.foreign;
        bad_requests + bad_items == 0
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}, {} ms", self.seed, self.elapsed_ms)?;
        if self.online.sent > 0 {
            self.online.fmt(f)?;
        }
        if self.batch.jobs > 0 {
            self.batch.fmt(f)?;
        }
        let clean = if self.is_clean() { "yes" } else { "NO" };
        writeln!(f, "every answer right and once: {clean}")
    }
}

impl fmt::Display for OnlineReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "online requests")?;
        let counts = [
            ("sent", self.sent),
            ("not sent", self.not_sent),
            ("right", self.right),
            ("wrong", self.wrong),
            ("missing", self.missing),
            ("duplicated", self.duplicated),
            ("timed out", self.timed_out),
            ("lost", self.lost),
        ];
        write_counts(f, &counts)?;
        write_refusals(f, "refused", &self.refused)?;
        write_refusals(f, "broken", &self.broken)?;
        writeln!(f, "  {:<16}{:>12.1}", "tokens/s", self.tokens_per_s)?;
        write_quantile_header(f)?;
        write_quantiles(f, "first token", &self.first_token)?;
        write_quantiles(f, "between tokens", &self.between_tokens)?;
        write_quantiles(f, "whole answer", &self.whole_answer)?;
        write_quantiles(f, "send delay", &self.send_delay)
    }
}

impl fmt::Display for BatchReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "batch jobs")?;
        let counts = [
            ("jobs", self.jobs),
            ("jobs completed", self.jobs_completed),
            ("jobs unfinished", self.jobs_unfinished),
            ("items", self.items),
            ("right", self.right),
            ("failed as asked", self.failed_as_asked),
            ("wrong", self.wrong),
            ("missing", self.missing),
            ("unfinished", self.unfinished),
            ("duplicated", self.duplicated),
            ("foreign lines", self.foreign),
            ("calls lost", self.lost),
        ];
        write_counts(f, &counts)?;
        write_refusals(f, "failed", &self.failed)?;
        write_refusals(f, "calls refused", &self.refused)?;
        writeln!(f, "  {:<16}{:>12.1}", "items/s", self.items_per_s)?;
        write_quantile_header(f)?;
        write_quantiles(f, "job", &self.job)
    }
}

fn write_counts(
    f: &mut fmt::Formatter<'_>,
    counts: &[(&str, u64)],
) -> fmt::Result {
    for (name, count) in counts {
        writeln!(f, "  {name:<16}{count:>12}")?;
    }
    Ok(())
}

fn write_refusals(
    f: &mut fmt::Formatter<'_>,
    name: &str,
    refusals: &[RefusalCount],
) -> fmt::Result {
    for refusal in refusals {
        let RefusalCount {
            status,
            kind,
            ran,
            count,
        } = refusal;
        writeln!(f, "  {name:<16}{count:>12}  {status} {kind}, ran {ran}")?;
    }
    Ok(())
}

fn write_quantile_header(f: &mut fmt::Formatter<'_>) -> fmt::Result {
    writeln!(
        f,
        "  {:<16}{:>12}{:>10}{:>10}{:>10}{:>10}",
        "ms", "count", "p50", "p95", "p99", "max"
    )
}

fn write_quantiles(
    f: &mut fmt::Formatter<'_>,
    name: &str,
    q: &Quantiles,
) -> fmt::Result {
    writeln!(
        f,
        "  {name:<16}{:>12}{:>10.1}{:>10.1}{:>10.1}{:>10.1}",
        q.count, q.p50_ms, q.p95_ms, q.p99_ms, q.max_ms
    )
}
