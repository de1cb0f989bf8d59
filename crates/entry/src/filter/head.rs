//! Checks that precede reading the body.

use std::sync::Arc;

use base::{Customer, KeyDigest, RequestId};
use obs::CustomerMetrics;
use rocket::http::HeaderMap;
use web::{Problem, ProblemKind, Ran};
use wire::message::Header;

use crate::{config::ActiveConfig, shared::Shared};

const BEARER: &str = "Bearer ";

/// Headers that the entry consumes and does not forward.
const STRIPPED_HEADERS: [&str; 8] = [
    "authorization",
    "host",
    "connection",
    "content-length",
    "transfer-encoding",
    "expect",
    "x-request-id",
    "accept-encoding",
];

/// An authenticated caller.
pub(crate) struct Caller {
    pub(crate) customer: Customer,
    pub(crate) metrics: CustomerMetrics,
    pub(crate) in_force: Arc<ActiveConfig>,
}

/// Returns the customer of the bearer key.
pub(crate) fn authenticate(
    shared: &Shared,
    headers: &HeaderMap<'_>,
) -> Result<Caller, Problem> {
    let in_force = shared.config.current().ok_or_else(|| {
        let reason = "no configuration was found yet";
        Problem::new(ProblemKind::PlatformDown, reason)
            .ran(Ran::No)
            .retry_after_ms(1_000)
    })?;
    let unknown = |reason: &str| {
        Problem::new(ProblemKind::Unauthorized, reason).ran(Ran::No)
    };
    let header = headers
        .get_one("authorization")
        .ok_or_else(|| unknown("send `Authorization: Bearer KEY`"))?;
    let key = header
        .strip_prefix(BEARER)
        .ok_or_else(|| unknown("the scheme must be Bearer"))?;
    let digest = KeyDigest::of_key(key.trim());
    let customer = in_force
        .compiled
        .customer_by_key_digest(digest.as_bytes())
        .map(|entry| entry.customer().clone())
        .ok_or_else(|| unknown("the key is not known"))?;
    let metrics = shared.metrics.customer(&customer);
    Ok(Caller {
        customer,
        metrics,
        in_force,
    })
}

/// Checks the headers against the limits and returns those to forward to the
/// endpoint.
pub(crate) fn check_headers(
    shared: &Shared,
    headers: &HeaderMap<'_>,
) -> Result<Vec<Header>, Problem> {
    let limits = &shared.limits;
    let too_large = |reason: String| {
        Problem::new(ProblemKind::HeadersTooLarge, reason).ran(Ran::No)
    };
    if headers.len() > limits.headers_max as usize {
        let reason = format!("more than {} headers", limits.headers_max);
        return Err(too_large(reason));
    }
    let mut forwarded = Vec::with_capacity(headers.len());
    for header in headers.iter() {
        let bytes = header.name().as_str().len() + header.value().len();
        if bytes as u64 > limits.header_max_bytes {
            let reason = format!(
                "header {} is over {} bytes",
                header.name(),
                limits.header_max_bytes
            );
            return Err(too_large(reason));
        }
        let name = header.name().as_str().to_ascii_lowercase();
        if !STRIPPED_HEADERS.contains(&name.as_str()) {
            let value = header.value().to_owned();
            forwarded.push(Header { name, value });
        }
    }
    Ok(forwarded)
}

/// Returns the caller's request id if it is well formed, otherwise a new one.
pub(crate) fn request_id(headers: &HeaderMap<'_>) -> RequestId {
    let given = headers.get_one("x-request-id");
    given
        .and_then(|id| id.parse().ok())
        .unwrap_or_else(new_request_id)
}

fn new_request_id() -> RequestId {
    RequestId::from_random(rand::random())
}
