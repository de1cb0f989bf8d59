use std::time::Duration;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    time,
};

use crate::caller::CallerStream;

/// How long a caller that was refused may go on sending.
///
/// A connection that is closed with unread bytes is reset, and a caller that
/// still sends loses the response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LingerLimits {
    /// Maximum number of bytes that are read and discarded.
    pub bytes: u64,
    /// Maximum time, in milliseconds.
    pub timeout_ms: u64,
}

impl Default for LingerLimits {
    /// Enough for a body of several times the largest legal size.
    fn default() -> Self {
        Self {
            bytes: 64 * 1024 * 1024,
            timeout_ms: 2_000,
        }
    }
}

/// Size of the buffer for discarded bytes.
const DISCARD_BYTES: usize = 8 * 1024;

/// Ends the sending half of a connection and discards what still arrives.
pub(crate) async fn linger(mut stream: CallerStream, limits: LingerLimits) {
    let discard = async {
        stream.shutdown().await?;
        let mut buffer = vec![0; DISCARD_BYTES];
        let mut discarded = 0;
        while discarded < limits.bytes {
            match stream.read(&mut buffer).await? {
                0 => break,
                read => discarded += read as u64,
            }
        }
        Ok::<(), std::io::Error>(())
    };
    // The connection is closed in any case.
    let _ =
        time::timeout(Duration::from_millis(limits.timeout_ms), discard).await;
}
