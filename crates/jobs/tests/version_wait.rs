//! When an item that waits for its version begins anew, by how long the
//! endpoints of its version stay busy.

use pomeloslip_jobs::VersionWait;
use yare::parameterized;

/// Interval between two decisions, in milliseconds.
const TICK_MS: u64 = 50;

/// Returns the time that an item loses by waiting and by repeating its runs.
fn lost_ms(ran_ms: u64, busy_ms: u64) -> u64 {
    let mut waited_ms = 0;
    while waited_ms < busy_ms {
        let wait = VersionWait {
            waited_ms,
            ran_ms,
            has_endpoint: true,
        };
        if wait.is_over() {
            return waited_ms + ran_ms;
        }
        waited_ms += TICK_MS;
    }
    busy_ms
}

/// Guards against items that begin anew in each gust, and against items that
/// wait for endpoints that stay busy.
#[parameterized(
    gust = { 2_000, 300 },
    long_gust = { 2_000, 1_900 },
    burst = { 2_000, 30_000 },
    hardly_begun = { 40, 600 },
    free_at_once = { 1_000, 0 },
)]
fn an_item_loses_at_most_twice_what_the_better_choice_loses(
    ran_ms: u64,
    busy_ms: u64,
) {
    let best_ms = busy_ms.min(ran_ms);
    let lost_ms = lost_ms(ran_ms, busy_ms);
    assert!(lost_ms <= 2 * best_ms + TICK_MS, "{lost_ms} of {best_ms}");
}

/// Guards against items that wait for a version that their node cannot run.
#[test]
fn an_item_without_an_endpoint_of_its_version_does_not_wait() {
    let wait = VersionWait {
        waited_ms: 0,
        ran_ms: 60_000,
        has_endpoint: false,
    };
    assert!(wait.is_over());
}
