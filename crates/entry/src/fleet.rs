//! The endpoints that this entry knows.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
};

use base::{EndpointName, FailureDomain, Incarnation, Millis, Snapshot};
use conf::settings::{StaticEndpoint, TimeoutSettings};
use error_stack::{Report, ResultExt};
use indexmap::IndexMap;
use upstream::EndpointClient;

use crate::EntryError;

/// How long an endpoint is passed over after a failure, in milliseconds.
const FAILURE_PAUSE_MS: u64 = 1_000;

/// How long an endpoint is passed over after it said that it leaves, in
/// milliseconds. Its companion refuses all work anyway; the pause saves the
/// asking. Afterwards a new process may live at the address.
const LEAVING_PAUSE_MS: u64 = 5_000;

/// How an endpoint is reached.
#[derive(Clone, Debug)]
pub(crate) enum Route {
    /// Through its companion.
    Companion(SocketAddr),
    /// Directly, for one that has no companion.
    Direct(Box<EndpointClient>),
}

impl Route {
    fn leads_to_same(&self, other: &Self) -> bool {
        match (self, other) {
            (Route::Companion(a), Route::Companion(b)) => a == b,
            (Route::Direct(a), Route::Direct(b)) => a.address() == b.address(),
            _ => false,
        }
    }
}

/// One endpoint with what this entry knows of it by its own calls.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) name: EndpointName,
    pub(crate) pool: String,
    pub(crate) failure_domain: FailureDomain,
    pub(crate) route: Route,
    in_flight: AtomicU32,
    paused_until_ms: AtomicU64,
    incarnation: AtomicU64,
}

impl Endpoint {
    pub(crate) fn new(
        name: EndpointName,
        pool: String,
        failure_domain: FailureDomain,
        route: Route,
    ) -> Self {
        Self {
            name,
            pool,
            failure_domain,
            route,
            in_flight: AtomicU32::new(0),
            paused_until_ms: AtomicU64::new(0),
            incarnation: AtomicU64::new(0),
        }
    }

    /// Counts a call until the result is dropped.
    pub(crate) fn begin(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlight(self.clone())
    }

    /// Passes the endpoint over for a while after a failure.
    pub(crate) fn pause(&self, now: Millis) {
        self.pause_for(now, FAILURE_PAUSE_MS);
    }

    /// Passes the endpoint over because it takes no new work.
    pub(crate) fn pause_leaving(&self, now: Millis) {
        self.pause_for(now, LEAVING_PAUSE_MS);
    }

    fn pause_for(&self, now: Millis, ms: u64) {
        let until = now.saturating_add_ms(ms);
        self.paused_until_ms
            .fetch_max(until.as_ms(), Ordering::AcqRel);
    }

    /// Notes which life of the companion answers.
    pub(crate) fn note_incarnation(&self, incarnation: Incarnation) {
        self.incarnation.store(incarnation.get(), Ordering::Release);
    }

    pub(crate) fn is_paused(&self, now: Millis) -> bool {
        now.as_ms() < self.paused_until_ms.load(Ordering::Acquire)
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Acquire)
    }
}

/// A call that is counted at its endpoint.
#[derive(Debug)]
pub(crate) struct InFlight(Arc<Endpoint>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// All endpoints by pool, replaced whole on a change.
#[derive(Debug)]
pub(crate) struct Fleet {
    pools: Snapshot<IndexMap<String, Vec<Arc<Endpoint>>>>,
}

impl Fleet {
    pub(crate) fn try_new(
        list: &[StaticEndpoint],
        timeouts: &TimeoutSettings,
    ) -> Result<Self, Report<EntryError>> {
        let endpoints = list
            .iter()
            .map(|known| from_settings(known, timeouts))
            .collect::<Result<Vec<_>, _>>()?;
        let pools = Snapshot::new(IndexMap::new());
        let fleet = Self { pools };
        fleet.publish(endpoints);
        Ok(fleet)
    }

    /// Replaces all endpoints; those that stay keep what is known of them.
    pub(crate) fn publish(&self, endpoints: Vec<Arc<Endpoint>>) {
        let old = self.pools.load_full();
        let mut pools: IndexMap<String, Vec<Arc<Endpoint>>> = IndexMap::new();
        for endpoint in endpoints {
            let known = old.get(&endpoint.pool).and_then(|pool| {
                pool.iter().find(|known| {
                    known.name == endpoint.name
                        && known.route.leads_to_same(&endpoint.route)
                })
            });
            let kept = known.cloned().unwrap_or(endpoint);
            pools.entry(kept.pool.clone()).or_default().push(kept);
        }
        self.pools.publish(pools);
    }

    /// Chooses an endpoint of a pool: the less busy of two, one's own
    /// failure domain first, none of those already tried.
    pub(crate) fn choose(
        &self,
        pool: &str,
        here: &FailureDomain,
        tried: &[EndpointName],
        now: Millis,
        random: u64,
    ) -> Option<Arc<Endpoint>> {
        let pools = self.pools.load();
        let all = pools.get(pool)?;
        let open = |endpoint: &&Arc<Endpoint>| {
            !tried.contains(&endpoint.name) && !endpoint.is_paused(now)
        };
        let near: Vec<_> = all
            .iter()
            .filter(open)
            .filter(|endpoint| endpoint.failure_domain == *here)
            .collect();
        let candidates = match near.is_empty() {
            false => near,
            true => all.iter().filter(open).collect(),
        };
        // Better one that failed a moment ago than none at all.
        let candidates = match candidates.is_empty() {
            false => candidates,
            true => all
                .iter()
                .filter(|endpoint| !tried.contains(&endpoint.name))
                .collect(),
        };
        let count = candidates.len();
        if count == 0 {
            return None;
        }
        let first = candidates[random as usize % count];
        let second = candidates[(random >> 32) as usize % count];
        let less = match second.in_flight() < first.in_flight() {
            true => second,
            false => first,
        };
        Some(Arc::clone(less))
    }

    /// Returns all endpoints, for `/status`.
    pub(crate) fn all(&self) -> Vec<Arc<Endpoint>> {
        self.pools.load().values().flatten().cloned().collect()
    }

    /// Notes that a life of a companion takes no new work.
    pub(crate) fn note_leaving(&self, incarnation: Incarnation, now: Millis) {
        for endpoint in self.all() {
            let known = endpoint.incarnation.load(Ordering::Acquire);
            if known == incarnation.get() {
                endpoint.pause_leaving(now);
            }
        }
    }
}

fn from_settings(
    known: &StaticEndpoint,
    timeouts: &TimeoutSettings,
) -> Result<Arc<Endpoint>, Report<EntryError>> {
    let route = match (&known.peer, &known.http) {
        (Some(peer), _) => Route::Companion(*peer),
        (None, Some(http)) => {
            let client = EndpointClient::try_new(http.clone(), timeouts)
                .change_context(EntryError::Start)?;
            Route::Direct(Box::new(client))
        }
        (None, None) => {
            return Err(Report::new(EntryError::Settings)
                .attach(format!("{} has no address", known.endpoint)));
        }
    };
    Ok(Arc::new(Endpoint::new(
        known.endpoint.clone(),
        known.pool.clone(),
        known.failure_domain.clone(),
        route,
    )))
}
