//! Finds out which endpoints crashed while they ran requests of this node.

use std::sync::Arc;

use base::{Millis, UnixMillis};
use fleet::{Endpoint, IncarnationKey};
use indexmap::IndexMap;
use pass::{Counters, Run, RunObserver};
use quarantine::{
    Crash, CrashedEndpoint, EvidenceKeys, Quarantine, has_crashed,
};
use tokio::sync::mpsc;

use crate::ClusterState;

/// Common start of the keys by which nodes share what speaks against
/// requests, among those that every node follows.
pub(crate) const QUARANTINE_PREFIX: &str = "jobs/q/";

/// Runs that may wait for a look at their endpoint. What does not fit is
/// counted and left out.
const WAITING_MOST: usize = 1_024;

/// How long an endpoint is known to have crashed, in milliseconds: longer
/// than connections to it take to break.
const KNOWN_MS: u64 = 10_000;

/// A run whose connection broke before its answer was whole.
#[derive(Clone, Debug)]
pub(crate) struct CutOffRun {
    keys: EvidenceKeys,
    endpoint: Endpoint,
    ran_ms: u64,
    ended_at: UnixMillis,
    resumed_after: u64,
    reached: u64,
}

/// Passes on the runs that are cut off, without waiting.
pub(crate) struct RunNotifier {
    sender: mpsc::Sender<CutOffRun>,
    quarantine: Quarantine,
    counters: Arc<Counters>,
}

impl RunObserver for RunNotifier {
    fn answered(&self, run: &Run) {
        self.quarantine
            .record_response(|| run.evidence_keys(), run.resumed_after());
    }

    fn interrupted(&self, run: &Run) {
        Counters::add(&self.counters.runs_cut_off);
        let cut_off = CutOffRun {
            keys: run.evidence_keys(),
            endpoint: run.endpoint().clone(),
            ran_ms: run.elapsed().as_millis() as u64,
            ended_at: self.quarantine.now(),
            resumed_after: run.resumed_after(),
            reached: run.reached(),
        };
        if self.sender.try_send(cut_off).is_err() {
            Counters::add(&self.counters.runs_not_examined);
        }
    }
}

/// Looks at the endpoints of runs that were cut off.
///
/// A connection breaks for many reasons. An endpoint has crashed if its host
/// refuses new connections although nobody has announced its end.
pub(crate) struct CrashDetector {
    received: mpsc::Receiver<CutOffRun>,
    cluster: ClusterState,
    quarantine: Quarantine,
    counters: Arc<Counters>,
    lives: IndexMap<IncarnationKey, Examined>,
}

/// What is known of an endpoint that runs were cut off at.
struct Examined {
    state: Examination,
    since: Millis,
}

enum Examination {
    /// The look is under way; these runs wait for it.
    UnderWay(Vec<CutOffRun>),
    Crashed,
}

/// What a look at an endpoint found.
struct Finding {
    life: IncarnationKey,
    crashed: bool,
}

impl CrashDetector {
    pub(crate) fn new(
        cluster: ClusterState,
        quarantine: Quarantine,
        counters: Arc<Counters>,
    ) -> (Self, RunNotifier) {
        let (sender, received) = mpsc::channel(WAITING_MOST);
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
            lives: IndexMap::new(),
        };
        (detector, notifier)
    }

    pub(crate) async fn run(mut self) {
        let (sender, mut findings) = mpsc::unbounded_channel();
        loop {
            tokio::select! {
                run = self.received.recv() => match run {
                    Some(run) => self.examine(run, &sender),
                    None => return,
                },
                Some(finding) = findings.recv() => self.conclude(finding),
            }
        }
    }

    fn examine(
        &mut self,
        run: CutOffRun,
        findings: &mpsc::UnboundedSender<Finding>,
    ) {
        self.forget_old();
        let life = run.endpoint.incarnation_key();
        match self.lives.get_mut(&life).map(|known| &mut known.state) {
            Some(Examination::UnderWay(runs)) => {
                runs.push(run);
                return;
            }
            Some(Examination::Crashed) => return self.note(&[run]),
            None => {}
        }
        // An endpoint that leaves ends its connections by itself.
        if self.cluster.endpoints.load().table.get(life).is_none() {
            return;
        }
        let address = run.endpoint.record().address;
        let examined = Examined {
            state: Examination::UnderWay(vec![run]),
            since: self.cluster.clock().now(),
        };
        self.lives.insert(life, examined);
        let findings = findings.clone();
        tokio::spawn(async move {
            let crashed = has_crashed(address).await;
            let _ = findings.send(Finding { life, crashed });
        });
    }

    fn conclude(&mut self, finding: Finding) {
        let Finding { life, crashed } = finding;
        let Some(known) = self.lives.get_mut(&life) else {
            return;
        };
        let before = std::mem::replace(&mut known.state, Examination::Crashed);
        let Examination::UnderWay(runs) = before else {
            return;
        };
        if !crashed {
            self.lives.shift_remove(&life);
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
        self.note(&runs);
    }

    fn note(&self, runs: &[CutOffRun]) {
        for run in runs {
            log::info!(
                digest:% = run.keys.request(),
                endpoint = run.endpoint.record().id.as_str(),
                ran_ms = run.ran_ms,
                resumed_after = run.resumed_after,
                reached = run.reached;
                "a request ran at an endpoint that crashed"
            );
            let life = run.endpoint.incarnation_key().as_u64();
            let crash = Crash {
                endpoint: CrashedEndpoint::new(life),
                began_at: run.ended_at.saturating_sub_ms(run.ran_ms),
                ended_at: run.ended_at,
                resumed_after: run.resumed_after,
                reached: run.reached,
            };
            self.quarantine.record_crash(run.keys.clone(), crash);
        }
    }

    fn forget_old(&mut self) {
        let now = self.cluster.clock().now();
        while let Some((_, oldest)) = self.lives.first()
            && now.saturating_ms_since(oldest.since) >= KNOWN_MS
        {
            self.lives.shift_remove_index(0);
        }
    }
}
