use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use fleet::{Route, VersionBinding};

use crate::{Failure, Refusal};

/// The offers of one request so far and their outcomes.
#[derive(Clone, Debug, Default)]
pub(crate) struct OfferHistory {
    /// Ids of the endpoints that got an offer.
    pub(super) tried: Vec<String>,
    /// Ids of the endpoints at which the request is under way.
    pub(super) under_way: Vec<String>,
    pub(super) offers: u32,
    /// Offers that ran, may have run or are under way. All searches of a
    /// request share it, since one that is cancelled may leave a run.
    possible_runs: Arc<AtomicU32>,
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
        holder: Option<String>,
    ) -> Self {
        Self {
            resume_after: after,
            binding,
            under_way: holder.into_iter().collect(),
            ..self.clone()
        }
    }

    /// Returns the service and version of the events that the client has.
    pub(crate) fn binding(&self) -> Option<&Arc<VersionBinding>> {
        self.binding.as_ref()
    }

    /// Reports whether the request may run once more.
    pub(crate) fn allows_run(&self, route: &Route) -> bool {
        self.possible_runs() < route.max_attempts()
    }

    /// Returns the number of offers that ran, may have run or are under way.
    pub(super) fn possible_runs(&self) -> u32 {
        self.possible_runs.load(Ordering::Relaxed)
    }

    pub(super) fn begin_offer(&mut self, endpoint: &str) {
        self.tried.push(endpoint.to_owned());
        self.under_way.push(endpoint.to_owned());
        self.offers += 1;
        self.possible_runs.fetch_add(1, Ordering::Relaxed);
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
    ) -> Result<(), Refusal> {
        self.under_way.retain(|id| id != endpoint);
        if failure.is_known_not_run() {
            self.possible_runs.fetch_sub(1, Ordering::Relaxed);
            return Ok(());
        }
        if route.kind().is_repeatable() && self.allows_run(route) {
            return Ok(());
        }
        Err(Refusal::unknown("the endpoint's answer is lost"))
    }

    pub(super) fn timeout_refusal(&self) -> Refusal {
        match self.possible_runs() > 0 {
            true => Refusal::timed_out("the time of the request is up"),
            false => Refusal::not_run("the time of the request is up"),
        }
    }
}
