//! Messages of a front to token servers.

use base::Millis;

use super::TokenClient;
use crate::{
    Demand, LimitAction, TokenRequest,
    pool::{
        allotment::{RENEWAL_CHECK_MS, Shares},
        report::ReportFields,
        slot_of,
    },
};

impl TokenClient {
    /// Sends a message to each node that is due one.
    pub(super) fn renew(&mut self, now: Millis) {
        self.next_renewal = now.saturating_add_ms(RENEWAL_CHECK_MS);
        self.exhausted.retain(|_, until| now < *until);
        for node in self.allotments.servers_due(now) {
            match self.reports.is_waiting(&node, now) {
                true => self.send_reports(&node, now),
                false => {
                    self.send(&node, Vec::new(), now);
                }
            }
        }
        if let Some(at) = self.allotments.next_takeover(now) {
            self.next_renewal = self.next_renewal.min(at);
        }
        for node in self.reports.repetitions(now) {
            self.send_reports(&node, now);
        }
    }

    /// Sends one message, which renews the allotment of all slots of that
    /// server.
    pub(super) fn send(
        &mut self,
        to: &str,
        demands: Vec<Demand>,
        now: Millis,
    ) -> u64 {
        let (sequence, shares) = self.allot(to, now);
        let fields = ReportFields::default();
        self.push_message(to, sequence, shares, demands, fields);
        sequence
    }

    /// Sends the reports that a server is due. They are in a message of their
    /// own, since a server of an older version drops it.
    pub(super) fn send_reports(&mut self, to: &str, now: Millis) {
        let (sequence, shares) = self.allot(to, now);
        let fields = self.reports.fields(to, shares.slots, sequence, now);
        if fields.complete_slots | fields.incomplete_slots != 0 {
            self.allotments.on_report(to, sequence);
        }
        self.push_message(to, sequence, shares, Vec::new(), fields);
    }

    fn allot(&mut self, to: &str, now: Millis) -> (u64, Shares) {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        let shares = self.allotments.allot(to, sequence, now);
        if !shares.newly_allotted.is_empty() {
            // The server that counts a share has the whole of it.
            self.own_buckets.retain(|(customer, replica), _| {
                !shares.newly_allotted.contains(&slot_of(customer, *replica))
            });
        }
        for slot in &shares.newly_allotted {
            self.open_report(*slot, to, now);
        }
        (sequence, shares)
    }

    fn open_report(&mut self, slot: usize, to: &str, now: Millis) {
        let age_ms = self.started_at.map(|at| now.saturating_ms_since(at));
        let is_young = age_ms.is_none_or(|ms| ms <= self.tolerance.window_ms);
        if is_young {
            self.reports.open(slot, to, None);
            return;
        }
        match self.history.of_slot(slot, now) {
            Some(customers) => self.reports.open(slot, to, Some(customers)),
            None => self.reports.close(slot),
        }
    }

    fn push_message(
        &mut self,
        to: &str,
        sequence: u64,
        shares: Shares,
        demands: Vec<Demand>,
        fields: ReportFields,
    ) {
        self.actions.push(LimitAction::Send {
            to: to.to_owned(),
            request: TokenRequest {
                front: self.node.clone(),
                incarnation: self.incarnation,
                sequence,
                lease_start: shares.from,
                slots: shares.slots,
                fronts: shares.fronts,
                demands,
                history: fields.history,
                history_slots: fields.complete_slots,
                incomplete_slots: fields.incomplete_slots,
            },
        });
    }
}
