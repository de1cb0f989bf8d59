//! Operator API: drains endpoints.

use std::sync::Arc;

use rocket::{Route as HttpRoute, State, post, routes, serde::json::Json};
use serde_json::{Value, json};
use web::{Problem, ProblemKind, Ran};

use super::{admin::platform_problem, guard::Operator};
use crate::{fleet::Route, orders::OrderError, shared::Shared};

pub(crate) fn routes() -> Vec<HttpRoute> {
    routes![stop]
}

/// Drains the endpoint on a VM: it finishes its work and gets no more.
///
/// The VM is given by its name in the platform's list or by the endpoint's
/// name in the settings.
#[post("/admin/vms/<vm>/stop")]
async fn stop(
    shared: &State<Arc<Shared>>,
    vm: &str,
    _operator: Operator,
) -> Result<Json<Value>, Problem> {
    let all = shared.fleet.all();
    let known = all.iter().find(|known| known.target.name.as_str() == vm);
    let target = &known.ok_or_else(|| unknown_vm(vm))?.target;
    let Route::Companion(companion) = target.route else {
        let detail = format!("{vm} has no companion; take it out of the list");
        return Err(Problem::new(ProblemKind::Invalid, detail).ran(Ran::No));
    };
    match shared.orders.drain(vm, companion).await {
        Ok(()) => Ok(Json(json!({ "vm": vm, "state": "draining" }))),
        Err(OrderError::Failed(report)) => Err(platform_problem(report)),
        Err(OrderError::Refused(detail)) => {
            Err(Problem::new(ProblemKind::Conflict, detail).ran(Ran::No))
        }
    }
}

fn unknown_vm(vm: &str) -> Problem {
    let detail = format!("this entry knows no endpoint on {vm}");
    Problem::new(ProblemKind::NotFound, detail).ran(Ran::No)
}
