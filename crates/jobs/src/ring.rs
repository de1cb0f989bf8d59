//! A hash ring that skips nodes without capacity.

use base::mix;

use crate::{Members, NodeRecord};

/// Points of each node on the ring. Several points make the arcs of the nodes
/// differ less; the limit on endpoints per node corrects the remaining
/// imbalance.
const POINTS_PER_NODE: u64 = 8;

/// The points of all nodes, in the order of their hashes.
///
/// A lookup returns the first node at or after a point that has capacity.
/// Plain consistent hashing with bounded loads walks over all full nodes,
/// which are nearly all nodes towards the end of an assignment. Links that
/// skip the points of full nodes, with path halving, reduce a lookup to a few
/// steps.
pub(crate) struct HashRing {
    /// Points with the indexes of their nodes, sorted.
    points: Vec<(u64, usize)>,
    /// For each point, the next point whose node may have capacity: the point
    /// itself as long as its own node may have capacity. The last entry, past
    /// all points, stands for "no node".
    next: Vec<usize>,
    steps: usize,
}

impl HashRing {
    /// Creates a ring of the members that `includes` selects.
    pub(crate) fn new(
        members: &Members,
        includes: impl Fn(&NodeRecord) -> bool,
    ) -> Self {
        let indexed = members.nodes().iter().enumerate();
        let included = indexed.filter(|(_, node)| includes(node));
        let points = included.flat_map(|(index, _)| {
            let hash = members.hash_at(index);
            (0..POINTS_PER_NODE).map(move |n| (mix(hash ^ mix(n + 1)), index))
        });
        let mut points: Vec<(u64, usize)> = points.collect();
        points.sort_unstable();
        Self {
            next: (0..=points.len()).collect(),
            points,
            steps: 0,
        }
    }

    /// Returns the index of the first node at or after a point that has
    /// capacity. A node that is once without capacity must stay without it.
    pub(crate) fn find(
        &mut self,
        point: u64,
        has_capacity: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let start = self
            .points
            .partition_point(|(position, _)| *position < point);
        self.find_from(start, &has_capacity)
            .or_else(|| self.find_from(0, &has_capacity))
    }

    /// Returns the number of points visited so far.
    pub(crate) fn steps(&self) -> usize {
        self.steps
    }

    fn find_from(
        &mut self,
        start: usize,
        has_capacity: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let mut position = start;
        loop {
            position = self.follow_links(position);
            let (_, node) = *self.points.get(position)?;
            if has_capacity(node) {
                return Some(node);
            }
            self.next[position] = position + 1;
        }
    }

    /// Returns the end of a chain of links, and halves the chain.
    fn follow_links(&mut self, mut position: usize) -> usize {
        self.steps += 1;
        while self.next[position] != position {
            self.next[position] = self.next[self.next[position]];
            position = self.next[position];
            self.steps += 1;
        }
        position
    }
}
