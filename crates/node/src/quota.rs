//! Counts requests against the limits of customers across all nodes.
//!
//! Each node is a token server for fronts that pool their allotments of the
//! limits there; a front requests a token for each request of a customer with
//! a limit. The `limits` crate decides where a request is counted. This module
//! sends its messages, one per datagram: a lost message costs one timeout, and
//! head-of-line blocking is avoided.

mod shares;
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
    TokenClient, TokenEvent, TokenRequest, TokenResponse, TokenServer,
    TokenServerOptions,
};
use pass::Counters;
use share::UseReport;
use tokio::{
    net::UdpSocket,
    sync::{mpsc, oneshot},
    time,
};

pub(crate) use self::shares::{ShareExchange, shard_of};
use self::wire::{QuotaMessage, WireError};
use crate::{
    ClusterState, NodeSettings, peer_addresses::PeerAddresses,
    refusals::RefusalLog,
};

/// A request to count one call of a customer.
struct CountRequest {
    customer: Customer,
    limit: RateLimit,
    decision: oneshot::Sender<LimitDecision>,
}

/// Handle that submits the requests of one front for counting.
#[derive(Clone)]
pub(crate) struct QuotaClient(mpsc::UnboundedSender<CountRequest>);

impl QuotaClient {
    /// Counts a request against its customer's limit.
    pub(crate) async fn count(
        &self,
        caller: Option<&Caller>,
    ) -> LimitDecision {
        let limit = caller.and_then(|caller| Some((caller, caller.cap()?)));
        let Some((caller, limit)) = limit else {
            return LimitDecision::Admitted(QuotaPermit::unlimited());
        };
        let (decision, decided) = oneshot::channel();
        let request = CountRequest {
            customer: caller.customer().clone(),
            limit,
            decision,
        };
        if self.0.send(request).is_err() {
            return LimitDecision::Unavailable;
        }
        decided.await.unwrap_or(LimitDecision::Unavailable)
    }
}

/// Interval between two reads of the list of nodes, in milliseconds.
const ROSTER_INTERVAL_MS: u64 = 200;

/// Exchanges the quota messages of a node until the process ends.
pub(crate) struct QuotaService {
    node: String,
    socket: UdpSocket,
    view: JobView,
    cluster: ClusterState,
    counters: Arc<Counters>,
    server: TokenServer,
    client: TokenClient,
    /// None if customers have no shares.
    shares: Option<ShareExchange>,
    peers: PeerAddresses,
    requests: mpsc::UnboundedReceiver<CountRequest>,
    pending: IndexMap<u64, oneshot::Sender<LimitDecision>>,
    last_ticket: u64,
    next_roster_check: Millis,
    refusals: RefusalLog,
}

impl QuotaService {
    /// Binds the socket of a node and returns the service and its client.
    ///
    /// # Errors
    ///
    /// The error of the socket.
    pub(crate) async fn bind(
        settings: &NodeSettings,
        view: JobView,
        cluster: ClusterState,
        counters: Arc<Counters>,
        shares: Option<ShareExchange>,
    ) -> io::Result<(Self, QuotaClient)> {
        let socket = UdpSocket::bind(settings.limits).await?;
        let (sender, requests) = mpsc::unbounded_channel();
        let incarnation = cluster.clock().unix().as_ms();
        let node = settings.node.as_str();
        let tolerance = settings.tolerance;
        let options = TokenServerOptions::default();
        let service = Self {
            node: node.to_owned(),
            socket,
            view,
            cluster,
            counters,
            server: TokenServer::new(node, incarnation, tolerance, options),
            client: TokenClient::new(node, incarnation, tolerance, options),
            shares,
            peers: PeerAddresses::new(|record| record.limits),
            requests,
            pending: IndexMap::new(),
            last_ticket: 0,
            next_roster_check: Millis::new(0),
            refusals: RefusalLog::default(),
        };
        Ok((service, QuotaClient(sender)))
    }

    /// Runs only the token server, for nodes without callers.
    pub(crate) async fn run_as_server(mut self) {
        let mut buffer = vec![0; wire::DATAGRAM_BYTES];
        loop {
            let received = self.socket.recv_from(&mut buffer).await;
            self.update_peers();
            self.apply_terms();
            self.handle_datagram(received, &buffer).await;
        }
    }

