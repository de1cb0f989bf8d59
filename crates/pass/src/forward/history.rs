use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use execution::{OfferedRun, PossibleRuns, Ran};
use fleet::{Route, VersionBinding};

use crate::{Failure, unserved::Unserved};

/// The endpoint that holds a stream while another one is looked for.
#[derive(Debug)]
pub(crate) struct Holder {
    id: String,
    has_failed: AtomicBool,
}

impl Holder {
    pub(crate) fn new(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            has_failed: AtomicBool::new(false),
        }
    }

    /// Records that the endpoint has lost the stream.
    pub(crate) fn mark_failed(&self) {
        self.has_failed.store(true, Ordering::Relaxed);
    }

    fn has_failed(&self) -> bool {
        self.has_failed.load(Ordering::Relaxed)
    }
}

/// Time for which a request that is under way at a silent endpoint waits for a
/// free slot elsewhere before it also queues: longer than most pauses of sound
/// endpoints, so that those add nothing to the queues of others.
const SLOT_WAIT: Duration = Duration::from_secs(1);

/// The offers of one request so far and their outcomes.
#[derive(Clone, Debug, Default)]
pub(crate) struct OfferHistory {
    /// Ids of the endpoints that got an offer.
    pub(super) tried: Vec<String>,
    /// Ids of the endpoints at which the request is under way.
    pub(super) under_way: Vec<String>,
    /// The one of them that holds the stream, if any.
    holder: Option<Arc<Holder>>,
    /// Since when all of them are silent.
    silent_since: Option<Instant>,
    pub(super) offers: u32,
    /// Offers that ran, may have run or are under way. All searches of a
    /// request share it, since one that is cancelled may leave a run.
    possible_runs: PossibleRuns,
    pub(super) resume_after: Option<u64>,
    /// The service and version that generated the events that the client has;
    /// none before the first event.
    pub(super) binding: Option<Arc<VersionBinding>>,
}

impl OfferHistory {
    pub(super) fn new(resume_after: Option<u64>) -> Self {
        Self {
            resume_after,
            ..Self::default()
        }
    }

    /// Returns the state from which a stream resumes after an event. All runs
    /// so far count, and the endpoint that still holds the stream, if any, is
    /// not chosen.
    pub(crate) fn after_event(
        &self,
        after: Option<u64>,
        binding: Option<Arc<VersionBinding>>,
        holder: Option<Arc<Holder>>,
    ) -> Self {
        let held_at = holder.iter().map(|holder| holder.id.clone());
        Self {
            resume_after: after,
            binding,
            under_way: held_at.collect(),
            silent_since: holder.as_ref().map(|_| Instant::now()),
            holder,
            ..self.clone()
        }
    }

    /// Returns the service and version of the events that the client has.
    pub(crate) fn binding(&self) -> Option<&Arc<VersionBinding>> {
        self.binding.as_ref()
    }

    /// Reports whether the request may run once more.
    pub(crate) fn allows_run(&self, route: &Route) -> bool {
        self.possible_runs.count() < route.max_attempts()
    }

    /// Returns the count of offers that ran, may have run or are under way.
    pub(super) fn possible_runs(&self) -> &PossibleRuns {
        &self.possible_runs
    }

    /// Counts an offer that begins.
    pub(super) fn begin_offer(&mut self, endpoint: &str) -> OfferedRun {
        self.tried.push(endpoint.to_owned());
        self.under_way.push(endpoint.to_owned());
        self.offers += 1;
        self.possible_runs.begin()
    }

    /// Records that all endpoints that have the request are silent.
    pub(super) fn begin_silence(&mut self) {
        self.silent_since.get_or_insert_with(Instant::now);
    }

    /// Reports whether the request may only go to an endpoint with a free
    /// slot, because it may soon be answered where it is.
    pub(super) fn needs_free_slot(&self) -> bool {
        let since = self.silent_since;
        !self.under_way.is_empty()
            && since.is_none_or(|since| since.elapsed() < SLOT_WAIT)
    }

    /// Removes the holder of the stream once it has failed; reports whether
    /// it did.
    pub(super) fn remove_failed_holder(&mut self) -> bool {
        let failed = self.holder.take_if(|holder| holder.has_failed());
        if let Some(failed) = &failed {
            self.under_way.retain(|id| *id != failed.id);
        }
        failed.is_some()
    }

    /// Records that an endpoint has answered.
    pub(super) fn record_answer(&mut self, endpoint: &str) {
        self.under_way.retain(|id| id != endpoint);
    }

    /// Records a failed offer. The error ends the request, unless it is under
    /// way elsewhere, because it must not run again.
    pub(super) fn record(
        &mut self,
        endpoint: &str,
        failure: Failure,
        route: &Route,
    ) -> Result<(), Unserved> {
        self.under_way.retain(|id| id != endpoint);
        if failure.evidence().ran() == Ran::No {
            return Ok(());
        }
        if route.kind().is_repeatable() && self.allows_run(route) {
            return Ok(());
        }
        let reason = "the endpoint's answer is lost";
        Err(Unserved::lost(reason, failure.status()))
    }
}
