use std::{collections::BTreeSet, sync::Arc};

use base::{Customer, Millis};
use indexmap::IndexMap;
use slotmap::{SlotMap, new_key_type};

use crate::{
    MAX_PAIRS, MAX_SERVICES_SENT, PairUse, ServiceUse, TermsTable,
    UseHistogram, UseReport, UseTotals, VALID_MS, message::MAX_SLOTS,
};

new_key_type! {
    struct ServiceKey;
    struct TotalKey;
}

/// Maximum number of pairs of service and customer with totals. The smallest
/// is evicted for a larger one.
const MAX_TOTALS: usize = 1_024;

/// Maximum number of services.
const MAX_SERVICES: usize = 64;

/// Maximum number of fronts whose reports count.
const MAX_FRONTS: usize = 4_096;

/// Minimum number of slots of a customer that is sent to fronts that do not
/// name it. Fewer change by more than the tolerance of 25 percent within a
/// second by chance (by their square root): with all sizes, 90 instead of 31
/// of 14,512 requests of small customers were refused over the share.
const MIN_LARGEST_SLOTS: u32 = 16;

/// Adds up the slots that customers use or wait for, as fronts report them.
///
/// A report replaces the earlier one of its front, and counts for
/// [`VALID_MS`]. The cost of a report depends only on its own size.
///
/// # Example
///
/// ```
/// use std::sync::Arc;
///
/// use base::Millis;
/// use pomeloslip_share::{PairUse, TermsTable, UseReport, UseServer};
///
/// let mut server = UseServer::new("w1", Arc::new(TermsTable::default()));
/// let report = |front: &str, slots| UseReport {
///     front: front.to_owned(),
///     incarnation: 1,
///     sequence: 1,
///     in_use: vec![PairUse {
///         service: "llm".to_owned(),
///         customer: "acme".parse().expect("a name"),
///         slots,
///         waiting: 0,
///     }],
///     rest: Vec::new(),
/// };
/// let now = Millis::new(0);
/// server.handle(&report("f1", 3), now).expect("valid");
/// let totals = server.handle(&report("f2", 4), now).expect("valid");
/// assert_eq!(totals.totals, [7]);
/// ```
#[derive(Debug)]
pub struct UseServer {
    node: String,
    terms: Arc<TermsTable>,
    fronts: IndexMap<String, FrontUse>,
    /// Times of the reports, earliest first.
    reported: BTreeSet<(Millis, String)>,
    services: SlotMap<ServiceKey, ServiceTotals>,
    totals: SlotMap<TotalKey, Total>,
    by_name: IndexMap<(ServiceKey, Customer), TotalKey>,
    by_demand: BTreeSet<(u32, TotalKey)>,
}

/// The latest report of one front.
#[derive(Debug, Default)]
struct FrontUse {
    incarnation: u64,
    sequence: u64,
    at: Millis,
    pairs: Vec<(TotalKey, Demand)>,
    rest: Vec<(ServiceKey, u32, u32)>,
}

#[derive(Debug)]
struct ServiceTotals {
    name: String,
    histogram: UseHistogram,
}

/// Slots in use, and requests that wait for one.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    slots: u32,
    waiting: u32,
}

impl Demand {
    fn get(self) -> u32 {
        self.slots.saturating_add(self.waiting)
    }

    fn plus(self, other: Self) -> Self {
        Self {
            slots: self.slots.saturating_add(other.slots),
            waiting: self.waiting.saturating_add(other.waiting),
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            slots: self.slots.saturating_sub(other.slots),
            waiting: self.waiting.saturating_sub(other.waiting),
        }
    }
}

#[derive(Debug)]
struct Total {
    service: ServiceKey,
    customer: Customer,
    demand: Demand,
    weight: u32,
}

impl UseServer {
    /// Creates a server without reports.
    pub fn new(node: &str, terms: Arc<TermsTable>) -> Self {
        Self {
            node: node.to_owned(),
            terms,
            fronts: IndexMap::new(),
            reported: BTreeSet::new(),
            services: SlotMap::with_key(),
            totals: SlotMap::with_key(),
            by_name: IndexMap::new(),
            by_demand: BTreeSet::new(),
        }
    }

    /// Applies new terms.
    pub fn set_terms(&mut self, terms: Arc<TermsTable>) {
        self.terms = terms;
        for total in self.totals.values_mut() {
            if let Some(service) = self.services.get_mut(total.service) {
                let demand = total.demand.get();
                service.histogram.remove(demand, total.weight);
                total.weight = self.terms.get(&total.customer).weight();
                service.histogram.add(demand, total.weight);
            }
        }
    }

    /// Handles the report of a front.
    ///
    /// Returns `None` if the report is out of range, or not newer than one
    /// that counts.
    pub fn handle(
        &mut self,
        report: &UseReport,
        now: Millis,
    ) -> Option<UseTotals> {
        if !report.is_valid() {
            return None;
        }
        self.expire(now);
        let order = (report.incarnation, report.sequence);
        match self.fronts.get(&report.front) {
            Some(known) if order <= (known.incarnation, known.sequence) => {
                return None;
            }
            None if self.fronts.len() >= MAX_FRONTS => return None,
            _ => {}
        }
        self.forget(&report.front);
        let totals = self.apply(report, now);
        Some(UseTotals {
            server: self.node.clone(),
            to_incarnation: report.incarnation,
            sequence: report.sequence,
            totals,
            largest: self.largest(),
            services: self.largest_services(),
        })
    }

