mod active;
mod admit;
mod even;
mod outcome;
mod save;

use std::{
    pin::Pin,
    sync::Arc,
    time::{Duration, Instant},
};

use base::{Clock, Millis, Snapshot};
use error_stack::Report;
use fleet::{
    Config, Endpoint, EndpointRecord, IncarnationKey, LoadReport, Route,
    RouteKind,
};
use indexmap::IndexMap;
use pass::{Counters, DirectoryView};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::AbortHandle,
    time,
};

use self::{
    active::{Active, Inputs, Phase},
    save::Loaded,
};
use crate::{
    GateOptions, ItemForwarder, JobError, JobHead, JobView, Ledger,
    OnlineLoad, Pace, Plan, Plans, RunEnd, Stored,
    record::{ItemResult, ItemState, JobKey},
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
    /// Time between two saves of what unfinished items have produced.
    pub save_ms: u64,
    /// Pause of an item after a failed run.
    pub retry_ms: u64,
    /// How long after its time an item is given up, for clocks that differ.
    pub give_up_margin_ms: u64,
    /// How long a job stays readable after its submission, and at least as
    /// long as it is open.
    pub kept_ms: u64,
    /// The gate at each endpoint.
    pub gate: GateOptions,
}

impl Default for RunnerOptions {
    /// An engine's report is about 50 ms old when it arrives, so that
    /// asking more than ten times a second tells little more. Results that
    /// wait 700 ms for their commit are read within a second, and a job
    /// takes a handful of writes. A save is one write of each node; a lost
    /// node's items run half the pause between two of them again on average.
    /// Clocks may differ by seconds.
    fn default() -> Self {
        Self {
            tick_ms: 50,
            probe_ms: 100,
            report_age_ms: 400,
            commit_ms: 700,
            view_age_ms: 4_000,
            even_out_ms: 500,
            save_ms: 2_000,
            retry_ms: 300,
            give_up_margin_ms: 6_000,
            kept_ms: 180_000,
            gate: GateOptions::default(),
        }
    }
}

/// What a runner works with.
pub struct RunnerParts {
    /// Name of the node.
    pub node: String,
    /// Where jobs are kept.
    pub ledger: Ledger,
    /// What the node knows of all jobs.
    pub view: JobView,
    /// The endpoints as the node knows them.
    pub endpoints: Arc<Snapshot<DirectoryView>>,
    /// The configuration in force, once there is one.
    pub config: Arc<Snapshot<Option<Arc<Config>>>>,
    /// How items are sent.
    pub forwarder: ItemForwarder,
    /// How endpoints are asked for their load.
    pub probe: Arc<dyn Probe>,
    /// What fronts report of their requests in flight.
    pub online: Arc<OnlineLoad>,
    /// Who uses which endpoint.
    pub plans: Plans,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The counters of the process.
    pub counters: Arc<Counters>,
}

/// How a runner is asked to stop.
pub struct Stop {
    /// Turns true to ask for it.
    pub asked: watch::Receiver<bool>,
    /// Hears when what the items have produced is saved, or cannot be: other
    /// nodes may go on with them then.
    pub handed_over: oneshot::Sender<()>,
}

/// Runs the items of the jobs that are this node's share.
pub struct Runner {
    options: RunnerOptions,
    parts: RunnerParts,
}

impl Runner {
    /// Makes a runner; [`run`](Self::run) starts it.
    pub fn new(options: RunnerOptions, parts: RunnerParts) -> Self {
        Self { options, parts }
    }

    /// Runs until it is asked to stop and nothing of this node is left to
    /// be listed. What then waits is taken over by other nodes.
    pub async fn run(
        self,
        stop: Stop,
        mut heard: mpsc::UnboundedReceiver<IncarnationKey>,
    ) {
        let Stop {
            asked: mut stop,
            handed_over,
        } = stop;
        let mut handed_over = Some(handed_over);
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
                    work.give_way(endpoint);
                    while let Ok(endpoint) = heard.try_recv() {
                        work.give_way(endpoint);
                    }
                }
                _ = ticks.tick() => work.look(*stop.borrow_and_update()),
            }
            if *stop.borrow()
                && let Some(handed_over) = handed_over.take()
            {
                work.hand_over_all(handed_over);
            }
            if *stop.borrow() && work.is_idle() {
                return;
            }
        }
    }
}

