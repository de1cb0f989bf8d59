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

/// Age of a process up to which callers wait for what it does not know yet, in
/// milliseconds. Where the key-value service is away, later ones are refused
/// at once.
const STARTING_MS: u64 = 1_000;

/// How long they wait, in milliseconds: about as long as leaves them in time.
const START_WAIT_MS: u64 = 200;

/// Pause between two looks at what is known.
const START_LOOK: Duration = Duration::from_millis(10);

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
        self.confidence() == ConfigFreshness::Fresh
    }

    /// Returns what may be said of keys and routes by the configuration.
    pub fn confidence(&self) -> ConfigFreshness {
        let age_ms = self.config_age_ms();
        let is_over = |most_ms| age_ms > most_ms;
        match self.bounds {
            bounds if bounds.revoke_ms.is_some_and(is_over) => {
                ConfigFreshness::Expired
            }
            bounds if is_over(bounds.sure_ms) => ConfigFreshness::Stale,
            _ => ConfigFreshness::Fresh,
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
        self.can_route() && self.knows_held.load(Ordering::Relaxed)
    }

    /// Tells whether any route and any endpoint is known.
    fn can_route(&self) -> bool {
        self.config.load().is_some() && !self.endpoints.load().table.is_empty()
    }

    /// Waits a moment for the first configuration and endpoints, in a process
    /// that has just started.
    ///
    /// They arrive some tenths of a second after the first callers where all
    /// nodes were killed. Who is refused meanwhile comes back too late.
    pub async fn wait_for_start(&self) {
        let began = self.clock.now();
        let until = began.saturating_add_ms(START_WAIT_MS);
        while !self.can_route()
            && self.clock.now() < until
            && began < Millis::new(STARTING_MS)
        {
            time::sleep(START_LOOK).await;
        }
    }
}
