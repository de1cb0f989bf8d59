//! Uploads of files by `POST /v1/files`.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use base::Customer;
use bytes::Bytes;
use futures::stream::{Stream, StreamExt};
use multer::{Field, Multipart};
use rocket::{
    Data, State, data::DataStream, http::ContentType, post, serde::json::Json,
};
use serde_json::Value;
use tokio_util::io::ReaderStream;
use web::{Problem, ProblemKind, Ran};

use super::{
    admin::platform_problem,
    files::file_json,
    guard::Authenticated,
    receive::{Arriving, discard, open},
};
use crate::{
    batch::{FileRecord, UploadError},
    shared::Shared,
};

/// The only supported purpose of an upload.
const PURPOSE: &str = "batch";

/// Memory of an upload besides its buffers: the parser of the form and a chunk
/// that is being written.
const UPLOAD_BYTES: u64 = 256 * 1024;

/// Copies of the buffers that exist at the same time: the old buffer beside a
/// new one, and the messages to the data VMs.
const COPIES: u64 = 2;

/// Maximum number of bytes of a form that belong to no field yet, or to a
/// field other than the file.
const MAX_FORM_BYTES: u64 = 128 * 1024;

#[post("/v1/files", data = "<data>")]
pub(super) async fn upload(
    shared: &State<Arc<Shared>>,
    caller: Result<Authenticated, Problem>,
    content_type: Option<&ContentType>,
    data: Data<'_>,
) -> Result<Json<Value>, Problem> {
    let limits = &shared.limits;
    let mut stream = open(data, limits, limits.file_max_bytes);
    let received = match caller {
        Ok(caller) => {
            receive_form(shared, &caller, content_type, &mut stream).await
        }
        Err(problem) => Err(problem),
    };
    if received.is_err() {
        discard(&mut stream, limits).await;
    }
    received
}

async fn receive_form(
    shared: &Shared,
    caller: &Authenticated,
    content_type: Option<&ContentType>,
    stream: &mut DataStream<'_>,
) -> Result<Json<Value>, Problem> {
    let boundary = content_type.and_then(|kind| kind.param("boundary"));
    let boundary = boundary.ok_or_else(|| {
        bad_request(
            "send multipart/form-data with the fields purpose and file",
        )
    })?;
    let arriving = Arriving::new(&shared.memory, &shared.limits, UPLOAD_BYTES);
    let progress = FormProgress::default();
    let bytes = FormBytes {
        stream: ReaderStream::new(stream),
        progress: progress.clone(),
        paused_at: 0,
        pauses: 0,
    };
    let form = Multipart::new(bytes, boundary);
    let mut form = UploadForm {
        arriving: arriving?,
        progress,
        form,
    };
    let mut record = None;
    let mut purpose = None;
    while let Some(field) = form.next_field().await? {
        match field.name() {
            Some("purpose") => purpose = Some(form.text(field).await?),
            Some("file") => {
                let customer = caller.caller.customer.clone();
                record = Some(form.store(shared, customer, field).await?);
            }
            _ => drop(form.text(field).await?),
        }
    }
    if purpose.as_deref() != Some(PURPOSE.as_bytes()) {
        return Err(bad_request("the field purpose must be `batch`"));
    }
    let record =
        record.ok_or_else(|| bad_request("the field file is missing"))?;
    Ok(Json(file_json(&record)))
}

/// How much of a form has been read, and how much of it was taken.
#[derive(Clone, Debug, Default)]
struct FormProgress {
    read: Arc<AtomicU64>,
    taken: Arc<AtomicU64>,
}

impl FormProgress {
    fn read_bytes(&self) -> u64 {
        self.read.load(Ordering::Relaxed)
    }

    fn taken_bytes(&self) -> u64 {
        self.taken.load(Ordering::Relaxed)
    }

