//! A fleet on a stepped clock: fronts that share the slots of one service,
//! token servers that add up their counts, and customers that send requests.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use base::{Customer, Millis, mix, stable_hash};
use pomeloslip_share::{
    FrontShares, PairKey, REPORT_INTERVAL_MS, Rank, SHARD_COUNT, ServiceSlots,
    TermsTable, UseServer, Waiter, WaitingOrder,
};

const SERVICE: &str = "llm";

/// Time for which a request waits at its front, in milliseconds: an eighth of
/// a latency target of 300 ms.
const MAX_WAIT_MS: u64 = 37;

/// Time of a request at an endpoint, in milliseconds.
const SERVICE_MS: (u64, u64) = (300, 900);

/// Time until a refused caller tries once more, in milliseconds.
const RETRY_MS: u64 = 300;

/// One customer of a simulated fleet.
#[derive(Clone, Debug)]
pub(crate) struct Sender {
    pub(crate) name: Customer,
    pub(crate) per_s: f64,
    pub(crate) priority: u32,
}

/// What happened to the requests of one customer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Served {
    pub(crate) sent: u32,
    /// Requests that reached an endpoint.
    pub(crate) served: u32,
    /// Requests that were refused over the share, retries included.
    pub(crate) over_share: u32,
    /// Sum of the slots in use, in slot milliseconds.
    pub(crate) slot_ms: u64,
}

impl Served {
    pub(crate) fn add(&mut self, other: Self) {
        self.sent += other.sent;
        self.served += other.served;
        self.over_share += other.over_share;
        self.slot_ms += other.slot_ms;
    }

    pub(crate) fn fraction(&self) -> f64 {
        f64::from(self.served) / f64::from(self.sent.max(1))
    }
}

/// How a fleet behaves.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) fronts: usize,
    pub(crate) servers: usize,
    pub(crate) slots: u64,
    /// Requests that may queue at the endpoints beyond their slots.
    pub(crate) queue: u64,
    pub(crate) shares: bool,
    pub(crate) seed: u64,
}

struct Active {
    front: usize,
    customer: usize,
    key: Option<PairKey>,
}

struct Waiting {
    customer: usize,
    waiter: Waiter,
    gives_up_at: u64,
    is_retry: bool,
}

struct Front {
    shares: FrontShares,
    order: WaitingOrder,
    waiting: Vec<Waiting>,
    is_lost: bool,
    is_cut_off: bool,
}

/// The simulated fleet.
pub(crate) struct Fleet {
    setup: Setup,
    pub(crate) senders: Vec<Sender>,
    pub(crate) served: Vec<Served>,
    fronts: Vec<Front>,
    servers: Vec<Option<UseServer>>,
    /// Requests that run, by their end.
    running: BTreeMap<(u64, u64), Active>,
    queued: VecDeque<Active>,
    retries: BTreeMap<(u64, u64), usize>,
    random: u64,
    pub(crate) now: u64,
    /// Requests that took a slot while a more urgent one waited at the front.
    pub(crate) inversions: u32,
    pub(crate) longest_queue: usize,
}

fn shard_of(customer: &Customer) -> usize {
    (mix(stable_hash(&[customer.as_str()])) % SHARD_COUNT as u64) as usize
}

impl Fleet {
    pub(crate) fn new(setup: Setup, senders: Vec<Sender>) -> Self {
        let terms = Arc::new(TermsTable::default());
        let front = |n: usize| Front {
            shares: FrontShares::new(
                &format!("f{n}"),
                1,
                shard_of,
                terms.clone(),
            ),
            order: WaitingOrder::default(),
            waiting: Vec::new(),
            is_lost: false,
            is_cut_off: false,
        };
        let server =
            |n: usize| Some(UseServer::new(&format!("w{n}"), terms.clone()));
        Self {
            fronts: (0..setup.fronts).map(front).collect(),
            servers: (0..setup.servers).map(server).collect(),
            served: vec![Served::default(); senders.len()],
            senders,
            running: BTreeMap::new(),
            queued: VecDeque::new(),
            retries: BTreeMap::new(),
            random: setup.seed,
            now: 0,
            inversions: 0,
            longest_queue: 0,
            setup,
        }
    }

