//! Detects endpoints that crashed while they ran requests of this node.

use std::sync::Arc;

use base::{Millis, UnixMillis};
use fleet::{Endpoint, IncarnationKey};
use framing::Framing;
use indexmap::IndexMap;
use pass::{Counters, Run, RunObserver};
use quarantine::{
    Crash, CrashedEndpoint, EvidenceKeys, Quarantine, has_crashed,
};
use tokio::sync::mpsc;

use crate::ClusterState;

/// Key prefix of the crash records that nodes share; every node watches it.
pub(crate) const QUARANTINE_PREFIX: &str = "jobs/q/";

/// Maximum number of runs that wait for a check of their endpoint. Further
/// runs are counted and dropped.
const MAX_QUEUED_RUNS: usize = 1_024;

/// How long the crash of an endpoint is remembered, in milliseconds: longer
/// than its connections take to break.
const CRASH_TTL_MS: u64 = 10_000;

/// A run whose endpoint may have crashed.
#[derive(Clone, Debug)]
pub(crate) struct ExaminedRun {
    request_id: String,
    end: RunEnd,
    keys: EvidenceKeys,
    endpoint: Endpoint,
    ran_ms: u64,
    ended_at: UnixMillis,
    resumed_after: u64,
    reached: u64,
    /// Time since the head of the response, if it had one.
    since_head_ms: Option<u64>,
    is_success: bool,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RunEnd {
    /// The response is incomplete.
    Interrupted,
    /// The response ended with its connection and looks complete: it is
    /// unless the endpoint crashed.
    Unmarked,
}

/// Sends runs whose endpoints may have crashed to the crash detector, without
/// waiting.
pub(crate) struct RunNotifier {
    sender: mpsc::Sender<ExaminedRun>,
    quarantine: Quarantine,
    counters: Arc<Counters>,
}

impl RunObserver for RunNotifier {
    fn answered(&self, run: &Run, framing: Framing) {
        // An endpoint that crashes between two events also ends its
        // connection in order.
        if framing == Framing::UntilClose {
            self.examine(run, RunEnd::Unmarked);
            return;
        }
        if run.is_success() {
            self.quarantine.record_sound_parts(&run.part_keys());
        }
        self.quarantine
            .record_response(|| run.evidence_keys(), run.resumed_after());
    }

    fn progressed(&self, run: &Run) {
        self.quarantine.record_sound_parts(&run.part_keys());
    }

    fn interrupted(&self, run: &Run) {
        Counters::add(&self.counters.runs_cut_off);
        if run.since_head().is_some() && run.reached() == run.resumed_after() {
            Counters::add(&self.counters.runs_cut_off_at_head);
        }
        self.examine(run, RunEnd::Interrupted);
    }
}

impl RunNotifier {
    fn examine(&self, run: &Run, end: RunEnd) {
        let examined_run = ExaminedRun {
            request_id: run.request_id().to_owned(),
            end,
            keys: run.evidence_keys(),
            endpoint: run.endpoint().clone(),
            ran_ms: run.elapsed().as_millis() as u64,
            ended_at: self.quarantine.now(),
            resumed_after: run.resumed_after(),
            reached: run.reached(),
            since_head_ms: run
                .since_head()
                .map(|time| time.as_millis() as u64),
            is_success: run.is_success(),
        };
        if self.sender.try_send(examined_run).is_err() {
            Counters::add(&self.counters.runs_not_examined);
        }
    }
}

/// Checks the endpoints of interrupted runs, and of those that may have been.
///
/// Connections break for many reasons. An endpoint counts as crashed if its
/// host refuses new connections while the endpoint is still listed.
pub(crate) struct CrashDetector {
    received: mpsc::Receiver<ExaminedRun>,
    cluster: ClusterState,
    quarantine: Quarantine,
    counters: Arc<Counters>,
    checks: IndexMap<IncarnationKey, EndpointCheck>,
}

/// State of the check of one endpoint incarnation.
struct EndpointCheck {
    state: CheckState,
    started_at: Millis,
}

enum CheckState {
    /// The check is in progress; these runs wait for its result.
    InProgress(Vec<ExaminedRun>),
    Crashed,
}

/// Result of the check of an endpoint.
struct CheckResult {
    incarnation: IncarnationKey,
    crashed: bool,
}

impl CrashDetector {
    pub(crate) fn new(
        cluster: ClusterState,
        quarantine: Quarantine,
        counters: Arc<Counters>,
    ) -> (Self, RunNotifier) {
        let (sender, received) = mpsc::channel(MAX_QUEUED_RUNS);
        let notifier = RunNotifier {
            sender,
            quarantine: quarantine.clone(),
            counters: counters.clone(),
        };
        let detector = Self {
            received,
            cluster,
            quarantine,
            counters,
            checks: IndexMap::new(),
        };
        (detector, notifier)
    }

