use std::collections::VecDeque;

use base::{Incarnation, Millis};
use indexmap::IndexMap;
use limits::RetryBudget;
use slotmap::{SlotMap, new_key_type};

use crate::{
    endpoint::{
        Endpoint, EndpointKey, EndpointReport, EndpointView, ListedEndpoint,
    },
    health::{Failure, Refusal},
    options::{Policy, RouterOptions},
    select::{Choice, Draw, Query, Selection},
    subset,
};

new_key_type! {
    /// Identifies a pool of a router.
    pub struct PoolKey;
}

/// Maximum number of incarnations that are remembered as leaving. The oldest
/// ones have ended long before.
const MAX_LEAVING_REMEMBERED: usize = 1_024;

/// Maximum number of probes per tick, so that the end of a long outage causes
/// no burst.
const MAX_PROBES_PER_TICK: usize = 32;

#[derive(Clone, Debug)]
struct Pool {
    members: Vec<EndpointKey>,
    selection_count: usize,
    budget: RetryBudget,
}

/// How a new list changed the endpoints in use.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ListChanges {
    /// New endpoints with their indices in the list.
    pub added: Vec<(EndpointKey, usize)>,
    /// Endpoints that are no longer used.
    pub removed: Vec<EndpointKey>,
}

/// Knowledge of one entry about the endpoints of its pools, and the choice
/// among them.
#[derive(Clone, Debug)]
pub struct Router {
    entry: String,
    options: RouterOptions,
    pools: SlotMap<PoolKey, Pool>,
    names: IndexMap<String, PoolKey>,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    leaving: VecDeque<Incarnation>,
}

impl Router {
    /// Creates a router without endpoints. `entry` is the name of the entry,
    /// which determines its subset of large pools.
    pub fn new(entry: &str, options: RouterOptions) -> Self {
        Self {
            entry: entry.to_owned(),
            options,
            pools: SlotMap::with_key(),
            names: IndexMap::new(),
            endpoints: SlotMap::with_key(),
            leaving: VecDeque::new(),
        }
    }

    /// Returns the key of a pool, which is created if it does not exist.
    pub fn pool(&mut self, name: &str) -> PoolKey {
        if let Some(key) = self.names.get(name) {
            return *key;
        }
        let options = &self.options;
        let key = self.pools.insert(Pool {
            members: Vec::new(),
            selection_count: 0,
            budget: RetryBudget::new(
                options.retry_ratio,
                options.retry_minimum,
                options.retry_window_ms,
            ),
        });
        self.names.insert(name.to_owned(), key);
        key
    }

    /// Returns the key of a pool, if it exists.
    pub fn find_pool(&self, name: &str) -> Option<PoolKey> {
        self.names.get(name).copied()
    }

    /// Replaces the list of a pool; endpoints that stay keep their state.
    /// Leaving endpoints that are still listed stay known but do not count
    /// towards the subset, so that an outdated list cannot bring them back.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_router::{ListedEndpoint, Router, RouterOptions};
    ///
    /// let mut router = Router::new("entry-1", RouterOptions::default());
    /// let pool = router.pool("korv-lm");
    /// let name = "korv-lm-1".parse()?;
    /// let one = ListedEndpoint::new(name, true, "10.0.0.1:7000");
    /// let first = router.list(pool, std::slice::from_ref(&one));
    /// assert_eq!(first.added.len(), 1);
    /// assert_eq!(router.list(pool, &[one]).added, []);
    /// assert_eq!(router.list(pool, &[]).removed, [first.added[0].0]);
    /// # Ok::<(), base::IdError>(())
    /// ```
    pub fn list(
        &mut self,
        pool: PoolKey,
        listed: &[ListedEndpoint],
    ) -> ListChanges {
        let Some(known) = self.pools.get(pool) else {
            return ListChanges::default();
        };
        let old = known.members.clone();
        let find = |one: &ListedEndpoint| {
            old.iter()
                .copied()
                .find(|key| self.endpoints[*key].listed == *one)
        };
        let known: Vec<Option<EndpointKey>> =
            listed.iter().map(find).collect();
        let is_leaving = |at: usize| {
            known[at].is_some_and(|key| self.endpoints[key].leaving)
        };
        let (leaving, staying): (Vec<usize>, Vec<usize>) =
            (0..listed.len()).partition(|at| is_leaving(*at));
        let offered: Vec<ListedEndpoint> =
            staying.iter().map(|at| listed[*at].clone()).collect();
        let size = self.options.subset;
        let chosen = subset::choose(&self.entry, &offered, size);
        let indices = chosen.into_iter().map(|at| staying[at]).chain(leaving);
        let mut changes = ListChanges::default();
        let mut members = Vec::new();
        for at in indices {
            let key = known[at].unwrap_or_else(|| {
                let endpoint = Endpoint::new(listed[at].clone(), pool);
                let key = self.endpoints.insert(endpoint);
                changes.added.push((key, at));
                key
            });
            members.push(key);
        }
        for key in old.into_iter().filter(|key| !members.contains(key)) {
            self.endpoints.remove(key);
            changes.removed.push(key);
        }
        self.pools[pool].members = members;
        changes
    }

