//! Weight store with a limited rate.
//!
//! `GET /weights/{model}/{version}` answers `size_bytes` bytes that are a
//! function of the two names. A call beyond the rate gets status 429 with
//! `Retry-After` in whole seconds. `GET /counts` tells the calls so far
//! ([`WeightCounts`]).
//!
//! # Example
//!
//! ```
//! use std::sync::Arc;
//!
//! use base::SteppedClock;
//! use pomeloslip_standin::weights::{WeightStore, WeightStoreSettings};
//!
//! # tokio::runtime::Runtime::new()?.block_on(async {
//! let settings = WeightStoreSettings {
//!     calls_per_minute: 30,
//!     burst_calls: 1,
//!     ..WeightStoreSettings::default()
//! };
//! let clock = Arc::new(SteppedClock::default());
//! let store = WeightStore::start_with_clock(settings, clock.clone())
//!     .await
//!     .unwrap();
//! let url = format!("{}/weights/korv-lm/v2", store.url());
//! let get = || async { reqwest::get(&url).await.unwrap() };
//! assert_eq!(get().await.status(), 200);
//! let limited = get().await;
//! assert_eq!(limited.status(), 429);
//! assert_eq!(limited.headers()["retry-after"], "2");
//! clock.step_ms(2_000);
//! assert_eq!(get().await.status(), 200);
//! assert_eq!(store.counts().limited, 1);
//! # });
//! # Ok::<(), std::io::Error>(())
//! ```

use std::{
    fmt,
    io::Cursor,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use base::{Clock, Millis, SystemClock};
use error_stack::Report;
use indexmap::IndexMap;
use rocket::{
    Request, Response, State, get,
    http::{ContentType, Status},
    response::{self, Responder},
    routes,
    serde::json::Json,
};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    StandinError,
    serve::{self, Served},
};

const MS_PER_MINUTE: u64 = 60_000;
const MS_PER_S: u64 = 1_000;

/// Settings of a [`WeightStore`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightStoreSettings {
    /// Address to listen at; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Size of each answer.
    pub size_bytes: usize,
    /// Calls that are served in a minute on average.
    pub calls_per_minute: u64,
    /// Calls that are served at once after a pause.
    pub burst_calls: u64,
}

impl Default for WeightStoreSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            size_bytes: 64 << 10,
            calls_per_minute: 60,
            burst_calls: 4,
        }
    }
}

/// Calls that a [`WeightStore`] has received.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct WeightCounts {
    /// Calls that were served.
    pub served: u64,
    /// Calls that were beyond the rate.
    pub limited: u64,
    /// Bytes that were served.
    pub bytes_out: u64,
    /// Calls that were served, by `model/version`.
    pub by_version: IndexMap<String, u64>,
}

/// Returns the bytes that a store serves for a version.
///
/// # Example
///
/// ```
/// use pomeloslip_standin::weights::weight_bytes;
///
/// assert_eq!(weight_bytes("m", "v1", 100).len(), 100);
/// assert_ne!(weight_bytes("m", "v1", 100), weight_bytes("m", "v2", 100));
/// ```
pub fn weight_bytes(model: &str, version: &str, size: usize) -> Vec<u8> {
    let digest = Sha256::digest(format!("{model}/{version}"));
    digest.iter().copied().cycle().take(size).collect()
}

/// Starts stand-ins of the weight store.
#[derive(Clone, Copy, Debug)]
pub struct WeightStore;

impl WeightStore {
    /// Starts a server whose rate goes by the machine's clock.
    ///
    /// # Errors
    ///
    /// [`StandinError::Settings`] if the rate or the burst is 0,
    /// [`StandinError::Listen`] if the address cannot be bound.
    pub async fn start(
        settings: WeightStoreSettings,
    ) -> Result<WeightStoreHandle, Report<StandinError>> {
        Self::start_with_clock(settings, Arc::new(SystemClock::new())).await
    }

    /// Starts a server whose rate goes by another clock.
    ///
    /// # Errors
    ///
    /// As [`WeightStore::start`].
    pub async fn start_with_clock(
        settings: WeightStoreSettings,
        clock: Arc<dyn Clock>,
    ) -> Result<WeightStoreHandle, Report<StandinError>> {
        if settings.calls_per_minute == 0 || settings.burst_calls == 0 {
            let report = Report::new(StandinError::Settings);
            return Err(report.attach("a rate or burst of 0 serves nothing"));
        }
        let core = Arc::new(Core::new(settings, clock));
        let rocket = rocket::build()
            .manage(Arc::clone(&core))
            .mount("/", routes![weights, counts]);
        let served = serve::launch(rocket, settings.listen).await?;
        Ok(WeightStoreHandle { served, core })
    }
}

