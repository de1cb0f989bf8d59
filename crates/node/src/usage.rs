//! Logs the resource usage counters of a node.

use std::{sync::Arc, time::Duration};

use pass::Counters;
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
