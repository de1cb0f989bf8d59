use std::{future::Future, pin::Pin, sync::Arc, time::Duration};

use base::{Clock, Millis};
use tokio::time;

use crate::{JobKey, JobView, StoredManifest};

/// A manifest and the age of the knowledge that it comes from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownManifest {
    /// The manifest.
    pub stored: StoredManifest,
    /// Time for which changes may be missing, in milliseconds.
    pub age_ms: u64,
}

/// The response to a request for a manifest.
pub type ManifestFuture<'a> =
    Pin<Box<dyn Future<Output = Option<KnownManifest>> + Send + 'a>>;

/// Provides manifests of jobs, from memory or from other nodes.
pub trait ManifestSource: Send + Sync + 'static {
    /// Returns the manifest of a job, or `None` if it is not known. If `after`
    /// is set, waits up to `wait_ms` for a manifest that is newer than this
    /// revision.
    fn read<'a>(
        &'a self,
        job: &'a JobKey,
        after: Option<u64>,
        wait_ms: u64,
    ) -> ManifestFuture<'a>;

    /// Records a manifest that this node wrote or read itself.
    fn note(&self, job: &JobKey, stored: &StoredManifest);
}

/// The manifests of a node that follows all jobs.
#[derive(Clone)]
pub struct ViewManifests {
    view: JobView,
    clock: Arc<dyn Clock>,
}

impl ViewManifests {
    /// Creates a source that reads manifests from a view.
    pub fn new(view: JobView, clock: Arc<dyn Clock>) -> Self {
        Self { view, clock }
    }

    fn known(&self, job: &JobKey, now: Millis) -> Option<KnownManifest> {
        let stored = self.view.get(job)?;
        let age_ms = self.view.age_ms(now);
        Some(KnownManifest { stored, age_ms })
    }

    async fn wait(
        &self,
        job: &JobKey,
        after: Option<u64>,
        wait_ms: u64,
    ) -> Option<KnownManifest> {
        let deadline = self.clock.now().saturating_add_ms(wait_ms);
        let mut changes = self.view.subscribe();
        loop {
            changes.mark_unchanged();
            let now = self.clock.now();
            let known = self.known(job, now);
            let is_newer = match (&known, after) {
                (Some(known), Some(after)) => known.stored.revision > after,
                _ => true,
            };
            let remaining_ms = deadline.saturating_ms_since(now);
            if is_newer || remaining_ms == 0 {
                return known;
            }
            let wait = Duration::from_millis(remaining_ms);
            let _ = time::timeout(wait, changes.changed()).await;
        }
    }
}

impl ManifestSource for ViewManifests {
    fn read<'a>(
        &'a self,
        job: &'a JobKey,
        after: Option<u64>,
        wait_ms: u64,
    ) -> ManifestFuture<'a> {
        Box::pin(self.wait(job, after, wait_ms))
    }

    fn note(&self, job: &JobKey, stored: &StoredManifest) {
        self.view.update(job, stored, self.clock.now());
    }
}
