//! The clock of a daemon.

use std::{thread, time::Duration};

use pomeloslip_base::{Clock, SystemClock};
use rustix::time::{ClockId, clock_gettime};

/// Symptom: a node that was suspended acts on old beliefs. Events: the
/// machine sleeps for seconds, the node wakes and finds its knowledge as
/// young as before. Cause: ages were counted by a clock that stood still.
/// A test cannot suspend its machine, so it checks that ages are counted by
/// the clock that goes on: since the start of the machine, not of the steady
/// clock's own running time.
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
    let most = boot_ms() - before;
    assert!((20..=most).contains(&age), "{age} is not in 20 to {most}");
}
