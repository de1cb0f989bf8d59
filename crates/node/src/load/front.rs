//! Load updates on the side of a front.

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

use super::{
    FULL_UPDATE_INTERVAL_MS, Kind, LoadSocket, Subject, TICK_INTERVAL_MS,
    speed_wire::{Message, SpeedUpdate},
    speeds::FrontSpeeds,
    wire::LoadUpdate,
};
use crate::ClusterState;

/// Number of empty updates that end a subscription at a worker, since
/// datagrams may be lost. Without them the front would look unreachable.
const UNSUBSCRIBE_UPDATES: u32 = 3;

/// Sends a front's load updates, applies those of workers, and keeps the
/// selection of endpoints up to date.
pub(crate) struct FrontLoad {
    pub(crate) socket: LoadSocket,
    pub(crate) view: JobView,
    pub(crate) cluster: ClusterState,
    pub(crate) assignments: Assignments,
    pub(crate) selection: Arc<Snapshot<Selection>>,
    /// The speed of the selected endpoints.
    pub(crate) speeds: FrontSpeeds,
    /// Backlogs of items that workers report.
    pub(crate) backlogs: Arc<ReportedBacklogs>,
    pub(crate) started: mpsc::UnboundedReceiver<IncarnationKey>,
}

/// Inputs of the current selection.
struct SelectionInputs {
    table: Arc<EndpointTable>,
    assignment: Arc<Assignment>,
    /// Assignment to the workers that receive the counts.
    workers: Arc<Assignment>,
}

#[derive(Default)]
struct State {
    selection_inputs: Option<SelectionInputs>,
    /// Counts sent last, for endpoints with requests.
    sent_counts: IndexMap<IncarnationKey, u32>,
    /// Workers at which this front is subscribed, with the remaining number
    /// of empty updates that end the subscription.
    workers: IndexMap<SocketAddr, u32>,
    /// Version and time of arrival of the last update of each worker.
    last_updates: IndexMap<SocketAddr, (ReportVersion, Millis)>,
    next_full_update: Millis,
}

impl FrontLoad {
    pub(crate) async fn run(mut self) {
        let mut state = State::default();
        let mut ticks =
            time::interval(Duration::from_millis(TICK_INTERVAL_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                received = self.socket.receive() => {
                    match received {
                        Some((Message::Load(update), from)) => {
                            self.apply_update(&mut state, &update, from);
                        }
                        Some((Message::Speeds(update), from)) => {
                            self.apply_speeds(&update, from);
                        }
                        None => {}
                    }
                }
                started = self.started.recv() => {
                    let mut incarnations: Vec<IncarnationKey> =
                        started.into_iter().collect();
                    while let Ok(incarnation) = self.started.try_recv() {
                        incarnations.push(incarnation);
                    }
                    incarnations.sort_unstable();
                    incarnations.dedup();
                    self.send_counts(&mut state, &incarnations).await;
                }
                _ = ticks.tick() => self.tick(&mut state).await,
            }
        }
    }

    async fn tick(&mut self, state: &mut State) {
        let selection_changed = self.select(state);
        let now = self.cluster.clock().now();
        if self.speeds.is_due(now) {
            self.exchange_speeds(now).await;
        }
        if selection_changed || now >= state.next_full_update {
            state.next_full_update =
                now.saturating_add_ms(FULL_UPDATE_INTERVAL_MS);
            self.send_full(state).await;
            return;
        }
        let changed = self.changed_counts(state);
        if !changed.is_empty() {
            self.send_counts(state, &changed).await;
        }
    }

    /// Updates the speed of the selected endpoints and sends the estimates of
    /// this front to their workers.
    async fn exchange_speeds(&mut self, now: Millis) {
        let table = self.cluster.endpoints.load().table.clone();
        let selection = self.selection.load_full();
        let counters = &self.socket.counters;
        self.speeds.refresh(&table, &selection, counters, now);
        let workers = self.assignments.for_items();
        let messages = self.speeds.messages(&table, &selection, &workers, now);
        for (to, speeds) in messages {
            self.socket.send_speeds(to, &speeds).await;
        }
    }

    /// Applies the combined estimates of a worker.
    fn apply_speeds(&mut self, update: &SpeedUpdate, from: SocketAddr) {
        let roster = self.view.roster();
        let worker = roster.workers.get(update.node());
        let address = worker.and_then(|worker| worker.address);
        let subject = Subject::Speeds;
        if !self.socket.is_from(subject, update.node(), from, address) {
            return;
        }
        let now = self.cluster.clock().now();
        let view = self.cluster.endpoints.load();
        let workers = self.assignments.for_items();
        self.speeds.apply(update, &view.table, &workers, now);
    }

