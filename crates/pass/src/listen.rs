use std::{
    convert::Infallible,
    future::{Future, poll_fn},
    net::SocketAddr,
    pin::{Pin, pin},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use error_stack::{Report, ResultExt};
use fleet::TransferLimits;
use http::{HeaderName, HeaderValue, Request, Response, Version, header};
use http_body::Body;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    time,
};

use crate::{
    PassError, ResponseBody,
    caller::{CallerStream, ResetFlag},
    channel::set_silence_timeout,
    connection::{Accepted, CallerConnection, ConnectionCounts, Connections},
    guard::PanicGuard,
    linger::{LingerLimits, linger},
};

/// The future of a response.
pub type HandlerFuture =
    Pin<Box<dyn Future<Output = Response<ResponseBody>> + Send>>;

/// Handles requests.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request. The future is dropped when the client disconnects.
    fn handle(&self, request: Request<Incoming>) -> HandlerFuture;

    /// Returns the limits for a new connection.
    fn limits(&self) -> TransferLimits;

    /// Returns the name of the header with the id of a request, for logs.
    fn request_id(&self) -> Option<&HeaderName> {
        None
    }
}

/// The phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ShutdownPhase {
    /// No shutdown was requested.
    Running,
    /// Each response closes its connection; new connections are accepted.
    Closing,
    /// Idle connections are closed and new connections are not accepted.
    Closed,
}

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ListenerOptions {
    /// Maximum number of connections that wait to be accepted.
    pub backlog: u32,
    /// Time that sent bytes may stay unacknowledged by a client.
    pub silence_ms: u64,
    /// Maximum number of open connections. A further one gets the place of one
    /// that has no use, or is closed unread, so that its client turns to
    /// another node at once.
    pub max_connections: usize,
    /// Size of each socket's buffers in bytes, if it is fixed.
    pub socket_buffer_bytes: Option<u32>,
    /// Time for which a client may read nothing of a response, in milliseconds.
    pub read_timeout_ms: u64,
    /// How long a client that was refused may go on sending.
    pub linger: LingerLimits,
}

/// Default time for which a client may read nothing of a response.
const READ_TIMEOUT_MS: u64 = 30_000;

impl Default for ListenerOptions {
    /// The backlog holds the connection attempts of a burst while the
    /// processor is busy. A client that acknowledges nothing for five seconds
    /// has abandoned its request.
    fn default() -> Self {
        Self {
            backlog: 1_024,
            silence_ms: 5_000,
            max_connections: usize::MAX,
            socket_buffer_bytes: None,
            read_timeout_ms: READ_TIMEOUT_MS,
            linger: LingerLimits::default(),
        }
    }
}

/// Accepts client connections and serves requests on them.
pub struct Listener {
    socket: TcpListener,
    options: ListenerOptions,
    shutdown: watch::Receiver<ShutdownPhase>,
    open: Arc<AtomicUsize>,
    connections: Arc<Connections>,
    full_log: LogPause,
    evicted_log: LogPause,
}

/// Minimum time between two log lines of the same kind about connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Bounds the number of log lines.
#[derive(Debug, Default)]
struct LogPause(Option<Instant>);

impl LogPause {
    fn may_log(&mut self) -> bool {
        let is_due = self.0.is_none_or(|at| at.elapsed() >= LOG_INTERVAL);
        if is_due {
            self.0 = Some(Instant::now());
        }
        is_due
    }
}

/// Pause after a failed accept, for example without a free file descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Minimum buffer size that the server library allows.
const MIN_BUFFER_BYTES: usize = 8_192;

impl Listener {
    /// Binds a listener to an address.
    ///
    /// # Errors
    ///
    /// [`PassError::Listen`] if the address cannot be used.
    pub fn bind(
        address: SocketAddr,
        options: ListenerOptions,
        shutdown: watch::Receiver<ShutdownPhase>,
    ) -> Result<Self, Report<PassError>> {
        let bind = || {
            let socket = TcpSocket::new_v4()?;
            socket.set_reuseaddr(true)?;
            if let Some(bytes) = options.socket_buffer_bytes {
                // Accepted connections have the buffers of the listener.
                socket.set_recv_buffer_size(bytes)?;
                socket.set_send_buffer_size(bytes)?;
            }
            socket.bind(address)?;
            socket.listen(options.backlog)
        };
        let socket = bind()
            .change_context(PassError::Listen)
            .attach_with(|| address.to_string())?;
        Ok(Self {
            socket,
            options,
            shutdown,
            open: Arc::default(),
            connections: Connections::new(options.max_connections),
            full_log: LogPause::default(),
            evicted_log: LogPause::default(),
        })
    }

    /// Returns the local address.
    ///
    /// # Errors
    ///
    /// [`PassError::Listen`] if the operating system does not report it.
    pub fn address(&self) -> Result<SocketAddr, Report<PassError>> {
        self.socket.local_addr().change_context(PassError::Listen)
    }

    /// Returns the counter of open connections.
    pub fn open_connections(&self) -> Arc<AtomicUsize> {
        self.open.clone()
    }

