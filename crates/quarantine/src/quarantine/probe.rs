//! Admits a quarantined request once as a probe.

use base::RequestDigest;

use super::{HoldTerms, MAX_WRITE_ATTEMPTS, Quarantine};
use crate::{StoredRecord, Verdict, store::WriteResult};

impl Quarantine {
    /// Records the start of a probe, so that no other node probes the request
    /// at the same time.
    ///
    /// Probes of items are recorded at this node only. Items are owed, whether
    /// or not the key-value service responds, and few nodes have items of one
    /// job or path.
    pub(super) async fn begin_probe(
        &self,
        digest: RequestDigest,
        terms: HoldTerms,
    ) -> bool {
        let store = match &self.0.store {
            Some(store) if terms != HoldTerms::Item => store,
            _ => return self.begin_local_probe(digest, terms),
        };
        let now = self.now();
        let mut may_be_recorded = false;
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let (before, mut record) = {
                if self.verdict(digest, terms).0 != Verdict::ProbeDue {
                    return false;
                }
                let state = self.lock();
                match state.records.revision_and_record(digest) {
                    Some(revision_and_record) => revision_and_record,
                    None => return false,
                }
            };
            record.begin_probe(now);
            let (current, revision) = match store
                .put(digest, before, &record)
                .await
            {
                Ok(WriteResult::Done(revision)) => {
                    let stored = StoredRecord { record, revision };
                    let now = self.now();
                    self.lock().records.apply_stored(digest, stored, now);
                    return true;
                }
                Ok(WriteResult::Conflict(current, revision)) => {
                    (current, revision)
                }
                Ok(WriteResult::Unknown(current, revision)) => {
                    may_be_recorded = true;
                    (current, revision)
                }
                Err(report) => {
                    log::info!(digest:%, error:% = report.current_context();
                        "cannot record the probe of a quarantined request");
                    return false;
                }
            };
            // Another node may record a probe in the same millisecond.
            let is_recorded = may_be_recorded
                && current.as_ref().is_some_and(|stored| {
                    stored.record.probed_at() == Some(now)
                });
            self.apply_read(digest, current, revision);
            if is_recorded {
                return true;
            }
        }
        false
    }

    fn begin_local_probe(
        &self,
        digest: RequestDigest,
        terms: HoldTerms,
    ) -> bool {
        let is_due = self.verdict(digest, terms).0 == Verdict::ProbeDue;
        if is_due {
            let now = self.now();
            self.lock().records.begin_probe(digest, now);
        }
        is_due
    }
}
