//! Entries with a router each, before fake endpoints.

use std::{cmp::Reverse, collections::BinaryHeap};

use base::{Incarnation, Millis};
use rand::{Rng, SeedableRng, rngs::StdRng};
use router::{
    EndpointKey, EndpointReport, Failure, ListedEndpoint, PoolKey, Query,
    Refusal, Router, RouterOptions,
};
use slotmap::SecondaryMap;

use super::fake::{self, Endpoint, Fault};

/// How long an attempt without any sign stays before it counts as lost.
const SILENCE_MS: u64 = 2_000;

/// When an attempt breaks that breaks.
const BREAK_MS: u64 = 20;

const TICK_MS: u64 = 250;
const REFUSALS_MAX: u32 = 8;
const RETRIES_MAX: u32 = 2;
const DOMAINS: usize = 4;

/// Where the policies are compared.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) endpoints: usize,
    pub(crate) entries: usize,
    /// Share of the capacity without any cached prefix.
    pub(crate) load: f64,
    /// Age of what reports show.
    pub(crate) lag_ms: u64,
    /// The slowest endpoint needs this multiple of the time.
    pub(crate) slowest: f64,
    /// Faults of the first endpoints.
    pub(crate) faults: Vec<Fault>,
    pub(crate) prefixes: usize,
    pub(crate) seconds: u64,
    /// Wait before a second attempt beside the first; 0 for none.
    pub(crate) hedge_ms: u64,
    /// Wait for a first token after which an attempt is lost.
    pub(crate) timeout_ms: u64,
    /// Whether retries have a budget.
    pub(crate) budget: bool,
}

impl Scenario {
    pub(crate) fn new(name: &'static str, endpoints: usize) -> Self {
        Self {
            name,
            endpoints,
            entries: 1,
            load: 0.8,
            lag_ms: 0,
            slowest: 1.0,
            faults: Vec::new(),
            prefixes: 100_000,
            seconds: 30,
            hedge_ms: 0,
            timeout_ms: 30_000,
            budget: true,
        }
    }
}

/// What a run showed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Seen {
    pub(crate) requests: u64,
    first_token_ms: Vec<u64>,
    pub(crate) failed: u64,
    pub(crate) retries: u64,
    pub(crate) refusals: u64,
    pub(crate) hedges: u64,
    pub(crate) probes: u64,
    pub(crate) started: u64,
    pub(crate) hits: u64,
}

impl Seen {
    pub(crate) fn quantile_ms(&self, quantile: f64) -> u64 {
        let last = self.first_token_ms.len().saturating_sub(1);
        let at = (last as f64 * quantile).round() as usize;
        self.first_token_ms.get(at).copied().unwrap_or(0)
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd)]
enum Event {
    Arrive(usize),
    FirstToken(usize),
    End(usize),
    Lost(usize),
    Hedge(usize),
    Tick(usize),
    ProbeReply(usize, EndpointKey),
}

struct Entry {
    router: Router,
    pool: PoolKey,
    places: SecondaryMap<EndpointKey, usize>,
}

struct Request {
    entry: usize,
    prefix: u64,
    arrived_ms: u64,
    tried: Vec<EndpointKey>,
    attempts: Vec<usize>,
    refusals: u32,
    retries: u32,
    answered: bool,
}

struct Attempt {
    request: usize,
    key: EndpointKey,
    place: usize,
    live: bool,
    sent_ms: u64,
}

pub(crate) struct Sim {
    scenario: Scenario,
    random: StdRng,
    now_ms: u64,
    order: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    entries: Vec<Entry>,
    endpoints: Vec<Endpoint>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    seen: Seen,
}

impl Sim {
    pub(crate) fn new(
        scenario: &Scenario,
        options: RouterOptions,
        seed: u64,
    ) -> Self {
        let count = scenario.endpoints;
        let endpoint = |at: usize| {
            let part = at as f64 / (count - 1).max(1) as f64;
            let slowness = 1.0 + (scenario.slowest - 1.0) * part;
            Endpoint::new(slowness, scenario.faults.get(at).copied())
        };
        let entries =
            (0..scenario.entries).map(|at| entry(at, count, options));
        Self {
            scenario: scenario.clone(),
            random: StdRng::seed_from_u64(seed),
            now_ms: 0,
            order: 0,
            events: BinaryHeap::new(),
            entries: entries.collect(),
            endpoints: (0..count).map(endpoint).collect(),
            requests: Vec::new(),
            attempts: Vec::new(),
            seen: Seen::default(),
        }
    }

