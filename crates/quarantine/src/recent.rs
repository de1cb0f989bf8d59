use std::collections::VecDeque;

use base::UnixMillis;

use crate::CrashedEndpoint;

/// Endpoints that crash at about the same time when it is hardly a request
/// that does it, but the loss of a rack or of a failure domain.
const TOGETHER: usize = 4;

/// Time within which crashes count as one event, in milliseconds.
const TOGETHER_MS: u64 = 50;

/// Crashes that are remembered, in the order in which they were seen.
const REMEMBERED_MOST: usize = 256;

/// How long a crash is remembered, in milliseconds.
const REMEMBERED_MS: u64 = 10_000;

/// The endpoints whose crashes this node has seen lately.
#[derive(Debug, Default)]
pub(crate) struct RecentCrashes(VecDeque<(CrashedEndpoint, UnixMillis)>);

impl RecentCrashes {
    pub(crate) fn add(&mut self, endpoint: CrashedEndpoint, at: UnixMillis) {
        let is_known = |(known, then): &(CrashedEndpoint, UnixMillis)| {
            *known == endpoint && then.abs_diff_ms(at) <= TOGETHER_MS
        };
        if self.0.iter().any(is_known) {
            return;
        }
        if self.0.len() >= REMEMBERED_MOST {
            self.0.pop_front();
        }
        self.0.push_back((endpoint, at));
    }

    /// Tells whether many endpoints crashed about a moment.
    pub(crate) fn came_with_others(&self, at: UnixMillis) -> bool {
        let is_near = |other: UnixMillis| other.abs_diff_ms(at) <= TOGETHER_MS;
        let near = self.0.iter().filter(|(_, other)| is_near(*other));
        near.count() >= TOGETHER
    }

    pub(crate) fn expire(&mut self, now: UnixMillis) {
        let is_expired =
            |at: UnixMillis| now.saturating_ms_since(at) >= REMEMBERED_MS;
        while self.0.front().is_some_and(|(_, at)| is_expired(*at)) {
            self.0.pop_front();
        }
    }
}
