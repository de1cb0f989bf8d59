//! Starts items at endpoints of unequal speed.

use base::Millis;
use fleet::{Config, Endpoint, VersionBinding};
use indexmap::IndexSet;

use super::{RunnerState, active::ActiveJob};
use crate::{FreeEndpoint, ItemFilter, start_order};

impl RunnerState {
    /// Reports whether the speed of an endpoint determines which items start
    /// there.
    pub(super) fn is_speed_active(
        &self,
        endpoint: &Endpoint,
        now: Millis,
    ) -> bool {
        let service = &endpoint.record().service;
        self.runner.parts.speeds.of(service).is_active(now)
    }

    /// Starts items at endpoints of unequal speed, each with the number of
    /// items that it can start.
    pub(super) fn start_by_speed(
        &mut self,
        config: &Config,
        endpoints: &[(&Endpoint, u32)],
        usable: &IndexSet<VersionBinding>,
        now: Millis,
    ) {
        let speeds = &self.runner.parts.speeds;
        let free = endpoints.iter().enumerate();
        let free = free.map(|(index, (endpoint, starts))| {
            let load = endpoint.estimated_load(now).saturating_add(1);
            let speed = speeds.of(&endpoint.record().service);
            FreeEndpoint {
                index,
                starts: *starts,
                ratio_permille: speed.ratio_permille(endpoint, load, now),
            }
        });
        let mut free: Vec<FreeEndpoint> = free.collect();
        for (index, filter) in start_order(&free) {
            let (endpoint, _) = endpoints[index];
            while free[index].starts > 0
                && self.start_one(config, endpoint, usable, filter, now)
            {
                free[index].starts -= 1;
            }
        }
    }

    /// Reports whether an item may start in a step.
    pub(super) fn is_permitted(
        &self,
        filter: ItemFilter,
        job: &ActiveJob,
        number: u32,
    ) -> bool {
        if filter == ItemFilter::All {
            return true;
        }
        let ran_ms = job.items[number as usize].total_run_ms;
        let remaining = self.remaining(job, number, ran_ms);
        let unix_now = self.runner.parts.clock.unix();
        let due_at = job.stored.manifest.due_at;
        let left_ms = due_at.saturating_ms_since(unix_now);
        filter.permits(remaining.expected_ms, left_ms)
    }
}
