//! Counts requests against the limits of customers, over all nodes.
//!
//! Each node answers fronts that lend their parts of the limits to it; a
//! front asks for each request of a customer with a limit. What is counted
//! where is decided by `limits`; this module carries its messages, one in a
//! datagram: a lost one costs the wait for one answer, and none may wait
//! behind another.

mod neighbours;
mod wire;

use std::{
    collections::VecDeque, io, net::SocketAddr, sync::Arc, time::Duration,
};

use access::{Caller, Customers};
use base::{Customer, Millis};
use indexmap::IndexMap;
use jobs::JobView;
use limits::{
    FleetLimiter, LimitAction, LimitDecision, QuotaPermit, RateLimit, Ticket,
    TokenClient, TokenServer, TokenServerOptions,
};
use pass::Counters;
use tokio::{
    net::UdpSocket,
    sync::{mpsc, oneshot},
    time,
};

use self::{
    neighbours::Neighbours,
    wire::{QuotaMessage, WireError},
};
use crate::{ClusterState, NodeSettings, refusals::RefusalLog};

/// A request that is to be counted.
struct Request {
    customer: Customer,
    cap: RateLimit,
    verdict: oneshot::Sender<LimitDecision>,
}

/// Asks for requests of one front.
#[derive(Clone)]
pub(crate) struct QuotaClient(mpsc::UnboundedSender<Request>);

impl QuotaClient {
    /// Counts a request against its customer's limit.
    pub(crate) async fn count(
        &self,
        caller: Option<&Caller>,
    ) -> LimitDecision {
        let cap = caller.and_then(|caller| Some((caller, caller.cap()?)));
        let Some((caller, cap)) = cap else {
            return LimitDecision::Admitted(QuotaPermit::unlimited());
        };
        let (verdict, decided) = oneshot::channel();
        let request = Request {
            customer: caller.customer().clone(),
            cap,
            verdict,
        };
        if self.0.send(request).is_err() {
            return LimitDecision::Unavailable;
        }
        decided.await.unwrap_or(LimitDecision::Unavailable)
    }
}

/// Time between two looks at which nodes there are, in milliseconds.
const LOOK_MS: u64 = 200;

/// Carries the messages of a node until the process ends.
pub(crate) struct QuotaService {
    node: String,
    socket: UdpSocket,
    view: JobView,
    cluster: ClusterState,
    counters: Arc<Counters>,
    holder: TokenServer,
    member: TokenClient,
    neighbours: Neighbours,
    requests: mpsc::UnboundedReceiver<Request>,
    waiting: IndexMap<u64, oneshot::Sender<LimitDecision>>,
    last_ticket: u64,
    next_look: Millis,
    refusals: RefusalLog,
}

impl QuotaService {
    /// Binds the socket of a node and returns who asks for its requests.
    ///
    /// # Errors
    ///
    /// The error of the socket.
    pub(crate) async fn bind(
        settings: &NodeSettings,
        view: JobView,
        cluster: ClusterState,
        counters: Arc<Counters>,
    ) -> io::Result<(Self, QuotaClient)> {
        let socket = UdpSocket::bind(settings.limits).await?;
        let (sender, requests) = mpsc::unbounded_channel();
        let incarnation = cluster.clock().unix().as_ms();
        let node = settings.node.as_str();
        let allowance = settings.allowance;
        let options = TokenServerOptions::default();
        let service = Self {
            node: node.to_owned(),
            socket,
            view,
            cluster,
            counters,
            holder: TokenServer::new(node, incarnation, allowance, options),
            member: TokenClient::new(node, incarnation, allowance, options),
            neighbours: Neighbours::default(),
            requests,
            waiting: IndexMap::new(),
            last_ticket: 0,
            next_look: Millis::new(0),
            refusals: RefusalLog::default(),
        };
        Ok((service, QuotaClient(sender)))
    }

    /// Answers other nodes, and nothing else: for nodes without callers.
    pub(crate) async fn run_as_holder(mut self) {
        let mut buffer = vec![0; wire::DATAGRAM_BYTES];
        loop {
            let received = self.socket.recv_from(&mut buffer).await;
            self.look();
            self.take(received, &buffer).await;
        }
    }

    /// Answers other nodes and asks them for the requests of this one.
    pub(crate) async fn run(mut self) {
        let mut buffer = vec![0; wire::DATAGRAM_BYTES];
        loop {
            let pause_ms = self.pause_ms();
            // What has arrived goes first: an answer that waited for the
            // processor must not count as late.
            tokio::select! {
                biased;
                received = self.socket.recv_from(&mut buffer) => {
                    self.take(received, &buffer).await;
                }
                request = self.requests.recv() => match request {
                    Some(request) => self.ask(request),
                    None => return,
                },
                () = time::sleep(Duration::from_millis(pause_ms)) => {}
            }
            self.look();
            if self.is_needed() {
                self.member.tick(self.now());
            }
            self.act().await;
        }
    }

