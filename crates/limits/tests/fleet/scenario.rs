//! What is played, and what became of it.

use base::Customer;
use pomeloslip_limits::{RateLimit, TokenServerOptions, Tolerance};

/// How limits are held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Way {
    Even,
    Pools,
}

/// How much customers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Demand {
    None,
    /// In gusts, as on a usual day: below every limit.
    Usual,
    /// Many times the limit.
    Over,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Faults {
    None,
    /// Kills, cuts and freezes, several at a time.
    Mixed,
    /// Nodes are split in two halves that change twice a second.
    Splits,
    /// Caps fall while many fronts hear nothing from the service.
    StaleCaps,
}

/// A fault that is built in to see that it is found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Plant {
    None,
    /// Fronts lend a part to the next node long before the lease is over.
    LentTooEarly,
    /// A holder that starts anew has the whole burst.
    StartsFull,
    /// Nodes take the limit that was heard last for the newest.
    OldCapWins,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) seed: u64,
    pub(crate) way: Way,
    pub(crate) fronts: usize,
    pub(crate) workers: usize,
    pub(crate) small_customers: usize,
    pub(crate) demand: Demand,
    pub(crate) faults: Faults,
    pub(crate) plant: Plant,
    pub(crate) length_ms: u64,
    pub(crate) tolerance: Tolerance,
}

/// What became of a scenario.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) steps: u64,
    /// Requests beyond the limit in the worst window of any customer.
    pub(crate) worst_excess: f64,
    /// The customer of that window, and when it ended.
    pub(crate) worst: Option<(usize, u64)>,
    /// Part of each limit that was used after the first seconds.
    pub(crate) used: Vec<f64>,
    /// Asked and refused requests by customer.
    pub(crate) asked: Vec<u32>,
    pub(crate) refused: Vec<u32>,
    /// Messages a second that a front sends on average.
    pub(crate) sent_by_front: f64,
    /// Messages a second that the busiest node gets.
    pub(crate) heard_by_busiest: f64,
}

impl Outcome {
    /// Returns the part of the small customers' requests that was refused.
    pub(crate) fn refused_small(&self) -> f64 {
        let asked: u32 = self.asked[1..].iter().sum();
        let refused: u32 = self.refused[1..].iter().sum();
        f64::from(refused) / f64::from(asked.max(1))
    }
}

impl Scenario {
    pub(crate) fn member_options(self) -> TokenServerOptions {
        match self.plant {
            // The front believes in a shorter lease than the holder does.
            Plant::LentTooEarly => TokenServerOptions {
                min_lease_ms: 100,
                lease_per_front_ms: 0,
                ..TokenServerOptions::default()
            },
            _ => TokenServerOptions::default(),
        }
    }

    pub(crate) fn holder_allowance(self) -> Tolerance {
        match self.plant {
            Plant::StartsFull => Tolerance {
                slack: 400,
                ..self.tolerance
            },
            _ => self.tolerance,
        }
    }

    /// Returns the customers with their caps, the large one first.
    pub(crate) fn customers(self) -> Vec<(Customer, RateLimit)> {
        let large = ("large", 117.0, 117);
        let mut customers = vec![large];
        let small = [("small-1", 2.0, 2), ("small-2", 0.5, 1)];
        let small = small.into_iter().chain([("small-3", 6.0, 6)]);
        customers.extend(small.take(self.small_customers));
        let customers = customers.into_iter().map(|(name, rate, burst)| {
            let limit = RateLimit::try_new(rate, burst).expect("a cap");
            (name.parse().expect("a name"), limit.with_version(1))
        });
        customers.collect()
    }
}
