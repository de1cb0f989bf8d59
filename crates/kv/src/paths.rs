//! Selection of the network path to the key-value service.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};

use base::Millis;

/// Interval between attempts on the direct path while it is down, in
/// milliseconds. Each attempt is a call that is billed.
const DIRECT_RETRY_INTERVAL_MS: u64 = 1_000;

/// The paths to the key-value service: direct, or through a peer.
///
/// The service may reject single nodes, or the network between one node and
/// the service may fail while all others reach it. Such a node would refuse
/// jobs and run an outdated configuration while its peers work normally. It
/// therefore sends its calls through a peer, and tries the direct path again
/// at an interval.
///
/// # Example
///
/// ```
/// use base::Millis;
/// use pomeloslip_kv::paths::Paths;
///
/// let direct = ([127, 0, 0, 1], 1).into();
/// let peer = ([127, 0, 0, 1], 2).into();
/// let paths = Paths::new(direct);
/// paths.set_peers(vec![peer]);
/// let now = Millis::new(10);
/// assert_eq!(paths.pick(now), Some(direct));
/// paths.record(direct, false, now);
/// assert_eq!(paths.pick(now), Some(peer));
/// let later = Millis::new(2_000);
/// assert_eq!(paths.pick(later), Some(direct));
/// ```
#[derive(Debug)]
pub struct Paths {
    direct: SocketAddr,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    /// Interval between two calls during an outage, in milliseconds.
    outage_interval_ms: u64,
    peers: Vec<SocketAddr>,
    next_peer: usize,
    is_direct_down: bool,
    direct_tried_at: Option<Millis>,
    /// Consecutive failures over all paths.
    failures: u32,
    failed_at: Millis,
}

/// Consecutive failures after which the service counts as down. Single
/// responses are also lost while it is up.
const OUTAGE_FAILURES: u32 = 3;

/// Default interval between two calls of a node during an outage, in
/// milliseconds.
///
/// Without a pause each request of a caller causes calls that fail and are
/// billed all the same: 6,800 calls were seen in an outage of six seconds,
/// where 36 nodes need a few hundred to notice its end.
const DEFAULT_OUTAGE_INTERVAL_MS: u64 = 400;

impl Paths {
    /// Creates a set with only the direct path.
    pub fn new(direct: SocketAddr) -> Self {
        let inner = Inner {
            outage_interval_ms: DEFAULT_OUTAGE_INTERVAL_MS,
            peers: Vec::new(),
            next_peer: 0,
            is_direct_down: false,
            direct_tried_at: None,
            failures: 0,
            failed_at: Millis::default(),
        };
        Self {
            direct,
            inner: Mutex::new(inner),
        }
    }

    /// Sets the interval between two calls during an outage. A larger interval
    /// keeps the total number of calls of a large fleet at that of a small
    /// one.
    ///
    /// # Example
    ///
    /// ```
    /// use base::Millis;
    /// use pomeloslip_kv::paths::Paths;
    ///
    /// let direct = ([127, 0, 0, 1], 1).into();
    /// let paths = Paths::new(direct);
    /// paths.set_outage_interval_ms(2_000);
    /// let now = Millis::new(10);
    /// for _ in 0..3 {
    ///     paths.record(direct, false, now);
    /// }
    /// assert_eq!(paths.pick(Millis::new(1_900)), None);
    /// assert_eq!(paths.pick(Millis::new(2_010)), Some(direct));
    /// ```
    pub fn set_outage_interval_ms(&self, outage_interval_ms: u64) {
        self.lock().outage_interval_ms = outage_interval_ms;
    }

    /// Sets the peers that forward calls, in the order in which they are
    /// tried.
    pub fn set_peers(&self, peers: Vec<SocketAddr>) {
        self.lock().peers = peers;
    }

    /// Returns the address for the next call, or `None` during an outage if
    /// the last failure is too recent.
    pub fn pick(&self, now: Millis) -> Option<SocketAddr> {
        let mut inner = self.lock();
        let since_ms = now.saturating_ms_since(inner.failed_at);
        if inner.failures >= OUTAGE_FAILURES
            && since_ms < inner.outage_interval_ms
        {
            return None;
        }
        if !inner.is_direct_down || inner.peers.is_empty() {
            return Some(self.direct);
        }
        let retry_direct = inner.direct_tried_at.is_none_or(|at| {
            now.saturating_ms_since(at) >= DIRECT_RETRY_INTERVAL_MS
        });
        if retry_direct {
            inner.direct_tried_at = Some(now);
            return Some(self.direct);
        }
        Some(inner.peers[inner.next_peer % inner.peers.len()])
    }

    /// Reports whether a call that failed at `address` can be retried on
    /// another path.
    pub fn has_alternative(&self, address: SocketAddr) -> bool {
        let inner = self.lock();
        address == self.direct && !inner.peers.is_empty()
    }

    /// Records the result of a call.
    pub fn record(&self, address: SocketAddr, succeeded: bool, now: Millis) {
        let mut inner = self.lock();
        match succeeded {
            true => inner.failures = 0,
            false => {
                inner.failures = inner.failures.saturating_add(1);
                inner.failed_at = now;
            }
        }
        if address != self.direct {
            if !succeeded {
                inner.next_peer = inner.next_peer.wrapping_add(1);
            }
            return;
        }
        if inner.is_direct_down == succeeded {
            log::info!(direct = succeeded; "the way to the key-value service");
        }
        inner.is_direct_down = !succeeded;
        if !succeeded {
            inner.direct_tried_at = Some(now);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
