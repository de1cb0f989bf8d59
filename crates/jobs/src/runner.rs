use std::{
    pin::Pin,
    sync::Arc,
    time::{Duration, Instant},
};

use base::{Clock, Millis, Snapshot};
use error_stack::Report;
use fleet::{Config, Endpoint, EndpointRecord, LoadReport, Route, RouteKind};
use indexmap::IndexMap;
use pass::{DirectoryView, Tally};
use tokio::{
    sync::{mpsc, watch},
    task::AbortHandle,
    time,
};

use crate::{
    Backlog, GateInput, GateOptions, ItemRun, JobError, JobHead, JobView,
    Ledger, Members, OnlineLoad, Plan, Planner, Progress, RunEnd, RunMeans,
    Stored, batch_services, decide,
    record::{ItemInput, ItemResult, ItemState, JobKey, Strikes},
};

/// The answer to a question for an endpoint's load.
pub type ProbeFuture =
    Pin<Box<dyn Future<Output = Option<LoadReport>> + Send>>;

/// Asks endpoints for their load.
pub trait Probe: Send + Sync + 'static {
    /// Asks one endpoint; no answer is `None`.
    fn probe(&self, endpoint: &EndpointRecord) -> ProbeFuture;
}

/// Times and bounds of a runner.
#[derive(Clone, Copy, Debug)]
pub struct RunnerOptions {
    /// Time between two looks at all work.
    pub tick_ms: u64,
    /// Time between two questions for one endpoint's load.
    pub probe_ms: u64,
    /// Oldest load report by which items start.
    pub report_age_ms: u64,
    /// Shortest time between two commits of one job.
    pub commit_ms: u64,
    /// Oldest view of the jobs by which items start.
    pub view_age_ms: u64,
    /// Time between two looks at whether jobs are spread evenly.
    pub even_out_ms: u64,
    /// Pause of an item after a failed run.
    pub retry_ms: u64,
    /// How long after its time an item is given up, for clocks that differ.
    pub give_up_margin_ms: u64,
    /// The gate at each endpoint.
    pub gate: GateOptions,
}

impl Default for RunnerOptions {
    /// An engine's report is about 50 ms old when it arrives, so that
    /// asking more than ten times a second tells little more. Results that
    /// wait 700 ms for their commit are read within a second, and a job
    /// takes a handful of writes. Clocks may differ by seconds.
    fn default() -> Self {
        Self {
            tick_ms: 50,
            probe_ms: 100,
            report_age_ms: 400,
            commit_ms: 700,
            view_age_ms: 4_000,
            even_out_ms: 500,
            retry_ms: 300,
            give_up_margin_ms: 6_000,
            gate: GateOptions::default(),
        }
    }
}

/// Runs the items of the jobs that are this node's share.
pub struct Runner {
    node: String,
    options: RunnerOptions,
    ledger: Ledger,
    view: JobView,
    endpoints: Arc<Snapshot<DirectoryView>>,
    config: Arc<Snapshot<Option<Arc<Config>>>>,
    means: RunMeans,
    probe: Arc<dyn Probe>,
    online: Arc<OnlineLoad>,
    clock: Arc<dyn Clock>,
    tally: Arc<Tally>,
}

impl Runner {
    /// Makes a runner; [`run`](Self::run) starts it.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        node: &str,
        options: RunnerOptions,
        ledger: Ledger,
        view: JobView,
        endpoints: Arc<Snapshot<DirectoryView>>,
        config: Arc<Snapshot<Option<Arc<Config>>>>,
        means: RunMeans,
        probe: Arc<dyn Probe>,
        online: Arc<OnlineLoad>,
        clock: Arc<dyn Clock>,
        tally: Arc<Tally>,
    ) -> Self {
        Self {
            node: node.to_owned(),
            options,
            ledger,
            view,
            endpoints,
            config,
            means,
            probe,
            online,
            clock,
            tally,
        }
    }

    /// Runs until `stop` turns true and no item of this node is left in
    /// work. What then waits is taken over by other nodes.
    pub async fn run(
        self,
        mut stop: watch::Receiver<bool>,
        mut heard: mpsc::UnboundedReceiver<String>,
    ) {
        let (sender, mut events) = mpsc::unbounded_channel();
        let mut work = Work::new(self, sender);
        let tick = Duration::from_millis(work.runner.options.tick_ms);
        let mut ticks = time::interval(tick);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = events.recv() => {
                    if let Some(event) = event {
                        work.take(event);
                    }
                    while let Ok(event) = events.try_recv() {
                        work.take(event);
                    }
                    work.commit_due();
                }
                Some(endpoint) = heard.recv() => {
                    work.give_way(&endpoint);
                    while let Ok(endpoint) = heard.try_recv() {
                        work.give_way(&endpoint);
                    }
                }
                _ = ticks.tick() => work.look(*stop.borrow_and_update()),
            }
            if *stop.borrow() && work.is_idle() {
                return;
            }
        }
    }
}

