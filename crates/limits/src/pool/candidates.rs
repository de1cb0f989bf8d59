use base::{mix, stable_hash};

use super::{REPLICAS, SLOT_COUNT};
use crate::LimitNodes;

/// Candidates for token servers per shard, in order of preference.
#[derive(Debug, Default)]
pub(super) struct Candidates([Vec<String>; SLOT_COUNT / REPLICAS]);

/// Maximum number of workers that are candidates for one shard, and of fronts
/// after them, which also serve callers.
///
/// At these numbers two candidates remain if half of the nodes are lost; a
/// process that starts waits for all of them.
const WORKERS_PER_SHARD: usize = 6;
const FRONTS_PER_SHARD: usize = 3;

impl Candidates {
    /// Updates the listed nodes.
    pub(super) fn set_nodes(&mut self, nodes: &LimitNodes) {
        let workers = hash_names(&nodes.workers);
        let fronts = hash_names(&nodes.fronts);
        for (shard, candidates) in self.0.iter_mut().enumerate() {
            let shard = shard as u64;
            *candidates = top_ranked(&workers, shard, WORKERS_PER_SHARD);
            candidates.extend(top_ranked(&fronts, shard, FRONTS_PER_SHARD));
        }
    }

    pub(super) fn of_shard(&self, shard: usize) -> &[String] {
        &self.0[shard]
    }

    pub(super) fn shards(&self) -> impl Iterator<Item = &[String]> {
        self.0.iter().map(Vec::as_slice)
    }

    /// Returns the candidate of the slot's replica if it responds, else the
    /// first other one that does. The replicas of a shard have different
    /// servers if two nodes respond, and the loss of one server moves only the
    /// replica that it counted.
    pub(super) fn choose(
        &self,
        slot: usize,
        responds: impl Fn(&str) -> bool,
    ) -> Option<&str> {
        let candidates = self.of_shard(slot / REPLICAS);
        let responsive = |at: &usize| {
            candidates.get(*at).is_some_and(|node| responds(node))
        };
        let others = || REPLICAS..candidates.len();
        let first = [0].into_iter().chain(others()).chain([1]);
        let first = first.into_iter().find(responsive)?;
        let chosen = match slot % REPLICAS {
            0 => first,
            _ => {
                let second = [1].into_iter().chain(others()).chain([0]);
                let second = second
                    .into_iter()
                    .find(|at| *at != first && responsive(at));
                second.unwrap_or(first)
            }
        };
        Some(&candidates[chosen])
    }
}

fn hash_names(names: &[String]) -> Vec<(u64, &String)> {
    names
        .iter()
        .map(|name| (stable_hash(&[name]), name))
        .collect()
}

/// Returns the highest ranked nodes for one shard of customers, by rendezvous
/// hashing.
fn top_ranked(
    nodes: &[(u64, &String)],
    shard: u64,
    max: usize,
) -> Vec<String> {
    let mut nodes = nodes.to_vec();
    nodes.sort_unstable_by_key(|(hash, _)| mix(hash ^ mix(shard)));
    let top = nodes.into_iter().take(max);
    top.map(|(_, name)| name.clone()).collect()
}
