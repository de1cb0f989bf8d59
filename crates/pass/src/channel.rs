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

/// Limits of the connections to endpoints.
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
    /// Timeout for opening a connection.
    pub connect_timeout_ms: u64,
    /// Time that sent bytes may stay unacknowledged, or an idle peer silent,
    /// before the connection counts as dead.
    pub silence_ms: u64,
    /// Time before the idle timeout of the endpoint at which an idle
    /// connection is discarded.
    pub idle_margin_ms: u64,
}

impl Default for ChannelOptions {
    /// A new connection inside a region takes a few milliseconds, and a lost
    /// SYN packet is retransmitted after one second: waiting longer than
    /// 400 ms costs more than trying another endpoint. A silence of 1,500 ms
    /// covers several retransmissions.
    fn default() -> Self {
        Self {
            connect_timeout_ms: 400,
            silence_ms: 1_500,
            idle_margin_ms: 400,
        }
    }
}

/// A connection to an endpoint, which carries one request at a time.
#[derive(Debug)]
pub(crate) struct Channel {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    idle_since: Instant,
    max_idle: Option<Duration>,
}

/// Sets the socket options that close a silent connection.
///
/// If a device between two machines drops the state of a connection, packets
/// vanish and the kernel retransmits for minutes: requests wait until their
/// deadline while new connections to the same address work. With these
/// options the kernel reports an error after about `silence_ms`.
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

/// Minimum keep-alive interval that the kernel accepts.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Unanswered keep-alive probes after which the connection counts as dead.
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
                log::debug!(
                    peer:% = address,
                    error:%;
                    "an endpoint connection failed"
                );
            }
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
            idle_since: Instant::now(),
            max_idle: None,
        })
    }

    pub(crate) fn sender(&mut self) -> &mut SendRequest<Full<Bytes>> {
        &mut self.sender
    }

    /// Records the idle timeout that a response announces.
    pub(crate) fn note_keep_alive(
        &mut self,
        headers: &HeaderMap,
        options: &ChannelOptions,
    ) {
        let Some(seconds) = keep_alive_seconds(headers) else {
            return;
        };
        let timeout = Duration::from_secs(seconds);
        let margin = Duration::from_millis(options.idle_margin_ms);
        self.max_idle = Some(timeout.saturating_sub(margin));
    }

    /// Starts the idle timer.
    pub(crate) fn mark_idle(&mut self) {
        self.idle_since = Instant::now();
    }

    /// Returns whether the connection must not be reused.
    pub(crate) fn is_expired(&self) -> bool {
        let idle_too_long = self
            .max_idle
            .is_some_and(|max| self.idle_since.elapsed() >= max);
        idle_too_long || self.sender.is_closed()
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns a handle that closes the connection from another task.
    pub(crate) fn abort_handle(&self) -> AbortHandle {
        self.task.clone()
    }

    /// Closes the connection immediately, even during a response, so that the
    /// endpoint stops its work.
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

/// Returns whether the sender of a response closes the connection after it.
pub(crate) fn closes_connection(headers: &HeaderMap) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .any(|part| part.trim().eq_ignore_ascii_case("close"))
}