/// What tasks tell the runner.
enum Event {
    Inputs(JobKey, Result<Loaded, Report<JobError>>),
    Saved(Result<(), Report<JobError>>),
    Ended(RunId, RunEnd),
    Listed(JobKey, Result<Result<Stored, Stored>, Report<JobError>>),
    Probed(IncarnationKey, Option<LoadReport>),
    Moved(JobKey, Result<Stored, Report<JobError>>),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash)]
struct RunId(u64);

struct Run {
    job: JobKey,
    item: u32,
    endpoint: Endpoint,
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
    probes: IndexMap<IncarnationKey, Probing>,
    /// Which front sends to each endpoint before all others.
    first_users: Arc<Plan>,
    /// What the jobs were taken up by: the plan, and the count of changes
    /// of the view.
    followed: Option<(Arc<Plan>, u64)>,
    moving: Option<JobKey>,
    /// Jobs taken from other nodes, with the time from which on what they
    /// had produced there can be read.
    taken: IndexMap<JobKey, Millis>,
    saving: bool,
    next_save: Millis,
    next_evening: Millis,
    next_removal: Millis,
    next_run: u64,
    /// How long items take.
    pace: Pace,
}

/// Time between two looks for jobs to remove, in milliseconds.
const REMOVAL_PAUSE_MS: u64 = 10_000;

/// Jobs removed at one look, so that removal never crowds out commits.
const REMOVALS_MOST: usize = 50;

impl Work {
    fn new(runner: Runner, sender: mpsc::UnboundedSender<Event>) -> Self {
        Self {
            first_users: Arc::default(),
            followed: None,
            moving: None,
            taken: IndexMap::new(),
            saving: false,
            next_save: Millis::new(0),
            next_evening: Millis::new(0),
            next_removal: Millis::new(0),
            runner,
            sender,
            jobs: IndexMap::new(),
            runs: IndexMap::new(),
            probes: IndexMap::new(),
            next_run: 0,
            pace: Pace::default(),
        }
    }

    fn is_idle(&self) -> bool {
        let open = |job: &Active| job.listing || !job.pending.is_empty();
        self.runs.is_empty() && !self.jobs.values().any(open)
    }

    fn hand_over_all(&mut self, handed_over: oneshot::Sender<()>) {
        let keys: Vec<JobKey> = self.jobs.keys().cloned().collect();
        let done = self.hand_over(&keys);
        tokio::spawn(async move {
            let _ = done.await;
            // The node has left already if it did not wait so long.
            let _ = handed_over.send(());
        });
    }

    fn now(&self) -> Millis {
        self.runner.parts.clock.now()
    }

    /// Looks at all work once.
    fn look(&mut self, stopping: bool) {
        let plan = self.runner.parts.plans.of_items();
        self.first_users = self.runner.parts.plans.of_requests();
        self.follow_view(&plan, stopping);
        if !stopping {
            self.even_out(&plan);
        }
        self.load_inputs();
        self.give_up_late();
        self.remove_expired(&plan);
        self.commit_due();
        self.save_progress();
        self.ask_loads(&plan);
        self.admit(&plan, stopping);
    }