    pub(crate) async fn run(mut self) {
        let (sender, mut results) = mpsc::unbounded_channel();
        loop {
            tokio::select! {
                run = self.received.recv() => match run {
                    Some(run) => self.check_endpoint(run, &sender),
                    None => return,
                },
                Some(result) = results.recv() => self.finish_check(result),
            }
        }
    }

    fn check_endpoint(
        &mut self,
        run: ExaminedRun,
        results: &mpsc::UnboundedSender<CheckResult>,
    ) {
        self.remove_expired();
        let incarnation = run.endpoint.incarnation_key();
        match self
            .checks
            .get_mut(&incarnation)
            .map(|check| &mut check.state)
        {
            Some(CheckState::InProgress(runs)) => {
                runs.push(run);
                return;
            }
            Some(CheckState::Crashed) => return self.record_crashes(&[run]),
            None => {}
        }
        // An endpoint that shuts down closes its connections itself.
        if self
            .cluster
            .endpoints
            .load()
            .table
            .get(incarnation)
            .is_none()
        {
            self.record_if_answered(&run);
            return;
        }
        let address = run.endpoint.record().address;
        let check = EndpointCheck {
            state: CheckState::InProgress(vec![run]),
            started_at: self.cluster.clock().now(),
        };
        self.checks.insert(incarnation, check);
        let results = results.clone();
        tokio::spawn(async move {
            let crashed = has_crashed(address).await;
            let _ = results.send(CheckResult {
                incarnation,
                crashed,
            });
        });
    }

    fn finish_check(&mut self, result: CheckResult) {
        let CheckResult {
            incarnation,
            crashed,
        } = result;
        let Some(check) = self.checks.get_mut(&incarnation) else {
            return;
        };
        let previous =
            std::mem::replace(&mut check.state, CheckState::Crashed);
        let CheckState::InProgress(runs) = previous else {
            return;
        };
        if !crashed {
            self.checks.shift_remove(&incarnation);
            runs.iter().for_each(|run| self.record_if_answered(run));
            return;
        }
        if let Some(run) = runs.first() {
            Counters::add(&self.counters.endpoints_crashed);
            log::warn!(
                endpoint = run.endpoint.record().id.as_str(),
                address:% = run.endpoint.record().address,
                runs = runs.len();
                "an endpoint crashed while it ran requests"
            );
        }
        self.record_crashes(&runs);
    }

    /// Records the response of a run whose endpoint has not crashed.
    fn record_if_answered(&self, run: &ExaminedRun) {
        if run.end == RunEnd::Unmarked {
            if run.is_success {
                self.quarantine.record_sound_parts(run.keys.parts());
            }
            self.quarantine
                .record_response(|| run.keys.clone(), run.resumed_after);
        }
    }

    fn record_crashes(&self, runs: &[ExaminedRun]) {
        for run in runs {
            log::info!(
                request_id = run.request_id.as_str(),
                digest:% = run.keys.request(),
                endpoint = run.endpoint.record().id.as_str(),
                ran_ms = run.ran_ms,
                resumed_after = run.resumed_after,
                reached = run.reached,
                since_head_ms:? = run.since_head_ms,
                is_item = run.keys.is_item();
                "a request ran at an endpoint that crashed"
            );
            let incarnation = run.endpoint.incarnation_key().as_u64();
            let crash = Crash {
                endpoint: CrashedEndpoint::new(incarnation),
                began_at: run.ended_at.saturating_sub_ms(run.ran_ms),
                ended_at: run.ended_at,
                resumed_after: run.resumed_after,
                reached: run.reached,
            };
            if !run.keys.is_item() {
                self.quarantine.record_part_crash(
                    run.keys.parts(),
                    &crash,
                    run.since_head_ms,
                );
            }
            self.quarantine.record_crash(run.keys.clone(), crash);
        }
    }

    fn remove_expired(&mut self) {
        let now = self.cluster.clock().now();
        while let Some((_, oldest)) = self.checks.first()
            && now.saturating_ms_since(oldest.started_at) >= CRASH_TTL_MS
        {
            self.checks.shift_remove_index(0);
        }
    }
}
