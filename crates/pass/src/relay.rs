use std::{net::SocketAddr, sync::Arc, time::Duration};

use budget::{BodyPace, MemoryBudget, Reservation};
use bytes::Bytes;
use fleet::{Endpoint, EndpointRecord, EndpointState, TransferLimits};
use http::{Extensions, HeaderMap, HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use tokio::time;

use crate::{
    BodyTerms, Handler, HandlerFuture, Pool, Refusal, ResponseBody,
    pool::CallOutcome, read_body, receive_body, request::strip_hop_by_hop,
};

/// Forwards calls of other nodes to one service unchanged.
///
/// A node that the service rejects, or that has lost its network path to the
/// service, reaches it through a node that still has access. A relay never
/// uses another relay, so calls cannot loop.
#[derive(Clone)]
pub struct Relay {
    target: Endpoint,
    pool: Arc<Pool>,
    /// The memory for calls, if it is bounded.
    budget: Option<MemoryBudget>,
}

/// Copies of a call that exist at the same time: that of the other node and
/// that for the service.
const COPIES: u64 = 2;

/// Maximum size of a request or response body: several times the text form
/// of the largest value of the key-value service.
const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;

/// Response timeout in milliseconds: the wait of a watch plus the slowest
/// response.
const TIMEOUT_MS: u64 = 8_000;

impl Relay {
    /// Creates a relay to the service at an address.
    pub fn new(target: SocketAddr) -> Self {
        Self {
            target: Endpoint::new(EndpointRecord {
                id: "relay".to_owned(),
                started_at: None,
                version: None,
                address: target,
                service: String::new(),
                failure_domain: String::new(),
                slots: 0,
                state: EndpointState::Ready,
            }),
            pool: Arc::default(),
            budget: None,
        }
    }

    /// Bounds the memory for all calls and their responses together.
    #[must_use]
    pub fn with_budget(mut self, budget: MemoryBudget) -> Self {
        self.pool = Arc::new(Pool::default().with_memory(budget.clone()));
        self.budget = Some(budget);
        self
    }

    async fn receive(
        &self,
        body: Incoming,
        extensions: &Extensions,
    ) -> Result<(Bytes, Option<Reservation>), Refusal> {
        let Some(budget) = &self.budget else {
            return Ok((read_body(body, MAX_BODY_BYTES).await?, None));
        };
        let terms = BodyTerms {
            max_bytes: MAX_BODY_BYTES,
            copies: COPIES,
            ends_at: None,
            pace: BodyPace::default(),
        };
        let received = receive_body(body, budget, terms, extensions).await?;
        Ok((received.bytes, Some(received.reservation)))
    }

    async fn forward(
        self,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let (mut head, body) = request.into_parts();
        let received = self.receive(body, &head.extensions).await;
        let (body, _reservation) = match received {
            Ok(received) => received,
            Err(refusal) => return refusal.into_response(),
        };
        strip_hop_by_hop(&mut head.headers);
        head.headers.remove(header::CONTENT_LENGTH);
        let host = self.target.record().address.to_string();
        if let Ok(host) = HeaderValue::from_str(&host) {
            head.headers.insert(header::HOST, host);
        }
        let request = Request::from_parts(head, body);
        let call =
            self.pool.call_server(&self.target, request, MAX_BODY_BYTES);
        let wait = Duration::from_millis(TIMEOUT_MS);
        match time::timeout(wait, call).await {
            Ok(CallOutcome::Answered(head, body)) => {
                let mut response =
                    Response::new(ResponseBody::from_bytes(body));
                *response.status_mut() = head.status;
                copy_content_type(&head.headers, response.headers_mut());
                response
            }
            Ok(CallOutcome::NotSent) => {
                Refusal::not_run("the service is not reached from here")
                    .into_response()
            }
            Ok(CallOutcome::Broken) | Err(_) => {
                Refusal::unknown("the service's answer is lost")
                    .into_response()
            }
        }
    }
}

fn copy_content_type(from: &HeaderMap, to: &mut HeaderMap) {
    if let Some(kind) = from.get(header::CONTENT_TYPE) {
        to.insert(header::CONTENT_TYPE, kind.clone());
    }
}

impl Handler for Relay {
    fn handle(&self, request: Request<Incoming>) -> HandlerFuture {
        Box::pin(self.clone().forward(request))
    }

    fn limits(&self) -> TransferLimits {
        TransferLimits {
            max_body_bytes: MAX_BODY_BYTES,
            ..TransferLimits::default()
        }
    }
}
