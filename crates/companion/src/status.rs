use std::sync::Arc;

use obs::HistogramTable;
use rocket::{Route, State, get, routes, serde::json::Json};
use serde::Serialize;

use crate::handler::Shared;

/// What `GET /status` of a companion says.
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
    metrics: HistogramTable,
}

pub(crate) fn routes() -> Vec<Route> {
    routes![status]
}

#[get("/status")]
fn status(shared: &State<Arc<Shared>>) -> Json<Status> {
    let load = shared.load();
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
        metrics: shared.metrics.snapshot(),
    })
}
