use std::collections::BTreeSet;

use base::{Customer, Millis};
use indexmap::IndexMap;

use super::{
    Demand, SEATS, SLOT_COUNT, ServerTimestamp, TokenGrant, TokenRefusal,
    TokenRequest, TokenResponse, TokenServerOptions,
    fraction::{Fraction, Mark},
    slot_of,
};
use crate::{RateLimit, Tolerance, front_count::FrontCount};

/// Counts requests against the parts that fronts lend to this node.
///
/// # Example
///
/// ```
/// use base::Millis;
/// use pomeloslip_limits::{Tolerance, TokenRequest, TokenServer, TokenServerOptions};
///
/// let tolerance = Tolerance::default();
/// let options = TokenServerOptions::default();
/// let mut holder = TokenServer::new("w1", 9, tolerance, options);
/// let request = TokenRequest {
///     front: "f1".to_owned(),
///     incarnation: 1,
///     sequence: 1,
///     lease_start: None,
///     slots: 0,
///     fronts: 1,
///     demands: Vec::new(),
/// };
/// let reply = holder.handle(&request, Millis::new(5)).expect("valid");
/// assert_eq!((reply.sequence, reply.timestamp.at_ms), (1, 5));
/// assert!(holder.handle(&request, Millis::new(6)).is_none(), "a replay");
/// ```
#[derive(Debug)]
pub struct TokenServer {
    node: String,
    incarnation: u64,
    tolerance: Tolerance,
    options: TokenServerOptions,
    lenders: IndexMap<String, Lender>,
    /// Ends of the leases, the next one first.
    ends: BTreeSet<(Millis, String)>,
    pools: [Fraction; SLOT_COUNT],
    buckets: IndexMap<(Customer, u8), Bucket>,
    fronts: FrontCount,
}

/// How a message stands to those of the same front before it.
enum Age {
    News,
    /// It may be of a process that is gone. It lends nothing.
    FormerProcess,
    /// It was answered, or a later one was.
    Answered,
}

/// A front that lends its parts.
#[derive(Debug, Default)]
struct Lender {
    incarnation: u64,
    sequence: u64,
    slots: u16,
    /// Its part of each limit in each replica.
    part: f64,
    until: Millis,
    heard: Millis,
}

/// What is left of one replica of a customer's limit.
#[derive(Debug)]
struct Bucket {
    limit: RateLimit,
    tokens: f64,
    /// Left of what a counter begins with; never filled up again.
    initial_tokens: u32,
    refilled: Mark,
    /// When there is room for all that were refused so far.
    room_for_all_at_us: u64,
}

/// Time after the start of a process in which its counters begin with some
/// tokens, in milliseconds. Later, a customer that is new here was counted
/// elsewhere until now.
const FIRST_TOKENS_MS: u64 = 3_000;

/// Most buckets: far more customers than any fleet has, so that a node that
/// makes up names cannot fill the memory.
const BUCKETS_MOST: usize = 100_000;

/// Longest time in which refused callers are told to come back, in
/// milliseconds. Those behind them are told the same: under a lasting excess
/// a true place in the line would be minutes away, and they leave before.
const BACK_MOST_MS: u64 = 2_000;

const US_PER_MS: f64 = 1_000.0;