/// What tasks tell the runner.
enum Event {
    Inputs(JobKey, Result<Vec<ItemInput>, Report<JobError>>),
    Ended(RunId, RunEnd),
    Listed(JobKey, Result<Result<Stored, Stored>, Report<JobError>>),
    Probed(String, Option<LoadReport>),
    Moved(JobKey, Result<Stored, Report<JobError>>),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash)]
struct RunId(u64);

struct Active {
    stored: Stored,
    inputs: Inputs,
    items: Vec<Item>,
    pending: Vec<(u32, ItemResult)>,
    strikes: IndexMap<u32, Strikes>,
    strikes_dirty: bool,
    /// Whether another node runs the items now.
    moved: bool,
    listing: bool,
    next_commit: Millis,
}

enum Inputs {
    Missing,
    Loading,
    Loaded(Arc<Vec<ItemInput>>),
}

#[derive(Clone, Default)]
struct Item {
    state: Phase,
    progress: Progress,
    not_before: Millis,
    /// Time that runs have spent on it and that counts.
    run_ms: u64,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Phase {
    #[default]
    Waiting,
    Running(RunId),
    Done,
}

struct Run {
    job: JobKey,
    item: u32,
    endpoint: String,
    started: Instant,
    started_at: Millis,
    task: AbortHandle,
}

#[derive(Default)]
struct Probing {
    in_flight: bool,
    asked_at: Option<Millis>,
    report: Option<(LoadReport, Millis)>,
}

struct Work {
    runner: Runner,
    sender: mpsc::UnboundedSender<Event>,
    jobs: IndexMap<JobKey, Active>,
    runs: IndexMap<RunId, Run>,
    probes: IndexMap<String, Probing>,
    planner: Planner,
    /// Whether all fronts tell what they have in flight.
    heard_all: bool,
    moving: Option<JobKey>,
    next_evening: Millis,
    next_run: u64,
    /// Time that a thousand tokens take, averaged over runs that ended.
    ms_per_1k_tokens: u64,
}

/// Time of a thousand tokens before any run is known, in milliseconds: the
/// pace of the engines that this was measured with.
const FIRST_MS_PER_1K_TOKENS: u64 = 3_500;

/// Age of a run before its endpoint's report counts it, in milliseconds:
/// reports lag by about fifty, and the request has a way to go.
const REPORT_LAG_MS: u64 = 120;

/// Open items that another node must have beyond twice one's own before a
/// job is taken from it: about one job, so that none goes back and forth.
const UNEVEN_ITEMS: u32 = 10;

/// Open items up to which a node takes jobs that are left lying.
const LITTLE_TO_DO_ITEMS: u32 = 20;

/// Time without any change after which an overdue job counts as left lying,
/// in milliseconds: longer than its longest item runs when slots are free.
const LEFT_LYING_MS: u64 = 6_000;

/// Rest of a run that may hold up online requests so as not to be late, in
/// milliseconds: about the length of one streamed answer. A run with more
/// left gives way, as several people would wait for one item.
const NEARLY_DONE_MS: u64 = 1_000;

/// Safety factor on the time of a run when it is decided whether an item
/// would be late, in percent.
const URGENT_PERCENT: u64 = 150;

impl Work {
    fn new(runner: Runner, sender: mpsc::UnboundedSender<Event>) -> Self {
        Self {
            planner: Planner::new(&runner.node),
            heard_all: false,
            moving: None,
            next_evening: Millis::new(0),
            runner,
            sender,
            jobs: IndexMap::new(),
            runs: IndexMap::new(),
            probes: IndexMap::new(),
            next_run: 0,
            ms_per_1k_tokens: FIRST_MS_PER_1K_TOKENS,
        }
    }

