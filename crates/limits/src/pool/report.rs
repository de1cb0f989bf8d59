use base::{Customer, Millis};

use super::{CustomerHistory, REPLICAS, SLOT_COUNT, history::Admitted};

/// Maximum size of the reports in one message, in bytes of JSON, so that the
/// message fits into one datagram. A larger report of one slot is not sent.
const MAX_REPORT_BYTES: usize = 56_000;

/// Size of a customer without its name, and of a count, in bytes of JSON with
/// the longest numbers.
const CUSTOMER_BYTES: usize = 130;
const COUNT_BYTES: usize = 14;

/// Maximum number of messages that contain the report of one allotment: two of
/// them may be lost, and a server of an older version answers none.
const MAX_ATTEMPTS: usize = 3;

/// Interval between these messages, in milliseconds.
const RETRY_MS: u64 = 100;

/// Reports of one front that servers have not answered yet.
#[derive(Debug, Default)]
pub(super) struct Reports {
    slots: [Option<SlotReport>; SLOT_COUNT],
}

/// Requests that a front had admitted in a slot when it allotted the slot.
#[derive(Debug)]
struct SlotReport {
    to: String,
    /// The requests, or `None` if they are not known for the whole window. The
    /// latter is reported once, in a renewal.
    customers: Option<Vec<(Customer, Admitted)>>,
    sent_in: Vec<u64>,
    last_sent: Option<Millis>,
}

/// Part of a message that reports admitted requests.
#[derive(Debug, Default)]
pub(super) struct ReportFields {
    pub(super) history: Vec<CustomerHistory>,
    pub(super) complete_slots: u16,
    pub(super) incomplete_slots: u16,
}

impl Reports {
    /// Starts the report of a newly allotted slot, unless it is too large.
    pub(super) fn open(
        &mut self,
        slot: usize,
        to: &str,
        customers: Option<Vec<(Customer, Admitted)>>,
    ) {
        let report = SlotReport {
            to: to.to_owned(),
            customers,
            sent_in: Vec::new(),
            last_sent: None,
        };
        let fits = report.size() <= MAX_REPORT_BYTES;
        self.slots[slot] = fits.then_some(report);
    }

    /// Drops the report of a slot.
    pub(super) fn close(&mut self, slot: usize) {
        self.slots[slot] = None;
    }

    /// Reports whether a server is due a message of its own with a report.
    pub(super) fn is_due(&self, to: &str, now: Millis) -> bool {
        let mut reports = self.slots.iter().flatten();
        reports.any(|report| {
            report.to == to && report.customers.is_some() && report.is_due(now)
        })
    }

    /// Reports whether the next renewal of a server says that a report is not
    /// complete. Others are not in renewals, which an old server would drop.
    pub(super) fn is_waiting(&self, to: &str, now: Millis) -> bool {
        let mut reports = self.slots.iter().flatten();
        reports.any(|report| {
            report.to == to && report.customers.is_none() && report.is_due(now)
        })
    }

    /// Returns the servers that are due a repetition of a report.
    pub(super) fn repetitions(&self, now: Millis) -> Vec<String> {
        let reports = self.slots.iter().flatten();
        let due = reports
            .filter(|report| report.last_sent.is_some() && report.is_due(now));
        let mut servers: Vec<String> =
            due.map(|report| report.to.clone()).collect();
        servers.sort_unstable();
        servers.dedup();
        servers
    }

    /// Returns the reports that are due in a message to a server that allots
    /// the given slots. Reports that do not fit follow in the next message.
    pub(super) fn fields(
        &mut self,
        to: &str,
        allotted: u16,
        sequence: u64,
        now: Millis,
    ) -> ReportFields {
        let mut fields = ReportFields::default();
        let mut total = 0;
        for (slot, entry) in self.slots.iter_mut().enumerate() {
            let Some(report) = entry.as_mut().filter(|at| at.to == to) else {
                continue;
            };
            let is_over = report.sent_in.len() >= MAX_ATTEMPTS;
            if allotted & (1 << slot) == 0 || is_over {
                *entry = None;
                continue;
            }
            let size = report.size();
            if !report.is_due(now) || total + size > MAX_REPORT_BYTES {
                continue;
            }
            total += size;
            report.sent_in.push(sequence);
            report.last_sent = Some(now);
            match &report.customers {
                Some(customers) => {
                    fields.complete_slots |= 1 << slot;
                    let replica = (slot % REPLICAS) as u8;
                    let customers = customers.iter();
                    fields.history.extend(customers.map(
                        |(customer, admitted)| {
                            admitted.history(customer, replica, now)
                        },
                    ));
                }
                None => {
                    fields.incomplete_slots |= 1 << slot;
                    *entry = None;
                }
            }
        }
        fields
    }

    /// Removes the reports that a server has answered.
    pub(super) fn on_response(&mut self, from: &str, sequence: u64) {
        for entry in &mut self.slots {
            let is_answered = entry.as_ref().is_some_and(|report| {
                report.to == from && report.sent_in.contains(&sequence)
            });
            if is_answered {
                *entry = None;
            }
        }
    }
}

impl SlotReport {
    fn is_due(&self, now: Millis) -> bool {
        self.last_sent
            .is_none_or(|at| now.saturating_ms_since(at) >= RETRY_MS)
    }

    /// Returns an upper bound of the size in bytes of JSON.
    fn size(&self) -> usize {
        let customers = self.customers.iter().flatten();
        let sizes = customers.map(|(customer, admitted)| {
            let counts = admitted.counts.counts().count();
            let name = customer.as_str().len();
            CUSTOMER_BYTES + name + counts * COUNT_BYTES
        });
        sizes.sum()
    }
}

impl Admitted {
    fn history(
        &self,
        customer: &Customer,
        replica: u8,
        now: Millis,
    ) -> CustomerHistory {
        let counts = self.counts.counts();
        CustomerHistory {
            customer: customer.clone(),
            replica,
            limit: self.limit,
            counts: counts
                .map(|(at, count)| (now.saturating_ms_since(at), count))
                .collect(),
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/report.rs"]
mod tests;
