use std::{sync::Arc, time::Duration};

use base::{Clock, stable_hash};
use error_stack::Report;
use jobs::{JobView, Members};
use kv::{Compare, Kv, KvError, Op, Txn};
use tokio::{
    sync::{mpsc, watch},
    time,
};

use crate::{Dialect, VacateOrder, VacateState, lease_terms::LeaseTerms};

/// Percentage of the time for vacating a node in which its runs may end; the
/// remainder is for writing the status.
const RUNS_PERCENT: u64 = 70;

/// Delay in milliseconds after the lease of a lost node before other nodes
/// report it as empty; by then its entry has been removed from their views.
const LEASE_MARGIN_MS: u64 = 1_000;

/// Number of nodes that report a lost node as empty. If all nodes did, an
/// order would cost one call per worker of the fleet.
const MAX_REPORTERS: usize = 3;

/// Pause between attempts to write the vacate status.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Executes operators' orders to vacate a node.
///
/// Nodes hold no durable state except spooled jobs, so a node is empty once
/// the runs of its items have ended or moved and its spool is empty. Other
/// nodes report the status on behalf of a node that is down.
pub(crate) struct VacateExecutor {
    pub(crate) node: String,
    pub(crate) kv: Arc<dyn Kv>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) view: JobView,
    /// Set to true to shut this node down; it ends its runs then.
    pub(crate) shutdown: watch::Sender<bool>,
    /// Becomes true when the runs of this node have ended.
    pub(crate) idle: watch::Receiver<bool>,
    /// Number of jobs in the spool of this node.
    pub(crate) spooled_jobs: Option<watch::Receiver<usize>>,
    /// Lease terms of a worker's entry.
    pub(crate) terms: LeaseTerms,
    /// Number of disks that may be lost at the same time.
    pub(crate) disk_losses: u32,
    pub(crate) clock: Arc<dyn Clock>,
}

/// Returns how long the runs of a vacated node may go on.
fn runs_timeout(order: &VacateOrder) -> Duration {
    Duration::from_millis(order.within_ms / 100 * RUNS_PERCENT)
}

impl VacateExecutor {
    pub(crate) async fn run(
        self,
        mut orders: mpsc::UnboundedReceiver<VacateOrder>,
    ) {
        while let Some(order) = orders.recv().await {
            log::info!(
                node = order.node.as_str(),
                within_ms = order.within_ms;
                "received an order to vacate a node"
            );
            match order.node == self.node {
                true => self.vacate(&order).await,
                false => self.report_for_lost(order),
            }
        }
    }

    async fn vacate(&self, order: &VacateOrder) {
        let mut status = StatusWriter::new(&*self.kv, &*self.dialect, order);
        let replaces = Replaces::Unfinished;
        status.write(VacateState::Active, replaces).await;
        self.shutdown.send_replace(true);
        let mut idle = self.idle.clone();
        let runs_ended = idle.wait_for(|idle| *idle);
        let timeout = runs_timeout(order);
        let all_ended = time::timeout(timeout, runs_ended).await.is_ok();
        // The disk is lost with the machine: jobs spooled on it would have one
        // copy less.
        if let Some(spooled_jobs) = &self.spooled_jobs {
            let mut spooled_jobs = spooled_jobs.clone();
            let _ = spooled_jobs.wait_for(|count| *count == 0).await;
        }
        log::info!(all_ended; "this node is vacated");
        status.write(VacateState::Complete, replaces).await;
    }

    fn report_for_lost(&self, order: VacateOrder) {
        let kv = self.kv.clone();
        let dialect = self.dialect.clone();
        let view = self.view.clone();
        let own_name = self.node.clone();
        let workers = view.members().len();
        let lease_ms = u64::from(self.terms.lease_s(workers)) * 1_000;
        let wait = Duration::from_millis(lease_ms + LEASE_MARGIN_MS);
        let (clock, disk_losses) = (self.clock.clone(), self.disk_losses);
        tokio::spawn(async move {
            time::sleep(wait).await;
            // Jobs on the disk of the lost node may be nowhere else.
            while !view.are_spools_written(disk_losses, clock.now()) {
                time::sleep(RETRY_INTERVAL).await;
            }
            let members = view.members();
            if members.has(&order.node)
                || !is_reporter(&members, &order.node, &own_name)
            {
                return;
            }
            StatusWriter::new(&*kv, &*dialect, &order)
                .write(VacateState::Complete, Replaces::EarlierOrder)
                .await;
        });
    }
}

