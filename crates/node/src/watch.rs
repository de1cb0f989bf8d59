//! Applies the feeds to the state of the node: endpoints, configuration, jobs
//! and quarantine.

use std::sync::Arc;

use budget::MemoryBudget;
use fleet::{
    Change, Directory, Endpoint, IncarnationKey, Listing, ListingUpdate,
};
use indexmap::IndexMap;
use jobs::{JobView, WATCHED_PREFIX};
use kv::{Event, KeyValue, Kv};
use pass::{Counters, DirectoryView, Pool};
use quarantine::Quarantine;
use tokio::sync::{mpsc, watch};

use crate::{
    ClusterState, Dialect, NodeSettings, OperatorOrder, VacateOrder,
    feed::{Delta, Feed, FeedStatus, Scope},
    follow::Follower,
    membership::PreviousEntry,
    readers::{QueryTiming, ReadMode, Readers},
    tree::PAIR_SIZE,
};

/// Number of listings of the endpoints in the time within which a leaving
/// endpoint must stop receiving work: a listing that has to be repeated and
/// its propagation to the other nodes fit in it.
const LISTINGS_PER_DRAIN: u64 = 4;

/// Maximum interval between listings, in milliseconds: less than half of the
/// age up to which nodes accept each other's data, so that the loss of a
/// reader makes no node read the key-value service itself.
const MAX_LISTING_INTERVAL_MS: u64 = 600;

/// Interval between two deliveries of job changes, in milliseconds. Each
/// delivery is a call; changes in between arrive together.
const JOB_BATCH_INTERVAL_MS: u64 = 300;

/// Number of nodes that watch the jobs for all others. No change of a job has
/// a time limit for reaching all nodes, so the next node reads only when this
/// one is lost.
const JOB_READERS: usize = 1;

/// Number of the feed of jobs, nodes and poison requests.
pub(crate) const JOB_FEED: usize = 2;

/// Everything that a node follows.
pub(crate) struct Watches {
    pub(crate) kv: Arc<dyn Kv>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) cluster: ClusterState,
    pub(crate) view: JobView,
    pub(crate) quarantine: Quarantine,
    /// Connections to endpoints; those of removed ones are dropped.
    pub(crate) pool: Arc<Pool>,
    /// The memory for responses of other nodes.
    pub(crate) peer_memory: MemoryBudget,
    pub(crate) counters: Arc<Counters>,
    /// Becomes true when the entry of this node is written.
    pub(crate) registered: watch::Receiver<bool>,
    /// Receives the entry of this node as found at the start.
    pub(crate) previous: watch::Sender<Option<PreviousEntry>>,
    /// Which keys of the job feed this node follows.
    pub(crate) job_scope: Scope,
    /// Receives orders to drain a node.
    pub(crate) orders: Option<mpsc::UnboundedSender<VacateOrder>>,
}

impl Watches {
    /// Starts all tasks and returns the feeds, which other nodes query.
    pub(crate) fn start(self, settings: &NodeSettings) -> Arc<Vec<Arc<Feed>>> {
        let listing_ms = settings.drain_ms / LISTINGS_PER_DRAIN;
        let dialect = self.dialect.clone();
        let same_endpoint = move |before: &KeyValue, after: &KeyValue| {
            is_same_endpoint(&*dialect, before, after)
        };
        // Each write of a job counts: the next write compares with its
        // revision.
        let never_equivalent = |_: &KeyValue, _: &KeyValue| false;
        let node = settings.node.as_str();
        let feed_modes = [
            (
                Feed::new(
                    self.dialect.endpoints_prefix(),
                    Scope::All,
                    node,
                    same_endpoint,
                ),
                ReadMode::RoundRobin(listing_ms.min(MAX_LISTING_INTERVAL_MS)),
            ),
            (
                Feed::new(
                    self.dialect.orders_prefix(),
                    Scope::All,
                    node,
                    never_equivalent,
                ),
                ReadMode::Watch {
                    readers: PAIR_SIZE,
                    pause_ms: 0,
                },
            ),
            (
                Feed::new(
                    WATCHED_PREFIX,
                    self.job_scope,
                    node,
                    never_equivalent,
                ),
                ReadMode::Watch {
                    readers: JOB_READERS,
                    pause_ms: JOB_BATCH_INTERVAL_MS,
                },
            ),
        ];
        let readers = Readers::new(
            &settings.node,
            &settings.failure_domain,
            self.view.clone(),
        );
        let readers = Arc::new(readers);
        let (seeder, kv) = (readers.clone(), self.kv.clone());
        let registered = self.registered.clone();
        let previous = self.previous;
        tokio::spawn(
            async move { seeder.seed(&*kv, registered, previous).await },
        );
        let pool = Pool::default().with_memory(self.peer_memory.clone());
        let pool = Arc::new(pool);
        let timing = QueryTiming::new(settings.propagation_ms());
        let mut feeds = Vec::new();
        for (feed_number, (feed, read_mode)) in
            feed_modes.into_iter().enumerate()
        {
            let feed = Arc::new(feed);
            feeds.push(feed.clone());
            let follower = Follower {
                feed_number,
                feed,
                read_mode,
                timing,
                kv: self.kv.clone(),
                readers: readers.clone(),
                pool: pool.clone(),
                clock: self.cluster.clock().clone(),
                counters: self.counters.clone(),
            };
            tokio::spawn(follower.run());
        }
        let Watches {
            dialect,
            cluster,
            view,
            quarantine,
            pool,
            orders,
            ..
        } = self;
        tokio::spawn(follow_endpoints(
            feeds[0].clone(),
            dialect.clone(),
            cluster.clone(),
            pool,
            settings.drain_use_ms(),
        ));
        let job_cluster = cluster.clone();
        tokio::spawn(follow_operators(
            feeds[1].clone(),
            dialect,
            cluster,
            orders,
        ));
        tokio::spawn(follow_jobs(
            feeds[JOB_FEED].clone(),
            view,
            quarantine,
            job_cluster,
        ));
        Arc::new(feeds)
    }
}

