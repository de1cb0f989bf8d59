use base::Millis;

/// Detects an engine that makes no progress.
///
/// The port and the health endpoint of a stalled engine may still respond, and
/// calls would be sent to it until each of them times out. The stall shows
/// only in calls that make no progress. Only streams count: a response that is
/// not streamed arrives at its end, and a long one looks like a stall until
/// then.
#[derive(Clone, Debug)]
pub(crate) struct StallDetector {
    timeout_ms: u64,
    give_up_ms: u64,
    active_streams: u32,
    silent_since: Millis,
    stalled: bool,
    given_up: bool,
}

/// A change that a check of an engine has detected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StallChange {
    /// The engine makes no progress: it gets no new work.
    Stalled,
    /// The stall has lasted so long that batch items are given up.
    GivenUp,
}

impl StallDetector {
    /// Creates a detector; a `timeout_ms` of 0 disables it.
    pub(crate) fn new(timeout_ms: u64, give_up_ms: u64) -> Self {
        Self {
            timeout_ms,
            give_up_ms: give_up_ms.max(timeout_ms),
            active_streams: 0,
            silent_since: Millis::new(0),
            stalled: false,
            given_up: false,
        }
    }

    pub(crate) fn is_stalled(&self) -> bool {
        self.stalled
    }

    pub(crate) fn stream_started(&mut self, now: Millis) {
        if self.active_streams == 0 {
            self.silent_since = now;
        }
        self.active_streams += 1;
    }

    pub(crate) fn stream_ended(&mut self) {
        self.active_streams = self.active_streams.saturating_sub(1);
    }

    pub(crate) fn on_progress(&mut self, now: Millis) {
        self.silent_since = now;
        self.stalled = false;
        self.given_up = false;
    }

    /// Updates the state and returns what was detected just now.
    pub(crate) fn check(&mut self, now: Millis) -> Option<StallChange> {
        let silent_ms = now.saturating_ms_since(self.silent_since);
        let is_silent = self.timeout_ms > 0
            && self.active_streams > 0
            && silent_ms >= self.timeout_ms;
        if !is_silent {
            return None;
        }
        if !std::mem::replace(&mut self.stalled, true) {
            return Some(StallChange::Stalled);
        }
        let is_new = !self.given_up && silent_ms >= self.give_up_ms;
        self.given_up |= is_new;
        is_new.then_some(StallChange::GivenUp)
    }
}
