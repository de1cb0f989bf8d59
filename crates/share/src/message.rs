use base::Customer;
use serde::{Deserialize, Serialize};

use crate::UseHistogram;

/// Maximum number of pairs of service and customer in one message.
pub const MAX_PAIRS: usize = 8;

/// Maximum number of services in one message for which sums are sent.
pub const MAX_SERVICES_SENT: usize = 4;

/// Maximum length of the name of a service or node, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Maximum number of slots, and of waiting requests, of one pair or sum.
pub(crate) const MAX_SLOTS: u32 = 1_000_000;

/// Maximum number of customers of one sum.
const MAX_CUSTOMERS: u32 = 1_000_000;

/// The slots that customers of some shards use or wait for, by requests of one
/// front.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UseReport {
    /// Name of the front.
    pub front: String,
    /// Identifies the process of the front.
    pub incarnation: u64,
    /// Increases with each report of the process.
    pub sequence: u64,
    /// The largest customers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub in_use: Vec<PairUse>,
    /// The other customers of the services with the most use.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rest: Vec<RestUse>,
}

/// The slots of one service that one customer uses.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PairUse {
    /// Name of the service.
    pub service: String,
    /// The customer.
    pub customer: Customer,
    /// Number of slots in use.
    pub slots: u32,
    /// Number of requests that wait for a slot.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub waiting: u32,
}

/// The slots of one service that all other customers use.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RestUse {
    /// Name of the service.
    pub service: String,
    /// Number of slots in use.
    pub slots: u32,
    /// Number of requests that wait for a slot.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub waiting: u32,
    /// Number of customers.
    pub customers: u32,
}

impl PairUse {
    fn is_valid(&self) -> bool {
        is_name(&self.service) && is_demand(self.slots, self.waiting)
    }

    /// Returns the number of slots in use or waited for.
    pub fn demand(&self) -> u32 {
        self.slots.saturating_add(self.waiting)
    }
}

impl RestUse {
    /// Returns the number of slots in use or waited for.
    pub fn demand(&self) -> u32 {
        self.slots.saturating_add(self.waiting)
    }
}

/// The answer of a server to a [`UseReport`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UseTotals {
    /// Name of the server.
    pub server: String,
    /// Process of the front that the answer is for.
    pub to_incarnation: u64,
    /// Sequence number of the report.
    pub sequence: u64,
    /// The slots in use at all fronts, by pair of the report.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub totals: Vec<u32>,
    /// The largest customers at all fronts, whether the report names them or
    /// not. A customer that has no request at the front at this moment may use
    /// many slots by others.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub largest: Vec<PairUse>,
    /// The customers of the services with the most use.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<ServiceUse>,
}

/// The customers of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceUse {
    /// Name of the service.
    pub service: String,
    /// The customers by use.
    pub histogram: UseHistogram,
}

impl UseReport {
    /// Reports whether all fields are in the range that a front sends.
    pub fn is_valid(&self) -> bool {
        let rest_ok = |rest: &RestUse| {
            is_name(&rest.service)
                && is_demand(rest.slots, rest.waiting)
                && (1..=MAX_CUSTOMERS).contains(&rest.customers)
        };
        is_name(&self.front)
            && self.in_use.len() <= MAX_PAIRS
            && self.in_use.iter().all(PairUse::is_valid)
            && self.rest.len() <= MAX_SERVICES_SENT
            && self.rest.iter().all(rest_ok)
    }
}

impl UseTotals {
    /// Reports whether all fields are in the range that a server sends.
    pub fn is_valid(&self) -> bool {
        let service_ok = |sums: &ServiceUse| {
            is_name(&sums.service) && sums.histogram.is_valid()
        };
        self.totals.len() <= MAX_PAIRS
            && self.largest.len() <= MAX_PAIRS
            && self.largest.iter().all(PairUse::is_valid)
            && self.services.len() <= MAX_SERVICES_SENT
            && self.services.iter().all(service_ok)
    }
}

fn is_demand(slots: u32, waiting: u32) -> bool {
    slots <= MAX_SLOTS && waiting <= MAX_SLOTS && slots + waiting > 0
}

// The signature is given by serde.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_zero(number: &u32) -> bool {
    *number == 0
}

fn is_name(text: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&text.len())
}
