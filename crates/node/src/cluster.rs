use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use access::ConfigFreshness;
use base::{Clock, Millis, Snapshot};
use fleet::Config;
use pass::DirectoryView;
use tokio::time;

/// A node's view of the configuration and the endpoints, and its age.
///
/// Readers load snapshots without a lock; the watchers are the only writers.
#[derive(Clone)]
pub struct ClusterState {
    /// The operators' configuration; none before the first one is read.
    pub config: Arc<Snapshot<Option<Arc<Config>>>>,
    /// The known endpoints.
    pub endpoints: Arc<Snapshot<DirectoryView>>,
    clock: Arc<dyn Clock>,
    confirmed_at_ms: Arc<AtomicU64>,
    knows_quarantined: Arc<AtomicBool>,
    bounds: ConfigBounds,
}

/// Maximum ages of the last confirmation of the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConfigBounds {
    /// Age in milliseconds up to which an unknown route or key is rejected as
    /// nonexistent: the time in which a configuration must be in force.
    pub fresh_ms: u64,
    /// Age in milliseconds up to which keys are served; unbounded if none.
    pub revoke_ms: Option<u64>,
}

/// Age of a process up to which requests wait until it is ready, in
/// milliseconds. Later requests are refused immediately if the key-value
/// service is unavailable.
const STARTUP_PERIOD_MS: u64 = 1_000;

/// Maximum wait of such a request, in milliseconds. A longer wait would make
/// requests miss their latency target.
const MAX_STARTUP_WAIT_MS: u64 = 200;

/// Interval between two checks whether the process is ready.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Default for the time in which a configuration must be in force.
const DEFAULT_FRESH_MS: u64 = 4_000;

impl Default for ConfigBounds {
    fn default() -> Self {
        Self {
            fresh_ms: DEFAULT_FRESH_MS,
            revoke_ms: None,
        }
    }
}

impl ClusterState {
    /// Creates an empty state.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            config: Arc::new(Snapshot::new(None)),
            endpoints: Arc::new(Snapshot::new(DirectoryView::default())),
            clock,
            confirmed_at_ms: Arc::default(),
            knows_quarantined: Arc::default(),
            bounds: ConfigBounds::default(),
        }
    }

    /// Sets the maximum ages of the configuration's confirmation.
    #[must_use]
    pub fn with_bounds(mut self, bounds: ConfigBounds) -> Self {
        self.bounds = bounds;
        self
    }

    /// Returns the clock.
    pub fn clock(&self) -> &Arc<dyn Clock> {
        &self.clock
    }

    /// Applies a configuration unless it is older than the one in force:
    /// a delayed response must not restore a replaced configuration.
    pub fn apply_config(&self, config: Config) {
        let current = self.config.load();
        let current_version = current.as_ref().as_ref().map(|c| c.version);
        if current_version.is_some_and(|version| version >= config.version) {
            return;
        }
        log::info!(
            from = current_version.unwrap_or(0),
            to = config.version,
            routes = config.routes.len(),
            customers:? = config.customers;
            "a configuration is in force"
        );
        self.config.publish(Some(Arc::new(config)));
    }

    /// Records that the configuration was the newest at the given time.
    pub fn confirm_config(&self, at: Millis) {
        let at_ms = at.as_ms().max(1);
        self.confirmed_at_ms.fetch_max(at_ms, Ordering::Relaxed);
    }

    /// Returns the time since the configuration was last confirmed.
    pub fn config_age_ms(&self) -> u64 {
        match self.confirmed_at_ms.load(Ordering::Relaxed) {
            0 => u64::MAX,
            at => self.clock.now().saturating_ms_since(Millis::new(at)),
        }
    }

    /// Reports whether an unknown route may be rejected as nonexistent.
    pub fn is_config_fresh(&self) -> bool {
        self.config_freshness() == ConfigFreshness::Fresh
    }

    /// Returns how fresh the configuration is.
    pub fn config_freshness(&self) -> ConfigFreshness {
        let age_ms = self.config_age_ms();
        let is_older_than = |max_ms| age_ms > max_ms;
        match self.bounds {
            bounds if bounds.revoke_ms.is_some_and(is_older_than) => {
                ConfigFreshness::Expired
            }
            bounds if is_older_than(bounds.fresh_ms) => ConfigFreshness::Stale,
            _ => ConfigFreshness::Fresh,
        }
    }

    /// Records that the quarantined requests have been read.
    pub(crate) fn mark_quarantine_loaded(&self) {
        self.knows_quarantined.store(true, Ordering::Relaxed);
    }

    /// Reports whether requests can be served.
    ///
    /// A node that has not read the quarantined requests would forward poison
    /// requests after each restart.
    pub fn is_ready(&self) -> bool {
        self.can_route() && self.knows_quarantined.load(Ordering::Relaxed)
    }

    /// Reports whether a configuration and at least one endpoint are known.
    fn can_route(&self) -> bool {
        self.config.load().is_some() && !self.endpoints.load().table.is_empty()
    }

    /// Waits briefly for the first configuration and endpoints, and for the
    /// quarantined requests, in a process that has just started.
    ///
    /// After a restart of all nodes they arrive some tenths of a second after
    /// the first requests. A caller that is refused in that time retries too
    /// late to meet its latency target.
    pub async fn wait_for_start(&self) {
        let started_at = self.clock.now();
        let deadline = started_at.saturating_add_ms(MAX_STARTUP_WAIT_MS);
        while !self.is_ready()
            && self.clock.now() < deadline
            && started_at < Millis::new(STARTUP_PERIOD_MS)
        {
            time::sleep(STARTUP_POLL_INTERVAL).await;
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/cluster.rs"]
mod tests;
