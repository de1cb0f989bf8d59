mod active;
mod admit;
mod attempts;
mod checkpoint;
mod outcome;
mod rebalance;
mod speed;
mod stop;

use std::{
    pin::Pin,
    sync::Arc,
    time::{Duration, Instant},
};

use base::{Clock, Millis, Snapshot, UnixMillis};
use budget::MemoryBudget;
use error_stack::Report;
use fleet::{
    Config, Endpoint, EndpointRecord, IncarnationKey, LoadReport,
    ServiceSpeeds,
};
use indexmap::IndexMap;
use pass::{Counters, DirectoryView};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::AbortHandle,
    time,
};

use self::{
    active::{ActiveJob, Inputs},
    checkpoint::LoadedJob,
};
use crate::{
    Assignment, Assignments, CounterId, GateOptions, ItemForwarder, JobError,
    JobManifest, JobRoute, JobView, Ledger, OnlineLoad, RunOutcome,
    RunTimeEstimator, SilenceClock, StoredManifest, record::JobKey,
};

/// The response to a load probe.
pub type ProbeFuture =
    Pin<Box<dyn Future<Output = Option<LoadReport>> + Send>>;

/// Queries endpoints for their load.
pub trait Probe: Send + Sync + 'static {
    /// Queries one endpoint; returns `None` if the endpoint does not respond.
    fn probe(&self, endpoint: &EndpointRecord) -> ProbeFuture;
}

/// Intervals and limits of a runner.
#[derive(Clone, Copy, Debug)]
pub struct RunnerOptions {
    /// Interval between two passes over all work.
    pub tick_interval_ms: u64,
    /// Interval between two load probes of one endpoint.
    pub probe_interval_ms: u64,
    /// Maximum age of a load report by which items start.
    pub max_report_age_ms: u64,
    /// Minimum interval between two commits of one job.
    pub commit_interval_ms: u64,
    /// Minimum interval between two commits of one job that store attempts.
    pub count_interval_ms: u64,
    /// Maximum age of the view of the jobs by which items start.
    pub max_view_age_ms: u64,
    /// Interval between two checks whether jobs are distributed evenly.
    pub rebalance_interval_ms: u64,
    /// Interval between two checkpoints of unfinished items.
    pub checkpoint_interval_ms: u64,
    /// Backoff of an item after a failed run.
    pub retry_backoff_ms: u64,
    /// Time after which an item is given up past its deadline, to allow for
    /// clock skew.
    pub give_up_margin_ms: u64,
    /// How long a job stays readable after its submission. Jobs are kept at
    /// least as long as they are open.
    pub retention_ms: u64,
    /// Options of the gate at each endpoint.
    pub gate: GateOptions,
}

impl Default for RunnerOptions {
    /// A load report of an engine is about 50 ms old when it arrives, so that
    /// more than ten probes in a second yield little more information. Results
    /// that wait 700 ms for their commit can be read within a second, and a
    /// job takes a handful of writes. A checkpoint is one write of each node;
    /// after the loss of a node its items repeat half a checkpoint interval on
    /// average. Clocks may differ by seconds.
    fn default() -> Self {
        Self {
            tick_interval_ms: 50,
            probe_interval_ms: 100,
            max_report_age_ms: 400,
            commit_interval_ms: 700,
            count_interval_ms: 100,
            max_view_age_ms: 4_000,
            rebalance_interval_ms: 500,
            checkpoint_interval_ms: 2_000,
            retry_backoff_ms: 300,
            give_up_margin_ms: 6_000,
            retention_ms: 180_000,
            gate: GateOptions::default(),
        }
    }
}

/// The dependencies of a runner.
pub struct RunnerParts {
    /// Name of the node.
    pub node: String,
    /// Storage of the jobs.
    pub ledger: Ledger,
    /// The node's view of all jobs.
    pub view: JobView,
    /// The node's view of the endpoints.
    pub endpoints: Arc<Snapshot<DirectoryView>>,
    /// The configuration in force, if there is one yet.
    pub config: Arc<Snapshot<Option<Arc<Config>>>>,
    /// Sends items to endpoints.
    pub forwarder: ItemForwarder,
    /// Queries endpoints for their load.
    pub probe: Arc<dyn Probe>,
    /// The requests in flight that fronts report.
    pub online_load: Arc<OnlineLoad>,
    /// The assignments of endpoints to nodes.
    pub assignments: Assignments,
    /// The speed of this node's endpoints.
    pub speeds: ServiceSpeeds,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The counters of the process.
    pub counters: Arc<Counters>,
    /// The memory for the inputs of jobs. Jobs for whose inputs there is none
    /// wait.
    pub memory: MemoryBudget,
}

