//! Watches whether a leaving endpoint gets new work.

use std::sync::Arc;

use tokio::{
    sync::oneshot,
    task::JoinHandle,
    time::{Duration, sleep},
};

/// Time after which a leaving endpoint may get no new work.
const GRACE: Duration = Duration::from_secs(3);

/// Time in which an endpoint notices that a call was cut.
const NOTICE: Duration = Duration::from_millis(500);

/// What an endpoint counts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Counts {
    pub(crate) calls: u64,
    pub(crate) cut: u64,
    pub(crate) running: u64,
}

/// Reads what an endpoint has counted.
pub(crate) type Endpoint = Arc<dyn Fn() -> Counts + Send + Sync>;

/// What an endpoint saw while it was leaving.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Seen {
    /// Calls that ran when it began to leave.
    pub(crate) running: u64,
    /// Calls that came after it began to leave.
    pub(crate) after: u64,
    /// Those that came when it had been leaving for three seconds.
    pub(crate) late: u64,
    /// Calls that were cut. The entries can hide this from callers, since
    /// they go on with a broken stream elsewhere.
    pub(crate) cut: u64,
}

/// Watches a leaving endpoint.
pub(crate) struct Leaving {
    end: oneshot::Sender<()>,
    task: JoinHandle<Seen>,
}

impl Leaving {
    /// Starts at the moment at which the endpoint begins to leave.
    pub(crate) fn watch(endpoint: Endpoint) -> Self {
        let (end, ended) = oneshot::channel();
        let start = endpoint();
        let task = tokio::spawn(async move {
            let early = async {
                sleep(GRACE).await;
                endpoint().calls
            };
            let mut ended = ended;
            let late = tokio::select! {
                at_grace = early => {
                    // An error means that the watcher is gone, too.
                    let _ = (&mut ended).await;
                    endpoint().calls - at_grace
                }
                _ = &mut ended => 0,
            };
            let after = endpoint().calls - start.calls;
            sleep(NOTICE).await;
            let cut = endpoint().cut - start.cut;
            Seen {
                running: start.running,
                after,
                late,
                cut,
            }
        });
        Self { end, task }
    }

    pub(crate) async fn end(self) -> Seen {
        // The task waits for it.
        let _ = self.end.send(());
        self.task.await.unwrap_or_default()
    }
}
