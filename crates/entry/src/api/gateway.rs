//! Forwards calls to endpoints.

use std::{io::Cursor, sync::Arc};

use obs::Counter;
use rocket::{
    Data, Request, Route, get,
    http::{Header as HttpHeader, Method, Status},
    response::{Builder, Response},
    route::{Handler, Outcome},
    routes,
    serde::json::Json,
};
use serde_json::json;
use web::{Problem, ProblemKind, Ran};
use wire::message::Header;

use super::{
    guard::Authenticated,
    receive::{AnnouncedLength, Received, discard_body, receive_body},
};
use crate::{
    claim::{self, BufferedResponse, Served},
    exchange::Exchange,
    filter::{self, Caller, Incoming, Routed},
    forward::{self, Started},
    shared::{Admitted, Shared},
};

/// Headers of an endpoint's response that the entry replaces.
const REPLACED_HEADERS: [&str; 3] = ["x-request-id", "server", "date"];

/// HTTP methods that a non-inference service may be called with.
const SERVICE_METHODS: [Method; 7] = [
    Method::Get,
    Method::Head,
    Method::Post,
    Method::Put,
    Method::Patch,
    Method::Delete,
    Method::Options,
];

pub(crate) fn routes() -> Vec<Route> {
    let mut routes = routes![models];
    for path in ["/v1/chat/completions", "/v1/completions"] {
        routes.push(Route::new(Method::Post, path, Gateway));
    }
    for method in SERVICE_METHODS {
        routes.push(Route::new(method, "/svc/<service>/<path..>", Gateway));
    }
    routes
}

/// Lists the models that at least one pool serves, in the OpenAI format.
#[get("/v1/models")]
fn models(caller: Authenticated) -> Json<serde_json::Value> {
    let in_force = &caller.caller.in_force;
    let models: Vec<_> = in_force
        .compiled
        .models()
        .into_iter()
        .map(|id| json!({"id": id, "object": "model", "owned_by": "fleet"}))
        .collect();
    Json(json!({"object": "list", "data": models}))
}

/// Route handler that forwards a call through the filters to an endpoint.
#[derive(Clone)]
struct Gateway;

#[rocket::async_trait]
impl Handler for Gateway {
    async fn handle<'r>(
        &self,
        request: &'r Request<'_>,
        data: Data<'r>,
    ) -> Outcome<'r> {
        let Some(shared) = request.rocket().state::<Arc<Shared>>() else {
            return Outcome::Error(Status::InternalServerError);
        };
        let id = filter::request_id(request.headers());
        match serve(shared, &id, request, data).await {
            Ok(served) => Outcome::Success(respond(id.as_str(), served)),
            Err(problem) => {
                log::info!(request_id = id.as_str(); "{problem}");
                Outcome::from(request, ProblemWithId { id, problem })
            }
        }
    }
}

struct ProblemWithId {
    id: base::RequestId,
    problem: Problem,
}

impl<'r> rocket::response::Responder<'r, 'static> for ProblemWithId {
    fn respond_to(
        self,
        request: &'r Request<'_>,
    ) -> rocket::response::Result<'static> {
        let mut response = self.problem.respond_to(request)?;
        response.set_raw_header("x-request-id", self.id.to_string());
        Ok(response)
    }
}

async fn serve(
    shared: &Arc<Shared>,
    id: &base::RequestId,
    request: &Request<'_>,
    data: Data<'_>,
) -> Result<Served, Problem> {
    let received = shared.timer.now();
    // Counted before the phase is checked: a shutdown that has set the
    // phase and then finds nothing running must not abort a call that was
    // admitted just before and whose body is still arriving.
    let _active = shared.state.begin_request();
    let (caller, headers) = match check_head(shared, request) {
        Ok(checked) => checked,
        Err(problem) => {
            discard_body(shared, data).await;
            return Err(problem);
        }
    };
    let announced = AnnouncedLength::of(request);
    let Received { bytes, reservation } =
        receive_body(shared, data, announced).await?;
    let incoming = Incoming {
        request_id: id.clone(),
        received,
        method: request.method().as_str().to_owned(),
        target: request.uri().to_string(),
        headers,
        body: bytes,
    };
    let in_force = caller.in_force.clone();
    let Routed { exchange, limits } = filter::route(shared, caller, incoming)?;
    let metrics = exchange.metrics.clone();
    let class = exchange.class;
    metrics.count(Counter::Arrived, class, 1);
    let admitted = shared.admit()?.with_memory(reservation);
    let now = shared.timer.now();
    let (compiled, customer) = (&in_force.compiled, &exchange.customer);
    let slots = shared.customers.admit(compiled, customer, &limits, now);
    let served = match slots {
        Ok(slots) => send(shared, exchange, admitted.with_limits(slots)).await,
        Err(problem) => Err(problem),
    };
    if let Err(problem) = &served {
        let counter = match problem.ran_status() {
            Some(Ran::No) => Counter::Refused,
            _ => Counter::Failed,
        };
        metrics.count(counter, class, 1);
    }
    served
}

/// Checks what is known of a call before its body is read.
fn check_head(
    shared: &Shared,
    request: &Request<'_>,
) -> Result<(Caller, Vec<Header>), Problem> {
    if !shared.state.is_ready() {
        return Err(shutting_down());
    }
    let caller = filter::authenticate(shared, request.headers())?;
    let headers = filter::check_headers(shared, request.headers())?;
    Ok((caller, headers))
}

async fn send(
    shared: &Arc<Shared>,
    exchange: Exchange,
    admitted: Admitted,
) -> Result<Served, Problem> {
    match filter::idempotency_key(&exchange)? {
        Some(key) => claim::serve(shared, key, exchange, admitted).await,
        None => forward::forward(shared, &exchange, admitted)
            .await
            .map(|started| Served::Started(Box::new(started))),
    }
}

fn shutting_down() -> Problem {
    let detail = "this process is stopping; try again";
    Problem::new(ProblemKind::Stopping, detail)
        .ran(Ran::No)
        .retry_after_ms(1_000)
}

fn respond<'r>(id: &str, served: Served) -> Response<'r> {
    match served {
        Served::Started(started) => respond_streamed(id, *started),
        Served::Buffered(whole) => respond_whole(id, whole),
    }
}

/// Starts a response with the status and headers of an endpoint's response.
fn start_response<'r>(
    id: &str,
    status: u16,
    headers: Vec<Header>,
) -> Builder<'r> {
    let mut response = Response::build();
    response.status(Status::new(status));
    for header in headers {
        if !REPLACED_HEADERS.contains(&header.name.as_str()) {
            response.header_adjoin(HttpHeader::new(header.name, header.value));
        }
    }
    response.header(HttpHeader::new("x-request-id", id.to_owned()));
    response
}

fn respond_whole<'r>(id: &str, whole: BufferedResponse) -> Response<'r> {
    let mut response = start_response(id, whole.status, whole.headers);
    if whole.replayed {
        response.raw_header("idempotency-replayed", "true");
    }
    response
        .sized_body(whole.body.len(), Cursor::new(whole.body))
        .finalize()
}

fn respond_streamed<'r>(id: &str, started: Started) -> Response<'r> {
    let mut response = start_response(id, started.status, started.headers);
    response.streamed_body(started.body).finalize()
}
