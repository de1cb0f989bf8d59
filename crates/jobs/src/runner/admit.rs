//! Decides at each endpoint which items start and which runs are preempted.

use std::{ops::Range, time::Instant};

use base::Millis;
use fleet::{Config, Endpoint, EndpointTable, IncarnationKey, VersionBinding};
use indexmap::IndexSet;
use pass::Counters;

use super::{
    Event, Run, RunId, RunnerState,
    active::{ActiveJob, Inputs, ItemPhase, SlotUse},
    attempts::StartCheck,
};
use crate::{
    Assignment, GateDecision, GateInput, ItemRun, JobManifest, OutputLimits,
    PreemptRank, RemainingTime, SilenceClock, SlackPriority, decide,
    record::JobKey, run::DROPPED_PER_STORED,
};

/// Age of a run from which on its endpoint's load report counts it, in
/// milliseconds. Reports lag by about 50 ms, and the request needs time to
/// arrive.
const REPORT_LAG_MS: u64 = 120;

/// Silences of an endpoint, in milliseconds, that count as a pause. Pauses of
/// sound endpoints do not last longer; what is silent beyond that is a single
/// run, which says nothing about other items.
const PAUSE_MS: Range<u64> = 1_000..3_500;

/// Maximum remaining time of a run that may delay online requests in order not
/// to be late, in milliseconds: about the duration of one streamed response. A
/// run with more remaining time is preempted, since several users would wait
/// for one item.
const NEARLY_DONE_MS: u64 = 1_000;

/// Safety factor for the remaining time in the decision whether an item would
/// be late, in percent.
const SAFETY_PERCENT: u64 = 150;

impl RunnerState {
    /// Probes the load of those endpoints of this node whose online requests
    /// are not known from the fronts.
    pub(super) fn probe_loads(&mut self, assignment: &Assignment) {
        if self.jobs.is_empty() && self.runs.is_empty() {
            self.endpoint_probes.clear();
            return;
        }
        let now = self.now();
        let view = self.runner.parts.endpoints.load_full();
        let own = assignment.own_endpoints().iter();
        let unknown = own.filter(|incarnation| {
            self.online_count(**incarnation, now).is_none()
        });
        let unknown: Vec<IncarnationKey> = unknown.copied().collect();
        self.endpoint_probes
            .retain(|incarnation, _| unknown.contains(incarnation));
        for incarnation in unknown {
            if let Some(endpoint) = view.table.get(incarnation) {
                self.probe_load(endpoint, now);
            }
        }
    }

