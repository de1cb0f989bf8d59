//! Settings of the daemon: one YAML file for each process.
//!
//! The types are plain data with public fields: a daemon reads them once at
//! its start, [`Settings::read`] has checked them as a whole, and tests fill
//! in what they need over the defaults. Every field that counts something
//! carries its unit in its name. `docs/SETTINGS.md` lists them with the
//! reasons for the defaults.

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

/// What a process does.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Takes calls; with a `data` section it also keeps bulk data.
    Entry,
    /// Runs beside one endpoint and admits work to it.
    Companion,
    /// Keeps bulk data.
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
    /// What the process does.
    pub role: Role,
    /// Machine that the process runs on.
    pub vm: VmId,
    /// Group of machines that can be lost together with this one.
    pub failure_domain: FailureDomain,
    /// Address of HTTP: callers and status at an entry, status elsewhere.
    #[serde(deserialize_with = "address::socket")]
    pub listen: SocketAddr,
    /// Address for the other processes of the system.
    #[serde(deserialize_with = "address::socket")]
    pub peer_listen: SocketAddr,
    /// The platform's key-value service; required by an entry.
    #[serde(default)]
    pub key_value: Option<KeyValueSettings>,
    /// The platform's list of machines; an entry without it uses
    /// `endpoints`.
    #[serde(default)]
    pub vm_list: Option<VmListSettings>,
    /// Peer addresses of entries that a companion pulls work from, and of
    /// the neighbours that an entry compares configurations with.
    #[serde(default, deserialize_with = "address::sockets")]
    pub entries: Vec<SocketAddr>,
    /// Processes that keep bulk data.
    #[serde(default)]
    pub data_vms: Vec<DataVm>,
    /// Endpoints of an entry that has no machine list.
    #[serde(default)]
    pub endpoints: Vec<StaticEndpoint>,
    /// The endpoint beside a companion.
    #[serde(default)]
    pub endpoint: Option<EndpointSettings>,
    /// Where bulk data is kept; required by the role `data`.
    #[serde(default)]
    pub data: Option<DataSettings>,
    /// Limits of what callers may send.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Batch partitions, commits and grants.
    #[serde(default)]
    pub batch: BatchSettings,
    /// Longest waits.
    #[serde(default)]
    pub timeouts: TimeoutSettings,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
    /// Metrics.
    #[serde(default)]
    pub metrics: MetricsSettings,
    /// Digests of the keys that operators call an entry with.
    #[serde(default)]
    pub admin_keys_sha256: Vec<KeyDigest>,
    /// Secrets of the system's own processes: the first is shown to others,
    /// all are accepted, so that they can be changed one process at a time.
    /// Left out of what is serialized.
    #[serde(default, skip_serializing)]
    pub peer_secrets: Vec<PeerSecret>,
}
