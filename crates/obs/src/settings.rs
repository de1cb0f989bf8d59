use std::{fmt, net::SocketAddr};

use indexmap::IndexMap;
use log::LevelFilter;
use serde::{Deserialize, Serialize};

/// Names the least severe level that is written.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Writes nothing.
    Off,
    /// Writes what needs somebody to act.
    Error,
    /// Writes what may need somebody to act.
    Warn,
    /// Writes changes of state; the default.
    #[default]
    Info,
    /// Writes each request.
    Debug,
    /// Writes each step.
    Trace,
}

impl LogLevel {
    /// Returns the filter of the `log` crate.
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
    /// Least severe level written.
    pub level: LogLevel,
    /// Levels of single targets (module paths), over `level`. The default
    /// keeps the HTTP libraries quiet; a list in the settings replaces it.
    pub targets: IndexMap<String, LogLevel>,
    /// Bytes of lines that may wait for stderr; lines over it are dropped
    /// and counted.
    pub queue_bytes: usize,
    /// Longest wait for stderr when the process ends.
    pub flush_timeout_ms: u64,
    /// Fields put on each line, for example `vm` and `role`.
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

/// Keeps the HTTP libraries from writing several lines for each request.
fn quiet_targets() -> IndexMap<String, LogLevel> {
    // The server library warns of each ordinary launch and of each caller
    // that leaves early.
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
    /// Address of the statsd server; nothing is sent without it.
    pub statsd_addr: Option<SocketAddr>,
    /// First part of each name that is sent.
    pub prefix: String,
    /// Tags put on each metric that is sent, for example `vm`.
    pub tags: IndexMap<String, String>,
    /// Time between two reports to the statsd server.
    pub publish_interval_ms: u64,
    /// Length of one of the two windows that a snapshot shows.
    pub window_ms: u64,
    /// Customers with rows of their own; all further ones share one.
    #[serde(rename = "tenants_max")]
    pub customers_max: usize,
    /// Metrics that may wait to be sent; more are dropped.
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
