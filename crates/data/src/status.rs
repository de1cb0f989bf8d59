use obs::{Metrics, MetricsSnapshot};
use rocket::{Route, State, get, routes, serde::json::Json};
use serde::Serialize;
use wire::{DataHandler, message::StoreStat};

use crate::role::DataRole;

#[derive(Serialize)]
struct Status {
    role: &'static str,
    blobs: u64,
    bytes: u64,
    quota_bytes: u64,
    metrics: MetricsSnapshot,
}

pub(crate) fn routes() -> Vec<Route> {
    routes![status]
}

#[get("/status")]
async fn status(
    role: &State<DataRole>,
    metrics: &State<Metrics>,
) -> Json<Status> {
    let StoreStat {
        blobs,
        bytes,
        quota_bytes,
    } = role.stat().await;
    Json(Status {
        role: "data",
        blobs,
        bytes,
        quota_bytes,
        metrics: metrics.snapshot(),
    })
}