/// Requests the shutdown of a runner and reports the handover of its jobs.
pub struct ShutdownSignal {
    /// Turns true to request the shutdown.
    pub requested: watch::Receiver<bool>,
    /// Receives a message when the checkpoints of all items are saved, or
    /// cannot be saved. Other nodes may resume the items from then on.
    pub handed_over: oneshot::Sender<()>,
}

/// Runs the items of the jobs that belong to this node.
pub struct Runner {
    options: RunnerOptions,
    parts: RunnerParts,
}

impl Runner {
    /// Creates a runner; [`run`](Self::run) starts it.
    pub fn new(options: RunnerOptions, parts: RunnerParts) -> Self {
        Self { options, parts }
    }

    /// Runs until shutdown is requested and all results of this node are
    /// listed. Other nodes take over the items that still wait then.
    pub async fn run(
        self,
        stop: ShutdownSignal,
        mut online_changes: mpsc::UnboundedReceiver<IncarnationKey>,
    ) {
        let ShutdownSignal {
            requested: mut stop,
            handed_over,
        } = stop;
        let mut handed_over = Some(handed_over);
        let (sender, mut events) = mpsc::unbounded_channel();
        let mut work = RunnerState::new(self, sender);
        let tick = Duration::from_millis(work.runner.options.tick_interval_ms);
        let mut ticks = time::interval(tick);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = events.recv() => {
                    if let Some(event) = event {
                        work.handle_event(event);
                    }
                    while let Ok(event) = events.try_recv() {
                        work.handle_event(event);
                    }
                    work.commit_pending();
                }
                Some(endpoint) = online_changes.recv() => {
                    work.preempt_for_online(endpoint);
                    while let Ok(endpoint) = online_changes.try_recv() {
                        work.preempt_for_online(endpoint);
                    }
                }
                _ = ticks.tick() => work.tick(*stop.borrow_and_update()),
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

/// Results of the tasks that the runner has spawned.
enum Event {
    Inputs(JobKey, Result<LoadedJob, Report<JobError>>),
    Saved(Result<(), Report<JobError>>),
    Ended(RunId, RunOutcome),
    Listed(
        JobKey,
        Result<Result<StoredManifest, StoredManifest>, Report<JobError>>,
    ),
    Probed(IncarnationKey, Option<LoadReport>),
    Moved(JobKey, Result<StoredManifest, Report<JobError>>),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash)]
struct RunId(u64);

struct Run {
    job: JobKey,
    item: u32,
    endpoint: Endpoint,
    /// Whether the run resumed after events of earlier runs.
    resumed: bool,
    started: Instant,
    started_at: Millis,
    silence: SilenceClock,
    task: AbortHandle,
}

#[derive(Default)]
struct EndpointProbe {
    in_flight: bool,
    sent_at: Option<Millis>,
    report: Option<(LoadReport, Millis)>,
}

struct RunnerState {
    runner: Runner,
    sender: mpsc::UnboundedSender<Event>,
    jobs: IndexMap<JobKey, ActiveJob>,
    runs: IndexMap<RunId, Run>,
    endpoint_probes: IndexMap<IncarnationKey, EndpointProbe>,
    /// The assignment of endpoints to fronts.
    front_assignment: Arc<Assignment>,
    /// The inputs of the last sync of the jobs: the assignment and the change
    /// count of the view.
    synced_to: Option<(Arc<Assignment>, u64)>,
    pending_move: Option<JobKey>,
    /// Jobs taken over from other nodes, with the time from which on the
    /// checkpoints of the former owner can be read.
    taken_over: IndexMap<JobKey, Millis>,
    is_saving: bool,
    /// Whether there was no memory for the inputs of a job in the last pass.
    is_short_of_memory: bool,
    next_save: Millis,
    next_rebalance: Millis,
    next_removal: Millis,
    next_run: u64,
    /// Identifies this process in the counts of attempts.
    counter: CounterId,
    started_at: Millis,
    started_at_unix: UnixMillis,
    /// Estimates how long items take.
    estimator: RunTimeEstimator,
}

/// Interval between two removals of expired jobs, in milliseconds.
const REMOVAL_INTERVAL_MS: u64 = 10_000;

/// Maximum number of jobs removed in one pass, so that removals do not delay
/// commits.
const MAX_REMOVALS_PER_PASS: usize = 50;

impl RunnerState {
    fn new(runner: Runner, sender: mpsc::UnboundedSender<Event>) -> Self {
        let clock = &runner.parts.clock;
        let counter =
            CounterId::of_process(&runner.parts.node, clock.as_ref());
        Self {
            counter,
            started_at: clock.now(),
            started_at_unix: clock.unix(),
            front_assignment: Arc::default(),
            synced_to: None,
            pending_move: None,
            taken_over: IndexMap::new(),
            is_saving: false,
            is_short_of_memory: false,
            next_save: Millis::new(0),
            next_rebalance: Millis::new(0),
            next_removal: Millis::new(0),
            runner,
            sender,
            jobs: IndexMap::new(),
            runs: IndexMap::new(),
            endpoint_probes: IndexMap::new(),
            next_run: 0,
            estimator: RunTimeEstimator::default(),
        }
    }

