use std::{sync::Arc, time::Duration};

use base::{Clock, Customer};
use error_stack::Report;
use tokio::time;

use crate::{
    JobError, KnownManifest, Ledger, ManifestSource, StoredManifest,
    record::{ItemResult, JobKey},
};

/// Some results of a job, in order of position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Page {
    /// Number of items of the job.
    pub total: u32,
    /// Position after the last result of the page.
    pub next: u32,
    /// The results.
    pub results: Vec<ItemResult>,
}

/// Reads results for callers.
///
/// A manifest is taken from the manifest source if it is fresh enough. A
/// caller that saw a result at another node must see it here within a second,
/// and a stale manifest may lack that result.
pub struct PageReader {
    ledger: Ledger,
    manifests: Arc<dyn ManifestSource>,
    clock: Arc<dyn Clock>,
}

/// Maximum size of a page in bytes.
const PAGE_BYTES: usize = 900 * 1024;

/// Maximum age of a manifest that proves that a result does not exist yet, in
/// milliseconds.
const MAX_NEGATIVE_AGE_MS: u64 = 800;

/// Minimum interval between two reads of a job's manifest, in milliseconds, if
/// the manifest source returns without waiting for a change.
const MIN_POLL_INTERVAL_MS: u64 = 250;

impl PageReader {
    /// Creates a reader.
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

    /// Returns the results from position `after` on, for a caller of a
    /// customer. If there are none and the job is open, waits up to `wait_ms`
    /// for results.
    ///
    /// # Errors
    ///
    /// [`JobError::Unknown`] only if the key-value service itself reports that
    /// the job does not exist or belongs to another customer;
    /// [`JobError::NotDone`] if the key-value service is unavailable.
    pub async fn page(
        &self,
        job: &JobKey,
        customer: Option<&Customer>,
        after: u32,
        wait_ms: u64,
    ) -> Result<Page, Report<JobError>> {
        let deadline = self.clock.now().saturating_add_ms(wait_ms);
        let mut known: Option<u64> = None;
        loop {
            let polled_at = self.clock.now();
            let remaining_ms = match known {
                Some(_) => deadline.saturating_ms_since(polled_at),
                None => 0,
            };
            let found = self.manifests.read(job, known, remaining_ms).await;
            let stored =
                self.confirm_manifest(job, customer, after, found).await?;
            let manifest = &stored.manifest;
            if (after as usize) < manifest.listed.len() {
                return self.collect(job, &stored, after).await;
            }
            let now = self.clock.now();
            let remaining_ms = deadline.saturating_ms_since(now);
            if manifest.is_closed() || remaining_ms == 0 {
                return Ok(Page {
                    total: manifest.total,
                    next: after,
                    results: Vec::new(),
                });
            }
            let is_new_revision = known != Some(stored.revision);
            let elapsed_ms = now.saturating_ms_since(polled_at);
            if !is_new_revision && elapsed_ms < MIN_POLL_INTERVAL_MS {
                let pause = MIN_POLL_INTERVAL_MS.min(remaining_ms);
                time::sleep(Duration::from_millis(pause)).await;
            }
            known = Some(stored.revision);
        }
    }

    /// Returns a manifest that is fresh enough to decide whether there is a
    /// result at `after`: the manifest that was found, or else the one in the
    /// key-value service.
    ///
    /// A job of another customer takes the same path as an unknown job: a
    /// response without a call would be faster and so reveal that the job
    /// exists.
    async fn confirm_manifest(
        &self,
        job: &JobKey,
        customer: Option<&Customer>,
        after: u32,
        found: Option<KnownManifest>,
    ) -> Result<StoredManifest, Report<JobError>> {
        let visible = found
            .filter(|found| found.stored.manifest.is_visible_to(customer));
        if let Some(KnownManifest { stored, age_ms }) = visible {
            let has_results = (after as usize) < stored.manifest.listed.len();
            let listed = stored.manifest.listed.len() as u32;
            let is_fresh = age_ms <= MAX_NEGATIVE_AGE_MS;
            if has_results || is_fresh || listed == stored.manifest.total {
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
