//! Decides at each endpoint what starts and what gives way.

use std::time::Instant;

use base::Millis;
use fleet::{Config, Endpoint, IncarnationKey};
use pass::Counters;

use super::{
    Event, Run, RunId, Work,
    active::{Active, Inputs, Phase},
    route_of,
};
use crate::{
    GateInput, GateOrder, ItemRun, JobHead, Plan, PreemptRank, Rest, Urgency,
    decide, record::JobKey,
};

/// Age of a run before its endpoint's report counts it, in milliseconds:
/// reports lag by about fifty, and the request has a way to go.
const REPORT_LAG_MS: u64 = 120;

/// Rest of a run that may hold up online requests so as not to be late, in
/// milliseconds: about the length of one streamed answer. A run with more
/// left gives way, as several people would wait for one item.
const NEARLY_DONE_MS: u64 = 1_000;

/// Safety factor on the time of a run when it is decided whether an item
/// would be late, in percent.
const URGENT_PERCENT: u64 = 150;

impl Work {
    /// Asks those endpoints of this node's share for their load whose
    /// online requests are not known from the fronts.
    pub(super) fn ask_loads(&mut self, plan: &Plan) {
        if self.jobs.is_empty() && self.runs.is_empty() {
            self.probes.clear();
            return;
        }
        let now = self.now();
        let view = self.runner.parts.endpoints.load_full();
        let own = plan.own().iter();
        let unknown = own.filter(|life| self.online(**life, now).is_none());
        let unknown: Vec<IncarnationKey> = unknown.copied().collect();
        self.probes.retain(|life, _| unknown.contains(life));
        for life in unknown {
            if let Some(endpoint) = view.table.get(life) {
                self.ask_load(endpoint, now);
            }
        }
    }

