use std::{fmt, net::SocketAddr, path::PathBuf};

use base::{EndpointName, FailureDomain, Model, VmId};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{HttpAddress, address};

const MIB: u64 = 1 << 20;
const GIB: u64 = 1 << 30;

/// Where the key-value service is.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyValueSettings {
    /// Servers of the service, tried in turn.
    pub addresses: Vec<HttpAddress>,
    /// Longest wait for one answer, in milliseconds.
    #[serde(default = "KeyValueSettings::default_timeout_ms")]
    pub timeout_ms: u64,
    /// Start of all keys of this system.
    #[serde(default = "KeyValueSettings::default_prefix")]
    pub prefix: String,
}

impl KeyValueSettings {
    const fn default_timeout_ms() -> u64 {
        2_000
    }

    fn default_prefix() -> String {
        "/pomeloslip/".to_owned()
    }

    /// Makes settings for servers at these addresses with defaults else.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_conf::settings::KeyValueSettings;
    ///
    /// let address = "http://127.0.0.1:18001".parse()?;
    /// let settings = KeyValueSettings::new(vec![address]);
    /// assert_eq!(settings.timeout_ms, 2_000);
    /// # Ok::<(), pomeloslip_conf::AddressError>(())
    /// ```
    pub fn new(addresses: Vec<HttpAddress>) -> Self {
        Self {
            addresses,
            timeout_ms: Self::default_timeout_ms(),
            prefix: Self::default_prefix(),
        }
    }
}

/// Where the platform's list of machines is.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmListSettings {
    /// Server of the list.
    pub address: HttpAddress,
    /// Time between two reads, in milliseconds.
    #[serde(default = "VmListSettings::default_poll_ms")]
    pub poll_ms: u64,
}

impl VmListSettings {
    const fn default_poll_ms() -> u64 {
        5_000
    }
}

/// A process that keeps bulk data.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataVm {
    /// Its machine.
    pub vm: VmId,
    /// Its peer address.
    #[serde(deserialize_with = "address::socket")]
    pub address: SocketAddr,
    /// Group of machines that can be lost together with it.
    pub failure_domain: FailureDomain,
}

/// An endpoint that an entry knows without a machine list.
///
/// Exactly one of `peer` and `http` is set.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StaticEndpoint {
    /// Its name, unique in the list.
    pub endpoint: EndpointName,
    /// Pool of the rules that it belongs to.
    pub pool: String,
    /// Group of machines that can be lost together with it.
    pub failure_domain: FailureDomain,
    /// Peer address of its companion.
    #[serde(default, deserialize_with = "address::optional_socket")]
    pub peer: Option<SocketAddr>,
    /// Its own address, if it has no companion.
    #[serde(default)]
    pub http: Option<HttpAddress>,
}

/// What an endpoint is.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// The endpoint beside a companion.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSettings {
    /// Its name, unique in the fleet.
    pub name: EndpointName,
    /// Pool of the rules that it belongs to.
    pub pool: String,
    /// What it is.
    pub kind: EndpointKind,
    /// Its own address.
    pub address: HttpAddress,
    /// Models that it serves; an engine that is asked adds to these.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Requests that may run at once.
    #[serde(default = "EndpointSettings::default_max_running")]
    pub max_running: u32,
    /// Batch items among them that may run at once.
    #[serde(default = "EndpointSettings::default_batch_max_running")]
    pub batch_max_running: u32,
    /// Whether it refuses orders with an old fencing number by itself.
    #[serde(default)]
    pub checks_fence: bool,
    /// First token that online requests are promised, in milliseconds.
    #[serde(default = "EndpointSettings::default_first_token_target_ms")]
    pub first_token_target_ms: u64,
    /// Gap between tokens that online requests are promised, in
    /// milliseconds.
    #[serde(default = "EndpointSettings::default_between_tokens_target_ms")]
    pub between_tokens_target_ms: u64,
}

impl EndpointSettings {
    const fn default_max_running() -> u32 {
        32
    }

    const fn default_batch_max_running() -> u32 {
        24
    }

    const fn default_first_token_target_ms() -> u64 {
        1_400
    }

    const fn default_between_tokens_target_ms() -> u64 {
        30
    }

    /// Makes settings for an endpoint with defaults else.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_conf::settings::{EndpointKind, EndpointSettings};
    ///
    /// let name = "korv-lm-1".parse().expect("a valid name");
    /// let address = "http://127.0.0.1:18301".parse()?;
    /// let kind = EndpointKind::Engine;
    /// let endpoint = EndpointSettings::new(name, "korv-lm", kind, address);
    /// assert!(endpoint.batch_max_running < endpoint.max_running);
    /// # Ok::<(), pomeloslip_conf::AddressError>(())
    /// ```
    pub fn new(
        name: EndpointName,
        pool: &str,
        kind: EndpointKind,
        address: HttpAddress,
    ) -> Self {
        Self {
            name,
            pool: pool.to_owned(),
            kind,
            address,
            models: Vec::new(),
            max_running: Self::default_max_running(),
            batch_max_running: Self::default_batch_max_running(),
            checks_fence: false,
            first_token_target_ms: Self::default_first_token_target_ms(),
            between_tokens_target_ms: Self::default_between_tokens_target_ms(),
        }
    }
}

