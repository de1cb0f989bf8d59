//! State shared by the parts of an entry.

use std::sync::Arc;

use base::{Incarnation, KeyDigest, timer::Timer};
use budget::{MemoryBudget, Reservation};
use conf::settings::{LimitSettings, TimeoutSettings};
use obs::Metrics;
use quarantine::Quarantine;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use web::{ActiveRequest, Problem, ProblemKind, Ran, ServiceState};
use wire::Links;

use crate::{
    batch::Batch,
    claim_store::Claims,
    config::ConfigStore,
    filter::{LimitPermits, Limits},
    fleet::Fleet,
    orders::Orders,
};

/// State shared by the parts of an entry.
pub(crate) struct Shared {
    pub(crate) incarnation: Incarnation,
    pub(crate) timer: Timer,
    pub(crate) links: Links,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) orders: Orders,
    pub(crate) config: Arc<ConfigStore>,
    pub(crate) batch: Batch,
    pub(crate) metrics: Metrics,
    pub(crate) state: ServiceState,
    pub(crate) limits: LimitSettings,
    pub(crate) timeouts: TimeoutSettings,
    pub(crate) admin_keys: Vec<KeyDigest>,
    pub(crate) streams: Arc<Semaphore>,
    pub(crate) claims: Claims,
    pub(crate) quarantine: Quarantine,
    pub(crate) customers: Limits,
    /// The memory that callers may make the process hold.
    pub(crate) memory: MemoryBudget,
}

/// The admission permits of a call, held until its response has ended.
#[derive(Debug)]
pub(crate) struct Admitted {
    _permit: OwnedSemaphorePermit,
    _active: ActiveRequest,
    permits: Option<LimitPermits>,
    memory: Option<Reservation>,
}

impl Admitted {
    /// Adds the permits for the limits of the customer and the rule.
    pub(crate) fn with_limits(mut self, permits: LimitPermits) -> Self {
        self.permits = Some(permits);
        self
    }

    /// Adds the memory of the call.
    pub(crate) fn with_memory(mut self, memory: Reservation) -> Self {
        self.memory = Some(memory);
        self
    }
}

/// Retry-after of an entry at capacity, in milliseconds.
const FULL_RETRY_AFTER_MS: u64 = 1_000;

impl Shared {
    /// Acquires one of the slots for calls, held until the response has ended.
    ///
    /// Without this bound, a burst would exhaust the memory of a small VM and
    /// abort all calls instead of refusing some.
    pub(crate) fn admit(&self) -> Result<Admitted, Problem> {
        let permit = self.streams.clone().try_acquire_owned();
        let permit = permit.map_err(|_| {
            let reason = "this entry serves as many calls as it may";
            Problem::new(ProblemKind::Overloaded, reason)
                .ran(Ran::No)
                .retry_after_ms(FULL_RETRY_AFTER_MS)
        })?;
        Ok(Admitted {
            _permit: permit,
            _active: self.state.begin_request(),
            permits: None,
            memory: None,
        })
    }
}
