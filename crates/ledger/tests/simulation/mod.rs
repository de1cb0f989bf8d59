//! Deterministic simulation of owners, companions and a key-value service in
//! one thread, driven by a seed.

mod companions;
mod fake_kv;

use std::collections::BTreeMap;

use base::{JobId, Millis, UnixMillis};
use bytes::Bytes;
use pomeloslip_ledger::{
    Action, Event, Granted, InjectedFault, Ledger, Moment, Options, RunOutcome,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use self::fake_kv::FakeKv;

const OWNERS: usize = 3;
const COMPANIONS: usize = 3;
const JOBS: u64 = 6;
const TICK_MS: u64 = 50;
const PULL_MS: u64 = 60;

/// Duration of the fault phase, and the time limit for all jobs to end after
/// it.
const FAULT_PHASE_MS: u64 = 12_000;
const RECOVERY_PHASE_MS: u64 = 60_000;

/// Fate of a call to the key-value service and of its response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Delivery {
    Delivered,
    /// The request is lost.
    RequestLost,
    /// The call takes effect and its response is lost.
    ResponseLost,
    /// The response is lost and the call takes effect much later.
    Delayed,
    /// The request is delivered a second time, much later.
    Duplicated,
}

/// A message in flight. A message of an earlier `incarnation` of the receiver
/// is dropped.
#[derive(Clone, Debug)]
enum Message {
    Tick {
        owner: usize,
        incarnation: u64,
    },
    Call {
        owner: usize,
        incarnation: u64,
        action: Action,
        sent_at: u64,
        delivery: Delivery,
    },
    Event {
        owner: usize,
        incarnation: u64,
        event: Event,
    },
    Wake {
        companion: usize,
    },
    Pull {
        owner: usize,
        companion: usize,
        incarnation: u64,
        running: Vec<u64>,
    },
    Grant {
        companion: usize,
        incarnation: u64,
        owner: usize,
        items: Vec<Granted>,
        revoked: Vec<u64>,
    },
    Ran {
        companion: usize,
        incarnation: u64,
        owner: usize,
        grant: u64,
    },
    Result {
        owner: usize,
        item: Granted,
        end: RunOutcome,
    },
    Create {
        number: u64,
    },
    Cancel {
        number: u64,
    },
}

struct Owner {
    ledger: Ledger,
    incarnation: u64,
    paused_until: u64,
    /// Offset of the owner's monotonic clock.
    clock_offset_ms: u64,
}

#[derive(Default)]
struct Companion {
    incarnation: u64,
    running: BTreeMap<(usize, u64), Granted>,
}

/// The complete state of a simulation run.
pub(crate) struct Simulation {
    rng: StdRng,
    options: Options,
    now: u64,
    sequence: u64,
    queue: BTreeMap<(u64, u64), Message>,
    fake_kv: FakeKv,
    owners: Vec<Owner>,
    companions: Vec<Companion>,
    incarnations: u64,
    /// Crashes an owner at this message; no other fault is injected.
    crash_at: Option<u64>,
    messages: u64,
}

/// Statistics of a run, by which a test verifies that faults occurred.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunStats {
    pub(crate) commits: u64,
    pub(crate) refused_stale: u64,
    pub(crate) completed_jobs: u64,
    pub(crate) cancelled_jobs: u64,
}

impl std::ops::AddAssign for RunStats {
    fn add_assign(&mut self, other: Self) {
        self.commits += other.commits;
        self.refused_stale += other.refused_stale;
        self.completed_jobs += other.completed_jobs;
        self.cancelled_jobs += other.cancelled_jobs;
    }
}

pub(crate) fn job_id(number: u64) -> JobId {
    format!("batch_{number}").parse().expect("a valid id")
}

