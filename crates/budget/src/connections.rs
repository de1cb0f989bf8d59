use base::Millis;
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Identifies an open connection.
    pub struct ConnectionKey;
}

/// What a connection does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionPhase {
    /// It waits for a request, or for the rest of a request's head.
    Waiting,
    /// It receives a body.
    Receiving,
    /// Its request is being served.
    Serving,
    /// Its client does not read the response.
    Blocked,
}

/// Whether a new connection is accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// There is a free place.
    Open(ConnectionKey),
    /// There is a place once another connection is closed.
    Replace {
        /// The new connection.
        new: ConnectionKey,
        /// The connection that has to be closed.
        close: ConnectionKey,
    },
    /// All connections are in use.
    Refuse,
}

struct Entry {
    phase: ConnectionPhase,
    since: Millis,
}

/// Time for which a connection waits for a request before it may be closed in
/// favour of a new one, in milliseconds. A request that was sent with the
/// connection has been read by then.
const WAITING_STALL_MS: u64 = 500;

/// Time for which a body makes no progress before its connection may be closed
/// in favour of a new one, in milliseconds.
const RECEIVING_STALL_MS: u64 = 1_000;

/// The same for a client that reads nothing of a response.
const BLOCKED_STALL_MS: u64 = 5_000;

/// The open connections of callers.
///
/// When all places are taken, a new connection gets the place of the one that
/// has waited longest for a request, or else of one that has stalled.
///
/// # Example
///
/// ```
/// use base::Millis;
/// use pomeloslip_budget::{Admission, ConnectionPhase, ConnectionTable};
///
/// let mut table = ConnectionTable::new(1);
/// let Admission::Open(first) = table.open(Millis::new(0)) else {
///     unreachable!();
/// };
/// table.set_phase(first, ConnectionPhase::Serving, Millis::new(1));
/// assert_eq!(table.open(Millis::new(2)), Admission::Refuse);
/// table.set_phase(first, ConnectionPhase::Waiting, Millis::new(3));
/// let next = table.open(Millis::new(503));
/// assert!(matches!(next, Admission::Replace { close, .. } if close == first));
/// ```
#[derive(Default)]
pub struct ConnectionTable {
    entries: SlotMap<ConnectionKey, Entry>,
    max_connections: usize,
}

impl ConnectionTable {
    /// Creates a table with a number of places.
    pub fn new(max_connections: usize) -> Self {
        Self {
            entries: SlotMap::with_key(),
            max_connections,
        }
    }

    /// Returns the number of places that are taken.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Reports whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Decides on a new connection. The place of a connection that has to be
    /// closed is given up at once.
    pub fn open(&mut self, now: Millis) -> Admission {
        if self.entries.len() < self.max_connections {
            return Admission::Open(self.insert(now));
        }
        match self.least_useful(now) {
            Some(close) => {
                self.entries.remove(close);
                let new = self.insert(now);
                Admission::Replace { new, close }
            }
            None => Admission::Refuse,
        }
    }

    /// Records what a connection does from now on. Repeating the phase counts
    /// as progress.
    pub fn set_phase(
        &mut self,
        key: ConnectionKey,
        phase: ConnectionPhase,
        now: Millis,
    ) {
        if let Some(entry) = self.entries.get_mut(key) {
            *entry = Entry { phase, since: now };
        }
    }

    /// Removes a connection that has ended.
    pub fn close(&mut self, key: ConnectionKey) {
        self.entries.remove(key);
    }

    fn insert(&mut self, now: Millis) -> ConnectionKey {
        self.entries.insert(Entry {
            phase: ConnectionPhase::Waiting,
            since: now,
        })
    }

    fn least_useful(&self, now: Millis) -> Option<ConnectionKey> {
        let rank = |entry: &Entry| {
            let stalled_ms = now.saturating_ms_since(entry.since);
            match entry.phase {
                ConnectionPhase::Waiting => {
                    (stalled_ms >= WAITING_STALL_MS).then_some(0)
                }
                ConnectionPhase::Receiving => {
                    (stalled_ms >= RECEIVING_STALL_MS).then_some(1)
                }
                ConnectionPhase::Blocked => {
                    (stalled_ms >= BLOCKED_STALL_MS).then_some(2)
                }
                ConnectionPhase::Serving => None,
            }
        };
        let ranked = self.entries.iter().filter_map(|(key, entry)| {
            rank(entry).map(|rank| (rank, entry.since, key))
        });
        ranked
            .min_by_key(|(rank, since, _)| (*rank, *since))
            .map(|(.., key)| key)
    }
}
