//! Which endpoint a request goes to, how long it waits for one, and how it is
//! refused.

use std::time::{Duration, Instant};

use execution::Ran;
use fleet::{Choice, ChooseError, EndpointQuery};
use tokio::time;

use super::{Forwarder, OfferHistory};
use crate::{Inbound, answer::Sent, unserved::Unserved};

/// Fraction of the remaining time of a client after which it retries at the
/// latest: one part in this many. The remainder is for serving the request.
const RETRY_DELAY_DIVISOR: u64 = 3;

/// Interval between two checks for free capacity.
pub(super) const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Interval between two searches for another endpoint of a request that is
/// under way.
pub(super) const SEARCH_INTERVAL: Duration = Duration::from_millis(50);

impl Forwarder {
    /// Refuses a request for lack of capacity; it may have run before.
    pub(super) fn refuse(
        &self,
        verdict: ChooseError,
        request: &Inbound,
        history: &OfferHistory,
    ) -> Unserved {
        if history.possible_runs().ran() == Ran::Unknown {
            return Unserved::lost("no other endpoint is left", None);
        }
        if self.is_version_gone(verdict, history) {
            return Unserved::refused(
                "no endpoint runs the version that began the stream",
            );
        }
        if verdict == ChooseError::NoEndpoint {
            let retry_after_ms = match self.endpoints.load().table.is_empty() {
                true => self.options.startup_retry_after_ms,
                false => self.options.retry_after_ms,
            };
            return Unserved::refused("no endpoint is known")
                .with_retry_after_ms(retry_after_ms);
        }
        self.refuse_for_capacity("all endpoints are full", request)
    }

    /// Refuses a request that did not run, until capacity is expected.
    pub(super) fn refuse_for_capacity(
        &self,
        reason: &'static str,
        request: &Inbound,
    ) -> Unserved {
        let remaining_ms = request.remaining().as_millis() as u64;
        let retry_after_ms = self.retry_estimator.record_refusal(
            self.clock.now(),
            spread_hash(request.id()),
            remaining_ms / RETRY_DELAY_DIVISOR,
        );
        Unserved::refused(reason).with_retry_after_ms(retry_after_ms)
    }

    /// Reports whether no endpoint runs the version of a stream. A node that
    /// knows no endpoint at all has just started and cannot tell, and a stream
    /// that is under way still has its endpoint.
    fn is_version_gone(
        &self,
        verdict: ChooseError,
        history: &OfferHistory,
    ) -> bool {
        verdict == ChooseError::NoEndpoint
            && history.binding.is_some()
            && history.under_way.is_empty()
            && !self.endpoints.load().table.is_empty()
    }

    /// Waits for an endpoint with free capacity: a short time, or as long as
    /// it takes if the request is under way elsewhere.
    pub(super) async fn wait_for_capacity(
        &self,
        request: &Inbound,
        sent: &mut Sent,
        history: &mut OfferHistory,
    ) -> Result<Choice, Unserved> {
        if let Some(shares) = self.shares_for(history) {
            return self.wait_in_order(shares, request, sent, history).await;
        }
        let mut give_up_at = self.give_up_at(request, history);
        loop {
            if history.remove_failed_holder() {
                give_up_at = self.give_up_at(request, history);
            }
            let verdict = match self.choose(request, sent, history) {
                Ok(choice) => return Ok(choice),
                Err(verdict) => verdict,
            };
            let is_final = self.is_version_gone(verdict, history);
            if is_final || Instant::now() >= give_up_at {
                return Err(self.refuse(verdict, request, history));
            }
            let interval = match history.under_way.is_empty() {
                true => CAPACITY_POLL_INTERVAL,
                false => SEARCH_INTERVAL,
            };
            time::sleep(interval).await;
        }
    }

    /// Returns when a request that waits for capacity from now on is refused.
    pub(super) fn give_up_at(
        &self,
        request: &Inbound,
        history: &OfferHistory,
    ) -> Instant {
        let route = request.route();
        let max_wait_ms =
            route.target_latency_ms() / self.options.queue_wait_divisor;
        let max_wait = Duration::from_millis(max_wait_ms);
        match &history.binding {
            _ if !history.under_way.is_empty() => request.ends_at(),
            // A refusal ends the stream for good. Its client accepts pauses.
            Some(_) => {
                let pause = Duration::from_millis(route.gap_target_ms());
                Instant::now() + pause.max(max_wait)
            }
            None => request.arrived() + max_wait,
        }
    }

    pub(super) fn choose(
        &self,
        request: &Inbound,
        sent: &mut Sent,
        history: &OfferHistory,
    ) -> Result<Choice, ChooseError> {
        let allowance = self.queue_allowance(request, history);
        self.choose_within(request, sent, history, allowance)
    }

    /// Returns the number of requests that may wait at an endpoint beyond its
    /// slots when a request is sent there.
    fn queue_allowance(
        &self,
        request: &Inbound,
        history: &OfferHistory,
    ) -> u32 {
        let is_stream = request.route().kind().is_stream();
        let can_queue = request.has_waited() || history.binding.is_some();
        match (is_stream, can_queue) {
            _ if history.needs_free_slot() => 0,
            (true, false) => self.options.stream_queue,
            (true, true) => self.options.retry_queue,
            (false, _) => self.options.plain_queue,
        }
    }

    /// Returns the service of a request.
    pub(super) fn service<'a>(
        &self,
        request: &'a Inbound,
        history: &'a OfferHistory,
    ) -> Option<&'a str> {
        match history.binding.as_deref() {
            Some(binding) => Some(binding.service()),
            None => request.route().service(spread_hash(request.id())),
        }
    }

    pub(super) fn choose_within(
        &self,
        request: &Inbound,
        sent: &mut Sent,
        history: &OfferHistory,
        queue_allowance: u32,
    ) -> Result<Choice, ChooseError> {
        let Some(service) = self.service(request, history) else {
            return Err(ChooseError::NoEndpoint);
        };
        let view = self.endpoints.load();
        sent.directory_revision = view.revision;
        let need = EndpointQuery {
            service,
            failure_domain: &self.failure_domain,
            affinity: request.affinity(),
            tried: &history.tried,
            under_way: &history.under_way,
            binding: history.binding.as_deref(),
            queue_allowance,
        };
        let selection = self.selection.load();
        view.table.choose(&selection, &need, self.clock.now())
    }
}

/// Distributes requests over the destinations of a route by their ids.
fn spread_hash(id: &str) -> u64 {
    base::stable_hash(&[id])
}
