use std::{sync::Arc, time::Duration};

use fleet::{Endpoint, EndpointRecord};
use http::{HeaderValue, Request, header};
use jobs::{Probe, ProbeFuture};
use pass::{CallOutcome, Pool};
use tokio::time;

use crate::Dialect;

/// Timeout for reading an endpoint's load, in milliseconds; a later response
/// would be stale.
const PROBE_TIMEOUT_MS: u64 = 300;

/// Maximum size of a load response.
const MAX_PROBE_BYTES: usize = 64 * 1024;

/// Queries the load of endpoints over pooled connections.
pub(crate) struct LoadProbe {
    dialect: Arc<dyn Dialect>,
    pool: Arc<Pool>,
}

impl LoadProbe {
    pub(crate) fn new(dialect: Arc<dyn Dialect>, pool: Arc<Pool>) -> Self {
        Self { dialect, pool }
    }
}

impl Probe for LoadProbe {
    fn probe(&self, endpoint: &EndpointRecord) -> ProbeFuture {
        let dialect = self.dialect.clone();
        let pool = self.pool.clone();
        let endpoint = Endpoint::new(endpoint.clone());
        Box::pin(async move {
            let record = endpoint.record();
            let mut request = Request::new(bytes::Bytes::new());
            *request.uri_mut() = dialect.load_path().parse().ok()?;
            let host = record.address.to_string();
            let host = HeaderValue::from_str(&host).ok()?;
            request.headers_mut().insert(header::HOST, host);
            let timeout = Duration::from_millis(PROBE_TIMEOUT_MS);
            let call = pool.call_server(&endpoint, request, MAX_PROBE_BYTES);
            match time::timeout(timeout, call).await {
                Ok(CallOutcome::Answered(head, body))
                    if head.status.is_success() =>
                {
                    dialect.decode_load(&body, record.slots)
                }
                _ => None,
            }
        })
    }
}
