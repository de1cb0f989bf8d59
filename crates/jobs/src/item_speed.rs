//! Which items start at endpoints of unequal speed.

/// Part of the time until its deadline that an item with much time left takes
/// at most: one in this many. The other half is for preemptions by online
/// requests.
const MUCH_TIME_DIVISOR: u64 = 2;

/// A ratio of 1 in permille.
const USUAL_PERMILLE: u64 = 1_000;

/// An endpoint that can start items.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FreeEndpoint {
    /// Position of the endpoint in the caller's list.
    pub index: usize,
    /// Number of items that it can start.
    pub starts: u32,
    /// Its expected interval between events in permille of the median; none
    /// if its speed is unknown, which counts as usual.
    pub ratio_permille: Option<u64>,
}

impl FreeEndpoint {
    fn ratio(&self) -> u64 {
        self.ratio_permille.unwrap_or(USUAL_PERMILLE)
    }
}

/// The items that may start in one step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ItemFilter {
    /// All items.
    All,
    /// Items without much time left at an endpoint of this ratio in permille.
    LittleTime(u64),
    /// Items with much time left at an endpoint of this ratio in permille.
    MuchTime(u64),
}

impl ItemFilter {
    /// Reports whether an item may start.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_jobs::ItemFilter;
    ///
    /// let slow = ItemFilter::MuchTime(1_600);
    /// assert!(slow.permits(1_000, 3_200));
    /// assert!(!slow.permits(1_000, 3_199));
    /// ```
    pub fn permits(self, remaining_ms: u64, left_ms: u64) -> bool {
        let has_much_time = |ratio_permille: u64| {
            let expected_ms =
                remaining_ms.saturating_mul(ratio_permille) / USUAL_PERMILLE;
            expected_ms.saturating_mul(MUCH_TIME_DIVISOR) <= left_ms
        };
        match self {
            Self::All => true,
            Self::LittleTime(ratio) => !has_much_time(ratio),
            Self::MuchTime(ratio) => has_much_time(ratio),
        }
    }
}

/// Returns the steps in which items start: first those with little time left,
/// from the fastest endpoint on, then the others, from the slowest on.
///
/// Whether an item has much time left is determined by the slowest of the free
/// endpoints, so that each item belongs to exactly one of both steps.
///
/// # Example
///
/// ```
/// use pomeloslip_jobs::{FreeEndpoint, ItemFilter, start_order};
///
/// let free = |index, ratio_permille| FreeEndpoint {
///     index,
///     starts: 2,
///     ratio_permille: Some(ratio_permille),
/// };
/// let order = start_order(&[free(0, 1_600), free(1, 600)]);
/// let (little, much) =
///     (ItemFilter::LittleTime(1_600), ItemFilter::MuchTime(1_600));
/// assert_eq!(order, [(1, little), (0, little), (0, much), (1, much)]);
/// ```
pub fn start_order(free: &[FreeEndpoint]) -> Vec<(usize, ItemFilter)> {
    let mut by_speed: Vec<&FreeEndpoint> = free.iter().collect();
    by_speed.sort_by_key(|endpoint| endpoint.ratio());
    let slowest = by_speed.last().map_or(USUAL_PERMILLE, |e| e.ratio());
    let little = by_speed.iter();
    let little = little.map(|e| (e.index, ItemFilter::LittleTime(slowest)));
    let much = by_speed.iter().rev();
    let much = much.map(|e| (e.index, ItemFilter::MuchTime(slowest)));
    little.chain(much).collect()
}
