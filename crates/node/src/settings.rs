use std::{net::SocketAddr, path::PathBuf};

use limits::Tolerance;
use tokio::sync::watch;

use crate::ConfigBounds;

/// What a node must know at its start.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the machine.
    pub node: String,
    /// Failure domain that it stands in.
    pub failure_domain: String,
    /// Where callers connect; roles without callers have none.
    pub front: Option<SocketAddr>,
    /// Where the balancer asks for readiness.
    pub ready: Option<SocketAddr>,
    /// Where metrics are read.
    pub metrics: Option<SocketAddr>,
    /// Where other nodes reach this one: datagrams of load, and calls to be
    /// passed on to the key-value service.
    pub peer: SocketAddr,
    /// The key-value service.
    pub kv: SocketAddr,
    /// Bytes of a value in the key-value service.
    pub value_bytes: usize,
    /// Time between the signal to stop and the end by force.
    pub grace_ms: u64,
    /// How long the results of a job are readable after its submission.
    pub results_kept_ms: u64,
    /// How soon an endpoint that leaves must get no new work.
    pub drain_ms: u64,
    /// How soon a configuration must be in force.
    pub config_ms: u64,
    /// How long keys are served without a confirmation of the configuration;
    /// unbounded if none.
    pub revoke_ms: Option<u64>,
    /// Where fronts have requests counted against limits, in datagrams.
    pub limits: SocketAddr,
    /// How exactly limits of customers are to be held.
    pub allowance: Tolerance,
    /// Shortest lease of the key-value service.
    pub lease_least_ms: u64,
    /// Folder on the machine's disk, where it has one.
    pub data_dir: Option<PathBuf>,
    /// Bytes of jobs that may wait there for the key-value service.
    pub spool_bytes: u64,
    /// Machines with disks that may be lost at the same time.
    pub disk_losses: u32,
}

/// Time in which news must reach every node if the settings allow more, in
/// milliseconds. Later news serve nobody, and questions between nodes cost
/// little.
const NEWS_MOST_MS: u64 = 2_000;

/// The same if they ask for less, in milliseconds: nodes under load answer
/// each other within a few hundred, and one that is taken for lost too soon
/// only costs calls.
const NEWS_LEAST_MS: u64 = 1_000;

/// Time in which a request that is on its way may be judged by what has been
/// confirmed just now, in milliseconds.
const CLOCK_MARGIN_MS: u64 = 100;

impl NodeSettings {
    /// Returns how long a watch of the key-value service may wait for a
    /// change: the answer at its end confirms what the node knows, and so
    /// must come well within the time in which news must reach all nodes.
    pub fn watch_wait_ms(&self) -> u64 {
        self.news_ms() / 2
    }

    /// Returns how old the confirmation of a configuration may be.
    pub fn config_bounds(&self) -> ConfigBounds {
        ConfigBounds {
            sure_ms: self.config_ms.saturating_sub(CLOCK_MARGIN_MS),
            revoke_ms: self.revoke_ms,
        }
    }

    /// Returns the time in which news must reach this node.
    pub(crate) fn news_ms(&self) -> u64 {
        let bound_ms = self.drain_ms.min(self.config_ms);
        bound_ms.clamp(NEWS_LEAST_MS, NEWS_MOST_MS)
    }
}

/// What the operating system tells a node.
#[derive(Clone, Debug)]
pub struct Signals {
    /// Turns true when the node is to stop.
    pub stop: watch::Receiver<bool>,
}
