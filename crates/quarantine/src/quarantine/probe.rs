//! Admits a quarantined request once as a probe.

use base::RequestDigest;

use super::{MAX_WRITE_ATTEMPTS, Quarantine};
use crate::{StoredRecord, Verdict, store::WriteResult};

impl Quarantine {
    /// Records the start of a probe, so that no other node probes the request
    /// at the same time.
    pub(super) async fn begin_probe(&self, digest: RequestDigest) -> bool {
        let Some(store) = &self.0.store else {
            return self.begin_local_probe(digest);
        };
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let (stored, unsaved) = {
                let state = self.lock();
                let now = self.now();
                if state.records.verdict_at(digest, now) != Verdict::ProbeDue {
                    return false;
                }
                match state.records.stored_and_unsaved(digest) {
                    Some(stored_and_unsaved) => stored_and_unsaved,
                    None => return false,
                }
            };
            let before = stored.as_ref().map_or(0, |stored| stored.revision);
            let mut record = stored.map(|s| s.record).unwrap_or_default();
            record.merge(&unsaved);
            record.begin_probe(self.now());
            match store.put(digest, before, &record).await {
                Ok(WriteResult::Done(revision)) => {
                    let stored = StoredRecord { record, revision };
                    let now = self.now();
                    self.lock().records.apply_stored(digest, stored, now);
                    return true;
                }
                Ok(WriteResult::Conflict(current, revision)) => {
                    self.apply_read(digest, current, revision);
                }
                Err(report) => {
                    log::info!(digest:%, error:% = report.current_context();
                        "cannot record the probe of a quarantined request");
                    return false;
                }
            }
        }
        false
    }

    fn begin_local_probe(&self, digest: RequestDigest) -> bool {
        let mut state = self.lock();
        let now = self.now();
        let is_due =
            state.records.verdict_at(digest, now) == Verdict::ProbeDue;
        if is_due {
            state.records.begin_probe(digest, now);
        }
        is_due
    }
}