    /// Takes up and drops jobs as the view tells, where it or the plan has
    /// changed.
    fn follow_view(&mut self, plan: &Arc<Plan>, stopping: bool) {
        let view = &self.runner.parts.view;
        let changes = view.count_of_changes();
        let followed = self.followed.as_ref();
        let is_known = followed.is_some_and(|(known, count)| {
            Arc::ptr_eq(known, plan) && *count == changes
        });
        if is_known && !stopping && !self.has_moved() {
            return;
        }
        self.followed = Some((plan.clone(), changes));
        let open = match stopping {
            true => Vec::new(),
            false => view.open_of(plan.members(), &self.runner.parts.node),
        };
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
                    let mut job = Active::new(stored);
                    if let Some(at) = self.taken.swap_remove(&key) {
                        job.settled_at = at;
                    }
                    self.jobs.insert(key, job);
                }
            }
        }
        self.drop_jobs(plan);
    }

    /// Tells whether jobs of other nodes still wait here for their results
    /// to be listed.
    fn has_moved(&self) -> bool {
        self.jobs.values().any(|job| job.moved)
    }

    fn drop_jobs(&mut self, plan: &Plan) {
        let mut gone = Vec::new();
        let mut moved = Vec::new();
        for (key, job) in &mut self.jobs {
            let known = self.runner.parts.view.get(key);
            let closed = known.as_ref().is_none_or(|s| s.head.is_closed());
            let owned =
                known.is_some_and(|known| plan.owns_job(key, &known.head));
            if !owned && !job.moved && !closed {
                moved.push(key.clone());
            }
            job.moved = !owned;
            // Results that wait here are listed by this node all the same.
            if closed || (job.moved && !job.is_busy()) {
                gone.push((key.clone(), closed));
            }
        }
        if !moved.is_empty() {
            // What is saved is read by the nodes that go on; nothing here
            // waits for it.
            drop(self.hand_over(&moved));
        }
        for (key, closed) in gone {
            log::info!(job = key.as_str(), closed; "a job is left");
            self.stop_runs_of(&key);
            self.jobs.swap_remove(&key);
        }
    }

    /// Stops the runs of a job and leaves its items where they are; returns
    /// how many there were.
    fn pause_runs_of(&mut self, key: &JobKey) -> usize {
        let before = self.runs.len();
        let Some(job) = self.jobs.get_mut(key) else {
            return 0;
        };
        self.runs.retain(|_, run| {
            let keep = run.job != *key;
            if !keep {
                run.task.abort();
                job.items[run.item as usize].pause(run.started);
            }
            keep
        });
        before - self.runs.len()
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

    /// Gives up items whose time is over or whose route is gone.
    fn give_up_late(&mut self) {
        let unix = self.runner.parts.clock.unix();
        let config = self.runner.parts.config.load_full();
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
                Counters::add(&self.runner.parts.counters.items_given_up);
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

    /// Starts the removal of closed jobs whose time to be read is over.
    ///
    /// Without it heads pile up in the key-value service and in the memory
    /// of every node, a gigabyte a day at one job a second.
    fn remove_expired(&mut self, plan: &Plan) {
        let now = self.now();
        if now < self.next_removal {
            return;
        }
        self.next_removal = now.saturating_add_ms(REMOVAL_PAUSE_MS);
        let unix = self.runner.parts.clock.unix();
        let kept_ms = self.runner.options.kept_ms;
        let before = unix.saturating_sub_ms(kept_ms);
        let mut expired = self.runner.parts.view.closed_before(before);
        expired.retain(|(key, stored)| plan.owns_job(key, &stored.head));
        expired.truncate(REMOVALS_MOST);
        let ledger = self.runner.parts.ledger.clone();
        tokio::spawn(async move {
            for (key, stored) in expired {
                let removed = ledger.remove(&key, &stored).await;
                log::info!(job = key.as_str(), removed = removed.is_ok();
                    "an expired job is removed");
            }
        });
    }

    /// Starts commits of jobs that have something to list.
    fn commit_due(&mut self) {
        let now = self.now();
        for (key, job) in &mut self.jobs {
            let due = job.has_to_commit() && now >= job.next_commit;
            if !due || job.listing {
                continue;
            }
            job.listing = true;
            job.next_commit =
                now.saturating_add_ms(self.runner.options.commit_ms);
            let ledger = self.runner.parts.ledger.clone();
            let before = job.stored.clone();
            let strikes = job.strikes.clone();
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
}

fn route_of<'a>(config: &'a Config, head: &JobHead) -> Option<&'a Arc<Route>> {
    let route = config.routes.find(&head.host, &head.path)?;
    (route.kind() == RouteKind::Batch).then_some(route)
}
