//! Logs what a node costs.

use std::{sync::Arc, time::Duration};

use pass::Counters;
use tokio::time;

/// Time between two lines. A line has about 500 bytes: a thousandth of what
/// a front logs of its requests.
const USAGE_LOG: Duration = Duration::from_secs(10);

/// Logs the counters until the process ends, those that are not 0.
///
/// A request that was served badly is explained by its own lines; a node
/// that cannot keep up is explained by what it sends, receives and calls.
/// `pomeloslip costs` makes a table of these lines, by role.
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
