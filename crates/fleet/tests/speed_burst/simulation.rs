//! Fronts and endpoints on a stepped clock.

use std::collections::{HashSet, VecDeque};

use base::Millis;
use pomeloslip_fleet::{
    Endpoint, EndpointQuery, EndpointRecord, EndpointSpeed, EndpointState,
    EndpointTable, IncarnationKey, LoadReport, Selection, ServiceSpeeds,
    SpeedReports, SpeedSample,
};

const SLOTS: u32 = 7;
const FRONTS: usize = 18;
pub(crate) const ENDPOINTS: usize = 54;
const LAST: usize = ENDPOINTS - 1;
const FACTORS_PERCENT: [u64; 3] = [60, 100, 160];
const RUN_MS: u64 = 12_000;
const COUNTED_FROM_MS: u64 = 2_000;
const UPDATE_MS: u64 = 50;
const SECOND_MS: u64 = 1_000;
/// Interval between two events at usual speed.
const EVENT_MS: u64 = 25;
const SLOWDOWN_PERCENT: u64 = 250;
const SLOWDOWN_MS: u64 = 600;
const SLOWDOWN_PERIOD_MS: u64 = 4_000;

#[derive(Clone, Copy)]
pub(crate) enum FalseReport {
    Constant(u32),
    /// A number that is drawn for each response.
    Random,
}

/// What differs between two runs.
#[derive(Clone, Copy)]
pub(crate) struct Scenario {
    pub(crate) mode: EndpointSpeed,
    /// Whether the endpoints differ in speed.
    pub(crate) has_unequal_speeds: bool,
    /// A front that receives nothing from other nodes.
    pub(crate) isolated: Option<usize>,
    /// Whether endpoints are slower for a while now and then.
    pub(crate) has_slowdowns: bool,
    /// What one slow endpoint reports instead of its slowdown.
    pub(crate) false_report: Option<FalseReport>,
    /// Whether the bursts last for 2.4 s instead of 0.6 s.
    pub(crate) is_saturated: bool,
    /// When a fast endpoint is replaced by a slow incarnation.
    pub(crate) replaced_at_ms: Option<u64>,
    pub(crate) seed: u64,
}

pub(crate) const UNEQUAL: Scenario = Scenario {
    mode: EndpointSpeed::Always,
    has_unequal_speeds: true,
    isolated: None,
    has_slowdowns: true,
    false_report: None,
    is_saturated: false,
    replaced_at_ms: None,
    seed: 1,
};

/// Deterministic pseudo-random numbers.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = base::mix(self.0.wrapping_add(1));
        self.0 % bound
    }
}

struct Stream {
    front: usize,
    arrived: u64,
    /// Duration of the work at usual speed.
    work_ms: u64,
}

struct Running {
    stream: Stream,
    began: u64,
    ends: u64,
    load: u32,
    slowdown_percent: Option<u32>,
}

struct Engine {
    factor_percent: u64,
    running: Vec<Running>,
    waiting: VecDeque<Stream>,
    /// Offset of the momentary slowdowns, if it has any.
    offset_ms: Option<u64>,
}

impl Engine {
    fn slowdown_percent(&self, now: u64) -> u64 {
        let is_slow = self.offset_ms.is_some_and(|offset_ms| {
            (now + offset_ms) % SLOWDOWN_PERIOD_MS < SLOWDOWN_MS
        });
        match is_slow {
            true => SLOWDOWN_PERCENT,
            false => 100,
        }
    }
}

#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) streams_by_third: [u32; 3],
    pub(crate) refused: u32,
    pub(crate) longest_queue_at_fast: usize,
    pub(crate) durations_ms: Vec<u64>,
    pub(crate) streams_of_isolated: [u32; 3],
    /// Streams at the first, which may be replaced, and at the last endpoint,
    /// which may report falsely.
    pub(crate) streams_at_first: u32,
    pub(crate) streams_at_last: u32,
}

impl Outcome {
    pub(crate) fn slowest_percent(&self) -> f64 {
        slowest_percent(self.streams_by_third)
    }

    pub(crate) fn quantile_ms(&self, percent: usize) -> u64 {
        let mut sorted = self.durations_ms.clone();
        sorted.sort_unstable();
        sorted[sorted.len() * percent / 100]
    }

    pub(crate) fn print(&self, name: &str) {
        println!(
            "{name}: slowest third {:.1} %, longest queue at a fast endpoint \
             {}, p50 {} ms, p90 {} ms, p99 {} ms, refused {}, by third {:?}, \
             first endpoint {}, last {}",
            self.slowest_percent(),
            self.longest_queue_at_fast,
            self.quantile_ms(50),
            self.quantile_ms(90),
            self.quantile_ms(99),
            self.refused,
            self.streams_by_third,
            self.streams_at_first,
            self.streams_at_last,
        );
    }
}

pub(crate) fn slowest_percent(by_third: [u32; 3]) -> f64 {
    let all: u32 = by_third.iter().sum();
    100.0 * f64::from(by_third[2]) / f64::from(all)
}