    fn is_idle(&self) -> bool {
        let open = |job: &Active| job.listing || !job.pending.is_empty();
        self.runs.is_empty() && !self.jobs.values().any(open)
    }

    fn now(&self) -> Millis {
        self.runner.clock.now()
    }

    /// Looks at all work once.
    fn look(&mut self, stopping: bool) {
        let plan = self.plan();
        self.follow_view(&plan, stopping);
        if !stopping {
            self.even_out(&plan);
        }
        self.load_inputs();
        self.give_up_late();
        self.commit_due();
        self.heard_all = self.hears_all_fronts(self.now());
        if !self.heard_all {
            self.ask_loads(&plan);
        }
        self.admit(&plan, stopping);
    }

    fn plan(&mut self) -> Arc<Plan> {
        let view = self.runner.endpoints.load_full();
        let config = self.runner.config.load_full();
        let members = self.runner.view.members();
        self.planner
            .plan((*config).as_deref(), &view.table, members)
    }

    /// Takes a job from another node where that serves it better.
    fn even_out(&mut self, plan: &Plan) {
        let now = self.now();
        let due = now >= self.next_evening && self.moving.is_none();
        let me = self.runner.node.as_str();
        let able = plan.members().has(me) && !plan.is_without_share(me);
        if !due || !able {
            return;
        }
        let pause_ms = self.runner.options.even_out_ms;
        self.next_evening = now.saturating_add_ms(pause_ms);
        let members = plan.members();
        let backlog = self.runner.view.backlog(members);
        let mine = backlog.items_of(&self.runner.node);
        let taken = self
            .left_lying(plan, mine, now)
            .or_else(|| self.job_of_most_loaded(members, &backlog, mine));
        let Some((key, before)) = taken else {
            return;
        };
        log::info!(
            job = key.as_str(),
            from = members.owner(&key, &before.head).unwrap_or_default(),
            listed = before.head.listed.len(),
            total = before.head.total,
            mine;
            "a job is taken from another node"
        );
        self.moving = Some(key.clone());
        let ledger = self.runner.ledger.clone();
        let (node, sender) = (self.runner.node.clone(), self.sender.clone());
        tokio::spawn(async move {
            let moved = ledger.reassign(&key, &before, &node).await;
            let _ = sender.send(Event::Moved(key, moved));
        });
    }

    /// Finds a job that its node does not get on with: the node uses no
    /// endpoint, or the job is overdue and nothing has changed for long.
    ///
    /// What goes wrong without it: a node that lives but reaches none of its
    /// endpoints keeps its jobs for ever, while others are idle.
    fn left_lying(
        &self,
        plan: &Plan,
        mine: u32,
        now: Millis,
    ) -> Option<(JobKey, Stored)> {
        if mine > LITTLE_TO_DO_ITEMS {
            return None;
        }
        let me = self.runner.node.as_str();
        let unix = self.runner.clock.unix();
        let jobs = self.runner.view.select(|key, stored| {
            let head = &stored.head;
            let owner = plan.members().owner(key, head).unwrap_or_default();
            let without = plan.is_without_share(owner);
            let overdue = unix > head.due_at;
            !head.is_closed() && owner != me && (without || overdue)
        });
        jobs.into_iter().find(|(key, stored)| {
            let owner = plan.members().owner(key, &stored.head);
            let without = owner.is_some_and(|o| plan.is_without_share(o));
            let still_ms = self.runner.view.unchanged_ms(key, now);
            without || still_ms > LEFT_LYING_MS
        })
    }

    /// Finds a job of the node that has far more open items than this one.
    ///
    /// Fronts spread new jobs by what they see; what they cannot see are
    /// nodes that join, and endpoints that turn slow. The job that is due
    /// last is taken, as it is the one that its node has not begun.
    fn job_of_most_loaded(
        &self,
        members: &Members,
        backlog: &Backlog,
        mine: u32,
    ) -> Option<(JobKey, Stored)> {
        let (other, theirs) = backlog.most_loaded()?;
        if other == self.runner.node || theirs < 2 * mine + UNEVEN_ITEMS {
            return None;
        }
        let movable = self.runner.view.select(|key, stored| {
            let head = &stored.head;
            !head.is_closed()
                && head.listed.is_empty()
                && mine + 2 * head.total <= theirs
                && members.owner(key, head) == Some(other)
        });
        movable.into_iter().max_by_key(|(_, s)| s.head.due_at)
    }

