//! The offers of a request: to one endpoint, and to a further one while the
//! first is silent.
//!
//! A sound endpoint may fall silent for a while. To avoid it for new requests
//! costs little, so a short silence suffices. The request that it holds stays
//! there until another endpoint answers, since an offer that was given up
//! cannot be taken back if no other endpoint takes the request.

use std::{
    future::poll_fn,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use execution::Evidence;
use fleet::{Choice, ChooseError, Endpoint, FailureKind, SpeedClass};
use tokio::time;

use super::{Forwarder, OfferHistory, capacity::SEARCH_INTERVAL};
use crate::{
    Counters, Exchange, Failure, Inbound, answer::Sent, unserved::Unserved,
};

/// Added to the timeout of an offer, so that the timer of the whole request
/// fires first.
const OFFER_MARGIN: Duration = Duration::from_secs(1);

/// Time without a response head after which the endpoint of a request counts as
/// silent, in multiples of the latency objective.
const PLAIN_WAIT_TARGETS: u64 = 2;

/// The same for streams: longer than a full queue takes, so that load alone
/// does not move a request.
const STREAM_WAIT_TARGETS: u64 = 4;

/// The outcome of an offer.
type Outcome = Result<Exchange, Failure>;

/// An offer that waits for its response head.
struct PendingOffer<'a> {
    endpoint: Endpoint,
    sent: Sent,
    resume_after: Option<u64>,
    outcome: Pin<Box<dyn Future<Output = Outcome> + Send + 'a>>,
    is_silent: bool,
}

/// An offer that has ended.
struct EndedOffer {
    endpoint: Endpoint,
    sent: Sent,
    outcome: Outcome,
}

/// The offers of a request that wait for their response heads. Dropping one
/// closes its connection, so that the endpoint stops its work.
#[derive(Default)]
struct PendingOffers<'a>(Vec<PendingOffer<'a>>);

impl<'a> PendingOffers<'a> {
    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn push(&mut self, offer: PendingOffer<'a>) {
        self.0.push(offer);
    }

    fn all_silent(&self) -> bool {
        self.0.iter().all(|offer| offer.is_silent)
    }

    /// Waits for the first offer that ends.
    async fn next(&mut self) -> EndedOffer {
        poll_fn(|cx| self.poll_next(cx)).await
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<EndedOffer> {
        for at in 0..self.0.len() {
            let outcome = self.0[at].outcome.as_mut().poll(cx);
            if let Poll::Ready(outcome) = outcome {
                let offer = self.0.swap_remove(at);
                return Poll::Ready(EndedOffer {
                    endpoint: offer.endpoint,
                    sent: offer.sent,
                    outcome,
                });
            }
        }
        Poll::Pending
    }
}

impl Forwarder {
    /// Offers a request to endpoints until one has answered.
    ///
    /// While the endpoints that have it are silent, it is also offered to
    /// others, as far as the route allows; the first one that answers keeps
    /// it.
    pub(super) async fn run(
        &self,
        request: &Arc<Inbound>,
        sent: &mut Sent,
        history: &mut OfferHistory,
    ) -> Result<Exchange, Unserved> {
        let mut offers = PendingOffers::default();
        let mut looks_elsewhere = false;
        loop {
            if offers.is_empty() {
                let choice =
                    self.wait_for_capacity(request, sent, history).await?;
                offers.push(self.begin_offer(request, choice, sent, history));
                looks_elsewhere = false;
            } else if looks_elsewhere
                && let Some(offer) = self.further(request, sent, history)
            {
                offers.push(offer);
                looks_elsewhere = false;
            }
            looks_elsewhere &= self.may_offer(request, history);
            let wait = match (looks_elsewhere, offers.all_silent()) {
                (true, _) => SEARCH_INTERVAL,
                (false, false) => patience(request),
                (false, true) => request.remaining() + OFFER_MARGIN,
            };
            match time::timeout(wait, offers.next()).await {
                Ok(ended) => {
                    let is_last = offers.is_empty();
                    let answer =
                        self.settle(ended, is_last, request, sent, history)?;
                    if let Some(exchange) = answer {
                        return Ok(exchange);
                    }
                }
                Err(_) if looks_elsewhere => {}
                Err(_) => {
                    self.avoid_silent(request, &mut offers);
                    history.begin_silence();
                }
            }
            looks_elsewhere = offers.all_silent();
        }
    }

    /// Settles an offer that has ended: returns the answer of the request, or
    /// `None` if it stays with other offers or goes to another endpoint.
    fn settle(
        &self,
        ended: EndedOffer,
        is_last: bool,
        request: &Inbound,
        sent: &mut Sent,
        history: &mut OfferHistory,
    ) -> Result<Option<Exchange>, Unserved> {
        let id = ended.endpoint.record().id.as_str();
        match ended.outcome {
            Ok(exchange) => {
                history.record_answer(id);
                let has_failed = exchange.status().is_server_error();
                let is_final = is_last && !may_run(request, history);
                if !has_failed || is_final {
                    let offers = sent.offers;
                    *sent = ended.sent;
                    sent.offers = offers;
                    return Ok(Some(exchange));
                }
                log::info!(
                    request_id = request.id(),
                    endpoint = id,
                    status = exchange.status().as_u16(),
                    connection:% = exchange.connection(),
                    others = !is_last;
                    "an endpoint's error is not handed on"
                );
            }
            Err(failure) => {
                let result = history.record(id, failure, request.route());
                if is_last {
                    result?;
                    check_held(failure)?;
                }
            }
        }
        match is_last && history.offers >= self.options.max_offers {
            true => Err(self.refuse(ChooseError::AllFull, request, history)),
            false => Ok(None),
        }
    }