/// One front: its view of the endpoints and its speeds.
struct Front {
    endpoints: Vec<Endpoint>,
    table: EndpointTable,
    selection: Selection,
    speeds: ServiceSpeeds,
    selected: HashSet<IncarnationKey>,
}

impl Front {
    fn new(number: usize, mode: EndpointSpeed) -> Self {
        let endpoints = (0..ENDPOINTS).map(|n| endpoint(n, 0)).collect();
        let speeds = ServiceSpeeds::new(mode);
        Self::with(number, endpoints, speeds)
    }

    fn with(
        number: usize,
        endpoints: Vec<Endpoint>,
        speeds: ServiceSpeeds,
    ) -> Self {
        let table = EndpointTable::new(endpoints.iter().cloned());
        let is_own = |endpoint: &Endpoint| {
            let index: usize = endpoint.record().id.parse().expect("number");
            index % FRONTS == number
        };
        let name = format!("front-{number}");
        let selection =
            Selection::new(&name, &table, is_own).with_speeds(&speeds);
        Self {
            selected: selection.iter().collect(),
            endpoints,
            table,
            selection,
            speeds,
        }
    }

    /// Replaces an endpoint by its next incarnation.
    fn replace(&mut self, number: usize, index: usize) {
        let mut endpoints = self.endpoints.clone();
        endpoints[index] = endpoint(index, 1);
        *self = Self::with(number, endpoints, self.speeds.clone());
    }

    fn refresh(&self, now: Millis) {
        for (speed, incarnations) in self.selection.speeds() {
            let used = incarnations.filter_map(|key| self.table.get(key));
            speed.refresh(used, now);
        }
    }
}

fn endpoint(index: usize, started_at: u64) -> Endpoint {
    Endpoint::new(EndpointRecord {
        id: index.to_string(),
        started_at: Some(base::UnixMillis::new(started_at)),
        version: None,
        address: ([127, 0, 0, 1], 80).into(),
        service: "engines".to_owned(),
        failure_domain: "east".to_owned(),
        slots: SLOTS,
        state: EndpointState::Ready,
    })
}

pub(crate) struct Simulation {
    scenario: Scenario,
    random: Random,
    engines: Vec<Engine>,
    fronts: Vec<Front>,
    reports: SpeedReports,
    counts: Vec<Vec<u32>>,
    outcome: Outcome,
}

impl Simulation {
    pub(crate) fn new(scenario: Scenario) -> Self {
        let mut random = Random(scenario.seed);
        let engine = |index: usize| Engine {
            factor_percent: match scenario.has_unequal_speeds {
                true => FACTORS_PERCENT[third_of(index)],
                false => 100,
            },
            running: Vec::new(),
            waiting: VecDeque::new(),
            offset_ms: scenario
                .has_slowdowns
                .then(|| random.below(SLOWDOWN_PERIOD_MS)),
        };
        let fronts = (0..FRONTS).map(|n| Front::new(n, scenario.mode));
        Self {
            engines: (0..ENDPOINTS).map(engine).collect(),
            fronts: fronts.collect(),
            reports: SpeedReports::default(),
            counts: vec![vec![0; FRONTS]; ENDPOINTS],
            outcome: Outcome::default(),
            random,
            scenario,
        }
    }

    pub(crate) fn run(mut self) -> Outcome {
        for now in 1..RUN_MS + 3_000 {
            if self.scenario.replaced_at_ms == Some(now) {
                self.replace_first();
            }
            for index in 0..ENDPOINTS {
                self.end_streams(index, now);
                self.begin_streams(index, now);
            }
            if now.is_multiple_of(UPDATE_MS) {
                self.exchange_load(now);
            }
            if now.is_multiple_of(SECOND_MS) {
                self.exchange_speeds(Millis::new(now));
            }
            if now < RUN_MS {
                self.send(now);
            }
        }
        self.outcome
    }

    /// Replaces the first endpoint, a fast one, by a slow one. Its streams go
    /// on; an engine that stops is not simulated.
    fn replace_first(&mut self) {
        self.engines[0].factor_percent = FACTORS_PERCENT[2];
        for (number, front) in self.fronts.iter_mut().enumerate() {
            front.replace(number, 0);
        }
    }

    fn end_streams(&mut self, index: usize, now: u64) {
        let engine = &mut self.engines[index];
        let (ended, running) = std::mem::take(&mut engine.running)
            .into_iter()
            .partition(|running: &Running| running.ends <= now);
        engine.running = running;
        for running in ended {
            let front = &self.fronts[running.stream.front];
            let endpoint = &front.endpoints[index];
            if endpoint.in_flight() > 0 {
                endpoint.end_request();
            }
            let span_us = (running.ends - running.began) * 1_000;
            let events = running.stream.work_ms / EVENT_MS;
            let sample = SpeedSample::of_stream(
                events,
                span_us * (events - 1) / events,
                running.load,
                running.slowdown_percent,
            );
            if let Some(sample) = sample {
                endpoint.record_sample(sample, Millis::new(now));
            }
            if running.stream.arrived >= COUNTED_FROM_MS {
                let duration_ms = running.ends - running.stream.arrived;
                self.outcome.durations_ms.push(duration_ms);
            }
        }
    }

