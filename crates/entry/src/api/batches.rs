//! `/v1/batches` in the OpenAI format.

use std::sync::Arc;

use base::{FileId, JobId, UnixMillis};
use rocket::{
    Data, Route, State, get,
    http::Status,
    post,
    request::{FromRequest, Outcome, Request},
    routes,
    serde::json::Json,
};
use serde::Deserialize;
use serde_json::{Value, json};
use web::{Problem, ProblemKind, Ran};

use super::{
    admin::platform_problem,
    guard::Authenticated,
    receive::{AnnouncedLength, Received, discard_body, receive_body},
};
use crate::{
    batch::{
        Chunk, ERRORS_PREFIX, JOB_PREFIX, JobError, JobRecord, JobState,
        NewJob, OUTPUT_PREFIX,
    },
    shared::Shared,
};

const MS_PER_HOUR: u64 = 3_600_000;
const MS_PER_MINUTE: u64 = 60_000;

/// Maximum completion window, in hours; see also the maximum age of an input
/// file, `MAX_INPUT_AGE_MS`.
const MAX_WINDOW_HOURS: u64 = 24 * 14;

/// Endpoint paths that items may be sent to.
const PATHS: [&str; 2] = ["/v1/chat/completions", "/v1/completions"];

pub(crate) fn routes() -> Vec<Route> {
    routes![create, list, show, cancel]
}

#[derive(Deserialize)]
#[serde(rename = "Create", deny_unknown_fields)]
struct CreateRequest {
    input_file_id: String,
    endpoint: String,
    #[serde(default = "default_window")]
    completion_window: String,
    #[serde(default)]
    metadata: Value,
}

fn default_window() -> String {
    "24h".to_owned()
}

/// The `Idempotency-Key` header, if the caller sent one.
struct IdempotencyKey(Option<String>);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for IdempotencyKey {
    type Error = std::convert::Infallible;

    async fn from_request(
        request: &'r Request<'_>,
    ) -> Outcome<Self, Self::Error> {
        let key = request.headers().get_one("idempotency-key");
        Outcome::Success(Self(key.map(str::to_owned)))
    }
}

#[post("/v1/batches", data = "<data>")]
async fn create(
    shared: &State<Arc<Shared>>,
    caller: Result<Authenticated, Problem>,
    key: IdempotencyKey,
    announced: AnnouncedLength,
    data: Data<'_>,
) -> Result<Json<Value>, Problem> {
    let caller = match caller {
        Ok(caller) => caller,
        Err(problem) => {
            discard_body(shared, data).await;
            return Err(problem);
        }
    };
    let Received { bytes, reservation } =
        receive_body(shared, data, announced).await?;
    let create: CreateRequest = serde_json::from_slice(&bytes)
        .map_err(|error| invalid(error.to_string()))?;
    drop(bytes);
    let input: FileId =
        create.input_file_id.parse().map_err(|_| no_input())?;
    if !PATHS.contains(&create.endpoint.as_str()) {
        let detail = format!("endpoint must be one of {}", PATHS.join(", "));
        return Err(invalid(detail));
    }
    let window_ms = window_ms(&create.completion_window).ok_or_else(|| {
        invalid("completion_window must be like 24h or 90m".to_owned())
    })?;
    let due = due_at(&create.metadata)?;
    let last = MAX_WINDOW_HOURS * MS_PER_HOUR;
    let now = shared.timer.clock().unix();
    if due.is_some_and(|due| due > now.saturating_add_ms(last)) {
        let detail = format!("due_at is over {MAX_WINDOW_HOURS} hours away");
        return Err(invalid(detail));
    }
    let job = NewJob {
        customer: caller.caller.customer.clone(),
        idempotency_key: key.0,
        input,
        path: create.endpoint,
        window: create.completion_window,
        window_ms,
        due,
        metadata: create.metadata,
    };
    let created = shared.batch.create(job).await;
    drop(reservation);
    Ok(Json(job_json(&created.map_err(job_problem)?)))
}

fn invalid(detail: String) -> Problem {
    Problem::new(ProblemKind::Invalid, detail).ran(Ran::No)
}

fn no_input() -> Problem {
    let detail = "there is no such input file";
    Problem::new(ProblemKind::NotFound, detail).ran(Ran::No)
}

fn job_problem(error: JobError) -> Problem {
    match error {
        JobError::NoInput => no_input(),
        JobError::InputExpired => {
            let detail = "the input file has expired; upload it again";
            Problem::new(ProblemKind::NotFound, detail).ran(Ran::No)
        }
        JobError::KeyReused(id) => {
            let detail = "the Idempotency-Key came with another job before";
            Problem::new(ProblemKind::KeyReused, detail)
                .ran(Ran::No)
                .with("batch", id.as_str())
        }
        JobError::Failed(report) => platform_problem(report),
    }
}

