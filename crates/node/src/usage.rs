//! Logs the resource usage counters of a node.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use budget::MemoryBudget;
use pass::{ConnectionCounts, Counters};
use tokio::time;

/// Interval between two log lines. A line has about 500 bytes, a thousandth of
/// the volume that a front logs for its requests.
const USAGE_LOG: Duration = Duration::from_secs(10);

/// Logs the nonzero counters periodically until the process ends.
///
/// The lines of a request explain its own failure; these counters of messages
/// and calls explain why a node is overloaded. `pomeloslip costs` summarizes
/// the lines by role.
pub(crate) async fn log_usage(counters: Arc<Counters>) {
    let mut ticks = time::interval(USAGE_LOG);
    ticks.tick().await;
    for line in 1.. {
        ticks.tick().await;
        let all = counters.all().into_iter();
        let counts: Vec<String> = all
            .filter(|(_, count)| *count > 0)
            .map(|(name, count)| format!("{name}={count}"))
            .collect();
        let counts = counts.join(" ");
        let up_s = line * USAGE_LOG.as_secs();
        log::info!(up_s, counts = counts.as_str(); "what this node has cost");
    }
}

/// Interval at which the use of memory and connections is recorded.
const CALLERS_INTERVAL: Duration = Duration::from_secs(1);

/// Records what callers use, and logs when requests or connections are refused
/// because callers use everything, until the process ends.
pub(crate) async fn record_callers(
    memory: MemoryBudget,
    connections: impl Fn() -> ConnectionCounts,
    counters: Arc<Counters>,
) {
    let mut ticks = time::interval(CALLERS_INTERVAL);
    let mut known = (0, 0);
    loop {
        ticks.tick().await;
        let usage = memory.usage();
        let connections = connections();
        for (counter, value) in [
            (&counters.callers_memory_bytes, usage.used_bytes),
            (&counters.callers_memory_refused, usage.refused),
            (&counters.callers_memory_evicted, usage.evicted),
            (&counters.connections_refused, connections.refused),
            (&counters.connections_evicted, connections.evicted),
        ] {
            counter.store(value, Ordering::Relaxed);
        }
        let now = (usage.refused, usage.evicted);
        if now != known {
            log::warn!(
                used_bytes = usage.used_bytes,
                max_bytes = memory.max_bytes(),
                refused = usage.refused,
                evicted = usage.evicted;
                "the memory for callers is in use"
            );
            known = now;
        }
    }
}