    fn begin_streams(&mut self, index: usize, now: u64) {
        while self.engines[index].running.len() < SLOTS as usize {
            let Some(stream) = self.engines[index].waiting.pop_front() else {
                return;
            };
            let engine = &mut self.engines[index];
            let percent = engine.slowdown_percent(now);
            let duration_ms =
                stream.work_ms * engine.factor_percent * percent / 10_000;
            let reported = match self.scenario.false_report {
                Some(false_report) if index == LAST => match false_report {
                    FalseReport::Constant(percent) => percent,
                    FalseReport::Random => {
                        1 + self.random.below(10_000) as u32
                    }
                },
                _ => percent as u32,
            };
            let report = LoadReport {
                running: engine.running.len() as u32 + 1,
                waiting: engine.waiting.len() as u32,
                slots: SLOTS,
                slowdown_percent: Some(reported),
            };
            let at = Millis::new(now);
            let endpoint = &self.fronts[stream.front].endpoints[index];
            endpoint.record_load(report, at);
            engine.running.push(Running {
                stream,
                began: now,
                ends: now + duration_ms,
                load: endpoint.estimated_load(at),
                slowdown_percent: Some(reported),
            });
        }
    }

    /// Records at each front the load of the others at its selected
    /// endpoints, which is one interval old.
    fn exchange_load(&mut self, now: u64) {
        for (number, front) in self.fronts.iter().enumerate() {
            for (index, endpoint) in front.endpoints.iter().enumerate() {
                if front.selected.contains(&endpoint.incarnation_key()) {
                    let all: u32 = self.counts[index].iter().sum();
                    let others = all - self.counts[index][number];
                    endpoint.record_remote_load(others, Millis::new(now));
                }
            }
        }
        for (index, counts) in self.counts.iter_mut().enumerate() {
            for (number, front) in self.fronts.iter().enumerate() {
                counts[number] = front.endpoints[index].in_flight();
            }
        }
    }

    /// Exchanges estimates as workers do, except with an isolated front.
    fn exchange_speeds(&mut self, now: Millis) {
        let isolated = self.scenario.isolated;
        for (number, front) in self.fronts.iter().enumerate() {
            for endpoint in &front.endpoints {
                let is_due = endpoint.take_new_samples();
                let own = endpoint.own_speed(now);
                if let (true, Some(own)) = (is_due, own)
                    && isolated != Some(number)
                {
                    let name = format!("front-{number}");
                    let key = endpoint.incarnation_key();
                    self.reports.record(&name, key, own, now);
                }
            }
        }
        for (number, front) in self.fronts.iter().enumerate() {
            let receives = isolated != Some(number);
            for endpoint in front.endpoints.iter().filter(|_| receives) {
                let key = endpoint.incarnation_key();
                if let Some(combined) = self.reports.combined(key, None, now) {
                    endpoint.record_combined_speed(combined, now);
                }
            }
            front.refresh(now);
        }
    }

    fn send(&mut self, now: u64) {
        let burst_from_ms = match self.scenario.is_saturated {
            true => 600,
            false => 2_400,
        };
        let is_burst = now % 3_000 >= burst_from_ms;
        let per_second = if is_burst { 480 } else { 250 };
        if self.random.below(1_000) >= per_second {
            return;
        }
        let number = self.random.below(FRONTS as u64) as usize;
        let query = EndpointQuery {
            service: "engines",
            failure_domain: "east",
            affinity: self.random.below(1_000),
            tried: &[],
            under_way: &[],
            queue_allowance: 1,
            binding: None,
        };
        let front = &self.fronts[number];
        let at = Millis::new(now);
        let choice = front.table.choose(&front.selection, &query, at);
        let Ok(choice) = choice else {
            self.outcome.refused += 1;
            return;
        };
        choice.endpoint.begin_request();
        let id = &choice.endpoint.record().id;
        let index: usize = id.parse().expect("a number");
        let work_ms = 500 + self.random.below(500);
        self.engines[index].waiting.push_back(Stream {
            front: number,
            arrived: now,
            work_ms,
        });
        self.count(number, index, now);
    }

    fn count(&mut self, front: usize, index: usize, now: u64) {
        let third = third_of(index);
        let outcome = &mut self.outcome;
        if third == 0 {
            let engine = &self.engines[index];
            let free = SLOTS as usize - engine.running.len();
            let queue = engine.waiting.len().saturating_sub(free);
            outcome.longest_queue_at_fast =
                outcome.longest_queue_at_fast.max(queue);
        }
        if now < COUNTED_FROM_MS {
            return;
        }
        outcome.streams_by_third[third] += 1;
        if self.scenario.isolated == Some(front) {
            outcome.streams_of_isolated[third] += 1;
        }
        let replaced_at_ms = self.scenario.replaced_at_ms.unwrap_or(0);
        match index {
            0 if now >= replaced_at_ms + 2_000 => {
                outcome.streams_at_first += 1;
            }
            LAST => outcome.streams_at_last += 1,
            _ => {}
        }
    }
}

/// Returns the third to which an endpoint belongs: 0 is the fastest.
fn third_of(index: usize) -> usize {
    index * 3 / ENDPOINTS
}
