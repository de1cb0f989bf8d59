use std::{
    fmt,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use base::{Clock, SystemClock};
use budget::{Admission, ConnectionKey, ConnectionPhase, ConnectionTable};
use indexmap::IndexMap;
use tokio_util::sync::CancellationToken;

/// The open connections of a listener.
pub(crate) struct Connections {
    clock: SystemClock,
    open: Mutex<Open>,
}

#[derive(Default)]
struct Open {
    table: ConnectionTable,
    tokens: IndexMap<ConnectionKey, CancellationToken>,
    counts: ConnectionCounts,
}

/// Connections that a listener has not served.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConnectionCounts {
    /// Connections that were closed unread.
    pub refused: u64,
    /// Connections without use that were closed for new ones.
    pub evicted: u64,
}

/// What became of a new connection.
pub(crate) struct Accepted {
    pub(crate) connection: CallerConnection,
    /// Number of connections evicted so far, if this one evicted another.
    pub(crate) evicted: Option<u64>,
}

impl Connections {
    pub(crate) fn new(max_connections: usize) -> Arc<Self> {
        Arc::new(Self {
            clock: SystemClock::new(),
            open: Mutex::new(Open {
                table: ConnectionTable::new(max_connections),
                ..Open::default()
            }),
        })
    }

    /// Returns the place of a new connection, or `None` if it is refused.
    pub(crate) fn open(self: &Arc<Self>) -> Option<Accepted> {
        let mut open = self.lock();
        let (key, evicted) = match open.table.open(self.clock.now()) {
            Admission::Open(key) => (key, None),
            Admission::Replace { new, close } => {
                if let Some(token) = open.tokens.swap_remove(&close) {
                    token.cancel();
                }
                open.counts.evicted += 1;
                (new, Some(open.counts.evicted))
            }
            Admission::Refuse => {
                open.counts.refused += 1;
                return None;
            }
        };
        let token = CancellationToken::new();
        open.tokens.insert(key, token.clone());
        drop(open);
        let connection = CallerConnection(Arc::new(Place {
            connections: self.clone(),
            key,
            evicted: token,
            is_serving: AtomicBool::new(false),
            is_blocked: AtomicBool::new(false),
        }));
        Some(Accepted {
            connection,
            evicted,
        })
    }

    /// Returns how many connections were not served so far.
    pub(crate) fn counts(&self) -> ConnectionCounts {
        self.lock().counts
    }

    fn set_phase(&self, key: ConnectionKey, phase: ConnectionPhase) {
        let now = self.clock.now();
        self.lock().table.set_phase(key, phase, now);
    }

    fn lock(&self) -> MutexGuard<'_, Open> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The place of a connection to a caller, given up when the last clone is
/// dropped.
#[derive(Clone)]
pub(crate) struct CallerConnection(Arc<Place>);

struct Place {
    connections: Arc<Connections>,
    key: ConnectionKey,
    evicted: CancellationToken,
    /// Whether a request is being served whose response has not ended.
    is_serving: AtomicBool,
    /// Whether the caller does not read. The end of a response may wait in the
    /// buffers then.
    is_blocked: AtomicBool,
}

impl fmt::Debug for CallerConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("CallerConnection")
            .field(&self.0.key)
            .finish()
    }
}

impl CallerConnection {
    /// Records that a body arrives.
    pub(crate) fn receiving(&self) {
        self.set_phase(ConnectionPhase::Receiving);
    }

    /// Records that a request is complete and is being served.
    pub(crate) fn serving(&self) {
        self.0.is_serving.store(true, Ordering::Relaxed);
        self.set_phase(ConnectionPhase::Serving);
    }

    /// Records that the caller does not read.
    pub(crate) fn blocked(&self) {
        self.0.is_blocked.store(true, Ordering::Relaxed);
        self.set_phase(ConnectionPhase::Blocked);
    }

    /// Records that the caller reads again.
    pub(crate) fn unblocked(&self) {
        self.0.is_blocked.store(false, Ordering::Relaxed);
        match self.0.is_serving.load(Ordering::Relaxed) {
            true => self.set_phase(ConnectionPhase::Serving),
            false => self.set_phase(ConnectionPhase::Waiting),
        }
    }

    /// Records that the connection is free for the next request.
    pub(crate) fn waiting(&self) {
        self.0.is_serving.store(false, Ordering::Relaxed);
        if !self.0.is_blocked.load(Ordering::Relaxed) {
            self.set_phase(ConnectionPhase::Waiting);
        }
    }

    /// Waits until the connection has to be closed in favour of a new one.
    pub(crate) async fn evicted(&self) {
        self.0.evicted.cancelled().await;
    }

    fn set_phase(&self, phase: ConnectionPhase) {
        self.0.connections.set_phase(self.0.key, phase);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut open = self.connections.lock();
        open.table.close(self.key);
        open.tokens.swap_remove(&self.key);
    }
}
