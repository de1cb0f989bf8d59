//! Sends evidence against parts of prompts directly from node to node.
//!
//! Records reach all nodes through the key-value service, but not while it is
//! unavailable. A part that crashes endpoints would then crash several of them
//! for each node.

use base::RequestDigest;

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
        let CrashRecordUpdate { digest, record, .. } = update;
        let now = self.now();
        let Some(record) = record else {
            if state.records.subject(*digest) == Some(Subject::PromptPart) {
                let (is_new, _) = state.records.record_response(*digest, 0);
                state.news.extend(is_new.then_some(*digest));
            }
            return;
        };
        if record.subject() != Subject::PromptPart
            || state.records.is_unusable(record, now)
        {
            return;
        }
        let before = state.records.verdict_at(*digest, now);
        if state.records.apply_heard(*digest, record, now) {
            state.news.insert(*digest);
            self.log_if_quarantined(state, *digest, before);
            self.release_sound_part(state, *digest);
        }
    }
}

impl State {
    /// Returns what is known of a part; an empty update if it was released.
    fn update_of(&self, part: RequestDigest) -> CrashRecordUpdate {
        let record = self.records.record(part);
        CrashRecordUpdate::direct(part, record.cloned())
    }
}
