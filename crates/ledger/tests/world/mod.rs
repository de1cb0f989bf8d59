//! Owners, companions and a service in one thread, driven from a seed.

mod companions;
mod service;

use std::collections::BTreeMap;

use base::{JobId, Millis, UnixMillis};
use bytes::Bytes;
use pomeloslip_ledger::{
    Action, Event, Granted, InjectedFault, Ledger, Moment, Options, RunOutcome,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use self::service::Service;

const OWNERS: usize = 3;
const COMPANIONS: usize = 3;
const JOBS: u64 = 6;
const TICK_MS: u64 = 50;
const PULL_MS: u64 = 60;

/// How long faults happen, and how long all must be done afterwards.
const CHAOS_MS: u64 = 12_000;
const CALM_MS: u64 = 60_000;

/// What happens to a call on its way to the service and back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    Answered,
    /// It never arrives.
    LostBefore,
    /// It takes effect and its answer is lost.
    LostAfter,
    /// Its answer is lost and it takes effect much later.
    Late,
    /// It arrives a second time, much later.
    Twice,
}

/// A message in flight. `life` voids those of an earlier life.
#[derive(Clone, Debug)]
enum Message {
    Tick {
        owner: usize,
        life: u64,
    },
    Call {
        owner: usize,
        life: u64,
        action: Action,
        sent_at: u64,
        way: Way,
    },
    Tell {
        owner: usize,
        life: u64,
        event: Event,
    },
    Wake {
        companion: usize,
    },
    Pull {
        owner: usize,
        companion: usize,
        life: u64,
        running: Vec<u64>,
    },
    Grant {
        companion: usize,
        life: u64,
        owner: usize,
        items: Vec<Granted>,
        revoked: Vec<u64>,
    },
    Ran {
        companion: usize,
        life: u64,
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
    life: u64,
    paused_until: u64,
    /// Its clock is ahead of the others by this.
    ahead_ms: u64,
}

#[derive(Default)]
struct Companion {
    life: u64,
    running: BTreeMap<(usize, u64), Granted>,
}

/// Everything that one seed decides.
pub(crate) struct World {
    rng: StdRng,
    options: Options,
    now: u64,
    sequence: u64,
    queue: BTreeMap<(u64, u64), Message>,
    service: Service,
    owners: Vec<Owner>,
    companions: Vec<Companion>,
    lives: u64,
    /// Crashes an owner at this message; no other fault happens.
    crash_at: Option<u64>,
    messages: u64,
}

/// What a run was like, so that a test can see that faults happened.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Seen {
    pub(crate) commits: u64,
    pub(crate) refused_stale: u64,
    pub(crate) completed_jobs: u64,
    pub(crate) cancelled_jobs: u64,
}