impl Simulation {
    pub(crate) fn new(
        seed: u64,
        injected_fault: Option<InjectedFault>,
    ) -> Self {
        let mut options = Options::default()
            .partitions(4)
            .lease_ttl_s(2)
            .lease_margin_ms(100)
            .membership_interval_ms(200)
            .list_interval_ms(200)
            .commit_interval_ms(100)
            .commit_items_max(8)
            .commit_jobs_max(3)
            .grant_items_max(4)
            .grant_ttl_ms(800)
            .retry_base_ms(20)
            .same_endpoint_delay_ms(300);
        if let Some(fault) = injected_fault {
            options = options.inject_fault(fault);
        }
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(seed),
            options,
            now: 0,
            sequence: 0,
            queue: BTreeMap::new(),
            fake_kv: FakeKv::default(),
            owners: Vec::new(),
            companions: Vec::new(),
            incarnations: 0,
            crash_at: None,
            messages: 0,
        };
        simulation.start(FAULT_PHASE_MS / 2);
        simulation
    }

    /// Creates a simulation in which one owner crashes at a given message and
    /// no other fault is injected.
    pub(crate) fn with_crash(seed: u64, crash_at: u64) -> Self {
        let mut simulation = Self::new(seed, None);
        simulation.queue.clear();
        simulation.owners.clear();
        simulation.companions.clear();
        simulation.crash_at = Some(crash_at);
        simulation.start(300);
        simulation
    }

    fn start(&mut self, create_ms: u64) {
        for _ in 0..OWNERS {
            let owner = self.new_owner();
            self.owners.push(owner);
        }
        for companion in 0..COMPANIONS {
            self.companions.push(Companion::default());
            self.send(PULL_MS, Message::Wake { companion });
        }
        for owner in 0..OWNERS {
            let incarnation = self.owners[owner].incarnation;
            self.send(1, Message::Tick { owner, incarnation });
        }
        for number in 0..JOBS {
            let at = self.rng.random_range(0..create_ms);
            self.send(at, Message::Create { number });
            if self.rng.random_bool(0.2) {
                let later = self.rng.random_range(1..3_000);
                self.send(at + later, Message::Cancel { number });
            }
        }
    }

    fn new_owner(&mut self) -> Owner {
        self.incarnations += 1;
        let incarnation = self.incarnations;
        let salt = self.rng.random();
        let member = format!("member-{incarnation}");
        let ledger = Ledger::new(member, salt, self.options.clone());
        let clock_offset_ms = self.rng.random_range(0..1_000_000);
        Owner {
            ledger,
            incarnation,
            paused_until: 0,
            clock_offset_ms,
        }
    }

    /// Runs to the end and returns the first violated invariant as an error.
    pub(crate) fn run(mut self) -> Result<RunStats, String> {
        while let Some(((at, _), message)) = self.queue.pop_first() {
            self.now = self.now.max(at);
            let is_tick = matches!(message, Message::Tick { .. });
            if is_tick && self.is_fault_free() && self.fake_kv.all_ended(JOBS)
            {
                return self.fake_kv.check_end();
            }
            if self.now > FAULT_PHASE_MS + RECOVERY_PHASE_MS {
                let open_jobs = self.fake_kv.open_jobs();
                return Err(format!("jobs that did not end: {open_jobs:?}"));
            }
            self.fake_kv.expire(self.now);
            self.inject_faults();
            self.deliver(message)?;
        }
        Err("no message is in flight".to_owned())
    }

    fn is_fault_free(&self) -> bool {
        self.crash_at.is_some() || self.now >= FAULT_PHASE_MS
    }

    fn chance(&mut self, percent: f64) -> bool {
        !self.is_fault_free() && self.rng.random_bool(percent / 100.0)
    }

    fn send(&mut self, delay_ms: u64, message: Message) {
        self.sequence += 1;
        let at = self.now + delay_ms;
        self.queue.insert((at, self.sequence), message);
    }

    fn delay(&mut self) -> u64 {
        match self.chance(2.0) {
            true => self.rng.random_range(100..4_000),
            false => self.rng.random_range(1..20),
        }
    }

    /// Injects pauses, crashes and outages, each with a probability of 0.05 to
    /// 0.3 percent per message.
    fn inject_faults(&mut self) {
        self.messages += 1;
        if self.crash_at == Some(self.messages) {
            self.crash();
        }
        if self.chance(0.3) {
            let owner = self.rng.random_range(0..OWNERS);
            let pause = self.rng.random_range(200..6_000);
            self.owners[owner].paused_until = self.now + pause;
        }
        if self.chance(0.1) {
            self.crash();
        }
        if self.chance(0.2) {
            let companion = self.rng.random_range(0..COMPANIONS);
            let companion = &mut self.companions[companion];
            companion.incarnation += 1;
            companion.running.clear();
        }
        if self.chance(0.05) {
            let until = self.now + self.rng.random_range(500..5_000);
            self.fake_kv.down_until = until;
        }
    }

    fn crash(&mut self) {
        let owner = self.rng.random_range(0..OWNERS);
        self.owners[owner] = self.new_owner();
        let incarnation = self.owners[owner].incarnation;
        self.send(TICK_MS, Message::Tick { owner, incarnation });
    }

    fn deliver(&mut self, message: Message) -> Result<(), String> {
        if let Some(until) = self.resume_time(&message) {
            let delay = until - self.now + self.rng.random_range(0..5);
            self.send(delay, message);
            return Ok(());
        }
        match message {
            Message::Tick { owner, incarnation } => {
                if self.owners[owner].incarnation == incarnation {
                    self.send(TICK_MS, Message::Tick { owner, incarnation });
                    self.handle_event(owner, incarnation, Event::Tick);
                }
            }
            Message::Event {
                owner,
                incarnation,
                event,
            } => {
                self.handle_event(owner, incarnation, event);
            }
            Message::Call {
                owner,
                incarnation,
                action,
                sent_at,
                delivery,
            } => self.receive_call(
                owner,
                incarnation,
                action,
                sent_at,
                delivery,
            )?,
            Message::Wake { companion } => self.wake(companion),
            Message::Pull {
                owner,
                companion,
                incarnation,
                running,
            } => self.pull(owner, companion, incarnation, &running),
            Message::Grant {
                companion,
                incarnation,
                owner,
                items,
                revoked,
            } => self.on_grant(companion, incarnation, owner, items, &revoked),
            Message::Ran {
                companion,
                incarnation,
                owner,
                grant,
            } => self.ran(companion, incarnation, owner, grant),
            Message::Result { owner, item, end } => {
                let moment = self.moment(owner);
                let ledger = &mut self.owners[owner].ledger;
                let (job, index) = (&item.job, item.index);
                ledger.result(moment, job, index, item.grant, end);
            }
            Message::Create { number } => self.fake_kv.create(number),
            Message::Cancel { number } => self.fake_kv.cancel(number),
        }
        Ok(())
    }

    /// Returns the time at which the receiver resumes, if it is paused.
    fn resume_time(&self, message: &Message) -> Option<u64> {
        let owner = match message {
            Message::Tick { owner, .. }
            | Message::Event { owner, .. }
            | Message::Pull { owner, .. }
            | Message::Result { owner, .. } => *owner,
            _ => return None,
        };
        let until = self.owners[owner].paused_until;
        (until > self.now && !self.is_fault_free()).then_some(until)
    }

    fn moment(&mut self, owner: usize) -> Moment {
        Moment {
            now: Millis::new(self.now + self.owners[owner].clock_offset_ms),
            unix: UnixMillis::new(self.now),
            random: self.rng.random(),
        }
    }

    fn handle_event(&mut self, owner: usize, incarnation: u64, event: Event) {
        if self.owners[owner].incarnation != incarnation {
            return;
        }
        let moment = self.moment(owner);
        let actions = self.owners[owner].ledger.handle(moment, event);
        let sent_at = moment.now.as_ms();
        for action in actions {
            self.start_call(owner, incarnation, action, sent_at);
        }
    }

    fn start_call(
        &mut self,
        owner: usize,
        incarnation: u64,
        action: Action,
        sent_at: u64,
    ) {
        if let Action::GiveUp { job, index, .. } = &action {
            let line = line(job, *index);
            self.owners[owner].ledger.give_up(job, *index, line);
            return;
        }
        let delivery = match self.rng.random_range(0..100) {
            _ if self.is_fault_free() => Delivery::Delivered,
            0..3 => Delivery::RequestLost,
            3..6 => Delivery::ResponseLost,
            6..8 => Delivery::Delayed,
            8..10 => Delivery::Duplicated,
            _ => Delivery::Delivered,
        };
        let delay = match delivery {
            Delivery::Delayed => self.rng.random_range(500..6_000),
            _ => self.delay(),
        };
        if delivery == Delivery::Duplicated {
            let delivery = Delivery::ResponseLost;
            let copy = Message::Call {
                owner,
                incarnation,
                action: action.clone(),
                sent_at,
                delivery,
            };
            let later = delay + self.rng.random_range(0..4_000);
            self.send(later, copy);
        }
        if matches!(
            delivery,
            Delivery::RequestLost | Delivery::ResponseLost | Delivery::Delayed
        ) {
            let event = fake_kv::failed(&action, sent_at);
            let wait = 20 + self.rng.random_range(0..100);
            self.send(
                wait,
                Message::Event {
                    owner,
                    incarnation,
                    event,
                },
            );
        }
        if delivery != Delivery::RequestLost {
            let call = Message::Call {
                owner,
                incarnation,
                action,
                sent_at,
                delivery,
            };
            self.send(delay, call);
        }
    }

    fn receive_call(
        &mut self,
        owner: usize,
        incarnation: u64,
        action: Action,
        sent_at: u64,
        delivery: Delivery,
    ) -> Result<(), String> {
        let is_down =
            self.fake_kv.down_until > self.now && !self.is_fault_free();
        let event = match &action {
            Action::Store { commit, parts } => {
                let fails = self.chance(5.0);
                fake_kv::stored(*commit, parts, fails)
            }
            _ if is_down => fake_kv::refused(&action, sent_at),
            _ => {
                let member = format!("member-{incarnation}");
                self.fake_kv.call(&member, &action, sent_at)?
            }
        };
        if matches!(delivery, Delivery::Delivered | Delivery::Duplicated) {
            let delay = self.delay();
            self.send(
                delay,
                Message::Event {
                    owner,
                    incarnation,
                    event,
                },
            );
        }
        Ok(())
    }
}

fn line(job: &JobId, index: u32) -> Bytes {
    format!("{job} {index}\n").into()
}
