use std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use base::{Clock, Millis};
use slotmap::{SlotMap, new_key_type};
use tokio_util::sync::{CancellationToken, WaitForCancellationFuture};

use crate::Pace;

/// Limits of a [`MemoryBudget`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryOptions {
    /// Maximum size of all reservations, in bytes.
    pub limit_bytes: u64,
    /// Size up to which a reservation may use all of the limit. Larger ones
    /// leave a quarter of it free, so that a few large bodies cannot keep out
    /// the many small ones.
    pub small_bytes: u64,
    /// Time without progress after which a body that is being received may be
    /// evicted, in milliseconds.
    pub stall_ms: u64,
}

/// Largest reservation that counts as small, unless the limit is very low.
const SMALL_BYTES: u64 = 256 * 1024;

/// Fraction (1/n) of the limit up to which a reservation counts as small.
const SMALL_DIVISOR: u64 = 16;

/// Fraction (1/n) of the limit that is kept for small reservations.
const SMALL_SHARE_DIVISOR: u64 = 4;

/// Time without progress after which a body may be evicted. Retransmissions
/// of lost packets take less.
const STALL_MS: u64 = 1_000;

impl MemoryOptions {
    /// Creates options for a limit.
    pub fn new(limit_bytes: u64) -> Self {
        Self {
            limit_bytes,
            small_bytes: SMALL_BYTES.min(limit_bytes / SMALL_DIVISOR),
            stall_ms: STALL_MS,
        }
    }

    /// Returns the maximum total after a reservation of a size.
    fn limit_for(&self, bytes: u64) -> u64 {
        match bytes <= self.small_bytes {
            true => self.limit_bytes,
            false => self.limit_bytes - self.limit_bytes / SMALL_SHARE_DIVISOR,
        }
    }
}

/// The memory for callers is in use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Exhausted;

impl fmt::Display for Exhausted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the memory for callers is in use")
    }
}

impl std::error::Error for Exhausted {}

/// What a budget has granted and refused so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Reserved bytes.
    pub used_bytes: u64,
    /// Number of reservations that were refused.
    pub refused: u64,
    /// Number of reservations that were evicted.
    pub evicted: u64,
}

new_key_type! {
    struct HolderKey;
}

/// A part of the budget that is in use.
struct Holder {
    bytes: u64,
    /// Present while the body is being received.
    pace: Option<Pace>,
    evicted: CancellationToken,
}

#[derive(Default)]
struct State {
    holders: SlotMap<HolderKey, Holder>,
    usage: Usage,
}

impl State {
    /// Adds bytes to those in use, and evicts stalled bodies if needed.
    fn acquire(
        &mut self,
        bytes: u64,
        holder: Option<HolderKey>,
        options: &MemoryOptions,
        now: Millis,
    ) -> Result<(), Exhausted> {
        let held = holder.and_then(|key| self.holders.get(key));
        let total = held.map_or(0, |holder| holder.bytes) + bytes;
        let limit = options.limit_for(total);
        let missing = (self.usage.used_bytes + bytes).saturating_sub(limit);
        if missing > 0 && !self.evict(missing, holder, options, now) {
            self.usage.refused += 1;
            return Err(Exhausted);
        }
        self.usage.used_bytes += bytes;
        Ok(())
    }

    /// Evicts the bodies that have stalled for the longest time until `bytes`
    /// are free; evicts none if that is not possible.
    fn evict(
        &mut self,
        bytes: u64,
        except: Option<HolderKey>,
        options: &MemoryOptions,
        now: Millis,
    ) -> bool {
        let stalled = self.holders.iter().filter_map(|(key, holder)| {
            let stalled_ms = holder.pace?.stalled_ms(now);
            let may_be_evicted =
                stalled_ms >= options.stall_ms && Some(key) != except;
            may_be_evicted.then_some((stalled_ms, key, holder.bytes))
        });
        let mut stalled: Vec<(u64, HolderKey, u64)> = stalled.collect();
        stalled.sort_by_key(|(stalled_ms, ..)| u64::MAX - stalled_ms);
        let mut free = 0;
        let enough = stalled.iter().position(|(.., held)| {
            free += held;
            free >= bytes
        });
        let Some(last) = enough else {
            return false;
        };
        for (_, key, _) in &stalled[..=last] {
            if let Some(holder) = self.holders.remove(*key) {
                self.usage.used_bytes -= holder.bytes;
                self.usage.evicted += 1;
                holder.evicted.cancel();
            }
        }
        true
    }
}

/// The memory that callers may make a process hold, in total.
///
/// Clones share the budget.
#[derive(Clone)]
pub struct MemoryBudget {
    options: MemoryOptions,
    clock: Arc<dyn Clock>,
    state: Arc<Mutex<State>>,
}

