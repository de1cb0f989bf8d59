//! Load updates between fronts and workers.
//!
//! Datagrams, because only the newest update counts: a lost one is made good
//! by the next, and none may wait behind another. A front reports each request
//! that it sends to the worker that uses the endpoint; the worker reports to
//! every front what the others have in flight there.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use base::Millis;
use fleet::Endpoint;
use indexmap::IndexMap;
use jobs::{JobView, Members, NodeRecord, OnlineLoad, Plan, Planner};
use pass::LoadObserver;
use serde::{Deserialize, Serialize};
use tokio::{
    net::UdpSocket,
    sync::mpsc,
    time::{self, MissedTickBehavior},
};

use crate::ClusterState;

/// Time between two looks at what has changed, in milliseconds.
const TICK_MS: u64 = 50;

/// Ticks between two whole updates, which make good what was lost.
const WHOLE_TICKS: u64 = 10;

/// Largest datagram.
const DATAGRAM_BYTES: usize = 60 * 1024;

/// Counts in one datagram, so that it fits a packet.
const COUNTS_MOST: usize = 40;

#[derive(Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
enum LoadUpdate {
    /// A front's own requests in flight.
    Online {
        front: String,
        whole: bool,
        counts: IndexMap<String, u32>,
    },
    /// What the other fronts have in flight.
    Others { counts: IndexMap<String, u32> },
}

/// Hears of each request and passes the endpoint on to the sender's task.
#[derive(Debug)]
pub(crate) struct LoadNotifier(mpsc::UnboundedSender<String>);

impl LoadNotifier {
    pub(crate) fn new() -> (Self, mpsc::UnboundedReceiver<String>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self(sender), receiver)
    }
}

impl LoadObserver for LoadNotifier {
    fn began(&self, endpoint: &Endpoint) {
        let _ = self.0.send(endpoint.record().id.clone());
    }
}

/// Binds the socket on which a node hears updates of load.
pub(crate) async fn bind(address: SocketAddr) -> io::Result<Arc<UdpSocket>> {
    UdpSocket::bind(address).await.map(Arc::new)
}

async fn send(socket: &UdpSocket, to: SocketAddr, update: &LoadUpdate) {
    let Ok(bytes) = serde_json::to_vec(update) else {
        return;
    };
    if let Err(error) = socket.send_to(&bytes, to).await {
        log::debug!(to:%, error:%; "a load update is not sent");
    }
}

/// Reads one update; none for bytes that are none.
async fn receive(socket: &UdpSocket, buffer: &mut [u8]) -> Option<LoadUpdate> {
    match socket.recv_from(buffer).await {
        Ok((length, from)) => {
            let update = serde_json::from_slice(&buffer[..length]);
            update
                .inspect_err(|error| {
                    log::warn!(from:%, error:%; "a load update is malformed");
                })
                .ok()
        }
        Err(error) => {
            log::warn!(error:%; "no load update can be read");
            time::sleep(Duration::from_millis(TICK_MS)).await;
            None
        }
    }
}

/// Sends a front's load updates and takes those of workers.
pub(crate) struct FrontLoadSync {
    pub(crate) node: String,
    pub(crate) socket: Arc<UdpSocket>,
    pub(crate) view: JobView,
    pub(crate) cluster: ClusterState,
    pub(crate) began: mpsc::UnboundedReceiver<String>,
}

