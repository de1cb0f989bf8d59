//! One request on its way through the filters.

use base::{Class, Customer, Millis, RequestDigest, RequestId};
use bytes::Bytes;
use obs::CustomerMetrics;
use wire::message::Header;

/// What a request asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Subject {
    /// A model of an engine.
    Model(String),
    /// A plain service.
    Service(String),
}

/// A request with all that the filters have found out.
#[derive(Clone)]
pub(crate) struct Exchange {
    pub(crate) request_id: RequestId,
    pub(crate) received: Millis,
    pub(crate) customer: Customer,
    pub(crate) metrics: CustomerMetrics,
    pub(crate) class: Class,
    pub(crate) method: String,
    /// Path and query towards the endpoint.
    pub(crate) path: String,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
    /// What all tries of a caller share.
    pub(crate) digest: RequestDigest,
    pub(crate) plan: Plan,
}

/// How a request is served; the rules decide it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Plan {
    /// Pools in the order in which they are tried.
    pub(crate) pools: Vec<String>,
    /// Time for the whole request, in milliseconds; 0 is no limit.
    pub(crate) deadline_ms: u64,
    /// Time for the first token, in milliseconds; 0 is no limit.
    pub(crate) first_token_ms: u64,
    /// Attempts after the first.
    pub(crate) retries: u32,
    /// Whether running it twice does no harm.
    pub(crate) repeatable: bool,
}
