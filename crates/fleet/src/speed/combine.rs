//! Combination of the estimates of several nodes.

use base::Millis;
use indexmap::IndexMap;

use super::{SpeedEstimate, endpoint::COMBINED_TTL_MS};
use crate::IncarnationKey;

/// Maximum weight of one node's estimate, in samples.
pub const MAX_REPORT_SAMPLES: u32 = 32;

/// Maximum number of endpoints with reports: four times the endpoints that a
/// worker is assigned in the largest fleet of the design.
const MAX_ENDPOINTS: usize = 1_024;

/// Maximum number of nodes whose reports on one endpoint are kept.
const MAX_NODES: usize = 64;

/// Number of endpoints whose reports are checked for expiry with each report.
const EXPIRY_CHECKS: usize = 2;

#[derive(Clone, Copy, Debug)]
struct SpeedReport {
    /// Hash of the reporting node's name.
    node: u64,
    estimate: SpeedEstimate,
    at: Millis,
}

impl SpeedReport {
    fn is_current(&self, now: Millis) -> bool {
        now.saturating_ms_since(self.at) <= COMBINED_TTL_MS
    }
}

/// Reports of several nodes on the speed of endpoints.
///
/// # Example
///
/// ```
/// use base::Millis;
/// use pomeloslip_fleet::{
///     Endpoint, EndpointRecord, EndpointState, SpeedEstimate, SpeedReports,
/// };
///
/// # let endpoint = Endpoint::new(EndpointRecord {
/// #     id: "e1".to_owned(),
/// #     started_at: None,
/// #     version: None,
/// #     address: ([127, 0, 0, 1], 80).into(),
/// #     service: "engines".to_owned(),
/// #     failure_domain: "east".to_owned(),
/// #     slots: 8,
/// #     state: EndpointState::Ready,
/// # });
/// let key = endpoint.incarnation_key();
/// let estimate = SpeedEstimate {
///     low_us: Some(20_000),
///     high_us: None,
///     samples: 5,
/// };
/// let mut reports = SpeedReports::default();
/// reports.record("front-1", key, estimate, Millis::new(1));
/// let combined = reports.combined(key, None, Millis::new(2));
/// assert_eq!(combined.expect("reported").low_us, Some(20_000));
/// assert!(reports.combined(key, None, Millis::new(20_000)).is_none());
/// ```
#[derive(Debug, Default)]
pub struct SpeedReports {
    by_endpoint: IndexMap<IncarnationKey, Vec<SpeedReport>>,
    /// Position of the next endpoint that is checked for expiry.
    cursor: usize,
}

impl SpeedReports {
    /// Records the estimate of a node, which replaces its earlier one.
    /// Reports beyond the maximum numbers are dropped until others expire.
    pub fn record(
        &mut self,
        node: &str,
        endpoint: IncarnationKey,
        estimate: SpeedEstimate,
        now: Millis,
    ) {
        self.remove_expired(now);
        let is_known = self.by_endpoint.contains_key(&endpoint);
        if !is_known && self.by_endpoint.len() >= MAX_ENDPOINTS {
            return;
        }
        let report = SpeedReport {
            node: base::stable_hash(&[node]),
            estimate,
            at: now,
        };
        let reports = self.by_endpoint.entry(endpoint).or_default();
        reports.retain(|known| known.is_current(now));
        let known = reports.iter().position(|r| r.node == report.node);
        match known {
            Some(at) => reports[at] = report,
            None if reports.len() < MAX_NODES => reports.push(report),
            None => {}
        }
    }

    fn remove_expired(&mut self, now: Millis) {
        for _ in 0..EXPIRY_CHECKS {
            if self.cursor >= self.by_endpoint.len() {
                self.cursor = 0;
            }
            let Some((_, reports)) =
                self.by_endpoint.get_index_mut(self.cursor)
            else {
                return;
            };
            reports.retain(|report| report.is_current(now));
            match reports.is_empty() {
                true => {
                    self.by_endpoint.swap_remove_index(self.cursor);
                }
                false => self.cursor += 1,
            }
        }
    }

    /// Returns the number of endpoints with reports.
    pub fn len(&self) -> usize {
        self.by_endpoint.len()
    }

    /// Reports whether no endpoint has reports.
    pub fn is_empty(&self) -> bool {
        self.by_endpoint.is_empty()
    }

    /// Returns the median of the current reports on an endpoint and of the
    /// node's own estimate, weighted by their numbers of samples.
    pub fn combined(
        &self,
        endpoint: IncarnationKey,
        own: Option<SpeedEstimate>,
        now: Millis,
    ) -> Option<SpeedEstimate> {
        let reports = self.by_endpoint.get(&endpoint);
        let reports = reports.map_or(&[][..], Vec::as_slice).iter();
        let current = reports.filter(|report| report.is_current(now));
        let all: Vec<SpeedEstimate> =
            current.map(|report| report.estimate).chain(own).collect();
        let low_us = weighted_median(&all, |estimate| estimate.low_us);
        let high_us = weighted_median(&all, |estimate| estimate.high_us);
        let samples = all.iter().map(weight);
        let samples = samples.fold(0, u32::saturating_add);
        (low_us.is_some() || high_us.is_some()).then_some(SpeedEstimate {
            low_us,
            high_us,
            samples: samples.min(MAX_REPORT_SAMPLES),
        })
    }
}

fn weight(estimate: &SpeedEstimate) -> u32 {
    estimate.samples.min(MAX_REPORT_SAMPLES)
}

fn weighted_median(
    estimates: &[SpeedEstimate],
    interval: impl Fn(&SpeedEstimate) -> Option<u32>,
) -> Option<u32> {
    let known = estimates.iter();
    let mut known: Vec<(u32, u32)> = known
        .filter_map(|e| Some((interval(e)?, weight(e))))
        .collect();
    known.sort_unstable();
    let total: u32 = known.iter().map(|(_, weight)| weight).sum();
    let mut sum = 0;
    let middle = known.iter().find(|(_, weight)| {
        sum += weight;
        sum * 2 >= total
    });
    middle.map(|(interval_us, _)| *interval_us)
}
