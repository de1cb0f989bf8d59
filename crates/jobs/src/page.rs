use std::{sync::Arc, time::Duration};

use base::{Clock, Customer};
use error_stack::Report;
use tokio::time;

use crate::{
    JobError, KnownManifest, Ledger, ManifestSource, StoredManifest,
    record::{ItemResult, JobKey},
};

/// Some results of a job, in their order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Page {
    /// Items of the job.
    pub total: u32,
    /// Position after the last result of the page.
    pub next: u32,
    /// The results.
    pub results: Vec<ItemResult>,
}

/// Reads results for callers.
///
/// ManifestSource are taken from whoever knows them while that is young enough:
/// a caller that saw a result at another node must find it here within a
/// second, and older knowledge could still lack it.
pub struct PageReader {
    ledger: Ledger,
    manifests: Arc<dyn ManifestSource>,
    clock: Arc<dyn Clock>,
}

/// Bytes of one page.
const PAGE_BYTES: usize = 900 * 1024;

/// Oldest knowledge that proves that something is not there, in
/// milliseconds.
const KNOWN_AGE_MS: u64 = 800;

/// Shortest time between two looks for news of a job, in milliseconds, where
/// nobody can be asked who would wait for them.
const LOOK_MS: u64 = 250;

impl PageReader {
    /// Makes a reader.
    pub fn new(
        ledger: Ledger,
        manifests: Arc<dyn ManifestSource>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            ledger,
            manifests,
            clock,
        }
    }

    /// Returns the results from position `after` on, for callers of a
    /// customer. While there are none and the job is open, it waits for up
    /// to `wait_ms`.
    ///
    /// # Errors
    ///
    /// [`JobError::Unknown`] only if the service itself says that there is
    /// no such job, or that it is another customer's;
    /// [`JobError::NotDone`] if it cannot be asked.
    pub async fn page(
        &self,
        job: &JobKey,
        customer: Option<&Customer>,
        after: u32,
        wait_ms: u64,
    ) -> Result<Page, Report<JobError>> {
        let until = self.clock.now().saturating_add_ms(wait_ms);
        let mut known: Option<u64> = None;
        loop {
            let looked_at = self.clock.now();
            let left_ms = match known {
                Some(_) => until.saturating_ms_since(looked_at),
                None => 0,
            };
            let news = self.manifests.read(job, known, left_ms).await;
            let stored = self.settle(job, customer, after, news).await?;
            let manifest = &stored.manifest;
            if (after as usize) < manifest.listed.len() {
                return self.collect(job, &stored, after).await;
            }
            let now = self.clock.now();
            let left_ms = until.saturating_ms_since(now);
            if manifest.is_closed() || left_ms == 0 {
                return Ok(Page {
                    total: manifest.total,
                    next: after,
                    results: Vec::new(),
                });
            }
            let is_news = known != Some(stored.revision);
            let looked_ms = now.saturating_ms_since(looked_at);
            if !is_news && looked_ms < LOOK_MS {
                let pause = LOOK_MS.min(left_ms);
                time::sleep(Duration::from_millis(pause)).await;
            }
            known = Some(stored.revision);
        }
    }

    /// Returns a manifest that is new enough to tell what is not at `after`: the
    /// one that was found, or else the service's.
    ///
    /// The job of another customer is looked up as an unknown one is: an
    /// answer without a call would tell that it exists.
    async fn settle(
        &self,
        job: &JobKey,
        customer: Option<&Customer>,
        after: u32,
        found: Option<KnownManifest>,
    ) -> Result<StoredManifest, Report<JobError>> {
        let own = found
            .filter(|found| found.stored.manifest.is_visible_to(customer));
        if let Some(KnownManifest { stored, age_ms }) = own {
            let has = (after as usize) < stored.manifest.listed.len();
            let listed = stored.manifest.listed.len() as u32;
            let is_young = age_ms <= KNOWN_AGE_MS;
            if has || is_young || listed == stored.manifest.total {
                return Ok(stored);
            }
        }
        let stored = self.ledger.read_for(job, customer).await?;
        self.manifests.note(job, &stored);
        Ok(stored)
    }

    async fn collect(
        &self,
        job: &JobKey,
        stored: &StoredManifest,
        after: u32,
    ) -> Result<Page, Report<JobError>> {
        let mut results: Vec<ItemResult> = Vec::new();
        let mut next = after;
        let mut bytes = 0;
        while let Some(first) = stored.manifest.chunk_of(next) {
            let chunk =
                self.ledger.results(job, &stored.manifest, first).await?;
            for result in chunk.into_iter().skip((next - first) as usize) {
                bytes += result.output.len();
                if bytes > PAGE_BYTES && !results.is_empty() {
                    break;
                }
                results.push(result);
                next += 1;
            }
            if bytes > PAGE_BYTES {
                break;
            }
        }
        Ok(Page {
            total: stored.manifest.total,
            next,
            results,
        })
    }
}
