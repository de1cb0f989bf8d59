use std::collections::VecDeque;

use base::UnixMillis;

use crate::CrashedEndpoint;

/// Number of endpoints that crash at about the same time from which on the
/// likely cause is the loss of a rack or failure domain, not a request.
const MIN_CORRELATED_CRASHES: usize = 4;

/// Time within which crashes count as correlated, in milliseconds.
const CORRELATION_WINDOW_MS: u64 = 50;

/// Maximum number of recent crashes that are kept.
const MAX_RECENT_CRASHES: usize = 256;

/// Retention of a recent crash, in milliseconds.
const RETENTION_MS: u64 = 10_000;

/// Recent crashes that this node detected, in the order of detection.
#[derive(Debug, Default)]
pub(crate) struct RecentCrashes(VecDeque<(CrashedEndpoint, UnixMillis)>);

impl RecentCrashes {
    pub(crate) fn add(&mut self, endpoint: CrashedEndpoint, at: UnixMillis) {
        let is_known = |(known, known_at): &(CrashedEndpoint, UnixMillis)| {
            *known == endpoint
                && known_at.abs_diff_ms(at) <= CORRELATION_WINDOW_MS
        };
        if self.0.iter().any(is_known) {
            return;
        }
        if self.0.len() >= MAX_RECENT_CRASHES {
            self.0.pop_front();
        }
        self.0.push_back((endpoint, at));
    }

    /// Reports whether many endpoints crashed at about the given time.
    pub(crate) fn is_correlated(&self, at: UnixMillis) -> bool {
        let is_near =
            |other: UnixMillis| other.abs_diff_ms(at) <= CORRELATION_WINDOW_MS;
        let near = self.0.iter().filter(|(_, other)| is_near(*other));
        near.count() >= MIN_CORRELATED_CRASHES
    }

    pub(crate) fn expire(&mut self, now: UnixMillis) {
        let is_expired =
            |at: UnixMillis| now.saturating_ms_since(at) >= RETENTION_MS;
        while self.0.front().is_some_and(|(_, at)| is_expired(*at)) {
            self.0.pop_front();
        }
    }
}
