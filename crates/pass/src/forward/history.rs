use std::sync::Arc;

use fleet::{Route, VersionBinding};

use crate::{Failure, Refusal};

/// The offers of one request so far and their outcomes.
#[derive(Clone, Debug, Default)]
pub(crate) struct OfferHistory {
    /// Ids of the endpoints that got an offer.
    pub(super) tried: Vec<String>,
    pub(super) offers: u32,
    /// Offers that ran or may have run.
    pub(super) possible_runs: u32,
    in_progress: bool,
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

    /// Returns the state from which an interrupted stream resumes: the
    /// interrupted run counts, and the stream continues after its last event.
    pub(crate) fn after_broken_stream(
        &self,
        after: Option<u64>,
        binding: Option<Arc<VersionBinding>>,
    ) -> Self {
        Self {
            resume_after: after,
            binding,
            ..self.clone()
        }
    }

    /// Returns the service and version of the events that the client has.
    pub(crate) fn binding(&self) -> Option<&Arc<VersionBinding>> {
        self.binding.as_ref()
    }

    pub(super) fn begin_offer(&mut self, endpoint: String) {
        self.tried.push(endpoint);
        self.offers += 1;
        self.in_progress = true;
    }

    pub(super) fn record_run(&mut self) {
        self.in_progress = false;
        self.possible_runs += 1;
    }

    /// Counts a failed offer, or ends the request if it must not be
    /// retried.
    pub(super) fn record(
        &mut self,
        failure: Failure,
        route: &Route,
    ) -> Result<(), Refusal> {
        self.in_progress = false;
        if failure.is_known_not_run() {
            return Ok(());
        }
        self.record_run();
        if route.kind().is_repeatable()
            && self.possible_runs < route.max_attempts()
        {
            return Ok(());
        }
        Err(Refusal::unknown("the endpoint's answer is lost"))
    }

    pub(super) fn timeout_refusal(&self) -> Refusal {
        match self.possible_runs > 0 || self.in_progress {
            true => Refusal::timed_out("the time of the request is up"),
            false => Refusal::not_run("the time of the request is up"),
        }
    }
}
