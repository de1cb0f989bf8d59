use std::{sync::Arc, time::Duration};

use base::stable_hash;
use jobs::{JobView, Members};
use kv::{Compare, Kv, Op, Txn};
use tokio::{
    sync::{mpsc, watch},
    time,
};

use crate::{Dialect, VacateOrder, VacateState, membership::LeaseTerms};

/// Part of the time for emptying a node that its own runs may take, in
/// percent; the rest is for writing that it is done.
const RUNS_PERCENT: u64 = 70;

/// How long after a lost node's lease the other nodes say in its place that
/// it is empty, in milliseconds: its entry has gone from their view then.
const AFTER_LEASE_MS: u64 = 1_000;

/// Nodes that say it. With all of them an order costs a call for each worker
/// of the fleet.
const STAND_INS: usize = 3;

/// Pause between tries to write how far a node is emptied.
const RETRY: Duration = Duration::from_millis(300);

/// Carries out operators' orders to empty a node.
///
/// Nothing that must last lies on any node, so that a node is empty when the
/// runs of its items have ended or moved. A node that is down cannot say so;
/// the others then say it in its place.
pub(crate) struct Vacating {
    pub(crate) node: String,
    pub(crate) kv: Arc<dyn Kv>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) view: JobView,
    /// Turned true to make this node leave; it ends its runs then.
    pub(crate) leave: watch::Sender<bool>,
    /// Turns true when its runs have ended.
    pub(crate) idle: watch::Receiver<bool>,
    /// Jobs that wait on its disk.
    pub(crate) spooled: Option<watch::Receiver<usize>>,
    /// How long the entry of a worker lives.
    pub(crate) terms: LeaseTerms,
}

impl Vacating {
    pub(crate) async fn run(
        self,
        mut orders: mpsc::UnboundedReceiver<VacateOrder>,
    ) {
        while let Some(order) = orders.recv().await {
            log::info!(
                node = order.node.as_str(),
                within_ms = order.within_ms;
                "a node is to be emptied"
            );
            match order.node == self.node {
                true => self.leave(&order).await,
                false => self.stand_in(order),
            }
        }
    }

    async fn leave(&self, order: &VacateOrder) {
        self.write(&order.node, VacateState::Active, false).await;
        self.leave.send_replace(true);
        let most = order.within_ms * RUNS_PERCENT / 100;
        let mut idle = self.idle.clone();
        let ended = idle.wait_for(|idle| *idle);
        let most = Duration::from_millis(most);
        let all_ended = time::timeout(most, ended).await.is_ok();
        // The disk goes with the machine: jobs that wait on it for the
        // key-value service would have one copy less.
        if let Some(spooled) = &self.spooled {
            let mut spooled = spooled.clone();
            let _ = spooled.wait_for(|jobs| *jobs == 0).await;
        }
        log::info!(all_ended; "this node is empty");
        self.write(&order.node, VacateState::Complete, false).await;
    }

    fn stand_in(&self, order: VacateOrder) {
        let kv = self.kv.clone();
        let dialect = self.dialect.clone();
        let view = self.view.clone();
        let me = self.node.clone();
        let workers = view.members().len();
        let lease_ms = u64::from(self.terms.lease_s(workers)) * 1_000;
        let wait = Duration::from_millis(lease_ms + AFTER_LEASE_MS);
        tokio::spawn(async move {
            time::sleep(wait).await;
            let members = view.members();
            if members.has(&order.node)
                || !stands_in(&members, &order.node, &me)
            {
                return;
            }
            write(&*kv, &*dialect, &order.node, VacateState::Complete, true)
                .await;
        });
    }

    async fn write(&self, node: &str, state: VacateState, only_new: bool) {
        write(&*self.kv, &*self.dialect, node, state, only_new).await;
    }
}

/// Tells whether a node is one of the few that speak for a lost one.
fn stands_in(members: &Members, lost: &str, node: &str) -> bool {
    let rank = |name: &str| stable_hash(&[lost, name]);
    let own = rank(node);
    let nodes = members.nodes().iter();
    let before = nodes.filter(|other| rank(&other.node) < own);
    before.take(STAND_INS).count() < STAND_INS
}

/// Writes how far a node is emptied, again until it is written.
async fn write(
    kv: &dyn Kv,
    dialect: &dyn Dialect,
    node: &str,
    state: VacateState,
    only_new: bool,
) {
    let (key, value) = dialect.encode_vacate_status(node, state);
    let absent = Compare::ModRevision {
        key: key.clone(),
        equals: 0,
    };
    let txn = Txn {
        compares: only_new.then_some(absent).into_iter().collect(),
        success: vec![Op::Put {
            key,
            value,
            lease: None,
        }],
        failure: Vec::new(),
    };
    loop {
        match kv.txn(txn.clone()).await {
            Ok(reply) => {
                log::info!(node, state:? = state, written = reply.succeeded;
                    "how far a node is emptied is written");
                return;
            }
            Err(report) => {
                log::info!(node, error:% = report.current_context();
                    "how far a node is emptied is not written yet");
                time::sleep(RETRY).await;
            }
        }
    }
}
