//! What a worker receives and reports.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::Millis;
use indexmap::IndexMap;
use jobs::{FrontUpdate, JobView, OnlineLoad, OtherFrontsLoad, Roster};
use tokio::time::{self, MissedTickBehavior};

use super::{Kind, LoadSocket, TICK_MS, WHOLE_MS, wire::LoadUpdate};
use crate::ClusterState;

/// How long a front may still report after its entry has ended, in
/// milliseconds. A planned stop ends the entry first and takes as long as the
/// operators give it, some eight seconds.
const LEAVING_MS: u64 = 10_000;

/// The fronts whose updates are taken: those that are listed, and for a while
/// those that were.
#[derive(Default)]
struct Fronts {
    roster: Roster,
    /// Address of each that has left the list, and until when it counts.
    left: IndexMap<String, (SocketAddr, Millis)>,
}

impl Fronts {
    fn follow(&mut self, roster: Roster, now: Millis) {
        if roster.is_same(&self.roster) {
            return;
        }
        let until = now.saturating_add_ms(LEAVING_MS);
        let before = self.roster.fronts.nodes();
        for front in before.iter().filter(|f| !roster.fronts.has(&f.node)) {
            if let Some(address) = front.address {
                self.left.insert(front.node.clone(), (address, until));
            }
        }
        self.left.retain(|_, (_, until)| now < *until);
        self.roster = roster;
    }

    fn is_listed(&self, front: &str) -> bool {
        self.roster.fronts.has(front)
    }

    fn address_of(&self, front: &str) -> Option<SocketAddr> {
        match self.roster.fronts.get(front) {
            Some(listed) => listed.address,
            None => self.left.get(front).map(|(address, _)| *address),
        }
    }
}

/// Takes the load updates of fronts and reports to each what the others have.
pub(crate) struct WorkerLoad {
    pub(crate) socket: LoadSocket,
    pub(crate) view: JobView,
    pub(crate) cluster: ClusterState,
    pub(crate) online: Arc<OnlineLoad>,
    /// When open items are counted next.
    pub(crate) next_count: Millis,
}

impl WorkerLoad {
    pub(crate) async fn run(mut self) {
        let mut fronts = Fronts::default();
        let mut ticks = time::interval(Duration::from_millis(TICK_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                received = self.socket.receive() => {
                    if let Some((update, from)) = received {
                        self.take(&mut fronts, &update, from).await;
                    }
                }
                _ = ticks.tick() => {
                    let now = self.now();
                    fronts.follow(self.view.roster(), now);
                    self.count_items(now);
                    let is_listed = |front: &str| fronts.is_listed(front);
                    self.online.remove_gone(is_listed, now);
                    for update in self.online.changes(now) {
                        self.report(&update, &fronts).await;
                    }
                }
            }
        }
    }

    /// Counts the open items of this node anew, if it is time.
    fn count_items(&mut self, now: Millis) {
        if now < self.next_count {
            return;
        }
        self.next_count = now.saturating_add_ms(WHOLE_MS);
        let members = self.view.members();
        let backlog = self.view.backlog(&members);
        let node = self.socket.node().to_owned();
        self.socket.open_items = Some(backlog.items_of(&node));
    }

    fn now(&self) -> Millis {
        self.cluster.clock().now()
    }

    /// Takes an update and answers one that names all endpoints at once: a
    /// front that has just started knows the load of its endpoints then.
    async fn take(
        &mut self,
        fronts: &mut Fronts,
        update: &LoadUpdate,
        from: SocketAddr,
    ) {
        let now = self.now();
        fronts.follow(self.view.roster(), now);
        let address = fronts.address_of(update.node());
        let is_own = update.kind() == Kind::Own;
        if !is_own || !self.socket.is_from(update, from, address) {
            return;
        }
        let own = FrontUpdate {
            front: update.node(),
            version: update.stamp(),
            is_full: update.is_whole(),
            counts: update.counts(),
        };
        let is_news = self.online.apply(own, now);
        if is_news && update.is_whole() && !update.counts().is_empty() {
            let answer = self.online.full_report(update.node(), now);
            self.report(&answer, fronts).await;
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