impl TokenServer {
    /// Starts with nothing lent and empty buckets. `incarnation` differs
    /// between the processes of a node.
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
            lenders: IndexMap::new(),
            ends: BTreeSet::new(),
            pools: Default::default(),
            buckets: IndexMap::new(),
            fronts: FrontCount::default(),
        }
    }

    /// Answers a front; none if the message is malformed, or older than one
    /// of the same process that was answered.
    pub fn handle(
        &mut self,
        request: &TokenRequest,
        now: Millis,
    ) -> Option<TokenResponse> {
        if !request.is_valid() {
            return None;
        }
        self.end_leases(now);
        let accepted = match self.age_of(request, now) {
            Age::News => true,
            Age::FormerProcess => false,
            Age::Answered => return None,
        };
        if accepted {
            self.lend(request, now);
        }
        self.fronts.tick(now);
        self.fronts.hear(request.fronts, now);
        let demands = request.demands.iter();
        let grants = demands.map(|demand| self.grant(demand, now)).collect();
        Some(TokenResponse {
            server: self.node.clone(),
            to_incarnation: request.incarnation,
            sequence: request.sequence,
            timestamp: ServerTimestamp {
                incarnation: self.incarnation,
                at_ms: now.as_ms(),
            },
            accepted,
            fronts: self.fronts.get(),
            grants,
        })
    }

    /// Returns the part of the caps that is lent here for a slot.
    pub fn allotted(&self, slot: usize) -> f64 {
        self.pools.get(slot).map_or(0.0, Fraction::get)
    }

    fn age_of(&self, request: &TokenRequest, now: Millis) -> Age {
        let Some(known) = self.lenders.get(&request.front) else {
            return Age::News;
        };
        if request.incarnation == known.incarnation {
            return match request.sequence > known.sequence {
                true => Age::News,
                false => Age::Answered,
            };
        }
        // The clock that tells processes apart may have been set back, so
        // that an earlier one is accepted once the other has fallen silent.
        let silent_ms = now.saturating_ms_since(known.heard);
        match request.incarnation > known.incarnation
            || silent_ms >= self.options.max_lease_ms
        {
            true => Age::News,
            false => Age::FormerProcess,
        }
    }

    /// Takes over what the front lends from now on, in place of what it lent
    /// before.
    fn lend(&mut self, request: &TokenRequest, now: Millis) {
        let until = match request.lease_start {
            // A timestamp of an earlier process, or of the future, lends nothing.
            Some(from)
                if from.incarnation == self.incarnation
                    && from.at_ms <= now.as_ms() =>
            {
                let lease_ms = self.options.lease_ms(request.fronts);
                Millis::new(from.at_ms).saturating_add_ms(lease_ms)
            }
            _ => Millis::new(0),
        };
        let slots = match until > now {
            true => request.slots,
            false => 0,
        };
        let part = 1.0 / f64::from(request.fronts) / SEATS as f64;
        let lender = self.lenders.entry(request.front.clone()).or_default();
        let before = (lender.slots, lender.part, lender.until);
        lender.incarnation = request.incarnation;
        lender.sequence = request.sequence;
        lender.heard = now;
        (lender.slots, lender.part, lender.until) = (slots, part, until);
        self.ends.remove(&(before.2, request.front.clone()));
        if slots != 0 {
            self.ends.insert((until, request.front.clone()));
        }
        self.change((before.0, before.1), (slots, part), now);
    }

    fn end_leases(&mut self, now: Millis) {
        while let Some((until, _)) = self.ends.first()
            && *until <= now
        {
            let Some((until, front)) = self.ends.pop_first() else {
                return;
            };
            let Some(lender) = self.lenders.get_mut(&front) else {
                continue;
            };
            let before = (lender.slots, lender.part);
            lender.slots = 0;
            // It counts up to its end, also where that is noticed later.
            self.change(before, (0, 0.0), until);
        }
    }

    /// Moves a lender's parts from some slots to others.
    fn change(&mut self, from: (u16, f64), to: (u16, f64), now: Millis) {
        if from == to {
            return;
        }
        for (slot, pool) in self.pools.iter_mut().enumerate() {
            let part = |(slots, part): (u16, f64)| match slots & (1 << slot) {
                0 => 0.0,
                _ => part,
            };
            let change = part(to) - part(from);
            if change != 0.0 {
                pool.add(change, now);
            }
        }
    }

    fn grant(&mut self, demand: &Demand, now: Millis) -> TokenGrant {
        let key = (demand.customer.clone(), demand.replica);
        let is_known = self.buckets.contains_key(&key);
        if !is_known && self.buckets.len() >= BUCKETS_MOST {
            return TokenGrant {
                granted: 0,
                refused: Some(TokenRefusal::after(BACK_MOST_MS)),
            };
        }
        let slot = slot_of(&demand.customer, usize::from(demand.replica));
        let pool = &mut self.pools[slot];
        // The clock counts from the start of the process.
        let first = match now.as_ms() < FIRST_TOKENS_MS {
            true => self.tolerance.initial_tokens(demand.limit) / SEATS as f64,
            false => 0.0,
        };
        let entry = self.buckets.entry(key);
        let bucket =
            entry.or_insert_with(|| Bucket::new(demand.limit, first as u32));
        bucket.refill(pool, self.tolerance, now);
        bucket.set_cap(demand.limit, pool, self.tolerance);
        bucket.take(demand.count, pool.get(), now)
    }
}

