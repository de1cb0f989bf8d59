//! What a front sends and receives.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::{Millis, Snapshot};
use fleet::{EndpointTable, IncarnationKey, Selection};
use indexmap::IndexMap;
use jobs::{
    Assignment, Assignments, FRONT_LOAD_TTL_MS, JobView, ReportVersion,
    ReportedBacklogs,
};
use tokio::{
    sync::mpsc,
    time::{self, MissedTickBehavior},
};

use super::{Kind, LoadSocket, TICK_MS, WHOLE_MS, wire::LoadUpdate};
use crate::ClusterState;

/// Empty updates that end a subscription at a worker. Without one the front
/// looks as if it had fallen silent, and datagrams may be lost.
const UNSUBSCRIBES: u32 = 3;

/// Sends a front's load updates, takes those of workers, and keeps the
/// selection of endpoints up to date.
pub(crate) struct FrontLoad {
    pub(crate) socket: LoadSocket,
    pub(crate) view: JobView,
    pub(crate) cluster: ClusterState,
    pub(crate) plans: Assignments,
    pub(crate) selection: Arc<Snapshot<Selection>>,
    /// Takes what workers report of their items.
    pub(crate) backlogs: Arc<ReportedBacklogs>,
    pub(crate) began: mpsc::UnboundedReceiver<IncarnationKey>,
}

/// What the selection was made of.
struct MadeOf {
    table: Arc<EndpointTable>,
    plan: Arc<Assignment>,
    /// Whom the counts go to.
    workers: Arc<Assignment>,
}

#[derive(Default)]
struct State {
    made_of: Option<MadeOf>,
    /// Counts as they were sent last, of endpoints with requests.
    sent: IndexMap<IncarnationKey, u32>,
    /// Workers that this front subscribes at, with the empty updates that
    /// are left to end that.
    workers: IndexMap<SocketAddr, u32>,
    /// The last update of each worker, and when it arrived.
    last: IndexMap<SocketAddr, (ReportVersion, Millis)>,
    next_whole: Millis,
}

impl FrontLoad {
    pub(crate) async fn run(mut self) {
        let mut state = State::default();
        let mut ticks = time::interval(Duration::from_millis(TICK_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                received = self.socket.receive() => {
                    if let Some((update, from)) = received {
                        self.learn(&mut state, &update, from);
                    }
                }
                began = self.began.recv() => {
                    let mut lives: Vec<IncarnationKey> = began.into_iter().collect();
                    while let Ok(life) = self.began.try_recv() {
                        lives.push(life);
                    }
                    lives.sort_unstable();
                    lives.dedup();
                    self.send_counts(&mut state, &lives).await;
                }
                _ = ticks.tick() => self.tick(&mut state).await,
            }
        }
    }

    async fn tick(&mut self, state: &mut State) {
        let selected_anew = self.select(state);
        let now = self.cluster.clock().now();
        if selected_anew || now >= state.next_whole {
            state.next_whole = now.saturating_add_ms(WHOLE_MS);
            self.send_whole(state).await;
            return;
        }
        let changed = self.changes(state);
        if !changed.is_empty() {
            self.send_counts(state, &changed).await;
        }
    }

    /// Selects endpoints anew if the table or the shares have changed, and
    /// returns whether they have.
    fn select(&self, state: &mut State) -> bool {
        let plan = self.plans.for_requests();
        let workers = self.plans.for_items();
        let table = self.cluster.endpoints.load().table.clone();
        let is_known = state.made_of.as_ref().is_some_and(|known| {
            Arc::ptr_eq(&known.table, &table)
                && Arc::ptr_eq(&known.plan, &plan)
                && Arc::ptr_eq(&known.workers, &workers)
        });
        if is_known {
            return false;
        }
        let own =
            |e: &fleet::Endpoint| plan.uses_endpoint(e.incarnation_key());
        let selection = Selection::new(self.socket.node(), &table, own);
        log::info!(
            own = plan.own_endpoints().len(),
            selected = selection.iter().count(),
            endpoints = table.len();
            "the endpoints of this node are selected"
        );
        self.selection.publish(selection);
        let now = self.cluster.clock().now();
        state.last.retain(|_, (_, at)| {
            now.saturating_ms_since(*at) < FRONT_LOAD_TTL_MS
        });
        state.made_of = Some(MadeOf {
            table,
            plan,
            workers,
        });
        true
    }

