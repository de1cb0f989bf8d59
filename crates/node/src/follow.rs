//! How a node follows the keys below a prefix.

use std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use base::{Clock, Millis, stable_hash};
use error_stack::Report;
use jobs::{JobView, NODE_PREFIX, NodeRecord, Roster};
use kv::{GetReply, KeyValue, Kv, KvError, Watcher};
use pass::{Counters, Pool};
use tokio::{sync::watch, time};

use crate::{
    feed::Feed,
    feed_wire::{self, Question},
    membership::FoundEntry,
    peer,
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
    pub(crate) fn new(news_ms: u64) -> Self {
        Self {
            age_most_ms: news_ms * 75 / 100,
            wait_ms: news_ms * 25 / 100,
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
enum NoHelp {
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

/// Pause after a failed read of the service, in milliseconds: a return is
/// noticed within it, and the whole fleet costs a few calls a second.
const FAILED_PAUSE_MS: u64 = 400;

/// How long a node that starts waits for its readers to start as well, in
/// milliseconds. Where everything was killed, all are back within the same
/// few tenths of a second. Who reads the service itself then takes its place
/// in a line of hundreds that all ask for the whole list of endpoints: with
/// three thousand of them it took four seconds until requests were served.
const START_PATIENCE_MS: u64 = 600;

/// Looks for other nodes of one that starts and sees none, before it reads
/// what is there now.
const START_READS_MOST: usize = 3;

/// Pause between two of them, in milliseconds.
const START_READ_PAUSE_MS: u64 = 200;

/// Pause between two questions to readers that have not started yet, in
/// milliseconds.
const START_PAUSE_MS: u64 = 20;

/// Changes that a node that starts asks for first. Three hundred endpoints
/// are a few for each request, and take a thin link of 30 megabits a second
/// 30 ms and a tenth of a core as long; the rest follows at once.
const FIRST_PAGE: usize = 300;

/// Keys from which on some change between any two reads: endpoints write
/// their entries each second or so.
const CHANGING_KEYS: usize = 8;

/// Longest wait for the changes since the last read, in milliseconds. They
/// are there, so that a service that is well answers at once.
const CHANGES_MS: u64 = 300;

/// Time between two reads of all keys by one reader, in milliseconds. What a
/// watch has left out is noticed then.
const WHOLE_READ_MS: u64 = 10_000;

/// Pause of a reader that waits for its turn and cannot ask another one, in
/// milliseconds.
const TURN_PAUSE_MS: u64 = 50;

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
    fn pause_ms(self) -> u64 {
        match self {
            Self::InTurn(pause_ms) | Self::Watching { pause_ms, .. } => {
                pause_ms
            }
        }
    }
}

/// What a node does next to know more of a feed.
enum Step {
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
    seeded: watch::Sender<bool>,
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
            pause(START_READ_PAUSE_MS).await;
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
    fn step(
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
        let is_avoided = |name: &str| {
            let mut all = inner.avoid.iter();
            all.any(|(number, known, _)| *number == feed && known == name)
        };
        let sources = match (&inner.readers, reading) {
            (None, _) => &inner.sources[..],
            (Some((place, all)), Reading::InTurn(_)) => {
                let good = |reader: &NodeRecord| {
                    (!is_avoided(&reader.node)).then(|| reader.clone())
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
        let sources = sources.iter();
        let good: Vec<&NodeRecord> =
            sources.filter(|node| !is_avoided(&node.node)).collect();
        match turn.checked_rem(good.len()) {
            Some(at) => Step::Ask(good[at].clone()),
            None => Step::Read,
        }
    }

    /// Returns the place among the readers of the node with a hash.
    fn place_of(&self, reader: u64) -> Option<usize> {
        let inner = self.lock();
        let (_, all) = inner.readers.as_ref()?;
        let is_it = |node: &NodeRecord| stable_hash(&[&node.node]) == reader;
        all.iter().position(is_it)
    }

    /// Returns the node that knows most; none if this one reads itself.
    fn first_source(
        &self,
        feed: usize,
        now: Millis,
        turn: usize,
    ) -> Option<NodeRecord> {
        let roster = self.view.roster();
        let mut inner = self.lock();
        inner.follow(roster, &self.node, &self.failure_domain, now);
        let is_avoided = |name: &str| {
            let mut all = inner.avoid.iter();
            all.any(|(number, known, _)| *number == feed && known == name)
        };
        let sources = inner.sources.iter();
        let good: Vec<&NodeRecord> =
            sources.filter(|node| !is_avoided(&node.node)).collect();
        let at = turn.checked_rem(good.len())?;
        Some(good[at].clone())
    }

    fn avoid(&self, feed: usize, reader: &str, why: NoHelp, now: Millis) {
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

/// Follows one feed until the process ends.
pub(crate) struct Follower {
    pub(crate) number: usize,
    pub(crate) feed: Arc<Feed>,
    pub(crate) reading: Reading,
    pub(crate) pace: Pace,
    pub(crate) kv: Arc<dyn Kv>,
    pub(crate) readers: Arc<Readers>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) counters: Arc<Counters>,
}

impl Follower {
    pub(crate) async fn run(self) {
        let mut reach = Reach::new(self.feed.prefix());
        let mut watcher: Option<Box<dyn Watcher>> = None;
        let mut turn: usize = 0;
        let mut whole_at = Millis::default();
        self.start().await;
        loop {
            let now = self.clock.now();
            turn = turn.wrapping_add(1);
            let step = self.readers.step(self.number, self.reading, now, turn);
            match step {
                Step::Read => {}
                Step::Ask(reader) => {
                    match self.ask(&reader, self.pace).await {
                        Ok(()) => {
                            watcher = None;
                            continue;
                        }
                        Err(why) => self.avoid(&reader, why),
                    }
                }
                Step::Turn(place, readers) => {
                    if self.leave_turn(place, &readers).await {
                        continue;
                    }
                }
            }
            match self.read(&mut watcher, &mut whole_at).await {
                Ok(()) => {
                    reach.regained(self.clock.now());
                    if let Reading::Watching { pause_ms, .. } = self.reading {
                        pause(pause_ms).await;
                    }
                }
                Err(report) => {
                    watcher = None;
                    let now = self.clock.now();
                    reach.lost(now, report.current_context());
                    self.feed.read_failed(now);
                    pause(FAILED_PAUSE_MS).await;
                }
            }
        }
    }

    /// Asks the readers for a first answer until they have one.
    async fn start(&self) {
        let mut seeded = self.readers.seeded.subscribe();
        let _ = seeded.wait_for(|seeded| *seeded).await;
        let began = self.clock.now();
        let until = began.saturating_add_ms(START_PATIENCE_MS);
        for turn in 0.. {
            let now = self.clock.now();
            let reader = self.readers.first_source(self.number, now, turn);
            let Some(reader) = reader.filter(|_| now < until) else {
                return;
            };
            if self.ask(&reader, self.pace).await.is_ok() {
                return;
            }
            pause(START_PAUSE_MS).await;
        }
    }

    /// Waits for what another reader reads; returns false if it is this
    /// node's turn. Of the readers those are none that do not answer.
    async fn leave_turn(
        &self,
        place: Place,
        readers: &[Option<NodeRecord>],
    ) -> bool {
        let now = self.clock.now();
        let status = self.feed.status();
        let Some(fresh_at) = status.fresh_at else {
            return false;
        };
        let last = self.readers.place_of(status.read_by);
        let period_ms = self.reading.pause_ms();
        let wait_ms = place.wait_ms(last, period_ms, fresh_at, now);
        if wait_ms == 0 {
            return false;
        }
        let in_turn = (0..place.readers).filter_map(|nth| {
            let at = place.turn_of(last, nth);
            readers.get(at)?.as_ref().filter(|_| at != place.at)
        });
        let Some(next) = in_turn.clone().next() else {
            pause(wait_ms).await;
            return true;
        };
        let pace = Pace {
            wait_ms: wait_ms.min(self.pace.wait_ms),
            ..self.pace
        };
        if let Err(why) = self.ask(next, pace).await {
            self.avoid(next, why);
            pause(wait_ms.min(TURN_PAUSE_MS)).await;
        }
        true
    }

    fn avoid(&self, reader: &NodeRecord, why: NoHelp) {
        let now = self.clock.now();
        self.readers.avoid(self.number, &reader.node, why, now);
    }

    /// Asks a reader and takes in what it knows.
    async fn ask(
        &self,
        reader: &NodeRecord,
        pace: Pace,
    ) -> Result<(), NoHelp> {
        let Some(peer) = peer::endpoint_of(reader) else {
            return Err(NoHelp::Silent);
        };
        let known = self.feed.status();
        let clock = &*self.clock;
        let asked_at = clock.now();
        let question = Question {
            number: self.number,
            after: known.revision,
            age_ms: known.fresh_at.map(|at| asked_at.saturating_ms_since(at)),
            most: match known.revision {
                0 => FIRST_PAGE,
                _ => usize::MAX,
            },
            scope: self.feed.scope(),
            pace,
        };
        let counters = &*self.counters;
        let asked =
            feed_wire::ask(&self.pool, &peer, question, clock, counters);
        let Some(delta) = asked.await else {
            return Err(NoHelp::Silent);
        };
        let now = self.clock.now();
        let age = delta.fresh_at.map(|at| now.saturating_ms_since(at));
        // A reader that confirmed its knowledge before the other one did is
        // at an older revision and as good; the merge leaves out what is old.
        let is_young =
            age.is_some_and(|age_ms| age_ms <= self.pace.age_most_ms);
        // A first part is good enough to start with.
        let is_start =
            known.fresh_at.is_none() && delta.revision > known.revision;
        if !is_young && !is_start {
            return Err(NoHelp::Behind);
        }
        self.feed.merge(delta);
        Ok(())
    }

    /// Reads the changes since the last read of any reader, in one call
    /// however many keys there are; returns whether that was enough.
    ///
    /// A watch that says nothing of keys that change all the time may have
    /// lost its history, so that only one with changes counts.
    async fn read_changes(&self, whole_at: Millis) -> bool {
        let known = self.feed.status();
        let began = self.clock.now();
        let since_ms = began.saturating_ms_since(whole_at);
        let may_lack_some = known.revision == 0
            || known.items < CHANGING_KEYS
            || since_ms >= WHOLE_READ_MS;
        if may_lack_some {
            return false;
        }
        let watch = self.kv.watch(self.feed.prefix(), known.revision + 1);
        let Ok(mut watcher) = watch.await else {
            return false;
        };
        let most = Duration::from_millis(CHANGES_MS);
        match time::timeout(most, watcher.next()).await {
            Ok(Ok(batch)) if !batch.events.is_empty() => {
                self.feed.apply(batch.events, batch.revision, began);
                true
            }
            _ => false,
        }
    }

    async fn read(
        &self,
        watcher: &mut Option<Box<dyn Watcher>>,
        whole_at: &mut Millis,
    ) -> Result<(), Report<KvError>> {
        if let Reading::InTurn(_) = self.reading
            && self.read_changes(*whole_at).await
        {
            return Ok(());
        }
        if let Some(known) = watcher {
            let silence = Duration::from_millis(self.pace.age_most_ms);
            if let Ok(batch) = time::timeout(silence, known.next()).await {
                let batch = batch?;
                let now = self.clock.now();
                self.feed.apply(batch.events, batch.revision, now);
                return Ok(());
            }
            // A watch that says nothing cannot be told from one that is cut
            // off. What goes wrong where it is waited for: this node and all
            // that ask it take the service for away as long as nothing
            // changes, and jobs that wait on disks are not entered.
            *watcher = None;
        }
        let prefix = self.feed.prefix();
        let began = self.clock.now();
        let reply = self.kv.get_prefix(prefix, 0).await?;
        let next = reply.revision + 1;
        self.feed.replace(reply, began);
        *whole_at = began;
        if let Reading::Watching { .. } = self.reading {
            *watcher = Some(self.kv.watch(prefix, next).await?);
        }
        Ok(())
    }
}

async fn pause(ms: u64) {
    time::sleep(Duration::from_millis(ms)).await;
}

/// Logs when a dependency is lost and when it is back, once each.
struct Reach {
    what: String,
    lost_at: Option<Millis>,
    failures: u64,
}

impl Reach {
    fn new(what: &str) -> Self {
        Self {
            what: what.to_owned(),
            lost_at: None,
            failures: 0,
        }
    }

    fn lost(&mut self, now: Millis, error: &dyn fmt::Display) {
        self.failures += 1;
        if self.lost_at.is_none() {
            self.lost_at = Some(now);
            log::warn!(dependency = self.what.as_str(), error:%;
                "a dependency is lost");
        }
    }

    fn regained(&mut self, now: Millis) {
        if let Some(at) = self.lost_at.take() {
            let failures = std::mem::take(&mut self.failures);
            log::info!(
                dependency = self.what.as_str(),
                away_ms = now.saturating_ms_since(at),
                failures;
                "a dependency is regained"
            );
        }
    }
}
