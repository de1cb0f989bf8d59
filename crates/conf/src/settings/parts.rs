use std::{fmt, net::SocketAddr, path::PathBuf};

use base::{EndpointName, FailureDomain, Model, VmId};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{HttpAddress, address};

const MIB: u64 = 1 << 20;
const GIB: u64 = 1 << 30;

/// Connection to the key-value service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyValueSettings {
    /// Servers of the key-value service, tried in order.
    pub addresses: Vec<HttpAddress>,
    /// Timeout of a request, in milliseconds.
    #[serde(default = "KeyValueSettings::default_timeout_ms")]
    pub timeout_ms: u64,
    /// Prefix of all keys of this system.
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

    /// Creates settings for servers at these addresses, with defaults
    /// otherwise.
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

/// Connection to the platform's list of machines.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmListSettings {
    /// Address of the server.
    pub address: HttpAddress,
    /// Poll interval, in milliseconds.
    #[serde(default = "VmListSettings::default_poll_ms")]
    pub poll_ms: u64,
}

impl VmListSettings {
    const fn default_poll_ms() -> u64 {
        5_000
    }
}

/// A process that stores bulk data.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataVm {
    /// Machine that the process runs on.
    pub vm: VmId,
    /// Peer address of the process.
    #[serde(deserialize_with = "address::socket")]
    pub address: SocketAddr,
    /// Group of machines that can fail together.
    pub failure_domain: FailureDomain,
}

/// An endpoint of an entry that has no machine list.
///
/// Exactly one of `peer` and `http` is set.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StaticEndpoint {
    /// Endpoint name, unique in the list.
    pub endpoint: EndpointName,
    /// Pool that the endpoint belongs to, as named in the rules.
    pub pool: String,
    /// Group of machines that can fail together.
    pub failure_domain: FailureDomain,
    /// Peer address of the endpoint's companion.
    #[serde(default, deserialize_with = "address::optional_socket")]
    pub peer: Option<SocketAddr>,
    /// Address of the endpoint itself, if it has no companion.
    #[serde(default)]
    pub http: Option<HttpAddress>,
    /// Version of the endpoint's software, if it has no companion. A response
    /// is resumed only at the version that began it.
    #[serde(default)]
    pub version: Option<String>,
}

/// Kind of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// A model inference engine.
    Engine,
    /// A plain HTTP service.
    Service,
}

/// The endpoint that a companion runs next to.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSettings {
    /// Endpoint name, unique in the fleet.
    pub name: EndpointName,
    /// Pool that the endpoint belongs to, as named in the rules.
    pub pool: String,
    /// Kind of the endpoint.
    pub kind: EndpointKind,
    /// Address of the endpoint.
    pub address: HttpAddress,
    /// Models that the endpoint serves, in addition to those that an engine
    /// reports when queried.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Version of the endpoint's software. A response is resumed only at the
    /// version that began it; endpoints that declare none count as one version.
    #[serde(default)]
    pub version: Option<String>,
    /// Maximum number of concurrent requests.
    #[serde(default = "EndpointSettings::default_max_running")]
    pub max_running: u32,
    /// Maximum number of concurrent batch items among them.
    #[serde(default = "EndpointSettings::default_batch_max_running")]
    pub batch_max_running: u32,
    /// Whether the endpoint itself rejects orders with a stale fencing token.
    #[serde(default)]
    pub checks_fence: bool,
    /// Target time to first token of online requests, in milliseconds.
    #[serde(default = "EndpointSettings::default_first_token_target_ms")]
    pub first_token_target_ms: u64,
    /// Target time between tokens of online requests, in milliseconds.
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

    /// Creates settings for an endpoint, with defaults otherwise.
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
            version: None,
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

/// Storage of bulk data.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataSettings {
    /// The only folder that the process writes to.
    pub folder: PathBuf,
    /// Maximum size of the folder's content, in bytes.
    #[serde(default = "DataSettings::default_quota_bytes")]
    pub quota_bytes: u64,
    /// Retention period of a file after its last use, in days.
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

    /// Creates settings for a folder, with defaults otherwise.
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

