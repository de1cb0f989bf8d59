//! Which way a call takes to the key-value service.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};

use base::Millis;

/// Time between two tries of the direct way while it fails, in
/// milliseconds: each costs a call that is paid for.
const DIRECT_AGAIN_MS: u64 = 1_000;

/// The ways to the service: directly, or through another node.
///
/// The service may turn single nodes away, or the path from one node to it
/// may be cut, while all others reach it. One sees nodes that refuse jobs
/// and run old configurations beside others that do not. Such a node then
/// uses another one's path, and tries its own again now and then.
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
/// paths.record_result(direct, false, now);
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
    /// Time between two calls while the service is away, in milliseconds.
    away_pause_ms: u64,
    peers: Vec<SocketAddr>,
    turn: usize,
    direct_lost: bool,
    direct_tried_at: Option<Millis>,
    /// Failures since the last call that went well, by whatever way.
    failures: u32,
    failed_at: Millis,
}

/// Failures in a row after which the service counts as away. Single answers
/// are lost also when it is there.
const AWAY_FAILURES: u32 = 3;

/// Time between two calls of a node while the service is away, in
/// milliseconds, unless it is set.
///
/// What goes wrong without it: each request of a caller becomes calls that
/// fail, all of which are paid for; one saw 6,800 calls in an outage of six
/// seconds where 36 nodes need a few hundred to notice its end.
const AWAY_PAUSE_MS: u64 = 400;

impl Paths {
    /// Starts with the direct way alone.
    pub fn new(direct: SocketAddr) -> Self {
        let inner = Inner {
            away_pause_ms: AWAY_PAUSE_MS,
            peers: Vec::new(),
            turn: 0,
            direct_lost: false,
            direct_tried_at: None,
            failures: 0,
            failed_at: Millis::default(),
        };
        Self {
            direct,
            inner: Mutex::new(inner),
        }
    }

    /// Sets the time between two calls while the service is away, so that
    /// the nodes of a large fleet do not make more calls together than those
    /// of a small one.
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
    ///     paths.record_result(direct, false, now);
    /// }
    /// assert_eq!(paths.pick(Millis::new(1_900)), None);
    /// assert_eq!(paths.pick(Millis::new(2_010)), Some(direct));
    /// ```
    pub fn set_outage_interval_ms(&self, away_pause_ms: u64) {
        self.lock().away_pause_ms = away_pause_ms;
    }

    /// Sets the nodes that pass calls on, in the order of their use.
    pub fn set_peers(&self, peers: Vec<SocketAddr>) {
        self.lock().peers = peers;
    }

    /// Returns the address for the next call; none while the service is away
    /// and was asked a moment ago.
    pub fn pick(&self, now: Millis) -> Option<SocketAddr> {
        let mut inner = self.lock();
        let since_ms = now.saturating_ms_since(inner.failed_at);
        if inner.failures >= AWAY_FAILURES && since_ms < inner.away_pause_ms {
            return None;
        }
        if !inner.direct_lost || inner.peers.is_empty() {
            return Some(self.direct);
        }
        let again = inner
            .direct_tried_at
            .is_none_or(|at| now.saturating_ms_since(at) >= DIRECT_AGAIN_MS);
        if again {
            inner.direct_tried_at = Some(now);
            return Some(self.direct);
        }
        Some(inner.peers[inner.turn % inner.peers.len()])
    }

    /// Tells whether a failed call may have a better way now.
    pub fn has_alternative(&self, than: SocketAddr) -> bool {
        let inner = self.lock();
        than == self.direct && !inner.peers.is_empty()
    }

    /// Takes record_result of how a call ended.
    pub fn record_result(&self, address: SocketAddr, good: bool, now: Millis) {
        let mut inner = self.lock();
        match good {
            true => inner.failures = 0,
            false => {
                inner.failures = inner.failures.saturating_add(1);
                inner.failed_at = now;
            }
        }
        if address != self.direct {
            if !good {
                inner.turn = inner.turn.wrapping_add(1);
            }
            return;
        }
        if inner.direct_lost == good {
            log::info!(direct = good; "the way to the key-value service");
        }
        inner.direct_lost = !good;
        if !good {
            inner.direct_tried_at = Some(now);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
