use std::{net::SocketAddr, sync::Arc, time::Duration};

use fleet::{Endpoint, EndpointRecord, EndpointState, TransferLimits};
use http::{HeaderMap, HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use tokio::time;

use crate::{
    Handler, HandlerFuture, Pool, Refusal, ResponseBody, pool::CallOutcome,
    read_body, request::strip_hop_by_hop,
};

/// Passes calls of other nodes on to one service, byte for byte.
///
/// A node that the service turns away, or that has lost the path to it,
/// reaches it through a node that has not. The relay never uses another
/// relay, so that no call goes in circles.
#[derive(Clone)]
pub struct Relay {
    target: Endpoint,
    pool: Arc<Pool>,
}

/// Largest call and answer: a value of the service as text, several times.
const MOST_BYTES: usize = 32 * 1024 * 1024;

/// Longest wait for an answer, in milliseconds: a waiting watch and the
/// slowest answer together.
const TIMEOUT_MS: u64 = 8_000;

impl Relay {
    /// Passes calls on to the service at an address.
    pub fn new(target: SocketAddr) -> Self {
        Self {
            target: Endpoint::new(EndpointRecord {
                id: "relay".to_owned(),
                started_at: None,
                address: target,
                service: String::new(),
                failure_domain: String::new(),
                slots: 0,
                state: EndpointState::Ready,
            }),
            pool: Arc::default(),
        }
    }

    async fn pass(self, request: Request<Incoming>) -> Response<ResponseBody> {
        let (mut head, body) = request.into_parts();
        let body = match read_body(body, MOST_BYTES).await {
            Ok(body) => body,
            Err(refusal) => return refusal.into_response(),
        };
        strip_hop_by_hop(&mut head.headers);
        head.headers.remove(header::CONTENT_LENGTH);
        let host = self.target.record().address.to_string();
        if let Ok(host) = HeaderValue::from_str(&host) {
            head.headers.insert(header::HOST, host);
        }
        let request = Request::from_parts(head, body);
        let call = self.pool.call(&self.target, request, MOST_BYTES);
        let wait = Duration::from_millis(TIMEOUT_MS);
        match time::timeout(wait, call).await {
            Ok(CallOutcome::Answered(head, body)) => {
                let mut response =
                    Response::new(ResponseBody::from_bytes(body));
                *response.status_mut() = head.status;
                copy_type(&head.headers, response.headers_mut());
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

fn copy_type(from: &HeaderMap, to: &mut HeaderMap) {
    if let Some(kind) = from.get(header::CONTENT_TYPE) {
        to.insert(header::CONTENT_TYPE, kind.clone());
    }
}

impl Handler for Relay {
    fn handle(&self, request: Request<Incoming>) -> HandlerFuture {
        Box::pin(self.clone().pass(request))
    }

    fn limits(&self) -> TransferLimits {
        TransferLimits {
            max_body_bytes: MOST_BYTES,
            ..TransferLimits::default()
        }
    }
}