/// Subscribes to a feed so that existing items already count as a change.
///
/// Otherwise a task that starts after the first read waits for the second one,
/// which never comes on a node whose configuration does not change.
fn subscribe(feed: &Feed) -> watch::Receiver<u64> {
    let mut changes = feed.subscribe();
    changes.mark_changed();
    changes
}

async fn follow_endpoints(
    feed: Arc<Feed>,
    dialect: Arc<dyn Dialect>,
    cluster: ClusterState,
    pool: Arc<Pool>,
    drain_use_ms: u64,
) {
    let mut directory = Directory::default().with_drain_use_ms(drain_use_ms);
    let mut entries = EntryDecoder::default();
    let mut changes = subscribe(&feed);
    let mut known = FeedStatus::default();
    while changes.changed().await.is_ok() {
        let status = feed.status();
        if let Some(at) = status.failed_at {
            directory.record_read_failure(at);
        }
        if status.revision == 0 {
            continue;
        }
        // Endpoints that are retained without an entry may have to be removed
        // by now.
        let is_known = directory.has_listing()
            && known.content_version == status.content_version;
        if is_known && !directory.retains_missing() {
            confirm_endpoints(&cluster, status.revision);
            status.fresh_at.inspect(|at| directory.confirm(*at));
            continue;
        }
        let delta = feed.changes_since(known.revision);
        known = FeedStatus {
            revision: delta.revision,
            ..status
        };
        let update = entries.decode(&delta, &*dialect);
        let now = cluster.clock().now();
        let changes = match delta.is_full {
            true => directory.reconcile(
                Listing {
                    revision: update.revision,
                    records: update.records,
                },
                now,
            ),
            false => directory.apply_update(update, now),
        };
        status.fresh_at.inspect(|at| directory.confirm(*at));
        log_changes(&changes, directory.revision());
        let before = cluster.endpoints.load().table.clone();
        cluster.endpoints.publish(DirectoryView {
            table: Arc::new(directory.table()),
            revision: directory.revision(),
        });
        for change in &changes {
            if let Change::Restarted { id, former } = change {
                let endpoint = before.get(*former);
                let successor = directory.get(id);
                close_ended(&pool, *former, endpoint, successor);
            }
        }
        if !changes.is_empty() {
            pool.retain(|key| directory.has_incarnation(key));
        }
    }
}

/// Closes the connections to an incarnation whose process is known to have
/// ended.
///
/// An entry without a start time may describe the same process as the next
/// one, so that its requests in flight go on. Only an entry at another address
/// is certainly that of another process.
fn close_ended(
    pool: &Pool,
    former: IncarnationKey,
    before: Option<&Endpoint>,
    successor: Option<&Endpoint>,
) {
    let before = before.map(Endpoint::record);
    let has_start_time = before.is_none_or(|r| r.started_at.is_some());
    let has_moved = before.map(|record| record.address)
        != successor.map(|endpoint| endpoint.record().address);
    let closes = has_start_time || has_moved;
    log::info!(
        endpoint = successor.map_or("", |e| e.record().id.as_str()),
        has_start_time,
        has_moved,
        closes;
        "an endpoint has another incarnation"
    );
    if closes {
        pool.close(former);
    }
}