    fn take_moved(
        &mut self,
        key: &JobKey,
        moved: Result<Stored, Report<JobError>>,
    ) {
        self.moving = None;
        match moved {
            Ok(stored) => {
                let now = self.now();
                self.runner.view.learn(key, &stored, now);
            }
            Err(report) => {
                log::info!(job = key.as_str(),
                    error:% = report.current_context();
                    "a job is not taken from its node");
            }
        }
    }

    /// Takes up and drops jobs as the view tells.
    fn follow_view(&mut self, plan: &Plan, stopping: bool) {
        let open = self.runner.view.select(|key, stored| {
            let open = !stored.head.is_closed() && !stopping;
            open && plan.owns_job(key, &stored.head)
        });
        for (key, stored) in open {
            match self.jobs.get_mut(&key) {
                Some(job) if stored.revision > job.stored.revision => {
                    job.renew(stored);
                }
                Some(_) => {}
                None => {
                    log::info!(
                        job = key.as_str(),
                        items = stored.head.total,
                        listed = stored.head.listed.len(),
                        revision = stored.revision;
                        "a job is taken up"
                    );
                    self.jobs.insert(key, Active::new(stored));
                }
            }
        }
        self.drop_jobs(plan);
    }

    fn drop_jobs(&mut self, plan: &Plan) {
        let mut gone = Vec::new();
        for (key, job) in &mut self.jobs {
            let known = self.runner.view.get(key);
            let closed = known.as_ref().is_none_or(|s| s.head.is_closed());
            // A job that moved to another node keeps the runs it has here:
            // their results are listed all the same.
            let owned =
                known.is_some_and(|known| plan.owns_job(key, &known.head));
            job.moved = !owned;
            if closed || (job.moved && !job.is_busy()) {
                gone.push((key.clone(), closed));
            }
        }
        for (key, closed) in gone {
            log::info!(job = key.as_str(), closed; "a job is left");
            self.stop_runs_of(&key);
            self.jobs.swap_remove(&key);
        }
    }

    fn stop_runs_of(&mut self, job: &JobKey) {
        self.runs.retain(|_, run| {
            let keep = run.job != *job;
            if !keep {
                run.task.abort();
            }
            keep
        });
    }

    fn load_inputs(&mut self) {
        for (key, job) in &mut self.jobs {
            if !matches!(job.inputs, Inputs::Missing) {
                continue;
            }
            job.inputs = Inputs::Loading;
            let ledger = self.runner.ledger.clone();
            let (key, head) = (key.clone(), job.stored.head.clone());
            let sender = self.sender.clone();
            tokio::spawn(async move {
                let inputs = ledger.inputs(&key, &head).await;
                let _ = sender.send(Event::Inputs(key, inputs));
            });
        }
    }

    /// Gives up items whose time is over or whose route is gone.
    fn give_up_late(&mut self) {
        let unix = self.runner.clock.unix();
        let config = self.runner.config.load_full();
        let margin_ms = self.runner.options.give_up_margin_ms;
        let mut stopped = Vec::new();
        for (key, job) in &mut self.jobs {
            let Inputs::Loaded(inputs) = &job.inputs else {
                continue;
            };
            let head = &job.stored.head;
            let over = unix > head.give_up_at.saturating_add_ms(margin_ms);
            let gone = config
                .as_ref()
                .as_ref()
                .is_some_and(|config| route_of(config, head).is_none());
            if !over && !gone {
                continue;
            }
            let inputs = inputs.clone();
            for number in 0..job.items.len() as u32 {
                if job.items[number as usize].state == Phase::Done {
                    continue;
                }
                job.finish(number, &inputs, ItemState::GivenUp);
                Tally::add(&self.runner.tally.items_given_up);
                log::info!(
                    job = key.as_str(),
                    request_id = inputs[number as usize].id.as_str(),
                    over,
                    route_gone = gone;
                    "an item is given up"
                );
            }
            stopped.push(key.clone());
        }
        for key in stopped {
            self.stop_runs_of(&key);
        }
    }