    fn probe_load(&mut self, endpoint: &Endpoint, now: Millis) {
        let probe_interval_ms = self.runner.options.probe_interval_ms;
        let incarnation = endpoint.incarnation_key();
        let probe = self.endpoint_probes.entry(incarnation).or_default();
        let recent = probe
            .sent_at
            .is_some_and(|at| now.saturating_ms_since(at) < probe_interval_ms);
        if probe.in_flight || recent {
            return;
        }
        probe.in_flight = true;
        probe.sent_at = Some(now);
        let response = self.runner.parts.probe.probe(endpoint.record());
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let report = response.await;
            let _ = sender.send(Event::Probed(incarnation, report));
        });
    }

    /// Applies the decision of the gate at each endpoint.
    pub(super) fn admit(
        &mut self,
        assignment: &Assignment,
        is_stopping: bool,
    ) {
        let config = self.runner.parts.config.load_full();
        let Some(config) = config.as_ref() else {
            return;
        };
        let now = self.now();
        let view = self.runner.parts.endpoints.load_full();
        let is_view_stale = self.runner.parts.view.age_ms(now)
            > self.runner.options.max_view_age_ms;
        let mut free = Vec::new();
        let usable = match self.jobs.is_empty() {
            true => IndexSet::new(),
            false => usable_versions(assignment, &view.table, now),
        };
        for incarnation in assignment.own_endpoints() {
            let Some(endpoint) = view.table.get(*incarnation) else {
                continue;
            };
            let Some(decision) = self.decision_for(endpoint, now) else {
                continue;
            };
            for _ in 0..decision.preempt {
                self.preempt_one(*incarnation);
            }
            if is_stopping || is_view_stale || endpoint.is_suspect(now) {
                continue;
            }
            if self.is_paused(*incarnation) {
                continue;
            }
            if self.is_speed_active(endpoint, now) {
                free.push((endpoint, decision.start));
                continue;
            }
            for _ in 0..decision.start {
                if !self.start_one(config, endpoint, &usable, now) {
                    break;
                }
            }
        }
        self.start_by_speed(config, &free, &usable, now);
    }

    /// Reports whether all runs at an endpoint have been silent for so long
    /// that further items would not begin soon.
    fn is_paused(&self, incarnation: IncarnationKey) -> bool {
        let runs = self.runs.values();
        let own =
            runs.filter(|run| run.endpoint.incarnation_key() == incarnation);
        let shortest_ms = own.map(|run| run.silence.silent_ms()).min();
        shortest_ms.is_some_and(|ms| PAUSE_MS.contains(&ms))
    }

    /// Preempts batch work at one endpoint if an online request that is on its
    /// way needs the slot.
    pub(super) fn preempt_for_online(&mut self, incarnation: IncarnationKey) {
        let now = self.now();
        let view = self.runner.parts.endpoints.load_full();
        let Some(endpoint) = view.table.get(incarnation) else {
            return;
        };
        if let Some(decision) = self.decision_for(endpoint, now) {
            for _ in 0..decision.preempt {
                self.preempt_one(incarnation);
            }
        }
    }

    /// Returns the number of online requests at an endpoint, if the fronts
    /// that use the endpoint report them.
    fn online_count(
        &self,
        incarnation: IncarnationKey,
        now: Millis,
    ) -> Option<u32> {
        let assigned_front = self.front_assignment.user_of(incarnation)?;
        let online_load = &self.runner.parts.online_load;
        online_load.requests_at(incarnation, &assigned_front.node, now)
    }

    pub(super) fn decision_for(
        &self,
        endpoint: &Endpoint,
        now: Millis,
    ) -> Option<GateDecision> {
        let incarnation = endpoint.incarnation_key();
        let own_runs = || {
            self.runs
                .values()
                .filter(|run| run.endpoint.incarnation_key() == incarnation)
        };
        let mut input = GateInput {
            own_running: own_runs().count() as u32,
            own_urgent: own_runs().filter(|run| self.is_urgent(run)).count()
                as u32,
            ..GateInput::default()
        };
        if let Some(online_count) = self.online_count(incarnation, now) {
            input.slots = endpoint.record().slots;
            input.own_reported = input.own_running;
            input.running = online_count + input.own_running;
        } else {
            let (report, at) = self
                .endpoint_probes
                .get(&endpoint.incarnation_key())?
                .report?;
            let age_ms = now.saturating_ms_since(at);
            if age_ms > self.runner.options.max_report_age_ms {
                return None;
            }
            input = input.with_report(report);
            let is_counted = |run: &&Run| {
                at.saturating_ms_since(run.started_at) >= REPORT_LAG_MS
            };
            input.own_reported = own_runs().filter(is_counted).count() as u32;
        }
        Some(decide(&input, &self.runner.options.gate))
    }

    /// Reports whether a run is nearly done and would be late if it had to
    /// start again later.
    pub(super) fn is_urgent(&self, run: &Run) -> bool {
        let Some(job) = self.jobs.get(&run.job) else {
            return false;
        };
        let remaining_ms = self.remaining_of_run(job, run).expected_ms;
        remaining_ms <= NEARLY_DONE_MS
            && self.would_be_late(&job.stored.manifest, remaining_ms)
    }

    /// Estimates the remaining time of an item that has run for `ran_ms`.
    fn remaining(
        &self,
        job: &ActiveJob,
        number: u32,
        ran_ms: u64,
    ) -> RemainingTime {
        match &job.inputs {
            Inputs::Loaded(inputs) => self
                .estimator
                .remaining(inputs[number as usize].tokens, ran_ms),
            _ => RemainingTime::default(),
        }
    }

    /// Estimates the remaining time of a running item.
    fn remaining_of_run(&self, job: &ActiveJob, run: &Run) -> RemainingTime {
        let now_ms = run.started.elapsed().as_millis() as u64;
        let before_ms = job.items[run.item as usize].total_run_ms;
        self.remaining(job, run.item, before_ms + now_ms)
    }

    fn priority(&self, job: &ActiveJob, number: u32) -> SlackPriority {
        let ran_ms = job.items[number as usize].total_run_ms;
        let remaining = self.remaining(job, number, ran_ms);
        let unix_now = self.runner.parts.clock.unix();
        SlackPriority::new(job.stored.manifest.due_at, remaining, unix_now)
    }

    /// Reports whether work of `remaining_ms` can only just finish in time.
    /// Work that is already late is not urgent: it must not delay work that is
    /// not late.
    pub(super) fn would_be_late(
        &self,
        manifest: &JobManifest,
        remaining_ms: u64,
    ) -> bool {
        let unix_now = self.runner.parts.clock.unix();
        let left_ms = manifest.due_at.saturating_ms_since(unix_now);
        let needed_ms = remaining_ms * SAFETY_PERCENT / 100
            + self.runner.options.commit_interval_ms;
        left_ms > remaining_ms && left_ms < needed_ms
    }

    /// Preempts the run with the highest preemption rank.
    pub(super) fn preempt_one(&mut self, incarnation: IncarnationKey) {
        let now = self.now();
        let candidates = self.runs.iter().filter(|(_, run)| {
            run.endpoint.incarnation_key() == incarnation
                && !self.is_urgent(run)
        });
        let unix_now = self.runner.parts.clock.unix();
        let rank_of = |run: &Run| {
            let job = self.jobs.get(&run.job)?;
            let item = &job.items[run.item as usize];
            let has_events = item.progress.last_id().is_some();
            let due_at = job.stored.manifest.due_at;
            let remaining = self.remaining_of_run(job, run);
            let priority = SlackPriority::new(due_at, remaining, unix_now);
            Some(PreemptRank::new(has_events, priority))
        };
        let chosen =
            candidates.max_by_key(|(_, run)| (rank_of(run), run.started));
        let Some(id) = chosen.map(|(id, _)| *id) else {
            return;
        };
        let Some(run) = self.runs.swap_remove(&id) else {
            return;
        };
        run.task.abort();
        Counters::add(&self.runner.parts.counters.items_preempted);
        if let Some(job) = self.jobs.get_mut(&run.job) {
            let id = job.id_of(run.item).to_owned();
            let item = &mut job.items[run.item as usize];
            let events = item.progress.events();
            run.interrupt(item, now);
            log::info!(
                request_id = id.as_str(),
                job = run.job.as_str(),
                endpoint = run.endpoint.record().id.as_str(),
                ran_ms = run.started.elapsed().as_millis() as u64,
                events;
                "an item gives way to online requests"
            );
        }
    }

    /// Starts the waiting item with the highest priority that can use a slot of
    /// the endpoint, and records the start of the one that has to be recorded
    /// first. Reports whether there is any.
    pub(super) fn start_one(
        &mut self,
        config: &Config,
        endpoint: &Endpoint,
        usable: &IndexSet<VersionBinding>,
        now: Millis,
    ) -> bool {
        let service = &endpoint.record().service;
        let uptime_ms = self.uptime_ms(now);
        let mut best: Option<(SlackPriority, JobKey, u32, SlotUse)> = None;
        let mut unrecorded: Option<(SlackPriority, JobKey, u32)> = None;
        for (key, job) in &self.jobs {
            if job.is_moved || !matches!(job.inputs, Inputs::Loaded(_)) {
                continue;
            }
            let Some(route) = job.route(Some(config)).known() else {
                continue;
            };
            let mut all = route.destinations().iter();
            if !all.any(|d| d.service == *service && d.weight > 0) {
                continue;
            }
            let max_attempts = route.max_attempts();
            for (number, item) in (0..).zip(&job.items) {
                if item.state != ItemPhase::Waiting || item.not_before > now {
                    continue;
                }
                let record = endpoint.record();
                let Some(slot_use) = item.slot_use(record, usable, now) else {
                    continue;
                };
                let priority = self.priority(job, number);
                match job.check_start(number, max_attempts, uptime_ms) {
                    StartCheck::Permitted => {}
                    StartCheck::Withheld => continue,
                    StartCheck::Unrecorded => {
                        let first = unrecorded.as_ref();
                        if first.is_none_or(|(first, ..)| priority < *first) {
                            unrecorded = Some((priority, key.clone(), number));
                        }
                        continue;
                    }
                }
                if best.as_ref().is_none_or(|(best, ..)| priority < *best) {
                    best = Some((priority, key.clone(), number, slot_use));
                }
            }
        }
        let is_announced = unrecorded
            .is_some_and(|(_, key, number)| self.announce(&key, number));
        let Some((_, key, number, slot_use)) = best else {
            return is_announced;
        };
        if slot_use == SlotUse::Restart {
            self.restart(&key, number, endpoint, now);
        }
        self.start(config, key, number, endpoint, now)
    }

    /// Drops the output of an item that begins anew at another version.
    fn restart(
        &mut self,
        key: &JobKey,
        number: u32,
        endpoint: &Endpoint,
        now: Millis,
    ) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let id = job.id_of(number).to_owned();
        let item = &mut job.items[number as usize];
        let binding = item.progress.binding();
        log::info!(
            request_id = id.as_str(),
            job = key.as_str(),
            from = binding.as_ref().map_or("", |b| b.version().as_str()),
            to = endpoint.version_text(),
            events = item.progress.events(),
            ran_ms = item.total_run_ms,
            waited_ms = now.saturating_ms_since(item.waiting_since);
            "an item begins anew"
        );
        item.restart();
        Counters::add(&self.runner.parts.counters.items_begun_anew);
    }

    pub(super) fn start(
        &mut self,
        config: &Config,
        key: JobKey,
        number: u32,
        endpoint: &Endpoint,
        now: Millis,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(&key) else {
            return false;
        };
        let Inputs::Loaded(inputs) = &job.inputs else {
            return false;
        };
        let Some(route) = job.route(Some(config)).known() else {
            return false;
        };
        let id = RunId(self.next_run);
        self.next_run += 1;
        let item = &mut job.items[number as usize];
        let run = ItemRun {
            input: inputs[number as usize].clone(),
            job: key.clone(),
            host: job.stored.manifest.host.clone(),
            customer: job.stored.manifest.customer.clone(),
            route: route.clone(),
            endpoint: endpoint.clone(),
            progress: item.progress.clone(),
            silence: SilenceClock::start(),
            limits: OutputLimits {
                memory: self.runner.parts.memory.clone(),
                max_bytes: DROPPED_PER_STORED
                    * self.runner.parts.ledger.max_result_bytes(),
            },
        };
        log::info!(
            request_id = run.input.id.as_str(),
            job = key.as_str(),
            endpoint = endpoint.record().id.as_str(),
            version = endpoint.version_text(),
            after = item.progress.last_id().unwrap_or(0),
            config = config.version,
            revision = job.stored.revision,
            view_age_ms = self.runner.parts.view.age_ms(now);
            "an item starts"
        );
        item.state = ItemPhase::Running(id);
        let resumed = item.progress.has_begun();
        let silence = run.silence.clone();
        let forwarder = self.runner.parts.forwarder.clone();
        let sender = self.sender.clone();
        let task = tokio::spawn(async move {
            let end = run.run(&forwarder).await;
            let _ = sender.send(Event::Ended(id, end));
        });
        Counters::add(&self.runner.parts.counters.item_runs);
        self.runs.insert(
            id,
            Run {
                job: key,
                item: number,
                endpoint: endpoint.clone(),
                resumed,
                started: Instant::now(),
                started_at: now,
                silence,
                task: task.abort_handle(),
            },
        );
        true
    }
}

/// Returns the versions of the node's own endpoints that answer.
fn usable_versions(
    assignment: &Assignment,
    table: &EndpointTable,
    now: Millis,
) -> IndexSet<VersionBinding> {
    let own = assignment.own_endpoints().iter();
    let endpoints = own.filter_map(|incarnation| table.get(*incarnation));
    let usable = endpoints.filter(|endpoint| !endpoint.is_suspect(now));
    usable
        .filter_map(|endpoint| VersionBinding::of(endpoint.record()))
        .collect()
}
