use std::{
    convert::Infallible,
    future::Future,
    net::SocketAddr,
    pin::{Pin, pin},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use error_stack::{Report, ResultExt};
use fleet::TransferLimits;
use http::{HeaderName, HeaderValue, Request, Response, Version, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    time,
};

use crate::{
    PassError, ResponseBody,
    caller::{CallerStream, ResetFlag},
    channel::set_silence_timeout,
    guard::PanicGuard,
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
    /// Maximum number of open connections. Further ones are closed unread, so
    /// that their clients turn to another node at once.
    pub max_connections: usize,
}

impl Default for ListenerOptions {
    /// The backlog holds the connection attempts of a burst while the
    /// processor is busy. A client that acknowledges nothing for five seconds
    /// has abandoned its request.
    fn default() -> Self {
        Self {
            backlog: 1_024,
            silence_ms: 5_000,
            max_connections: usize::MAX,
        }
    }
}

/// Accepts client connections and serves requests on them.
pub struct Listener {
    socket: TcpListener,
    options: ListenerOptions,
    shutdown: watch::Receiver<ShutdownPhase>,
    open: Arc<AtomicUsize>,
    /// Whether the last connection was refused.
    is_full: bool,
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
            is_full: false,
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
        if !self.is_full {
            self.is_full = true;
            log::warn!(connections = self.options.max_connections;
                "new connections are closed unread: too many are open");
        }
    }

    fn start(&mut self, stream: TcpStream, handler: &Arc<dyn Handler>) {
        if self.open.load(Ordering::Relaxed) >= self.options.max_connections {
            return self.refuse(stream);
        }
        self.is_full = false;
        if let Err(error) =
            set_silence_timeout(&stream, self.options.silence_ms)
        {
            log::debug!(error:%; "a new connection closed early");
            return;
        }
        let open = OpenConnection::new(&self.open);
        let handler = handler.clone();
        let shutdown = self.shutdown.clone();
        tokio::spawn(async move {
            let _open = open;
            serve_connection(stream, handler, shutdown).await;
        });
    }
}

async fn serve_connection(
    stream: TcpStream,
    handler: Arc<dyn Handler>,
    mut shutdown: watch::Receiver<ShutdownPhase>,
) {
    let limits = handler.limits();
    let phase = shutdown.clone();
    let reset = ResetFlag::default();
    let stream = CallerStream::new(stream, reset.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let knows_chunks = request.version() != Version::HTTP_10;
        let id = handler.request_id();
        let id = id.and_then(|name| request.headers().get(name)).cloned();
        let pending = PanicGuard::new(handler.handle(request), id);
        let (phase, reset) = (phase.clone(), reset.clone());
        async move {
            let mut response = pending.await;
            if !knows_chunks {
                response.body_mut().reset_if_incomplete(reset);
            }
            if *phase.borrow() != ShutdownPhase::Running {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    // The only timer of the library before a request also covers idle time,
    // so it is set to the larger of the two limits.
    let timeout_ms = limits.idle_timeout_ms.max(limits.header_timeout_ms);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(timeout_ms))
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let closed = async move {
        let _ = shutdown
            .wait_for(|phase| *phase == ShutdownPhase::Closed)
            .await;
    };
    let ended = tokio::select! {
        result = &mut connection => Some(result),
        () = closed => None,
    };
    let result = match ended {
        Some(result) => result,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
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
