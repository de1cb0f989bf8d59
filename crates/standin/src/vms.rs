//! The platform's list of virtual machines, which lags behind the truth.
//!
//! `GET /v1/vms` answers:
//!
//! ```json
//! {
//!   "generated_unix_ms": 1767225600000,
//!   "vms": [
//!     {
//!       "vm": "vm-7",
//!       "state": "live",
//!       "failure_domain": "maardu",
//!       "pool": "korv-lm",
//!       "ip": "10.0.0.7",
//!       "ports": {"peer": 7000, "http": 8000}
//!     }
//!   ]
//! }
//! ```
//!
//! `state` is `live`, `leaving` or `gone`, and `generated_unix_ms` the time
//! that the list shows, `lag_ms` ago. `PUT /v1/vms/{vm}` with such an
//! element as body adds or replaces a machine, `DELETE /v1/vms/{vm}` removes
//! it; either shows after the lag.
//!
//! # Example
//!
//! ```
//! use std::sync::Arc;
//!
//! use base::SteppedClock;
//! use pomeloslip_standin::vms::{
//!     VmList, VmListService, VmListSettings, VmRecord, VmState,
//! };
//!
//! # tokio::runtime::Runtime::new()?.block_on(async {
//! let vm: VmRecord = serde_json::from_str(
//!     r#"{"vm": "vm-7", "state": "live", "failure_domain": "maardu",
//!         "pool": "korv-lm", "ip": "10.0.0.7",
//!         "ports": {"peer": 7000, "http": 8000}}"#,
//! )
//! .unwrap();
//! let settings = VmListSettings {
//!     lag_ms: 5_000,
//!     vms: vec![vm.clone()],
//!     ..VmListSettings::default()
//! };
//! let clock = Arc::new(SteppedClock::default());
//! let list = VmListService::start_with_clock(settings, clock.clone())
//!     .await
//!     .unwrap();
//! list.put(VmRecord {
//!     state: VmState::Leaving,
//!     ..vm
//! });
//! let get = || async {
//!     let reply = reqwest::get(format!("{}/v1/vms", list.url()));
//!     let served: VmList = reply.await.unwrap().json().await.unwrap();
//!     served.vms[0].state
//! };
//! assert_eq!(get().await, VmState::Live);
//! clock.step_ms(5_000);
//! assert_eq!(get().await, VmState::Leaving);
//! # });
//! # Ok::<(), std::io::Error>(())
//! ```

use std::{
    collections::VecDeque,
    fmt,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use base::{Clock, FailureDomain, Millis, SystemClock, UnixMillis, VmId};
use error_stack::Report;
use indexmap::IndexMap;
use rocket::{
    State, delete, get, http::Status, put, routes, serde::json::Json,
};
use serde::{Deserialize, Serialize};

use crate::{
    StandinError,
    serve::{self, Served},
};

/// What the platform knows of a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It serves.
    Live,
    /// It will be stopped and should get no new work.
    Leaving,
    /// It was stopped or lost.
    Gone,
}

/// Ports of the system's process on a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct VmPorts {
    /// Port for the system's other processes.
    pub peer: u16,
    /// Port for HTTP.
    pub http: u16,
}

/// One machine of the list.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct VmRecord {
    /// Name of the machine.
    pub vm: VmId,
    /// What the platform knows of it.
    pub state: VmState,
    /// Group of machines that can be lost together.
    pub failure_domain: FailureDomain,
    /// Pool of equal machines that it belongs to.
    pub pool: String,
    /// Address of the machine.
    pub ip: IpAddr,
    /// Ports of the system's process.
    pub ports: VmPorts,
    /// Version of the software of an endpoint that runs there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
}

/// The list as it is served.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct VmList {
    /// Time that the list shows.
    pub generated_unix_ms: UnixMillis,
    /// The machines, in the order in which they were added.
    pub vms: Vec<VmRecord>,
}

/// Settings of a [`VmListService`].
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmListSettings {
    /// Address to listen at; port 0 picks a free one.
    pub listen: SocketAddr,
    /// How far the served list is behind.
    pub lag_ms: u64,
    /// Machines that are there from the start, without a lag.
    pub vms: Vec<VmRecord>,
}

impl Default for VmListSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            lag_ms: 0,
            vms: Vec::new(),
        }
    }
}

/// Starts stand-ins of the platform's list.
#[derive(Clone, Copy, Debug)]
pub struct VmListService;

impl VmListService {
    /// Starts a server that lags by the machine's clock.
    ///
    /// # Errors
    ///
    /// [`StandinError::Listen`] if the address cannot be bound.
    pub async fn start(
        settings: VmListSettings,
    ) -> Result<VmListHandle, Report<StandinError>> {
        Self::start_with_clock(settings, Arc::new(SystemClock::new())).await
    }

