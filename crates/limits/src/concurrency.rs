use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use crate::OverLimit;

/// Retry delay of a caller that finds no free slot, in milliseconds. When a
/// slot becomes free is unknown; this is about the duration of a request.
const RETRY_AFTER_MS: u64 = 1_000;

#[derive(Debug)]
struct Inner {
    limit: AtomicU32,
    running: AtomicU32,
}

/// Limits the number of concurrent requests.
///
/// Clones share one limit. A slot is freed when its [`Permit`] is dropped, on
/// every path, also if a caller disconnects or a task panics. A count that has
/// to be released explicitly would leak slots on any path that forgets to.
///
/// # Example
///
/// ```
/// use pomeloslip_limits::ConcurrencyLimit;
///
/// let limit = ConcurrencyLimit::new(1);
/// let permit = limit.try_acquire()?;
/// assert!(limit.try_acquire().is_err());
/// drop(permit);
/// assert!(limit.try_acquire().is_ok());
/// # Ok::<(), pomeloslip_limits::OverLimit>(())
/// ```
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit(Arc<Inner>);

impl ConcurrencyLimit {
    /// Creates a limit; 0 admits nothing.
    pub fn new(limit: u32) -> Self {
        Self(Arc::new(Inner {
            limit: AtomicU32::new(limit),
            running: AtomicU32::new(0),
        }))
    }

    /// Changes the limit. Running requests continue; a lower limit applies
    /// from the next request on.
    pub fn set(&self, limit: u32) {
        self.0.limit.store(limit, Ordering::Relaxed);
    }

    /// Returns the limit.
    #[inline]
    pub fn limit(&self) -> u32 {
        self.0.limit.load(Ordering::Relaxed)
    }

    /// Returns the number of running requests.
    #[inline]
    pub fn running(&self) -> u32 {
        self.0.running.load(Ordering::Relaxed)
    }

    /// Acquires a slot.
    ///
    /// # Errors
    ///
    /// [`OverLimit`] if all slots are in use.
    pub fn try_acquire(&self) -> Result<Permit, OverLimit> {
        let limit = self.limit();
        let taken = self.0.running.fetch_update(
            Ordering::AcqRel,
            Ordering::Relaxed,
            |running| (running < limit).then(|| running + 1),
        );
        match taken {
            Ok(_) => Ok(Permit(self.0.clone())),
            Err(_) => Err(OverLimit::new(RETRY_AFTER_MS)),
        }
    }
}

/// A slot under a [`ConcurrencyLimit`], freed on drop.
#[derive(Debug)]
#[must_use = "the slot is freed when the permit is dropped"]
pub struct Permit(Arc<Inner>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::AcqRel);
    }
}
