//! Stores at a few other nodes which version began each resumable stream.
//!
//! The front that forwards the first event of a stream sends its origin to the
//! holders of the client's attempt. A front at which a client resumes the
//! stream asks them, unless it began the stream itself. The `origins` crate
//! decides who the holders are and what their answers mean; this module sends
//! the messages, one per datagram. A lost record costs one of two copies, a
//! lost question is asked again.

mod peers;
mod wire;

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use base::Clock;
use indexmap::IndexMap;
use jobs::JobView;
use origins::{
    Answer, Lookup, Origin, StreamId, StreamKey, StreamKeys, Verdict,
};
use pass::{Counters, LocalOrigins, OriginFuture, StreamOrigins};
use tokio::{net::UdpSocket, sync::oneshot, time};

use self::{
    peers::OriginPeers,
    wire::{OriginMessage, WireError},
};
use crate::{NodeSettings, refusals::RefusalLog};

/// Time after which a holder that has not answered is asked again.
const RESEND_INTERVAL: Duration = Duration::from_millis(40);

/// Number of times that a holder is asked. A holder under load answers within
/// some tens of milliseconds, and a client accepts a pause of a few hundred.
const MAX_QUESTIONS: u32 = 4;

/// Pause after a failed receive, so that a persistent error does not keep the
/// processor busy.
const ERROR_PAUSE: Duration = Duration::from_millis(200);

/// The origins that a node knows or can ask for.
#[derive(Clone)]
pub(crate) struct Origins(Arc<Shared>);

struct Shared {
    node: String,
    socket: UdpSocket,
    view: JobView,
    clock: Arc<dyn Clock>,
    counters: Arc<Counters>,
    /// The origins of streams that this node began, and of those that it holds
    /// for others.
    stored: LocalOrigins,
    peers: Mutex<OriginPeers>,
    pending: Mutex<IndexMap<u64, PendingLookup>>,
    last_ticket: AtomicU64,
}

/// A question to the holders of a stream.
struct PendingLookup {
    stream: StreamKey,
    holders: Vec<SocketAddr>,
    lookup: Lookup,
    /// None once the verdict has been sent.
    verdict: Option<oneshot::Sender<Verdict>>,
}

impl Origins {
    /// Binds the socket of a node and serves other nodes until the process
    /// ends.
    ///
    /// # Errors
    ///
    /// The error of the socket.
    pub(crate) async fn start(
        settings: &NodeSettings,
        view: JobView,
        clock: Arc<dyn Clock>,
        counters: Arc<Counters>,
    ) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            node: settings.node.clone(),
            socket: UdpSocket::bind(settings.origins).await?,
            view,
            stored: LocalOrigins::new(clock.clone()),
            clock,
            counters,
            peers: Mutex::default(),
            pending: Mutex::default(),
            last_ticket: AtomicU64::new(0),
        });
        tokio::spawn(shared.clone().serve());
        Ok(Self(shared))
    }
}

impl StreamOrigins for Origins {
    fn record(&self, keys: StreamKeys, origin: Origin, lifetime_ms: u64) {
        let shared = &self.0;
        shared.stored.record(keys, origin.clone(), lifetime_ms);
        let message = OriginMessage::Record {
            keys,
            origin,
            lifetime_ms,
        };
        let holders = shared.holders(&keys.all());
        shared.send_all(holders.into_iter(), &message);
    }

    fn find(&self, stream: StreamId) -> OriginFuture {
        let own = self.0.stored.get(stream.key());
        Box::pin(self.0.clone().look_up(stream, own))
    }
}

impl Shared {
    /// Returns the addresses of the holders of streams except this node.
    fn holders(&self, streams: &[StreamKey]) -> Vec<SocketAddr> {
        let mut peers = lock(&self.peers);
        peers.update(self.view.roster(), self.clock.now());
        peers.holders(streams, &self.node)
    }

    async fn look_up(
        self: Arc<Self>,
        stream: StreamId,
        own: Option<Origin>,
    ) -> Verdict {
        let holders = self.holders(&[stream.key()]);
        let lookup = Lookup::new(stream, holders.len()).with_own(own.clone());
        if holders.is_empty() && own.is_none() {
            return Verdict::Unreachable;
        }
        if let Some(verdict) = lookup.verdict() {
            return verdict;
        }
        self.ask_holders(stream.key(), holders, lookup).await
    }

