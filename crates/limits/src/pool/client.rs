mod messages;

use std::collections::VecDeque;

use base::{Customer, Millis};
use indexmap::IndexMap;

use super::{
    Demand, REPLICAS, TokenGrant, TokenRefusal, TokenResponse,
    TokenServerOptions,
    allotment::{Allotments, Target},
    history::History,
    report::Reports,
    slot_of,
};
use crate::{
    FleetLimiter, LimitAction, LimitDecision, LimitNodes, OverLimit,
    QuotaPermit, RateLimit, Ticket, Tolerance,
};

/// Allots the shares of one front to token servers and requests tokens from
/// them.
///
/// # Example
///
/// ```
/// use base::{Customer, Millis};
/// use pomeloslip_limits::{
///     FleetLimiter, LimitAction, LimitDecision, LimitNodes, RateLimit,
///     Ticket, TokenClient, TokenServer, TokenServerOptions, Tolerance,
/// };
///
/// let options = TokenServerOptions::default();
/// let tolerance = Tolerance { slack: 20, ..Tolerance::default() };
/// let mut front = TokenClient::new("f1", 1, tolerance, options);
/// let mut server = TokenServer::new("w1", 1, tolerance, options);
/// let nodes = LimitNodes {
///     fronts: vec!["f1".to_owned()],
///     workers: vec!["w1".to_owned()],
/// };
/// let now = Millis::new(0);
/// front.set_nodes(&nodes, now);
/// let customer: Customer = "alama".parse().expect("a valid name");
/// let limit = RateLimit::try_new(5.0, 5).expect("a valid limit");
/// front.request(Ticket(2), &customer, limit, now);
/// for action in front.take_actions() {
///     if let LimitAction::Send { request, .. } = action {
///         let reply = server.handle(&request, now).expect("valid");
///         front.receive("w1", &reply, now);
///     }
/// }
/// assert!(matches!(
///     front.take_actions()[..],
///     [LimitAction::Decide { decision: LimitDecision::Admitted(_), .. }]
/// ));
/// ```
#[derive(Debug)]
pub struct TokenClient {
    node: String,
    incarnation: u64,
    tolerance: Tolerance,
    options: TokenServerOptions,
    pub(super) allotments: Allotments,
    queues: IndexMap<(Customer, usize), Queue>,
    sent: IndexMap<u64, Sent>,
    /// Customers without tokens in either replica, and until when.
    exhausted: IndexMap<Customer, Millis>,
    own_buckets: IndexMap<(Customer, usize), OwnBucket>,
    history: History,
    reports: Reports,
    /// When this process was first used.
    started_at: Option<Millis>,
    last_sequence: u64,
    next_renewal: Millis,
    actions: Vec<LimitAction>,
}

/// Requests of a customer that wait for one replica.
#[derive(Debug, Default)]
struct Queue {
    pending: VecDeque<PendingRequest>,
    in_flight: bool,
}

#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    ticket: Ticket,
    limit: RateLimit,
    /// Whether the other replica was asked before.
    is_retry: bool,
    refused: Option<TokenRefusal>,
}

/// A message that waits for its response.
#[derive(Debug)]
struct Sent {
    to: String,
    at: Millis,
    customer: Customer,
    replica: usize,
    requests: Vec<PendingRequest>,
}

/// Bucket of this front's own share of one replica, used while the share is
/// not allotted.
#[derive(Debug)]
struct OwnBucket {
    tokens: f64,
    at: Millis,
}

/// Maximum time for which a customer counts as exhausted without another
/// request, in milliseconds. Tokens that other fronts leave unused are found
/// after this time.
const MAX_EXHAUSTED_MS: u64 = 100;

impl TokenClient {
    /// Creates a client without allotments. `incarnation` increases from
    /// process to process of a front.
    pub fn new(
        node: &str,
        incarnation: u64,
        tolerance: Tolerance,
        options: TokenServerOptions,
    ) -> Self {
        Self {
            node: node.to_owned(),
            incarnation,
            tolerance,
            options,
            allotments: Allotments::new(node, options),
            queues: IndexMap::new(),
            sent: IndexMap::new(),
            exhausted: IndexMap::new(),
            own_buckets: IndexMap::new(),
            history: History::new(tolerance.window_ms),
            reports: Reports::default(),
            started_at: None,
            last_sequence: 0,
            next_renewal: Millis::new(0),
            actions: Vec::new(),
        }
    }

    /// Starts the client's times with its first use.
    fn start(&mut self, now: Millis) {
        self.started_at.get_or_insert(now);
        self.allotments.start(now);
    }

    /// Admits a request and records it.
    fn admit(
        &mut self,
        customer: &Customer,
        replica: usize,
        pending: PendingRequest,
        now: Millis,
    ) {
        self.history.record(customer, replica, pending.limit, now);
        let admitted = LimitDecision::Admitted(QuotaPermit::new());
        self.decide(pending.ticket, admitted);
    }

