use std::sync::Arc;

use obs::MetricsSnapshot;
use rocket::{Route, State, get, routes, serde::json::Json};
use serde::Serialize;

use crate::handler::Shared;

/// The response to `GET /status` of a companion.
#[derive(Debug, Serialize)]
struct Status {
    role: &'static str,
    endpoint: String,
    pool: String,
    incarnation: u64,
    endpoint_up: bool,
    leaving: bool,
    running: u32,
    waiting: u32,
    batch_running: u32,
    batch_waiting: u32,
    batch_limit: u32,
    first_token_ms: u32,
    between_tokens_ms: u32,
    stalled: bool,
    metrics: MetricsSnapshot,
}

pub(crate) fn routes() -> Vec<Route> {
    routes![status]
}

#[get("/status")]
fn status(shared: &State<Arc<Shared>>) -> Json<Status> {
    let load = shared.load();
    let gate = shared.admission.load();
    Json(Status {
        role: "companion",
        endpoint: shared.endpoint.name.to_string(),
        pool: shared.endpoint.pool.clone(),
        incarnation: shared.incarnation.get(),
        endpoint_up: load.endpoint_up,
        leaving: load.leaving,
        running: load.running,
        waiting: load.waiting,
        batch_running: load.batch_running,
        batch_waiting: gate.batch_waiting,
        batch_limit: gate.batch_limit,
        first_token_ms: load.first_token_ms,
        between_tokens_ms: load.between_tokens_ms,
        stalled: gate.stalled,
        metrics: shared.metrics.snapshot(),
    })
}
