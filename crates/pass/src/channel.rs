use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, header};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::AbortHandle, time};

/// Bounds of the connections to endpoints.
///
/// # Example
///
/// ```
/// use pomeloslip_pass::ChannelOptions;
///
/// let options = ChannelOptions::default();
/// assert!(options.connect_timeout_ms < options.silence_ms);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ChannelOptions {
    /// Longest wait for a new connection.
    pub connect_timeout_ms: u64,
    /// How long sent bytes may stay unacknowledged, and an idle peer
    /// unheard, before the connection counts as dead.
    pub silence_ms: u64,
    /// How much earlier than the endpoint an idle connection is given up.
    pub idle_margin_ms: u64,
}

impl Default for ChannelOptions {
    /// A new connection inside a region takes a few milliseconds, a lost
    /// opening packet is sent again after a second: waiting longer than 400
    /// ms costs more than another endpoint. 1,500 ms of silence are several
    /// retransmissions.
    fn default() -> Self {
        Self {
            connect_timeout_ms: 400,
            silence_ms: 1_500,
            idle_margin_ms: 400,
        }
    }
}

/// One connection to an endpoint, which carries one request at a time.
#[derive(Debug)]
pub(crate) struct Channel {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    idle_since: Instant,
    usable_for: Option<Duration>,
}

/// Sets the options that end a silent connection.
///
/// What goes wrong without it: something between two machines forgets a
/// connection, packets vanish, and the kernel goes on sending for minutes.
/// One sees requests that wait to their deadline while new connections to
/// the same address work. The kernel then reports an error in about
/// `silence_ms`.
pub(crate) fn set_silence_timeout(
    stream: &TcpStream,
    silence_ms: u64,
) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(Duration::from_millis(silence_ms)))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&probes)
}

/// Shortest time that the kernel takes for keep-alive probes.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Probes without an answer after which the connection counts as dead.
const KEEPALIVE_RETRIES: u32 = 2;

impl Channel {
    /// Opens a connection.
    pub(crate) async fn open(
        address: SocketAddr,
        options: &ChannelOptions,
    ) -> io::Result<Self> {
        let wait = Duration::from_millis(options.connect_timeout_ms);
        let stream =
            time::timeout(wait, TcpStream::connect(address)).await??;
        set_silence_timeout(&stream, options.silence_ms)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(peer:% = address, error:%; "a connection ended");
            }
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
            idle_since: Instant::now(),
            usable_for: None,
        })
    }

    pub(crate) fn sender(&mut self) -> &mut SendRequest<Full<Bytes>> {
        &mut self.sender
    }

    /// Takes note of what an answer says about idle time.
    pub(crate) fn note_keep_alive(
        &mut self,
        headers: &HeaderMap,
        options: &ChannelOptions,
    ) {
        let Some(seconds) = keep_alive_seconds(headers) else {
            return;
        };
        let all = Duration::from_secs(seconds);
        let margin = Duration::from_millis(options.idle_margin_ms);
        self.usable_for = Some(all.saturating_sub(margin));
    }

    /// Starts the idle time.
    pub(crate) fn mark_idle(&mut self) {
        self.idle_since = Instant::now();
    }

    /// Tells whether it may not be used any more.
    pub(crate) fn is_expired(&self) -> bool {
        let over = self
            .usable_for
            .is_some_and(|most| self.idle_since.elapsed() >= most);
        over || self.sender.is_closed()
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns what closes the connection from elsewhere.
    pub(crate) fn abort_handle(&self) -> AbortHandle {
        self.task.clone()
    }

    /// Closes the connection now, also in the middle of an answer, so that
    /// the endpoint stops its work.
    pub(crate) fn abort(&self) {
        self.task.abort();
    }
}

fn keep_alive_seconds(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let part = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    part.trim().parse().ok()
}

/// Tells whether the sender of an answer closes the connection after it.
pub(crate) fn closes_connection(headers: &HeaderMap) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .any(|part| part.trim().eq_ignore_ascii_case("close"))
}
