//! `/v1/files` in the OpenAI format.

use std::{io, sync::Arc};

use base::FileId;
use bytes::Bytes;
use futures::stream::{self, BoxStream, StreamExt};
use rocket::{
    Request, Response, Route, State, get,
    http::ContentType,
    response::{self, Responder},
    routes,
    serde::json::Json,
};
use serde_json::{Value, json};
use tokio_util::io::StreamReader;
use web::{ActiveRequest, Problem, ProblemKind, Ran};

use super::{admin::platform_problem, guard::Authenticated, upload};
use crate::{
    batch::{Chunk, FileRecord},
    shared::Shared,
};

pub(crate) fn routes() -> Vec<Route> {
    routes![upload::upload, show, content]
}

pub(super) fn file_json(record: &FileRecord) -> Value {
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
