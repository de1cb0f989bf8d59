//! `GET /status`: the state of this entry for operators and tools.

use std::sync::Arc;

use obs::MetricsSnapshot;
use rocket::{Route, State, get, routes, serde::json::Json};
use serde::Serialize;

use crate::shared::Shared;

pub(crate) fn routes() -> Vec<Route> {
    routes![status]
}

#[derive(Serialize)]
struct Status {
    role: &'static str,
    incarnation: u64,
    phase: String,
    revision: u64,
    in_force_for_ms: Option<u64>,
    /// The newest known revision, in force here or not.
    revision_heard: u64,
    /// Whether this entry watches the key-value service.
    relay: bool,
    /// How often a peer had a different text for the same revision.
    revision_conflicts: u64,
    /// Calls made to the key-value service to follow the configuration.
    config_service_calls: u64,
    endpoints: Vec<EndpointRow>,
    partitions: Vec<u32>,
    open_jobs: usize,
    metrics: MetricsSnapshot,
}

#[derive(Serialize)]
struct EndpointRow {
    endpoint: String,
    pool: String,
    failure_domain: String,
    in_flight: u32,
    paused: bool,
}

#[get("/status")]
fn status(shared: &State<Arc<Shared>>) -> Json<Status> {
    let now = shared.timer.now();
    let endpoints = shared
        .fleet
        .all()
        .iter()
        .map(|endpoint| EndpointRow {
            endpoint: endpoint.target.name.to_string(),
            pool: endpoint.target.pool.clone(),
            failure_domain: endpoint.target.failure_domain.to_string(),
            in_flight: endpoint.in_flight,
            paused: !endpoint.open,
        })
        .collect();
    let in_force = shared.config.current();
    let propagation = shared.config.propagation_status();
    let owner = shared.batch.owner();
    Json(Status {
        role: "entry",
        incarnation: shared.incarnation.get(),
        phase: format!("{:?}", shared.state.phase()).to_lowercase(),
        revision: shared.config.revision().get(),
        in_force_for_ms: in_force
            .map(|config| now.saturating_ms_since(config.since)),
        revision_heard: propagation
            .newest_known
            .max(shared.config.revision())
            .get(),
        relay: propagation.is_relay,
        revision_conflicts: propagation.conflicts,
        config_service_calls: propagation.kv_calls,
        endpoints,
        partitions: owner.partitions(),
        open_jobs: owner.open_jobs(),
        metrics: shared.metrics.snapshot(),
    })
}
