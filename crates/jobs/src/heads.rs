use std::{future::Future, pin::Pin, sync::Arc, time::Duration};

use base::{Clock, Millis};
use tokio::time;

use crate::{JobKey, JobView, Stored};

/// A head and how old the knowledge is that it comes from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownHead {
    /// The head.
    pub stored: Stored,
    /// Since when it may lack changes, in milliseconds.
    pub age_ms: u64,
}

/// The answer to a question for a head.
pub type HeadFuture<'a> =
    Pin<Box<dyn Future<Output = Option<KnownHead>> + Send + 'a>>;

/// Knows the heads of jobs, or whom to ask for them.
pub trait Heads: Send + Sync + 'static {
    /// Returns the head of a job; none if it is not known. For one that is
    /// newer than the revision `after` it waits for up to `wait_ms`.
    fn read<'a>(
        &'a self,
        job: &'a JobKey,
        after: Option<u64>,
        wait_ms: u64,
    ) -> HeadFuture<'a>;

    /// Takes in a head that this node wrote or read itself.
    fn note(&self, job: &JobKey, stored: &Stored);
}

/// The heads of a node that follows all jobs.
#[derive(Clone)]
pub struct ViewHeads {
    view: JobView,
    clock: Arc<dyn Clock>,
}

impl ViewHeads {
    /// Reads heads from a view.
    pub fn new(view: JobView, clock: Arc<dyn Clock>) -> Self {
        Self { view, clock }
    }

    fn known(&self, job: &JobKey, now: Millis) -> Option<KnownHead> {
        let stored = self.view.get(job)?;
        let age_ms = self.view.age_ms(now);
        Some(KnownHead { stored, age_ms })
    }

    async fn wait(
        &self,
        job: &JobKey,
        after: Option<u64>,
        wait_ms: u64,
    ) -> Option<KnownHead> {
        let until = self.clock.now().saturating_add_ms(wait_ms);
        let mut changes = self.view.subscribe();
        loop {
            changes.mark_unchanged();
            let now = self.clock.now();
            let known = self.known(job, now);
            let is_news = match (&known, after) {
                (Some(known), Some(after)) => known.stored.revision > after,
                _ => true,
            };
            let left_ms = until.saturating_ms_since(now);
            if is_news || left_ms == 0 {
                return known;
            }
            let wait = Duration::from_millis(left_ms);
            let _ = time::timeout(wait, changes.changed()).await;
        }
    }
}

impl Heads for ViewHeads {
    fn read<'a>(
        &'a self,
        job: &'a JobKey,
        after: Option<u64>,
        wait_ms: u64,
    ) -> HeadFuture<'a> {
        Box::pin(self.wait(job, after, wait_ms))
    }

    fn note(&self, job: &JobKey, stored: &Stored) {
        self.view.learn(job, stored, self.clock.now());
    }
}
