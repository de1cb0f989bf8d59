use base::{Customer, Millis};
use serde::{Deserialize, Serialize};

use super::history::MAX_REPORT_CUSTOMERS;
use crate::{OverLimit, RateLimit};

/// Maximum number of customers in one message.
const MAX_DEMANDS: usize = 8;

/// Maximum number of requests of one customer in one message.
const MAX_COUNT: u32 = 10_000;

/// Maximum number of fronts that a message may report.
const MAX_FRONTS: u32 = 100_000;

/// Maximum number of customers, and of their counts, in one message's reports
/// of admitted requests: as many as fit into one datagram.
const MAX_HISTORIES: usize = 2 * MAX_REPORT_CUSTOMERS;
const MAX_HISTORY_COUNTS: usize = 4_000;

/// Maximum age of admitted requests, in milliseconds: longer than any window.
const MAX_HISTORY_AGE_MS: u64 = 3_600_000;

/// A time on the clock of one process of a token server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerTimestamp {
    /// Identifies the process. A restarted server has no allotments.
    pub incarnation: u64,
    /// Time on its clock, in milliseconds.
    pub at_ms: u64,
}

/// A front's request for tokens, with the slots that it allots to the server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenRequest {
    /// Name of the front.
    pub front: String,
    /// Identifies the process of the front.
    pub incarnation: u64,
    /// Increases with each message of the process.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Latest timestamp of the server that the front has received; the lease
    /// starts at it.
    #[serde(rename = "lent_from")]
    pub lease_start: Option<ServerTimestamp>,
    /// Bit mask of the allotted slots.
    pub slots: u16,
    /// Number of fronts that share the limits, as far as the sender knows. Its
    /// share is one divided by this number.
    pub fronts: u32,
    /// The requests to count.
    #[serde(rename = "wants")]
    pub demands: Vec<Demand>,
    /// Requests that the front had admitted when it allotted the slots of
    /// `history_slots`. Sent in messages without demands, since servers of
    /// older versions refuse them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub history: Vec<CustomerHistory>,
    /// Bit mask of the slots for which `history` is complete.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub history_slots: u16,
    /// Bit mask of the newly allotted slots whose admitted requests the front
    /// does not know, because its process is younger than the window.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub incomplete_slots: u16,
}

fn is_zero(mask: &u16) -> bool {
    *mask == 0
}

/// Requests of a customer that a front has admitted in the last window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerHistory {
    /// The customer.
    pub customer: Customer,
    /// Index of the replica that counted the requests.
    pub replica: u8,
    /// Rate limit of the customer, as the front knows it.
    pub limit: RateLimit,
    /// Ages in milliseconds, and numbers of requests of at least these ages.
    pub counts: Vec<(u64, u32)>,
}

/// Requests of one customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    /// The customer.
    pub customer: Customer,
    /// Index of the replica that counts the requests.
    #[serde(rename = "seat")]
    pub replica: u8,
    /// Rate limit of the customer, as the front knows it.
    #[serde(rename = "cap")]
    pub limit: RateLimit,
    /// Number of requests.
    pub count: u32,
}

impl TokenRequest {
    /// Reports whether all fields are in the range that a front sends.
    pub(crate) fn is_valid(&self) -> bool {
        let want_ok = |demand: &Demand| {
            usize::from(demand.replica) < super::REPLICAS
                && demand.limit.is_valid()
                && demand.count <= MAX_COUNT
        };
        (1..=MAX_FRONTS).contains(&self.fronts)
            && self.demands.len() <= MAX_DEMANDS
            && self.demands.iter().all(want_ok)
            && self.is_history_valid()
    }

    /// Reports whether the message contains a report of admitted requests.
    pub fn has_report(&self) -> bool {
        !self.history.is_empty()
            || self.history_slots != 0
            || self.incomplete_slots != 0
    }

    fn is_history_valid(&self) -> bool {
        let is_reported = |history: &CustomerHistory| {
            let replica = usize::from(history.replica);
            replica < super::REPLICAS && {
                let slot = super::slot_of(&history.customer, replica);
                self.history_slots & (1 << slot) != 0
            }
        };
        let in_range = |history: &CustomerHistory| {
            history.limit.is_valid()
                && history.counts.iter().all(|(age_ms, count)| {
                    *age_ms <= MAX_HISTORY_AGE_MS && *count <= MAX_COUNT
                })
        };
        let counts = self.history.iter().map(|it| it.counts.len());
        let reported = self.history_slots | self.incomplete_slots;
        self.history.len() <= MAX_HISTORIES
            && counts.sum::<usize>() <= MAX_HISTORY_COUNTS
            && reported & !self.slots == 0
            && self.history_slots & self.incomplete_slots == 0
            && self.history.iter().all(is_reported)
            && self.history.iter().all(in_range)
    }
}

/// A token server's response to a front.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenResponse {
    /// Name of the server.
    #[serde(rename = "holder")]
    pub server: String,
    /// Process of the front that the response is for.
    pub to_incarnation: u64,
    /// Sequence number of the request.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Clock of the server when it received the request.
    #[serde(rename = "stamp")]
    pub timestamp: ServerTimestamp,
    /// Whether the server applied the allotment of the request.
    #[serde(rename = "heeded")]
    pub accepted: bool,
    /// Number of fronts that share the limits, as far as the server knows.
    pub fronts: u32,
    /// One grant per demand, in the same order.
    pub grants: Vec<TokenGrant>,
}

/// Result of counting the requests of a customer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenGrant {
    /// Number of admitted requests.
    pub granted: u32,
    /// Retry information for the other requests.
    pub refused: Option<TokenRefusal>,
}

/// When refused requests may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenRefusal {
    /// Time until a token is available, in milliseconds.
    #[serde(rename = "room_in_ms")]
    pub token_in_ms: u64,
    /// Time until the first of the refused requests has a token, behind all
    /// requests that were refused before it, in milliseconds.
    #[serde(rename = "back_in_ms")]
    pub retry_after_ms: u64,
    /// Interval between the refused requests after it, in microseconds.
    #[serde(rename = "apart_us")]
    pub spacing_us: u64,
}

impl TokenRefusal {
    /// Returns the refusal of requests whose server is lost, and whose share
    /// is allotted to another one at the given time.
    pub(super) fn lost(until: Millis, now: Millis) -> Self {
        let ms = until.saturating_ms_since(now).max(1);
        Self {
            token_in_ms: ms,
            retry_after_ms: ms,
            spacing_us: 0,
        }
    }

    /// Returns the refusal that ends earlier.
    pub(super) fn earlier(a: Option<Self>, b: Option<Self>) -> Option<Self> {
        match (a, b) {
            (Some(a), Some(b)) if a.retry_after_ms <= b.retry_after_ms => {
                Some(a)
            }
            (Some(a), None) => Some(a),
            (_, b) => b,
        }
    }

    /// Returns when the refused request at the given position has a token.
    pub(super) fn retry_after(self, position: u64) -> OverLimit {
        let behind_ms = self.spacing_us * position / 1_000;
        OverLimit::new(self.retry_after_ms + behind_ms)
    }
}
