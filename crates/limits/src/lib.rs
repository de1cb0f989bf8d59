//! Customer rate and concurrency limits and retry budgets without I/O.
//!
//! Each limit is a small state machine that takes the time as an argument:
//! request rates ([`TokenBucket`]), concurrent requests
//! ([`ConcurrencyLimit`]), both per customer ([`LimitTable`]), an entry's
//! share of a fleet-wide limit ([`LimitShare`]), retries ([`RetryBudget`]) and
//! fair queueing over customers ([`FairQueue`]).
//!
//! A rate limit over all fronts is enforced by a [`FleetLimiter`]:
//! [`EvenSplit`] gives each front a fixed share, while [`TokenClient`] allots
//! its shares to a few nodes ([`TokenServer`]) that count requests for many
//! fronts.
//!
//! A refusal always includes the time after which to retry ([`OverLimit`]); no
//! request waits inside a limit.

mod bucket;
mod concurrency;
mod even_split;
mod fair;
mod front_count;
mod limiter;
mod pool;
mod rate_limit;
mod retry;
mod share;
mod table;

pub use crate::{
    bucket::{OverLimit, TokenBucket},
    concurrency::{ConcurrencyLimit, Permit},
    even_split::EvenSplit,
    fair::{FairQueue, FlowKey, PushError},
    limiter::{FleetLimiter, LimitAction, LimitDecision, LimitNodes, Ticket},
    pool::{
        CustomerHistory, Demand, SLOT_COUNT, ServerTimestamp, TokenClient,
        TokenEvent, TokenGrant, TokenRefusal, TokenRequest, TokenResponse,
        TokenServer, TokenServerOptions, customer_shard,
    },
    rate_limit::{QuotaPermit, RateLimit, RateLimitError, Tolerance},
    retry::RetryBudget,
    share::{EntryCount, LimitShare},
    table::{Admission, FleetLimits, LimitKey, LimitTable},
};
