use std::sync::Arc;

use access::Customers;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// What may be repeated of a request.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// May run any number of times.
    Idempotent,
    /// May run once at most; the safe assumption.
    #[default]
    AtMostOnce,
    /// Answers with a stream of events; runs once at most.
    Stream,
    /// Answers with a stream of events, which another endpoint can take up
    /// after the last event that arrived.
    ResumableStream,
    /// Takes jobs of many items that run later.
    Batch,
}

impl RouteKind {
    /// Tells whether a request that may have run may be sent once more.
    #[inline]
    pub fn is_repeatable(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::ResumableStream)
    }

    /// Tells whether the answer is a stream of events.
    #[inline]
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }
}

/// One service that a route leads to, with its share of the requests.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Destination {
    /// Name of the service.
    pub service: String,
    /// Share, relative to the route's other destinations.
    pub weight: u32,
}

/// Times of the jobs of a batch route, counted from their submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchDeadlines {
    /// When all results are due, in milliseconds.
    pub due_in_ms: u64,
    /// When an item without a result may be given up, in milliseconds.
    pub give_up_in_ms: u64,
}

/// One rule: requests of a host below a path prefix go to services.
///
/// Built with [`Route::new`] and the `with_` methods, which state what
/// differs from the defaults.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    name: String,
    host: String,
    prefix: String,
    destinations: Vec<Destination>,
    kind: RouteKind,
    timeout_ms: u64,
    target_latency_ms: u64,
    max_attempts: u32,
    priority: u32,
    gap_target_ms: u64,
    batch: BatchDeadlines,
    #[serde(default)]
    public: bool,
}

/// Time after which a request without a route's own bound is ended.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;

/// Latency objective of a route that states none.
const DEFAULT_TARGET_LATENCY_MS: u64 = 1_000;

/// Jobs of a route that states no terms are due within a day, as in the
/// project's own batch interface.
const DEFAULT_BATCH_MS: u64 = 86_400_000;

impl Route {
    /// Makes a route to one service for requests that run once at most.
    pub fn new(name: &str, host: &str, prefix: &str, service: &str) -> Self {
        Self {
            name: name.to_owned(),
            host: host.to_ascii_lowercase(),
            prefix: prefix.to_owned(),
            destinations: vec![Destination {
                service: service.to_owned(),
                weight: 1,
            }],
            kind: RouteKind::default(),
            timeout_ms: DEFAULT_TIMEOUT_MS,
            target_latency_ms: DEFAULT_TARGET_LATENCY_MS,
            max_attempts: 1,
            priority: 0,
            gap_target_ms: 0,
            batch: BatchDeadlines {
                due_in_ms: DEFAULT_BATCH_MS,
                give_up_in_ms: DEFAULT_BATCH_MS,
            },
            public: false,
        }
    }

    /// Sets the services and their shares.
    #[must_use]
    pub fn with_destinations(mut self, to: Vec<Destination>) -> Self {
        self.destinations = to;
        self
    }

    /// Sets what may be repeated.
    #[must_use]
    pub fn with_kind(mut self, kind: RouteKind) -> Self {
        self.kind = kind;
        self
    }

    /// Sets the longest time that a request is kept waiting and the time
    /// within which its answer (for a stream: its first event) is wanted.
    #[must_use]
    pub fn with_times(mut self, timeout_ms: u64, target_ms: u64) -> Self {
        self.timeout_ms = timeout_ms;
        self.target_latency_ms = target_ms;
        self
    }

    /// Sets on how many endpoints one request may run; at least one.
    #[must_use]
    pub fn with_max_attempts(mut self, max_attempts: u32) -> Self {
        self.max_attempts = max_attempts.max(1);
        self
    }

    /// Sets the rank; 0 is the highest.
    #[must_use]
    pub fn with_priority(mut self, priority: u32) -> Self {
        self.priority = priority;
        self
    }

    /// Sets the longest pause between events that is still in time.
    #[must_use]
    pub fn with_gap_target_ms(mut self, gap_ms: u64) -> Self {
        self.gap_target_ms = gap_ms;
        self
    }

    /// Sets the times of jobs.
    #[must_use]
    pub fn with_batch(mut self, terms: BatchDeadlines) -> Self {
        self.batch = terms;
        self
    }

    /// Sets whether callers need no key.
    #[must_use]
    pub fn with_public(mut self, public: bool) -> Self {
        self.public = public;
        self
    }

    /// Returns the name.
    #[inline]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the host, in lower case.
    #[inline]
    pub fn host(&self) -> &str {
        &self.host
    }

