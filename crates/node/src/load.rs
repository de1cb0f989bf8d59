//! Load updates between fronts and workers.
//!
//! Datagrams, because only the newest update counts: a lost one is made good
//! by the next, and none may wait behind another. A front reports each request
//! that it sends to the worker that uses the endpoint; the worker reports to
//! the fronts that send to its endpoints what the others have in flight
//! there.
//!
//! Who speaks to whom follows from the endpoints that are shared: a front
//! subscribes at the workers of the few that it sends to. If each worker
//! reported to each front, datagrams would grow with the product of both.

mod front;
mod wire;
mod worker;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use base::UnixMillis;
use fleet::{Endpoint, IncarnationKey};
use jobs::ReportVersion;
use pass::{Counters, LoadObserver};
use tokio::{net::UdpSocket, sync::mpsc, time};

use self::wire::{Kind, LoadUpdate};
pub(crate) use self::{front::FrontLoad, worker::WorkerLoad};
use crate::{ClusterState, refusals::RefusalLog};

/// Time between two looks at what has changed, in milliseconds: how old the
/// load of an endpoint may be when a request is sent there, and a third of
/// what a stream has to its first event if it is turned away once.
const TICK_MS: u64 = 50;

/// Time between two updates that name all endpoints, in milliseconds. Two of
/// them may be lost before an endpoint is not judged by them any more.
const WHOLE_MS: u64 = 500;

/// Observes each request and passes the endpoint on to the sender's task.
#[derive(Debug)]
pub(crate) struct LoadNotifier(mpsc::UnboundedSender<IncarnationKey>);

impl LoadNotifier {
    pub(crate) fn new() -> (Self, mpsc::UnboundedReceiver<IncarnationKey>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self(sender), receiver)
    }
}

impl LoadObserver for LoadNotifier {
    fn request_started(&self, endpoint: &Endpoint) {
        let _ = self.0.send(endpoint.incarnation_key());
    }
}

/// Where one node sends and receives updates of load.
pub(crate) struct LoadSocket {
    node: String,
    socket: Arc<UdpSocket>,
    started_at: UnixMillis,
    number: u64,
    /// Open items that updates of this node report, if it is a worker.
    open_items: Option<u32>,
    buffer: Vec<u8>,
    refusals: RefusalLog,
    counters: Arc<Counters>,
    cluster: ClusterState,
}

/// Binds the socket on which a node receives updates of load.
pub(crate) async fn bind(address: SocketAddr) -> io::Result<Arc<UdpSocket>> {
    UdpSocket::bind(address).await.map(Arc::new)
}

impl LoadSocket {
    pub(crate) fn new(
        node: &str,
        socket: Arc<UdpSocket>,
        counters: Arc<Counters>,
        cluster: ClusterState,
    ) -> Self {
        Self {
            node: node.to_owned(),
            socket,
            started_at: cluster.clock().unix(),
            number: 0,
            open_items: None,
            buffer: vec![0; wire::DATAGRAM_BYTES],
            refusals: RefusalLog::default(),
            counters,
            cluster,
        }
    }

    fn node(&self) -> &str {
        &self.node
    }

    /// Sends counts in as many datagrams as they need; `whole` says that
    /// these are all.
    async fn send(
        &mut self,
        to: SocketAddr,
        kind: Kind,
        whole: bool,
        counts: &[(IncarnationKey, u32)],
    ) {
        let mut parts = counts.chunks(wire::COUNTS_MOST);
        let first = parts.next().unwrap_or_default();
        self.send_one(to, kind, whole, first).await;
        for part in parts {
            // The first one ended what is not named; the others add to it.
            self.send_one(to, kind, false, part).await;
        }
    }

    async fn send_one(
        &mut self,
        to: SocketAddr,
        kind: Kind,
        whole: bool,
        counts: &[(IncarnationKey, u32)],
    ) {
        self.number += 1;
        let stamp = ReportVersion {
            started_at: self.started_at,
            number: self.number,
        };
        let update =
            LoadUpdate::new(kind, &self.node, stamp, whole, counts.to_vec())
                .with_open_items(self.open_items);
        let bytes = update.encode();
        Counters::add(&self.counters.load_updates_sent);
        Counters::count(&self.counters.load_bytes_sent, bytes.len());
        if let Err(error) = self.socket.send_to(&bytes, to).await {
            log::debug!(to:%, error:%; "a load update is not sent");
        }
    }

    /// Waits for an update; none if one arrived that is not to be heeded.
    ///
    /// It is safe to drop the wait: no update is lost by that.
    async fn receive(&mut self) -> Option<(LoadUpdate, SocketAddr)> {
        let received = self.socket.recv_from(&mut self.buffer).await;
        let (length, from) = match received {
            Ok(received) => received,
            Err(error) => {
                log::debug!(error:%; "no load update can be read");
                // An error that stays must not keep the processor busy.
                time::sleep(Duration::from_millis(TICK_MS)).await;
                return None;
            }
        };
        Counters::add(&self.counters.load_updates_received);
        match LoadUpdate::decode(&self.buffer[..length]) {
            Ok(update) => Some((update, from)),
            Err(error) => {
                self.refuse(from, &error);
                None
            }
        }
    }

    /// Tells whether an update comes from the address of the node that it
    /// names.
    fn is_from(
        &mut self,
        update: &LoadUpdate,
        from: SocketAddr,
        address: Option<SocketAddr>,
    ) -> bool {
        let genuine = address == Some(from);
        if !genuine {
            self.refuse(from, &format!("{} is not there", update.node()));
        }
        genuine
    }

    fn refuse(&mut self, from: SocketAddr, reason: &dyn std::fmt::Display) {
        Counters::add(&self.counters.load_updates_refused);
        self.refusals.note(from, reason, self.cluster.clock().now());
    }
}
