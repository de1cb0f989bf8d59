use std::fmt;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Quantiles of a span of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Values recorded.
    pub count: u64,
    /// Arithmetic mean.
    pub mean_ms: f64,
    /// Median.
    pub p50_ms: f64,
    /// 95 in 100 are at most this.
    pub p95_ms: f64,
    /// 99 in 100 are at most this.
    pub p99_ms: f64,
    /// 999 in 1,000 are at most this.
    pub p999_ms: f64,
    /// Largest value.
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

/// Rounds a figure to three decimals.
///
/// Further digits mean nothing, and JSON readers that are fast rather than
/// exact return such figures unchanged, but not those of full length.
pub(crate) fn rounded(figure: f64) -> f64 {
    (figure * 1_000.0).round() / 1_000.0
}

/// Requests that the target refused or failed alike.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RefusalCount {
    /// Status of the answer; 200 if a stream told it after its start, 0 if
    /// there was no answer.
    pub status: u16,
    /// Type of the problem, or what else the body says.
    pub kind: String,
    /// Whether the request ran, as the answer says (`ran`): `no`,
    /// `unknown`, or `unsaid`.
    pub ran: String,
    /// How many.
    pub count: u64,
}

/// What became of the online requests.
///
/// Each request is counted in exactly one of `right`, `wrong`, `missing`,
/// `duplicated`, `refused`, `broken`, `timed_out` and `lost`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OnlineReport {
    /// Requests sent.
    pub sent: u64,
    /// Requests held back because too many were unanswered.
    pub not_sent: u64,
    /// Whole and right answers.
    pub right: u64,
    /// Answers that belong to no such request.
    pub wrong: u64,
    /// Answers that ended early without saying so.
    pub missing: u64,
    /// Answers with a part given twice.
    pub duplicated: u64,
    /// Requests without an answer in time.
    pub timed_out: u64,
    /// Requests whose connection failed or ended with an error.
    pub lost: u64,
    /// Requests refused before an answer began.
    pub refused: Vec<RefusalCount>,
    /// Answers that ended with an error in the stream.
    pub broken: Vec<RefusalCount>,
    /// Tokens of right answers.
    pub tokens: u64,
    /// Tokens of right answers for each second until the last request
    /// ended.
    pub tokens_per_s: f64,
    /// From the intended moment of sending to the first token.
    pub first_token: Quantiles,
    /// Between one token and the next; tokens that are read together count
    /// as 0 apart.
    pub between_tokens: Quantiles,
    /// From the intended moment of sending to the end of a right answer.
    pub whole_answer: Quantiles,
    /// How late the generator itself sent; large values make the other
    /// latencies those of the generator.
    pub send_delay: Quantiles,
}

/// What became of the batch jobs.
///
/// Each item is counted in exactly one of `right`, `failed_as_asked`,
/// `wrong`, `missing`, `unfinished`, `duplicated` and `failed`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BatchReport {
    /// Jobs planned.
    pub jobs: u64,
    /// Jobs that reached the state `completed`.
    pub jobs_completed: u64,
    /// Jobs that ended otherwise or not in time.
    pub jobs_unfinished: u64,
    /// Items planned.
    pub items: u64,
    /// Items with the right answer, given once.
    pub right: u64,
    /// Items that must fail and are in the error file, once.
    pub failed_as_asked: u64,
    /// Items with another answer, or an answer where a failure is due.
    pub wrong: u64,
    /// Items that no file names.
    pub missing: u64,
    /// Items without a result of jobs that did not complete.
    pub unfinished: u64,
    /// Items that the files name more than once.
    pub duplicated: u64,
    /// Lines of the files that name no item of the job or are no JSON.
    pub foreign: u64,
    /// Items that failed though they should not, by reason.
    pub failed: Vec<RefusalCount>,
    /// Calls of the batch API that were refused and repeated, by reason.
    pub refused: Vec<RefusalCount>,
    /// Calls of the batch API without an answer, repeated.
    pub lost: u64,
    /// From the start of the run to the end of each completed job.
    pub job: Quantiles,
    /// Right items for each second until the last job ended.
    pub items_per_s: f64,
}

/// What became of a load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Seed of the plan.
    pub seed: u64,
    /// From the start to the end of all requests and jobs.
    pub elapsed_ms: u64,
    /// Online requests.
    pub online: OnlineReport,
    /// Batch jobs.
    pub batch: BatchReport,
}

impl LoadReport {
    /// Tells whether no answer was wrong, missing or duplicated.
    ///
    /// Refusals, time-outs, lost connections and unfinished jobs do not
    /// count: the caller knows of those.
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
        let bad = online.wrong + online.missing + online.duplicated;
        let bad_items =
            batch.wrong + batch.missing + batch.duplicated + batch.foreign;
        bad + bad_items == 0
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
        write_quantile_head(f)?;
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
        write_quantile_head(f)?;
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

fn write_quantile_head(f: &mut fmt::Formatter<'_>) -> fmt::Result {
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