impl fmt::Debug for MemoryBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MemoryBudget")
            .field("options", &self.options)
            .field("usage", &self.usage())
            .finish_non_exhaustive()
    }
}

impl MemoryBudget {
    /// Creates a budget.
    pub fn new(options: MemoryOptions, clock: Arc<dyn Clock>) -> Self {
        Self {
            options,
            clock,
            state: Arc::default(),
        }
    }

    /// Reserves bytes before they are read.
    ///
    /// A request that is larger than any reservation may be gets the largest
    /// one, so that it is served while nothing else is.
    ///
    /// # Errors
    ///
    /// [`Exhausted`] if so much is not free.
    pub fn reserve(&self, bytes: u64) -> Result<Reservation, Exhausted> {
        let bytes = bytes.min(self.max_bytes());
        let mut state = self.lock();
        state.acquire(bytes, None, &self.options, self.clock.now())?;
        let evicted = CancellationToken::new();
        let key = state.holders.insert(Holder {
            bytes,
            pace: None,
            evicted: evicted.clone(),
        });
        Ok(Reservation {
            budget: self.clone(),
            key,
            evicted,
        })
    }

    /// Returns the largest size of a single reservation.
    pub fn max_bytes(&self) -> u64 {
        self.options.limit_for(u64::MAX)
    }

    /// Returns the number of reserved bytes.
    pub fn used_bytes(&self) -> u64 {
        self.lock().usage.used_bytes
    }

    /// Returns what was granted and refused.
    pub fn usage(&self) -> Usage {
        self.lock().usage
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A part of a [`MemoryBudget`], released when dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    key: HolderKey,
    evicted: CancellationToken,
}

impl Reservation {
    /// Marks the reservation as that of a body that is being received, which
    /// may be evicted when it stalls.
    #[must_use]
    pub fn receiving(self) -> Self {
        self.resume();
        self
    }

    /// Marks the body as being received again, after a time in which nothing
    /// was read.
    pub fn resume(&self) {
        let now = self.budget.clock.now();
        self.with_holder(|holder| holder.pace = Some(Pace::new(now)));
    }

    /// Marks the body as complete; it is not evicted any more.
    ///
    /// # Errors
    ///
    /// [`Exhausted`] if the reservation was evicted before.
    pub fn complete(&self) -> Result<(), Exhausted> {
        self.with_holder(|holder| holder.pace = None)
            .ok_or(Exhausted)
    }

    /// Records bytes of a body that is being received.
    pub fn record(&self, bytes: u64) {
        let now = self.budget.clock.now();
        self.with_holder(|holder| {
            if let Some(pace) = &mut holder.pace {
                pace.record(bytes, now);
            }
        });
    }

    /// Makes the reservation `bytes` large if it is smaller.
    ///
    /// # Errors
    ///
    /// [`Exhausted`] if so much is not free, or if the reservation was evicted.
    pub fn grow_to(&self, bytes: u64) -> Result<(), Exhausted> {
        let bytes = bytes.min(self.budget.max_bytes());
        let now = self.budget.clock.now();
        let mut state = self.budget.lock();
        let held = state.holders.get(self.key).ok_or(Exhausted)?.bytes;
        let Some(more) = bytes.checked_sub(held) else {
            return Ok(());
        };
        let options = &self.budget.options;
        state.acquire(more, Some(self.key), options, now)?;
        if let Some(holder) = state.holders.get_mut(self.key) {
            holder.bytes = bytes;
        }
        Ok(())
    }

    /// Makes the reservation `bytes` large if it is larger.
    pub fn shrink_to(&self, bytes: u64) {
        let mut state = self.budget.lock();
        let Some(holder) = state.holders.get_mut(self.key) else {
            return;
        };
        let less = holder.bytes.saturating_sub(bytes);
        holder.bytes -= less;
        state.usage.used_bytes -= less;
    }

    /// Reports whether the reservation was evicted.
    pub fn is_evicted(&self) -> bool {
        self.evicted.is_cancelled()
    }

    /// Waits until the reservation is evicted. Its holder has to free the
    /// memory then.
    pub fn evicted(&self) -> WaitForCancellationFuture<'_> {
        self.evicted.cancelled()
    }

    fn with_holder<T>(
        &self,
        apply: impl FnOnce(&mut Holder) -> T,
    ) -> Option<T> {
        self.budget.lock().holders.get_mut(self.key).map(apply)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        if let Some(holder) = state.holders.remove(self.key) {
            state.usage.used_bytes -= holder.bytes;
        }
    }
}
