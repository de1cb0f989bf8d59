use std::{fmt, net::SocketAddr};

use indexmap::IndexMap;
use log::LevelFilter;
use serde::{Deserialize, Serialize};

/// Minimum severity of the records that are logged.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Logs nothing.
    Off,
    /// Logs problems that need an operator.
    Error,
    /// Logs problems that may need an operator.
    Warn,
    /// Logs state changes; the default.
    #[default]
    Info,
    /// Logs each request.
    Debug,
    /// Logs each step of a request.
    Trace,
}

impl LogLevel {
    /// Returns the corresponding filter of the `log` crate.
    #[inline]
    pub fn filter(self) -> LevelFilter {
        match self {
            LogLevel::Off => LevelFilter::Off,
            LogLevel::Error => LevelFilter::Error,
            LogLevel::Warn => LevelFilter::Warn,
            LogLevel::Info => LevelFilter::Info,
            LogLevel::Debug => LevelFilter::Debug,
            LogLevel::Trace => LevelFilter::Trace,
        }
    }
}

impl fmt::Display for LogLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.filter().as_str().to_lowercase().fmt(f)
    }
}

/// Settings of the logger.
///
/// # Example
///
/// ```
/// use pomeloslip_obs::{LogLevel, LogSettings};
///
/// let settings = LogSettings {
///     level: LogLevel::Debug,
///     ..LogSettings::default()
/// };
/// assert_eq!(settings.queue_bytes, 1024 * 1024);
/// ```
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Minimum severity.
    pub level: LogLevel,
    /// Levels of single targets (module paths), which override `level`. The
    /// default reduces the output of the HTTP libraries; a list in the
    /// settings replaces it.
    pub targets: IndexMap<String, LogLevel>,
    /// Maximum size of the queue to stderr, in bytes; lines beyond it are
    /// dropped and counted.
    pub queue_bytes: usize,
    /// Maximum time to flush to stderr when the process ends.
    pub flush_timeout_ms: u64,
    /// Fields added to each line, for example `vm` and `role`.
    pub fields: IndexMap<String, String>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LogLevel::default(),
            targets: quiet_targets(),
            queue_bytes: 1024 * 1024,
            flush_timeout_ms: 2_000,
            fields: IndexMap::new(),
        }
    }
}

/// Returns levels that keep the HTTP libraries from logging several lines per
/// request.
fn quiet_targets() -> IndexMap<String, LogLevel> {
    // The server library warns at each normal launch and whenever a caller
    // disconnects early.
    let server = ["rocket", "_"].map(|target| (target, LogLevel::Error));
    let client = ["hyper", "hyper_util", "reqwest"]
        .map(|target| (target, LogLevel::Warn));
    server
        .into_iter()
        .chain(client)
        .map(|(target, level)| (target.to_owned(), level))
        .collect()
}

/// Settings of [`Metrics`](crate::Metrics).
///
/// # Example
///
/// ```
/// use pomeloslip_obs::MetricsSettings;
///
/// let text = r#"{"statsd_addr": "127.0.0.1:8125", "window_ms": 60000}"#;
/// let settings: MetricsSettings = serde_json::from_str(text)?;
/// assert_eq!(settings.customers_max, 2_048);
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MetricsSettings {
    /// Address of the statsd server; without one nothing is sent.
    pub statsd_addr: Option<SocketAddr>,
    /// Prefix of each metric name.
    pub prefix: String,
    /// Tags added to each metric, for example `vm`.
    pub tags: IndexMap<String, String>,
    /// Interval between two reports to the statsd server.
    pub publish_interval_ms: u64,
    /// Length of each of the two windows in a snapshot.
    pub window_ms: u64,
    /// Maximum number of customers with rows of their own; all others share
    /// one.
    #[serde(rename = "tenants_max")]
    pub customers_max: usize,
    /// Maximum number of queued metrics; more are dropped.
    pub queue_metrics: usize,
}

impl Default for MetricsSettings {
    fn default() -> Self {
        Self {
            statsd_addr: None,
            prefix: "pomeloslip".to_owned(),
            tags: IndexMap::new(),
            publish_interval_ms: 10_000,
            window_ms: 120_000,
            customers_max: 2_048,
            queue_metrics: 32_768,
        }
    }
}
