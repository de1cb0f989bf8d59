//! Sends crash records of parts of prompts directly to other nodes.
//!
//! Records reach all nodes through the feed of the key-value service. Without
//! the service each node would go by the crashes that it has seen itself. A
//! node therefore sends what is new to it to a few others, and these send it
//! on. The cost of a change for each node does not depend on their number.

use std::{sync::Arc, time::Duration};

use base::{Clock, mix};
use bytes::Bytes;
use fleet::Endpoint;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use jobs::{JobView, Members, NodeRecord};
use pass::{CallOutcome, Pool, ResponseBody};
use quarantine::{CrashRecordUpdate, Quarantine};
use tokio::{task::JoinSet, time};

use crate::{peer, peer_bodies::PeerBodies};

/// Path at which a node receives changes and returns the quarantined parts.
pub(crate) const CRASH_NEWS_PATH: &str = "/crash-news";

/// Number of fronts to which a node sends a change. All of a fleet learn of it
/// after a few steps.
const FAN_OUT: usize = 5;

/// Timeout of one call to another node, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 500;

/// Time in which further changes are collected before a message, in
/// milliseconds.
const COLLECT_MS: u64 = 50;

/// Interval between two attempts of a starting node to find others, in
/// milliseconds.
const START_RETRY_MS: u64 = 200;

/// Number of attempts of a starting node to find others.
const START_ATTEMPTS: u32 = 50;

/// Maximum size of a message, in bytes.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// Exchanges crash records with other nodes.
#[derive(Clone)]
pub(crate) struct CrashNews {
    node: String,
    quarantine: Quarantine,
    view: JobView,
    clock: Arc<dyn Clock>,
    pool: Arc<Pool>,
}

impl CrashNews {
    pub(crate) fn new(
        node: &str,
        quarantine: Quarantine,
        view: JobView,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            node: node.to_owned(),
            quarantine,
            view,
            clock,
            pool: Arc::default(),
        }
    }

    /// Asks a few nodes for quarantined parts, then sends changes until the
    /// process ends.
    pub(crate) async fn run(self) {
        self.ask().await;
        loop {
            let news = self.quarantine.next_news().await;
            self.send(&news).await;
            time::sleep(Duration::from_millis(COLLECT_MS)).await;
        }
    }

    async fn ask(&self) {
        for _ in 0..START_ATTEMPTS {
            let targets = self.targets();
            if targets.is_empty() {
                time::sleep(Duration::from_millis(START_RETRY_MS)).await;
                continue;
            }
            let mut calls = JoinSet::new();
            for target in targets {
                calls.spawn(self.clone().ask_one(target));
            }
            calls.join_all().await;
            return;
        }
    }

    async fn ask_one(self, target: Endpoint) {
        let request = peer::new_request(&target, CRASH_NEWS_PATH);
        let Some(body) = self.call(&target, request).await else {
            return;
        };
        self.apply(&body);
    }

    async fn send(&self, news: &[CrashRecordUpdate]) {
        // Records always encode.
        let message =
            Bytes::from(serde_json::to_vec(news).unwrap_or_default());
        let mut calls = JoinSet::new();
        for target in self.targets() {
            let (sender, message) = (self.clone(), message.clone());
            calls.spawn(async move {
                let request = peer::new_request(&target, CRASH_NEWS_PATH);
                let request = request.map(|mut request| {
                    *request.method_mut() = Method::POST;
                    *request.body_mut() = message;
                    request
                });
                sender.call(&target, request).await.is_some()
            });
        }
        let sent = calls.join_all().await;
        log::info!(
            records = news.len(),
            nodes = sent.len(),
            reached = sent.iter().filter(|reached| **reached).count();
            "crash records are sent to other nodes"
        );
    }

    async fn call(
        &self,
        target: &Endpoint,
        request: Option<Request<Bytes>>,
    ) -> Option<Bytes> {
        let call = self.pool.call(target, request?, MAX_MESSAGE_BYTES);
        let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
        match time::timeout(timeout, call).await {
            Ok(CallOutcome::Answered(head, body))
                if head.status.is_success() =>
            {
                Some(body)
            }
            _ => None,
        }
    }

    /// Returns a few fronts, other ones each time.
    fn targets(&self) -> Vec<Endpoint> {
        let fronts = self.view.roster().fronts;
        let seed = base::stable_hash(&[&self.node]) ^ self.clock.now().as_ms();
        let others =
            select(&fronts, mix(seed)).filter(|front| front.node != self.node);
        others.filter_map(peer::endpoint_of).take(FAN_OUT).collect()
    }

    fn apply(&self, message: &[u8]) -> bool {
        match serde_json::from_slice::<Vec<CrashRecordUpdate>>(message) {
            Ok(news) => {
                self.quarantine.apply_news(&news);
                true
            }
            Err(error) => {
                log::warn!(bytes = message.len(), error:%;
                    "malformed crash records of another node are ignored");
                false
            }
        }
    }

    /// Serves another node: applies the changes that it sends, or returns the
    /// quarantined parts.
    pub(crate) async fn serve(
        self,
        request: Request<Incoming>,
        bodies: PeerBodies,
    ) -> Response<ResponseBody> {
        if request.method() != Method::POST {
            let parts = self.quarantine.quarantined_parts();
            // Records always encode.
            let bytes = serde_json::to_vec(&parts).unwrap_or_default();
            return Response::new(ResponseBody::from_bytes(bytes.into()));
        }
        let status = match bodies.receive(request, MAX_MESSAGE_BYTES).await {
            Ok(body) if self.apply(&body.bytes) => StatusCode::NO_CONTENT,
            Ok(_) => StatusCode::BAD_REQUEST,
            Err(refusal) => return refusal.into_response(),
        };
        let mut response =
            Response::new(ResponseBody::from_bytes(Bytes::new()));
        *response.status_mut() = status;
        response
    }
}

/// Returns up to one more than [`FAN_OUT`] nodes at pseudo-random positions.
fn select(nodes: &Members, seed: u64) -> impl Iterator<Item = &NodeRecord> {
    let nodes = nodes.nodes();
    let count = (FAN_OUT + 1).min(nodes.len());
    let start = (seed as usize).checked_rem(nodes.len()).unwrap_or_default();
    let step = (nodes.len() / count.max(1)).max(1);
    (0..count).map(move |index| &nodes[(start + index * step) % nodes.len()])
}