/// Steers a running [`WeightStore`]; dropping it stops the server.
#[derive(Debug)]
pub struct WeightStoreHandle {
    served: Served,
    core: Arc<Core>,
}

impl WeightStoreHandle {
    /// Returns the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.served.address()
    }

    /// Returns the address as the start of a URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Returns the calls so far.
    pub fn counts(&self) -> WeightCounts {
        self.core.state().counts.clone()
    }

    /// Closes the listener and all connections.
    pub async fn stop(self) {
        self.served.stop().await;
    }
}

struct Core {
    clock: Arc<dyn Clock>,
    settings: WeightStoreSettings,
    state: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    bucket: Bucket,
    counts: WeightCounts,
}

impl Core {
    fn new(settings: WeightStoreSettings, clock: Arc<dyn Clock>) -> Self {
        let bucket = Bucket::new(&settings, clock.now());
        Self {
            clock,
            settings,
            state: Mutex::new(Inner {
                bucket,
                counts: WeightCounts::default(),
            }),
        }
    }

    fn serve(&self, model: &str, version: &str) -> Reply {
        let mut state = self.state();
        if let Err(wait_ms) = state.bucket.take(self.clock.now()) {
            state.counts.limited += 1;
            return Reply::Limited {
                retry_after_s: wait_ms.div_ceil(MS_PER_S),
            };
        }
        state.counts.served += 1;
        state.counts.bytes_out += self.settings.size_bytes as u64;
        let name = format!("{model}/{version}");
        *state.counts.by_version.entry(name).or_default() += 1;
        drop(state);
        let size = self.settings.size_bytes;
        Reply::Weights(weight_bytes(model, version, size))
    }

    fn state(&self) -> MutexGuard<'_, Inner> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for Core {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Core")
            .field("settings", &self.settings)
            .field("state", &self.state)
            .finish_non_exhaustive()
    }
}

/// Token bucket; a call costs [`MS_PER_MINUTE`] units, and each
/// millisecond earns one unit for each call of the rate.
#[derive(Debug)]
struct Bucket {
    units_per_ms: u64,
    capacity: u64,
    units: u64,
    filled_at: Millis,
}

impl Bucket {
    fn new(settings: &WeightStoreSettings, now: Millis) -> Self {
        let capacity = settings.burst_calls.saturating_mul(MS_PER_MINUTE);
        Self {
            units_per_ms: settings.calls_per_minute,
            capacity,
            units: capacity,
            filled_at: now,
        }
    }

    /// Takes one call or returns the milliseconds to wait for it.
    fn take(&mut self, now: Millis) -> Result<(), u64> {
        let passed_ms = now.saturating_ms_since(self.filled_at);
        let earned = passed_ms.saturating_mul(self.units_per_ms);
        self.units = self.units.saturating_add(earned).min(self.capacity);
        self.filled_at = now;
        match self.units.checked_sub(MS_PER_MINUTE) {
            Some(left) => {
                self.units = left;
                Ok(())
            }
            None => {
                let missing = MS_PER_MINUTE - self.units;
                Err(missing.div_ceil(self.units_per_ms))
            }
        }
    }
}

enum Reply {
    Weights(Vec<u8>),
    Limited { retry_after_s: u64 },
}

impl<'r> Responder<'r, 'static> for Reply {
    fn respond_to(self, _: &'r Request<'_>) -> response::Result<'static> {
        match self {
            Reply::Weights(bytes) => Response::build()
                .header(ContentType::Binary)
                .sized_body(bytes.len(), Cursor::new(bytes))
                .ok(),
            Reply::Limited { retry_after_s } => Response::build()
                .status(Status::TooManyRequests)
                .raw_header("Retry-After", retry_after_s.to_string())
                .ok(),
        }
    }
}

#[get("/weights/<model>/<version>")]
fn weights(model: &str, version: &str, core: &State<Arc<Core>>) -> Reply {
    core.serve(model, version)
}

#[get("/counts")]
fn counts(core: &State<Arc<Core>>) -> Json<WeightCounts> {
    Json(core.state().counts.clone())
}