    /// Runs the token server and requests tokens for this node's callers.
    pub(crate) async fn run(mut self) {
        let mut buffer = vec![0; wire::DATAGRAM_BYTES];
        loop {
            let pause_ms = self.pause_ms();
            // Received messages go first: a response that waited for the
            // CPU must not count as late.
            tokio::select! {
                biased;
                received = self.socket.recv_from(&mut buffer) => {
                    self.handle_datagram(received, &buffer).await;
                }
                request = self.requests.recv() => match request {
                    Some(request) => self.count_request(request),
                    None => return,
                },
                () = time::sleep(Duration::from_millis(pause_ms)) => {}
            }
            self.update_peers();
            if self.is_active() {
                self.client.tick(self.now());
            }
            self.perform_actions().await;
            self.apply_terms();
            self.report_use().await;
        }
    }

    /// Applies the terms of customers if they have changed.
    fn apply_terms(&mut self) {
        if let Some(shares) = &mut self.shares {
            shares.apply_terms();
        }
    }

    /// Sends the reports on slots in use that are due.
    async fn report_use(&mut self) {
        let now = self.now();
        let Some(shares) = &mut self.shares else {
            return;
        };
        for (to, report) in shares.reports_due(&self.client, now) {
            if to == self.node {
                self.answer_own_report(&report, now);
            } else if let Some(address) = self.peers.address(&to) {
                self.send(address, &QuotaMessage::Use(report)).await;
            }
        }
    }

    fn answer_own_report(&mut self, report: &UseReport, now: Millis) {
        if let Some(shares) = &mut self.shares
            && let Some(answer) = shares.handle(report, now)
        {
            shares.receive(&self.node, &answer);
        }
    }

    fn now(&self) -> Millis {
        self.cluster.clock().now()
    }

    /// Reports whether any customer has a limit, or a request that arrived
    /// under a limit is still being counted. Otherwise nodes exchange no quota
    /// messages.
    fn is_active(&self) -> bool {
        if !self.pending.is_empty() {
            return true;
        }
        let config = self.cluster.config.load();
        let customers = config.as_ref().as_ref();
        let customers = customers.and_then(|c| c.customers.as_ref());
        customers.is_some_and(Customers::has_caps)
    }

    fn pause_ms(&self) -> u64 {
        let next_tick = self.client.next_tick().filter(|_| self.is_active());
        let pause_ms = next_tick.map(|at| at.saturating_ms_since(self.now()));
        let shares = self.shares.as_ref();
        let report_ms = shares.and_then(|shares| shares.pause_ms(self.now()));
        pause_ms
            .unwrap_or(ROSTER_INTERVAL_MS)
            .min(report_ms.unwrap_or(ROSTER_INTERVAL_MS))
            .clamp(1, ROSTER_INTERVAL_MS)
    }

    /// Updates the peers from the list of nodes if a read is due.
    fn update_peers(&mut self) {
        let now = self.now();
        if now < self.next_roster_check {
            return;
        }
        self.next_roster_check = now.saturating_add_ms(ROSTER_INTERVAL_MS);
        if self.peers.update(self.view.roster(), now) {
            self.client.set_nodes(&self.peers.nodes(), now);
        }
    }

    fn count_request(&mut self, request: CountRequest) {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.pending.insert(ticket, request.decision);
        let now = self.now();
        let (customer, limit) = (&request.customer, request.limit);
        self.client.request(Ticket(ticket), customer, limit, now);
    }

