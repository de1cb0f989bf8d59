/// An item that waits, with events that only its own version can continue,
/// while an endpoint of another version has a free slot.
///
/// # Example
///
/// ```
/// use pomeloslip_jobs::VersionWait;
///
/// let wait = VersionWait {
///     waited_ms: 300,
///     ran_ms: 1_000,
///     has_endpoint: true,
/// };
/// assert!(!wait.is_over());
/// let longer = VersionWait { waited_ms: 1_000, ..wait };
/// assert!(longer.is_over());
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VersionWait {
    /// Time since the item's last run, in milliseconds.
    pub waited_ms: u64,
    /// Time that its runs took, which a run from the beginning repeats, in
    /// milliseconds.
    pub ran_ms: u64,
    /// Whether the node has an endpoint of the item's version that answers.
    pub has_endpoint: bool,
}

impl VersionWait {
    /// Reports whether the item begins anew.
    ///
    /// It does once it has waited as long as its runs took. It then loses at
    /// most twice the time that the better of waiting and beginning anew
    /// loses, however long the endpoints of its version stay busy.
    pub fn is_over(self) -> bool {
        !self.has_endpoint || self.waited_ms >= self.ran_ms
    }
}
