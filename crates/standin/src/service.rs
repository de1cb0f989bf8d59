//! Plain service that shows how often each call has run.
//!
//! Any method and path is answered by a JSON object that is a function of
//! the request ([`PlainAnswer`]), so that a checker can verify it:
//!
//! ```json
//! {"method": "POST", "path": "/x?y=1", "body_sha256": "9f86..."}
//! ```
//!
//! A call that carries `X-Call-Id` is counted under that name. A request
//! body that contains `[[drop]]` closes the connection after the call has
//! run and before it is answered; `[[slow N]]` waits N milliseconds. Two
//! paths are the stand-in's own:
//!
//! - `GET /counts` tells the runs so far ([`PlainServiceCounts`]), `DELETE
//!   /counts` starts them anew.
//! - `POST /faults` replaces the faults ([`PlainServiceFaults`]).
//!
//! # Example
//!
//! ```
//! use pomeloslip_standin::service::{
//!     PlainAnswer, PlainService, PlainServiceSettings,
//! };
//!
//! # tokio::runtime::Runtime::new()?.block_on(async {
//! let settings = PlainServiceSettings::default();
//! let service = PlainService::start(settings).await.unwrap();
//! let reply = reqwest::Client::new()
//!     .post(format!("{}/rebook", service.url()))
//!     .header("X-Call-Id", "call-1")
//!     .body("seat 4")
//!     .send()
//!     .await
//!     .unwrap();
//! let answer: PlainAnswer = reply.json().await.unwrap();
//! assert_eq!(answer, PlainAnswer::of("POST", "/rebook", b"seat 4"));
//! assert_eq!(service.counts().by_call_id["call-1"], 1);
//! service.stop().await;
//! # });
//! # Ok::<(), std::io::Error>(())
//! ```

use std::{
    fmt::Write,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use error_stack::Report;
use indexmap::IndexMap;
use rand::{Rng, SeedableRng, rngs::StdRng};
use rocket::{
    Data, Request, Route, State,
    data::ToByteUnit,
    delete, get,
    http::{Method, Status},
    post,
    route::{Handler, Outcome},
    routes,
    serde::json::Json,
};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    StandinError,
    delivery::Delivery,
    serve::{self, BODY_LIMIT_MIB, Cut, Served},
};

/// Header that names a call.
pub const CALL_ID_HEADER: &str = "X-Call-Id";

/// Rank of the routes for any path, behind those with a fixed one.
const ANY_PATH_RANK: isize = 10;

/// Methods that are served; HEAD goes to the routes for GET.
const METHODS: [Method; 6] = [
    Method::Get,
    Method::Put,
    Method::Post,
    Method::Delete,
    Method::Patch,
    Method::Options,
];

const DROP_MARK: &str = "[[drop]]";
const SLOW_MARK: &str = "[[slow ";
const MARK_END: &str = "]]";

/// Settings of a [`PlainService`].
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainServiceSettings {
    /// Address to listen at; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Faults from the start.
    pub faults: PlainServiceFaults,
    /// How answers are delivered.
    pub delivery: Delivery,
}

impl Default for PlainServiceSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            faults: PlainServiceFaults::default(),
            delivery: Delivery::default(),
        }
    }
}

/// Faults of a [`PlainService`]; the default has none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainServiceFaults {
    /// Time that each call takes.
    pub latency_ms: u64,
    /// Share of the calls, 0 to 1, that run and then get status 500.
    pub fail_share: f64,
    /// Seed of the choice of those calls.
    pub seed: u64,
}

/// How often a [`PlainService`] has run calls.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct PlainServiceCounts {
    /// Calls that ran, whether or not they were answered.
    pub runs: u64,
    /// Runs by [`CALL_ID_HEADER`]; more than 1 is a double run.
    pub by_call_id: IndexMap<String, u64>,
}

/// Body of an answer.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PlainAnswer {
    /// Method of the request.
    pub method: String,
    /// Path of the request with its query.
    pub path: String,
    /// Digest of the request's body in hexadecimal.
    pub body_sha256: String,
}

impl PlainAnswer {
    /// Returns the answer that a request must get.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_standin::service::PlainAnswer;
    ///
    /// let answer = PlainAnswer::of("GET", "/x", b"");
    /// assert!(answer.body_sha256.starts_with("e3b0c442"));
    /// ```
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let digest = Sha256::digest(body);
        let mut body_sha256 = String::with_capacity(2 * digest.len());
        for byte in digest {
            // Writing to a string cannot fail.
            let _ = write!(body_sha256, "{byte:02x}");
        }
        Self {
            method: method.to_owned(),
            path: path.to_owned(),
            body_sha256,
        }
    }
}

/// Starts stand-ins of plain services.
#[derive(Clone, Copy, Debug)]
pub struct PlainService;

