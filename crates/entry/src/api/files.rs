//! `/v1/files` in the OpenAI format.

use std::{io, sync::Arc};

use base::{Customer, FileId};
use bytes::Bytes;
use futures::stream::{self, BoxStream, StreamExt};
use multer::{Field, Multipart};
use rocket::{
    Data, Request, Response, Route, State,
    data::ByteUnit,
    get,
    http::ContentType,
    post,
    response::{self, Responder},
    routes,
    serde::json::Json,
};
use serde_json::{Value, json};
use tokio_util::io::{ReaderStream, StreamReader};
use web::{ActiveRequest, Problem, ProblemKind, Ran};

use super::{admin::platform_problem, guard::Authenticated};
use crate::{
    batch::{Chunk, FileRecord, UploadError},
    shared::Shared,
};

pub(crate) fn routes() -> Vec<Route> {
    routes![upload, show, content]
}

/// The only supported purpose of an upload.
const PURPOSE: &str = "batch";

#[post("/v1/files", data = "<data>")]
async fn upload(
    shared: &State<Arc<Shared>>,
    caller: Authenticated,
    content_type: Option<&ContentType>,
    data: Data<'_>,
) -> Result<Json<Value>, Problem> {
    let boundary = content_type.and_then(|kind| kind.param("boundary"));
    let boundary = boundary.ok_or_else(|| {
        bad_request(
            "send multipart/form-data with the fields purpose and file",
        )
    })?;
    let limit = shared.limits.file_max_bytes;
    let stream = ReaderStream::new(data.open(ByteUnit::Byte(limit + 1)));
    let mut form = Multipart::new(stream, boundary);
    let mut record = None;
    let mut purpose = None;
    while let Some(field) = form.next_field().await.map_err(malformed_form)? {
        match field.name() {
            Some("purpose") => {
                purpose = Some(field.text().await.map_err(malformed_form)?);
            }
            Some("file") => {
                let customer = caller.caller.customer.clone();
                record = Some(store(shared, customer, field, limit).await?);
            }
            _ => {}
        }
    }
    if purpose.as_deref() != Some(PURPOSE) {
        return Err(bad_request("the field purpose must be `batch`"));
    }
    let record =
        record.ok_or_else(|| bad_request("the field file is missing"))?;
    Ok(Json(file_json(&record)))
}

async fn store(
    shared: &Shared,
    customer: Customer,
    mut field: Field<'_>,
    limit: u64,
) -> Result<FileRecord, Problem> {
    let filename = field.file_name().unwrap_or("input.jsonl").to_owned();
    let mut upload = shared.batch.begin_upload(customer);
    let mut bytes = 0;
    while let Some(chunk) = field.chunk().await.map_err(malformed_form)? {
        bytes += chunk.len() as u64;
        if bytes > limit {
            let detail = format!("the file is over {limit} bytes");
            let problem = Problem::new(ProblemKind::TooLarge, detail);
            return Err(problem.ran(Ran::No));
        }
        upload.push(&chunk).await.map_err(upload_problem)?;
    }
    upload.finish(filename).await.map_err(upload_problem)
}

fn bad_request(detail: &str) -> Problem {
    Problem::new(ProblemKind::BadRequest, detail).ran(Ran::No)
}

fn malformed_form(error: multer::Error) -> Problem {
    bad_request(&format!("the form is broken: {error}"))
}

fn upload_problem(error: UploadError) -> Problem {
    match error {
        UploadError::Input(error) => {
            Problem::new(ProblemKind::Invalid, error.to_string())
                .ran(Ran::No)
                .with("line", error.line)
        }
        UploadError::Failed(report) => platform_problem(report),
    }
}

fn file_json(record: &FileRecord) -> Value {
    json!({
        "id": record.id,
        "object": "file",
        "bytes": record.bytes,
        "created_at": record.created.as_ms() / 1_000,
        "filename": record.filename,
        "purpose": record.purpose,
        "status": "processed",
    })
}

#[get("/v1/files/<id>")]
async fn show(
    shared: &State<Arc<Shared>>,
    caller: Authenticated,
    id: &str,
) -> Result<Json<Value>, Problem> {
    let id: FileId = id.parse().map_err(|_| no_file())?;
    let found = shared.batch.file(&caller.caller.customer, &id).await;
    let record = found.map_err(platform_problem)?.ok_or_else(no_file)?;
    Ok(Json(file_json(&record)))
}

pub(crate) fn no_file() -> Problem {
    let detail = "there is no such file";
    Problem::new(ProblemKind::NotFound, detail).ran(Ran::No)
}

#[get("/v1/files/<id>/content")]
async fn content(
    shared: &State<Arc<Shared>>,
    caller: Authenticated,
    id: &str,
) -> Result<FileBody, Problem> {
    let id: FileId = id.parse().map_err(|_| no_file())?;
    let found = shared.batch.content(&caller.caller.customer, &id).await;
    let chunks = found.map_err(platform_problem)?.ok_or_else(no_file)?;
    let bytes = chunks.iter().map(|chunk| chunk.bytes).sum();
    let mut chunks = chunks.into_iter();
    // The first chunk is read before the status is sent, so that an
    // unreadable file gives an error and not an empty response.
    let first = match chunks.next() {
        Some(chunk) => shared.batch.blobs().get(&chunk).await,
        None => Ok(Bytes::new()),
    }
    .map_err(platform_problem)?;
    let shared = Arc::clone(shared);
    let rest = stream::iter(chunks).then(move |chunk: Chunk| {
        let shared = shared.clone();
        async move { read_chunk(&shared, chunk).await }
    });
    let all = stream::once(async { Ok(first) }).chain(rest);
    Ok(FileBody {
        bytes,
        body: Box::pin(all),
        active: caller.active,
    })
}

async fn read_chunk(shared: &Shared, chunk: Chunk) -> io::Result<Bytes> {
    shared.batch.blobs().get(&chunk).await.map_err(|report| {
        log::warn!(error:? = report; "cannot read a chunk of a download");
        io::Error::other(report.to_string())
    })
}

/// A response body that streams the chunks of a file as they are read.
///
/// The length is sent first, so that an unreadable chunk aborts the
/// connection: a clean end would make a truncated file look complete.
struct FileBody {
    bytes: u64,
    body: BoxStream<'static, io::Result<Bytes>>,
    active: ActiveRequest,
}

impl<'r> Responder<'r, 'static> for FileBody {
    fn respond_to(self, _: &'r Request<'_>) -> response::Result<'static> {
        let active = self.active;
        let body = self.body.inspect(move |_| {
            // Moved in, so that it lives as long as the stream.
            let _ = &active;
        });
        Response::build()
            .header(ContentType::new("application", "jsonl"))
            .raw_header("Content-Length", self.bytes.to_string())
            .streamed_body(StreamReader::new(body))
            .ok()
    }
}
