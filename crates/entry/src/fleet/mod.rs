//! The endpoints known to this entry.
//!
//! The [`Router`] chooses the endpoint of a request and performs no I/O; see
//! `docs/design/routing.md`. This module holds the addresses, the probes and
//! the platform's list of VMs.

mod flight;
mod target;
pub(crate) mod vm_list;

use std::{
    collections::HashSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering},
};

use base::{FailureDomain, Incarnation, Millis, Snapshot, timer::Timer};
use conf::settings::Settings;
use error_stack::Report;
use indexmap::IndexMap;
use router::{
    EndpointKey, Failure, ListChanges, ListedEndpoint, Query, Router,
    RouterOptions,
};
use slotmap::SecondaryMap;
use wire::{LinkError, Links};

use crate::EntryError;

pub(crate) use self::{
    flight::Flight,
    target::{Route, Target},
};

/// Interval of checks for endpoints to probe, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 250;

type Targets = SecondaryMap<EndpointKey, Arc<Target>>;

/// Status of an endpoint in `/status`.
#[derive(Clone, Debug)]
pub(crate) struct EndpointStatus {
    pub(crate) target: Arc<Target>,
    pub(crate) in_flight: u32,
    pub(crate) open: bool,
}

/// The endpoints known to this entry.
pub(crate) struct Fleet {
    /// The lock is held for one decision of a few microseconds and never
    /// across an await. An entry makes some hundreds of decisions a second.
    /// Atomic counters would separate a choice from its count, so a burst
    /// would go to one endpoint.
    router: Mutex<Router>,
    targets: Snapshot<Targets>,
    failure_domain: FailureDomain,
    links: Links,
    timer: Timer,
}

impl std::fmt::Debug for Fleet {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Fleet").finish_non_exhaustive()
    }
}

impl Fleet {
    /// Creates the fleet with the endpoints of the settings.
    pub(crate) fn try_new(
        settings: &Settings,
        links: Links,
        timer: Timer,
    ) -> Result<Arc<Self>, Report<EntryError>> {
        let options = RouterOptions::default();
        let entry = settings.vm.as_str();
        let fleet = Self {
            router: Mutex::new(Router::new(entry, options)),
            targets: Snapshot::new(Targets::new()),
            failure_domain: settings.failure_domain.clone(),
            links,
            timer,
        };
        let targets = settings
            .endpoints
            .iter()
            .map(|known| Target::of_settings(known, &settings.timeouts))
            .collect::<Result<Vec<_>, _>>()?;
        fleet.replace_endpoints(targets);
        Ok(Arc::new(fleet))
    }

    fn router(&self) -> MutexGuard<'_, Router> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the list of all endpoints; those that remain keep their state.
    pub(crate) fn replace_endpoints(&self, targets: Vec<Target>) {
        let mut pools: IndexMap<String, Vec<Arc<Target>>> = IndexMap::new();
        let mut names = HashSet::new();
        for target in targets {
            if names.insert((target.pool.clone(), target.name.clone())) {
                let pool = pools.entry(target.pool.clone()).or_default();
                pool.push(Arc::new(target));
            }
        }
        let mut router = self.router();
        let before = self.targets.load_full();
        let known = before.values().map(|target| target.pool.clone());
        for pool in known {
            pools.entry(pool).or_default();
        }
        let mut now = Targets::clone(&before);
        for (pool, targets) in &pools {
            let listed: Vec<ListedEndpoint> =
                targets.iter().map(|one| self.to_listed(one)).collect();
            let pool = router.pool(pool);
            let ListChanges { added, removed } = router.list(pool, &listed);
            for key in removed {
                now.remove(key);
            }
            for (key, at) in added {
                now.insert(key, targets[at].clone());
            }
        }
        // Published under the lock, so that every key has a target.
        self.targets.publish(now);
    }

