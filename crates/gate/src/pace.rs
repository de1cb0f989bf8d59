use base::Millis;

/// Span of starts that may be made up for at once: the owner of the gate
/// looks at it about this often.
const SAVED_MS: f64 = 50.0;

/// Spreads the starts of batch items.
///
/// Items of one job are of like length. Started together they end together,
/// and each time their prefills fill one long step of the engine, which
/// every online call sees as a gap between two tokens. Started at twice the
/// rate at which they end, they stay spread.
#[derive(Clone, Debug)]
pub(crate) struct Pace {
    credit: f64,
    refilled: Millis,
}

impl Pace {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            credit: 1.0,
            refilled: now,
        }
    }

    /// Adds what has come together at a rate of starts in a millisecond.
    pub(crate) fn refill(&mut self, now: Millis, per_ms: f64) {
        let passed_ms = now.saturating_ms_since(self.refilled) as f64;
        self.refilled = now;
        let saved = (per_ms * SAVED_MS).max(1.0);
        self.credit = (self.credit + passed_ms * per_ms).min(saved);
    }

    /// Tells whether one may start now.
    pub(crate) fn take(&mut self) -> bool {
        let may = self.credit >= 1.0;
        if may {
            self.credit -= 1.0;
        }
        may
    }
}
