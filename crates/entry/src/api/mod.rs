//! HTTP API for customers and operators.

mod admin;
mod batches;
mod files;
mod gateway;
mod guard;
mod receive;
mod status;
mod upload;
mod vms;

use rocket::Route;

/// Returns all routes of an entry.
pub(crate) fn routes() -> Vec<Route> {
    let mut routes = web::health_routes();
    routes.extend(gateway::routes());
    routes.extend(files::routes());
    routes.extend(batches::routes());
    routes.extend(admin::routes());
    routes.extend(status::routes());
    routes.extend(vms::routes());
    routes
}
