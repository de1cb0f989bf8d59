use std::{
    sync::{
        Arc,
        atomic::{AtomicU8, AtomicUsize, Ordering},
    },
    time::Duration,
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
pub struct ServiceState(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    phase: AtomicU8,
    active: AtomicUsize,
}

/// Pause between looks at what is still active.
const IDLE_LOOK: Duration = Duration::from_millis(10);

/// Counts a request as active until it is dropped.
#[derive(Debug)]
pub struct Active(Arc<Inner>);

impl Drop for Active {
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

    /// Tells whether the process takes work.
    #[inline]
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Ready
    }

    /// Counts a request that runs; kept until its answer has ended.
    pub fn begin(&self) -> Active {
        self.0.active.fetch_add(1, Ordering::AcqRel);
        Active(self.0.clone())
    }

    /// Returns how many requests run.
    #[inline]
    pub fn active(&self) -> usize {
        self.0.active.load(Ordering::Acquire)
    }

    /// Waits until no request runs, at most `limit_ms`; tells whether that
    /// was reached.
    ///
    /// The server library cannot tell this: once it is told to stop, it
    /// waits out its whole grace time if any connection is open.
    pub async fn idle(&self, limit_ms: u64) -> bool {
        let limit = Duration::from_millis(limit_ms);
        let idle = async {
            while self.active() > 0 {
                tokio::time::sleep(IDLE_LOOK).await;
            }
        };
        tokio::time::timeout(limit, idle).await.is_ok()
    }

    /// Moves on to a phase; draining is never left.
    pub fn set(&self, phase: Phase) {
        self.0.phase.fetch_max(phase as u8, Ordering::AcqRel);
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
