//! Load updates between fronts and workers.
//!
//! Updates are sent as datagrams because only the newest one counts: the next
//! update replaces a lost one, and head-of-line blocking is avoided. A front
//! reports each request that it sends to the worker to which the endpoint is
//! assigned. The worker reports to the fronts that use its endpoints how many
//! requests other fronts have in flight there.
//!
//! A front subscribes only at the workers of the endpoints that it uses. If
//! each worker reported to each front, the number of datagrams would grow with
//! the product of both.

mod front;
mod speed_wire;
mod speeds;
mod wire;
mod worker;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use base::UnixMillis;
use fleet::{Endpoint, IncarnationKey, SpeedEstimate};
use jobs::ReportVersion;
use pass::{Counters, LoadObserver};
use tokio::{net::UdpSocket, sync::mpsc, time};

pub(crate) use self::{
    front::FrontLoad,
    speeds::{FrontSpeeds, WorkerSpeeds},
    worker::WorkerLoad,
};
use self::{
    speed_wire::{MAX_SENT_SPEEDS, Message, MessageError, SpeedUpdate},
    wire::{Kind, LoadUpdate},
};
use crate::{ClusterState, refusals::RefusalLog};

/// Interval between two checks for changed counts, in milliseconds. It bounds
/// the age of an endpoint's load when a request is sent there, and is a third
/// of the time that a stream has to its first event if one endpoint rejects
/// it.
const TICK_INTERVAL_MS: u64 = 50;

/// Interval between two full updates, in milliseconds. The reported load of an
/// endpoint expires only after two consecutive full updates are lost.
const FULL_UPDATE_INTERVAL_MS: u64 = 500;

/// Observes started requests and passes their endpoints to the sending task.
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

/// Sends and receives the load updates of a node.
pub(crate) struct LoadSocket {
    node: String,
    socket: Arc<UdpSocket>,
    started_at: UnixMillis,
    sequence: u64,
    /// Number of open items reported in updates, if the node is a worker.
    open_items: Option<u32>,
    buffer: Vec<u8>,
    refusals: RefusalLog,
    counters: Arc<Counters>,
    cluster: ClusterState,
}

/// What a message is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Subject {
    Load,
    Speeds,
}

/// Binds the socket on which a node receives load updates.
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
            sequence: 0,
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

    /// Sends counts in as many datagrams as needed; `is_full` means that
    /// endpoints that are not named have no requests.
    async fn send(
        &mut self,
        to: SocketAddr,
        kind: Kind,
        is_full: bool,
        counts: &[(IncarnationKey, u32)],
    ) {
        let mut chunks = counts.chunks(wire::MAX_COUNTS);
        let first = chunks.next().unwrap_or_default();
        self.send_one(to, kind, is_full, first).await;
        for chunk in chunks {
            // The first datagram has reset the endpoints that it does not
            // name; the others add to it.
            self.send_one(to, kind, false, chunk).await;
        }
    }

    async fn send_one(
        &mut self,
        to: SocketAddr,
        kind: Kind,
        is_full: bool,
        counts: &[(IncarnationKey, u32)],
    ) {
        let report_version = self.next_version();
        let update = LoadUpdate::new(
            kind,
            &self.node,
            report_version,
            is_full,
            counts.to_vec(),
        )
        .with_open_items(self.open_items);
        let bytes = update.encode();
        Counters::add(&self.counters.load_updates_sent);
        Counters::count(&self.counters.load_bytes_sent, bytes.len());
        if let Err(error) = self.socket.send_to(&bytes, to).await {
            log::debug!(to:%, error:%; "cannot send a load update");
        }
    }

    fn next_version(&mut self) -> ReportVersion {
        self.sequence += 1;
        ReportVersion {
            started_at: self.started_at,
            number: self.sequence,
        }
    }

    /// Sends estimates of the speed of endpoints in as many datagrams as
    /// needed, at least one.
    async fn send_speeds(
        &mut self,
        to: SocketAddr,
        speeds: &[(IncarnationKey, SpeedEstimate)],
    ) {
        let mut chunks = speeds.chunks(MAX_SENT_SPEEDS);
        let first = chunks.next().unwrap_or_default();
        for chunk in std::iter::once(first).chain(chunks) {
            let version = self.next_version();
            let update = SpeedUpdate::new(&self.node, version, chunk);
            let bytes = update.encode();
            Counters::add(&self.counters.speed_updates_sent);
            Counters::count(&self.counters.speed_bytes_sent, bytes.len());
            if let Err(error) = self.socket.send_to(&bytes, to).await {
                log::debug!(to:%, error:%; "cannot send speeds");
            }
        }
    }

    /// Waits for a message; returns none if an invalid one arrived.
    ///
    /// This is cancel safe: dropping the future loses no message.
    async fn receive(&mut self) -> Option<(Message, SocketAddr)> {
        let received = self.socket.recv_from(&mut self.buffer).await;
        let (length, from) = match received {
            Ok(received) => received,
            Err(error) => {
                log::debug!(error:%; "cannot receive load updates");
                // Avoids a busy loop on a persistent error.
                time::sleep(Duration::from_millis(TICK_INTERVAL_MS)).await;
                return None;
            }
        };
        let decoded = Message::decode(&self.buffer[..length]);
        let subject = match &decoded {
            Ok(Message::Load(_)) | Err(MessageError::Load(_)) => Subject::Load,
            Ok(Message::Speeds(_)) | Err(MessageError::Speeds(_)) => {
                Subject::Speeds
            }
        };
        Counters::add(match subject {
            Subject::Load => &self.counters.load_updates_received,
            Subject::Speeds => &self.counters.speed_updates_received,
        });
        match decoded {
            Ok(message) => Some((message, from)),
            Err(error) => {
                self.refuse(subject, from, &error);
                None
            }
        }
    }

    /// Reports whether a message comes from the address of the node that it
    /// names.
    fn is_from(
        &mut self,
        subject: Subject,
        node: &str,
        from: SocketAddr,
        address: Option<SocketAddr>,
    ) -> bool {
        let is_genuine = address == Some(from);
        if !is_genuine {
            self.refuse(
                subject,
                from,
                &format!("sender is not at the address of node {node}"),
            );
        }
        is_genuine
    }

    fn refuse(
        &mut self,
        subject: Subject,
        from: SocketAddr,
        reason: &dyn std::fmt::Display,
    ) {
        Counters::add(match subject {
            Subject::Load => &self.counters.load_updates_refused,
            Subject::Speeds => &self.counters.speed_updates_refused,
        });
        self.refusals.note(from, reason, self.cluster.clock().now());
    }
}
