use std::{io, net::SocketAddr, time::Duration};

use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

/// Delay between the loss of a connection and the check of its endpoint, in
/// milliseconds: a process that ends closes its sockets one by one.
const CLOSE_DELAY_MS: u64 = 20;

/// Timeout of a connection to an endpoint that may have crashed, in
/// milliseconds. A host whose process has ended refuses connections at once.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// Reports whether the endpoint at an address has crashed, after a connection
/// to it was lost: the host of a crashed endpoint refuses a new connection.
///
/// An endpoint that only reset a connection accepts new ones, and a host that
/// is partitioned or has lost power does not respond.
///
/// # Example
///
/// ```
/// use pomeloslip_quarantine::has_crashed;
/// use tokio::net::TcpListener;
///
/// # tokio::runtime::Builder::new_current_thread().enable_all().build()?
/// # .block_on(async {
/// let listener = TcpListener::bind("127.0.0.1:0").await?;
/// let address = listener.local_addr()?;
/// assert!(!has_crashed(address).await);
/// drop(listener);
/// assert!(has_crashed(address).await);
/// # Ok::<(), std::io::Error>(())
/// # })?;
/// # Ok::<(), std::io::Error>(())
/// ```
pub async fn has_crashed(address: SocketAddr) -> bool {
    sleep(Duration::from_millis(CLOSE_DELAY_MS)).await;
    let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let connected = timeout(limit, TcpStream::connect(address)).await;
    matches!(
        connected,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused
    )
}
