//! What the parts of an entry share.

use std::sync::Arc;

use base::{Incarnation, KeyDigest, timer::Timer};
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
    filter::{Limits, Places},
    fleet::Fleet,
    orders::Orders,
};

/// What the parts of an entry share.
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
}

/// The place of a call, held until its answer has ended.
#[derive(Debug)]
pub(crate) struct Admitted {
    _permit: OwnedSemaphorePermit,
    _active: ActiveRequest,
    places: Option<Places>,
}

impl Admitted {
    /// Keeps the places under the limits of customer and rule, too.
    pub(crate) fn under(mut self, places: Places) -> Self {
        self.places = Some(places);
        self
    }
}

/// When a caller may come back to an entry that is full, in milliseconds.
const FULL_RETRY_AFTER_MS: u64 = 1_000;

impl Shared {
    /// Takes one of the places for calls, held until the answer has ended.
    ///
    /// Without a bound, a burst would fill the memory of a thin VM and end
    /// all calls at once instead of refusing some.
    pub(crate) fn admit(&self) -> Result<Admitted, Problem> {
        let permit = self.streams.clone().try_acquire_owned();
        let permit = permit.map_err(|_| {
            let why = "this entry serves as many calls as it may";
            Problem::new(ProblemKind::Overloaded, why)
                .ran(Ran::No)
                .retry_after_ms(FULL_RETRY_AFTER_MS)
        })?;
        Ok(Admitted {
            _permit: permit,
            _active: self.state.begin_request(),
            places: None,
        })
    }
}
