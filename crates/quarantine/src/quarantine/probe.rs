//! Lets a held request through once.

use base::RequestDigest;

use super::{Quarantine, WRITES_MOST};
use crate::{StoredRecord, Verdict, store::Written};

impl Quarantine {
    /// Enters a trial, so that no other node lets the request through.
    pub(super) async fn begin_probe(&self, digest: RequestDigest) -> bool {
        let Some(store) = &self.0.store else {
            return self.begin_local_trial(digest);
        };
        for _ in 0..WRITES_MOST {
            let (stored, unsaved) = {
                let state = self.lock();
                let now = self.now();
                if state.cases.verdict_at(digest, now) != Verdict::ProbeDue {
                    return false;
                }
                match state.cases.stored_and_unsaved(digest) {
                    Some(stored_and_unsaved) => stored_and_unsaved,
                    None => return false,
                }
            };
            let before = stored.as_ref().map_or(0, |stored| stored.revision);
            let mut case = stored.map(|s| s.case).unwrap_or_default();
            case.merge(&unsaved);
            case.begin_probe(self.now());
            match store.put(digest, before, &case).await {
                Ok(Written::Done(revision)) => {
                    let stored = StoredRecord { case, revision };
                    let now = self.now();
                    self.lock().cases.apply_stored(digest, stored, now);
                    return true;
                }
                Ok(Written::Changed(now, revision)) => {
                    self.take(digest, now, revision);
                }
                Err(report) => {
                    log::info!(digest:%, error:% = report.current_context();
                        "a trial of a held request cannot be entered");
                    return false;
                }
            }
        }
        false
    }

    fn begin_local_trial(&self, digest: RequestDigest) -> bool {
        let mut state = self.lock();
        let now = self.now();
        let is_due = state.cases.verdict_at(digest, now) == Verdict::ProbeDue;
        if is_due {
            state.cases.begin_probe(digest, now);
        }
        is_due
    }
}
