use std::{sync::Arc, time::Duration};

use base::{Clock, Millis};
use fleet::{Change, Directory, Listing};
use jobs::{JobView, WATCHED_PREFIX};
use kv::{Event, GetReply, KeyValue, Kv};
use pass::{DirectoryView, Pool};
use tokio::{sync::mpsc, time};

use crate::{Beliefs, Dialect, OperatorOrder, VacateOrder};

/// Time between two listings of the endpoints, as a part of the time in
/// which a leaving one must get no new work: two listings, the second of
/// which may have to be repeated, fit in it.
const LISTINGS_PER_DRAIN: u64 = 2;

/// Longest pause between listings, in milliseconds.
const LISTING_MOST_MS: u64 = 1_000;

/// Pause after a failed call, in milliseconds; the service's rates bear the
/// whole fleet at this pace, and a return is noticed within it.
const FAILED_PAUSE_MS: u64 = 250;

/// Pause between two deliveries of the changes of jobs, in milliseconds.
/// Each delivery is a call; what comes meanwhile arrives together.
const JOBS_PAUSE_MS: u64 = 400;

/// Logs when a dependency is lost and when it is back, once each.
struct Reach {
    what: &'static str,
    lost_at: Option<Millis>,
    failures: u64,
}

impl Reach {
    fn new(what: &'static str) -> Self {
        Self {
            what,
            lost_at: None,
            failures: 0,
        }
    }

    fn lost(&mut self, now: Millis, error: &dyn std::fmt::Display) {
        self.failures += 1;
        if self.lost_at.is_none() {
            self.lost_at = Some(now);
            log::warn!(dependency = self.what, error:%;
                "a dependency is lost");
        }
    }

    fn regained(&mut self, now: Millis) {
        if let Some(at) = self.lost_at.take() {
            let failures = std::mem::take(&mut self.failures);
            log::info!(
                dependency = self.what,
                away_ms = now.saturating_ms_since(at),
                failures;
                "a dependency is regained"
            );
        }
    }
}

async fn pause(ms: u64) {
    time::sleep(Duration::from_millis(ms)).await;
}

/// Follows the listing of the endpoints by reading it again and again.
///
/// A watch was rejected: every heartbeat of an endpoint is a change, so that
/// a watch returns at once and is a call each time as well, and it needs
/// care after a gap in the history. A listing is always whole.
pub(crate) async fn follow_endpoints(
    kv: Arc<dyn Kv>,
    dialect: Arc<dyn Dialect>,
    beliefs: Beliefs,
    pool: Arc<Pool>,
    drain_ms: u64,
) {
    let pause_ms = (drain_ms / LISTINGS_PER_DRAIN).min(LISTING_MOST_MS);
    let mut directory = Directory::default();
    let mut reach = Reach::new("endpoint listing");
    loop {
        let reply = kv.get_prefix(dialect.endpoints_prefix(), 0).await;
        let now = beliefs.clock().now();
        match reply {
            Ok(reply) => {
                reach.regained(now);
                let listing = decode_listing(&reply, &*dialect);
                let changes = directory.take(listing, now);
                log_changes(&changes, directory.revision());
                beliefs.endpoints.publish(DirectoryView {
                    table: directory.table(),
                    revision: directory.revision(),
                });
                if !changes.is_empty() {
                    pool.retain(|id| directory.get(id).is_some());
                }
                pause(pause_ms).await;
            }
            Err(report) => {
                directory.read_failed(now);
                reach.lost(now, report.current_context());
                pause(FAILED_PAUSE_MS).await;
            }
        }
    }
}

fn decode_listing(reply: &GetReply, dialect: &dyn Dialect) -> Listing {
    let mut records = Vec::with_capacity(reply.kvs.len());
    for kv in &reply.kvs {
        match dialect.endpoint(kv) {
            Ok(record) => records.push(record),
            Err(error) => {
                log::warn!(key = kv.key.as_str(), error:%;
                    "an endpoint's entry cannot be read");
            }
        }
    }
    Listing {
        revision: reply.revision,
        records,
    }
}

fn log_changes(changes: &[Change], revision: u64) {
    for change in changes {
        log::info!(change:? = change, revision;
            "the list of endpoints changed");
    }
}

/// Follows what operators write: configurations and orders to nodes.
pub(crate) async fn follow_operators(
    kv: Arc<dyn Kv>,
    dialect: Arc<dyn Dialect>,
    beliefs: Beliefs,
    orders: Option<mpsc::UnboundedSender<VacateOrder>>,
) {
    let mut reach = Reach::new("operators' keys");
    let take = |kv: &KeyValue| match dialect.order(kv) {
        Ok(OperatorOrder::Config(config)) => beliefs.take_config(*config),
        Ok(OperatorOrder::Vacate(order)) => {
            if let Some(orders) = &orders {
                let _ = orders.send(order);
            }
        }
        Ok(OperatorOrder::Other) => {}
        Err(error) => {
            log::warn!(key = kv.key.as_str(), error:%;
                "what an operator wrote cannot be read");
        }
    };
    loop {
        let follow = async {
            let prefix = dialect.orders_prefix();
            let reply = kv.get_prefix(prefix, 0).await?;
            reach.regained(beliefs.clock().now());
            reply.kvs.iter().for_each(&take);
            beliefs.confirm_config();
            let mut watcher = kv.watch(prefix, reply.revision + 1).await?;
            loop {
                let batch = watcher.next().await?;
                for event in &batch.events {
                    if let Event::Put(kv) = event {
                        take(kv);
                    }
                }
                beliefs.confirm_config();
            }
        };
        let result: Result<(), error_stack::Report<kv::KvError>> =
            follow.await;
        if let Err(report) = result {
            reach.lost(beliefs.clock().now(), report.current_context());
        }
        pause(FAILED_PAUSE_MS).await;
    }
}

/// Follows the heads of all jobs and the nodes that run items.
pub(crate) async fn follow_jobs(
    kv: Arc<dyn Kv>,
    view: JobView,
    clock: Arc<dyn Clock>,
) {
    let mut reach = Reach::new("jobs");
    loop {
        let follow = async {
            let began = clock.now();
            let reply = kv.get_prefix(WATCHED_PREFIX, 0).await?;
            reach.regained(clock.now());
            view.replace(&reply.kvs, began);
            let mut watcher =
                kv.watch(WATCHED_PREFIX, reply.revision + 1).await?;
            loop {
                pause(JOBS_PAUSE_MS).await;
                let batch = watcher.next().await?;
                view.apply(&batch.events, clock.now());
            }
        };
        let result: Result<(), error_stack::Report<kv::KvError>> =
            follow.await;
        if let Err(report) = result {
            reach.lost(clock.now(), report.current_context());
        }
        pause(FAILED_PAUSE_MS).await;
    }
}
