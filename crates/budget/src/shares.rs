use serde::{Deserialize, Serialize};

/// Shares of a machine's memory for what callers and other nodes make a process
/// hold. The remainder is for the process itself.
///
/// # Example
///
/// ```
/// use pomeloslip_budget::MemoryShares;
///
/// let shares = MemoryShares::of_machine(260_000_000);
/// assert_eq!(shares.callers_bytes, 97_500_000);
/// assert_eq!(shares.max_connections(), 793);
/// assert_eq!(MemoryShares::of_machine(0), MemoryShares::default());
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MemoryShares {
    /// Bodies, their decoded forms, and responses, in bytes.
    pub callers_bytes: u64,
    /// Messages of other nodes, in bytes.
    pub peers_bytes: u64,
    /// Buffers of callers' connections, in bytes.
    pub connections_bytes: u64,
}

/// Memory of a machine whose settings do not tell it.
const DEFAULT_MACHINE_BYTES: u64 = 1_000_000_000;

/// Buffers of a connection that waits for a request or receives a body: the
/// buffer of the HTTP library and that of the socket.
const CONNECTION_BYTES: u64 = 64 * 1024;

impl Default for MemoryShares {
    fn default() -> Self {
        Self::of_machine(DEFAULT_MACHINE_BYTES)
    }
}

impl MemoryShares {
    /// Returns the shares on a machine, whose memory is 0 if it is not known.
    pub fn of_machine(memory_bytes: u64) -> Self {
        let memory_bytes = match memory_bytes {
            0 => DEFAULT_MACHINE_BYTES,
            known => known,
        };
        Self {
            callers_bytes: memory_bytes * 3 / 8,
            peers_bytes: memory_bytes / 8,
            connections_bytes: memory_bytes / 5,
        }
    }

    /// Returns the number of connections whose buffers fit.
    pub fn max_connections(&self) -> usize {
        (self.connections_bytes / CONNECTION_BYTES) as usize
    }
}
