//! A hash ring on which nodes that are full are skipped.

use base::mix;

use crate::{Members, NodeRecord};

/// Points that a node has on the ring, so that the arcs before the nodes
/// differ little. What is uneven all the same is evened out by the bound on
/// each node's share.
const POINTS: u64 = 8;

/// Nodes by the points that their hashes give them.
///
/// Who looks for a node takes the first one after a point that has room.
/// Consistent hashing with bounded loads alone walks over all full nodes,
/// which towards the end are nearly all: links past the points of full
/// nodes, shortened as they are used, make that a few steps.
pub(crate) struct Ring {
    /// Points with the places of their nodes, sorted.
    points: Vec<(u64, usize)>,
    /// For each point the next one that may have room: itself as long as it
    /// may. The one past the last says that there is none.
    next: Vec<usize>,
    steps: usize,
}

impl Ring {
    /// Puts those members on the ring that `keep` names.
    pub(crate) fn new(
        members: &Members,
        keep: impl Fn(&NodeRecord) -> bool,
    ) -> Self {
        let places = members.nodes().iter().enumerate();
        let kept = places.filter(|(_, node)| keep(node));
        let points = kept.flat_map(|(place, _)| {
            let hash = members.hash_at(place);
            (0..POINTS).map(move |n| (mix(hash ^ mix(n + 1)), place))
        });
        let mut points: Vec<(u64, usize)> = points.collect();
        points.sort_unstable();
        Self {
            next: (0..=points.len()).collect(),
            points,
            steps: 0,
        }
    }

    /// Returns the place of the first node at or after a point that has
    /// room. A node that has none once must never have any again.
    pub(crate) fn find(
        &mut self,
        point: u64,
        has_room: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let start = self.points.partition_point(|(at, _)| *at < point);
        self.find_from(start, &has_room)
            .or_else(|| self.find_from(0, &has_room))
    }

    /// Returns how many points were looked at.
    pub(crate) fn steps(&self) -> usize {
        self.steps
    }

    fn find_from(
        &mut self,
        start: usize,
        has_room: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let mut at = start;
        loop {
            at = self.follow_links(at);
            let (_, node) = *self.points.get(at)?;
            if has_room(node) {
                return Some(node);
            }
            self.next[at] = at + 1;
        }
    }

    /// Returns the end of a chain of links, and halves the chain.
    fn follow_links(&mut self, mut at: usize) -> usize {
        self.steps += 1;
        while self.next[at] != at {
            self.next[at] = self.next[self.next[at]];
            at = self.next[at];
            self.steps += 1;
        }
        at
    }
}
