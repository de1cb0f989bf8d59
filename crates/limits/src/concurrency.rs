use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use crate::OverLimit;

/// Wait that is told to a caller who finds no place, in milliseconds. When a
/// place comes free is not known; this is about the length of a request.
const RETRY_AFTER_MS: u64 = 1_000;

#[derive(Debug)]
struct Inner {
    limit: AtomicU32,
    running: AtomicU32,
}

/// Limits how many requests run at once.
///
/// Clones share one limit. A place is freed when its [`Permit`] is dropped,
/// on every path, also if a caller goes away or a task panics; a count that
/// is given back by hand would leak places on the path that forgets it.
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
    /// Makes a limit; 0 lets nothing run.
    pub fn new(limit: u32) -> Self {
        Self(Arc::new(Inner {
            limit: AtomicU32::new(limit),
            running: AtomicU32::new(0),
        }))
    }

    /// Changes the limit. What runs goes on; a lower limit holds from the
    /// next request on.
    pub fn set(&self, limit: u32) {
        self.0.limit.store(limit, Ordering::Relaxed);
    }

    /// Returns the limit.
    #[inline]
    pub fn limit(&self) -> u32 {
        self.0.limit.load(Ordering::Relaxed)
    }

    /// Returns how many run.
    #[inline]
    pub fn running(&self) -> u32 {
        self.0.running.load(Ordering::Relaxed)
    }

    /// Takes a place.
    ///
    /// # Errors
    ///
    /// [`OverLimit`] if all are taken.
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

/// A place under a [`ConcurrencyLimit`], free again when dropped.
#[derive(Debug)]
#[must_use = "the place is free again when the permit is dropped"]
pub struct Permit(Arc<Inner>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::AcqRel);
    }
}
