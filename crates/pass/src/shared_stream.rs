use std::{
    io,
    net::Shutdown,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
    net::TcpStream,
};

/// How many bytes of a connection may still be read before the head of a
/// response ends.
///
/// The HTTP library limits a single head, but reads interim responses as long
/// as they come.
#[derive(Clone, Debug)]
pub(crate) struct HeadBudget(Arc<AtomicUsize>);

/// Value of a budget that limits nothing.
const UNLIMITED: usize = usize::MAX;

/// Maximum number of bytes before the end of a head, with what is read of the
/// body in the same call.
const MAX_HEAD_BYTES: usize = 256 * 1024;

impl Default for HeadBudget {
    fn default() -> Self {
        Self(Arc::new(AtomicUsize::new(UNLIMITED)))
    }
}

impl HeadBudget {
    /// Limits what is read until [`lift`](Self::lift).
    pub(crate) fn set(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Ends the limit, since the head has arrived.
    pub(crate) fn lift(&self) {
        self.0.store(UNLIMITED, Ordering::Relaxed);
    }

    fn spend(&self, bytes: usize) -> io::Result<()> {
        let left = self.0.load(Ordering::Relaxed);
        if left == UNLIMITED {
            return Ok(());
        }
        let Some(left) = left.checked_sub(bytes) else {
            let text = "the head of a response has no end";
            return Err(io::Error::new(io::ErrorKind::InvalidData, text));
        };
        self.0.store(left, Ordering::Relaxed);
        Ok(())
    }
}

/// The stream of a connection whose socket options can be changed while the
/// HTTP library owns the stream.
#[derive(Debug)]
pub(crate) struct SharedStream(Arc<TcpStream>, HeadBudget);

impl SharedStream {
    pub(crate) fn new(stream: Arc<TcpStream>, budget: HeadBudget) -> Self {
        Self(stream, budget)
    }

    /// Reads what has arrived.
    ///
    /// A read that does not fill the buffer has emptied that of the socket:
    /// the next one waits for the operating system to report more, instead of
    /// finding out by a call of its own for each event of a stream.
    fn try_read(&self, buf: &mut ReadBuf<'_>) -> io::Result<()> {
        let space = buf.remaining();
        let mut read = 0;
        let result = self.0.try_io(Interest::READABLE, || {
            read = self.0.try_read_buf(buf)?;
            match (1..space).contains(&read) {
                true => Err(io::ErrorKind::WouldBlock.into()),
                false => Ok(()),
            }
        });
        match read {
            0 => result,
            _ => self.1.spend(read),
        }
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.try_read(buf) {
                Err(error) if is_not_ready(&error) => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write(buf) {
                Err(error) if is_not_ready(&error) => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write_vectored(bufs) {
                Err(error) if is_not_ready(&error) => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}

fn is_not_ready(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::WouldBlock
}
