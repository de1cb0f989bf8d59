//! Sends evidence against parts of prompts directly from node to node.
//!
//! Records reach all nodes through the key-value service, but not while it is
//! unavailable. A part that crashes endpoints would then crash several of them
//! for each node.

use base::{RequestDigest, UnixMillis};

use super::{CrashRecordUpdate, MAX_UPDATES, Quarantine, State};
use crate::{Subject, Verdict};

impl Quarantine {
    /// Waits until the records of parts have changed, and returns the changes
    /// that other nodes must learn of.
    pub async fn next_news(&self) -> Vec<CrashRecordUpdate> {
        loop {
            let news = self.take_news();
            if !news.is_empty() {
                return news;
            }
            self.0.pending_news.notified().await;
        }
    }

    fn take_news(&self) -> Vec<CrashRecordUpdate> {
        let mut state = self.lock();
        let mut news = Vec::new();
        while news.len() < MAX_UPDATES
            && let Some(part) = state.news.pop()
        {
            news.push(state.update_of(part));
        }
        news
    }

    /// Returns the records of quarantined parts, for a node that has just
    /// started.
    pub fn quarantined_parts(&self) -> Vec<CrashRecordUpdate> {
        let state = self.lock();
        let now = self.now();
        let is_quarantined = |part: &RequestDigest| {
            state.records.verdict_at(*part, now) != Verdict::Clear
        };
        let parts = state.records.parts().filter(is_quarantined);
        parts
            .take(MAX_UPDATES)
            .map(|part| state.update_of(part))
            .collect()
    }

    /// Applies changes that another node has sent directly. What is new here
    /// is sent on.
    pub fn apply_news(&self, news: &[CrashRecordUpdate]) {
        let mut state = self.lock();
        for update in news.iter().take(MAX_UPDATES) {
            self.apply_one(&mut state, update);
        }
        self.update_len(&state);
        drop(state);
        self.0.pending_news.notify_one();
    }

    fn apply_one(&self, state: &mut State, update: &CrashRecordUpdate) {
        let part = update.digest;
        let now = self.now();
        // A clock that is ahead must not refute crashes to come.
        let refuted_until = update.refuted_until.map(|at| at.min(now));
        if let Some(at) = refuted_until
            && state.note_part_release(part, at)
        {
            state.records.remove_until(part, at);
            state.news.insert(part);
        }
        let Some(mut record) = update.record.clone() else {
            return;
        };
        if let Some(at) = state.part_releases.get(&part) {
            record.remove_until(*at);
        }
        if record.subject() != Subject::PromptPart
            || record.crashes().is_empty()
            || state.records.is_unusable(&record, now)
        {
            return;
        }
        let before = state.records.verdict_at(part, now);
        if state.records.apply_heard(part, &record, now) {
            state.news.insert(part);
            self.log_if_quarantined(state, part, before);
            self.release_sound_part(state, part);
        }
    }
}

/// Maximum number of releases of parts that are remembered.
const MAX_PART_RELEASES: usize = 256;

impl State {
    /// Returns what is known of a part.
    fn update_of(&self, part: RequestDigest) -> CrashRecordUpdate {
        CrashRecordUpdate {
            digest: part,
            revision: 0,
            record: self.records.record(part).cloned(),
            refuted_until: self.part_releases.get(&part).copied(),
        }
    }

    /// Remembers that the crashes against a part are refuted up to a time, and
    /// reports whether this is new. Otherwise records and releases that are
    /// on their way would follow each other from node to node for good.
    pub(super) fn note_part_release(
        &mut self,
        part: RequestDigest,
        at: UnixMillis,
    ) -> bool {
        let known = self.part_releases.shift_remove(&part);
        self.part_releases
            .insert(part, known.unwrap_or_default().max(at));
        if self.part_releases.len() > MAX_PART_RELEASES {
            self.part_releases.shift_remove_index(0);
        }
        known.is_none_or(|known| known < at)
    }
}
