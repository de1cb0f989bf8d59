//! Shares of rate limits, allotted to token servers that count requests for
//! many fronts.
//!
//! Each front owns an even share of every limit, in two halves (replicas). It
//! allots each half for a short lease to a [`TokenServer`], which adds up the
//! shares of all fronts that allot to it and counts requests against the sum.
//! A front asks for a token for each request, and under load combines the
//! demands of several requests in one message.
//!
//! Limits are kept under any loss of nodes and messages: at any time a share
//! is either allotted to one server, used by its front, or idle. A front
//! allots a share to another server only after the lease of the present server
//! has passed, measured from the time at which the front received the present
//! server's timestamp. The present server measures the same lease from the
//! time at which it created that timestamp, which is earlier. A counter that
//! restarts begins without the tokens of a burst.
//!
//! Each front keeps a history of its admitted requests and reports it to the
//! server that it newly allots a slot to. Once the fronts of all shares have
//! reported, that server knows every request of the window, and sets its
//! buckets to the level of a single bucket that counted all of them. No report
//! misses requests, since a front admits only what the server that has its
//! share grants, from before its report until it withdraws the share.
//!
//! Requests are served under such losses: the two replicas of a customer are
//! on different nodes, so that one of them counts while the other is replaced;
//! and a front that reaches no server uses its own share.
//!
//! Rejected: one counter per customer, on a node that is chosen from the list
//! of nodes. Two nodes with different lists would each count the whole limit,
//! for as long as one of them is cut off. Also rejected: counters in the
//! key-value service, which would cost a call per request and be unavailable
//! whenever the service is unavailable.

mod allotment;
mod bucket;
mod candidates;
mod client;
mod fraction;
mod history;
mod message;
mod report;
mod restore;
mod server;
mod shards;

pub use self::{
    client::TokenClient,
    message::{
        CustomerHistory, Demand, ServerTimestamp, TokenGrant, TokenRefusal,
        TokenRequest, TokenResponse,
    },
    restore::TokenEvent,
    server::TokenServer,
    shards::customer_shard,
};

use base::{Customer, mix, stable_hash};

/// Number of shards that customers are divided into. The shares of all
/// customers of a shard are allotted together.
const SHARD_COUNT: u64 = 8;

/// Number of replicas of each shard, each with half of the front's share.
const REPLICAS: usize = 2;

/// Number of slots that a front allots. A slot is one replica of one shard of
/// customers.
pub const SLOT_COUNT: usize = SHARD_COUNT as usize * REPLICAS;

/// Returns the slot of one replica of a customer's shard.
fn slot_of(customer: &Customer, replica: usize) -> usize {
    shard_of(customer) * REPLICAS + replica
}

fn shard_of(customer: &Customer) -> usize {
    (mix(stable_hash(&[customer.as_str()])) % SHARD_COUNT) as usize
}

/// Timing of token servers; the same at all nodes of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct TokenServerOptions {
    /// Minimum lease of an allotment, in milliseconds.
    pub min_lease_ms: u64,
    /// Part of the lease for each front of the fleet, in milliseconds. Leases
    /// grow with the fleet, so that a server receives a bounded number of
    /// renewals per second.
    pub lease_per_front_ms: u64,
    /// Maximum lease, in milliseconds.
    pub max_lease_ms: u64,
    /// Time limit for the response of one server, in milliseconds.
    pub response_timeout_ms: u64,
    /// Time without a response after which slots are assigned to another
    /// server, in milliseconds.
    pub unresponsive_after_ms: u64,
}

impl Default for TokenServerOptions {
    /// A caller waits for at most two responses, each up to its time
    /// limit. This leaves two thirds of the shortest latency objectives.
    fn default() -> Self {
        Self {
            min_lease_ms: 500,
            lease_per_front_ms: 30,
            max_lease_ms: 10_000,
            response_timeout_ms: 40,
            unresponsive_after_ms: 300,
        }
    }
}

impl TokenServerOptions {
    /// Returns the lease in a fleet with the given number of fronts.
    pub(crate) fn lease_ms(&self, fronts: u32) -> u64 {
        let grown = self.lease_per_front_ms * u64::from(fronts);
        grown.clamp(self.min_lease_ms, self.max_lease_ms)
    }
}
