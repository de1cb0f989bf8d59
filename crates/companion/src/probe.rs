//! Watches whether the endpoint lives.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use gate::Event;
use upstream::EndpointIncarnation;

use crate::handler::Shared;

/// Pause between two questions, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 1_000;

/// Longest wait for an answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Failures in a row after which the endpoint counts as down. One lost
/// answer says little on a busy machine.
const FAILURES_MAX: u32 = 3;

/// Asks the endpoint for its health until the process ends.
pub(crate) async fn watch(shared: Arc<Shared>) {
    let mut failures = 0;
    let mut last_life: Option<EndpointIncarnation> = None;
    loop {
        if let Some(life) = shared.client.health(PROBE_TIMEOUT).await {
            failures = 0;
            let last = last_life.replace(life.clone());
            if last.is_some_and(|last| last != life) {
                restarted(&shared, &life);
            }
            note(&shared, true);
        } else {
            failures += 1;
            if failures >= FAILURES_MAX {
                note(&shared, false);
            }
        }
        shared.timer.subscribe_in_ms(PROBE_INTERVAL_MS).await;
    }
}

/// What was measured at the old engine says nothing of the new one.
fn restarted(shared: &Shared, life: &EndpointIncarnation) {
    log::info!(
        endpoint = shared.endpoint.name.as_str(),
        version = life.version.as_str(),
        incarnation = life.incarnation.as_str();
        "the endpoint is another one than before"
    );
    shared.admission.handle(Event::Restarted);
}

fn note(shared: &Shared, up: bool) {
    if shared.endpoint_up.swap(up, Ordering::AcqRel) != up {
        log::info!(endpoint = shared.endpoint.name.as_str(), up; "endpoint");
    }
}