    /// Returns the endpoints whose count is not what was sent last. Only
    /// those that had requests then can differ: the observer of requests
    /// reports all others.
    fn changes(&self, state: &State) -> Vec<IncarnationKey> {
        let view = self.cluster.endpoints.load();
        let changed = state.sent.iter().filter(|(life, sent)| {
            view.table.get(**life).map(|e| e.in_flight()) != Some(**sent)
        });
        changed.map(|(life, _)| *life).collect()
    }

    async fn send_counts(
        &mut self,
        state: &mut State,
        lives: &[IncarnationKey],
    ) {
        let updates = self.counts_by_worker(state, lives.iter().copied());
        for (to, counts) in updates {
            state.workers.insert(to, UNSUBSCRIBES);
            self.socket.send(to, Kind::Own, false, &counts).await;
        }
    }

    /// Sends each worker all counts of its endpoints, also those of none:
    /// that is how it knows to whom to report.
    async fn send_whole(&mut self, state: &mut State) {
        let selection = self.selection.load_full();
        let mut lives: Vec<IncarnationKey> =
            selection.iter().chain(state.sent.keys().copied()).collect();
        lives.sort_unstable();
        lives.dedup();
        let mut updates = self.counts_by_worker(state, lives.into_iter());
        state.workers.retain(|_, unsubscribes| *unsubscribes > 0);
        for (to, unsubscribes) in &mut state.workers {
            if !updates.contains_key(to) {
                *unsubscribes -= 1;
                updates.insert(*to, Vec::new());
            }
        }
        for (to, counts) in updates {
            if !counts.is_empty() {
                state.workers.insert(to, UNSUBSCRIBES);
            }
            self.socket.send(to, Kind::Own, true, &counts).await;
        }
    }

    /// Groups counts by the worker that uses the endpoint.
    fn counts_by_worker(
        &self,
        state: &mut State,
        lives: impl Iterator<Item = IncarnationKey>,
    ) -> IndexMap<SocketAddr, Vec<(IncarnationKey, u32)>> {
        let view = self.cluster.endpoints.load();
        let plan = self.plans.for_items();
        let mut updates: IndexMap<SocketAddr, Vec<(IncarnationKey, u32)>> =
            IndexMap::new();
        for life in lives {
            let Some(endpoint) = view.table.get(life) else {
                state.sent.swap_remove(&life);
                continue;
            };
            let count = endpoint.in_flight();
            match count {
                0 => state.sent.swap_remove(&life),
                count => state.sent.insert(life, count),
            };
            let user = plan.user_of(life).and_then(|user| user.address);
            if let Some(address) = user {
                updates.entry(address).or_default().push((life, count));
            }
        }
        updates
    }

    fn learn(
        &mut self,
        state: &mut State,
        update: &LoadUpdate,
        from: SocketAddr,
    ) {
        let roster = self.view.roster();
        let worker = roster.workers.get(update.node());
        let address = worker.and_then(|worker| worker.address);
        let is_others = update.kind() == Kind::Others;
        if !is_others || !self.socket.is_from(update, from, address) {
            return;
        }
        let now = self.cluster.clock().now();
        let (stamp, at) = state.last.entry(from).or_default();
        // A worker that was silent begins anew: its clock may have been set
        // back while it restarted.
        let silent = now.saturating_ms_since(*at) >= FRONT_LOAD_TTL_MS;
        if update.stamp() <= *stamp && !silent {
            return;
        }
        (*stamp, *at) = (update.stamp(), now);
        if let Some(open_items) = update.open_items() {
            self.backlogs.report(update.node(), open_items, now);
        }
        let view = self.cluster.endpoints.load();
        for (life, count) in update.counts() {
            if let Some(endpoint) = view.table.get(*life) {
                endpoint.record_remote_load(*count, now);
            }
        }
    }
}
