//! Evidence against parts of prompts, and against their being poison.

use std::sync::PoisonError;

use base::RequestDigest;

use super::{Quarantine, State, log_evidence};
use crate::{Crash, Subject, sound_parts::SoundParts};

/// Number of crashes from which on the record of a part is removed by a node
/// that knows the part to be sound. Fewer have no effect.
const MIN_CRASHES_TO_RELEASE: usize = 2;

impl Quarantine {
    /// Records that parts of prompts were in a complete response, which
    /// releases them on all nodes.
    ///
    /// `parts` are the keys of the shared parts, see
    /// [`EvidenceKeys::parts`](crate::EvidenceKeys::parts).
    pub fn record_sound_parts(&self, parts: &[RequestDigest]) {
        if parts.is_empty() {
            return;
        }
        let now = self.now();
        self.with_sound_parts(|sound| sound.add(parts, now));
        if self.is_empty() {
            return;
        }
        let mut state = self.lock();
        for part in parts {
            self.release(&mut state, *part);
        }
        self.update_len(&state);
    }

    /// Records that an endpoint crashed while it ran a request whose prompt has
    /// these shared parts; `since_head_ms` is the time between the head of the
    /// response and the crash, if there was a head.
    ///
    /// The crash is no evidence against parts that were in recent complete
    /// responses.
    pub fn record_part_crash(
        &self,
        parts: &[RequestDigest],
        crash: &Crash,
        since_head_ms: Option<u64>,
    ) {
        if crash.shows_sound_prompt(since_head_ms) {
            return self.record_sound_parts(parts);
        }
        let Some(evidence) = crash.as_part_evidence(since_head_ms) else {
            return;
        };
        let mut state = self.lock();
        for part in parts {
            self.add_part_crash(&mut state, *part, evidence);
        }
        self.update_len(&state);
        drop(state);
        self.0.pending_work.notify_one();
        self.0.pending_news.notify_one();
    }

    fn add_part_crash(
        &self,
        state: &mut State,
        part: RequestDigest,
        crash: Crash,
    ) {
        let now = self.now();
        if self.with_sound_parts(|sound| sound.contains(part, now)) {
            return;
        }
        let before = state.records.verdict_at(part, now);
        if state.records.add_part_crash(part, crash) {
            state.recent.add(crash.endpoint, crash.ended_at);
            state.unsaved.insert(part);
            state.news.insert(part);
            log_evidence(state, part, &crash);
            self.log_if_quarantined(state, part, before);
        }
    }

    /// Reports whether a key is that of a part in a recent complete response.
    pub(super) fn is_sound_part(
        &self,
        state: &State,
        key: RequestDigest,
    ) -> bool {
        let now = self.now();
        state.records.subject(key) == Some(Subject::PromptPart)
            && self.with_sound_parts(|sound| sound.contains(key, now))
    }

    /// Releases a part against which other nodes have evidence, if this node
    /// knows it to be sound.
    pub(super) fn release_sound_part(
        &self,
        state: &mut State,
        key: RequestDigest,
    ) {
        let is_suspected =
            state.records.crashes(key) >= MIN_CRASHES_TO_RELEASE;
        if is_suspected && self.is_sound_part(state, key) {
            self.release(state, key);
        }
    }

    fn release(&self, state: &mut State, part: RequestDigest) {
        let record = state.records.record(part);
        let Some(refuted_until) = record.map(|record| record.changed_at())
        else {
            return;
        };
        if state.apply_response(part, 0) {
            state.note_part_release(part, refuted_until);
            state.news.insert(part);
            self.0.pending_work.notify_one();
            self.0.pending_news.notify_one();
        }
    }

    fn with_sound_parts<T>(
        &self,
        action: impl FnOnce(&mut SoundParts) -> T,
    ) -> T {
        let sound = self.0.sound_parts.lock();
        action(&mut sound.unwrap_or_else(PoisonError::into_inner))
    }
}