/// Where and how long bulk data is kept.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataSettings {
    /// The one folder that the process writes to.
    pub folder: PathBuf,
    /// Most bytes in it.
    #[serde(default = "DataSettings::default_quota_bytes")]
    pub quota_bytes: u64,
    /// Days that a file is kept after its last use.
    #[serde(default = "DataSettings::default_retention_days")]
    pub retention_days: u32,
}

impl DataSettings {
    const fn default_quota_bytes() -> u64 {
        16 * GIB
    }

    const fn default_retention_days() -> u32 {
        30
    }

    /// Makes settings for a folder with defaults else.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_conf::settings::DataSettings;
    ///
    /// let data = DataSettings::new("data");
    /// assert_eq!(data.retention_days, 30);
    /// ```
    pub fn new(folder: impl Into<PathBuf>) -> Self {
        Self {
            folder: folder.into(),
            quota_bytes: Self::default_quota_bytes(),
            retention_days: Self::default_retention_days(),
        }
    }
}

/// Limits of what callers may send.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Largest body of a call other than a file, in bytes.
    pub body_max_bytes: u64,
    /// Largest uploaded file, in bytes.
    pub file_max_bytes: u64,
    /// Longest single header, name and value, in bytes.
    pub header_max_bytes: u64,
    /// Most headers of a call.
    pub headers_max: u32,
    /// Most items of a batch job.
    pub items_max: u32,
    /// Largest item of a batch job, in bytes.
    pub item_max_bytes: u64,
    /// Most unfinished batch jobs of one customer.
    pub open_jobs_max: u32,
    /// Most calls that this process serves at once.
    pub streams_max: u32,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_max_bytes: 8 * MIB,
            file_max_bytes: 512 * MIB,
            header_max_bytes: 8 << 10,
            headers_max: 64,
            items_max: 100_000,
            item_max_bytes: MIB,
            open_jobs_max: 200,
            streams_max: 4_096,
        }
    }
}

/// Batch partitions, commits and grants.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BatchSettings {
    /// Partitions that jobs hash to; the same at all entries, and fixed
    /// while jobs are open.
    pub partitions: u32,
    /// Life of a partition's lease after its last renewal, in seconds.
    pub lease_ttl_s: u32,
    /// Shortest time between two commits of a partition, in milliseconds.
    pub commit_interval_ms: u64,
    /// Most items of one commit.
    pub commit_items_max: u32,
    /// Most items that a companion is granted at once.
    pub grant_items_max: u32,
    /// Life of a grant after its last sign of progress, in milliseconds.
    pub grant_ttl_ms: u64,
    /// Attempts after which an item is given up.
    pub attempts_max: u32,
}

impl Default for BatchSettings {
    fn default() -> Self {
        Self {
            partitions: 32,
            lease_ttl_s: 10,
            commit_interval_ms: 250,
            commit_items_max: 2_000,
            grant_items_max: 8,
            grant_ttl_ms: 10_000,
            attempts_max: 5,
        }
    }
}

/// Longest waits.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimeoutSettings {
    /// For a connection, in milliseconds.
    pub connect_ms: u64,
    /// For the first byte of an answer, in milliseconds.
    pub first_byte_ms: u64,
    /// Between two bytes of an answer, in milliseconds.
    pub between_bytes_ms: u64,
    /// For running requests at a planned stop, in milliseconds.
    pub drain_ms: u64,
}

impl Default for TimeoutSettings {
    fn default() -> Self {
        Self {
            connect_ms: 1_000,
            first_byte_ms: 30_000,
            between_bytes_ms: 10_000,
            drain_ms: 120_000,
        }
    }
}

/// Least severity of the lines that are written.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    PartialEq,
    Ord,
    PartialOrd,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Nothing.
    Off,
    /// What needs a person.
    Error,
    /// What may need a person if it goes on.
    Warn,
    /// Starts, stops and changes of state.
    #[default]
    Info,
    /// Each request.
    Debug,
    /// Each message.
    Trace,
}

impl LogLevel {
    /// Returns the name that the `log` crate uses.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_conf::settings::LogLevel;
    ///
    /// assert_eq!(LogLevel::default().as_str(), "info");
    /// ```
    #[inline]
    pub fn as_str(self) -> &'static str {
        match self {
            LogLevel::Off => "off",
            LogLevel::Error => "error",
            LogLevel::Warn => "warn",
            LogLevel::Info => "info",
            LogLevel::Debug => "debug",
            LogLevel::Trace => "trace",
        }
    }
}

/// Logs: JSON lines to standard error.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Least severity that is written.
    pub level: LogLevel,
    /// Other levels for single modules, by module path.
    pub modules: IndexMap<String, LogLevel>,
}

/// Metrics.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MetricsSettings {
    /// Receiver of statsd datagrams; none are sent without it.
    #[serde(deserialize_with = "address::optional_socket")]
    pub statsd: Option<SocketAddr>,
    /// Start of all metric names.
    pub prefix: String,
}

impl Default for MetricsSettings {
    fn default() -> Self {
        Self {
            statsd: None,
            prefix: "pomeloslip".to_owned(),
        }
    }
}

/// A secret that the system's own processes show each other.
///
/// Its `Debug` form hides the text, so that settings can be logged.
#[derive(Clone, Eq, PartialEq, Deserialize)]
#[serde(transparent)]
pub struct PeerSecret(String);

impl PeerSecret {
    /// Wraps a secret.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the secret itself.
    #[inline]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for PeerSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerSecret(..)")
    }
}