    fn is_idle(&self) -> bool {
        let open = |job: &ActiveJob| job.is_committing || job.needs_commit();
        self.runs.is_empty() && !self.jobs.values().any(open)
    }

    fn hand_over_all(&mut self, handed_over: oneshot::Sender<()>) {
        let keys: Vec<JobKey> = self.jobs.keys().cloned().collect();
        let done = self.hand_over(&keys);
        tokio::spawn(async move {
            let _ = done.await;
            // The receiver is dropped if the node shut down without waiting
            // for the handover.
            let _ = handed_over.send(());
        });
    }

    fn now(&self) -> Millis {
        self.runner.parts.clock.now()
    }

    /// Makes one pass over all work.
    fn tick(&mut self, is_stopping: bool) {
        let assignment = self.runner.parts.assignments.for_items();
        self.front_assignment = self.runner.parts.assignments.for_requests();
        self.sync_with_view(&assignment, is_stopping);
        if !is_stopping {
            self.rebalance(&assignment);
        }
        self.load_inputs();
        self.give_up_items();
        self.record_begun_items();
        self.remove_expired(&assignment);
        self.commit_pending();
        self.save_checkpoints();
        self.probe_loads(&assignment);
        self.admit(&assignment, is_stopping);
    }

    /// Takes over and drops jobs according to the view, if the view or the
    /// assignment has changed.
    fn sync_with_view(
        &mut self,
        assignment: &Arc<Assignment>,
        is_stopping: bool,
    ) {
        let view = &self.runner.parts.view;
        let changes = view.change_count();
        let synced_to = self.synced_to.as_ref();
        let is_in_sync = synced_to.is_some_and(|(known, count)| {
            Arc::ptr_eq(known, assignment) && *count == changes
        });
        if is_in_sync && !is_stopping && !self.has_moved_jobs() {
            return;
        }
        self.synced_to = Some((assignment.clone(), changes));
        let open = match is_stopping {
            true => Vec::new(),
            false => {
                view.open_of(assignment.members(), &self.runner.parts.node)
            }
        };
        for (key, stored) in open {
            match self.jobs.get_mut(&key) {
                Some(job) if stored.revision > job.stored.revision => {
                    job.update_manifest(stored);
                }
                Some(_) => {}
                None => {
                    log::info!(
                        job = key.as_str(),
                        items = stored.manifest.total,
                        listed = stored.manifest.listed.len(),
                        revision = stored.revision;
                        "a job is taken up"
                    );
                    let may_have_run = self.may_have_run(&stored.manifest);
                    let mut job =
                        ActiveJob::new(stored, self.counter, may_have_run);
                    if let Some(at) = self.taken_over.swap_remove(&key) {
                        job.settled_at = at;
                    }
                    self.jobs.insert(key, job);
                }
            }
        }
        self.drop_jobs(assignment);
    }

    /// Reports whether a process other than this one may have run items of a
    /// job: another node, or this node before its restart.
    ///
    /// If the clock of the node that accepted the job is ahead, a restart
    /// within that time is not noticed.
    fn may_have_run(&self, manifest: &JobManifest) -> bool {
        manifest.owner != self.runner.parts.node
            || manifest.reassigned
            || manifest.submitted_at < self.started_at_unix
    }

    /// Reports whether results of jobs that moved to other nodes still wait
    /// here to be listed.
    fn has_moved_jobs(&self) -> bool {
        self.jobs.values().any(|job| job.is_moved)
    }

    fn drop_jobs(&mut self, assignment: &Assignment) {
        let mut removed = Vec::new();
        let mut moved = Vec::new();
        for (key, job) in &mut self.jobs {
            let known = self.runner.parts.view.get(key);
            let closed = known.as_ref().is_none_or(|s| s.manifest.is_closed());
            let is_moved = known.is_some_and(|known| {
                assignment.is_owned_by_other(key, &known.manifest)
            });
            if is_moved && !job.is_moved && !closed {
                moved.push(key.clone());
            }
            job.is_moved = is_moved;
            // This node also lists its pending results of jobs that have
            // moved.
            if closed || (job.is_moved && !job.is_busy()) {
                removed.push((key.clone(), closed));
            }
        }
        if !moved.is_empty() {
            // The new owners read the saved checkpoints; nothing on this node
            // waits for the save.
            drop(self.hand_over(&moved));
        }
        for (key, closed) in removed {
            log::info!(job = key.as_str(), closed; "a job is dropped");
            let reason = match closed {
                true => "the job is closed",
                false => "the job has moved",
            };
            self.abort_runs_of(&key, reason);
            self.jobs.swap_remove(&key);
        }
    }