    /// Begins an offer to an endpoint.
    fn begin_offer<'a>(
        &'a self,
        request: &'a Arc<Inbound>,
        choice: Choice,
        sent: &mut Sent,
        history: &mut OfferHistory,
    ) -> PendingOffer<'a> {
        let endpoint = choice.endpoint;
        sent.endpoint.clone_from(&endpoint.record().id);
        endpoint.version_text().clone_into(&mut sent.version);
        sent.estimated_load = choice.estimated_load;
        sent.speed_class = choice.speed_class.map_or("", SpeedClass::as_str);
        if let Some(class) = choice.speed_class {
            self.counters.count_placed(class);
        }
        sent.waited_ms = request.arrived().elapsed().as_millis() as u64;
        sent.offers += 1;
        if sent.offers > 1 {
            Counters::add(&self.counters.retried);
        }
        let number = history.offers + 1;
        let run = history.begin_offer(&endpoint.record().id);
        let resume_after = history.resume_after;
        let wait = request.remaining() + OFFER_MARGIN;
        let offered_to = endpoint.clone();
        let outcome = async move {
            let counted = (&run, number);
            let outcome = self
                .send_offer(request, &offered_to, resume_after, wait, counted)
                .await;
            run.settle(match &outcome {
                Ok(_) => Evidence::MayHaveRun,
                Err(failure) => failure.evidence(),
            });
            outcome
        };
        PendingOffer {
            endpoint,
            sent: sent.clone(),
            resume_after,
            outcome: Box::pin(outcome),
            is_silent: false,
        }
    }

    /// Begins an offer of a request that is under way to an endpoint that can
    /// take it at once, if there is one.
    fn further<'a>(
        &'a self,
        request: &'a Arc<Inbound>,
        sent: &mut Sent,
        history: &mut OfferHistory,
    ) -> Option<PendingOffer<'a>> {
        if !self.may_offer(request, history)
            || !self.precedes_waiting(request, history)
        {
            return None;
        }
        let choice = self.choose(request, sent, history).ok()?;
        log::info!(
            request_id = request.id(),
            endpoint = choice.endpoint.record().id.as_str(),
            under_way = history.under_way.len(),
            load = choice.estimated_load,
            directory = sent.directory_revision,
            age_ms = request.arrived().elapsed().as_millis() as u64;
            "a request is offered to a further endpoint"
        );
        Some(self.begin_offer(request, choice, sent, history))
    }

    /// Avoids the endpoints that have not answered yet for new requests.
    fn avoid_silent(&self, request: &Inbound, offers: &mut PendingOffers<'_>) {
        for offer in offers.0.iter_mut().filter(|offer| !offer.is_silent) {
            offer.is_silent = true;
            self.avoid(request, &offer.endpoint, offer.resume_after);
        }
    }

    /// Avoids an endpoint for new requests because it is silent. The request
    /// that it holds stays there.
    pub(crate) fn avoid(
        &self,
        request: &Inbound,
        endpoint: &Endpoint,
        after: Option<u64>,
    ) {
        endpoint.record_failure(FailureKind::Silent, self.clock.now());
        self.pool.clear_idle(endpoint);
        Counters::add(&self.counters.silences);
        log::info!(
            request_id = request.id(),
            endpoint = endpoint.record().id.as_str(),
            version = endpoint.version_text(),
            after = after.unwrap_or(0),
            age_ms = request.arrived().elapsed().as_millis() as u64;
            "an endpoint is silent"
        );
    }

    /// Reports whether a request may be offered to one more endpoint.
    fn may_offer(&self, request: &Inbound, history: &OfferHistory) -> bool {
        history.offers < self.options.max_offers && may_run(request, history)
    }
}

/// Returns how long an offer may wait for its response head before its
/// endpoint counts as silent.
fn patience(request: &Inbound) -> Duration {
    let route = request.route();
    let targets = match route.kind().is_stream() {
        true => STREAM_WAIT_TARGETS,
        false => PLAIN_WAIT_TARGETS,
    };
    Duration::from_millis(route.target_latency_ms().saturating_mul(targets))
}

/// Reports whether a request may run once more after it may have run.
fn may_run(request: &Inbound, history: &OfferHistory) -> bool {
    let route = request.route();
    route.kind().is_repeatable() && history.allows_run(route)
}

/// Ends a poison request. An earlier offer of this request may itself have
/// run at an endpoint that crashed.
fn check_held(failure: Failure) -> Result<(), Unserved> {
    let Failure::Held { for_ms } = failure else {
        return Ok(());
    };
    let reason = "endpoints crash when they run this request";
    Err(Unserved::refused(reason).with_retry_after_ms(for_ms))
}