    /// Starts commits of jobs that have something to list.
    fn commit_due(&mut self) {
        let now = self.now();
        for (key, job) in &mut self.jobs {
            let due = !job.pending.is_empty() || job.strikes_dirty;
            if !due || job.listing || now < job.next_commit {
                continue;
            }
            job.listing = true;
            job.next_commit =
                now.saturating_add_ms(self.runner.options.commit_ms);
            let ledger = self.runner.ledger.clone();
            let before = job.stored.clone();
            let strikes = job.strikes.clone();
            job.strikes_dirty = false;
            let (numbers, results): (Vec<u32>, Vec<ItemResult>) =
                job.pending.iter().cloned().unzip();
            let (key, sender) = (key.clone(), self.sender.clone());
            tokio::spawn(async move {
                let listed = ledger
                    .list(&key, &before, &numbers, &results, &strikes)
                    .await;
                let _ = sender.send(Event::Listed(key, listed));
            });
        }
    }

    /// Asks the endpoints of this node's share for their load.
    fn ask_loads(&mut self, plan: &Plan) {
        let view = self.runner.endpoints.load_full();
        self.probes
            .retain(|id, _| view.table.iter().any(|e| e.record().id == *id));
        if self.jobs.is_empty() && self.runs.is_empty() {
            return;
        }
        let now = self.now();
        let probe_ms = self.runner.options.probe_ms;
        for service in self.batch_services() {
            for endpoint in view.table.of_service(&service) {
                let record = endpoint.record();
                if !plan.uses_endpoint(&record.id) {
                    continue;
                }
                let probing =
                    self.probes.entry(record.id.clone()).or_default();
                let recent = probing
                    .asked_at
                    .is_some_and(|at| now.saturating_ms_since(at) < probe_ms);
                if probing.in_flight || recent {
                    continue;
                }
                probing.in_flight = true;
                probing.asked_at = Some(now);
                let answer = self.runner.probe.probe(record);
                let sender = self.sender.clone();
                let id = record.id.clone();
                tokio::spawn(async move {
                    let report = answer.await;
                    let _ = sender.send(Event::Probed(id, report));
                });
            }
        }
    }

    fn batch_services(&self) -> Vec<String> {
        let config = self.runner.config.load_full();
        (*config).as_deref().map(batch_services).unwrap_or_default()
    }

    /// Lets the gate of each endpoint decide, and carries it out.
    fn admit(&mut self, plan: &Plan, stopping: bool) {
        let config = self.runner.config.load_full();
        let Some(config) = config.as_ref() else {
            return;
        };
        let now = self.now();
        let view = self.runner.endpoints.load_full();
        let stale =
            self.runner.view.age_ms(now) > self.runner.options.view_age_ms;
        for service in self.batch_services() {
            for endpoint in view.table.of_service(&service) {
                if !plan.uses_endpoint(&endpoint.record().id) {
                    continue;
                }
                let Some(order) = self.order_for(endpoint, &service, now)
                else {
                    continue;
                };
                for _ in 0..order.preempt {
                    self.preempt_one(&endpoint.record().id);
                }
                if stopping || stale || endpoint.is_suspect(now) {
                    continue;
                }
                for _ in 0..order.start {
                    if !self.start_one(config, endpoint, &service, now) {
                        break;
                    }
                }
            }
        }
    }

    /// Lets batch work at one endpoint give way as an online request is
    /// under way to it.
    fn give_way(&mut self, id: &str) {
        let now = self.now();
        let view = self.runner.endpoints.load_full();
        let endpoint = view.table.iter().find(|e| e.record().id == id);
        let Some(endpoint) = endpoint else {
            return;
        };
        let service = &endpoint.record().service;
        if let Some(order) = self.order_for(endpoint, service, now) {
            for _ in 0..order.preempt {
                self.preempt_one(id);
            }
        }
    }

    /// Tells whether all fronts tell their requests in flight.
    fn hears_all_fronts(&self, now: Millis) -> bool {
        let nodes = self.runner.view.nodes();
        let fronts = nodes.iter().filter(|node| !node.runs_items);
        let names = fronts.map(|node| node.node.as_str());
        self.runner.online.is_whole(names, now)
    }

