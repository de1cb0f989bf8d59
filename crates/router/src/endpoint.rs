use base::{EndpointName, Incarnation, Millis, stable_hash};
use slotmap::new_key_type;

use crate::{health::Health, router::PoolKey};

new_key_type! {
    /// Names one life of one endpoint. The key of an earlier life is
    /// unknown to the router, and events about it change nothing.
    pub struct EndpointKey;
}

/// Weight of the latest call in the mean latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// Weight of the latest report in the mean of what others send. Entries that
/// all believe one late report run to the same endpoint in turns.
const OTHERS_WEIGHT: f64 = 0.5;

/// An endpoint as a list shows it.
///
/// # Example
///
/// ```
/// use pomeloslip_router::Listed;
///
/// let name: base::EndpointName = "korv-lm-1".parse()?;
/// let here = Listed::new(name.clone(), true, "10.0.0.1:7000");
/// let moved = Listed::new(name, true, "10.0.0.2:7000");
/// assert_ne!(here, moved);
/// # Ok::<(), base::IdError>(())
/// ```
#[derive(Clone, Debug, Eq, PartialEq, Hash)]
pub struct Listed {
    pub(crate) name: EndpointName,
    pub(crate) near: bool,
    pub(crate) address_hash: u64,
}

impl Listed {
    /// Makes an endpoint; `near` says that it is in the entry's own failure
    /// domain. The same name at another address is another endpoint.
    pub fn new(name: EndpointName, near: bool, address: &str) -> Self {
        Self {
            name,
            near,
            address_hash: stable_hash(&[address]),
        }
    }

    /// Returns its name.
    #[inline]
    pub fn name(&self) -> &EndpointName {
        &self.name
    }
}

/// What a companion says of its endpoint, in an answer or to a probe.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Calls that run at the endpoint.
    pub running: u32,
    /// Calls that wait for it.
    pub waiting: u32,
    /// Recent time to the first token, in milliseconds; 0 if not told.
    pub first_token_ms: u32,
    /// Set when it takes no new work.
    pub leaving: bool,
    /// Set when it answers.
    pub up: bool,
    /// Life of the companion.
    pub incarnation: Incarnation,
}

/// A report and what followed it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Seen {
    /// Calls of other entries, a mean over the last reports.
    pub(crate) others: f64,
    pub(crate) waiting: u32,
    pub(crate) first_token_ms: u32,
    pub(crate) at: Millis,
    /// Choices that it has served.
    pub(crate) uses: u32,
}

/// An endpoint for people and metrics.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointView {
    /// Names its life.
    pub key: EndpointKey,
    /// Its name.
    pub name: EndpointName,
    /// Own calls in flight.
    pub in_flight: u32,
    /// Whether it may be chosen.
    pub open: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// All that is known of one life of an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) listed: Listed,
    pub(crate) pool: PoolKey,
    /// Place in the order of prefixes, the same at all entries.
    pub(crate) name_hash: u64,
    pub(crate) in_flight: u32,
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) leaving: bool,
    pub(crate) health: Health,
    pub(crate) seen: Option<Seen>,
    /// Mean time to the first token of own calls, and the load at which
    /// they were sent.
    pub(crate) latency_ms: f64,
    pub(crate) latency_load: f64,
    pub(crate) probed: Option<Millis>,
}

impl Endpoint {
    pub(crate) fn new(listed: Listed, pool: PoolKey) -> Self {
        Self {
            name_hash: stable_hash(&[listed.name.as_str()]),
            listed,
            pool,
            in_flight: 0,
            incarnation: None,
            leaving: false,
            health: Health::default(),
            seen: None,
            latency_ms: 0.0,
            latency_load: 0.0,
            probed: None,
        }
    }

    pub(crate) fn is_open(&self) -> bool {
        !self.leaving && self.health.is_open(self.in_flight)
    }

    /// Returns the requests that the endpoint probably has: the own ones,
    /// which are known exactly, and those of others by a fresh report.
    pub(crate) fn load(&self, now: Millis, max_age_ms: u64) -> f64 {
        let own = f64::from(self.in_flight);
        self.fresh(now, max_age_ms)
            .map_or(own, |seen| own + seen.others)
    }

    /// Tells whether calls waited at the last fresh report.
    pub(crate) fn is_queueing(&self, now: Millis, max_age_ms: u64) -> bool {
        self.fresh(now, max_age_ms)
            .is_some_and(|seen| seen.waiting > 0)
    }

    fn fresh(&self, now: Millis, max_age_ms: u64) -> Option<&Seen> {
        let seen = self.seen.as_ref();
        seen.filter(|seen| now.saturating_ms_since(seen.at) <= max_age_ms)
    }

    pub(crate) fn note(&mut self, report: &Report, now: Millis) {
        let requests = report.running + report.waiting;
        let others = f64::from(requests.saturating_sub(self.in_flight));
        let before = self.seen.as_ref().map_or(others, |seen| seen.others);
        self.seen = Some(Seen {
            others: before + OTHERS_WEIGHT * (others - before),
            waiting: report.waiting,
            first_token_ms: report.first_token_ms,
            at: now,
            uses: 0,
        });
    }

    pub(crate) fn note_latency(&mut self, ms: u64, load: f64) {
        let ms = ms as f64;
        if self.latency_ms == 0.0 {
            (self.latency_ms, self.latency_load) = (ms, load);
            return;
        }
        self.latency_ms += LATENCY_WEIGHT * (ms - self.latency_ms);
        self.latency_load += LATENCY_WEIGHT * (load - self.latency_load);
    }

    /// Returns the latency that a call would probably see at this load.
    pub(crate) fn latency_at(&self, load: f64) -> f64 {
        match &self.seen {
            Some(seen) if seen.first_token_ms > 0 => {
                f64::from(seen.first_token_ms)
            }
            _ => self.latency_ms * (load + 1.0) / (self.latency_load + 1.0),
        }
    }
}
