use std::sync::Arc;

use base::{Customer, Millis};
use limits::{TokenClient, customer_shard};
use pass::FairShares;
use share::{
    REPORT_INTERVAL_MS, SHARD_COUNT, TermsTable, UseReport, UseServer,
    UseTotals,
};
use tokio::sync::watch;

// Customers are divided into the same shards as for rate limits.
const _: () = assert!(SHARD_COUNT * 2 == limits::SLOT_COUNT);

/// Returns the shard of a customer for [`FairShares`].
pub(crate) fn shard_of(customer: &Customer) -> usize {
    customer_shard(customer)
}

/// The part of the quota messages that is about the slots that customers use.
///
/// These messages are separate from those about tokens: nodes of an older
/// version refuse a message with unknown fields, and must not lose tokens by
/// that.
pub(crate) struct ShareExchange {
    /// The shares of this node's own requests; none at nodes without callers.
    front: Option<Arc<FairShares>>,
    server: UseServer,
    terms: watch::Receiver<Arc<TermsTable>>,
    next_report: Millis,
}

impl ShareExchange {
    pub(crate) fn new(
        node: &str,
        front: Option<Arc<FairShares>>,
        mut terms: watch::Receiver<Arc<TermsTable>>,
    ) -> Self {
        terms.mark_changed();
        Self {
            front,
            server: UseServer::new(node, Arc::default()),
            terms,
            next_report: Millis::default(),
        }
    }

    /// Applies the terms of customers if they have changed.
    pub(super) fn apply_terms(&mut self) {
        if self.terms.has_changed().unwrap_or(false) {
            let terms = self.terms.borrow_and_update().clone();
            self.server.set_terms(terms.clone());
            if let Some(front) = &self.front {
                front.set_terms(terms);
            }
        }
    }

    /// Returns the time until the next report, in milliseconds.
    pub(super) fn pause_ms(&self, now: Millis) -> Option<u64> {
        let front = self.front.as_ref();
        front.map(|_| self.next_report.saturating_ms_since(now))
    }

    /// Returns the reports that are due, with their recipients.
    pub(super) fn reports_due(
        &mut self,
        client: &TokenClient,
        now: Millis,
    ) -> Vec<(String, UseReport)> {
        let Some(front) =
            self.front.as_ref().filter(|_| self.next_report <= now)
        else {
            return Vec::new();
        };
        self.next_report = now.saturating_add_ms(REPORT_INTERVAL_MS);
        front.tick();
        let servers = client.shard_servers(now);
        front.reports(servers.map(|server| server.map(str::to_owned)))
    }

    /// Handles the report of a front; returns none if it is out of range or
    /// outdated.
    pub(super) fn handle(
        &mut self,
        report: &UseReport,
        now: Millis,
    ) -> Option<UseTotals> {
        self.server.handle(report, now)
    }

    /// Handles the answer of a server; returns false if it is out of range.
    pub(super) fn receive(&self, from: &str, answer: &UseTotals) -> bool {
        let front = self.front.as_ref();
        front.is_none_or(|front| front.receive(from, answer))
    }
}
