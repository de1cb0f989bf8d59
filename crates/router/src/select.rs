//! Selection of an endpoint from a pool.

use base::{Millis, VersionKey};
use slotmap::SlotMap;

use crate::{
    endpoint::{Endpoint, EndpointKey},
    options::{HealthPolicy, Policy, Probing, RouterOptions},
};

/// Criteria of one request for the selection of an endpoint.
///
/// # Example
///
/// ```
/// use pomeloslip_router::Query;
///
/// let query = Query::default().prefix(Some(17));
/// assert!(query.tried.is_empty());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Query<'a> {
    /// Hash of the prompt prefix.
    pub prefix: Option<u64>,
    /// Endpoints that must not be chosen again.
    pub tried: &'a [EndpointKey],
    /// The version that began the response, if a response is resumed.
    pub version: Option<VersionKey>,
}

impl<'a> Query<'a> {
    /// Sets the hash of the prompt prefix.
    pub fn prefix(self, prefix: Option<u64>) -> Self {
        Self { prefix, ..self }
    }

    /// Sets the version that began the response. Endpoints that have not
    /// reported their version yet may be chosen as well.
    pub fn version(self, version: Option<VersionKey>) -> Self {
        Self { version, ..self }
    }

    /// Sets the endpoints that must not be chosen again.
    pub fn tried(self, tried: &'a [EndpointKey]) -> Self {
        Self { tried, ..self }
    }
}

/// The result of a selection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The endpoint that the request goes to.
    pub endpoint: EndpointKey,
    /// Endpoints to probe along with the request.
    pub probes: Vec<EndpointKey>,
}

/// Pseudo-random number generator with one random number as its seed
/// (SplitMix64).
pub(crate) struct Draw(u64);

impl Draw {
    pub(crate) fn new(random: u64) -> Self {
        Self(random)
    }

    pub(crate) fn below(&mut self, count: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        ((u128::from(mix(self.0)) * count as u128) >> 64) as usize
    }
}

/// Mixes the bits of a number, so that consecutive numbers differ in all bits
/// (the SplitMix64 finalizer).
fn mix(number: u64) -> u64 {
    let z = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The endpoints of a pool at one moment.
pub(crate) struct Selection<'a> {
    pub(crate) options: &'a RouterOptions,
    pub(crate) endpoints: &'a SlotMap<EndpointKey, Endpoint>,
    pub(crate) now: Millis,
    /// Number of selections in this pool so far; the position of the round
    /// robin.
    pub(crate) selection_count: usize,
}

