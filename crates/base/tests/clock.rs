//! Tests of the system clock.

use std::{thread, time::Duration};

use pomeloslip_base::{Clock, SystemClock};
use rustix::time::{ClockId, clock_gettime};

/// Guards against a node that acts on stale state after its machine was
/// suspended, since its monotonic clock did not advance meanwhile. A test
/// cannot suspend its machine, so this one checks that the clock reads the
/// time since boot, which includes suspended time.
#[test]
fn monotonic_time_is_the_time_since_the_machine_started() {
    let boot_ms = || {
        let now = clock_gettime(ClockId::Boottime);
        now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
    };
    let before = boot_ms();
    let clock = SystemClock::new();
    thread::sleep(Duration::from_millis(20));
    let age = clock.now().as_ms();
    let max = boot_ms() - before;
    assert!((20..=max).contains(&age), "{age} is not in 20 to {max}");
}
