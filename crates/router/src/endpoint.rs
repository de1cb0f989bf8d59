use base::{EndpointName, Incarnation, Millis, VersionKey, stable_hash};
use slotmap::new_key_type;

use crate::{health::Health, router::PoolKey};

new_key_type! {
    /// Identifies one incarnation of one endpoint. Events with the key of an
    /// earlier incarnation are ignored.
    pub struct EndpointKey;
}

/// Weight of the latest call in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// Weight of the latest report in the moving average of the calls of other
/// entries. Without averaging, entries that all trust one late report move to
/// the same endpoint together, one after the other.
const OTHER_CALLS_WEIGHT: f64 = 0.5;

/// An endpoint as it appears in a list.
///
/// # Example
///
/// ```
/// use pomeloslip_router::ListedEndpoint;
///
/// let name: base::EndpointName = "korv-lm-1".parse()?;
/// let here = ListedEndpoint::new(name.clone(), true, "10.0.0.1:7000");
/// let moved = ListedEndpoint::new(name, true, "10.0.0.2:7000");
/// assert_ne!(here, moved);
/// # Ok::<(), base::IdError>(())
/// ```
#[derive(Clone, Debug, Eq, PartialEq, Hash)]
pub struct ListedEndpoint {
    pub(crate) name: EndpointName,
    pub(crate) same_domain: bool,
    pub(crate) address_hash: u64,
}

impl ListedEndpoint {
    /// Creates a listed endpoint; `same_domain` reports whether it is in the
    /// entry's own failure domain. The same name at another address is another
    /// endpoint.
    pub fn new(name: EndpointName, same_domain: bool, address: &str) -> Self {
        Self {
            name,
            same_domain,
            address_hash: stable_hash(&[address]),
        }
    }

    /// Returns its name.
    #[inline]
    pub fn name(&self) -> &EndpointName {
        &self.name
    }
}

/// State of an endpoint that its companion reports, in a response to a call or
/// to a probe.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EndpointReport {
    /// Number of running calls at the endpoint.
    pub running: u32,
    /// Number of calls that wait for it.
    pub waiting: u32,
    /// Recent time to the first token, in milliseconds; 0 if not reported.
    pub first_token_ms: u32,
    /// Whether the endpoint accepts no new work.
    pub leaving: bool,
    /// Whether the endpoint responds.
    pub up: bool,
    /// Incarnation of the companion.
    pub incarnation: Incarnation,
    /// Software version of the endpoint.
    pub version: VersionKey,
}

/// The last report and its use since then.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LastReport {
    /// Calls of other entries, a moving average over the last reports.
    pub(crate) other_calls: f64,
    pub(crate) waiting: u32,
    pub(crate) first_token_ms: u32,
    pub(crate) at: Millis,
    /// Number of choices that have used this report.
    pub(crate) uses: u32,
}

/// State of an endpoint for status pages and metrics.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointView {
    /// Key of its incarnation.
    pub key: EndpointKey,
    /// Its name.
    pub name: EndpointName,
    /// Number of this entry's in-flight calls.
    pub in_flight: u32,
    /// Whether it may be chosen.
    pub selectable: bool,
    /// Whether it accepts no new work.
    pub leaving: bool,
}

/// State of one incarnation of an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) listed: ListedEndpoint,
    pub(crate) pool: PoolKey,
    /// Hash of the name, by which prefixes rank endpoints; the same at all
    /// entries.
    pub(crate) name_hash: u64,
    pub(crate) in_flight: u32,
    pub(crate) incarnation: Option<Incarnation>,
    /// Software version of the incarnation, once it has been reported.
    pub(crate) version: Option<VersionKey>,
    pub(crate) leaving: bool,
    pub(crate) health: Health,
    pub(crate) last_report: Option<LastReport>,
    /// Moving average of the time to the first token of own calls, and of the
    /// load at which they were sent.
    pub(crate) latency_ms: f64,
    pub(crate) latency_load: f64,
    pub(crate) last_probed_at: Option<Millis>,
}

impl Endpoint {
    pub(crate) fn new(listed: ListedEndpoint, pool: PoolKey) -> Self {
        Self {
            name_hash: stable_hash(&[listed.name.as_str()]),
            listed,
            pool,
            in_flight: 0,
            incarnation: None,
            version: None,
            leaving: false,
            health: Health::default(),
            last_report: None,
            latency_ms: 0.0,
            latency_load: 0.0,
            last_probed_at: None,
        }
    }

    /// Reports whether the endpoint is not known to run another version.
    pub(crate) fn may_run(&self, version: Option<VersionKey>) -> bool {
        match (version, self.version) {
            (Some(wanted), Some(known)) => wanted == known,
            _ => true,
        }
    }

    pub(crate) fn is_selectable(&self) -> bool {
        !self.leaving && self.health.is_selectable(self.in_flight)
    }

    /// Returns the estimated number of requests at the endpoint: the own ones,
    /// which are counted exactly, and those of others from a fresh report.
    pub(crate) fn load(&self, now: Millis, max_age_ms: u64) -> f64 {
        let own_requests = f64::from(self.in_flight);
        self.fresh(now, max_age_ms)
            .map_or(own_requests, |last_report| {
                own_requests + last_report.other_calls
            })
    }

    /// Reports whether calls were waiting at the time of the last fresh
    /// report.
    pub(crate) fn is_queueing(&self, now: Millis, max_age_ms: u64) -> bool {
        self.fresh(now, max_age_ms)
            .is_some_and(|last_report| last_report.waiting > 0)
    }

    fn fresh(&self, now: Millis, max_age_ms: u64) -> Option<&LastReport> {
        let last_report = self.last_report.as_ref();
        last_report.filter(|last_report| {
            now.saturating_ms_since(last_report.at) <= max_age_ms
        })
    }

    pub(crate) fn record(&mut self, report: &EndpointReport, now: Millis) {
        let requests = report.running + report.waiting;
        let other_calls = f64::from(requests.saturating_sub(self.in_flight));
        let before = self
            .last_report
            .as_ref()
            .map_or(other_calls, |last_report| last_report.other_calls);
        self.last_report = Some(LastReport {
            other_calls: before + OTHER_CALLS_WEIGHT * (other_calls - before),
            waiting: report.waiting,
            first_token_ms: report.first_token_ms,
            at: now,
            uses: 0,
        });
    }

    pub(crate) fn record_latency(&mut self, ms: u64, load: f64) {
        let ms = ms as f64;
        if self.latency_ms == 0.0 {
            (self.latency_ms, self.latency_load) = (ms, load);
            return;
        }
        self.latency_ms += LATENCY_WEIGHT * (ms - self.latency_ms);
        self.latency_load += LATENCY_WEIGHT * (load - self.latency_load);
    }

    /// Returns the estimated latency of a call at this load.
    pub(crate) fn latency_at(&self, load: f64) -> f64 {
        match &self.last_report {
            Some(last_report) if last_report.first_token_ms > 0 => {
                f64::from(last_report.first_token_ms)
            }
            _ => self.latency_ms * (load + 1.0) / (self.latency_load + 1.0),
        }
    }
}
