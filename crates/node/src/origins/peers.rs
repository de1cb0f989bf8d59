use std::net::SocketAddr;

use base::{Millis, stable_hash};
use jobs::{NodeRecord, Roster};
use origins::{HOLDERS, HolderNode, HolderRing, StreamKey};

use crate::peer_addresses::PeerAddresses;

/// The nodes that send messages about origins, and those that hold origins.
#[derive(Debug)]
pub(super) struct OriginPeers {
    senders: PeerAddresses,
    roster: Roster,
    holders: Vec<Holder>,
    ring: HolderRing,
}

#[derive(Debug)]
struct Holder {
    node: String,
    address: SocketAddr,
}

impl Default for OriginPeers {
    fn default() -> Self {
        Self {
            senders: PeerAddresses::new(|record| record.origins),
            roster: Roster::default(),
            holders: Vec::new(),
            ring: HolderRing::default(),
        }
    }
}

impl OriginPeers {
    /// Updates the nodes if the listed ones have changed.
    pub(super) fn update(&mut self, roster: Roster, now: Millis) {
        self.senders.update(roster.clone(), now);
        if roster.is_same(&self.roster) {
            return;
        }
        // While the key-value service is unavailable entries expire although
        // their nodes are alive.
        if roster.is_empty() && !self.roster.is_empty() {
            return;
        }
        let workers = roster.workers.nodes();
        let listed: Vec<&NodeRecord> = match workers.len() >= HOLDERS {
            true => workers.iter().collect(),
            false => roster.iter().collect(),
        };
        let usable = listed.into_iter().filter_map(|record| {
            let holder = Holder {
                node: record.node.clone(),
                address: record.origins?,
            };
            let hashes = HolderNode {
                name_hash: stable_hash(&[&record.node]),
                domain_hash: stable_hash(&[&record.failure_domain]),
            };
            Some((holder, hashes))
        });
        let (holders, hashes): (Vec<_>, Vec<_>) = usable.unzip();
        self.ring = HolderRing::new(&hashes);
        self.holders = holders;
        self.roster = roster;
    }

    /// Returns the addresses of the holders of streams except one node.
    pub(super) fn holders(
        &self,
        streams: &[StreamKey],
        except: &str,
    ) -> Vec<SocketAddr> {
        let mut addresses = Vec::with_capacity(HOLDERS * streams.len());
        for stream in streams {
            for at in self.ring.holders(*stream) {
                let holder = &self.holders[at];
                let is_new = !addresses.contains(&holder.address);
                if is_new && holder.node != except {
                    addresses.push(holder.address);
                }
            }
        }
        addresses
    }

    /// Returns the address from which a node sends its messages. A node whose
    /// entry has expired is known for some more time, because it may be alive.
    pub(super) fn address(&self, node: &str) -> Option<SocketAddr> {
        self.senders.address(node)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/origin_peers.rs"]
mod tests;
