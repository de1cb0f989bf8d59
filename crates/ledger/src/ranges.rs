use serde::{Deserialize, Serialize};

/// A set of item indices, stored as sorted ranges.
///
/// Serialized as a flat list of gaps and lengths. These are small numbers,
/// since items are granted in order and complete almost in order. A bitmap
/// would take 9 KB for a job of 54,000 items even when all are complete.
///
/// # Example
///
/// ```
/// use pomeloslip_ledger::RangeSet;
///
/// let set: RangeSet = [0, 1, 2, 7].into_iter().collect();
/// assert!(set.contains(7) && !set.contains(3));
/// assert_eq!(set.len(), 4);
/// assert_eq!(serde_json::to_string(&set)?, "[0,3,4,1]");
/// assert_eq!(serde_json::from_str::<RangeSet>("[0,3,4,1]")?, set);
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "Vec<u32>", into = "Vec<u32>")]
pub struct RangeSet {
    ranges: Vec<(u32, u32)>,
    len: u32,
}

impl RangeSet {
    /// Reports whether an item is in the set.
    pub fn contains(&self, index: u32) -> bool {
        let at = self.ranges.partition_point(|(_, to)| *to <= index);
        self.ranges.get(at).is_some_and(|(from, _)| *from <= index)
    }

    /// Inserts an item; returns false if it was already present.
    pub fn insert(&mut self, index: u32) -> bool {
        let at = self.ranges.partition_point(|(_, to)| *to < index);
        let joins_left =
            self.ranges.get(at).is_some_and(|(_, to)| *to == index);
        let right = at + usize::from(joins_left);
        if let Some((from, to)) = self.ranges.get(right)
            && (*from..*to).contains(&index)
        {
            return false;
        }
        let joins_right = self
            .ranges
            .get(right)
            .is_some_and(|(from, _)| *from == index + 1);
        match (joins_left, joins_right) {
            (true, true) => {
                self.ranges[at].1 = self.ranges[right].1;
                self.ranges.remove(right);
            }
            (true, false) => self.ranges[at].1 = index + 1,
            (false, true) => self.ranges[right].0 = index,
            (false, false) => self.ranges.insert(at, (index, index + 1)),
        }
        self.len += 1;
        true
    }

    /// Returns the number of items.
    #[inline]
    pub fn len(&self) -> u32 {
        self.len
    }

    /// Reports whether the set is empty.
    #[inline]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Iterates over the items in order.
    pub fn iter(&self) -> impl Iterator<Item = u32> {
        self.ranges.iter().flat_map(|(from, to)| *from..*to)
    }

    /// Returns the ranges `[from, to)` in order.
    #[inline]
    pub fn ranges(&self) -> &[(u32, u32)] {
        &self.ranges
    }
}

impl FromIterator<u32> for RangeSet {
    fn from_iter<T: IntoIterator<Item = u32>>(items: T) -> Self {
        let mut set = Self::default();
        for index in items {
            set.insert(index);
        }
        set
    }
}

impl From<RangeSet> for Vec<u32> {
    fn from(set: RangeSet) -> Self {
        let mut gaps = Vec::with_capacity(set.ranges.len() * 2);
        let mut end = 0;
        for (from, to) in set.ranges {
            gaps.extend([from - end, to - from]);
            end = to;
        }
        gaps
    }
}

impl TryFrom<Vec<u32>> for RangeSet {
    type Error = &'static str;

    fn try_from(gaps: Vec<u32>) -> Result<Self, Self::Error> {
        let mut set = Self::default();
        let mut end: u32 = 0;
        for pair in gaps.chunks(2) {
            let [gap, length] = *pair else {
                return Err("a gap without its length");
            };
            let from = end.checked_add(gap);
            let to = from.and_then(|from| from.checked_add(length));
            let (Some(from), Some(to)) = (from, to) else {
                return Err("an item number that is too large");
            };
            if length == 0 || (gap == 0 && end > 0) {
                return Err("an empty gap or range");
            }
            set.ranges.push((from, to));
            set.len += length;
            end = to;
        }
        Ok(set)
    }
}
