//! Operator API: reads and changes the configuration.

use std::sync::Arc;

use base::Revision;
use error_stack::Report;
use rocket::{Route, State, get, post, routes, serde::json::Json};
use serde::{Deserialize, Serialize};
use web::{Problem, ProblemKind, Ran};

use super::guard::Operator;
use crate::{
    EntryError,
    config::{Accepted, Edit},
    shared::Shared,
};

/// Number of revisions listed when the request gives no limit.
const HISTORY_DEFAULT: usize = 20;

/// Maximum number of revisions in one response.
const HISTORY_MAX: usize = 200;

pub(crate) fn routes() -> Vec<Route> {
    routes![show, history, at, edit]
}

#[derive(Serialize)]
struct Shown {
    revision: Revision,
    text: String,
    accepted_unix_ms: u64,
}

impl From<&Accepted> for Shown {
    fn from(accepted: &Accepted) -> Self {
        Self {
            revision: accepted.revision,
            text: accepted.text.clone(),
            accepted_unix_ms: accepted.accepted.as_ms(),
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EditRequest {
    expect_revision: Revision,
    operation_id: String,
    text: String,
}

#[derive(Serialize)]
struct EditReply {
    revision: Revision,
}

#[get("/admin/config")]
fn show(
    shared: &State<Arc<Shared>>,
    _operator: Operator,
) -> Result<Json<Shown>, Problem> {
    match shared.config.current() {
        Some(now) => Ok(Json(Shown::from(&now.accepted))),
        None => Ok(Json(Shown {
            revision: Revision::default(),
            text: String::new(),
            accepted_unix_ms: 0,
        })),
    }
}

#[get("/admin/config/history?<limit>")]
async fn history(
    shared: &State<Arc<Shared>>,
    limit: Option<usize>,
    _operator: Operator,
) -> Result<Json<Vec<Shown>>, Problem> {
    let limit = limit.unwrap_or(HISTORY_DEFAULT).min(HISTORY_MAX);
    let found = shared.config.history(limit).await.map_err(failed)?;
    Ok(Json(found.iter().map(Shown::from).collect()))
}

#[get("/admin/config/<revision>", rank = 2)]
async fn at(
    shared: &State<Arc<Shared>>,
    revision: u64,
    _operator: Operator,
) -> Result<Json<Shown>, Problem> {
    let found = shared.config.at(Revision::new(revision)).await;
    match found.map_err(failed)? {
        Some(accepted) => Ok(Json(Shown::from(&accepted))),
        None => {
            let why = format!("there is no revision {revision}");
            Err(Problem::new(ProblemKind::NotFound, why).ran(Ran::No))
        }
    }
}

#[post("/admin/config", data = "<edit>")]
async fn edit(
    shared: &State<Arc<Shared>>,
    edit: Json<EditRequest>,
    _operator: Operator,
) -> Result<Json<EditReply>, Problem> {
    let EditRequest {
        expect_revision,
        operation_id,
        text,
    } = edit.into_inner();
    let new_text = text.clone();
    let edited = shared
        .config
        .edit(expect_revision, operation_id, text)
        .await
        .map_err(failed)?;
    match edited {
        Edit::Accepted(revision) => Ok(Json(EditReply { revision })),
        Edit::Raced(now) => Err(raced(expect_revision, &now, &new_text)),
        Edit::Invalid(report) => Err(invalid(&report)),
    }
}

fn raced(expect: Revision, now: &Accepted, text: &str) -> Problem {
    let why = format!(
        "revision {} is in force, not {expect}; nothing was changed",
        now.revision
    );
    let diff = rules::diff(&now.text, text);
    Problem::new(ProblemKind::Conflict, why)
        .ran(Ran::No)
        .with("current_revision", now.revision.get())
        .with("diff", diff)
}

fn invalid(report: &Report<rules::RulesError>) -> Problem {
    let why = "the configuration is not valid; nothing was changed";
    let errors = rules::error_list(report);
    Problem::new(ProblemKind::Invalid, why)
        .ran(Ran::No)
        .with("errors", serde_json::json!(errors))
}

/// Makes the problem for a failed request, stating whether a change may have
/// been made.
pub(crate) fn failed(report: Report<EntryError>) -> Problem {
    log::warn!(error:? = report; "an operator request failed");
    match report.current_context() {
        EntryError::Unknown => {
            let why = "the platform's answer was lost; the change may be \
                       made, send the same operation_id again";
            Problem::new(ProblemKind::PlatformDown, why).ran(Ran::Unknown)
        }
        _ => Problem::new(ProblemKind::PlatformDown, report.to_string())
            .ran(Ran::No),
    }
    .retry_after_ms(2_000)
}