    /// Starts a server that lags by another clock.
    ///
    /// # Errors
    ///
    /// As [`VmListService::start`].
    pub async fn start_with_clock(
        settings: VmListSettings,
        clock: Arc<dyn Clock>,
    ) -> Result<VmListHandle, Report<StandinError>> {
        let listen = settings.listen;
        let core = Arc::new(Core::new(settings, clock));
        let rocket = rocket::build()
            .manage(Arc::clone(&core))
            .mount("/", routes![list, put_vm, remove_vm]);
        let served = serve::launch(rocket, listen).await?;
        Ok(VmListHandle { served, core })
    }
}

/// Steers a running [`VmListService`]; dropping it stops the server.
#[derive(Debug)]
pub struct VmListHandle {
    served: Served,
    core: Arc<Core>,
}

impl VmListHandle {
    /// Returns the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.served.address()
    }

    /// Returns the address as the start of a URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Adds or replaces a machine; it shows after the lag.
    pub fn put(&self, vm: VmRecord) {
        self.core.put(vm);
    }

    /// Removes a machine, after the lag, and tells whether it was there.
    pub fn remove(&self, vm: &VmId) -> bool {
        self.core.remove(vm)
    }

    /// Sets how far the served list is behind from now on.
    pub fn set_lag_ms(&self, lag_ms: u64) {
        self.core.state().lag_ms = lag_ms;
    }

    /// Returns the list as it is served now.
    pub fn served(&self) -> VmList {
        self.core.served()
    }

    /// Returns how often the list was read over HTTP.
    pub fn reads(&self) -> u64 {
        self.core.state().reads
    }

    /// Closes the listener and all connections.
    pub async fn stop(self) {
        self.served.stop().await;
    }
}

struct Core {
    clock: Arc<dyn Clock>,
    state: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    lag_ms: u64,
    reads: u64,
    current: IndexMap<VmId, VmRecord>,
    /// Earlier lists with the time at which each was replaced. All are
    /// kept, for the lag may be made longer; a stand-in lives shortly.
    replaced: VecDeque<(Millis, Vec<VmRecord>)>,
}

impl Core {
    fn new(settings: VmListSettings, clock: Arc<dyn Clock>) -> Self {
        let vms = settings.vms.into_iter();
        Self {
            clock,
            state: Mutex::new(Inner {
                lag_ms: settings.lag_ms,
                reads: 0,
                current: vms.map(|vm| (vm.vm.clone(), vm)).collect(),
                replaced: VecDeque::new(),
            }),
        }
    }

    fn put(&self, vm: VmRecord) {
        let mut state = self.state();
        state.keep_replaced(self.clock.now());
        state.current.insert(vm.vm.clone(), vm);
    }

    fn remove(&self, vm: &VmId) -> bool {
        let mut state = self.state();
        state.keep_replaced(self.clock.now());
        state.current.shift_remove(vm).is_some()
    }

    fn served(&self) -> VmList {
        let state = self.state();
        let now_ms = self.clock.now().as_ms();
        let unix_ms = self.clock.unix().as_ms();
        // The list of a time is the first one that was replaced later.
        let shown = now_ms.checked_sub(state.lag_ms).map(Millis::new);
        let old = state
            .replaced
            .iter()
            .find(|(until, _)| shown.is_none_or(|shown| *until > shown));
        let vms = match old {
            Some((_, vms)) => vms.clone(),
            None => state.current.values().cloned().collect(),
        };
        VmList {
            generated_unix_ms: UnixMillis::new(
                unix_ms.saturating_sub(state.lag_ms),
            ),
            vms,
        }
    }

    fn state(&self) -> MutexGuard<'_, Inner> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn keep_replaced(&mut self, now: Millis) {
        let vms = self.current.values().cloned().collect();
        self.replaced.push_back((now, vms));
    }
}

impl fmt::Debug for Core {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Core")
            .field("state", &self.state)
            .finish_non_exhaustive()
    }
}

#[get("/v1/vms")]
fn list(core: &State<Arc<Core>>) -> Json<VmList> {
    core.state().reads += 1;
    Json(core.served())
}

#[put("/v1/vms/<vm>", data = "<record>")]
fn put_vm(
    vm: &str,
    record: Json<VmRecord>,
    core: &State<Arc<Core>>,
) -> Status {
    if record.vm.as_str() != vm {
        return Status::BadRequest;
    }
    core.put(record.into_inner());
    Status::NoContent
}

#[delete("/v1/vms/<vm>")]
fn remove_vm(vm: &str, core: &State<Arc<Core>>) -> Status {
    match vm.parse() {
        Ok(vm) if core.remove(&vm) => Status::NoContent,
        Ok(_) => Status::NotFound,
        Err(_) => Status::BadRequest,
    }
}