    /// Returns a function that counts the connections that were not served.
    pub fn unserved_connections(
        &self,
    ) -> impl Fn() -> ConnectionCounts + Send + Sync + 'static {
        let connections = self.connections.clone();
        move || connections.counts()
    }

    /// Serves until the shutdown reaches [`ShutdownPhase::Closed`].
    /// Connections with a request in flight close after its response.
    pub async fn serve(mut self, handler: Arc<dyn Handler>) {
        let mut closed = self.shutdown.clone();
        let mut closed =
            pin!(closed.wait_for(|phase| *phase == ShutdownPhase::Closed));
        loop {
            let accepted = tokio::select! {
                biased;
                accepted = self.socket.accept() => accepted,
                _ = &mut closed => return,
            };
            match accepted {
                Ok((stream, _)) => self.start(stream, &handler),
                Err(error) => {
                    log::warn!(error:%; "cannot accept a connection");
                    time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Closes a connection whose request was not read.
    fn refuse(&mut self, stream: TcpStream) {
        drop(stream);
        if self.full_log.may_log() {
            log::warn!(connections = self.options.max_connections;
                "new connections are closed unread: too many are open");
        }
    }

    fn start(&mut self, stream: TcpStream, handler: &Arc<dyn Handler>) {
        let Some(accepted) = self.connections.open() else {
            return self.refuse(stream);
        };
        let Accepted {
            connection,
            evicted,
        } = accepted;
        if let Some(evicted) = evicted
            && self.evicted_log.may_log()
        {
            log::warn!(connections = self.options.max_connections, evicted;
                "connections without use are closed: too many are open");
        }
        if let Err(error) =
            set_silence_timeout(&stream, self.options.silence_ms)
        {
            log::debug!(error:%; "a new connection closed early");
            return;
        }
        let open = OpenConnection::new(&self.open);
        let handler = handler.clone();
        let shutdown = self.shutdown.clone();
        let options = self.options;
        tokio::spawn(async move {
            let _open = open;
            let evicted = connection.clone();
            tokio::select! {
                biased;
                () = evicted.evicted() => {}
                () = serve_connection(
                    stream, connection, handler, shutdown, options,
                ) => {}
            }
        });
    }
}

async fn serve_connection(
    stream: TcpStream,
    connection: CallerConnection,
    handler: Arc<dyn Handler>,
    mut shutdown: watch::Receiver<ShutdownPhase>,
    options: ListenerOptions,
) {
    let limits = handler.limits();
    let phase = shutdown.clone();
    let reset = ResetFlag::default();
    let read_timeout = Duration::from_millis(options.read_timeout_ms);
    let stream = CallerStream::new(
        stream,
        reset.clone(),
        connection.clone(),
        read_timeout,
    );
    // Whether the client may still send a body that is not read.
    let is_unread = Arc::new(AtomicBool::new(false));
    let unread = is_unread.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        let knows_chunks = request.version() != Version::HTTP_10;
        let has_body = !request.body().is_end_stream();
        let id = handler.request_id();
        let id = id.and_then(|name| request.headers().get(name)).cloned();
        connection.serving();
        request.extensions_mut().insert(connection.clone());
        let pending = PanicGuard::new(handler.handle(request), id);
        let (phase, reset) = (phase.clone(), reset.clone());
        let (connection, unread) = (connection.clone(), unread.clone());
        Box::pin(async move {
            let mut response = pending.await;
            let is_refused = !response.status().is_success();
            unread.store(has_body && is_refused, Ordering::Relaxed);
            let body = response.body_mut();
            body.release_at_end(connection);
            if !knows_chunks {
                body.reset_if_incomplete(reset);
            }
            if *phase.borrow() != ShutdownPhase::Running {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        })
    });
    // The only timer of the library before a request also covers idle time,
    // so it is set to the larger of the two limits.
    let timeout_ms = limits.idle_timeout_ms.max(limits.header_timeout_ms);
    let mut http = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(timeout_ms))
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let closed = async move {
        let _ = shutdown
            .wait_for(|phase| *phase == ShutdownPhase::Closed)
            .await;
    };
    let ended = tokio::select! {
        result = poll_fn(|cx| http.poll_without_shutdown(cx)) => Some(result),
        () = closed => None,
    };
    let result = match ended {
        Some(result) => result,
        None => {
            Pin::new(&mut http).graceful_shutdown();
            poll_fn(|cx| http.poll_without_shutdown(cx)).await
        }
    };
    let stream = http.into_parts().io.into_inner();
    match result {
        Ok(()) if is_unread.load(Ordering::Relaxed) => {
            linger(stream, options.linger).await;
        }
        Ok(()) if stream.is_sound() => close(stream).await,
        Ok(()) => {}
        Err(error) => {
            log::debug!(error:%; "a client connection failed");
            // A malformed head was refused.
            if error.is_parse() {
                linger(stream, options.linger).await;
            }
        }
    }
}

/// Ends a connection in order.
async fn close(mut stream: CallerStream) {
    if let Err(error) = stream.shutdown().await {
        log::debug!(error:%; "a client connection failed");
    }
}

/// Counts a connection as open until dropped.
struct OpenConnection(Arc<AtomicUsize>);

impl OpenConnection {
    fn new(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(open.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