fn window_ms(text: &str) -> Option<u64> {
    let (number, unit_ms) = match text.strip_suffix('h') {
        Some(number) => (number, MS_PER_HOUR),
        None => (text.strip_suffix('m')?, MS_PER_MINUTE),
    };
    let ms = number.parse::<u64>().ok()?.checked_mul(unit_ms)?;
    (ms > 0 && ms <= MAX_WINDOW_HOURS * MS_PER_HOUR).then_some(ms)
}

/// Parses `due_at` in the metadata: RFC 3339 or Unix seconds.
fn due_at(metadata: &Value) -> Result<Option<UnixMillis>, Problem> {
    let invalid_time = || {
        let detail = "metadata.due_at must be a time like \
                   2026-12-24T06:00:00Z or seconds since 1970";
        invalid(detail.to_owned())
    };
    match metadata.get("due_at") {
        None | Some(Value::Null) => Ok(None),
        Some(Value::Number(seconds)) => {
            let seconds = seconds.as_u64().ok_or_else(invalid_time)?;
            Ok(Some(UnixMillis::new(seconds.saturating_mul(1_000))))
        }
        Some(Value::String(text)) => {
            let time: jiff::Timestamp =
                text.parse().map_err(|_| invalid_time())?;
            let ms = u64::try_from(time.as_millisecond());
            Ok(Some(UnixMillis::new(ms.map_err(|_| invalid_time())?)))
        }
        Some(_) => Err(invalid_time()),
    }
}

fn parse_id(id: &str) -> Result<JobId, Problem> {
    id.parse().map_err(|_| no_job())
}

fn no_job() -> Problem {
    let detail = "there is no such batch";
    Problem::new(ProblemKind::NotFound, detail).ran(Ran::No)
}

#[get("/v1/batches/<id>")]
async fn show(
    shared: &State<Arc<Shared>>,
    caller: Authenticated,
    id: &str,
) -> Result<Json<Value>, Problem> {
    let id = parse_id(id)?;
    let found = shared.batch.job(&caller.caller.customer, &id).await;
    let job = found.map_err(platform_problem)?.ok_or_else(no_job)?;
    Ok(Json(job_json(&job)))
}

#[get("/v1/batches?<limit>&<after>")]
async fn list(
    shared: &State<Arc<Shared>>,
    caller: Authenticated,
    limit: Option<usize>,
    after: Option<&str>,
) -> Result<Json<Value>, Problem> {
    let limit = limit.unwrap_or(20).clamp(1, 100);
    let page = shared
        .batch
        .list(&caller.caller.customer, after, limit)
        .await
        .map_err(platform_problem)?;
    let (jobs, has_more) = (page.jobs, page.has_more);
    Ok(Json(json!({
        "object": "list",
        "data": jobs.iter().map(job_json).collect::<Vec<_>>(),
        "has_more": has_more,
        "first_id": jobs.first().map(|job| &job.id),
        "last_id": jobs.last().map(|job| &job.id),
    })))
}

#[post("/v1/batches/<id>/cancel")]
async fn cancel(
    shared: &State<Arc<Shared>>,
    caller: Authenticated,
    id: &str,
) -> Result<(Status, Json<Value>), Problem> {
    let id = parse_id(id)?;
    let found = shared.batch.cancel(&caller.caller.customer, &id).await;
    let job = found.map_err(platform_problem)?.ok_or_else(no_job)?;
    Ok((Status::Ok, Json(job_json(&job))))
}

fn job_json(job: &JobRecord) -> Value {
    let seconds = |time: UnixMillis| time.as_ms() / 1_000;
    let ended = job.ended.map(seconds);
    let ended_as = |state| ended.filter(|_| job.state == state);
    let file = |chunks: &[Chunk], prefix: &str| {
        // The record holds the newest chunks, so it has some if any exist.
        let rest = job.id.as_str().trim_start_matches(JOB_PREFIX);
        (!chunks.is_empty()).then(|| format!("{prefix}{rest}"))
    };
    let status = match job.state {
        JobState::InProgress => "in_progress",
        JobState::Cancelling => "cancelling",
        JobState::Cancelled => "cancelled",
        JobState::Completed => "completed",
    };
    json!({
        "id": job.id,
        "object": "batch",
        "endpoint": job.path,
        "errors": null,
        "input_file_id": job.input,
        "completion_window": job.window,
        "status": status,
        "output_file_id": file(&job.output, OUTPUT_PREFIX),
        "error_file_id": file(&job.errors, ERRORS_PREFIX),
        "created_at": seconds(job.created),
        "in_progress_at": seconds(job.created),
        "expires_at": seconds(job.due),
        "due_at": seconds(job.due),
        "at_risk": job.at_risk,
        "completed_at": ended_as(JobState::Completed),
        "cancelled_at": ended_as(JobState::Cancelled),
        "request_counts": {
            "total": job.items,
            "completed": job.done.len(),
            "failed": job.failed.len(),
        },
        "metadata": job.metadata,
    })
}
