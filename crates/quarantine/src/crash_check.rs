use std::{io, net::SocketAddr, time::Duration};

use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

/// Time between a broken connection and the look at its endpoint, in
/// milliseconds: a process that ends closes one socket after the other.
const SETTLE_MS: u64 = 20;

/// Longest wait for a connection to an endpoint that may have crashed, in
/// milliseconds. A host whose process has ended refuses it at once.
const CONNECT_MS: u64 = 300;

/// Tells whether the endpoint at an address has crashed, after a connection
/// to it broke: its host refuses another one.
///
/// An endpoint that has only reset a connection takes new ones, and a host
/// that is cut off or has lost power does not answer.
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
    sleep(Duration::from_millis(SETTLE_MS)).await;
    let wait = Duration::from_millis(CONNECT_MS);
    let connected = timeout(wait, TcpStream::connect(address)).await;
    matches!(
        connected,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused
    )
}
