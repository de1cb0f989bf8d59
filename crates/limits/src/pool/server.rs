use std::collections::BTreeSet;

use base::{Customer, Millis};
use indexmap::IndexMap;

use super::{
    Demand, REPLICAS, SLOT_COUNT, ServerTimestamp, TokenGrant, TokenRefusal,
    TokenRequest, TokenResponse, TokenServerOptions,
    bucket::{Bucket, MAX_RETRY_AFTER_MS},
    fraction::Fraction,
    restore::{Restores, TokenEvent},
    slot_of,
};
use crate::{Tolerance, front_count::FrontCount};

/// Counts requests against the shares that fronts allot to this node.
///
/// # Example
///
/// ```
/// use base::Millis;
/// use pomeloslip_limits::{
///     TokenRequest, TokenServer, TokenServerOptions, Tolerance,
/// };
///
/// let tolerance = Tolerance::default();
/// let options = TokenServerOptions::default();
/// let mut server = TokenServer::new("w1", 9, tolerance, options);
/// let request = TokenRequest {
///     front: "f1".to_owned(),
///     incarnation: 1,
///     sequence: 1,
///     lease_start: None,
///     slots: 0,
///     fronts: 1,
///     demands: Vec::new(),
///     history: Vec::new(),
///     history_slots: 0,
///     incomplete_slots: 0,
/// };
/// let reply = server.handle(&request, Millis::new(5)).expect("valid");
/// assert_eq!((reply.sequence, reply.timestamp.at_ms), (1, 5));
/// assert!(server.handle(&request, Millis::new(6)).is_none(), "a replay");
/// ```
#[derive(Debug)]
pub struct TokenServer {
    node: String,
    incarnation: u64,
    tolerance: Tolerance,
    options: TokenServerOptions,
    allotments: IndexMap<String, FrontAllotment>,
    /// Ends of the leases, earliest first.
    expiries: BTreeSet<(Millis, String)>,
    pools: [Fraction; SLOT_COUNT],
    buckets: IndexMap<(Customer, u8), Bucket>,
    fronts: FrontCount,
    restores: Restores,
}

/// How a message relates to earlier messages of the same front.
enum Freshness {
    New,
    /// The message may be from a former process. Its allotment is ignored.
    OldProcess,
    /// This message or a later one was already handled.
    Duplicate,
}

/// Allotment of one front.
#[derive(Debug, Default)]
struct FrontAllotment {
    incarnation: u64,
    sequence: u64,
    slots: u16,
    /// Share of each limit in each replica.
    share: f64,
    expires_at: Millis,
    last_seen: Millis,
}

/// Time after the start of a process in which its new buckets get initial
/// tokens, in milliseconds. Later, a customer without a bucket was counted by
/// another server until now.
const INITIAL_TOKENS_MS: u64 = 3_000;

/// Maximum number of buckets: far more than the customers of any fleet, so
/// that a node that sends invented names cannot exhaust memory.
const MAX_BUCKETS: usize = 100_000;