/// Records that the endpoints are unchanged as of a later revision.
fn confirm_endpoints(cluster: &ClusterState, revision: u64) {
    let table = cluster.endpoints.load().table.clone();
    cluster.endpoints.publish(DirectoryView { table, revision });
}

/// Reports whether two entries describe the same state of an endpoint.
/// Heartbeats of an endpoint do not count as changes; the key-value service
/// removes the entry when they stop.
fn is_same_endpoint(
    dialect: &dyn Dialect,
    before: &KeyValue,
    after: &KeyValue,
) -> bool {
    if before.value == after.value {
        return true;
    }
    match (
        dialect.decode_endpoint(before),
        dialect.decode_endpoint(after),
    ) {
        (Ok(before), Ok(after)) => before == after,
        _ => false,
    }
}

/// Decodes the entries of usable endpoints.
///
/// An entry that another program wrote may be malformed. It counts as no
/// endpoint, and each change of it is logged once.
#[derive(Default)]
struct EntryDecoder {
    /// Ids of the endpoints, by the key of their entry.
    ids: IndexMap<String, String>,
}

impl EntryDecoder {
    fn decode(
        &mut self,
        delta: &Delta,
        dialect: &dyn Dialect,
    ) -> ListingUpdate {
        let mut update = ListingUpdate {
            revision: delta.revision,
            ..ListingUpdate::default()
        };
        if delta.is_full {
            self.ids.clear();
        }
        for (key, _) in &delta.deleted {
            update.removed.extend(self.ids.swap_remove(key));
        }
        for kv in &delta.items {
            match dialect.decode_endpoint(kv) {
                Ok(record) => {
                    self.ids.insert(kv.key.clone(), record.id.clone());
                    update.records.push(record);
                }
                Err(error) => {
                    log::warn!(
                        key = kv.key.as_str(),
                        revision = kv.mod_revision,
                        error:%;
                        "an endpoint's entry cannot be read and is not used"
                    );
                    update.removed.extend(self.ids.swap_remove(&kv.key));
                }
            }
        }
        update
    }
}

fn log_changes(changes: &[Change], revision: u64) {
    for change in changes {
        log::info!(change:? = change, revision;
            "the list of endpoints changed");
    }
}

async fn follow_operators(
    feed: Arc<Feed>,
    dialect: Arc<dyn Dialect>,
    cluster: ClusterState,
    orders: Option<mpsc::UnboundedSender<VacateOrder>>,
) {
    let apply_order = |kv: &KeyValue| match dialect.decode_order(kv) {
        Ok(OperatorOrder::Config(config)) => cluster.apply_config(*config),
        Ok(OperatorOrder::Vacate(order)) => {
            if let Some(orders) = &orders {
                let _ = orders.send(order);
            }
        }
        Ok(OperatorOrder::Other) => {}
        Err(error) => {
            log::warn!(key = kv.key.as_str(), error:%;
                "an operator's value is malformed and is ignored");
        }
    };
    let mut changes = subscribe(&feed);
    let mut after = 0;
    while changes.changed().await.is_ok() {
        let delta = feed.changes_since(after);
        let newer = delta.items.iter();
        newer
            .filter(|kv| kv.mod_revision > after)
            .for_each(&apply_order);
        after = delta.revision;
        if let Some(at) = delta.fresh_at {
            cluster.confirm_config(at);
        }
    }
}

async fn follow_jobs(
    feed: Arc<Feed>,
    view: JobView,
    quarantine: Quarantine,
    cluster: ClusterState,
) {
    let mut changes = subscribe(&feed);
    let mut after = 0;
    while changes.changed().await.is_ok() {
        let delta = feed.changes_since(after);
        let Some(at) = delta.fresh_at else {
            continue;
        };
        quarantine.apply(
            &delta.items,
            &delta.deleted,
            delta.revision,
            delta.is_full,
        );
        cluster.mark_quarantine_loaded();
        if after == 0 || delta.is_full {
            view.replace(&delta.items, at);
        } else {
            let deleted = delta.deleted.into_iter();
            let deleted = deleted.map(|(key, mod_revision)| Event::Delete {
                key,
                mod_revision,
            });
            let put = delta.items.into_iter().map(Event::Put);
            let events: Vec<Event> = put.chain(deleted).collect();
            view.apply(&events, at);
        }
        after = delta.revision;
    }
}
