//! Fair shares of the slots of services at one front.
//!
//! The `share` crate decides; this module holds its state for the requests of
//! a process, wakes waiting requests, and logs and counts what was decided.

mod changes;
mod metrics;
mod slots;

use std::{
    collections::BTreeMap,
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use base::{Clock, Customer};
use fleet::{EndpointTable, Selection};
use share::{
    FrontShares, PairKey, Rank, SHARD_COUNT, ShareState, TermsTable,
    UseReport, UseTotals, Waiter, WaitingOrder,
};
use tokio::sync::Notify;

pub use self::metrics::ShareMetrics;
use self::{changes::ShareChanges, metrics::Level, slots::SlotTotals};
use crate::{Counters, Inbound};

/// The fair shares of the customers of a front.
///
/// # Example
///
/// ```
/// use std::sync::Arc;
///
/// use base::SystemClock;
/// use pomeloslip_pass::{Counters, FairShares};
///
/// let counters = Arc::new(Counters::default());
/// let clock = Arc::new(SystemClock::new());
/// let shares =
///     FairShares::new("front-1", 1, |_| 0, clock, counters.clone());
/// shares.tick();
/// assert!(!counters.render().contains("pomeloslip_customer_slots{"));
/// ```
pub struct FairShares {
    state: Mutex<State>,
    clock: Arc<dyn Clock>,
    counters: Arc<Counters>,
}

struct State {
    front: FrontShares,
    order: WaitingOrder,
    wakers: BTreeMap<Waiter, Arc<Notify>>,
    slots: SlotTotals,
    changes: ShareChanges,
}

impl State {
    /// Wakes the first request that waits for a service.
    fn wake_first(&self, service: &str) {
        let first = self.order.first(service);
        self.wake(first);
    }

    fn wake(&self, waiter: Option<Waiter>) {
        let notify = waiter.and_then(|waiter| self.wakers.get(&waiter));
        if let Some(notify) = notify {
            notify.notify_one();
        }
    }
}

impl FairShares {
    /// Creates the shares of a front. `incarnation` increases from process to
    /// process; `shard_of` returns the shard of a customer.
    pub fn new(
        node: &str,
        incarnation: u64,
        shard_of: fn(&Customer) -> usize,
        clock: Arc<dyn Clock>,
        counters: Arc<Counters>,
    ) -> Self {
        let terms = Arc::new(TermsTable::default());
        let state = State {
            front: FrontShares::new(node, incarnation, shard_of, terms),
            order: WaitingOrder::default(),
            wakers: BTreeMap::new(),
            slots: SlotTotals::default(),
            changes: ShareChanges::default(),
        };
        Self {
            state: Mutex::new(state),
            clock,
            counters,
        }
    }

    /// Applies new terms of customers.
    pub fn set_terms(&self, terms: Arc<TermsTable>) {
        self.lock().front.set_terms(terms);
    }

    /// Returns the reports that are to be sent to the servers of the shards.
    pub fn reports(
        &self,
        assigned: [Option<String>; SHARD_COUNT],
    ) -> Vec<(String, UseReport)> {
        let now = self.clock.now();
        let mut state = self.lock();
        state.front.expire(now);
        state.front.reports(assigned)
    }

    /// Handles the answer of a server; returns false if it is out of range.
    pub fn receive(&self, from: &str, answer: &UseTotals) -> bool {
        let now = self.clock.now();
        self.lock().front.receive(from, answer, now)
    }

    /// Updates metrics, and logs customers that have returned below their
    /// shares. To be called once per second.
    pub fn tick(&self) {
        let now = self.clock.now();
        let mut guard = self.lock();
        let state = &mut *guard;
        state.front.expire(now);
        let (front, slots) = (&state.front, &mut state.slots);
        state.changes.tick(|service, customer| {
            front.state(service, customer, slots.get(service), now)
        });
        let largest = front.counts().largest(metrics::MAX_ROWS);
        let levels = front.counts().services().filter_map(|service| {
            let (level, basis) = front.level(service, slots.get(service), now);
            Some(Level::new(service, level?, basis))
        });
        let in_use = front.counts().slots_in_use();
        let levels = levels.collect();
        self.counters.shares.set(largest, in_use, levels);
    }

    /// Returns the rank of a request among waiting ones.
    pub(crate) fn rank(&self, request: &Inbound) -> Rank {
        let remaining_ms = request.remaining().as_millis() as u64;
        let ends_at = self.clock.now().saturating_add_ms(remaining_ms);
        Rank::new(request.priority(), ends_at)
    }

    /// Reports whether a request may take a slot: it is the first that waits,
    /// or does not wait and precedes all that do.
    pub(crate) fn may_take(
        &self,
        service: &str,
        rank: Rank,
        place: Option<&Place>,
    ) -> bool {
        let state = self.lock();
        match place {
            Some(place) => state.order.is_first(service, place.waiter),
            None => state.order.may_take(service, rank),
        }
    }

    /// Reports whether a waiting request is the first.
    pub(crate) fn is_first(&self, service: &str, place: &Place) -> bool {
        self.lock().order.is_first(service, place.waiter)
    }

    /// Reports whether a customer is over its share of a service.
    pub(crate) fn is_over(
        &self,
        service: &str,
        customer: &Customer,
        endpoints: &Arc<EndpointTable>,
        selection: &Arc<Selection>,
    ) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        state.slots.update(endpoints, selection);
        let slots = state.slots.get(service);
        let share = state.front.state(service, customer, slots, now);
        if share.is_over() {
            state.changes.record_over(service, customer, &share);
        }
        share.is_over()
    }

    /// Counts a request that is refused for lack of a slot, whose caller
    /// retries after a time.
    pub(crate) fn record_refusal(
        &self,
        service: &str,
        customer: &Customer,
        retry_after_ms: u64,
    ) {
        let now = self.clock.now();
        let retry_at = now.saturating_add_ms(retry_after_ms);
        let mut state = self.lock();
        state.front.expire(now);
        state.front.refuse(service, customer, retry_at);
    }

    /// Adds a request to those that wait.
    pub(crate) fn wait(
        self: &Arc<Self>,
        service: &str,
        customer: Option<&Customer>,
        rank: Rank,
    ) -> Place {
        let mut guard = self.lock();
        let state = &mut *guard;
        let waiter = state.order.join(service, rank);
        let notify: Arc<Notify> = Arc::default();
        state.wakers.insert(waiter, notify.clone());
        let key = customer
            .and_then(|customer| state.front.begin_wait(service, customer));
        Place {
            shares: self.clone(),
            service: service.to_owned(),
            waiter,
            notify,
            key,
        }
    }

    /// Counts a request at an endpoint until the result is dropped.
    pub(crate) fn use_slot(
        self: &Arc<Self>,
        service: &str,
        customer: Option<&Customer>,
    ) -> SlotUse {
        let key = customer
            .and_then(|customer| self.lock().front.begin(service, customer));
        SlotUse {
            shares: self.clone(),
            service: service.to_owned(),
            key,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for FairShares {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FairShares").finish_non_exhaustive()
    }
}

/// The place of a waiting request. Dropping it wakes the next request.
pub(crate) struct Place {
    shares: Arc<FairShares>,
    service: String,
    waiter: Waiter,
    notify: Arc<Notify>,
    key: Option<PairKey>,
}

impl Place {
    /// Waits until the request has become the first or a slot has become free.
    pub(crate) async fn changed(&self) {
        self.notify.notified().await;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.shares.lock();
        state.wakers.remove(&self.waiter);
        if let Some(key) = self.key {
            state.front.end_wait(key);
        }
        let next = state.order.leave(&self.service, self.waiter);
        state.wake(next);
    }
}

/// A slot that a request uses. Dropping it wakes the first waiting request.
pub(crate) struct SlotUse {
    shares: Arc<FairShares>,
    service: String,
    key: Option<PairKey>,
}

impl Drop for SlotUse {
    fn drop(&mut self) {
        let mut state = self.shares.lock();
        if let Some(key) = self.key {
            state.front.end(key);
        }
        state.wake_first(&self.service);
    }
}

/// Logs a change of whether a customer is over its share.
fn log_change(
    text: &'static str,
    service: &str,
    customer: &Customer,
    share: &ShareState,
    unlogged: u64,
) {
    let level = share.level.map_or(0.0, |level| level.slots_per_weight());
    let age_ms = match share.basis {
        share::ShareBasis::Fleet(age_ms) => Some(age_ms),
        share::ShareBasis::Own => None,
    };
    log::info!(
        service,
        customer:%,
        slots = share.slots,
        weight = share.weight,
        level,
        of_fleet = age_ms.is_some(),
        age_ms = age_ms.unwrap_or(0),
        unlogged;
        "{text}"
    );
}
