//! Load updates on the side of a worker.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::Millis;
use indexmap::IndexMap;
use jobs::{
    Assignments, FrontUpdate, JobView, OnlineLoad, OtherFrontsLoad, Roster,
};
use tokio::time::{self, MissedTickBehavior};

use super::{
    FULL_UPDATE_INTERVAL_MS, Kind, LoadSocket, Subject, TICK_INTERVAL_MS,
    speed_wire::{Message, SpeedUpdate},
    speeds::WorkerSpeeds,
    wire::LoadUpdate,
};
use crate::ClusterState;

/// Time for which reports of a front are accepted after its entry is removed,
/// in milliseconds. A planned shutdown removes the entry first and then takes
/// up to the operators' grace period, about 8 s.
const REMOVED_FRONT_TTL_MS: u64 = 10_000;

/// The fronts whose updates are accepted: listed fronts, and for some time
/// fronts that were removed.
#[derive(Default)]
struct Fronts {
    roster: Roster,
    /// Address of each removed front, and the time until which it is accepted.
    removed: IndexMap<String, (SocketAddr, Millis)>,
}

impl Fronts {
    fn update_roster(&mut self, roster: Roster, now: Millis) {
        if roster.is_same(&self.roster) {
            return;
        }
        let expires_at = now.saturating_add_ms(REMOVED_FRONT_TTL_MS);
        let before = self.roster.fronts.nodes();
        for front in before.iter().filter(|f| !roster.fronts.has(&f.node)) {
            if let Some(address) = front.address {
                self.removed
                    .insert(front.node.clone(), (address, expires_at));
            }
        }
        self.removed.retain(|_, (_, expires_at)| now < *expires_at);
        self.roster = roster;
    }

    fn is_listed(&self, front: &str) -> bool {
        self.roster.fronts.has(front)
    }

    fn address_of(&self, front: &str) -> Option<SocketAddr> {
        match self.roster.fronts.get(front) {
            Some(listed) => listed.address,
            None => self.removed.get(front).map(|(address, _)| *address),
        }
    }
}

/// Applies the load updates of fronts and reports to each front the load of
/// the others.
pub(crate) struct WorkerLoad {
    pub(crate) socket: LoadSocket,
    pub(crate) view: JobView,
    pub(crate) cluster: ClusterState,
    pub(crate) online: Arc<OnlineLoad>,
    pub(crate) assignments: Assignments,
    /// The speed of this worker's endpoints.
    pub(crate) speeds: WorkerSpeeds,
    /// Time of the next count of open items.
    pub(crate) next_backlog_count: Millis,
}

impl WorkerLoad {
    pub(crate) async fn run(mut self) {
        let mut fronts = Fronts::default();
        let mut ticks =
            time::interval(Duration::from_millis(TICK_INTERVAL_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                received = self.socket.receive() => {
                    match received {
                        Some((Message::Load(update), from)) => {
                            self.apply_update(&mut fronts, &update, from)
                                .await;
                        }
                        Some((Message::Speeds(update), from)) => {
                            self.apply_speeds(&mut fronts, &update, from);
                        }
                        None => {}
                    }
                }
                _ = ticks.tick() => {
                    let now = self.now();
                    fronts.update_roster(self.view.roster(), now);
                    self.update_open_items(now);
                    let is_listed = |front: &str| fronts.is_listed(front);
                    self.online.remove_gone(is_listed, now);
                    for update in self.online.changes(now) {
                        self.report(&update, &fronts).await;
                    }
                    self.exchange_speeds(&fronts, now).await;
                }
            }
        }
    }

    /// Records the estimates of a front.
    fn apply_speeds(
        &mut self,
        fronts: &mut Fronts,
        update: &SpeedUpdate,
        from: SocketAddr,
    ) {
        let now = self.now();
        fronts.update_roster(self.view.roster(), now);
        let address = fronts.address_of(update.node());
        let subject = Subject::Speeds;
        if self.socket.is_from(subject, update.node(), from, address) {
            let own = self.assignments.for_items();
            self.speeds.record(update, &own, now);
        }
    }

    /// Updates the speeds of this worker's endpoints, and answers the fronts
    /// that have sent theirs.
    async fn exchange_speeds(&mut self, fronts: &Fronts, now: Millis) {
        let view = self.cluster.endpoints.load_full();
        let own = self.assignments.for_items();
        let counters = &self.socket.counters;
        self.speeds.refresh(&view.table, &own, counters, now);
        let answers = self.speeds.answers(&self.online, &view.table, now);
        for (front, speeds) in answers {
            let address = fronts.address_of(&front);
            if let (Some(to), false) = (address, speeds.is_empty()) {
                self.socket.send_speeds(to, &speeds).await;
            }
        }
    }

    /// Counts the open items of this node if the count is due.
    fn update_open_items(&mut self, now: Millis) {
        if now < self.next_backlog_count {
            return;
        }
        self.next_backlog_count =
            now.saturating_add_ms(FULL_UPDATE_INTERVAL_MS);
        let members = self.view.members();
        let backlog = self.view.backlog(&members);
        let node = self.socket.node().to_owned();
        self.socket.open_items = Some(backlog.items_of(&node));
    }

    fn now(&self) -> Millis {
        self.cluster.clock().now()
    }

    /// Applies an update, and responds immediately to a full update so that a
    /// starting front learns the load of its endpoints.
    async fn apply_update(
        &mut self,
        fronts: &mut Fronts,
        update: &LoadUpdate,
        from: SocketAddr,
    ) {
        let now = self.now();
        fronts.update_roster(self.view.roster(), now);
        let address = fronts.address_of(update.node());
        let is_own = update.kind() == Kind::Own;
        let node = update.node();
        if !is_own || !self.socket.is_from(Subject::Load, node, from, address)
        {
            return;
        }
        let own = FrontUpdate {
            front: update.node(),
            version: update.report_version(),
            is_full: update.is_full(),
            counts: update.counts(),
        };
        let is_new = self.online.apply(own, now);
        if is_new && update.is_full() && !update.counts().is_empty() {
            let response = self.online.full_report(update.node(), now);
            self.report(&response, fronts).await;
        }
    }

    async fn report(&mut self, update: &OtherFrontsLoad, fronts: &Fronts) {
        let Some(address) = fronts.address_of(&update.front) else {
            return;
        };
        self.socket
            .send(address, Kind::Others, false, &update.counts)
            .await;
    }
}
