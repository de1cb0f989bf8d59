use base::mix;

use crate::StreamKey;

/// Number of nodes that hold the origin of a stream.
pub const HOLDERS: usize = 2;

/// Points of each node on the ring, so that the shares of the nodes differ
/// less.
const POINTS_PER_NODE: u64 = 8;

/// Maximum number of points that one search visits. Several failure domains
/// are among as many points, unless nearly all nodes are in one.
const MAX_VISITED: usize = 24;

/// A node that can hold origins.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HolderNode {
    /// Hash of the node's name.
    pub name_hash: u64,
    /// Hash of the node's failure domain.
    pub domain_hash: u64,
}

/// Determines which nodes hold the origin of a stream.
///
/// All nodes that know the same holders determine the same ones. When a holder
/// joins or leaves, a stream keeps at least one of its holders: the next
/// nodes on a ring of hashes change by one. A search takes a binary search and
/// a bounded number of steps, whatever the size of the fleet.
///
/// # Example
///
/// ```
/// use pomeloslip_origins::{StreamKey, HolderNode, HolderRing};
///
/// let nodes = [(1, 1), (2, 1), (3, 2)].map(|(name, domain)| HolderNode {
///     name_hash: name,
///     domain_hash: domain,
/// });
/// let ring = HolderRing::new(&nodes);
/// let holders = ring.holders(StreamKey::of_attempt("", "a1"));
/// assert_eq!(holders.len(), 2);
/// let domains = holders.map(|at| nodes[at].domain_hash);
/// assert_eq!(domains.collect::<std::collections::HashSet<_>>().len(), 2);
/// ```
#[derive(Clone, Debug, Default)]
pub struct HolderRing {
    /// Points with the positions of their nodes, sorted.
    points: Vec<(u64, u32)>,
    domains: Vec<u64>,
    count: usize,
}

impl HolderRing {
    /// Creates a ring of nodes.
    pub fn new(nodes: &[HolderNode]) -> Self {
        let points = nodes.iter().zip(0u32..).flat_map(|(node, at)| {
            let hash = node.name_hash;
            (0..POINTS_PER_NODE)
                .map(move |point| (mix(hash ^ mix(point + 1)), at))
        });
        let mut points: Vec<(u64, u32)> = points.collect();
        points.sort_unstable();
        Self {
            points,
            domains: nodes.iter().map(|node| node.domain_hash).collect(),
            count: HOLDERS,
        }
    }

    /// Sets the number of holders of each stream. All nodes of a fleet need
    /// the same number.
    #[must_use]
    pub fn with_count(mut self, count: usize) -> Self {
        self.count = count;
        self
    }

    /// Returns the positions of the holders among the nodes, in different
    /// failure domains if possible, the preferred one first.
    pub fn holders(
        &self,
        stream: StreamKey,
    ) -> impl ExactSizeIterator<Item = usize> + use<> {
        let mut chosen: Vec<usize> = Vec::with_capacity(self.count);
        let mut spare: Vec<usize> = Vec::new();
        let hash = mix(stream.as_u64());
        let start = self.points.partition_point(|(point, _)| *point < hash);
        for step in 0..self.points.len().min(MAX_VISITED) {
            let position = (start + step) % self.points.len();
            let at = self.points[position].1 as usize;
            if chosen.contains(&at) || spare.contains(&at) {
                continue;
            }
            let domain = self.domains[at];
            match chosen.iter().any(|known| self.domains[*known] == domain) {
                true => spare.push(at),
                false => chosen.push(at),
            }
            if chosen.len() == self.count {
                break;
            }
        }
        let missing = self.count - chosen.len();
        chosen.extend(spare.into_iter().take(missing));
        chosen.into_iter()
    }
}
