//! A request and the data that the filters attach to it.

use std::sync::Arc;

use base::{Class, Customer, Millis, RequestDigest, RequestId, timer::Timer};
use bytes::Bytes;
use obs::CustomerMetrics;
use quarantine::EvidenceKeys;
use wire::message::Header;

/// The target of a request: a model or a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Subject {
    /// A model served by an engine.
    Model(String),
    /// A plain service.
    Service(String),
}

/// A request with everything that the filters derived from it.
#[derive(Clone)]
pub(crate) struct Exchange {
    pub(crate) request_id: RequestId,
    pub(crate) received: Millis,
    pub(crate) customer: Customer,
    pub(crate) metrics: CustomerMetrics,
    pub(crate) class: Class,
    pub(crate) method: String,
    /// Path and query sent to the endpoint.
    pub(crate) path: String,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
    /// Digest that is the same for every attempt of a caller.
    pub(crate) digest: RequestDigest,
    /// Keys of the parts of the prompt that other requests may share.
    pub(crate) parts: Arc<[RequestDigest]>,
    pub(crate) plan: Plan,
}

impl Exchange {
    /// Returns the keys under which crash records of the request are stored.
    pub(crate) fn evidence_keys(&self) -> EvidenceKeys {
        let parts = self.parts.iter().copied();
        let keys = EvidenceKeys::from(self.digest);
        parts.fold(keys, EvidenceKeys::with_part)
    }

    /// Returns when the deadline passes, if there is one.
    pub(crate) fn deadline(&self) -> Option<Millis> {
        match self.plan.deadline_ms {
            0 => None,
            ms => Some(self.received.saturating_add_ms(ms)),
        }
    }

    /// Resolves when the deadline passes, if there is one.
    ///
    /// The endpoint has the same deadline, but it cannot report that it
    /// passed while it is silent.
    pub(crate) async fn until_deadline(&self, timer: &Timer) {
        match self.deadline() {
            Some(due) => timer.subscribe_at(due).await,
            None => std::future::pending().await,
        }
    }
}

/// How a request is served, as decided by the rules.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Plan {
    /// Pools in order of preference.
    pub(crate) pools: Vec<String>,
    /// Time limit of the whole request, in milliseconds; 0 means no limit.
    pub(crate) deadline_ms: u64,
    /// Time limit of the first token, in milliseconds; 0 means no limit.
    pub(crate) first_token_ms: u64,
    /// Maximum number of attempts after the first.
    pub(crate) retries: u32,
    /// Whether running the request twice is harmless.
    pub(crate) repeatable: bool,
}
