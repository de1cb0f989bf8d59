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
use http::{HeaderValue, Request, Response, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    time,
};

use crate::{PassError, ResponseBody, channel::set_silence_timeout};

/// The future of an answer.
pub type HandlerFuture =
    Pin<Box<dyn Future<Output = Response<ResponseBody>> + Send>>;

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request. The future is dropped when the caller leaves.
    fn handle(&self, request: Request<Incoming>) -> HandlerFuture;

    /// Returns the limits for a new connection.
    fn limits(&self) -> TransferLimits;
}

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ShutdownPhase {
    /// Not at all.
    Running,
    /// Answers end their connections; new connections are still taken.
    Closing,
    /// Idle connections are closed and no new ones are taken.
    Closed,
}

/// Bounds of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ListenerOptions {
    /// Connections that may wait to be accepted.
    pub backlog: u32,
    /// How long sent bytes may stay unacknowledged by a caller.
    pub silence_ms: u64,
}

impl Default for ListenerOptions {
    /// The backlog holds the opening packets of a burst while the processor
    /// is taken; a caller that acknowledges nothing for five seconds has
    /// given up any request.
    fn default() -> Self {
        Self {
            backlog: 1_024,
            silence_ms: 5_000,
        }
    }
}

/// Accepts connections of callers and serves requests on them.
pub struct Listener {
    socket: TcpListener,
    options: ListenerOptions,
    stopping: watch::Receiver<ShutdownPhase>,
    open: Arc<AtomicUsize>,
}

/// Pause after a failed accept, for example without a free descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Smallest buffer that the server library allows.
const LEAST_BUFFER_BYTES: usize = 8_192;

impl Listener {
    /// Listens on an address.
    ///
    /// # Errors
    ///
    /// [`PassError::Listen`] if the address cannot be used.
    pub fn bind(
        address: SocketAddr,
        options: ListenerOptions,
        stopping: watch::Receiver<ShutdownPhase>,
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
            stopping,
            open: Arc::default(),
        })
    }

    /// Returns the address that it listens on.
    ///
    /// # Errors
    ///
    /// [`PassError::Listen`] if the system does not tell.
    pub fn address(&self) -> Result<SocketAddr, Report<PassError>> {
        self.socket.local_addr().change_context(PassError::Listen)
    }

    /// Returns the counter of open connections.
    pub fn open_connections(&self) -> Arc<AtomicUsize> {
        self.open.clone()
    }

    /// Serves until the stop has come to [`ShutdownPhase::Closed`]; connections
    /// with a request end after its answer.
    pub async fn serve(mut self, handler: Arc<dyn Handler>) {
        let mut closed = self.stopping.clone();
        let mut closed =
            pin!(closed.wait_for(|stage| *stage == ShutdownPhase::Closed));
        loop {
            let accepted = tokio::select! {
                biased;
                accepted = self.socket.accept() => accepted,
                _ = &mut closed => return,
            };
            match accepted {
                Ok((stream, _)) => self.start(stream, &handler),
                Err(error) => {
                    log::warn!(error:%; "a connection is not accepted");
                    time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn start(&mut self, stream: TcpStream, handler: &Arc<dyn Handler>) {
        if let Err(error) =
            set_silence_timeout(&stream, self.options.silence_ms)
        {
            log::debug!(error:%; "a new connection has ended already");
            return;
        }
        let open = Open::new(&self.open);
        let handler = handler.clone();
        let stopping = self.stopping.clone();
        tokio::spawn(async move {
            let _open = open;
            connection(stream, handler, stopping).await;
        });
    }
}

async fn connection(
    stream: TcpStream,
    handler: Arc<dyn Handler>,
    mut stopping: watch::Receiver<ShutdownPhase>,
) {
    let limits = handler.limits();
    let stage = stopping.clone();
    let service = service_fn(move |request| {
        let answer = handler.handle(request);
        let stage = stage.clone();
        async move {
            let mut response = answer.await;
            if *stage.borrow() != ShutdownPhase::Running {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    // The library's only timer before a request covers idle time as well,
    // so it is set to the longer of both limits.
    let quiet_ms = limits.idle_timeout_ms.max(limits.header_timeout_ms);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(quiet_ms))
        .max_buf_size(limits.max_header_bytes.max(LEAST_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let closed = async move {
        let _ = stopping
            .wait_for(|stage| *stage == ShutdownPhase::Closed)
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
        log::debug!(error:%; "a caller's connection ended");
    }
}

/// Counts a connection as open while it lives.
struct Open(Arc<AtomicUsize>);

impl Open {
    fn new(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(open.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
