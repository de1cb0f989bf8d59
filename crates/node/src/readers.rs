//! Selects the nodes to query for changes, and decides when a node reads the
//! key-value service itself.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use base::{Millis, stable_hash};
use error_stack::Report;
use jobs::{JobView, NODE_PREFIX, NodeRecord, Roster};
use kv::{GetReply, KeyValue, Kv, KvError};
use tokio::{sync::watch, time};

use crate::{
    bootstrap_list::{self, BOOTSTRAP_PREFIX},
    membership::PreviousEntry,
    tree::{self, TreeNodes},
    turns::RoundRobinSlot,
};

/// Time limits of queries between nodes, derived from the time in which a
/// change has to reach all nodes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueryTiming {
    /// Maximum age of another node's data that is accepted.
    pub(crate) max_age_ms: u64,
    /// How long a request waits for a change. This bounds the time that a node
    /// goes without a confirmation that its data is complete.
    pub(crate) wait_ms: u64,
    /// Maximum wait for a response beyond `wait_ms`.
    pub(crate) response_timeout_ms: u64,
}

/// Maximum wait for a response, in milliseconds: nodes under load take a
/// hundred at times.
const RESPONSE_TIMEOUT_MS: u64 = 250;

impl QueryTiming {
    /// Divides the propagation time so that queries to two readers that are
    /// both lost, one after the other, and a read of the key-value service
    /// itself fit into it.
    pub(crate) fn new(propagation_ms: u64) -> Self {
        Self {
            max_age_ms: propagation_ms * 75 / 100,
            wait_ms: propagation_ms * 25 / 100,
            response_timeout_ms: RESPONSE_TIMEOUT_MS,
        }
    }
}

/// Backoff for a reader that did not respond, in milliseconds.
const SILENT_BACKOFF_MS: u64 = 2_000;

/// Backoff for a reader whose data was too old, in milliseconds. The reader is
/// alive, and is up to date again as soon as the key-value service recovers;
/// until it is queried again, each node reads the key-value service itself.
const BEHIND_BACKOFF_MS: u64 = 400;

/// The reason why a query to another node failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum QueryFailure {
    /// The node does not respond.
    Silent,
    /// The data of the node is too old.
    Behind,
}

impl QueryFailure {
    fn backoff_ms(self) -> u64 {
        match self {
            Self::Silent => SILENT_BACKOFF_MS,
            Self::Behind => BEHIND_BACKOFF_MS,
        }
    }
}

/// How long a starting node waits for its readers to start, in milliseconds.
/// After a kill of the whole fleet, all nodes are back within the same few
/// tenths of a second. A node that reads the key-value service itself instead
/// queues behind hundreds that request the whole list of endpoints: with three
/// thousand endpoints it took four seconds until requests were served.
pub(crate) const START_WAIT_MS: u64 = 600;

/// Maximum number of reads by which a starting node that sees no other node
/// looks for them, before it makes a linearizable read.
const MAX_START_READS: usize = 3;

/// Interval between these reads, in milliseconds.
const START_READ_INTERVAL_MS: u64 = 200;

/// How readers read the key-value service.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ReadMode {
    /// Repeated reads of all keys, with a pause in milliseconds, by all
    /// readers in round robin. For prefixes whose keys change all the time,
    /// where a watch returns at once and costs a call as well.
    RoundRobin(u64),
    /// A watch by the first readers, with a pause in milliseconds in which
    /// changes accumulate.
    Watch {
        /// Number of nodes that watch.
        readers: usize,
        /// Pause after each batch of changes.
        pause_ms: u64,
    },
}

impl ReadMode {
    pub(crate) fn pause_ms(self) -> u64 {
        match self {
            Self::RoundRobin(pause_ms) | Self::Watch { pause_ms, .. } => {
                pause_ms
            }
        }
    }
}

/// The next action of a node to update a feed.
pub(crate) enum NextStep {
    /// Queries another node.
    Query(NodeRecord),
    /// Reads the key-value service.
    Read,
    /// Takes part in the round robin of the readers; those that are being
    /// avoided are `None`.
    RoundRobin(RoundRobinSlot, Vec<Option<NodeRecord>>),
}

