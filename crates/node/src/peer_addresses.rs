use std::net::SocketAddr;

use base::Millis;
use indexmap::IndexMap;
use jobs::{NodeRecord, Roster};
use limits::LimitNodes;

/// Time for which a node stays a peer after it is no longer listed, in
/// milliseconds. Entries expire while the key-value service is unavailable;
/// without this time all nodes would lose their token servers, and refuse each
/// other's messages, until they are listed again.
const UNLISTED_TTL_MS: u64 = 10_000;

/// The addresses of the nodes for one kind of message.
#[derive(Debug)]
pub(crate) struct PeerAddresses {
    select: fn(&NodeRecord) -> Option<SocketAddr>,
    roster: Roster,
    peers: IndexMap<String, Peer>,
    /// Time at which the next unlisted peer is removed.
    next_expiry: Option<Millis>,
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    is_front: bool,
    /// Time at which the peer is removed; none while it is listed.
    expires_at: Option<Millis>,
}

impl PeerAddresses {
    /// Creates an empty set. `select` returns the address of a node for the
    /// kind of message.
    pub(crate) fn new(select: fn(&NodeRecord) -> Option<SocketAddr>) -> Self {
        Self {
            select,
            roster: Roster::default(),
            peers: IndexMap::new(),
            next_expiry: None,
        }
    }

    /// Updates the peers from the listed nodes and returns whether the roster
    /// changed or a peer expired.
    pub(crate) fn update(&mut self, roster: Roster, now: Millis) -> bool {
        // Without a change of the roster this is constant time, independent
        // of the number of nodes.
        let has_expired = self.next_expiry.is_some_and(|at| at <= now);
        if roster.is_same(&self.roster) && !has_expired {
            return false;
        }
        let expires_at = Some(now.saturating_add_ms(UNLISTED_TTL_MS));
        for (name, peer) in &mut self.peers {
            if roster.get(name).is_none() && peer.expires_at.is_none() {
                peer.expires_at = expires_at;
            }
        }
        let is_expired = |peer: &Peer| {
            peer.expires_at.is_some_and(|expires_at| expires_at <= now)
        };
        self.peers.retain(|_, peer| !is_expired(peer));
        for record in roster.iter() {
            self.insert(record);
        }
        let expiries =
            self.peers.values().filter_map(|peers| peers.expires_at);
        self.next_expiry = expiries.min();
        self.roster = roster;
        true
    }

    fn insert(&mut self, record: &NodeRecord) {
        let Some(address) = (self.select)(record) else {
            return;
        };
        let peer = Peer {
            address,
            is_front: !record.runs_items,
            expires_at: None,
        };
        self.peers.insert(record.node.clone(), peer);
    }

    /// Reports whether no peer is known yet.
    pub(crate) fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns the address of a node.
    pub(crate) fn address(&self, node: &str) -> Option<SocketAddr> {
        self.peers.get(node).map(|peer| peer.address)
    }

    /// Returns all nodes by role.
    pub(crate) fn nodes(&self) -> LimitNodes {
        let mut nodes = LimitNodes::default();
        for (name, peer) in &self.peers {
            match peer.is_front {
                true => nodes.fronts.push(name.clone()),
                false => nodes.workers.push(name.clone()),
            }
        }
        nodes
    }
}

#[cfg(test)]
#[path = "../tests/unit/peer_addresses.rs"]
mod tests;
