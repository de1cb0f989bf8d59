use std::{
    fmt,
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
};

use base::Clock;
use origins::{
    Lookup, Origin, OriginTable, StreamId, StreamKey, StreamKeys, Verdict,
};

/// The result of a search for the origin of a stream.
pub type OriginFuture = Pin<Box<dyn Future<Output = Verdict> + Send>>;

/// Stores which version began each resumable stream, and finds it again.
pub trait StreamOrigins: Send + Sync + 'static {
    /// Stores the origin of a stream. It is called before the first event is
    /// forwarded, and must not block.
    fn record(&self, keys: StreamKeys, origin: Origin, lifetime_ms: u64);

    /// Finds the origin of a stream.
    fn find(&self, stream: StreamId) -> OriginFuture;
}

/// The origins of the streams that this process began.
pub struct LocalOrigins {
    table: Mutex<OriginTable>,
    clock: Arc<dyn Clock>,
}

impl LocalOrigins {
    /// Creates an empty store.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            table: Mutex::default(),
            clock,
        }
    }

    /// Stores an origin.
    pub fn record(&self, keys: StreamKeys, origin: Origin, lifetime_ms: u64) {
        let now = self.clock.now();
        let mut table =
            self.table.lock().unwrap_or_else(PoisonError::into_inner);
        for stream in keys.all() {
            table.record(stream, origin.clone(), lifetime_ms, now);
        }
    }

    /// Returns an origin, if it is stored here.
    pub fn get(&self, stream: StreamKey) -> Option<Origin> {
        let now = self.clock.now();
        let table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        table.find(stream, now).cloned()
    }

    /// Returns the number of stored origins.
    pub fn len(&self) -> usize {
        let table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        table.len()
    }

    /// Reports whether no origin is stored.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl StreamOrigins for LocalOrigins {
    fn record(&self, keys: StreamKeys, origin: Origin, lifetime_ms: u64) {
        Self::record(self, keys, origin, lifetime_ms);
    }

    fn find(&self, stream: StreamId) -> OriginFuture {
        let own = self.get(stream.key());
        let verdict = Lookup::new(stream, 0).with_own(own).time_out();
        Box::pin(std::future::ready(verdict))
    }
}

impl fmt::Debug for LocalOrigins {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LocalOrigins")
            .field("len", &self.len())
            .finish_non_exhaustive()
    }
}
