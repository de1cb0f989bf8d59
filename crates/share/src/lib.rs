//! Fair shares of the slots of a service, while too few are free.
//!
//! [`SlotCounts`] counts the slots that customers use at one front.
//! [`UseServer`] adds up the [`UseReport`]s of all fronts and answers with
//! [`UseTotals`]. [`FrontShares`] combines both and decides whether a customer
//! is over its share: the share is weighted max-min fair ([`UseHistogram`]).
//! [`WaitingOrder`] orders the requests that wait for a slot.
//!
//! The crate does no I/O and has no clock. The cost of a decision does not
//! depend on the number of customers: counts are kept in histograms of fixed
//! size that are updated as requests begin and end.

mod counts;
mod front;
mod histogram;
mod message;
mod order;
mod server;
mod terms;

pub use crate::{
    counts::{PairKey, SlotCounts},
    front::{FrontShares, ServiceSlots, ShareBasis, ShareState},
    histogram::{BUCKET_COUNT, ShareLevel, UseHistogram},
    message::{
        MAX_PAIRS, MAX_SERVICES_SENT, PairUse, RestUse, ServiceUse, UseReport,
        UseTotals,
    },
    order::{Rank, Waiter, WaitingOrder},
    server::UseServer,
    terms::{CustomerTerms, CustomerTermsError, TermsTable},
};

/// Number of shards of customers; each is reported to one token server.
pub const SHARD_COUNT: usize = 8;

/// Time for which a report or an answer counts, in milliseconds. It exceeds
/// the interval between two reports by half, so that a delayed one does not
/// leave a gap.
pub const VALID_MS: u64 = 1_500;

/// Interval between two reports of a front to one server, in milliseconds.
pub const REPORT_INTERVAL_MS: u64 = 1_000;
