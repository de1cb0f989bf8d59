use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use base::{Customer, Millis};
use indexmap::IndexMap;
use slotmap::{SlotMap, new_key_type};

use crate::{
    MAX_PAIRS, MAX_SERVICES_SENT, PairUse, RestUse, SHARD_COUNT, TermsTable,
    UseHistogram,
};

new_key_type! {
    /// Identifies a pair of service and customer of a [`SlotCounts`].
    pub struct PairKey;
}

/// Maximum number of services whose slots are counted.
const MAX_SERVICES: usize = 64;

/// Maximum number of refused requests that count. A front with more of them
/// knows only that the demand exceeds the slots by far.
const MAX_REFUSED: usize = 20_000;

/// The slots that customers use by requests of one front, and the requests
/// that wait for one.
///
/// A request that was refused counts as waiting until its caller was told to
/// retry. Without these requests, a customer that is refused would seem to
/// want no more than it has: with the slots in use alone, a customer of weight
/// 10 among 8 that sent three times their shares had 59 of 432 slots.
///
/// # Example
///
/// ```
/// use std::sync::Arc;
///
/// use pomeloslip_share::{SlotCounts, TermsTable};
///
/// let mut counts = SlotCounts::new(|_| 0, Arc::new(TermsTable::default()));
/// let acme = "acme".parse().expect("a name");
/// let key = counts.begin("llm", &acme).expect("counted");
/// assert_eq!(counts.slots("llm", &acme), 1);
/// counts.end(key);
/// assert_eq!(counts.slots("llm", &acme), 0);
/// ```
#[derive(Debug)]
pub struct SlotCounts {
    shard_of: fn(&Customer) -> usize,
    terms: Arc<TermsTable>,
    /// Entries are never removed, so that their positions identify them.
    services: IndexMap<String, ServiceCounts>,
    pairs: SlotMap<PairKey, Pair>,
    by_name: IndexMap<(usize, Customer), PairKey>,
    /// The pairs of each shard by slots in use or waited for.
    by_demand: [BTreeSet<(u32, PairKey)>; SHARD_COUNT],
    /// Refused requests, by the time at which their callers retry.
    refused: BTreeMap<(Millis, u64), PairKey>,
    last_refused: u64,
}

#[derive(Debug)]
struct Pair {
    service: usize,
    customer: Customer,
    shard: usize,
    /// Number of slots in use.
    slots: u32,
    /// Number of requests that wait for a slot.
    waiting: u32,
    weight: u32,
}

impl Pair {
    fn demand(&self) -> u32 {
        self.slots.saturating_add(self.waiting)
    }
}

#[derive(Debug, Default)]
struct ServiceCounts {
    histogram: UseHistogram,
    shards: [ShardCounts; SHARD_COUNT],
}

#[derive(Clone, Copy, Debug, Default)]
struct ShardCounts {
    slots: u32,
    waiting: u32,
    customers: u32,
}

impl SlotCounts {
    /// Creates empty counts. `shard_of` returns the shard of a customer, below
    /// [`SHARD_COUNT`].
    pub fn new(
        shard_of: fn(&Customer) -> usize,
        terms: Arc<TermsTable>,
    ) -> Self {
        Self {
            shard_of,
            terms,
            services: IndexMap::new(),
            pairs: SlotMap::with_key(),
            by_name: IndexMap::new(),
            by_demand: Default::default(),
            refused: BTreeMap::new(),
            last_refused: 0,
        }
    }

    /// Counts a slot from now on; `None` if there are too many services.
    pub fn begin(
        &mut self,
        service: &str,
        customer: &Customer,
    ) -> Option<PairKey> {
        let key = self.pair_key(service, customer)?;
        self.change(key, 1, 0);
        Some(key)
    }

    /// Ends the use of a slot.
    pub fn end(&mut self, key: PairKey) {
        self.change(key, -1, 0);
    }

    /// Counts a waiting request from now on; `None` if there are too many
    /// services.
    pub fn begin_wait(
        &mut self,
        service: &str,
        customer: &Customer,
    ) -> Option<PairKey> {
        let key = self.pair_key(service, customer)?;
        self.change(key, 0, 1);
        Some(key)
    }

    /// Ends the wait of a request.
    pub fn end_wait(&mut self, key: PairKey) {
        self.change(key, 0, -1);
    }

    /// Counts a refused request until its caller retries.
    pub fn refuse(
        &mut self,
        service: &str,
        customer: &Customer,
        until: Millis,
    ) {
        if self.refused.len() >= MAX_REFUSED {
            return;
        }
        if let Some(key) = self.begin_wait(service, customer) {
            self.last_refused += 1;
            self.refused.insert((until, self.last_refused), key);
        }
    }

    /// Ends the waits of refused requests whose callers retry by now.
    pub fn expire(&mut self, now: Millis) {
        while let Some(first) = self.refused.first_entry()
            && first.key().0 <= now
        {
            let key = first.remove();
            self.end_wait(key);
        }
    }

    /// Applies new terms.
    pub fn set_terms(&mut self, terms: Arc<TermsTable>) {
        self.terms = terms;
        for pair in self.pairs.values_mut() {
            let histogram = &mut self.services[pair.service].histogram;
            histogram.remove(pair.demand(), pair.weight);
            pair.weight = self.terms.get(&pair.customer).weight();
            histogram.add(pair.demand(), pair.weight);
        }
    }

    /// Returns the weight of a customer.
    pub fn weight(&self, customer: &Customer) -> u32 {
        self.terms.get(customer).weight()
    }