    fn order_for(
        &self,
        endpoint: &Endpoint,
        service: &str,
        now: Millis,
    ) -> Option<crate::GateOrder> {
        let id = &endpoint.record().id;
        let mine = || self.runs.values().filter(|run| run.endpoint == *id);
        let mut input = GateInput {
            mine: mine().count() as u32,
            mine_urgent: mine().filter(|run| self.is_urgent(run)).count()
                as u32,
            ..GateInput::default()
        };
        if self.heard_all {
            let online = self.runner.online.at(id, "", now);
            input.slots = endpoint.record().slots;
            input.mine_reported = input.mine;
            input.running = online + input.mine;
        } else {
            let (report, at) = self.probes.get(id)?.report?;
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
        input.urgent_waits = self.urgent_waits(service);
        Some(decide(&input, &self.runner.options.gate))
    }

    /// Tells whether a run would be late if it had to start again later.
    fn is_urgent(&self, run: &Run) -> bool {
        let Some(job) = self.jobs.get(&run.job) else {
            return false;
        };
        let rest_ms = self.rest_ms(job, run.item);
        rest_ms <= NEARLY_DONE_MS
            && self.would_be_late(&job.stored.head, rest_ms)
    }

    fn urgent_waits(&self, _service: &str) -> bool {
        self.jobs.values().any(|job| {
            (0..job.items.len() as u32).any(|number| {
                let rest_ms = self.rest_ms(job, number);
                job.items[number as usize].state == Phase::Waiting
                    && self.would_be_late(&job.stored.head, rest_ms)
            })
        })
    }

    /// Estimates how long an item still takes, by its tokens and what its
    /// runs have produced.
    fn rest_ms(&self, job: &Active, number: u32) -> u64 {
        let Inputs::Loaded(inputs) = &job.inputs else {
            return 0;
        };
        let at = number as usize;
        let whole_ms = inputs[at].tokens * self.ms_per_1k_tokens / 1_000;
        let begun_ms = job.items[at].run_ms;
        whole_ms.saturating_sub(begun_ms)
    }

    /// Tells whether work of `rest_ms` is only just in time. What is late
    /// already is not urgent any more: it must not hold up what is not.
    fn would_be_late(&self, head: &JobHead, rest_ms: u64) -> bool {
        let unix = self.runner.clock.unix();
        let left_ms = head.due_at.saturating_ms_since(unix);
        let needed_ms =
            rest_ms * URGENT_PERCENT / 100 + self.runner.options.commit_ms;
        left_ms > rest_ms && left_ms < needed_ms
    }

    /// Stops the run that is worth least to go on.
    fn preempt_one(&mut self, endpoint: &str) {
        let candidates = self.runs.iter().filter(|(_, run)| {
            run.endpoint == endpoint && !self.is_urgent(run)
        });
        let slack = |run: &Run| {
            let job = self.jobs.get(&run.job)?;
            let rest_ms = self.rest_ms(job, run.item);
            let due_ms = job.stored.head.due_at.as_ms();
            Some(due_ms.saturating_sub(rest_ms))
        };
        let chosen =
            candidates.max_by_key(|(_, run)| (slack(run), run.started));
        let Some(id) = chosen.map(|(id, _)| *id) else {
            return;
        };
        let Some(run) = self.runs.swap_remove(&id) else {
            return;
        };
        run.task.abort();
        Tally::add(&self.runner.tally.items_preempted);
        if let Some(job) = self.jobs.get_mut(&run.job) {
            let item = &mut job.items[run.item as usize];
            item.state = Phase::Waiting;
            item.run_ms += run.started.elapsed().as_millis() as u64;
            log::info!(
                job = run.job.as_str(),
                item = run.item,
                endpoint,
                events = item.progress.events();
                "an item gives way to online requests"
            );
        }
    }

    /// Starts the item that is due first, if one waits.
    fn start_one(
        &mut self,
        config: &Config,
        endpoint: &Endpoint,
        service: &str,
        now: Millis,
    ) -> bool {
        let unix = self.runner.clock.unix();
        let mut best: Option<((bool, u64), JobKey, u32)> = None;
        for (key, job) in &self.jobs {
            if job.moved || !matches!(job.inputs, Inputs::Loaded(_)) {
                continue;
            }
            let head = &job.stored.head;
            let leads_here = route_of(config, head).is_some_and(|route| {
                let mut all = route.destinations().iter();
                all.any(|d| d.service == service && d.weight > 0)
            });
            if !leads_here {
                continue;
            }
            let late = unix > head.due_at;
            for (number, item) in (0..).zip(&job.items) {
                if item.state != Phase::Waiting || item.not_before > now {
                    continue;
                }
                // Least slack first: a long item has to start earlier than
                // a short one of the same job.
                let rest_ms = self.rest_ms(job, number);
                let start_by = head.due_at.as_ms().saturating_sub(rest_ms);
                let rank = (late, start_by);
                if best.as_ref().is_none_or(|(r, ..)| rank < *r) {
                    best = Some((rank, key.clone(), number));
                }
            }
        }
        let Some((_, key, number)) = best else {
            return false;
        };
        self.start(config, key, number, endpoint, now)
    }

    fn start(
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
            host: job.stored.head.host.clone(),
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
            view_age_ms = self.runner.view.age_ms(now);
            "an item starts"
        );
        item.state = Phase::Running(id);
        let means = self.runner.means.clone();
        let sender = self.sender.clone();
        let task = tokio::spawn(async move {
            let end = run.run(&means).await;
            let _ = sender.send(Event::Ended(id, end));
        });
        Tally::add(&self.runner.tally.item_runs);
        self.runs.insert(
            id,
            Run {
                job: key,
                item: number,
                endpoint: endpoint.record().id.clone(),
                started: Instant::now(),
                started_at: now,
                task: task.abort_handle(),
            },
        );
        true
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Inputs(key, inputs) => self.take_inputs(&key, inputs),
            Event::Ended(id, end) => self.take_end(id, end),
            Event::Listed(key, listed) => self.take_listed(&key, listed),
            Event::Moved(key, moved) => self.take_moved(&key, moved),
            Event::Probed(id, report) => {
                let now = self.now();
                if let Some(probing) = self.probes.get_mut(&id) {
                    probing.in_flight = false;
                    if let Some(report) = report {
                        probing.report = Some((report, now));
                    }
                }
            }
        }
    }

