//! Counts what companions and entries say to each other.

use std::{
    net::{SocketAddr, TcpListener as StdListener},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
};

const BUFFER_BYTES: usize = 64 << 10;

/// Bytes that went through relays, and in how many pieces.
#[derive(Debug, Default)]
pub(crate) struct Relayed {
    pub(crate) bytes: AtomicU64,
    pub(crate) pieces: AtomicU64,
}

/// Starts a relay to an address and returns its own.
///
/// It runs until the runtime ends.
pub(crate) fn relay(
    to: SocketAddr,
    relayed: Arc<Relayed>,
) -> std::io::Result<SocketAddr> {
    let listener = StdListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    tokio::spawn(async move {
        while let Ok((from, _)) = listener.accept().await {
            tokio::spawn(connect(from, to, relayed.clone()));
        }
    });
    Ok(address)
}

async fn connect(from: TcpStream, to: SocketAddr, relayed: Arc<Relayed>) {
    let Ok(to) = TcpStream::connect(to).await else {
        return;
    };
    let _ = from.set_nodelay(true);
    let _ = to.set_nodelay(true);
    let (from_read, from_write) = from.into_split();
    let (to_read, to_write) = to.into_split();
    tokio::join!(
        copy(from_read, to_write, &relayed),
        copy(to_read, from_write, &relayed),
    );
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    relayed: &Relayed,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        relayed.bytes.fetch_add(count as u64, Ordering::Relaxed);
        relayed.pieces.fetch_add(1, Ordering::Relaxed);
        if to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
}
