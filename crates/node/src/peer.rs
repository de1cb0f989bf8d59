use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use fleet::{Endpoint, EndpointRecord, EndpointState};
use http::{HeaderValue, Request, header};
use jobs::{JobView, NodeRecord, Roster};
use kv::paths::Paths;
use pass::{Listener, ListenerOptions, ShutdownPhase};
use tokio::{sync::watch, time};

use crate::{NodeError, feed_wire::PeerHandler};

/// Number of nodes of each kind that relay a node's calls, in turn. Enough
/// that one remains when half of them are disconnected as well; a path through
/// each node of a large fleet would only be tried, and waited for, once.
const RELAYS_PER_KIND: usize = 8;

/// Interval at which the relays are selected again.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Returns a node as an endpoint for requests; `None` if it has no address.
/// Connections are keyed by name and address, since a restarted node may have
/// another address.
pub(crate) fn endpoint_of(node: &NodeRecord) -> Option<Endpoint> {
    let address = node.address?;
    Some(Endpoint::new(EndpointRecord {
        id: format!("{}@{address}", node.node),
        started_at: None,
        version: None,
        address,
        service: String::new(),
        failure_domain: node.failure_domain.clone(),
        slots: 0,
        state: EndpointState::Ready,
    }))
}

/// Creates a request to another node; `None` if the path is invalid.
pub(crate) fn new_request(
    to: &Endpoint,
    path: &str,
) -> Option<Request<Bytes>> {
    let host = to.record().address.to_string();
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = path.parse().ok()?;
    let host = HeaderValue::from_str(&host).ok()?;
    request.headers_mut().insert(header::HOST, host);
    Some(request)
}

/// Serves other nodes until the process ends.
///
/// # Errors
///
/// Returns [`NodeError::Listen`] if the address cannot be bound.
pub(crate) fn serve(
    address: SocketAddr,
    handler: PeerHandler,
) -> Result<(), Report<NodeError>> {
    let (sender, stage) = watch::channel(ShutdownPhase::Running);
    let options = ListenerOptions::default();
    let listener = Listener::bind(address, options, stage)
        .change_context(NodeError::Listen)?;
    let handler = Arc::new(handler);
    tokio::spawn(async move {
        // The channel lives as long as the task, and its value never changes.
        let _sender = sender;
        listener.serve(handler).await;
    });
    Ok(())
}

/// Keeps the relays to the key-value service up to date.
///
/// Fronts come first, because workers tend to be disconnected together. Each
/// node starts at a different relay.
pub(crate) async fn maintain_relays(
    paths: Arc<Paths>,
    view: JobView,
    node: String,
) {
    let mut known: Option<Roster> = None;
    loop {
        let roster = view.roster();
        if !known.as_ref().is_some_and(|known| known.is_same(&roster)) {
            let peers = select_relays(&roster, &node);
            // If all entries are lost, the last known relays stay in place: a
            // node that is itself disconnected sees no other node.
            if !peers.is_empty() {
                paths.set_peers(peers);
                paths.set_outage_interval_ms(outage_interval_ms(roster.len()));
            }
            known = Some(roster);
        }
        time::sleep(REFRESH_INTERVAL).await;
    }
}

/// Interval between two calls of a node while the key-value service is
/// unavailable, in milliseconds, in fleets of up to [`NODES_AT_MIN_INTERVAL`]
/// nodes.
const MIN_OUTAGE_INTERVAL_MS: u64 = 400;

/// Maximum of this interval, in milliseconds: the recovery of the key-value
/// service is noticed within it.
const MAX_OUTAGE_INTERVAL_MS: u64 = 2_000;

/// Number of nodes up to which the minimum interval applies.
const NODES_AT_MIN_INTERVAL: u64 = 32;

/// Returns the interval between two calls of a node while the key-value
/// service is unavailable, for the number of nodes in the fleet.
fn outage_interval_ms(nodes: usize) -> u64 {
    let scaled = MIN_OUTAGE_INTERVAL_MS * nodes as u64 / NODES_AT_MIN_INTERVAL;
    scaled.clamp(MIN_OUTAGE_INTERVAL_MS, MAX_OUTAGE_INTERVAL_MS)
}

/// Returns the nodes that relay a node's calls.
fn select_relays(roster: &Roster, node: &str) -> Vec<SocketAddr> {
    let start = base::stable_hash(&[node]) as usize;
    let mut relays = Vec::new();
    for group in [&roster.fronts, &roster.workers] {
        let others = group.nodes();
        for step in 0..others.len().min(RELAYS_PER_KIND) {
            let other = &others[(start + step) % others.len()];
            if other.node != node {
                relays.extend(other.address);
            }
        }
    }
    relays
}

#[cfg(test)]
#[path = "../tests/unit/peer.rs"]
mod tests;
