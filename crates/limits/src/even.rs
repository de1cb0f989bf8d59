use base::{Customer, Millis, mix, stable_hash};
use indexmap::IndexMap;

use crate::{
    FleetLimiter, LimitAction, LimitDecision, LimitNodes, OverLimit,
    QuotaPermit, RateLimit, Ticket, TokenBucket, TokenResponse, Tolerance,
    front_count::FrontCount,
};

/// Gives each front an even part of each limit, without a message.
///
/// The simplest way, and the measure for others: callers come unevenly, and
/// a customer with a few requests a second over many fronts has less than
/// one at each of them.
///
/// # Example
///
/// ```
/// use base::{Customer, Millis};
/// use pomeloslip_limits::{
///     Tolerance, RateLimit, EvenSplit, FleetLimiter, LimitAction, LimitNodes,
///     Ticket, LimitDecision,
/// };
///
/// let now = Millis::new(0);
/// let mut way = EvenSplit::new("f1", Tolerance::default());
/// let fronts = vec!["f1".to_owned(), "f2".to_owned()];
/// way.set_nodes(&LimitNodes { fronts, ..LimitNodes::default() }, now);
/// let customer: Customer = "alama".parse().expect("a name");
/// let limit = RateLimit::try_new(2.0, 2).expect("a limit");
/// way.request(Ticket(1), &customer, limit, now);
/// let actions = way.take_actions();
/// assert!(matches!(
///     actions[..],
///     [LimitAction::Decide { decision: LimitDecision::OverLimit(_), .. }]
/// ));
/// ```
#[derive(Debug)]
pub struct EvenSplit {
    /// Hash of the name of this front.
    node: u64,
    is_listed: bool,
    tolerance: Tolerance,
    fronts: FrontCount,
    buckets: IndexMap<Customer, (RateLimit, u32, TokenBucket)>,
    actions: Vec<LimitAction>,
}

impl EvenSplit {
    /// Starts with empty buckets: what an earlier process of this front let
    /// through is not known.
    pub fn new(node: &str, tolerance: Tolerance) -> Self {
        Self {
            node: stable_hash(&[node]),
            is_listed: false,
            tolerance,
            fronts: FrontCount::default(),
            buckets: IndexMap::new(),
            actions: Vec::new(),
        }
    }
}

/// When to come back where this front has no part at all, in milliseconds:
/// the next try reaches another one.
const NEVER_MS: u64 = 1_000;

impl EvenSplit {
    /// Returns the whole requests of this front's part of a burst. Parts are
    /// rounded by chance, so that they add up over the fronts.
    fn burst_tokens(
        &self,
        customer: &Customer,
        limit: RateLimit,
        fronts: u32,
    ) -> u32 {
        let part = self.tolerance.burst_tokens(limit) / f64::from(fronts);
        let name = stable_hash(&[customer.as_str()]);
        let chance = mix(name ^ self.node) as f64 / u64::MAX as f64;
        (part + chance).floor() as u32
    }
}

impl FleetLimiter for EvenSplit {
    fn set_nodes(&mut self, nodes: &LimitNodes, now: Millis) {
        self.fronts.observe(&nodes.fronts, now);
        let own = |front: &String| stable_hash(&[front]) == self.node;
        self.is_listed |= nodes.fronts.iter().any(own);
    }

    fn request(
        &mut self,
        ticket: Ticket,
        customer: &Customer,
        limit: RateLimit,
        now: Millis,
    ) {
        let fronts = self.fronts.get();
        let rate = limit.per_s() / f64::from(fronts);
        let burst_tokens = self.burst_tokens(customer, limit, fronts);
        let entry = self.buckets.entry(customer.clone());
        let (known, parts, bucket) = entry.or_insert_with(|| {
            (limit, fronts, TokenBucket::empty(rate, burst_tokens, now))
        });
        if *known != limit || *parts != fronts {
            (*known, *parts) = (limit, fronts);
            bucket.set(rate, burst_tokens, now);
        }
        let decision = match bucket.try_take(now) {
            _ if burst_tokens == 0 || !self.is_listed => {
                LimitDecision::OverLimit(OverLimit::new(NEVER_MS))
            }
            Ok(()) => LimitDecision::Admitted(QuotaPermit::new()),
            Err(over) => LimitDecision::OverLimit(over),
        };
        self.actions.push(LimitAction::Decide { ticket, decision });
    }

    fn receive(&mut self, _: &str, _: &TokenResponse, _: Millis) {}

    fn tick(&mut self, now: Millis) {
        self.fronts.tick(now);
    }

    fn next_tick(&self) -> Option<Millis> {
        None
    }

    fn take_actions(&mut self) -> Vec<LimitAction> {
        std::mem::take(&mut self.actions)
    }
}