impl TokenServer {
    /// Creates a server without allotments and with empty buckets.
    /// `incarnation` differs between the processes of a node.
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
            allotments: IndexMap::new(),
            expiries: BTreeSet::new(),
            pools: Default::default(),
            buckets: IndexMap::new(),
            fronts: FrontCount::default(),
            restores: Restores::default(),
        }
    }

    /// Handles the request of a front.
    ///
    /// Returns `None` if the message is malformed, or not newer than one of
    /// the same process that was already handled.
    pub fn handle(
        &mut self,
        request: &TokenRequest,
        now: Millis,
    ) -> Option<TokenResponse> {
        if !request.is_valid() {
            return None;
        }
        self.expire_leases(now);
        let accepted = match self.freshness_of(request, now) {
            Freshness::New => true,
            Freshness::OldProcess => false,
            Freshness::Duplicate => return None,
        };
        if accepted {
            self.apply_allotment(request, now);
        }
        self.fronts.tick(now);
        self.fronts.report(request.fronts, now);
        if accepted {
            self.apply_report(request, now);
        }
        self.restore_slots(&request.demands, now);
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

    /// Returns the fraction of the limits that is allotted to this node in a
    /// slot.
    pub fn allotted(&self, slot: usize) -> f64 {
        self.pools.get(slot).map_or(0.0, Fraction::get)
    }

    /// Returns what changed in the knowledge of earlier requests since the
    /// last call.
    pub fn take_events(&mut self) -> Vec<TokenEvent> {
        self.restores.take_events()
    }

    fn freshness_of(&self, request: &TokenRequest, now: Millis) -> Freshness {
        let Some(known) = self.allotments.get(&request.front) else {
            return Freshness::New;
        };
        if request.incarnation == known.incarnation {
            return match request.sequence > known.sequence {
                true => Freshness::New,
                false => Freshness::Duplicate,
            };
        }
        // The clock that distinguishes processes may have been set back. A
        // seemingly earlier process is therefore accepted once the other one
        // has been silent.
        let silent_ms = now.saturating_ms_since(known.last_seen);
        match request.incarnation > known.incarnation
            || silent_ms >= self.options.max_lease_ms
        {
            true => Freshness::New,
            false => Freshness::OldProcess,
        }
    }

    /// Replaces the allotment of the front by that of the request.
    fn apply_allotment(&mut self, request: &TokenRequest, now: Millis) {
        let expires_at = match request.lease_start {
            // A timestamp of an earlier process or of the future allots
            // nothing.
            Some(from)
                if from.incarnation == self.incarnation
                    && from.at_ms <= now.as_ms() =>
            {
                let lease_ms = self.options.lease_ms(request.fronts);
                Millis::new(from.at_ms).saturating_add_ms(lease_ms)
            }
            _ => Millis::new(0),
        };
        let slots = match expires_at > now {
            true => request.slots,
            false => 0,
        };
        let share = 1.0 / f64::from(request.fronts) / REPLICAS as f64;
        let allotment =
            self.allotments.entry(request.front.clone()).or_default();
        let previous = (
            allotment.slots,
            allotment.share,
            allotment.expires_at,
            allotment.incarnation,
        );
        allotment.incarnation = request.incarnation;
        allotment.sequence = request.sequence;
        allotment.last_seen = now;
        (allotment.slots, allotment.share, allotment.expires_at) =
            (slots, share, expires_at);
        self.expiries.remove(&(previous.2, request.front.clone()));
        if slots != 0 {
            self.expiries.insert((expires_at, request.front.clone()));
        }
        let withdrawn = match previous.3 != request.incarnation {
            true => u16::MAX,
            false => previous.0 & !slots,
        };
        self.restores.withdraw(&request.front, withdrawn);
        self.move_share((previous.0, previous.1), (slots, share), now);
    }

    /// Keeps the reports of the slots that the request allots.
    fn apply_report(&mut self, request: &TokenRequest, now: Millis) {
        let allotment = self.allotments.get(&request.front);
        let slots = allotment.map_or(0, |allotment| allotment.slots);
        let complete = request.history_slots & slots;
        let incomplete = request.incomplete_slots & slots;
        if complete | incomplete != 0 {
            self.restores.report(
                &request.front,
                &request.history,
                (complete, incomplete),
                now,
            );
        }
    }

    /// Restores slots that all fronts have reported: those of the demands, and
    /// one other slot. A restore merges all reports of a slot, and several at
    /// once would delay the response.
    fn restore_slots(&mut self, demands: &[Demand], now: Millis) {
        let fronts = self.fronts.get();
        self.restores.expire(fronts, self.tolerance.window_ms, now);
        let slots = demands
            .iter()
            .map(|it| slot_of(&it.customer, usize::from(it.replica)));
        let demanded: BTreeSet<usize> = slots.collect();
        let mut may_restore_other = true;
        for slot in 0..SLOT_COUNT {
            let is_demanded = demanded.contains(&slot);
            if !(is_demanded || may_restore_other)
                || !self.restores.is_ready(slot, fronts, now)
            {
                continue;
            }
            may_restore_other &= is_demanded;
            let pool = &mut self.pools[slot];
            let share = (pool.get(), pool.snapshot(now));
            let buckets = &self.buckets;
            let replica = (slot % REPLICAS) as u8;
            let own = |customer: &Customer| {
                let bucket = buckets.get(&(customer.clone(), replica));
                bucket.map(|bucket| (bucket.limit(), bucket.granted()))
            };
            self.restores.restore(slot, self.tolerance, share, own, now);
        }
    }

    fn expire_leases(&mut self, now: Millis) {
        while let Some((expires_at, _)) = self.expiries.first()
            && *expires_at <= now
        {
            let Some((expires_at, front)) = self.expiries.pop_first() else {
                return;
            };
            let Some(allotment) = self.allotments.get_mut(&front) else {
                continue;
            };
            let previous = (allotment.slots, allotment.share);
            allotment.slots = 0;
            self.restores.withdraw(&front, previous.0);
            // The allotment counts until its end, even if that is noticed
            // later.
            self.move_share(previous, (0, 0.0), expires_at);
        }
    }

    /// Updates the pools when a front's allotted slots or share change.
    fn move_share(&mut self, from: (u16, f64), to: (u16, f64), now: Millis) {
        if from == to {
            return;
        }
        for (slot, pool) in self.pools.iter_mut().enumerate() {
            let share = |(slots, share): (u16, f64)| match slots & (1 << slot)
            {
                0 => 0.0,
                _ => share,
            };
            let change = share(to) - share(from);
            if change != 0.0 {
                pool.add(change, now);
                self.restores.set_share(slot, pool.get(), now);
            }
        }
    }

    fn grant(&mut self, demand: &Demand, now: Millis) -> TokenGrant {
        let key = (demand.customer.clone(), demand.replica);
        let is_known = self.buckets.contains_key(&key);
        if !is_known && self.buckets.len() >= MAX_BUCKETS {
            return TokenGrant {
                granted: 0,
                refused: Some(TokenRefusal::after(MAX_RETRY_AFTER_MS)),
            };
        }
        let slot = slot_of(&demand.customer, usize::from(demand.replica));
        let pool = &mut self.pools[slot];
        // The clock starts at 0 when the process starts.
        let first = match now.as_ms() < INITIAL_TOKENS_MS {
            true => {
                self.tolerance.initial_tokens(demand.limit) / REPLICAS as f64
            }
            false => 0.0,
        };
        let entry = self.buckets.entry(key);
        let bucket =
            entry.or_insert_with(|| Bucket::new(demand.limit, first as u32));
        let pending =
            self.restores
                .pending(slot, &demand.customer, bucket.generation());
        if let Some(pending) = pending {
            bucket.restore(pending, pool, self.tolerance);
        }
        bucket.refill(pool, self.tolerance, now);
        bucket.set(demand.limit, pool, self.tolerance);
        let grant = bucket.take(demand.count, pool.get(), now);
        if self.restores.is_open(slot) && grant.granted > 0 {
            bucket.record(grant.granted, self.tolerance.window_ms, now);
        }
        grant
    }
}
