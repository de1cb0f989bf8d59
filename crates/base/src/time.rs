//! Time as an argument: monotonic and calendar milliseconds, and clocks.
//!
//! Code that decides takes [`Millis`] and never reads a clock. Only the
//! daemons own a [`Clock`]; tests pass a [`SteppedClock`] instead.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

macro_rules! millis {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd,
            Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Creates a value from a number of milliseconds.
            #[inline]
            pub const fn new(ms: u64) -> Self {
                Self(ms)
            }

            /// Returns the milliseconds since the origin of the time scale.
            #[inline]
            pub const fn as_ms(self) -> u64 {
                self.0
            }

            /// Adds milliseconds, saturating at the largest value.
            #[inline]
            pub const fn saturating_add_ms(self, ms: u64) -> Self {
                Self(self.0.saturating_add(ms))
            }

            /// Subtracts milliseconds, saturating at the origin.
            #[inline]
            pub const fn saturating_sub_ms(self, ms: u64) -> Self {
                Self(self.0.saturating_sub(ms))
            }

            /// Returns the milliseconds since `earlier`, or 0 if `earlier`
            /// is later than `self`.
            ///
            /// # Example
            ///
            /// ```
            #[doc = concat!("use pomeloslip_base::", stringify!($name), ";")]
            ///
            #[doc = concat!("let early = ", stringify!($name), "::new(5);")]
            #[doc = concat!("let late = ", stringify!($name), "::new(9);")]
            /// assert_eq!(late.saturating_ms_since(early), 4);
            /// assert_eq!(early.saturating_ms_since(late), 0);
            /// ```
            #[inline]
            pub const fn saturating_ms_since(self, earlier: Self) -> u64 {
                self.0.saturating_sub(earlier.0)
            }

            /// Returns the absolute difference to another time, in
            /// milliseconds.
            #[inline]
            pub const fn abs_diff_ms(self, other: Self) -> u64 {
                self.0.abs_diff(other.0)
            }
        }
    };
}

millis!(
    /// Monotonic milliseconds since the process started.
    ///
    /// Values of two processes are not comparable; messages carry durations,
    /// or [`UnixMillis`] for calendar times.
    Millis
);
millis!(
    /// Calendar milliseconds since 1970-01-01 UTC.
    UnixMillis
);

/// A source of monotonic and calendar time.
pub trait Clock: Send + Sync + 'static {
    /// Returns the monotonic time.
    fn now(&self) -> Millis;

    /// Returns the calendar time.
    fn unix(&self) -> UnixMillis;
}

/// Reads the machine's clocks.
///
/// Monotonic time advances while the machine is suspended (`CLOCK_BOOTTIME`).
/// With `CLOCK_MONOTONIC`, which does not, a node that wakes after seconds
/// would consider its lease, its list of endpoints and its configuration as
/// fresh as before, and act on state that all other nodes have replaced.
#[derive(Debug)]
pub struct SystemClock {
    start_ms: u64,
}

/// Returns the time since the machine booted, including suspended time.
fn since_boot_ms() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanoseconds = u64::try_from(now.tv_nsec).unwrap_or_default();
    seconds * 1_000 + nanoseconds / 1_000_000
}

impl SystemClock {
    /// Creates a clock whose monotonic time starts at 0.
    #[allow(clippy::new_without_default)]
    pub fn new() -> Self {
        Self {
            start_ms: since_boot_ms(),
        }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Millis {
        Millis::new(since_boot_ms().saturating_sub(self.start_ms))
    }

    fn unix(&self) -> UnixMillis {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        UnixMillis::new(since.map_or(0, |d| d.as_millis() as u64))
    }
}

/// A clock for tests that advances only when it is stepped.
///
/// # Example
///
/// ```
/// use pomeloslip_base::{Clock, SteppedClock};
///
/// let clock = SteppedClock::default();
/// clock.step_ms(20);
/// assert_eq!(clock.now().as_ms(), 20);
/// ```
#[derive(Debug, Default)]
pub struct SteppedClock {
    now_ms: AtomicU64,
}

impl SteppedClock {
    /// Advances both time scales by `ms`.
    pub fn step_ms(&self, ms: u64) {
        self.now_ms.fetch_add(ms, Ordering::SeqCst);
    }
}

impl Clock for SteppedClock {
    fn now(&self) -> Millis {
        Millis::new(self.now_ms.load(Ordering::SeqCst))
    }

    fn unix(&self) -> UnixMillis {
        UnixMillis::new(self.now_ms.load(Ordering::SeqCst))
    }
}
