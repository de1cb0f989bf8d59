use std::{fmt, net::SocketAddr};

use base::Millis;

/// Minimum interval between log lines about refused messages, in milliseconds.
/// A sender of thousands of messages per second must not flood the log.
const LOGGED_EACH_MS: u64 = 10_000;

/// Rate-limited log of messages from other nodes that were refused.
#[derive(Debug, Default)]
pub(crate) struct RefusalLog {
    next_at: Millis,
    unlogged: u64,
}

impl RefusalLog {
    pub(crate) fn note(
        &mut self,
        from: SocketAddr,
        reason: &dyn fmt::Display,
        now: Millis,
    ) {
        if now < self.next_at {
            self.unlogged += 1;
            return;
        }
        log::warn!(from:%, reason:%, unlogged = self.unlogged;
            "a message of another node is refused");
        self.unlogged = 0;
        self.next_at = now.saturating_add_ms(LOGGED_EACH_MS);
    }
}

#[cfg(test)]
#[path = "../tests/unit/refusals.rs"]
mod tests;