    fn to_listed(&self, target: &Target) -> ListedEndpoint {
        let near = target.failure_domain == self.failure_domain;
        // Another version is another endpoint: what is known of the former one,
        // and the responses that it began, are not its own.
        let address = format!("{} {}", target.route.address(), target.version);
        ListedEndpoint::new(target.name.clone(), near, &address)
    }

    /// Chooses an untried endpoint of a pool and counts a call there.
    pub(crate) fn choose(
        self: &Arc<Self>,
        pool: &str,
        query: &Query<'_>,
    ) -> Option<Flight> {
        let now = self.timer.now();
        let (choice, target) = {
            let mut router = self.router();
            let pool = router.find_pool(pool)?;
            let choice = router.choose(pool, query, now, rand::random())?;
            let target = self.targets.load().get(choice.endpoint)?.clone();
            router.sent(choice.endpoint, now);
            (choice, target)
        };
        for key in choice.probes {
            self.probe(key);
        }
        Some(Flight::new(self.clone(), choice.endpoint, target, now))
    }

    /// Takes a retry from the budget of a pool; returns whether one was
    /// available.
    pub(crate) fn try_retry(&self, pool: &str) -> bool {
        let now = self.timer.now();
        let mut router = self.router();
        let pool = router.find_pool(pool);
        pool.is_some_and(|pool| router.try_retry(pool, now))
    }

    fn record_load(
        &self,
        key: EndpointKey,
        report: &router::EndpointReport,
        now: Millis,
    ) -> EndpointKey {
        let mut router = self.router();
        let after = router.reported(key, report, now);
        self.move_target(key, after);
        after
    }

    /// Moves the target of an endpoint to the key of its new incarnation. The
    /// caller holds the router lock.
    fn move_target(&self, before: EndpointKey, after: EndpointKey) {
        if before == after {
            return;
        }
        self.targets.update(|targets| {
            let mut targets = targets.clone();
            if let Some(target) = targets.remove(before) {
                targets.insert(after, target);
            }
            targets
        });
    }

    /// Marks an incarnation of a companion as taking no new work.
    pub(crate) fn mark_leaving(&self, incarnation: Incarnation) {
        self.router().mark_leaving(incarnation);
    }

    /// Returns all endpoints in use, for `/status`.
    pub(crate) fn all(&self) -> Vec<EndpointStatus> {
        let router = self.router();
        let targets = self.targets.load();
        let views = router.endpoints().filter_map(|view| {
            Some(EndpointStatus {
                target: targets.get(view.key)?.clone(),
                in_flight: view.in_flight,
                open: view.selectable,
            })
        });
        views.collect()
    }

    /// Probes endpoints that may be readmitted, until the process ends.
    pub(crate) async fn run_probes(self: Arc<Self>) {
        loop {
            let now = self.timer.now();
            let due = self.router().tick(now);
            for key in due {
                self.probe(key);
            }
            self.timer.subscribe_in_ms(PROBE_INTERVAL_MS).await;
        }
    }

    /// Requests the load of a companion in the background.
    fn probe(self: &Arc<Self>, key: EndpointKey) {
        let Some(target) = self.targets.load().get(key).cloned() else {
            return;
        };
        let address = match &target.route {
            Route::Companion(address) => *address,
            Route::Direct(_) => {
                let now = self.timer.now();
                return self.router().readmit(key, now);
            }
        };
        if target.probing.swap(true, Ordering::AcqRel) {
            return;
        }
        let fleet = self.clone();
        tokio::spawn(async move {
            let answer = fleet.links.load(address).await;
            target.probing.store(false, Ordering::Release);
            let now = fleet.timer.now();
            let mut router = fleet.router();
            match answer {
                Ok(load) => {
                    let report = flight::endpoint_report(&load);
                    let after = router.probed(key, &report, now);
                    fleet.move_target(key, after);
                }
                Err(report) => {
                    router.probe_failed(key);
                    let lost = LinkError::NotSent;
                    if *report.current_context() == lost {
                        router.failed(key, Failure::Unreachable, now);
                    }
                }
            }
        });
    }
}
