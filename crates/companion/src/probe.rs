//! Monitors the health of the endpoint.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use gate::Event;
use upstream::EndpointIncarnation;

use crate::handler::Shared;

/// Pause between two health probes, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 1_000;

/// Timeout of a health probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Consecutive failures after which the endpoint counts as down. A single
/// lost response is not conclusive on a busy machine.
const MAX_FAILURES: u32 = 3;

/// Probes the health of the endpoint.
pub(crate) struct HealthMonitor {
    shared: Arc<Shared>,
    failures: u32,
    last_incarnation: Option<EndpointIncarnation>,
}

impl HealthMonitor {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            failures: 0,
            last_incarnation: None,
        }
    }

    /// Probes the endpoint once.
    pub(crate) async fn probe(&mut self) {
        let shared = &self.shared;
        if let Some(incarnation) = shared.client.health(PROBE_TIMEOUT).await {
            self.failures = 0;
            let last = self.last_incarnation.replace(incarnation.clone());
            if last.is_some_and(|last| last != incarnation) {
                handle_restart(shared, &incarnation);
            }
            set_endpoint_up(shared, true);
        } else {
            self.failures += 1;
            if self.failures >= MAX_FAILURES {
                set_endpoint_up(shared, false);
            }
        }
    }

    /// Probes the endpoint until the process ends.
    pub(crate) async fn watch(mut self) {
        loop {
            self.shared.timer.subscribe_in_ms(PROBE_INTERVAL_MS).await;
            self.probe().await;
        }
    }
}

/// Resets the gate: measurements of the old engine do not apply to the new
/// one.
fn handle_restart(shared: &Shared, incarnation: &EndpointIncarnation) {
    log::info!(
        endpoint = shared.endpoint.name.as_str(),
        version = incarnation.version.as_str(),
        incarnation = incarnation.incarnation.as_str();
        "the endpoint was restarted or replaced"
    );
    shared.admission.handle(Event::Restarted);
}

fn set_endpoint_up(shared: &Shared, up: bool) {
    if shared.endpoint_up.swap(up, Ordering::AcqRel) != up {
        log::info!(
            endpoint = shared.endpoint.name.as_str(), up;
            "endpoint"
        );
    }
}
