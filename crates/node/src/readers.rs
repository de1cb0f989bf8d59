//! Whom a node asks for news, and when it reads the service itself.

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
    membership::FoundEntry,
    start_list::{self, START_PREFIX},
    tree::{self, TreeNodes},
    turns::Place,
};

/// How news pass between nodes, as parts of the time in which they must
/// have reached all.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    /// Oldest knowledge of another node that is good enough.
    pub(crate) age_most_ms: u64,
    /// How long a question waits for a change. It bounds how long a node
    /// goes on without a word that its knowledge is still whole.
    pub(crate) wait_ms: u64,
    /// Longest wait for an answer beyond that.
    pub(crate) answer_ms: u64,
}

/// Longest wait for an answer, in milliseconds: nodes under load take a
/// hundred at times.
const ANSWER_MS: u64 = 250;

impl Pace {
    /// Divides the time so that questions to two readers that have both been
    /// lost, one after the other, and a read of the service itself fit into
    /// it.
    pub(crate) fn new(propagation_ms: u64) -> Self {
        Self {
            age_most_ms: propagation_ms * 75 / 100,
            wait_ms: propagation_ms * 25 / 100,
            answer_ms: ANSWER_MS,
        }
    }
}

/// How long a reader that did not answer is left alone, in milliseconds.
const READER_AGAIN_MS: u64 = 2_000;

/// How long one is left alone whose answer was too old, in milliseconds. It
/// lives, and is up to date again as soon as the service is back; until all
/// ask it again each of them reads the service by itself.
const READER_BEHIND_MS: u64 = 400;

/// Why another node's answer is no help.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NoHelp {
    /// It does not answer.
    Silent,
    /// What it knows is too old.
    Behind,
}

impl NoHelp {
    fn again_ms(self) -> u64 {
        match self {
            Self::Silent => READER_AGAIN_MS,
            Self::Behind => READER_BEHIND_MS,
        }
    }
}

/// How long a node that starts waits for its readers to start as well, in
/// milliseconds. Where everything was killed, all are back within the same
/// few tenths of a second. Who reads the service itself then takes its place
/// in a line of hundreds that all ask for the whole list of endpoints: with
/// three thousand of them it took four seconds until requests were served.
pub(crate) const START_PATIENCE_MS: u64 = 600;

/// Looks for other nodes of one that starts and sees none, before it reads
/// what is there now.
const START_READS_MOST: usize = 3;

/// Pause between two of them, in milliseconds.
const START_READ_PAUSE_MS: u64 = 200;

/// How the service itself is read.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Reading {
    /// All keys again and again, with a pause in milliseconds, by all
    /// readers in turn. For keys of which all change all the time, where a
    /// watch returns at once and is a call as well.
    InTurn(u64),
    /// A watch, with a pause in milliseconds in which changes gather, by the
    /// first readers.
    Watching {
        /// How many of them.
        readers: usize,
        /// The pause.
        pause_ms: u64,
    },
}

impl Reading {
    pub(crate) fn pause_ms(self) -> u64 {
        match self {
            Self::InTurn(pause_ms) | Self::Watching { pause_ms, .. } => {
                pause_ms
            }
        }
    }
}

/// What a node does next to know more of a feed.
pub(crate) enum Step {
    /// Asks another node.
    Ask(NodeRecord),
    /// Reads the service.
    Read,
    /// Takes turns with the other readers, of which those that do not answer
    /// are none.
    Turn(Place, Vec<Option<NodeRecord>>),
}

/// The nodes that one node asks instead of the key-value service.
pub(crate) struct Readers {
    node: String,
    failure_domain: String,
    view: JobView,
    inner: Mutex<Inner>,
    /// Turns true when the nodes are known, or cannot be read.
    pub(crate) seeded: watch::Sender<bool>,
}

#[derive(Default)]
struct Inner {
    /// Whom to ask, and the nodes from which that follows.
    sources: Vec<NodeRecord>,
    /// The nodes that read the service, if this is one of them.
    readers: Option<(Place, Vec<NodeRecord>)>,
    roster: Option<Roster>,
    nodes: TreeNodes,
    /// Who was no help for which feed, and until when it is left alone. By
    /// feed, as a reader may be up to date in one and behind in another.
    avoid: Vec<(usize, String, Millis)>,
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

    /// Reads which nodes there are, so that this one knows whom to ask, and
    /// passes on what it finds of itself.
    ///
    /// What was there seconds ago will do: it names nodes that know more.
    /// Where all start for the first time nobody is there yet; a node then
    /// looks again until it sees others, once its own entry is written.
    pub(crate) async fn seed(
        &self,
        kv: &dyn Kv,
        mut entered: watch::Receiver<bool>,
        found: watch::Sender<Option<FoundEntry>>,
    ) {
        let own = match self.read_start_list(kv).await {
            true => {
                let key = format!("{NODE_PREFIX}{}", self.node);
                let own = kv.get_prefix_stale(&key).await;
                own.map(|reply| reply.kvs).unwrap_or_default()
            }
            false => self.read_nodes(kv).await,
        };
        let own = FoundEntry::among(&own, &self.node);
        found.send_replace(Some(own));
        let most = Duration::from_millis(START_PATIENCE_MS);
        let entry = entered.wait_for(|entered| *entered);
        let _ = time::timeout(most, entry).await;
        for _ in 0..START_READS_MOST {
            if self.knows_others() {
                break;
            }
            let pause = Duration::from_millis(START_READ_PAUSE_MS);
            time::sleep(pause).await;
            self.read_nodes(kv).await;
        }
        if !self.knows_others() {
            self.note_nodes(kv.get_prefix(NODE_PREFIX, 0).await);
        }
        self.seeded.send_replace(true);
    }

