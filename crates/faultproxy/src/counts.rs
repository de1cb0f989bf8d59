use std::sync::atomic::{AtomicU64, Ordering};

/// Counters of a proxy.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Accepted connections.
    pub accepted: u64,
    /// Currently open connections.
    pub open: u64,
    /// Connections that were reset by a rule or through the handle.
    pub cut: u64,
    /// Directions of connections that were silenced.
    pub silenced: u64,
    /// Bytes forwarded to the target.
    pub to_target_bytes: u64,
    /// Bytes forwarded to the client.
    pub to_client_bytes: u64,
    /// Bytes that were dropped.
    pub lost_bytes: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) accepted: AtomicU64,
    pub(crate) open: AtomicU64,
    pub(crate) cut: AtomicU64,
    pub(crate) silenced: AtomicU64,
    pub(crate) to_target_bytes: AtomicU64,
    pub(crate) to_client_bytes: AtomicU64,
    pub(crate) lost_bytes: AtomicU64,
}

impl Counters {
    pub(crate) fn add(counter: &AtomicU64, count: u64) {
        counter.fetch_add(count, Ordering::Relaxed);
    }

    pub(crate) fn counts(&self) -> Counts {
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Counts {
            accepted: get(&self.accepted),
            open: get(&self.open),
            cut: get(&self.cut),
            silenced: get(&self.silenced),
            to_target_bytes: get(&self.to_target_bytes),
            to_client_bytes: get(&self.to_client_bytes),
            lost_bytes: get(&self.lost_bytes),
        }
    }
}