    /// Returns the number of slots of a service that a customer uses.
    pub fn slots(&self, service: &str, customer: &Customer) -> u32 {
        let Some(service) = self.services.get_index_of(service) else {
            return 0;
        };
        let key = self.by_name.get(&(service, customer.clone()));
        let pair = key.and_then(|key| self.pairs.get(*key));
        pair.map_or(0, |pair| pair.slots)
    }

    /// Returns the customers of a service by slots in use or waited for.
    pub fn histogram(&self, service: &str) -> UseHistogram {
        let service = self.services.get(service);
        service.map_or_else(UseHistogram::default, |counts| counts.histogram)
    }

    /// Returns the names of the services that were used, at most 64.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }

    /// Returns the number of slots that all customers use.
    pub fn slots_in_use(&self) -> u64 {
        let services = self.services.values();
        let shards = services.flat_map(|counts| &counts.shards);
        shards.map(|shard| u64::from(shard.slots)).sum()
    }

    /// Returns the shard of a customer.
    pub fn shard_of(&self, customer: &Customer) -> usize {
        (self.shard_of)(customer) % SHARD_COUNT
    }

    /// Returns the `count` pairs with the most slots in use or waited for.
    pub fn largest(&self, count: usize) -> Vec<PairUse> {
        self.largest_of(0..SHARD_COUNT, count)
    }

    /// Returns the largest pairs of some shards, and the sums of the other
    /// pairs for the services with the most of them.
    pub fn report(&self, shards: &[usize]) -> (Vec<PairUse>, Vec<RestUse>) {
        let largest = self.largest_of(shards.iter().copied(), MAX_PAIRS);
        let mut rest = Vec::new();
        for (service, counts) in &self.services {
            let named = largest.iter().filter(|pair| pair.service == *service);
            let shards = shards.iter().filter_map(|at| counts.shards.get(*at));
            let mut sum = RestUse {
                service: service.clone(),
                slots: 0,
                waiting: 0,
                customers: 0,
            };
            for shard in shards {
                sum.slots += shard.slots;
                sum.waiting += shard.waiting;
                sum.customers += shard.customers;
            }
            for pair in named {
                sum.slots -= pair.slots;
                sum.waiting -= pair.waiting;
                sum.customers -= 1;
            }
            if sum.customers > 0 {
                rest.push(sum);
            }
        }
        rest.sort_unstable_by_key(|rest| std::cmp::Reverse(rest.demand()));
        rest.truncate(MAX_SERVICES_SENT);
        (largest, rest)
    }

    fn largest_of(
        &self,
        shards: impl IntoIterator<Item = usize>,
        count: usize,
    ) -> Vec<PairUse> {
        let shards =
            shards.into_iter().filter_map(|at| self.by_demand.get(at));
        let mut largest: Vec<(u32, PairKey)> = shards
            .flat_map(|pairs| pairs.iter().rev().take(count).copied())
            .collect();
        largest.sort_unstable_by(|a, b| b.cmp(a));
        let largest = largest.into_iter().take(count);
        let pairs = largest.filter_map(|(_, key)| self.pairs.get(key));
        let named = pairs.map(|pair| PairUse {
            service: self
                .services
                .get_index(pair.service)
                .map_or_else(String::new, |(name, _)| name.clone()),
            customer: pair.customer.clone(),
            slots: pair.slots,
            waiting: pair.waiting,
        });
        named.collect()
    }

    fn service_index(&mut self, service: &str) -> Option<usize> {
        if let Some(index) = self.services.get_index_of(service) {
            return Some(index);
        }
        if self.services.len() >= MAX_SERVICES {
            return None;
        }
        let counts = ServiceCounts::default();
        Some(self.services.insert_full(service.to_owned(), counts).0)
    }

    fn pair_key(
        &mut self,
        service: &str,
        customer: &Customer,
    ) -> Option<PairKey> {
        let service = self.service_index(service)?;
        let name = (service, customer.clone());
        if let Some(key) = self.by_name.get(&name) {
            return Some(*key);
        }
        let key = self.pairs.insert(Pair {
            service,
            customer: customer.clone(),
            shard: self.shard_of(customer),
            slots: 0,
            waiting: 0,
            weight: self.terms.get(customer).weight(),
        });
        self.by_name.insert(name, key);
        Some(key)
    }

    /// Changes the counts of a pair; one without any is removed.
    fn change(&mut self, key: PairKey, slots: i32, waiting: i32) {
        let Some(pair) = self.pairs.get_mut(key) else {
            return;
        };
        let (before, slots_before) = (pair.demand(), pair.slots);
        let waiting_before = pair.waiting;
        pair.slots = pair.slots.saturating_add_signed(slots);
        pair.waiting = pair.waiting.saturating_add_signed(waiting);
        let after = pair.demand();
        let counts = &mut self.services[pair.service];
        counts.histogram.remove(before, pair.weight);
        counts.histogram.add(after, pair.weight);
        let shard = &mut counts.shards[pair.shard];
        shard.slots = shard.slots - slots_before + pair.slots;
        shard.waiting = shard.waiting - waiting_before + pair.waiting;
        shard.customers -= u32::from(before > 0);
        shard.customers += u32::from(after > 0);
        let by_demand = &mut self.by_demand[pair.shard];
        by_demand.remove(&(before, key));
        if after > 0 {
            by_demand.insert((after, key));
        } else if let Some(pair) = self.pairs.remove(key) {
            self.by_name.swap_remove(&(pair.service, pair.customer));
        }
    }
}
