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

/// Nodes of each kind that a node has its calls passed on by, in turn. Enough
/// that one is left where half of them are cut off as well; a way to each
/// node of a large fleet would only be tried, and waited for, once.
const RELAYS_OF_A_KIND: usize = 8;

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

/// Answers other nodes until the process ends.
///
/// # Errors
///
/// [`NodeError::Listen`] if the address cannot be used.
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
    let mut known: Option<Roster> = None;
    loop {
        let roster = view.roster();
        if !known.as_ref().is_some_and(|known| known.is_same(&roster)) {
            let peers = relays_of(&roster, &node);
            // Lost entries leave the last known ways in place: a node that
            // is cut off itself sees nobody.
            if !peers.is_empty() {
                paths.set_peers(peers);
                paths.set_outage_interval_ms(away_pause_ms(roster.len()));
            }
            known = Some(roster);
        }
        time::sleep(LOOK).await;
    }
}

/// Time between two calls of a node while the key-value service is away, in
/// milliseconds, in fleets of up to as many nodes as [`AWAY_NODES`].
const AWAY_PAUSE_MS: u64 = 400;

/// Longest such time, in milliseconds: the return of the service is noticed
/// within it.
const AWAY_PAUSE_MOST_MS: u64 = 2_000;

/// Nodes that may ask after a service that is away at that pace.
const AWAY_NODES: u64 = 32;

/// Returns how long a node of a fleet of so many leaves the service alone
/// while it is away.
fn away_pause_ms(nodes: usize) -> u64 {
    let grown = AWAY_PAUSE_MS * nodes as u64 / AWAY_NODES;
    grown.clamp(AWAY_PAUSE_MS, AWAY_PAUSE_MOST_MS)
}

/// Returns the few nodes that a node has its calls passed on by.
fn relays_of(roster: &Roster, node: &str) -> Vec<SocketAddr> {
    let start = base::stable_hash(&[node]) as usize;
    let mut relays = Vec::new();
    for group in [&roster.fronts, &roster.workers] {
        let others = group.nodes();
        for step in 0..others.len().min(RELAYS_OF_A_KIND) {
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