    fn flush(&mut self, customer: &Customer, replica: usize, now: Millis) {
        let key = (customer.clone(), replica);
        let Some(queue) = self.queues.get_mut(&key) else {
            return;
        };
        if queue.in_flight || queue.pending.is_empty() {
            return;
        }
        let slot = slot_of(customer, replica);
        let mut requests: Vec<PendingRequest> =
            queue.pending.drain(..).collect();
        let server = match self.allotments.target_of(slot, now) {
            Target::Server(server) => server.to_owned(),
            Target::Lost { until } => {
                let refused = TokenRefusal::lost(until, now);
                for pending in &mut requests {
                    pending.refused =
                        TokenRefusal::earlier(pending.refused, Some(refused));
                }
                self.try_other_replica(customer, replica, requests, now);
                return;
            }
            Target::Unknown => {
                self.take_own(customer, replica, requests, now);
                return;
            }
        };
        queue.in_flight = true;
        let newest = requests.iter().map(|pending| pending.limit);
        let Some(limit) = newest.max_by_key(|limit| limit.version()) else {
            return;
        };
        let demand = Demand {
            customer: customer.clone(),
            replica: replica as u8,
            limit,
            count: requests.len() as u32,
        };
        let sequence = self.send(&server, vec![demand], now);
        let sent = Sent {
            to: server,
            at: now,
            customer: customer.clone(),
            replica,
            requests,
        };
        self.sent.insert(sequence, sent);
    }

    /// Passes requests on to the other replica if one has no response or no
    /// tokens.
    fn try_other_replica(
        &mut self,
        customer: &Customer,
        replica: usize,
        requests: Vec<PendingRequest>,
        now: Millis,
    ) {
        let other = 1 - replica;
        let (second, first): (Vec<PendingRequest>, Vec<PendingRequest>) =
            requests.into_iter().partition(|pending| pending.is_retry);
        if !first.is_empty() {
            let key = (customer.clone(), other);
            let queue = self.queues.entry(key).or_default();
            queue.pending.extend(first.into_iter().map(|pending| {
                PendingRequest {
                    is_retry: true,
                    ..pending
                }
            }));
            self.flush(customer, other, now);
        }
        self.finish(customer, second, now);
    }

    /// Finishes requests that neither replica has admitted.
    fn finish(
        &mut self,
        customer: &Customer,
        requests: Vec<PendingRequest>,
        now: Millis,
    ) {
        // Refusals that no server was asked for cost no message.
        let is_lost = self.is_lost(customer, now);
        for (position, pending) in requests.into_iter().enumerate() {
            let decision = match pending.refused {
                Some(refused) if is_lost => {
                    LimitDecision::OverLimit(refused.retry_after(0))
                }
                Some(refused) => {
                    let exhausted_ms =
                        refused.token_in_ms.min(MAX_EXHAUSTED_MS);
                    let until = now.saturating_add_ms(exhausted_ms);
                    self.exhausted.insert(customer.clone(), until);
                    LimitDecision::OverLimit(
                        refused.retry_after(position as u64),
                    )
                }
                None => LimitDecision::Unavailable,
            };
            self.decide(pending.ticket, decision);
        }
    }

    /// Counts requests against this front's own share of a replica, if the
    /// share is not allotted.
    fn take_own(
        &mut self,
        customer: &Customer,
        replica: usize,
        requests: Vec<PendingRequest>,
        now: Millis,
    ) {
        let slot = slot_of(customer, replica);
        let (share, free_since) = self.allotments.own_share(slot);
        let mut left = Vec::new();
        for pending in requests {
            let key = (customer.clone(), replica);
            let bucket = self.own_buckets.entry(key).or_insert(OwnBucket {
                tokens: 0.0,
                at: free_since,
            });
            let ms = now.saturating_ms_since(bucket.at) as f64;
            let burst_tokens =
                self.tolerance.burst_tokens(pending.limit) * share;
            let filled = pending.limit.per_s() * share * ms / 1_000.0;
            bucket.tokens = (bucket.tokens + filled).min(burst_tokens);
            bucket.at = bucket.at.max(now);
            if bucket.tokens >= 1.0 {
                bucket.tokens -= 1.0;
                self.admit(customer, replica, pending, now);
            } else {
                left.push(pending);
            }
        }
        if !left.is_empty() {
            self.try_other_replica(customer, replica, left, now);
        }
    }

    fn decide(&mut self, ticket: Ticket, decision: LimitDecision) {
        self.actions.push(LimitAction::Decide { ticket, decision });
    }

