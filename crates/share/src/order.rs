use std::collections::BTreeSet;

use base::Millis;
use indexmap::IndexMap;

/// The urgency of a request; the lowest is served first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    priority: u32,
    ends_at: Millis,
}

impl Rank {
    /// Creates a rank from the priority (0 is the most urgent) and the
    /// deadline. Among requests of one priority, the one with the earliest
    /// deadline has the smallest slack at any time.
    pub fn new(priority: u32, ends_at: Millis) -> Self {
        Self { priority, ends_at }
    }
}

/// A request that waits for a slot.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Waiter {
    rank: Rank,
    number: u64,
}

/// The requests that wait for slots, by service.
///
/// Only the first request of a service may take a slot. A request that takes
/// one or gives up leaves the order, and the request that is first from then
/// on is to be woken.
///
/// # Example
///
/// ```
/// use base::Millis;
/// use pomeloslip_share::{Rank, WaitingOrder};
///
/// let mut order = WaitingOrder::default();
/// let usual = order.join("llm", Rank::new(5, Millis::new(100)));
/// let urgent = order.join("llm", Rank::new(0, Millis::new(900)));
/// assert!(order.is_first("llm", urgent));
/// assert_eq!(order.leave("llm", urgent), Some(usual));
/// assert_eq!(order.leave("llm", usual), None);
/// ```
#[derive(Debug, Default)]
pub struct WaitingOrder {
    services: IndexMap<String, BTreeSet<Waiter>>,
    last_number: u64,
}

impl WaitingOrder {
    /// Adds a request behind all that are at least as urgent.
    pub fn join(&mut self, service: &str, rank: Rank) -> Waiter {
        self.last_number += 1;
        let waiter = Waiter {
            rank,
            number: self.last_number,
        };
        match self.services.get_mut(service) {
            Some(waiters) => {
                waiters.insert(waiter);
            }
            None => {
                let waiters = BTreeSet::from([waiter]);
                self.services.insert(service.to_owned(), waiters);
            }
        }
        waiter
    }

    /// Removes a request; returns the one that became the first thereby.
    pub fn leave(&mut self, service: &str, waiter: Waiter) -> Option<Waiter> {
        let waiters = self.services.get_mut(service)?;
        let was_first = waiters.first() == Some(&waiter);
        waiters.remove(&waiter);
        if waiters.is_empty() {
            self.services.swap_remove(service);
            return None;
        }
        waiters.first().copied().filter(|_| was_first)
    }

    /// Returns the first request of a service.
    pub fn first(&self, service: &str) -> Option<Waiter> {
        self.services.get(service)?.first().copied()
    }

    /// Reports whether a request is the first of its service.
    pub fn is_first(&self, service: &str, waiter: Waiter) -> bool {
        self.first(service) == Some(waiter)
    }

    /// Reports whether a request that does not wait may take a slot: no waiting
    /// request is as urgent or more urgent.
    pub fn may_take(&self, service: &str, rank: Rank) -> bool {
        self.first(service).is_none_or(|first| rank < first.rank)
    }

    /// Returns the number of waiting requests of a service.
    pub fn waiting(&self, service: &str) -> usize {
        self.services.get(service).map_or(0, BTreeSet::len)
    }
}
