//! Passes the bytes of one connection on.

use std::{io, sync::Arc};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::watch,
    time::{Duration, Instant, sleep, sleep_until},
};

use crate::{
    Direction,
    counts::Tally,
    effects::{Effects, Script, Way},
};

/// Bytes that are read at once.
const BUFFER_BYTES: usize = 16 << 10;

/// Longest wait when nothing is due.
const FAR: Duration = Duration::from_secs(3_600);

/// How both directions end at once.
pub(crate) struct Reset;

/// One connection with its rules.
pub(crate) struct Connection {
    pub(crate) client: TcpStream,
    pub(crate) target: TcpStream,
    pub(crate) way: Way,
    pub(crate) script: watch::Receiver<Arc<Script>>,
    pub(crate) tally: Arc<Tally>,
}

impl Connection {
    /// Passes bytes on until both ends have closed or a rule cuts.
    pub(crate) async fn run(mut self) {
        let (client_read, client_write) = self.client.split();
        let (target_read, target_write) = self.target.split();
        let pump = |read, write, direction| Pump {
            read,
            write,
            way: Way {
                direction,
                ..self.way
            },
            script: self.script.clone(),
            tally: &self.tally,
            passed: 0,
            silent: false,
        };
        let there = pump(client_read, target_write, Direction::ToTarget);
        let back = pump(target_read, client_write, Direction::ToClient);
        let ended = tokio::try_join!(there.run(), back.run());
        if ended.is_err() {
            Tally::add(&self.tally.cut, 1);
            reset(&self.client);
            reset(&self.target);
        }
    }
}

/// Makes the close of a connection a reset, so that its end learns of it at
/// once and cannot take what came so far for all.
pub(crate) fn reset(stream: &TcpStream) {
    // If the option cannot be set, the connection is closed in order.
    let _ = stream.set_zero_linger();
}

struct Pump<'a> {
    read: ReadHalf<'a>,
    write: WriteHalf<'a>,
    way: Way,
    script: watch::Receiver<Arc<Script>>,
    tally: &'a Tally,
    passed: u64,
    silent: bool,
}

impl Pump<'_> {
    async fn run(mut self) -> Result<(), Reset> {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let script = self.script.borrow_and_update().clone();
            let now = Instant::now();
            let effects = Effects::new(&script, self.way, self.passed, now);
            if effects.cut {
                return Err(Reset);
            }
            if effects.silent && !self.silent {
                self.silent = true;
                Tally::add(&self.tally.silenced, 1);
            }
            if effects.close && !self.silent {
                return self.close().await;
            }
            let room = effects.room.unwrap_or(u64::MAX);
            let most = usize::try_from(room).unwrap_or(usize::MAX);
            let most = most.min(BUFFER_BYTES);
            let wake = effects.wake.unwrap_or(now + FAR);
            let read = tokio::select! {
                biased;
                changed = self.script.changed() => match changed {
                    Ok(()) => continue,
                    // The proxy has stopped.
                    Err(_) => return Err(Reset),
                },
                () = sleep_until(wake) => continue,
                read = self.read.read(&mut buffer[..most]) => read,
            };
            match read {
                Ok(0) if self.silent => return Ok(()),
                Ok(0) => return self.close().await,
                Ok(count) => self.pass(&buffer[..count], &effects).await?,
                Err(_) if self.silent => return Ok(()),
                Err(_) => return Err(Reset),
            }
        }
    }

    async fn pass(
        &mut self,
        bytes: &[u8],
        effects: &Effects,
    ) -> Result<(), Reset> {
        if self.silent {
            Tally::add(&self.tally.lost_bytes, bytes.len() as u64);
            return Ok(());
        }
        if !effects.delay.is_zero() {
            self.hold(effects.delay).await?;
        }
        self.write(bytes).await.map_err(|_| Reset)?;
        if let Some(bytes_per_s) = effects.bytes_per_s {
            let ms = bytes.len() as u64 * 1_000 / bytes_per_s;
            self.hold(Duration::from_millis(ms)).await?;
        }
        Ok(())
    }

    /// Waits, but not past the end of the proxy.
    async fn hold(&mut self, time: Duration) -> Result<(), Reset> {
        tokio::select! {
            () = sleep(time) => Ok(()),
            () = stopped(self.script.clone()) => Err(Reset),
        }
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write.write_all(bytes).await?;
        self.passed += bytes.len() as u64;
        let counter = match self.way.direction {
            Direction::ToClient => &self.tally.to_client_bytes,
            _ => &self.tally.to_target_bytes,
        };
        Tally::add(counter, bytes.len() as u64);
        Ok(())
    }

    async fn close(&mut self) -> Result<(), Reset> {
        self.write.shutdown().await.map_err(|_| Reset)
    }
}

async fn stopped(mut script: watch::Receiver<Arc<Script>>) {
    while script.changed().await.is_ok() {}
}
