//! Customer rate and concurrency limits and retry budgets without I/O.
//!
//! Each limit is a small state machine that takes the time as an argument:
//! rates ([`TokenBucket`]), requests at once ([`ConcurrencyLimit`]), both for
//! every customer ([`LimitTable`]), an entry's part of a limit of the fleet
//! ([`LimitShare`]), retries ([`RetryBudget`]) and fair turns of customers
//! ([`FairQueue`]).
//!
//! A refusal always says when to come back ([`OverLimit`]); nothing waits
//! inside a limit.

mod bucket;
mod concurrency;
mod fair;
mod retry;
mod share;
mod table;

pub use crate::{
    bucket::{OverLimit, TokenBucket},
    concurrency::{ConcurrencyLimit, Permit},
    fair::{FairQueue, FlowKey, PushError},
    retry::RetryBudget,
    share::{EntryCount, LimitShare},
    table::{Admission, FleetLimits, LimitKey, LimitTable},
};
