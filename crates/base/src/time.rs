//! Time as an argument: monotonic and calendar milliseconds, and clocks.
//!
//! Decisions take [`Millis`] and never read a clock. Only the daemons own a
//! [`Clock`]; tests hand in a [`SteppedClock`] instead.

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
            /// Wraps a number of milliseconds.
            #[inline]
            pub const fn new(ms: u64) -> Self {
                Self(ms)
            }

            /// Returns the milliseconds since the origin of this scale.
            #[inline]
            pub const fn as_ms(self) -> u64 {
                self.0
            }

            /// Adds milliseconds and stays at the largest value instead of
            /// wrapping.
            #[inline]
            pub const fn saturating_add_ms(self, ms: u64) -> Self {
                Self(self.0.saturating_add(ms))
            }

            /// Goes back by milliseconds and stays at the origin instead of
            /// wrapping.
            #[inline]
            pub const fn saturating_sub_ms(self, ms: u64) -> Self {
                Self(self.0.saturating_sub(ms))
            }

            /// Returns the milliseconds since `earlier`, or 0 if it is
            /// later.
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

            /// Returns the milliseconds between two moments, whichever is
            /// earlier.
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
    /// Values of two processes cannot be compared; messages carry spans of
    /// time, or [`UnixMillis`] where a calendar time is meant.
    Millis
);
millis!(
    /// Calendar milliseconds since 1970-01-01 UTC.
    UnixMillis
);

/// Reads the time for a daemon.
pub trait Clock: Send + Sync + 'static {
    /// Returns monotonic time.
    fn now(&self) -> Millis;

    /// Returns calendar time.
    fn unix(&self) -> UnixMillis;
}

/// Reads the machine's clocks.
///
/// Monotonic time goes on while the machine is suspended. What goes wrong
/// with the usual steady clock, which does not: a node wakes after seconds
/// and takes its lease, its list of endpoints and its configuration for as
/// young as before. One sees it act on what all others have replaced.
#[derive(Debug)]
pub struct SystemClock {
    start_ms: u64,
}

/// Returns the time since the machine was started, suspensions included.
fn since_boot_ms() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanoseconds = u64::try_from(now.tv_nsec).unwrap_or_default();
    seconds * 1_000 + nanoseconds / 1_000_000
}

impl SystemClock {
    /// Starts a clock whose monotonic time begins at 0.
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

/// Stands still until it is stepped.
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
    /// Moves both scales on by `ms`.
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
