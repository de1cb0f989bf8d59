use base::Millis;

const MS_PER_S: u64 = 1_000;

/// Fraction of the TTL after which the lease is renewed: a third leaves time
/// for two more attempts.
const RENEW_DIVISOR: u64 = 3;

/// The member's view of its lease.
///
/// The TTL is counted from before the request was sent, so that the lease
/// never ends later here than at the key-value service. A member that was
/// paused finds its lease invalid at the next check.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lease {
    pub(crate) id: i64,
    pub(crate) sent_at: Millis,
    pub(crate) ttl_ms: u64,
    pub(crate) is_renewing: bool,
}

impl Lease {
    pub(crate) fn new(id: i64, ttl_s: u32, sent_at: Millis) -> Self {
        Self {
            id,
            sent_at,
            ttl_ms: u64::from(ttl_s) * MS_PER_S,
            is_renewing: false,
        }
    }

    pub(crate) fn is_valid(&self, now: Millis, margin_ms: u64) -> bool {
        let expires_at = self.sent_at.saturating_add_ms(self.ttl_ms);
        now.saturating_add_ms(margin_ms) < expires_at
    }

    pub(crate) fn wants_renewal(&self, now: Millis) -> bool {
        let due = self.sent_at.saturating_add_ms(self.ttl_ms / RENEW_DIVISOR);
        !self.is_renewing && now >= due
    }
}

/// State of this process's ownership of one partition.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum OwnershipState {
    /// Not owned by this process.
    #[default]
    Unowned,
    /// Claimed; the response is pending.
    Acquiring,
    /// Owned; the open jobs are being read.
    Loading { fence: u64 },
    /// Owned, with all open jobs read.
    Owned { fence: u64 },
    /// Being handed over: no items are granted, and the key is deleted once
    /// nothing is pending, at the latest at `until`.
    Draining { fence: u64, until: Millis },
    /// The owner key is being deleted.
    DeletingKey { fence: u64 },
    /// The lease ended. Results are kept in case no other entry claims the
    /// partition.
    Lost,
}

impl OwnershipState {
    /// Returns the fencing token while the partition is owned.
    pub(crate) fn fence(self) -> Option<u64> {
        match self {
            OwnershipState::Loading { fence }
            | OwnershipState::Owned { fence }
            | OwnershipState::Draining { fence, .. }
            | OwnershipState::DeletingKey { fence } => Some(fence),
            OwnershipState::Unowned
            | OwnershipState::Acquiring
            | OwnershipState::Lost => None,
        }
    }

    /// Returns the fencing token while items may be granted.
    pub(crate) fn fence_for_grants(self) -> Option<u64> {
        match self {
            OwnershipState::Loading { fence }
            | OwnershipState::Owned { fence } => Some(fence),
            _ => None,
        }
    }

    /// Returns the fencing token while commits may be made.
    pub(crate) fn fence_for_commits(self) -> Option<u64> {
        match self {
            OwnershipState::DeletingKey { .. } => None,
            other => other.fence(),
        }
    }
}