    fn now(&self) -> Millis {
        self.cluster.clock().now()
    }

    /// Tells whether any customer has a limit, or a request is being counted
    /// that came while one had. Else nodes send each other no message about
    /// limits.
    fn is_needed(&self) -> bool {
        if !self.waiting.is_empty() {
            return true;
        }
        let config = self.cluster.config.load();
        let customers = config.as_ref().as_ref();
        let customers = customers.and_then(|c| c.customers.as_ref());
        customers.is_some_and(Customers::has_caps)
    }

    fn pause_ms(&self) -> u64 {
        let due = self.member.next_tick().filter(|_| self.is_needed());
        let pause_ms = due.map(|at| at.saturating_ms_since(self.now()));
        pause_ms.unwrap_or(LOOK_MS).clamp(1, LOOK_MS)
    }

    /// Takes the nodes that are listed now.
    fn look(&mut self) {
        let now = self.now();
        if now < self.next_look {
            return;
        }
        self.next_look = now.saturating_add_ms(LOOK_MS);
        if self.neighbours.follow(self.view.roster(), now) {
            self.member.set_nodes(&self.neighbours.nodes(), now);
        }
    }

    fn ask(&mut self, request: Request) {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.waiting.insert(ticket, request.verdict);
        let now = self.now();
        let (customer, cap) = (&request.customer, request.cap);
        self.member.request(Ticket(ticket), customer, cap, now);
    }

    async fn take(
        &mut self,
        received: io::Result<(usize, SocketAddr)>,
        buffer: &[u8],
    ) {
        let (length, from) = match received {
            Ok(received) => received,
            Err(error) => {
                log::debug!(error:%; "no message about limits can be read");
                // An error that stays must not keep the processor busy.
                time::sleep(Duration::from_millis(LOOK_MS)).await;
                return;
            }
        };
        Counters::add(&self.counters.quota_messages_received);
        let message = match QuotaMessage::decode(&buffer[..length]) {
            Ok(message) => message,
            Err(error) => return self.refuse(from, &error),
        };
        let now = self.now();
        let message = match self.neighbours.address(message.sender()) {
            Some(address) if address == from => message,
            // Before the first list of nodes nobody can be told apart. A
            // front is answered, and nothing is taken of what it lends.
            None if self.neighbours.is_empty() => message.without_parts(),
            _ => return self.refuse(from, &WireError::Sender),
        };
        match message {
            QuotaMessage::Ask(ask) => match self.holder.handle(&ask, now) {
                Some(reply) => {
                    self.send(from, &QuotaMessage::Reply(reply)).await;
                }
                None => self.refuse(from, &WireError::Invalid),
            },
            QuotaMessage::Reply(reply) => {
                self.member.receive(&reply.server, &reply, now);
            }
        }
    }

    async fn act(&mut self) {
        let mut actions = VecDeque::from(self.member.take_actions());
        while let Some(action) = actions.pop_front() {
            match action {
                LimitAction::Decide { ticket, decision } => {
                    if let Some(asker) = self.waiting.swap_remove(&ticket.0) {
                        // A caller that has left needs no verdict.
                        let _ = asker.send(decision);
                    }
                }
                LimitAction::Send { to, request } if to == self.node => {
                    let now = self.now();
                    if let Some(reply) = self.holder.handle(&request, now) {
                        self.member.receive(&to, &reply, now);
                        actions.extend(self.member.take_actions());
                    }
                }
                LimitAction::Send { to, request } => {
                    if let Some(address) = self.neighbours.address(&to) {
                        self.send(address, &QuotaMessage::Ask(request)).await;
                    }
                }
            }
        }
    }

    async fn send(&mut self, to: SocketAddr, message: &QuotaMessage) {
        let bytes = message.encode();
        Counters::add(&self.counters.quota_messages_sent);
        Counters::count(&self.counters.quota_bytes_sent, bytes.len());
        if let Err(error) = self.socket.send_to(&bytes, to).await {
            log::debug!(to:%, error:%; "a message about limits is not sent");
        }
    }

    fn refuse(&mut self, from: SocketAddr, error: &WireError) {
        Counters::add(&self.counters.quota_messages_refused);
        self.refusals.note(from, error, self.now());
    }
}
