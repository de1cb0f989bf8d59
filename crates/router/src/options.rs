/// How one of several selectable endpoints is chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// Uniformly at random.
    Random,
    /// Round robin.
    RoundRobin,
    /// The less loaded of two endpoints drawn at random.
    PowerOfTwoChoices,
    /// By the reports of probes that are sent asynchronously with the
    /// requests.
    Probing(Probing),
}

/// Asynchronous probing as published for Prequal.
///
/// Each request sends a few probes whose reports serve later requests. Of the
/// endpoints with a report, those with more in-flight requests than a quantile
/// are hot, and the one with the lowest latency is chosen among the others.
/// The default quantile of 0 keeps only those with the fewest requests:
/// latency lags behind load, and choosing by it sends too much to the endpoint
/// that was fast a moment ago (measured in the benchmark `routing`).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Probing {
    /// Number of probes per request.
    pub probes: u32,
    /// Number of requests that one report serves.
    pub uses: u32,
    /// Maximum age of a report, in milliseconds.
    pub max_age_ms: u64,
    /// Quantile of the in-flight requests above which an endpoint is hot.
    pub hot_quantile: f64,
}

impl Default for Probing {
    fn default() -> Self {
        Self {
            probes: 2,
            uses: 3,
            max_age_ms: 1_000,
            hot_quantile: 0.0,
        }
    }
}

/// Sends requests with the same prompt prefix to the same endpoint, which may
/// have the prefix in its cache.
///
/// The order of the endpoints for a prefix follows from a hash (rendezvous
/// hashing), so that entries agree without communication and the loss of an
/// endpoint moves only its own prefixes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Affinity {
    /// An endpoint is skipped if its load is above this multiple of the mean.
    pub bound: f64,
}

/// How failures affect the choice of endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HealthPolicy {
    /// Failures are ignored.
    Off,
    /// Failing endpoints are ejected for a while.
    Ejection(Ejection),
    /// Each failure subtracts `sensitivity` from a score of at most 1,000, a
    /// successful probe adds 1 at most once a second, and only endpoints with
    /// the best score are chosen.
    Score {
        /// Amount that a failure subtracts from the score.
        sensitivity: u32,
    },
}

/// Ejects failing endpoints (outlier ejection).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ejection {
    /// Number of consecutive failures that eject an endpoint.
    pub failures_in_row: u32,
    /// Share of failures among recent calls that ejects an endpoint.
    pub failure_share: f64,
    /// Duration of the first ejection, in milliseconds; it doubles with each
    /// further one.
    pub base_ms: u64,
    /// Maximum duration of an ejection, in milliseconds.
    pub max_ms: u64,
}

impl Default for Ejection {
    fn default() -> Self {
        Self {
            failures_in_row: 3,
            failure_share: 0.3,
            base_ms: 1_000,
            max_ms: 30_000,
        }
    }
}

/// Settings of a [`Router`](crate::Router).
///
/// # Example
///
/// ```
/// use pomeloslip_router::{Policy, RouterOptions};
///
/// let options = RouterOptions::default().policy(Policy::Random);
/// assert_eq!(options.policy, Policy::Random);
/// assert!(options.subset > 1);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouterOptions {
    /// How an endpoint is chosen.
    pub policy: Policy,
    /// Prompt-prefix affinity, which takes precedence over the policy.
    pub affinity: Option<Affinity>,
    /// How failures affect the choice.
    pub health: HealthPolicy,
    /// Maximum number of endpoints of a pool that this entry uses.
    pub subset: usize,
    /// Number of requests by which an endpoint of another failure domain must
    /// be less loaded to be chosen.
    pub other_domain_penalty: u32,
    /// Maximum age of a report whose load is used, in milliseconds.
    pub report_max_age_ms: u64,
    /// Maximum age of a report whose queue diverts prefixes to another
    /// endpoint, in milliseconds.
    pub queue_max_age_ms: u64,
    /// Number of retries per request that a pool's budget allows.
    pub retry_ratio: f64,
    /// Number of additional retries that the budget allows per window.
    pub retry_minimum: u32,
    /// Window of the retry budget, in milliseconds.
    pub retry_window_ms: u64,
    /// Interval between probes of an ejected endpoint, in milliseconds.
    pub recovery_probe_ms: u64,
    /// Interval between probes of an endpoint that accepts no new work, in
    /// milliseconds; they detect a new process at its address.
    pub leaving_probe_ms: u64,
}

impl Default for RouterOptions {
    fn default() -> Self {
        Self {
            policy: Policy::Probing(Probing::default()),
            affinity: Some(Affinity { bound: 1.25 }),
            health: HealthPolicy::Ejection(Ejection::default()),
            subset: 16,
            other_domain_penalty: 0,
            report_max_age_ms: 500,
            queue_max_age_ms: 1_000,
            retry_ratio: 0.2,
            retry_minimum: 10,
            retry_window_ms: 10_000,
            recovery_probe_ms: 1_000,
            leaving_probe_ms: 5_000,
        }
    }
}

impl RouterOptions {
    /// Sets how an endpoint is chosen.
    pub fn policy(self, policy: Policy) -> Self {
        Self { policy, ..self }
    }

    /// Sets the prompt-prefix affinity; `None` turns it off.
    pub fn affinity(self, affinity: Option<Affinity>) -> Self {
        Self { affinity, ..self }
    }

    /// Sets how failures affect the choice.
    pub fn health(self, health: HealthPolicy) -> Self {
        Self { health, ..self }
    }

    /// Sets the maximum number of endpoints of a pool that are used; 0 is
    /// treated as 1.
    pub fn subset(self, subset: usize) -> Self {
        let subset = subset.max(1);
        Self { subset, ..self }
    }

    /// Sets the number of requests by which an endpoint of another failure
    /// domain must be less loaded.
    pub fn other_domain_penalty(self, other_domain_penalty: u32) -> Self {
        Self {
            other_domain_penalty,
            ..self
        }
    }
}
