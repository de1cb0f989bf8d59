//! Parts of caps, lent to nodes that count for many fronts.
//!
//! Each front owns an even part of every limit, in two halves (seats). It
//! lends each half for a short time, the lease, to a [`TokenServer`], which
//! adds up the parts of all fronts that lend to it and counts requests
//! against the sum. A front asks for each request; a few of them in one
//! message where many come at once.
//!
//! Safe whatever is lost: at each moment a part is lent to one holder, or
//! used by its front, or idle. A front lends it elsewhere only when the time
//! of the lease has passed since it heard the holder's stamp, and the holder
//! counts the same time from the moment at which it made that stamp, which
//! is earlier. Counters that start anew start without the burst.
//!
//! Usable whatever is lost: the two seats of a customer are at different
//! nodes, so that one of them counts while the other is replaced; and a
//! front that reaches no holder has its own part.
//!
//! Rejected: one counter for each customer, named by the list of nodes. Two
//! nodes whose lists differ then count the whole limit each, for as long as
//! one of them is cut off. And counters in the key-value service: they cost
//! a call for each request and are gone with it.

mod fraction;
mod holder;
mod lending;
mod member;
mod message;

pub use self::{
    holder::TokenServer,
    member::TokenClient,
    message::{
        Demand, ServerTimestamp, TokenGrant, TokenRefusal, TokenRequest,
        TokenResponse,
    },
};

use base::{Customer, mix, stable_hash};

/// Groups of customers that are lent together.
const SHARDS: u64 = 8;

/// Halves of a part.
const SEATS: usize = 2;

/// All that a front lends: each replica of each group of customers.
pub const SLOT_COUNT: usize = SHARDS as usize * SEATS;

/// Returns the slot of a customer's replica.
fn slot_of(customer: &Customer, replica: usize) -> usize {
    shard_of(customer) * SEATS + replica
}

fn shard_of(customer: &Customer) -> usize {
    (mix(stable_hash(&[customer.as_str()])) % SHARDS) as usize
}

/// Times of the pools; all nodes of a fleet have the same.
#[derive(Clone, Copy, Debug)]
pub struct TokenServerOptions {
    /// Shortest lease of a part, in milliseconds.
    pub min_lease_ms: u64,
    /// Lease for each front of the fleet, in milliseconds: leases grow with
    /// the fleet, so that a holder hears a bounded sequence of them a second.
    pub lease_per_front_ms: u64,
    /// Longest lease, in milliseconds.
    pub max_lease_ms: u64,
    /// How long one holder may take to answer, in milliseconds.
    pub response_timeout_ms: u64,
    /// Silence after which parts are lent to another holder, in
    /// milliseconds.
    pub unresponsive_after_ms: u64,
}

impl Default for TokenServerOptions {
    /// A caller waits for two answers at the most, which leaves two thirds
    /// of the shortest latency objectives.
    fn default() -> Self {
        Self {
            min_lease_ms: 1_500,
            lease_per_front_ms: 30,
            max_lease_ms: 10_000,
            response_timeout_ms: 40,
            unresponsive_after_ms: 300,
        }
    }
}

impl TokenServerOptions {
    /// Returns the lease in a fleet of so many fronts.
    pub(crate) fn lease_ms(&self, fronts: u32) -> u64 {
        let grown = self.lease_per_front_ms * u64::from(fronts);
        grown.clamp(self.min_lease_ms, self.max_lease_ms)
    }
}
