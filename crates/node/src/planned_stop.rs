//! Decides which requests a front that is stopping still serves.

use std::time::{Duration, Instant};

use pass::Refusal;
use tokio::{sync::watch, time};

/// Time for which a stopping node accepts new connections, in milliseconds.
/// The load balancer checks readiness once a second and stops sending
/// connections after two failures.
pub(crate) const ACCEPT_AFTER_STOP_MS: u64 = 2_300;

/// Time before the end of the grace period at which the node exits, in
/// milliseconds.
const EXIT_MARGIN_MS: u64 = 300;

/// Time before the exit at which requests that are not complete are refused,
/// so that the refusal arrives, in milliseconds.
const REFUSAL_MARGIN_MS: u64 = 500;

/// A planned stop that has begun.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedStop {
    began_at: Instant,
    exits_at: Instant,
}

impl PlannedStop {
    pub(crate) fn new(began_at: Instant, grace_ms: u64) -> Self {
        let timeout_ms = grace_ms.saturating_sub(EXIT_MARGIN_MS);
        Self {
            began_at,
            exits_at: began_at + Duration::from_millis(timeout_ms),
        }
    }

    /// Returns when the node exits.
    pub(crate) fn exits_at(&self) -> Instant {
        self.exits_at
    }

    /// Reports whether a request that is complete now is served.
    ///
    /// One that is complete while connections are accepted usually ends long
    /// before the exit. A later one is served only if its caller or its route
    /// stops waiting by then.
    fn serves(&self, now: Instant, ends_at: Option<Instant>) -> bool {
        let accepts_until =
            self.began_at + Duration::from_millis(ACCEPT_AFTER_STOP_MS);
        now < accepts_until
            || ends_at.is_some_and(|ends_at| ends_at <= self.exits_at)
    }
}

/// Tells requests of the planned stop of their node, if one has begun.
#[derive(Clone, Debug)]
pub(crate) struct StopNotice(watch::Receiver<Option<PlannedStop>>);

impl StopNotice {
    /// Creates a notice, and the sender by which a stop begins.
    pub(crate) fn new() -> (watch::Sender<Option<PlannedStop>>, Self) {
        let (sender, receiver) = watch::channel(None);
        (sender, Self(receiver))
    }

    /// Refuses a request that is complete too late to be served before the
    /// node exits.
    ///
    /// # Errors
    ///
    /// The [`Refusal`]; the request has not run.
    pub(crate) fn check(
        &self,
        ends_at: Option<Instant>,
    ) -> Result<(), Refusal> {
        let now = Instant::now();
        let serves = self.0.borrow().is_none_or(|s| s.serves(now, ends_at));
        if serves { Ok(()) } else { Err(stopping()) }
    }

    /// Waits until requests that are not complete have to be refused, and
    /// returns the refusal.
    pub(crate) async fn last_refusal(&self) -> Refusal {
        let mut notice = self.0.clone();
        let exits_at = match notice.wait_for(Option::is_some).await {
            Ok(stop) => stop.map(|stop| stop.exits_at()),
            Err(_) => None,
        };
        let Some(exits_at) = exits_at else {
            // No stop can begin any more.
            return std::future::pending().await;
        };
        let margin = Duration::from_millis(REFUSAL_MARGIN_MS);
        time::sleep_until((exits_at - margin).into()).await;
        stopping()
    }
}

fn stopping() -> Refusal {
    Refusal::not_run("this node is stopping").with_retry_after_ms(0)
}

#[cfg(test)]
#[path = "../tests/unit/planned_stop.rs"]
mod tests;