    fn take_inputs(
        &mut self,
        key: &JobKey,
        inputs: Result<Vec<ItemInput>, Report<JobError>>,
    ) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.inputs = match inputs {
            Ok(inputs) => Inputs::Loaded(Arc::new(inputs)),
            Err(report) => {
                log::warn!(job = key.as_str(),
                    error:% = report.current_context();
                    "the inputs of a job cannot be read yet");
                Inputs::Missing
            }
        };
    }

    fn take_end(&mut self, id: RunId, end: RunEnd) {
        let now = self.now();
        let retry_at = now.saturating_add_ms(self.runner.options.retry_ms);
        let Some(run) = self.runs.swap_remove(&id) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&run.job) else {
            return;
        };
        let Inputs::Loaded(inputs) = &job.inputs else {
            return;
        };
        let inputs = inputs.clone();
        let number = run.item;
        let config = self.runner.config.load_full();
        let most = config
            .as_ref()
            .as_ref()
            .and_then(|config| route_of(config, &job.stored.head))
            .map_or(1, |route| route.max_attempts());
        let strikes = job.strikes.entry(number).or_default();
        match end {
            RunEnd::Rejected => {
                strikes.rejections += 1;
                job.strikes_dirty = true;
            }
            RunEnd::Error(_) => {
                strikes.errors += 1;
                job.strikes_dirty = true;
            }
            _ => {}
        }
        let strikes = *strikes;
        let hopeless = strikes.rejections > 0 || strikes.errors >= most;
        let ran_ms = run.started.elapsed().as_millis() as u64;
        log::info!(
            request_id = inputs[number as usize].id.as_str(),
            job = run.job.as_str(),
            endpoint = run.endpoint.as_str(),
            end:? = end,
            ran_ms,
            errors = strikes.errors,
            events = job.items[number as usize].progress.events();
            "a run of an item ended"
        );
        if strikes == Strikes::default() {
            job.strikes.swap_remove(&number);
        }
        job.items[number as usize].run_ms += ran_ms;
        if end == RunEnd::Complete {
            let whole_ms = job.items[number as usize].run_ms;
            let tokens = inputs[number as usize].tokens.max(1);
            let pace = whole_ms * 1_000 / tokens;
            self.ms_per_1k_tokens = (self.ms_per_1k_tokens * 7 + pace) / 8;
            job.finish(number, &inputs, ItemState::Complete);
            Tally::add(&self.runner.tally.items_completed);
        } else if hopeless {
            log::info!(
                request_id = inputs[number as usize].id.as_str(),
                job = run.job.as_str(),
                errors = strikes.errors,
                rejections = strikes.rejections,
                most;
                "an item is given up"
            );
            job.finish(number, &inputs, ItemState::GivenUp);
            Tally::add(&self.runner.tally.items_given_up);
        } else {
            let item = &mut job.items[number as usize];
            item.state = Phase::Waiting;
            item.not_before = match end {
                RunEnd::Broken => now,
                _ => retry_at,
            };
        }
    }

    fn take_listed(
        &mut self,
        key: &JobKey,
        listed: Result<Result<Stored, Stored>, Report<JobError>>,
    ) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.listing = false;
        let stored = match listed {
            Ok(Ok(stored)) => {
                log::info!(
                    job = key.as_str(),
                    listed = stored.head.listed.len(),
                    total = stored.head.total,
                    revision = stored.revision;
                    "results are listed"
                );
                stored
            }
            Ok(Err(stored)) => {
                log::info!(
                    job = key.as_str(),
                    known = job.stored.revision,
                    revision = stored.revision;
                    "another writer was faster, results are listed again"
                );
                job.strikes_dirty = false;
                job.next_commit = Millis::new(0);
                stored
            }
            Err(report) => {
                log::warn!(
                    job = key.as_str(),
                    error:% = report.current_context();
                    "results wait for the key-value service"
                );
                return;
            }
        };
        let now = self.runner.clock.now();
        self.runner.view.learn(key, &stored, now);
        job.renew(stored);
    }
}

