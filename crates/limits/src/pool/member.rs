use std::collections::VecDeque;

use base::{Customer, Millis};
use indexmap::IndexMap;

use super::{
    Demand, SEATS, TokenGrant, TokenRefusal, TokenRequest, TokenResponse,
    TokenServerOptions,
    lending::{Lending, RENEWAL_LOOK_MS},
    slot_of,
};
use crate::{
    FleetLimiter, LimitAction, LimitDecision, LimitNodes, OverLimit,
    QuotaPermit, RateLimit, Ticket, Tolerance,
};

/// Lends the parts of one front and asks for its requests.
///
/// # Example
///
/// ```
/// use base::{Customer, Millis};
/// use pomeloslip_limits::{
///     Tolerance, RateLimit, FleetLimiter, LimitAction, LimitNodes, TokenServer,
///     TokenClient, TokenServerOptions, Ticket, LimitDecision,
/// };
///
/// let options = TokenServerOptions::default();
/// let tolerance = Tolerance { slack: 20, ..Tolerance::default() };
/// let mut front = TokenClient::new("f1", 1, tolerance, options);
/// let mut holder = TokenServer::new("w1", 1, tolerance, options);
/// let nodes = LimitNodes {
///     fronts: vec!["f1".to_owned()],
///     workers: vec!["w1".to_owned()],
/// };
/// let now = Millis::new(0);
/// front.set_nodes(&nodes, now);
/// let customer: Customer = "alama".parse().expect("a name");
/// let limit = RateLimit::try_new(5.0, 5).expect("a limit");
/// front.request(Ticket(2), &customer, limit, now);
/// for action in front.take_actions() {
///     if let LimitAction::Send { request, .. } = action {
///         let reply = holder.handle(&request, now).expect("valid");
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
    lending: Lending,
    queues: IndexMap<(Customer, usize), Queue>,
    sent: IndexMap<u64, Sent>,
    /// Customers without room in either replica, and until when.
    full: IndexMap<Customer, Millis>,
    own: IndexMap<(Customer, usize), OwnBucket>,
    last_number: u64,
    next_renewal: Millis,
    actions: Vec<LimitAction>,
}

/// Requests of a customer that wait for one replica.
#[derive(Debug, Default)]
struct Queue {
    waiting: VecDeque<Waiting>,
    is_asked: bool,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: Ticket,
    limit: RateLimit,
    /// Whether the other replica was asked already.
    is_retry: bool,
    refused: Option<TokenRefusal>,
}

/// A message that waits for its answer.
#[derive(Debug)]
struct Sent {
    to: String,
    at: Millis,
    customer: Customer,
    replica: usize,
    requests: Vec<Waiting>,
}

/// This front's own part of one replica, while nobody counts it.
#[derive(Debug)]
struct OwnBucket {
    tokens: f64,
    at: Millis,
}

/// Longest time for which a customer counts as full without asking again, in
/// milliseconds: room that others leave is found that soon.
const FULL_MOST_MS: u64 = 100;

