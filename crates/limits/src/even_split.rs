use base::{Customer, Millis, mix, stable_hash};
use indexmap::IndexMap;

use crate::{
    FleetLimiter, LimitAction, LimitDecision, LimitNodes, OverLimit,
    QuotaPermit, RateLimit, Ticket, TokenBucket, TokenResponse, Tolerance,
    front_count::FrontCount,
};

/// Splits each limit evenly over the fronts, without messages.
///
/// This is the simplest limiter and the baseline for others. Callers are
/// spread unevenly, and a customer with a few requests per second over many
/// fronts has less than one at each of them.
///
/// # Example
///
/// ```
/// use base::{Customer, Millis};
/// use pomeloslip_limits::{
///     EvenSplit, FleetLimiter, LimitAction, LimitDecision, LimitNodes,
///     RateLimit, Ticket, Tolerance,
/// };
///
/// let now = Millis::new(0);
/// let mut limiter = EvenSplit::new("f1", Tolerance::default());
/// let fronts = vec!["f1".to_owned(), "f2".to_owned()];
/// limiter.set_nodes(&LimitNodes { fronts, ..LimitNodes::default() }, now);
/// let customer: Customer = "alama".parse().expect("a valid name");
/// let limit = RateLimit::try_new(2.0, 2).expect("a valid limit");
/// limiter.request(Ticket(1), &customer, limit, now);
/// let actions = limiter.take_actions();
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
    /// Creates a limiter with empty buckets, since the requests that an
    /// earlier process of this front admitted are unknown.
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

/// Retry delay at a front without any share of the limit, in milliseconds. The
/// next attempt reaches another front.
const NO_SHARE_RETRY_MS: u64 = 1_000;

impl EvenSplit {
    /// Returns this front's share of a burst in whole requests. The rounding
    /// is pseudorandom per customer and front, so that the shares add up over
    /// the fronts.
    fn burst_tokens(
        &self,
        customer: &Customer,
        limit: RateLimit,
        fronts: u32,
    ) -> u32 {
        let share = self.tolerance.burst_tokens(limit) / f64::from(fronts);
        let name = stable_hash(&[customer.as_str()]);
        let dither = mix(name ^ self.node) as f64 / u64::MAX as f64;
        (share + dither).floor() as u32
    }
}

impl FleetLimiter for EvenSplit {
    fn set_nodes(&mut self, nodes: &LimitNodes, now: Millis) {
        self.fronts.observe(&nodes.fronts, now);
        let is_own = |front: &String| stable_hash(&[front]) == self.node;
        self.is_listed |= nodes.fronts.iter().any(is_own);
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
        let (known_limit, known_fronts, bucket) = entry.or_insert_with(|| {
            (limit, fronts, TokenBucket::empty(rate, burst_tokens, now))
        });
        if *known_limit != limit || *known_fronts != fronts {
            (*known_limit, *known_fronts) = (limit, fronts);
            bucket.set(rate, burst_tokens, now);
        }
        let decision = match bucket.try_take(now) {
            _ if burst_tokens == 0 || !self.is_listed => {
                LimitDecision::OverLimit(OverLimit::new(NO_SHARE_RETRY_MS))
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