    /// Gives up items whose deadline has passed, whose route was removed, or
    /// whose attempts a former owner of the job has used up.
    fn give_up_items(&mut self) {
        let unix_now = self.runner.parts.clock.unix();
        let config = self.runner.parts.config.load_full();
        let config = config.as_deref();
        let version = config.map_or(0, |config| config.version);
        let margin_ms = self.runner.options.give_up_margin_ms;
        let counters = &self.runner.parts.counters;
        let mut ended = Vec::new();
        for (key, job) in &mut self.jobs {
            let Inputs::Loaded(inputs) = &job.inputs else {
                continue;
            };
            let inputs = inputs.clone();
            let accepted_by = job.accepted_by();
            let route = job.route(config);
            let waits_for_config = matches!(route, JobRoute::Undecided);
            if waits_for_config && !job.waits_for_config {
                Counters::add(&counters.jobs_without_config);
                log::info!(
                    job = key.as_str(),
                    config = version,
                    accepted_by;
                    "a job waits for a newer configuration"
                );
            }
            job.waits_for_config = waits_for_config;
            let give_up_at = job.stored.manifest.give_up_at;
            let is_past_deadline =
                unix_now > give_up_at.saturating_add_ms(margin_ms);
            let is_route_gone = matches!(route, JobRoute::Removed);
            let has_ended = is_past_deadline || is_route_gone;
            let numbers = match route.known() {
                _ if has_ended => job.open_items(),
                Some(route) => job.exhausted_items(route.max_attempts()),
                None => Vec::new(),
            };
            for number in numbers {
                job.give_up(number, &inputs);
                Counters::add(&counters.items_given_up);
                log::info!(
                    job = key.as_str(),
                    request_id = inputs[number as usize].id.as_str(),
                    over = is_past_deadline,
                    route_gone = is_route_gone,
                    config = version,
                    accepted_by;
                    "an item is given up"
                );
            }
            if has_ended {
                ended.push(key.clone());
            }
        }
        for key in ended {
            self.abort_runs_of(&key, "the item is given up");
        }
    }

    /// Starts the removal of closed jobs whose retention time is over.
    ///
    /// Without removal, manifests accumulate in the key-value service and in
    /// the memory of every node: a gigabyte a day at one job a second.
    fn remove_expired(&mut self, assignment: &Assignment) {
        let now = self.now();
        if now < self.next_removal {
            return;
        }
        self.next_removal = now.saturating_add_ms(REMOVAL_INTERVAL_MS);
        let unix_now = self.runner.parts.clock.unix();
        let retention_ms = self.runner.options.retention_ms;
        let before = unix_now.saturating_sub_ms(retention_ms);
        let mut expired = self.runner.parts.view.closed_before(before);
        expired.retain(|(key, stored)| {
            assignment.owns_job(key, &stored.manifest)
        });
        expired.truncate(MAX_REMOVALS_PER_PASS);
        let ledger = self.runner.parts.ledger.clone();
        tokio::spawn(async move {
            for (key, stored) in expired {
                let removed = ledger.remove(&key, &stored).await;
                log::info!(job = key.as_str(), removed = removed.is_ok();
                    "the removal of an expired job ended");
            }
        });
    }

    /// Starts commits of jobs that have results or failed attempts to store.
    fn commit_pending(&mut self) {
        let now = self.now();
        for (key, job) in &mut self.jobs {
            if job.is_committing || !job.needs_commit() {
                continue;
            }
            // Items wait until their attempts are stored, and what is not
            // stored is lost with this process.
            let next_commit = match job.are_attempts_stored() {
                true => job.next_commit,
                false => job.next_count_commit,
            };
            if now < next_commit {
                continue;
            }
            let options = &self.runner.options;
            job.next_commit =
                now.saturating_add_ms(options.commit_interval_ms);
            job.next_count_commit =
                now.saturating_add_ms(options.count_interval_ms);
            let (numbers, results) = job.begin_commit();
            let ledger = self.runner.parts.ledger.clone();
            let before = job.stored.clone();
            let (counter, attempts) = job.counted();
            let (key, sender) = (key.clone(), self.sender.clone());
            tokio::spawn(async move {
                let listed = ledger
                    .list(
                        &key,
                        &before,
                        &numbers,
                        &results,
                        (counter, &attempts),
                    )
                    .await;
                let _ = sender.send(Event::Listed(key, listed));
            });
        }
    }
}