/// The nodes that a node queries instead of the key-value service.
pub(crate) struct Readers {
    node: String,
    failure_domain: String,
    view: JobView,
    inner: Mutex<Inner>,
    /// Becomes true when the nodes are known, or cannot be read.
    pub(crate) seeded: watch::Sender<bool>,
}

#[derive(Default)]
struct Inner {
    /// The nodes to query.
    sources: Vec<NodeRecord>,
    /// The readers, if this node is one of them.
    readers: Option<(RoundRobinSlot, Vec<NodeRecord>)>,
    roster: Option<Roster>,
    nodes: TreeNodes,
    /// Failed queries by feed and node, with the end of the backoff. By feed,
    /// as a reader may be up to date in one and behind in another.
    avoided: Vec<(usize, String, Millis)>,
}

impl Readers {
    pub(crate) fn new(
        node: &str,
        failure_domain: &str,
        view: JobView,
    ) -> Self {
        Self {
            node: node.to_owned(),
            failure_domain: failure_domain.to_owned(),
            view,
            inner: Mutex::default(),
            seeded: watch::Sender::new(false),
        }
    }

    /// Reads the list of nodes, so that this node knows which ones to query,
    /// and sends its own previous entry to `previous`.
    ///
    /// A stale read is sufficient: it names nodes that have newer data. When
    /// all nodes start for the first time, none is listed yet; a node then
    /// reads again until it sees others, once its own entry is written.
    pub(crate) async fn seed(
        &self,
        kv: &dyn Kv,
        mut registered: watch::Receiver<bool>,
        previous: watch::Sender<Option<PreviousEntry>>,
    ) {
        let own = match self.read_bootstrap_list(kv).await {
            true => {
                let key = format!("{NODE_PREFIX}{}", self.node);
                let own = kv.get_prefix_stale(&key).await;
                own.map(|reply| reply.kvs).unwrap_or_default()
            }
            false => self.read_nodes(kv).await,
        };
        let own = PreviousEntry::find(&own, &self.node);
        previous.send_replace(Some(own));
        let timeout = Duration::from_millis(START_WAIT_MS);
        let entry = registered.wait_for(|registered| *registered);
        let _ = time::timeout(timeout, entry).await;
        for _ in 0..MAX_START_READS {
            if self.knows_others() {
                break;
            }
            let pause = Duration::from_millis(START_READ_INTERVAL_MS);
            time::sleep(pause).await;
            self.read_nodes(kv).await;
        }
        if !self.knows_others() {
            self.record_nodes(kv.get_prefix(NODE_PREFIX, 0).await);
        }
        self.seeded.send_replace(true);
    }

    /// Reads the bootstrap list; returns whether it names any other node.
    async fn read_bootstrap_list(&self, kv: &dyn Kv) -> bool {
        let read = kv.get_prefix_stale(BOOTSTRAP_PREFIX).await;
        let Ok(reply) = read else {
            return false;
        };
        let list = bootstrap_list::decode(&reply.kvs);
        self.view.seed_records(list);
        self.knows_others()
    }

    /// Reports whether any other node is known.
    fn knows_others(&self) -> bool {
        let roster = self.view.roster();
        let mut nodes = roster.iter();
        nodes.any(|known| known.node != self.node)
    }

    async fn read_nodes(&self, kv: &dyn Kv) -> Vec<KeyValue> {
        self.record_nodes(kv.get_prefix_stale(NODE_PREFIX).await)
    }

    fn record_nodes(
        &self,
        read: Result<GetReply, Report<KvError>>,
    ) -> Vec<KeyValue> {
        match read {
            Ok(reply) => {
                self.view.seed_nodes(&reply.kvs);
                reply.kvs
            }
            Err(report) => {
                log::info!(error:% = report.current_context();
                    "the list of nodes cannot be read at the start");
                Vec::new()
            }
        }
    }