impl TokenClient {
    /// Starts with nothing lent. `incarnation` grows from process to process
    /// of a front.
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
            lending: Lending::new(node, options),
            queues: IndexMap::new(),
            sent: IndexMap::new(),
            full: IndexMap::new(),
            own: IndexMap::new(),
            last_number: 0,
            next_renewal: Millis::new(0),
            actions: Vec::new(),
        }
    }

    /// Sends a message to each node that has to hear from this front.
    fn renew(&mut self, now: Millis) {
        self.next_renewal = now.saturating_add_ms(RENEWAL_LOOK_MS);
        self.full.retain(|_, until| now < *until);
        for node in self.lending.due(now) {
            self.send(&node, Vec::new(), now);
        }
    }

    /// Sends one message, which lends all slots of that holder anew.
    fn send(&mut self, to: &str, demands: Vec<Demand>, now: Millis) -> u64 {
        self.last_number += 1;
        let sequence = self.last_number;
        let lent = self.lending.lend(to, sequence, now);
        if !lent.newly.is_empty() {
            // Whoever counts a part has it whole.
            self.own.retain(|(customer, replica), _| {
                !lent.newly.contains(&slot_of(customer, *replica))
            });
        }
        self.actions.push(LimitAction::Send {
            to: to.to_owned(),
            request: TokenRequest {
                front: self.node.clone(),
                incarnation: self.incarnation,
                sequence,
                lease_start: lent.from,
                slots: lent.slots,
                fronts: lent.fronts,
                demands,
            },
        });
        sequence
    }

    fn flush(&mut self, customer: &Customer, replica: usize, now: Millis) {
        let key = (customer.clone(), replica);
        let Some(queue) = self.queues.get_mut(&key) else {
            return;
        };
        if queue.is_asked || queue.waiting.is_empty() {
            return;
        }
        let slot = slot_of(customer, replica);
        let holder = self.lending.holder_of(slot).map(str::to_owned);
        let Some(holder) = holder else {
            let waiting: Vec<Waiting> = queue.waiting.drain(..).collect();
            self.use_own(customer, replica, waiting, now);
            return;
        };
        queue.is_asked = true;
        let requests: Vec<Waiting> = queue.waiting.drain(..).collect();
        let newest = requests.iter().map(|one| one.limit);
        let Some(limit) = newest.max_by_key(|limit| limit.version()) else {
            return;
        };
        let demand = Demand {
            customer: customer.clone(),
            replica: replica as u8,
            limit,
            count: requests.len() as u32,
        };
        let sequence = self.send(&holder, vec![demand], now);
        let sent = Sent {
            to: holder,
            at: now,
            customer: customer.clone(),
            replica,
            requests,
        };
        self.sent.insert(sequence, sent);
    }

    /// Hands on requests that one replica has no answer or no room for.
    fn try_other(
        &mut self,
        customer: &Customer,
        replica: usize,
        requests: Vec<Waiting>,
        now: Millis,
    ) {
        let other = 1 - replica;
        let (second, first): (Vec<Waiting>, Vec<Waiting>) =
            requests.into_iter().partition(|one| one.is_retry);
        if !first.is_empty() {
            let key = (customer.clone(), other);
            let queue = self.queues.entry(key).or_default();
            queue.waiting.extend(first.into_iter().map(|one| Waiting {
                is_retry: true,
                ..one
            }));
            self.flush(customer, other, now);
        }
        self.end(customer, second, now);
    }

    /// Ends requests that neither replica has counted.
    fn end(
        &mut self,
        customer: &Customer,
        requests: Vec<Waiting>,
        now: Millis,
    ) {
        for (place, one) in requests.into_iter().enumerate() {
            let decision = match one.refused {
                Some(refused) => {
                    let full_ms = refused.token_in_ms.min(FULL_MOST_MS);
                    let until = now.saturating_add_ms(full_ms);
                    self.full.insert(customer.clone(), until);
                    LimitDecision::OverLimit(refused.back(place as u64))
                }
                None => LimitDecision::Unavailable,
            };
            self.decide(one.ticket, decision);
        }
    }

    /// Counts requests against this front's own part of a replica, where it is
    /// lent to nobody.
    fn use_own(
        &mut self,
        customer: &Customer,
        replica: usize,
        requests: Vec<Waiting>,
        now: Millis,
    ) {
        let slot = slot_of(customer, replica);
        let (part, free_since) = self.lending.own_part(slot);
        let mut left = Vec::new();
        for one in requests {
            let key = (customer.clone(), replica);
            let bucket = self.own.entry(key).or_insert(OwnBucket {
                tokens: 0.0,
                at: free_since,
            });
            let ms = now.saturating_ms_since(bucket.at) as f64;
            let burst_tokens = self.tolerance.burst_tokens(one.limit) * part;
            let filled = one.limit.per_s() * part * ms / 1_000.0;
            bucket.tokens = (bucket.tokens + filled).min(burst_tokens);
            bucket.at = bucket.at.max(now);
            if bucket.tokens >= 1.0 {
                bucket.tokens -= 1.0;
                self.decide(
                    one.ticket,
                    LimitDecision::Admitted(QuotaPermit::new()),
                );
            } else {
                left.push(one);
            }
        }
        if !left.is_empty() {
            self.try_other(customer, replica, left, now);
        }
    }

    fn decide(&mut self, ticket: Ticket, decision: LimitDecision) {
        self.actions.push(LimitAction::Decide { ticket, decision });
    }

    /// Gives up messages that were not answered in time.
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
                self.answered(sent, None, now);
            }
        }
    }

    /// Goes on with the requests of a message.
    fn answered(
        &mut self,
        sent: Sent,
        grant: Option<TokenGrant>,
        now: Millis,
    ) {
        let key = (sent.customer.clone(), sent.replica);
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.is_asked = false;
        }
        let mut requests = sent.requests;
        if let Some(grant) = grant {
            let granted = (grant.granted as usize).min(requests.len());
            for one in requests.drain(..granted) {
                self.decide(
                    one.ticket,
                    LimitDecision::Admitted(QuotaPermit::new()),
                );
            }
            for one in &mut requests {
                one.refused = TokenRefusal::sooner(one.refused, grant.refused);
            }
        }
        self.try_other(&sent.customer, sent.replica, requests, now);
        self.flush(&sent.customer, sent.replica, now);
        if self.queues.get(&key).is_some_and(Queue::is_idle) {
            self.queues.swap_remove(&key);
        }
    }
}

