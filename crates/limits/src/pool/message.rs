use base::Customer;
use serde::{Deserialize, Serialize};

use crate::RateLimit;

/// Most customers in one message.
const WANTS_MOST: usize = 8;

/// Most requests that one message asks for, of one customer.
const COUNT_MOST: u32 = 10_000;

/// Most fronts that a message may claim to know of.
const FRONTS_MOST: u32 = 100_000;

/// A moment on the clock of one process of a holder.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerTimestamp {
    /// Names the process: a holder that starts again has lent nothing.
    pub incarnation: u64,
    /// Milliseconds on its clock.
    pub at_ms: u64,
}

/// What a front asks a holder, and what it lends to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenRequest {
    /// The front.
    pub front: String,
    /// Names the process of the front.
    pub incarnation: u64,
    /// Grows with each message of the process.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The holder's newest timestamp that the front has; the lease runs from it.
    #[serde(rename = "lent_from")]
    pub lease_start: Option<ServerTimestamp>,
    /// The slots that are lent, a bit each.
    pub slots: u16,
    /// Fronts that share the caps, as far as the sender knows; its part is
    /// one in this many.
    pub fronts: u32,
    /// The requests that are to be counted.
    #[serde(rename = "wants")]
    pub demands: Vec<Demand>,
}

/// Requests of one customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    /// The customer.
    pub customer: Customer,
    /// Its replica.
    #[serde(rename = "seat")]
    pub replica: u8,
    /// Its limit, as the front knows it.
    #[serde(rename = "cap")]
    pub limit: RateLimit,
    /// How many requests.
    pub count: u32,
}

impl TokenRequest {
    /// Tells whether it can be what a front sends.
    pub(crate) fn is_valid(&self) -> bool {
        let want_ok = |demand: &Demand| {
            usize::from(demand.replica) < super::SEATS
                && demand.limit.is_valid()
                && demand.count <= COUNT_MOST
        };
        (1..=FRONTS_MOST).contains(&self.fronts)
            && self.demands.len() <= WANTS_MOST
            && self.demands.iter().all(want_ok)
    }
}

/// What a holder answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenResponse {
    /// The holder.
    #[serde(rename = "holder")]
    pub server: String,
    /// The front's process that it answers.
    pub to_incarnation: u64,
    /// The message that it answers.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The holder's clock when it got the message.
    #[serde(rename = "stamp")]
    pub timestamp: ServerTimestamp,
    /// Whether what the message lends was taken over.
    #[serde(rename = "heeded")]
    pub accepted: bool,
    /// Fronts that share the caps, as far as the holder knows.
    pub fronts: u32,
    /// One for each demand, in the same order.
    pub grants: Vec<TokenGrant>,
}

/// How many requests of a customer are counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenGrant {
    /// Requests that are.
    pub granted: u32,
    /// About those that are not.
    pub refused: Option<TokenRefusal>,
}

/// When requests that were not counted may come again.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenRefusal {
    /// Until there is room for one request, in milliseconds.
    #[serde(rename = "room_in_ms")]
    pub token_in_ms: u64,
    /// Until there is room for the first of those that were refused, behind
    /// all that were refused before it, in milliseconds.
    #[serde(rename = "back_in_ms")]
    pub retry_after_ms: u64,
    /// Between each of them and the next, in microseconds.
    #[serde(rename = "apart_us")]
    pub spacing_us: u64,
}
