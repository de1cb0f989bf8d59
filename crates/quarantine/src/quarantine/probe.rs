//! Admits a quarantined request once as a probe.

use base::{RequestDigest, UnixMillis};

use super::{HoldTerms, MAX_WRITE_ATTEMPTS, Quarantine, SendPermit, State};
use crate::{ProbeOutcome, StoredRecord, Verdict, store::WriteResult};

/// A probe that has begun.
#[derive(Clone, Copy, Debug)]
pub(super) struct Probe {
    digest: RequestDigest,
    began_at: UnixMillis,
    terms: HoldTerms,
}

impl Quarantine {
    /// Withdraws a permit whose request was certainly not run. Its probes are
    /// left to the next request at this node that is held on the same terms,
    /// such as the next attempt at the same request.
    ///
    /// # Example
    ///
    /// ```
    /// use std::sync::Arc;
    ///
    /// use base::{RequestDigest, SystemClock};
    /// use pomeloslip_quarantine::{Quarantine, QuarantineOptions};
    ///
    /// # tokio::runtime::Builder::new_current_thread().build()?.block_on(async {
    /// let clock = Arc::new(SystemClock::new());
    /// let quarantine =
    ///     Quarantine::local(clock, QuarantineOptions::default());
    /// let request = || RequestDigest::of_group("request", &["1"]);
    /// let permit = quarantine.admit(request).await.expect("not held");
    /// // The endpoint refuses the connection.
    /// quarantine.withdraw(&permit);
    /// assert!(quarantine.admit(request).await.is_ok());
    /// # Ok::<(), std::io::Error>(())
    /// # })?;
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn withdraw(&self, permit: &SendPermit) {
        if permit.probes.is_empty() {
            return;
        }
        let mut state = self.lock();
        for probe in &permit.probes {
            state.unsent_probes.insert(probe.digest, *probe);
        }
        let State {
            unsent_probes,
            records,
            ..
        } = &mut *state;
        unsent_probes.retain(|digest, _| records.contains(*digest));
    }

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
    ) -> Option<Probe> {
        if let Some(probe) = self.lock().take_unsent_probe(digest, terms) {
            return Some(probe);
        }
        let store = match &self.0.store {
            Some(store) if terms != HoldTerms::Item => store,
            _ => return self.begin_local_probe(digest, terms),
        };
        let now = self.now();
        let probe = Probe {
            digest,
            began_at: now,
            terms,
        };
        let mut may_be_recorded = false;
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let (before, mut record) = {
                if self.verdict(digest, terms).0 != Verdict::ProbeDue {
                    return None;
                }
                let state = self.lock();
                match state.records.revision_and_record(digest) {
                    Some(revision_and_record) => revision_and_record,
                    None => return None,
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
                    return Some(probe);
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
                    return None;
                }
            };
            // Another node may record a probe in the same millisecond.
            let is_recorded = may_be_recorded
                && current.as_ref().is_some_and(|stored| {
                    stored.record.probed_at() == Some(now)
                });
            self.apply_read(digest, current, revision);
            if is_recorded {
                return Some(probe);
            }
        }
        None
    }

    fn begin_local_probe(
        &self,
        digest: RequestDigest,
        terms: HoldTerms,
    ) -> Option<Probe> {
        if self.verdict(digest, terms).0 != Verdict::ProbeDue {
            return None;
        }
        let began_at = self.now();
        self.lock().records.begin_probe(digest, began_at);
        Some(Probe {
            digest,
            began_at,
            terms,
        })
    }
}

impl State {
    /// Reports whether this node may send the last probe of a record on these
    /// terms, because its request was not run.
    pub(super) fn has_unsent_probe(
        &self,
        digest: RequestDigest,
        terms: HoldTerms,
    ) -> bool {
        let probe = self.unsent_probes.get(&digest);
        let Some((probe, record)) = probe.zip(self.records.record(digest))
        else {
            return false;
        };
        probe.terms == terms
            && record.probed_at() == Some(probe.began_at)
            && record.probe_outcome() == ProbeOutcome::None
    }

    fn take_unsent_probe(
        &mut self,
        digest: RequestDigest,
        terms: HoldTerms,
    ) -> Option<Probe> {
        match self.has_unsent_probe(digest, terms) {
            true => self.unsent_probes.swap_remove(&digest),
            false => None,
        }
    }
}