    /// Times out messages without a response.
    fn expire(&mut self, now: Millis) {
        let late = |sent: &Sent| {
            now.saturating_ms_since(sent.at)
                >= self.options.response_timeout_ms
        };
        let late: Vec<u64> = self
            .sent
            .iter()
            .take_while(|(_, sent)| late(sent))
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in late {
            if let Some(sent) = self.sent.shift_remove(&sequence) {
                self.resolve(sent, None, now);
            }
        }
    }

    /// Continues with the requests of a message.
    fn resolve(&mut self, sent: Sent, grant: Option<TokenGrant>, now: Millis) {
        let key = (sent.customer.clone(), sent.replica);
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.in_flight = false;
        }
        let mut requests = sent.requests;
        if let Some(grant) = grant {
            let granted = (grant.granted as usize).min(requests.len());
            for pending in requests.drain(..granted) {
                self.admit(&sent.customer, sent.replica, pending, now);
            }
            for pending in &mut requests {
                pending.refused =
                    TokenRefusal::earlier(pending.refused, grant.refused);
            }
        }
        self.try_other_replica(&sent.customer, sent.replica, requests, now);
        self.flush(&sent.customer, sent.replica, now);
        if self.queues.get(&key).is_some_and(Queue::is_idle) {
            self.queues.swap_remove(&key);
        }
    }
}

impl Queue {
    fn is_idle(&self) -> bool {
        !self.in_flight && self.pending.is_empty()
    }
}

impl FleetLimiter for TokenClient {
    fn set_nodes(&mut self, nodes: &LimitNodes, now: Millis) {
        self.start(now);
        self.allotments.set_nodes(nodes, now);
        self.next_renewal = now;
    }

    fn request(
        &mut self,
        ticket: Ticket,
        customer: &Customer,
        limit: RateLimit,
        now: Millis,
    ) {
        self.start(now);
        self.history.record_limit(customer, limit, now);
        if let Some(until) = self.exhausted.get(customer)
            && now < *until
        {
            let remaining_ms = until.saturating_ms_since(now);
            let over = OverLimit::new(remaining_ms + MAX_EXHAUSTED_MS);
            self.decide(ticket, LimitDecision::OverLimit(over));
            return;
        }
        let replica = self.replica_for(ticket, customer, now);
        let queue =
            self.queues.entry((customer.clone(), replica)).or_default();
        queue.pending.push_back(PendingRequest {
            ticket,
            limit,
            is_retry: false,
            refused: None,
        });
        self.flush(customer, replica, now);
    }

    fn receive(&mut self, from: &str, reply: &TokenResponse, now: Millis) {
        let is_for_this_process = reply.to_incarnation == self.incarnation
            && reply.sequence <= self.last_sequence
            && reply.server == from;
        if !is_for_this_process {
            return;
        }
        let is_current = self.allotments.is_current(from, reply);
        if self.allotments.on_response(from, reply, now) {
            self.next_renewal = now;
        }
        if reply.accepted {
            self.reports.on_response(from, reply.sequence);
        }
        if let Some(sent) = self.sent.shift_remove(&reply.sequence) {
            let slot = slot_of(&sent.customer, sent.replica);
            // What another server admits after this front has reported its
            // requests would be in no report.
            let counts = sent.to == from
                && is_current
                && self.allotments.may_admit(slot, from, now);
            let grant = reply.grants.first().copied().filter(|_| counts);
            self.resolve(sent, grant, now);
        }
        if self.reports.is_due(from, now) {
            self.send_reports(from, now);
        }
    }

    fn tick(&mut self, now: Millis) {
        self.start(now);
        self.expire(now);
        if now >= self.next_renewal {
            self.renew(now);
        }
    }

    fn next_tick(&self) -> Option<Millis> {
        let response_timeout_ms = self.options.response_timeout_ms;
        let first = self.sent.values().next();
        let first =
            first.map(|sent| sent.at.saturating_add_ms(response_timeout_ms));
        let renewal = Some(self.next_renewal);
        first.into_iter().chain(renewal).min()
    }

    fn take_actions(&mut self) -> Vec<LimitAction> {
        std::mem::take(&mut self.actions)
    }
}

impl TokenClient {
    /// Reports whether the servers of both replicas are lost.
    fn is_lost(&self, customer: &Customer, now: Millis) -> bool {
        (0..REPLICAS).all(|replica| {
            let slot = slot_of(customer, replica);
            let target = self.allotments.target_of(slot, now);
            matches!(target, Target::Lost { .. })
        })
    }

    /// Returns the replica that a request asks first: round robin, unless only
    /// the server of one responds in time.
    fn replica_for(
        &self,
        ticket: Ticket,
        customer: &Customer,
        now: Millis,
    ) -> usize {
        let replica = (ticket.0 % REPLICAS as u64) as usize;
        let first = slot_of(customer, 0);
        let is_responsive =
            |replica| self.allotments.is_responsive(first + replica, now);
        match !is_responsive(replica) && is_responsive(1 - replica) {
            true => 1 - replica,
            false => replica,
        }
    }
}
