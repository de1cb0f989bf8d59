use base::{RequestDigest, UnixMillis};
use indexmap::IndexSet;

/// Time after which the older half of the parts is forgotten, in milliseconds.
/// A part therefore counts as sound for five to ten seconds after a response.
const ROTATION_INTERVAL_MS: u64 = 5_000;

/// Maximum number of parts in each half.
const MAX_PARTS: usize = 2_048;

/// The parts of prompts that this node has recently seen in complete
/// responses. Crashes are no evidence against them.
///
/// A part that most requests of a route share is in most crashes too. Without
/// this memory it would be quarantined whenever endpoints crash faster than
/// responses become known to all nodes.
#[derive(Debug, Default)]
pub(crate) struct SoundParts {
    recent: IndexSet<RequestDigest>,
    previous: IndexSet<RequestDigest>,
    rotated_at: UnixMillis,
}

impl SoundParts {
    /// Records parts of the prompt of a complete response.
    pub(crate) fn add(&mut self, parts: &[RequestDigest], now: UnixMillis) {
        self.rotate(now);
        self.recent.extend(parts);
        if self.recent.len() > MAX_PARTS {
            self.previous = std::mem::take(&mut self.recent);
            self.rotated_at = now;
        }
    }

    /// Reports whether a part was in a recent complete response.
    pub(crate) fn contains(
        &mut self,
        part: RequestDigest,
        now: UnixMillis,
    ) -> bool {
        self.rotate(now);
        self.recent.contains(&part) || self.previous.contains(&part)
    }

    fn rotate(&mut self, now: UnixMillis) {
        let age_ms = now.saturating_ms_since(self.rotated_at);
        if age_ms < ROTATION_INTERVAL_MS {
            return;
        }
        let recent = std::mem::take(&mut self.recent);
        self.previous = match age_ms < 2 * ROTATION_INTERVAL_MS {
            true => recent,
            false => IndexSet::new(),
        };
        self.rotated_at = now;
    }
}
