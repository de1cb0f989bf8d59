//! What the holder of a lease may still believe.

use base::Millis;

use crate::LeaseId;

const MS_PER_S: u64 = 1_000;

/// Share of the time to live after which a lease is record_renewal: a third leaves
/// two more attempts.
const RENEW_DIVISOR: u64 = 3;

/// Tracks a lease from its holder's side.
///
/// The holder counts from the moment *before* it sent the grant or the
/// renewal, so that its own end is never later than the service's. A holder
/// that was paused finds the lease unsafe at its next look. This saves it
/// useless work; what it has sent already must be fenced by a revision in
/// each transaction.
///
/// # Example
///
/// ```
/// use base::Millis;
/// use pomeloslip_kv::{LeaseId, lease::HeldLease};
///
/// let mut held = HeldLease::new(LeaseId(7), 9, Millis::new(0));
/// assert_eq!(held.renew_at(), Millis::new(3_000));
/// assert!(held.is_valid_for(Millis::new(8_999), 0));
/// assert!(!held.is_valid_for(Millis::new(8_999), 500));
/// held.record_renewal(Millis::new(3_000));
/// assert_eq!(held.expires_at(), Millis::new(12_000));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    id: LeaseId,
    ttl_ms: u64,
    sent_at: Millis,
}

impl HeldLease {
    /// Starts with a grant that was sent at `sent_at`.
    pub fn new(id: LeaseId, ttl_s: u32, sent_at: Millis) -> Self {
        Self {
            id,
            ttl_ms: u64::from(ttl_s) * MS_PER_S,
            sent_at,
        }
    }

    /// Returns the lease.
    #[inline]
    pub fn id(&self) -> LeaseId {
        self.id
    }

    /// Takes note of a renewal that succeeded and was sent at `sent_at`.
    pub fn record_renewal(&mut self, sent_at: Millis) {
        self.sent_at = self.sent_at.max(sent_at);
    }

    /// Returns when to renew.
    #[inline]
    pub fn renew_at(&self) -> Millis {
        self.sent_at.saturating_add_ms(self.ttl_ms / RENEW_DIVISOR)
    }

    /// Returns the earliest moment at which the service may end the lease.
    #[inline]
    pub fn expires_at(&self) -> Millis {
        self.sent_at.saturating_add_ms(self.ttl_ms)
    }

    /// Tells whether the lease surely lasts for `margin_ms` more.
    #[inline]
    pub fn is_valid_for(&self, now: Millis, margin_ms: u64) -> bool {
        now.saturating_add_ms(margin_ms) < self.expires_at()
    }
}
