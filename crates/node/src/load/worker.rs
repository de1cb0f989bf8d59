//! What a worker receives and reports.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::Millis;
use jobs::{FrontUpdate, JobView, OnlineLoad, OthersUpdate, Roster};
use tokio::time::{self, MissedTickBehavior};

use super::{Kind, LoadSocket, TICK_MS, wire::LoadUpdate};
use crate::ClusterState;

/// Takes the load updates of fronts and reports to each what the others have.
pub(crate) struct WorkerLoad {
    pub(crate) socket: LoadSocket,
    pub(crate) view: JobView,
    pub(crate) cluster: ClusterState,
    pub(crate) online: Arc<OnlineLoad>,
}

impl WorkerLoad {
    pub(crate) async fn run(mut self) {
        let mut roster = self.view.roster();
        let mut ticks = time::interval(Duration::from_millis(TICK_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                received = self.socket.receive() => {
                    if let Some((update, from)) = received {
                        self.take(&update, from).await;
                    }
                }
                _ = ticks.tick() => {
                    self.follow_roster(&mut roster);
                    for update in self.online.changes(self.now()) {
                        self.report(&update, &roster).await;
                    }
                }
            }
        }
    }

    fn now(&self) -> Millis {
        self.cluster.clock().now()
    }

    /// Forgets fronts that are gone.
    fn follow_roster(&self, known: &mut Roster) {
        let roster = self.view.roster();
        if roster.is_same(known) {
            return;
        }
        self.online.retain(|front| roster.fronts.has(front));
        *known = roster;
    }

    /// Takes an update and answers one that names all endpoints at once: a
    /// front that has just started knows the load of its endpoints then.
    async fn take(&mut self, update: &LoadUpdate, from: SocketAddr) {
        let roster = self.view.roster();
        let front = roster.fronts.get(update.node());
        let is_own = update.kind() == Kind::Own;
        if !is_own || !self.socket.is_from(update, from, front) {
            return;
        }
        let now = self.now();
        let own = FrontUpdate {
            front: update.node(),
            stamp: update.stamp(),
            whole: update.is_whole(),
            counts: update.counts(),
        };
        let is_news = self.online.take(own, now);
        if is_news && update.is_whole() && !update.counts().is_empty() {
            let answer = self.online.answer(update.node(), now);
            self.report(&answer, &roster).await;
        }
    }

    async fn report(&mut self, update: &OthersUpdate, roster: &Roster) {
        let front = roster.fronts.get(&update.front);
        let Some(address) = front.and_then(|front| front.address) else {
            return;
        };
        self.socket
            .send(address, Kind::Others, false, &update.counts)
            .await;
    }
}