    /// Returns the number of pairs with totals.
    pub fn len(&self) -> usize {
        self.totals.len()
    }

    /// Reports whether no pair has a total.
    pub fn is_empty(&self) -> bool {
        self.totals.is_empty()
    }

    fn apply(&mut self, report: &UseReport, now: Millis) -> Vec<u32> {
        let mut known = FrontUse {
            incarnation: report.incarnation,
            sequence: report.sequence,
            at: now,
            ..FrontUse::default()
        };
        let mut totals = Vec::with_capacity(report.in_use.len());
        for pair in &report.in_use {
            let Some(key) = self.total_key(pair) else {
                totals.push(pair.slots);
                continue;
            };
            let demand = Demand {
                slots: pair.slots,
                waiting: pair.waiting,
            };
            known.pairs.push((key, demand));
            totals.push(self.change(key, |total| total.plus(demand)));
        }
        for rest in &report.rest {
            if let Some(key) = self.service_key(&rest.service) {
                known.rest.push((key, rest.demand(), rest.customers));
                let histogram = &mut self.services[key].histogram;
                histogram.add_rest(rest.demand(), rest.customers);
            }
        }
        self.reported.insert((now, report.front.clone()));
        self.fronts.insert(report.front.clone(), known);
        totals
    }

    /// Removes the report of a front from all sums.
    fn forget(&mut self, front: &str) {
        let Some(known) = self.fronts.swap_remove(front) else {
            return;
        };
        self.reported.remove(&(known.at, front.to_owned()));
        for (key, demand) in known.pairs {
            self.change(key, |total| total.minus(demand));
        }
        for (key, demand, customers) in known.rest {
            if let Some(service) = self.services.get_mut(key) {
                service.histogram.remove_rest(demand, customers);
            }
        }
    }

    fn expire(&mut self, now: Millis) {
        while let Some((at, front)) = self.reported.first()
            && now.saturating_ms_since(*at) > VALID_MS
        {
            let front = front.clone();
            self.forget(&front);
        }
    }

    /// Returns the largest pairs, if they are large. Sums beyond the range of a message are not
    /// those of a fleet.
    fn largest(&self) -> Vec<PairUse> {
        let largest = self.by_demand.iter().rev().take(MAX_PAIRS);
        let totals = largest.filter_map(|(_, key)| self.totals.get(*key));
        let large =
            totals.filter(|total| total.demand.slots >= MIN_LARGEST_SLOTS);
        let pairs = large.filter_map(|total| {
            Some(PairUse {
                service: self.services.get(total.service)?.name.clone(),
                customer: total.customer.clone(),
                slots: total.demand.slots.min(MAX_SLOTS),
                waiting: total.demand.waiting.min(MAX_SLOTS),
            })
        });
        pairs.collect()
    }

    fn largest_services(&self) -> Vec<ServiceUse> {
        let mut all: Vec<&ServiceTotals> = self
            .services
            .values()
            .filter(|service| service.histogram.demand() > 0)
            .collect();
        all.sort_unstable_by_key(|service| {
            std::cmp::Reverse(service.histogram.demand())
        });
        let largest = all.into_iter().take(MAX_SERVICES_SENT);
        let sums = largest.map(|service| ServiceUse {
            service: service.name.clone(),
            histogram: service.histogram,
        });
        sums.collect()
    }

    /// Returns the key of a service; `None` if too many are in use.
    fn service_key(&mut self, name: &str) -> Option<ServiceKey> {
        let mut all = self.services.iter();
        if let Some((key, _)) = all.find(|(_, known)| known.name == name) {
            return Some(key);
        }
        if self.services.len() >= MAX_SERVICES {
            let mut all = self.services.iter();
            let (unused, _) =
                all.find(|(_, known)| known.histogram.demand() == 0)?;
            self.services.remove(unused);
        }
        Some(self.services.insert(ServiceTotals {
            name: name.to_owned(),
            histogram: UseHistogram::default(),
        }))
    }

    /// Returns the key of a pair; `None` if all known ones are at least as
    /// large.
    fn total_key(&mut self, pair: &PairUse) -> Option<TotalKey> {
        let service = self.service_key(&pair.service)?;
        let name = (service, pair.customer.clone());
        if let Some(key) = self.by_name.get(&name) {
            return Some(*key);
        }
        if self.totals.len() >= MAX_TOTALS {
            let (smallest, key) = *self.by_demand.first()?;
            if smallest >= pair.demand() {
                return None;
            }
            self.change(key, |_| Demand::default());
        }
        let key = self.totals.insert(Total {
            service,
            customer: pair.customer.clone(),
            demand: Demand::default(),
            weight: self.terms.get(&pair.customer).weight(),
        });
        self.by_name.insert(name, key);
        Some(key)
    }

    /// Changes a total and returns its slots in use; a pair without demand is
    /// removed.
    fn change(&mut self, key: TotalKey, to: impl Fn(Demand) -> Demand) -> u32 {
        let Some(total) = self.totals.get_mut(key) else {
            return 0;
        };
        let before = total.demand.get();
        total.demand = to(total.demand);
        let (after, slots) = (total.demand.get(), total.demand.slots);
        if let Some(service) = self.services.get_mut(total.service) {
            service.histogram.remove(before, total.weight);
            service.histogram.add(after, total.weight);
        }
        self.by_demand.remove(&(before, key));
        if after > 0 {
            self.by_demand.insert((after, key));
        } else if let Some(total) = self.totals.remove(key) {
            self.by_name.swap_remove(&(total.service, total.customer));
        }
        slots
    }
}
