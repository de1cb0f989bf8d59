use base::Millis;

/// Time for which unused starts accumulate, in milliseconds; about the
/// interval at which the owner of the gate polls it.
const MAX_CREDIT_MS: f64 = 50.0;

/// Paces the starts of batch items.
///
/// Items of one job have similar lengths. If they start together, they also
/// end together, and each time their prefills fill one long engine step, which
/// every online call sees as a gap between two tokens. Started at twice the
/// rate at which they end, they stay spread out.
#[derive(Clone, Debug)]
pub(crate) struct Pacer {
    credit: f64,
    refilled_at: Millis,
}

impl Pacer {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            credit: 1.0,
            refilled_at: now,
        }
    }

    /// Adds the starts that accrued since the last refill, at a rate per
    /// millisecond.
    pub(crate) fn refill(&mut self, now: Millis, per_ms: f64) {
        let elapsed_ms = now.saturating_ms_since(self.refilled_at) as f64;
        self.refilled_at = now;
        let max_credit = (per_ms * MAX_CREDIT_MS).max(1.0);
        self.credit = (self.credit + elapsed_ms * per_ms).min(max_credit);
    }

    /// Takes one start and returns whether it was available.
    pub(crate) fn try_take(&mut self) -> bool {
        let is_allowed = self.credit >= 1.0;
        if is_allowed {
            self.credit -= 1.0;
        }
        is_allowed
    }
}