impl Queue {
    fn is_idle(&self) -> bool {
        !self.is_asked && self.waiting.is_empty()
    }
}

impl TokenRefusal {
    fn sooner(a: Option<Self>, b: Option<Self>) -> Option<Self> {
        match (a, b) {
            (Some(a), Some(b)) if a.retry_after_ms <= b.retry_after_ms => {
                Some(a)
            }
            (Some(a), None) => Some(a),
            (_, b) => b,
        }
    }

    /// Returns when the request at a place among the refused has room.
    fn back(self, place: u64) -> OverLimit {
        let behind_ms = self.spacing_us * place / 1_000;
        OverLimit::new(self.retry_after_ms + behind_ms)
    }
}

impl FleetLimiter for TokenClient {
    fn set_nodes(&mut self, nodes: &LimitNodes, now: Millis) {
        self.lending.start(now);
        self.lending.set_nodes(nodes, now);
        self.next_renewal = now;
    }

    fn request(
        &mut self,
        ticket: Ticket,
        customer: &Customer,
        limit: RateLimit,
        now: Millis,
    ) {
        self.lending.start(now);
        if let Some(until) = self.full.get(customer)
            && now < *until
        {
            let back_ms = until.saturating_ms_since(now);
            let over = OverLimit::new(back_ms + FULL_MOST_MS);
            self.decide(ticket, LimitDecision::OverLimit(over));
            return;
        }
        let replica = self.seat_for(ticket, customer, now);
        let queue =
            self.queues.entry((customer.clone(), replica)).or_default();
        queue.waiting.push_back(Waiting {
            ticket,
            limit,
            is_retry: false,
            refused: None,
        });
        self.flush(customer, replica, now);
    }

    fn receive(&mut self, from: &str, reply: &TokenResponse, now: Millis) {
        let is_own = reply.to_incarnation == self.incarnation
            && reply.sequence <= self.last_number
            && reply.server == from;
        if !is_own {
            return;
        }
        self.lending.heard(from, reply, now);
        if let Some(sent) = self.sent.shift_remove(&reply.sequence) {
            let is_same = sent.to == from;
            let grant = reply.grants.first().copied().filter(|_| is_same);
            self.answered(sent, grant, now);
        }
    }

    fn tick(&mut self, now: Millis) {
        self.lending.start(now);
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
    /// Returns the replica that a request asks first: either by turns, unless
    /// the node of one keeps it waiting.
    fn seat_for(
        &self,
        ticket: Ticket,
        customer: &Customer,
        now: Millis,
    ) -> usize {
        let replica = (ticket.0 % SEATS as u64) as usize;
        let first = slot_of(customer, 0);
        let is_good = |replica| self.lending.is_good(first + replica, now);
        match !is_good(replica) && is_good(1 - replica) {
            true => 1 - replica,
            false => replica,
        }
    }
}
