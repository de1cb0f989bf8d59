use std::{
    sync::{
        Arc,
        atomic::{AtomicU8, AtomicUsize, Ordering},
    },
    time::Duration,
};

use rocket::{Route, State, get, http::Status, routes};

/// Lifecycle phase of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Phase {
    /// A dependency that is needed to serve requests is missing.
    Starting = 0,
    /// The process accepts requests.
    Ready = 1,
    /// The process finishes running requests and accepts no new ones.
    Draining = 2,
}

/// Phase and active request count of a process; clones share the state.
///
/// # Example
///
/// ```
/// use pomeloslip_web::{Phase, ServiceState};
///
/// let state = ServiceState::default();
/// assert_eq!(state.phase(), Phase::Starting);
/// state.set(Phase::Ready);
/// assert!(state.is_ready());
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServiceState(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    phase: AtomicU8,
    active: AtomicUsize,
}

/// Interval for polling the number of active requests.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Counts a request as active until it is dropped.
#[derive(Debug)]
pub struct ActiveRequest(Arc<Inner>);

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::AcqRel);
    }
}

impl ServiceState {
    /// Returns the phase.
    #[inline]
    pub fn phase(&self) -> Phase {
        match self.0.phase.load(Ordering::Acquire) {
            0 => Phase::Starting,
            1 => Phase::Ready,
            _ => Phase::Draining,
        }
    }

    /// Reports whether the process accepts requests.
    #[inline]
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Ready
    }

    /// Counts a running request; the guard is held until its response ends.
    pub fn begin_request(&self) -> ActiveRequest {
        self.0.active.fetch_add(1, Ordering::AcqRel);
        ActiveRequest(self.0.clone())
    }

    /// Returns the number of running requests.
    #[inline]
    pub fn active(&self) -> usize {
        self.0.active.load(Ordering::Acquire)
    }

    /// Waits until no request runs, for at most `timeout_ms`. Returns `false`
    /// if requests still run after that time.
    ///
    /// Rocket does not count requests: after a shutdown notification it waits
    /// for its whole grace period if any connection is open.
    pub async fn wait_idle(&self, timeout_ms: u64) -> bool {
        let timeout = Duration::from_millis(timeout_ms);
        let idle = async {
            while self.active() > 0 {
                tokio::time::sleep(IDLE_POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(timeout, idle).await.is_ok()
    }

    /// Advances to a phase. An earlier phase than the current one is ignored.
    pub fn set(&self, phase: Phase) {
        self.0.phase.fetch_max(phase as u8, Ordering::AcqRel);
    }
}

/// Returns the routes `GET /healthz` and `GET /readyz`, which need a managed
/// [`ServiceState`].
pub fn health_routes() -> Vec<Route> {
    routes![healthz, readyz]
}

#[get("/healthz")]
fn healthz() -> &'static str {
    "ok\n"
}

/// Load balancers send no new connections to a process that is not ready.
#[get("/readyz")]
fn readyz(state: &State<ServiceState>) -> (Status, &'static str) {
    match state.phase() {
        Phase::Starting => (Status::ServiceUnavailable, "starting\n"),
        Phase::Ready => (Status::Ok, "ready\n"),
        Phase::Draining => (Status::ServiceUnavailable, "stopping\n"),
    }
}
