use std::fmt;

use base::{Class, Customer, IdError};
use serde::{Deserialize, Serialize};

use crate::{Counter, Gauge, Series};

const ALL: &str = "*";
pub(crate) const OTHER: &str = "other";

/// Customers whose values a row holds.
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
    /// The customers beyond the limit, written `other`.
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

/// Quantiles over the last one to two windows, in the unit of the series.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(default)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50: u64,
    /// 95th percentile.
    pub p95: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p999: u64,
    /// Maximum.
    pub max: u64,
}

/// Totals since the start of the process, in the unit of the series.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(default)]
pub struct Totals {
    /// Number of values.
    pub count: u64,
    /// Sum of the values.
    pub sum: u64,
    /// Maximum.
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

/// A histogram of one series, scope and class.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HistogramRow {
    /// Measured series.
    pub series: Series,
    /// Scope of the values.
    #[serde(rename = "tenant")]
    pub customer: Scope,
    /// Class of the requests.
    pub class: Class,
    /// Quantiles over the last one to two windows.
    pub window: Quantiles,
    /// Totals since the start of the process.
    pub total: Totals,
}

/// A counter of one scope and class.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CounterRow {
    /// Counted event.
    pub counter: Counter,
    /// Scope of the count.
    #[serde(rename = "tenant")]
    pub customer: Scope,
    /// Class of the requests.
    pub class: Class,
    /// Count since the start of the process.
    pub total: u64,
}

/// A gauge.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct GaugeRow {
    /// Name of the gauge.
    pub gauge: Gauge,
    /// Last value set.
    pub value: u64,
}

/// Contents of [`Metrics`](crate::Metrics), as shown by `/status`.
///
/// Rows without values are omitted.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct MetricsSnapshot {
    /// Length of one window; a row covers one to two windows.
    pub window_ms: u64,
    /// Histograms, by scope, class and series.
    pub histograms: Vec<HistogramRow>,
    /// Counters, by scope, class and counter.
    pub counters: Vec<CounterRow>,
    /// Gauges that have been set.
    pub gauges: Vec<GaugeRow>,
}

impl MetricsSnapshot {
    /// Returns a histogram, if it has a row.
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

    /// Returns the value of a counter, or 0 if it has no row.
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