    async fn ask_holders(
        self: &Arc<Self>,
        stream: StreamKey,
        holders: Vec<SocketAddr>,
        lookup: Lookup,
    ) -> Verdict {
        let ticket = self.last_ticket.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, mut verdict) = oneshot::channel();
        let lookup = PendingLookup {
            stream,
            lookup,
            holders,
            verdict: Some(sender),
        };
        lock(&self.pending).insert(ticket, lookup);
        let pending = PendingGuard {
            shared: self,
            ticket,
        };
        for _ in 0..MAX_QUESTIONS {
            let silent = pending.silent_holders();
            let message = OriginMessage::Find { stream, ticket };
            self.send_all(silent.into_iter(), &message);
            let answered = time::timeout(RESEND_INTERVAL, &mut verdict).await;
            if let Ok(Ok(verdict)) = answered {
                return verdict;
            }
        }
        pending.time_out()
    }

    /// Answers other nodes until the process ends.
    async fn serve(self: Arc<Self>) {
        let mut refusals = RefusalLog::default();
        let mut buffer = vec![0; wire::MAX_DATAGRAM_BYTES];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await
            {
                Ok(received) => received,
                Err(error) => {
                    log::debug!(error:%; "cannot receive origins of streams");
                    time::sleep(ERROR_PAUSE).await;
                    continue;
                }
            };
            Counters::add(&self.counters.origin_messages_received);
            if let Err(error) = self.handle(&buffer[..length], from) {
                Counters::add(&self.counters.origin_messages_refused);
                refusals.note(from, &error, self.clock.now());
            }
        }
    }

    fn handle(&self, bytes: &[u8], from: SocketAddr) -> Result<(), WireError> {
        let (node, message) = wire::decode(bytes)?;
        let is_known = {
            let mut peers = lock(&self.peers);
            peers.update(self.view.roster(), self.clock.now());
            peers.address(&node) == Some(from)
        };
        if !is_known {
            return Err(WireError::Sender);
        }
        match message {
            OriginMessage::Record {
                keys,
                origin,
                lifetime_ms,
            } => self.stored.record(keys, origin, lifetime_ms),
            OriginMessage::Find { stream, ticket } => {
                let found = OriginMessage::Found {
                    stream,
                    ticket,
                    origin: self.stored.get(stream),
                };
                self.send_all(std::iter::once(from), &found);
            }
            OriginMessage::Found {
                stream,
                ticket,
                origin,
            } => self.receive(stream, ticket, origin, from),
        }
        Ok(())
    }

    fn receive(
        &self,
        stream: StreamKey,
        ticket: u64,
        origin: Option<Origin>,
        from: SocketAddr,
    ) {
        let mut pending = lock(&self.pending);
        let Some(asked) = pending.get_mut(&ticket) else {
            return;
        };
        let holder = asked.holders.iter().position(|holder| *holder == from);
        let Some(holder) = holder.filter(|_| asked.stream == stream) else {
            return;
        };
        let answer = origin.map_or(Answer::Unknown, Answer::Known);
        let Some(verdict) = asked.lookup.receive(holder, answer) else {
            return;
        };
        if let Some(sender) = asked.verdict.take() {
            // Fails if the client has disconnected.
            let _ = sender.send(verdict);
        }
    }

    /// Sends a message without waiting. A message that the socket does not
    /// take is lost, like one that the network loses.
    fn send_all(
        &self,
        to: impl ExactSizeIterator<Item = SocketAddr>,
        message: &OriginMessage,
    ) {
        if to.len() == 0 {
            return;
        }
        let bytes = wire::encode(&self.node, message);
        for address in to {
            Counters::add(&self.counters.origin_messages_sent);
            Counters::count(&self.counters.origin_bytes_sent, bytes.len());
            if let Err(error) = self.socket.try_send_to(&bytes, address) {
                log::debug!(to:% = address, error:%;
                    "cannot send the origin of a stream");
            }
        }
    }
}

/// Ends a lookup when it is dropped.
struct PendingGuard<'a> {
    shared: &'a Shared,
    ticket: u64,
}

impl PendingGuard<'_> {
    fn silent_holders(&self) -> Vec<SocketAddr> {
        let pending = lock(&self.shared.pending);
        let Some(asked) = pending.get(&self.ticket) else {
            return Vec::new();
        };
        let silent = asked.lookup.silent();
        silent.map(|holder| asked.holders[holder]).collect()
    }

    fn time_out(&self) -> Verdict {
        let pending = lock(&self.shared.pending);
        let asked = pending.get(&self.ticket);
        asked.map_or(Verdict::Unreachable, |asked| asked.lookup.time_out())
    }
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        lock(&self.shared.pending).swap_remove(&self.ticket);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
