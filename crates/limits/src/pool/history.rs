use std::collections::VecDeque;

use base::{Customer, Millis};
use indexmap::IndexMap;

use super::{REPLICAS, SLOT_COUNT, slot_of};
use crate::RateLimit;

/// Length of a step in which admitted requests are counted together, in
/// milliseconds.
const STEP_MS: u64 = 250;

/// Maximum number of customers of one slot in a report.
pub(super) const MAX_REPORT_CUSTOMERS: usize = 200;

/// Numbers of admitted requests in the last window, in steps.
///
/// All requests of a step count as admitted with the last of them, which is
/// never earlier than they were.
#[derive(Clone, Debug, Default)]
pub(super) struct StepCounts(VecDeque<StepCount>);

#[derive(Clone, Copy, Debug)]
struct StepCount {
    step: u64,
    last: Millis,
    count: u32,
}

impl StepCounts {
    /// Adds requests, and returns whether they are the first of a step.
    pub(super) fn add(&mut self, count: u32, now: Millis) -> bool {
        let step = now.as_ms() / STEP_MS;
        match self.0.back_mut() {
            Some(last) if last.step >= step => {
                last.count = last.count.saturating_add(count);
                last.last = last.last.max(now);
                false
            }
            _ => {
                let last = now;
                self.0.push_back(StepCount { step, last, count });
                true
            }
        }
    }

    /// Removes the steps that ended before the window.
    pub(super) fn expire(&mut self, window_ms: u64, now: Millis) {
        while self.0.front().is_some_and(|first| {
            now.saturating_ms_since(first.last) > window_ms
        }) {
            self.0.pop_front();
        }
    }

    /// Returns the steps as times and counts, oldest first.
    pub(super) fn counts(&self) -> impl Iterator<Item = (Millis, u32)> {
        self.0.iter().map(|step| (step.last, step.count))
    }

    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Requests of one front that were admitted in the last window, whichever
/// node counted them.
#[derive(Debug)]
pub(super) struct History {
    window_ms: u64,
    slots: [IndexMap<Customer, Admitted>; SLOT_COUNT],
    /// When the steps of customers expire, earliest first.
    expiries: VecDeque<(Millis, usize, Customer)>,
}

/// Admitted requests of one customer at one replica.
#[derive(Clone, Debug)]
pub(super) struct Admitted {
    /// Latest limit that the requests were admitted under.
    pub(super) limit: RateLimit,
    pub(super) counts: StepCounts,
}

impl History {
    pub(super) fn new(window_ms: u64) -> Self {
        Self {
            window_ms,
            slots: Default::default(),
            expiries: VecDeque::new(),
        }
    }

    /// Records the limit of a customer for the length of a window, also if
    /// none of its requests is admitted. A front that knows a lowered limit
    /// must report it, or a front that does not know it yet would get the
    /// bucket of the higher one.
    pub(super) fn record_limit(
        &mut self,
        customer: &Customer,
        limit: RateLimit,
        now: Millis,
    ) {
        self.expire(now);
        for replica in 0..REPLICAS {
            let slot = slot_of(customer, replica);
            if let Some(known) = self.slots[slot].get_mut(customer) {
                if limit.version() > known.limit.version() {
                    known.limit = limit;
                }
                continue;
            }
            let counts = StepCounts::default();
            let admitted = Admitted { limit, counts };
            self.slots[slot].insert(customer.clone(), admitted);
            let at = now.saturating_add_ms(self.window_ms + STEP_MS + 1);
            self.expiries.push_back((at, slot, customer.clone()));
        }
    }

    /// Records an admitted request.
    pub(super) fn record(
        &mut self,
        customer: &Customer,
        replica: usize,
        limit: RateLimit,
        now: Millis,
    ) {
        self.expire(now);
        let slot = slot_of(customer, replica);
        let entry = self.slots[slot].entry(customer.clone());
        let admitted = entry.or_insert_with(|| Admitted {
            limit,
            counts: StepCounts::default(),
        });
        if limit.version() > admitted.limit.version() {
            admitted.limit = limit;
        }
        if admitted.counts.add(1, now) {
            let at = now.saturating_add_ms(self.window_ms + STEP_MS + 1);
            self.expiries.push_back((at, slot, customer.clone()));
        }
    }

    /// Returns the requests of a slot, or `None` if it has too many customers
    /// for a report.
    pub(super) fn of_slot(
        &mut self,
        slot: usize,
        now: Millis,
    ) -> Option<Vec<(Customer, Admitted)>> {
        self.expire(now);
        let customers = &self.slots[slot];
        (customers.len() <= MAX_REPORT_CUSTOMERS).then(|| {
            let customers = customers.iter();
            customers
                .map(|(customer, admitted)| {
                    let mut admitted = admitted.clone();
                    admitted.counts.expire(self.window_ms, now);
                    (customer.clone(), admitted)
                })
                .collect()
        })
    }

    fn expire(&mut self, now: Millis) {
        while self.expiries.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, slot, customer)) = self.expiries.pop_front() else {
                return;
            };
            let customers = &mut self.slots[slot];
            if let Some(admitted) = customers.get_mut(&customer) {
                admitted.counts.expire(self.window_ms, now);
                if admitted.counts.is_empty() {
                    customers.swap_remove(&customer);
                }
            }
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/history.rs"]
mod tests;