    /// Chooses the endpoint of a request; `None` if all were tried or are
    /// leaving.
    ///
    /// # Example
    ///
    /// ```
    /// use base::Millis;
    /// use pomeloslip_router::{ListedEndpoint, Query, Router, RouterOptions};
    ///
    /// let mut router = Router::new("entry-1", RouterOptions::default());
    /// let pool = router.pool("korv-lm");
    /// let name = "korv-lm-1".parse()?;
    /// let one = ListedEndpoint::new(name, true, "10.0.0.1:7000");
    /// let key = router.list(pool, &[one]).added[0].0;
    /// let now = Millis::new(0);
    /// let choice = router.choose(pool, &Query::default(), now, 7);
    /// assert_eq!(choice.unwrap().endpoint, key);
    /// let tried = [key];
    /// let query = Query::default().tried(&tried);
    /// assert_eq!(router.choose(pool, &query, now, 7), None);
    /// # Ok::<(), base::IdError>(())
    /// ```
    pub fn choose(
        &mut self,
        pool: PoolKey,
        query: &Query<'_>,
        now: Millis,
        random: u64,
    ) -> Option<Choice> {
        let known = self.pools.get_mut(pool)?;
        known.selection_count = known.selection_count.wrapping_add(1);
        let known = &self.pools[pool];
        let mut draw = Draw::new(random);
        let selection = Selection {
            options: &self.options,
            endpoints: &self.endpoints,
            now,
            selection_count: known.selection_count,
        };
        let endpoint = selection.choose(&known.members, query, &mut draw)?;
        if let Some(last_report) = &mut self.endpoints[endpoint].last_report {
            last_report.uses += 1;
        }
        let probes = self.probes(pool, &mut draw);
        Some(Choice { endpoint, probes })
    }

    fn probes(&self, pool: PoolKey, draw: &mut Draw) -> Vec<EndpointKey> {
        let Policy::Probing(probing) = &self.options.policy else {
            return Vec::new();
        };
        let members = &self.pools[pool].members;
        let mut probes = Vec::new();
        for _ in 0..probing.probes.min(members.len() as u32) {
            let key = members[draw.below(members.len())];
            if self.endpoints[key].is_selectable() && !probes.contains(&key) {
                probes.push(key);
            }
        }
        probes
    }

