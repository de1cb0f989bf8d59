use std::{sync::Arc, time::Duration};

use base::Clock;
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use fleet::{Endpoint, EndpointRecord, EndpointState};
use http::{HeaderValue, Request, header};
use jobs::{BulkCache, JobView, NodeRecord};
use kv::paths::Paths;
use pass::{Listener, ListenerOptions, Relay, Stopping};
use tokio::{sync::watch, time};

use crate::{
    NodeError, NodeSettings, feed::Feed, feed_wire::PeerHandler,
    job_spool::JobSpool,
};

/// Time between two looks at which nodes can pass calls on.
const LOOK: Duration = Duration::from_millis(500);

/// Returns a node as an endpoint that questions go to; none if it told no
/// address. Its connections are kept by name and address, as a node that
/// starts anew may have another one.
pub(crate) fn endpoint_of(node: &NodeRecord) -> Option<Endpoint> {
    let address = node.address?;
    Some(Endpoint::new(EndpointRecord {
        id: format!("{}@{address}", node.node),
        started_at: None,
        address,
        service: String::new(),
        failure_domain: node.failure_domain.clone(),
        slots: 0,
        state: EndpointState::Ready,
    }))
}

/// Makes a question to another node; none for a path that is no path.
pub(crate) fn question(to: &Endpoint, path: &str) -> Option<Request<Bytes>> {
    let host = to.record().address.to_string();
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = path.parse().ok()?;
    let host = HeaderValue::from_str(&host).ok()?;
    request.headers_mut().insert(header::HOST, host);
    Some(request)
}

/// Answers other nodes until the process ends: what this one follows, what
/// it keeps of jobs, and calls that are passed on to the key-value service.
///
/// # Errors
///
/// [`NodeError::Listen`] if the address cannot be used.
pub(crate) fn serve(
    settings: &NodeSettings,
    feeds: Arc<Vec<Arc<Feed>>>,
    cache: Arc<BulkCache>,
    spool: Option<Arc<JobSpool>>,
    clock: Arc<dyn Clock>,
) -> Result<(), Report<NodeError>> {
    let (sender, stage) = watch::channel(Stopping::No);
    let options = ListenerOptions::default();
    let listener = Listener::bind(settings.peer, options, stage)
        .change_context(NodeError::Listen)?;
    let handler = Arc::new(PeerHandler {
        relay: Relay::new(settings.kv),
        feeds,
        cache,
        spool,
        clock,
    });
    tokio::spawn(async move {
        // The stage lives as long as the task, and never changes.
        let _sender = sender;
        listener.serve(handler).await;
    });
    Ok(())
}

/// Keeps the ways to the key-value service through other nodes up to date.
///
/// Fronts go first: the workers are the ones that tend to be cut off
/// together. Each node starts at another of them.
pub(crate) async fn follow_peers(
    paths: Arc<Paths>,
    view: JobView,
    node: String,
) {
    let start = base::stable_hash(&[&node]) as usize;
    loop {
        let mut nodes = view.nodes();
        nodes.retain(|other| other.node != node);
        nodes.sort_by(|a, b| a.node.cmp(&b.node));
        let (workers, fronts): (Vec<_>, Vec<_>) =
            nodes.into_iter().partition(|other| other.runs_items);
        let mut peers = Vec::new();
        for mut group in [fronts, workers] {
            if !group.is_empty() {
                let by = start % group.len();
                group.rotate_left(by);
            }
            peers.extend(group.iter().filter_map(|other| other.address));
        }
        // Lost entries leave the last known ways in place: a node that is
        // cut off itself sees nobody.
        if !peers.is_empty() {
            paths.set_peers(peers);
        }
        time::sleep(LOOK).await;
    }
}