    async fn handle_datagram(
        &mut self,
        received: io::Result<(usize, SocketAddr)>,
        buffer: &[u8],
    ) {
        let (length, from) = match received {
            Ok(received) => received,
            Err(error) => {
                log::debug!(error:%; "cannot receive quota messages");
                // Avoids a busy loop on a persistent error.
                time::sleep(Duration::from_millis(ROSTER_INTERVAL_MS)).await;
                return;
            }
        };
        Counters::add(&self.counters.quota_messages_received);
        let message = match QuotaMessage::decode(&buffer[..length]) {
            Ok(message) => message,
            Err(error) => return self.refuse(from, &error),
        };
        let now = self.now();
        let message = match self.peers.address(message.sender()) {
            Some(address) if address == from => message,
            // Before the first list of nodes no sender can be verified. A
            // front gets a response, but its allotments are ignored.
            None if self.peers.is_empty() && !message.is_about_use() => {
                message.without_allotments()
            }
            _ => return self.refuse(from, &WireError::Sender),
        };
        match message {
            QuotaMessage::Request(request) => {
                match self.handle_request(&request, now) {
                    Some(response) => {
                        self.send(from, &QuotaMessage::Response(response))
                            .await;
                    }
                    None => self.refuse(from, &WireError::Invalid),
                }
            }
            QuotaMessage::Response(response) => {
                self.client.receive(&response.server, &response, now);
            }
            QuotaMessage::Use(report) => {
                let Some(shares) = &mut self.shares else {
                    return;
                };
                match shares.handle(&report, now) {
                    Some(totals) => {
                        self.send(from, &QuotaMessage::Totals(totals)).await;
                    }
                    None => self.refuse(from, &WireError::Invalid),
                }
            }
            QuotaMessage::Totals(totals) => {
                let shares = self.shares.as_ref();
                let is_valid = shares.is_none_or(|shares| {
                    shares.receive(&totals.server, &totals)
                });
                if !is_valid {
                    self.refuse(from, &WireError::Invalid);
                }
            }
        }
    }

    /// Lets the token server handle a request, and logs what changes.
    fn handle_request(
        &mut self,
        request: &TokenRequest,
        now: Millis,
    ) -> Option<TokenResponse> {
        let response = self.server.handle(request, now);
        if request.has_report() {
            let counter = match response {
                Some(_) => &self.counters.quota_reports_received,
                None => &self.counters.quota_reports_refused,
            };
            Counters::add(counter);
        }
        for event in self.server.take_events() {
            log_event(event, &self.counters);
        }
        response
    }

    async fn perform_actions(&mut self) {
        let mut actions = VecDeque::from(self.client.take_actions());
        while let Some(action) = actions.pop_front() {
            match action {
                LimitAction::Decide { ticket, decision } => {
                    if let Some(sender) = self.pending.swap_remove(&ticket.0) {
                        // Fails if the caller has disconnected.
                        let _ = sender.send(decision);
                    }
                }
                LimitAction::Send { to, request } if to == self.node => {
                    let now = self.now();
                    if let Some(response) = self.handle_request(&request, now)
                    {
                        self.client.receive(&to, &response, now);
                        actions.extend(self.client.take_actions());
                    }
                }
                LimitAction::Send { to, request } => {
                    if request.has_report() {
                        Counters::add(&self.counters.quota_reports_sent);
                    }
                    if let Some(address) = self.peers.address(&to) {
                        self.send(address, &QuotaMessage::Request(request))
                            .await;
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
            log::debug!(to:%, error:%; "cannot send a quota message");
        }
    }

    fn refuse(&mut self, from: SocketAddr, error: &WireError) {
        Counters::add(&self.counters.quota_messages_refused);
        self.refusals.note(from, error, self.now());
    }
}

/// Logs and counts that a slot is restored or not: at most one line for each
/// slot and window.
fn log_event(event: TokenEvent, counters: &Counters) {
    match event {
        TokenEvent::Restored {
            slot,
            customers,
            fronts,
            tokens,
            after_ms,
        } => {
            Counters::add(&counters.quota_slots_restored);
            log::info!(slot, customers, fronts, tokens, after_ms;
                "the counts of a slot are restored");
        }
        TokenEvent::NotRestored {
            slot,
            missing_fronts,
            young_fronts,
        } => {
            Counters::add(&counters.quota_slots_not_restored);
            let reason = match (missing_fronts, young_fronts) {
                (0, 0) => "not all shares were allotted",
                (0, _) => "fronts are younger than the window",
                _ => "fronts did not report",
            };
            log::info!(slot, reason, missing_fronts, young_fronts;
                "the counts of a slot start without history");
        }
        TokenEvent::ReportRefused { .. } => {
            Counters::add(&counters.quota_reports_refused);
        }
    }
}