    fn ask_load(&mut self, endpoint: &Endpoint, now: Millis) {
        let probe_ms = self.runner.options.probe_ms;
        let life = endpoint.incarnation_key();
        let probing = self.probes.entry(life).or_default();
        let recent = probing
            .asked_at
            .is_some_and(|at| now.saturating_ms_since(at) < probe_ms);
        if probing.in_flight || recent {
            return;
        }
        probing.in_flight = true;
        probing.asked_at = Some(now);
        let answer = self.runner.parts.probe.probe(endpoint.record());
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let report = answer.await;
            let _ = sender.send(Event::Probed(life, report));
        });
    }

    /// Lets the gate of each endpoint decide, and carries it out.
    pub(super) fn admit(&mut self, plan: &Plan, stopping: bool) {
        let config = self.runner.parts.config.load_full();
        let Some(config) = config.as_ref() else {
            return;
        };
        let now = self.now();
        let view = self.runner.parts.endpoints.load_full();
        let stale = self.runner.parts.view.age_ms(now)
            > self.runner.options.view_age_ms;
        for life in plan.own() {
            let Some(endpoint) = view.table.get(*life) else {
                continue;
            };
            let Some(order) = self.order_for(endpoint, now) else {
                continue;
            };
            for _ in 0..order.preempt {
                self.preempt_one(*life);
            }
            if stopping || stale || endpoint.is_suspect(now) {
                continue;
            }
            for _ in 0..order.start {
                if !self.start_one(config, endpoint, now) {
                    break;
                }
            }
        }
    }

    /// Lets batch work at one endpoint give way as an online request is
    /// under way to it.
    pub(super) fn give_way(&mut self, life: IncarnationKey) {
        let now = self.now();
        let view = self.runner.parts.endpoints.load_full();
        let Some(endpoint) = view.table.get(life) else {
            return;
        };
        if let Some(order) = self.order_for(endpoint, now) {
            for _ in 0..order.preempt {
                self.preempt_one(life);
            }
        }
    }

    /// Returns the online requests at an endpoint, if the fronts that use
    /// it report them.
    fn online(&self, life: IncarnationKey, now: Millis) -> Option<u32> {
        let first_user = self.first_users.user_of(life)?;
        let online = &self.runner.parts.online;
        online.requests_at(life, &first_user.node, now)
    }

    pub(super) fn order_for(
        &self,
        endpoint: &Endpoint,
        now: Millis,
    ) -> Option<GateOrder> {
        let life = endpoint.incarnation_key();
        let mine = || {
            self.runs
                .values()
                .filter(|run| run.endpoint.incarnation_key() == life)
        };
        let mut input = GateInput {
            mine: mine().count() as u32,
            mine_urgent: mine().filter(|run| self.is_urgent(run)).count()
                as u32,
            ..GateInput::default()
        };
        if let Some(online) = self.online(life, now) {
            input.slots = endpoint.record().slots;
            input.mine_reported = input.mine;
            input.running = online + input.mine;
        } else {
            let (report, at) =
                self.probes.get(&endpoint.incarnation_key())?.report?;
            let age_ms = now.saturating_ms_since(at);
            if age_ms > self.runner.options.report_age_ms {
                return None;
            }
            input = input.with_report(report);
            let counted = |run: &&Run| {
                at.saturating_ms_since(run.started_at) >= REPORT_LAG_MS
            };
            input.mine_reported = mine().filter(counted).count() as u32;
        }
        Some(decide(&input, &self.runner.options.gate))
    }

    /// Tells whether a run would be late if it had to start again later.
    pub(super) fn is_urgent(&self, run: &Run) -> bool {
        let Some(job) = self.jobs.get(&run.job) else {
            return false;
        };
        let rest_ms = self.rest_of_run(job, run).expected_ms;
        rest_ms <= NEARLY_DONE_MS
            && self.would_be_late(&job.stored.head, rest_ms)
    }

    /// Estimates how long an item still takes that has run for `ran_ms`.
    fn rest(&self, job: &Active, number: u32, ran_ms: u64) -> Rest {
        match &job.inputs {
            Inputs::Loaded(inputs) => {
                self.pace.rest(inputs[number as usize].tokens, ran_ms)
            }
            _ => Rest::default(),
        }
    }

    /// Estimates the rest of an item that runs.
    fn rest_of_run(&self, job: &Active, run: &Run) -> Rest {
        let now_ms = run.started.elapsed().as_millis() as u64;
        let before_ms = job.items[run.item as usize].run_ms;
        self.rest(job, run.item, before_ms + now_ms)
    }

    fn urgency(&self, job: &Active, number: u32) -> Urgency {
        let ran_ms = job.items[number as usize].run_ms;
        let rest = self.rest(job, number, ran_ms);
        let unix = self.runner.parts.clock.unix();
        Urgency::new(job.stored.head.due_at, rest, unix)
    }

    /// Tells whether work of `rest_ms` is only just in time. What is late
    /// already is not urgent any more: it must not hold up what is not.
    pub(super) fn would_be_late(&self, head: &JobHead, rest_ms: u64) -> bool {
        let unix = self.runner.parts.clock.unix();
        let left_ms = head.due_at.saturating_ms_since(unix);
        let needed_ms =
            rest_ms * URGENT_PERCENT / 100 + self.runner.options.commit_ms;
        left_ms > rest_ms && left_ms < needed_ms
    }

    /// Stops the run that is worth least to go on.
    pub(super) fn preempt_one(&mut self, life: IncarnationKey) {
        let candidates = self.runs.iter().filter(|(_, run)| {
            run.endpoint.incarnation_key() == life && !self.is_urgent(run)
        });
        let unix = self.runner.parts.clock.unix();
        let rank_of = |run: &Run| {
            let job = self.jobs.get(&run.job)?;
            let item = &job.items[run.item as usize];
            let has_events = item.progress.last_id().is_some();
            let due_at = job.stored.head.due_at;
            let rest = self.rest_of_run(job, run);
            let urgency = Urgency::new(due_at, rest, unix);
            Some(PreemptRank::new(has_events, urgency))
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
            item.pause(run.started);
            log::info!(
                request_id = id.as_str(),
                job = run.job.as_str(),
                endpoint = run.endpoint.record().id.as_str(),
                ran_ms = run.started.elapsed().as_millis() as u64,
                events = item.progress.events();
                "an item gives way to online requests"
            );
        }
    }

    /// Starts the item that is due first, if one waits.
    pub(super) fn start_one(
        &mut self,
        config: &Config,
        endpoint: &Endpoint,
        now: Millis,
    ) -> bool {
        let service = &endpoint.record().service;
        let mut best: Option<(Urgency, JobKey, u32)> = None;
        for (key, job) in &self.jobs {
            if job.moved || !matches!(job.inputs, Inputs::Loaded(_)) {
                continue;
            }
            let head = &job.stored.head;
            let leads_here = route_of(config, head).is_some_and(|route| {
                let mut all = route.destinations().iter();
                all.any(|d| d.service == *service && d.weight > 0)
            });
            if !leads_here {
                continue;
            }
            for (number, item) in (0..).zip(&job.items) {
                if item.state != Phase::Waiting || item.not_before > now {
                    continue;
                }
                let urgency = self.urgency(job, number);
                if best.as_ref().is_none_or(|(best, ..)| urgency < *best) {
                    best = Some((urgency, key.clone(), number));
                }
            }
        }
        let Some((_, key, number)) = best else {
            return false;
        };
        self.start(config, key, number, endpoint, now)
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
        let Some(route) = route_of(config, &job.stored.head) else {
            return false;
        };
        let id = RunId(self.next_run);
        self.next_run += 1;
        let item = &mut job.items[number as usize];
        let run = ItemRun {
            input: inputs[number as usize].clone(),
            job: key.clone(),
            host: job.stored.head.host.clone(),
            customer: job.stored.head.customer.clone(),
            route: route.clone(),
            endpoint: endpoint.clone(),
            progress: item.progress.clone(),
        };
        log::info!(
            request_id = run.input.id.as_str(),
            job = key.as_str(),
            endpoint = endpoint.record().id.as_str(),
            after = item.progress.last_id().unwrap_or(0),
            config = config.version,
            revision = job.stored.revision,
            view_age_ms = self.runner.parts.view.age_ms(now);
            "an item starts"
        );
        item.state = Phase::Running(id);
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
                started: Instant::now(),
                started_at: now,
                task: task.abort_handle(),
            },
        );
        true
    }
}