    pub(crate) fn set_terms(&mut self, terms: TermsTable) {
        let terms = Arc::new(terms);
        for front in &mut self.fronts {
            front.shares.set_terms(terms.clone());
        }
        for server in self.servers.iter_mut().flatten() {
            server.set_terms(terms.clone());
        }
    }

    pub(crate) fn lose_server(&mut self, server: usize) {
        self.servers[server] = None;
    }

    pub(crate) fn cut_off(&mut self, front: usize) {
        self.fronts[front].is_cut_off = true;
    }

    /// Loses a front: its requests end at their endpoints at once.
    pub(crate) fn lose_front(&mut self, lost: usize) {
        let front = &mut self.fronts[lost];
        front.is_lost = true;
        front.waiting.clear();
        front.order = WaitingOrder::default();
        self.running.retain(|_, active| active.front != lost);
        self.queued.retain(|active| active.front != lost);
    }

    /// Clears the counts of requests, so that the next ones are those of
    /// another phase.
    pub(crate) fn take_served(&mut self) -> Vec<Served> {
        let empty = vec![Served::default(); self.senders.len()];
        std::mem::replace(&mut self.served, empty)
    }

    pub(crate) fn run_ms(&mut self, ms: u64) {
        for _ in 0..ms {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += 1;
        self.end_requests();
        self.start_queued();
        self.exchange();
        self.serve_waiting();
        self.send_new();
        for active in self.running.values() {
            self.served[active.customer].slot_ms += 1;
        }
        self.longest_queue = self.longest_queue.max(self.queued.len());
    }

    fn next_random(&mut self) -> u64 {
        self.random = mix(self.random.wrapping_add(0x9e37_79b9_7f4a_7c15));
        self.random
    }

    fn end_requests(&mut self) {
        while let Some(entry) = self.running.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let ended = entry.remove();
            if let Some(key) = ended.key {
                self.fronts[ended.front].shares.end(key);
            }
        }
    }

    fn start_queued(&mut self) {
        while (self.running.len() as u64) < self.setup.slots
            && let Some(active) = self.queued.pop_front()
        {
            self.run_now(active);
        }
    }

    fn run_now(&mut self, active: Active) {
        let (shortest, longest) = SERVICE_MS;
        let ms = shortest + self.next_random() % (longest - shortest);
        let number = self.next_random();
        self.running.insert((self.now + ms, number), active);
    }

    /// Each front reports once per interval, at a time of its own.
    fn exchange(&mut self) {
        for front in &mut self.fronts {
            front.shares.expire(Millis::new(self.now));
        }
        for number in 0..self.fronts.len() {
            let offset = number as u64 * 137;
            let is_due =
                (self.now + offset).is_multiple_of(REPORT_INTERVAL_MS);
            let front = &mut self.fronts[number];
            if !is_due || front.is_lost || !self.setup.shares {
                continue;
            }
            let usable: Vec<usize> = (0..self.servers.len())
                .filter(|at| self.servers[*at].is_some())
                .collect();
            let assigned = std::array::from_fn(|shard| {
                let at = usable.get(shard % usable.len().max(1))?;
                Some(format!("w{at}"))
            });
            for (to, report) in front.shares.reports(assigned) {
                if front.is_cut_off {
                    continue;
                }
                let at: usize = to[1..].parse().expect("a number");
                let now = Millis::new(self.now);
                let server = self.servers[at].as_mut().expect("a server");
                let answer = server.handle(&report, now).expect("valid");
                assert!(front.shares.receive(&to, &answer, now));
            }
        }
    }

