//! Simulation of a few processes with an unreliable network and key-value
//! service.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use base::{Millis, Revision};
use pomeloslip_spread::{
    Action, Event, Message, MessageKind, Options, Propagator, Stamp,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const PROCESSES: usize = 9;
const DOMAINS: usize = 3;
const CUSTOMERS: u32 = 12;
const TICK_MS: u64 = 200;
const FAULTS_MS: u64 = 25_000;
const HEALED_MS: u64 = 15_000;

/// A message in transit or a scheduled event.
enum Scheduled {
    Tick(usize),
    Request(usize, usize, Message),
    Response(usize, usize, Message),
    Fail(usize, usize),
    KeyValue(usize, Event),
    InjectFault,
}

pub(crate) struct Sim {
    random: StdRng,
    now: u64,
    seq: u64,
    queue: BTreeMap<(u64, u64), (u64, Scheduled)>,
    processes: Vec<Propagator>,
    /// Incarnation of each process; messages to an earlier one are lost.
    incarnations: Vec<u64>,
    watching: BTreeSet<usize>,
    /// All accepted texts by revision.
    accepted: BTreeMap<u64, String>,
    /// Revision that the key-value service holds; older than the newest after
    /// a restore from a backup.
    kv_revision: u64,
    kv_is_up: bool,
    is_partitioned: bool,
    faults_enabled: bool,
    /// Latest revision applied by each process in its current incarnation.
    applied: Vec<u64>,
    /// Process 0 applies whatever the key-value service returns.
    planted_fault: bool,
    pub(crate) violations: Vec<String>,
    /// All applied revisions, for comparing replays.
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
    pub(crate) fn new(seed: u64, planted_fault: bool) -> Self {
        let mut sim = Self {
            random: StdRng::seed_from_u64(seed),
            now: 0,
            seq: 0,
            queue: BTreeMap::new(),
            processes: (0..PROCESSES).map(|at| process(at, 0)).collect(),
            incarnations: vec![0; PROCESSES],
            watching: BTreeSet::new(),
            accepted: BTreeMap::new(),
            kv_revision: 1,
            kv_is_up: true,
            is_partitioned: false,
            faults_enabled: true,
            applied: vec![0; PROCESSES],
            planted_fault,
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
        sim.push(500, 0, Scheduled::InjectFault);
        sim
    }

    /// Runs the period of faults, removes all faults, and checks that all
    /// processes agree.
    pub(crate) fn run(&mut self, kv_recovers: bool) {
        self.until(FAULTS_MS);
        self.faults_enabled = false;
        self.is_partitioned = false;
        self.kv_is_up = kv_recovers;
        for at in self.watching.clone() {
            self.read(at);
        }
        self.until(FAULTS_MS + HEALED_MS);
        let in_force = self.processes.iter().map(|p| p.revision().get());
        let mut newest = in_force.max().unwrap();
        if kv_recovers {
            newest = newest.max(self.kv_revision);
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

    fn push(&mut self, after_ms: u64, to: usize, scheduled: Scheduled) {
        self.seq += 1;
        let incarnation = self.incarnations[to];
        self.queue
            .insert((self.now + after_ms, self.seq), (incarnation, scheduled));
    }

    fn until(&mut self, end: u64) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                return;
            }
            self.now = entry.key().0;
            let (incarnation, scheduled) = entry.remove();
            self.run_scheduled(incarnation, scheduled);
        }
    }

    fn run_scheduled(&mut self, incarnation: u64, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Tick(at) => {
                self.push(TICK_MS, at, Scheduled::Tick(at));
                // A paused process skips some ticks.
                if !self.chance(0.05) {
                    self.handle(at, Event::Tick, None);
                }
            }
            Scheduled::Request(from, to, message) => {
                let event = Event::Request(message);
                self.handle(to, event, Some(from));
            }
            Scheduled::Response(from, to, message)
                if incarnation == self.incarnations[to] =>
            {
                let peer = address(from);
                self.handle(to, Event::Response { peer, message }, None);
            }
            Scheduled::Fail(from, to)
                if incarnation == self.incarnations[to] =>
            {
                let peer = address(from);
                self.handle(to, Event::PeerFailed { peer }, None);
            }
            Scheduled::KeyValue(to, event)
                if incarnation == self.incarnations[to] =>
            {
                self.handle(to, event, None);
            }
            Scheduled::Response(..)
            | Scheduled::Fail(..)
            | Scheduled::KeyValue(..) => {}
            Scheduled::InjectFault => {
                if self.faults_enabled {
                    self.inject_fault();
                    self.push(500, 0, Scheduled::InjectFault);
                }
            }
        }
    }

    fn chance(&mut self, share: f64) -> bool {
        let drawn = self.random.random::<f64>();
        self.faults_enabled && drawn < share
    }

    fn delay(&mut self) -> u64 {
        match self.chance(0.1) {
            true => self.random.random_range(1..3_000),
            false => self.random.random_range(1..30),
        }
    }

    fn handle(&mut self, at: usize, event: Event, requester: Option<usize>) {
        if let (true, 0, Event::ConfigRead { revision, .. }) =
            (self.planted_fault, at, &event)
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
                    let to = requester.unwrap();
                    self.deliver(at, to, Scheduled::Response, *message);
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
        assert!(
            message.kind() != MessageKind::Push || message.delta().is_some()
        );
        let arrived = self.deliver(from, to, Scheduled::Request, message);
        if !arrived {
            self.push(500, from, Scheduled::Fail(to, from));
        }
    }

    /// Delivers a message late, twice or not at all.
    fn deliver(
        &mut self,
        from: usize,
        to: usize,
        make: impl Fn(usize, usize, Message) -> Scheduled,
        message: Message,
    ) -> bool {
        // The first third of the processes are a region of their own.
        let region = |at| at < PROCESSES / 3;
        let is_partitioned = self.is_partitioned && region(from) != region(to);
        if is_partitioned || self.chance(0.1) {
            return false;
        }
        for _ in 0..=u32::from(self.chance(0.1)) {
            let delay = self.delay();
            self.push(delay, to, make(from, to, message.clone()));
        }
        true
    }

    fn read(&mut self, at: usize) {
        if !self.kv_is_up {
            return;
        }
        let event = Event::ConfigRead {
            revision: Revision::new(self.kv_revision),
            text: self.accepted[&self.kv_revision].clone(),
            stamp: Stamp::default(),
        };
        let delay = self.delay();
        self.push(delay, at, Scheduled::KeyValue(at, event));
    }

    fn inject_fault(&mut self) {
        let at = self.random.random_range(0..PROCESSES);
        match self.random.random_range(0..12) {
            0..5 => self.edit(at),
            5 => self.is_partitioned = !self.is_partitioned,
            6 => self.kv_is_up = !self.kv_is_up,
            7 => {
                self.incarnations[at] += 1;
                self.applied[at] = 0;
                self.watching.remove(&at);
                self.processes[at] = process(at, self.now);
                self.read(at);
            }
            8 => {
                // The key-value service is restored from an old backup.
                self.kv_revision =
                    self.random.random_range(1..=self.kv_revision);
                for at in self.watching.clone() {
                    self.read(at);
                }
            }
            9 => self.read(at),
            _ => {}
        }
    }

    /// Accepts an edit of the newest revision through a process.
    fn edit(&mut self, at: usize) {
        let newest = *self.accepted.last_key_value().unwrap().0;
        let known = self.processes[at].revision().get().max(self.kv_revision);
        if !self.kv_is_up || known != newest {
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
        self.kv_revision = newest + 1;
        let accepted = Event::EditAccepted {
            revision,
            text,
            stamp,
        };
        self.handle(at, accepted, None);
        for relay in self.watching.clone() {
            // A watch may miss a change.
            if self.chance(0.1) {
                continue;
            }
            let event = match &delta {
                Some(delta) => Event::Changed(delta.clone()),
                None => Event::RevisionAnnounced(revision),
            };
            let delay = self.delay();
            self.push(delay, relay, Scheduled::KeyValue(relay, event));
        }
    }
}