impl PlainService {
    /// Starts a server.
    ///
    /// # Errors
    ///
    /// [`StandinError::Settings`] if a share is not within 0 to 1,
    /// [`StandinError::Listen`] if the address cannot be bound.
    pub async fn start(
        settings: PlainServiceSettings,
    ) -> Result<PlainServiceHandle, Report<StandinError>> {
        let core = Arc::new(Core::default());
        core.set_faults(settings.faults)?;
        let any = METHODS.map(|method| {
            let mut route = Route::new(method, "/<..>", AnyCall);
            route.rank = ANY_PATH_RANK;
            route
        });
        let own = routes![counts, reset_counts, set_faults];
        let rocket = rocket::build()
            .manage(Arc::clone(&core))
            .mount("/", own)
            .mount("/", any.to_vec());
        let PlainServiceSettings {
            listen, delivery, ..
        } = settings;
        let served =
            serve::launch_with_delivery(rocket, listen, delivery).await?;
        Ok(PlainServiceHandle { served, core })
    }
}

/// Steers a running [`PlainService`]; dropping it stops the server.
#[derive(Debug)]
pub struct PlainServiceHandle {
    served: Served,
    core: Arc<Core>,
}

impl PlainServiceHandle {
    /// Returns the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.served.address()
    }

    /// Returns the address as the start of a URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Replaces the faults.
    ///
    /// # Errors
    ///
    /// [`StandinError::Settings`] if a share is not within 0 to 1.
    pub fn set_faults(
        &self,
        faults: PlainServiceFaults,
    ) -> Result<(), Report<StandinError>> {
        self.core.set_faults(faults)
    }

    /// Returns the runs so far.
    pub fn counts(&self) -> PlainServiceCounts {
        self.core.state().counts.clone()
    }

    /// Starts the counts anew.
    pub fn reset_counts(&self) {
        self.core.state().counts = PlainServiceCounts::default();
    }

    /// Closes the listener and all connections.
    pub async fn stop(self) {
        self.served.stop().await;
    }
}

#[derive(Debug, Default)]
struct Core(Mutex<Inner>);

#[derive(Debug)]
struct Inner {
    faults: PlainServiceFaults,
    random: StdRng,
    counts: PlainServiceCounts,
}

impl Default for Inner {
    fn default() -> Self {
        Self {
            faults: PlainServiceFaults::default(),
            random: StdRng::seed_from_u64(0),
            counts: PlainServiceCounts::default(),
        }
    }
}

impl Core {
    fn set_faults(
        &self,
        faults: PlainServiceFaults,
    ) -> Result<(), Report<StandinError>> {
        if !(0.0..=1.0).contains(&faults.fail_share) {
            let report = Report::new(StandinError::Settings);
            return Err(report.attach("fail_share must be within 0 to 1"));
        }
        let mut state = self.state();
        state.faults = faults;
        state.random = StdRng::seed_from_u64(faults.seed);
        Ok(())
    }

    /// Takes note of a run and tells whether it fails.
    fn run(&self, call_id: Option<&str>) -> bool {
        let mut state = self.state();
        state.counts.runs += 1;
        if let Some(id) = call_id {
            *state.counts.by_call_id.entry(id.to_owned()).or_default() += 1;
        }
        let fail_share = state.faults.fail_share;
        state.random.random_bool(fail_share)
    }

    fn state(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs a call of any method and path.
#[derive(Clone)]
struct AnyCall;

#[rocket::async_trait]
impl Handler for AnyCall {
    async fn handle<'r>(
        &self,
        request: &'r Request<'_>,
        data: Data<'r>,
    ) -> Outcome<'r> {
        let Some(core) = request.rocket().state::<Arc<Core>>() else {
            return Outcome::Error(Status::InternalServerError);
        };
        let body =
            match data.open(BODY_LIMIT_MIB.mebibytes()).into_bytes().await {
                Ok(body) if body.is_complete() => body.into_inner(),
                Ok(_) => return Outcome::Error(Status::PayloadTooLarge),
                // The call was cut off before it was whole, so it did not run.
                Err(_) => return Outcome::Error(Status::BadRequest),
            };
        let text = String::from_utf8_lossy(&body);
        let latency_ms = core.state().faults.latency_ms;
        let wait_ms = latency_ms.saturating_add(slow_ms(&text));
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        let fails = core.run(request.headers().get_one(CALL_ID_HEADER));
        if text.contains(DROP_MARK) {
            return Outcome::from(request, Cut);
        }
        if fails {
            return Outcome::Error(Status::InternalServerError);
        }
        let method = request.method().as_str();
        let path = request.uri().to_string();
        Outcome::from(request, Json(PlainAnswer::of(method, &path, &body)))
    }
}

/// Returns the N of `[[slow N]]`, 0 without that mark.
fn slow_ms(body: &str) -> u64 {
    let after = body.split_once(SLOW_MARK).map(|(_, after)| after);
    let number = after.and_then(|text| text.split_once(MARK_END));
    number.and_then(|(text, _)| text.parse().ok()).unwrap_or(0)
}

#[get("/counts")]
fn counts(core: &State<Arc<Core>>) -> Json<PlainServiceCounts> {
    Json(core.state().counts.clone())
}

#[delete("/counts")]
fn reset_counts(core: &State<Arc<Core>>) -> Status {
    core.state().counts = PlainServiceCounts::default();
    Status::NoContent
}

#[post("/faults", data = "<faults>")]
fn set_faults(
    faults: Json<PlainServiceFaults>,
    core: &State<Arc<Core>>,
) -> Status {
    match core.set_faults(*faults) {
        Ok(()) => Status::NoContent,
        Err(_) => Status::BadRequest,
    }
}