    fn send_new(&mut self) {
        while let Some(entry) = self.retries.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let customer = entry.remove();
            self.arrive(customer, true);
        }
        for customer in 0..self.senders.len() {
            let chance = self.senders[customer].per_s / 1_000.0;
            let drawn = self.next_random() as f64 / u64::MAX as f64;
            if drawn < chance {
                self.served[customer].sent += 1;
                self.arrive(customer, false);
            }
        }
    }

    fn arrive(&mut self, customer: usize, is_retry: bool) {
        let usable: Vec<usize> = (0..self.fronts.len())
            .filter(|at| !self.fronts[*at].is_lost)
            .collect();
        let drawn = self.next_random() as usize % usable.len();
        let front = usable[drawn];
        let ends_at = Millis::new(self.now + 5_000);
        let rank = Rank::new(self.senders[customer].priority, ends_at);
        let may_take = !self.setup.shares
            || self.fronts[front].order.may_take(SERVICE, rank);
        if may_take && self.try_take(front, customer) {
            return;
        }
        if self.is_over(front, customer) {
            self.served[customer].over_share += 1;
            self.refuse(front, customer, is_retry);
            return;
        }
        let waiting = Waiting {
            customer,
            waiter: self.fronts[front].order.join(SERVICE, rank),
            gives_up_at: self.now + MAX_WAIT_MS,
            is_retry,
        };
        self.fronts[front].waiting.push(waiting);
    }

    fn refuse(&mut self, front: usize, customer: usize, is_retry: bool) {
        let number = self.next_random();
        let at = self.now + RETRY_MS + number % 200;
        let name = &self.senders[customer].name;
        let shares = &mut self.fronts[front].shares;
        shares.refuse(SERVICE, name, Millis::new(at));
        if !is_retry {
            self.retries.insert((at, number), customer);
        }
    }

    fn is_over(&self, front: usize, customer: usize) -> bool {
        let slots = ServiceSlots {
            all: self.setup.slots,
            own: self.setup.slots / self.setup.fronts as u64,
        };
        let name = &self.senders[customer].name;
        let now = Millis::new(self.now);
        let shares = &self.fronts[front].shares;
        self.setup.shares && shares.state(SERVICE, name, slots, now).is_over()
    }

    /// Takes a free slot, or a place in the queue of an endpoint unless the
    /// customer is over its share.
    fn try_take(&mut self, front: usize, customer: usize) -> bool {
        let is_free = (self.running.len() as u64) < self.setup.slots
            && self.queued.is_empty();
        let has_place = (self.queued.len() as u64) < self.setup.queue;
        if !is_free && (!has_place || self.is_over(front, customer)) {
            return false;
        }
        let name = self.senders[customer].name.clone();
        let key = match self.setup.shares {
            true => self.fronts[front].shares.begin(SERVICE, &name),
            false => None,
        };
        self.served[customer].served += 1;
        let active = Active {
            front,
            customer,
            key,
        };
        match is_free {
            true => self.run_now(active),
            false => self.queued.push_back(active),
        }
        true
    }

    fn serve_waiting(&mut self) {
        for front in 0..self.fronts.len() {
            match self.setup.shares {
                true => self.serve_in_order(front),
                false => self.serve_at_random(front),
            }
            let now = self.now;
            let (late, left): (Vec<_>, Vec<_>) =
                std::mem::take(&mut self.fronts[front].waiting)
                    .into_iter()
                    .partition(|waiting| waiting.gives_up_at <= now);
            self.fronts[front].waiting = left;
            for waiting in late {
                self.fronts[front].order.leave(SERVICE, waiting.waiter);
                self.refuse(front, waiting.customer, waiting.is_retry);
            }
        }
    }

    fn serve_in_order(&mut self, front: usize) {
        while let Some(first) = self.fronts[front].order.first(SERVICE) {
            let mut all = self.fronts[front].waiting.iter();
            let at = all.position(|waiting| waiting.waiter == first);
            let at = at.expect("a waiting request");
            let customer = self.fronts[front].waiting[at].customer;
            if !self.try_take(front, customer) {
                return;
            }
            self.leave(front, at);
        }
    }

    fn serve_at_random(&mut self, front: usize) {
        while !self.fronts[front].waiting.is_empty() {
            let drawn = self.next_random() as usize;
            let at = drawn % self.fronts[front].waiting.len();
            let customer = self.fronts[front].waiting[at].customer;
            if !self.try_take(front, customer) {
                return;
            }
            self.leave(front, at);
        }
    }

    fn leave(&mut self, front: usize, at: usize) {
        let front = &mut self.fronts[front];
        let taken = front.waiting.swap_remove(at);
        front.order.leave(SERVICE, taken.waiter);
        let priority = self.senders[taken.customer].priority;
        let senders = &self.senders;
        let mut others = front.waiting.iter();
        if others.any(|other| senders[other.customer].priority < priority) {
            self.inversions += 1;
        }
    }
}
