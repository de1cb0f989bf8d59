//! Forwards the bytes of one connection.

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
    counts::Counters,
    effects::{Effects, Flow, RuleSet},
};

/// Size of the read buffer.
const BUFFER_BYTES: usize = 16 << 10;

/// Wait limit when no rule is due to start.
const IDLE_WAIT: Duration = Duration::from_secs(3_600);

/// Ends both directions of a connection by a reset.
pub(crate) struct Reset;

/// A proxied connection with the active rules.
pub(crate) struct Connection {
    pub(crate) client: TcpStream,
    pub(crate) target: TcpStream,
    pub(crate) flow: Flow,
    pub(crate) rule_set: watch::Receiver<Arc<RuleSet>>,
    pub(crate) counters: Arc<Counters>,
}

impl Connection {
    /// Forwards bytes until both ends have closed or a rule resets the
    /// connection.
    pub(crate) async fn run(mut self) {
        let (client_read, client_write) = self.client.split();
        let (target_read, target_write) = self.target.split();
        let pump = |read, write, direction| Pump {
            read,
            write,
            flow: Flow {
                direction,
                ..self.flow
            },
            rule_set: self.rule_set.clone(),
            counters: &self.counters,
            forwarded: 0,
            silent: false,
        };
        let to_target = pump(client_read, target_write, Direction::ToTarget);
        let to_client = pump(target_read, client_write, Direction::ToClient);
        let ended = tokio::try_join!(to_target.run(), to_client.run());
        if ended.is_err() {
            Counters::add(&self.counters.cut, 1);
            reset(&self.client);
            reset(&self.target);
        }
    }
}

/// Sets the linger option so that closing the socket resets the connection:
/// the peer notices immediately and cannot mistake the bytes received so far
/// for the complete stream.
pub(crate) fn reset(stream: &TcpStream) {
    // If the option cannot be set, the connection is closed normally.
    let _ = stream.set_zero_linger();
}

struct Pump<'a> {
    read: ReadHalf<'a>,
    write: WriteHalf<'a>,
    flow: Flow,
    rule_set: watch::Receiver<Arc<RuleSet>>,
    counters: &'a Counters,
    forwarded: u64,
    silent: bool,
}

impl Pump<'_> {
    async fn run(mut self) -> Result<(), Reset> {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let rule_set = self.rule_set.borrow_and_update().clone();
            let now = Instant::now();
            let effects =
                Effects::new(&rule_set, self.flow, self.forwarded, now);
            if effects.cut {
                return Err(Reset);
            }
            if effects.silent && !self.silent {
                self.silent = true;
                Counters::add(&self.counters.silenced, 1);
            }
            if effects.close && !self.silent {
                return self.close().await;
            }
            let remaining = effects.remaining.unwrap_or(u64::MAX);
            let max_read = usize::try_from(remaining).unwrap_or(usize::MAX);
            let max_read = max_read.min(BUFFER_BYTES);
            let wake = effects.wake.unwrap_or(now + IDLE_WAIT);
            let read = tokio::select! {
                biased;
                changed = self.rule_set.changed() => match changed {
                    Ok(()) => continue,
                    // The proxy has stopped.
                    Err(_) => return Err(Reset),
                },
                () = sleep_until(wake) => continue,
                read = self.read.read(&mut buffer[..max_read]),
                    if !effects.hold => read,
            };
            match read {
                Ok(0) if self.silent => return Ok(()),
                Ok(0) => return self.close().await,
                Ok(count) => self.forward(&buffer[..count], &effects).await?,
                Err(_) if self.silent => return Ok(()),
                Err(_) => return Err(Reset),
            }
        }
    }

    async fn forward(
        &mut self,
        bytes: &[u8],
        effects: &Effects,
    ) -> Result<(), Reset> {
        if self.silent {
            Counters::add(&self.counters.lost_bytes, bytes.len() as u64);
            return Ok(());
        }
        if !effects.delay.is_zero() {
            self.pause(effects.delay).await?;
        }
        self.write(bytes).await.map_err(|_| Reset)?;
        if let Some(bytes_per_s) = effects.bytes_per_s {
            let ms = bytes.len() as u64 * 1_000 / bytes_per_s;
            self.pause(Duration::from_millis(ms)).await?;
        }
        Ok(())
    }

    /// Sleeps; fails with [`Reset`] if the proxy stops meanwhile.
    async fn pause(&mut self, time: Duration) -> Result<(), Reset> {
        tokio::select! {
            () = sleep(time) => Ok(()),
            () = proxy_stopped(self.rule_set.clone()) => Err(Reset),
        }
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write.write_all(bytes).await?;
        self.forwarded += bytes.len() as u64;
        let counter = match self.flow.direction {
            Direction::ToClient => &self.counters.to_client_bytes,
            _ => &self.counters.to_target_bytes,
        };
        Counters::add(counter, bytes.len() as u64);
        Ok(())
    }

    async fn close(&mut self) -> Result<(), Reset> {
        self.write.shutdown().await.map_err(|_| Reset)
    }
}

async fn proxy_stopped(mut rule_set: watch::Receiver<Arc<RuleSet>>) {
    while rule_set.changed().await.is_ok() {}
}
