//! Shared values that are read without a lock and replaced whole.

use std::sync::Arc;

use arc_swap::{ArcSwap, Guard};

/// Holds one value that many readers see and few writers replace
/// (read-copy-update).
///
/// A request takes one snapshot at its start and decides by it to its end,
/// so that a configuration change never shows it half of each. A lock was
/// rejected: a writer would stop all requests, and a reader that is
/// descheduled would stop the writer.
///
/// # Example
///
/// ```
/// use pomeloslip_base::Snapshot;
///
/// let rules = Snapshot::new(vec!["first"]);
/// let before = rules.load_full();
/// rules.publish(vec!["second"]);
/// assert_eq!(*before, ["first"]);
/// assert_eq!(**rules.load(), ["second"]);
/// ```
#[derive(Debug)]
pub struct Snapshot<T>(ArcSwap<T>);

impl<T> Snapshot<T> {
    /// Starts with a first value.
    pub fn new(value: T) -> Self {
        Self(ArcSwap::from_pointee(value))
    }

    /// Returns the value for a short look; cheap, do not hold it over a
    /// wait.
    #[inline]
    pub fn load(&self) -> Guard<Arc<T>> {
        self.0.load()
    }

    /// Returns the value for as long as the caller wants it.
    #[inline]
    pub fn load_full(&self) -> Arc<T> {
        self.0.load_full()
    }

    /// Replaces the value for all later readers.
    pub fn publish(&self, value: T) {
        self.0.store(Arc::new(value));
    }

    /// Replaces the value by what `change` makes of it, again if another
    /// writer was faster, so that no writer's change is lost.
    pub fn update(&self, mut change: impl FnMut(&T) -> T) {
        self.0.rcu(|old| change(old));
    }
}