    fn take(&self, bytes: usize) {
        self.taken.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// The bytes of a form, which pause while the parser holds as many as it may.
///
/// The parser reads everything that has arrived before it returns any of it.
struct FormBytes<S> {
    stream: S,
    progress: FormProgress,
    /// The bytes that were taken when the stream paused.
    paused_at: u64,
    /// Number of pauses since then.
    pauses: u32,
}

/// Number of pauses after which a form that yields nothing is refused. The
/// parser is polled a few times at the end of one field and the start of the
/// next.
const MAX_PAUSES: u32 = 16;

impl<S> FormBytes<S> {
    /// Pauses; returns an error if that does not help.
    fn pause(&mut self, taken: u64) -> io::Result<()> {
        if self.paused_at != taken {
            self.paused_at = taken;
            self.pauses = 0;
        }
        self.pauses += 1;
        match self.pauses > MAX_PAUSES {
            true => Err(io::Error::other("a field has no end")),
            false => Ok(()),
        }
    }
}

impl<S> Stream for FormBytes<S>
where
    S: Stream<Item = io::Result<Bytes>> + Unpin,
{
    type Item = io::Result<Bytes>;

    fn poll_next(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Bytes>>> {
        let form = self.get_mut();
        let taken = form.progress.taken_bytes();
        if form.progress.read_bytes() - taken >= MAX_FORM_BYTES {
            if let Err(error) = form.pause(taken) {
                return Poll::Ready(Some(Err(error)));
            }
            // The parser returns what it holds, or is polled again.
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let bytes = form.stream.poll_next_unpin(cx);
        if let Poll::Ready(Some(Ok(bytes))) = &bytes {
            let read = &form.progress.read;
            read.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        }
        bytes
    }
}

/// A form that is being received.
struct UploadForm<'a> {
    arriving: Arriving,
    progress: FormProgress,
    form: Multipart<'a>,
}

impl<'a> UploadForm<'a> {
    async fn next_field(&mut self) -> Result<Option<Field<'a>>, Problem> {
        let read = self.progress.read_bytes();
        let field = self.arriving.next(read, self.form.next_field());
        field.await?.map_err(malformed_form)
    }

    async fn next_chunk(
        &self,
        field: &mut Field<'_>,
    ) -> Result<Option<Bytes>, Problem> {
        let read = self.progress.read_bytes();
        let chunk = self.arriving.next(read, field.chunk()).await?;
        let chunk = chunk.map_err(malformed_form)?;
        if let Some(chunk) = &chunk {
            self.progress.take(chunk.len());
            self.arriving.reservation.record(chunk.len() as u64);
        }
        Ok(chunk)
    }

    /// Reads a short field.
    async fn text(&self, mut field: Field<'_>) -> Result<Vec<u8>, Problem> {
        let mut text = Vec::new();
        while let Some(chunk) = self.next_chunk(&mut field).await? {
            text.extend_from_slice(&chunk);
            if text.len() as u64 > MAX_FORM_BYTES {
                return Err(bad_request("a field is too long"));
            }
        }
        Ok(text)
    }

    /// Stores the file.
    async fn store(
        &self,
        shared: &Shared,
        customer: Customer,
        mut field: Field<'_>,
    ) -> Result<FileRecord, Problem> {
        let limit = shared.limits.file_max_bytes;
        let reservation = &self.arriving.reservation;
        let filename = field.file_name().unwrap_or("input.jsonl").to_owned();
        let mut upload = shared.batch.begin_upload(customer);
        let mut bytes = 0;
        while let Some(chunk) = self.next_chunk(&mut field).await? {
            bytes += chunk.len() as u64;
            if bytes > limit {
                let detail = format!("the file is over {limit} bytes");
                let problem = Problem::new(ProblemKind::TooLarge, detail);
                return Err(problem.ran(Ran::No));
            }
            let held = upload.held_bytes() + chunk.len() as u64;
            self.arriving.grow_to(UPLOAD_BYTES + COPIES * held)?;
            self.arriving.keep()?;
            upload.push(&chunk).await.map_err(upload_problem)?;
            reservation.resume();
        }
        self.arriving.keep()?;
        upload.finish(filename).await.map_err(upload_problem)
    }
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
