//! Writes what this process sees to the key-value service.

use std::time::Duration;

use base::RequestDigest;
use error_stack::Report;
use kv::KvError;
use limits::TokenBucket;
use tokio::time::{sleep, timeout};

use super::{MAX_WRITE_ATTEMPTS, Quarantine, Refutation};
use crate::{
    Crash, CrashRecord, StoredRecord,
    store::{RecordStore, WriteResult},
};

/// Pause after a failed write, in milliseconds.
const WRITE_BACKOFF_MS: u64 = 1_000;

/// Writes of a node within a second, so that the loss of many endpoints does
/// not crowd out what others write.
const MAX_WRITES_PER_S: f64 = 8.0;

/// Writes of a node at once.
const WRITE_BURST: u32 = 32;

/// Crashes from which on what is known of a request is written in any case.
const MIN_CRASHES_TO_WRITE: usize = 2;

/// Time between a crash and its entry in the service, in milliseconds. When
/// it is over, it is known whether other endpoints crashed with that one.
const CORRELATION_DELAY_MS: u64 = 60;

/// Time between two looks for cases that have run out, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 10_000;

/// A change that the key-value service does not have yet.
#[derive(Clone, Debug)]
enum Work {
    Save(RequestDigest),
    Refute(RequestDigest, Refutation),
    Remove(RequestDigest, u64),
}

/// Takes out of a case what a whole answer refutes. Returns the revision at
/// which that removed it, if it did.
async fn refute(
    store: &RecordStore,
    digest: RequestDigest,
    refutation: &Refutation,
) -> Result<Option<u64>, Report<KvError>> {
    let mut current = Some(refutation.stored.clone());
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let Some(StoredRecord {
            mut record,
            revision,
        }) = current
        else {
            return Ok(None);
        };
        let is_empty = record.remove_refuted(refutation.resumed_after);
        let result = match is_empty {
            true => store.delete(digest, revision).await?,
            false => store.put(digest, revision, &record).await?,
        };
        current = match result {
            WriteResult::Done(revision) => {
                return Ok(is_empty.then_some(revision));
            }
            WriteResult::Conflict(current, _) => current,
        };
    }
    Err(Report::new(KvError::NotDone).attach("other writers were faster"))
}

impl Quarantine {
    /// Writes what this node sees, until the process ends.
    pub async fn run(self) {
        let now = self.0.clock.now();
        let mut writes = TokenBucket::new(MAX_WRITES_PER_S, WRITE_BURST, now);
        loop {
            let wait = Duration::from_millis(EXPIRY_INTERVAL_MS);
            let _ = timeout(wait, self.0.pending_work.notified()).await;
            self.expire();
            sleep(Duration::from_millis(CORRELATION_DELAY_MS)).await;
            while let Some(work) = self.next_work() {
                if let Err(limit) = writes.try_take(self.0.clock.now()) {
                    let wait = limit.retry_after_ms();
                    sleep(Duration::from_millis(wait)).await;
                }
                if let Err(report) = self.perform(&work).await {
                    log::info!(error:% = report.current_context();
                        "what is known of a crash is not written yet");
                    self.requeue(work);
                    sleep(Duration::from_millis(WRITE_BACKOFF_MS)).await;
                }
            }
        }
    }

    /// Takes what is to be written next: first what speaks most against a
    /// request.
    fn next_work(&self) -> Option<Work> {
        let mut state = self.lock();
        if let Some((digest, refutation)) = state.refutations.pop() {
            return Some(Work::Refute(digest, refutation));
        }
        if let Some((digest, revision)) = state.expired.pop() {
            return Some(Work::Remove(digest, revision));
        }
        let unsaved = state.unsaved.iter();
        let digest =
            unsaved.max_by_key(|digest| state.records.crashes(**digest));
        let digest = *digest?;
        state.unsaved.swap_remove(&digest);
        Some(Work::Save(digest))
    }

    fn requeue(&self, work: Work) {
        let mut state = self.lock();
        match work {
            Work::Save(digest) => {
                state.unsaved.insert(digest);
            }
            Work::Refute(digest, refutation) => {
                state.refutations.entry(digest).or_insert(refutation);
            }
            Work::Remove(digest, revision) => {
                state.expired.insert(digest, revision);
            }
        }
    }

    async fn perform(&self, work: &Work) -> Result<(), Report<KvError>> {
        let Some(store) = &self.0.store else {
            return Ok(());
        };
        match work {
            Work::Save(digest) => self.save(store, *digest).await,
            Work::Refute(digest, refutation) => {
                let released = refute(store, *digest, refutation).await?;
                if let Some(revision) = released {
                    let at = self.now();
                    self.lock().note_released(*digest, revision, at);
                }
                Ok(())
            }
            Work::Remove(digest, revision) => {
                // A case that has changed meanwhile stays.
                store.delete(*digest, *revision).await.map(|_| ())
            }
        }
    }

    async fn save(
        &self,
        store: &RecordStore,
        digest: RequestDigest,
    ) -> Result<(), Report<KvError>> {
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let Some((stored, unsaved)) = self.changes_to_save(digest) else {
                return Ok(());
            };
            let before = stored.as_ref().map_or(0, |stored| stored.revision);
            let mut record = stored.map(|s| s.record).unwrap_or_default();
            if !record.merge(&unsaved) {
                return Ok(());
            }
            match store.put(digest, before, &record).await? {
                WriteResult::Done(revision) => {
                    return self.finish_save(
                        digest,
                        StoredRecord { record, revision },
                    );
                }
                WriteResult::Conflict(current, revision) => {
                    self.apply_read(digest, current, revision);
                }
            }
        }
        Err(Report::new(KvError::NotDone).attach("other writers were faster"))
    }

    /// Returns what the service has of a request and what it lacks; none if
    /// that is not worth a write.
    fn changes_to_save(
        &self,
        digest: RequestDigest,
    ) -> Option<(Option<StoredRecord>, CrashRecord)> {
        let state = self.lock();
        let (stored, unsaved) = state.records.stored_and_unsaved(digest)?;
        let is_accident =
            |crash: &Crash| state.recent.is_correlated(crash.ended_at);
        let is_worth_it = stored.is_some()
            || state.records.crashes(digest) >= MIN_CRASHES_TO_WRITE
            || !unsaved.crashes().iter().all(is_accident);
        is_worth_it.then_some((stored, unsaved))
    }

    /// Takes note of a write. If the request was answered meanwhile, what
    /// was written is refuted.
    fn finish_save(
        &self,
        digest: RequestDigest,
        stored: StoredRecord,
    ) -> Result<(), Report<KvError>> {
        let mut state = self.lock();
        if state.records.contains(digest) {
            self.apply_stored(&mut state, digest, stored);
        } else {
            let refutation = Refutation {
                resumed_after: 0,
                stored,
            };
            state.refutations.insert(digest, refutation);
        }
        Ok(())
    }
}
