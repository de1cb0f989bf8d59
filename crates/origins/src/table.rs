use std::collections::VecDeque;

use base::Millis;
use indexmap::IndexMap;

use crate::{Origin, StreamKey};

/// Maximum number of origins that a node stores: several times those of the
/// streams of a few seconds. The oldest are dropped beyond it, and their
/// streams can no longer be resumed by clients.
pub const MAX_ORIGINS: usize = 16_384;

/// Maximum time for which an origin is stored, in milliseconds, whatever its
/// sender asks for. It bounds the memory that one stream takes.
pub const MAX_LIFETIME_MS: u64 = 600_000;

/// The origins of recent streams.
///
/// A stream that is recorded with two different origins becomes uncertain:
/// nothing tells which of them is true.
///
/// # Example
///
/// ```
/// use base::Millis;
/// use pomeloslip_origins::{StreamKey, Origin, OriginTable};
///
/// let stream = StreamKey::of_attempt("", "a1");
/// let origin = Origin::began_at("engines", "v1".parse()?);
/// let mut table = OriginTable::default();
/// table.record(stream, origin, 5_000, Millis::new(0));
/// assert!(table.find(stream, Millis::new(4_999)).is_some());
/// assert!(table.find(stream, Millis::new(5_000)).is_none());
/// # Ok::<(), fleet::VersionError>(())
/// ```
#[derive(Debug, Default)]
pub struct OriginTable {
    origins: IndexMap<StreamKey, StoredOrigin>,
    /// The streams in the order in which they were recorded first.
    order: VecDeque<StreamKey>,
}

#[derive(Debug)]
struct StoredOrigin {
    origin: Origin,
    expires_at: Millis,
}

impl OriginTable {
    /// Stores an origin for a time.
    pub fn record(
        &mut self,
        stream: StreamKey,
        origin: Origin,
        lifetime_ms: u64,
        now: Millis,
    ) {
        self.drop_oldest(now);
        let expires_at =
            now.saturating_add_ms(lifetime_ms.min(MAX_LIFETIME_MS));
        let origin = self.share(origin);
        if let Some(known) = self.origins.get_mut(&stream) {
            known.expires_at = known.expires_at.max(expires_at);
            if !known.origin.agrees_with(&origin) {
                known.origin = Origin::Uncertain;
            }
            return;
        }
        let stored = StoredOrigin { origin, expires_at };
        self.origins.insert(stream, stored);
        self.order.push_back(stream);
    }

    /// Returns the origin of a stream.
    pub fn find(&self, stream: StreamKey, now: Millis) -> Option<&Origin> {
        let stored = self.origins.get(&stream)?;
        (now < stored.expires_at).then_some(&stored.origin)
    }

    /// Returns the number of stored origins.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Reports whether no origin is stored.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    /// Drops the oldest origins that have expired or exceed the maximum. Each
    /// call drops as many as one call adds at least, so that the cost of a
    /// record is constant.
    fn drop_oldest(&mut self, now: Millis) {
        const MAX_DROPPED: usize = 4;
        for _ in 0..MAX_DROPPED {
            let Some(oldest) = self.order.front() else {
                return;
            };
            let expires_at = self.origins.get(oldest).map(|s| s.expires_at);
            let has_expired = expires_at.is_none_or(|at| at <= now);
            if !has_expired && self.order.len() < MAX_ORIGINS {
                return;
            }
            self.origins.swap_remove(oldest);
            self.order.pop_front();
        }
    }

    /// Shares the binding of the newest equal origin. A service has a few
    /// versions at a time, so most origins take no memory of their own.
    fn share(&self, origin: Origin) -> Origin {
        let newest = self.order.back().and_then(|at| self.origins.get(at));
        match newest {
            Some(newest) if newest.origin == origin => newest.origin.clone(),
            _ => origin,
        }
    }
}
