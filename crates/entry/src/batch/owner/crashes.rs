//! Quarantine of items that crash the endpoints that run them.

use base::{Customer, RequestContent, RequestDigest};
use ledger::{Granted, RunOutcome};
use quarantine::{Crash, CrashedEndpoint, EvidenceKeys, SendPermit};
use wire::message::{Item, ItemOutcome, ItemResult};

use super::Owner;

/// HTTP method that companions use for items.
const ITEM_METHOD: &str = "POST";

/// Returns the request digest of an item, equal to that of the same online
/// request.
pub(super) fn digest(
    customer: &Customer,
    path: &str,
    body: &[u8],
) -> RequestDigest {
    RequestDigest::of(RequestContent {
        customer: customer.as_str(),
        method: ITEM_METHOD,
        host: "",
        target: path,
        body,
    })
}

impl Owner {
    /// Returns the item if it may be sent to a companion; otherwise reopens it
    /// for a later time, since it has crashed endpoints.
    pub(super) async fn check_quarantine(
        &self,
        item: Item,
        granted: &Granted,
    ) -> Option<Item> {
        let item_digest = || digest(&item.customer, &item.path, &item.body);
        let keys = || EvidenceKeys::from(item_digest()).of_item();
        let quarantined = match self.quarantine.admit(keys).await {
            Ok(SendPermit { .. }) => return Some(item),
            Err(quarantined) => quarantined,
        };
        log::info!(
            job = item.job.as_str(),
            index = item.index,
            digest:% = item_digest(),
            crashes = quarantined.crashes,
            for_ms = quarantined.for_ms;
            "an item is held"
        );
        let outcome = RunOutcome::Quarantined {
            for_ms: quarantined.for_ms,
        };
        let Granted { grant, index, .. } = *granted;
        let moment = self.moment();
        self.ledger()
            .result(moment, &item.job, index, grant, outcome);
        None
    }

    /// Records in the quarantine whether the item crashed its endpoint.
    pub(super) fn record_outcome(
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