impl std::ops::AddAssign for Seen {
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

impl World {
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
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            options,
            now: 0,
            sequence: 0,
            queue: BTreeMap::new(),
            service: Service::default(),
            owners: Vec::new(),
            companions: Vec::new(),
            lives: 0,
            crash_at: None,
            messages: 0,
        };
        world.start(CHAOS_MS / 2);
        world
    }

    /// Makes a world in which one owner crashes at a message, and nothing
    /// else happens.
    pub(crate) fn with_crash(seed: u64, crash_at: u64) -> Self {
        let mut world = Self::new(seed, None);
        world.queue.clear();
        world.owners.clear();
        world.companions.clear();
        world.crash_at = Some(crash_at);
        world.start(300);
        world
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
            let life = self.owners[owner].life;
            self.send(1, Message::Tick { owner, life });
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
        self.lives += 1;
        let life = self.lives;
        let salt = self.rng.random();
        let member = format!("member-{life}");
        let ledger = Ledger::new(member, salt, self.options.clone());
        let ahead_ms = self.rng.random_range(0..1_000_000);
        Owner {
            ledger,
            life,
            paused_until: 0,
            ahead_ms,
        }
    }

    /// Runs to the end and says what went wrong first.
    pub(crate) fn run(mut self) -> Result<Seen, String> {
        while let Some(((at, _), message)) = self.queue.pop_first() {
            self.now = self.now.max(at);
            let looks = matches!(message, Message::Tick { .. });
            if looks && self.is_calm() && self.service.all_ended(JOBS) {
                return self.service.check_end();
            }
            if self.now > CHAOS_MS + CALM_MS {
                let left = self.service.open_jobs();
                return Err(format!("lost items: not ended are {left:?}"));
            }
            self.service.expire(self.now);
            self.mischief();
            self.deliver(message)?;
        }
        Err("nothing is in flight any more".to_owned())
    }

    fn is_calm(&self) -> bool {
        self.crash_at.is_some() || self.now >= CHAOS_MS
    }

    fn chance(&mut self, percent: f64) -> bool {
        !self.is_calm() && self.rng.random_bool(percent / 100.0)
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

    /// Pauses, crashes and outages, about one in 300 messages each.
    fn mischief(&mut self) {
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
            companion.life += 1;
            companion.running.clear();
        }
        if self.chance(0.05) {
            let until = self.now + self.rng.random_range(500..5_000);
            self.service.down_until = until;
        }
    }

    fn crash(&mut self) {
        let owner = self.rng.random_range(0..OWNERS);
        self.owners[owner] = self.new_owner();
        let life = self.owners[owner].life;
        self.send(TICK_MS, Message::Tick { owner, life });
    }

    fn deliver(&mut self, message: Message) -> Result<(), String> {
        if let Some(until) = self.sleeps(&message) {
            let delay = until - self.now + self.rng.random_range(0..5);
            self.send(delay, message);
            return Ok(());
        }
        match message {
            Message::Tick { owner, life } => {
                if self.owners[owner].life == life {
                    self.send(TICK_MS, Message::Tick { owner, life });
                    self.tell(owner, life, Event::Tick);
                }
            }
            Message::Tell { owner, life, event } => {
                self.tell(owner, life, event);
            }
            Message::Call {
                owner,
                life,
                action,
                sent_at,
                way,
            } => self.arrive(owner, life, action, sent_at, way)?,
            Message::Wake { companion } => self.wake(companion),
            Message::Pull {
                owner,
                companion,
                life,
                running,
            } => self.pull(owner, companion, life, &running),
            Message::Grant {
                companion,
                life,
                owner,
                items,
                revoked,
            } => self.take_grant(companion, life, owner, items, &revoked),
            Message::Ran {
                companion,
                life,
                owner,
                grant,
            } => self.ran(companion, life, owner, grant),
            Message::Result { owner, item, end } => {
                let moment = self.moment(owner);
                let ledger = &mut self.owners[owner].ledger;
                let (job, index) = (&item.job, item.index);
                ledger.result(moment, job, index, item.grant, end);
            }
            Message::Create { number } => self.service.create(number),
            Message::Cancel { number } => self.service.cancel(number),
        }
        Ok(())
    }

    /// Returns when the receiver wakes, if it is paused.
    fn sleeps(&self, message: &Message) -> Option<u64> {
        let owner = match message {
            Message::Tick { owner, .. }
            | Message::Tell { owner, .. }
            | Message::Pull { owner, .. }
            | Message::Result { owner, .. } => *owner,
            _ => return None,
        };
        let until = self.owners[owner].paused_until;
        (until > self.now && !self.is_calm()).then_some(until)
    }

    fn moment(&mut self, owner: usize) -> Moment {
        Moment {
            now: Millis::new(self.now + self.owners[owner].ahead_ms),
            unix: UnixMillis::new(self.now),
            random: self.rng.random(),
        }
    }

    fn tell(&mut self, owner: usize, life: u64, event: Event) {
        if self.owners[owner].life != life {
            return;
        }
        let moment = self.moment(owner);
        let actions = self.owners[owner].ledger.handle(moment, event);
        let sent_at = moment.now.as_ms();
        for action in actions {
            self.start_call(owner, life, action, sent_at);
        }
    }

    fn start_call(
        &mut self,
        owner: usize,
        life: u64,
        action: Action,
        sent_at: u64,
    ) {
        if let Action::GiveUp { job, index, .. } = &action {
            let line = line(job, *index);
            self.owners[owner].ledger.give_up(job, *index, line);
            return;
        }
        let way = match self.rng.random_range(0..100) {
            _ if self.is_calm() => Way::Answered,
            0..3 => Way::LostBefore,
            3..6 => Way::LostAfter,
            6..8 => Way::Late,
            8..10 => Way::Twice,
            _ => Way::Answered,
        };
        let delay = match way {
            Way::Late => self.rng.random_range(500..6_000),
            _ => self.delay(),
        };
        if way == Way::Twice {
            let way = Way::LostAfter;
            let copy = Message::Call {
                owner,
                life,
                action: action.clone(),
                sent_at,
                way,
            };
            let later = delay + self.rng.random_range(0..4_000);
            self.send(later, copy);
        }
        if matches!(way, Way::LostBefore | Way::LostAfter | Way::Late) {
            let event = service::failed(&action, sent_at);
            let wait = 20 + self.rng.random_range(0..100);
            self.send(wait, Message::Tell { owner, life, event });
        }
        if way != Way::LostBefore {
            let call = Message::Call {
                owner,
                life,
                action,
                sent_at,
                way,
            };
            self.send(delay, call);
        }
    }

    fn arrive(
        &mut self,
        owner: usize,
        life: u64,
        action: Action,
        sent_at: u64,
        way: Way,
    ) -> Result<(), String> {
        let is_down = self.service.down_until > self.now && !self.is_calm();
        let event = match &action {
            Action::Store { commit, parts } => {
                let fails = self.chance(5.0);
                service::stored(*commit, parts, fails)
            }
            _ if is_down => service::refused(&action, sent_at),
            _ => {
                let member = format!("member-{life}");
                self.service.call(&member, &action, sent_at)?
            }
        };
        if matches!(way, Way::Answered | Way::Twice) {
            let delay = self.delay();
            self.send(delay, Message::Tell { owner, life, event });
        }
        Ok(())
    }
}

fn line(job: &JobId, index: u32) -> Bytes {
    format!("{job} {index}\n").into()
}
