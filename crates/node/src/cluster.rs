use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use access::Confidence;
use base::{Clock, Millis, Snapshot};
use fleet::Config;
use pass::DirectoryView;

/// What a node believes of the world outside, and how old that is.
///
/// Readers take snapshots without a lock; the watchers are the only writers.
#[derive(Clone)]
pub struct ClusterState {
    /// The operators' configuration, once one has arrived.
    pub config: Arc<Snapshot<Option<Arc<Config>>>>,
    /// The endpoints.
    pub endpoints: Arc<Snapshot<DirectoryView>>,
    clock: Arc<dyn Clock>,
    config_at_ms: Arc<AtomicU64>,
    knows_held: Arc<AtomicBool>,
    bounds: ConfigBounds,
}

/// How old the confirmation of a configuration may be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConfigBounds {
    /// For saying that a route or a key does not exist, in milliseconds: the
    /// time in which a configuration must be in force.
    pub sure_ms: u64,
    /// For serving a key, in milliseconds; unbounded if none.
    pub revoke_ms: Option<u64>,
}

/// Time in which a configuration is in force where the settings do not say.
const DEFAULT_SURE_MS: u64 = 4_000;

impl Default for ConfigBounds {
    fn default() -> Self {
        Self {
            sure_ms: DEFAULT_SURE_MS,
            revoke_ms: None,
        }
    }
}

impl ClusterState {
    /// Starts without any knowledge.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            config: Arc::new(Snapshot::new(None)),
            endpoints: Arc::new(Snapshot::new(DirectoryView::default())),
            clock,
            config_at_ms: Arc::default(),
            knows_held: Arc::default(),
            bounds: ConfigBounds::default(),
        }
    }

    /// Sets how old the confirmation of the configuration may be.
    #[must_use]
    pub fn with_bounds(mut self, bounds: ConfigBounds) -> Self {
        self.bounds = bounds;
        self
    }

    /// Returns the clock.
    pub fn clock(&self) -> &Arc<dyn Clock> {
        &self.clock
    }

    /// Takes in a configuration unless it is older than the one in force:
    /// a delayed answer must not bring back what operators have replaced.
    pub fn take_config(&self, config: Config) {
        let current = self.config.load();
        let known = current.as_ref().as_ref().map(|c| c.version);
        if known.is_some_and(|known| known >= config.version) {
            return;
        }
        log::info!(
            from = known.unwrap_or(0),
            to = config.version,
            routes = config.routes.len(),
            customers:? = config.customers;
            "a configuration is in force"
        );
        self.config.publish(Some(Arc::new(config)));
    }

    /// Takes note that the configuration was the newest at a moment.
    pub fn confirm_config(&self, at: Millis) {
        let at_ms = at.as_ms().max(1);
        self.config_at_ms.fetch_max(at_ms, Ordering::Relaxed);
    }

    /// Returns how long ago the configuration was the newest.
    pub fn config_age_ms(&self) -> u64 {
        match self.config_at_ms.load(Ordering::Relaxed) {
            0 => u64::MAX,
            at => self.clock.now().saturating_ms_since(Millis::new(at)),
        }
    }

    /// Tells whether it may be said that a route does not exist.
    pub fn is_config_sure(&self) -> bool {
        self.confidence() == Confidence::Fresh
    }

    /// Returns what may be said of keys and routes by the configuration.
    pub fn confidence(&self) -> Confidence {
        let age_ms = self.config_age_ms();
        let is_over = |most_ms| age_ms > most_ms;
        match self.bounds {
            bounds if bounds.revoke_ms.is_some_and(is_over) => {
                Confidence::Expired
            }
            bounds if is_over(bounds.sure_ms) => Confidence::Stale,
            _ => Confidence::Fresh,
        }
    }

    /// Takes note that the requests are known that crash endpoints.
    pub(crate) fn note_held_requests(&self) {
        self.knows_held.store(true, Ordering::Relaxed);
    }

    /// Tells whether requests can be served.
    ///
    /// A node that does not know yet which requests crash endpoints would
    /// pass them on, at each start once more.
    pub fn is_ready(&self) -> bool {
        self.config.load().is_some()
            && !self.endpoints.load().table.is_empty()
            && self.knows_held.load(Ordering::Relaxed)
    }
}
