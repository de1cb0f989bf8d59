//! Scenarios and their outcomes.

use base::Customer;
use pomeloslip_limits::{RateLimit, TokenServerOptions, Tolerance};

/// How limits are enforced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Strategy {
    EvenShares,
    Replicated,
}

/// How much customers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Demand {
    None,
    /// In bursts, as on a usual day: below every limit.
    Usual,
    /// Many times the limit.
    Over,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Faults {
    None,
    /// Kills, cuts and freezes, several at a time.
    Mixed,
    /// Nodes are partitioned into two halves that change twice a second.
    Partitions,
    /// Limits are lowered while many fronts are cut off from the key-value
    /// service.
    StaleLimits,
    /// The token servers of this many replicas of the large customer lose
    /// power at once.
    LostServers(usize),
    /// The same again and again, with fronts that are killed, cut off or
    /// frozen, limits that are lowered, and servers of an older version.
    RepeatedLosses,
}

/// A bug that is injected to verify that the simulation detects it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum InjectedBug {
    None,
    /// Fronts allot a share to the next node 1,400 ms before the lease ends.
    AllottedTooEarly,
    /// A restarted server has the whole burst.
    StartsFull,
    /// Nodes apply the limit that they received last instead of the newest.
    OldLimitWins,
    /// Servers get the report of a front with few requests a second time, as
    /// that of another front.
    ReportCountedTwice,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) seed: u64,
    pub(crate) strategy: Strategy,
    pub(crate) fronts: usize,
    pub(crate) workers: usize,
    pub(crate) small_customers: usize,
    pub(crate) demand: Demand,
    pub(crate) faults: Faults,
    pub(crate) bug: InjectedBug,
    pub(crate) length_ms: u64,
    /// Time for which a refused caller retries at the times that it is told,
    /// in milliseconds.
    pub(crate) patience_ms: u64,
    pub(crate) tolerance: Tolerance,
}

/// Outcome of a scenario.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) steps: u64,
    /// Requests beyond the limit in the worst window of any customer.
    pub(crate) worst_excess: f64,
    /// The customer of that window, and when the window ended.
    pub(crate) worst: Option<(usize, u64)>,
    /// Fraction of each limit that was used after the first seconds.
    pub(crate) used: Vec<f64>,
    /// Sent and refused requests by customer.
    pub(crate) requested: Vec<u32>,
    pub(crate) refused: Vec<u32>,
    /// Admitted requests by customer.
    pub(crate) admitted: Vec<u32>,
    /// Slots that servers restored, and that started without history.
    pub(crate) restored: u32,
    pub(crate) not_restored: u32,
    /// Mean number of messages per second that a front sends.
    pub(crate) sent_by_front: f64,
    /// Number of messages per second that the busiest node receives.
    pub(crate) received_by_busiest: f64,
}

impl Outcome {
    /// Returns the fraction of the small customers' requests that was refused.
    pub(crate) fn refused_small(&self) -> f64 {
        let requested: u32 = self.requested[1..].iter().sum();
        let refused: u32 = self.refused[1..].iter().sum();
        f64::from(refused) / f64::from(requested.max(1))
    }
}

/// Maximum time between the count of a request and its service.
const IN_FLIGHT_MS: u64 = 200;

impl Scenario {
    pub(crate) fn client_options(self) -> TokenServerOptions {
        match self.bug {
            // The front assumes a shorter lease than the server does.
            InjectedBug::AllottedTooEarly => TokenServerOptions {
                min_lease_ms: 100,
                lease_per_front_ms: 0,
                ..TokenServerOptions::default()
            },
            _ => TokenServerOptions::default(),
        }
    }

    /// Returns whether all requests beyond a bucket are an error.
    ///
    /// The tolerance leaves room for the initial tokens of new processes,
    /// which hides errors of the restore: without a rule that a report depends
    /// on, 150 seeds exceed no limit. Without initial tokens, what a single
    /// bucket admits is the limit.
    pub(crate) fn is_strict(self) -> bool {
        self.faults == Faults::RepeatedLosses && !self.seed.is_multiple_of(2)
    }

    /// Returns the time on the clock of a process that starts, in
    /// milliseconds.
    pub(crate) fn clock_offset_ms(self) -> u64 {
        match self.is_strict() {
            true => 10_000,
            false => 0,
        }
    }

    /// Returns the maximum number of requests in a window.
    pub(crate) fn max_in_window(self, limit: RateLimit) -> f64 {
        match self.is_strict() {
            true => {
                let window_ms = self.tolerance.window_ms + IN_FLIGHT_MS;
                limit.per_s() * window_ms as f64 / 1_000.0
                    + self.tolerance.burst_tokens(limit)
            }
            false => self.tolerance.max_in_window(limit),
        }
    }

    /// Returns the options of a server; those of the version before reports
    /// have longer leases.
    pub(crate) fn server_options(self, is_old: bool) -> TokenServerOptions {
        match self.bug {
            _ if is_old => TokenServerOptions {
                min_lease_ms: 1_500,
                ..TokenServerOptions::default()
            },
            // With the shipped lease the error would be at most 400 ms, in
            // which no limit is exceeded within 600 seeds.
            InjectedBug::AllottedTooEarly => TokenServerOptions {
                min_lease_ms: 1_500,
                ..TokenServerOptions::default()
            },
            _ => TokenServerOptions::default(),
        }
    }

    pub(crate) fn server_tolerance(self) -> Tolerance {
        match self.bug {
            InjectedBug::StartsFull => Tolerance {
                slack: 400,
                ..self.tolerance
            },
            _ => self.tolerance,
        }
    }

    /// Returns the customers with their limits, the large one first.
    pub(crate) fn customers(self) -> Vec<(Customer, RateLimit)> {
        let large = ("large", 117.0, 117);
        let mut customers = vec![large];
        let small = [("small-1", 2.0, 2), ("small-2", 0.5, 1)];
        let small = small.into_iter().chain([("small-3", 6.0, 6)]);
        customers.extend(small.take(self.small_customers));
        let customers = customers.into_iter().map(|(name, rate, burst)| {
            let limit =
                RateLimit::try_new(rate, burst).expect("a valid limit");
            (name.parse().expect("a valid name"), limit.with_version(1))
        });
        customers.collect()
    }
}
