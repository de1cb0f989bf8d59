//! A handful of processes with an unreliable network and service.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use base::{Millis, Revision};
use pomeloslip_spread::{
    Action, Event, Message, Options, Propagator, Stamp, Step,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const PROCESSES: usize = 9;
const DOMAINS: usize = 3;
const CUSTOMERS: u32 = 12;
const TICK_MS: u64 = 200;
const ROUGH_MS: u64 = 25_000;
const HEALED_MS: u64 = 15_000;

/// What is on its way, or due.
enum Scheduled {
    Tick(usize),
    Ask(usize, usize, Message),
    Answer(usize, usize, Message),
    Fail(usize, usize),
    Service(usize, Event),
    Chaos,
}

pub(crate) struct Sim {
    random: StdRng,
    now: u64,
    seq: u64,
    queue: BTreeMap<(u64, u64), (u64, Scheduled)>,
    processes: Vec<Propagator>,
    /// Life of each process; what was sent to an earlier one is lost.
    lives: Vec<u64>,
    watching: BTreeSet<usize>,
    /// Each accepted text, by revision.
    accepted: BTreeMap<u64, String>,
    /// What the service holds; older than the newest after a restore.
    held: u64,
    service_up: bool,
    parted: bool,
    rough: bool,
    /// Applied in this life.
    applied: Vec<u64>,
    /// Process 0 takes whatever the service says.
    fault: bool,
    pub(crate) violations: Vec<String>,
    /// Everything that was applied, for comparing replays.
    pub(crate) trace: Vec<(u64, usize, u64)>,
}

fn address(at: usize) -> SocketAddr {
    ([127, 0, 0, 1], 1_000 + at as u16).into()
}

fn process(at: usize, now: u64) -> Propagator {
    let others = (0..PROCESSES).filter(|other| *other != at);
    let options = Options {
        fanout: 3,
        relays: 1,
        member_ttl_ms: 5_000,
        discovery_ms: 1_500,
        ..Options::default()
    };
    let domain = format!("domain-{}", at % DOMAINS).parse().unwrap();
    let vm = format!("entry-{at}").parse().unwrap();
    let peers = others.map(address).collect();
    Propagator::new(vm, domain, peers, options, Millis::new(now))
}

impl Sim {
    pub(crate) fn new(seed: u64, fault: bool) -> Self {
        let mut sim = Self {
            random: StdRng::seed_from_u64(seed),
            now: 0,
            seq: 0,
            queue: BTreeMap::new(),
            processes: (0..PROCESSES).map(|at| process(at, 0)).collect(),
            lives: vec![0; PROCESSES],
            watching: BTreeSet::new(),
            accepted: BTreeMap::new(),
            held: 1,
            service_up: true,
            parted: false,
            rough: true,
            applied: vec![0; PROCESSES],
            fault,
            violations: Vec::new(),
            trace: Vec::new(),
        };
        let line = |at| format!("  - tenant: t{at}\n    weight: 1\n");
        let customers: String = (0..CUSTOMERS).map(line).collect();
        let text = format!("tenants:\n{customers}rules: []\n");
        sim.accepted.insert(1, text);
        for at in 0..PROCESSES {
            sim.push(TICK_MS, at, Scheduled::Tick(at));
            sim.read(at);
        }
        sim.push(500, 0, Scheduled::Chaos);
        sim
    }

    /// Runs the rough time, heals everything, and checks that all agree.
    pub(crate) fn run(&mut self, service_comes_back: bool) {
        self.until(ROUGH_MS);
        self.rough = false;
        self.parted = false;
        self.service_up = service_comes_back;
        for at in self.watching.clone() {
            self.read(at);
        }
        self.until(ROUGH_MS + HEALED_MS);
        let in_force = self.processes.iter().map(|p| p.revision().get());
        let mut newest = in_force.max().unwrap();
        if service_comes_back {
            newest = newest.max(self.held);
        }
        for (at, process) in self.processes.iter().enumerate() {
            let text = process.document().map(|found| found.text());
            if text.as_ref() != self.accepted.get(&newest) {
                let has = process.revision();
                let why = format!("{at} has {has}, the newest is {newest}");
                self.violations.push(why);
            }
        }
    }

    fn push(&mut self, after_ms: u64, to: usize, due: Scheduled) {
        self.seq += 1;
        let life = self.lives[to];
        self.queue
            .insert((self.now + after_ms, self.seq), (life, due));
    }

    fn until(&mut self, end: u64) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                return;
            }
            self.now = entry.key().0;
            let (life, due) = entry.remove();
            self.run_due(life, due);
        }
    }

    fn run_due(&mut self, life: u64, due: Scheduled) {
        match due {
            Scheduled::Tick(at) => {
                self.push(TICK_MS, at, Scheduled::Tick(at));
                // A paused process skips some.
                if !self.chance(0.05) {
                    self.handle(at, Event::Tick, None);
                }
            }
            Scheduled::Ask(from, to, message) => {
                let event = Event::Request(message);
                self.handle(to, event, Some(from));
            }
            Scheduled::Answer(from, to, message) if life == self.lives[to] => {
                let peer = address(from);
                self.handle(to, Event::Response { peer, message }, None);
            }
            Scheduled::Fail(from, to) if life == self.lives[to] => {
                let peer = address(from);
                self.handle(to, Event::Failed { peer }, None);
            }
            Scheduled::Service(to, event) if life == self.lives[to] => {
                self.handle(to, event, None);
            }
            Scheduled::Answer(..)
            | Scheduled::Fail(..)
            | Scheduled::Service(..) => {}
            Scheduled::Chaos => {
                if self.rough {
                    self.chaos();
                    self.push(500, 0, Scheduled::Chaos);
                }
            }
        }
    }

    fn chance(&mut self, share: f64) -> bool {
        let drawn = self.random.random::<f64>();
        self.rough && drawn < share
    }

    fn delay(&mut self) -> u64 {
        match self.chance(0.1) {
            true => self.random.random_range(1..3_000),
            false => self.random.random_range(1..30),
        }
    }

    fn handle(&mut self, at: usize, event: Event, asker: Option<usize>) {
        if let (true, 0, Event::Found { revision, .. }) =
            (self.fault, at, &event)
        {
            self.note_applied(0, revision.get());
        }
        let random = self.random.random();
        let now = Millis::new(self.now);
        for action in self.processes[at].handle(now, event, random) {
            match action {
                Action::Apply(document) => {
                    let revision = document.revision().get();
                    self.note_applied(at, revision);
                    if self.accepted.get(&revision) != Some(&document.text()) {
                        let why = format!("{at}: another text as {revision}");
                        self.violations.push(why);
                    }
                }
                Action::Send { peer, message } => {
                    self.send(at, peer, *message);
                }
                Action::Reply(message) => {
                    let to = asker.unwrap();
                    self.carry(at, to, Scheduled::Answer, *message);
                }
                Action::Watch(true) => {
                    self.watching.insert(at);
                    self.read(at);
                }
                Action::Watch(false) => {
                    self.watching.remove(&at);
                }
                Action::Read => self.read(at),
            }
        }
    }

    fn note_applied(&mut self, at: usize, revision: u64) {
        if revision <= self.applied[at] {
            let before = self.applied[at];
            let why = format!("{at} applied {revision} after {before}");
            self.violations.push(why);
        }
        self.applied[at] = revision;
        self.trace.push((self.now, at, revision));
    }

    fn send(&mut self, from: usize, peer: SocketAddr, message: Message) {
        let to = usize::from(peer.port() - 1_000);
        assert!(message.step() != Step::Tell || message.delta().is_some());
        let arrived = self.carry(from, to, Scheduled::Ask, message);
        if !arrived {
            self.push(500, from, Scheduled::Fail(to, from));
        }
    }

    /// Carries a message, late, twice or not at all.
    fn carry(
        &mut self,
        from: usize,
        to: usize,
        make: impl Fn(usize, usize, Message) -> Scheduled,
        message: Message,
    ) -> bool {
        // The first third of the processes are a region of their own.
        let region = |at| at < PROCESSES / 3;
        let parted = self.parted && region(from) != region(to);
        if parted || self.chance(0.1) {
            return false;
        }
        for _ in 0..=u32::from(self.chance(0.1)) {
            let delay = self.delay();
            self.push(delay, to, make(from, to, message.clone()));
        }
        true
    }

    fn read(&mut self, at: usize) {
        if !self.service_up {
            return;
        }
        let event = Event::Found {
            revision: Revision::new(self.held),
            text: self.accepted[&self.held].clone(),
            stamp: Stamp::default(),
        };
        let delay = self.delay();
        self.push(delay, at, Scheduled::Service(at, event));
    }

    fn chaos(&mut self) {
        let at = self.random.random_range(0..PROCESSES);
        match self.random.random_range(0..12) {
            0..5 => self.edit(at),
            5 => self.parted = !self.parted,
            6 => self.service_up = !self.service_up,
            7 => {
                self.lives[at] += 1;
                self.applied[at] = 0;
                self.watching.remove(&at);
                self.processes[at] = process(at, self.now);
                self.read(at);
            }
            8 => {
                // The service's data comes back from an old copy.
                self.held = self.random.random_range(1..=self.held);
                for at in self.watching.clone() {
                    self.read(at);
                }
            }
            9 => self.read(at),
            _ => {}
        }
    }

    /// Accepts an edit through a process, which goes on from the newest.
    fn edit(&mut self, at: usize) {
        let newest = *self.accepted.last_key_value().unwrap().0;
        let known = self.processes[at].revision().get().max(self.held);
        if !self.service_up || known != newest {
            return;
        }
        let customer = self.random.random_range(0..CUSTOMERS);
        let (from, to) = match self.random.random_range(0..3) {
            0 => (
                format!("  - tenant: t{customer}\n    weight: 1\n"),
                String::new(),
            ),
            1 => (
                "rules: []\n".to_owned(),
                format!("  - tenant: n{newest}\nrules: []\n"),
            ),
            _ => (
                format!("t{customer}\n    weight:"),
                format!("t{customer}\n    burst: {newest}\n    weight:"),
            ),
        };
        let text = self.accepted[&newest].replacen(&from, &to, 1);
        let revision = Revision::new(newest + 1);
        let stamp = Stamp::default();
        let delta =
            self.processes[at].delta_for_edit(revision, &text, stamp.clone());
        self.accepted.insert(newest + 1, text.clone());
        self.held = newest + 1;
        let accepted = Event::Accepted {
            revision,
            text,
            stamp,
        };
        self.handle(at, accepted, None);
        for relay in self.watching.clone() {
            // A watch can hang.
            if self.chance(0.1) {
                continue;
            }
            let event = match &delta {
                Some(delta) => Event::Changed(delta.clone()),
                None => Event::RevisionAnnounced(revision),
            };
            let delay = self.delay();
            self.push(delay, relay, Scheduled::Service(relay, event));
        }
    }
}