impl Active {
    fn new(stored: Stored) -> Self {
        let total = stored.head.total as usize;
        let mut job = Self {
            strikes: stored.head.strikes.clone(),
            stored,
            inputs: Inputs::Missing,
            items: vec![Item::default(); total],
            pending: Vec::new(),
            strikes_dirty: false,
            moved: false,
            listing: false,
            next_commit: Millis::new(0),
        };
        // `vec!` clones one item, whose progress would be shared.
        for item in &mut job.items {
            item.progress = Progress::default();
        }
        job.mark_listed();
        job
    }

    fn is_busy(&self) -> bool {
        let running = |i: &Item| matches!(i.state, Phase::Running(_));
        self.listing
            || !self.pending.is_empty()
            || self.items.iter().any(running)
    }

    /// Takes a newer head; what it lists is done, whoever listed it.
    fn renew(&mut self, stored: Stored) {
        if stored.revision < self.stored.revision {
            return;
        }
        self.stored = stored;
        self.mark_listed();
    }

    fn mark_listed(&mut self) {
        for number in &self.stored.head.listed {
            if let Some(item) = self.items.get_mut(*number as usize) {
                item.state = Phase::Done;
            }
        }
        let listed = &self.stored.head.listed;
        self.pending.retain(|(number, _)| !listed.contains(number));
    }

    /// Puts the end of an item where the next commit lists it.
    fn finish(&mut self, number: u32, inputs: &[ItemInput], state: ItemState) {
        let at = number as usize;
        let item = &mut self.items[at];
        item.state = Phase::Done;
        let output = match state {
            ItemState::Complete => item.progress.output(),
            ItemState::GivenUp => String::new(),
        };
        // The text lives on in the result alone.
        item.progress = Progress::default();
        let listed = self.stored.head.listed.contains(&number);
        let waits = self.pending.iter().any(|(known, _)| *known == number);
        if listed || waits {
            return;
        }
        let id = inputs[at].id.clone();
        self.pending
            .push((number, ItemResult { id, state, output }));
    }
}

fn route_of<'a>(config: &'a Config, head: &JobHead) -> Option<&'a Arc<Route>> {
    let route = config.routes.find(&head.host, &head.path)?;
    (route.kind() == RouteKind::Batch).then_some(route)
}
