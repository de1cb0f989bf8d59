//! Client-side tracking of a lease.

use base::Millis;

use crate::LeaseId;

const MS_PER_S: u64 = 1_000;

/// A lease is renewed after this fraction of its time to live. A third leaves
/// time for two more attempts.
const RENEW_DIVISOR: u64 = 3;

/// Tracks the expiry of a lease on the side of its holder.
///
/// The time to live counts from the moment *before* the grant or the renewal
/// was sent, so that the lease never lasts longer for its holder than for the
/// key-value service. A holder that was paused finds the lease expired at its
/// next check. This check only saves useless work: writes that are already in
/// flight must be fenced by a revision in each transaction.
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
    /// Creates the state for a grant that was sent at `sent_at`.
    pub fn new(id: LeaseId, ttl_s: u32, sent_at: Millis) -> Self {
        Self {
            id,
            ttl_ms: u64::from(ttl_s) * MS_PER_S,
            sent_at,
        }
    }

    /// Returns the id of the lease.
    #[inline]
    pub fn id(&self) -> LeaseId {
        self.id
    }

    /// Records a successful renewal that was sent at `sent_at`.
    pub fn record_renewal(&mut self, sent_at: Millis) {
        self.sent_at = self.sent_at.max(sent_at);
    }

    /// Returns the time of the next renewal.
    #[inline]
    pub fn renew_at(&self) -> Millis {
        self.sent_at.saturating_add_ms(self.ttl_ms / RENEW_DIVISOR)
    }

    /// Returns the earliest time at which the key-value service may expire the
    /// lease.
    #[inline]
    pub fn expires_at(&self) -> Millis {
        self.sent_at.saturating_add_ms(self.ttl_ms)
    }

    /// Reports whether the lease is certain to last for another `margin_ms`.
    #[inline]
    pub fn is_valid_for(&self, now: Millis, margin_ms: u64) -> bool {
        now.saturating_add_ms(margin_ms) < self.expires_at()
    }
}