    pub(crate) fn run(mut self) -> Seen {
        for entry in 0..self.entries.len() {
            self.schedule_arrival(entry);
            self.at(entry as u64 % TICK_MS, Event::Tick(entry));
        }
        let end_ms = self.scenario.seconds * 1_000;
        while let Some(Reverse((at_ms, _, event))) = self.events.pop() {
            if at_ms > end_ms {
                break;
            }
            self.now_ms = at_ms;
            self.handle(event);
        }
        self.seen.first_token_ms.sort_unstable();
        self.seen
    }

    fn at(&mut self, delay_ms: u64, event: Event) {
        self.order += 1;
        let at_ms = self.now_ms + delay_ms;
        self.events.push(Reverse((at_ms, self.order, event)));
    }

    fn now(&self) -> Millis {
        Millis::new(self.now_ms)
    }

    fn schedule_arrival(&mut self, entry: usize) {
        let scenario = &self.scenario;
        let speed: f64 = self.endpoints.iter().map(|e| 1.0 / e.slowness).sum();
        let rate = speed * fake::capacity_per_s() * scenario.load
            / scenario.entries as f64;
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        let delay_ms = -uniform.ln() * 1_000.0 / rate;
        self.at(delay_ms.round() as u64, Event::Arrive(entry));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(entry) => {
                self.schedule_arrival(entry);
                self.arrive(entry);
            }
            Event::FirstToken(attempt) => self.first_token(attempt),
            Event::End(attempt) => self.end(attempt),
            Event::Lost(attempt) => self.lost(attempt),
            Event::Hedge(request) => self.hedge(request),
            Event::Tick(entry) => self.tick(entry),
            Event::ProbeReply(entry, key) => self.probe_reply(entry, key),
        }
    }

    fn arrive(&mut self, entry: usize) {
        self.seen.requests += 1;
        // Few prefixes are asked for often, many seldom.
        let uniform: f64 = self.random.random();
        let prefix = (self.scenario.prefixes as f64).powf(uniform) as u64;
        self.requests.push(Request {
            entry,
            prefix,
            arrived_ms: self.now_ms,
            tried: Vec::new(),
            attempts: Vec::new(),
            refusals: 0,
            retries: 0,
            answered: false,
        });
        let request = self.requests.len() - 1;
        self.send(request);
        if self.scenario.hedge_ms > 0 {
            self.at(self.scenario.hedge_ms, Event::Hedge(request));
        }
    }

    /// Sends a request to one endpoint after the other until one takes it.
    fn send(&mut self, request: usize) {
        let now = self.now();
        loop {
            let asked = &mut self.requests[request];
            let entry = &mut self.entries[asked.entry];
            let query = Query::default()
                .prefix(Some(asked.prefix.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
                .tried(&asked.tried);
            let random = self.random.random();
            let choice = entry.router.choose(entry.pool, &query, now, random);
            let Some(choice) = choice else {
                return self.give_up(request);
            };
            let key = choice.endpoint;
            asked.tried.push(key);
            let place = entry.places[key];
            let from = asked.entry;
            for probe in choice.probes {
                self.seen.probes += 1;
                self.at(1, Event::ProbeReply(from, probe));
            }
            let endpoint = &self.endpoints[place];
            let router = &mut self.entries[from].router;
            if endpoint.is_down(self.now_ms) {
                router.failed(key, Failure::Unreachable, now);
            } else if endpoint.is_full() {
                router.refused(key, Refusal::Full, now);
            } else {
                router.sent(key, now);
                return self.accept(request, key, place);
            }
            self.seen.refusals += 1;
            self.requests[request].refusals += 1;
            if self.requests[request].refusals >= REFUSALS_MAX {
                return self.give_up(request);
            }
        }
    }

    fn give_up(&mut self, request: usize) {
        let request = &self.requests[request];
        let live = |at: &usize| self.attempts[*at].live;
        if !request.answered && !request.attempts.iter().any(live) {
            self.seen.failed += 1;
        }
    }

    fn accept(&mut self, request: usize, key: EndpointKey, place: usize) {
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request,
            key,
            place,
            live: true,
            sent_ms: self.now_ms,
        });
        let asked = &mut self.requests[request];
        asked.attempts.push(attempt);
        let (entry, prefix) = (asked.entry, asked.prefix);
        if let Some(delay_ms) = self.fault(place) {
            self.at(delay_ms, Event::Lost(attempt));
            return;
        }
        self.at(self.scenario.timeout_ms, Event::Lost(attempt));
        self.endpoints[place].push(attempt, prefix);
        self.start(place);
        let report = self.report(place);
        let now = self.now();
        self.entries[entry].router.reported(key, &report, now);
    }

    /// Returns after how long an attempt is lost that begins now.
    fn fault(&mut self, place: usize) -> Option<u64> {
        let now_ms = self.now_ms;
        let (share, delay_ms) = match self.endpoints[place].fault? {
            Fault::Breaks {
                share,
                from_ms,
                until_ms,
            } if (from_ms..until_ms).contains(&now_ms) => (share, BREAK_MS),
            Fault::Silent { share } => (share, SILENCE_MS),
            _ => return None,
        };
        self.random.random_bool(share).then_some(delay_ms)
    }

    fn report(&mut self, place: usize) -> EndpointReport {
        let lag_ms = self.scenario.lag_ms;
        let (running, waiting) =
            self.endpoints[place].load(self.now_ms, lag_ms);
        EndpointReport {
            running,
            waiting,
            up: !self.endpoints[place].is_down(self.now_ms),
            incarnation: Incarnation::new(place as u64 + 1),
            ..EndpointReport::default()
        }
    }

    fn start(&mut self, place: usize) {
        for started in self.endpoints[place].start(self.now_ms) {
            self.seen.started += 1;
            self.seen.hits += u64::from(started.cached);
            let (first, end) = (started.first_token_ms, started.end_ms);
            self.at(first as u64, Event::FirstToken(started.attempt));
            self.at(end as u64, Event::End(started.attempt));
        }
    }

    fn first_token(&mut self, attempt: usize) {
        let Attempt {
            request, key, live, ..
        } = self.attempts[attempt];
        if !live {
            return;
        }
        let sent_ms = self.attempts[attempt].sent_ms;
        let now = self.now();
        let asked = &mut self.requests[request];
        let first = !asked.answered;
        asked.answered = true;
        let router = &mut self.entries[asked.entry].router;
        router.answered(key, Some(self.now_ms - sent_ms), now);
        if first {
            let ms = self.now_ms - asked.arrived_ms;
            self.seen.first_token_ms.push(ms);
            for other in asked.attempts.clone() {
                if other != attempt {
                    self.leave(other);
                }
            }
        }
    }

    fn end(&mut self, attempt: usize) {
        self.leave(attempt);
    }

    /// Takes an attempt from its endpoint.
    fn leave(&mut self, attempt: usize) {
        let Attempt {
            request,
            key,
            place,
            live,
            ..
        } = self.attempts[attempt];
        if !live {
            return;
        }
        self.attempts[attempt].live = false;
        let entry = self.requests[request].entry;
        self.entries[entry].router.ended(key);
        self.endpoints[place].end(attempt);
        self.start(place);
    }

    fn lost(&mut self, attempt: usize) {
        let answered = self.requests[self.attempts[attempt].request].answered;
        if !self.attempts[attempt].live || answered {
            return;
        }
        self.leave(attempt);
        let now = self.now();
        let Attempt { request, key, .. } = self.attempts[attempt];
        let asked = &mut self.requests[request];
        let entry = &mut self.entries[asked.entry];
        entry.router.failed(key, Failure::Lost, now);
        let may = asked.retries < RETRIES_MAX
            && (!self.scenario.budget
                || entry.router.try_retry(entry.pool, now));
        if may {
            asked.retries += 1;
            self.seen.retries += 1;
            self.send(request);
        } else {
            self.give_up(request);
        }
    }

    fn hedge(&mut self, request: usize) {
        let now = self.now();
        let asked = &self.requests[request];
        let entry = &mut self.entries[asked.entry];
        if asked.answered || asked.attempts.len() != 1 {
            return;
        }
        if entry.router.try_retry(entry.pool, now) {
            self.seen.hedges += 1;
            self.send(request);
        }
    }

    fn tick(&mut self, entry: usize) {
        let now = self.now();
        for key in self.entries[entry].router.tick(now) {
            self.seen.probes += 1;
            self.at(1, Event::ProbeReply(entry, key));
        }
        self.at(TICK_MS, Event::Tick(entry));
    }

    fn probe_reply(&mut self, entry: usize, key: EndpointKey) {
        let place = self.entries[entry].places[key];
        let report = self.report(place);
        let now = self.now();
        let router = &mut self.entries[entry].router;
        match report.up {
            true => {
                router.probed(key, &report, now);
            }
            false => router.probe_failed(key),
        }
    }
}

fn entry(at: usize, count: usize, options: RouterOptions) -> Entry {
    let listed: Vec<ListedEndpoint> = (0..count)
        .map(|place| {
            let name = format!("endpoint-{place}");
            let near = place % DOMAINS == at % DOMAINS;
            let address = format!("10.0.0.1:{place}");
            let name = name.parse().unwrap_or_else(|_| unreachable!());
            ListedEndpoint::new(name, near, &address)
        })
        .collect();
    let mut router = Router::new(&format!("entry-{at}"), options);
    let pool = router.pool("pool");
    let listing = router.list(pool, &listed);
    Entry {
        router,
        pool,
        places: listing.added.into_iter().collect(),
    }
}
