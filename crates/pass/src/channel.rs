use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Weak},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, header};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::AbortHandle, time};

use crate::{
    connection_use::ConnectionUse,
    shared_stream::{HeadBudget, SharedStream},
};

/// Limits of the connections to endpoints.
///
/// # Example
///
/// ```
/// use pomeloslip_pass::ChannelOptions;
///
/// let options = ChannelOptions::default();
/// assert!(options.connect_timeout_ms < options.silence_ms);
/// assert!(options.silence_ms < options.request_silence_ms);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ChannelOptions {
    /// Timeout for opening a connection.
    pub connect_timeout_ms: u64,
    /// Time that sent bytes may stay unacknowledged, or an idle peer silent,
    /// before a connection without a request at an endpoint counts as dead.
    pub silence_ms: u64,
    /// The same while an endpoint has a request on the connection. A sound
    /// endpoint may be silent, or the path to it broken, for a few seconds,
    /// and its response is lost with the connection.
    pub request_silence_ms: u64,
    /// Time before the idle timeout of the endpoint at which an idle
    /// connection is discarded.
    pub idle_margin_ms: u64,
}

impl Default for ChannelOptions {
    /// A new connection inside a region takes a few milliseconds, and a lost
    /// SYN packet is retransmitted after one second: waiting longer than
    /// 400 ms costs more than trying another endpoint. A silence of 1,500 ms
    /// covers several retransmissions; a dead connection without a request
    /// costs only a new one. With a request, the limit covers pauses of three
    /// seconds and the retransmission that follows them.
    fn default() -> Self {
        Self {
            connect_timeout_ms: 400,
            silence_ms: 1_500,
            request_silence_ms: 5_000,
            idle_margin_ms: 400,
        }
    }
}

/// Maximum number of bytes of a connection that are buffered, which also
/// limits the head of a response. A faulty endpoint may send a head without
/// end on each connection.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// A connection to an endpoint, which carries one request at a time.
#[derive(Debug)]
pub(crate) struct Channel {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// Weak, so that the socket closes when its connection ends.
    stream: Weak<TcpStream>,
    head_budget: HeadBudget,
    idle_since: Instant,
    max_idle: Option<Duration>,
    /// Id of the last request, empty if it had none.
    last_request: String,
    /// The request that it carries.
    current: ConnectionUse,
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
    set_user_timeout(stream, silence_ms)?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&probes)
}

/// Minimum keep-alive interval that the kernel accepts.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Unanswered keep-alive probes after which a connection counts as dead where
/// the limit in milliseconds does not decide that: more than fit into it, since
/// some systems count them from the last data and not from the last reply.
const KEEPALIVE_RETRIES: u32 = 60;

/// Sets how long sent bytes and probes may stay unacknowledged.
fn set_user_timeout(stream: &TcpStream, silence_ms: u64) -> io::Result<()> {
    let silence = Duration::from_millis(silence_ms);
    SockRef::from(stream).set_tcp_user_timeout(Some(silence))
}

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
        let port = stream.local_addr()?.port();
        let stream = Arc::new(stream);
        let handle = Arc::downgrade(&stream);
        let head_budget = HeadBudget::default();
        let io = TokioIo::new(SharedStream::new(stream, head_budget.clone()));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(io)
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
            stream: handle,
            head_budget,
            idle_since: Instant::now(),
            max_idle: None,
            last_request: String::new(),
            current: ConnectionUse { port, request: 0 },
        })
    }

    pub(crate) fn sender(&mut self) -> &mut SendRequest<Full<Bytes>> {
        &mut self.sender
    }

    /// Counts a request that is about to be sent, and limits the head of its
    /// response.
    pub(crate) fn expect_head(&mut self) {
        self.current.request = self.current.request.saturating_add(1);
        self.head_budget.set();
    }

    /// Returns the request that the connection carries.
    pub(crate) fn current(&self) -> ConnectionUse {
        self.current
    }

    /// Records that the head of a response has arrived, and the idle timeout
    /// that it announces.
    pub(crate) fn record_head(
        &mut self,
        headers: &HeaderMap,
        options: &ChannelOptions,
    ) {
        self.head_budget.lift();
        let Some(seconds) = keep_alive_seconds(headers) else {
            return;
        };
        let timeout = Duration::from_secs(seconds);
        let margin = Duration::from_millis(options.idle_margin_ms);
        self.max_idle = Some(timeout.saturating_sub(margin));
    }

    /// Records that an endpoint gets a request on the connection.
    pub(crate) fn mark_busy(
        &mut self,
        options: &ChannelOptions,
        request_id: &str,
    ) {
        request_id.clone_into(&mut self.last_request);
        self.expect_head();
        self.set_silence(options.request_silence_ms);
    }

    /// Reports whether the response to a request with this id can be told from
    /// a duplicate of the previous response on this connection.
    ///
    /// A request is offered again under its id, so the id alone does not tell
    /// a duplicate of the refusal of the first offer from the response to the
    /// second.
    pub(crate) fn can_identify(&self, request_id: &str) -> bool {
        !request_id.is_empty() && request_id != self.last_request
    }

    /// Starts the idle timer.
    pub(crate) fn mark_idle(&mut self, options: &ChannelOptions) {
        self.idle_since = Instant::now();
        self.set_silence(options.silence_ms);
    }

    fn set_silence(&self, silence_ms: u64) {
        let Some(stream) = self.stream.upgrade() else {
            return;
        };
        if let Err(error) = set_user_timeout(&stream, silence_ms) {
            log::debug!(error:%; "a connection keeps its former time-out");
        }
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
