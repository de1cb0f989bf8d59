use std::sync::Arc;

use base::{Customer, Millis};
use indexmap::IndexMap;

use crate::{
    PairKey, SHARD_COUNT, ShareLevel, SlotCounts, TermsTable, UseHistogram,
    UseReport, UseTotals, VALID_MS,
};

/// Numbers of slots of a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceSlots {
    /// All slots of the service.
    pub all: u64,
    /// The slots in the front's own share.
    pub own: u64,
}

/// The counts on which a decision is based.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShareBasis {
    /// The counts of all fronts, of the given age in milliseconds.
    Fleet(u64),
    /// The counts of this front only.
    Own,
}

/// Whether a customer is over its share of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareState {
    /// Number of slots that the customer uses.
    pub slots: u32,
    /// Weight of the customer.
    pub weight: u32,
    /// The level; `None` if the slots suffice for all.
    pub level: Option<ShareLevel>,
    /// The counts that were used.
    pub basis: ShareBasis,
}

impl ShareState {
    /// Reports whether the customer is over its share.
    pub fn is_over(&self) -> bool {
        let is_over =
            |level: ShareLevel| level.is_exceeded_by(self.slots, self.weight);
        self.level.is_some_and(is_over)
    }
}

/// Decides at one front whether customers are over their shares.
///
/// # Example
///
/// ```
/// use std::sync::Arc;
///
/// use base::{Customer, Millis};
/// use pomeloslip_share::{FrontShares, ServiceSlots, TermsTable};
///
/// let terms = Arc::new(TermsTable::default());
/// let mut front = FrontShares::new("f1", 1, |_| 0, terms);
/// let large: Customer = "large".parse().expect("a name");
/// let small: Customer = "small".parse().expect("a name");
/// for _ in 0..9 {
///     front.begin("llm", &large);
/// }
/// for _ in 0..3 {
///     front.begin("llm", &small);
/// }
/// let slots = ServiceSlots { all: 80, own: 8 };
/// let now = Millis::new(0);
/// assert!(front.state("llm", &large, slots, now).is_over());
/// assert!(!front.state("llm", &small, slots, now).is_over());
/// ```
#[derive(Debug)]
pub struct FrontShares {
    node: String,
    incarnation: u64,
    last_sequence: u64,
    counts: SlotCounts,
    /// The server of each shard.
    assigned: [Option<String>; SHARD_COUNT],
    servers: IndexMap<String, ServerView>,
}

/// What this front knows from one server.
#[derive(Debug, Default)]
struct ServerView {
    /// The last report: its number and the slots of its pairs.
    sent: u64,
    pairs: Vec<(String, Customer, u32)>,
    answered_at: Option<Millis>,
    /// The slots that the pairs of the last answered report, and the largest
    /// others, use at other fronts.
    others: IndexMap<Customer, Vec<(String, u32)>>,
    services: Vec<(String, UseHistogram)>,
}

impl ServerView {
    fn age_ms(&self, now: Millis) -> Option<u64> {
        let age_ms = now.saturating_ms_since(self.answered_at?);
        (age_ms <= VALID_MS).then_some(age_ms)
    }

    fn histogram(&self, service: &str) -> Option<&UseHistogram> {
        let mut services = self.services.iter();
        let found = services.find(|(name, _)| name == service);
        found.map(|(_, histogram)| histogram)
    }

    fn others(&self, service: &str, customer: &Customer) -> u32 {
        let pairs = self.others.get(customer).map_or(&[][..], Vec::as_slice);
        let mut pairs = pairs.iter();
        let found = pairs.find(|(name, _)| name == service);
        found.map_or(0, |(_, slots)| *slots)
    }
}

impl FrontShares {
    /// Creates the shares of a front; see [`SlotCounts::new`].
    pub fn new(
        node: &str,
        incarnation: u64,
        shard_of: fn(&Customer) -> usize,
        terms: Arc<TermsTable>,
    ) -> Self {
        Self {
            node: node.to_owned(),
            incarnation,
            last_sequence: 0,
            counts: SlotCounts::new(shard_of, terms),
            assigned: Default::default(),
            servers: IndexMap::new(),
        }
    }

    /// Returns the counts of this front.
    #[inline]
    pub fn counts(&self) -> &SlotCounts {
        &self.counts
    }

    /// Counts a slot from now on; see [`SlotCounts::begin`].
    pub fn begin(
        &mut self,
        service: &str,
        customer: &Customer,
    ) -> Option<PairKey> {
        self.counts.begin(service, customer)
    }

    /// Ends the use of a slot.
    pub fn end(&mut self, key: PairKey) {
        self.counts.end(key);
    }

    /// Counts a waiting request; see [`SlotCounts::begin_wait`].
    pub fn begin_wait(
        &mut self,
        service: &str,
        customer: &Customer,
    ) -> Option<PairKey> {
        self.counts.begin_wait(service, customer)
    }

    /// Ends the wait of a request.
    pub fn end_wait(&mut self, key: PairKey) {
        self.counts.end_wait(key);
    }

    /// Counts a refused request until its caller retries.
    pub fn refuse(
        &mut self,
        service: &str,
        customer: &Customer,
        until: Millis,
    ) {
        self.counts.refuse(service, customer, until);
    }

    /// Ends the waits of refused requests whose callers retry by now.
    pub fn expire(&mut self, now: Millis) {
        self.counts.expire(now);
    }

    /// Applies new terms.
    pub fn set_terms(&mut self, terms: Arc<TermsTable>) {
        self.counts.set_terms(terms);
    }

