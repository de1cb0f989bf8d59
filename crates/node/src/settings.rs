use std::{net::SocketAddr, path::PathBuf};

use fleet::EndpointSpeed;
use limits::Tolerance;
use tokio::sync::watch;

use crate::{CallerLimits, ConfigBounds};

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the machine.
    pub node: String,
    /// Failure domain of the machine.
    pub failure_domain: String,
    /// Listen address for callers; none for roles that serve no callers.
    pub front: Option<SocketAddr>,
    /// Listen address for readiness checks of the load balancer.
    pub ready: Option<SocketAddr>,
    /// Listen address for metrics.
    pub metrics: Option<SocketAddr>,
    /// Address of this node for other nodes: load datagrams, and calls to be
    /// relayed to the key-value service.
    pub peer: SocketAddr,
    /// Address of the key-value service.
    pub kv: SocketAddr,
    /// Maximum size of a value in the key-value service, in bytes.
    pub value_bytes: usize,
    /// Time between the shutdown signal and the kill of the process.
    pub grace_ms: u64,
    /// Time after submission for which the results of a job are readable.
    pub results_retention_ms: u64,
    /// Time in which an endpoint that shuts down must stop getting new work.
    pub drain_ms: u64,
    /// Time in which a configuration must be in force.
    pub config_ms: u64,
    /// Time for which keys are served without a confirmation of the
    /// configuration; unbounded if none.
    pub revoke_ms: Option<u64>,
    /// Address for the datagrams by which requests are counted against limits.
    pub limits: SocketAddr,
    /// Address for the datagrams about the origins of streams.
    pub origins: SocketAddr,
    /// Permitted deviation from the limits of customers.
    pub tolerance: Tolerance,
    /// Minimum lease of the key-value service.
    pub min_lease_ms: u64,
    /// Data folder on the machine's disk, if it has one.
    pub data_dir: Option<PathBuf>,
    /// Maximum total size of the jobs spooled there.
    pub spool_bytes: u64,
    /// Number of disks whose simultaneous loss must be tolerated.
    pub disk_losses: u32,
    /// Maximum number of open connections of callers. Beyond it descriptors
    /// would be missing for connections to endpoints, and requests that were
    /// read could not be served.
    pub max_connections: usize,
    /// When the speed of endpoints affects the placement of requests.
    pub endpoint_speed: EndpointSpeed,
    /// Whether customers are limited to their shares of a service while it has
    /// no free slot.
    pub fair_shares: bool,
    /// File with the weights and pauses of customers, if there is one.
    pub customers_file: Option<PathBuf>,
    /// What callers may make the node hold.
    pub caller_limits: CallerLimits,
}

/// Maximum time in which changes must reach every node, in milliseconds, even
/// if the settings allow more. Longer delays have no benefit, since requests
/// between nodes are cheap.
const MAX_PROPAGATION_MS: u64 = 2_000;

/// Lower bound of that time if the settings ask for less, in milliseconds:
/// nodes under load respond to each other within a few hundred milliseconds,
/// and a node that is wrongly considered lost causes extra calls.
const MIN_PROPAGATION_MS: u64 = 1_000;

/// Part of the time in which a draining endpoint must stop getting work for
/// which it may resume streams, in percent.
const DRAIN_USE_PERCENT: u64 = 70;

/// Time for which a request in progress may be checked against a configuration
/// that was confirmed just before, in milliseconds.
const CLOCK_MARGIN_MS: u64 = 100;

impl NodeSettings {
    /// Returns how long a watch of the key-value service may wait for a
    /// change. The response at its end confirms the node's state, so it must
    /// arrive well within the time in which changes must reach all nodes.
    pub fn watch_wait_ms(&self) -> u64 {
        self.propagation_ms() / 2
    }

    /// Returns the maximum ages of the configuration's confirmation.
    pub fn config_bounds(&self) -> ConfigBounds {
        ConfigBounds {
            fresh_ms: self.config_ms.saturating_sub(CLOCK_MARGIN_MS),
            revoke_ms: self.revoke_ms,
        }
    }

    /// Returns for how long after it was last known to be ready a draining
    /// endpoint may still be sent streams that no other endpoint can resume.
    /// The remainder of the bound is for requests on their way.
    pub(crate) fn drain_use_ms(&self) -> u64 {
        self.drain_ms * DRAIN_USE_PERCENT / 100
    }

    /// Returns the time in which changes must reach this node.
    pub(crate) fn propagation_ms(&self) -> u64 {
        let bound_ms = self.drain_ms.min(self.config_ms);
        bound_ms.clamp(MIN_PROPAGATION_MS, MAX_PROPAGATION_MS)
    }
}

/// Signals of the operating system to a node.
#[derive(Clone, Debug)]
pub struct Signals {
    /// Becomes true when the node must stop.
    pub stop: watch::Receiver<bool>,
}