    /// Returns the path prefix.
    #[inline]
    pub fn prefix(&self) -> &str {
        &self.prefix
    }

    /// Returns what may be repeated.
    #[inline]
    pub fn kind(&self) -> RouteKind {
        self.kind
    }

    /// Returns the longest time that a request is kept waiting.
    #[inline]
    pub fn timeout_ms(&self) -> u64 {
        self.timeout_ms
    }

    /// Returns the time within which an answer is wanted.
    #[inline]
    pub fn target_latency_ms(&self) -> u64 {
        self.target_latency_ms
    }

    /// Returns on how many endpoints one request may run.
    #[inline]
    pub fn max_attempts(&self) -> u32 {
        self.max_attempts
    }

    /// Returns the rank; 0 is the highest.
    #[inline]
    pub fn priority(&self) -> u32 {
        self.priority
    }

    /// Returns the longest pause between events that is in time; 0 if the
    /// route states none.
    #[inline]
    pub fn gap_target_ms(&self) -> u64 {
        self.gap_target_ms
    }

    /// Returns the times of jobs.
    #[inline]
    pub fn batch(&self) -> BatchDeadlines {
        self.batch
    }

    /// Tells whether callers need no key.
    #[inline]
    pub fn is_public(&self) -> bool {
        self.public
    }

    /// Returns the services and their shares.
    #[inline]
    pub fn destinations(&self) -> &[Destination] {
        &self.destinations
    }

    /// Returns the service for a request, by a number that is spread
    /// evenly, for example a hash of its id; none if no share is positive.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_fleet::{Destination, Route};
    ///
    /// let to = [("a", 3), ("b", 1)].map(|(service, weight)| Destination {
    ///     service: service.to_owned(),
    ///     weight,
    /// });
    /// let route =
    ///     Route::new("r", "h", "/", "a").with_destinations(to.to_vec());
    /// assert_eq!(route.service(2), Some("a"));
    /// assert_eq!(route.service(3), Some("b"));
    /// assert_eq!(route.service(4), Some("a"));
    /// ```
    pub fn service(&self, spread: u64) -> Option<&str> {
        let total: u64 =
            self.destinations.iter().map(|d| u64::from(d.weight)).sum();
        let mut rest = spread.checked_rem(total)?;
        for destination in &self.destinations {
            let weight = u64::from(destination.weight);
            if rest < weight {
                return Some(&destination.service);
            }
            rest -= weight;
        }
        None
    }
}

/// Routes by host and longest path prefix.
///
/// The prefixes of a host are sorted from the longest, so that the first
/// match decides, as with the operators' rules. A tree was rejected: hosts
/// have tens of routes and a scan of them costs less than a microsecond.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_host: IndexMap<String, Vec<Arc<Route>>>,
    by_name: IndexMap<String, Arc<Route>>,
}

impl RouteTable {
    /// Sorts routes by host and prefix.
    pub fn new(routes: Vec<Route>) -> Self {
        let mut table = Self::default();
        for route in routes {
            let route = Arc::new(route);
            table
                .by_host
                .entry(route.host.clone())
                .or_default()
                .push(route.clone());
            table.by_name.insert(route.name.clone(), route);
        }
        for routes in table.by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        table
    }

    /// Returns the route of a request. `host` may have a port and capitals.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or_default();
        let routes = match self.by_host.get(host) {
            Some(routes) => routes,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the route of a name.
    pub fn by_name(&self, name: &str) -> Option<&Arc<Route>> {
        self.by_name.get(name)
    }

    /// Returns all routes.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_name.values()
    }

    /// Returns how many routes there are.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Tells whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}

/// What clients may send and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TransferLimits {
    /// Bytes of a request's line and headers.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time for a request's headers.
    pub header_timeout_ms: u64,
    /// Time that a connection may be idle between requests.
    pub idle_timeout_ms: u64,
}

impl Default for TransferLimits {
    /// 16 KiB of headers and 4 MiB of body hold the largest prompts of both
    /// users; the times are generous for clients on slow links.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 5_000,
            idle_timeout_ms: 30_000,
        }
    }
}

/// What the operators say of a service.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: String,
    /// Connections that one endpoint accepts from all callers.
    pub max_connections: u32,
    /// Whether its endpoints are model engines.
    pub engine: bool,
}

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Version; a process never goes back to a lower one.
    pub version: u64,
    /// The routes.
    pub routes: RouteTable,
    /// The services by name.
    pub services: IndexMap<String, ServiceSpec>,
    /// Limits towards clients.
    pub limits: TransferLimits,
    /// The customers; without them nobody needs a key.
    pub customers: Option<Customers>,
}
