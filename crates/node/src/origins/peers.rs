use std::net::SocketAddr;

use base::stable_hash;
use jobs::{NodeRecord, Roster};
use origins::{HOLDERS, HolderNode, HolderRing, StreamKey};

/// The nodes that hold origins, as listed last.
#[derive(Debug, Default)]
pub(super) struct OriginPeers {
    roster: Roster,
    holders: Vec<Holder>,
    ring: HolderRing,
}

#[derive(Debug)]
struct Holder {
    node: String,
    address: SocketAddr,
}

impl OriginPeers {
    /// Updates the holders if the listed nodes have changed.
    pub(super) fn update(&mut self, roster: Roster) {
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

    /// Returns the address from which a node sends its messages.
    pub(super) fn address(&self, node: &str) -> Option<SocketAddr> {
        self.roster.get(node)?.origins
    }
}

#[cfg(test)]
#[path = "../../tests/unit/origin_peers.rs"]
mod tests;
