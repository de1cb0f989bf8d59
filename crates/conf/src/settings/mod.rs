//! Settings of the daemon: one YAML file per process.
//!
//! The types are plain data with public fields: a daemon reads them once at
//! startup, [`Settings::read`] validates them as a whole, and tests override
//! individual defaults. The name of every quantity includes its unit.
//! `docs/SETTINGS.md` lists all settings with the reasons for the defaults.

mod check;
mod parts;

use std::net::SocketAddr;

use base::{FailureDomain, KeyDigest, VmId};
use serde::{Deserialize, Serialize};

use crate::address;

pub use self::parts::{
    BatchSettings, DataSettings, DataVm, EndpointKind, EndpointSettings,
    KeyValueSettings, LimitSettings, LogLevel, LogSettings, MetricsSettings,
    PeerSecret, StaticEndpoint, TimeoutSettings, VmListSettings,
};

/// Role of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Serves client requests; with a `data` section, also stores bulk data.
    Entry,
    /// Runs next to one endpoint and controls admission to it.
    Companion,
    /// Stores bulk data.
    Data,
}

impl Role {
    /// Returns the name used in settings and logs.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_conf::settings::Role;
    ///
    /// assert_eq!(Role::Companion.as_str(), "companion");
    /// ```
    #[inline]
    pub fn as_str(self) -> &'static str {
        match self {
            Role::Entry => "entry",
            Role::Companion => "companion",
            Role::Data => "data",
        }
    }
}

/// All settings of one process.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Role of the process.
    pub role: Role,
    /// Machine that the process runs on.
    pub vm: VmId,
    /// Group of machines that can fail together with this one.
    pub failure_domain: FailureDomain,
    /// HTTP address: client API and status at an entry, status elsewhere.
    #[serde(deserialize_with = "address::socket")]
    pub listen: SocketAddr,
    /// Address for the other processes of the system.
    #[serde(deserialize_with = "address::socket")]
    pub peer_listen: SocketAddr,
    /// The platform's key-value service; required by an entry.
    #[serde(default)]
    pub key_value: Option<KeyValueSettings>,
    /// The platform's list of machines; an entry without this section uses
    /// `endpoints`.
    #[serde(default)]
    pub vm_list: Option<VmListSettings>,
    /// Peer addresses of the entries that a companion pulls work from, or of
    /// the other entries that an entry compares configurations with.
    #[serde(default, deserialize_with = "address::sockets")]
    pub entries: Vec<SocketAddr>,
    /// Processes that store bulk data.
    #[serde(default)]
    pub data_vms: Vec<DataVm>,
    /// Endpoints of an entry that has no machine list.
    #[serde(default)]
    pub endpoints: Vec<StaticEndpoint>,
    /// The endpoint that a companion runs next to.
    #[serde(default)]
    pub endpoint: Option<EndpointSettings>,
    /// Storage of bulk data; required by the role `data`.
    #[serde(default)]
    pub data: Option<DataSettings>,
    /// Limits of client requests.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Batch partitions, commits and grants.
    #[serde(default)]
    pub batch: BatchSettings,
    /// Timeouts.
    #[serde(default)]
    pub timeouts: TimeoutSettings,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
    /// Metrics.
    #[serde(default)]
    pub metrics: MetricsSettings,
    /// Digests of the keys that authenticate operators at an entry.
    #[serde(default)]
    pub admin_keys_sha256: Vec<KeyDigest>,
    /// Shared secrets of the system's processes. The first one is sent and all
    /// of them are accepted, so that secrets can be rotated one process at a
    /// time. Excluded from serialization.
    #[serde(default, skip_serializing)]
    pub peer_secrets: Vec<PeerSecret>,
}