    /// Decides the next action.
    ///
    /// A node that has lost both of its sources reads the key-value service
    /// itself until one responds again.
    ///
    /// The sources are queried alternately. If a node always queried the same
    /// reader and that one were disconnected from the key-value service, the
    /// reader would go on responding until its last confirmation is too old,
    /// and the node would receive a change that much later than all others.
    /// The other reader delivers the change at once.
    pub(crate) fn next_step(
        &self,
        feed: usize,
        read_mode: ReadMode,
        now: Millis,
        turn: usize,
    ) -> NextStep {
        let roster = self.view.roster();
        let mut inner = self.lock();
        inner.update(roster, &self.node, &self.failure_domain, now);
        inner.avoided.retain(|(_, _, until)| now < *until);
        let sources = match (&inner.readers, read_mode) {
            (None, _) => &inner.sources[..],
            (Some((slot, all)), ReadMode::RoundRobin(_)) => {
                let usable = |reader: &NodeRecord| {
                    let is_usable = !inner.is_avoided(feed, reader);
                    is_usable.then(|| reader.clone())
                };
                return NextStep::RoundRobin(
                    *slot,
                    all.iter().map(usable).collect(),
                );
            }
            (Some((slot, _)), ReadMode::Watch { readers, .. })
                if slot.index < readers =>
            {
                return NextStep::Read;
            }
            (Some((_, all)), ReadMode::Watch { readers, .. }) => {
                &all[..readers.min(all.len())]
            }
        };
        match inner.select(feed, sources, turn) {
            Some(source) => NextStep::Query(source.clone()),
            None => NextStep::Read,
        }
    }

    /// Returns the index of the reader whose name has this hash.
    pub(crate) fn index_of(&self, reader: u64) -> Option<usize> {
        let inner = self.lock();
        let (_, all) = inner.readers.as_ref()?;
        let has_hash =
            |node: &NodeRecord| stable_hash(&[&node.node]) == reader;
        all.iter().position(has_hash)
    }

    /// Returns the node with the freshest data; `None` if this node reads the
    /// key-value service itself.
    pub(crate) fn start_source(
        &self,
        feed: usize,
        now: Millis,
        turn: usize,
    ) -> Option<NodeRecord> {
        let roster = self.view.roster();
        let mut inner = self.lock();
        inner.update(roster, &self.node, &self.failure_domain, now);
        inner.select(feed, &inner.sources, turn).cloned()
    }

    pub(crate) fn avoid(
        &self,
        feed: usize,
        reader: &str,
        why: QueryFailure,
        now: Millis,
    ) {
        log::info!(reader, feed, why:?;
            "a reader of the key-value service is avoided");
        let until = now.saturating_add_ms(why.backoff_ms());
        self.lock().avoided.push((feed, reader.to_owned(), until));
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn is_avoided(&self, feed: usize, node: &NodeRecord) -> bool {
        let mut all = self.avoided.iter();
        all.any(|(number, name, _)| *number == feed && *name == node.node)
    }

    /// Returns one of the nodes that are not avoided, by turn.
    fn select<'a>(
        &self,
        feed: usize,
        nodes: &'a [NodeRecord],
        turn: usize,
    ) -> Option<&'a NodeRecord> {
        let nodes = nodes.iter();
        let usable: Vec<&NodeRecord> =
            nodes.filter(|node| !self.is_avoided(feed, node)).collect();
        let index = turn.checked_rem(usable.len())?;
        usable.get(index).copied()
    }

    fn update(
        &mut self,
        listed: Roster,
        node: &str,
        failure_domain: &str,
        now: Millis,
    ) {
        let roster = self.nodes.update(listed, now);
        let known = self.roster.as_ref();
        if known.is_some_and(|known| known.is_same(&roster)) {
            return;
        }
        self.sources = tree::sources(&roster, node, failure_domain);
        let readers = tree::readers(&roster);
        let index = readers.iter().position(|reader| reader.node == node);
        self.readers = index.map(|index| {
            let slot = RoundRobinSlot {
                index,
                readers: readers.len(),
            };
            (slot, readers)
        });
        // Different nodes start with different sources.
        self.sources
            .sort_by_key(|source| stable_hash(&[node, &source.node]));
        self.roster = Some(roster);
    }
}