    /// Returns whether a customer is over its share of a service.
    pub fn state(
        &self,
        service: &str,
        customer: &Customer,
        slots: ServiceSlots,
        now: Millis,
    ) -> ShareState {
        let own = self.counts.slots(service, customer);
        let weight = self.counts.weight(customer);
        let (all, basis) = self.histogram(service, now);
        let others = match basis {
            ShareBasis::Fleet(_) => self.others(service, customer, now),
            ShareBasis::Own => 0,
        };
        // A customer that is alone takes nothing from others.
        let is_alone = all.weight() <= u64::from(weight);
        let level = level_of(&all, basis, slots).filter(|_| !is_alone);
        ShareState {
            slots: own.saturating_add(others),
            weight,
            level,
            basis,
        }
    }

    /// Returns the level of a service, and the counts that it is based on.
    pub fn level(
        &self,
        service: &str,
        slots: ServiceSlots,
        now: Millis,
    ) -> (Option<ShareLevel>, ShareBasis) {
        let (all, basis) = self.histogram(service, now);
        (level_of(&all, basis, slots), basis)
    }

    /// Returns the customers of a service at all fronts, or at this one if it
    /// has no recent counts of others.
    fn histogram(
        &self,
        service: &str,
        now: Millis,
    ) -> (UseHistogram, ShareBasis) {
        let mut all = UseHistogram::default();
        let mut newest_ms = None;
        for view in self.servers.values() {
            let known = view.age_ms(now).zip(view.histogram(service));
            if let Some((age_ms, histogram)) = known {
                all.merge(histogram);
                newest_ms = Some(newest_ms.unwrap_or(age_ms).min(age_ms));
            }
        }
        match newest_ms {
            Some(age_ms) => (all, ShareBasis::Fleet(age_ms)),
            None => (self.counts.histogram(service), ShareBasis::Own),
        }
    }

    /// Sets the servers that the shards are reported to, and returns the
    /// reports that are to be sent.
    pub fn reports(
        &mut self,
        assigned: [Option<String>; SHARD_COUNT],
    ) -> Vec<(String, UseReport)> {
        self.assigned = assigned;
        let assigned = &self.assigned;
        let is_assigned =
            |node: &String| assigned.iter().flatten().any(|to| to == node);
        self.servers.retain(|node, _| is_assigned(node));
        let mut shards: IndexMap<String, Vec<usize>> = IndexMap::new();
        for (shard, server) in self.assigned.iter().enumerate() {
            if let Some(server) = server {
                shards.entry(server.clone()).or_default().push(shard);
            }
        }
        let reports = shards.into_iter().map(|(server, shards)| {
            let report = self.report(&server, &shards);
            (server, report)
        });
        reports.collect()
    }

    fn report(&mut self, server: &str, shards: &[usize]) -> UseReport {
        self.last_sequence += 1;
        let (in_use, rest) = self.counts.report(shards);
        let view = self.servers.entry(server.to_owned()).or_default();
        view.sent = self.last_sequence;
        let pairs = in_use.iter();
        view.pairs = pairs
            .map(|p| (p.service.clone(), p.customer.clone(), p.slots))
            .collect();
        UseReport {
            front: self.node.clone(),
            incarnation: self.incarnation,
            sequence: self.last_sequence,
            in_use,
            rest,
        }
    }

    /// Handles the answer of a server; returns false if it is out of range.
    /// An answer to an earlier report is ignored.
    pub fn receive(
        &mut self,
        from: &str,
        answer: &UseTotals,
        now: Millis,
    ) -> bool {
        if !answer.is_valid() {
            return false;
        }
        let Some(view) = self.servers.get_mut(from) else {
            return true;
        };
        let is_latest = answer.server == from
            && answer.to_incarnation == self.incarnation
            && answer.sequence == view.sent;
        if !is_latest {
            return true;
        }
        if answer.totals.len() != view.pairs.len() {
            return false;
        }
        view.others.clear();
        let totals = view.pairs.iter().zip(&answer.totals);
        for ((service, customer, own), total) in totals {
            let others = total.saturating_sub(*own);
            let pairs = view.others.entry(customer.clone()).or_default();
            pairs.push((service.clone(), others));
        }
        for pair in &answer.largest {
            let pairs = view.others.entry(pair.customer.clone()).or_default();
            if pairs.iter().all(|(service, _)| *service != pair.service) {
                pairs.push((pair.service.clone(), pair.slots));
            }
        }
        let services = answer.services.iter();
        view.services = services
            .map(|sums| (sums.service.clone(), sums.histogram))
            .collect();
        view.answered_at = Some(now);
        true
    }

    fn others(&self, service: &str, customer: &Customer, now: Millis) -> u32 {
        let shard = self.counts.shard_of(customer);
        let server = self.assigned[shard].as_ref();
        let view = server.and_then(|server| self.servers.get(server));
        let fresh = view.filter(|view| view.age_ms(now).is_some());
        fresh.map_or(0, |view| view.others(service, customer))
    }
}

fn level_of(
    all: &UseHistogram,
    basis: ShareBasis,
    slots: ServiceSlots,
) -> Option<ShareLevel> {
    match basis {
        // The endpoints of the service are not known, or gone.
        ShareBasis::Fleet(_) if slots.all == 0 => None,
        ShareBasis::Fleet(_) => all.level(slots.all),
        // A front without slots of its own uses those of others, and cannot
        // tell which part of them is its share.
        ShareBasis::Own if slots.own == 0 => None,
        ShareBasis::Own => all.level(slots.own),
    }
}
