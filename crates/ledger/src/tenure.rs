use base::Millis;

const MS_PER_S: u64 = 1_000;

/// Share of its life after which a lease is renewed: a third leaves two more
/// attempts.
const RENEW_DIVISOR: u64 = 3;

/// The holder's view of its lease.
///
/// It counts from before the send, so that its end is never later than the
/// service's. A paused holder finds the lease unsafe at its next look.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lease {
    pub(crate) id: i64,
    pub(crate) sent_at: Millis,
    pub(crate) ttl_ms: u64,
    pub(crate) renewing: bool,
}

impl Lease {
    pub(crate) fn new(id: i64, ttl_s: u32, sent_at: Millis) -> Self {
        Self {
            id,
            sent_at,
            ttl_ms: u64::from(ttl_s) * MS_PER_S,
            renewing: false,
        }
    }

    pub(crate) fn is_safe(&self, now: Millis, margin_ms: u64) -> bool {
        let ends = self.sent_at.saturating_add_ms(self.ttl_ms);
        now.saturating_add_ms(margin_ms) < ends
    }

    pub(crate) fn wants_renewal(&self, now: Millis) -> bool {
        let due = self.sent_at.saturating_add_ms(self.ttl_ms / RENEW_DIVISOR);
        !self.renewing && now >= due
    }
}

/// The life of an owner, seen from one partition.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Tenure {
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
    Releasing { fence: u64, until: Millis },
    /// The key is being deleted.
    Leaving { fence: u64 },
    /// The lease ended. Results are kept, for the case that no other entry
    /// takes the partition.
    Lost,
}

impl Tenure {
    /// Returns the fencing number while the partition is owned.
    pub(crate) fn fence(self) -> Option<u64> {
        match self {
            Tenure::Loading { fence }
            | Tenure::Owned { fence }
            | Tenure::Releasing { fence, .. }
            | Tenure::Leaving { fence } => Some(fence),
            Tenure::Unowned | Tenure::Acquiring | Tenure::Lost => None,
        }
    }

    /// Returns the fencing number while items may be granted.
    pub(crate) fn grants(self) -> Option<u64> {
        match self {
            Tenure::Loading { fence } | Tenure::Owned { fence } => Some(fence),
            _ => None,
        }
    }

    /// Returns the fencing number while commits may be made.
    pub(crate) fn commits(self) -> Option<u64> {
        match self {
            Tenure::Leaving { .. } => None,
            other => other.fence(),
        }
    }
}
