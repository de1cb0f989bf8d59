//! Decides how much memory and how many connections callers may use, without
//! I/O.
//!
//! Everything that a caller can make a process hold is reserved from one
//! [`MemoryBudget`] before it is read, and released when the [`Reservation`]
//! is dropped. Connections have a place in a [`ConnectionTable`]. Both are
//! derived from the memory of the machine by [`MemoryShares`].
//!
//! Nothing waits here. When the budget is in use, a body that has stopped to
//! arrive loses its reservation to a new one, and a request for which that is
//! not enough is refused:
//!
//! ```
//! use std::sync::Arc;
//!
//! use base::{Millis, SteppedClock};
//! use pomeloslip_budget::{MemoryBudget, MemoryOptions};
//!
//! let clock = Arc::new(SteppedClock::default());
//! let options = MemoryOptions::new(1_000_000);
//! let budget = MemoryBudget::new(options, clock.clone());
//!
//! let stopped = budget.reserve(700_000)?.receiving();
//! assert!(budget.reserve(700_000).is_err());
//!
//! clock.step_ms(options.stall_ms);
//! let next = budget.reserve(700_000)?;
//! assert!(stopped.is_evicted());
//! assert_eq!(budget.used_bytes(), 700_000);
//! # drop(next);
//! # Ok::<(), pomeloslip_budget::Exhausted>(())
//! ```

mod connections;
mod memory;
mod pace;
mod shares;

pub use crate::{
    connections::{
        Admission, ConnectionKey, ConnectionPhase, ConnectionTable,
    },
    memory::{Exhausted, MemoryBudget, MemoryOptions, Reservation, Usage},
    pace::{BodyPace, Pace},
    shares::MemoryShares,
};