impl FrontLoadSync {
    pub(crate) async fn run(mut self) {
        let mut planner = Planner::new(&self.node);
        let mut plan = self.plan(&mut planner);
        let mut own_planner = Planner::new(&self.node);
        let mut sent: IndexMap<String, u32> = IndexMap::new();
        let mut ticks = time::interval(Duration::from_millis(TICK_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut count: u64 = 0;
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            let mut changed = Vec::new();
            let mut whole = false;
            tokio::select! {
                update = receive(&self.socket, &mut buffer) => {
                    if let Some(LoadUpdate::Others { counts }) = update {
                        self.learn(&counts);
                    }
                }
                id = self.began.recv() => {
                    changed.extend(id);
                    while let Ok(id) = self.began.try_recv() {
                        changed.push(id);
                    }
                }
                _ = ticks.tick() => {
                    plan = self.plan(&mut planner);
                    self.mark_own_share(&mut own_planner);
                    whole = count.is_multiple_of(WHOLE_TICKS);
                    count += 1;
                    changed = self.changes(&mut sent, whole);
                }
            }
            if whole || !changed.is_empty() {
                self.send_changes(&plan, &changed, &mut sent, whole).await;
            }
        }
    }

    fn plan(&self, planner: &mut Planner) -> Arc<Plan> {
        let config = self.cluster.config.load_full();
        let view = self.cluster.endpoints.load_full();
        let members = self.view.members();
        planner.plan((*config).as_deref(), &view.table, members)
    }

    /// Marks the endpoints that this front uses before others. Where every
    /// front has some of its own, it knows their load to the moment.
    fn mark_own_share(&self, planner: &mut Planner) {
        let config = self.cluster.config.load_full();
        let view = self.cluster.endpoints.load_full();
        let fronts = Members::fronts(self.view.nodes());
        let plan = planner.plan((*config).as_deref(), &view.table, fronts);
        for endpoint in view.table.iter() {
            let own = plan.uses_endpoint(&endpoint.record().id);
            endpoint.set_own_share(own);
        }
    }

    /// Returns the endpoints whose count is not what was sent last.
    fn changes(
        &self,
        sent: &mut IndexMap<String, u32>,
        whole: bool,
    ) -> Vec<String> {
        let view = self.cluster.endpoints.load();
        if whole {
            sent.clear();
        }
        view.table
            .iter()
            .filter(|endpoint| {
                let id = &endpoint.record().id;
                let last = sent.get(id).copied().unwrap_or_default();
                last != endpoint.in_flight()
            })
            .map(|endpoint| endpoint.record().id.clone())
            .collect()
    }

    async fn send_changes(
        &self,
        plan: &Plan,
        changed: &[String],
        sent: &mut IndexMap<String, u32>,
        whole: bool,
    ) {
        let mut updates: IndexMap<SocketAddr, IndexMap<String, u32>> =
            IndexMap::new();
        if whole {
            for node in self.view.nodes() {
                let worker = node.runs_items.then_some(node.address);
                if let Some(address) = worker.flatten() {
                    updates.insert(address, IndexMap::new());
                }
            }
        }
        for id in changed {
            let view = self.cluster.endpoints.load();
            let endpoint = view.table.iter().find(|e| e.record().id == *id);
            let Some(count) = endpoint.map(Endpoint::in_flight) else {
                continue;
            };
            sent.insert(id.clone(), count);
            let user = plan.user_of(id).and_then(|user| user.address);
            if let Some(address) = user {
                updates
                    .entry(address)
                    .or_default()
                    .insert(id.clone(), count);
            }
        }
        for (to, counts) in updates {
            let update = LoadUpdate::Online {
                front: self.node.clone(),
                whole,
                counts,
            };
            send(&self.socket, to, &update).await;
        }
    }

    fn learn(&self, counts: &IndexMap<String, u32>) {
        let now = self.cluster.clock().now();
        let view = self.cluster.endpoints.load();
        for endpoint in view.table.iter() {
            if let Some(count) = counts.get(&endpoint.record().id) {
                endpoint.report_remote(*count, now);
            }
        }
    }
}

/// Takes the load updates of fronts and reports to each what the others have.
pub(crate) struct WorkerLoadSync {
    pub(crate) node: String,
    pub(crate) socket: Arc<UdpSocket>,
    pub(crate) view: JobView,
    pub(crate) cluster: ClusterState,
    pub(crate) online: Arc<OnlineLoad>,
}

impl WorkerLoadSync {
    pub(crate) async fn run(self) {
        let mut planner = Planner::new(&self.node);
        let mut sent: IndexMap<String, IndexMap<String, u32>> =
            IndexMap::new();
        let mut ticks = time::interval(Duration::from_millis(TICK_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut count: u64 = 0;
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            tokio::select! {
                update = receive(&self.socket, &mut buffer) => {
                    if let Some(LoadUpdate::Online { front, whole, counts }) = update
                    {
                        let now = self.now();
                        self.online.take(&front, counts, whole, now);
                    }
                }
                _ = ticks.tick() => {
                    if count.is_multiple_of(WHOLE_TICKS) {
                        sent.clear();
                    }
                    count += 1;
                    self.update_fronts(&mut planner, &mut sent).await;
                }
            }
        }
    }

    fn now(&self) -> Millis {
        self.cluster.clock().now()
    }

    /// Tells each front what the others have in flight at the endpoints of
    /// this worker.
    async fn update_fronts(
        &self,
        planner: &mut Planner,
        sent: &mut IndexMap<String, IndexMap<String, u32>>,
    ) {
        let config = self.cluster.config.load_full();
        let view = self.cluster.endpoints.load_full();
        let members = self.view.members();
        let plan = planner.plan((*config).as_deref(), &view.table, members);
        let nodes = self.view.nodes();
        let fronts = nodes.iter().filter(|node| !node.runs_items);
        for NodeRecord { node, address, .. } in fronts {
            let Some(address) = address else {
                continue;
            };
            let sent = sent.entry(node.clone()).or_default();
            let mut counts = IndexMap::new();
            for endpoint in view.table.iter() {
                let id = &endpoint.record().id;
                if !plan.uses_endpoint(id) {
                    continue;
                }
                let others = self.online.at(id, node, self.now());
                if sent.insert(id.clone(), others) != Some(others) {
                    counts.insert(id.clone(), others);
                }
            }
            let all: Vec<(String, u32)> = counts.into_iter().collect();
            for part in all.chunks(COUNTS_MOST) {
                let counts = part.iter().cloned().collect();
                send(&self.socket, *address, &LoadUpdate::Others { counts })
                    .await;
            }
        }
    }
}
