//! How a request waits for an endpoint while the shares of customers count.

use std::{sync::Arc, time::Instant};

use base::Customer;
use fleet::{Choice, ChooseError};
use tokio::time;

use super::{Forwarder, OfferHistory, capacity::CAPACITY_POLL_INTERVAL};
use crate::{
    Counters, FairShares, Inbound, answer::Sent, shares::Place,
    unserved::Unserved,
};

/// Why a request is refused whose customer is over its share.
const OVER_SHARE: &str =
    "the customer uses more than its share while all endpoints are full";

impl Forwarder {
    /// Returns the shares that apply to a request. A stream that is resumed
    /// and a request that is under way elsewhere are neither ordered nor
    /// refused: the work that was done for them would be lost.
    pub(super) fn shares_for(
        &self,
        history: &OfferHistory,
    ) -> Option<&Arc<FairShares>> {
        let is_begun =
            history.binding.is_some() || !history.under_way.is_empty();
        self.shares.as_ref().filter(|_| !is_begun)
    }

    /// Waits for an endpoint, in the order of the requests that wait at this
    /// front.
    pub(super) async fn wait_in_order(
        &self,
        shares: &Arc<FairShares>,
        request: &Inbound,
        sent: &mut Sent,
        history: &OfferHistory,
    ) -> Result<Choice, Unserved> {
        let Some(service) = self.service(request, history) else {
            let verdict = ChooseError::NoEndpoint;
            return Err(self.refuse(verdict, request, history));
        };
        let give_up_at = self.give_up_at(request, history);
        let customer = request.admitted_customer();
        let rank = shares.rank(request);
        // A request that must avoid some endpoints does not hold back others,
        // which these endpoints could serve.
        let holds_back = history.tried.is_empty();
        let mut place: Option<Place> = None;
        loop {
            let mut verdict = ChooseError::AllFull;
            if shares.may_take(service, rank, place.as_ref()) {
                match self.choose(request, sent, history) {
                    Ok(choice) if has_free_slot(&choice) => return Ok(choice),
                    Ok(choice) => {
                        self.check_share(shares, service, request, history)?;
                        return Ok(choice);
                    }
                    Err(error) => verdict = error,
                }
            }
            if verdict == ChooseError::AllFull {
                self.check_share(shares, service, request, history)?;
            }
            if Instant::now() >= give_up_at {
                let refusal = self.refuse(verdict, request, history);
                record(shares, service, customer, refusal);
                return Err(refusal);
            }
            if place.is_none() && holds_back {
                place = Some(shares.wait(service, customer, rank));
            }
            wait(place.as_ref(), shares, service, give_up_at).await;
        }
    }

    /// Refuses a request whose customer is over its share while no slot is
    /// free. A request that was offered before is not refused.
    fn check_share(
        &self,
        shares: &Arc<FairShares>,
        service: &str,
        request: &Inbound,
        history: &OfferHistory,
    ) -> Result<(), Unserved> {
        let Some(customer) = request.admitted_customer() else {
            return Ok(());
        };
        let endpoints = self.endpoints.load().table.clone();
        let selection = self.selection.load_full();
        if history.offers > 0
            || !shares.is_over(service, customer, &endpoints, &selection)
            || !self.is_without_free_slot(request, history)
        {
            return Ok(());
        }
        Counters::add(&self.counters.over_share);
        self.counters.shares.count_refused(customer);
        let refusal = self.refuse_for_capacity(OVER_SHARE, request);
        record(shares, service, Some(customer), refusal);
        Err(refusal)
    }

    /// Reports whether no endpoint that the request may go to has a free slot.
    fn is_without_free_slot(
        &self,
        request: &Inbound,
        history: &OfferHistory,
    ) -> bool {
        let mut sent = Sent::default();
        let choice = self.choose_within(request, &mut sent, history, 0);
        matches!(choice, Err(ChooseError::AllFull))
    }

    /// Reports whether a request may take a slot now without passing a more
    /// urgent one.
    pub(super) fn precedes_waiting(
        &self,
        request: &Inbound,
        history: &OfferHistory,
    ) -> bool {
        let Some(shares) = &self.shares else {
            return true;
        };
        let Some(service) = self.service(request, history) else {
            return true;
        };
        history.binding.is_some()
            || shares.may_take(service, shares.rank(request), None)
    }
}

/// Reports whether a request does not have to queue at its endpoint.
fn has_free_slot(choice: &Choice) -> bool {
    choice.estimated_load < choice.endpoint.record().slots
}

/// Counts the refused request as one that waits at its caller.
fn record(
    shares: &FairShares,
    service: &str,
    customer: Option<&Customer>,
    refusal: Unserved,
) {
    if let Some((customer, ms)) = customer.zip(refusal.retry_after_ms()) {
        shares.record_refusal(service, customer, ms);
    }
}

/// Waits until a request should look for an endpoint again. The first request
/// also looks at intervals, since slots that other fronts used become free
/// without a notification.
async fn wait(
    place: Option<&Place>,
    shares: &FairShares,
    service: &str,
    give_up_at: Instant,
) {
    let Some(place) = place else {
        return time::sleep(CAPACITY_POLL_INTERVAL).await;
    };
    let until = match shares.is_first(service, place) {
        true => give_up_at.min(Instant::now() + CAPACITY_POLL_INTERVAL),
        false => give_up_at,
    };
    // An error means that the time is up.
    let _ = time::timeout_at(until.into(), place.changed()).await;
}
