//! Items that crash the endpoints that run them.

use base::{Customer, RequestContent, RequestDigest};
use ledger::{Granted, RunOutcome};
use quarantine::{Crash, CrashedEndpoint, SendPermit};
use wire::message::{Item, ItemOutcome, ItemResult};

use super::Owner;

/// Method by which companions send items.
const METHOD: &str = "POST";

/// Returns the digest that an item shares with the same call outside a job.
pub(super) fn digest(
    customer: &Customer,
    path: &str,
    body: &[u8],
) -> RequestDigest {
    RequestDigest::of(RequestContent {
        customer: customer.as_str(),
        method: METHOD,
        host: "",
        target: path,
        body,
    })
}

impl Owner {
    /// Lets an item go to a companion, or opens it again for a later time if
    /// endpoints crash when they run it.
    pub(super) async fn clear(
        &self,
        item: Item,
        granted: &Granted,
    ) -> Option<Item> {
        let of_item = || digest(&item.customer, &item.path, &item.body);
        let held = match self.quarantine.admit(of_item).await {
            Ok(SendPermit { .. }) => return Some(item),
            Err(held) => held,
        };
        log::info!(
            job = item.job.as_str(),
            index = item.index,
            digest:% = of_item(),
            crashes = held.crashes,
            for_ms = held.for_ms;
            "an item is held"
        );
        let end = RunOutcome::Quarantined {
            for_ms: held.for_ms,
        };
        let Granted { grant, index, .. } = *granted;
        let moment = self.moment();
        self.ledger().result(moment, &item.job, index, grant, end);
        None
    }

    /// Takes note of what a result says about the item and its endpoint.
    pub(super) fn note_crash(
        &self,
        result: &ItemResult,
        digest: impl Fn() -> RequestDigest,
    ) {
        match result.outcome {
            ItemOutcome::Answered => {
                self.quarantine.record_response(digest, 0);
            }
            ItemOutcome::Crashed => {
                let (job, index) = (&result.job, result.index);
                let ledger = self.ledger();
                let vm = ledger.granted_to(job, index, result.grant);
                let Some(vm) = vm.cloned() else {
                    return;
                };
                drop(ledger);
                let ended_at = self.quarantine.now();
                // A result does not say how long the run lasted.
                let crash = Crash {
                    endpoint: CrashedEndpoint::named(vm.as_str()),
                    began_at: ended_at,
                    ended_at,
                    resumed_after: 0,
                    reached: 0,
                };
                self.quarantine.record_crash(digest(), crash);
            }
            ItemOutcome::Lost | ItemOutcome::Returned => {}
        }
    }
}