/// Reports whether a node is one of the few that report for a lost one.
fn is_reporter(members: &Members, lost: &str, node: &str) -> bool {
    let rank = |name: &str| stable_hash(&[lost, name]);
    let own = rank(node);
    let nodes = members.nodes().iter();
    let higher_ranked = nodes.filter(|other| rank(&other.node) < own);
    higher_ranked.take(MAX_REPORTERS).count() < MAX_REPORTERS
}

/// Which stored status may be replaced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Replaces {
    /// Any but that of a completed order.
    Unfinished,
    /// That of an earlier order; if this one has a status, the node itself has
    /// written it.
    EarlierOrder,
}

/// Writes the status of an order to vacate a node.
///
/// Each write names the revision that it replaces: one whose response was lost
/// may take effect after a later one.
struct StatusWriter<'a> {
    kv: &'a dyn Kv,
    dialect: &'a dyn Dialect,
    order: &'a VacateOrder,
    /// Revision of the stored status, as far as known; 0 if there is none.
    revision: u64,
    /// Whether the order is known to be reported as completed.
    is_complete: bool,
}

impl<'a> StatusWriter<'a> {
    fn new(
        kv: &'a dyn Kv,
        dialect: &'a dyn Dialect,
        order: &'a VacateOrder,
    ) -> Self {
        Self {
            kv,
            dialect,
            order,
            revision: 0,
            is_complete: false,
        }
    }

    /// Writes a status, retrying until it or a later one is stored.
    async fn write(&mut self, state: VacateState, replaces: Replaces) {
        let node = self.order.node.as_str();
        while !self.is_complete {
            match self.try_write(state, replaces).await {
                Ok(Some(written)) => {
                    log::info!(
                        node, state:? = state, written,
                        revision = self.revision;
                        "vacate status written"
                    );
                    return;
                }
                Ok(None) => {}
                Err(report) => {
                    log::info!(node, error:% = report.current_context();
                        "cannot write vacate status; retrying");
                    time::sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Makes one attempt. Returns whether the status was written or need not
    /// be; `None` if another revision than expected is stored.
    async fn try_write(
        &mut self,
        state: VacateState,
        replaces: Replaces,
    ) -> Result<Option<bool>, Report<KvError>> {
        let (key, value) =
            self.dialect.encode_vacate_status(&self.order.node, state);
        let txn = Txn {
            compares: vec![Compare::ModRevision {
                key: key.clone(),
                equals: self.revision,
            }],
            success: vec![Op::Put {
                key: key.clone(),
                value: value.clone(),
                lease: None,
            }],
            failure: Vec::new(),
        };
        let reply = self.kv.txn(txn).await?;
        if reply.succeeded {
            self.revision = reply.revision;
            return Ok(Some(true));
        }
        let found = self.kv.get(&key).await?.kvs.into_iter().next();
        self.revision = found.as_ref().map_or(0, |kv| kv.mod_revision);
        let of_this_order =
            found.filter(|kv| kv.mod_revision > self.order.revision);
        let Some(found) = of_this_order else {
            return Ok(None);
        };
        self.is_complete = found.value == self.complete();
        let is_final = self.is_complete
            || found.value == value
            || replaces == Replaces::EarlierOrder;
        Ok(is_final.then_some(false))
    }

    fn complete(&self) -> Vec<u8> {
        let node = &self.order.node;
        self.dialect
            .encode_vacate_status(node, VacateState::Complete)
            .1
    }
}

#[cfg(test)]
#[path = "../tests/unit/vacate.rs"]
mod tests;
