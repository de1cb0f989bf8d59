//! JSON line logs, statsd metrics and histograms per customer and class.
//!
//! [`logs`] writes one JSON object per line to stderr from a dedicated thread.
//! [`Metrics`] aggregates counters and histograms in memory. It publishes them
//! to a statsd server at an interval and returns them as a
//! [`MetricsSnapshot`].
//!
//! ```
//! use base::{Class, Customer};
//! use pomeloslip_obs::{Metrics, Scope, Series};
//!
//! let metrics = Metrics::default();
//! let customer: Customer = "taevakorv".parse()?;
//! metrics.record(Series::FirstTokenMs, &customer, Class::Online, 180);
//! let table = metrics.snapshot();
//! let row = table
//!     .histogram(Series::FirstTokenMs, &Scope::All, Class::Online)
//!     .expect("one value is recorded");
//! assert_eq!(row.window.count, 1);
//! # Ok::<(), base::IdError>(())
//! ```

mod cell;
mod error;
pub mod logs;
mod metrics;
mod names;
mod publish;
mod rows;
mod settings;
mod table;

pub use crate::{
    error::ObsError,
    metrics::{CustomerMetrics, Metrics},
    names::{Counter, Gauge, Series},
    settings::{LogLevel, LogSettings, MetricsSettings},
    table::{
        CounterRow, GaugeRow, HistogramRow, MetricsSnapshot, Quantiles, Scope,
        Totals,
    },
};