    /// Recomputes the selection if the endpoint table or an assignment has
    /// changed, and returns whether it has.
    fn select(&self, state: &mut State) -> bool {
        let assignment = self.assignments.for_requests();
        let workers = self.assignments.for_items();
        let table = self.cluster.endpoints.load().table.clone();
        let is_current =
            state.selection_inputs.as_ref().is_some_and(|known| {
                Arc::ptr_eq(&known.table, &table)
                    && Arc::ptr_eq(&known.assignment, &assignment)
                    && Arc::ptr_eq(&known.workers, &workers)
            });
        if is_current {
            return false;
        }
        let own = |e: &fleet::Endpoint| {
            assignment.uses_endpoint(e.incarnation_key())
        };
        let selection = Selection::new(self.socket.node(), &table, own);
        let selection = selection.with_speeds(self.speeds.services());
        log::info!(
            own = assignment.own_endpoints().len(),
            selected = selection.iter().count(),
            endpoints = table.len();
            "endpoints selected"
        );
        self.selection.publish(selection);
        let now = self.cluster.clock().now();
        state.last_updates.retain(|_, (_, at)| {
            now.saturating_ms_since(*at) < FRONT_LOAD_TTL_MS
        });
        state.selection_inputs = Some(SelectionInputs {
            table,
            assignment,
            workers,
        });
        true
    }

    /// Returns the endpoints whose count differs from the one sent last. Only
    /// endpoints that had requests then are checked: the request observer
    /// reports all others.
    fn changed_counts(&self, state: &State) -> Vec<IncarnationKey> {
        let view = self.cluster.endpoints.load();
        let changed =
            state
                .sent_counts
                .iter()
                .filter(|(incarnation, sent_count)| {
                    view.table.get(**incarnation).map(|e| e.in_flight())
                        != Some(**sent_count)
                });
        changed.map(|(incarnation, _)| *incarnation).collect()
    }

    async fn send_counts(
        &mut self,
        state: &mut State,
        incarnations: &[IncarnationKey],
    ) {
        let updates =
            self.counts_by_worker(state, incarnations.iter().copied());
        for (to, counts) in updates {
            state.workers.insert(to, UNSUBSCRIBE_UPDATES);
            self.socket.send(to, Kind::Own, false, &counts).await;
        }
    }

    /// Sends each worker all counts of its endpoints, including zeros: these
    /// subscribe the front to the worker's reports.
    async fn send_full(&mut self, state: &mut State) {
        let selection = self.selection.load_full();
        let mut incarnations: Vec<IncarnationKey> = selection
            .iter()
            .chain(state.sent_counts.keys().copied())
            .collect();
        incarnations.sort_unstable();
        incarnations.dedup();
        let mut updates =
            self.counts_by_worker(state, incarnations.into_iter());
        state
            .workers
            .retain(|_, remaining_updates| *remaining_updates > 0);
        for (to, remaining_updates) in &mut state.workers {
            if !updates.contains_key(to) {
                *remaining_updates -= 1;
                updates.insert(*to, Vec::new());
            }
        }
        for (to, counts) in updates {
            if !counts.is_empty() {
                state.workers.insert(to, UNSUBSCRIBE_UPDATES);
            }
            self.socket.send(to, Kind::Own, true, &counts).await;
        }
    }

    /// Groups counts by the worker to which the endpoint is assigned.
    fn counts_by_worker(
        &self,
        state: &mut State,
        incarnations: impl Iterator<Item = IncarnationKey>,
    ) -> IndexMap<SocketAddr, Vec<(IncarnationKey, u32)>> {
        let view = self.cluster.endpoints.load();
        let assignment = self.assignments.for_items();
        let mut updates: IndexMap<SocketAddr, Vec<(IncarnationKey, u32)>> =
            IndexMap::new();
        for incarnation in incarnations {
            let Some(endpoint) = view.table.get(incarnation) else {
                state.sent_counts.swap_remove(&incarnation);
                continue;
            };
            let count = endpoint.in_flight();
            match count {
                0 => state.sent_counts.swap_remove(&incarnation),
                count => state.sent_counts.insert(incarnation, count),
            };
            let worker = assignment
                .user_of(incarnation)
                .and_then(|worker| worker.address);
            if let Some(address) = worker {
                updates
                    .entry(address)
                    .or_default()
                    .push((incarnation, count));
            }
        }
        updates
    }

    fn apply_update(
        &mut self,
        state: &mut State,
        update: &LoadUpdate,
        from: SocketAddr,
    ) {
        let roster = self.view.roster();
        let worker = roster.workers.get(update.node());
        let address = worker.and_then(|worker| worker.address);
        let is_others = update.kind() == Kind::Others;
        let node = update.node();
        if !is_others
            || !self.socket.is_from(Subject::Load, node, from, address)
        {
            return;
        }
        let now = self.cluster.clock().now();
        let (last_version, at) = state.last_updates.entry(from).or_default();
        // After a period of silence any version is accepted: the worker's
        // clock may have been set back while it restarted.
        let is_silent = now.saturating_ms_since(*at) >= FRONT_LOAD_TTL_MS;
        if update.report_version() <= *last_version && !is_silent {
            return;
        }
        (*last_version, *at) = (update.report_version(), now);
        if let Some(open_items) = update.open_items() {
            self.backlogs.report(update.node(), open_items, now);
        }
        let view = self.cluster.endpoints.load();
        for (incarnation, count) in update.counts() {
            if let Some(endpoint) = view.table.get(*incarnation) {
                endpoint.record_remote_load(*count, now);
            }
        }
    }
}
