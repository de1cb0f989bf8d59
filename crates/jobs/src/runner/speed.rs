//! Starts items at endpoints of unequal speed.

use base::Millis;
use fleet::{Config, Endpoint, VersionBinding};
use indexmap::IndexSet;

use super::RunnerState;
use crate::{FreeEndpoint, start_order};

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
        let free = free.map(|(index, (endpoint, _))| {
            let load = endpoint.estimated_load(now).saturating_add(1);
            let speed = speeds.of(&endpoint.record().service);
            FreeEndpoint {
                index,
                ratio_permille: speed.ratio_permille(endpoint, load, now),
            }
        });
        let free: Vec<FreeEndpoint> = free.collect();
        for index in start_order(&free) {
            let (endpoint, starts) = endpoints[index];
            for _ in 0..starts {
                if !self.start_one(config, endpoint, usable, now) {
                    break;
                }
            }
        }
    }
}
