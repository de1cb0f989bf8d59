use std::sync::{
    Arc,
    atomic::{AtomicU8, Ordering},
};

use rocket::{Route, State, get, http::Status, routes};

/// How far a process is in its life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Phase {
    /// It lacks something that it needs to serve.
    Starting = 0,
    /// It takes work.
    Ready = 1,
    /// It finishes what runs and takes no new work.
    Draining = 2,
}

/// The phase of a process, shared by all its parts.
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
pub struct ServiceState(Arc<AtomicU8>);

impl ServiceState {
    /// Returns the phase.
    #[inline]
    pub fn phase(&self) -> Phase {
        match self.0.load(Ordering::Acquire) {
            0 => Phase::Starting,
            1 => Phase::Ready,
            _ => Phase::Draining,
        }
    }

    /// Tells whether the process takes work.
    #[inline]
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Ready
    }

    /// Moves on to a phase; draining is never left.
    pub fn set(&self, phase: Phase) {
        self.0.fetch_max(phase as u8, Ordering::AcqRel);
    }
}

/// Returns `GET /healthz` and `GET /readyz`, which need a managed
/// [`ServiceState`].
pub fn health_routes() -> Vec<Route> {
    routes![healthz, readyz]
}

#[get("/healthz")]
fn healthz() -> &'static str {
    "ok\n"
}

/// A balancer sends no new connections to a process that is not ready.
#[get("/readyz")]
fn readyz(state: &State<ServiceState>) -> (Status, &'static str) {
    match state.phase() {
        Phase::Starting => (Status::ServiceUnavailable, "starting\n"),
        Phase::Ready => (Status::Ok, "ready\n"),
        Phase::Draining => (Status::ServiceUnavailable, "stopping\n"),
    }
}
