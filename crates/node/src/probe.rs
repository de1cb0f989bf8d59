use std::{sync::Arc, time::Duration};

use fleet::{Endpoint, EndpointRecord};
use http::{HeaderValue, Request, header};
use jobs::{Probe, ProbeFuture};
use pass::Pool;
use tokio::time;

use crate::Dialect;

/// Longest wait for an endpoint's load, in milliseconds; an older answer
/// would tell nothing.
const PROBE_TIMEOUT_MS: u64 = 300;

/// Largest answer to a question for the load.
const PROBE_MOST_BYTES: usize = 64 * 1024;

/// Asks endpoints for their load over kept connections.
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
            let wait = Duration::from_millis(PROBE_TIMEOUT_MS);
            let fetch = pool.fetch(&endpoint, request, PROBE_MOST_BYTES);
            let body = time::timeout(wait, fetch).await.ok()??;
            dialect.decode_load(&body, record.slots)
        })
    }
}
