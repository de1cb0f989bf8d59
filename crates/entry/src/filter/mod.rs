//! The filters that a request passes before it is forwarded.
//!
//! Each filter checks one concern and refuses with a problem document; a
//! refused request did not run. The order is part of the contract: a caller
//! without a key learns nothing of rules or models, and a body is read only
//! after authentication.

mod head;
mod key;
mod limit;
mod route;

pub(crate) use self::{
    head::{Caller, authenticate, check_headers, request_id},
    key::idempotency_key,
    limit::{LimitPermits, Limits, RuleLimits},
    route::{Incoming, Routed, route},
};