impl Selection<'_> {
    /// Chooses among all selectable endpoints. If there are none, chooses
    /// among the ejected ones: an endpoint that failed recently is better than
    /// none.
    pub(crate) fn choose(
        &self,
        members: &[EndpointKey],
        query: &Query<'_>,
        draw: &mut Draw,
    ) -> Option<EndpointKey> {
        let untried = || {
            let tried = |key: &EndpointKey| query.tried.contains(key);
            let may_run =
                |key: &EndpointKey| self.at(*key).may_run(query.version);
            let untried = members.iter().copied();
            untried.filter(move |key| !tried(key) && may_run(key))
        };
        let open: Vec<EndpointKey> = untried()
            .filter(|key| self.at(*key).is_selectable())
            .collect();
        if let Some(key) = self.choose_among(&open, query, draw) {
            return Some(key);
        }
        let ejected: Vec<EndpointKey> =
            untried().filter(|key| !self.at(*key).leaving).collect();
        self.choose_among(&ejected, query, draw)
    }

    fn choose_among(
        &self,
        open: &[EndpointKey],
        query: &Query<'_>,
        draw: &mut Draw,
    ) -> Option<EndpointKey> {
        let best = self.best_scores(open);
        if let Some(key) = self.by_prefix(&best, query.prefix) {
            return Some(key);
        }
        let (near, far): (Vec<_>, Vec<_>) = best
            .into_iter()
            .partition(|key| self.at(*key).listed.same_domain);
        let near = self.pick(&near, draw);
        let far = self.pick(&far, draw);
        match (near, far) {
            (Some(near), Some(far)) => Some(self.prefer_near(near, far)),
            (near, far) => near.or(far),
        }
    }

    /// Prefers the own failure domain, unless its endpoint is more loaded by
    /// more than the penalty.
    fn prefer_near(&self, near: EndpointKey, far: EndpointKey) -> EndpointKey {
        let penalty = f64::from(self.options.other_domain_penalty);
        let spills = self.load(far) + penalty < self.load(near);
        if spills { far } else { near }
    }

    fn best_scores(&self, open: &[EndpointKey]) -> Vec<EndpointKey> {
        if !matches!(self.options.health, HealthPolicy::Score { .. }) {
            return open.to_vec();
        }
        let score = |key: &EndpointKey| self.at(*key).health.score();
        let best = open.iter().map(score).max();
        open.iter()
            .copied()
            .filter(|key| Some(score(key)) == best)
            .collect()
    }

    fn pick(
        &self,
        set: &[EndpointKey],
        draw: &mut Draw,
    ) -> Option<EndpointKey> {
        if set.is_empty() {
            return None;
        }
        match &self.options.policy {
            Policy::Random => Some(set[draw.below(set.len())]),
            Policy::RoundRobin => Some(set[self.selection_count % set.len()]),
            Policy::PowerOfTwoChoices => {
                Some(self.power_of_two_choices(set, draw))
            }
            Policy::Probing(probing) => self
                .by_reports(set, probing)
                .or_else(|| Some(self.power_of_two_choices(set, draw))),
        }
    }

    fn power_of_two_choices(
        &self,
        set: &[EndpointKey],
        draw: &mut Draw,
    ) -> EndpointKey {
        let first = draw.below(set.len());
        if set.len() == 1 {
            return set[first];
        }
        let other = draw.below(set.len() - 1);
        let second = if other >= first { other + 1 } else { other };
        let (first, second) = (set[first], set[second]);
        if self.load(second) < self.load(first) {
            second
        } else {
            first
        }
    }

    /// Returns the first endpoint in the prefix's order that is not overloaded
    /// (bounded loads) and has no queue, because waiting costs more than a
    /// cached prefix saves. Failure domains are ignored here: a cached prefix
    /// saves far more than the network path to another domain costs.
    fn by_prefix(
        &self,
        set: &[EndpointKey],
        prefix: Option<u64>,
    ) -> Option<EndpointKey> {
        let affinity = self.options.affinity.as_ref()?;
        let prefix = prefix?;
        let sum: f64 = set.iter().map(|key| self.load(*key)).sum();
        let mean = (sum + 1.0) / set.len() as f64;
        let limit = (mean * affinity.bound).ceil();
        let max_age_ms = self.options.queue_max_age_ms;
        set.iter()
            .copied()
            .filter(|key| self.load(*key) + 1.0 <= limit)
            .filter(|key| !self.at(*key).is_queueing(self.now, max_age_ms))
            .max_by_key(|key| mix(self.at(*key).name_hash ^ prefix))
    }

    fn by_reports(
        &self,
        set: &[EndpointKey],
        probing: &Probing,
    ) -> Option<EndpointKey> {
        let mut fresh: Vec<(EndpointKey, f64)> = set
            .iter()
            .copied()
            .filter(|key| self.is_fresh(*key, probing))
            .map(|key| (key, self.load(key)))
            .collect();
        if fresh.len() < 2 {
            return None;
        }
        fresh.sort_by(|a, b| a.1.total_cmp(&b.1));
        let last = (fresh.len() - 1) as f64;
        let hot = fresh[(last * probing.hot_quantile) as usize].1;
        let cold = fresh.into_iter().filter(|(_, load)| *load <= hot);
        let latency =
            |(key, load): &(EndpointKey, f64)| self.at(*key).latency_at(*load);
        cold.min_by(|a, b| {
            let by_latency = latency(a).total_cmp(&latency(b));
            by_latency.then(a.1.total_cmp(&b.1))
        })
        .map(|(key, _)| key)
    }

    fn is_fresh(&self, key: EndpointKey, probing: &Probing) -> bool {
        self.at(key)
            .last_report
            .as_ref()
            .is_some_and(|last_report| {
                let age_ms = self.now.saturating_ms_since(last_report.at);
                last_report.uses < probing.uses && age_ms <= probing.max_age_ms
            })
    }

    fn load(&self, key: EndpointKey) -> f64 {
        let max_age_ms = self.options.report_max_age_ms;
        self.at(key).load(self.now, max_age_ms)
    }

    fn at(&self, key: EndpointKey) -> &Endpoint {
        &self.endpoints[key]
    }
}
