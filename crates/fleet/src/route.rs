use std::sync::Arc;

use access::Customers;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// How requests of a route may be retried and what kind of response they get.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once; the safe default.
    #[default]
    AtMostOnce,
    /// The response is a stream of events; the request runs at most once.
    Stream,
    /// The response is a stream of events, which another endpoint can resume
    /// after the last event that arrived.
    ResumableStream,
    /// Accepts jobs of many items that run later.
    Batch,
}

impl RouteKind {
    /// Reports whether a request that may have run may be sent again.
    #[inline]
    pub fn is_repeatable(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::ResumableStream)
    }

    /// Reports whether the response is a stream of events.
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
    /// Weight relative to the route's other destinations.
    pub weight: u32,
}

/// Deadlines of the jobs of a batch route, relative to their submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchDeadlines {
    /// Time until all results are due, in milliseconds.
    pub due_in_ms: u64,
    /// Time after which an item without a result may be given up, in
    /// milliseconds.
    pub give_up_in_ms: u64,
}

/// A routing rule: requests to a host below a path prefix go to services.
///
/// Built with [`Route::new`] and the `with_` methods, which set the values
/// that differ from the defaults.
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

/// Maximum duration of any request in milliseconds, so that sums and products
/// of times do not overflow.
pub const MAX_REQUEST_MS: u64 = 86_400_000;

/// Timeout of a request whose route sets none.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;

/// Latency objective of a route that sets none.
const DEFAULT_TARGET_LATENCY_MS: u64 = 1_000;

/// Deadline of the jobs of a route that sets none: one day, as in the
/// project's own batch interface.
const DEFAULT_BATCH_DEADLINE_MS: u64 = 86_400_000;

impl Route {
    /// Creates a route to one service for requests that run at most once.
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
                due_in_ms: DEFAULT_BATCH_DEADLINE_MS,
                give_up_in_ms: DEFAULT_BATCH_DEADLINE_MS,
            },
            public: false,
        }
    }

    /// Sets the services and their weights.
    #[must_use]
    pub fn with_destinations(mut self, to: Vec<Destination>) -> Self {
        self.destinations = to;
        self
    }

    /// Sets the kind of the route.
    #[must_use]
    pub fn with_kind(mut self, kind: RouteKind) -> Self {
        self.kind = kind;
        self
    }

    /// Sets the request timeout and the latency objective of the response (for
    /// a stream: of its first event), each [`MAX_REQUEST_MS`] at most.
    #[must_use]
    pub fn with_times(mut self, timeout_ms: u64, target_ms: u64) -> Self {
        self.timeout_ms = timeout_ms.min(MAX_REQUEST_MS);
        self.target_latency_ms = target_ms.min(MAX_REQUEST_MS);
        self
    }

    /// Sets the maximum number of endpoints on which one request may run; at
    /// least one.
    #[must_use]
    pub fn with_max_attempts(mut self, max_attempts: u32) -> Self {
        self.max_attempts = max_attempts.max(1);
        self
    }

    /// Sets the priority; 0 is the highest.
    #[must_use]
    pub fn with_priority(mut self, priority: u32) -> Self {
        self.priority = priority;
        self
    }

    /// Sets the target for the maximum pause between events,
    /// [`MAX_REQUEST_MS`] at most.
    #[must_use]
    pub fn with_gap_target_ms(mut self, gap_ms: u64) -> Self {
        self.gap_target_ms = gap_ms.min(MAX_REQUEST_MS);
        self
    }

    /// Sets the deadlines of jobs.
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

    /// Returns the kind of the route.
    #[inline]
    pub fn kind(&self) -> RouteKind {
        self.kind
    }

    /// Returns the request timeout.
    #[inline]
    pub fn timeout_ms(&self) -> u64 {
        self.timeout_ms
    }

    /// Returns the latency objective.
    #[inline]
    pub fn target_latency_ms(&self) -> u64 {
        self.target_latency_ms
    }

    /// Returns the maximum number of endpoints on which one request may run.
    #[inline]
    pub fn max_attempts(&self) -> u32 {
        self.max_attempts
    }

    /// Returns the priority; 0 is the highest.
    #[inline]
    pub fn priority(&self) -> u32 {
        self.priority
    }

    /// Returns the target for the maximum pause between events; 0 if the route
    /// sets none.
    #[inline]
    pub fn gap_target_ms(&self) -> u64 {
        self.gap_target_ms
    }

    /// Returns the deadlines of jobs.
    #[inline]
    pub fn batch(&self) -> BatchDeadlines {
        self.batch
    }

    /// Reports whether callers need no key.
    #[inline]
    pub fn is_public(&self) -> bool {
        self.public
    }

    /// Returns the services and their weights.
    #[inline]
    pub fn destinations(&self) -> &[Destination] {
        &self.destinations
    }

    /// Returns the service for a request, chosen by a uniformly distributed
    /// number such as a hash of the request id; `None` if no weight is
    /// positive.
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
    pub fn service(&self, hash: u64) -> Option<&str> {
        let total: u64 =
            self.destinations.iter().map(|d| u64::from(d.weight)).sum();
        let mut remaining = hash.checked_rem(total)?;
        for destination in &self.destinations {
            let weight = u64::from(destination.weight);
            if remaining < weight {
                return Some(&destination.service);
            }
            remaining -= weight;
        }
        None
    }
}

/// Routes, looked up by host and longest path prefix.
///
/// The prefixes of a host are sorted by descending length, so the first match
/// decides, as in the operators' rules. Hosts have tens of routes, and a
/// linear scan of them takes less than a microsecond, so a tree is not needed.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_host: IndexMap<String, Vec<Arc<Route>>>,
    by_name: IndexMap<String, Arc<Route>>,
}

impl RouteTable {
    /// Creates a table, sorted by host and prefix.
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

    /// Returns the route of a request. `host` may have a port and upper-case
    /// letters.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or_default();
        let routes = match self.by_host.get(host) {
            Some(routes) => routes,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the route with this name.
    pub fn by_name(&self, name: &str) -> Option<&Arc<Route>> {
        self.by_name.get(name)
    }

    /// Returns all routes.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_name.values()
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Reports whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}

/// Limits on the size and duration of client requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TransferLimits {
    /// Maximum size of a request's line and headers.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request's headers.
    pub header_timeout_ms: u64,
    /// Time that a connection may be idle between requests.
    pub idle_timeout_ms: u64,
}

impl Default for TransferLimits {
    /// 16 KiB of headers and 4 MiB of body hold the largest prompts of both
    /// users; the timeouts are generous for clients on slow links.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 5_000,
            idle_timeout_ms: 30_000,
        }
    }
}

/// The operators' settings of a service.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: String,
    /// Maximum number of connections that one endpoint accepts from all
    /// callers.
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
    /// Limits for clients.
    pub limits: TransferLimits,
    /// The customers; if absent, no caller needs a key.
    pub customers: Option<Customers>,
}