/// Limits of client requests.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Maximum size of a request body other than a file, in bytes.
    pub body_max_bytes: u64,
    /// Maximum size of an uploaded file, in bytes.
    pub file_max_bytes: u64,
    /// Maximum size of a single header, name and value, in bytes.
    pub header_max_bytes: u64,
    /// Maximum number of headers of a request.
    pub headers_max: u32,
    /// Maximum number of items of a batch job.
    pub items_max: u32,
    /// Maximum size of an item of a batch job, in bytes.
    pub item_max_bytes: u64,
    /// Maximum number of unfinished batch jobs of a customer.
    pub open_jobs_max: u32,
    /// Maximum number of requests that this process serves concurrently.
    pub streams_max: u32,
    /// Memory of the VM for this process, in bytes. Callers may use a share.
    pub memory_bytes: u64,
    /// Time for the first bytes of a body, in milliseconds.
    pub body_timeout_ms: u64,
    /// Rate at which the bytes of a body extend that time, in bytes per
    /// second.
    pub body_min_bytes_per_s: u64,
    /// Time for which a caller that is refused may go on sending, in
    /// milliseconds.
    pub linger_ms: u64,
    /// Number of bytes that a caller that is refused may go on sending.
    pub linger_bytes: u64,
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
            memory_bytes: 512_000_000,
            body_timeout_ms: 30_000,
            body_min_bytes_per_s: 1_024,
            linger_ms: 2_000,
            linger_bytes: 64 * MIB,
        }
    }
}

/// Batch partitions, commits and grants.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BatchSettings {
    /// Number of partitions that jobs hash to. It has to be the same at all
    /// entries and must not change while jobs are unfinished.
    pub partitions: u32,
    /// Time to live of a partition's lease, in seconds.
    pub lease_ttl_s: u32,
    /// Minimum time between two commits of a partition, in milliseconds.
    pub commit_interval_ms: u64,
    /// Maximum number of items in a commit.
    pub commit_items_max: u32,
    /// Maximum number of items in a grant to a companion.
    pub grant_items_max: u32,
    /// Time to live of a grant after its last reported progress, in
    /// milliseconds.
    pub grant_ttl_ms: u64,
    /// Number of attempts after which an item is given up.
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

/// Timeouts.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimeoutSettings {
    /// Timeout for establishing a connection, in milliseconds.
    pub connect_ms: u64,
    /// Timeout for the first byte of a response, in milliseconds; not for
    /// lost connections, which are found by probes.
    pub first_byte_ms: u64,
    /// Timeout between two bytes of a response, in milliseconds.
    pub between_bytes_ms: u64,
    /// Time for running requests to finish at a planned stop, in milliseconds.
    pub drain_ms: u64,
}

impl Default for TimeoutSettings {
    fn default() -> Self {
        Self {
            connect_ms: 1_000,
            first_byte_ms: 120_000,
            between_bytes_ms: 30_000,
            drain_ms: 120_000,
        }
    }
}

/// Minimum severity of log lines that are written.
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
    /// Logging is disabled.
    Off,
    /// Conditions that need an operator.
    Error,
    /// Conditions that may need an operator if they persist.
    Warn,
    /// Startup, shutdown and state changes.
    #[default]
    Info,
    /// Every request.
    Debug,
    /// Every message.
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

/// Logging: JSON lines on standard error.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Minimum severity that is written.
    pub level: LogLevel,
    /// Levels that override `level` for individual modules, by module path.
    pub modules: IndexMap<String, LogLevel>,
}

/// Metrics.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MetricsSettings {
    /// Receiver of statsd datagrams; without it, none are sent.
    #[serde(deserialize_with = "address::optional_socket")]
    pub statsd: Option<SocketAddr>,
    /// Prefix of all metric names.
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

/// A shared secret that authenticates the system's processes to each other.
///
/// The `Debug` implementation hides the text, so that settings can be logged.
#[derive(Clone, Eq, PartialEq, Deserialize)]
#[serde(transparent)]
pub struct PeerSecret(String);

impl PeerSecret {
    /// Wraps a secret.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the text of the secret.
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