impl TokenRefusal {
    fn after(ms: u64) -> Self {
        Self {
            token_in_ms: ms,
            retry_after_ms: ms,
            spacing_us: 0,
        }
    }
}

impl Bucket {
    fn new(limit: RateLimit, initial_tokens: u32) -> Self {
        Self {
            limit,
            tokens: 0.0,
            initial_tokens,
            // Since the start of the process: nobody used it meanwhile.
            refilled: Mark::default(),
            room_for_all_at_us: 0,
        }
    }

    fn refill(
        &mut self,
        pool: &mut Fraction,
        tolerance: Tolerance,
        now: Millis,
    ) {
        let burst_tokens = tolerance.burst_tokens(self.limit);
        // A part that was away was perhaps used elsewhere, so that its burst
        // is not here any more when it comes back.
        let kept = self
            .tokens
            .min(burst_tokens * pool.low_since(self.refilled));
        let lent_ms = pool.sum_since(self.refilled, now);
        let tokens = kept + self.limit.per_s() * lent_ms / 1_000.0;
        self.tokens = tokens.min(burst_tokens * pool.get());
        self.refilled = pool.mark(now);
    }

    /// Takes a limit of a later version; an older one must not raise what
    /// operators have lowered.
    fn set_cap(
        &mut self,
        limit: RateLimit,
        pool: &Fraction,
        tolerance: Tolerance,
    ) {
        if limit.version() > self.limit.version() {
            self.limit = limit;
            let most = tolerance.burst_tokens(limit) * pool.get();
            self.tokens = self.tokens.min(most);
        }
    }

    fn take(&mut self, count: u32, lent: f64, now: Millis) -> TokenGrant {
        let whole = (self.tokens.floor() as u32).min(count);
        self.tokens -= f64::from(whole);
        let first = self.initial_tokens.min(count - whole);
        self.initial_tokens -= first;
        let granted = whole + first;
        let refused = count - granted;
        let refused = (refused > 0).then(|| self.refuse(refused, lent, now));
        TokenGrant { granted, refused }
    }

    /// Finds when refused requests have room: one after the other at the
    /// rate of this pool, behind all that were refused before.
    fn refuse(&mut self, count: u32, lent: f64, now: Millis) -> TokenRefusal {
        let per_ms = self.limit.per_s() * lent / 1_000.0;
        if per_ms <= 0.0 {
            return TokenRefusal::after(BACK_MOST_MS);
        }
        let most_us = BACK_MOST_MS * US_PER_MS as u64;
        let now_us = now.as_ms() * US_PER_MS as u64;
        let spacing_us = (US_PER_MS / per_ms) as u64;
        let room_ms = (1.0 - self.tokens) / per_ms;
        let room_us = (room_ms * US_PER_MS) as u64;
        let first = now_us.saturating_add(room_us);
        let first = first.max(self.room_for_all_at_us);
        let back_us = (first - now_us).min(most_us);
        let all = first.saturating_add(spacing_us * u64::from(count));
        self.room_for_all_at_us = all.min(now_us + most_us);
        TokenRefusal {
            token_in_ms: room_us / US_PER_MS as u64,
            retry_after_ms: back_us / US_PER_MS as u64,
            spacing_us: spacing_us.min(most_us),
        }
    }
}
