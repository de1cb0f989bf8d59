//! Customer rate and concurrency limits and retry budgets without I/O.
//!
//! Each limit is a small state machine that takes the time as an argument:
//! rates ([`TokenBucket`]), requests at once ([`ConcurrencyLimit`]), both for
//! every customer ([`LimitTable`]), an entry's part of a limit of the fleet
//! ([`LimitShare`]), retries ([`RetryBudget`]) and fair turns of customers
//! ([`FairQueue`]).
//!
//! A cap over all fronts is held by a [`FleetLimiter`]: [`EvenSplit`] gives
//! each front a fixed part, [`TokenClient`] lends its parts to a few nodes
//! ([`TokenServer`]) that count for many fronts.
//!
//! A refusal always says when to come back ([`OverLimit`]); nothing waits
//! inside a limit.

mod bucket;
mod cap;
mod concurrency;
mod even;
mod fair;
mod front_count;
mod limiter;
mod pool;
mod retry;
mod share;
mod table;

pub use crate::{
    bucket::{OverLimit, TokenBucket},
    cap::{QuotaPermit, RateLimit, RateLimitError, Tolerance},
    concurrency::{ConcurrencyLimit, Permit},
    even::EvenSplit,
    fair::{FairQueue, FlowKey, PushError},
    limiter::{FleetLimiter, LimitAction, LimitDecision, LimitNodes, Ticket},
    pool::{
        Demand, SLOT_COUNT, ServerTimestamp, TokenClient, TokenGrant,
        TokenRefusal, TokenRequest, TokenResponse, TokenServer,
        TokenServerOptions,
    },
    retry::RetryBudget,
    share::{EntryCount, LimitShare},
    table::{Admission, FleetLimits, LimitKey, LimitTable},
};
