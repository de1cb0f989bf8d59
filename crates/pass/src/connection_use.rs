use std::{
    fmt,
    sync::atomic::{AtomicU64, Ordering},
};

/// A connection to an endpoint and the request that it carries, for logs: the
/// local port and the number of the request, which is 1 on a new connection.
///
/// It reads like `40312#3`, and is empty if there is no connection.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct ConnectionUse {
    pub(crate) port: u16,
    pub(crate) request: u32,
}

impl fmt::Display for ConnectionUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.request {
            0 => Ok(()),
            request => write!(f, "{}#{request}", self.port),
        }
    }
}

/// The connection that an offer uses at the moment. It is known even if the
/// offer is given up before its end.
#[derive(Debug, Default)]
pub(crate) struct CurrentConnection(AtomicU64);

/// Bits of the number of the request.
const REQUEST_BITS: u32 = 32;

impl CurrentConnection {
    pub(crate) fn set(&self, used: ConnectionUse) {
        let port = u64::from(used.port) << REQUEST_BITS;
        self.0
            .store(port | u64::from(used.request), Ordering::Relaxed);
    }

    pub(crate) fn get(&self) -> ConnectionUse {
        let packed = self.0.load(Ordering::Relaxed);
        ConnectionUse {
            port: (packed >> REQUEST_BITS) as u16,
            request: packed as u32,
        }
    }
}
