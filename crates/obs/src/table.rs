use std::fmt;

use base::{Class, Customer, IdError};
use serde::{Deserialize, Serialize};

use crate::{Counter, Gauge, Series};

const ALL: &str = "*";
pub(crate) const OTHER: &str = "other";

/// Tells whose values a row holds.
///
/// # Example
///
/// ```
/// use pomeloslip_obs::Scope;
///
/// let scope: Scope = "taevakorv".to_owned().try_into()?;
/// assert_eq!(scope.to_string(), "taevakorv");
/// assert_eq!(Scope::All.to_string(), "*");
/// # Ok::<(), base::IdError>(())
/// ```
#[derive(
    Clone, Debug, Eq, PartialEq, Ord, PartialOrd, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub enum Scope {
    /// All customers together, written `*`.
    All,
    /// The customers over the bound, written `other`.
    Other,
    /// One customer.
    Customer(Customer),
}

impl Scope {
    /// Returns the scope as text.
    pub fn as_str(&self) -> &str {
        match self {
            Scope::All => ALL,
            Scope::Other => OTHER,
            Scope::Customer(customer) => customer.as_str(),
        }
    }
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl TryFrom<String> for Scope {
    type Error = IdError;

    fn try_from(text: String) -> Result<Self, IdError> {
        match text.as_str() {
            ALL => Ok(Scope::All),
            OTHER => Ok(Scope::Other),
            _ => text.parse().map(Scope::Customer),
        }
    }
}

impl From<Scope> for String {
    fn from(scope: Scope) -> String {
        scope.as_str().to_owned()
    }
}

/// Quantiles of the last minutes, in the unit of their series.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(default)]
pub struct Quantiles {
    /// Values seen.
    pub count: u64,
    /// Median.
    pub p50: u64,
    /// 95 in 100 values are at most this.
    pub p95: u64,
    /// 99 in 100 values are at most this.
    pub p99: u64,
    /// 999 in 1,000 values are at most this.
    pub p999: u64,
    /// Largest value.
    pub max: u64,
}

/// Sums since the start of the process, in the unit of their series.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(default)]
pub struct Totals {
    /// Values seen.
    pub count: u64,
    /// Their sum.
    pub sum: u64,
    /// Largest value.
    pub max: u64,
}

impl Totals {
    #[inline]
    pub(crate) fn add(&mut self, value: u64) {
        self.count += 1;
        self.sum = self.sum.saturating_add(value);
        self.max = self.max.max(value);
    }

    pub(crate) fn merge(&mut self, other: Totals) {
        self.count += other.count;
        self.sum = self.sum.saturating_add(other.sum);
        self.max = self.max.max(other.max);
    }
}

/// One series of one scope and class.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HistogramRow {
    /// What is measured.
    pub series: Series,
    /// Whose values these are.
    #[serde(rename = "tenant")]
    pub customer: Scope,
    /// Class of the requests.
    pub class: Class,
    /// The last minutes.
    pub window: Quantiles,
    /// Since the start of the process.
    pub total: Totals,
}

/// One counter of one scope and class.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CounterRow {
    /// What is counted.
    pub counter: Counter,
    /// Whose count this is.
    #[serde(rename = "tenant")]
    pub customer: Scope,
    /// Class of the requests.
    pub class: Class,
    /// Count since the start of the process.
    pub total: u64,
}

/// One gauge.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct GaugeRow {
    /// What is shown.
    pub gauge: Gauge,
    /// Last value set.
    pub value: u64,
}

/// Everything that [`Metrics`](crate::Metrics) knows, for `/status`.
///
/// Rows without values are left out.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct MetricsSnapshot {
    /// Length of one window; a row shows one to two of them.
    pub window_ms: u64,
    /// Histograms, by scope, class and series.
    pub histograms: Vec<HistogramRow>,
    /// Counters, by scope, class and counter.
    pub counters: Vec<CounterRow>,
    /// Gauges that were set.
    pub gauges: Vec<GaugeRow>,
}

impl MetricsSnapshot {
    /// Finds a histogram.
    pub fn histogram(
        &self,
        series: Series,
        customer: &Scope,
        class: Class,
    ) -> Option<&HistogramRow> {
        self.histograms.iter().find(|row| {
            row.series == series
                && row.customer == *customer
                && row.class == class
        })
    }

    /// Returns a counter, 0 if it has no row.
    pub fn counter(
        &self,
        counter: Counter,
        customer: &Scope,
        class: Class,
    ) -> u64 {
        self.counters
            .iter()
            .find(|row| {
                row.counter == counter
                    && row.customer == *customer
                    && row.class == class
            })
            .map_or(0, |row| row.total)
    }
}
