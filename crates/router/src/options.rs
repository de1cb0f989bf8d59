/// How one of several endpoints that take work is chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// Any.
    Random,
    /// Each in turn.
    RoundRobin,
    /// The less loaded of two drawn at random.
    PowerOfTwoChoices,
    /// By the reports of probes that run beside the requests.
    Probing(Probing),
}

/// Asynchronous probing as published for Prequal.
///
/// Each request sends a few probes whose reports serve later requests. Of
/// the reported endpoints, those with more requests in flight than a
/// quantile are hot, and the one with the lowest latency is chosen among the
/// others. The default quantile of 0 leaves those with the fewest requests:
/// latency lags behind load, and choosing by it sends too much to the
/// endpoint that was fast a moment ago (measured in the bench `routing`).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Probing {
    /// Probes that a request sends.
    pub probes: u32,
    /// Requests that one report serves.
    pub uses: u32,
    /// Age at which a report is forgotten, in milliseconds.
    pub max_age_ms: u64,
    /// Quantile of the requests in flight above which an endpoint is hot.
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

/// Sends requests that start alike to the same endpoint, whose cache of
/// prompt prefixes then helps them.
///
/// The order of the endpoints for a prefix follows from a hash alone
/// (rendezvous hashing), so that entries agree without talking and the loss
/// of an endpoint moves only its own prefixes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Affinity {
    /// An endpoint is passed over if its load is above this multiple of the
    /// mean.
    pub bound: f64,
}

/// How failures keep an endpoint from being chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HealthPolicy {
    /// Not at all.
    Off,
    /// It is taken out for a while.
    Ejection(Ejection),
    /// Each failure takes `sensitivity` from a value of 1,000, each
    /// successful probe a second gives 1 back, and only endpoints with the
    /// best value are chosen.
    Score {
        /// What a failure costs.
        sensitivity: u32,
    },
}

/// Takes endpoints out that fail, as outlier ejection does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ejection {
    /// Failures in a row that take an endpoint out.
    pub failures_in_row: u32,
    /// Share of failures among recent calls that takes it out.
    pub failure_share: f64,
    /// First time out, in milliseconds; it doubles with each that follows.
    pub base_ms: u64,
    /// Longest time out, in milliseconds.
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
    /// Whether prompt prefixes decide first.
    pub affinity: Option<Affinity>,
    /// How failures count.
    pub health: HealthPolicy,
    /// Most endpoints of a pool that this entry uses.
    pub subset: usize,
    /// How much less loaded an endpoint of another failure domain must be
    /// to be chosen, in requests.
    pub other_domain_penalty: u32,
    /// Age up to which the load in a report counts, in milliseconds.
    pub report_max_age_ms: u64,
    /// Age up to which a queue in a report keeps prefixes away, in
    /// milliseconds.
    pub queue_max_age_ms: u64,
    /// Retries per request that a pool's budget allows.
    pub retry_ratio: f64,
    /// Retries that it allows beside, per window.
    pub retry_minimum: u32,
    /// Window of the budget, in milliseconds.
    pub retry_window_ms: u64,
    /// Pause between two probes of an endpoint that is out, in
    /// milliseconds.
    pub recovery_probe_ms: u64,
    /// Pause between two probes of an endpoint that leaves, in
    /// milliseconds; they find out that a new process lives there.
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

    /// Sets whether prompt prefixes decide first.
    pub fn affinity(self, affinity: Option<Affinity>) -> Self {
        Self { affinity, ..self }
    }

    /// Sets how failures count.
    pub fn health(self, health: HealthPolicy) -> Self {
        Self { health, ..self }
    }

    /// Sets the most endpoints of a pool that are used; 0 is taken as 1.
    pub fn subset(self, subset: usize) -> Self {
        let subset = subset.max(1);
        Self { subset, ..self }
    }

    /// Sets how much less loaded an endpoint elsewhere must be.
    pub fn other_domain_penalty(self, other_domain_penalty: u32) -> Self {
        Self {
            other_domain_penalty,
            ..self
        }
    }
}
