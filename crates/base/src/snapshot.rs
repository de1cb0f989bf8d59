//! Shared values that are read without a lock and replaced as a whole.

use std::sync::Arc;

use arc_swap::{ArcSwap, Guard};

/// A value with many readers and few writers (read-copy-update).
///
/// A request loads one snapshot at its start and uses it to its end, so that
/// a configuration change never exposes a mix of the old and the new one. A
/// lock was rejected: a writer would block all requests, and a descheduled
/// reader would block the writer.
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
    /// Creates a snapshot that holds an initial value.
    pub fn new(value: T) -> Self {
        Self(ArcSwap::from_pointee(value))
    }

    /// Returns a cheap guard for short reads; do not hold the guard across
    /// an await point.
    #[inline]
    pub fn load(&self) -> Guard<Arc<T>> {
        self.0.load()
    }

    /// Returns the value as an [`Arc`], which may be kept for any time.
    #[inline]
    pub fn load_full(&self) -> Arc<T> {
        self.0.load_full()
    }

    /// Replaces the value for all subsequent reads.
    pub fn publish(&self, value: T) {
        self.0.store(Arc::new(value));
    }

    /// Replaces the value by the result of `change`, and retries if another
    /// writer replaced the value meanwhile, so that no update is lost.
    pub fn update(&self, mut change: impl FnMut(&T) -> T) {
        self.0.rcu(|old| change(old));
    }
}
