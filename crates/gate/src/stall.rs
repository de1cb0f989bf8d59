use base::Millis;

/// Notices that an engine stands still.
///
/// Its port and its health page may answer all the while, and calls would
/// be sent to it until each has timed out. What shows it is that none of the
/// calls that should move does. Only streams count: a whole answer comes
/// at its end, and a long one looks like a stall until then.
#[derive(Clone, Debug)]
pub(crate) struct Stall {
    after_ms: u64,
    streams: u32,
    quiet_since: Millis,
    stalled: bool,
}

impl Stall {
    pub(crate) fn new(after_ms: u64) -> Self {
        Self {
            after_ms,
            streams: 0,
            quiet_since: Millis::new(0),
            stalled: false,
        }
    }

    pub(crate) fn is_stalled(&self) -> bool {
        self.stalled
    }

    pub(crate) fn stream_began(&mut self, now: Millis) {
        if self.streams == 0 {
            self.quiet_since = now;
        }
        self.streams += 1;
    }

    pub(crate) fn stream_ended(&mut self) {
        self.streams = self.streams.saturating_sub(1);
    }

    pub(crate) fn moved(&mut self, now: Millis) {
        self.quiet_since = now;
        self.stalled = false;
    }

    /// Returns whether a stall has just been noticed.
    pub(crate) fn check(&mut self, now: Millis) -> bool {
        let quiet_ms = now.saturating_ms_since(self.quiet_since);
        let silent =
            self.after_ms > 0 && self.streams > 0 && quiet_ms >= self.after_ms;
        let noticed = silent && !self.stalled;
        self.stalled |= silent;
        noticed
    }
}
