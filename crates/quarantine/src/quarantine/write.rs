//! Writes the changes of this process to the key-value service.

use std::time::Duration;

use base::RequestDigest;
use error_stack::Report;
use kv::KvError;
use limits::TokenBucket;
use tokio::time::{sleep, timeout};

use super::{MAX_WRITE_ATTEMPTS, Quarantine, Refutation};
use crate::{
    Crash, CrashRecord, StoredRecord, Subject,
    store::{RecordStore, WriteResult},
};

/// Backoff after a failed write, in milliseconds.
const WRITE_BACKOFF_MS: u64 = 1_000;

/// Rate limit of a node's writes per second, so that the loss of many
/// endpoints does not displace the writes of others.
const MAX_WRITES_PER_S: f64 = 8.0;

/// Burst of a node's writes.
const WRITE_BURST: u32 = 32;

/// Number of crashes from which on a record is written even if the crashes are
/// correlated with those of other endpoints.
const MIN_CRASHES_TO_WRITE: usize = 2;

/// Delay between a crash and the write of its record, in milliseconds. After
/// the delay, it is known whether other endpoints crashed at the same time.
const CORRELATION_DELAY_MS: u64 = 60;

/// Interval between checks for expired records, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 10_000;

/// A write to the key-value service that is pending.
#[derive(Clone, Debug)]
enum PendingWrite {
    Save(RequestDigest),
    Refute(RequestDigest, Refutation),
    Remove(RequestDigest, u64),
}

/// Removes the crashes that a complete response refutes from the stored
/// record. Returns the revision of the write if that deleted the record.
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
            WriteResult::Conflict(current, _)
            | WriteResult::Unknown(current, _) => current,
        };
    }
    Err(Report::new(KvError::NotDone).attach("too many conflicting writes"))
}

impl Quarantine {
    /// Writes the changes of this process until the process ends.
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
                        "cannot write a crash record; retrying");
                    self.requeue(work);
                    sleep(Duration::from_millis(WRITE_BACKOFF_MS)).await;
                }
            }
        }
    }

    /// Takes the next write: refutations and deletions first, then the records
    /// of parts of prompts, then that with the most evidence.
    fn next_work(&self) -> Option<PendingWrite> {
        let mut state = self.lock();
        if let Some((digest, refutation)) = state.refutations.pop() {
            return Some(PendingWrite::Refute(digest, refutation));
        }
        if let Some((digest, revision)) = state.expired.pop() {
            return Some(PendingWrite::Remove(digest, revision));
        }
        let unsaved = state.unsaved.iter();
        let digest = unsaved.max_by_key(|digest| {
            let is_part =
                state.records.subject(**digest) == Some(Subject::PromptPart);
            (is_part, state.records.crashes(**digest))
        });
        let digest = *digest?;
        state.unsaved.swap_remove(&digest);
        Some(PendingWrite::Save(digest))
    }

    fn requeue(&self, work: PendingWrite) {
        let mut state = self.lock();
        match work {
            PendingWrite::Save(digest) => {
                state.unsaved.insert(digest);
            }
            PendingWrite::Refute(digest, refutation) => {
                state.refutations.entry(digest).or_insert(refutation);
            }
            PendingWrite::Remove(digest, revision) => {
                state.expired.insert(digest, revision);
            }
        }
    }

    async fn perform(
        &self,
        work: &PendingWrite,
    ) -> Result<(), Report<KvError>> {
        let Some(store) = &self.0.store else {
            return Ok(());
        };
        match work {
            PendingWrite::Save(digest) => self.save(store, *digest).await,
            PendingWrite::Refute(digest, refutation) => {
                let released = refute(store, *digest, refutation).await?;
                if let Some(revision) = released {
                    let at = self.now();
                    self.lock().note_released(*digest, revision, at);
                }
                Ok(())
            }
            PendingWrite::Remove(digest, revision) => {
                // A record that has changed meanwhile stays.
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
                WriteResult::Conflict(current, revision)
                | WriteResult::Unknown(current, revision) => {
                    self.apply_read(digest, current, revision);
                }
            }
        }
        Err(Report::new(KvError::NotDone)
            .attach("too many conflicting writes"))
    }

    /// Returns the stored record of a request and the changes that it lacks,
    /// or `None` if the changes should not be written.
    fn changes_to_save(
        &self,
        digest: RequestDigest,
    ) -> Option<(Option<StoredRecord>, CrashRecord)> {
        let state = self.lock();
        let (stored, unsaved) = state.records.stored_and_unsaved(digest)?;
        let is_correlated =
            |crash: &Crash| state.recent.is_correlated(crash.ended_at);
        let should_write = stored.is_some()
            || state.records.crashes(digest) >= MIN_CRASHES_TO_WRITE
            || !unsaved.crashes().iter().all(is_correlated);
        should_write.then_some((stored, unsaved))
    }

    /// Applies a finished write. If the request completed meanwhile, the
    /// written record is refuted.
    fn finish_save(
        &self,
        digest: RequestDigest,
        stored: StoredRecord,
    ) -> Result<(), Report<KvError>> {
        log::info!(
            digest:%,
            revision = stored.revision,
            score = stored.record.score(),
            crashes = stored.record.crashes().len(),
            probes = stored.record.probes();
            "a crash record is stored"
        );
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