    /// Reads whom a starting node may ask; returns whether there is anybody.
    async fn read_start_list(&self, kv: &dyn Kv) -> bool {
        let read = kv.get_prefix_stale(START_PREFIX).await;
        let Ok(reply) = read else {
            return false;
        };
        let list = start_list::decode(&reply.kvs);
        self.view.seed_records(list);
        self.knows_others()
    }

    /// Tells whether any other node is known that may know more.
    fn knows_others(&self) -> bool {
        let roster = self.view.roster();
        let mut nodes = roster.iter();
        nodes.any(|known| known.node != self.node)
    }

    async fn read_nodes(&self, kv: &dyn Kv) -> Vec<KeyValue> {
        self.note_nodes(kv.get_prefix_stale(NODE_PREFIX).await)
    }

    fn note_nodes(
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
                    "the nodes cannot be read at the start");
                Vec::new()
            }
        }
    }

    /// Decides what to do next.
    ///
    /// A node that has lost both of its sources reads the service itself
    /// until one answers again.
    ///
    /// The sources are asked in turn. What goes wrong with one and the same
    /// reader: it is cut off from the service, goes on answering for as long
    /// as its last word counts, and whoever asks it hears of a change that
    /// much later than everybody else. The other reader tells it at once.
    pub(crate) fn step(
        &self,
        feed: usize,
        reading: Reading,
        now: Millis,
        turn: usize,
    ) -> Step {
        let roster = self.view.roster();
        let mut inner = self.lock();
        inner.follow(roster, &self.node, &self.failure_domain, now);
        inner.avoid.retain(|(_, _, until)| now < *until);
        let sources = match (&inner.readers, reading) {
            (None, _) => &inner.sources[..],
            (Some((place, all)), Reading::InTurn(_)) => {
                let good = |reader: &NodeRecord| {
                    let is_good = !inner.is_avoided(feed, reader);
                    is_good.then(|| reader.clone())
                };
                return Step::Turn(*place, all.iter().map(good).collect());
            }
            (Some((place, _)), Reading::Watching { readers, .. })
                if place.at < readers =>
            {
                return Step::Read;
            }
            (Some((_, all)), Reading::Watching { readers, .. }) => {
                &all[..readers.min(all.len())]
            }
        };
        match inner.in_turn(feed, sources, turn) {
            Some(source) => Step::Ask(source.clone()),
            None => Step::Read,
        }
    }

    /// Returns the place among the readers of the node with a hash.
    pub(crate) fn place_of(&self, reader: u64) -> Option<usize> {
        let inner = self.lock();
        let (_, all) = inner.readers.as_ref()?;
        let is_it = |node: &NodeRecord| stable_hash(&[&node.node]) == reader;
        all.iter().position(is_it)
    }

    /// Returns the node that knows most; none if this one reads itself.
    pub(crate) fn first_source(
        &self,
        feed: usize,
        now: Millis,
        turn: usize,
    ) -> Option<NodeRecord> {
        let roster = self.view.roster();
        let mut inner = self.lock();
        inner.follow(roster, &self.node, &self.failure_domain, now);
        inner.in_turn(feed, &inner.sources, turn).cloned()
    }

    pub(crate) fn avoid(
        &self,
        feed: usize,
        reader: &str,
        why: NoHelp,
        now: Millis,
    ) {
        log::info!(reader, feed, why:?;
            "a reader of the key-value service is avoided");
        let until = now.saturating_add_ms(why.again_ms());
        self.lock().avoid.push((feed, reader.to_owned(), until));
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn is_avoided(&self, feed: usize, node: &NodeRecord) -> bool {
        let mut all = self.avoid.iter();
        all.any(|(number, name, _)| *number == feed && *name == node.node)
    }

    /// Returns the one of those that are not avoided whose turn it is.
    fn in_turn<'a>(
        &self,
        feed: usize,
        nodes: &'a [NodeRecord],
        turn: usize,
    ) -> Option<&'a NodeRecord> {
        let nodes = nodes.iter();
        let good: Vec<&NodeRecord> =
            nodes.filter(|node| !self.is_avoided(feed, node)).collect();
        let at = turn.checked_rem(good.len())?;
        good.get(at).copied()
    }

    fn follow(
        &mut self,
        listed: Roster,
        node: &str,
        failure_domain: &str,
        now: Millis,
    ) {
        let roster = self.nodes.follow(listed, now);
        let known = self.roster.as_ref();
        if known.is_some_and(|known| known.is_same(&roster)) {
            return;
        }
        self.sources = tree::sources(&roster, node, failure_domain);
        let readers = tree::readers(&roster);
        let at = readers.iter().position(|reader| reader.node == node);
        self.readers = at.map(|at| {
            let place = Place {
                at,
                readers: readers.len(),
            };
            (place, readers)
        });
        // Different nodes begin with different ones.
        self.sources
            .sort_by_key(|source| stable_hash(&[node, &source.node]));
        self.roster = Some(roster);
    }
}