    /// Records that a request is sent to an endpoint.
    pub fn sent(&mut self, key: EndpointKey, now: Millis) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        endpoint.in_flight += 1;
        self.pools[endpoint.pool].budget.record_request(now);
    }

    /// Records that a request has ended at an endpoint, whatever the outcome.
    pub fn ended(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        }
    }

    /// Records a companion's report and returns the current key of its
    /// endpoint: a new incarnation of the companion is a new endpoint.
    ///
    /// Load, in-flight calls and failures of the old incarnation do not apply
    /// to the new one. Mixing them would show as a restarted endpoint that is
    /// never chosen, or as negative in-flight counts. Separate keys keep them
    /// apart.
    ///
    /// # Example
    ///
    /// ```
    /// use base::{Incarnation, Millis};
    /// use pomeloslip_router::{
    ///     EndpointReport, ListedEndpoint, Router, RouterOptions,
    /// };
    ///
    /// let mut router = Router::new("entry-1", RouterOptions::default());
    /// let pool = router.pool("korv-lm");
    /// let name = "korv-lm-1".parse()?;
    /// let one = ListedEndpoint::new(name, true, "10.0.0.1:7000");
    /// let key = router.list(pool, &[one]).added[0].0;
    /// let now = Millis::new(0);
    /// let report = |number| EndpointReport {
    ///     incarnation: Incarnation::new(number),
    ///     ..EndpointReport::default()
    /// };
    /// assert_eq!(router.reported(key, &report(1), now), key);
    /// assert_ne!(router.reported(key, &report(2), now), key);
    /// # Ok::<(), base::IdError>(())
    /// ```
    pub fn reported(
        &mut self,
        key: EndpointKey,
        report: &EndpointReport,
        now: Millis,
    ) -> EndpointKey {
        let Some(endpoint) = self.endpoints.get(key) else {
            return key;
        };
        let is_restarted = endpoint
            .incarnation
            .is_some_and(|known| known != report.incarnation);
        let key = if is_restarted {
            self.replace_incarnation(key)
        } else {
            key
        };
        let has_left = self.leaving.contains(&report.incarnation);
        let endpoint = &mut self.endpoints[key];
        endpoint.incarnation = Some(report.incarnation);
        endpoint.version = Some(report.version);
        endpoint.leaving |= report.leaving || has_left;
        endpoint.record(report, now);
        key
    }

    fn replace_incarnation(&mut self, old: EndpointKey) -> EndpointKey {
        let Some(before) = self.endpoints.remove(old) else {
            return old;
        };
        let pool = before.pool;
        let after = Endpoint::new(before.listed, pool);
        let key = self.endpoints.insert(after);
        for member in &mut self.pools[pool].members {
            if *member == old {
                *member = key;
            }
        }
        key
    }

    /// Records a response and, if known, its time to the first token. This
    /// must be called before [`Router::ended`].
    pub fn answered(
        &mut self,
        key: EndpointKey,
        first_token_ms: Option<u64>,
        now: Millis,
    ) {
        let max_age_ms = self.options.report_max_age_ms;
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.health.answered();
            if let Some(ms) = first_token_ms {
                let load = endpoint.load(now, max_age_ms);
                endpoint.record_latency(ms, load);
            }
        }
    }

    /// Records a failed call.
    pub fn failed(&mut self, key: EndpointKey, failure: Failure, now: Millis) {
        let is_ejection_allowed = self.is_ejection_allowed(key);
        let policy = self.options.health;
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint
                .health
                .failed(&policy, failure, is_ejection_allowed, now);
        }
    }

    /// Reports whether one more endpoint of the pool may be ejected for lost
    /// calls. At most half of a pool is ejected: if all endpoints fail, the
    /// cause is elsewhere, and the remaining ones would be overloaded.
    fn is_ejection_allowed(&self, key: EndpointKey) -> bool {
        let Some(endpoint) = self.endpoints.get(key) else {
            return false;
        };
        let members = &self.pools[endpoint.pool].members;
        let is_ejected =
            |key: &&EndpointKey| self.endpoints[**key].health.is_ejected();
        (members.iter().filter(is_ejected).count() + 1) * 2 <= members.len()
    }

    /// Records that an endpoint did not accept a call.
    pub fn refused(&mut self, key: EndpointKey, reason: Refusal, now: Millis) {
        let policy = self.options.health;
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        match reason {
            Refusal::Leaving => endpoint.leaving = true,
            Refusal::Down | Refusal::WrongTarget => {
                let failure = Failure::Unreachable;
                endpoint.health.failed(&policy, failure, true, now);
            }
            Refusal::Full | Refusal::Other => {}
        }
    }

    /// Records that an incarnation accepts no new work, even if it is not
    /// known yet which endpoint it belongs to.
    ///
    /// # Example
    ///
    /// ```
    /// use base::{Incarnation, Millis};
    /// use pomeloslip_router::{
    ///     EndpointReport, ListedEndpoint, Query, Router, RouterOptions,
    /// };
    ///
    /// let mut router = Router::new("entry-1", RouterOptions::default());
    /// let pool = router.pool("korv-lm");
    /// let name = "korv-lm-1".parse()?;
    /// let one = ListedEndpoint::new(name, true, "10.0.0.1:7000");
    /// let key = router.list(pool, &[one]).added[0].0;
    /// let now = Millis::new(0);
    /// let incarnation = Incarnation::new(1);
    /// router.mark_leaving(incarnation);
    /// let report = EndpointReport {
    ///     incarnation,
    ///     ..EndpointReport::default()
    /// };
    /// router.reported(key, &report, now);
    /// assert_eq!(router.choose(pool, &Query::default(), now, 7), None);
    /// # Ok::<(), base::IdError>(())
    /// ```
    pub fn mark_leaving(&mut self, incarnation: Incarnation) {
        if !self.leaving.contains(&incarnation) {
            if self.leaving.len() >= MAX_LEAVING_REMEMBERED {
                self.leaving.pop_front();
            }
            self.leaving.push_back(incarnation);
        }
        for endpoint in self.endpoints.values_mut() {
            if endpoint.incarnation == Some(incarnation) {
                endpoint.leaving = true;
            }
        }
    }

    /// Records the response to a probe and returns the endpoint's key as
    /// [`Router::reported`] does.
    pub fn probed(
        &mut self,
        key: EndpointKey,
        report: &EndpointReport,
        now: Millis,
    ) -> EndpointKey {
        let policy = self.options.health;
        let key = self.reported(key, report, now);
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            match report.up {
                true => endpoint.health.probed(now),
                false => endpoint.health.probe_failed(&policy),
            }
        }
        key
    }

    /// Records a probe without a response.
    pub fn probe_failed(&mut self, key: EndpointKey) {
        let policy = self.options.health;
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.health.probe_failed(&policy);
        }
    }

    /// Makes an ejected endpoint that cannot be probed selectable for one
    /// call.
    pub fn readmit(&mut self, key: EndpointKey, now: Millis) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.health.probed(now);
        }
    }

    /// Returns the endpoints to probe now: those that are ejected and could
    /// recover, and those that are leaving, whose address may belong to a new
    /// process.
    ///
    /// # Example
    ///
    /// ```
    /// use base::Millis;
    /// use pomeloslip_router::{ListedEndpoint, Router, RouterOptions};
    ///
    /// let mut router = Router::new("entry-1", RouterOptions::default());
    /// let pool = router.pool("korv-lm");
    /// let name = "korv-lm-1".parse()?;
    /// let one = ListedEndpoint::new(name, true, "10.0.0.1:7000");
    /// let key = router.list(pool, &[one]).added[0].0;
    /// let now = Millis::new(0);
    /// // Nothing is known of it yet.
    /// assert_eq!(router.tick(now), [key]);
    /// assert_eq!(router.tick(now), []);
    /// # Ok::<(), base::IdError>(())
    /// ```
    pub fn tick(&mut self, now: Millis) -> Vec<EndpointKey> {
        let options = &self.options;
        let mut probes = Vec::new();
        for (key, endpoint) in &mut self.endpoints {
            let interval_ms = match endpoint.leaving {
                true => options.leaving_probe_ms,
                false => options.recovery_probe_ms,
            };
            let last = endpoint.last_probed_at;
            let is_due = last.is_none_or(|last| {
                now.saturating_ms_since(last) >= interval_ms
            });
            let wanted = endpoint.leaving
                || endpoint.incarnation.is_none()
                || endpoint.health.needs_probe(now);
            if is_due && wanted && probes.len() < MAX_PROBES_PER_TICK {
                endpoint.last_probed_at = Some(now);
                probes.push(key);
            }
        }
        probes
    }

    /// Takes a retry from a pool's budget and reports whether one was left.
    /// Refusals that cost the endpoint nothing need none.
    ///
    /// # Example
    ///
    /// ```
    /// use base::Millis;
    /// use pomeloslip_router::{Router, RouterOptions};
    ///
    /// let mut router = Router::new("entry-1", RouterOptions::default());
    /// let pool = router.pool("korv-lm");
    /// let now = Millis::new(0);
    /// let allowed = (0..50).filter(|_| router.try_retry(pool, now)).count();
    /// assert_eq!(allowed, 10);
    /// ```
    pub fn try_retry(&mut self, pool: PoolKey, now: Millis) -> bool {
        let pool = self.pools.get_mut(pool);
        pool.is_some_and(|pool| pool.budget.try_retry(now))
    }

    /// Returns the state of all endpoints in use.
    pub fn endpoints(&self) -> impl Iterator<Item = EndpointView> + '_ {
        self.endpoints.iter().map(|(key, endpoint)| EndpointView {
            key,
            name: endpoint.listed.name.clone(),
            in_flight: endpoint.in_flight,
            selectable: endpoint.is_selectable(),
            leaving: endpoint.leaving,
        })
    }
}
