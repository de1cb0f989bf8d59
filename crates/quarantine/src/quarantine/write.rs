//! Writes what this process sees to the key-value service.

use std::time::Duration;

use base::RequestDigest;
use error_stack::Report;
use kv::KvError;
use limits::TokenBucket;
use tokio::time::{sleep, timeout};

use super::{Answered, Quarantine, WRITES_MOST};
use crate::{
    Crash, CrashRecord, StoredRecord,
    store::{CaseStore, Written},
};

/// Pause after a failed write, in milliseconds.
const FAILED_PAUSE_MS: u64 = 1_000;

/// Writes of a node within a second, so that the loss of many endpoints does
/// not crowd out what others write.
const WRITES_PER_S: f64 = 8.0;

/// Writes of a node at once.
const WRITES_AT_ONCE: u32 = 32;

/// Crashes from which on what is known of a request is written in any case.
const WRITTEN_FROM: usize = 2;

/// Time between a crash and its entry in the service, in milliseconds. When
/// it is over, it is known whether other endpoints crashed with that one.
const SETTLE_MS: u64 = 60;

/// Time between two looks for cases that have run out, in milliseconds.
const EXPIRE_MS: u64 = 10_000;

/// A change that the key-value service does not have yet.
#[derive(Clone, Debug)]
enum Work {
    Save(RequestDigest),
    Refute(RequestDigest, Answered),
    Remove(RequestDigest, u64),
}

/// Takes out of a case what a whole answer refutes. Returns the revision at
/// which that removed it, if it did.
async fn refute(
    store: &CaseStore,
    digest: RequestDigest,
    answered: &Answered,
) -> Result<Option<u64>, Report<KvError>> {
    let mut known = Some(answered.stored.clone());
    for _ in 0..WRITES_MOST {
        let Some(StoredRecord { mut case, revision }) = known else {
            return Ok(None);
        };
        let is_empty = case.refute(answered.resumed_after);
        let written = match is_empty {
            true => store.delete(digest, revision).await?,
            false => store.put(digest, revision, &case).await?,
        };
        known = match written {
            Written::Done(revision) => {
                return Ok(is_empty.then_some(revision));
            }
            Written::Changed(now, _) => now,
        };
    }
    Err(Report::new(KvError::NotDone).attach("other writers were faster"))
}

impl Quarantine {
    /// Writes what this node sees, until the process ends.
    pub async fn run(self) {
        let now = self.0.clock.now();
        let mut writes = TokenBucket::new(WRITES_PER_S, WRITES_AT_ONCE, now);
        loop {
            let wait = Duration::from_millis(EXPIRE_MS);
            let _ = timeout(wait, self.0.work.notified()).await;
            self.expire();
            sleep(Duration::from_millis(SETTLE_MS)).await;
            while let Some(work) = self.next_work() {
                if let Err(over) = writes.try_take(self.0.clock.now()) {
                    let wait = over.retry_after_ms();
                    sleep(Duration::from_millis(wait)).await;
                }
                if let Err(report) = self.carry_out(&work).await {
                    log::info!(error:% = report.current_context();
                        "what is known of a crash is not written yet");
                    self.requeue(work);
                    sleep(Duration::from_millis(FAILED_PAUSE_MS)).await;
                }
            }
        }
    }

    /// Takes what is to be written next: first what speaks most against a
    /// request.
    fn next_work(&self) -> Option<Work> {
        let mut state = self.lock();
        if let Some((digest, answered)) = state.answered.pop() {
            return Some(Work::Refute(digest, answered));
        }
        if let Some((digest, revision)) = state.over.pop() {
            return Some(Work::Remove(digest, revision));
        }
        let unsaved = state.unsaved.iter();
        let digest =
            unsaved.max_by_key(|digest| state.cases.crashes(**digest));
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
            Work::Refute(digest, answered) => {
                state.answered.entry(digest).or_insert(answered);
            }
            Work::Remove(digest, revision) => {
                state.over.insert(digest, revision);
            }
        }
    }

    async fn carry_out(&self, work: &Work) -> Result<(), Report<KvError>> {
        let Some(store) = &self.0.store else {
            return Ok(());
        };
        match work {
            Work::Save(digest) => self.save(store, *digest).await,
            Work::Refute(digest, answered) => {
                let cleared = refute(store, *digest, answered).await?;
                if let Some(revision) = cleared {
                    let at = self.now();
                    self.lock().note_cleared(*digest, revision, at);
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
        store: &CaseStore,
        digest: RequestDigest,
    ) -> Result<(), Report<KvError>> {
        for _ in 0..WRITES_MOST {
            let Some((stored, unsaved)) = self.parts_to_save(digest) else {
                return Ok(());
            };
            let before = stored.as_ref().map_or(0, |stored| stored.revision);
            let mut case = stored.map(|s| s.case).unwrap_or_default();
            if !case.merge(&unsaved) {
                return Ok(());
            }
            match store.put(digest, before, &case).await? {
                Written::Done(revision) => {
                    return self
                        .saved(digest, StoredRecord { case, revision });
                }
                Written::Changed(now, revision) => {
                    self.take(digest, now, revision);
                }
            }
        }
        Err(Report::new(KvError::NotDone).attach("other writers were faster"))
    }

    /// Returns what the service has of a request and what it lacks; none if
    /// that is not worth a write.
    fn parts_to_save(
        &self,
        digest: RequestDigest,
    ) -> Option<(Option<StoredRecord>, CrashRecord)> {
        let state = self.lock();
        let (stored, unsaved) = state.cases.stored_and_unsaved(digest)?;
        let is_accident =
            |crash: &Crash| state.recent.came_with_others(crash.ended_at);
        let is_worth_it = stored.is_some()
            || state.cases.crashes(digest) >= WRITTEN_FROM
            || !unsaved.crashes().iter().all(is_accident);
        is_worth_it.then_some((stored, unsaved))
    }

    /// Takes note of a write. If the request was answered meanwhile, what
    /// was written is refuted.
    fn saved(
        &self,
        digest: RequestDigest,
        stored: StoredRecord,
    ) -> Result<(), Report<KvError>> {
        let mut state = self.lock();
        if state.cases.contains(digest) {
            self.apply_stored(&mut state, digest, stored);
        } else {
            let answered = Answered {
                resumed_after: 0,
                stored,
            };
            state.answered.insert(digest, answered);
        }
        Ok(())
    }
}
