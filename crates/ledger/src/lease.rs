use base::Millis;

const MS_PER_S: u64 = 1_000;

/// Share of its life after which a lease is renewed: a third leaves two more
/// attempts.
const RENEWAL_DIVISOR: u64 = 3;

/// The holder's view of its lease.
///
/// It counts from before the send, so that its end is never later than the
/// service's. A paused holder finds the lease unsafe at its next read_membership.
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
        let due = self
            .sent_at
            .saturating_add_ms(self.ttl_ms / RENEWAL_DIVISOR);
        !self.is_renewing && now >= due
    }
}

/// The life of an owner, seen from one partition.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum OwnershipState {
    /// Not owned here.
    #[default]
    Unowned,
    /// Claimed; the answer is awaited.
    Acquiring,
    /// Owned; the open jobs are being read.
    Loading { fence: u64 },
    /// Owned and at work.
    Owned { fence: u64 },
    /// Owned; nothing more is granted, and after the last commit the
    /// partition goes to another member.
    Draining { fence: u64, until: Millis },
    /// The key is being deleted.
    DeletingKey { fence: u64 },
    /// The lease ended. Results are kept, for the case that no other entry
    /// takes the partition.
    Lost,
}

impl OwnershipState {
    /// Returns the fencing number while the partition is owned.
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

    /// Returns the fencing number while items may be granted.
    pub(crate) fn fence_for_grants(self) -> Option<u64> {
        match self {
            OwnershipState::Loading { fence }
            | OwnershipState::Owned { fence } => Some(fence),
            _ => None,
        }
    }

    /// Returns the fencing number while commits may be made.
    pub(crate) fn fence_for_commits(self) -> Option<u64> {
        match self {
            OwnershipState::DeletingKey { .. } => None,
            other => other.fence(),
        }
    }
}
