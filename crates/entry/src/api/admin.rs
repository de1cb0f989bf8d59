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
    config::{Accepted, EditOutcome},
    shared::Shared,
};

/// Number of revisions listed when the request gives no limit.
const DEFAULT_HISTORY_LIMIT: usize = 20;

/// Maximum number of revisions in one response.
const MAX_HISTORY_LIMIT: usize = 200;

pub(crate) fn routes() -> Vec<Route> {
    routes![show, history, at, edit]
}

#[derive(Serialize)]
struct RevisionView {
    revision: Revision,
    text: String,
    accepted_unix_ms: u64,
}

impl From<&Accepted> for RevisionView {
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
) -> Result<Json<RevisionView>, Problem> {
    match shared.config.current() {
        Some(now) => Ok(Json(RevisionView::from(&now.accepted))),
        None => Ok(Json(RevisionView {
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
) -> Result<Json<Vec<RevisionView>>, Problem> {
    let limit = limit
        .unwrap_or(DEFAULT_HISTORY_LIMIT)
        .min(MAX_HISTORY_LIMIT);
    let found = shared
        .config
        .history(limit)
        .await
        .map_err(platform_problem)?;
    Ok(Json(found.iter().map(RevisionView::from).collect()))
}

#[get("/admin/config/<revision>", rank = 2)]
async fn at(
    shared: &State<Arc<Shared>>,
    revision: u64,
    _operator: Operator,
) -> Result<Json<RevisionView>, Problem> {
    let found = shared.config.get_revision(Revision::new(revision)).await;
    match found.map_err(platform_problem)? {
        Some(accepted) => Ok(Json(RevisionView::from(&accepted))),
        None => {
            let detail = format!("there is no revision {revision}");
            Err(Problem::new(ProblemKind::NotFound, detail).ran(Ran::No))
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
        .map_err(platform_problem)?;
    match edited {
        EditOutcome::Accepted(revision) => Ok(Json(EditReply { revision })),
        EditOutcome::Conflict(now) => {
            Err(conflict(expect_revision, &now, &new_text))
        }
        EditOutcome::Invalid(report) => Err(invalid_config(&report)),
    }
}

fn conflict(expect: Revision, now: &Accepted, text: &str) -> Problem {
    let detail = format!(
        "revision {} is in force, not {expect}; nothing was changed",
        now.revision
    );
    let diff = rules::diff(&now.text, text);
    Problem::new(ProblemKind::Conflict, detail)
        .ran(Ran::No)
        .with("current_revision", now.revision.get())
        .with("diff", diff)
}

fn invalid_config(report: &Report<rules::RulesError>) -> Problem {
    let detail = "the configuration is not valid; nothing was changed";
    let errors = rules::error_list(report);
    Problem::new(ProblemKind::Invalid, detail)
        .ran(Ran::No)
        .with("errors", serde_json::json!(errors))
}

/// Makes the problem for a failed request, stating whether a change may have
/// been made.
pub(crate) fn platform_problem(report: Report<EntryError>) -> Problem {
    log::warn!(error:? = report; "an operator request failed");
    match report.current_context() {
        EntryError::Unknown => {
            let detail = "the platform's answer was lost; the change may be \
                       made, send the same operation_id again";
            Problem::new(ProblemKind::PlatformDown, detail).ran(Ran::Unknown)
        }
        _ => Problem::new(ProblemKind::PlatformDown, report.to_string())
            .ran(Ran::No),
    }
    .retry_after_ms(2_000)
}
