//! Simulations of fleets in which requests with one part in their prompts
//! crash endpoints beside sound requests, generated from seeds. Nodes learn
//! from each other directly, and from the key-value service unless it is away.
//! `QUARANTINE_SEEDS` sets the number of simulations.

use std::{
    collections::{BTreeMap, BTreeSet},
    future::Future,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, Waker},
    time::Duration,
};

use base::{Clock, Millis, RequestDigest, UnixMillis};
use kv::{Kv, Memory};
use pomeloslip_quarantine::{
    Crash, CrashRecordUpdate, CrashedEndpoint, EvidenceKeys, Quarantine,
    QuarantineOptions, RESPONSE_BEGINNING_MS,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::sleep;

const STEP_MS: u64 = 5;

const DURATION_MS: u64 = 60_000;

/// Number of crashes after which a part has to be quarantined.
const MAX_CRASHES: usize = 5;

/// Maximum number of sends with the part once these crashes have propagated.
const MAX_LATE_SENDS: usize = 3;

/// Time in which they propagate, in milliseconds.
const PROPAGATION_MS: u64 = 3_000;

/// Time from the start of a run to the head and first event of a response, in
/// milliseconds.
const HEAD_MS: u64 = 40;

/// Minimum number of sound requests that are judged.
const MIN_JUDGED: usize = 20;

#[derive(Default)]
struct SetClock(AtomicU64);

impl Clock for SetClock {
    fn now(&self) -> Millis {
        Millis::new(self.0.load(Ordering::Relaxed))
    }

    fn unix(&self) -> UnixMillis {
        UnixMillis::new(self.0.load(Ordering::Relaxed))
    }
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    nodes: usize,
    endpoints: usize,
    /// Mean time between two requests with the poison part; none if 0.
    poison_pause_ms: u64,
    /// Whether requests with the poison part have another shared part too.
    has_other_part: bool,
    /// Time from the head to the crash.
    crash_after_ms: (u64, u64),
    /// Rate of sound requests per second.
    sound_per_s: u64,
    /// Number of sessions whose sound requests share a second part.
    sessions: u64,
    run_ms: (u64, u64),
    replaced_after_ms: u64,
    max_delay_ms: u64,
    /// Number of endpoints killed each five seconds.
    killed_at_once: usize,
    /// Mean time between two kills of single endpoints; none if 0.
    kill_pause_ms: u64,
    /// Time at which requests with the poison part begin to come.
    poison_from_ms: u64,
    /// Whether the key-value service is there.
    has_store: bool,
}

#[derive(Debug, Default)]
struct Report {
    crashes: Vec<u64>,
    late_sends: usize,
    /// Sound requests, and those that were held, from twice the propagation
    /// time after the last crash that counts.
    sound: usize,
    sound_held: usize,
    all_sound: usize,
    all_held: usize,
}

struct Run {
    node: usize,
    endpoint: u64,
    began_ms: u64,
    ends_ms: u64,
    parts: Vec<RequestDigest>,
    is_poison: bool,
}

struct World {
    scenario: Scenario,
    random: StdRng,
    clock: Arc<SetClock>,
    nodes: Vec<Quarantine>,
    alive: BTreeSet<u64>,
    replacements: Vec<u64>,
    next_endpoint: u64,
    runs: Vec<Run>,
    /// News on their way, by time of arrival, with a number and the node.
    pending: BTreeMap<(u64, u64), (usize, Vec<CrashRecordUpdate>)>,
    messages: u64,
    next_poison_ms: u64,
    next_kill_ms: u64,
    report: Report,
}

/// Interval in which nodes read the key-value service, in milliseconds.
const READ_INTERVAL_MS: u64 = 300;

/// Time at which a simulation starts, in milliseconds.
const START_MS: u64 = 1_000_000;

fn part(name: &str) -> RequestDigest {
    RequestDigest::of_group("prompt part", &["llm", name])
}

fn now_or_never<T>(future: impl Future<Output = T>) -> Option<T> {
    let mut context = Context::from_waker(Waker::noop());
    match pin!(future).poll(&mut context) {
        Poll::Ready(value) => Some(value),
        Poll::Pending => None,
    }
}

impl World {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let clock = Arc::new(SetClock(AtomicU64::new(START_MS)));
        let kv = Memory::default();
        let node = |_| match scenario.has_store {
            true => {
                let kv: Arc<dyn Kv> = Arc::new(kv.clone());
                let options = QuarantineOptions::default();
                let node = Quarantine::new(kv, "t/", clock.clone(), options);
                tokio::spawn(node.clone().run());
                node
            }
            // Probes need the key-value service.
            false => {
                let options = QuarantineOptions {
                    part_trial_hold_ms: 3_600_000,
                    part_initial_hold_ms: 3_600_000,
                    ..QuarantineOptions::default()
                };
                Quarantine::local(clock.clone(), options)
            }
        };
        Self {
            nodes: (0..scenario.nodes).map(node).collect(),
            scenario,
            random: StdRng::seed_from_u64(seed),
            clock,
            alive: (0..scenario.endpoints as u64).collect(),
            replacements: Vec::new(),
            next_endpoint: scenario.endpoints as u64,
            runs: Vec::new(),
            pending: BTreeMap::new(),
            messages: 0,
            next_poison_ms: START_MS + scenario.poison_from_ms,
            next_kill_ms: START_MS,
            report: Report::default(),
        }
    }

    fn now_ms(&self) -> u64 {
        self.clock.0.load(Ordering::Relaxed)
    }

    async fn run(mut self) -> Report {
        let until_ms = self.now_ms() + DURATION_MS;
        while self.now_ms() < until_ms {
            self.clock.0.fetch_add(STEP_MS, Ordering::Relaxed);
            sleep(Duration::from_millis(STEP_MS)).await;
            self.read_store().await;
            self.deliver();
            self.replace();
            self.kill();
            self.progress();
            self.end_runs();
            self.send_poison();
            self.send_sound();
            self.collect_news();
        }
        self.report
    }

    async fn read_store(&self) {
        if !self.scenario.has_store
            || !self.now_ms().is_multiple_of(READ_INTERVAL_MS)
        {
            return;
        }
        for node in &self.nodes {
            node.read().await.expect("the service responds");
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms();
        while let Some(first) = self.pending.first_entry()
            && first.key().0 <= now_ms
        {
            let (node, news) = first.remove();
            self.nodes[node].apply_news(&news);
        }
    }

    fn collect_news(&mut self) {
        for from in 0..self.nodes.len() {
            let Some(news) = now_or_never(self.nodes[from].next_news()) else {
                continue;
            };
            for to in (0..self.nodes.len()).filter(|to| *to != from) {
                let max_ms = self.scenario.max_delay_ms;
                let delay_ms = self.random.random_range(0..=max_ms);
                self.messages += 1;
                let at = (self.now_ms() + delay_ms, self.messages);
                self.pending.insert(at, (to, news.clone()));
            }
        }
    }

    fn replace(&mut self) {
        let now_ms = self.now_ms();
        let before = self.replacements.len();
        self.replacements.retain(|at_ms| *at_ms > now_ms);
        for _ in self.replacements.len()..before {
            self.alive.insert(self.next_endpoint);
            self.next_endpoint += 1;
        }
    }

    fn kill(&mut self) {
        let pause_ms = self.scenario.kill_pause_ms;
        if pause_ms > 0 && self.now_ms() >= self.next_kill_ms {
            let wait_ms = self.random.random_range(1..=2 * pause_ms);
            self.next_kill_ms = self.now_ms() + wait_ms;
            if let Some(endpoint) = self.any_endpoint() {
                self.crash(endpoint);
            }
        }
        if !self.now_ms().is_multiple_of(5_000) {
            return;
        }
        for _ in 0..self.scenario.killed_at_once {
            if let Some(endpoint) = self.any_endpoint() {
                self.crash(endpoint);
            }
        }
    }

    fn any_endpoint(&mut self) -> Option<u64> {
        let at = self.random.random_range(0..self.alive.len().max(1));
        self.alive.iter().nth(at).copied()
    }

    fn confirm(&self, run: &Run) {
        self.nodes[run.node].record_sound_parts(&run.parts);
    }

    /// Records runs that have just got past the beginning of their responses.
    fn progress(&self) {
        let past_ms = HEAD_MS + RESPONSE_BEGINNING_MS;
        let has_passed = |run: &&Run| {
            let ran_ms = self.now_ms() - run.began_ms;
            !run.is_poison && (past_ms..past_ms + STEP_MS).contains(&ran_ms)
        };
        self.runs
            .iter()
            .filter(has_passed)
            .for_each(|run| self.confirm(run));
    }

    fn end_runs(&mut self) {
        let now_ms = self.now_ms();
        let runs = std::mem::take(&mut self.runs);
        let (ended, running) =
            runs.into_iter().partition(|run| run.ends_ms <= now_ms);
        self.runs = running;
        let ended: Vec<Run> = ended;
        let mut crashed = Vec::new();
        for run in ended {
            match run.is_poison {
                true => {
                    crashed.push(run.endpoint);
                    self.runs.push(run);
                }
                false => self.confirm(&run),
            }
        }
        for endpoint in crashed {
            if self.alive.contains(&endpoint) {
                self.report.crashes.push(now_ms);
                self.crash(endpoint);
            }
        }
    }

    /// Crashes an endpoint and interrupts all of its runs.
    fn crash(&mut self, endpoint: u64) {
        let now_ms = self.now_ms();
        self.alive.remove(&endpoint);
        let back_ms = now_ms + self.scenario.replaced_after_ms;
        self.replacements.push(back_ms);
        let runs = std::mem::take(&mut self.runs);
        let (cut, others) =
            runs.into_iter().partition(|run| run.endpoint == endpoint);
        self.runs = others;
        let cut: Vec<Run> = cut;
        for run in cut {
            let ran_ms = now_ms - run.began_ms;
            let since_head_ms = ran_ms.checked_sub(HEAD_MS);
            let progress = match run.is_poison {
                true => 0,
                false => since_head_ms.unwrap_or(0),
            };
            let crash = Crash {
                endpoint: CrashedEndpoint::new(endpoint),
                began_at: UnixMillis::new(run.began_ms),
                ended_at: UnixMillis::new(now_ms),
                resumed_after: 0,
                reached: progress,
            };
            self.nodes[run.node].record_part_crash(
                &run.parts,
                &crash,
                since_head_ms,
            );
        }
    }

    fn send_poison(&mut self) {
        let pause_ms = self.scenario.poison_pause_ms;
        let now_ms = self.now_ms();
        if pause_ms == 0 || now_ms < self.next_poison_ms {
            return;
        }
        self.next_poison_ms =
            now_ms + self.random.random_range(1..=2 * pause_ms);
        let mut parts = vec![part("first")];
        if self.scenario.has_other_part {
            let sessions = self.scenario.sessions.max(1);
            let session = self.random.random_range(0..sessions);
            parts.push(part(&format!("session {session}")));
        }
        parts.push(part("poison"));
        let (min_ms, max_ms) = self.scenario.crash_after_ms;
        let after_ms = HEAD_MS + self.random.random_range(min_ms..=max_ms);
        if self.send(parts, after_ms, true) && self.is_late() {
            self.report.late_sends += 1;
        }
    }

    fn is_late(&self) -> bool {
        let fifth = self.report.crashes.get(MAX_CRASHES - 1);
        fifth.is_some_and(|at_ms| self.now_ms() > at_ms + PROPAGATION_MS)
    }

    fn send_sound(&mut self) {
        let rate = self.scenario.sound_per_s as f64;
        if !self.random.random_bool(rate * STEP_MS as f64 / 1_000.0) {
            return;
        }
        let mut parts = vec![part("first")];
        if self.scenario.sessions > 0 {
            let session = self.random.random_range(0..self.scenario.sessions);
            parts.push(part(&format!("session {session}")));
        }
        let (min_ms, max_ms) = self.scenario.run_ms;
        let run_ms = self.random.random_range(min_ms..=max_ms);
        let is_sent = self.send(parts, run_ms, false);
        self.report.all_sound += 1;
        self.report.all_held += usize::from(!is_sent);
        if self.is_judged() {
            self.report.sound += 1;
            self.report.sound_held += usize::from(!is_sent);
        }
    }

    fn is_judged(&self) -> bool {
        let crashes = &self.report.crashes;
        let counted = crashes.get(MAX_CRASHES - 1).or(crashes.last());
        counted.is_some_and(|at_ms| self.now_ms() > at_ms + 2 * PROPAGATION_MS)
    }

    /// Sends a request from any node; returns false if it is held.
    fn send(
        &mut self,
        parts: Vec<RequestDigest>,
        run_ms: u64,
        is_poison: bool,
    ) -> bool {
        let node = self.random.random_range(0..self.nodes.len());
        let number = self.random.random::<u64>().to_string();
        let own = RequestDigest::of_group("own", &[&number]);
        let keys = EvidenceKeys::from(own);
        let keys = parts.iter().copied().fold(keys, EvidenceKeys::with_part);
        let admitted = now_or_never(self.nodes[node].admit(|| keys));
        if admitted.is_none_or(|admitted| admitted.is_err()) {
            return false;
        }
        let Some(endpoint) = self.any_endpoint() else {
            return true;
        };
        let began_ms = self.now_ms();
        self.runs.push(Run {
            node,
            endpoint,
            began_ms,
            ends_ms: began_ms + run_ms,
            parts,
            is_poison,
        });
        true
    }
}

fn seeds() -> u64 {
    let value = std::env::var("QUARANTINE_SEEDS").ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(8)
}

fn scenario(seed: u64) -> Scenario {
    let mut random = StdRng::seed_from_u64(seed ^ 0x9a27);
    let min_ms = random.random_range(5..=120);
    let run_ms = random.random_range(300..=3_000);
    Scenario {
        nodes: random.random_range(1..=30),
        endpoints: random.random_range(4..=60),
        poison_pause_ms: random.random_range(40..=3_000),
        has_other_part: random.random_bool(0.5),
        crash_after_ms: (min_ms, min_ms + random.random_range(0..=100)),
        sound_per_s: random.random_range(10..=150),
        sessions: [0, 3, 40, 1_000][random.random_range(0..4)],
        run_ms: (run_ms / 2, run_ms),
        replaced_after_ms: random.random_range(500..=4_000),
        max_delay_ms: random.random_range(20..=900),
        killed_at_once: 0,
        kill_pause_ms: 0,
        poison_from_ms: 5_000,
        has_store: random.random_bool(0.5),
    }
}

/// Plays days and checks that the poison part is sent no further and that sound
/// requests are served.
async fn play(scenario_of: impl Fn(u64) -> Scenario) {
    let (mut sound, mut held) = (0, 0);
    for seed in 0..seeds() {
        let scenario = scenario_of(seed);
        let report = World::new(scenario, seed).run().await;
        assert!(
            report.late_sends <= MAX_LATE_SENDS,
            "seed {seed}: {report:?} {scenario:?}"
        );
        assert!(
            report.sound < MIN_JUDGED || 2 * report.sound_held < report.sound,
            "seed {seed}: {report:?} {scenario:?}"
        );
        sound += report.all_sound;
        held += report.all_held;
    }
    println!("{held} of {sound} sound requests were held");
}

/// Guards against a part of prompts that crashes one endpoint after the other,
/// and against refusing sound requests that share the other parts, for varying
/// fleets, rates and delays between nodes.
#[tokio::test(start_paused = true)]
async fn only_the_part_that_crashes_endpoints_is_quarantined() {
    play(scenario).await;
}

/// Guards against refusing all requests that share their first part with
/// poison ones, because no response was complete before other crashes came.
#[tokio::test(start_paused = true)]
async fn a_first_part_without_responses_is_released() {
    play(|seed| {
        let scenario = scenario(seed);
        // Half of the endpoints are there.
        let pause_ms =
            2 * scenario.replaced_after_ms / scenario.endpoints as u64;
        Scenario {
            poison_from_ms: 0,
            kill_pause_ms: pause_ms,
            ..scenario
        }
    })
    .await;
}

/// Guards against quarantining parts of prompts because the endpoints that ran
/// them were killed, up to half of them at once.
#[tokio::test(start_paused = true)]
async fn parts_at_killed_endpoints_are_not_quarantined() {
    for seed in 0..seeds() {
        let scenario = scenario(seed);
        let scenario = Scenario {
            poison_pause_ms: 0,
            killed_at_once: 1 + seed as usize % (scenario.endpoints / 2),
            ..scenario
        };
        let report = World::new(scenario, seed).run().await;
        assert_eq!(report.all_held, 0, "seed {seed}: {report:?} {scenario:?}");
    }
}
