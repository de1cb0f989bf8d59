use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{self, Sleep},
};

use crate::connection::CallerConnection;

/// Whether a connection to a client has to be reset instead of closed.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResetFlag(Arc<AtomicBool>);

impl ResetFlag {
    /// Makes the connection end with a reset.
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// The connection to a client, which can be ended with a reset.
///
/// An HTTP/1.0 client knows no chunks: unless the response has a length, the
/// end of the connection is its end. Only a reset shows such a client that
/// the response is incomplete.
///
/// A client that reads nothing for some time ends the connection, too: the
/// response that it was sent would stay in memory.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    reset: ResetFlag,
    connection: CallerConnection,
    read_timeout: Duration,
    /// Runs while the client does not read.
    blocked: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    pub(crate) fn new(
        stream: TcpStream,
        reset: ResetFlag,
        connection: CallerConnection,
        read_timeout: Duration,
    ) -> Self {
        Self {
            stream,
            reset,
            connection,
            read_timeout,
            blocked: None,
        }
    }

    /// Reports whether the response may end in order.
    pub(crate) fn is_sound(&self) -> bool {
        !self.reset.is_set()
    }

    /// Observes the result of a write.
    fn watch_write<T>(
        &mut self,
        written: Poll<io::Result<T>>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            if self.blocked.take().is_some() {
                self.connection.unblocked();
            }
            return written;
        }
        let blocked = self.blocked.get_or_insert_with(|| {
            self.connection.blocked();
            Box::pin(time::sleep(self.read_timeout))
        });
        match blocked.as_mut().poll(cx) {
            Poll::Ready(()) => {
                let reason = "the client does not read";
                let kind = io::ErrorKind::TimedOut;
                Poll::Ready(Err(io::Error::new(kind, reason)))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    /// Makes the operating system reset the connection when it is closed.
    fn prepare_reset(&self) {
        let socket = SockRef::from(&self.stream);
        if let Err(error) = socket.set_linger(Some(Duration::ZERO)) {
            log::warn!(error:%; "a client connection cannot be reset");
        }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if self.reset.is_set() {
            self.prepare_reset();
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.watch_write(written, cx)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        // An orderly shutdown would mark the response as complete.
        if self.reset.is_set() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let stream = Pin::new(&mut self.stream);
        let written = stream.poll_write_vectored(cx, bufs);
        self.watch_write(written, cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
