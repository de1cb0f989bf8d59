//! HTTP side of the stand-in.

use std::sync::Arc;

use ::kv::json::{
    CompactionRequest, DeleteRangeRequest, LeaseGrantRequest,
    LeaseKeepAliveRequest, LeaseRevokeRequest, PutRequest, RangeRequest,
    TxnRequest, WatchRequest,
};
use rocket::{
    Build, Request, Response, Rocket, Shutdown, State, delete, get,
    http::{ContentType, Status},
    post,
    response::{self, Responder, stream::ByteStream},
    routes,
    serde::json::Json,
};

use super::{
    calls::Refusal,
    core::{Core, Reply},
    counts::{CallKind, KvCounts},
    faults::KvFaults,
    watch::OpenWatch,
};
use crate::serve::Cut;

type Service = State<Arc<Core>>;

pub(super) fn mount(rocket: Rocket<Build>, core: Arc<Core>) -> Rocket<Build> {
    let calls = routes![
        range,
        put,
        delete_range,
        txn,
        compaction,
        grant,
        keep_alive,
        revoke,
        watch,
        faults,
        set_faults,
        counts,
        reset_counts
    ];
    rocket.manage(core).mount("/", calls)
}

impl<'r> Responder<'r, 'static> for Reply {
    fn respond_to(
        self,
        request: &'r Request<'_>,
    ) -> response::Result<'static> {
        match self {
            Reply::Cut => Cut.respond_to(request),
            Reply::Json(status, body) => Response::build()
                .status(Status::new(status))
                .header(ContentType::JSON)
                .sized_body(body.len(), std::io::Cursor::new(body))
                .ok(),
        }
    }
}

#[post("/v3/kv/range", data = "<body>")]
async fn range(body: Vec<u8>, core: &Service) -> Reply {
    core.answer::<RangeRequest>(&body).await
}

#[post("/v3/kv/put", data = "<body>")]
async fn put(body: Vec<u8>, core: &Service) -> Reply {
    core.answer::<PutRequest>(&body).await
}

#[post("/v3/kv/deleterange", data = "<body>")]
async fn delete_range(body: Vec<u8>, core: &Service) -> Reply {
    core.answer::<DeleteRangeRequest>(&body).await
}

#[post("/v3/kv/txn", data = "<body>")]
async fn txn(body: Vec<u8>, core: &Service) -> Reply {
    core.answer::<TxnRequest>(&body).await
}

#[post("/v3/kv/compaction", data = "<body>")]
async fn compaction(body: Vec<u8>, core: &Service) -> Reply {
    core.answer::<CompactionRequest>(&body).await
}

#[post("/v3/lease/grant", data = "<body>")]
async fn grant(body: Vec<u8>, core: &Service) -> Reply {
    core.answer::<LeaseGrantRequest>(&body).await
}

#[post("/v3/lease/keepalive", data = "<body>")]
async fn keep_alive(body: Vec<u8>, core: &Service) -> Reply {
    core.answer::<LeaseKeepAliveRequest>(&body).await
}

#[post("/v3/lease/revoke", data = "<body>")]
async fn revoke(body: Vec<u8>, core: &Service) -> Reply {
    core.answer::<LeaseRevokeRequest>(&body).await
}

#[post("/v3/watch", data = "<body>")]
async fn watch(
    body: Vec<u8>,
    core: &Service,
    shutdown: Shutdown,
) -> Result<(ContentType, ByteStream![Vec<u8>]), Reply> {
    core.admit(CallKind::Watch, body.len()).await?;
    let request: WatchRequest = serde_json::from_slice(&body)
        .map_err(|error| core.refuse(&Refusal::malformed(&error)))?;
    let mut watch = OpenWatch::begin(core, request.create_request);
    let lines = ByteStream! {
        let mut shutdown = shutdown;
        loop {
            let line = tokio::select! {
                line = watch.next() => line,
                () = &mut shutdown => None,
            };
            match line {
                Some(line) => yield line,
                None => break,
            }
        }
    };
    Ok((ContentType::JSON, lines))
}

#[get("/faults")]
fn faults(core: &Service) -> Json<KvFaults> {
    Json(core.faults())
}

#[post("/faults", data = "<faults>")]
fn set_faults(faults: Json<KvFaults>, core: &Service) -> Status {
    match core.set_faults(*faults) {
        Ok(()) => Status::NoContent,
        Err(_) => Status::BadRequest,
    }
}

#[get("/counts")]
fn counts(core: &Service) -> Json<KvCounts> {
    Json(core.counts())
}

#[delete("/counts")]
fn reset_counts(core: &Service) -> Status {
    core.reset_counts();
    Status::NoContent
}
